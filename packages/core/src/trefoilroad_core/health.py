"""Workers that fail everything, told apart from jobs that fail everywhere."""

import collections
from collections.abc import Iterator
import enum
from typing import NamedTuple

MINIMUM_FAILURES = 3
"""Different requests that fail on a worker in a row before it is suspected."""

MINIMUM_WORKERS = 2
"""Different healthy workers on which a request fails before it is at fault."""

MAX_ATTEMPTS = 3
"""Most failed attempts of one request."""

QUARANTINE_S = 60.0
"""First time in quarantine; it doubles with each failed probation."""

MAX_QUARANTINE_S = 3600.0
"""Longest time in quarantine, so that a repaired worker is found again."""

MAX_SHARE = 4
"""At most one worker in this many is quarantined at once.

More failures than that are more likely to have a common cause outside the
workers, and a fleet without workers helps nobody.
"""

MAX_TRACKED = 10_000
"""Failed requests that are remembered; the oldest are forgotten first."""


class TaskEnd(NamedTuple):
    """The end of one task.

    Attributes:
        worker_id: Worker that ran it.
        request_id: Request that it belongs to.
        team: Team of the request.
        template: Template of the request.
        failed: Whether the task failed.
        at_s: When it ended, in seconds.
    """

    worker_id: str
    request_id: str
    team: str
    template: str
    failed: bool
    at_s: float


class Status(enum.StrEnum):
    """What a worker may run."""

    HEALTHY = "healthy"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class _Worker:
    """What is known about one worker.

    Attributes:
        status: What it may run.
        failures: Requests that failed since the last success, with the team
            and template of each.
        until_s: End of its quarantine, in seconds.
        rounds: Quarantines since it was last healthy.
        relapsed: Whether it failed its probation.
    """

    def __init__(self) -> None:
        self.status = Status.HEALTHY
        self.failures: dict[str, tuple[str, str]] = {}
        self.until_s = 0.0
        self.rounds = 0
        self.relapsed = False


class Health:
    """Decides which workers to quarantine and which requests to give up.

    A failure counts against the worker only while the same request has not
    failed on another one that can be trusted, and its template has not failed
    on other workers without success, unless several templates fail on the
    worker. Evidence that turns out wrong ends a quarantine early.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        # Workers on which each request failed, one entry for each attempt.
        self._requests: collections.OrderedDict[
            str, list[str]] = collections.OrderedDict()
        # Workers on which each template failed since its last success.
        self._templates: dict[tuple[str, str], set[str]] = {}

    def record(self, event: TaskEnd) -> None:
        """Takes the end of a task into account."""
        worker = self._workers.setdefault(event.worker_id, _Worker())
        template = event.team, event.template
        if not event.failed:
            self._templates.pop(template, None)
            self._requests.pop(event.request_id, None)
            self._workers[event.worker_id] = _Worker()
            return
        self._templates.setdefault(template, set()).add(event.worker_id)
        self._requests.setdefault(event.request_id, []).append(event.worker_id)
        self._requests.move_to_end(event.request_id)
        if len(self._requests) > MAX_TRACKED:
            self._requests.popitem(last=False)
        worker.failures.pop(event.request_id, None)
        worker.failures[event.request_id] = template
        if len(worker.failures) > 2 * MINIMUM_FAILURES:
            del worker.failures[next(iter(worker.failures))]
        if worker.status is Status.PROBATION:
            worker.relapsed = self._is_evidence(event.worker_id,
                                                event.request_id)

    def _is_evidence(self, worker_id: str, request_id: str) -> bool:
        """Tells whether a failure speaks against its worker."""
        if any(name != worker_id and self._is_trusted(name)
               for name in self._requests.get(request_id, ())):
            return False
        failures = self._workers[worker_id].failures
        if len(set(failures.values())) >= MINIMUM_FAILURES:
            return True
        others = self._templates.get(failures[request_id], set()) - {worker_id}
        return sum(map(self._is_healthy, others)) < MINIMUM_WORKERS

    def _is_healthy(self, worker_id: str) -> bool:
        worker = self._workers.get(worker_id)
        return worker is None or worker.status is Status.HEALTHY

    def _is_trusted(self, worker_id: str) -> bool:
        """Tells whether a failure on a worker is the request's fault.

        A worker on which several requests failed in a row proves nothing about
        them, or two bad workers that share retries would clear each other.
        """
        worker = self._workers.get(worker_id)
        return worker is None or (worker.status is Status.HEALTHY and
                                  len(worker.failures) < MINIMUM_FAILURES)

    def _count_evidence(self, worker_id: str) -> int:
        worker = self._workers[worker_id]
        return sum(
            self._is_evidence(worker_id, request_id)
            for request_id in worker.failures)

    def _quarantine(self, worker: _Worker, now_s: float) -> None:
        worker.status = Status.QUARANTINED
        worker.relapsed = False
        worker.until_s = now_s + min(QUARANTINE_S * 2**worker.rounds,
                                     MAX_QUARANTINE_S)
        worker.rounds += 1

    def update(self, now_s: float, fleet_size: int) -> None:
        """Moves workers into quarantine, probation and back.

        Args:
            now_s: Current time in seconds.
            fleet_size: Number of workers of the fleet.
        """
        self._release(now_s)
        room = fleet_size // MAX_SHARE - len(self.find(Status.QUARANTINED))
        for worker_id, worker in self._workers.items():
            if room <= 0:
                break
            if worker.relapsed or (worker.status is Status.HEALTHY and
                                   self._count_evidence(worker_id)
                                   >= MINIMUM_FAILURES):
                self._quarantine(worker, now_s)
                room -= 1

    def _release(self, now_s: float) -> None:
        for worker_id, worker in self._workers.items():
            if worker.status is not Status.QUARANTINED:
                continue
            if (worker.rounds == 1 and
                    self._count_evidence(worker_id) < MINIMUM_FAILURES):
                worker.status = Status.HEALTHY
                worker.rounds = 0
            elif now_s >= worker.until_s:
                worker.status = Status.PROBATION

    def find(self, status: Status) -> frozenset[str]:
        """Returns the workers of a status; unknown workers are healthy."""
        return frozenset(self._list(status))

    def _list(self, status: Status) -> Iterator[str]:
        for worker_id, worker in self._workers.items():
            if worker.status is status:
                yield worker_id

    def find_failed_workers(self, request_id: str) -> frozenset[str]:
        """Returns the workers on which a request has failed."""
        return frozenset(self._requests.get(request_id, ()))

    def find_give_up_reason(self, request_id: str) -> str | None:
        """Tells whether a request that failed is given up.

        Args:
            request_id: Identifier of the request.

        Returns:
            Why it is given up, for the caller, or None if it may be tried
            again.
        """
        attempts = self._requests.get(request_id, [])
        healthy = {name for name in attempts if self._is_trusted(name)}
        if len(healthy) >= MINIMUM_WORKERS:
            return f"failed on {len(healthy)} different healthy workers"
        if len(attempts) >= MAX_ATTEMPTS:
            return f"failed {len(attempts)} times"
        return None

    def forget_worker(self, worker_id: str) -> None:
        """Forgets a worker that was replaced."""
        self._workers.pop(worker_id, None)
