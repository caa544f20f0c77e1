"""Numbers of waiting jobs that a node gives to callers, with a bounded age.

A node takes them from its own dispatcher if it leads, else from the leader's
last heartbeat, else from a row that the leader writes to the store. The age of
each is the time since the leader was last known to lead.
"""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import changes
from trefoilroad_jobs import dispatcher as dispatchers
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import ports
from trefoilroad_jobs import tables
from trefoilroad_node import timer

# Callers are promised numbers that are at most this old.
MAX_COUNT_AGE_S = 2.0
# Interval of the leader's rows. They wait for a transaction for up to 0.6 s
# more, so a row is fresh for longer than a read takes.
ROW_INTERVAL_S = 0.5
# Within two intervals the node reads all that has reached it, also after a
# suspension, in which messages wait.
ARRIVAL_CHECK_INTERVAL_S = 0.1
# Callers wait no longer than this for a read; a slow store takes 0.1 s.
READ_TIMEOUT_S = 0.4
# Callers share the result of a read, or its failure, for this long.
READ_REUSE_S = 0.5
# The store rounds its clock, so a row may seem a little younger than its read.
MAX_CLOCK_ERROR_MS = 10.0
# Numbers that JSON readers and log readers represent exactly.
MAX_NUMBER = 2**53

_log = structlog.get_logger()


class CountRow(NamedTuple):
    """Content of the row of counts.

    Attributes:
        epoch: Epoch of the leader that wrote it.
        store_ms: Time of the counts on the store's clock, in milliseconds.
        counts: Number of waiting jobs by queue, without zeros.
    """

    epoch: int
    store_ms: float
    counts: Mapping[str, int]


def encode_row(row: CountRow) -> bytes:
    """Encodes the row of counts."""
    return cbor2.dumps([row.epoch, int(row.store_ms), dict(row.counts)])


def decode_row(value: bytes | None) -> CountRow | None:
    """Decodes the row of counts; logs a malformed one and returns None."""
    if value is None:
        return None
    try:
        epoch, store_ms, counts = cbor2.loads(value)
        if (not _is_number(epoch) or type(store_ms) not in (int, float) or
                not 0 <= store_ms <= MAX_NUMBER or
                not isinstance(counts, dict) or
                not all(isinstance(queue, str) for queue in counts) or
                not all(_is_number(count) for count in counts.values())):
            raise ValueError("a field has a wrong type or value")
    except Exception as error:
        # Anyone may have written the row, and the decoder raises many types.
        _log.error("row of counts cannot be read", error=repr(error)[:200])
        return None
    return CountRow(epoch, float(store_ms), counts)


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


class Counts(NamedTuple):
    """Numbers of waiting jobs as known to this node.

    Attributes:
        queues: Number by queue, without zeros.
        epoch: Epoch of the leader that counted.
        confirmed_s: When that leader was last known to lead, in seconds.
    """

    queues: Mapping[str, int]
    epoch: int
    confirmed_s: float


class Answer(NamedTuple):
    """Answer to a caller.

    Attributes:
        pending: Number of waiting jobs, or None if it is not known.
        epoch: Epoch of the leader that counted; 0 if no count was found.
        age_s: Age of the youngest counts found, in seconds.
        source: Name of their source, or "unknown" if they are too old.
    """

    pending: int | None
    epoch: int
    age_s: float
    source: str


OnAnswer = Callable[[Answer], None]


class CountSource(abc.ABC):
    """Source of numbers of waiting jobs.

    Attributes:
        name: Name for logs.
    """

    name: str

    @abc.abstractmethod
    def get_counts(self) -> Counts | None:
        """Returns the newest counts of any age, or None if there are none."""


class LeaderCounts(CountSource, changes.RowSource):
    """Counts of this node's dispatcher; also writes them to the store."""

    name = "leader"

    def __init__(self, *, dispatcher: dispatchers.Dispatcher,
                 ledger: ledgers.Ledger, timers: timer.Timers):
        """Starts to write the row of counts.

        Args:
            dispatcher: Counts the jobs.
            ledger: Writes the row and knows when this node led last.
            timers: Source of time.
        """
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._timer_handle = timers.call_every(ROW_INTERVAL_S, self._write_row)

    def close(self) -> None:
        """Writes no more rows."""
        self._timer_handle.cancel()

    def get_counts(self) -> Counts | None:
        """See CountSource.get_counts."""
        if not self._dispatcher.ready:
            return None
        return Counts(self._dispatcher.count_pending(), self._dispatcher.epoch,
                      self._ledger.confirmed_s)

    def encode_row(self) -> bytes:
        """See RowSource.encode_row."""
        return encode_row(
            CountRow(self._dispatcher.epoch,
                     self._ledger.read_earliest_store_ms(),
                     self._dispatcher.count_pending()))

    def _write_row(self) -> None:
        if self._dispatcher.ready:
            self._ledger.write_row_deferred(tables.COUNTS_ROW, self)


class HeartbeatCounts(CountSource):
    """Counts of the last heartbeat of a leader."""

    name = "heartbeat"

    def __init__(self, *, timers: timer.Timers):
        self._timers = timers
        self._counts: Counts | None = None
        # Times of the last two checks. What is read now arrived after the
        # earlier one.
        self._earliest_arrival_s = timers.read_clock()
        self._last_check_s = self._earliest_arrival_s
        timers.call_every(ARRIVAL_CHECK_INTERVAL_S, self._check_arrivals)

    def get_counts(self) -> Counts | None:
        """See CountSource.get_counts."""
        return self._counts

    def record(self, epoch: int, queues: Mapping[str, int],
               age_s: float) -> bool:
        """Records the counts of a heartbeat.

        Args:
            epoch: Epoch of the leader that sent it.
            queues: Number of waiting jobs by queue.
            age_s: Time since that leader was last known to lead, in seconds.

        Returns:
            Whether it counts; one of an older epoch than others does not.
        """
        if self._counts is not None and epoch < self._counts.epoch:
            return False
        self._counts = Counts(queues, epoch, self._earliest_arrival_s - age_s)
        return True

    def _check_arrivals(self) -> None:
        self._earliest_arrival_s = self._last_check_s
        self._last_check_s = self._timers.read_clock()


class StoreCounts(CountSource):
    """Counts of the row in the store, read on demand."""

    name = "store"

    def __init__(self, *, store: ports.Store, timers: timer.Timers):
        self._store = store
        self._timers = timers
        self._counts: Counts | None = None
        self._ended_s = float("-inf")
        self._numbers = itertools.count()
        self._open_read: int | None = None
        self._waiting: list[timer.Callback] = []

    def get_counts(self) -> Counts | None:
        """See CountSource.get_counts."""
        return self._counts if self.is_recent() else None

    def is_recent(self) -> bool:
        """Returns whether a read has ended recently, if only with a failure."""
        return self._timers.read_clock() - self._ended_s <= READ_REUSE_S

    def read(self, on_done: timer.Callback) -> None:
        """Reads the row, or waits for the read that is under way.

        Args:
            on_done: Called once the read has succeeded, failed or timed out.
        """
        self._waiting.append(on_done)
        if self._open_read is not None:
            return
        number = next(self._numbers)
        self._open_read = number
        sent_s = self._timers.read_clock()
        self._store.read(
            table=tables.COUNTS_ROW[0],
            key=tables.COUNTS_ROW[1],
            on_done=lambda result: self._end_read(number, sent_s, result))
        self._timers.call_later(
            READ_TIMEOUT_S, lambda: self._end_read(
                number, sent_s, ports.StoreFailed("timeout",
                                                  maybe_written=False)))

    def _end_read(self, number: int, sent_s: float,
                  result: ports.RowsResult) -> None:
        if number != self._open_read:
            return
        self._open_read = None
        self._ended_s = self._timers.read_clock()
        self._counts = None
        if not isinstance(result, ports.Rows):
            _log.warning("row of counts not read", reason=str(result))
        elif result.rows:
            self._counts = _date_row(result, sent_s)
        waiting, self._waiting = self._waiting, []
        for on_done in waiting:
            # One that fails must not keep the others from their answers.
            self._timers.call_later(0, on_done)


def _date_row(result: ports.Rows, sent_s: float) -> Counts | None:
    """Converts the time of a row to this node's clock.

    The store read its clock after the call was sent, so no age is too low.
    """
    row = decode_row(result.rows[0].value)
    if row is None:
        return None
    age_ms = result.store_ms - row.store_ms
    if age_ms < -MAX_CLOCK_ERROR_MS:
        _log.error("row of counts is from the future", age_ms=age_ms)
        return None
    return Counts(row.counts, row.epoch, sent_s - max(0.0, age_ms) / 1000.0)


class WaitingCounts:
    """Answers callers from the sources that are recent enough."""

    def __init__(self, *, store: ports.Store, timers: timer.Timers):
        """Creates the sources of a node that does not lead.

        Args:
            store: The store.
            timers: Source of time.
        """
        self._timers = timers
        self._leader: LeaderCounts | None = None
        self._heartbeat = HeartbeatCounts(timers=timers)
        self._store = StoreCounts(store=store, timers=timers)

    def begin_leading(self, dispatcher: dispatchers.Dispatcher,
                      ledger: ledgers.Ledger) -> None:
        """Adds the counts of this node's dispatcher."""
        self._leader = LeaderCounts(dispatcher=dispatcher,
                                    ledger=ledger,
                                    timers=self._timers)

    def end_leading(self) -> None:
        """Removes the counts of this node's dispatcher."""
        if self._leader is not None:
            self._leader.close()
        self._leader = None

    def handle_heartbeat(self, epoch: int, queues: Mapping[str, int],
                         age_s: float) -> bool:
        """See HeartbeatCounts.record."""
        return self._heartbeat.record(epoch, queues, age_s)

    def count(self, queue: str, on_answer: OnAnswer) -> None:
        """Answers at once if possible, else after a read of the row.

        Args:
            queue: Name of the queue.
            on_answer: Gets the answer.
        """
        answer = self._find_answer(queue)
        if answer.pending is not None or self._store.is_recent():
            on_answer(answer)
        else:
            self._store.read(lambda: on_answer(self._find_answer(queue)))

    def _find_answer(self, queue: str) -> Answer:
        """Returns the count of the first source that is recent enough."""
        now_s = self._timers.read_clock()
        youngest = Answer(None, 0, float("inf"), "unknown")
        sources: list[CountSource] = [self._heartbeat, self._store]
        if self._leader is not None:
            sources.insert(0, self._leader)
        for source in sources:
            counts = source.get_counts()
            if counts is None:
                continue
            age_s = now_s - counts.confirmed_s
            if age_s <= MAX_COUNT_AGE_S:
                return Answer(counts.queues.get(queue, 0), counts.epoch, age_s,
                              source.name)
            if age_s < youngest.age_s:
                youngest = youngest._replace(epoch=counts.epoch, age_s=age_s)
        return youngest
