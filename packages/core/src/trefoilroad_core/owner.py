"""The owner of a region: decides what starts and answers for the outcome.

The owner is a state machine. It gets events with the time at which they
happened and gives back effects; it has no socket, no clock and no thread, so
that the daemon, the replay and the tests drive the same code.
"""

import collections
from collections.abc import Callable
import random
from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import backoff
from trefoilroad_core import contract
from trefoilroad_core import events
from trefoilroad_core import fleet
from trefoilroad_core import health
from trefoilroad_core import job as jobs
from trefoilroad_core import limits
from trefoilroad_core import request
from trefoilroad_core import scheduler
from trefoilroad_core import workerlinks

MemberState = attempts.MemberState
Phase = attempts.Phase
StopReason = attempts.StopReason
CommitKind = jobs.CommitKind

# A retry budget protects a request against its own faults; what the fleet
# does to it does not count.
COUNTED_REASONS = frozenset({StopReason.TASK_FAILED, StopReason.NOT_STARTED})
STOPPABLE = frozenset({
    Phase.RESERVING, Phase.CLAIMING, Phase.STARTING, Phase.RUNNING,
    Phase.RECOVERING
})


class Owner:
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
        self.jobs: dict[str, jobs.Job] = {}
        self.links = workerlinks.WorkerLinks(epoch=epoch,
                                             bounds=bounds or limits.Limits())
        self._config_version = 0
        self._owner_key = f"owner/{region}"
        self._owner_version = owner_version
        self._policy = policy
        self._health = health.Health()
        self._rng = rng
        self._bounds = bounds or limits.Limits()
        self._taken_over_s = now_s
        self._now_s = now_s
        self._effects: list[events.Effect] = []
        self._next_commit_id = 0
        self._next_attempt = epoch * attempts.ATTEMPTS_PER_EPOCH
        self._commits: dict[int, str] = {}
        self._placed: dict[str, dict[str, jobs.Job]] = {}
        self._storing: dict[str, str] = {}
        self._has_read = False
        self._dirty = True
        self._last_round_s = float("-inf")
        self._list_read_s = float("-inf")
        self._fleet = fleet.Fleet(workers=())
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.RequestSeen: self._see_request,
            events.WorkersSeen: self._see_workers,
            events.ConfigurationSeen: self._see_configuration,
            events.CommandAnswered: self._take_answer,
            events.CommandLost: self._take_loss,
            events.Committed: self._confirm_commit,
            events.CommitRefused: self._refuse_commit,
            events.CommitLost: self._lose_commit,
            events.RowRead: self._compare_row,
            events.AnswerStored: self._finish_stored,
            events.AnswerLost: self._retry_storing,
            events.RequestsRead: self._note_read,
            events.Tick: self._tick,
        }

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
        self._now_s = now_s
        self._effects = []
        self._handlers[type(event)](event)
        return self._effects

    def explain(self, request_id: str) -> str:
        """Tells why a request is where it is, in one sentence.

        Raises:
            KeyError: If the request is not known or already final.
        """
        job = self.jobs[request_id]
        if job.attempt is not None:
            return f"attempt {job.attempt.number} is {job.attempt.phase.value}"
        if job.commit is not None:
            return f"waits for the store to record {job.commit.kind.value}"
        if self.store_suspect:
            return "waits for the store: a start needs a durable claim"
        if job.not_before_s > self._now_s:
            delay_s = job.not_before_s - self._now_s
            return f"is tried again in {delay_s:.1f} s: {job.record['reason']}"
        return self._policy.explain(request_id)

    @property
    def store_suspect(self) -> bool:
        """Whether some commit got no answer and is being repeated.

        Nothing new is reserved then: it could not be claimed.
        """
        return any(job.commit is not None and job.commit.is_repeated
                   for job in self.jobs.values())

    def count_waiting(self) -> dict[tuple[str, str], int]:
        """Returns the number of waiting requests by team and caller."""
        return collections.Counter((job.record["team"], job.record["caller"])
                                   for job in self.jobs.values()
                                   if job.attempt is None)

    def find_excluded(self) -> frozenset[str]:
        """Returns the workers that get nothing new now."""
        excluded = self.links.get_excluded(self._now_s)
        quarantined = self._health.find(health.Status.QUARANTINED)
        return quarantined | excluded | self.configuration.drained

    # Rows and lists that were read.

    def _see_request(self, event: events.RequestSeen) -> None:
        record = event.record
        job = self.jobs.get(record["request_id"])
        if job is None:
            if not request.is_final(record):
                self._add_job(record, event.version)
        elif event.version > job.version:
            if job.commit and record["token"] == job.commit.record["token"]:
                self._conclude_commit(job, record, event.version)
            else:
                self._merge(job, record, event.version)

    def _note_read(self, _: events.RequestsRead) -> None:
        self._dirty = self._dirty or not self._has_read
        self._has_read = True

    def _add_job(self, record: request.Record, version: int) -> None:
        job = jobs.Job(record=record, version=version, now_s=self._now_s)
        self.jobs[job.request_id] = job
        self._dirty = True
        if record["state"] in (request.State.CLAIMED, request.State.RUNNING,
                               request.State.UNKNOWN):
            self._recover(job)
        elif record["cancel"]:
            self._cancel(job)

    def _recover(self, job: jobs.Job) -> None:
        attempt = attempts.Attempt(request_id=job.request_id,
                                   number=job.record["attempt"],
                                   placement=job.record["placement"],
                                   guaranteed=job.record["guaranteed"],
                                   phase=Phase.RECOVERING,
                                   now_s=self._now_s)
        for member in attempt.members.values():
            member.boot = job.record["boots"].get(member.worker_id)
            member.start_sent = True
            member.basis_s = self._taken_over_s
        attempt.deadline_s = self._taken_over_s + self._bounds.lease_guard_s
        self._set_attempt(job, attempt)

    def _merge(self, job: jobs.Job, record: request.Record,
               version: int) -> None:
        """Takes over a row that somebody else wrote: only `cancel` changes."""
        job.version = version
        if request.is_final(record):
            self._drop(job)
            return
        job.record["cancel"] = record["cancel"]
        if record["cancel"]:
            self._cancel(job)

    def _see_workers(self, event: events.WorkersSeen) -> None:
        self._list_read_s = self._now_s
        self.links.update(event.workers, self._now_s)
        needed = {
            worker_id for job in self.jobs.values() if job.attempt is not None
            for worker_id in job.attempt.members
        }
        self.links.discard([
            worker_id for worker_id, link in self.links.links.items()
            if not link.listed and worker_id not in needed and self._now_s -
            link.listed_s > self._bounds.unlisted_s
        ])
        self._fleet = fleet.Fleet(
            workers=[link.worker for link in self.links.links.values()])
        self._dirty = True

    def _see_configuration(self, event: events.ConfigurationSeen) -> None:
        if event.configuration.version < self.configuration.version:
            return
        self.configuration = event.configuration
        self._config_version = event.row_version
        self._dirty = True

    # Commits.

    def _commit(self, job: jobs.Job, kind: CommitKind,
                changes: dict[str, Any]) -> None:
        if job.commit is not None:
            job.next_commit = (kind, changes)
            return
        self._next_commit_id += 1
        job.commit = jobs.PendingCommit(commit_id=self._next_commit_id,
                                        kind=kind,
                                        changes=changes,
                                        record=self._build_row(job, changes))
        self._commits[self._next_commit_id] = job.request_id
        self._send_commit(job, job.commit)

    def _build_row(self, job: jobs.Job, changes: dict[str,
                                                      Any]) -> request.Record:
        waited_s = job.record["waited_s"]
        if job.record["ran"] == request.Ran.NO:
            waited_s = self._now_s - job.received_s
        fields = {
            "epoch": self.epoch,
            "waited_s": waited_s,
            "token": f"{self.epoch}:{self._rng.getrandbits(64):016x}"
        }
        return job.record | changes | fields  # type: ignore[return-value]

    def _send_commit(self, job: jobs.Job, commit: jobs.PendingCommit) -> None:
        commit.tries += 1
        commit.retry_s = float("inf")
        conditions = {
            job.key: job.version,
            self._owner_key: self._owner_version
        }
        if commit.kind is CommitKind.CLAIM:
            conditions["config/current"] = self._config_version
        self._effects.append(
            events.Commit(commit_id=commit.commit_id,
                          conditions=conditions,
                          writes={job.key: commit.record}))

    def _find_commit(
        self, commit_id: int
    ) -> tuple[jobs.Job, jobs.PendingCommit] | tuple[None, None]:
        job = self.jobs.get(self._commits.get(commit_id, ""))
        if job is None or job.commit is None:
            return None, None
        if job.commit.commit_id != commit_id:
            return None, None
        return job, job.commit

    def _confirm_commit(self, event: events.Committed) -> None:
        job, commit = self._find_commit(event.commit_id)
        if job is not None and commit is not None:
            self._conclude_commit(job, commit.record, event.version)

    def _lose_commit(self, event: events.CommitLost) -> None:
        _, commit = self._find_commit(event.commit_id)
        if commit is not None:
            commit.retry_s = self._now_s + self._compute_delay(commit.tries)

    def _refuse_commit(self, event: events.CommitRefused) -> None:
        if self._owner_key in event.conflicts:
            self._depose("another node owns the region")
            return
        job, commit = self._find_commit(event.commit_id)
        if job is None or commit is None:
            return
        if job.key in event.conflicts:
            # The row changed: by this very commit, whose answer was lost, or
            # by a caller's cancellation.
            self._effects.append(
                events.ReadRow(commit_id=event.commit_id, key=job.key))
        else:
            self._abandon_claim(job, commit)

    def _compare_row(self, event: events.RowRead) -> None:
        job, commit = self._find_commit(event.commit_id)
        if job is None or commit is None:
            return
        if event.value is None:
            self._drop(job)
        elif event.value["token"] == commit.record["token"]:
            self._conclude_commit(job, event.value, event.version)
        elif commit.kind is CommitKind.CLAIM and event.value["cancel"]:
            self._abandon_claim(job, commit)
            self._merge(job, event.value, event.version)
        else:
            self._merge(job, event.value, event.version)
            if job.commit is commit:
                commit.record = self._build_row(job, commit.changes)
                self._send_commit(job, commit)

    def _abandon_claim(self, job: jobs.Job, commit: jobs.PendingCommit) -> None:
        """Gives up a claim that was refused and so was not written."""
        self._commits.pop(commit.commit_id, None)
        job.commit = None
        if job.attempt is not None and job.attempt.phase is Phase.CLAIMING:
            self._stop(job, job.attempt, StopReason.CLAIM_REFUSED)
        elif job.next_commit is not None:
            self._begin_next_commit(job)

    def _conclude_commit(self, job: jobs.Job, record: request.Record,
                         version: int) -> None:
        commit = job.commit
        assert commit is not None
        self._commits.pop(commit.commit_id, None)
        job.commit = None
        cancel = job.record["cancel"] or record["cancel"]
        job.record = record
        job.record["cancel"] = cancel
        job.version = version
        self._dirty = True
        if commit.kind is CommitKind.FINAL:
            self._drop(job)
            return
        if job.next_commit is not None:
            self._begin_next_commit(job)
        elif cancel:
            self._cancel(job)
        elif job.attempt is not None and job.attempt.phase is Phase.CLAIMING:
            self._start_claimed(job, job.attempt)

    def _begin_next_commit(self, job: jobs.Job) -> None:
        assert job.next_commit is not None
        kind, changes = job.next_commit
        job.next_commit = None
        self._commit(job, kind, changes)

    def _drop(self, job: jobs.Job) -> None:
        """Forgets a request whose outcome is on record."""
        if job.commit is not None:
            self._commits.pop(job.commit.commit_id, None)
            # Whoever still holds the job must not send the commit again: it
            # would overwrite the outcome.
            job.commit = None
        if job.attempt is not None:
            self._storing.pop(job.attempt.attempt_id, None)
            self._forget(job.attempt)
            self._set_attempt(job, None)
        del self.jobs[job.request_id]
        self._dirty = True

    def _forget(self, attempt: attempts.Attempt) -> None:
        for worker_id in attempt.members:
            self._send(worker_id, "/v1/forget",
                       {"attempts": [attempt.attempt_id]})

    def _finish(self, job: jobs.Job, state: request.State, ran: request.Ran,
                reason: str, **fields: Any) -> None:
        changes = {"state": state, "ran": ran, "reason": reason}
        self._commit(job, CommitKind.FINAL, changes | fields)

    def _depose(self, reason: str) -> None:
        self.deposed = True
        self._effects = [events.Deposed(reason=reason)]

    # Commands to workers.

    def _send(self,
              worker_id: str,
              path: str,
              body: dict[str, Any],
              *,
              timeout_s: float | None = None,
              request_id: str = "",
              number: int = 0) -> int:
        command = self.links.send(worker_id,
                                  path,
                                  body,
                                  now_s=self._now_s,
                                  timeout_s=timeout_s or
                                  self._bounds.command_timeout_s,
                                  request_id=request_id,
                                  attempt=number)
        self._effects.append(command)
        return command.command_id

    def _send_member(self,
                     job: jobs.Job,
                     attempt: attempts.Attempt,
                     member: attempts.Member,
                     path: str,
                     body: dict[str, Any],
                     timeout_s: float | None = None) -> None:
        member.command_id = self._send(member.worker_id,
                                       path,
                                       {"attempt": attempt.attempt_id} | body,
                                       timeout_s=timeout_s,
                                       request_id=job.request_id,
                                       number=attempt.number)

    def _take_answer(self, event: events.CommandAnswered) -> None:
        command = self.links.close(event.command_id)
        if command is None:
            return
        if event.body.get("error") == "stale_epoch":
            self._depose(f"worker {command.worker_id} follows epoch "
                         f"{event.body.get('epoch')}")
            return
        self.links.note_answer(command, event.body, self._now_s)
        accepted = event.status == 200
        if command.path == "/v1/sync":
            self._end_sync(event.command_id, command, event.body, accepted)
            return
        found = self._find_member(event.command_id, command)
        if found is None:
            return
        job, attempt, member = found
        member.command_id = None
        if command.path == "/v1/reserve":
            self._take_reserved(job, attempt, member, event.body, accepted)
        elif command.path == "/v1/start":
            self._take_started(job, attempt, member, event.body, accepted)
        elif command.path == "/v1/stop":
            self._take_stopped(job, attempt, member, event.body, accepted)

    def _take_loss(self, event: events.CommandLost) -> None:
        command = self.links.close(event.command_id)
        if command is None:
            return
        if command.path == "/v1/sync":
            self._end_sync(event.command_id, command, {}, False)
            return
        found = self._find_member(event.command_id, command)
        if found is None:
            return
        job, attempt, member = found
        member.command_id = None
        if attempt.phase is Phase.RESERVING:
            self._stop(job, attempt, StopReason.NOT_RESERVED)
        elif attempt.phase is Phase.STARTING:
            self._stop(job, attempt, StopReason.NOT_STARTED)
        elif attempt.phase is Phase.STOPPING:
            member.retry_s = self._now_s + self._compute_delay(1)

    def _find_member(
        self, command_id: int, command: workerlinks.OpenCommand
    ) -> tuple[jobs.Job, attempts.Attempt, attempts.Member] | None:
        """Finds what an answer is about, unless it has been superseded."""
        job = self.jobs.get(command.request_id)
        if job is None or job.attempt is None:
            return None
        if job.attempt.number != command.attempt:
            return None
        member = job.attempt.members[command.worker_id]
        if member.command_id != command_id:
            return None
        return job, job.attempt, member

    # Reserve and start.

    def _begin(self, job: jobs.Job, placement: tuple[str, ...],
               guaranteed: bool) -> None:
        self._next_attempt += 1
        attempt = attempts.Attempt(request_id=job.request_id,
                                   number=self._next_attempt,
                                   placement=placement,
                                   guaranteed=guaranteed,
                                   phase=Phase.RESERVING,
                                   now_s=self._now_s)
        self._set_attempt(job, attempt)
        for member in attempt.members.values():
            self._reserve(job, attempt, member)

    def _reserve(self, job: jobs.Job, attempt: attempts.Attempt,
                 member: attempts.Member) -> None:
        member.basis_s = self.links.get_basis(member.worker_id, self._now_s)
        member.retry_s = self._now_s + self._bounds.reserve_ttl_s / 3
        shape = request.get_shape(job.record)
        self._send_member(
            job, attempt, member, "/v1/reserve", {
                "ranks": member.ranks,
                "shape": shape._asdict(),
                "ttl_s": self._bounds.reserve_ttl_s
            })

    def _take_reserved(self, job: jobs.Job, attempt: attempts.Attempt,
                       member: attempts.Member, body: dict[str, Any],
                       accepted: bool) -> None:
        if attempt.phase is Phase.CLAIMING:
            if not accepted or body["boot"] != member.boot:
                self._stop(job, attempt, StopReason.NOT_RESERVED)
            return
        if attempt.phase is not Phase.RESERVING:
            return
        if not accepted:
            self._stop(job, attempt, StopReason.NOT_RESERVED)
            return
        member.state = MemberState.RESERVED
        member.boot = body["boot"]
        if attempt.all_in(MemberState.RESERVED):
            self._claim(job, attempt)

    def _claim(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        attempt.phase = Phase.CLAIMING
        attempt.deadline_s = self._now_s + self._bounds.claim_timeout_s
        boots = {
            member.worker_id: member.boot
            for member in attempt.members.values()
        }
        self._commit(
            job, CommitKind.CLAIM, {
                "state": request.State.CLAIMED,
                "attempt": attempt.number,
                "placement": list(attempt.placement),
                "boots": boots,
                "guaranteed": attempt.guaranteed,
                "reason": ""
            })

    def _start_claimed(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Starts a claimed gang, unless a worker is leaving by now."""
        leaving = any(
            self.links.is_leaving(worker_id) for worker_id in attempt.members)
        if leaving or self._is_list_stale():
            self._stop(job, attempt, StopReason.LEAVING)
        else:
            self._start(job, attempt)

    def _is_list_stale(self) -> bool:
        """Whether the VM list is too old to tell which workers are leaving."""
        age_s = self._now_s - self._list_read_s
        return age_s > self._bounds.list_age_s

    def _start(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        attempt.phase = Phase.STARTING
        attempt.deadline_s = self._now_s + self._bounds.start_timeout_s
        for member in attempt.members.values():
            member.start_sent = True
            member.basis_s = self.links.get_basis(member.worker_id, self._now_s)
            self._send_member(
                job, attempt, member, "/v1/start", {
                    "lease_s": self._bounds.lease_s,
                    "payload": job.record["payload"],
                    "answer": member is attempt.leader,
                    "resume": job.record["resume"]
                }, self._bounds.start_timeout_s)

    def _take_started(self, job: jobs.Job, attempt: attempts.Attempt,
                      member: attempts.Member, body: dict[str, Any],
                      accepted: bool) -> None:
        if attempt.phase is not Phase.STARTING:
            return
        if not accepted or body["boot"] != member.boot:
            self._stop(job, attempt, StopReason.NOT_STARTED)
            return
        member.state = MemberState.RUNNING
        member.acknowledged_s = self._now_s
        self.links.hasten_sync(member.worker_id, self._now_s)
        if attempt.all_in(MemberState.RUNNING):
            attempt.phase = Phase.RUNNING
            attempt.started_s = self._now_s
            self._commit(job, CommitKind.RUNNING, {
                "state": request.State.RUNNING,
                "ran": request.Ran.YES
            })

    # Stop.

    def _stop(self,
              job: jobs.Job,
              attempt: attempts.Attempt,
              reason: StopReason,
              checkpoint: bool = False) -> None:
        attempt.phase = Phase.STOPPING
        attempt.stop_reason = reason
        attempt.checkpoint = checkpoint
        self._dirty = True
        for member in attempt.members.values():
            if member.state not in attempts.RESOLVED:
                self._send_stop(job, attempt, member)
        self._check_stopped(job, attempt)

    def _send_stop(self, job: jobs.Job, attempt: attempts.Attempt,
                   member: attempts.Member) -> None:
        member.retry_s = float("inf")
        self._send_member(job, attempt, member, "/v1/stop",
                          {"checkpoint": attempt.checkpoint},
                          self._bounds.stop_timeout_s)

    def _take_stopped(self, job: jobs.Job, attempt: attempts.Attempt,
                      member: attempts.Member, body: dict[str, Any],
                      accepted: bool) -> None:
        if not accepted:
            member.retry_s = self._now_s + self._compute_delay(1)
            return
        restarted = member.boot is not None and body["boot"] != member.boot
        if restarted and member.start_sent:
            # The new process cannot know what the old one ran.
            member.state = MemberState.LOST
        else:
            member.state = MemberState(body["state"])
            member.checkpointed = bool(body.get("checkpoint"))
        self._check_stopped(job, attempt)

    def _check_stopped(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Ends an attempt once nothing of it can run any more."""
        if not attempt.all_in(*attempts.RESOLVED):
            return
        assert attempt.stop_reason is not None
        self._set_attempt(job, None)
        self._dirty = True
        self._forget(attempt)
        ran = attempt.judge_ran()
        total = attempts.combine_ran(ran, request.Ran(job.record["ran"]))
        reason = attempt.stop_reason
        text = self._describe_stop(attempt)
        if reason is StopReason.CANCELLED or job.record["cancel"]:
            self._finish(job, request.State.CANCELLED, total, text)
        elif ran is request.Ran.NO:
            self._requeue(job, reason, {"reason": text})
        elif self._was_checkpointed(attempt):
            self._requeue(
                job, reason, {
                    "resume": attempt.attempt_id,
                    "ran": total,
                    "tries": job.record["tries"],
                    "reason": text
                })
        elif not job.record["idempotent"]:
            self._finish(job, request.State.FAILED, total, text)
        else:
            self._retry(job, reason, total, text)

    def _describe_stop(self, attempt: attempts.Attempt) -> str:
        assert attempt.stop_reason is not None
        errors = [
            member.error for member in attempt.members.values() if member.error
        ]
        return ": ".join([attempt.stop_reason.value, *errors[:1]])

    def _was_checkpointed(self, attempt: attempts.Attempt) -> bool:
        members = attempt.members.values()
        return attempt.checkpoint and all(
            member.checkpointed for member in members)

    def _retry(self, job: jobs.Job, reason: StopReason, ran: request.Ran,
               text: str) -> None:
        tries = job.record["tries"] + (reason in COUNTED_REASONS)
        verdict = None
        if reason is StopReason.TASK_FAILED:
            verdict = self._health.judge(job.request_id)
        if verdict is not None or tries >= self._bounds.max_tries:
            text = f"{text}; {verdict or f'tried {tries} times'}"
            self._finish(job, request.State.FAILED, ran, text, tries=tries)
            return
        self._requeue(job, reason, {"tries": tries, "ran": ran, "reason": text})
        if reason is StopReason.TASK_FAILED:
            # Time for a bad worker to be found out by other requests.
            job.not_before_s += self._bounds.failed_retry_s * tries

    def _requeue(self, job: jobs.Job, reason: StopReason,
                 changes: dict[str, Any]) -> None:
        self._requeue_in_memory(job)
        if reason is StopReason.EVICTED:
            job.not_before_s = self._now_s
        if job.record["state"] == request.State.QUEUED and job.commit is None:
            return
        self._commit(job, CommitKind.REQUEUE,
                     {"state": request.State.QUEUED} | changes)

    def _requeue_in_memory(self, job: jobs.Job) -> None:
        job.backoffs += 1
        job.not_before_s = self._now_s + self._compute_delay(job.backoffs)

    def _cancel(self, job: jobs.Job) -> None:
        if job.attempt is not None:
            if job.attempt.phase in STOPPABLE - {Phase.RECOVERING}:
                self._stop(job, job.attempt, StopReason.CANCELLED)
        elif job.commit is None:
            self._finish(job, request.State.CANCELLED,
                         request.Ran(job.record["ran"]),
                         StopReason.CANCELLED.value)

    # Sync.

    def _sync(self, link: workerlinks.WorkerLink) -> None:
        worker_id = link.worker.worker_id
        renew = []
        youngest_s: float | None = None
        for _, attempt in self._list_placed(worker_id):
            if attempt.phase in (Phase.STARTING, Phase.RUNNING):
                renew.append(attempt.attempt_id)
                age_s = self._now_s - attempt.started_s
                youngest_s = min(age_s, youngest_s or age_s)
                attempt.members[worker_id].basis_s = self.links.get_basis(
                    worker_id, self._now_s)
        link.next_sync_s = self._now_s + self.links.get_sync_interval(
            youngest_s)
        link.sync_id = self._send(worker_id, "/v1/sync", {
            "lease_s": self._bounds.lease_s,
            "renew": renew,
            "seen": link.digest
        })

    def _list_placed(self,
                     worker_id: str) -> list[tuple[jobs.Job, attempts.Attempt]]:
        """Returns the jobs that have an attempt on a worker."""
        return [(job, job.attempt)
                for job in self._placed.get(worker_id, {}).values()
                if job.attempt is not None]

    def _set_attempt(self, job: jobs.Job,
                     attempt: attempts.Attempt | None) -> None:
        """Gives a job another attempt and keeps the index by worker."""
        if job.attempt is not None:
            for worker_id in job.attempt.members:
                self._placed[worker_id].pop(job.request_id, None)
        job.attempt = attempt
        if attempt is not None:
            for worker_id in attempt.members:
                placed = self._placed.setdefault(worker_id, {})
                placed[job.request_id] = job

    def _end_sync(self, command_id: int, command: workerlinks.OpenCommand,
                  body: dict[str, Any], accepted: bool) -> None:
        link = self.links.links.get(command.worker_id)
        if link is None or link.sync_id != command_id:
            return
        link.sync_id = None
        if not accepted:
            return
        if not link.synced or link.leaving != bool(body.get("leaving")):
            self._dirty = True
        link.synced = True
        link.leaving = bool(body.get("leaving"))
        if not body.get("unchanged"):
            link.digest = body.get("digest", "")
            link.tasks = body["tasks"]
        self._reconcile(command, link.tasks, body["boot"])

    def _reconcile(self, command: workerlinks.OpenCommand,
                   tasks: list[dict[str, Any]], boot: str) -> None:
        """Compares a worker's tasks with the attempts on record."""
        reported = {task["attempt"]: task for task in tasks}
        for job, attempt in self._list_placed(command.worker_id):
            task = reported.pop(attempt.attempt_id, None)
            member = attempt.members[command.worker_id]
            if attempt.phase is Phase.RECOVERING:
                self._adopt_member(job, attempt, member, task, boot)
            elif attempt.phase is Phase.RUNNING:
                self._update_member(job, attempt, member, task, boot,
                                    command.sent_s)
            elif attempt.phase is Phase.STORING and task is None:
                self._lose_answer(job, attempt, member)
        if not self._has_read:
            # What is not known yet may be a gang that has to be adopted.
            return
        for attempt_id in reported:
            self._stop_unknown(command.worker_id, attempt_id,
                               reported[attempt_id]["state"])

    def _stop_unknown(self, worker_id: str, attempt_id: str,
                      state: str) -> None:
        if state in ("reserved", "running"):
            self._send(worker_id, "/v1/stop", {
                "attempt": attempt_id,
                "checkpoint": False
            })
        else:
            self._send(worker_id, "/v1/forget", {"attempts": [attempt_id]})

    def _adopt_member(self, job: jobs.Job, attempt: attempts.Attempt,
                      member: attempts.Member, task: dict[str, Any] | None,
                      boot: str) -> None:
        if boot != member.boot or task is None or task["state"] == "reserved":
            self._stop(job, attempt, StopReason.RECOVERED)
            return
        member.state = MemberState.RUNNING
        member.acknowledged_s = self._now_s
        # The lease dates from the previous owner and may end soon.
        self.links.hasten_sync(member.worker_id, self._now_s)
        if attempt.all_in(MemberState.RUNNING):
            attempt.phase = Phase.RUNNING
            attempt.started_s = self._now_s
            self._dirty = True
            if job.record["cancel"]:
                self._cancel(job)
            elif job.record["state"] != request.State.RUNNING:
                self._commit(job, CommitKind.RUNNING, {
                    "state": request.State.RUNNING,
                    "ran": request.Ran.YES
                })

    def _update_member(self, job: jobs.Job, attempt: attempts.Attempt,
                       member: attempts.Member, task: dict[str, Any] | None,
                       boot: str, sent_s: float) -> None:
        if member.state is not MemberState.RUNNING:
            return
        if boot != member.boot:
            self._stop(job, attempt, StopReason.MEMBER_LOST)
        elif task is None:
            # A report that was asked for before the start was acknowledged
            # may be older than the start.
            if sent_s > member.acknowledged_s:
                self._stop(job, attempt, StopReason.MEMBER_LOST)
        elif task["state"] == "finished":
            member.state = MemberState.FINISHED
            member.answer = task["answer"]
            self._note_health(job, member, failed=False)
            if attempt.all_in(MemberState.FINISHED):
                self._store_answer(job, attempt)
        elif task["state"] == "failed" and task["error"] == "lease_lapsed":
            self._stop(job, attempt, StopReason.MEMBER_LOST)
        elif task["state"] == "failed":
            member.state = MemberState.FAILED
            member.error = str(task.get("error", ""))
            self._note_health(job, member, failed=True)
            self._stop(job, attempt, StopReason.TASK_FAILED)

    def _note_health(self, job: jobs.Job, member: attempts.Member, *,
                     failed: bool) -> None:
        self._health.record(
            health.Event(worker_id=member.worker_id,
                         request_id=job.request_id,
                         team=job.record["team"],
                         template=job.record["template"],
                         failed=failed,
                         at_s=self._now_s))

    # Answers.

    def _store_answer(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        if attempt.phase is Phase.RUNNING:
            self._policy.record_end(job.request_id,
                                    ran_s=self._now_s - attempt.started_s,
                                    completed=True)
        attempt.phase = Phase.STORING
        attempt.deadline_s = float("inf")
        self._storing[attempt.attempt_id] = job.request_id
        self._dirty = True
        reported = attempt.leader.answer or {"length": 0, "sha256": ""}
        reference = request.AnswerReference(
            object=f"answer/{attempt.attempt_id}",
            length=reported["length"],
            sha256=reported["sha256"])
        self._effects.append(
            events.StoreAnswer(attempt_id=attempt.attempt_id,
                               worker_id=attempt.leader.worker_id,
                               answer=reference))

    def _finish_stored(self, event: events.AnswerStored) -> None:
        job = self.jobs.get(self._storing.pop(event.attempt_id, ""))
        if job is None or job.attempt is None:
            return
        self._finish(job,
                     request.State.COMPLETED,
                     request.Ran.YES,
                     "",
                     answer=event.answer)

    def _retry_storing(self, event: events.AnswerLost) -> None:
        job = self.jobs.get(self._storing.get(event.attempt_id, ""))
        if job is None or job.attempt is None:
            return
        job.backoffs += 1
        job.attempt.deadline_s = (self._now_s +
                                  self._compute_delay(job.backoffs))

    def _check_storing(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Copies the answer again, or gives it up with its worker.

        A silent worker may still hold the answer. Work that can run again
        does not wait for it; other work waits until the VM is gone.
        """
        link = self.links.links.get(attempt.leader.worker_id)
        is_gone = link is None or not link.listed
        silent_s = self._now_s - (link.basis_s if link else float("-inf"))
        if silent_s >= self._bounds.lease_guard_s and (
                is_gone or job.record["idempotent"]):
            self._lose_answer(job, attempt, attempt.leader)
        if attempt.phase is Phase.STORING:
            self._store_answer(job, attempt)

    def _lose_answer(self, job: jobs.Job, attempt: attempts.Attempt,
                     member: attempts.Member) -> None:
        """Handles a worker that lost its answer before it was copied."""
        if member is not attempt.leader or job.commit is not None:
            return
        self._storing.pop(attempt.attempt_id, None)
        attempt.stop_reason = StopReason.MEMBER_LOST
        attempt.phase = Phase.STOPPING
        member.state = MemberState.LOST
        self._check_stopped(job, attempt)

    # Time.

    def _tick(self, _: events.Tick) -> None:
        for link in self.links.get_due(self._now_s):
            self._sync(link)
        for job in list(self.jobs.values()):
            if job.commit is not None and job.commit.retry_s <= self._now_s:
                self._send_commit(job, job.commit)
            if job.attempt is not None:
                self._check_attempt(job, job.attempt)
        overdue_s = self._now_s - self._last_round_s
        if self._dirty or overdue_s >= self._bounds.round_interval_s:
            self._run_round()

    def _check_attempt(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        overdue = self._now_s >= attempt.deadline_s
        if attempt.phase is Phase.CLAIMING:
            self._keep_reservations(job, attempt)
            if overdue:
                self._stop(job, attempt, StopReason.CLAIM_LOST)
        elif attempt.phase is Phase.STARTING and overdue:
            self._stop(job, attempt, StopReason.NOT_STARTED)
        elif attempt.phase is Phase.RECOVERING and overdue:
            self._stop(job, attempt, StopReason.RECOVERED)
        elif attempt.phase is Phase.RUNNING:
            self._check_leases(job, attempt)
        elif attempt.phase is Phase.STORING and overdue:
            self._check_storing(job, attempt)
        elif attempt.phase is Phase.STOPPING:
            self._check_stops(job, attempt)

    def _keep_reservations(self, job: jobs.Job,
                           attempt: attempts.Attempt) -> None:
        for member in attempt.members.values():
            if member.retry_s <= self._now_s and member.command_id is None:
                self._reserve(job, attempt, member)

    def _check_leases(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        for member in attempt.members.values():
            link = self.links.links.get(member.worker_id)
            silent_s = self._now_s - (link.basis_s if link else float("-inf"))
            if (member.state is MemberState.RUNNING and
                    silent_s >= self._bounds.lease_s):
                self._stop(job, attempt, StopReason.MEMBER_LOST)
                return

    def _check_stops(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        for member in attempt.members.values():
            if member.state in attempts.RESOLVED:
                continue
            self._resolve_silent(job, member)
            if (member.state not in attempts.RESOLVED and
                    member.retry_s <= self._now_s):
                self._send_stop(job, attempt, member)
        self._check_stopped(job, attempt)

    def _resolve_silent(self, job: jobs.Job, member: attempts.Member) -> None:
        """Resolves a member that no stop reaches, once time alone proves it.

        A reservation and a lease end by themselves on the worker. Without a
        start nothing has run; with one, only the worker knows.
        """
        guard_s = self._bounds.reserve_guard_s
        if member.start_sent:
            guard_s += self._bounds.lease_guard_s
        if self._now_s < member.basis_s + guard_s:
            return
        link = self.links.links.get(member.worker_id)
        if not member.start_sent:
            member.state = MemberState.NEVER_STARTED
        elif job.record["idempotent"] or link is None or not link.listed:
            member.state = MemberState.LOST
        elif job.record["state"] != request.State.UNKNOWN and not job.commit:
            self._commit(
                job, CommitKind.UNKNOWN, {
                    "state": request.State.UNKNOWN,
                    "ran": request.Ran.MAYBE,
                    "reason": f"worker {member.worker_id} cannot be reached"
                })

    def _compute_delay(self, tries: int) -> float:
        return backoff.compute_delay(tries=max(tries, 1),
                                     base_s=self._bounds.retry_s,
                                     max_s=self._bounds.max_retry_s,
                                     rng=self._rng)

    # Scheduling.

    def _run_round(self) -> None:
        self._dirty = False
        self._last_round_s = self._now_s
        if not self._fleet.workers or not self._has_read:
            return
        self._health.update(self._now_s, len(self._fleet.workers))
        decisions = self._policy.decide(self._build_snapshot())
        for refusal in decisions.refusals:
            self._close_waiting(refusal.request_id, request.State.NOT_RUN,
                                refusal.reason)
        for expiration in decisions.expirations:
            self._close_waiting(expiration.request_id, request.State.EXPIRED,
                                "waited longer than its limit")
        for eviction in decisions.evictions:
            self._evict(eviction.attempt_id)
        if self.store_suspect or self._is_list_stale():
            return
        for start in decisions.starts:
            job = self.jobs[start.request_id]
            if job.is_waiting:
                self._begin(job, start.placement, start.guaranteed)

    def _close_waiting(self, request_id: str, state: request.State,
                       reason: str) -> None:
        job = self.jobs[request_id]
        if job.is_waiting and job.record["ran"] == request.Ran.NO:
            self._finish(job, state, request.Ran.NO, reason)

    def _evict(self, attempt_id: str) -> None:
        job = self.jobs[attempt_id.rpartition(".")[0]]
        if job.attempt is not None and job.is_evictable:
            self._stop(job, job.attempt, StopReason.EVICTED,
                       job.record["checkpoint"])

    def _build_snapshot(self) -> scheduler.Snapshot:
        pending = tuple(
            self._describe_pending(job)
            for job in self.jobs.values()
            if job.is_waiting and job.not_before_s <= self._now_s)
        running = tuple(
            self._describe_running(job, job.attempt)
            for job in self.jobs.values()
            if job.attempt is not None and
            job.attempt.phase is not Phase.STORING)
        return scheduler.Snapshot(now_s=self._now_s,
                                  fleet=self._fleet,
                                  pending=pending,
                                  running=running,
                                  configuration=self.configuration,
                                  excluded=self.find_excluded(),
                                  probation=self._health.find(
                                      health.Status.PROBATION))

    def _describe_pending(self, job: jobs.Job) -> scheduler.Pending:
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
                                 avoid=self._health.find_failed_workers(
                                     job.request_id))

    def _describe_running(self, job: jobs.Job,
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
