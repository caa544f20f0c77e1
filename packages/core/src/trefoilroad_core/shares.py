"""Which teams use more of the fleet than their fair share."""

from collections.abc import Mapping

from trefoilroad_core import accounting
from trefoilroad_core import request
from trefoilroad_core import snapshot


class Shares:
    """Use and fair share of each team at the time of a round.

    The fleet is divided by weight among the teams that run or wait. Use is the
    dominant share, so that work without accelerators counts as well.
    """

    def __init__(self, *, state: snapshot.Snapshot,
                 accounts: accounting.Accounting, weights: Mapping[str, float]):
        self._accounts = accounts
        self._used: dict[str, float] = {}
        for item in state.running:
            self.add(item.team, item.shape)
        active = self._used.keys() | {item.team for item in state.pending}
        total = sum([weights.get(team, 1.0) for team in active])
        size = float(state.fleet.accelerators or 1)
        self._fair = {
            team: size * weights.get(team, 1.0) / total for team in active
        } if total > 0 else {}

    def add(self, team: str, shape: request.Shape) -> None:
        """Counts a gang that starts or is promised room."""
        rate = self._accounts.compute_rate(shape)
        self._used[team] = self._used.get(team, 0.0) + rate

    def remove(self, team: str, shape: request.Shape) -> None:
        """Takes back a gang that was counted."""
        self._used[team] -= self._accounts.compute_rate(shape)

    def is_over(self, team: str) -> bool:
        """Tells whether a team uses more than its fair share."""
        return self._used.get(team, 0.0) > self._fair.get(team, 0.0)

    def is_within(self, team: str, shape: request.Shape) -> bool:
        """Tells whether a team stays within its share with one more gang."""
        rate = self._accounts.compute_rate(shape)
        used = self._used.get(team, 0.0) + rate
        return used <= self._fair.get(team, 0.0)

    def can_spare(self, team: str, shapes: list[request.Shape]) -> bool:
        """Tells whether a team has its fair share left without some gangs."""
        lost = sum(map(self._accounts.compute_rate, shapes))
        return self._used.get(team, 0.0) - lost >= self._fair.get(team, 0.0)
