"""Which nodes there are, from settings and from the table service."""

from collections.abc import Callable
from typing import Any

from trefoilroad_node import store as stores
from trefoilroad_node import timer

BEAT_INTERVAL_S = 5.0
POLL_INTERVAL_S = 2.0
# A node whose row has not changed for this long is not dialled any more.
EXPIRY_S = 20.0
PREFIX = "node/"


class Membership:
    """Announces this node and watches the announcements of the others."""

    def __init__(self, *, node_id: str, link: str, seeds: tuple[str, ...],
                 store: stores.Store, timers: timer.Timers,
                 on_change: Callable[[set[str]], None]):
        """Begins to announce and to watch.

        Args:
            node_id: Name of this node.
            link: Link address of this node.
            seeds: Link addresses from the settings.
            store: Table service.
            timers: Source of time.
            on_change: Called with all other link addresses when they change.
        """
        self._node_id = node_id
        self._link = link
        self._seeds = frozenset(seeds) - {link}
        self._store = store
        self._timers = timers
        self._on_change = on_change
        self._since = 0
        self._count = 0
        self._links: dict[str, str] = {}
        self._seen_s: dict[str, float] = {}
        self._addresses: set[str] = set()
        timers.call_every(BEAT_INTERVAL_S, self._announce)
        timers.call_every(POLL_INTERVAL_S, self._poll)
        self._announce()
        self._update()

    @property
    def addresses(self) -> set[str]:
        """Link addresses of the other nodes."""
        return self._addresses

    def withdraw(self) -> None:
        """Removes the announcement, for a planned stop."""
        self._store.commit({}, {f"{PREFIX}{self._node_id}": None},
                           lambda _: None)

    def _announce(self) -> None:
        self._count += 1
        value = {"link": self._link, "count": self._count}
        self._store.commit({}, {f"{PREFIX}{self._node_id}": value},
                           lambda _: None)

    def _poll(self) -> None:
        self._store.read_rows(PREFIX, self._since, self._take)

    def _take(self, result: Any) -> None:
        if not isinstance(result, stores.Rows):
            # Silence of the store is not silence of the nodes.
            now_s = self._timers.read_clock()
            self._seen_s = dict.fromkeys(self._seen_s, now_s)
            return
        self._since = result.version
        for row in result.rows:
            self._take_row(row)
        self._update()

    def _take_row(self, row: stores.Row) -> None:
        node_id = row.key.removeprefix(PREFIX)
        if row.value is None:
            self._links.pop(node_id, None)
        elif isinstance(row.value, dict) and "link" in row.value:
            self._links[node_id] = row.value["link"]
            self._seen_s[node_id] = self._timers.read_clock()

    def _update(self) -> None:
        now_s = self._timers.read_clock()
        live = {
            link for node_id, link in self._links.items()
            if now_s - self._seen_s[node_id] < EXPIRY_S
        }
        addresses = (live | self._seeds) - {self._link}
        if addresses != self._addresses:
            self._addresses = addresses
            self._on_change(addresses)
