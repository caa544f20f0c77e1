"""Orders in which waiting units are served."""

import abc

from trefoilroad_jobs import units


class Order(abc.ABC):
    """Ranks units; lower ranks go first."""

    @abc.abstractmethod
    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """Returns the rank of a unit."""


class Arrival(Order):
    """By priority, then in the order of acceptance."""

    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """See Order.rank."""
        return (unit.priority, unit.accepted_s)


class LeastSlack(Order):
    """By priority, then by the time left until the latest useful start."""

    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """See Order.rank."""
        return (unit.priority, unit.objective_s - unit.remaining_s)


class WorthDensity(Order):
    """By the worth that a core-second earns if the unit starts now."""

    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """See Order.rank."""
        density = units.estimate_worth(unit, now_s) / max(unit.work, 0.01)
        return (-density, unit.accepted_s)
