"""Distinguishes faulty workers from requests that fail on any worker."""

import collections
from collections.abc import Iterator
import enum
from typing import NamedTuple

MIN_FAILURES_TO_QUARANTINE = 3
"""Distinct requests failing in a row that put a worker into quarantine."""

MIN_FAILED_WORKERS = 2
"""Distinct healthy workers with failures that make the request the cause.

The same number applies to a template.
"""

MAX_FAILED_ATTEMPTS = 3
"""Most failed attempts of one request."""

FIRST_QUARANTINE_S = 60.0
"""First quarantine time; it doubles with each failed probation."""

MAX_QUARANTINE_S = 3600.0
"""Longest quarantine time, so that a repaired worker is used again."""

WORKERS_PER_QUARANTINE = 4
"""At most one worker in this many is quarantined at once.

If more workers fail, a common cause outside the workers is more likely, and the
fleet must not lose all its workers.
"""

MAX_TRACKED_REQUESTS = 10_000
"""Failed requests that are kept; the oldest are dropped first."""


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


class _WorkerRecord:
    """Failure record of one worker.

    Attributes:
        status: What it may run.
        failures: Requests that failed since the last success, with the team
            and template of each.
        until_s: End of its quarantine, in seconds.
        quarantines: Number of quarantines since it was last healthy.
        failed_probation: Whether a failure during its probation counted
            against it.
    """

    def __init__(self) -> None:
        self.status = Status.HEALTHY
        self.failures: dict[str, tuple[str, str]] = {}
        self.until_s = 0.0
        self.quarantines = 0
        self.failed_probation = False


class Health:
    """Decides which workers to quarantine and which requests to give up.

    A failure counts against its worker unless the request or its template is
    the likely cause. The request is, if it has also failed on another trusted
    worker. The template is, if it has failed on other healthy workers since its
    last success, unless several templates fail on the worker. A first
    quarantine ends early if later failures show another cause.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerRecord] = {}
        # Workers on which each request failed, one entry for each attempt.
        self._requests: collections.OrderedDict[
            str, list[str]] = collections.OrderedDict()
        # Workers on which each template failed since its last success.
        self._templates: dict[tuple[str, str], set[str]] = {}

    def record(self, event: TaskEnd) -> None:
        """Records the end of a task."""
        worker = self._workers.setdefault(event.worker_id, _WorkerRecord())
        template = event.team, event.template
        if not event.failed:
            self._templates.pop(template, None)
            self._requests.pop(event.request_id, None)
            self._workers[event.worker_id] = _WorkerRecord()
            return
        self._templates.setdefault(template, set()).add(event.worker_id)
        self._requests.setdefault(event.request_id, []).append(event.worker_id)
        self._requests.move_to_end(event.request_id)
        if len(self._requests) > MAX_TRACKED_REQUESTS:
            self._requests.popitem(last=False)
        worker.failures.pop(event.request_id, None)
        worker.failures[event.request_id] = template
        if len(worker.failures) > 2 * MIN_FAILURES_TO_QUARANTINE:
            del worker.failures[next(iter(worker.failures))]
        if worker.status is Status.PROBATION:
            worker.failed_probation = self._implicates_worker(
                event.worker_id, event.request_id)

    def _implicates_worker(self, worker_id: str, request_id: str) -> bool:
        """Tells whether a failure counts against its worker."""
        if any(name != worker_id and self._is_trusted(name)
               for name in self._requests.get(request_id, ())):
            return False
        failures = self._workers[worker_id].failures
        if len(set(failures.values())) >= MIN_FAILURES_TO_QUARANTINE:
            return True
        others = self._templates.get(failures[request_id], set()) - {worker_id}
        return sum(map(self._is_healthy, others)) < MIN_FAILED_WORKERS

    def _is_healthy(self, worker_id: str) -> bool:
        worker = self._workers.get(worker_id)
        return worker is None or worker.status is Status.HEALTHY

    def _is_trusted(self, worker_id: str) -> bool:
        """Tells whether a failure on a worker counts against the request.

        It does not on a worker where several requests failed in a row.
        Otherwise two faulty workers that get each other's retries would both
        be taken for healthy.
        """
        worker = self._workers.get(worker_id)
        return worker is None or (worker.status is Status.HEALTHY and len(
            worker.failures) < MIN_FAILURES_TO_QUARANTINE)

    def _count_implicating(self, worker_id: str) -> int:
        worker = self._workers[worker_id]
        return sum(
            self._implicates_worker(worker_id, request_id)
            for request_id in worker.failures)

    def _quarantine(self, worker: _WorkerRecord, now_s: float) -> None:
        worker.status = Status.QUARANTINED
        worker.failed_probation = False
        worker.until_s = now_s + min(FIRST_QUARANTINE_S * 2**worker.quarantines,
                                     MAX_QUARANTINE_S)
        worker.quarantines += 1

    def update(self, now_s: float, fleet_size: int) -> None:
        """Moves workers between quarantine, probation and healthy.

        Args:
            now_s: Current time in seconds.
            fleet_size: Number of workers of the fleet.
        """
        self._release(now_s)
        free_quarantines = fleet_size // WORKERS_PER_QUARANTINE - len(
            self.find_workers(Status.QUARANTINED))
        for worker_id, worker in self._workers.items():
            if free_quarantines <= 0:
                break
            if worker.failed_probation or (worker.status is Status.HEALTHY and
                                           self._count_implicating(worker_id)
                                           >= MIN_FAILURES_TO_QUARANTINE):
                self._quarantine(worker, now_s)
                free_quarantines -= 1

    def _release(self, now_s: float) -> None:
        for worker_id, worker in self._workers.items():
            if worker.status is not Status.QUARANTINED:
                continue
            if (worker.quarantines == 1 and self._count_implicating(worker_id)
                    < MIN_FAILURES_TO_QUARANTINE):
                worker.status = Status.HEALTHY
                worker.quarantines = 0
            elif now_s >= worker.until_s:
                worker.status = Status.PROBATION

    def find_workers(self, status: Status) -> frozenset[str]:
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
        """Decides whether a request that failed is given up.

        Args:
            request_id: Identifier of the request.

        Returns:
            Why it is given up, for the caller, or None if it may be tried
            again.
        """
        attempts = self._requests.get(request_id, [])
        healthy = {name for name in attempts if self._is_trusted(name)}
        if len(healthy) >= MIN_FAILED_WORKERS:
            return f"failed on {len(healthy)} different healthy workers"
        if len(attempts) >= MAX_FAILED_ATTEMPTS:
            return f"failed {len(attempts)} times"
        return None

    def forget_worker(self, worker_id: str) -> None:
        """Drops the record of a worker that was replaced."""
        self._workers.pop(worker_id, None)
