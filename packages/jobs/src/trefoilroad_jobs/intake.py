"""Serves callers on every node: accepts, cancels and shows jobs."""

from collections.abc import Callable
import enum
from typing import NamedTuple

import structlog

from trefoilroad_jobs import admission
from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_jobs import writes
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

# A write is not repeated later than this after the call began.
STORE_TIMEOUT_S = 2.4
# A call is answered by then, also while a write is under way; callers wait 3 s.
ANSWER_LIMIT_S = 2.7
# Delay before a write without a result is sent again.
RETRY_S = 0.15
# Final states that a node remembers, to answer without asking the leader.
MAX_REMEMBERED = 2_000
# When a caller should try again after a failure that passes soon.
RETRY_AFTER_S = 1
# A job that no worker can hold is worth another try only once there are other
# workers.
IMPOSSIBLE_AFTER_S = 60

_log = structlog.get_logger()


class Outcome(enum.Enum):
    """Result of a call."""

    ACCEPTED = "accepted"
    SHOWN = "shown"
    CANCELLED = "cancelled"
    ABSENT = "no such job"
    NOT_ACCEPTED = "not accepted"
    IMPOSSIBLE = "no worker can ever run it"
    UNKNOWN = "the store did not answer in time"


class Reply(NamedTuple):
    """What a caller is told.

    Attributes:
        outcome: Result of the call.
        state: State of the job, if it is shown.
        retry_after_s: When to try again, in seconds; 0 if that says nothing.
    """

    outcome: Outcome
    state: str = ""
    retry_after_s: int = 0


class Ask(NamedTuple):
    """What the leader says of a job.

    Attributes:
        state: State, or empty if it does not know the job.
        team: Team of the job.
    """

    state: str
    team: str


OnReply = Callable[[Reply], None]
OnTold = Callable[[Ask | None], None]


class Submission:
    """A job that is being written."""

    def __init__(self, *, job: workload.Workload, on_done: OnReply,
                 begun_s: float):
        self.job = job
        self.value = workload.encode_workload(job)
        self.on_done = on_done
        self.begun_s = begun_s
        self.maybe_written = False
        self.answered = False


class Intake:
    """Accepts jobs and answers for them."""

    def __init__(self, *, store: ports.Store, timers: timer.Timers,
                 metrics: sinks.Metrics, ask_leader: Callable[[str, OnTold],
                                                              None],
                 read_store_ms: Callable[[], float], relay: writes.Relay,
                 admit: admission.Admission, on_accepted: Callable[[str, bytes],
                                                                   None]):
        """Prepares.

        Args:
            store: The store.
            timers: Source of time.
            metrics: Sink of metrics.
            ask_leader: Asks the leader for the state of a job.
            read_store_ms: Returns the store's clock in milliseconds.
            relay: Has the leader write a row.
            admit: Finds jobs that can never run.
            on_accepted: Called with the key and the value of each new row.
        """
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._ask_leader = ask_leader
        self._read_store_ms = read_store_ms
        self._relay = relay
        self._admit = admit
        self._on_accepted = on_accepted
        self._final: dict[str, Ask] = {}

    # Submission.

    def submit(self, job: workload.Workload, on_done: OnReply) -> None:
        """Writes a job; repeats of the same id find the same job.

        Args:
            job: The job.
            on_done: Gets ACCEPTED once the job is durable, NOT_ACCEPTED only
                if no write of this call can take effect any more, IMPOSSIBLE
                if nothing was written because no worker can run it, else
                UNKNOWN.
        """
        fault = self._admit.find_fault(job)
        if fault:
            self._refuse_unless_known(job, fault, on_done)
        else:
            self._begin(job, on_done)

    def _refuse_unless_known(self, job: workload.Workload, fault: str,
                             on_done: OnReply) -> None:
        """Refuses a job; one that was accepted before is not refused now."""

        def take(told: Ask | None) -> None:
            if told is None or told.state:
                self._begin(job, on_done)
                return
            _log.info("job refused",
                      request=job.job_id,
                      queue=job.queue,
                      team=job.team,
                      reason=fault)
            self._metrics.count("intake.impossible")
            on_done(Reply(Outcome.IMPOSSIBLE, retry_after_s=IMPOSSIBLE_AFTER_S))

        self._find(job.job_id, take)

    def _begin(self, job: workload.Workload, on_done: OnReply) -> None:
        job = job._replace(accepted_ms=self._read_store_ms())
        item = Submission(job=job,
                          on_done=on_done,
                          begun_s=self._timers.read_clock())
        self._timers.call_later(
            ANSWER_LIMIT_S, lambda: self._conclude(
                item, Reply(Outcome.UNKNOWN), "a write is still under way"))
        self._write(item)

    def _write(self, item: Submission) -> None:
        row = writes.Row(tables.name_job(item.job.job_id),
                         item.value,
                         only_new=True)
        self._write_row(row, lambda result: self._take(item, result))

    def _write_row(self, row: writes.Row, on_done: ports.OnCommit) -> None:
        writes.Write(store=self._store,
                     timers=self._timers,
                     relay=self._relay,
                     row=row,
                     on_done=on_done)

    def _take(self, item: Submission, result: ports.CommitResult) -> None:
        if isinstance(result, ports.Committed):
            self._on_accepted(tables.JOB_PREFIX + item.job.job_id, item.value)
            self._conclude(item, Reply(Outcome.ACCEPTED), "written")
        elif isinstance(result, ports.Conflict):
            # The row exists: an earlier try, here or through another node.
            self._conclude(item, Reply(Outcome.ACCEPTED), "repeat")
        else:
            item.maybe_written = item.maybe_written or result.maybe_written
            self._retry_or_refuse(item, result)

    def _retry_or_refuse(self, item: Submission,
                         result: ports.StoreFailed) -> None:
        waited_s = self._timers.read_clock() - item.begun_s
        if item.answered:
            return
        if waited_s + RETRY_S < STORE_TIMEOUT_S and item.maybe_written:
            self._timers.call_later(RETRY_S, lambda: self._write(item))
        elif item.maybe_written:
            self._conclude(item, Reply(Outcome.UNKNOWN), result.reason)
        else:
            self._conclude(
                item, Reply(Outcome.NOT_ACCEPTED, retry_after_s=RETRY_AFTER_S),
                result.reason)

    def _conclude(self, item: Submission, reply: Reply, why: str) -> None:
        if item.answered:
            return
        item.answered = True
        waited_s = self._timers.read_clock() - item.begun_s
        _log.info("job submitted",
                  request=item.job.job_id,
                  queue=item.job.queue,
                  team=item.job.team,
                  outcome=reply.outcome.name,
                  why=why,
                  took_s=round(waited_s, 4))
        self._metrics.count(f"intake.{reply.outcome.name.lower()}")
        self._metrics.time("intake.submit", waited_s)
        item.on_done(reply)

    # Reading.

    def show(self, job_id: str, team: str, on_done: OnReply) -> None:
        """Tells the state of a job; ABSENT only if the store has no such job.

        Args:
            job_id: The job.
            team: Team of the caller, empty if it is not known.
            on_done: Gets SHOWN, ABSENT or UNKNOWN.
        """

        def take(told: Ask | None) -> None:
            if told is None:
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))
            elif not told.state or _is_foreign(told, team):
                on_done(Reply(Outcome.ABSENT))
            else:
                on_done(Reply(Outcome.SHOWN, state=told.state))

        self._find(job_id, take)

    def _find(self, job_id: str, take: OnTold) -> None:
        """Finds a job; gives None if neither leader nor store answers."""
        known = self._final.get(job_id)
        if known is not None:
            take(known)
            return

        def take_told(told: Ask | None) -> None:
            if told is not None and told.state:
                self._remember(job_id, told)
                take(told)
            else:
                self._read_rows(job_id, take)

        self._ask_leader(job_id, take_told)

    def _remember(self, job_id: str, told: Ask) -> None:
        if told.state not in progress.FINAL:
            return
        self._final[job_id] = told
        if len(self._final) > MAX_REMEMBERED:
            del self._final[next(iter(self._final))]

    def _read_rows(self, job_id: str, take: OnTold) -> None:
        """Reads the state of a job from the store."""
        accepted: list[workload.Workload] = []

        def give_up(error: ValueError) -> None:
            _log.error("job state cannot be decoded",
                       request=job_id,
                       error=str(error))
            take(None)

        def take_job(result: ports.RowsResult) -> None:
            if not isinstance(result, ports.Rows):
                _log.warning("job state cannot be read",
                             request=job_id,
                             reason=getattr(result, "reason", ""))
                take(None)
            elif not result.rows or result.rows[0].value is None:
                take(Ask("", ""))
            else:
                try:
                    accepted.append(
                        workload.decode_workload(result.rows[0].value))
                except ValueError as error:
                    give_up(error)
                    return
                self._store.read(table=tables.PROGRESS,
                                 key=job_id,
                                 on_done=take_progress)

        def take_progress(result: ports.RowsResult) -> None:
            if not isinstance(result, ports.Rows):
                _log.warning("progress of a job cannot be read",
                             request=job_id,
                             reason=getattr(result, "reason", ""))
                take(None)
                return
            state = progress.JobState.QUEUED
            if result.rows and result.rows[0].value is not None:
                try:
                    state = progress.decode_state(result.rows[0].value)
                except ValueError as error:
                    give_up(error)
                    return
            told = Ask(str(state), accepted[0].team)
            self._remember(job_id, told)
            take(told)

        table, key = tables.name_job(job_id)
        self._store.read(table=table, key=key, on_done=take_job)

    # Cancellation.

    def cancel(self, job_id: str, team: str, on_done: OnReply) -> None:
        """Records a cancellation; a job that has ended stays as it is.

        Args:
            job_id: The job.
            team: Team of the caller, empty if it is not known.
            on_done: Gets CANCELLED, ABSENT or UNKNOWN.
        """
        begun_s = self._timers.read_clock()

        def take(told: Ask | None) -> None:
            if told is None:
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))
            elif not told.state or _is_foreign(told, team):
                on_done(Reply(Outcome.ABSENT))
            elif told.state in progress.FINAL:
                on_done(Reply(Outcome.CANCELLED))
            else:
                self._write_cancellation(job_id, begun_s, on_done)

        self._find(job_id, take)

    def _write_cancellation(self, job_id: str, begun_s: float,
                            on_done: OnReply) -> None:

        def take(result: ports.CommitResult) -> None:
            waited_s = self._timers.read_clock() - begun_s
            if isinstance(result, ports.Committed):
                _log.info("job cancelled",
                          request=job_id,
                          took_s=round(waited_s, 4))
                self._on_accepted(tables.CANCEL_PREFIX + job_id, b"")
                on_done(Reply(Outcome.CANCELLED))
            elif waited_s + RETRY_S < STORE_TIMEOUT_S:
                self._timers.call_later(
                    RETRY_S,
                    lambda: self._write_cancellation(job_id, begun_s, on_done))
            else:
                _log.warning("cancellation not recorded", request=job_id)
                on_done(Reply(Outcome.UNKNOWN, retry_after_s=RETRY_AFTER_S))

        row = writes.Row(tables.name_cancellation(job_id),
                         b"\x01",
                         only_new=False)
        self._write_row(row, take)


def _is_foreign(told: Ask, team: str) -> bool:
    return bool(told.team and team and told.team != team)


def build_workload(queue: configurations.Queue,
                   team: str,
                   job_id: str,
                   payload: str,
                   steps: tuple[workload.Step, ...],
                   *,
                   repeats: int = 0,
                   first_start_ms: int = 0,
                   interval_ms: int = 0) -> workload.Workload:
    """Joins what a caller submits with what its queue declares."""
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
