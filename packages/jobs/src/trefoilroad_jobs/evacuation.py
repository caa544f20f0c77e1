"""Decides what the evacuation of failure domains rules out.

Operators evacuate a failure domain under full load: starts that were claimed
before, and starts that are repeated because no reply came, would still reach
its workers after the time that operators were promised. A leader whose reads of
the requests get no reply would go on without knowing of them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import ports

KEY_PREFIX = "evacuate/"
"""Start of the key of a request; the rest is the failure domain."""


class Evacuations:
    """The evacuated failure domains as last read from the store.

    Attributes:
        domains: The evacuated failure domains.
        version: Version of the store at their last change.
    """

    def __init__(self, *, max_age_s: float):
        """Creates an empty set, as of no time.

        Args:
            max_age_s: Longest age of the last reading at which tasks may still
                start, in seconds; 0 for no limit.
        """
        self.domains: frozenset[str] = frozenset()
        self.version = 0
        self._max_age_s = max_age_s
        self._fresh_s = float("-inf")

    def update(self, domains: frozenset[str], fresh_s: float, version: int,
               now_s: float) -> bool:
        """Replaces the set.

        Args:
            domains: The evacuated failure domains.
            fresh_s: Time up to which all changes are known, in seconds.
            version: Version of the store that was read.
            now_s: Current time in seconds.

        Returns:
            Whether the set differs from the one before, or was too old.
        """
        was_too_old = bool(self.find_obstacle(now_s))
        self._fresh_s = max(self._fresh_s, fresh_s)
        if domains == self.domains:
            return was_too_old
        self.domains = domains
        self.version = version
        return True

    def find_obstacle(self, now_s: float) -> str:
        """Returns why nothing may start at all, or an empty text."""
        if not self._max_age_s or now_s - self._fresh_s <= self._max_age_s:
            return ""
        if self._fresh_s == float("-inf"):
            return "evacuations not read"
        return "evacuations not read recently"


class Remainder(NamedTuple):
    """What is left in an evacuated failure domain.

    Attributes:
        workers: Number of its registered workers.
        runs: Number of the runs that may be alive there.
    """

    workers: int
    runs: int


def count_left(fleet: fleets.Fleet,
               domains: Iterable[str]) -> dict[str, Remainder]:
    """Counts the workers and runs in failure domains, by domain."""
    workers = dict.fromkeys(domains, 0)
    runs = dict.fromkeys(domains, 0)
    for tracked in fleet.tracked_workers.values():
        domain = tracked.worker.failure_domain
        if domain in workers:
            workers[domain] += tracked.registered
            runs[domain] += len(tracked.claims)
    return {
        domain: Remainder(workers[domain], runs[domain]) for domain in workers
    }


def list_remaining_workers(fleet: fleets.Fleet,
                           domains: frozenset[str]) -> list[ports.Worker]:
    """Returns the registered workers outside the evacuated domains."""
    return [
        tracked.worker
        for tracked in fleet.tracked_workers.values()
        if tracked.registered and tracked.worker.failure_domain not in domains
    ]


def find_workers(fleet: fleets.Fleet,
                 domains: frozenset[str]) -> frozenset[str]:
    """Returns the ids of the workers in the evacuated domains."""
    if not domains:
        return frozenset()
    return frozenset(
        worker_id for worker_id, tracked in fleet.tracked_workers.items()
        if tracked.worker.failure_domain in domains)
