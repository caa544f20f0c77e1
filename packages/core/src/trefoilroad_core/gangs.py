"""The gang protocol: reserve on all workers, claim, start, stop.

All members of an attempt go through its phases together. If a worker does not
answer, the state of its member is resolved by time, as reservations and leases
expire on the worker.
"""

from typing import Any

from trefoilroad_core import answers as answers_module
from trefoilroad_core import attempt as attempts
from trefoilroad_core import commits as commits_module
from trefoilroad_core import context
from trefoilroad_core import events
from trefoilroad_core import health
from trefoilroad_core import job as jobs
from trefoilroad_core import outcomes as outcomes_module
from trefoilroad_core import request
from trefoilroad_core import trackedworkers

MemberState = attempts.MemberState
Phase = attempts.Phase
StopReason = attempts.StopReason
CommitKind = jobs.CommitKind

STOPPABLE_PHASES = frozenset(
    {Phase.RESERVING, Phase.CLAIMING, Phase.STARTING, Phase.RUNNING})


class GangProtocol:
    """Runs attempts from the reservation of their gang to their end."""

    def __init__(self, *, shared: context.Context,
                 commits: commits_module.Commits,
                 outcomes: outcomes_module.Outcomes,
                 answers: answers_module.AnswerTransfers):
        """Creates the protocol state of an epoch.

        Args:
            shared: State of the epoch.
            commits: Records claims and states.
            outcomes: Decides what follows an attempt.
            answers: Copies answers to the object store.
        """
        self._ctx = shared
        self._commits = commits
        self._outcomes = outcomes
        self._answers = answers
        self._next_attempt = shared.epoch * attempts.ATTEMPTS_PER_EPOCH

    def handle_reply(self, command: trackedworkers.OpenCommand,
                     event: events.CommandReplied) -> None:
        """Handles the reply to a command about a member."""
        target = self._find_member(event.command_id, command)
        if target is None:
            return
        job, attempt, member = target
        member.command_id = None
        accepted = event.status == 200
        if command.path == "/v1/reserve":
            self._handle_reserve_reply(job, attempt, member, event.body,
                                       accepted)
        elif command.path == "/v1/start":
            self._handle_start_reply(job, attempt, member, event.body, accepted)
        elif command.path == "/v1/stop":
            self._handle_stop_reply(job, attempt, member, event.body, accepted)

    def handle_lost_command(self, command: trackedworkers.OpenCommand,
                            command_id: int) -> None:
        """Handles a command about a member that got no reply."""
        target = self._find_member(command_id, command)
        if target is None:
            return
        job, attempt, member = target
        member.command_id = None
        if attempt.phase is Phase.RESERVING:
            self.stop(job, attempt, StopReason.NOT_RESERVED)
        elif attempt.phase is Phase.STARTING:
            self.stop(job, attempt, StopReason.NOT_STARTED)
        elif attempt.phase is Phase.STOPPING:
            member.retry_s = self._ctx.now_s + self._ctx.compute_delay(1)

    def recover(self, job: jobs.Job) -> None:
        """Creates an attempt that an earlier owner may have left running."""
        attempt = attempts.Attempt(request_id=job.request_id,
                                   number=job.record["attempt"],
                                   placement=job.record["placement"],
                                   guaranteed=job.record["guaranteed"],
                                   phase=Phase.RECOVERING,
                                   now_s=self._ctx.now_s)
        for member in attempt.members.values():
            member.boot = job.record["boots"].get(member.worker_id)
            member.start_sent = True
            member.reference_s = self._ctx.takeover_s
        guard_s = self._ctx.bounds.lease_guard_s
        attempt.deadline_s = self._ctx.takeover_s + guard_s
        self._ctx.set_attempt(job, attempt)

    def reserve_gang(self, job: jobs.Job, placement: tuple[str, ...],
                     guaranteed: bool) -> None:
        """Begins an attempt by reserving a gang on all its workers."""
        self._next_attempt += 1
        attempt = attempts.Attempt(request_id=job.request_id,
                                   number=self._next_attempt,
                                   placement=placement,
                                   guaranteed=guaranteed,
                                   phase=Phase.RESERVING,
                                   now_s=self._ctx.now_s)
        self._ctx.set_attempt(job, attempt)
        for member in attempt.members.values():
            self._reserve(job, attempt, member)

    def _reserve(self, job: jobs.Job, attempt: attempts.Attempt,
                 member: attempts.Member) -> None:
        member.reference_s = self._ctx.tracked_workers.get_reference_s(
            member.worker_id, self._ctx.now_s)
        member.retry_s = self._ctx.now_s + self._ctx.bounds.reserve_ttl_s / 3
        shape = request.get_shape(job.record)
        self._send_member(
            job, attempt, member, "/v1/reserve", {
                "ranks": member.ranks,
                "shape": shape._asdict(),
                "ttl_s": self._ctx.bounds.reserve_ttl_s
            })

    def _handle_reserve_reply(self, job: jobs.Job, attempt: attempts.Attempt,
                              member: attempts.Member, body: dict[str, Any],
                              accepted: bool) -> None:
        if attempt.phase is Phase.CLAIMING:
            if not accepted or body["boot"] != member.boot:
                self.stop(job, attempt, StopReason.NOT_RESERVED)
            return
        if attempt.phase is not Phase.RESERVING:
            return
        if not accepted:
            self.stop(job, attempt, StopReason.NOT_RESERVED)
            return
        member.state = MemberState.RESERVED
        member.boot = body["boot"]
        if attempt.all_members_in(MemberState.RESERVED):
            self._claim(job, attempt)

    def _claim(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        attempt.phase = Phase.CLAIMING
        attempt.deadline_s = self._ctx.now_s + self._ctx.bounds.claim_timeout_s
        boots = {
            member.worker_id: member.boot
            for member in attempt.members.values()
        }
        self._commits.commit(
            job, CommitKind.CLAIM, {
                "state": request.State.CLAIMED,
                "attempt": attempt.number,
                "placement": list(attempt.placement),
                "boots": boots,
                "guaranteed": attempt.guaranteed,
                "reason": ""
            })

    def start_claimed(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Starts a claimed gang, or stops it if a worker is leaving.

        It is also stopped if the VM list is too old to show a leaving worker.
        """
        leaving = any(
            self._ctx.tracked_workers.is_leaving(worker_id)
            for worker_id in attempt.members)
        if leaving or self._ctx.is_vm_list_stale():
            self.stop(job, attempt, StopReason.LEAVING)
        else:
            self._start(job, attempt)

    def _start(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        attempt.phase = Phase.STARTING
        attempt.deadline_s = self._ctx.now_s + self._ctx.bounds.start_timeout_s
        for member in attempt.members.values():
            member.start_sent = True
            member.reference_s = self._ctx.tracked_workers.get_reference_s(
                member.worker_id, self._ctx.now_s)
            self._send_member(
                job, attempt, member, "/v1/start", {
                    "lease_s": self._ctx.bounds.lease_s,
                    "payload": job.record["payload"],
                    "answer": member is attempt.rank_zero_member,
                    "resume": job.record["resume"]
                }, self._ctx.bounds.start_timeout_s)

    def _handle_start_reply(self, job: jobs.Job, attempt: attempts.Attempt,
                            member: attempts.Member, body: dict[str, Any],
                            accepted: bool) -> None:
        if attempt.phase is not Phase.STARTING:
            return
        if not accepted or body["boot"] != member.boot:
            self.stop(job, attempt, StopReason.NOT_STARTED)
            return
        if self._mark_running(attempt, member):
            self._record_running(job)

    def _mark_running(self, attempt: attempts.Attempt,
                      member: attempts.Member) -> bool:
        """Marks a member as running; returns whether all members run now."""
        member.state = MemberState.RUNNING
        member.acknowledged_s = self._ctx.now_s
        # The task may be short, and a recovered one has a lease from the
        # previous owner.
        self._ctx.tracked_workers.schedule_early_sync(member.worker_id,
                                                      self._ctx.now_s)
        if not attempt.all_members_in(MemberState.RUNNING):
            return False
        attempt.phase = Phase.RUNNING
        attempt.started_s = self._ctx.now_s
        self._ctx.needs_round = True
        return True

    def _record_running(self, job: jobs.Job) -> None:
        self._commits.commit(job, CommitKind.RUNNING, {
            "state": request.State.RUNNING,
            "ran": request.Ran.YES
        })

    # Stopping.

    def stop(self,
             job: jobs.Job,
             attempt: attempts.Attempt,
             reason: StopReason,
             checkpoint: bool = False) -> None:
        """Stops an attempt on all its workers."""
        attempt.phase = Phase.STOPPING
        attempt.stop_reason = reason
        attempt.checkpoint = checkpoint
        self._ctx.needs_round = True
        for member in attempt.members.values():
            if member.state not in attempts.RESOLVED_STATES:
                self._send_stop(job, attempt, member)
        self._conclude_if_stopped(job, attempt)

    def _send_stop(self, job: jobs.Job, attempt: attempts.Attempt,
                   member: attempts.Member) -> None:
        member.retry_s = float("inf")
        self._send_member(job, attempt, member, "/v1/stop",
                          {"checkpoint": attempt.checkpoint},
                          self._ctx.bounds.stop_timeout_s)

    def _handle_stop_reply(self, job: jobs.Job, attempt: attempts.Attempt,
                           member: attempts.Member, body: dict[str, Any],
                           accepted: bool) -> None:
        if not accepted:
            member.retry_s = self._ctx.now_s + self._ctx.compute_delay(1)
            return
        restarted = member.boot is not None and body["boot"] != member.boot
        if restarted and member.start_sent:
            # The new process has no record of what the old one ran.
            member.state = MemberState.LOST
        else:
            member.state = MemberState(body["state"])
            member.checkpointed = bool(body.get("checkpoint"))
        self._conclude_if_stopped(job, attempt)

    def _conclude_if_stopped(self, job: jobs.Job,
                             attempt: attempts.Attempt) -> None:
        """Ends an attempt once no member can run any more."""
        if not attempt.all_members_in(*attempts.RESOLVED_STATES):
            return
        self._ctx.set_attempt(job, None)
        self._ctx.needs_round = True
        self._ctx.send_forget(attempt)
        self._outcomes.conclude_attempt(job, attempt)

    def cancel(self, job: jobs.Job) -> None:
        """Stops or ends a request that its caller has cancelled."""
        if job.attempt is not None:
            if job.attempt.phase in STOPPABLE_PHASES:
                self.stop(job, job.attempt, StopReason.CANCELLED)
        elif job.commit is None:
            self._outcomes.finish(job, request.State.CANCELLED,
                                  request.Ran(job.record["ran"]),
                                  StopReason.CANCELLED.value)

    def recover_member(self, job: jobs.Job, attempt: attempts.Attempt,
                       member: attempts.Member, task: dict[str, Any] | None,
                       boot: str) -> None:
        """Compares a member started by an earlier owner with its worker."""
        if boot != member.boot or task is None or task["state"] == "reserved":
            self.stop(job, attempt, StopReason.RECOVERED)
            return
        if not self._mark_running(attempt, member):
            return
        if job.record["cancel"]:
            self.cancel(job)
        elif job.record["state"] != request.State.RUNNING:
            self._record_running(job)

    def update_member(self, job: jobs.Job, attempt: attempts.Attempt,
                      member: attempts.Member, task: dict[str, Any] | None,
                      boot: str, sent_s: float) -> None:
        """Updates a running member from its worker's report."""
        if member.state is not MemberState.RUNNING:
            return
        if boot != member.boot:
            self.stop(job, attempt, StopReason.MEMBER_LOST)
        elif task is None:
            # A report requested before the start was acknowledged may predate
            # the start.
            if sent_s > member.acknowledged_s:
                self.stop(job, attempt, StopReason.MEMBER_LOST)
        elif task["state"] == "finished":
            member.state = MemberState.FINISHED
            member.answer = task["answer"]
            self._record_health(job, member, failed=False)
            if attempt.all_members_in(MemberState.FINISHED):
                self._answers.store(job, attempt)
        elif task["state"] == "failed" and task["error"] == "lease_lapsed":
            self.stop(job, attempt, StopReason.MEMBER_LOST)
        elif task["state"] == "failed":
            member.state = MemberState.FAILED
            member.error = str(task.get("error", ""))
            self._record_health(job, member, failed=True)
            self.stop(job, attempt, StopReason.TASK_FAILED)

    def _record_health(self, job: jobs.Job, member: attempts.Member, *,
                       failed: bool) -> None:
        self._ctx.health.record(
            health.TaskEnd(worker_id=member.worker_id,
                           request_id=job.request_id,
                           team=job.record["team"],
                           template=job.record["template"],
                           failed=failed,
                           at_s=self._ctx.now_s))

    def _retry_storing(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Copies the answer again, or gives it up if its worker is lost.

        A worker that does not answer may still hold the answer. Once it has
        been silent for the lease guard time, idempotent requests give the
        answer up; others only once the VM list no longer names the worker.
        """
        tracked = self._ctx.tracked_workers.by_worker.get(
            attempt.rank_zero_member.worker_id)
        is_gone = tracked is None or not tracked.listed
        silent_s = self._ctx.now_s - (tracked.replied_s
                                      if tracked else float("-inf"))
        if silent_s >= self._ctx.bounds.lease_guard_s and (
                is_gone or job.record["idempotent"]):
            self.handle_lost_answer(job, attempt, attempt.rank_zero_member)
        if attempt.phase is Phase.STORING:
            self._answers.store(job, attempt)

    def handle_lost_answer(self, job: jobs.Job, attempt: attempts.Attempt,
                           member: attempts.Member) -> None:
        """Handles the loss of an answer before it was copied."""
        if member is not attempt.rank_zero_member or job.commit is not None:
            return
        self._answers.forget(attempt)
        attempt.stop_reason = StopReason.MEMBER_LOST
        attempt.phase = Phase.STOPPING
        member.state = MemberState.LOST
        self._conclude_if_stopped(job, attempt)

    def check_timeouts(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Takes the actions of an attempt that are due at the current time."""
        overdue = self._ctx.now_s >= attempt.deadline_s
        if attempt.phase is Phase.CLAIMING:
            self._renew_reservations(job, attempt)
            if overdue:
                self.stop(job, attempt, StopReason.CLAIM_LOST)
        elif attempt.phase is Phase.STARTING and overdue:
            self.stop(job, attempt, StopReason.NOT_STARTED)
        elif attempt.phase is Phase.RECOVERING and overdue:
            self.stop(job, attempt, StopReason.RECOVERED)
        elif attempt.phase is Phase.RUNNING:
            self._check_leases(job, attempt)
        elif attempt.phase is Phase.STORING and overdue:
            self._retry_storing(job, attempt)
        elif attempt.phase is Phase.STOPPING:
            self._check_stops(job, attempt)

    def _renew_reservations(self, job: jobs.Job,
                            attempt: attempts.Attempt) -> None:
        for member in attempt.members.values():
            if member.retry_s <= self._ctx.now_s and member.command_id is None:
                self._reserve(job, attempt, member)

    def _check_leases(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        for member in attempt.members.values():
            tracked = self._ctx.tracked_workers.by_worker.get(member.worker_id)
            silent_s = self._ctx.now_s - (tracked.replied_s
                                          if tracked else float("-inf"))
            if (member.state is MemberState.RUNNING and
                    silent_s >= self._ctx.bounds.lease_s):
                self.stop(job, attempt, StopReason.MEMBER_LOST)
                return

    def _check_stops(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        for member in attempt.members.values():
            if member.state in attempts.RESOLVED_STATES:
                continue
            self._resolve_unreachable(job, member)
            if (member.state not in attempts.RESOLVED_STATES and
                    member.retry_s <= self._ctx.now_s):
                self._send_stop(job, attempt, member)
        self._conclude_if_stopped(job, attempt)

    def _resolve_unreachable(self, job: jobs.Job,
                             member: attempts.Member) -> None:
        """Resolves a member whose worker cannot be reached, by time alone.

        Its reservation and lease have expired on the worker by then. Without a
        start nothing has run; with one, only the worker has the result.
        """
        guard_s = self._ctx.bounds.reserve_guard_s
        if member.start_sent:
            guard_s += self._ctx.bounds.lease_guard_s
        if self._ctx.now_s < member.reference_s + guard_s:
            return
        tracked = self._ctx.tracked_workers.by_worker.get(member.worker_id)
        if not member.start_sent:
            member.state = MemberState.NEVER_STARTED
        elif job.record["idempotent"] or tracked is None or not tracked.listed:
            member.state = MemberState.LOST
        elif job.record["state"] != request.State.UNKNOWN and not job.commit:
            self._commits.commit(
                job, CommitKind.UNKNOWN, {
                    "state": request.State.UNKNOWN,
                    "ran": request.Ran.MAYBE,
                    "reason": f"worker {member.worker_id} cannot be reached"
                })

    def _send_member(self,
                     job: jobs.Job,
                     attempt: attempts.Attempt,
                     member: attempts.Member,
                     path: str,
                     body: dict[str, Any],
                     timeout_s: float | None = None) -> None:
        member.command_id = self._ctx.send(
            member.worker_id,
            path, {"attempt": attempt.attempt_id} | body,
            timeout_s=timeout_s,
            request_id=job.request_id,
            number=attempt.number)

    def _find_member(
        self, command_id: int, command: trackedworkers.OpenCommand
    ) -> tuple[jobs.Job, attempts.Attempt, attempts.Member] | None:
        """Finds the member of a command, unless it has been superseded."""
        job = self._ctx.jobs.get(command.request_id)
        if job is None or job.attempt is None:
            return None
        if job.attempt.number != command.attempt:
            return None
        member = job.attempt.members[command.worker_id]
        if member.command_id != command_id:
            return None
        return job, job.attempt, member
