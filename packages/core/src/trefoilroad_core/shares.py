"""Compares the use of each team with its fair share of the fleet."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

from trefoilroad_core import accounting
from trefoilroad_core import request
from trefoilroad_core import snapshot


class Shares:
    """Use and fair share of each team at the time of a round.

    The fleet is divided by weight among the teams that have running or waiting
    requests. Use is the dominant share, so that gangs without accelerators
    count as well.
    """

    def __init__(self, *, state: snapshot.Snapshot,
                 accounts: accounting.Accounting, weights: Mapping[str, float]):
        self._accounts = accounts
        self._used: dict[str, float] = {}
        self._top_team: str | None = None
        self._top_is_current = False
        for gang in state.running:
            self.add(gang.team, gang.shape)
        active = self._used.keys() | {pending.team for pending in state.pending}
        total = sum([weights.get(team, 1.0) for team in active])
        size = float(state.fleet.accelerators or 1)
        self._fair = {
            team: size * weights.get(team, 1.0) / total for team in active
        } if total > 0 else {}

    def add(self, team: str, shape: request.Shape) -> None:
        """Adds a gang that starts or for which capacity is held."""
        rate = self._accounts.compute_rate(shape)
        self._used[team] = self._used.get(team, 0.0) + rate
        self._top_is_current = False

    def remove(self, team: str, shape: request.Shape) -> None:
        """Removes a gang that was added."""
        self._used[team] -= self._accounts.compute_rate(shape)
        self._top_is_current = False

    def is_over_share(self, team: str) -> bool:
        """Tells whether a team uses more than its fair share."""
        return self._used.get(team, 0.0) > self._fair.get(team, 0.0)

    def find_team_over_share(self) -> str | None:
        """Finds the team with the highest use per fair share, if above 1."""
        if not self._top_is_current:
            self._top_team = max(self._used,
                                 key=self._get_use_ratio,
                                 default=None)
            self._top_is_current = True
        if self._top_team is None or not self.is_over_share(self._top_team):
            return None
        return self._top_team

    def stays_within_share(self, team: str, shape: request.Shape) -> bool:
        """Tells whether a team stays within its share with one more gang."""
        return (self._get_use_ratio(team) +
                self._compute_change(team, [shape])) <= 1.0

    def can_spare(self, team: str, shapes: Sequence[request.Shape]) -> bool:
        """Tells whether a team keeps its fair share without some gangs."""
        return (self._get_use_ratio(team) -
                self._compute_change(team, shapes)) >= 1.0

    def _get_use_ratio(self, team: str) -> float:
        """Returns the use of a team divided by its fair share."""
        fair = self._fair.get(team, 0.0)
        return self._used.get(team, 0.0) / fair if fair > 0 else math.inf

    def _compute_change(self, team: str,
                        shapes: Sequence[request.Shape]) -> float:
        fair = self._fair.get(team, 0.0)
        rate = sum(map(self._accounts.compute_rate, shapes))
        return rate / fair if fair > 0 else 0.0
