"""Accepts, cancels and shows jobs; runs on every node."""

from collections.abc import Callable
from collections.abc import Collection
import enum
from typing import NamedTuple

import structlog

from trefoilroad_jobs import admission
from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import job_budget
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import status_lookups
from trefoilroad_jobs import status_reads
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_jobs import writes
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

# A write is not retried later than this after the start of the call.
WRITE_RETRY_LIMIT_S = 2.4
# A call is answered after this time even if a write is outstanding; callers
# wait for 3 s.
ANSWER_TIMEOUT_S = 2.7
# Delay before a failed write is sent again.
WRITE_RETRY_S = 0.15
# Number of jobs whose final states a node caches, to answer without the leader.
MAX_REMEMBERED_JOBS = 2_000
# When a caller should try again after a temporary failure.
RETRY_AFTER_S = 1
# When a caller should try again while too many jobs are held: room comes with
# the end of others, which takes seconds.
FULL_RETRY_AFTER_S = 5
# When a caller should try again with a job that fits no worker; that helps only
# once there are other workers.
IMPOSSIBLE_RETRY_AFTER_S = 60

_log = structlog.get_logger()


class Outcome(enum.Enum):
    """Result of a call."""

    ACCEPTED = "accepted"
    SHOWN = "shown"
    CANCELLED = "cancelled"
    ABSENT = "no such job"
    NOT_ACCEPTED = "not accepted"
    IMPOSSIBLE = "no worker can ever run it"
    FULL = "too many jobs are held"
    UNKNOWN = "the store did not answer in time"


class Reply(NamedTuple):
    """Answer to a caller.

    Attributes:
        outcome: Result of the call.
        state: State of the job if the outcome is SHOWN, else empty.
        retry_after_s: When to try again, in seconds; 0 for no advice.
    """

    outcome: Outcome
    state: str = ""
    retry_after_s: int = 0


OnReply = Callable[[Reply], None]
OnJobStatus = Callable[[status_reads.JobStatus | None], None]
OnLeaderStatus = Callable[
    [status_reads.JobStatus | status_lookups.NoLeaderStatus], None]


class Submission:
    """A job that is being written to the store.

    Attributes:
        job: The job.
        value: The job as encoded for the store.
        on_done: Gets the reply.
        started_s: When the call started, in seconds.
        maybe_written: Whether a write of it may have taken effect.
        answered: Whether the reply has been given.
        timeout: Gives the reply if a write is outstanding for too long.
    """

    def __init__(self, *, job: workload.Workload, on_done: OnReply,
                 started_s: float):
        self.job = job
        self.value = workload.encode_workload(job)
        self.on_done = on_done
        self.started_s = started_s
        self.maybe_written = False
        self.answered = False
        self.timeout: timer.TimerHandle | None = None


class Intake:
    """Accepts jobs and answers calls about them."""

    def __init__(self, *, store: ports.Store, timers: timer.Timers,
                 metrics: sinks.Metrics,
                 ask_leader: Callable[[str, OnLeaderStatus], None],
                 read_leader: Callable[[], status_lookups.Leader],
                 read_store_ms: Callable[[], float], relay: writes.Relay,
                 admission_control: admission.AdmissionControl,
                 budget: job_budget.JobBudget,
                 list_teams: Callable[[], Collection[str]],
                 on_row_written: Callable[[str, bytes], None]):
        """Creates an intake.

        Args:
            store: The store.
            timers: Source of time.
            metrics: Sink of metrics.
            ask_leader: Asks the leader for the status of a job; gives the
                reason if the leader has no answer.
            read_leader: Returns the leader as known to this node.
            read_store_ms: Returns the store's clock in milliseconds.
            relay: Asks the leader to write a row.
            admission_control: Finds jobs that can never run.
            budget: Bounds the memory of accepted jobs.
            list_teams: Returns the names of all teams.
            on_row_written: Called with the key and the value of each new row;
                the value of a cancellation is empty.
        """
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._ask_leader = ask_leader
        self._read_store_ms = read_store_ms
        self._relay = relay
        self._admission_control = admission_control
        self._budget = budget
        self._list_teams = list_teams
        self._on_row_written = on_row_written
        self._final: dict[str, status_reads.JobStatus] = {}
        self._lookups = status_lookups.StatusLookups(timers=timers,
                                                     metrics=metrics,
                                                     read_leader=read_leader)

    # Submission.

    def submit(self, job: workload.Workload, on_done: OnReply) -> None:
        """Writes a job; a repeat of an id is accepted without effect.

        Args:
            job: The job.
            on_done: Gets ACCEPTED once the job is durable, NOT_ACCEPTED only
                if no write of this call can take effect any more, IMPOSSIBLE
                if nothing was written because no worker can run it, FULL if
                nothing was written because too many jobs are held, else
                UNKNOWN.
        """
        obstacle = self._admission_control.find_obstacle(job)
        if obstacle:
            self._refuse_unless_accepted(
                job, obstacle,
                Reply(Outcome.IMPOSSIBLE,
                      retry_after_s=IMPOSSIBLE_RETRY_AFTER_S), on_done)
            return
        cost = job_budget.compute_cost(job, len(workload.encode_workload(job)))
        shortage = self._budget.find_shortage(job, cost, self._list_teams())
        if shortage:
            self._refuse_unless_accepted(
                job, shortage,
                Reply(Outcome.FULL, retry_after_s=FULL_RETRY_AFTER_S), on_done)
            return
        self._budget.record(job, cost)
        self._begin_submission(job, on_done)

    def _refuse_unless_accepted(self, job: workload.Workload, obstacle: str,
                                refusal: Reply, on_done: OnReply) -> None:
        """Refuses a job, unless an earlier call may have had it accepted."""

        def on_status(status: status_reads.JobStatus | None) -> None:
            if status is None and refusal.outcome is Outcome.FULL:
                # Nothing is written, but an earlier call may have been.
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))
                return
            if status is None or status.state:
                self._begin_submission(job, on_done)
                return
            _log.info("job refused",
                      request=job.job_id,
                      queue=job.queue,
                      team=job.team,
                      reason=obstacle)
            self._metrics.count(f"intake.{refusal.outcome.name.lower()}")
            on_done(refusal)

        self._find_status(job.job_id, on_status)

    def _begin_submission(self, job: workload.Workload,
                          on_done: OnReply) -> None:
        job = job._replace(accepted_ms=self._read_store_ms())
        submission = Submission(job=job,
                                on_done=on_done,
                                started_s=self._timers.read_clock())
        submission.timeout = self._timers.call_later(
            ANSWER_TIMEOUT_S,
            lambda: self._conclude(submission, Reply(Outcome.UNKNOWN),
                                   "a write is still outstanding"))
        self._write(submission)

    def _write(self, submission: Submission) -> None:
        row = writes.RowWrite(tables.get_job_row_name(submission.job.job_id),
                              submission.value,
                              only_new=True)
        self._write_row(
            row, lambda result: self._handle_write_result(submission, result))

    def _write_row(self, row: writes.RowWrite, on_done: ports.OnCommit) -> None:
        writes.WriteWithRelay(store=self._store,
                              timers=self._timers,
                              relay=self._relay,
                              row=row,
                              on_done=on_done)

    def _handle_write_result(self, submission: Submission,
                             result: ports.CommitResult) -> None:
        if isinstance(result, ports.Committed):
            self._on_row_written(tables.JOB_PREFIX + submission.job.job_id,
                                 submission.value)
            self._conclude(submission, Reply(Outcome.ACCEPTED), "written")
        elif isinstance(result, ports.Conflict):
            # The row exists: an earlier attempt, here or through another node.
            self._conclude(submission, Reply(Outcome.ACCEPTED), "repeat")
        else:
            submission.maybe_written = (submission.maybe_written or
                                        result.maybe_written)
            self._retry_or_refuse(submission, result)

    def _retry_or_refuse(self, submission: Submission,
                         result: ports.StoreFailed) -> None:
        waited_s = self._timers.read_clock() - submission.started_s
        if submission.answered:
            return
        if (waited_s + WRITE_RETRY_S < WRITE_RETRY_LIMIT_S and
                submission.maybe_written):
            self._timers.call_later(WRITE_RETRY_S,
                                    lambda: self._write(submission))
        elif submission.maybe_written:
            self._conclude(submission, Reply(Outcome.UNKNOWN), result.reason)
        else:
            self._conclude(
                submission,
                Reply(Outcome.NOT_ACCEPTED, retry_after_s=RETRY_AFTER_S),
                result.reason)

    def _conclude(self, submission: Submission, reply: Reply, why: str) -> None:
        if submission.answered:
            return
        submission.answered = True
        if submission.timeout is not None:
            submission.timeout.cancel()
        waited_s = self._timers.read_clock() - submission.started_s
        _log.info("job submitted",
                  request=submission.job.job_id,
                  queue=submission.job.queue,
                  team=submission.job.team,
                  outcome=reply.outcome.name,
                  why=why,
                  took_s=round(waited_s, 4))
        self._metrics.count(f"intake.{reply.outcome.name.lower()}")
        self._metrics.time("intake.submit", waited_s)
        submission.on_done(reply)

    # Reading.

    def show(self, job_id: str, team: str, on_done: OnReply) -> None:
        """Gives the state of a job.

        The outcome is ABSENT only if the store has no such job or the job
        belongs to another team.

        Args:
            job_id: The job.
            team: Team of the caller, empty if it is not known.
            on_done: Gets SHOWN, ABSENT or UNKNOWN.
        """

        def on_status(status: status_reads.JobStatus | None) -> None:
            if status is None:
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))
            elif not status.state or _is_foreign(status, team):
                on_done(Reply(Outcome.ABSENT))
            else:
                on_done(Reply(Outcome.SHOWN, state=status.state))

        self._find_status(job_id, on_status)

    def _find_status(self, job_id: str, on_done: OnJobStatus) -> None:
        """Finds the status of a job.

        Gives None if neither the leader nor the store answers.
        """
        lookup = self._lookups.begin(job_id)
        remembered = self._final.get(job_id)
        if remembered is not None:
            lookup.answer(status_lookups.Source.REMEMBERED)
            on_done(remembered)
            return

        def on_leader_status(
            status: status_reads.JobStatus | status_lookups.NoLeaderStatus
        ) -> None:
            if isinstance(status, status_reads.JobStatus):
                lookup.answer_from_leader()
                self._remember(job_id, status)
                on_done(status)
            else:
                lookup.miss_leader(status)
                self._read_rows(job_id, lookup, on_done)

        self._ask_leader(job_id, on_leader_status)

    def _remember(self, job_id: str, status: status_reads.JobStatus) -> None:
        if status.state not in progress.FINAL_STATES:
            return
        self._final[job_id] = status
        if len(self._final) > MAX_REMEMBERED_JOBS:
            del self._final[next(iter(self._final))]

    def _read_rows(self, job_id: str, lookup: status_lookups.Lookup,
                   on_done: OnJobStatus) -> None:
        """Reads the status of a job from the store."""

        def on_result(
                result: status_reads.JobStatus | status_reads.Failure) -> None:
            if isinstance(result, status_reads.Failure):
                lookup.give_up(result.row,
                               result.reason,
                               unreadable=result.unreadable)
                on_done(None)
                return
            lookup.answer(status_lookups.Source.STORE)
            self._remember(job_id, result)
            on_done(result)

        status_reads.StatusRead(job_id=job_id,
                                store=self._store,
                                timers=self._timers,
                                on_step=lookup.end_step,
                                on_done=on_result)

    # Cancellation.

    def cancel(self, job_id: str, team: str, on_done: OnReply) -> None:
        """Records a cancellation; a job that has ended stays as it is.

        Args:
            job_id: The job.
            team: Team of the caller, empty if it is not known.
            on_done: Gets CANCELLED (also for a job that had ended before),
                ABSENT or UNKNOWN.
        """
        started_s = self._timers.read_clock()

        def on_status(status: status_reads.JobStatus | None) -> None:
            if status is None:
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))
            elif not status.state or _is_foreign(status, team):
                on_done(Reply(Outcome.ABSENT))
            elif status.state in progress.FINAL_STATES:
                on_done(Reply(Outcome.CANCELLED))
            else:
                self._write_cancellation(job_id, started_s, on_done)

        self._find_status(job_id, on_status)

    def _write_cancellation(self, job_id: str, started_s: float,
                            on_done: OnReply) -> None:

        def on_written(result: ports.CommitResult) -> None:
            waited_s = self._timers.read_clock() - started_s
            if isinstance(result, ports.Committed):
                _log.info("job cancelled",
                          request=job_id,
                          took_s=round(waited_s, 4))
                self._on_row_written(tables.CANCEL_PREFIX + job_id, b"")
                on_done(Reply(Outcome.CANCELLED))
            elif waited_s + WRITE_RETRY_S < WRITE_RETRY_LIMIT_S:
                self._timers.call_later(
                    WRITE_RETRY_S, lambda: self._write_cancellation(
                        job_id, started_s, on_done))
            else:
                _log.warning("cancellation not recorded", request=job_id)
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))

        row = writes.RowWrite(tables.get_cancellation_row_name(job_id),
                              b"\x01",
                              only_new=False)
        self._write_row(row, on_written)


def _is_foreign(status: status_reads.JobStatus, team: str) -> bool:
    return bool(status.team and team and status.team != team)


def build_workload(queue: configurations.Queue,
                   team: str,
                   job_id: str,
                   payload: str,
                   steps: tuple[workload.Step, ...],
                   *,
                   repeats: int = 0,
                   first_start_ms: int = 0,
                   interval_ms: int = 0) -> workload.Workload:
    """Builds a workload from a submission and the settings of its queue."""
    return workload.Workload(job_id=job_id,
                             queue=queue.name,
                             service=queue.service,
                             team=team,
                             priority=queue.priority,
                             max_failures=queue.max_failures,
                             slack=queue.slack,
                             objective_ms=queue.objective_ms,
                             payload=payload,
                             steps=steps,
                             repeats=repeats,
                             first_start_ms=first_start_ms,
                             interval_ms=interval_ms)
