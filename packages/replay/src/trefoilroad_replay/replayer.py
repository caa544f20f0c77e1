"""Replays a trace on a virtual clock against the real scheduler.

The platform is not modelled: a gang starts, runs for its true run time and
ends. An eviction takes the checkpoint time of the trace and keeps the progress
of gangs that can be checkpointed. The loss of a worker stops its gangs. A
decision round is run after each change, at most every MIN_ROUND_INTERVAL_S.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
import time
from typing import Any
from typing import NamedTuple

from trefoilroad_core import admission
from trefoilroad_core import errors
from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import guarantee
from trefoilroad_core import health as health_module
from trefoilroad_core import placement
from trefoilroad_core import request
from trefoilroad_core import scheduler as scheduler_module
from trefoilroad_replay import fleetstate
from trefoilroad_replay import results
from trefoilroad_replay import trace as trace_module

MIN_ROUND_INTERVAL_S = 0.25
# Time to reserve resources, commit the claim and start the tasks.
START_DELAY_S = 0.1
STOP_DELAY_S = 0.1
# A start that is not acknowledged within this time is abandoned.
START_ACK_TIMEOUT_S = 1.0
# A worker that does not answer for this time is excluded.
LOSS_DETECTION_S = 3.0
# A gang that lost a worker is queued again after its lease has expired.
TASK_LEASE_S = 10.0
# Mean of the first retry delay; it doubles with each further failure.
MEAN_RETRY_DELAY_S = 2.0
MAX_FAILED_ATTEMPTS = 3
# Interval of rounds while workers are in quarantine and requests wait.
QUARANTINE_ROUND_INTERVAL_S = 5.0
# Time until a worker kills a task that exceeds its memory.
MEMORY_KILL_DELAY_S = 1.0

MAX_VIRTUAL_TIME_S = 14 * 24 * 3600.0
"""Virtual time at which a replay ends, since a policy may starve requests."""


class Job:
    """State of one request during a replay."""

    def __init__(self, *, trace_request: trace_module.TraceRequest):
        self.trace_request = trace_request
        self.outcome = ""
        self.received_s = trace_request.at_s
        self.expires_s = trace_request.at_s + trace_request.wait_s
        self.remaining_run_s = trace_request.run_s
        self.attempt = 0
        self.failures = 0
        self.evictions = 0
        self.first_start_s: float | None = None
        self.end_s: float | None = None
        self.had_free_guarantee = False
        self.had_room = False
        self.started_guaranteed = False
        self.reclaimed = False
        self.is_pending = False
        self.placement: tuple[str, ...] = ()
        self.running: scheduler_module.Running | None = None
        self.run_begin_s = 0.0
        self.is_stopping = False
        self.is_cancelling = False
        self.is_lost = False

    @property
    def is_done(self) -> bool:
        """Whether the request has its outcome."""
        return bool(self.outcome)

    @property
    def is_restartable(self) -> bool:
        """Whether its gang may be stopped and run again later."""
        return self.trace_request.idempotent or self.trace_request.checkpoint

    def build_pending(self) -> scheduler_module.Pending:
        """Returns the scheduler's view of the request while it waits."""
        trace_request = self.trace_request
        # The wait limit applies to the first start only.
        started = self.first_start_s is not None
        return scheduler_module.Pending(
            request_id=trace_request.request_id,
            team=trace_request.team,
            caller=trace_request.caller,
            template=trace_request.template,
            shape=trace_request.shape,
            priority=trace_request.priority,
            received_s=self.received_s,
            expires_s=float("inf") if started else self.expires_s,
            idempotent=trace_request.idempotent,
            checkpoint=trace_request.checkpoint,
            declared_s=trace_request.declared_s,
            attempt=self.attempt)

    def build_running(self, placement: tuple[str, ...], guaranteed: bool,
                      now_s: float) -> scheduler_module.Running:
        """Returns the scheduler's view of the request while it runs."""
        trace_request = self.trace_request
        return scheduler_module.Running(request_id=trace_request.request_id,
                                        attempt_id=request.build_attempt_id(
                                            trace_request.request_id,
                                            self.attempt),
                                        team=trace_request.team,
                                        caller=trace_request.caller,
                                        template=trace_request.template,
                                        shape=trace_request.shape,
                                        placement=placement,
                                        started_s=now_s,
                                        guaranteed=guaranteed,
                                        evictable=self.is_restartable and
                                        not guaranteed,
                                        priority=trace_request.priority,
                                        declared_s=trace_request.declared_s)


class _Event(NamedTuple):
    """An action at a virtual time; `number` orders events of the same time."""

    at_s: float
    number: int
    action: Callable[..., None]
    arguments: tuple[Any, ...]


class Replayer:
    """Replays one trace with one scheduler."""

    def __init__(self,
                 *,
                 trace: trace_module.Trace,
                 scheduler: scheduler_module.Scheduler,
                 policy: str,
                 health: health_module.Health | None = None,
                 round_interval_s: float = MIN_ROUND_INTERVAL_S):
        """Initializes a replay.

        Args:
            trace: The trace.
            scheduler: A new scheduler.
            policy: Name of the policy, for the record.
            health: Decides which workers are in quarantine; None for no
                quarantine.
            round_interval_s: Shortest time between two rounds, in seconds.
        """
        self._trace = trace
        self._scheduler = scheduler
        self._policy = policy
        self._health = health
        self._round_interval_s = round_interval_s
        self._fleet = trace.fleet
        self._layout = placement.Layout(fleet=trace.fleet)
        self._fleet_state = fleetstate.FleetState(fleet=trace.fleet)
        self._random = random.Random(trace.name)
        self._events: list[_Event] = []
        self._event_numbers = itertools.count()
        self._jobs = {
            trace_request.request_id: Job(trace_request=trace_request)
            for trace_request in trace.trace_requests
        }
        self._pending: dict[str, scheduler_module.Pending] = {}
        self._running: dict[str, Job] = {}
        # Number of waiting requests by team and caller; the caller "" stands
        # for the whole team.
        self._waiting_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter())
        self._now_s = 0.0
        self._last_round_s = -round_interval_s
        self._is_round_scheduled = False
        self._is_quarantine_round_scheduled = False
        self._store_down_until_s = 0.0
        self._samples: list[results.Sample] = []
        self._deliveries: list[results.Delivery] = []

    def run(self) -> results.Replay:
        """Replays the whole trace.

        Returns:
            The record.

        Raises:
            PolicyError: If a decision cannot be carried out.
        """
        self._schedule_trace_events()
        while self._events and self._events[0].at_s <= MAX_VIRTUAL_TIME_S:
            event = heapq.heappop(self._events)
            self._now_s = event.at_s
            event.action(*event.arguments)
        return results.Replay(
            trace=self._trace,
            policy=self._policy,
            results=tuple(
                self._build_result(job) for job in self._jobs.values()),
            samples=tuple(self._samples),
            deliveries=tuple(self._deliveries))

    def _schedule_trace_events(self) -> None:
        trace = self._trace
        for outage in trace.outages:
            self._schedule(outage.at_s, self._begin_outage, outage.until_s)
        for change in trace.worker_changes:
            self._schedule(change.at_s, self._change_workers, change)
        for fault in trace.bad_workers:
            self._schedule(fault.at_s, self._begin_worker_faults, fault)
            self._schedule(fault.until_s, self._end_worker_faults, fault)
        for job in self._jobs.values():
            self._schedule(job.trace_request.at_s, self._receive, job)
        for cancellation in trace.cancels:
            self._schedule(cancellation.at_s, self._cancel,
                           self._jobs[cancellation.request_id])

    def _schedule(self, at_s: float, action: Callable[..., None], *arguments:
                  Any) -> None:
        heapq.heappush(
            self._events,
            _Event(at_s, next(self._event_numbers), action, arguments))

    @property
    def _is_store_down(self) -> bool:
        return self._now_s < self._store_down_until_s

    # Requests.

    def _receive(self, job: Job) -> None:
        if self._is_store_down:
            # Callers get an unknown outcome and repeat with a backoff.
            delay_s = self._random.uniform(0.0, MEAN_RETRY_DELAY_S)
            self._schedule(self._store_down_until_s + delay_s, self._receive,
                           job)
            return
        trace_request = job.trace_request
        team = self._trace.configuration.teams[trace_request.team]
        counts = admission.WaitingCounts(
            team=self._waiting_counts[trace_request.team, ""],
            caller=self._waiting_counts[trace_request.team,
                                        trace_request.caller])
        if admission.check_queue_limits(team, trace_request.caller,
                                        counts) is not None:
            self._set_outcome(job, request.State.NOT_RUN)
            return
        job.received_s = self._now_s
        job.expires_s = self._now_s + trace_request.wait_s
        job.had_free_guarantee = self._has_free_guarantee(trace_request)
        job.had_room = self._has_room(trace_request)
        self._enqueue(job)
        self._schedule(job.expires_s, self._check_expiry, job)

    def _check_expiry(self, job: Job) -> None:
        if job.trace_request.request_id in self._pending:
            self._request_round()

    def _has_free_guarantee(self,
                            trace_request: trace_module.TraceRequest) -> bool:
        """Tells whether the team certainly has an unused guarantee for a gang.

        Every running gang and waiting request of the team that could use the
        same guarantee counts as using it, so that the result may be False by
        mistake but not True. It is False while workers are missing, because
        then there may be no place for all guarantees.
        """
        if self._fleet_state.unavailable or self._fleet_state.down:
            return False
        team = self._trace.configuration.teams[trace_request.team]
        for team_guarantee in team.guarantees:
            if not guarantee.covers(team_guarantee.shape, trace_request.shape):
                continue
            shapes = [
                job.trace_request.shape
                for job in self._running.values()
                if job.trace_request.team == trace_request.team
            ]
            shapes += [
                pending.shape
                for pending in self._pending.values()
                if pending.team == trace_request.team
            ]
            using_count = sum(
                guarantee.covers(team_guarantee.shape, shape)
                for shape in shapes)
            if using_count < team_guarantee.gangs:
                return True
        return False

    def _has_room(self, trace_request: trace_module.TraceRequest) -> bool:
        """Tells whether a gang fits beside all running gangs."""
        free = placement.FreeCapacity(layout=self._layout,
                                      excluded=self._fleet_state.unavailable)
        for job in self._running.values():
            free.take(job.placement, job.trace_request.shape)
        return free.can_place(trace_request.shape)

    def _enqueue(self, job: Job) -> None:
        if job.is_done:
            return
        self._pending[job.trace_request.request_id] = job.build_pending()
        self._count_waiting(job, 1)
        self._request_round()

    def _dequeue(self, job: Job) -> None:
        if self._pending.pop(job.trace_request.request_id, None) is not None:
            self._count_waiting(job, -1)

    def _count_waiting(self, job: Job, change: int) -> None:
        self._waiting_counts[job.trace_request.team, ""] += change
        self._waiting_counts[job.trace_request.team,
                             job.trace_request.caller] += change

    def _set_outcome(self, job: Job, outcome: str) -> None:
        """Records an outcome, at the end of an outage of the store if any."""
        if job.is_done:
            return
        self._dequeue(job)
        job.outcome = outcome
        job.end_s = max(self._now_s, self._store_down_until_s)
        self._request_round()

    def _cancel(self, job: Job) -> None:
        if job.is_done:
            return
        if self._is_store_down:
            self._schedule(self._store_down_until_s, self._cancel, job)
        elif job.running is None:
            self._set_outcome(job, request.State.CANCELLED)
        elif not job.is_cancelling:
            job.is_cancelling = True
            self._schedule(self._now_s + STOP_DELAY_S, self._cancel_running,
                           job, job.attempt)

    def _cancel_running(self, job: Job, attempt: int) -> None:
        if job.running is not None and job.attempt == attempt:
            self._end_attempt(job)
        self._set_outcome(job, request.State.CANCELLED)

    # Gangs.

    def _start(self, start: scheduler_module.Start) -> None:
        job = self._jobs[start.request_id]
        if start.request_id not in self._pending:
            raise errors.PolicyError(f"{start.request_id} does not wait")
        unavailable = self._fleet_state.unavailable.intersection(
            start.placement)
        if unavailable or len(start.placement) != job.trace_request.shape.tasks:
            raise errors.PolicyError(f"{start.request_id} cannot start on "
                                     f"{', '.join(start.placement)}")
        self._dequeue(job)
        if job.first_start_s is None:
            job.started_guaranteed = start.guaranteed
        job.attempt += 1
        job.is_stopping = False
        job.is_lost = False
        job.placement = start.placement
        job.running = job.build_running(start.placement, start.guaranteed,
                                        self._now_s)
        self._fleet_state.allocate(start.placement, job.trace_request.shape,
                                   job.trace_request.true_shape)
        self._running[start.request_id] = job
        self._schedule_attempt(job)

    def _schedule_attempt(self, job: Job) -> None:
        """Schedules the end or the failure of an attempt that starts now."""
        workers = set(job.placement)
        if workers & self._fleet_state.down:
            self._schedule(self._now_s + START_ACK_TIMEOUT_S,
                           self._abandon_start, job, job.attempt)
            return
        job.run_begin_s = self._now_s + START_DELAY_S
        if job.first_start_s is None:
            job.first_start_s = job.run_begin_s
        self._schedule(job.run_begin_s + job.remaining_run_s,
                       self._complete_attempt, job, job.attempt)
        for worker_id in sorted(workers & self._fleet_state.bad_workers.keys()):
            self._schedule(
                job.run_begin_s + self._fleet_state.bad_workers[worker_id],
                self._fail_attempt, job, job.attempt, worker_id)
        for worker_id in sorted(workers):
            if self._fleet_state.is_memory_exceeded(worker_id):
                self._schedule(job.run_begin_s + MEMORY_KILL_DELAY_S,
                               self._kill_memory_offenders, worker_id)

    def _is_current_attempt(self, job: Job, attempt: int) -> bool:
        return job.running is not None and job.attempt == attempt

    def _abandon_start(self, job: Job, attempt: int) -> None:
        if self._is_current_attempt(job, attempt):
            self._end_attempt(job)
            self._enqueue(job)

    def _complete_attempt(self, job: Job, attempt: int) -> None:
        if not self._is_current_attempt(job, attempt) or job.is_lost:
            return
        resumed = job.remaining_run_s < job.trace_request.run_s
        self._record_delivery(job, self._now_s)
        for worker_id in set(job.placement):
            self._record_health(job, worker_id, failed=False)
        self._end_attempt(job, completed=not resumed)
        self._set_outcome(job, request.State.COMPLETED)

    def _record_health(self, job: Job, worker_id: str, *, failed: bool) -> None:
        if self._health is not None:
            trace_request = job.trace_request
            self._health.record(
                health_module.TaskEnd(worker_id=worker_id,
                                      request_id=trace_request.request_id,
                                      team=trace_request.team,
                                      template=trace_request.template,
                                      failed=failed,
                                      at_s=self._now_s))

    def _is_permanent_failure(self, job: Job) -> bool:
        if not job.is_restartable or job.failures >= MAX_FAILED_ATTEMPTS:
            return True
        if self._health is None:
            return False
        return self._health.find_give_up_reason(
            job.trace_request.request_id) is not None

    def _fail_attempt(self, job: Job, attempt: int, worker_id: str) -> None:
        if not self._is_current_attempt(job, attempt):
            return
        self._record_health(job, worker_id, failed=True)
        self._end_attempt(job)
        job.failures += 1
        if self._is_permanent_failure(job):
            self._set_outcome(job, request.State.FAILED)
            return
        delay_s = MEAN_RETRY_DELAY_S * 2**job.failures * self._random.uniform(
            0.25, 0.75)
        self._schedule(self._now_s + delay_s, self._enqueue, job)

    def _kill_memory_offenders(self, worker_id: str) -> None:
        """Fails gangs that exceed their declared memory, latest start first.

        Stops as soon as the tasks fit into the memory of the worker.
        """
        while self._fleet_state.is_memory_exceeded(worker_id):
            offenders = [
                job for job in self._running.values()
                if worker_id in job.placement and job.trace_request.true_shape.
                memory_gb > job.trace_request.shape.memory_gb
            ]
            if not offenders:
                return
            latest_job = max(offenders, key=lambda job: job.run_begin_s)
            self._fail_attempt(latest_job, latest_job.attempt, worker_id)

    def _end_attempt(self, job: Job, completed: bool = False) -> None:
        """Ends the attempt of a gang and frees its resources."""
        assert job.running is not None
        self._fleet_state.deallocate(job.placement, job.trace_request.shape,
                                     job.trace_request.true_shape)
        ran_s = max(0.0, self._now_s - job.running.started_s)
        self._scheduler.record_end(job.trace_request.request_id,
                                   ran_s=ran_s,
                                   completed=completed)
        del self._running[job.trace_request.request_id]
        job.running = None
        job.placement = ()
        self._request_round()

    def _record_delivery(self, job: Job, until_s: float) -> None:
        if until_s > job.run_begin_s:
            self._deliveries.append(
                results.Delivery(job.run_begin_s, until_s,
                                 job.trace_request.shape.total_accelerators,
                                 job.trace_request.team))

    def _evict(self, eviction: scheduler_module.Eviction) -> None:
        request_id = eviction.attempt_id.rpartition(".")[0]
        job = self._jobs[request_id]
        if job.running is None or job.running.attempt_id != eviction.attempt_id:
            raise errors.PolicyError(f"{eviction.attempt_id} does not run")
        if not job.running.evictable:
            raise errors.PolicyError(f"{eviction.attempt_id} is not evictable")
        self._jobs[eviction.for_request].reclaimed = True
        if job.is_stopping:
            return
        job.is_stopping = True
        delay_s = STOP_DELAY_S
        if job.trace_request.checkpoint:
            delay_s += self._trace.checkpoint_s
        self._schedule(self._now_s + delay_s, self._complete_eviction, job,
                       job.attempt, self._now_s)

    def _complete_eviction(self, job: Job, attempt: int,
                           evicted_s: float) -> None:
        if not self._is_current_attempt(job, attempt):
            return
        job.evictions += 1
        if job.trace_request.checkpoint:
            # Progress after the start of the checkpoint is lost.
            saved_s = max(0.0, evicted_s - job.run_begin_s)
            self._record_delivery(job, evicted_s)
            job.remaining_run_s = max(0.0, job.remaining_run_s - saved_s)
        self._end_attempt(job)
        self._enqueue(job)

    # Workers and store.

    def _change_workers(self, change: trace_module.WorkerChange) -> None:
        workers = set(change.workers)
        if change.state == "leaving":
            self._set_leaving(workers, leaving=True)
            self._fleet_state.excluded |= workers
        elif change.state == "failed":
            self._fleet_state.down |= workers
            lost_jobs = [
                job for job in self._running.values()
                if not workers.isdisjoint(job.placement)
            ]
            for job in lost_jobs:
                job.is_lost = True
            self._schedule(self._now_s + LOSS_DETECTION_S,
                           self._handle_detected_loss, workers,
                           [(job, job.attempt) for job in lost_jobs])
        else:
            self._set_leaving(workers, leaving=False)
            self._fleet_state.down -= workers
            self._fleet_state.excluded -= workers
        self._request_round()

    def _set_leaving(self, workers: set[str], leaving: bool) -> None:
        self._fleet = fleet_module.Fleet(workers=[
            worker._replace(
                leaving=leaving) if worker.worker_id in workers else worker
            for worker in self._fleet.workers.values()
        ])

    def _handle_detected_loss(self, workers: set[str],
                              lost_jobs: list[tuple[Job, int]]) -> None:
        self._fleet_state.excluded |= workers & self._fleet_state.down
        for job, attempt in lost_jobs:
            if not self._is_current_attempt(job, attempt):
                continue
            self._end_attempt(job)
            lease_end_s = self._now_s + TASK_LEASE_S - LOSS_DETECTION_S
            if job.is_restartable:
                self._schedule(lease_end_s, self._enqueue, job)
            else:
                self._schedule(lease_end_s, self._set_outcome, job,
                               request.State.FAILED)
        self._request_round()

    def _begin_worker_faults(self, fault: trace_module.BadWorkers) -> None:
        for worker_id in fault.workers:
            self._fleet_state.bad_workers[worker_id] = fault.after_s

    def _end_worker_faults(self, fault: trace_module.BadWorkers) -> None:
        for worker_id in fault.workers:
            del self._fleet_state.bad_workers[worker_id]

    def _begin_outage(self, until_s: float) -> None:
        self._store_down_until_s = max(self._store_down_until_s, until_s)
        self._schedule(until_s, self._request_round)

    # Rounds.

    def _request_round(self) -> None:
        if self._is_round_scheduled:
            return
        self._is_round_scheduled = True
        at_s = max(self._now_s, self._last_round_s + self._round_interval_s,
                   self._store_down_until_s)
        self._schedule(at_s, self._run_round)

    def _run_round(self) -> None:
        self._is_round_scheduled = False
        if self._is_store_down:
            self._request_round()
            return
        self._last_round_s = self._now_s
        self._update_quarantine()
        snapshot = self._build_snapshot()
        begin_s = time.process_time()
        decisions = self._scheduler.decide(snapshot)
        decision_s = time.process_time() - begin_s
        for refusal in decisions.refusals:
            self._set_outcome(self._jobs[refusal.request_id],
                              request.State.NOT_RUN)
        for expiration in decisions.expirations:
            self._set_outcome(self._jobs[expiration.request_id],
                              request.State.EXPIRED)
        for eviction in decisions.evictions:
            self._evict(eviction)
        for start in decisions.starts:
            self._start(start)
        self._samples.append(
            results.Sample(
                at_s=self._now_s,
                free=self._fleet_state.measure_free_accelerators(),
                used_accelerators=self._fleet_state.used_accelerators,
                pending=len(self._pending),
                running=len(self._running),
                decision_s=decision_s))

    def _update_quarantine(self) -> None:
        if self._health is None:
            return
        self._health.update(self._now_s, len(self._fleet.workers))
        quarantined = self._health.find_workers(
            health_module.Status.QUARANTINED)
        busy_workers = {
            worker_id for job in self._running.values()
            for worker_id in job.placement
        }
        # A worker on probation gets no new tasks while it runs any.
        probation = self._health.find_workers(
            health_module.Status.PROBATION) & busy_workers
        self._fleet_state.quarantined = quarantined | probation
        if (quarantined and self._pending and
                not self._is_quarantine_round_scheduled):
            self._is_quarantine_round_scheduled = True
            self._schedule(self._now_s + QUARANTINE_ROUND_INTERVAL_S,
                           self._request_quarantine_round)

    def _request_quarantine_round(self) -> None:
        self._is_quarantine_round_scheduled = False
        self._request_round()

    def _build_snapshot(self) -> scheduler_module.Snapshot:
        running = [
            job.running
            for job in self._running.values()
            if job.running is not None
        ]
        return scheduler_module.Snapshot(
            now_s=self._now_s,
            fleet=self._fleet,
            pending=tuple(self._pending.values()),
            running=tuple(running),
            configuration=self._trace.configuration,
            excluded=self._fleet_state.unavailable)

    def _build_result(self, job: Job) -> results.Result:
        return results.Result(trace_request=job.trace_request,
                              outcome=job.outcome,
                              received_s=job.received_s,
                              started_s=job.first_start_s,
                              end_s=job.end_s,
                              attempts=job.attempt,
                              evictions=job.evictions,
                              had_free_guarantee=job.had_free_guarantee,
                              had_room=job.had_room,
                              reclaimed=job.reclaimed,
                              started_guaranteed=job.started_guaranteed)
