"""A transactional store in memory, with simulated delays and faults."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import random
from typing import Any

from trefoilroad_jobs import ports
from trefoilroad_standins import clock

# Network delay in one direction and duration of a transaction, as at the
# sites of the users.
NETWORK_DELAY_S = 0.001
COMMIT_DURATION_S = 0.004
# Limits of a transaction: conditions, puts and removals; bytes of its values
# with a third added for their encoding.
MAX_ENTRIES = 100
MAX_COMMIT_BYTES = 1_000_000


class Tables:
    """The contents of the store, which all nodes share.

    Attributes:
        version: Version of the newest change.
        down: Whether the store answers no calls.
        rows: The rows by table and key.
        changes: Changed rows with their tables, the newest last.
        oldest_version: Lowest version after which a watch may start.
        row_bytes: Longest value of a row.
        refused_key: Key whose rows are refused for good, None for none.
        refusals: Number of transactions that were refused for good.
    """

    def __init__(self, *, virtual_clock: clock.Clock):
        self.version = 0
        self.down = False
        self.rows: dict[str, dict[str, ports.Row]] = {}
        self.changes: list[tuple[str, ports.Row]] = []
        self.oldest_version = 0
        self.row_bytes = 65_536
        self.refused_key: str | None = None
        self.refusals = 0
        self._clock = virtual_clock
        self._watchers: list[Callable[[], bool]] = []

    @property
    def now_ms(self) -> float:
        """The store's steady clock in milliseconds."""
        return self._clock.now_s * 1000.0

    def commit(self, conditions: Mapping[ports.RowName, int],
               puts: Mapping[ports.RowName, bytes],
               removals: Sequence[ports.RowName]) -> ports.CommitResult:
        """Applies a transaction, unless a row has another version.

        A transaction beyond the limits of the store is refused for good.

        Args:
            conditions: Required versions of rows; 0 for an absent row.
            puts: New contents.
            removals: Rows to remove.
        """
        if self._exceeds_limits(conditions, puts, removals):
            self.refusals += 1
            return ports.StoreFailed("status 400",
                                     maybe_written=False,
                                     permanent=True)
        mismatches = {}
        for (table, key), version in conditions.items():
            row = self.rows.get(table, {}).get(key)
            if (row.version if row else 0) != version:
                mismatches[table, key] = row or ports.Row(key, None, 0)
        if mismatches:
            return ports.Conflict(mismatches)
        return self._apply(puts, removals)

    def _apply(self, puts: Mapping[ports.RowName, bytes],
               removals: Sequence[ports.RowName]) -> ports.Committed:
        self.version += 1
        for (table, key), value in puts.items():
            self._write(table, ports.Row(key, value, self.version))
        for table, key in removals:
            self._write(table, ports.Row(key, None, self.version))
        self._watchers = [
            watcher for watcher in self._watchers if not watcher()
        ]
        return ports.Committed(self.version, self.now_ms)

    def _exceeds_limits(self, conditions: Mapping[ports.RowName, int],
                        puts: Mapping[ports.RowName, bytes],
                        removals: Sequence[ports.RowName]) -> bool:
        sizes = [len(value) for value in puts.values()]
        return (len(conditions) + len(puts) + len(removals) > MAX_ENTRIES or
                sum(sizes) * 4 / 3 > MAX_COMMIT_BYTES or
                max(sizes, default=0) > self.row_bytes or
                any(key == self.refused_key for _, key in puts))

    def _write(self, table: str, row: ports.Row) -> None:
        content = self.rows.setdefault(table, {})
        if row.value is None:
            content.pop(row.key, None)
        else:
            content[row.key] = row
        self.changes.append((table, row))

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes a row without conditions or limits; None removes it."""
        if value is None:
            self._apply({}, [(table, key)])
        else:
            self._apply({(table, key): value}, [])

    def list_changes(self, table: str, after: int) -> list[ports.Row]:
        """Returns the changes of a table after a version."""
        return [
            row for name, row in self.list_all_changes(after) if name == table
        ]

    def list_all_changes(self, after: int) -> list[tuple[str, ports.Row]]:
        """Returns the changes of all tables after a version."""
        newest_first = itertools.takewhile(
            lambda change: change[1].version > after, reversed(self.changes))
        return list(newest_first)[::-1]

    def drop_history(self) -> None:
        """Drops the past changes; a watch for them gets HistoryLost."""
        self.oldest_version = self.version

    def add_watcher(self, watcher: Callable[[], bool]) -> None:
        """Calls the watcher after each transaction until it returns True."""
        self._watchers.append(watcher)


class NodeStore(ports.Store):
    """Access of one node to the store, with faults.

    Attributes:
        cut: Whether this node cannot reach the store.
        refused: Whether the store refuses the calls of this node.
        loss_probability: Probability that the answer to a commit is lost.
        lost_commit_delay_s: Delay in seconds after which a commit whose
            answer is lost takes effect.
        delay_factor: Factor of all delays of calls that get an answer.
    """

    def __init__(self, *, tables: Tables, host: clock.Host, rng: random.Random):
        self.cut = False
        self.refused = False
        self.loss_probability = 0.0
        self.lost_commit_delay_s = 0.0
        self.delay_factor = 1.0
        self._tables = tables
        self._host = host
        self._rng = rng

    def _call(self, call: Callable[[], Any], on_done: Callable[[Any], None],
              delay_s: float, is_commit: bool) -> None:
        """Runs a call at the store and delivers its result.

        Args:
            call: Reads or writes the tables.
            on_done: Gets the result of the call, or a StoreFailed.
            delay_s: Time until the call takes effect, in seconds.
            is_commit: Whether the call is a commit, whose answer may be lost.
        """
        virtual_clock = self._host.clock
        failed = ports.StoreFailed("timeout", maybe_written=is_commit)
        if self.refused:
            busy = ports.StoreFailed("too many calls", maybe_written=False)
            virtual_clock.schedule(
                NETWORK_DELAY_S,
                lambda: self._host.deliver(lambda: on_done(busy)))
            return
        if self.cut or self._tables.down:
            virtual_clock.schedule(
                1.0, lambda: self._host.deliver(lambda: on_done(failed)))
            return

        def arrive() -> None:
            if not self._host.alive and not is_commit:
                return
            if is_commit and self._rng.random() < self.loss_probability:
                virtual_clock.schedule(self.lost_commit_delay_s, call)
                virtual_clock.schedule(
                    1.0, lambda: self._host.deliver(lambda: on_done(failed)))
                return
            result = call()
            virtual_clock.schedule(
                NETWORK_DELAY_S * self.delay_factor,
                lambda: self._host.deliver(lambda: on_done(result)))

        virtual_clock.schedule(delay_s * self.delay_factor, arrive)

    def commit(self, *, conditions: Mapping[ports.RowName, int],
               puts: Mapping[ports.RowName,
                             bytes], removals: Sequence[ports.RowName],
               on_done: ports.OnCommit) -> None:
        """See ports.Store.commit."""
        copies = dict(conditions), dict(puts), list(removals)
        self._call(lambda: self._tables.commit(*copies), on_done,
                   NETWORK_DELAY_S + COMMIT_DURATION_S, True)

    def read(self, *, table: str, key: str, on_done: ports.OnRows) -> None:
        """See ports.Store.read."""

        def call() -> ports.Rows:
            row = self._tables.rows.get(table, {}).get(key)
            return ports.Rows([row] if row else [], self._tables.version,
                              self._tables.now_ms)

        self._call(call, on_done, NETWORK_DELAY_S, False)

    def read_all(self, *, table: str, on_done: ports.OnRows) -> None:
        """See ports.Store.read_all."""

        def call() -> ports.Rows:
            rows = sorted(self._tables.rows.get(table, {}).values())
            return ports.Rows(rows, self._tables.version, self._tables.now_ms)

        self._call(call, on_done, NETWORK_DELAY_S, False)

    def watch(self, *, table: str, after: int, wait_s: float,
              on_done: ports.OnRows) -> None:
        """See ports.Store.watch."""
        virtual_clock = self._host.clock
        if self.cut or self.refused or self._tables.down:
            failed = ports.StoreFailed("timeout", maybe_written=False)
            virtual_clock.schedule(
                wait_s, lambda: self._host.deliver(lambda: on_done(failed)))
            return
        if after < self._tables.oldest_version:
            virtual_clock.schedule(
                NETWORK_DELAY_S, lambda: self._host.deliver(lambda: on_done(
                    ports.HistoryLost())))
            return
        finished = False

        def finish(rows: list[ports.Row]) -> None:
            nonlocal finished
            if finished:
                return
            finished = True
            result: Any = ports.Rows(rows, self._tables.version,
                                     self._tables.now_ms)
            if self.cut or self.refused or self._tables.down:
                result = ports.StoreFailed("timeout", maybe_written=False)
            virtual_clock.schedule(
                NETWORK_DELAY_S,
                lambda: self._host.deliver(lambda: on_done(result)))

        def finish_if_changed() -> bool:
            rows = self._tables.list_changes(table, after)
            if rows:
                finish(rows)
            return finished

        def time_out() -> None:
            finish([])

        if not finish_if_changed():
            self._tables.add_watcher(finish_if_changed)
            virtual_clock.schedule(wait_s, time_out)
