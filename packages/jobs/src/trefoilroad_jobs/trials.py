"""Lets workers that are withheld show that they can run tasks again.

A worker on which runs fail or stall is withheld: work prefers other workers.
It is no exclusion, as some work may run nowhere else, and the worker may be
sound by now. So one unit at a time may try it, and one that goes on running
there opens the worker to others.
"""

from collections.abc import Container
from typing import NamedTuple

from trefoilroad_jobs import fleet
from trefoilroad_jobs import placement
from trefoilroad_jobs import progress

Access = placement.Access

# Time from a trial to the next one if the run fails at once; it doubles with
# each trial. It stays below the time that work may stand beside a sound worker.
FIRST_TRIAL_DELAY_S = 0.5
MAX_TRIAL_DELAY_S = 1.5
# A run that has lasted for this long shows that the worker does not fail
# everything at once.
PASSED_TRIAL_S = 2 * fleet.MAX_FAST_FAILURE_S


class _Trial(NamedTuple):
    """The last trial of a worker.

    Attributes:
        started_s: When it began, in seconds.
        delay_s: Time until the next one if it fails, in seconds.
        suspect_until_s: Until when the worker was suspected at its beginning.
        passed: Whether a run of it went on, or ended without a failure.
    """

    started_s: float
    delay_s: float
    suspect_until_s: float
    passed: bool = False


class Trials:
    """The last trial of each withheld worker."""

    def __init__(self) -> None:
        self._trials: dict[str, _Trial] = {}

    def record_start(self, tracked: fleet.TrackedWorker, now_s: float) -> None:
        """Records that a unit starts on a worker that is open to one."""
        worker_id = tracked.worker.worker_id
        last = self._trials.get(worker_id)
        delay_s = (FIRST_TRIAL_DELAY_S if last is None else min(
            MAX_TRIAL_DELAY_S, 2 * last.delay_s))
        self._trials[worker_id] = _Trial(now_s, delay_s,
                                         tracked.suspect_until_s)

    def retain(self, worker_ids: Container[str]) -> None:
        """Forgets all workers except those that are still withheld."""
        for worker_id in list(self._trials):
            if worker_id not in worker_ids:
                del self._trials[worker_id]

    def find_access(self, tracked: fleet.TrackedWorker, now_s: float) -> Access:
        """Returns how many units may start on a withheld worker."""
        trial = self._trials.get(tracked.worker.worker_id)
        if trial is None:
            return Access.ONE
        claims = [
            claim for claim in tracked.claims.values()
            if claim.started_s >= trial.started_s
        ]
        has_failed = (tracked.suspect_until_s > trial.suspect_until_s or any(
            at_s >= trial.started_s for _, at_s in tracked.failures))
        if not has_failed and (trial.passed or all(
                claim.phase is progress.Phase.RUNNING and now_s -
                claim.started_s >= PASSED_TRIAL_S for claim in claims)):
            # Further runs begin now, and do not close the worker again.
            self._trials[tracked.worker.worker_id] = trial._replace(passed=True)
            return Access.OPEN
        if claims or now_s < trial.started_s + trial.delay_s:
            return Access.CLOSED
        return Access.ONE
