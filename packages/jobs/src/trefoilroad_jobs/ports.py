"""Interfaces to the outside: the store, the workers and the other nodes."""

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
        version: Newest version that the store had.
        store_ms: The store's steady clock in milliseconds.
    """

    rows: Sequence[Row]
    version: int
    store_ms: float


class Committed(NamedTuple):
    """A transaction took effect.

    Attributes:
        version: Version of the rows that it wrote.
        store_ms: The store's steady clock in milliseconds.
    """

    version: int
    store_ms: float


class Conflict(NamedTuple):
    """A transaction was refused because rows have other versions.

    Attributes:
        rows: The rows that differ, by table and key.
    """

    rows: Mapping[tuple[str, str], Row]


class HistoryLost(NamedTuple):
    """The store has dropped the changes that were asked for."""


class StoreFailed(NamedTuple):
    """A call to the store brought no result.

    Attributes:
        reason: What happened, for logs.
        maybe_written: Whether a write may have taken effect, or may still
            do so.
    """

    reason: str
    maybe_written: bool


RowName = tuple[str, str]
"""Table and key of a row."""

CommitResult = Committed | Conflict | StoreFailed
RowsResult = Rows | HistoryLost | StoreFailed

OnCommit = Callable[[CommitResult], None]
OnRows = Callable[[RowsResult], None]


class Store(abc.ABC):
    """Transactional tables that outlive every process."""

    @abc.abstractmethod
    def commit(self, *, conditions: Mapping[RowName,
                                            int], puts: Mapping[RowName, bytes],
               removals: Sequence[RowName], on_done: OnCommit) -> None:
        """Writes rows, all or none.

        Args:
            conditions: Versions that rows must have; 0 means absent.
            puts: New contents.
            removals: Rows to remove.
            on_done: Gets the result.
        """

    @abc.abstractmethod
    def read(self, *, table: str, key: str, on_done: OnRows) -> None:
        """Reads one row."""

    @abc.abstractmethod
    def read_all(self, *, table: str, on_done: OnRows) -> None:
        """Reads all rows of a table; the version is that of the first page."""

    @abc.abstractmethod
    def watch(self, *, table: str, after: int, wait_s: float,
              on_done: OnRows) -> None:
        """Waits for changes of a table.

        Args:
            table: The table.
            after: Version after which changes are wanted.
            wait_s: Longest wait in seconds; the result may be empty.
            on_done: Gets the changed rows in order.
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
        capacity: Resources in all.
        draining: Whether it takes nothing new.
        remaining_ms: Time until it leaves at the earliest, if it drains.
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
    """What became of an order to a worker."""

    DONE = "done"
    FENCED = "a newer leader has called"
    SUPERSEDED = "a run that is not lower has ended there"
    LATE = "the lease had ended"
    NO_ROOM = "no room"
    UNHEALTHY = "the worker is unhealthy"
    OTHER_LIFE = "another worker answers"
    INVALID = "the order is invalid"
    NOT_SENT = "not sent"
    LOST = "no answer"


class Answer(NamedTuple):
    """Answer of a worker to an order.

    Attributes:
        verdict: What became of it.
        clock_ms: The worker's steady clock, or None.
        detail: Text for logs.
    """

    verdict: Verdict
    clock_ms: float | None = None
    detail: str = ""


class RunningTask(NamedTuple):
    """A run that a worker reports.

    Attributes:
        name: The task's name as the worker knows it.
        run: Number of the run.
        checkpoint: Latest checkpoint, or empty.
        percent: Progress.
    """

    name: str
    run: int
    checkpoint: str
    percent: int


class EndState(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class EndedTask(NamedTuple):
    """An end that a worker reports until it is acknowledged.

    Attributes:
        number: Number of the end in this life of the worker.
        name: The task's name.
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
    """What a worker says of itself.

    Attributes:
        clock_ms: Its steady clock.
        boot_ms: Start of its process in Unix milliseconds; 0 if unknown.
        running: What runs.
        ended: Ends that are not acknowledged.
        complete: Whether all such ends are listed.
    """

    clock_ms: float
    boot_ms: int
    running: Sequence[RunningTask]
    ended: Sequence[EndedTask]
    complete: bool


class StartCommand(NamedTuple):
    """An order to start a run.

    Attributes:
        key: The task.
        run: Number of the run.
        payload: What the task receives.
        lease_until_ms: End of the worker's lease on the worker's clock.
        epoch: Epoch of the leader.
        checkpoint: Where to resume, or empty.
    """

    key: progress.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    epoch: int
    checkpoint: str


OnAnswer = Callable[[Answer], None]
OnReport = Callable[[Report | Answer], None]


class Workers(abc.ABC):
    """Orders to workers."""

    @abc.abstractmethod
    def start(self, worker: Worker, command: StartCommand,
              on_done: OnAnswer) -> None:
        """Starts a run."""

    @abc.abstractmethod
    def stop(self, worker: Worker, *, name: str, run: int, epoch: int,
             on_done: OnAnswer) -> None:
        """Stops a run, or refuses it if it has not come yet."""

    @abc.abstractmethod
    def renew(self, worker: Worker, *, epoch: int, acknowledged: int,
              lease_until_ms: int | None, wait_ms: int,
              on_done: OnReport) -> None:
        """Renews the lease and asks for a report.

        Args:
            worker: The worker.
            epoch: Epoch of the leader.
            acknowledged: Highest number of an end that is recorded durably.
            lease_until_ms: New end of the lease on the worker's clock.
            wait_ms: Longest time that the worker waits for an end.
            on_done: Gets the report, or why there is none.
        """

    @abc.abstractmethod
    def forget(self, worker: Worker) -> None:
        """Closes the connections to a worker that is gone."""

    @abc.abstractmethod
    def format_name(self, key: progress.TaskKey) -> str:
        """Returns the name of a task as workers know it."""


class WallClock(abc.ABC):
    """The time of day."""

    @abc.abstractmethod
    def read_wall_ms(self) -> float:
        """Returns the time in Unix milliseconds."""
