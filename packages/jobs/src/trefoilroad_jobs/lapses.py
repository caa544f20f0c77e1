"""Rows that tell the next leaders when the leases of workers have ended."""

from collections.abc import Iterable
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import ports
from trefoilroad_jobs import tables

_log = structlog.get_logger()


class LeaseEnds(NamedTuple):
    """Ends of leases on the store's clock, in milliseconds.

    Attributes:
        epochs: End of all leases that were given before an epoch, by epoch.
        workers: End of all leases of a silent worker, by worker.
    """

    epochs: dict[int, float]
    workers: dict[str, float]


def encode_end(end_ms: float) -> bytes:
    """Encodes the end of leases for the store."""
    return cbor2.dumps([round(end_ms)])


def decode_rows(rows: Iterable[ports.Row]) -> LeaseEnds:
    """Decodes the rows of the table of leases.

    A row that cannot be read is left out, with a log line. Its leases are then
    taken to last as long as leases can.
    """
    ends = LeaseEnds({}, {})
    for row in rows:
        try:
            [end_ms] = cbor2.loads(row.value or b"")
            if row.key.startswith(tables.EPOCH_PREFIX):
                epoch = int(row.key.removeprefix(tables.EPOCH_PREFIX))
                ends.epochs[epoch] = float(end_ms)
            else:
                worker_id = row.key.removeprefix(tables.WORKER_PREFIX)
                ends.workers[worker_id] = float(end_ms)
        except (cbor2.CBORError, TypeError, ValueError, EOFError) as error:
            _log.error("row of leases cannot be read",
                       row=row.key,
                       error=str(error))
    return ends
