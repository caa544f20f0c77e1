"""Copies answers from workers to the object store."""

from trefoilroad_core import attempt as attempts
from trefoilroad_core import context
from trefoilroad_core import events
from trefoilroad_core import job as jobs
from trefoilroad_core import outcomes as outcomes_module
from trefoilroad_core import request

Phase = attempts.Phase


class AnswerTransfers:
    """Has answers copied and completes requests whose answer is stored."""

    def __init__(self, *, shared: context.Context,
                 outcomes: outcomes_module.Outcomes):
        self._ctx = shared
        self._outcomes = outcomes
        self._storing: dict[str, str] = {}

    def store(self, job: jobs.Job, attempt: attempts.Attempt) -> None:
        """Has the answer of a finished attempt copied to the object store."""
        if attempt.phase is Phase.RUNNING:
            self._ctx.policy.record_end(job.request_id,
                                        ran_s=self._ctx.now_s -
                                        attempt.started_s,
                                        completed=True)
        attempt.phase = Phase.STORING
        attempt.deadline_s = float("inf")
        self._storing[attempt.attempt_id] = job.request_id
        self._ctx.needs_round = True
        reported = attempt.rank_zero_member.answer or {
            "length": 0,
            "sha256": ""
        }
        reference = request.AnswerReference(
            object=f"answer/{attempt.attempt_id}",
            length=reported["length"],
            sha256=reported["sha256"])
        self._ctx.emit(
            events.StoreAnswer(attempt_id=attempt.attempt_id,
                               worker_id=attempt.rank_zero_member.worker_id,
                               answer=reference))

    def handle_stored(self, event: events.AnswerStored) -> None:
        """Completes a request whose answer has been stored completely."""
        job = self._ctx.jobs.get(self._storing.pop(event.attempt_id, ""))
        if job is None or job.attempt is None:
            return
        self._outcomes.finish(job,
                              request.State.COMPLETED,
                              request.Ran.YES,
                              "",
                              answer=event.answer)

    def handle_lost(self, event: events.AnswerLost) -> None:
        """Schedules another try to copy an answer."""
        job = self._ctx.jobs.get(self._storing.get(event.attempt_id, ""))
        if job is None or job.attempt is None:
            return
        job.backoffs += 1
        job.attempt.deadline_s = (self._ctx.now_s +
                                  self._ctx.compute_delay(job.backoffs))

    def forget(self, attempt: attempts.Attempt) -> None:
        """Stops waiting for the answer of an attempt."""
        self._storing.pop(attempt.attempt_id, None)
