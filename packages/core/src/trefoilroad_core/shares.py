"""Which teams use more of the fleet than their fair share."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

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
        self._top: str | None = None
        self._top_known = False
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
        self._top_known = False

    def remove(self, team: str, shape: request.Shape) -> None:
        """Takes back a gang that was counted."""
        self._used[team] -= self._accounts.compute_rate(shape)
        self._top_known = False

    def is_over(self, team: str) -> bool:
        """Tells whether a team uses more than its fair share."""
        return self._used.get(team, 0.0) > self._fair.get(team, 0.0)

    def find_top(self) -> str | None:
        """Finds the team that uses most for its weight, if over its share."""
        if not self._top_known:
            self._top = max(self._used, key=self._get_level, default=None)
            self._top_known = True
        if self._top is None or not self.is_over(self._top):
            return None
        return self._top

    def is_within(self, team: str, shape: request.Shape) -> bool:
        """Tells whether a team stays within its share with one more gang."""
        return (self._get_level(team) +
                self._compute_change(team, [shape])) <= 1.0

    def can_spare(self, team: str, shapes: Sequence[request.Shape]) -> bool:
        """Tells whether a team keeps its fair share without some gangs."""
        return (self._get_level(team) -
                self._compute_change(team, shapes)) >= 1.0

    def _get_level(self, team: str) -> float:
        """Returns the use of a team as a part of its fair share."""
        fair = self._fair.get(team, 0.0)
        return self._used.get(team, 0.0) / fair if fair > 0 else math.inf

    def _compute_change(self, team: str,
                        shapes: Sequence[request.Shape]) -> float:
        fair = self._fair.get(team, 0.0)
        rate = sum(map(self._accounts.compute_rate, shapes))
        return rate / fair if fair > 0 else 0.0
