"""The owner of a region: decides what starts and answers for the outcome.

The owner is a state machine. It gets events with the time at which they
happened and gives back effects; it has no socket, no clock and no thread, so
that the daemon, the replay and the tests drive the same code.
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
from trefoilroad_core import endings as endings_module
from trefoilroad_core import events
from trefoilroad_core import fleet
from trefoilroad_core import gangs as gangs_module
from trefoilroad_core import health
from trefoilroad_core import job as job_module
from trefoilroad_core import limits
from trefoilroad_core import request
from trefoilroad_core import scheduler
from trefoilroad_core import syncs as syncs_module

Phase = attempts.Phase
StopReason = attempts.StopReason


class Owner(commits_module.Listener):
    """Decides for one region under one epoch."""

    def __init__(self,
                 *,
                 region: str,
                 epoch: int,
                 owner_version: int,
                 policy: scheduler.Scheduler,
                 rng: random.Random,
                 now_s: float,
                 bounds: limits.Limits | None = None):
        """Begins an epoch.

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
        self.deposed = False
        self.configuration = contract.EMPTY
        self._ctx = context.Context(epoch=epoch,
                                    bounds=bounds or limits.Limits(),
                                    rng=rng,
                                    policy=policy,
                                    now_s=now_s)
        self._commits = commits_module.Commits(shared=self._ctx,
                                               owner_key=f"owner/{region}",
                                               owner_version=owner_version,
                                               listener=self)
        self._endings = endings_module.Endings(shared=self._ctx,
                                               commits=self._commits)
        self._answers = answers_module.Answers(shared=self._ctx,
                                               endings=self._endings)
        self._gangs = gangs_module.Gangs(shared=self._ctx,
                                         commits=self._commits,
                                         endings=self._endings,
                                         answers=self._answers)
        self._syncs = syncs_module.Syncs(shared=self._ctx, gangs=self._gangs)
        self._last_round_s = float("-inf")
        self._fleet = fleet.Fleet(workers=())
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.RequestSeen: self._see_request,
            events.RequestsRead: self._note_read,
            events.WorkersSeen: self._see_workers,
            events.ConfigurationSeen: self._see_configuration,
            events.CommandAnswered: self._take_answer,
            events.CommandLost: self._take_loss,
            events.Committed: self._commits.confirm,
            events.CommitRefused: self._commits.refuse,
            events.CommitLost: self._commits.lose,
            events.RowRead: self._commits.compare,
            events.AnswerStored: self._answers.take_stored,
            events.AnswerLost: self._answers.take_lost,
            events.Tick: self._tick,
        }

    @property
    def jobs(self) -> dict[str, job_module.Job]:
        """Requests that are not final, by id."""
        return self._ctx.jobs

    def handle(self, event: events.Event, now_s: float) -> list[events.Effect]:
        """Takes one event.

        Args:
            event: What happened.
            now_s: When, on the owner's monotonic clock, in seconds.

        Returns:
            What has to be done because of it.
        """
        if self.deposed:
            return []
        self._ctx.now_s = now_s
        self._handlers[type(event)](event)
        return self._ctx.take_effects()

    def explain(self, request_id: str) -> str:
        """Tells why a request is where it is, in one sentence.

        Raises:
            KeyError: If the request is not known or already final.
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
        """Whether some commit got no answer and is being repeated.

        Nothing new is reserved then: it could not be claimed.
        """
        return any(job.commit is not None and job.commit.is_repeated
                   for job in self._ctx.jobs.values())

    def count_waiting(self) -> dict[tuple[str, str], int]:
        """Returns the number of waiting requests by team and caller."""
        return collections.Counter((job.record["team"], job.record["caller"])
                                   for job in self._ctx.jobs.values()
                                   if job.attempt is None)

    def find_excluded(self) -> frozenset[str]:
        """Returns the workers that get nothing new now."""
        excluded = self._ctx.links.get_excluded(self._ctx.now_s)
        quarantined = self._ctx.health.find(health.Status.QUARANTINED)
        return quarantined | excluded | self.configuration.drained

    # Rows and lists that were read.

    def _see_request(self, event: events.RequestSeen) -> None:
        record = event.record
        job = self._ctx.jobs.get(record["request_id"])
        if job is None:
            if not request.is_final(record):
                self._add_job(record, event.version)
        elif event.version > job.version:
            if job.commit and record["token"] == job.commit.record["token"]:
                self._commits.conclude(job, record, event.version)
            else:
                self.merge(job, record, event.version)

    def _note_read(self, _: events.RequestsRead) -> None:
        self._ctx.dirty = self._ctx.dirty or not self._ctx.has_read
        self._ctx.has_read = True

    def _add_job(self, record: request.Record, version: int) -> None:
        job = job_module.Job(record=record,
                             version=version,
                             now_s=self._ctx.now_s)
        self._ctx.jobs[job.request_id] = job
        self._ctx.dirty = True
        if record["state"] in (request.State.CLAIMED, request.State.RUNNING,
                               request.State.UNKNOWN):
            self._gangs.recover(job)
        elif record["cancel"]:
            self._gangs.cancel(job)

    def _see_workers(self, event: events.WorkersSeen) -> None:
        self._ctx.list_read_s = self._ctx.now_s
        self._ctx.links.update(event.workers, self._ctx.now_s)
        needed = {
            worker_id for job in self._ctx.jobs.values()
            if job.attempt is not None for worker_id in job.attempt.members
        }
        self._ctx.links.discard([
            worker_id for worker_id, link in self._ctx.links.links.items()
            if not link.listed and worker_id not in needed and self._ctx.now_s -
            link.listed_s > self._ctx.bounds.unlisted_s
        ])
        self._fleet = fleet.Fleet(
            workers=[link.worker for link in self._ctx.links.links.values()])
        self._ctx.dirty = True

    def _see_configuration(self, event: events.ConfigurationSeen) -> None:
        if event.configuration.version < self.configuration.version:
            return
        self.configuration = event.configuration
        self._commits.config_version = event.row_version
        self._ctx.dirty = True

    # Results of commits.

    def take_recorded(self, job: job_module.Job) -> None:
        """See commits.Listener."""
        if job.record["cancel"]:
            self._gangs.cancel(job)
        elif job.attempt is not None and job.attempt.phase is Phase.CLAIMING:
            self._gangs.start_claimed(job, job.attempt)

    def take_refused(self, job: job_module.Job) -> None:
        """See commits.Listener."""
        if job.attempt is not None and job.attempt.phase is Phase.CLAIMING:
            self._gangs.stop(job, job.attempt, StopReason.CLAIM_REFUSED)

    def merge(self, job: job_module.Job, record: request.Record,
              version: int) -> None:
        """See commits.Listener; others change only `cancel`."""
        job.version = version
        if request.is_final(record):
            self.drop(job)
            return
        job.record["cancel"] = record["cancel"]
        if record["cancel"]:
            self._gangs.cancel(job)

    def drop(self, job: job_module.Job) -> None:
        """See commits.Listener; forgets the request."""
        self._commits.forget(job)
        if job.attempt is not None:
            self._answers.forget(job.attempt)
            self._ctx.forget(job.attempt)
            self._ctx.set_attempt(job, None)
        del self._ctx.jobs[job.request_id]
        self._ctx.dirty = True

    def depose(self, reason: str) -> None:
        """See commits.Listener; no effect but this one remains."""
        self.deposed = True
        self._ctx.take_effects()
        self._ctx.emit(events.Deposed(reason=reason))

    # Answers of workers.

    def _take_answer(self, event: events.CommandAnswered) -> None:
        command = self._ctx.links.close(event.command_id)
        if command is None:
            return
        if event.body.get("error") == "stale_epoch":
            self.depose(f"worker {command.worker_id} follows epoch "
                        f"{event.body.get('epoch')}")
            return
        self._ctx.links.note_answer(command, event.body, self._ctx.now_s)
        if command.path == "/v1/sync":
            self._syncs.end(event.command_id, command, event.body,
                            event.status == 200)
        else:
            self._gangs.take_answer(command, event)

    def _take_loss(self, event: events.CommandLost) -> None:
        command = self._ctx.links.close(event.command_id)
        if command is None:
            return
        if command.path == "/v1/sync":
            self._syncs.end(event.command_id, command, {}, False)
        else:
            self._gangs.take_loss(command, event.command_id)

    # Time.

    def _tick(self, _: events.Tick) -> None:
        self._syncs.begin_due()
        for job in list(self._ctx.jobs.values()):
            if job.commit is not None and job.commit.retry_s <= self._ctx.now_s:
                self._commits.send(job, job.commit)
            if job.attempt is not None:
                self._gangs.check(job, job.attempt)
        overdue_s = self._ctx.now_s - self._last_round_s
        if self._ctx.dirty or overdue_s >= self._ctx.bounds.round_interval_s:
            self._run_round()

    # Scheduling.

    def _run_round(self) -> None:
        self._ctx.dirty = False
        self._last_round_s = self._ctx.now_s
        if not self._fleet.workers or not self._ctx.has_read:
            return
        self._ctx.health.update(self._ctx.now_s, len(self._fleet.workers))
        decisions = self._ctx.policy.decide(self._build_snapshot())
        for refusal in decisions.refusals:
            self._close_waiting(refusal.request_id, request.State.NOT_RUN,
                                refusal.reason)
        for expiration in decisions.expirations:
            self._close_waiting(expiration.request_id, request.State.EXPIRED,
                                "waited longer than its limit")
        for eviction in decisions.evictions:
            self._evict(eviction.attempt_id)
        if self.store_suspect or self._ctx.is_list_stale():
            return
        for start in decisions.starts:
            job = self._ctx.jobs[start.request_id]
            if job.is_waiting:
                self._gangs.begin(job, start.placement, start.guaranteed)

    def _close_waiting(self, request_id: str, state: request.State,
                       reason: str) -> None:
        job = self._ctx.jobs[request_id]
        if job.is_waiting and job.record["ran"] == request.Ran.NO:
            self._endings.finish(job, state, request.Ran.NO, reason)

    def _evict(self, attempt_id: str) -> None:
        job = self._ctx.jobs[attempt_id.rpartition(".")[0]]
        if job.attempt is not None and job.is_evictable:
            self._gangs.stop(job, job.attempt, StopReason.EVICTED,
                             job.record["checkpoint"])

    def _build_snapshot(self) -> scheduler.Snapshot:
        pending = tuple(
            self._describe_pending(job)
            for job in self._ctx.jobs.values()
            if job.is_waiting and job.not_before_s <= self._ctx.now_s)
        running = tuple(
            self._describe_running(job, job.attempt)
            for job in self._ctx.jobs.values()
            if job.attempt is not None and
            job.attempt.phase is not Phase.STORING)
        return scheduler.Snapshot(now_s=self._ctx.now_s,
                                  fleet=self._fleet,
                                  pending=pending,
                                  running=running,
                                  configuration=self.configuration,
                                  excluded=self.find_excluded(),
                                  probation=self._ctx.health.find(
                                      health.Status.PROBATION))

    def _describe_pending(self, job: job_module.Job) -> scheduler.Pending:
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

    def _describe_running(self, job: job_module.Job,
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
