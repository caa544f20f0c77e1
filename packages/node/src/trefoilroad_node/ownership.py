"""Who owns the region: one row of the table service, by compare-and-set.

The owner changes its beat row; a candidate takes over when the beat has not
changed for the lease time on the candidate's own clock, so that clocks of
different VMs are never compared (Gray and Cheriton, SOSP 1989). The lease is
only a hint about when to take over: what the old owner could still do is
refused by the table service and by the workers, which know the epoch.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import structlog

from trefoilroad_core import errors
from trefoilroad_node import store as stores
from trefoilroad_node import timer

POLL_INTERVAL_S = 0.5
LEASE_S = 2.0

_log = structlog.get_logger()


class Owner(NamedTuple):
    """The row `owner/<region>`.

    Attributes:
        node: Name of the owning node, empty after a release.
        link: Link address of the owning node.
        epoch: Epoch of the ownership.
        version: Version of the row.
    """

    node: str
    link: str
    epoch: int
    version: int


NOBODY = Owner(node="", link="", epoch=0, version=0)


class Ownership:
    """Watches the owner row and takes over when nobody renews."""

    def __init__(self, *, region: str, node_id: str, link: str,
                 store: stores.Store, timers: timer.Timers, rng: random.Random,
                 on_gain: Callable[[Owner], None], on_loss: Callable[[str],
                                                                     None]):
        """Begins to watch.

        Args:
            region: Region to own.
            node_id: Name of this node.
            link: Link address of this node.
            store: Table service.
            timers: Source of time.
            rng: Source of jitter and tokens.
            on_gain: Called when this node has become the owner.
            on_loss: Called when it has ceased to be the owner.
        """
        self.owner = NOBODY
        self.enabled = True
        self._owner_key = f"owner/{region}"
        self._beat_key = f"beat/{region}"
        self._node_id = node_id
        self._link = link
        self._store = store
        self._timers = timers
        self._rng = rng
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._mine = False
        self._busy = False
        self._beat: Any = None
        self._beat_changed_s = timers.read_clock()
        self._beat_count = 0
        self._token = ""
        timers.call_every(POLL_INTERVAL_S, self._poll)

    @property
    def is_mine(self) -> bool:
        """Whether this node owns the region as far as it knows."""
        return self._mine

    def lose(self, reason: str) -> None:
        """Steps down because something showed a newer owner."""
        if self._mine:
            self._mine = False
            self._beat_changed_s = self._timers.read_clock()
            _log.warning("ownership lost",
                         reason=reason,
                         epoch=self.owner.epoch)
            self._on_loss(reason)

    def release(self, on_done: Callable[[], None]) -> None:
        """Gives the ownership back so that a successor need not wait.

        Args:
            on_done: Called when that is on record or has failed.
        """
        self.enabled = False
        if not self._mine:
            on_done()
            return
        self._mine = False
        value = {"node": "", "link": "", "epoch": self.owner.epoch, "token": ""}
        self._store.commit({self._owner_key: self.owner.version},
                           {self._owner_key: value}, lambda _: on_done())

    def _poll(self) -> None:
        if self._busy or not self.enabled:
            return
        self._busy = True
        if self._mine:
            self._renew()
        else:
            self._store.read_row(self._owner_key, self._take_owner)

    def _renew(self) -> None:
        self._beat_count += 1
        beat = {"node": self._node_id, "count": self._beat_count}
        self._store.commit({self._owner_key: self.owner.version},
                           {self._beat_key: beat}, self._take_renewal)

    def _take_renewal(self, result: Any) -> None:
        self._busy = False
        if isinstance(result, errors.CommitConflict):
            self.lose("the owner row has changed")

    def _take_owner(self, result: Any) -> None:
        if isinstance(result, Exception):
            self._busy = False
            # Without reads nothing is known about the beat; time without
            # knowledge must not count as silence of the owner.
            self._beat_changed_s = self._timers.read_clock()
            return
        value = result.value or {}
        self.owner = Owner(node=value.get("node", ""),
                           link=value.get("link", ""),
                           epoch=int(value.get("epoch", 0)),
                           version=result.version)
        if self._token and value.get("token") == self._token:
            self._gain()
            return
        self._store.read_row(self._beat_key, self._take_beat)

    def _take_beat(self, result: Any) -> None:
        now_s = self._timers.read_clock()
        if isinstance(result, Exception):
            self._busy = False
            self._beat_changed_s = now_s
            return
        if (result.version, self.owner.epoch) != self._beat:
            self._beat = (result.version, self.owner.epoch)
            self._beat_changed_s = now_s
        silent_s = now_s - self._beat_changed_s
        if self.owner.node == "" or silent_s >= LEASE_S:
            self._take_over()
        else:
            self._busy = False

    def _take_over(self) -> None:
        self._token = f"{self._rng.getrandbits(64):016x}"
        value = {
            "node": self._node_id,
            "link": self._link,
            "epoch": self.owner.epoch + 1,
            "token": self._token
        }

        def take(result: Any) -> None:
            if isinstance(result, int):
                self.owner = Owner(node=self._node_id,
                                   link=self._link,
                                   epoch=self.owner.epoch + 1,
                                   version=result)
                self._gain()
            else:
                # A lost answer is resolved by the token at the next poll.
                self._busy = False

        self._store.commit({self._owner_key: self.owner.version},
                           {self._owner_key: value}, take)

    def _gain(self) -> None:
        self._busy = False
        self._token = ""
        if not self.enabled:
            return
        self._mine = True
        _log.info("ownership gained", epoch=self.owner.epoch)
        self._on_gain(self.owner)
