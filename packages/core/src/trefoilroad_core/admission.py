"""Limits on waiting requests and running gangs of teams and callers."""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilroad_core import contract
from trefoilroad_core import request
from trefoilroad_core import snapshot


class WaitingCounts(NamedTuple):
    """Numbers of waiting requests.

    Attributes:
        team: Waiting requests of the team.
        caller: Waiting requests of the caller.
    """

    team: int
    caller: int


def check_queue_limits(team: contract.Team, caller: str,
                       counts: WaitingCounts) -> str | None:
    """Checks whether a team may queue one more request of a caller.

    Args:
        team: Contract of the team.
        caller: Caller inside the team.
        counts: Requests that already wait.

    Returns:
        Why the request is refused, or None if it is accepted.
    """
    if counts.caller >= team.max_queued_per_caller:
        return (f"caller {caller} of team {team.name} has {counts.caller} "
                f"requests waiting, the most allowed")
    if counts.team >= team.max_queued:
        return (f"team {team.name} has {counts.team} requests waiting, "
                f"the most allowed")
    return None


class AcceleratorUsage:
    """Accelerators in use by each team."""

    def __init__(self, running: Iterable[snapshot.Running]):
        self._accelerators: dict[str, int] = {}
        for gang in running:
            self.add(gang.team, gang.shape)

    def add(self, team: str, shape: request.Shape) -> None:
        """Adds a gang that starts."""
        self._accelerators[team] = (self._accelerators.get(team, 0) +
                                    shape.total_accelerators)

    def remove(self, team: str, shape: request.Shape) -> None:
        """Removes a gang that was added."""
        self._accelerators[team] -= shape.total_accelerators

    def is_within_limit(self, team: contract.Team | None,
                        shape: request.Shape) -> bool:
        """Tells whether a team may start one more gang.

        Args:
            team: Contract of the team, None if it has none.
            shape: Shape of the gang.

        Returns:
            True if its accelerators in use stay within the contract.
        """
        if team is None or not team.max_accelerators:
            return True
        used = self._accelerators.get(team.name, 0)
        return used + shape.total_accelerators <= team.max_accelerators
