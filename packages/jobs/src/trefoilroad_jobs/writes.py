"""Writes of single rows, directly to the store or through the leader."""

from collections.abc import Callable
from typing import NamedTuple

import structlog

from trefoilroad_jobs import ports
from trefoilroad_node import timer

# If the store has not answered after this time, the node asks the leader to
# write too. The store usually answers in 10 ms, and callers of urgent work give
# up 3 s after a call.
RELAY_AFTER_S = 0.4

_log = structlog.get_logger()


class RowWrite(NamedTuple):
    """A row that is to be written.

    Attributes:
        name: Table and key.
        value: Content.
        only_new: Whether an existing row stays as it is.
    """

    name: ports.RowName
    value: bytes
    only_new: bool


Relay = Callable[[RowWrite, ports.OnCommit], None]


def commit_row(store: ports.Store, row: RowWrite,
               on_done: ports.OnCommit) -> None:
    """Writes a row directly."""
    store.commit(conditions={row.name: 0} if row.only_new else {},
                 puts={row.name: row.value},
                 removals=[],
                 on_done=on_done)


class WriteWithRelay:
    """A write that is also sent through the leader if it is slow or fails.

    The store may refuse this node, or be unreachable from it, while it serves
    the others. Both paths write the same content, so the result is the same if
    both take effect.
    """

    def __init__(self, *, store: ports.Store, timers: timer.Timers,
                 relay: Relay, row: RowWrite, on_done: ports.OnCommit):
        """Starts the direct write.

        Args:
            store: The store.
            timers: Source of time.
            relay: Asks the leader to write a row.
            row: The row.
            on_done: Gets the first success, or a failure once both paths have
                failed. The failure has maybe_written set if either of them has.
        """
        self._relay = relay
        self._row = row
        self._on_done = on_done
        self._done = False
        self._relayed = False
        self._pending_writes = 1
        self._maybe_written = False
        self._relay_timer = timers.call_later(RELAY_AFTER_S, self._relay_write)
        commit_row(store, row, self._handle_result)

    def _relay_write(self) -> None:
        if self._done or self._relayed:
            return
        self._relayed = True
        self._pending_writes += 1
        self._relay(self._row, self._handle_result)

    def _handle_result(self, result: ports.CommitResult) -> None:
        self._pending_writes -= 1
        if self._done:
            return
        if not isinstance(result, ports.StoreFailed):
            self._finish(result)
            return
        self._maybe_written = self._maybe_written or result.maybe_written
        _log.info("row not written",
                  key=self._row.name[1],
                  reason=result.reason,
                  maybe_written=self._maybe_written,
                  relayed=self._relayed)
        self._relay_write()
        if not self._pending_writes and not self._done:
            self._finish(result._replace(maybe_written=self._maybe_written))

    def _finish(self, result: ports.CommitResult) -> None:
        self._done = True
        self._relay_timer.cancel()
        self._on_done(result)
