"""One write of one row, directly or through the leader."""

from collections.abc import Callable
from typing import NamedTuple

import structlog

from trefoilroad_jobs import ports
from trefoilroad_node import timer

# A node asks the leader to write if the store has not answered by then; the
# usual answer takes 10 ms, and callers of urgent work give up 3 s after a call.
RELAY_AFTER_S = 0.4

_log = structlog.get_logger()


class Row(NamedTuple):
    """A row that is to be written.

    Attributes:
        name: Table and key.
        value: Content.
        only_new: Whether an existing row stays as it is.
    """

    name: ports.RowName
    value: bytes
    only_new: bool


Relay = Callable[[Row, ports.OnCommit], None]


def commit_row(store: ports.Store, row: Row, on_done: ports.OnCommit) -> None:
    """Writes a row directly."""
    store.commit(conditions={row.name: 0} if row.only_new else {},
                 puts={row.name: row.value},
                 removals=[],
                 on_done=on_done)


class Write:
    """A write that takes a second way if the first one is slow or fails.

    The store may turn this node away, or be out of its reach, while it serves
    the others. Both ways write the same content, so it does no harm if both
    take effect.
    """

    def __init__(self, *, store: ports.Store, timers: timer.Timers,
                 relay: Relay, row: Row, on_done: ports.OnCommit):
        """Begins to write.

        Args:
            store: The store.
            timers: Source of time.
            relay: Has the leader write a row.
            row: The row.
            on_done: Gets the first success, or a failure once both ways have
                failed; it may still take effect if either way says so.
        """
        self._relay = relay
        self._row = row
        self._on_done = on_done
        self._done = False
        self._relayed = False
        self._under_way = 1
        self._maybe = False
        timers.call_later(RELAY_AFTER_S, self._take_second_way)
        commit_row(store, row, self._take)

    def _take_second_way(self) -> None:
        if self._done or self._relayed:
            return
        self._relayed = True
        self._under_way += 1
        self._relay(self._row, self._take)

    def _take(self, result: ports.CommitResult) -> None:
        self._under_way -= 1
        if self._done:
            return
        if not isinstance(result, ports.StoreFailed):
            self._finish(result)
            return
        self._maybe = self._maybe or result.maybe_written
        _log.info("row not written",
                  key=self._row.name[1],
                  reason=result.reason,
                  maybe_written=self._maybe,
                  relayed=self._relayed)
        self._take_second_way()
        if not self._under_way and not self._done:
            self._finish(result._replace(maybe_written=self._maybe))

    def _finish(self, result: ports.CommitResult) -> None:
        self._done = True
        self._on_done(result)
