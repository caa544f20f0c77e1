"""Replays a trace on a virtual clock against the real scheduler.

There is no model of the platform: a gang starts, runs for its true time and
ends. Evictions take the checkpoint time of the trace and keep the progress of
work that can be checkpointed. Losing a worker stops its gangs. A round is made
when something changed, at most every ROUND_INTERVAL_S.
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
from trefoilroad_replay import results
from trefoilroad_replay import site as site_module
from trefoilroad_replay import trace as trace_module

ROUND_INTERVAL_S = 0.25
START_DELAY_S = 0.1  # Reserving, committing the claim and starting.
STOP_DELAY_S = 0.1
START_LIMIT_S = 1.0  # A start that is not acknowledged is given up.
DETECTION_S = 3.0  # A worker that answers nothing for so long is excluded.
LEASE_S = 10.0  # A lost gang is queued again after its lease.
RETRY_S = 2.0  # Mean of the first backoff; it doubles with each failure.
MAX_FAILURES = 3
QUARANTINE_TICK_S = 5.0  # Rounds while workers are in quarantine.
MEMORY_KILL_S = 1.0  # Time until a worker stops a task that takes too much.

MAX_TIME_S = 14 * 24 * 3600.0
"""Virtual time at which a replay gives up; a policy may starve requests."""


class Job:
    """A request on its way through a replay."""

    def __init__(self, *, release: trace_module.Release):
        self.release = release
        self.outcome = ""
        self.received_s = release.at_s
        self.expires_s = release.at_s + release.wait_s
        self.left_s = release.run_s
        self.attempt = 0
        self.failures = 0
        self.evictions = 0
        self.first_start_s: float | None = None
        self.end_s: float | None = None
        self.is_covered = False
        self.had_room = False
        self.is_first_guaranteed = False
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
        """Whether its outcome is decided."""
        return bool(self.outcome)

    @property
    def can_be_lent(self) -> bool:
        """Whether it may be evicted."""
        return self.release.idempotent or self.release.checkpoint

    def build_pending(self) -> scheduler_module.Pending:
        """Returns what the scheduler sees while it waits."""
        release = self.release
        # Waiting is limited up to the first start only.
        started = self.first_start_s is not None
        return scheduler_module.Pending(
            request_id=release.request_id,
            team=release.team,
            caller=release.caller,
            template=release.template,
            shape=release.shape,
            priority=release.priority,
            received_s=self.received_s,
            expires_s=float("inf") if started else self.expires_s,
            idempotent=release.idempotent,
            checkpoint=release.checkpoint,
            declared_s=release.declared_s,
            attempt=self.attempt)

    def build_running(self, placement: tuple[str, ...], guaranteed: bool,
                      now_s: float) -> scheduler_module.Running:
        """Returns what the scheduler sees while it runs."""
        release = self.release
        return scheduler_module.Running(request_id=release.request_id,
                                        attempt_id=request.build_attempt_id(
                                            release.request_id, self.attempt),
                                        team=release.team,
                                        caller=release.caller,
                                        template=release.template,
                                        shape=release.shape,
                                        placement=placement,
                                        started_s=now_s,
                                        guaranteed=guaranteed,
                                        evictable=self.can_be_lent and
                                        not guaranteed,
                                        priority=release.priority,
                                        declared_s=release.declared_s)


class _Event(NamedTuple):
    """Something that happens at a time; `number` keeps the order of equals."""

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
                 round_interval_s: float = ROUND_INTERVAL_S):
        """Prepares a replay.

        Args:
            trace: The trace.
            scheduler: A new scheduler.
            policy: Name of the policy, for the record.
            health: Puts workers into quarantine; none if it is None.
            round_interval_s: Least time between two rounds.
        """
        self._trace = trace
        self._scheduler = scheduler
        self._policy = policy
        self._health = health
        self._round_interval_s = round_interval_s
        self._fleet = trace.fleet
        self._layout = placement.Layout(fleet=trace.fleet)
        self._site = site_module.Site(fleet=trace.fleet)
        self._random = random.Random(trace.name)
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._jobs = {
            release.request_id: Job(release=release)
            for release in trace.releases
        }
        self._pending: dict[str, scheduler_module.Pending] = {}
        self._running: dict[str, Job] = {}
        # Waiting requests by team and caller; "" counts the whole team.
        self._waiting_in: collections.Counter[tuple[str, str]] = (
            collections.Counter())
        self._now_s = 0.0
        self._last_round_s = -round_interval_s
        self._is_round_due = False
        self._is_tick_due = False
        self._store_until_s = 0.0
        self._samples: list[results.Sample] = []
        self._deliveries: list[results.Delivery] = []

    def run(self) -> results.Replay:
        """Replays the whole trace.

        Returns:
            The record.

        Raises:
            PolicyError: If a decision cannot be carried out.
        """
        self._schedule_trace()
        while self._events and self._events[0].at_s <= MAX_TIME_S:
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

    def _schedule_trace(self) -> None:
        trace = self._trace
        for outage in trace.outages:
            self._schedule(outage.at_s, self._begin_outage, outage.until_s)
        for change in trace.changes:
            self._schedule(change.at_s, self._change_workers, change)
        for bad in trace.bad:
            self._schedule(bad.at_s, self._begin_bad, bad)
            self._schedule(bad.until_s, self._end_bad, bad)
        for job in self._jobs.values():
            self._schedule(job.release.at_s, self._receive, job)
        for cancel in trace.cancels:
            self._schedule(cancel.at_s, self._cancel,
                           self._jobs[cancel.request_id])

    def _schedule(self, at_s: float, action: Callable[..., None], *arguments:
                  Any) -> None:
        heapq.heappush(self._events,
                       _Event(at_s, next(self._numbers), action, arguments))

    @property
    def _is_store_down(self) -> bool:
        return self._now_s < self._store_until_s

    # Requests.

    def _receive(self, job: Job) -> None:
        if self._is_store_down:
            # Callers are told "unknown, ask again" and repeat with a backoff.
            delay_s = self._random.uniform(0.0, RETRY_S)
            self._schedule(self._store_until_s + delay_s, self._receive, job)
            return
        release = job.release
        team = self._trace.configuration.teams[release.team]
        counts = admission.WaitingCounts(
            team=self._waiting_in[release.team, ""],
            caller=self._waiting_in[release.team, release.caller])
        if admission.check_queue_limits(team, release.caller,
                                        counts) is not None:
            self._finish(job, request.State.NOT_RUN)
            return
        job.received_s = self._now_s
        job.expires_s = self._now_s + release.wait_s
        job.is_covered = self._check_covered(release)
        job.had_room = self._check_room(release)
        self._queue(job)
        self._schedule(job.expires_s, self._check_expiry, job)

    def _check_expiry(self, job: Job) -> None:
        if job.release.request_id in self._pending:
            self._request_round()

    def _check_covered(self, release: trace_module.Release) -> bool:
        """Tells whether a guaranteed gang of the team is certainly free.

        Every gang and every waiting request of the team that could use the
        same guarantee counts as using it, so this errs towards False. While
        workers are missing, guarantees may have no place.
        """
        if self._site.closed or self._site.down:
            return False
        team = self._trace.configuration.teams[release.team]
        for entry in team.guarantees:
            if not guarantee.covers(entry.shape, release.shape):
                continue
            shapes = [
                job.release.shape
                for job in self._running.values()
                if job.release.team == release.team
            ]
            shapes += [
                item.shape
                for item in self._pending.values()
                if item.team == release.team
            ]
            users = sum(
                guarantee.covers(entry.shape, shape) for shape in shapes)
            if users < entry.gangs:
                return True
        return False

    def _check_room(self, release: trace_module.Release) -> bool:
        """Tells whether a gang fits beside all that run."""
        free = placement.Capacity(layout=self._layout,
                                  excluded=self._site.closed)
        for job in self._running.values():
            free.take(job.placement, job.release.shape)
        return free.can_place(release.shape)

    def _queue(self, job: Job) -> None:
        if job.is_done:
            return
        self._pending[job.release.request_id] = job.build_pending()
        self._count_waiting(job, 1)
        self._request_round()

    def _unqueue(self, job: Job) -> None:
        if self._pending.pop(job.release.request_id, None) is not None:
            self._count_waiting(job, -1)

    def _count_waiting(self, job: Job, change: int) -> None:
        self._waiting_in[job.release.team, ""] += change
        self._waiting_in[job.release.team, job.release.caller] += change

    def _finish(self, job: Job, outcome: str) -> None:
        """Decides an outcome, once the store can be written."""
        if job.is_done:
            return
        self._unqueue(job)
        job.outcome = outcome
        job.end_s = max(self._now_s, self._store_until_s)
        self._request_round()

    def _cancel(self, job: Job) -> None:
        if job.is_done:
            return
        if self._is_store_down:
            self._schedule(self._store_until_s, self._cancel, job)
        elif job.running is None:
            self._finish(job, request.State.CANCELLED)
        elif not job.is_cancelling:
            job.is_cancelling = True
            self._schedule(self._now_s + STOP_DELAY_S, self._end_cancelled, job,
                           job.attempt)

    def _end_cancelled(self, job: Job, attempt: int) -> None:
        if job.running is not None and job.attempt == attempt:
            self._stop(job)
        self._finish(job, request.State.CANCELLED)

    # Gangs.

    def _start(self, start: scheduler_module.Start) -> None:
        job = self._jobs[start.request_id]
        if start.request_id not in self._pending:
            raise errors.PolicyError(f"{start.request_id} does not wait")
        closed = self._site.closed.intersection(start.placement)
        if closed or len(start.placement) != job.release.shape.tasks:
            raise errors.PolicyError(f"{start.request_id} cannot start on "
                                     f"{', '.join(start.placement)}")
        self._unqueue(job)
        if job.first_start_s is None:
            job.is_first_guaranteed = start.guaranteed
        job.attempt += 1
        job.is_stopping = False
        job.is_lost = False
        job.placement = start.placement
        job.running = job.build_running(start.placement, start.guaranteed,
                                        self._now_s)
        self._site.take(start.placement, job.release.shape,
                        job.release.true_shape)
        self._running[start.request_id] = job
        self._plan_run(job)

    def _plan_run(self, job: Job) -> None:
        """Schedules how the attempt goes on after its start."""
        workers = set(job.placement)
        if workers & self._site.down:
            self._schedule(self._now_s + START_LIMIT_S, self._give_up, job,
                           job.attempt)
            return
        job.run_begin_s = self._now_s + START_DELAY_S
        if job.first_start_s is None:
            job.first_start_s = job.run_begin_s
        self._schedule(job.run_begin_s + job.left_s, self._complete, job,
                       job.attempt)
        for worker_id in sorted(workers & self._site.bad.keys()):
            self._schedule(job.run_begin_s + self._site.bad[worker_id],
                           self._fail, job, job.attempt, worker_id)
        for worker_id in sorted(workers):
            if self._site.is_short_of_memory(worker_id):
                self._schedule(job.run_begin_s + MEMORY_KILL_S,
                               self._kill_largest, worker_id)

    def _is_current(self, job: Job, attempt: int) -> bool:
        return job.running is not None and job.attempt == attempt

    def _give_up(self, job: Job, attempt: int) -> None:
        if self._is_current(job, attempt):
            self._stop(job)
            self._queue(job)

    def _complete(self, job: Job, attempt: int) -> None:
        if not self._is_current(job, attempt) or job.is_lost:
            return
        resumed = job.left_s < job.release.run_s
        self._deliver(job, self._now_s)
        for worker_id in set(job.placement):
            self._record_health(job, worker_id, failed=False)
        self._stop(job, completed=not resumed)
        self._finish(job, request.State.COMPLETED)

    def _record_health(self, job: Job, worker_id: str, *, failed: bool) -> None:
        if self._health is not None:
            release = job.release
            self._health.record(
                health_module.TaskEnd(worker_id=worker_id,
                                      request_id=release.request_id,
                                      team=release.team,
                                      template=release.template,
                                      failed=failed,
                                      at_s=self._now_s))

    def _is_given_up(self, job: Job) -> bool:
        if not job.can_be_lent or job.failures >= MAX_FAILURES:
            return True
        if self._health is None:
            return False
        return self._health.find_give_up_reason(
            job.release.request_id) is not None

    def _fail(self, job: Job, attempt: int, worker_id: str) -> None:
        if not self._is_current(job, attempt):
            return
        self._record_health(job, worker_id, failed=True)
        self._stop(job)
        job.failures += 1
        if self._is_given_up(job):
            self._finish(job, request.State.FAILED)
            return
        delay_s = RETRY_S * 2**job.failures * self._random.uniform(0.25, 0.75)
        self._schedule(self._now_s + delay_s, self._queue, job)

    def _kill_largest(self, worker_id: str) -> None:
        """Fails the gangs that take more memory than they declared."""
        while self._site.is_short_of_memory(worker_id):
            offenders = [
                job for job in self._running.values()
                if worker_id in job.placement and
                job.release.true_shape.memory_gb > job.release.shape.memory_gb
            ]
            if not offenders:
                return
            last = max(offenders, key=lambda job: job.run_begin_s)
            self._fail(last, last.attempt, worker_id)

    def _stop(self, job: Job, completed: bool = False) -> None:
        """Frees what a gang uses."""
        assert job.running is not None
        self._site.release(job.placement, job.release.shape,
                           job.release.true_shape)
        ran_s = max(0.0, self._now_s - job.running.started_s)
        self._scheduler.record_end(job.release.request_id,
                                   ran_s=ran_s,
                                   completed=completed)
        del self._running[job.release.request_id]
        job.running = None
        job.placement = ()
        self._request_round()

    def _deliver(self, job: Job, until_s: float) -> None:
        if until_s > job.run_begin_s:
            self._deliveries.append(
                results.Delivery(job.run_begin_s, until_s,
                                 job.release.shape.total_accelerators,
                                 job.release.team))

    def _evict(self, evict: scheduler_module.Eviction) -> None:
        request_id = evict.attempt_id.rpartition(".")[0]
        job = self._jobs[request_id]
        if job.running is None or job.running.attempt_id != evict.attempt_id:
            raise errors.PolicyError(f"{evict.attempt_id} does not run")
        if not job.running.evictable:
            raise errors.PolicyError(f"{evict.attempt_id} is not evictable")
        self._jobs[evict.for_request].reclaimed = True
        if job.is_stopping:
            return
        job.is_stopping = True
        delay_s = STOP_DELAY_S
        if job.release.checkpoint:
            delay_s += self._trace.checkpoint_s
        self._schedule(self._now_s + delay_s, self._end_evicted, job,
                       job.attempt, self._now_s)

    def _end_evicted(self, job: Job, attempt: int, evicted_s: float) -> None:
        if not self._is_current(job, attempt):
            return
        job.evictions += 1
        if job.release.checkpoint:
            # Work after the begin of the checkpoint is not in it.
            done_s = max(0.0, evicted_s - job.run_begin_s)
            self._deliver(job, evicted_s)
            job.left_s = max(0.0, job.left_s - done_s)
        self._stop(job)
        self._queue(job)

    # Workers and store.

    def _change_workers(self, change: trace_module.WorkerChange) -> None:
        workers = set(change.workers)
        if change.state == "leaving":
            self._mark(workers, leaving=True)
            self._site.excluded |= workers
        elif change.state == "failed":
            self._site.down |= workers
            lost = [
                job for job in self._running.values()
                if not workers.isdisjoint(job.placement)
            ]
            for job in lost:
                job.is_lost = True
            self._schedule(self._now_s + DETECTION_S, self._detect_loss,
                           workers, [(job, job.attempt) for job in lost])
        else:
            self._mark(workers, leaving=False)
            self._site.down -= workers
            self._site.excluded -= workers
        self._request_round()

    def _mark(self, workers: set[str], leaving: bool) -> None:
        self._fleet = fleet_module.Fleet(workers=[
            worker._replace(
                leaving=leaving) if worker.worker_id in workers else worker
            for worker in self._fleet.workers.values()
        ])

    def _detect_loss(self, workers: set[str], lost: list[tuple[Job,
                                                               int]]) -> None:
        self._site.excluded |= workers & self._site.down
        for job, attempt in lost:
            if not self._is_current(job, attempt):
                continue
            self._stop(job)
            later_s = self._now_s + LEASE_S - DETECTION_S
            if job.can_be_lent:
                self._schedule(later_s, self._queue, job)
            else:
                self._schedule(later_s, self._finish, job, request.State.FAILED)
        self._request_round()

    def _begin_bad(self, bad: trace_module.BadWorkers) -> None:
        for worker_id in bad.workers:
            self._site.bad[worker_id] = bad.after_s

    def _end_bad(self, bad: trace_module.BadWorkers) -> None:
        for worker_id in bad.workers:
            del self._site.bad[worker_id]

    def _begin_outage(self, until_s: float) -> None:
        self._store_until_s = max(self._store_until_s, until_s)
        self._schedule(until_s, self._request_round)

    # Rounds.

    def _request_round(self) -> None:
        if self._is_round_due:
            return
        self._is_round_due = True
        at_s = max(self._now_s, self._last_round_s + self._round_interval_s,
                   self._store_until_s)
        self._schedule(at_s, self._make_round)

    def _make_round(self) -> None:
        self._is_round_due = False
        if self._is_store_down:
            self._request_round()
            return
        self._last_round_s = self._now_s
        self._update_quarantine()
        state = self._build_snapshot()
        begin_s = time.process_time()
        decisions = self._scheduler.decide(state)
        decision_s = time.process_time() - begin_s
        for refuse in decisions.refusals:
            self._finish(self._jobs[refuse.request_id], request.State.NOT_RUN)
        for expire in decisions.expirations:
            self._finish(self._jobs[expire.request_id], request.State.EXPIRED)
        for evict in decisions.evictions:
            self._evict(evict)
        for start in decisions.starts:
            self._start(start)
        self._samples.append(
            results.Sample(at_s=self._now_s,
                           free=self._site.measure_free(),
                           used=self._site.used,
                           pending=len(self._pending),
                           running=len(self._running),
                           decision_s=decision_s))

    def _update_quarantine(self) -> None:
        if self._health is None:
            return
        self._health.update(self._now_s, len(self._fleet.workers))
        quarantined = self._health.find_workers(
            health_module.Status.QUARANTINED)
        busy = {
            worker_id for job in self._running.values()
            for worker_id in job.placement
        }
        # On probation a worker gets no work beside what it already runs.
        probation = self._health.find_workers(
            health_module.Status.PROBATION) & busy
        self._site.quarantined = quarantined | probation
        if quarantined and self._pending and not self._is_tick_due:
            self._is_tick_due = True
            self._schedule(self._now_s + QUARANTINE_TICK_S, self._tick)

    def _tick(self) -> None:
        self._is_tick_due = False
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
            excluded=self._site.closed)

    def _build_result(self, job: Job) -> results.Result:
        return results.Result(release=job.release,
                              outcome=job.outcome,
                              received_s=job.received_s,
                              started_s=job.first_start_s,
                              end_s=job.end_s,
                              attempts=job.attempt,
                              evictions=job.evictions,
                              is_covered=job.is_covered,
                              had_room=job.had_room,
                              reclaimed=job.reclaimed,
                              is_first_guaranteed=job.is_first_guaranteed)
