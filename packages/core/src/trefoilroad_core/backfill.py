"""Starts of lent requests, with reservations for those that find no room."""

import collections
from collections.abc import Sequence
import math
from typing import NamedTuple

from trefoilroad_core import clearing
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

PATIENCE = 0.1
"""Share of its run time that a request waits before it reclaims its share.

A wait that is short beside the run time is cheaper than stopping other work.
"""

MAX_MOVES = 3
"""Most times that a reservation moves to other room.

Each move gives up room that was kept free, so a request whose estimates go on
being wrong stays in the end where it is.
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
        ready_s: When it is estimated to start now, in seconds.
        moves: How often it was moved to other room.
    """

    item: snapshot.Pending
    placement: tuple[str, ...]
    start_s: float
    ready_s: float
    moves: int = 0


class _Outlook(NamedTuple):
    """What is expected of reserved room.

    Attributes:
        ready_s: When it is estimated to be free, in seconds.
        shadow_s: When the request is expected to start on it, in seconds.
        rows: What is left on each of its workers beside the request then.
    """

    ready_s: float
    shadow_s: float
    rows: dict[str, list[int]]


class LentPass:
    """Starts requests outside guarantees, in the fair order.

    The first request that finds no room reserves some for the time at which
    enough gangs are estimated to have ended. Later requests may start if they
    are estimated to end before, or leave the reserved room alone (EASY, Lifka,
    "The ANL/IBM SP scheduling system", JSSPP 1995).
    """

    def __init__(self, *, work: rounds.Round, reservations: dict[str,
                                                                 Reservation],
                 clears: clearing.Clearing, backfill: bool, reclaim: bool):
        """Prepares the pass.

        Args:
            work: The round; firm requests are decided already.
            reservations: Reservations by request; kept between rounds.
            clears: Stops lent gangs.
            backfill: Whether later requests may start ahead of one that waits.
            reclaim: Whether requests may stop lent gangs of teams that use
                more of the fleet for their weight.
        """
        self._clears = clears
        self._reclaim = reclaim
        self._work = work
        self._tools = work.tools
        self._reservations = reservations
        self._backfill = backfill
        self._now_s = work.state.now_s
        self._shadow_s = math.inf
        self._drained: set[str] = set()
        self._outlooks: dict[str, _Outlook] = {}
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
            if self._keep_promise(item):
                continue
            if not self._work.is_within_limit(item):
                continue
            if self._try_start(item) or self._try_reclaim(item):
                continue
            if not self._backfill:
                self._explain_order(items, item)
                return
            if not blocked and self._can_reserve(item):
                self._reserve(item)
            blocked = True

    def _keep_promise(self, item: snapshot.Pending) -> bool:
        """Starts a request on room that was cleared for it, or lets it wait."""
        promise = self._clears.get_promise(item)
        if promise is None:
            return False
        if self._clears.redeem(promise):
            self._start(item, promise.placement)
            return True
        if self._clears.is_valid(promise):
            self._clears.explain(promise)
            return True
        self._clears.give_up(promise)
        return False

    def _try_reclaim(self, item: snapshot.Pending) -> bool:
        """Stops gangs of teams that use more of the fleet for their weight."""
        if not self._reclaim:
            return False
        patience_s = PATIENCE * self._tools.accounting.estimate_s(item)
        if (self._now_s - item.received_s < patience_s or
                not self._clears.may_reclaim(item)):
            return False
        own = self._reservations.get(item.request_id)
        if own is not None:
            self._clears.unreserve(own.placement, item.shape)
        plan = self._clears.choose_over_share(item)
        if plan is None:
            if own is not None:
                self._clears.reserve(own.placement, item.shape)
            return False
        self._clears.commit(item, plan, guaranteed=False)
        self._reservations.pop(item.request_id, None)
        return True

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
        for request_id, old in list(self._reservations.items()):
            ready_s = self._look_ahead(old).ready_s
            reservation = (self._move(old, ready_s) or
                           old._replace(start_s=min(old.start_s, ready_s),
                                        ready_s=ready_s))
            self._reservations[request_id] = reservation
            if self._now_s >= reservation.start_s:
                free.take(reservation.placement, reservation.item.shape)
                self._drained.add(request_id)
        self._late = free.copy() if self._reservations else free
        self._unclaimed = free.copy()
        for site, shape in self._tools.ledger.list_sites():
            self._unclaimed.take(site, shape)
        # Drained room has been taken already, the rest only for reclaiming.
        self._clears.restart()
        for request_id, reservation in self._reservations.items():
            if request_id not in self._drained:
                self._limit_late(reservation)
                self._clears.reserve(reservation.placement,
                                     reservation.item.shape)

    def _move(self, reservation: Reservation,
              ready_s: float) -> Reservation | None:
        """Finds other room when gangs run longer than estimated."""
        if (self._now_s < reservation.start_s or
                reservation.moves == MAX_MOVES or
                ready_s <= reservation.ready_s):
            return None
        other = self._plan(reservation.item, reservation.moves + 1)
        half_s = (ready_s - self._now_s) / 2
        if other is None or other.start_s > self._now_s + half_s:
            return None
        return other

    def _look_ahead(self, reservation: Reservation) -> _Outlook:
        """Estimates when reserved room will be free, and what is left then."""
        free = self._work.free
        need = placement.get_need(reservation.item.shape)
        tasks = collections.Counter(reservation.placement)
        rows = {name: free.get_row(name).copy() for name in tasks}
        missing = {
            name for name, count in tasks.items()
            if placement.count_tasks(rows[name], need) < count
        }
        ready_s = math.inf if missing else self._now_s
        for end in self._work.ends:
            if not missing and end.end_s > max(ready_s, reservation.start_s):
                break
            if tasks.keys().isdisjoint(end.placement):
                continue
            _add(rows, end.placement, end.shape, 1)
            if missing:
                missing.difference_update([
                    name for name in missing.intersection(end.placement)
                    if placement.count_tasks(rows[name], need) >= tasks[name]
                ])
                ready_s = math.inf if missing else end.end_s
        for other in self._reservations.values():
            if other.item.request_id not in self._drained:
                _add(rows, other.placement, other.item.shape, -1)
        return _Outlook(ready_s, max(ready_s, reservation.start_s), rows)

    def _limit_late(self, reservation: Reservation) -> None:
        """Keeps reserved room free of work that ends after its time."""
        outlook = self._look_ahead(reservation)
        self._outlooks[reservation.item.request_id] = outlook
        self._shadow_s = min(self._shadow_s, outlook.shadow_s)
        for capacity in (self._late, self._unclaimed):
            capacity.limit_rows(outlook.rows)

    def _try_start(self, item: snapshot.Pending) -> bool:
        reservation = self._reservations.get(item.request_id)
        if reservation is not None:
            return self._try_reserved(item, reservation)
        # Gangs that end late on reserved room put the reservation off, so the
        # usual run time is not enough to go by.
        end_s = self._now_s + self._tools.accounting.estimate_longest_s(item)
        limit = self._work.free if end_s <= self._shadow_s else self._late
        workers = None
        if limit.can_place(item.shape):
            # Room that no guarantee needs comes first, so that guaranteed work
            # seldom has to wait for an eviction.
            workers = (self._work.place(self._unclaimed, item) or
                       self._work.place(limit, item))
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
        draining = item.request_id in self._drained
        if draining:
            free.release(reservation.placement, item.shape)
        workers = self._work.place(self._list_room(item), item)
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

    def _list_room(self, item: snapshot.Pending) -> placement.Capacity:
        """Returns the room that other reservations leave to a request."""
        end_s = self._now_s + self._tools.accounting.estimate_longest_s(item)
        limits = [
            outlook.rows
            for request_id, outlook in self._outlooks.items()
            if request_id != item.request_id and end_s > outlook.shadow_s
        ]
        if not limits:
            return self._work.free
        room = self._work.free.copy()
        for rows in limits:
            room.limit_rows(rows)
        return room

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
        reservation = self._plan(item)
        if reservation is None:
            return
        self._reservations[item.request_id] = reservation
        if self._late is self._work.free:
            self._late = self._work.free.copy()
        self._limit_late(reservation)
        self._clears.reserve(reservation.placement, item.shape)
        self._explain_reservation(reservation)

    def _plan(self,
              item: snapshot.Pending,
              moves: int = 0) -> Reservation | None:
        then = self._work.free.copy()
        for other in self._reservations.values():
            if (other.item.request_id != item.request_id and
                    other.item.request_id not in self._drained):
                then.take(other.placement, other.item.shape)
        start_s = release_until(then, item.shape, self._work.ends)
        workers = self._tools.placer.place(then, item.shape)
        if workers is None:
            return None
        return Reservation(item, workers, start_s, start_s, moves)

    def _explain_reservation(self, reservation: Reservation) -> None:
        wait_s = reservation.start_s - self._now_s
        when = f"in about {wait_s:.0f} s" if wait_s > 0 else "as soon as free"
        workers = ", ".join(sorted(set(reservation.placement)))
        self._work.reasons[reservation.item.request_id] = (
            f"has a reservation on {workers}, to start {when}")


def _add(rows: dict[str, list[int]], workers: tuple[str, ...],
         shape: request.Shape, sign: int) -> None:
    need = placement.get_need(shape)
    for name in workers:
        row = rows.get(name)
        if row is not None:
            for resource, amount in enumerate(need):
                row[resource] += sign * amount


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
