"""Which node leads: one row in the store, taken by compare-and-set."""

from collections.abc import Callable
import random
from typing import NamedTuple

import cbor2
import structlog

from trefoilroad_jobs import ledger
from trefoilroad_jobs import ports
from trefoilroad_jobs import tables
from trefoilroad_node import timer

# A leader whose head row has not changed for this long, while the store
# served the observer, may be replaced. Three renewals fit into it.
LEASE_S = 1.5
# The wait if the leader itself says that the store turns it away.
REFUSED_LEASE_S = 0.5
# Nodes look at the head row once the leader has sent nothing for this long;
# it sends a beat twice a second.
SILENCE_S = 1.1
CHECK_INTERVAL_S = 0.2
# Spreads the nodes that try to take over at the same moment. A slow store
# carries out few transactions, so they are spread over several of its delays.
JITTER_S = 0.15
JITTER_DELAYS = 4.0
# A node that has run for less than this waits less: in a rolling restart it
# has its own restart behind it.
SETTLED_S = 20.0
# A leader that has confirmed nothing for this long does not vouch for the
# states that it knows, and is asked for nothing.
VOUCH_S = 1.2

_log = structlog.get_logger()


class Leader(NamedTuple):
    """Content of the leader row.

    Attributes:
        epoch: Rises with each takeover.
        node_id: Node that leads; empty after it gave up its place.
        link: Address for the links of other nodes.
    """

    epoch: int
    node_id: str
    link: str


NOBODY = Leader(0, "", "")


def encode_leader(leader: Leader) -> bytes:
    """Encodes the leader row."""
    return cbor2.dumps(list(leader))


def decode_leader(value: bytes | None) -> Leader:
    """Decodes the leader row; an absent one names nobody.

    Raises:
        ValueError: If the value is something else.
    """
    if not value:
        return NOBODY
    try:
        return Leader(*cbor2.loads(value))
    except (cbor2.CBORError, TypeError, EOFError) as error:
        raise ValueError(f"not a leader row: {error!r}") from error


class Observation(NamedTuple):
    """The head row as seen at some moment.

    Attributes:
        version: Its version.
        since_s: Since when it is known not to have changed.
    """

    version: int
    since_s: float


class Leadership:
    """Takes the lead when nobody has it.

    Attributes:
        leader: The leader row as last seen.
        leading: Whether this node leads.
    """

    def __init__(self, *, node_id: str, link: str, store: ports.Store,
                 timers: timer.Timers, rng: random.Random,
                 takeover_delay_s: float, authority_s: float,
                 on_gain: Callable[[int, int, float],
                                   None], on_loss: Callable[[str], None]):
        """Begins to watch.

        Args:
            node_id: Name of this node.
            link: Address of this node for links.
            store: The store.
            timers: Source of time.
            rng: Source of jitter.
            takeover_delay_s: A node on a small VM waits this much longer, so
                that a larger one leads if there is any, in seconds.
            authority_s: How long a leader acts after its last transaction.
            on_gain: Called with the epoch, the version of the head row and
                the time until which the leader before may have acted.
            on_loss: Called with the reason.
        """
        self.leader = NOBODY
        self.leading = False
        self.known = False
        self._node_id = node_id
        self._link = link
        self._store = store
        self._timers = timers
        self._rng = rng
        self._reluctance_s = takeover_delay_s
        self._authority_s = authority_s
        self._vacant_s = float("inf")
        self._lost_epoch = 0
        self._refused = False
        self._stopped = False
        self._begun_s = timers.read_clock()
        self._try_s = float("-inf")
        self._store_delay_s = 0.0
        self._on_gain = on_gain
        self._on_loss = on_loss
        self._row_version = 0
        # A process that starts watches the head row from the beginning.
        self._heard_s = float("-inf")
        self._observed: Observation | None = None
        self._reading = False
        self._taking = False
        timers.call_every(CHECK_INTERVAL_S, self._check)

    def see_row(self, value: bytes | None, version: int) -> None:
        """Takes over the leader row."""
        if version < self._row_version:
            return
        try:
            leader = decode_leader(value)
        except ValueError as error:
            _log.error("leader row cannot be read", error=str(error))
            return
        self.known = True
        self._row_version = version
        if leader.epoch > self.leader.epoch or leader != self.leader:
            _log.info("leader changed",
                      epoch=leader.epoch,
                      leader=leader.node_id,
                      row_version=version)
            self._observed = None
            self._refused = False
        self.leader = leader
        if self.leading and leader.node_id != self._node_id:
            self.lose(f"epoch {leader.epoch} of {leader.node_id!r} began")
        if not leader.node_id and not self.leading:
            delay_s = self._draw_delay_s()
            self._try_s = self._timers.read_clock() + delay_s
            self._timers.call_later(delay_s, self._check)

    def _draw_delay_s(self) -> float:
        """Returns a random delay before a try to take the lead."""
        age_s = self._timers.read_clock() - self._begun_s
        share = self._rng.uniform(0.5, 1.0) * min(1.0, age_s / SETTLED_S)
        return share * max(JITTER_S, JITTER_DELAYS * self._store_delay_s)

    def hear(self, epoch: int, head_version: int, age_s: float,
             refused: bool) -> None:
        """Takes a beat of the leader.

        Args:
            epoch: Its epoch.
            head_version: Version of the head row after its last transaction.
            age_s: Time since its last transaction in seconds.
            refused: Whether the store turns it away.
        """
        if epoch < self.leader.epoch or self.leading:
            return
        now_s = self._timers.read_clock()
        self._refused = refused
        self._heard_s = max(self._heard_s, now_s - age_s)
        if self._observed is None or head_version > self._observed.version:
            self._observed = Observation(head_version, now_s)
        if refused:
            self._check()

    def is_leader_in_touch(self) -> bool:
        """Tells whether another node leads and writes, as far as is known."""
        silent_s = self._timers.read_clock() - self._heard_s
        return silent_s <= VOUCH_S and not self._refused and not self.leading

    def lose(self, reason: str) -> None:
        """Gives up the lead because another node has it."""
        if self.leading:
            self.leading = False
            self._lost_epoch = self.leader.epoch
            self._heard_s = self._timers.read_clock()
            self._observed = None
            self._on_loss(reason)

    def release(self, on_done: Callable[[], None]) -> None:
        """Hands the lead over; `on_done` is called at the latest in a second.

        The caller must have stopped to act as leader.
        """
        was_leading = self.leading
        self._stopped = True
        self.lose("planned stop")
        if not was_leading:
            on_done()
            return
        vacancy = Leader(self.leader.epoch, "", "")
        self._store.commit(conditions={tables.LEADER_ROW: self._row_version},
                           puts={tables.LEADER_ROW: encode_leader(vacancy)},
                           removals=[],
                           on_done=lambda _: on_done())

    def _check(self) -> None:
        if self.leading or self._taking or not self.known or self._stopped:
            return
        now_s = self._timers.read_clock()
        if now_s < self._try_s:
            return
        if self._is_vacant(now_s):
            if now_s - self._vacant_s < self._reluctance_s:
                return
        elif now_s - self._heard_s < SILENCE_S and not self._refused:
            return
        if not self._reading:
            self._reading = True
            self._store.read(
                table=tables.HEAD_ROW[0],
                key=tables.HEAD_ROW[1],
                on_done=lambda result: self._take_head(now_s, result))

    def _is_vacant(self, now_s: float) -> bool:
        """Tells whether nobody leads for certain, and notes since when."""
        if self.leader.node_id and not self._is_own_past():
            self._vacant_s = float("inf")
            return False
        self._vacant_s = min(self._vacant_s, now_s)
        return True

    def _is_own_past(self) -> bool:
        """Tells whether the row names an earlier process of this node.

        That one has ended: this process has the address of its links.
        """
        return (not self.leading and self.leader.node_id == self._node_id and
                self.leader.link == self._link and
                self.leader.epoch > self._lost_epoch)

    def _take_head(self, sent_s: float, result: ports.RowsResult) -> None:
        self._reading = False
        now_s = self._timers.read_clock()
        if not isinstance(result, ports.Rows):
            # A leader cannot renew either while the store is away.
            self._observed = None
            return
        self._store_delay_s = now_s - sent_s
        version = result.rows[0].version if result.rows else 0
        if self._observed is None or self._observed.version != version:
            self._observed = Observation(version, now_s)
        since_s = self._observed.since_s
        unchanged_s = now_s - since_s
        lease_s = REFUSED_LEASE_S if self._refused else LEASE_S
        if self._is_vacant(
                now_s) or unchanged_s >= lease_s + self._reluctance_s:
            self._take(version, since_s)

    def _take(self, head_version: int, since_s: float) -> None:
        """Takes the lead, if neither row has changed."""
        if self._taking or self.leading or self._stopped:
            return
        self._taking = True
        now_s = self._timers.read_clock()
        # A leader that gave up its place had stopped to act before.
        prior_authority_end_s = now_s
        if not self._is_vacant(now_s):
            prior_authority_end_s = since_s + self._authority_s
        leader = Leader(self.leader.epoch + 1, self._node_id, self._link)
        head = ledger.Head(leader.epoch, 0)
        _log.info("taking the lead",
                  epoch=leader.epoch,
                  before=self.leader.node_id,
                  unchanged_s=round(now_s - since_s, 3))
        self._store.commit(conditions={
            tables.LEADER_ROW: self._row_version,
            tables.HEAD_ROW: head_version
        },
                           puts={
                               tables.LEADER_ROW: encode_leader(leader),
                               tables.HEAD_ROW: ledger.encode_head(head)
                           },
                           removals=[],
                           on_done=lambda result: self._take_result(
                               leader, prior_authority_end_s, result))

    def _take_result(self, leader: Leader, prior_authority_end_s: float,
                     result: ports.CommitResult) -> None:
        self._taking = False
        self._observed = None
        if isinstance(result, ports.Committed):
            self._row_version = result.version
            self._gain(leader, result.version, prior_authority_end_s)
            return
        if isinstance(result, ports.Conflict):
            self._take_conflict(leader, prior_authority_end_s, result)
        else:
            _log.warning("taking the lead failed", reason=result.reason)
            self._try_s = self._timers.read_clock() + self._draw_delay_s()

    def _take_conflict(self, leader: Leader, prior_authority_end_s: float,
                       result: ports.Conflict) -> None:
        """Finds out whether an earlier try of this node has taken effect."""
        row = result.rows.get(tables.LEADER_ROW)
        if row is None:
            return
        if row.value != encode_leader(leader):
            self.see_row(row.value, row.version)
            return
        head = result.rows.get(tables.HEAD_ROW)
        if head is not None and head.value == ledger.encode_head(
                ledger.Head(leader.epoch, 0)):
            self._row_version = row.version
            self._gain(leader, head.version, prior_authority_end_s)

    def _gain(self, leader: Leader, head_version: int,
              prior_authority_end_s: float) -> None:
        self.leader = leader
        self.leading = True
        self._heard_s = self._timers.read_clock()
        _log.info("leading", epoch=leader.epoch)
        self._on_gain(leader.epoch, head_version, prior_authority_end_s)
