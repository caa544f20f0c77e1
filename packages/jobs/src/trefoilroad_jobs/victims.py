"""Finds running tasks that are stopped only for work inside a guarantee.

These are long-running tasks, as far as their step may be unavailable, and
urgent tasks beyond the guarantee of their own team. Where long-running work
fills the fleet, or the urgent jobs of one team arrive in a burst, another team
could not use its guarantee otherwise.
"""

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet
from trefoilroad_jobs import progress
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

Phase = progress.Phase

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


def list_uncovered(
        urgent_jobs: Iterable[progress.Job],
        get_guarantee: Callable[[str], int]) -> set[progress.TaskKey]:
    """Returns the urgent tasks that run beyond the guarantee of their team.

    A guarantee covers tasks in the order of acceptance as long as they fit into
    it, and a gang as a whole or not at all. Tasks that are being stopped count
    for nothing: they must not take the place of others that go on.

    Args:
        urgent_jobs: All urgent jobs that are not final, of all services.
        get_guarantee: Returns the number of accelerators guaranteed to a team.
    """
    uncovered: set[progress.TaskKey] = set()
    covered: dict[str, int] = collections.Counter()
    for job in sorted(urgent_jobs, key=lambda job: job.accepted_s):
        team = job.workload.team
        guarantee = get_guarantee(team)
        for (_, number), state in sorted(job.steps.items()):
            step = job.workload.steps[number]
            for group in _group(step, _list_continuing(step, state)):
                accelerators = step.demand.accelerators * len(group)
                if covered[team] + accelerators <= guarantee:
                    covered[team] += accelerators
                else:
                    uncovered.update(claim.key for claim in group)
    return uncovered


def _list_continuing(step: workload.Step,
                     state: progress.StepProgress) -> list[progress.Claim]:
    """Returns the claims that are not ending, by task.

    The whole of a gang ends if one of its tasks does.
    """
    claims = [
        state.claims[index]
        for index in sorted(state.claims)
        if state.claims[index].phase is not Phase.STOPPING
    ]
    return [] if step.gang and len(claims) < len(state.claims) else claims


def list_urgent(jobs: Iterable[progress.Job],
                uncovered: Container[progress.TaskKey], now_s: float,
                checkpoint_interval_s: float) -> list[units.Victim]:
    """Returns the urgent tasks that may be stopped, the newest jobs first.

    Long-running tasks are left to `list_long_running`.

    Args:
        jobs: Urgent jobs of a service.
        uncovered: Result of `list_uncovered`.
        now_s: Current time in seconds.
        checkpoint_interval_s: Most seconds of work that a step with
            checkpoints loses.
    """
    victims: list[units.Victim] = []
    for job in sorted(jobs, key=lambda job: -job.accepted_s):
        for (_, number), state in job.steps.items():
            step = job.workload.steps[number]
            if step.long_running:
                continue
            claims = [
                claim for claim in state.claims.values()
                if claim.phase is Phase.RUNNING and claim.key in uncovered
            ]
            for group in _group(step, claims):
                lost_core_s = sum(
                    units.compute_lost_core_s(step, now_s - claim.started_s,
                                              checkpoint_interval_s)
                    for claim in group)
                victims.append(
                    _build_victim(group, lost_core_s, workload.URGENT_PRIORITY))
    return victims


def list_long_running(
        jobs: Iterable[JobPriority], workers: Mapping[str, fleet.TrackedWorker],
        uncovered: Container[progress.TaskKey]) -> list[units.Victim]:
    """Returns the long-running tasks that may be stopped.

    Args:
        jobs: Jobs that are not final.
        workers: Workers by id.
        uncovered: Result of `list_uncovered`; other urgent tasks are left out.
    """
    victims: list[units.Victim] = []
    for job, priority in jobs:
        for (occurrence, number), state in job.steps.items():
            step = job.workload.steps[number]
            if not step.long_running or not step.max_unavailable:
                continue
            claims = _list_at_work(state, workers)
            quota = _build_quota((job.job_id, occurrence, number), step,
                                 len(claims))
            if priority == workload.URGENT_PRIORITY:
                claims = [claim for claim in claims if claim.key in uncovered]
            lost_core_s = RESTART_S * estimate.count_core_equivalents(
                step.demand)
            victims += [
                _build_victim(group, lost_core_s * len(group), priority, quota)
                for group in _group(step, claims)
                if len(group) <= quota.tasks
            ]
    return victims


def _list_at_work(
        state: progress.StepProgress,
        workers: Mapping[str, fleet.TrackedWorker]) -> list[progress.Claim]:
    """Returns the claims of tasks that run on workers that answer."""
    return [
        claim for claim in state.claims.values()
        if claim.phase is Phase.RUNNING and claim.worker_id in workers and
        workers[claim.worker_id].silent_since_s == float("inf")
    ]


def _build_quota(key: units.UnitKey, step: workload.Step,
                 at_work: int) -> units.StopQuota:
    """Returns how many further tasks of a step may be stopped.

    Each task that is not at work counts, whatever the cause.
    """
    return units.StopQuota(key, step.max_unavailable - (step.tasks - at_work))


def _group(step: workload.Step,
           claims: list[progress.Claim]) -> list[list[progress.Claim]]:
    """Returns the claims that are stopped together: a gang, or single ones."""
    if not step.gang:
        return [[claim] for claim in claims]
    return [claims] if claims else []


def _build_victim(group: list[progress.Claim],
                  lost_core_s: float,
                  priority: int,
                  quota: units.StopQuota | None = None) -> units.Victim:
    return units.Victim(tasks=tuple(
        (claim.worker_id, claim.demand) for claim in group),
                        lost_core_s=lost_core_s,
                        priority=priority,
                        handle=group,
                        last_resort=True,
                        quota=quota)
