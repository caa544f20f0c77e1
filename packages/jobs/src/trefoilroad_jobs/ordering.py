"""Orders in which the planner considers waiting units."""

import abc

from trefoilroad_jobs import units


class UnitOrder(abc.ABC):
    """Ranks units; units with lower ranks are placed first."""

    @abc.abstractmethod
    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """Returns the rank of a unit."""


class ArrivalOrder(UnitOrder):
    """By priority, then in the order of acceptance."""

    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """See UnitOrder.rank."""
        return (unit.priority, unit.accepted_s)


class WorthDensityOrder(UnitOrder):
    """By the worth earned for each core-second if the unit starts now."""

    def rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """See UnitOrder.rank."""
        density = units.estimate_worth(unit, now_s) / max(
            unit.remaining_core_s, 0.01)
        return (-density, unit.accepted_s)
