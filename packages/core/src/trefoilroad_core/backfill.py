"""Starts of lent requests, with reservations for those that find no room."""

from collections.abc import Iterator
from collections.abc import Sequence
import math
from typing import NamedTuple

from trefoilroad_core import placement
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot

MAX_RESERVATIONS = 4
"""Most reservations at once.

Each round makes at most one, for the first request that finds no room (EASY).
It is kept when the order changes later, so that a large gang is not put off by
every change; the limit bounds the room that is kept free.
"""

CHUNK = 64
"""Gangs released before the next look, when a reservation is planned."""


class Reservation(NamedTuple):
    """Room in time for a request.

    Attributes:
        item: The request.
        placement: Where it will start.
        start_s: When it was first estimated to start, in seconds. From then on
            nothing else may start on its room.
    """

    item: snapshot.Pending
    placement: tuple[str, ...]
    start_s: float


class LentPass:
    """Starts requests outside guarantees, in the fair order.

    The first request that finds no room reserves some for the time at which
    enough gangs are estimated to have ended. Later requests may start if they
    are estimated to end before, or leave the reserved room alone (EASY, Lifka,
    "The ANL/IBM SP scheduling system", JSSPP 1995).
    """

    def __init__(self, *, work: rounds.Round,
                 reservations: dict[str, Reservation], backfill: bool):
        """Prepares the pass.

        Args:
            work: The round; firm requests are decided already.
            reservations: Reservations by request; kept between rounds.
            backfill: Whether later requests may start ahead of one that waits.
        """
        self._work = work
        self._tools = work.tools
        self._reservations = reservations
        self._backfill = backfill
        self._now_s = work.state.now_s
        self._shadow_s = math.inf
        self._late = work.free
        self._unclaimed = work.free

    def run(self, items: list[snapshot.Pending]) -> None:
        """Decides about all requests.

        Args:
            items: The requests in their order.
        """
        items = [item for item in items if self._is_eligible(item)]
        self._keep_reservations(items)
        self._restrict()
        blocked = False
        for item in items:
            if not self._work.is_within_limit(item):
                continue
            if self._try_start(item):
                continue
            if not self._backfill:
                self._explain_order(items, item)
                return
            if not blocked and self._can_reserve(item):
                self._reserve(item)
            blocked = True

    def _is_eligible(self, item: snapshot.Pending) -> bool:
        if rounds.can_be_lent(item) or not self._tools.ledger.reserving:
            return True
        self._work.reasons.setdefault(
            item.request_id,
            "can be neither repeated nor resumed, so it waits until its team's "
            "guarantee is free")
        return False

    def _explain_order(self, items: list[snapshot.Pending],
                       first: snapshot.Pending) -> None:
        reasons = self._work.reasons
        reasons[first.request_id] = "first in order, waits for room"
        for item in items[items.index(first) + 1:]:
            reasons[item.request_id] = f"waits behind {first.request_id}"

    def _keep_reservations(self, items: list[snapshot.Pending]) -> None:
        """Drops reservations that are not needed or not possible any more."""
        waiting = {item.request_id for item in items}
        for request_id, reservation in list(self._reservations.items()):
            if (request_id not in waiting or
                    not self._work.free.is_open(reservation.placement)):
                del self._reservations[request_id]

    def _restrict(self) -> None:
        """Computes the room that requests of each run time may use."""
        free = self._work.free
        for request_id, reservation in list(self._reservations.items()):
            ready_s = self._estimate_ready_s(reservation)
            start_s = min(reservation.start_s, ready_s)
            self._reservations[request_id] = reservation._replace(
                start_s=start_s)
            if self._now_s >= start_s:
                free.take(reservation.placement, reservation.item.shape)
        self._late = free.copy() if self._reservations else free
        self._unclaimed = free.copy()
        for site, shape in self._tools.ledger.list_sites():
            self._unclaimed.take(site, shape)
        for reservation in self._reservations.values():
            if self._now_s < reservation.start_s:
                self._limit_late(reservation)

    def _select_ends(self, names: frozenset[str]) -> Iterator[rounds.End]:
        for end in self._work.ends:
            if not names.isdisjoint(end.placement):
                yield end

    def _estimate_ready_s(self, reservation: Reservation) -> float:
        """Estimates when reserved room will be free, in seconds."""
        shape = reservation.item.shape
        then = self._work.free.copy()
        if then.can_take(reservation.placement, shape):
            return self._now_s
        for end in self._select_ends(frozenset(reservation.placement)):
            then.release(end.placement, end.shape)
            if then.can_take(reservation.placement, shape):
                return end.end_s
        return math.inf

    def _limit_late(self, reservation: Reservation) -> None:
        """Keeps reserved room free of work that ends after its time."""
        ready_s = max(reservation.start_s, self._estimate_ready_s(reservation))
        self._shadow_s = min(self._shadow_s, ready_s)
        names = frozenset(reservation.placement)
        then = self._work.free.copy()
        for end in self._select_ends(names):
            if end.end_s <= ready_s:
                then.release(end.placement, end.shape)
        then.take(reservation.placement, reservation.item.shape)
        for name in names:
            self._late.limit(name, then.get_row(name))
            self._unclaimed.limit(name, then.get_row(name))

    def _try_start(self, item: snapshot.Pending) -> bool:
        reservation = self._reservations.get(item.request_id)
        if reservation is not None:
            return self._try_reserved(item, reservation)
        end_s = self._now_s + self._tools.accounting.estimate_s(item)
        limit = self._work.free if end_s <= self._shadow_s else self._late
        # Room that no guarantee needs comes first, so that guaranteed work
        # seldom has to wait for an eviction.
        workers = (self._tools.placer.place(self._unclaimed, item.shape) or
                   self._tools.placer.place(limit, item.shape))
        if workers is None:
            self._work.reasons.setdefault(
                item.request_id,
                "waits for room that no request ahead of it needs")
            return False
        self._start(item, workers)
        return True

    def _try_reserved(self, item: snapshot.Pending,
                      reservation: Reservation) -> bool:
        free = self._work.free
        draining = self._now_s >= reservation.start_s
        if draining:
            free.release(reservation.placement, item.shape)
        workers = self._tools.placer.place(free, item.shape)
        if workers is None:
            if draining:
                free.take(reservation.placement, item.shape)
            self._explain_reservation(reservation)
            return False
        if draining:
            self._late.release(reservation.placement, item.shape)
            self._unclaimed.release(reservation.placement, item.shape)
        del self._reservations[item.request_id]
        self._start(item, workers)
        return True

    def _start(self, item: snapshot.Pending, workers: tuple[str, ...]) -> None:
        ledger = self._tools.ledger
        guaranteed = False
        if not ledger.reserving:
            # Guarantees are counted for the record only.
            entitlement = ledger.find_free(item.team, item.shape)
            guaranteed = entitlement is not None and ledger.bind(
                item.request_id, entitlement, item.shape, workers)
        self._work.start(item, workers, guaranteed=guaranteed, lent=True)
        if self._late is not self._work.free:
            self._late.take(workers, item.shape)
        self._unclaimed.take(workers, item.shape)

    def _can_reserve(self, item: snapshot.Pending) -> bool:
        return (item.request_id not in self._reservations and
                len(self._reservations) < MAX_RESERVATIONS)

    def _reserve(self, item: snapshot.Pending) -> None:
        """Reserves the room that is estimated to be free first."""
        then = self._work.free.copy()
        for other in self._reservations.values():
            if self._now_s < other.start_s:
                then.take(other.placement, other.item.shape)
        ends = self._work.ends
        start_s = release_until(then, item.shape, ends)
        workers = self._tools.placer.place(then, item.shape)
        if workers is None:
            return
        reservation = Reservation(item, workers, start_s)
        self._reservations[item.request_id] = reservation
        if self._late is self._work.free:
            self._late = self._work.free.copy()
        self._limit_late(reservation)
        self._explain_reservation(reservation)

    def _explain_reservation(self, reservation: Reservation) -> None:
        wait_s = reservation.start_s - self._now_s
        when = f"in about {wait_s:.0f} s" if wait_s > 0 else "as soon as free"
        workers = ", ".join(sorted(set(reservation.placement)))
        self._work.reasons[reservation.item.request_id] = (
            f"has a reservation on {workers}, to start {when}")


def release_until(capacity: placement.Capacity, shape: request.Shape,
                  ends: Sequence[rounds.End]) -> float:
    """Releases gangs by estimated end until a shape fits.

    Args:
        capacity: What is free now; changed to what is free then.
        shape: The shape that has to fit.
        ends: The gangs, first end first.

    Returns:
        The estimated end of the last gang released, in seconds.
    """
    for first in range(0, len(ends), CHUNK):
        chunk = ends[first:first + CHUNK]
        for end in chunk:
            capacity.release(end.placement, end.shape)
        if capacity.can_place(shape):
            break
    else:
        return math.inf
    for end in chunk:
        capacity.take(end.placement, end.shape)
    for end in chunk:
        capacity.release(end.placement, end.shape)
        if capacity.can_place(shape):
            break
    return end.end_s
