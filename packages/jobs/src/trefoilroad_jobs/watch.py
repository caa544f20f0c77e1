"""Watches a table: reads its content, then its changes, despite failures."""

from collections.abc import Callable
from collections.abc import Sequence
import random

import structlog

from trefoilroad_core import backoff
from trefoilroad_jobs import ports
from trefoilroad_node import timer

WATCH_RETRY_BASE_S = 0.1
WATCH_RETRY_MAX_S = 0.6

OnRows = Callable[[ports.Rows], None]
OnFresh = Callable[[float, int], None]

_log = structlog.get_logger()


class Watch:
    """Watches one table.

    Attributes:
        fresh_s: Time up to which all changes have been processed, in seconds;
            minus infinity before the first result.
    """

    def __init__(self,
                 *,
                 table: str,
                 store: ports.Store,
                 timers: timer.Timers,
                 rng: random.Random,
                 wait_s: float,
                 on_snapshot: OnRows,
                 on_change: OnRows,
                 on_fresh: OnFresh | None = None,
                 after: int | None = None):
        """Creates a watch; `begin` starts it.

        Args:
            table: The table.
            store: The store.
            timers: Source of time.
            rng: Source of jitter.
            wait_s: Longest wait for a change in seconds.
            on_snapshot: Gets all rows, at the start unless `after` is given,
                and after the store has dropped the changes since the last
                result.
            on_change: Gets changed rows.
            on_fresh: Gets the new `fresh_s` and the version of the store after
                each result, also one without rows.
            after: Version up to which the rows are known, None if they have
                not been read.
        """
        self.fresh_s = float("-inf")
        self._table = table
        self._store = store
        self._timers = timers
        self._rng = rng
        self._wait_s = wait_s
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._on_fresh = on_fresh
        self._version = after
        self._failures = 0
        self._rejections = 0
        self._closed = False

    def begin(self) -> None:
        """Requests the content of the table, or its changes if it is known."""
        self._request_rows()

    @property
    def version(self) -> int:
        """Version of the store up to which changes are known; 0 before."""
        return self._version or 0

    def close(self) -> None:
        """Ends the watch; no callback is called any more."""
        self._closed = True

    def _request_rows(self) -> None:
        if self._closed:
            return
        sent_s = self._timers.read_clock()
        if self._version is None:
            self._store.read_all(table=self._table,
                                 on_done=lambda result: self._handle_result(
                                     sent_s, result, True))
        else:
            # A store that is back answers at once, so that the node soon knows
            # that its copy is current, even if nothing has changed.
            wait_s = 0.0 if self._failures else self._wait_s
            self._store.watch(table=self._table,
                              after=self._version,
                              wait_s=wait_s,
                              on_done=lambda result: self._handle_result(
                                  sent_s, result, False))

    def _handle_result(self, sent_s: float, result: ports.RowsResult,
                       is_snapshot: bool) -> None:
        if self._closed:
            return
        if isinstance(result, ports.HistoryLost):
            _log.warning("history lost, reading anew",
                         table=self._table,
                         version=self._version)
            self._version = None
            self._request_rows()
        elif isinstance(result, ports.StoreFailed):
            self._retry(result)
        else:
            self._record_answer()
            if self._process(result, is_snapshot, sent_s):
                self._version = max(result.version, self._version or 0)
                self._rejections = 0
                self._request_rows()

    def _process(self, result: ports.Rows, is_snapshot: bool,
                 sent_s: float) -> bool:
        """Passes rows to the callbacks.

        After an exception, which may have come in the middle of the rows, the
        whole table is read anew after a delay. Otherwise the watch would end
        and its node would act on what it knows by then for ever.

        Returns:
            Whether the callbacks have processed them.
        """
        try:
            if is_snapshot:
                self._on_snapshot(result)
            elif result.rows:
                self._on_change(result)
            self.fresh_s = sent_s
            if self._on_fresh is not None:
                self._on_fresh(sent_s, result.version)
        except Exception as error:
            self._rejections += 1
            _log.exception("rows cannot be processed, reading anew",
                           table=self._table,
                           version=result.version,
                           rejections=self._rejections,
                           error=repr(error))
            self._version = None
            self._request_later(self._rejections)
            return False
        return True

    def _record_answer(self) -> None:
        if self._failures:
            _log.info("store answers again",
                      table=self._table,
                      failures=self._failures)
        self._failures = 0

    def _retry(self, result: ports.StoreFailed) -> None:
        self._failures += 1
        if self._failures == 1:
            _log.warning("store does not answer",
                         table=self._table,
                         reason=result.reason,
                         version=self._version)
        self._request_later(self._failures)

    def _request_later(self, tries: int) -> None:
        delay_s = backoff.compute_delay(tries=tries,
                                        base_s=WATCH_RETRY_BASE_S,
                                        max_s=WATCH_RETRY_MAX_S,
                                        rng=self._rng)
        self._timers.call_later(delay_s, self._request_rows)


def merge_rows(content: dict[str, bytes], rows: Sequence[ports.Row]) -> None:
    """Applies changed rows to the content of a table."""
    for row in rows:
        if row.value is None:
            content.pop(row.key, None)
        else:
            content[row.key] = row.value
