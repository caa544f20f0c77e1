"""Decides what happens to a request when an attempt has ended."""

from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import commits as commits_module
from trefoilroad_core import context
from trefoilroad_core import job as jobs
from trefoilroad_core import request

StopReason = attempts.StopReason
CommitKind = jobs.CommitKind

# Only failures that the request itself may have caused use up its retry budget;
# evictions and lost workers do not.
RETRY_BUDGET_REASONS = frozenset(
    {StopReason.TASK_FAILED, StopReason.NOT_STARTED})


class Outcomes:
    """Decides between another attempt and a final outcome."""

    def __init__(self, *, shared: context.Context,
                 commits: commits_module.Commits):
        self._ctx = shared
        self._commits = commits

    def conclude_attempt(self, job: jobs.Job,
                         attempt: attempts.Attempt) -> None:
        """Decides what follows an attempt that can no longer run anywhere.

        Args:
            job: The request.
            attempt: The stopped attempt, with each member resolved.
        """
        assert attempt.stop_reason is not None
        ran = attempt.determine_ran()
        ran_overall = attempts.combine_ran(ran, request.Ran(job.record["ran"]))
        reason = attempt.stop_reason
        text = self._describe_stop(attempt)
        if reason is StopReason.CANCELLED or job.record["cancel"]:
            self.finish(job, request.State.CANCELLED, ran_overall, text)
        elif ran is request.Ran.NO:
            self.requeue(job, reason, {"reason": text})
        elif self._was_checkpointed(attempt):
            self.requeue(
                job, reason, {
                    "resume": attempt.attempt_id,
                    "ran": ran_overall,
                    "tries": job.record["tries"],
                    "reason": text
                })
        elif not job.record["idempotent"]:
            self.finish(job, request.State.FAILED, ran_overall, text)
        else:
            self.retry(job, reason, ran_overall, text)

    def finish(self, job: jobs.Job, state: request.State, ran: request.Ran,
               reason: str, **fields: Any) -> None:
        """Records a final outcome.

        Args:
            job: The request.
            state: A final state.
            ran: Whether it ran.
            reason: Explanation for the caller.
            **fields: Further fields of the row.
        """
        changes = {"state": state, "ran": ran, "reason": reason}
        self._commits.commit(job, CommitKind.FINAL, changes | fields)

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

    def retry(self, job: jobs.Job, reason: StopReason, ran: request.Ran,
              text: str) -> None:
        """Requeues a request, or fails it if its retry budget is used up."""
        tries = job.record["tries"] + (reason in RETRY_BUDGET_REASONS)
        give_up_reason = None
        if reason is StopReason.TASK_FAILED:
            give_up_reason = self._ctx.health.find_give_up_reason(
                job.request_id)
        if give_up_reason is not None or tries >= self._ctx.bounds.max_tries:
            text = f"{text}; {give_up_reason or f'tried {tries} times'}"
            self.finish(job, request.State.FAILED, ran, text, tries=tries)
            return
        self.requeue(job, reason, {"tries": tries, "ran": ran, "reason": text})
        if reason is StopReason.TASK_FAILED:
            # Other requests get time to reveal a faulty worker.
            job.not_before_s += self._ctx.bounds.failed_retry_s * tries

    def requeue(self, job: jobs.Job, reason: StopReason,
                changes: dict[str, Any]) -> None:
        """Queues a request for another attempt."""
        self._schedule_retry(job)
        if reason is StopReason.EVICTED:
            job.not_before_s = self._ctx.now_s
        if job.record["state"] == request.State.QUEUED and job.commit is None:
            return
        self._commits.commit(job, CommitKind.REQUEUE,
                             {"state": request.State.QUEUED} | changes)

    def _schedule_retry(self, job: jobs.Job) -> None:
        job.backoffs += 1
        job.not_before_s = self._ctx.now_s + self._ctx.compute_delay(
            job.backoffs)
