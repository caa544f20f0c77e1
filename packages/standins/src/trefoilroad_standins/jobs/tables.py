"""A table store in memory, reached with delay and faults."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import random
from typing import Any

from trefoilroad_jobs import ports
from trefoilroad_standins import clock

# One way, and the time of a transaction; like the users' sites.
DELAY_S = 0.001
COMMIT_S = 0.004


class Tables:
    """The rows that all nodes share.

    Attributes:
        version: Version of the newest change.
        down: Whether no call is answered.
    """

    def __init__(self, *, ticking: clock.Clock):
        self.version = 0
        self.down = False
        self.rows: dict[str, dict[str, ports.Row]] = {}
        self.changes: list[tuple[str, ports.Row]] = []
        self.oldest = 0
        self._ticking = ticking
        self._waiting: list[Callable[[], bool]] = []

    @property
    def now_ms(self) -> float:
        """The store's clock."""
        return self._ticking.now_s * 1000.0

    def commit(
            self, conditions: Mapping[ports.RowName,
                                      int], puts: Mapping[ports.RowName, bytes],
            removals: Sequence[ports.RowName]
    ) -> ports.Committed | ports.Conflict:
        """Applies a transaction."""
        differing = {}
        for (table, key), version in conditions.items():
            row = self.rows.get(table, {}).get(key)
            if (row.version if row else 0) != version:
                differing[table, key] = row or ports.Row(key, None, 0)
        if differing:
            return ports.Conflict(differing)
        self.version += 1
        for (table, key), value in puts.items():
            self._write(table, ports.Row(key, value, self.version))
        for table, key in removals:
            self._write(table, ports.Row(key, None, self.version))
        self._waiting = [wake for wake in self._waiting if not wake()]
        return ports.Committed(self.version, self.now_ms)

    def _write(self, table: str, row: ports.Row) -> None:
        content = self.rows.setdefault(table, {})
        if row.value is None:
            content.pop(row.key, None)
        else:
            content[row.key] = row
        self.changes.append((table, row))

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes a row as the platform does."""
        if value is None:
            self.commit({}, {}, [(table, key)])
        else:
            self.commit({}, {(table, key): value}, [])

    def list_changes(self, table: str, after: int) -> list[ports.Row]:
        """Returns the changes of a table after a version."""
        newer = itertools.takewhile(lambda change: change[1].version > after,
                                    reversed(self.changes))
        found = [row for name, row in newer if name == table]
        return found[::-1]

    def drop_history(self) -> None:
        """Forgets all changes; who asks for them must read anew."""
        self.oldest = self.version

    def wait(self, wake: Callable[[], bool]) -> None:
        """Calls `wake` after each change, until it returns True."""
        self._waiting.append(wake)


class NodeStore(ports.Store):
    """The store as one node reaches it.

    Attributes:
        cut: Whether no call of this node gets through.
        refused: Whether the store turns this node away.
        lose: Share of the commits whose answer is lost.
        late_s: A commit whose answer is lost takes effect this much later.
        slow: Factor of all delays.
    """

    def __init__(self, *, tables: Tables, host: clock.Host, rng: random.Random):
        self.cut = False
        self.refused = False
        self.lose = 0.0
        self.late_s = 0.0
        self.slow = 1.0
        self._tables = tables
        self._host = host
        self._rng = rng

    def _reach(self, call: Callable[[], Any], on_done: Callable[[Any], None],
               delay_s: float, maybe_written: bool) -> None:
        """Runs a call at the store and delivers its result."""
        ticking = self._host.clock
        failed = ports.StoreFailed("timeout", maybe_written=maybe_written)
        if self.refused:
            busy = ports.StoreFailed("too many calls", maybe_written=False)
            ticking.schedule(DELAY_S,
                             lambda: self._host.deliver(lambda: on_done(busy)))
            return
        if self.cut or self._tables.down:
            ticking.schedule(
                1.0, lambda: self._host.deliver(lambda: on_done(failed)))
            return

        def arrive() -> None:
            if not self._host.alive and not maybe_written:
                return
            if maybe_written and self._rng.random() < self.lose:
                ticking.schedule(self.late_s, call)
                ticking.schedule(
                    1.0, lambda: self._host.deliver(lambda: on_done(failed)))
                return
            result = call()
            ticking.schedule(
                DELAY_S * self.slow,
                lambda: self._host.deliver(lambda: on_done(result)))

        ticking.schedule(delay_s * self.slow, arrive)

    def commit(self, *, conditions: Mapping[ports.RowName, int],
               puts: Mapping[ports.RowName,
                             bytes], removals: Sequence[ports.RowName],
               on_done: ports.OnCommit) -> None:
        """See ports.Store.commit."""
        held = dict(conditions), dict(puts), list(removals)
        self._reach(lambda: self._tables.commit(*held), on_done,
                    DELAY_S + COMMIT_S, True)

    def read(self, *, table: str, key: str, on_done: ports.OnRows) -> None:
        """See ports.Store.read."""

        def call() -> ports.Rows:
            row = self._tables.rows.get(table, {}).get(key)
            return ports.Rows([row] if row else [], self._tables.version,
                              self._tables.now_ms)

        self._reach(call, on_done, DELAY_S, False)

    def read_all(self, *, table: str, on_done: ports.OnRows) -> None:
        """See ports.Store.read_all."""

        def call() -> ports.Rows:
            rows = sorted(self._tables.rows.get(table, {}).values())
            return ports.Rows(rows, self._tables.version, self._tables.now_ms)

        self._reach(call, on_done, DELAY_S, False)

    def watch(self, *, table: str, after: int, wait_s: float,
              on_done: ports.OnRows) -> None:
        """See ports.Store.watch."""
        ticking = self._host.clock
        if self.cut or self.refused or self._tables.down:
            failed = ports.StoreFailed("timeout", maybe_written=False)
            ticking.schedule(
                wait_s, lambda: self._host.deliver(lambda: on_done(failed)))
            return
        if after < self._tables.oldest:
            ticking.schedule(
                DELAY_S, lambda: self._host.deliver(lambda: on_done(
                    ports.HistoryLost())))
            return
        ended = False

        def finish(rows: list[ports.Row]) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            found: Any = ports.Rows(rows, self._tables.version,
                                    self._tables.now_ms)
            if self.cut or self.refused or self._tables.down:
                found = ports.StoreFailed("timeout", maybe_written=False)
            ticking.schedule(DELAY_S,
                             lambda: self._host.deliver(lambda: on_done(found)))

        def wake() -> bool:
            rows = self._tables.list_changes(table, after)
            if rows:
                finish(rows)
            return ended

        def give_up() -> None:
            finish([])

        if not wake():
            self._tables.wait(wake)
            ticking.schedule(wait_s, give_up)
