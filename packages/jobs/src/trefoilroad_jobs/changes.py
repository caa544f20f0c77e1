"""Changes of rows that wait to be written, and the batches that hold them."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import structlog

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import progress_rows
from trefoilroad_jobs import tables

# The store accepts 100 entries in a call; the head row and its condition are
# two of them.
MAX_BATCH_ROWS = 90
# The store accepts 1 MB in a call; the encoding of values on the wire adds a
# third.
MAX_BATCH_BYTES = 600_000
# Changes share a transaction up to this size, 0.3 s at 5 Mbit/s. A larger one
# may take longer than the time after which a silent leader is replaced.
SHARED_BATCH_BYTES = 150_000
# Delays after which a change that the store refuses is tried again, alone.
RETRY_BASE_S = 1.0
RETRY_MAX_S = 10.0

Callback = Callable[[], None]

_log = structlog.get_logger()


class RowSource(abc.ABC):
    """Content of a row as of the transaction that writes it."""

    @abc.abstractmethod
    def encode_row(self) -> bytes:
        """Returns the content as it is now."""


Source = progress.Job | RowSource | bytes | None
"""What a change writes: the progress of a job, or a row; None removes it."""


class Change(NamedTuple):
    """Rows that are written and removed together.

    Attributes:
        subject: Name of the row, the first one if a job has several.
        source: What it writes.
        puts: New contents.
        removals: Rows to remove.
    """

    subject: ports.RowName
    source: Source
    puts: Mapping[ports.RowName, bytes]
    removals: Sequence[ports.RowName]

    @property
    def row_count(self) -> int:
        """Number of rows that it writes or removes."""
        return len(self.puts) + len(self.removals)

    @property
    def size(self) -> int:
        """Sum of the lengths of the new contents."""
        return sum(len(value) for value in self.puts.values())

    def fits(self, row_count: int, size: int) -> bool:
        """Returns whether a transaction can hold it beside others.

        Args:
            row_count: Number of rows that the others write or remove.
            size: Sum of the lengths of their contents.
        """
        max_bytes = SHARED_BATCH_BYTES if row_count else MAX_BATCH_BYTES
        return (row_count + self.row_count <= MAX_BATCH_ROWS and
                size + self.size <= max_bytes)


class ChangeEncoder:
    """Encodes changes and knows how many rows the jobs have in the store."""

    def __init__(self, *, row_bytes: int):
        """Creates an encoder that knows of no rows.

        Args:
            row_bytes: Longest content of a row.
        """
        self._row_bytes = min(row_bytes, MAX_BATCH_BYTES)
        self._row_counts: dict[str, int] = {}
        self._without_checkpoints: set[str] = set()

    def set_row_count(self, job_id: str, count: int) -> None:
        """Sets how many rows of progress a job has in the store."""
        if count > 1:
            self._row_counts[job_id] = count
        else:
            self._row_counts.pop(job_id, None)

    def encode(self, subject: ports.RowName, source: Source) -> Change:
        """Encodes a change; that of a job removes rows it no longer needs."""
        if source is None:
            return Change(subject, source, {}, [subject])
        if isinstance(source, bytes):
            return Change(subject, source, {subject: source}, [])
        if isinstance(source, RowSource):
            return Change(subject, source, {subject: source.encode_row()}, [])
        job_id = source.job_id
        encoded = progress_rows.encode_rows(
            source,
            row_bytes=self._row_bytes,
            max_rows=min(MAX_BATCH_ROWS, MAX_BATCH_BYTES // self._row_bytes))
        self._report_checkpoints(job_id, encoded.checkpoints_left_out)
        names = [
            tables.get_progress_row_name(job_id, number) for number in range(
                max(len(encoded.values), self._row_counts.get(job_id, 1)))
        ]
        count = len(encoded.values)
        return Change(subject, source,
                      dict(zip(names, encoded.values, strict=False)),
                      names[count:])

    def _report_checkpoints(self, job_id: str, left_out: int) -> None:
        """Logs once that the checkpoints of a job do not fit."""
        if not left_out:
            self._without_checkpoints.discard(job_id)
        elif job_id not in self._without_checkpoints:
            self._without_checkpoints.add(job_id)
            _log.warning("checkpoints not written, as they do not fit",
                         request=job_id,
                         checkpoints=left_out)

    def record_written(self, change: Change) -> None:
        """Records that a change has been written."""
        if isinstance(change.source, progress.Job):
            self.set_row_count(change.source.job_id, len(change.puts))

    def forget_rows(self, job_id: str) -> list[ports.RowName]:
        """Returns the rows of a job that is removed, the first row last."""
        count = self._row_counts.pop(job_id, 1)
        return [
            tables.get_progress_row_name(job_id, number)
            for number in reversed(range(count))
        ]


class SetAside:
    """A change that the store refuses, apart from all others.

    Attributes:
        source: What it writes.
        callbacks: Called once it is written.
        changed: Whether it has changed since it was encoded last.
        retry_s: When it is tried again, in seconds.
    """

    def __init__(self, *, source: Source):
        self.source = source
        self.callbacks: list[Callback] = []
        self.changed = False
        self.retry_s = float("inf")
        self._tries = 0

    def plan_retry(self, now_s: float) -> float:
        """Plans the next try; returns the delay in seconds."""
        delay_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**min(self._tries, 8))
        self._tries += 1
        self.retry_s = now_s + delay_s
        return delay_s
