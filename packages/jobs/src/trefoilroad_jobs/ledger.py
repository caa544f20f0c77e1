"""Group commit of the leader's decisions.

The leader writes the progress of jobs in a chain of transactions. Each is
conditional on the version of the head row and rewrites that row, so the store
refuses transactions that arrive late or come from a replaced leader.
"""

from collections.abc import Callable
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_node import timer

# The store accepts 100 entries in a call; the head row and its condition are
# two of them.
MAX_BATCH_ROWS = 90
# The store accepts 1 MB in a call; the encoding of values on the wire adds a
# third.
MAX_BATCH_BYTES = 600_000
# An idle leader rewrites the head row this often to show that it is alive.
HEAD_RENEWAL_INTERVAL_S = 0.4
COMMIT_RETRY_BASE_S = 0.05
COMMIT_RETRY_MAX_S = 0.4
# A failure within this time is a refusal; a later one may be a lost answer.
MAX_REFUSAL_DELAY_S = 0.5
# A leader that got only refusals for this long reports it in its heartbeats.
REFUSAL_REPORT_DELAY_S = 0.3

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
    """Rows that are written in one transaction."""

    def __init__(self, *, head: Head, puts: dict[ports.RowName, bytes],
                 removals: list[ports.RowName],
                 callbacks: list[Callable[[], None]], started_s: float):
        self.head = head
        self.puts = puts
        self.removals = removals
        self.callbacks = callbacks
        self.started_s = started_s
        self.tries = 0


class Ledger:
    """Writes the leader's decisions in a chain of transactions.

    Attributes:
        head_version: Version of the head row after the last transaction.
        confirmed_s: When the last confirmed transaction was sent, in seconds.
        store_ms: Last reading of the store's clock, in milliseconds.
        store_read_s: When the call was sent that returned it, in seconds.
        store_failing: Whether the last call to the store failed.
    """

    def __init__(self, *, store: ports.Store, timers: timer.Timers, epoch: int,
                 head_version: int, claimed_s: float,
                 on_newer_leader: Callable[[str], None]):
        """Starts the chain of transactions of an epoch.

        Args:
            store: The store.
            timers: Source of time.
            epoch: Epoch of the leader.
            head_version: Version of the head row after the takeover.
            claimed_s: When the claim of the leadership was sent, in seconds.
            on_newer_leader: Called with a reason when another leader has
                written the head row.
        """
        self.head_version = head_version
        self.confirmed_s = claimed_s
        self.store_ms = 0.0
        self.store_read_s = self.confirmed_s
        self.store_failing = False
        self._refused_since_s = float("inf")
        self._store = store
        self._timers = timers
        self._epoch = epoch
        self._serial = 0
        self._on_newer_leader = on_newer_leader
        self._dirty: dict[str, progress.Job] = {}
        self._removals: list[ports.RowName] = []
        self._rows: dict[ports.RowName, bytes | None] = {}
        self._callbacks: list[Callable[[], None]] = []
        self._batch: _Batch | None = None
        self._closed = False
        self._flush_planned = False
        self._renewal = timers.call_every(HEAD_RENEWAL_INTERVAL_S / 2,
                                          self._renew)

    def close(self) -> None:
        """Stops writing; outstanding results are ignored."""
        self._closed = True
        self._renewal.cancel()

    def mark_dirty(self, job: progress.Job) -> None:
        """Adds the progress of a job to the next transaction."""
        self._dirty[job.job_id] = job
        self._plan_flush()

    def remove_progress(self, job_id: str) -> None:
        """Removes the progress of a job with the next transaction."""
        self._dirty.pop(job_id, None)
        self._removals.append(tables.get_progress_row_name(job_id))
        self._plan_flush()

    def write_row(self, name: ports.RowName, value: bytes | None) -> None:
        """Writes a row with the next transaction; None removes it."""
        self._rows[name] = value
        self._plan_flush()

    def call_after(self, callback: Callable[[], None]) -> None:
        """Calls back once all changes marked so far are durable."""
        self._callbacks.append(callback)
        self._plan_flush()

    def read_store_ms(self) -> float:
        """Returns the extrapolated store clock in milliseconds."""
        elapsed_s = self._timers.read_clock() - self.store_read_s
        return self.store_ms + elapsed_s * 1000.0

    def update_store_clock(self, store_ms: float, sent_s: float) -> None:
        """Records a reading of the store's clock.

        Its time is that of the call: the process may have been suspended before
        it saw the answer. Times on the store's clock are then never too early.

        Args:
            store_ms: The store's clock in milliseconds.
            sent_s: When the call was sent, in seconds.
        """
        self.store_ms = store_ms
        self.store_read_s = sent_s

    def is_store_refusing(self) -> bool:
        """Returns whether the store has refused this node for some time."""
        return self._timers.read_clock(
        ) - self._refused_since_s > REFUSAL_REPORT_DELAY_S

    def _plan_flush(self) -> None:
        """Plans a transaction after the current event, with all its changes."""
        if not self._flush_planned and not self._closed:
            self._flush_planned = True
            self._timers.call_later(0, self._flush)

    def _renew(self) -> None:
        age_s = self._timers.read_clock() - self.confirmed_s
        if self._batch is None and age_s >= HEAD_RENEWAL_INTERVAL_S:
            self._begin_batch()

    def _flush(self) -> None:
        self._flush_planned = False
        has_pending_writes = (self._dirty or self._rows or self._callbacks or
                              self._removals)
        if self._batch is None and has_pending_writes:
            self._begin_batch()

    def _begin_batch(self) -> None:
        if self._closed:
            return
        self._serial += 1
        puts: dict[ports.RowName, bytes] = {}
        removals: list[ports.RowName] = []
        for name, row_value in list(self._rows.items())[:MAX_BATCH_ROWS]:
            del self._rows[name]
            if row_value is None:
                removals.append(name)
            else:
                puts[name] = row_value
        size = 0
        free_rows = MAX_BATCH_ROWS - len(puts) - len(removals)
        for job_id, job in list(self._dirty.items())[:free_rows]:
            value = progress.encode_progress(job)
            size += len(value)
            if size > MAX_BATCH_BYTES and puts:
                break
            puts[tables.PROGRESS, job_id] = value
            del self._dirty[job_id]
        callbacks: list[Callable[[], None]] = []
        if not self._dirty and not self._rows:
            callbacks, self._callbacks = self._callbacks, []
        free_rows = MAX_BATCH_ROWS - len(puts) - len(removals)
        removals += self._removals[:free_rows]
        del self._removals[:free_rows]
        self._batch = _Batch(head=Head(self._epoch, self._serial),
                             puts=puts,
                             removals=removals,
                             callbacks=callbacks,
                             started_s=self._timers.read_clock())
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
            on_done=lambda result: self._handle_result(batch, sent_s, result))

    def _handle_result(self, batch: _Batch, sent_s: float,
                       result: ports.CommitResult) -> None:
        if self._closed or batch is not self._batch:
            return
        if isinstance(result, ports.Committed):
            self._confirm(batch, sent_s, result.version)
            self.update_store_clock(result.store_ms, sent_s)
        elif isinstance(result, ports.Conflict):
            self._handle_conflict(batch, sent_s, result)
        else:
            self._retry(batch, sent_s, result)

    def _confirm(self, batch: _Batch, sent_s: float, version: int) -> None:
        if self.store_failing:
            _log.info("store answers again", tries=batch.tries)
        self.store_failing = False
        self._refused_since_s = float("inf")
        self.head_version = version
        self.confirmed_s = sent_s
        self._batch = None
        for callback in batch.callbacks:
            self._run(callback)
        self._flush()

    def _run(self, callback: Callable[[], None]) -> None:
        """Runs a callback; its failure must not keep the others from running.

        Each of them starts runs or acknowledges ends that nothing else would.
        """
        try:
            callback()
        except Exception as error:
            _log.exception("change cannot be followed up", error=repr(error))

    def _handle_conflict(self, batch: _Batch, sent_s: float,
                         result: ports.Conflict) -> None:
        """Confirms the batch if an earlier attempt of it took effect.

        Otherwise the head row was written by a newer leader.
        """
        row = result.rows.get(tables.HEAD_ROW)
        if row is not None and row.value == encode_head(batch.head):
            self._confirm(batch, sent_s, row.version)
            return
        self._on_newer_leader("another leader has written the head row")

    def _retry(self, batch: _Batch, sent_s: float,
               result: ports.StoreFailed) -> None:
        now_s = self._timers.read_clock()
        is_refusal = now_s - sent_s < MAX_REFUSAL_DELAY_S
        self._refused_since_s = (min(self._refused_since_s, sent_s)
                                 if is_refusal else float("inf"))
        if not self.store_failing:
            _log.warning("store does not answer",
                         reason=result.reason,
                         maybe_written=result.maybe_written)
        self.store_failing = True
        delay_s = min(COMMIT_RETRY_MAX_S,
                      COMMIT_RETRY_BASE_S * 2**min(batch.tries, 8))
        self._timers.call_later(delay_s, self._send)
