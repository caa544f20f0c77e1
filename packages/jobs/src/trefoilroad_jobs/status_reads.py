"""Reads the status of a job from its rows in the store."""

from collections.abc import Callable
from typing import NamedTuple

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_node import timer

# A read that the store refuses is repeated once, unless the first answer took
# longer than the limit: callers have 3 s for all nodes that they ask.
RETRY_LIMIT_S = 0.5
RETRY_DELAY_S = 0.2
JOB_ROW = "job row"
PROGRESS_ROW = "progress row"


class JobStatus(NamedTuple):
    """State and team of a job.

    Attributes:
        state: State of the job; empty if there is no such job.
        team: Team of the job.
    """

    state: str
    team: str


class Failure(NamedTuple):
    """Why the rows give no status.

    Attributes:
        row: The row that cannot be read or decoded.
        reason: Why.
        unreadable: Whether the store gave a row that cannot be decoded.
    """

    row: str
    reason: str
    unreadable: bool


OnStep = Callable[[str, str], None]
OnResult = Callable[[JobStatus | Failure], None]


class StatusRead:
    """Reads both rows of a job at the same time.

    One after the other, with a limit for each, they could take most of the time
    that the caller waits.
    """

    def __init__(self, *, job_id: str, store: ports.Store, timers: timer.Timers,
                 on_step: OnStep, on_done: OnResult):
        """Starts to read.

        Args:
            job_id: The job.
            store: The store.
            timers: Source of time.
            on_step: Gets each row that was read, with the reason if it failed.
            on_done: Gets the status, or why there is none.
        """
        self._store = store
        self._timers = timers
        self._on_step = on_step
        self._on_done = on_done
        self._started_s = timers.read_clock()
        self._values: dict[str, bytes | None] = {}
        self._repeated: set[str] = set()
        self._ended = False
        self._read(JOB_ROW, tables.get_job_row_name(job_id))
        self._read(PROGRESS_ROW, tables.get_progress_row_name(job_id))

    def _read(self, row: str, name: ports.RowName) -> None:
        if not self._ended:
            self._store.read(
                table=name[0],
                key=name[1],
                on_done=lambda result: self._handle_result(row, name, result))

    def _handle_result(self, row: str, name: ports.RowName,
                       result: ports.RowsResult) -> None:
        if self._ended:
            return
        if not isinstance(result, ports.Rows):
            self._retry(row, name, getattr(result, "reason", "history lost"))
            return
        self._on_step(row, "")
        self._values[row] = result.rows[0].value if result.rows else None
        if row == JOB_ROW and self._values[row] is None:
            self._end(JobStatus("", ""))
        elif len(self._values) == 2:
            self._end(self._decode())

    def _retry(self, row: str, name: ports.RowName, reason: str) -> None:
        waited_s = self._timers.read_clock() - self._started_s
        if row not in self._repeated and waited_s < RETRY_LIMIT_S:
            self._repeated.add(row)
            self._on_step(row, reason)
            self._timers.call_later(RETRY_DELAY_S,
                                    lambda: self._read(row, name))
        else:
            self._end(Failure(row, reason, unreadable=False))

    def _decode(self) -> JobStatus | Failure:
        row = JOB_ROW
        try:
            team = workload.decode_workload(self._values[row] or b"").team
            row = PROGRESS_ROW
            value = self._values[row]
            state = (progress.JobState.QUEUED
                     if value is None else progress.decode_state(value))
        except Exception as error:
            # Without an answer the caller would wait in vain.
            return Failure(row, repr(error), unreadable=True)
        return JobStatus(str(state), team)

    def _end(self, result: JobStatus | Failure) -> None:
        self._ended = True
        self._on_done(result)
