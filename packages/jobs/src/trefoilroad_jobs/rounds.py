"""Prepares a round: what is ready, which room there is, what may be stopped."""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import headroom
from trefoilroad_jobs import limits
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import progress
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

Phase = progress.Phase

# A retry waits at most this long for workers on which nothing has failed; a job
# may not stand still for 3 s beside idle workers.
CAREFUL_S = 1.5


class View(NamedTuple):
    """What a round is decided on.

    Attributes:
        now_s: Leader's time.
        wall_ms: Time of day in Unix milliseconds.
        jobs: Jobs that are not final, by id.
        fleet: Beliefs about workers.
        configuration: Configuration in force.
        queues: Its queues by name.
        quarantined: Workers that get nothing new because runs fail there.
    """

    now_s: float
    wall_ms: float
    jobs: Mapping[str, progress.Job]
    fleet: fleets.Fleet
    configuration: configurations.Configuration
    queues: Mapping[str, configurations.Queue]
    quarantined: frozenset[str]


class Rounds:
    """Plans a round for each service."""

    def __init__(self, *, estimator: estimate.Estimator,
                 round_planner: planner.Planner, bounds: limits.Limits):
        self._estimator = estimator
        self._planner = round_planner
        self._bounds = bounds
        self._headrooms: dict[str,
                              headroom.Headroom] = (collections.defaultdict(
                                  headroom.Headroom))
        self._reasons: dict[str, str] = {}
        self._densities: dict[str, float] = {}

    def note_job(self, job: progress.Job) -> None:
        """Takes a job that was accepted, to foresee urgent work."""
        accepted = job.workload
        if accepted.priority != workload.URGENT_PRIORITY:
            return
        self._headrooms[accepted.service].note_arrival(
            job.accepted_s,
            max(step.demand.accelerators * step.tasks
                for step in accepted.steps),
            self._estimator.estimate_chain_ms(accepted) / 1000.0)

    def explain(self, job_id: str) -> str:
        """Tells why a job was not started by the last round."""
        return self._reasons.get(
            job_id, "waits for the steps before it, "
            "for its time or for its retry delay")

    def run(self, view: View) -> units.Plan:
        """Plans for all services."""
        self._reasons = {}
        self._densities = {}
        ready: dict[str, list[units.Unit]] = collections.defaultdict(list)
        for unit in self._collect_units(view):
            ready[unit.service].append(unit)
        whole = units.Plan([], [])
        for service, wanted in ready.items():
            slots = self._build_slots(view, service)
            ending, victims = self._collect_running(view, service)
            kept = self._headrooms[service].estimate(view.now_s)
            plan = self._planner.plan(wanted,
                                      slots,
                                      ending,
                                      victims,
                                      view.now_s,
                                      kept=kept)
            whole.starts.extend(plan.starts)
            whole.stops.extend(plan.stops)
            started = {start.unit.job_id for start in plan.starts}
            for unit in wanted:
                if unit.job_id not in started:
                    self._reasons[unit.job_id] = (
                        f"waits for room for {len(unit.indexes)} tasks among "
                        f"{len(slots)} workers that take work")
        return whole

    # What is ready.

    def _collect_units(self, view: View) -> list[units.Unit]:
        found = []
        used = self._sum_guaranteed(view)
        for job in sorted(view.jobs.values(), key=lambda job: job.accepted_s):
            for occurrence, number in job.list_ready(view.wall_ms):
                unit = self._build_unit(view, job, occurrence, number)
                if unit is None:
                    continue
                if unit.priority == workload.URGENT_PRIORITY:
                    unit = _claim_guarantee(view, unit, used)
                found.append(unit)
        return found

    def _sum_guaranteed(self, view: View) -> dict[str, int]:
        """Returns the accelerators that urgent jobs of each team use."""
        used: dict[str, int] = collections.Counter()
        for job in view.jobs.values():
            if self._find_priority(view, job) != workload.URGENT_PRIORITY:
                continue
            for claim in job.list_claims():
                step = job.workload.steps[claim.key.step]
                used[job.workload.team] += step.demand.accelerators
        return used

    def _find_priority(self, view: View, job: progress.Job) -> int:
        queue = view.queues.get(job.workload.queue)
        return job.workload.priority if queue is None else queue.priority

    def _build_unit(self, view: View, job: progress.Job, occurrence: int,
                    number: int) -> units.Unit | None:
        accepted = job.workload
        step = accepted.steps[number]
        state = job.get_step(occurrence, number)
        waiting = state.list_waiting()
        if not waiting or state.not_before_s > view.now_s:
            return None
        if step.gang and len(waiting) < step.tasks:
            return None
        queue = view.queues.get(accepted.queue)
        begun_s = job.accepted_s
        due_ms = accepted.get_due_ms(occurrence)
        if due_ms:
            begun_s = max(begun_s,
                          view.now_s - (view.wall_ms - due_ms) / 1000.0)
        chain_s = self._estimator.estimate_chain_ms(accepted) / 1000.0
        slack = accepted.slack if queue is None else queue.slack
        extra_ms = accepted.objective_ms
        if queue is not None:
            extra_ms = queue.objective_ms
        return units.Unit(
            job_id=job.job_id,
            occurrence=occurrence,
            step_number=number,
            step=step,
            indexes=tuple(waiting),
            used=_count_used(state) if step.max_per_worker else {},
            service=accepted.service if queue is None else queue.service,
            team=accepted.team,
            priority=accepted.priority if queue is None else queue.priority,
            accepted_s=begun_s,
            objective_s=begun_s + slack * chain_s + extra_ms / 1000.0,
            remaining_s=self._estimate_remaining_s(job, occurrence, number),
            work=self._estimate_work(job, occurrence),
            size_ratio=self._estimator.compare_size(accepted),
            guaranteed=False,
            reclaim_s=self._compute_reclaim_s(begun_s, slack, chain_s,
                                              extra_ms / 1000.0),
            retry=(view.now_s < state.not_before_s + CAREFUL_S and
                   any(index in state.failures
                       for index in ((0,) if step.gang else waiting))))

    def _compute_reclaim_s(self, begun_s: float, slack: float, chain_s: float,
                           extra_s: float) -> float:
        """Returns when others must be stopped for a guaranteed unit.

        Early enough to begin within the bound of a reclaim and to end within
        the objective, and no earlier: tasks end all the time, and the work of
        a stopped one is lost.
        """
        spare_s = (slack -
                   1.0) * chain_s + extra_s - self._bounds.reclaim_lead_s
        patience_s = min(spare_s, self._bounds.reclaim_patience_s)
        return begun_s + max(0.0, patience_s)

    def _estimate_remaining_s(self, job: progress.Job, occurrence: int,
                              number: int) -> float:
        """Returns the longest chain from a step to the end, in seconds."""
        steps = job.workload.steps
        ends: dict[int, float] = {}
        for index in range(number, len(steps)):
            earlier = [ends[i] for i in steps[index].after if i in ends]
            if index == number or earlier:
                run_ms = self._estimator.estimate_run_ms(
                    job.workload.queue, steps[index])
                ends[index] = max(earlier, default=0.0) + run_ms / 1000.0
        return max(ends.values())

    def _estimate_work(self, job: progress.Job, occurrence: int) -> float:
        """Returns the core-seconds that are left of an occurrence."""
        total = 0.0
        for number, step in enumerate(job.workload.steps):
            state = job.steps.get((occurrence, number))
            left = step.tasks - (len(state.done) if state else 0)
            run_ms = self._estimator.estimate_run_ms(job.workload.queue, step)
            total += left * estimate.count_core_equivalents(
                step.demand) * run_ms / 1000.0
        return total

    # Which room there is.

    def _build_slots(self, view: View, service: str) -> list[placement.Slot]:
        slots = []
        suspects = view.fleet.find_suspects(service, view.now_s)
        for member in view.fleet.list_members(service):
            worker = member.worker
            if (not member.listed or worker.draining or not member.contacted or
                    member.silent_s < float("inf") or
                    member.full_until_s > view.now_s or
                    worker.worker_id in view.quarantined or
                    worker.worker_id in suspects):
                continue
            room = worker.capacity
            for claim in member.claims.values():
                room = room.minus(claim.demand)
            slots.append(
                placement.Slot(worker_id=worker.worker_id,
                               rack=worker.rack,
                               labels=worker.labels,
                               room=room,
                               capacity=worker.capacity,
                               failing=member.has_failed(view.now_s)))
        return slots

    # What may be stopped.

    def _collect_running(
            self, view: View,
            service: str) -> tuple[list[units.TaskRoom], list[units.Victim]]:
        """Returns what is being stopped, and what may be."""
        ending: list[units.TaskRoom] = []
        victims: list[units.Victim] = []
        gangs: dict[tuple[str, int, int],
                    list[progress.Claim]] = (collections.defaultdict(list))
        for member in view.fleet.list_members(service):
            for claim in member.claims.values():
                if claim.phase is Phase.STOPPING:
                    ending.append((claim.worker_id, claim.demand))
                    continue
                job = view.jobs.get(claim.key.job_id)
                if (job is None or self._find_priority(
                        view, job) == workload.URGENT_PRIORITY or
                        claim.phase is not Phase.RUNNING):
                    continue
                step = job.workload.steps[claim.key.step]
                if step.gang:
                    gangs[claim.key[:3]].append(claim)
                elif not step.long_running:
                    victims.append(self._build_victim(view, job, [claim]))
        for (job_id, _, _), claims in gangs.items():
            victims.append(self._build_victim(view, view.jobs[job_id], claims))
        return ending, victims

    def _build_victim(self, view: View, job: progress.Job,
                      claims: list[progress.Claim]) -> units.Victim:
        step = job.workload.steps[claims[0].key.step]
        cost = sum(
            units.compute_lost_core_s(step, view.now_s - claim.started_s,
                                      self._bounds.checkpoint_interval_s)
            for claim in claims)
        return units.Victim(tasks=tuple(
            (claim.worker_id, claim.demand) for claim in claims),
                            cost=cost,
                            priority=self._find_priority(view, job),
                            token=claims,
                            density=self._compute_density(view, job))

    def _compute_density(self, view: View, job: progress.Job) -> float:
        """Returns the worth of a job for each core-second of its work."""
        density = self._densities.get(job.job_id)
        if density is None:
            accepted = job.workload
            worth = units.compute_worth(self._find_priority(view, job),
                                        self._estimator.compare_size(accepted))
            density = worth / max(1.0, self._estimator.compute_work(accepted))
            self._densities[job.job_id] = density
        return density


def _count_used(state: progress.StepProgress) -> dict[str, int]:
    return collections.Counter(
        claim.worker_id for claim in state.claims.values())


def _claim_guarantee(view: View, unit: units.Unit,
                     used: dict[str, int]) -> units.Unit:
    """Marks a unit as guaranteed while its team's guarantee lasts."""
    total = used[unit.team] + unit.accelerators
    if total > view.configuration.get_guarantee(unit.team):
        return unit
    used[unit.team] = total
    return unit._replace(guaranteed=True)
