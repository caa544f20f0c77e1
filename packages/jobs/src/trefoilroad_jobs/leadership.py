"""Leader election by compare-and-set on two rows: leader row and head row."""

from collections.abc import Callable
import random
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import fleet
from trefoilroad_jobs import lapses
from trefoilroad_jobs import ledger
from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_jobs import tables
from trefoilroad_node import timer

# A leader may be replaced once its head row has not changed for this long
# while the observer could read the store. Three renewals fit into this time.
LEADER_LEASE_S = 1.5
# The same time if the leader itself reports that the store refuses it.
REFUSED_LEASE_S = 0.5
# Nodes read the head row if, according to its heartbeats, the leader wrote
# nothing for this long; it sends heartbeats twice a second.
HEARTBEAT_TIMEOUT_S = 1.1
LEADER_CHECK_INTERVAL_S = 0.2
# Longest delay of an attempt to take over: at least TAKEOVER_JITTER_S. A node
# waits for between half and all of it, so that not all try at the same time. A
# slow store carries out few transactions, so the longest delay is at least
# JITTER_STORE_DELAYS times its response time.
TAKEOVER_JITTER_S = 0.15
JITTER_STORE_DELAYS = 4.0
# A node that has run for less than this has proportionally less jitter: in a
# rolling restart, a node that has already restarted should lead.
FULL_JITTER_AGE_S = 20.0
# A leader whose last confirmed transaction is older than this does not answer
# status requests, as it may have been replaced, and gets no writes to relay.
MAX_CONFIRM_AGE_S = 1.2

_log = structlog.get_logger()


class Leader(NamedTuple):
    """Content of the leader row.

    Attributes:
        epoch: Number of the leadership; increases with each takeover.
        node_id: Node that leads; empty after it has released the leadership.
        link: Link address of that node, "host:port".
    """

    epoch: int
    node_id: str
    link: str


NO_LEADER = Leader(0, "", "")


def encode_leader(leader: Leader) -> bytes:
    """Encodes the leader row."""
    return cbor2.dumps(list(leader))


def decode_leader(value: bytes | None) -> Leader:
    """Decodes the leader row; an absent row means that there is no leader.

    Raises:
        ValueError: If the value is not an encoded leader row.
    """
    if not value:
        return NO_LEADER
    try:
        return Leader(*cbor2.loads(value))
    except (cbor2.CBORError, TypeError, EOFError) as error:
        raise ValueError(f"invalid leader row: {error!r}") from error


class Takeover(NamedTuple):
    """A claim of the leadership that has succeeded.

    Attributes:
        epoch: Epoch of the new leader.
        head_version: Version of the head row after the claim.
        claimed_s: When the claim was sent, in seconds.
        prior_leases_end_s: When the leases that the previous leader gave have
            ended, in seconds.
        prior_released: Whether the previous leader released the leadership.
    """

    epoch: int
    head_version: int
    claimed_s: float
    prior_leases_end_s: float
    prior_released: bool


class HeadObservation(NamedTuple):
    """A version of the head row as seen by this node.

    Attributes:
        version: Version of the row.
        since_s: When this node first saw this version, in seconds.
    """

    version: int
    since_s: float


class Leadership:
    """Watches the leader and takes over when there is none.

    Attributes:
        leader: The leader row as last seen.
        leading: Whether this node leads.
        row_known: Whether the leader row has been read.
    """

    def __init__(self, *, node_id: str, link: str, store: ports.Store,
                 timers: timer.Timers, rng: random.Random,
                 takeover_delay_s: float, bounds: limits.Limits,
                 on_gain: Callable[[Takeover], None], on_loss: Callable[[str],
                                                                        None]):
        """Starts to watch the leader.

        Args:
            node_id: Name of this node.
            link: Address of this node for links.
            store: The store.
            timers: Source of time.
            rng: Source of jitter.
            takeover_delay_s: Additional wait before a takeover, in seconds. A
                node on a small VM has one, so that a node on a larger VM leads
                if there is any.
            bounds: Time limits of leaders.
            on_gain: Called when this node becomes the leader.
            on_loss: Called with the reason when this node stops leading.
        """
        self.leader = NO_LEADER
        self.leading = False
        self.row_known = False
        self._node_id = node_id
        self._link = link
        self._store = store
        self._timers = timers
        self._rng = rng
        self._takeover_delay_s = takeover_delay_s
        self._bounds = bounds
        self._vacant_since_s = float("inf")
        self._lost_epoch = 0
        self._leader_refused = False
        self._released = False
        self._started_s = timers.read_clock()
        self._next_try_s = float("-inf")
        self._store_delay_s = 0.0
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._row_version = 0
        # A new process reads the head row at once, without waiting for
        # heartbeats.
        self._leader_active_s = float("-inf")
        self._head: HeadObservation | None = None
        self._reading_head = False
        self._taking_over = False
        # When the first claim of an epoch was sent; a lost answer leaves open
        # which of them has taken effect.
        self._first_claims_s: dict[int, float] = {}
        timers.call_every(LEADER_CHECK_INTERVAL_S, self._check)

    def update_leader_row(self, value: bytes | None, version: int) -> None:
        """Processes a new version of the leader row.

        Args:
            value: Content of the row, or None if there is none.
            version: Version of the row.
        """
        if version < self._row_version:
            return
        try:
            leader = decode_leader(value)
        except ValueError as error:
            _log.error("leader row cannot be read", error=str(error))
            return
        self.row_known = True
        self._row_version = version
        if leader.epoch > self.leader.epoch or leader != self.leader:
            _log.info("leader changed",
                      epoch=leader.epoch,
                      leader=leader.node_id,
                      row_version=version)
            self._head = None
            self._leader_refused = False
        self.leader = leader
        if self.leading and leader.node_id != self._node_id:
            self.step_down(f"epoch {leader.epoch} of {leader.node_id!r} began")
        if not leader.node_id and not self.leading:
            delay_s = self._draw_delay_s()
            self._next_try_s = self._timers.read_clock() + delay_s
            self._timers.call_later(delay_s, self._check)

    def _draw_delay_s(self) -> float:
        """Returns a random delay before a takeover attempt, in seconds."""
        age_s = self._timers.read_clock() - self._started_s
        share = self._rng.uniform(0.5, 1.0) * min(1.0,
                                                  age_s / FULL_JITTER_AGE_S)
        return share * max(TAKEOVER_JITTER_S,
                           JITTER_STORE_DELAYS * self._store_delay_s)

    def handle_heartbeat(self, epoch: int, head_version: int, age_s: float,
                         refused: bool) -> None:
        """Processes a heartbeat of the leader.

        Args:
            epoch: Epoch of the leader.
            head_version: Version of the head row after its last transaction.
            age_s: Time since its last transaction in seconds.
            refused: Whether the store refuses the leader.
        """
        if epoch < self.leader.epoch or self.leading:
            return
        now_s = self._timers.read_clock()
        self._leader_refused = refused
        self._leader_active_s = max(self._leader_active_s, now_s - age_s)
        if self._head is None or head_version > self._head.version:
            self._head = HeadObservation(head_version, now_s)
        if refused:
            self._check()

    def is_leader_reachable(self) -> bool:
        """Returns whether another node is known to lead and to write."""
        silent_s = self._timers.read_clock() - self._leader_active_s
        return (silent_s <= MAX_CONFIRM_AGE_S and not self._leader_refused and
                not self.leading)

    def step_down(self, reason: str) -> None:
        """Stops leading, if this node leads.

        Args:
            reason: Reason for the log.
        """
        if self.leading:
            self.leading = False
            self._lost_epoch = self.leader.epoch
            self._leader_active_s = self._timers.read_clock()
            self._head = None
            self._on_loss(reason)

    def release(self, on_done: Callable[[], None], *, announce: bool) -> None:
        """Releases the leadership before a planned stop.

        Calls `on_loss` first, which must stop all that this node does as the
        leader; only then marks the leader row as vacant.

        Args:
            on_done: Called once the store has answered or its call has timed
                out.
            announce: Whether to mark the leader row as vacant. If not, other
                nodes take over as after the loss of this node, and allow for
                all that it may have done last.
        """
        was_leading = self.leading
        self._released = True
        self.step_down("planned stop")
        if not was_leading or not announce:
            on_done()
            return
        vacant_row = Leader(self.leader.epoch, "", "")
        self._store.commit(conditions={tables.LEADER_ROW: self._row_version},
                           puts={tables.LEADER_ROW: encode_leader(vacant_row)},
                           removals=[],
                           on_done=lambda _: on_done())

    def _check(self) -> None:
        if (self.leading or self._taking_over or not self.row_known or
                self._released):
            return
        now_s = self._timers.read_clock()
        if now_s < self._next_try_s:
            return
        if self._is_vacant(now_s):
            if now_s - self._vacant_since_s < self._takeover_delay_s:
                return
        elif (now_s - self._leader_active_s < HEARTBEAT_TIMEOUT_S and
              not self._leader_refused):
            return
        if not self._reading_head:
            self._reading_head = True
            self._store.read(
                table=tables.HEAD_ROW[0],
                key=tables.HEAD_ROW[1],
                on_done=lambda result: self._handle_head_row(now_s, result))

    def _is_vacant(self, now_s: float) -> bool:
        """Returns whether there is certainly no leader; records since when."""
        if self.leader.node_id and not self._is_own_previous_process():
            self._vacant_since_s = float("inf")
            return False
        self._vacant_since_s = min(self._vacant_since_s, now_s)
        return True

    def _is_own_previous_process(self) -> bool:
        """Returns whether the row names an earlier process of this node.

        That process has ended, as this one listens on the same link address.
        """
        return (not self.leading and self.leader.node_id == self._node_id and
                self.leader.link == self._link and
                self.leader.epoch > self._lost_epoch)

    def _handle_head_row(self, sent_s: float, result: ports.RowsResult) -> None:
        self._reading_head = False
        now_s = self._timers.read_clock()
        if not isinstance(result, ports.Rows):
            # The leader may be unable to write too, so the observation of the
            # head row begins anew.
            self._head = None
            return
        self._store_delay_s = now_s - sent_s
        version = result.rows[0].version if result.rows else 0
        if self._head is None or self._head.version != version:
            self._head = HeadObservation(version, now_s)
        since_s = self._head.since_s
        unchanged_s = now_s - since_s
        lease_s = REFUSED_LEASE_S if self._leader_refused else LEADER_LEASE_S
        if self._is_vacant(
                now_s) or unchanged_s >= lease_s + self._takeover_delay_s:
            self._try_takeover(version, since_s,
                               result.store_ms + (now_s - sent_s) * 1000.0)

    def _try_takeover(self, head_version: int, since_s: float,
                      store_ms: float) -> None:
        """Tries to become the leader; fails if either row has changed.

        Args:
            head_version: Version of the head row.
            since_s: When this node first saw that version, in seconds.
            store_ms: Current time of the store's clock in milliseconds, or
                later.
        """
        if self._taking_over or self.leading or self._released:
            return
        self._taking_over = True
        now_s = self._timers.read_clock()
        released = not self.leader.node_id
        if self._is_vacant(now_s):
            # The previous leader has stopped acting.
            prior_leases_end_s = now_s + fleet.compute_lease_duration_s(
                self._bounds.lease_s)
        else:
            prior_leases_end_s = since_s + fleet.compute_lease_duration_s(
                self._bounds.bridge_s)
        end_ms = store_ms + (prior_leases_end_s - now_s) * 1000.0
        leader = Leader(self.leader.epoch + 1, self._node_id, self._link)
        head = ledger.Head(leader.epoch, 0)
        claimed_s = self._first_claims_s.get(leader.epoch, now_s)
        self._first_claims_s = {leader.epoch: claimed_s}
        takeover = Takeover(leader.epoch, head_version, claimed_s,
                            prior_leases_end_s, released)
        _log.info("taking the lead",
                  epoch=leader.epoch,
                  before=self.leader.node_id,
                  unchanged_s=round(now_s - since_s, 3))
        self._store.commit(conditions={
            tables.LEADER_ROW: self._row_version,
            tables.HEAD_ROW: head_version
        },
                           puts={
                               tables.LEADER_ROW:
                                   encode_leader(leader),
                               tables.HEAD_ROW:
                                   ledger.encode_head(head),
                               tables.get_epoch_lease_row_name(leader.epoch):
                                   lapses.encode_end(end_ms)
                           },
                           removals=[],
                           on_done=lambda result: self._handle_takeover_result(
                               leader, takeover, result))

    def _handle_takeover_result(self, leader: Leader, takeover: Takeover,
                                result: ports.CommitResult) -> None:
        self._taking_over = False
        self._head = None
        if isinstance(result, ports.Committed):
            self._row_version = result.version
            self._become_leader(leader,
                                takeover._replace(head_version=result.version))
            return
        if isinstance(result, ports.Conflict):
            self._handle_takeover_conflict(leader, takeover, result)
        else:
            _log.warning("taking the lead failed", reason=result.reason)
            self._next_try_s = self._timers.read_clock() + self._draw_delay_s()

    def _handle_takeover_conflict(self, leader: Leader, takeover: Takeover,
                                  result: ports.Conflict) -> None:
        """Checks whether an earlier attempt of this node has taken effect."""
        row = result.rows.get(tables.LEADER_ROW)
        if row is None:
            return
        if row.value != encode_leader(leader):
            self.update_leader_row(row.value, row.version)
            return
        head = result.rows.get(tables.HEAD_ROW)
        if head is not None and head.value == ledger.encode_head(
                ledger.Head(leader.epoch, 0)):
            self._row_version = row.version
            self._become_leader(leader,
                                takeover._replace(head_version=head.version))

    def _become_leader(self, leader: Leader, takeover: Takeover) -> None:
        self.leader = leader
        self.leading = True
        self._leader_active_s = self._timers.read_clock()
        _log.info("leading",
                  epoch=leader.epoch,
                  prior_released=takeover.prior_released)
        self._on_gain(takeover)
