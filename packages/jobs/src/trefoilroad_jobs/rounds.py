"""Prepares scheduling rounds from the state of the leader.

Collects the ready units, the free resources and the possible victims of each
service, and has the planner decide.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import functools
from typing import NamedTuple

import structlog

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import evacuation
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import headroom
from trefoilroad_jobs import interference
from trefoilroad_jobs import limits
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import progress
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import round_window
from trefoilroad_jobs import trials
from trefoilroad_jobs import units
from trefoilroad_jobs import victims as victim_lists
from trefoilroad_jobs import worker_speeds
from trefoilroad_jobs import workload

Phase = progress.Phase

# How long a retry avoids workers with recent failures. Together with its delay
# it is below 3 s, as a job may not wait for longer while workers are idle.
FAILING_AVOIDANCE_S = 1.5
MAX_RETRY_WAIT_S = 2.5
# A gang that is stopped waits until all its workers have room at once again. In
# a full fleet that takes seconds, and a gang that has just started would
# otherwise be the cheapest victim each time.
GANG_RESTART_S = 4.0

_log = structlog.get_logger()


class RoundInput(NamedTuple):
    """State from which a round is planned.

    Attributes:
        now_s: Time on the leader's clock, in seconds.
        wall_ms: Time of day in Unix milliseconds.
        jobs: Jobs that are not final, by id.
        fleet: Workers as the leader last saw them.
        configuration: Configuration in force.
        queues: Queues of the configuration, by name.
        quarantined: Ids of workers that are withheld, as runs fail there.
        evacuated: Evacuated failure domains.
    """

    now_s: float
    wall_ms: float
    jobs: Mapping[str, progress.Job]
    fleet: fleets.Fleet
    configuration: configurations.Configuration
    queues: Mapping[str, configurations.Queue]
    quarantined: frozenset[str]
    evacuated: frozenset[str] = frozenset()


class _JobEstimates(NamedTuple):
    """What the units of a job share in a round.

    Attributes:
        run_s: Expected run time of a task, by number of the step.
        remaining_s: Critical path from a step to the end, likewise.
        critical_path_s: Critical path of all steps, in seconds.
        size_ratio: Size of the job relative to the mean of its queue.
        is_running: Whether some task of it runs on a worker that answers.
        remaining_core_s: Expected core-seconds that remain, by occurrence.
    """

    run_s: list[float]
    remaining_s: list[float]
    critical_path_s: float
    size_ratio: float
    is_running: bool
    remaining_core_s: dict[int, float]


class RoundScheduler:
    """Plans rounds for all services."""

    def __init__(self,
                 *,
                 estimator: estimate.Estimator,
                 round_planner: planner.Planner,
                 bounds: limits.Limits,
                 speeds: worker_speeds.WorkerSpeeds | None = None,
                 disturbances: interference.InterferenceEstimator |
                 None = None):
        """Creates a scheduler without holds.

        Args:
            estimator: Estimates run times and sizes of jobs.
            round_planner: Its order is used for the planner of each service.
            bounds: Time limits of the leader.
            speeds: Speeds of the workers; all are usual if absent.
            disturbances: Estimates which images disturb each other.
        """
        self._disturbances = (disturbances or
                              interference.InterferenceEstimator())
        self._estimator = estimator
        self._speeds = speeds or worker_speeds.WorkerSpeeds()
        self._new_planner = round_planner.create_empty
        self._planners: dict[str, planner.Planner] = {}
        self._bounds = bounds
        self._headroom_estimators: dict[str, headroom.HeadroomEstimator] = (
            collections.defaultdict(headroom.HeadroomEstimator))
        self._trials: dict[str, trials.Trials] = (collections.defaultdict(
            trials.Trials))
        # Of the current round, by job.
        self._densities: dict[str, float] = {}
        self._estimates: dict[str, _JobEstimates] = {}
        self._unplannable_jobs: set[str] = set()
        self._window = round_window.RoundWindow()

    def record_job(self, job: progress.Job) -> None:
        """Counts an accepted job if it is urgent, to estimate the headroom."""
        job_workload = job.workload
        if job_workload.priority != workload.URGENT_PRIORITY:
            return
        self._headroom_estimators[job_workload.service].record_arrival(
            job.accepted_s,
            max(step.demand.accelerators * step.tasks
                for step in job_workload.steps),
            self._estimator.estimate_critical_path_ms(job_workload) / 1000.0)

    def run(self, inputs: RoundInput) -> units.Plan:
        """Plans one round for each service and joins the plans."""
        self._densities = {}
        self._estimates = {}
        ready: dict[str, list[units.Unit]] = collections.defaultdict(list)
        evacuated_workers = evacuation.find_workers(inputs.fleet,
                                                    inputs.evacuated)
        for unit in self._collect_ready_units(inputs):
            ready[unit.service].append(unit)
        combined_plan = units.Plan([], [])
        for service, service_units in ready.items():
            candidates = self._build_candidates(inputs, service)
            limited = [
                candidate.worker_id
                for candidate in candidates
                if candidate.withheld is placement.Access.ONE
            ]
            headroom_accelerators = self._headroom_estimators[service].estimate(
                inputs.now_s)
            if service not in self._planners:
                self._planners[service] = self._new_planner()
            plan = self._planners[service].plan(
                service_units,
                candidates,
                functools.partial(self._collect_running, inputs, service),
                inputs.now_s,
                headroom_accelerators=headroom_accelerators,
                resting=_find_resting(inputs, service),
                lowest_priority=max((queue.priority
                                     for queue in inputs.queues.values()
                                     if queue.service == service),
                                    default=None),
                evacuated=evacuated_workers,
                deferred=self._window.deferred)
            tried = {
                worker_id for start in plan.starts
                for worker_id in start.workers
            }
            for worker_id in tried.intersection(limited):
                self._trials[service].record_start(
                    inputs.fleet.tracked_workers[worker_id], inputs.now_s)
            combined_plan.starts.extend(plan.starts)
            combined_plan.stops.extend(plan.stops)
        return combined_plan

    def forget_job(self, job_id: str) -> None:
        """Forgets a job that has ended."""
        self._window.forget(job_id)
        self._unplannable_jobs.discard(job_id)

    def is_disturbed(self, image: str) -> bool:
        """Returns whether an image is slowed down by others, or slows them."""
        return bool(image and self._disturbances.find_partners(image))

    def list_held_room(self) -> dict[str, planner.HeldRoom]:
        """Returns the room that is kept since the last round, by service."""
        return {
            service: service_planner.list_held_room()
            for service, service_planner in self._planners.items()
        }

    # Ready units.

    def _collect_ready_units(self, inputs: RoundInput) -> list[units.Unit]:
        ready_units = []
        used_accelerators = self._sum_urgent_accelerators(inputs)
        jobs = sorted(inputs.jobs.values(),
                      key=lambda job: (job.accepted_s, job.job_id))
        urgent = {
            job.job_id
            for job in jobs
            if self._find_priority(inputs, job) == workload.URGENT_PRIORITY
        }
        for job, steps in self._window.choose(jobs,
                                              inputs.wall_ms,
                                              kept=self._list_kept_jobs(),
                                              urgent=urgent):
            for unit in self._build_units(inputs, job, steps):
                if unit.priority == workload.URGENT_PRIORITY:
                    unit = _apply_guarantee(inputs, unit, used_accelerators)
                ready_units.append(unit)
        return ready_units

    def _list_kept_jobs(self) -> set[str]:
        """Returns the ids of the jobs for which room is kept."""
        return {
            key[0]
            for held in self.list_held_room().values()
            for key in (*held.holds, *held.reservations)
        }

    def _build_units(self, inputs: RoundInput, job: progress.Job,
                     steps: Sequence[tuple[int, int]]) -> list[units.Unit]:
        """Returns the units of the ready steps of a job.

        A job for which that fails must not keep the others from running. It is
        logged once, as rounds follow each other within milliseconds.
        """
        try:
            ready = [
                self._build_unit(inputs, job, occurrence, number)
                for occurrence, number in steps
            ]
        except Exception as error:
            if job.job_id not in self._unplannable_jobs:
                self._unplannable_jobs.add(job.job_id)
                _log.exception("job cannot be planned",
                               request=job.job_id,
                               error=repr(error))
            return []
        return [unit for unit in ready if unit is not None]

    def _sum_urgent_accelerators(self, inputs: RoundInput) -> dict[str, int]:
        """Returns the number of accelerators in use by urgent jobs, by team."""
        used_accelerators: dict[str, int] = collections.Counter()
        for job in inputs.jobs.values():
            if self._find_priority(inputs, job) != workload.URGENT_PRIORITY:
                continue
            for claim in job.list_claims():
                step = job.workload.steps[claim.key.step]
                used_accelerators[job.workload.team] += step.demand.accelerators
        return used_accelerators

    def _find_priority(self, inputs: RoundInput, job: progress.Job) -> int:
        queue = inputs.queues.get(job.workload.queue)
        return job.workload.priority if queue is None else queue.priority

    def _find_service(self, inputs: RoundInput, job: progress.Job) -> str:
        queue = inputs.queues.get(job.workload.queue)
        return job.workload.service if queue is None else queue.service

    def _build_unit(self, inputs: RoundInput, job: progress.Job,
                    occurrence: int, number: int) -> units.Unit | None:
        job_workload = job.workload
        step = job_workload.steps[number]
        # A step of which nothing was placed yet has no state, as clients may
        # hand in many more tasks than ever run.
        state = job.steps.get((occurrence, number))
        waiting: Sequence[int] = range(step.tasks)
        if state is not None:
            waiting = tuple(state.list_waiting(inputs.now_s))
        if not waiting:
            return None
        if step.gang and len(waiting) < step.tasks:
            return None
        queue = inputs.queues.get(job_workload.queue)
        eligible_s = job.accepted_s
        due_ms = job_workload.get_due_ms(occurrence)
        if due_ms:
            eligible_s = max(eligible_s,
                             inputs.now_s - (inputs.wall_ms - due_ms) / 1000.0)
        estimates = self._get_estimates(inputs, job)
        critical_path_s = estimates.critical_path_s
        slack = job_workload.slack if queue is None else queue.slack
        extra_ms = job_workload.objective_ms
        if queue is not None:
            extra_ms = queue.objective_ms
        priority = self._find_priority(inputs, job)
        objective_s = eligible_s + slack * critical_path_s + extra_ms / 1000.0
        remaining_s = estimates.remaining_s[number]
        remaining_core_s = estimates.remaining_core_s.get(occurrence)
        if remaining_core_s is None:
            remaining_core_s = _estimate_remaining_core_s(
                job, occurrence, estimates.run_s)
            estimates.remaining_core_s[occurrence] = remaining_core_s
        return units.Unit(
            job_id=job.job_id,
            occurrence=occurrence,
            step_number=number,
            step=step,
            indexes=waiting,
            used_by_worker=_count_by_worker(state)
            if state is not None and step.max_per_worker else {},
            service=job_workload.service if queue is None else queue.service,
            team=job_workload.team,
            priority=priority,
            accepted_s=eligible_s,
            objective_s=objective_s,
            remaining_s=remaining_s,
            remaining_core_s=remaining_core_s,
            size_ratio=estimates.size_ratio,
            guaranteed=False,
            reclaim_s=self._compute_reclaim_s(eligible_s, slack,
                                              critical_path_s,
                                              extra_ms / 1000.0),
            retry=state is not None and bool(state.retry_at_s) and any(
                self._avoids_failing(state, index, inputs.now_s)
                for index in waiting),
            idle=step.long_running or not estimates.is_running,
            max_speed_class=self._find_max_speed_class(
                step, priority, remaining_s, eligible_s - inputs.now_s,
                objective_s - inputs.now_s),
            avoided_images=self._disturbances.find_partners(step.image))

    def _find_max_speed_class(self, step: workload.Step, priority: int,
                              remaining_s: float, eligible_s: float,
                              objective_s: float) -> int:
        """Returns the slowest class of workers on which a job has its worth.

        Work that is late already needs no fast worker, but for the little worth
        that it still has.

        Args:
            step: Step that is ready.
            priority: Priority of the job.
            remaining_s: Expected time from the start to the end of the job.
            eligible_s: When it was accepted, in seconds from now.
            objective_s: When it should end, in seconds from now.
        """
        if step.long_running:
            return worker_speeds.SLOWEST_CLASS
        is_urgent = priority == workload.URGENT_PRIORITY
        last_s = eligible_s + units.MAX_LATENESS_FACTOR * (objective_s -
                                                           eligible_s)
        for end_s in (objective_s, last_s):
            if end_s >= remaining_s:
                return worker_speeds.find_max_class(end_s,
                                                    remaining_s,
                                                    is_urgent=is_urgent)
        return worker_speeds.SLOWEST_CLASS

    def _avoids_failing(self, state: progress.StepProgress, index: int,
                        now_s: float) -> bool:
        """Returns whether a task avoids workers with recent failures."""
        retry_s = state.retry_at_s.get(index)
        if retry_s is None:
            return False
        delay_s = self._bounds.compute_retry_delay_s(
            state.failures.get(index, 1))
        return now_s < retry_s + min(FAILING_AVOIDANCE_S,
                                     MAX_RETRY_WAIT_S - delay_s)

    def _compute_reclaim_s(self, eligible_s: float, slack: float,
                           critical_path_s: float, extra_s: float) -> float:
        """Returns the time from which tasks are preempted for a unit.

        It is early enough for the unit to start within the time allowed for a
        reclaim and to end within its objective. A patience above 0 delays it,
        since other tasks end all the time and preempted ones lose their work.
        """
        spare_s = (slack - 1.0
                  ) * critical_path_s + extra_s - self._bounds.reclaim_lead_s
        wait_s = min(spare_s, self._bounds.reclaim_patience_s)
        return eligible_s + max(0.0, wait_s)

    def _get_estimates(self, inputs: RoundInput,
                       job: progress.Job) -> "_JobEstimates":
        """Returns the estimates of a job, which all its units share."""
        estimates = self._estimates.get(job.job_id)
        if estimates is None:
            job_workload = job.workload
            run_s = [
                self._estimator.estimate_run_ms(job_workload.queue, step) /
                1000.0 for step in job_workload.steps
            ]
            estimates = _JobEstimates(
                run_s=run_s,
                remaining_s=_estimate_remaining_s(job_workload, run_s),
                critical_path_s=self._estimator.estimate_critical_path_ms(
                    job_workload) / 1000.0,
                size_ratio=self._estimator.compare_size(job_workload),
                is_running=_is_running(inputs, job),
                remaining_core_s={})
            self._estimates[job.job_id] = estimates
        return estimates

    # Free resources.

    def _build_candidates(self, inputs: RoundInput,
                          service: str) -> list[placement.Candidate]:
        candidates = []
        withheld = inputs.quarantined | inputs.fleet.find_suspects(
            service, inputs.now_s, inputs.evacuated)
        service_trials = self._trials[service]
        service_trials.retain(withheld)
        max_runs = self._bounds.compute_max_runs(
            len(inputs.fleet.tracked_workers))
        for tracked in inputs.fleet.list_tracked_workers(service):
            worker = tracked.worker
            if (not tracked.registered or worker.draining or
                    not tracked.contacted or not tracked.may_get_lease or
                    tracked.silent_since_s < float("inf") or
                    tracked.paused_until_s > inputs.now_s or
                    worker.failure_domain in inputs.evacuated):
                continue
            access = None
            if worker.worker_id in withheld:
                access = service_trials.find_access(tracked, inputs.now_s)
            images: frozenset[str] = frozenset()
            if self._disturbances.has_pairs:
                images = tracked.list_images()
            candidates.append(
                placement.Candidate(
                    worker_id=worker.worker_id,
                    rack=worker.rack,
                    labels=worker.labels,
                    room=worker.capacity.minus(tracked.occupied),
                    capacity=worker.capacity,
                    failing=tracked.has_failed(inputs.now_s),
                    speed_class=self._speeds.get_class(worker.worker_id),
                    withheld=access,
                    images=images,
                    free_runs=max_runs - len(tracked.claims)))
        return candidates

    # Possible victims.

    def _collect_running(self, inputs: RoundInput,
                         service: str) -> reclaim.RunningTasks:
        """Returns the tasks that are being stopped and the possible victims."""
        ending = [(claim.worker_id, claim.demand)
                  for tracked in inputs.fleet.list_tracked_workers(service)
                  for claim in tracked.claims.values()
                  if claim.phase is Phase.STOPPING]
        victims: list[units.Victim] = []
        for job in inputs.jobs.values():
            priority = self._find_priority(inputs, job)
            if (priority == workload.URGENT_PRIORITY or
                    self._find_service(inputs, job) != service):
                continue
            for (_, number), state in job.steps.items():
                claims = [
                    claim for claim in state.claims.values()
                    if claim.phase is Phase.RUNNING
                ]
                step = job.workload.steps[number]
                if not claims or step.long_running:
                    continue
                victims += self._build_victims(
                    inputs, step, priority, self._compute_density(inputs, job),
                    claims)
        return reclaim.RunningTasks(ending=ending,
                                    victims=victims,
                                    list_last_resort=functools.partial(
                                        self._list_last_resort, inputs,
                                        service))

    def _list_last_resort(self, inputs: RoundInput,
                          service: str) -> list[units.Victim]:
        """Returns the victims that only guaranteed units may stop."""
        jobs = [
            victim_lists.JobPriority(job, self._find_priority(inputs, job))
            for job in inputs.jobs.values()
        ]
        urgent_jobs = [
            job for job, priority in jobs
            if priority == workload.URGENT_PRIORITY
        ]
        uncovered = victim_lists.list_uncovered(
            urgent_jobs, inputs.configuration.get_guarantee)
        in_service = {
            job.job_id
            for job, _ in jobs
            if self._find_service(inputs, job) == service
        }
        return victim_lists.list_urgent(
            [job for job in urgent_jobs if job.job_id in in_service], uncovered,
            inputs.now_s, self._bounds.checkpoint_interval_s
        ) + victim_lists.list_long_running(
            [entry for entry in jobs if entry.job.job_id in in_service],
            inputs.fleet.tracked_workers, uncovered)

    def _build_victims(self, inputs: RoundInput, step: workload.Step,
                       priority: int, density: float,
                       claims: list[progress.Claim]) -> list[units.Victim]:
        """Returns the victims of one step: a whole gang, or single tasks."""
        now_s = inputs.now_s
        # Loops without calls: a full fleet has a thousand running tasks.
        cores = estimate.count_core_equivalents(step.demand)
        max_lost_s = units.get_max_lost_s(step,
                                          self._bounds.checkpoint_interval_s)
        if not step.gang:
            return [
                units.Victim(((claim.worker_id, claim.demand),),
                             min(now_s - claim.started_s, max_lost_s) * cores,
                             priority, [claim], density) for claim in claims
            ]
        lost_s = sum(
            [min(now_s - claim.started_s, max_lost_s) for claim in claims])
        tasks = tuple([(claim.worker_id, claim.demand) for claim in claims])
        return [
            units.Victim(tasks,
                         lost_s * cores,
                         priority,
                         claims,
                         density,
                         restart_core_s=GANG_RESTART_S * cores * len(claims))
        ]

    def _compute_density(self, inputs: RoundInput, job: progress.Job) -> float:
        """Returns the worth of a job for each core-second of it."""
        density = self._densities.get(job.job_id)
        if density is None:
            job_workload = job.workload
            worth = units.compute_worth(
                self._find_priority(inputs, job),
                self._estimator.compare_size(job_workload))
            density = worth / max(
                1.0, self._estimator.compute_work_core_s(job_workload))
            self._densities[job.job_id] = density
        return density


def _estimate_remaining_s(job_workload: workload.Workload,
                          run_s: Sequence[float]) -> list[float]:
    """Returns the critical path from each step to the end, in seconds."""
    remaining_s = list(run_s)
    for number in reversed(range(len(run_s))):
        for earlier in job_workload.steps[number].after:
            remaining_s[earlier] = max(remaining_s[earlier],
                                       run_s[earlier] + remaining_s[number])
    return remaining_s


def _estimate_remaining_core_s(job: progress.Job, occurrence: int,
                               run_s: Sequence[float]) -> float:
    """Returns the expected core-seconds that remain of an occurrence."""
    total = 0.0
    for number, step in enumerate(job.workload.steps):
        state = job.steps.get((occurrence, number))
        remaining_tasks = step.tasks - (len(state.done) if state else 0)
        total += remaining_tasks * estimate.count_core_equivalents(
            step.demand) * run_s[number]
    return total


def _find_resting(inputs: RoundInput, service: str) -> frozenset[str]:
    """Returns the ids of workers that get no runs for a moment only."""
    return frozenset(tracked.worker.worker_id
                     for tracked in inputs.fleet.list_tracked_workers(service)
                     if tracked.is_resting(inputs.now_s) and
                     tracked.worker.failure_domain not in inputs.evacuated)


def _is_running(inputs: RoundInput, job: progress.Job) -> bool:
    """Returns whether some task of a job runs on a worker that answers."""
    for claim in job.list_claims():
        tracked = inputs.fleet.tracked_workers.get(claim.worker_id)
        if (claim.phase is not Phase.STOPPING and tracked is not None and
                tracked.silent_since_s == float("inf")):
            return True
    return False


def _count_by_worker(state: progress.StepProgress) -> dict[str, int]:
    return collections.Counter(
        claim.worker_id for claim in state.claims.values())


def _apply_guarantee(inputs: RoundInput, unit: units.Unit,
                     used_accelerators: dict[str, int]) -> units.Unit:
    """Marks a unit as guaranteed if its team's guarantee covers it.

    Args:
        inputs: State of the round.
        unit: An urgent unit.
        used_accelerators: Number of accelerators counted against each team's
            guarantee; the unit is added if it is covered.
    """
    total = used_accelerators[unit.team] + unit.accelerators
    if total > inputs.configuration.get_guarantee(unit.team):
        return unit
    used_accelerators[unit.team] = total
    return unit._replace(guaranteed=True)
