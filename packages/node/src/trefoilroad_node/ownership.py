"""Election of the owner of a region by compare-and-set on the owner row.

The owner keeps changing a heartbeat row; a candidate takes over when that row
has not changed for the lease time on the candidate's own clock, so that clocks
of different VMs are never compared (Gray and Cheriton, SOSP 1989). The lease
decides only when to take over. Safety does not depend on it: the table service
checks the version of the owner row and the workers check the epoch, and both
refuse calls of a former owner.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

import structlog

from trefoilroad_core import errors
from trefoilroad_node import store as stores
from trefoilroad_node import timer

OWNER_POLL_INTERVAL_S = 0.5
OWNER_LEASE_S = 2.0

_log = structlog.get_logger()


class OwnerRow(NamedTuple):
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


NO_OWNER = OwnerRow(node="", link="", epoch=0, version=0)


class Ownership:
    """Watches the owner row and takes over when the region has no owner.

    That is when the lease has expired or the ownership was released. Each
    region has an owner, which starts the requests of that region. The leader,
    elected in trefoilroad_jobs (`leadership.Leadership`), schedules all jobs.

    Attributes:
        owner: The owner row as last read.
        enabled: Whether this node may be the owner; false after `release`.
    """

    def __init__(self, *, region: str, node_id: str, link: str,
                 store: stores.Store, timers: timer.Timers, rng: random.Random,
                 on_gain: Callable[[OwnerRow], None], on_loss: Callable[[str],
                                                                        None]):
        """Starts to poll the owner row.

        Args:
            region: Name of the region.
            node_id: Name of this node.
            link: Link address of this node.
            store: Table service.
            timers: Clock and timers.
            rng: Source of jitter and tokens.
            on_gain: Called with the owner row when this node became the owner.
            on_loss: Called with the reason when this node lost the ownership.
        """
        self.owner = NO_OWNER
        self.enabled = True
        self._owner_key = f"owner/{region}"
        self._heartbeat_key = f"beat/{region}"
        self._node_id = node_id
        self._link = link
        self._store = store
        self._timers = timers
        self._rng = rng
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._is_owner = False
        self._call_pending = False
        self._last_heartbeat: Any = None
        self._heartbeat_changed_s = timers.read_clock()
        self._heartbeat_count = 0
        self._takeover_token = ""
        timers.call_every(OWNER_POLL_INTERVAL_S, self._poll)

    @property
    def is_owner(self) -> bool:
        """Whether this node is the owner.

        As of the latest reply of the store or of a worker, or heartbeat of
        another node, that this node has processed.
        """
        return self._is_owner

    def step_down(self, reason: str) -> None:
        """Ends the ownership of this node because of a newer owner."""
        if self._is_owner:
            self._is_owner = False
            self._heartbeat_changed_s = self._timers.read_clock()
            _log.warning("ownership lost",
                         reason=reason,
                         epoch=self.owner.epoch)
            self._on_loss(reason)

    def release(self, on_done: Callable[[], None]) -> None:
        """Releases the ownership, so that a successor need not await the lease.

        Args:
            on_done: Called when the release is on record or has failed.
        """
        self.enabled = False
        if not self._is_owner:
            on_done()
            return
        self._is_owner = False
        value = {"node": "", "link": "", "epoch": self.owner.epoch, "token": ""}
        self._store.commit({self._owner_key: self.owner.version},
                           {self._owner_key: value}, lambda _: on_done())

    def _poll(self) -> None:
        if self._call_pending or not self.enabled:
            return
        self._call_pending = True
        if self._is_owner:
            self._renew()
        else:
            self._store.read_row(self._owner_key, self._handle_owner_row)

    def _renew(self) -> None:
        self._heartbeat_count += 1
        heartbeat = {"node": self._node_id, "count": self._heartbeat_count}
        self._store.commit({self._owner_key: self.owner.version},
                           {self._heartbeat_key: heartbeat},
                           self._handle_renewal)

    def _handle_renewal(self, result: Any) -> None:
        self._call_pending = False
        if isinstance(result, errors.CommitConflict):
            self.step_down("the owner row has changed")

    def _handle_owner_row(self, result: Any) -> None:
        if isinstance(result, Exception):
            self._call_pending = False
            # A heartbeat cannot be seen while reads fail: this time must not
            # count as silence of the owner.
            self._heartbeat_changed_s = self._timers.read_clock()
            return
        value = result.value or {}
        self.owner = OwnerRow(node=value.get("node", ""),
                              link=value.get("link", ""),
                              epoch=int(value.get("epoch", 0)),
                              version=result.version)
        if self._takeover_token and value.get("token") == self._takeover_token:
            self._become_owner()
            return
        self._store.read_row(self._heartbeat_key, self._handle_heartbeat_row)

    def _handle_heartbeat_row(self, result: Any) -> None:
        now_s = self._timers.read_clock()
        if isinstance(result, Exception):
            self._call_pending = False
            self._heartbeat_changed_s = now_s
            return
        if (result.version, self.owner.epoch) != self._last_heartbeat:
            self._last_heartbeat = (result.version, self.owner.epoch)
            self._heartbeat_changed_s = now_s
        silent_s = now_s - self._heartbeat_changed_s
        if self.owner.node == "" or silent_s >= OWNER_LEASE_S:
            self._try_takeover()
        else:
            self._call_pending = False

    def _try_takeover(self) -> None:
        self._takeover_token = f"{self._rng.getrandbits(64):016x}"
        value = {
            "node": self._node_id,
            "link": self._link,
            "epoch": self.owner.epoch + 1,
            "token": self._takeover_token
        }

        def handle_takeover(result: Any) -> None:
            if isinstance(result, int):
                self.owner = OwnerRow(node=self._node_id,
                                      link=self._link,
                                      epoch=self.owner.epoch + 1,
                                      version=result)
                self._become_owner()
            else:
                # If the commit took effect, the next poll finds its token.
                self._call_pending = False

        self._store.commit({self._owner_key: self.owner.version},
                           {self._owner_key: value}, handle_takeover)

    def _become_owner(self) -> None:
        self._call_pending = False
        self._takeover_token = ""
        if not self.enabled:
            return
        self._is_owner = True
        _log.info("ownership gained", epoch=self.owner.epoch)
        self._on_gain(self.owner)
