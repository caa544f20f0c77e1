"""Configuration of the jobs service: queues, teams and limits."""

import hmac
from typing import NamedTuple


class Queue(NamedTuple):
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host: Host name in the requests of callers.
        prefix: Path prefix of the requests of callers.
        service: Service whose workers run the jobs.
        priority: 0 is the most urgent.
        max_failures: Failed runs of a task after which its job has failed.
        slack: Factor of the objective. A job should end within this multiple
            of its critical path plus objective_ms.
        objective_ms: Constant part of the objective, in milliseconds.
        anonymous: Whether calls need no access key.
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
    """A team of callers.

    Attributes:
        name: Name of the team.
        keys: Access keys.
        guaranteed: Number of accelerators guaranteed to its most urgent jobs.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Number of the version; 0 before the first one.
        queues: All queues.
        teams: Teams by name.
        max_body_bytes: Largest body of a submission in bytes, 0 if the
            operator sets no limit.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: dict[str, Team]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host whose prefix of the path is longest."""
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
        """Returns the team that an access key belongs to, or None.

        Compares all keys in constant time, so that the duration of the call
        does not depend on the key.
        """
        match = None
        for team in self.teams.values():
            for team_key in team.keys:
                if hmac.compare_digest(team_key.encode(), key.encode()):
                    match = team
        return match

    def get_guarantee(self, team: str) -> int:
        """Returns the number of accelerators guaranteed to a team."""
        return self.teams[team].guaranteed if team in self.teams else 0


EMPTY = Configuration(version=0, queues=(), teams={}, max_body_bytes=0)
