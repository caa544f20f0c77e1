"""Rows of the store that hold the progress of a job.

Progress that fits into a row is written as `progress` encodes it. The progress
of a job of thousands of tasks can be longer than a row. It is then made compact
and, if need be, split over several rows, which are written in one transaction.
The first row has the state, so one read is enough for it; the number of rows
and a checksum show whether the others belong to it.

Compact progress has columns of small numbers in place of claims and failures,
names each worker once, and keeps only the numbers of steps that are done.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import Any
from typing import NamedTuple
import zlib

import cbor2

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables

# Smallest usual size of a claim in a row. With more claims than fit by it, the
# plain encoding, which takes some 20 ms for 10,000 claims, is not tried.
PLAIN_CLAIM_BYTES = 20
# State, time of the end, number of rows, checksum and lengths in a first row.
FIRST_ROW_OVERHEAD = 48
# Length of the content of another row.
OTHER_ROW_OVERHEAD = 8
# The fastest level: it is used for each transaction, and columns of small
# numbers compress well at any level.
COMPRESSION_LEVEL = 1


class EncodedRows(NamedTuple):
    """Rows of a job's progress.

    Attributes:
        values: Contents of the rows, the first row first.
        checkpoints_left_out: Number of checkpoints that did not fit.
    """

    values: list[bytes]
    checkpoints_left_out: int = 0

    @property
    def size(self) -> int:
        """Sum of the lengths of the rows."""
        return sum(len(value) for value in self.values)


def encode_rows(job: progress.Job, *, row_bytes: int,
                max_rows: int) -> EncodedRows:
    """Encodes the progress of a job as one row or several.

    Checkpoints are left out if the rows would otherwise be too many: without a
    checkpoint a task begins anew after a takeover, but without its rows a job
    cannot go on at all.

    Args:
        job: The job.
        row_bytes: Longest content of a row.
        max_rows: Most rows that can be written.

    Returns:
        The rows, which may be more than max_rows.
    """
    claim_count = sum(len(step.claims) for step in job.steps.values())
    steps = progress.list_steps(job)
    if claim_count * PLAIN_CLAIM_BYTES <= row_bytes:
        plain = progress.encode_steps(job, steps)
        if len(plain) <= row_bytes:
            return EncodedRows([plain])
    values = _split(job, compact_steps(steps), row_bytes)
    if len(values) <= max_rows:
        return EncodedRows(values)
    left_out = sum(len(step.checkpoints) for step in steps)
    steps = [step._replace(checkpoints={}) for step in steps]
    return EncodedRows(_split(job, compact_steps(steps), row_bytes), left_out)


def decode_rows(job: progress.Job, rows: Mapping[int, bytes], now_s: float,
                store_ms: float) -> None:
    """Sets the progress of a job from its rows.

    Args:
        job: A job without progress.
        rows: Contents by number of the row. Rows beyond the last one of the
            state are ignored.
        now_s: Current time in seconds.
        store_ms: Current time of the store's clock, in milliseconds.

    Raises:
        ValueError: If the rows are not the progress of this job, or one of them
            is absent or of another state.
    """
    try:
        state, ended_ms, *rest = cbor2.loads(rows[0])
        is_plain = len(rest) == 1
        steps = rest[0] if is_plain else expand_steps(_join(rows, *rest))
        progress.restore(job,
                         state=state,
                         ended_ms=ended_ms,
                         steps=steps,
                         now_s=now_s,
                         store_ms=store_ms)
    except (cbor2.CBORError, zlib.error, TypeError, KeyError, IndexError,
            EOFError) as error:
        raise ValueError(
            f"invalid progress rows of {job.job_id}: {error!r}") from error


def group_rows(rows: Iterable[ports.Row]) -> dict[str, dict[int, bytes]]:
    """Returns the contents of rows of progress by job and number."""
    grouped: dict[str, dict[int, bytes]] = {}
    for row in rows:
        if row.value is not None:
            job_id, number = tables.split_progress_key(row.key)
            grouped.setdefault(job_id, {})[number] = row.value
    return grouped


def _split(job: progress.Job, data: bytes, row_bytes: int) -> list[bytes]:
    """Splits compact progress over rows."""
    first_size = row_bytes - FIRST_ROW_OVERHEAD
    size = row_bytes - OTHER_ROW_OVERHEAD
    others = [
        data[start:start + size] for start in range(first_size, len(data), size)
    ]
    first = [
        str(job.state), job.ended_ms, 1 + len(others),
        zlib.crc32(data), data[:first_size]
    ]
    return [cbor2.dumps(first), *(cbor2.dumps(other) for other in others)]


def _join(rows: Mapping[int, bytes], count: int, checksum: int,
          first: bytes) -> bytes:
    """Joins the rows of compact progress.

    Raises:
        ValueError: If a row is absent or of another state.
    """
    missing = [number for number in range(1, count) if number not in rows]
    if missing:
        raise ValueError(f"rows {missing} of {count} are absent")
    data = first + b"".join(
        cbor2.loads(rows[number]) for number in range(1, count))
    if zlib.crc32(data) != checksum:
        raise ValueError(f"the {count} rows are of different states")
    return data


def compact_steps(steps: Iterable[progress.StepRow]) -> bytes:
    """Encodes steps in less space than plain ones."""
    workers: dict[tuple[str, int], int] = {}
    finished: dict[int, list[int]] = {}
    unfinished = []
    for step in steps:
        if step.done is True and not step.claims:
            finished.setdefault(step.number, []).append(step.occurrence)
        else:
            unfinished.append(_compact_step(step, workers))
    compact = [
        {
            number: _subtract_previous(sorted(occurrences))
            for number, occurrences in finished.items()
        },
        [list(worker) for worker in workers],
        unfinished,
    ]
    return zlib.compress(cbor2.dumps(compact), COMPRESSION_LEVEL)


def _compact_step(step: progress.StepRow, workers: dict[tuple[str, int],
                                                        int]) -> list[Any]:
    claims = sorted(step.claims)
    claim_columns = [
        _subtract_previous(claim[0] for claim in claims),
        [claim[1] for claim in claims],
        [workers.setdefault(claim[2:4], len(workers)) for claim in claims],
        _subtract_previous(claim[4] for claim in claims),
    ]
    done = step.done
    return [
        step.occurrence, step.number, step.runs,
        done if done is True else _subtract_previous(done),
        _split_columns(step.failures), claim_columns,
        _split_columns(step.checkpoints)
    ]


def expand_steps(data: bytes) -> list[progress.StepRow]:
    """Decodes what `compact_steps` encoded.

    The run numbers and failures of steps that are done are not kept.
    """
    finished, workers, unfinished = cbor2.loads(zlib.decompress(data))
    steps = [
        progress.StepRow(occurrence=occurrence,
                         number=number,
                         runs=1,
                         done=True,
                         failures={},
                         claims=[],
                         checkpoints={})
        for number, occurrences in finished.items()
        for occurrence in itertools.accumulate(occurrences)
    ]
    steps.extend(_expand_step(step, workers) for step in unfinished)
    return steps


def _expand_step(fields: list[Any], workers: list[Any]) -> progress.StepRow:
    occurrence, number, runs, done, failures, columns, checkpoints = fields
    indexes, claim_runs, claim_workers, started = columns
    claims = [
        (index, run, *workers[worker], started_ms)
        for index, run, worker, started_ms in zip(itertools.accumulate(indexes),
                                                  claim_runs,
                                                  claim_workers,
                                                  itertools.accumulate(started),
                                                  strict=True)
    ]
    return progress.StepRow(
        occurrence=occurrence,
        number=number,
        runs=runs,
        done=done if done is True else list(itertools.accumulate(done)),
        failures=_join_columns(failures),
        claims=claims,
        checkpoints=_join_columns(checkpoints))


def _split_columns(values: Mapping[int, Any]) -> list[list[Any]]:
    """Returns the sorted keys of a map as differences, and its values."""
    keys = sorted(values)
    return [_subtract_previous(keys), [values[key] for key in keys]]


def _join_columns(columns: list[list[Any]]) -> dict[int, Any]:
    keys, values = columns
    return dict(zip(itertools.accumulate(keys), values, strict=True))


def _subtract_previous(numbers: Iterable[int]) -> list[int]:
    """Returns the difference of each number to the one before it."""
    differences = []
    previous = 0
    for number in numbers:
        differences.append(number - previous)
        previous = number
    return differences
