"""Finds running tasks that are stopped only for work inside a guarantee.

These are long-running tasks, as far as their step may be unavailable. A fleet
that they fill never becomes free on its own, so a team could not use its
guarantee there.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet
from trefoilroad_jobs import progress
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

# The stop of a long-running task loses no result, but its work stands still
# until it is restarted. Callers allow 6 s from its last run for that.
RESTART_S = 6.0


class JobPriority(NamedTuple):
    """A job and the priority that its queue gives it.

    Attributes:
        job: The job.
        priority: 0 is the most urgent.
    """

    job: progress.Job
    priority: int


def list_long_running(
        jobs: Iterable[JobPriority],
        workers: Mapping[str, fleet.TrackedWorker]) -> list[units.Victim]:
    """Returns the long-running tasks that may be stopped.

    Args:
        jobs: Jobs that are not final.
        workers: Workers by id.
    """
    victims: list[units.Victim] = []
    for job, priority in jobs:
        if priority == workload.URGENT_PRIORITY:
            continue
        for (occurrence, number), state in job.steps.items():
            step = job.workload.steps[number]
            if not step.long_running or not step.max_unavailable:
                continue
            claims = _list_at_work(state, workers)
            if not claims:
                continue
            quota = _build_quota((job.job_id, occurrence, number), step,
                                 len(claims))
            victims += _build_victims(step, claims, quota, priority)
    return victims


def _list_at_work(
        state: progress.StepProgress,
        workers: Mapping[str, fleet.TrackedWorker]) -> list[progress.Claim]:
    """Returns the claims of tasks that run on workers that answer."""
    return [
        claim for claim in state.claims.values()
        if claim.phase is progress.Phase.RUNNING and claim.worker_id in workers
        and workers[claim.worker_id].silent_since_s == float("inf")
    ]


def _build_quota(key: units.UnitKey, step: workload.Step,
                 at_work: int) -> units.StopQuota:
    """Returns how many further tasks of a step may be stopped.

    Each task that is not at work counts, whatever the cause.
    """
    return units.StopQuota(key, step.max_unavailable - (step.tasks - at_work))


def _build_victims(step: workload.Step, claims: list[progress.Claim],
                   quota: units.StopQuota, priority: int) -> list[units.Victim]:
    """Returns the victims of one step: a whole gang, or single tasks."""
    groups = [claims] if step.gang else [[claim] for claim in claims]
    lost_core_s = RESTART_S * estimate.count_core_equivalents(step.demand)
    return [
        units.Victim(tasks=tuple((claim.worker_id, claim.demand)
                                 for claim in group),
                     lost_core_s=lost_core_s * len(group),
                     priority=priority,
                     handle=group,
                     last_resort=True,
                     quota=quota)
        for group in groups
        if len(group) <= quota.tasks
    ]
