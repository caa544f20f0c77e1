"""Finds why a job that could run has nothing running.

The reasons are for operators; nothing is scheduled by them.
"""

import collections
from collections.abc import Mapping
import enum
from typing import Any
from typing import NamedTuple

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import headroom
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import progress
from trefoilroad_jobs import rounds

Phase = progress.Phase


class Reason(enum.StrEnum):
    """Why a task whose turn has come was not started."""

    JOBS_NOT_READ = "jobs not read"
    CLAIMS = "claims"
    ROUNDS_SUSPENDED = "rounds suspended"
    RETRY_DELAY = "retry delay"
    NO_LABEL = "no worker has the label"
    WORKERS_WITHHELD = "workers withheld"
    NO_ROOM = "no room"
    ROOM_HELD = "room is held"


class Withholding(enum.StrEnum):
    """Why a registered worker gets no new runs."""

    DRAINING = "draining"
    EVACUATED = "evacuated"
    NOT_CONTACTED = "not contacted"
    SILENT = "silent"
    LEASES_RECORDED = "leases recorded"
    PAUSED = "paused"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"


class Wait(NamedTuple):
    """Why a job waits.

    Attributes:
        occurrence: Number of the occurrence.
        step_number: Number of the step.
        reason: The reason.
        details: What decided it, as fields of a log line.
    """

    occurrence: int
    step_number: int
    reason: Reason
    details: Mapping[str, Any]


class Snapshot(NamedTuple):
    """State of the leader at one moment.

    Attributes:
        now_s: Time on the leader's clock, in seconds.
        wall_ms: Time of day in Unix milliseconds.
        ready: Whether the jobs have been read from the store.
        store_failing: Whether the last call to the store failed.
        starting: Whether tasks are placed; not before a planned stop.
        round_due: Whether something has changed since the last round, so that
            another one follows within milliseconds.
        fleet: Workers as the leader last saw them.
        queues: Queues of the configuration, by name.
        quarantined: Ids of workers that get no new runs, as runs fail there.
        prior_leases_end_s: When the leases of earlier leaders have ended.
        held: Room that is kept for some units, by service.
        evacuated: Evacuated failure domains.
        start_obstacle: Why nothing may start at all, or empty.
        refused: Jobs whose progress the store refuses.
    """

    now_s: float
    wall_ms: float
    ready: bool
    store_failing: bool
    starting: bool
    round_due: bool
    fleet: fleets.Fleet
    queues: Mapping[str, configurations.Queue]
    quarantined: frozenset[str]
    prior_leases_end_s: float
    held: Mapping[str, planner.HeldRoom]
    evacuated: frozenset[str] = frozenset()
    start_obstacle: str = ""
    refused: frozenset[str] = frozenset()


class ServiceWorkers(NamedTuple):
    """Registered workers of a service.

    Attributes:
        usable: Workers that may get new runs.
        withheld: Other workers, by id with the reason.
        candidates: All of them with their free resources.
    """

    usable: list[placement.Candidate]
    withheld: dict[str, Withholding]
    candidates: list[placement.Candidate]


def is_waiting(job: progress.Job, wall_ms: float) -> bool:
    """Returns whether nothing of a job runs although a task's turn has come.

    Args:
        job: A job that is not final.
        wall_ms: Time of day in Unix milliseconds.
    """
    for step in job.steps.values():
        for claim in step.claims.values():
            if claim.phase is Phase.RUNNING:
                return False
    # In an occurrence that is due, some step that is not done has only
    # predecessors that are.
    return (not job.workload.repeats or
            next(job.list_ready(wall_ms), None) is not None)


def find_withholding(tracked: fleets.TrackedWorker, now_s: float,
                     quarantined: frozenset[str], suspected: frozenset[str],
                     evacuated: frozenset[str]) -> Withholding | None:
    """Returns why a registered worker gets no new runs, or None if it may.

    Args:
        tracked: The worker.
        now_s: Current time in seconds.
        quarantined: Ids of the workers in quarantine.
        suspected: Ids of the suspected workers that are not used.
        evacuated: Evacuated failure domains.
    """
    worker = tracked.worker
    if worker.draining:
        return Withholding.DRAINING
    if worker.failure_domain in evacuated:
        return Withholding.EVACUATED
    if tracked.silent_since_s < float("inf"):
        return Withholding.SILENT
    if not tracked.contacted:
        return Withholding.NOT_CONTACTED
    if not tracked.may_get_lease:
        return Withholding.LEASES_RECORDED
    if tracked.paused_until_s > now_s:
        return Withholding.PAUSED
    if worker.worker_id in quarantined:
        return Withholding.QUARANTINED
    if worker.worker_id in suspected:
        return Withholding.SUSPECTED
    return None


def list_workers(snapshot: Snapshot, service: str) -> ServiceWorkers:
    """Returns the registered workers of a service."""
    now_s = snapshot.now_s
    suspected = snapshot.fleet.find_suspects(service, now_s, snapshot.evacuated)
    workers = ServiceWorkers([], {}, [])
    for tracked in snapshot.fleet.list_tracked_workers(service):
        if not tracked.registered:
            continue
        worker = tracked.worker
        candidate = placement.Candidate(worker_id=worker.worker_id,
                                        rack=worker.rack,
                                        labels=worker.labels,
                                        room=worker.capacity.minus(
                                            tracked.occupied),
                                        capacity=worker.capacity,
                                        failing=tracked.has_failed(now_s))
        workers.candidates.append(candidate)
        withholding = find_withholding(tracked, now_s, snapshot.quarantined,
                                       suspected, snapshot.evacuated)
        if withholding is None:
            workers.usable.append(candidate)
        else:
            workers.withheld[worker.worker_id] = withholding
    return workers


def count_withheld(withheld: Mapping[str, Withholding]) -> dict[str, int]:
    """Counts withheld workers by reason."""
    counts: dict[str, int] = {}
    for withholding in withheld.values():
        counts[str(withholding)] = counts.get(str(withholding), 0) + 1
    return counts


class Explainer:
    """Finds the reasons for which jobs wait, from one snapshot.

    Jobs that wait for the same amount of room share one search for it.
    """

    def __init__(self, *, snapshot: Snapshot):
        """Creates an explainer of the jobs of one moment.

        Args:
            snapshot: State of the leader, which must not change meanwhile.
        """
        self._snapshot = snapshot
        self._workers: dict[str, ServiceWorkers] = {}
        self._shared: dict[Any, tuple[Reason, dict[str, Any]]] = {}

    def get_workers(self, service: str) -> ServiceWorkers:
        """Returns the registered workers of a service."""
        if service not in self._workers:
            self._workers[service] = list_workers(self._snapshot, service)
        return self._workers[service]

    def get_service(self, job: progress.Job) -> str:
        """Returns the service whose workers run a job."""
        queue = self._snapshot.queues.get(job.workload.queue)
        return job.workload.service if queue is None else queue.service

    def explain(self, job: progress.Job) -> Wait | None:
        """Returns why a job waits; None if no step of it may start.

        If several steps may start, the first one counts.

        Args:
            job: A job that `is_waiting`.
        """
        for occurrence, number in job.list_ready(self._snapshot.wall_ms):
            reason, details = self._explain_step(job, occurrence, number)
            return Wait(occurrence, number, reason, details)
        return None

    def _explain_step(self, job: progress.Job, occurrence: int,
                      number: int) -> tuple[Reason, Mapping[str, Any]]:
        snapshot = self._snapshot
        if not snapshot.ready:
            return Reason.JOBS_NOT_READ, {}
        if job.job_id in snapshot.refused:
            return (Reason.ROUNDS_SUSPENDED, {
                "why": "the store refuses its progress"
            })
        step = job.workload.steps[number]
        state = job.steps.get((occurrence, number))
        waiting = step.tasks
        retry = False
        used_by_worker: dict[str, int] = {}
        if state is not None:
            unclaimed = [
                index for index in range(step.tasks)
                if index not in state.done and index not in state.claims
            ]
            if state.claims and (step.gang or not unclaimed):
                return Reason.CLAIMS, self._describe_claims(state)
            waiting = len(state.list_waiting(snapshot.now_s))
            if not waiting or (step.gang and waiting < step.tasks):
                return Reason.RETRY_DELAY, {
                    "end_in_s":
                        round(
                            min(state.retry_at_s[index]
                                for index in unclaimed
                                if index in state.retry_at_s) - snapshot.now_s,
                            3)
                }
            retry = any(snapshot.now_s < retry_s + rounds.FAILING_AVOIDANCE_S
                        for retry_s in state.retry_at_s.values())
            if step.max_per_worker:
                used_by_worker = collections.Counter(
                    claim.worker_id for claim in state.claims.values())
        if snapshot.store_failing:
            return Reason.ROUNDS_SUSPENDED, {"why": "the store does not answer"}
        if not snapshot.starting:
            return Reason.ROUNDS_SUSPENDED, {"why": "planned stop"}
        if snapshot.start_obstacle:
            return Reason.ROUNDS_SUSPENDED, {"why": snapshot.start_obstacle}
        service = self.get_service(job)
        held = snapshot.held.get(service, planner.NOTHING_HELD)
        if (job.job_id, occurrence, number) in held.holds:
            return Reason.ROOM_HELD, {"held_by": "own hold"}
        queue = snapshot.queues.get(job.workload.queue)
        bulk = (job.workload.priority if queue is None else queue.priority) > 0
        request = placement.PlacementRequest(step=step,
                                             tasks=waiting,
                                             all_or_nothing=step.gang,
                                             used_by_worker=used_by_worker,
                                             avoid_failing=retry)
        key = (service, bulk, waiting, retry, step.occupied, step.gang,
               step.label, step.one_rack, step.data_rack, step.max_per_worker,
               tuple(used_by_worker.items()))
        if key not in self._shared:
            self._shared[key] = explain_room(request,
                                             self.get_workers(service),
                                             held,
                                             bulk=bulk,
                                             round_due=snapshot.round_due)
        return self._shared[key]

    def _describe_claims(self, state: progress.StepProgress) -> dict[str, Any]:
        """Describes the claim that holds longest, for a log line."""
        now_s = self._snapshot.now_s
        described = [
            describe_claim(
                claim,
                self._snapshot.fleet.tracked_workers.get(claim.worker_id),
                now_s, self._snapshot.prior_leases_end_s)
            for claim in state.claims.values()
        ]
        last = max(described,
                   key=lambda details: details.get("end_in_s", float("-inf")))
        return {"claims": len(described)} | last


def describe_claim(claim: progress.Claim, tracked: fleets.TrackedWorker | None,
                   now_s: float, prior_leases_end_s: float) -> dict[str, Any]:
    """Describes what a claim waits for, as fields of a log line.

    Args:
        claim: A claim of a run that is not known to run.
        tracked: Its worker, or None if that is not known.
        now_s: Current time in seconds.
        prior_leases_end_s: When the leases of earlier leaders have ended.

    Returns:
        The phase, the worker, the cause and, if the claim ends by itself,
        `end_in_s`: the seconds that are left.
    """
    details: dict[str, Any] = {
        "phase": claim.phase.value,
        "worker": claim.worker_id
    }
    if tracked is not None and (tracked.silent_since_s < float("inf") or
                                not tracked.worker.address):
        lease_s = tracked.compute_lease_expiry_s(prior_leases_end_s)
        doubtful = claim.longest_lease_end_s > lease_s
        details["cause"] = ("start in doubt"
                            if doubtful else "claim on a silent worker")
        details["end_in_s"] = round(
            max(lease_s, claim.longest_lease_end_s) - now_s, 3)
    elif claim.phase is Phase.CLAIMING:
        details["cause"] = "claim not written"
    elif claim.phase is Phase.STARTING:
        details["cause"] = "start not answered"
    elif claim.phase is Phase.STOPPING:
        details["cause"] = "stop not confirmed"
    else:
        details["cause"] = "report awaited"
    return details


def explain_room(request: placement.PlacementRequest, workers: ServiceWorkers,
                 held: planner.HeldRoom, *, bulk: bool,
                 round_due: bool) -> tuple[Reason, dict[str, Any]]:
    """Finds why tasks were not placed.

    Args:
        request: The tasks.
        workers: Registered workers of the service.
        held: Room that is kept for other units.
        bulk: Whether the tasks may not use the headroom.
        round_due: Whether another round is due.

    Returns:
        The reason and what decided it, as fields of a log line.
    """
    step = request.step
    allowed = [
        candidate for candidate in workers.candidates
        if not step.label or step.label in candidate.labels
    ]
    if step.label and not allowed:
        return Reason.NO_LABEL, {
            "label": step.label,
            "workers": len(workers.candidates)
        }
    anywhere = request._replace(step=step._replace(one_rack=False,
                                                   data_rack=""),
                                avoid_failing=False)
    if not placement.place(anywhere, workers.candidates, spread=True):
        rooms = [
            candidate.room.accelerators
            for candidate in allowed
            if candidate.worker_id not in workers.withheld
        ]
        tasks = request.tasks if request.all_or_nothing else 1
        return Reason.NO_ROOM, {
            "needed": step.demand.accelerators * tasks,
            "free": sum([room for room in rooms if room > 0]),
            "largest": max(rooms, default=0),
            "workers": len(allowed),
            "withheld": count_withheld(workers.withheld)
        }
    if workers.withheld and not placement.place(
            anywhere, workers.usable, spread=True):
        return Reason.WORKERS_WITHHELD, {
            "workers": len(allowed),
            "withheld": count_withheld(workers.withheld)
        }
    holder = _find_holder(request, workers.usable, held, bulk=bulk)
    if not holder:
        holder = "next round" if round_due else "no cause found"
    return Reason.ROOM_HELD, {"held_by": holder}


def _find_holder(request: placement.PlacementRequest,
                 usable: list[placement.Candidate], held: planner.HeldRoom, *,
                 bulk: bool) -> str:
    """Returns what keeps tasks from room that would hold them, or nothing.

    If several causes together do, the last of them is returned.
    """
    request_anywhere = request._replace(avoid_failing=False)
    if not placement.place(request_anywhere, usable, spread=False):
        return ("rack of its data"
                if request.step.data_rack else "rack for all tasks")
    if not placement.place(request, usable, spread=False):
        return "workers with failures"
    if bulk and held.headroom_workers:
        others = headroom.exclude_headroom(request, usable,
                                           held.headroom_workers)
        if not placement.place(request, others, spread=False):
            return "headroom"
        usable = others
    for name, kept in (("hold", held.holds), ("reservation",
                                              held.reservations)):
        names = {worker for workers in kept.values() for worker in workers}
        others = [
            _fill(candidate) if candidate.worker_id in names else candidate
            for candidate in usable
        ]
        if names and not placement.place(request, others, spread=False):
            return name
        usable = others
    return ""


def _fill(candidate: placement.Candidate) -> placement.Candidate:
    """Returns a worker as it looks to tasks for which it is not held."""
    return placement.Candidate(worker_id=candidate.worker_id,
                               rack=candidate.rack,
                               labels=candidate.labels,
                               room=fleets.NO_DEMAND,
                               capacity=candidate.capacity,
                               failing=candidate.failing)
