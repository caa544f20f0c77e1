"""Discovery of the other nodes by the settings and the table service."""

from collections.abc import Callable
from typing import Any

from trefoilroad_node import store as stores
from trefoilroad_node import timer

ANNOUNCE_INTERVAL_S = 5.0
NODE_POLL_INTERVAL_S = 2.0
# A node whose row has not changed for this time is no longer dialled.
NODE_EXPIRY_S = 20.0
NODE_KEY_PREFIX = "node/"


class Membership:
    """Announces this node and tracks the announcements of other nodes."""

    def __init__(self, *, node_id: str, link: str, seeds: tuple[str, ...],
                 store: stores.Store, timers: timer.Timers,
                 on_change: Callable[[set[str]], None]):
        """Announces this node and starts to poll.

        Args:
            node_id: Name of this node.
            link: Link address of this node.
            seeds: Link addresses of other nodes, from the settings.
            store: Table service.
            timers: Clock and timers.
            on_change: Called with the link addresses of all other nodes when
                they change.
        """
        self._node_id = node_id
        self._link = link
        self._seed_links = frozenset(seeds) - {link}
        self._store = store
        self._timers = timers
        self._on_change = on_change
        self._read_version = 0
        self._announce_count = 0
        self._links_by_node: dict[str, str] = {}
        self._changed_s: dict[str, float] = {}
        self._addresses: set[str] = set()
        timers.call_every(ANNOUNCE_INTERVAL_S, self._announce)
        timers.call_every(NODE_POLL_INTERVAL_S, self._poll)
        self._announce()
        self._update_addresses()

    @property
    def addresses(self) -> set[str]:
        """Link addresses of the other nodes."""
        return self._addresses

    def withdraw(self) -> None:
        """Deletes the announcement of this node, for a planned stop."""
        self._store.commit({}, {f"{NODE_KEY_PREFIX}{self._node_id}": None},
                           lambda _: None)

    def _announce(self) -> None:
        self._announce_count += 1
        value = {"link": self._link, "count": self._announce_count}
        self._store.commit({}, {f"{NODE_KEY_PREFIX}{self._node_id}": value},
                           lambda _: None)

    def _poll(self) -> None:
        self._store.read_rows(NODE_KEY_PREFIX, self._read_version,
                              self._handle_rows)

    def _handle_rows(self, result: Any) -> None:
        if not isinstance(result, stores.Rows):
            # No node may expire because the store does not answer.
            now_s = self._timers.read_clock()
            self._changed_s = dict.fromkeys(self._changed_s, now_s)
            return
        self._read_version = result.version
        for row in result.rows:
            self._apply_row(row)
        self._update_addresses()

    def _apply_row(self, row: stores.Row) -> None:
        node_id = row.key.removeprefix(NODE_KEY_PREFIX)
        if row.value is None:
            self._links_by_node.pop(node_id, None)
        elif isinstance(row.value, dict) and "link" in row.value:
            self._links_by_node[node_id] = row.value["link"]
            self._changed_s[node_id] = self._timers.read_clock()

    def _update_addresses(self) -> None:
        now_s = self._timers.read_clock()
        live_links = {
            link for node_id, link in self._links_by_node.items()
            if now_s - self._changed_s[node_id] < NODE_EXPIRY_S
        }
        addresses = (live_links | self._seed_links) - {self._link}
        if addresses != self._addresses:
            self._addresses = addresses
            self._on_change(addresses)
