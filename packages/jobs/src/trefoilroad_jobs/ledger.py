"""Group commit of the leader's decisions.

The leader writes the progress of jobs in a chain of transactions. Each is
conditional on the version of the head row and rewrites that row, so the store
refuses transactions that arrive late or come from a replaced leader.

Changes are written in waves: all changes that have gathered are written, in as
many transactions as they need, before the callbacks that wait for them run, and
before changes that have come since. A job with changes all the time therefore
delays no callback of others.

The store may refuse a transaction for what it contains, a row that is too long
for instance. Its changes are then sent apart, and one that is refused on its
own is set aside: the callbacks that depend on it wait, all others go on, and it
is tried again after growing delays. The same holds for a change that cannot be
encoded.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import changes
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_node import timer

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
    """Changes that are written in one transaction."""

    def __init__(self, *, head: Head, content: list[changes.Change]):
        self.head = head
        self.content = content
        self.tries = 0

    def build_puts(self) -> dict[ports.RowName, bytes]:
        """Returns the new contents of all rows, the head row included."""
        puts = {tables.HEAD_ROW: encode_head(self.head)}
        for change in self.content:
            puts.update(change.puts)
        return puts

    def list_removals(self) -> list[ports.RowName]:
        """Returns the rows to remove."""
        return [name for change in self.content for name in change.removals]


class _Callback(NamedTuple):
    """A function to call once a change is durable.

    Attributes:
        call: The function.
        subject: Subject of the change, None for all changes marked before.
    """

    call: changes.Callback
    subject: ports.RowName | None


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
                 head_version: int, claimed_s: float, row_bytes: int,
                 on_newer_leader: Callable[[str], None]):
        """Starts the chain of transactions of an epoch.

        Args:
            store: The store.
            timers: Source of time.
            epoch: Epoch of the leader.
            head_version: Version of the head row after the takeover.
            claimed_s: When the claim of the leadership was sent, in seconds.
            row_bytes: Longest content of a row.
            on_newer_leader: Called with a reason when another leader has
                written the head row.
        """
        self.head_version = head_version
        self.confirmed_s = claimed_s
        self.store_ms = 0.0
        self.store_read_s = self.confirmed_s
        self._store_answered_s = self.confirmed_s
        self.store_failing = False
        self._refused_since_s = float("inf")
        self._store = store
        self._timers = timers
        self._epoch = epoch
        self._serial = 0
        self._on_newer_leader = on_newer_leader
        self._encoder = changes.ChangeEncoder(row_bytes=row_bytes)
        # Changes of the next wave.
        self._jobs: dict[ports.RowName, changes.Source] = {}
        self._rows: dict[ports.RowName, changes.Source] = {}
        # Changes to write when a transaction has room; nothing waits for them.
        self._deferred: dict[ports.RowName, changes.Source] = {}
        self._callbacks: list[_Callback] = []
        # Changes of the current wave that are in no transaction yet.
        self._wave: dict[ports.RowName, changes.Source] = {}
        self._wave_callbacks: list[_Callback] = []
        # Rows to remove when a transaction has room; nothing waits for them.
        self._removals: dict[ports.RowName, changes.Source] = {}
        # Changes that are sent alone, as they were in a refused transaction.
        self._apart: set[ports.RowName] = set()
        self._set_aside: dict[ports.RowName, changes.SetAside] = {}
        self._batch: _Batch | None = None
        self._closed = False
        self._flush_planned = False
        self._renewal = timers.call_every(HEAD_RENEWAL_INTERVAL_S / 2,
                                          self._renew)

    def close(self) -> None:
        """Stops writing; outstanding results are ignored."""
        self._closed = True
        self._renewal.cancel()

    def recover_row_counts(self, counts: Mapping[str, int]) -> None:
        """Takes over how many rows of progress jobs have, by job."""
        for job_id, count in counts.items():
            self._encoder.set_row_count(job_id, count)

    def mark_dirty(self, job: progress.Job) -> None:
        """Adds the progress of a job to the next transaction."""
        subject = tables.get_progress_row_name(job.job_id)
        if not self._update_set_aside(subject, job):
            self._jobs[subject] = job
        self._plan_flush()

    def mark_deferred(self, job: progress.Job) -> None:
        """Adds the progress of a job to a transaction that has room for it.

        That is usually the next one, at the latest a renewal of the head row.
        """
        subject = tables.get_progress_row_name(job.job_id)
        if not self._update_set_aside(subject, job):
            self._deferred[subject] = job

    def write_row_deferred(self, name: ports.RowName,
                           source: changes.RowSource) -> None:
        """Writes a row with a transaction that has room for it.

        That is usually the next one, at the latest a renewal of the head row.
        """
        if not self._update_set_aside(name, source):
            self._deferred[name] = source

    def remove_progress(self, job_id: str) -> None:
        """Removes the progress of a job when a transaction has room."""
        subject = tables.get_progress_row_name(job_id)
        for queue in (self._jobs, self._deferred, self._rows, self._wave):
            queue.pop(subject, None)
        self._set_aside.pop(subject, None)
        self._apart.discard(subject)
        self._removals |= dict.fromkeys(self._encoder.forget_rows(job_id))
        self._plan_flush()

    def write_row(self, name: ports.RowName, value: bytes | None) -> None:
        """Writes a row with the next transaction; None removes it."""
        if not self._update_set_aside(name, value):
            self._rows[name] = value
        self._plan_flush()

    def call_after(self,
                   callback: changes.Callback,
                   subject: ports.RowName | None = None) -> None:
        """Calls back once all changes marked so far are durable.

        Args:
            callback: The function to call.
            subject: The row, or the first row of a job, that the callback
                depends on. While the store refuses it, the callback waits; any
                other callback runs although the row is not written.
        """
        self._callbacks.append(_Callback(callback, subject))
        self._plan_flush()

    def is_set_aside(self, job_id: str) -> bool:
        """Returns whether the store refuses the progress of a job."""
        return tables.get_progress_row_name(job_id) in self._set_aside

    def list_set_aside(self) -> list[progress.Job]:
        """Returns the jobs whose progress the store refuses."""
        return [
            entry.source
            for entry in self._set_aside.values()
            if isinstance(entry.source, progress.Job)
        ]

    def read_store_ms(self) -> float:
        """Returns the extrapolated store clock in milliseconds."""
        elapsed_s = self._timers.read_clock() - self.store_read_s
        return self.store_ms + elapsed_s * 1000.0

    def read_earliest_store_ms(self) -> float:
        """Returns a time in milliseconds that the store's clock has reached.

        An age that is computed from it is never too low.
        """
        elapsed_s = self._timers.read_clock() - self._store_answered_s
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
        self._store_answered_s = self._timers.read_clock()

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
        now_s = self._timers.read_clock()
        for subject, entry in self._set_aside.items():
            if entry.retry_s <= now_s:
                entry.retry_s = float("inf")
                self._apart.add(subject)
                self._rows[subject] = entry.source
                self._plan_flush()
        age_s = now_s - self.confirmed_s
        if self._batch is None and age_s >= HEAD_RENEWAL_INTERVAL_S:
            self._begin_batch()

    def _flush(self) -> None:
        self._flush_planned = False
        if self._batch is None and self._has_pending_writes():
            self._begin_batch()

    def _has_pending_writes(self) -> bool:
        return bool(self._wave or self._wave_callbacks or self._jobs or
                    self._rows or self._callbacks or self._removals)

    def _begin_batch(self) -> None:
        if self._closed:
            return
        if not self._wave and not self._wave_callbacks:
            self._wave = self._rows | self._jobs
            self._wave_callbacks = self._callbacks
            self._rows, self._jobs, self._callbacks = {}, {}, []
        content: list[changes.Change] = []
        self._take_changes(self._wave, content)
        if not self._wave:
            self._take_changes(self._deferred, content)
            self._take_changes(self._removals, content)
        self._serial += 1
        self._batch = _Batch(head=Head(self._epoch, self._serial),
                             content=content)
        self._send()

    def _take_changes(self, queue: dict[ports.RowName, changes.Source],
                      content: list[changes.Change]) -> None:
        """Moves changes from a queue to a transaction, as many as fit."""
        row_count = sum(change.row_count for change in content)
        size = sum(change.size for change in content)
        for subject, source in list(queue.items()):
            if content and (subject in self._apart or
                            content[0].subject in self._apart):
                return
            if row_count >= changes.MAX_BATCH_ROWS:
                return
            try:
                change = self._encoder.encode(subject, source)
            except Exception as error:
                # One row must not stop the head row and all others.
                del queue[subject]
                self._set_change_aside(
                    changes.Change(subject, source, {}, []),
                    f"cannot be encoded: {type(error).__name__}: {error}")
                continue
            if not change.fits(0, 0):
                del queue[subject]
                self._set_change_aside(change, "too long for a transaction")
                continue
            if not change.fits(row_count, size):
                return
            del queue[subject]
            content.append(change)
            row_count += change.row_count
            size += change.size
            # It is written as it is now, so the next wave need not repeat it.
            self._jobs.pop(subject, None)
            self._deferred.pop(subject, None)
            if subject in self._set_aside:
                self._set_aside[subject].changed = False

    def _send(self) -> None:
        batch = self._batch
        if batch is None or self._closed:
            return
        batch.tries += 1
        sent_s = self._timers.read_clock()
        self._store.commit(
            conditions={tables.HEAD_ROW: self.head_version},
            puts=batch.build_puts(),
            removals=batch.list_removals(),
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
        elif result.permanent and batch.content:
            self._handle_refusal(batch, result)
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
        for change in batch.content:
            self._encoder.record_written(change)
            self._apart.discard(change.subject)
            self._end_set_aside(change)
        if not self._wave:
            self._run_wave_callbacks()
        self._flush()

    def _run_wave_callbacks(self) -> None:
        """Runs the callbacks of a wave, but those of changes set aside."""
        callbacks, self._wave_callbacks = self._wave_callbacks, []
        for callback in callbacks:
            entry = (self._set_aside.get(callback.subject)
                     if callback.subject else None)
            if entry is not None:
                entry.callbacks.append(callback.call)
            else:
                self._run(callback.call)

    def _run(self, callback: changes.Callback) -> None:
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

    # Changes that the store refuses for good.

    def _handle_refusal(self, batch: _Batch, result: ports.StoreFailed) -> None:
        """Sends the changes of a refused transaction apart."""
        self._batch = None
        if len(batch.content) == 1:
            self._set_change_aside(batch.content[0], result.reason)
        else:
            _log.error("transaction refused, its changes are sent apart",
                       reason=result.reason,
                       changes=len(batch.content))
            returned = {
                change.subject: change.source for change in batch.content
            }
            self._apart |= returned.keys()
            self._wave = returned | self._wave
        self._flush()

    def _set_change_aside(self, change: changes.Change, reason: str) -> None:
        entry = self._set_aside.setdefault(
            change.subject, changes.SetAside(source=change.source))
        for queue in (self._rows, self._jobs, self._deferred):
            if change.subject in queue:
                entry.source = queue.pop(change.subject)
                entry.changed = True
        self._apart.discard(change.subject)
        delay_s = entry.plan_retry(self._timers.read_clock())
        _log.error("row refused and set aside",
                   table=change.subject[0],
                   key=change.subject[1],
                   reason=reason,
                   rows=change.row_count,
                   bytes=change.size,
                   retry_in_s=delay_s)

    def _update_set_aside(self, subject: ports.RowName,
                          source: changes.Source) -> bool:
        """Records a change of what is set aside.

        Returns:
            Whether it is set aside; it is written when it is tried again.
        """
        entry = self._set_aside.get(subject)
        if entry is None:
            return False
        entry.source = source
        entry.changed = True
        return True

    def _end_set_aside(self, change: changes.Change) -> None:
        """Releases what was set aside and has been written."""
        entry = self._set_aside.pop(change.subject, None)
        if entry is None:
            return
        _log.info("row written after refusals",
                  table=change.subject[0],
                  key=change.subject[1])
        if entry.changed:
            queue = (self._jobs
                     if isinstance(entry.source, progress.Job) else self._rows)
            queue[change.subject] = entry.source
        for callback in entry.callbacks:
            self._run(callback)
