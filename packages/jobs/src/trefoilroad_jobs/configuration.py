"""The configuration in force: queues, services, teams and limits."""

import hmac
from typing import NamedTuple


class Queue(NamedTuple):
    """A queue of jobs.

    Attributes:
        name: Name.
        host: Host that callers name.
        prefix: Path prefix that callers use.
        service: Service whose workers run the jobs.
        priority: 0 is the most urgent.
        max_failures: Failed runs of a task after which its job has failed.
        slack: Objective as a multiple of the longest chain of steps.
        objective_ms: Time added to that, in milliseconds.
        anonymous: Whether calls need no key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_failures: int
    slack: float
    objective_ms: float
    anonymous: bool


class Team(NamedTuple):
    """A team.

    Attributes:
        name: Name.
        keys: Access keys.
        guaranteed: Accelerators that its most urgent jobs always get.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Number of the version, 0 before the first.
        queues: Queues.
        teams: Teams by name.
        max_body_bytes: Largest request body in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: dict[str, Team]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Finds the queue with the longest prefix of the path."""
        best = None
        for queue in self.queues:
            matches = queue.host == host and path.startswith(queue.prefix)
            if matches and (best is None or
                            len(queue.prefix) > len(best.prefix)):
                best = queue
        return best

    def index_queues(self) -> dict[str, Queue]:
        """Returns the queues by name."""
        return {queue.name: queue for queue in self.queues}

    def find_team(self, key: str) -> Team | None:
        """Finds the team that a key belongs to, in constant time."""
        found = None
        for team in self.teams.values():
            for known in team.keys:
                if hmac.compare_digest(known.encode(), key.encode()):
                    found = team
        return found

    def get_guarantee(self, team: str) -> int:
        """Returns the accelerators that a team is guaranteed."""
        return self.teams[team].guaranteed if team in self.teams else 0


EMPTY = Configuration(version=0, queues=(), teams={}, max_body_bytes=0)
