"""Rows that tell the next leaders when the leases of workers have ended."""

from collections.abc import Iterable

import cbor2
import structlog

from trefoilroad_jobs import ports
from trefoilroad_jobs import tables

_log = structlog.get_logger()


def encode_end(end_ms: float) -> bytes:
    """Encodes the end of leases, on the store's clock, for the store."""
    return cbor2.dumps([round(end_ms)])


def decode_rows(rows: Iterable[ports.Row]) -> dict[int, float]:
    """Decodes the rows of the table of leases.

    A row that cannot be read is left out, with a log line.

    Returns:
        End of all leases that were given before an epoch, in milliseconds of
        the store's clock, by epoch.
    """
    ends: dict[int, float] = {}
    for row in rows:
        try:
            [end_ms] = cbor2.loads(row.value or b"")
            epoch = int(row.key.removeprefix(tables.EPOCH_PREFIX))
            ends[epoch] = float(end_ms)
        except (cbor2.CBORError, TypeError, ValueError, EOFError) as error:
            _log.error("row of leases cannot be read",
                       row=row.key,
                       error=str(error))
    return ends
