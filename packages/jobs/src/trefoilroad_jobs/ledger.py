"""Group commit of the leader's decisions.

All that the leader writes goes through one chain of transactions. Each has
the version of the head row as its condition and writes that row anew, so a
transaction that takes effect late, or is sent by a leader that has been
replaced, is refused by the store.
"""

from collections.abc import Callable
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_node import timer

# The store takes 100 entries in a call; the head and its condition are two.
MAX_ROWS = 90
# The store takes 1 MB in a call, and values grow by a third on the way.
MAX_BYTES = 600_000
# An idle leader shows this often that it is alive.
RENEW_INTERVAL_S = 0.4
RETRY_BASE_S = 0.05
RETRY_MAX_S = 0.4
# A failure that comes within this time is a refusal, not a lost answer.
PROMPT_S = 0.5
# A leader that the store has only refused for this long says so.
REFUSED_LIMIT_S = 0.3

_log = structlog.get_logger()


class Head(NamedTuple):
    """Content of the head row.

    Attributes:
        epoch: Epoch of the leader that wrote it.
        serial: Number of the transaction in that epoch.
    """

    epoch: int
    serial: int


def encode_head(head: Head) -> bytes:
    """Encodes the head row."""
    return cbor2.dumps(list(head))


class _Batch:
    """Rows that are written together."""

    def __init__(self, *, head: Head, puts: dict[ports.RowName, bytes],
                 removals: list[ports.RowName],
                 callbacks: list[Callable[[], None]], begun_s: float):
        self.head = head
        self.puts = puts
        self.removals = removals
        self.callbacks = callbacks
        self.begun_s = begun_s
        self.tries = 0


class Ledger:
    """The leader's writes."""

    def __init__(self, *, store: ports.Store, timers: timer.Timers, epoch: int,
                 head_version: int, on_newer_leader: Callable[[str], None]):
        """Begins a chain.

        Args:
            store: The store.
            timers: Source of time.
            epoch: Epoch of the leader.
            head_version: Version of the head row after the takeover.
            on_newer_leader: Called with a reason when another leader has written the head row.
        """
        self.head_version = head_version
        self.confirmed_s = timers.read_clock()
        self.store_ms = 0.0
        self.store_read_s = self.confirmed_s
        self.store_failing = False
        self._refused_s = float("inf")
        self._store = store
        self._timers = timers
        self._epoch = epoch
        self._serial = 0
        self._on_newer_leader = on_newer_leader
        self._dirty: dict[str, progress.Job] = {}
        self._removals: list[ports.RowName] = []
        self._callbacks: list[Callable[[], None]] = []
        self._batch: _Batch | None = None
        self._closed = False
        self._flush_planned = False
        self._renewal = timers.call_every(RENEW_INTERVAL_S / 2, self._renew)

    def close(self) -> None:
        """Writes nothing more."""
        self._closed = True
        self._renewal.cancel()

    def mark_dirty(self, job: progress.Job) -> None:
        """Has the progress of a job written with the next transaction."""
        self._dirty[job.job_id] = job
        self._plan_flush()

    def remove_progress(self, job_id: str) -> None:
        """Has the progress of a job removed with the next transaction."""
        self._dirty.pop(job_id, None)
        self._removals.append(tables.name_progress(job_id))
        self._plan_flush()

    def call_after(self, callback: Callable[[], None]) -> None:
        """Calls back once all that is marked by now is durable."""
        self._callbacks.append(callback)
        self._plan_flush()

    def read_store_ms(self) -> float:
        """Returns the store's clock, extrapolated, in milliseconds."""
        elapsed_s = self._timers.read_clock() - self.store_read_s
        return self.store_ms + elapsed_s * 1000.0

    def update_store_clock(self, store_ms: float) -> None:
        """Takes a reading of the store's clock."""
        self.store_ms = store_ms
        self.store_read_s = self._timers.read_clock()

    def is_refused(self) -> bool:
        """Tells whether the store turns this node away, as far as it knows."""
        return self._timers.read_clock() - self._refused_s > REFUSED_LIMIT_S

    def _plan_flush(self) -> None:
        """Waits for the end of the current event, to write all it changes."""
        if not self._flush_planned and not self._closed:
            self._flush_planned = True
            self._timers.call_later(0, self._flush)

    def _renew(self) -> None:
        age_s = self._timers.read_clock() - self.confirmed_s
        if self._batch is None and age_s >= RENEW_INTERVAL_S:
            self._begin_batch()

    def _flush(self) -> None:
        self._flush_planned = False
        has_work = self._dirty or self._callbacks or self._removals
        if self._batch is None and has_work:
            self._begin_batch()

    def _begin_batch(self) -> None:
        if self._closed:
            return
        self._serial += 1
        puts: dict[ports.RowName, bytes] = {}
        size = 0
        for job_id, job in list(self._dirty.items())[:MAX_ROWS]:
            value = progress.encode_progress(job)
            size += len(value)
            if size > MAX_BYTES and puts:
                break
            puts[tables.PROGRESS, job_id] = value
            del self._dirty[job_id]
        callbacks: list[Callable[[], None]] = []
        if not self._dirty:
            callbacks, self._callbacks = self._callbacks, []
        space = MAX_ROWS - len(puts)
        removals = self._removals[:space]
        del self._removals[:space]
        self._batch = _Batch(head=Head(self._epoch, self._serial),
                             puts=puts,
                             removals=removals,
                             callbacks=callbacks,
                             begun_s=self._timers.read_clock())
        self._send()

    def _send(self) -> None:
        batch = self._batch
        if batch is None or self._closed:
            return
        batch.tries += 1
        sent_s = self._timers.read_clock()
        self._store.commit(
            conditions={tables.HEAD_ROW: self.head_version},
            puts=batch.puts | {tables.HEAD_ROW: encode_head(batch.head)},
            removals=batch.removals,
            on_done=lambda result: self._take(batch, sent_s, result))

    def _take(self, batch: _Batch, sent_s: float,
              result: ports.CommitResult) -> None:
        if self._closed or batch is not self._batch:
            return
        if isinstance(result, ports.Committed):
            self._confirm(batch, sent_s, result.version)
            self.update_store_clock(result.store_ms)
        elif isinstance(result, ports.Conflict):
            self._compare(batch, sent_s, result)
        else:
            self._retry(batch, sent_s, result)

    def _confirm(self, batch: _Batch, sent_s: float, version: int) -> None:
        if self.store_failing:
            _log.info("store answers again", tries=batch.tries)
        self.store_failing = False
        self._refused_s = float("inf")
        self.head_version = version
        self.confirmed_s = sent_s
        self._batch = None
        for callback in batch.callbacks:
            callback()
        self._flush()

    def _compare(self, batch: _Batch, sent_s: float,
                 result: ports.Conflict) -> None:
        """Tells an earlier try of the same batch from another leader's."""
        row = result.rows.get(tables.HEAD_ROW)
        if row is not None and row.value == encode_head(batch.head):
            self._confirm(batch, sent_s, row.version)
            return
        self._on_newer_leader("another leader has written the head row")

    def _retry(self, batch: _Batch, sent_s: float,
               result: ports.StoreFailed) -> None:
        now_s = self._timers.read_clock()
        prompt = now_s - sent_s < PROMPT_S
        self._refused_s = (min(self._refused_s, sent_s)
                           if prompt else float("inf"))
        if not self.store_failing:
            _log.warning("store does not answer",
                         reason=result.reason,
                         maybe_written=result.maybe_written)
        self.store_failing = True
        delay_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**min(batch.tries, 8))
        self._timers.call_later(delay_s, self._send)
