"""What becomes of a request when an attempt has ended."""

from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import commits as commits_module
from trefoilroad_core import context
from trefoilroad_core import job as jobs
from trefoilroad_core import request

StopReason = attempts.StopReason
CommitKind = jobs.CommitKind

# A retry budget protects a request against its own faults; what the fleet
# does to it does not count.
COUNTED_REASONS = frozenset({StopReason.TASK_FAILED, StopReason.NOT_STARTED})


class Endings:
    """Decides between another attempt and a final outcome."""

    def __init__(self, *, shared: context.Context,
                 commits: commits_module.Commits):
        self._ctx = shared
        self._commits = commits

    def conclude(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Decides after an attempt of which nothing can run any more.

        Args:
            job: The request.
            attempt: The stopped attempt, with each member resolved.
        """
        assert attempt.stop_reason is not None
        ran = attempt.judge_ran()
        total = attempts.combine_ran(ran, request.Ran(job.record["ran"]))
        reason = attempt.stop_reason
        text = self._describe_stop(attempt)
        if reason is StopReason.CANCELLED or job.record["cancel"]:
            self.finish(job, request.State.CANCELLED, total, text)
        elif ran is request.Ran.NO:
            self.requeue(job, reason, {"reason": text})
        elif self._was_checkpointed(attempt):
            self.requeue(
                job, reason, {
                    "resume": attempt.attempt_id,
                    "ran": total,
                    "tries": job.record["tries"],
                    "reason": text
                })
        elif not job.record["idempotent"]:
            self.finish(job, request.State.FAILED, total, text)
        else:
            self.retry(job, reason, total, text)

    def finish(self, job: jobs.Job, state: request.State, ran: request.Ran,
               reason: str, **fields: Any) -> None:
        """Records a final outcome.

        Args:
            job: The request.
            state: A final state.
            ran: Whether it ran.
            reason: Why, for the caller.
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
        """Lets a request be tried again, or fails it when that is used up."""
        tries = job.record["tries"] + (reason in COUNTED_REASONS)
        verdict = None
        if reason is StopReason.TASK_FAILED:
            verdict = self._ctx.health.find_give_up_reason(job.request_id)
        if verdict is not None or tries >= self._ctx.bounds.max_tries:
            text = f"{text}; {verdict or f'tried {tries} times'}"
            self.finish(job, request.State.FAILED, ran, text, tries=tries)
            return
        self.requeue(job, reason, {"tries": tries, "ran": ran, "reason": text})
        if reason is StopReason.TASK_FAILED:
            # Time for a bad worker to be found out by other requests.
            job.not_before_s += self._ctx.bounds.failed_retry_s * tries

    def requeue(self, job: jobs.Job, reason: StopReason,
                changes: dict[str, Any]) -> None:
        """Lets a request wait for another attempt."""
        self._requeue_in_memory(job)
        if reason is StopReason.EVICTED:
            job.not_before_s = self._ctx.now_s
        if job.record["state"] == request.State.QUEUED and job.commit is None:
            return
        self._commits.commit(job, CommitKind.REQUEUE,
                             {"state": request.State.QUEUED} | changes)

    def _requeue_in_memory(self, job: jobs.Job) -> None:
        job.backoffs += 1
        job.not_before_s = self._ctx.now_s + self._ctx.compute_delay(
            job.backoffs)
