"""The owner of a region, which starts requests and records their outcomes.

The owner is a state machine. It receives events with the time at which they
happened and returns effects. It has no socket, clock or thread, so that the
daemon and the tests on a virtual clock run the same code. The replay runs only
its scheduler.
"""

import collections
from collections.abc import Callable
import random
from typing import Any

from trefoilroad_core import answers as answers_module
from trefoilroad_core import attempt as attempts
from trefoilroad_core import commits as commits_module
from trefoilroad_core import context
from trefoilroad_core import contract
from trefoilroad_core import events
from trefoilroad_core import fleet
from trefoilroad_core import gangs as gangs_module
from trefoilroad_core import health
from trefoilroad_core import job as job_module
from trefoilroad_core import limits
from trefoilroad_core import outcomes as outcomes_module
from trefoilroad_core import request
from trefoilroad_core import scheduler
from trefoilroad_core import syncs as syncs_module

Phase = attempts.Phase
StopReason = attempts.StopReason


class Owner(commits_module.CommitListener):
    """State machine of one region under one epoch.

    The owner starts the requests of one region. The leader in trefoilroad_jobs
    (`dispatcher.Dispatcher`) schedules all jobs.
    """

    def __init__(self,
                 *,
                 region: str,
                 epoch: int,
                 owner_version: int,
                 policy: scheduler.Scheduler,
                 rng: random.Random,
                 now_s: float,
                 bounds: limits.Limits | None = None):
        """Creates the state of a new epoch, before any row has been read.

        Args:
            region: Region that is owned.
            epoch: Epoch of the takeover.
            owner_version: Version of the row `owner/<region>`.
            policy: Decides which requests start where.
            rng: Source of jitter and tokens.
            now_s: Owner's time in seconds.
            bounds: Time limits; the defaults if absent.
        """
        self.epoch = epoch
        self.ownership_lost = False
        self.configuration = contract.EMPTY_CONFIGURATION
        self._ctx = context.Context(epoch=epoch,
                                    bounds=bounds or limits.Limits(),
                                    rng=rng,
                                    policy=policy,
                                    now_s=now_s)
        self._commits = commits_module.Commits(shared=self._ctx,
                                               owner_key=f"owner/{region}",
                                               owner_version=owner_version,
                                               listener=self)
        self._outcomes = outcomes_module.Outcomes(shared=self._ctx,
                                                  commits=self._commits)
        self._answers = answers_module.AnswerTransfers(shared=self._ctx,
                                                       outcomes=self._outcomes)
        self._gangs = gangs_module.GangProtocol(shared=self._ctx,
                                                commits=self._commits,
                                                outcomes=self._outcomes,
                                                answers=self._answers)
        self._syncs = syncs_module.WorkerSyncs(shared=self._ctx,
                                               gangs=self._gangs)
        self._last_round_s = float("-inf")
        self._fleet = fleet.Fleet(workers=())
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.RequestSeen: self._handle_request,
            events.RequestsRead: self._handle_requests_read,
            events.WorkersSeen: self._handle_workers,
            events.ConfigurationSeen: self._handle_configuration,
            events.CommandReplied: self._handle_reply,
            events.CommandLost: self._handle_lost_command,
            events.Committed: self._commits.handle_committed,
            events.CommitRefused: self._commits.handle_refused,
            events.CommitLost: self._commits.handle_lost,
            events.RowRead: self._commits.handle_row,
            events.AnswerStored: self._answers.handle_stored,
            events.AnswerLost: self._answers.handle_lost,
            events.Tick: self._handle_tick,
        }

    @property
    def jobs(self) -> dict[str, job_module.Job]:
        """Requests that are not final, by id."""
        return self._ctx.jobs

    def handle(self, event: events.Event, now_s: float) -> list[events.Effect]:
        """Handles one event.

        Args:
            event: What happened.
            now_s: When, on the owner's monotonic clock, in seconds.

        Returns:
            The effects to carry out, in order.
        """
        if self.ownership_lost:
            return []
        self._ctx.now_s = now_s
        self._handlers[type(event)](event)
        return self._ctx.take_effects()

    def explain(self, request_id: str) -> str:
        """Explains the current state of a request in one sentence.

        Raises:
            KeyError: If the request is unknown or final.
        """
        job = self._ctx.jobs[request_id]
        if job.attempt is not None:
            return f"attempt {job.attempt.number} is {job.attempt.phase.value}"
        if job.commit is not None:
            return f"waits for the store to record {job.commit.kind.value}"
        if self.store_suspect:
            return "waits for the store: a start needs a durable claim"
        if job.not_before_s > self._ctx.now_s:
            delay_s = job.not_before_s - self._ctx.now_s
            return f"is tried again in {delay_s:.1f} s: {job.record['reason']}"
        return self._ctx.policy.explain(request_id)

    @property
    def store_suspect(self) -> bool:
        """Whether a commit was sent more than once or waits to be sent again.

        No attempt is started then, as its claim could not be committed.
        """
        return any(job.commit is not None and job.commit.is_repeated
                   for job in self._ctx.jobs.values())

    def count_waiting(self) -> dict[tuple[str, str], int]:
        """Returns the number of waiting requests by team and caller."""
        return collections.Counter((job.record["team"], job.record["caller"])
                                   for job in self._ctx.jobs.values()
                                   if job.attempt is None)

    def find_excluded(self) -> frozenset[str]:
        """Returns the workers that currently get no new tasks."""
        excluded = self._ctx.tracked_workers.find_excluded(self._ctx.now_s)
        quarantined = self._ctx.health.find_workers(health.Status.QUARANTINED)
        return quarantined | excluded | self.configuration.drained

    # Handlers of rows and lists that were read.

    def _handle_request(self, event: events.RequestSeen) -> None:
        record = event.record
        job = self._ctx.jobs.get(record["request_id"])
        if job is None:
            if not request.is_final(record):
                self._add_job(record, event.version)
        elif event.version > job.version:
            if job.commit and record["token"] == job.commit.record["token"]:
                self._commits.apply_result(job, record, event.version)
            else:
                self.on_foreign_write(job, record, event.version)

    def _handle_requests_read(self, _: events.RequestsRead) -> None:
        self._ctx.needs_round = self._ctx.needs_round or not self._ctx.rows_read
        self._ctx.rows_read = True

    def _add_job(self, record: request.Record, version: int) -> None:
        job = job_module.Job(record=record,
                             version=version,
                             now_s=self._ctx.now_s)
        self._ctx.jobs[job.request_id] = job
        self._ctx.needs_round = True
        if record["state"] in (request.State.CLAIMED, request.State.RUNNING,
                               request.State.UNKNOWN):
            self._gangs.recover(job)
        elif record["cancel"]:
            self._gangs.cancel(job)

    def _handle_workers(self, event: events.WorkersSeen) -> None:
        self._ctx.vm_list_read_s = self._ctx.now_s
        self._ctx.tracked_workers.update(event.workers, self._ctx.now_s)
        needed = {
            worker_id for job in self._ctx.jobs.values()
            if job.attempt is not None for worker_id in job.attempt.members
        }
        self._ctx.tracked_workers.remove([
            worker_id for worker_id, tracked in
            self._ctx.tracked_workers.by_worker.items() if
            not tracked.listed and worker_id not in needed and self._ctx.now_s -
            tracked.listed_s > self._ctx.bounds.unlisted_grace_s
        ])
        self._fleet = fleet.Fleet(workers=[
            tracked.worker
            for tracked in self._ctx.tracked_workers.by_worker.values()
        ])
        self._ctx.needs_round = True

    def _handle_configuration(self, event: events.ConfigurationSeen) -> None:
        if event.configuration.version < self.configuration.version:
            return
        self.configuration = event.configuration
        self._commits.config_version = event.row_version
        self._ctx.needs_round = True

    # Listener methods for results of commits.

    def on_recorded(self, job: job_module.Job) -> None:
        """See commits.CommitListener."""
        if job.record["cancel"]:
            self._gangs.cancel(job)
        elif job.attempt is not None and job.attempt.phase is Phase.CLAIMING:
            self._gangs.start_claimed(job, job.attempt)

    def on_claim_refused(self, job: job_module.Job) -> None:
        """See commits.CommitListener."""
        if job.attempt is not None and job.attempt.phase is Phase.CLAIMING:
            self._gangs.stop(job, job.attempt, StopReason.CLAIM_REFUSED)

    def on_foreign_write(self, job: job_module.Job, record: request.Record,
                         version: int) -> None:
        """See commits.CommitListener; other nodes change only `cancel`."""
        job.version = version
        if request.is_final(record):
            self.on_final(job)
            return
        job.record["cancel"] = record["cancel"]
        if record["cancel"]:
            self._gangs.cancel(job)

    def on_final(self, job: job_module.Job) -> None:
        """See commits.CommitListener; removes the request."""
        self._commits.abandon(job)
        if job.attempt is not None:
            self._answers.forget(job.attempt)
            self._ctx.send_forget(job.attempt)
            self._ctx.set_attempt(job, None)
        del self._ctx.jobs[job.request_id]
        self._ctx.needs_round = True

    def on_ownership_lost(self, reason: str) -> None:
        """See commits.CommitListener; discards all other effects."""
        self.ownership_lost = True
        self._ctx.take_effects()
        self._ctx.emit(events.OwnershipLost(reason=reason))

    # Handlers of replies of workers.

    def _handle_reply(self, event: events.CommandReplied) -> None:
        command = self._ctx.tracked_workers.pop_command(event.command_id)
        if command is None:
            return
        if event.body.get("error") == "stale_epoch":
            self.on_ownership_lost(f"worker {command.worker_id} follows epoch "
                                   f"{event.body.get('epoch')}")
            return
        self._ctx.tracked_workers.record_reply(command, event.body,
                                               self._ctx.now_s)
        if command.path == "/v1/sync":
            self._syncs.handle_reply(event.command_id, command, event.body,
                                     event.status == 200)
        else:
            self._gangs.handle_reply(command, event)

    def _handle_lost_command(self, event: events.CommandLost) -> None:
        command = self._ctx.tracked_workers.pop_command(event.command_id)
        if command is None:
            return
        if command.path == "/v1/sync":
            self._syncs.handle_reply(event.command_id, command, {}, False)
        else:
            self._gangs.handle_lost_command(command, event.command_id)

    # Handler of time.

    def _handle_tick(self, _: events.Tick) -> None:
        self._syncs.start_due()
        for job in list(self._ctx.jobs.values()):
            if job.commit is not None and job.commit.retry_s <= self._ctx.now_s:
                self._commits.send(job, job.commit)
            if job.attempt is not None:
                self._gangs.check_timeouts(job, job.attempt)
        age_s = self._ctx.now_s - self._last_round_s
        if self._ctx.needs_round or age_s >= self._ctx.bounds.round_interval_s:
            self._run_round()

    # Scheduling.

    def _run_round(self) -> None:
        self._ctx.needs_round = False
        self._last_round_s = self._ctx.now_s
        if not self._fleet.workers or not self._ctx.rows_read:
            return
        self._ctx.health.update(self._ctx.now_s, len(self._fleet.workers))
        decisions = self._ctx.policy.decide(self._build_snapshot())
        for refusal in decisions.refusals:
            self._finish_waiting(refusal.request_id, request.State.NOT_RUN,
                                 refusal.reason)
        for expiration in decisions.expirations:
            self._finish_waiting(expiration.request_id, request.State.EXPIRED,
                                 "waited longer than its limit")
        for eviction in decisions.evictions:
            self._evict(eviction.attempt_id)
        if self.store_suspect or self._ctx.is_vm_list_stale():
            return
        for start in decisions.starts:
            job = self._ctx.jobs[start.request_id]
            if job.is_waiting:
                self._gangs.reserve_gang(job, start.placement, start.guaranteed)

    def _finish_waiting(self, request_id: str, state: request.State,
                        reason: str) -> None:
        job = self._ctx.jobs[request_id]
        if job.is_waiting and job.record["ran"] == request.Ran.NO:
            self._outcomes.finish(job, state, request.Ran.NO, reason)

    def _evict(self, attempt_id: str) -> None:
        job = self._ctx.jobs[attempt_id.rpartition(".")[0]]
        if job.attempt is not None and job.is_evictable:
            self._gangs.stop(job, job.attempt, StopReason.EVICTED,
                             job.record["checkpoint"])

    def _build_snapshot(self) -> scheduler.Snapshot:
        pending = tuple(
            self._build_pending(job)
            for job in self._ctx.jobs.values()
            if job.is_waiting and job.not_before_s <= self._ctx.now_s)
        running = tuple(
            self._build_running(job, job.attempt)
            for job in self._ctx.jobs.values()
            if job.attempt is not None and
            job.attempt.phase is not Phase.STORING)
        return scheduler.Snapshot(now_s=self._ctx.now_s,
                                  fleet=self._fleet,
                                  pending=pending,
                                  running=running,
                                  configuration=self.configuration,
                                  excluded=self.find_excluded(),
                                  probation=self._ctx.health.find_workers(
                                      health.Status.PROBATION))

    def _build_pending(self, job: job_module.Job) -> scheduler.Pending:
        record = job.record
        expires_s = job.received_s + record["wait_s"]
        if record["ran"] != request.Ran.NO:
            expires_s = float("inf")
        return scheduler.Pending(request_id=job.request_id,
                                 team=record["team"],
                                 caller=record["caller"],
                                 template=record["template"],
                                 shape=request.get_shape(record),
                                 priority=record["priority"],
                                 received_s=job.received_s,
                                 expires_s=expires_s,
                                 idempotent=record["idempotent"],
                                 checkpoint=record["checkpoint"],
                                 declared_s=record["declared_s"],
                                 attempt=record["attempt"],
                                 avoid=self._ctx.health.find_failed_workers(
                                     job.request_id))

    def _build_running(self, job: job_module.Job,
                       attempt: attempts.Attempt) -> scheduler.Running:
        record = job.record
        return scheduler.Running(request_id=job.request_id,
                                 attempt_id=attempt.attempt_id,
                                 team=record["team"],
                                 caller=record["caller"],
                                 template=record["template"],
                                 shape=request.get_shape(record),
                                 placement=attempt.placement,
                                 started_s=attempt.started_s,
                                 guaranteed=attempt.guaranteed,
                                 evictable=job.is_evictable and
                                 not attempt.guaranteed,
                                 priority=record["priority"],
                                 declared_s=record["declared_s"])
