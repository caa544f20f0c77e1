"""Interfaces to the store, to the workers and to the clock."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import NamedTuple

from trefoilroad_jobs import progress
from trefoilroad_jobs import workload


class Row(NamedTuple):
    """A row of the store.

    Attributes:
        key: Key in its table.
        value: Content, or None for a row that was removed.
        version: Version of the last change.
    """

    key: str
    value: bytes | None
    version: int


class Rows(NamedTuple):
    """Rows of a table as of one moment.

    Attributes:
        rows: The rows in order of their keys, or of their changes.
        version: Newest version of the store at that moment.
        store_ms: The store's steady clock in milliseconds.
    """

    rows: Sequence[Row]
    version: int
    store_ms: float


class Committed(NamedTuple):
    """Result of a transaction that took effect.

    Attributes:
        version: Version of the rows that it wrote.
        store_ms: The store's steady clock in milliseconds.
    """

    version: int
    store_ms: float


class Conflict(NamedTuple):
    """Result of a transaction refused because rows have other versions.

    Attributes:
        rows: The rows that differ, by table and key.
    """

    rows: Mapping[tuple[str, str], Row]


class HistoryLost(NamedTuple):
    """Result of a watch whose changes the store no longer holds."""


class StoreFailed(NamedTuple):
    """Result of a call to the store that failed.

    Attributes:
        reason: Description of the failure, for logs.
        maybe_written: Whether a write may have taken effect, or may still
            do so.
        permanent: Whether the store refuses this write for what it contains,
            so that a repeat is refused too.
    """

    reason: str
    maybe_written: bool
    permanent: bool = False


RowName = tuple[str, str]
"""Table and key of a row."""

CommitResult = Committed | Conflict | StoreFailed
RowsResult = Rows | HistoryLost | StoreFailed

OnCommit = Callable[[CommitResult], None]
OnRows = Callable[[RowsResult], None]


class Store(abc.ABC):
    """Transactional tables in durable storage."""

    @abc.abstractmethod
    def commit(self, *, conditions: Mapping[RowName,
                                            int], puts: Mapping[RowName, bytes],
               removals: Sequence[RowName], on_done: OnCommit) -> None:
        """Writes and removes rows in one transaction.

        Args:
            conditions: Required versions of rows; 0 for an absent row.
            puts: New contents.
            removals: Rows to remove.
            on_done: Gets the result.
        """

    @abc.abstractmethod
    def read(self, *, table: str, key: str, on_done: OnRows) -> None:
        """Reads one row."""

    @abc.abstractmethod
    def read_all(self, *, table: str, on_done: OnRows) -> None:
        """Reads all rows of a table.

        The version of the result is that of the first page read, so changes
        made during the call are seen again by a watch from that version.
        """

    @abc.abstractmethod
    def watch(self, *, table: str, after: int, wait_s: float,
              on_done: OnRows) -> None:
        """Waits for changes of a table.

        Args:
            table: The table.
            after: Version after which changes are returned.
            wait_s: Longest wait in seconds; the result may be empty.
            on_done: Gets the changed rows in the order of their changes.
        """


class Worker(NamedTuple):
    """A worker as it registered itself.

    Attributes:
        worker_id: Stable identifier.
        address: "host:port".
        service: Service that it belongs to.
        failure_domain: Failure domain.
        rack: Rack, or empty.
        labels: Labels, the rack among them.
        capacity: Total resources.
        draining: Whether it accepts no new runs.
        remaining_ms: Shortest time until it leaves if it is draining, in
            milliseconds.
        boot_ms: Start of its process in Unix milliseconds; 0 if unknown.
    """

    worker_id: str
    address: str
    service: str
    failure_domain: str
    rack: str
    labels: frozenset[str]
    capacity: workload.Demand
    draining: bool
    remaining_ms: int
    boot_ms: int


class Verdict(enum.Enum):
    """Result of a command to a worker."""

    DONE = "done"
    FENCED = "a newer leader has called"
    SUPERSEDED = "a run with the same or a higher number has ended there"
    LATE = "the lease had ended"
    NO_ROOM = "no room"
    UNHEALTHY = "the worker is unhealthy"
    # Another worker has the address. The worker id that a call names survives a
    # restart, so this is not a restart of the same worker.
    OTHER_LIFE = "another worker answers"
    INVALID = "the command is invalid"
    NOT_SENT = "not sent"
    LOST = "no answer"


class CommandReply(NamedTuple):
    """Reply of a worker to a command.

    Attributes:
        verdict: Result of the command.
        clock_ms: The worker's steady clock in milliseconds, or None.
        detail: Text for logs.
    """

    verdict: Verdict
    clock_ms: float | None = None
    detail: str = ""


class RunningTask(NamedTuple):
    """A running task in a report.

    Attributes:
        name: Name of the task on workers.
        run: Number of the run.
        checkpoint: Latest checkpoint, or empty.
        percent: Progress in percent.
        figure: Rough figure for the last half second, or None: tail latency of
            a serving task in milliseconds, milli-cores in use by any other.
            Not used yet.
    """

    name: str
    run: int
    checkpoint: str
    percent: int
    figure: int | None = None


class EndState(enum.StrEnum):
    """How a run ended, as reported by its worker.

    The leader also concludes LAPSED without a report, if the worker is lost or
    a report omits the run. After any state but DONE and FAILED the task runs
    again, and no failure is counted.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class EndedTask(NamedTuple):
    """An ended run, which a worker reports until it is acknowledged.

    Attributes:
        number: Number of the end since the worker process started.
        name: Name of the task on workers.
        run: Number of the run.
        end_state: How it ended.
        checkpoint: Latest checkpoint, or empty.
    """

    number: int
    name: str
    run: int
    end_state: EndState
    checkpoint: str


class Report(NamedTuple):
    """Report of a worker on its runs.

    Attributes:
        clock_ms: Its steady clock in milliseconds.
        boot_ms: Start of its process in Unix milliseconds; 0 if unknown.
        running: Its running tasks.
        ended: Ended runs that are not acknowledged.
        complete: Whether all such runs are listed.
    """

    clock_ms: float
    boot_ms: int
    running: Sequence[RunningTask]
    ended: Sequence[EndedTask]
    complete: bool


class StartCommand(NamedTuple):
    """A command to start a run.

    Attributes:
        key: The task.
        run: Number of the run.
        payload: Input of the task.
        lease_until_ms: End of the worker's lease on the worker's clock.
        epoch: Epoch of the leader.
        checkpoint: Checkpoint from which to resume, or empty.
    """

    key: progress.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    epoch: int
    checkpoint: str


OnCommandReply = Callable[[CommandReply], None]
OnReport = Callable[[Report | CommandReply], None]


class Workers(abc.ABC):
    """Sends commands to workers."""

    @abc.abstractmethod
    def start(self, worker: Worker, command: StartCommand, *, timeout_s: float,
              on_done: OnCommandReply) -> None:
        """Starts a run.

        Args:
            worker: The worker.
            command: The command.
            timeout_s: Longest wait for the reply, in seconds.
            on_done: Gets the reply.
        """

    @abc.abstractmethod
    def stop(self, worker: Worker, *, name: str, run: int, epoch: int,
             timeout_s: float, on_done: OnCommandReply) -> None:
        """Stops a run; the worker also refuses a start that arrives later.

        Args:
            worker: The worker.
            name: Name of the task on workers.
            run: Number of the run.
            epoch: Epoch of the leader.
            timeout_s: Longest wait for the reply, in seconds.
            on_done: Gets the reply.
        """

    @abc.abstractmethod
    def renew(self, worker: Worker, *, epoch: int, acknowledged_end: int,
              lease_until_ms: int | None, wait_ms: int, timeout_s: float,
              on_done: OnReport) -> None:
        """Renews the lease and asks for a report.

        Args:
            worker: The worker.
            epoch: Epoch of the leader.
            acknowledged_end: Highest number of an end that is recorded durably.
            lease_until_ms: New end of the lease on the worker's clock; None
                to leave the lease as it is.
            wait_ms: Longest time that the worker delays the report while no
                run ends, in milliseconds.
            timeout_s: Longest wait for the report, in seconds.
            on_done: Gets the report, or a reply that says why there is none.
        """

    @abc.abstractmethod
    def forget(self, worker: Worker) -> None:
        """Closes the idle connections to a worker that has left the fleet."""

    @abc.abstractmethod
    def format_name(self, key: progress.TaskKey) -> str:
        """Returns the name of a task on workers."""


class WallClock(abc.ABC):
    """Source of the time of day."""

    @abc.abstractmethod
    def read_wall_ms(self) -> float:
        """Returns the time in Unix milliseconds."""
