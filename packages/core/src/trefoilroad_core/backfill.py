"""Starts opportunistic requests, with reservations and backfill."""

import collections
from collections.abc import Sequence
import math
from typing import NamedTuple

from trefoilroad_core import eviction
from trefoilroad_core import placement
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot

MAX_RESERVATIONS = 4
"""Most reservations at once.

Each round makes at most one, for the first request that does not fit (EASY). It
is kept when the order changes later, so that changes do not delay a large gang
again and again. The limit bounds the capacity that is kept free.
"""

RECLAIM_WAIT_RATIO = 0.1
"""Least wait before a request reclaims its share, per estimated run time.

A wait that is short compared to the run time costs less than an eviction.
"""

MAX_RESERVATION_MOVES = 3
"""Most times that a reservation moves to other workers.

Each move gives up capacity that was kept free, so a request whose estimates
stay wrong has to remain on its workers eventually.
"""

RELEASE_BATCH_SIZE = 64
"""Gangs released between two fit checks when a reservation is planned."""


class Reservation(NamedTuple):
    """Workers reserved for a request from a future time on.

    Attributes:
        pending: The request.
        placement: Worker of each task.
        start_s: When it was first estimated to start, in seconds. The
            reservation is in force from then on: nothing else may start on the
            reserved capacity.
        ready_s: Current estimate of its start, in seconds.
        moves: How often it was moved to other workers.
    """

    pending: snapshot.Pending
    placement: tuple[str, ...]
    start_s: float
    ready_s: float
    moves: int = 0


class _Forecast(NamedTuple):
    """Estimated future of reserved capacity.

    Attributes:
        ready_s: When it is estimated to be free, in seconds.
        shadow_s: Shadow time: when the request is estimated to start on it,
            in seconds.
        amounts: Amounts left on each of its workers next to the request, in
            the order of placement.RESOURCES.
    """

    ready_s: float
    shadow_s: float
    amounts: dict[str, list[int]]


class OpportunisticPass:
    """Starts requests outside guarantees, in fair order.

    The first request that does not fit reserves capacity for the time at which
    enough gangs are estimated to have ended. Later requests may start if they
    are estimated to end before, or do not use the reserved capacity (EASY
    backfilling, Lifka, "The ANL/IBM SP scheduling system", JSSPP 1995).
    """

    def __init__(self, *, decision_round: rounds.Round,
                 reservations: dict[str, Reservation],
                 evictor: eviction.Evictor, backfill: bool, reclaim: bool):
        """Creates the pass for one round.

        Args:
            decision_round: The round, with guaranteed requests decided.
            reservations: Reservations by request id; kept between rounds.
            evictor: Stops opportunistic gangs.
            backfill: Whether later requests may start ahead of one that waits.
            reclaim: Whether requests may evict opportunistic gangs of teams
                that use more of the fleet for their weight.
        """
        self._evictor = evictor
        self._reclaim = reclaim
        self._round = decision_round
        self._components = decision_round.components
        self._reservations = reservations
        self._backfill = backfill
        self._now_s = decision_round.state.now_s
        self._shadow_s = math.inf
        self._in_force: set[str] = set()
        self._forecasts: dict[str, _Forecast] = {}
        self._late_free = decision_round.free
        self._unguaranteed = decision_round.free

    def run(self, requests: list[snapshot.Pending]) -> None:
        """Decides about all requests.

        Args:
            requests: The requests in fair order.
        """
        requests = [
            pending for pending in requests if self._is_eligible(pending)
        ]
        self._keep_reservations(requests)
        self._update_reservations()
        blocked = False
        for pending in requests:
            if self._try_use_hold(pending):
                continue
            if not self._round.is_within_limit(pending):
                continue
            if self._try_start(pending) or self._try_reclaim(pending):
                continue
            if not self._backfill:
                self._explain_order(requests, pending)
                return
            if not blocked and self._can_reserve(pending):
                self._reserve(pending)
            blocked = True

    def _try_use_hold(self, pending: snapshot.Pending) -> bool:
        """Starts a request on held capacity; False if it holds none."""
        hold = self._evictor.get_hold(pending)
        if hold is None:
            return False
        if self._evictor.release_if_free(hold):
            self._start(pending, hold.placement)
            return True
        if self._evictor.is_valid(hold):
            self._evictor.explain(hold)
            return True
        self._evictor.cancel_hold(hold)
        return False

    def _try_reclaim(self, pending: snapshot.Pending) -> bool:
        """Evicts gangs of the team that uses most for its weight."""
        if not self._reclaim:
            return False
        wait_s = RECLAIM_WAIT_RATIO * self._components.accounting.estimate_s(
            pending)
        if (self._now_s - pending.received_s < wait_s or
                not self._evictor.may_reclaim(pending)):
            return False
        reservation = self._reservations.get(pending.request_id)
        if reservation is not None:
            self._evictor.unreserve(reservation.placement, pending.shape)
        plan = self._evictor.choose_victims_over_share(pending)
        if plan is None:
            if reservation is not None:
                self._evictor.reserve(reservation.placement, pending.shape)
            return False
        self._evictor.start_eviction(pending, plan, guaranteed=False)
        self._reservations.pop(pending.request_id, None)
        return True

    def _is_eligible(self, pending: snapshot.Pending) -> bool:
        if rounds.is_restartable(
                pending) or not self._components.guarantees.reserves_capacity:
            return True
        self._round.reasons.setdefault(
            pending.request_id,
            "can be neither repeated nor resumed, so it waits until its team's "
            "guarantee is free")
        return False

    def _explain_order(self, requests: list[snapshot.Pending],
                       first: snapshot.Pending) -> None:
        reasons = self._round.reasons
        reasons[first.request_id] = "first in order, waits for room"
        for pending in requests[requests.index(first) + 1:]:
            reasons[pending.request_id] = f"waits behind {first.request_id}"

    def _keep_reservations(self, requests: list[snapshot.Pending]) -> None:
        """Drops reservations that are no longer needed or possible."""
        waiting = {pending.request_id for pending in requests}
        for request_id, reservation in list(self._reservations.items()):
            if (request_id not in waiting or
                    not self._round.free.are_usable(reservation.placement)):
                del self._reservations[request_id]

    def _update_reservations(self) -> None:
        """Updates reservations and the capacity that they leave to others."""
        free = self._round.free
        for request_id, previous in list(self._reservations.items()):
            ready_s = self._forecast(previous).ready_s
            reservation = (self._try_move(previous, ready_s) or
                           previous._replace(start_s=min(
                               previous.start_s, ready_s),
                                             ready_s=ready_s))
            self._reservations[request_id] = reservation
            if self._now_s >= reservation.start_s:
                free.take(reservation.placement, reservation.pending.shape)
                self._in_force.add(request_id)
        self._late_free = free.copy() if self._reservations else free
        self._unguaranteed = free.copy()
        for planned, shape in self._components.guarantees.list_unused():
            self._unguaranteed.take(planned, shape)
        # Reservations in force are allocated in `free` already; the others are
        # only excluded from victim searches.
        self._evictor.reset_future()
        for request_id, reservation in self._reservations.items():
            if request_id not in self._in_force:
                self._protect_reservation(reservation)
                self._evictor.reserve(reservation.placement,
                                      reservation.pending.shape)

    def _try_move(self, reservation: Reservation,
                  ready_s: float) -> Reservation | None:
        """Finds an earlier reservation when gangs run longer than estimated."""
        if (self._now_s < reservation.start_s or
                reservation.moves == MAX_RESERVATION_MOVES or
                ready_s <= reservation.ready_s):
            return None
        other = self._plan_reservation(reservation.pending,
                                       reservation.moves + 1)
        half_s = (ready_s - self._now_s) / 2
        if other is None or other.start_s > self._now_s + half_s:
            return None
        return other

    def _forecast(self, reservation: Reservation) -> _Forecast:
        """Estimates when reserved capacity is free and what is left then."""
        free = self._round.free
        demand = placement.get_task_demand(reservation.pending.shape)
        tasks = collections.Counter(reservation.placement)
        amounts = {name: free.get_amounts(name).copy() for name in tasks}
        missing = {
            name for name, count in tasks.items()
            if placement.count_tasks(amounts[name], demand) < count
        }
        ready_s = math.inf if missing else self._now_s
        for end in self._round.estimated_ends:
            if not missing and end.end_s > max(ready_s, reservation.start_s):
                break
            if tasks.keys().isdisjoint(end.placement):
                continue
            _add_amounts(amounts, end.placement, end.shape, 1)
            if missing:
                missing.difference_update([
                    name for name in missing.intersection(end.placement) if
                    placement.count_tasks(amounts[name], demand) >= tasks[name]
                ])
                ready_s = math.inf if missing else end.end_s
        for other in self._reservations.values():
            if other.pending.request_id not in self._in_force:
                _add_amounts(amounts, other.placement, other.pending.shape, -1)
        return _Forecast(ready_s, max(ready_s, reservation.start_s), amounts)

    def _protect_reservation(self, reservation: Reservation) -> None:
        """Keeps gangs that end after the shadow time off reserved capacity."""
        forecast = self._forecast(reservation)
        self._forecasts[reservation.pending.request_id] = forecast
        self._shadow_s = min(self._shadow_s, forecast.shadow_s)
        for capacity in (self._late_free, self._unguaranteed):
            capacity.limit_workers(forecast.amounts)

    def _try_start(self, pending: snapshot.Pending) -> bool:
        reservation = self._reservations.get(pending.request_id)
        if reservation is not None:
            return self._try_reserved(pending, reservation)
        # A gang that overruns on reserved capacity delays the reservation, so
        # the median estimate of the run time is not safe enough here.
        end_s = self._now_s + self._components.accounting.estimate_longest_s(
            pending)
        free = self._round.free if end_s <= self._shadow_s else self._late_free
        workers = None
        if free.can_place(pending.shape):
            # Capacity that no guarantee needs comes first, so that guaranteed
            # requests seldom have to wait for an eviction.
            workers = (self._round.place(self._unguaranteed, pending) or
                       self._round.place(free, pending))
        if workers is None:
            self._round.reasons.setdefault(
                pending.request_id,
                "waits for room that no request ahead of it needs")
            return False
        self._start(pending, workers)
        return True

    def _try_reserved(self, pending: snapshot.Pending,
                      reservation: Reservation) -> bool:
        free = self._round.free
        is_in_force = pending.request_id in self._in_force
        if is_in_force:
            free.release(reservation.placement, pending.shape)
        workers = self._round.place(self._get_available(pending), pending)
        if workers is None:
            if is_in_force:
                free.take(reservation.placement, pending.shape)
            self._explain_reservation(reservation)
            return False
        if is_in_force:
            self._late_free.release(reservation.placement, pending.shape)
            self._unguaranteed.release(reservation.placement, pending.shape)
        del self._reservations[pending.request_id]
        self._start(pending, workers)
        return True

    def _get_available(self,
                       pending: snapshot.Pending) -> placement.FreeCapacity:
        """Returns the capacity that other reservations leave to a request."""
        end_s = self._now_s + self._components.accounting.estimate_longest_s(
            pending)
        limits = [
            forecast.amounts
            for request_id, forecast in self._forecasts.items()
            if request_id != pending.request_id and end_s > forecast.shadow_s
        ]
        if not limits:
            return self._round.free
        capacity = self._round.free.copy()
        for amounts in limits:
            capacity.limit_workers(amounts)
        return capacity

    def _start(self, pending: snapshot.Pending, workers: tuple[str,
                                                               ...]) -> None:
        guarantees = self._components.guarantees
        guaranteed = False
        if not guarantees.reserves_capacity:
            # Nothing is reserved for guarantees; a start inside one is only
            # recorded as such.
            entitlement = guarantees.find_unused(pending.team, pending.shape)
            guaranteed = entitlement is not None and guarantees.bind(
                pending.request_id, entitlement, pending.shape, workers)
        self._round.start(pending,
                          workers,
                          guaranteed=guaranteed,
                          in_fair_order=True)
        if self._late_free is not self._round.free:
            self._late_free.take(workers, pending.shape)
        self._unguaranteed.take(workers, pending.shape)

    def _can_reserve(self, pending: snapshot.Pending) -> bool:
        return (pending.request_id not in self._reservations and
                len(self._reservations) < MAX_RESERVATIONS)

    def _reserve(self, pending: snapshot.Pending) -> None:
        """Reserves the capacity that is estimated to be free first."""
        reservation = self._plan_reservation(pending)
        if reservation is None:
            return
        self._reservations[pending.request_id] = reservation
        if self._late_free is self._round.free:
            self._late_free = self._round.free.copy()
        self._protect_reservation(reservation)
        self._evictor.reserve(reservation.placement, pending.shape)
        self._explain_reservation(reservation)

    def _plan_reservation(self,
                          pending: snapshot.Pending,
                          moves: int = 0) -> Reservation | None:
        capacity = self._round.free.copy()
        for other in self._reservations.values():
            if (other.pending.request_id != pending.request_id and
                    other.pending.request_id not in self._in_force):
                capacity.take(other.placement, other.pending.shape)
        start_s = release_until(capacity, pending.shape,
                                self._round.estimated_ends)
        workers = self._components.placer.place(capacity, pending.shape)
        if workers is None:
            return None
        return Reservation(pending, workers, start_s, start_s, moves)

    def _explain_reservation(self, reservation: Reservation) -> None:
        wait_s = reservation.start_s - self._now_s
        when = f"in about {wait_s:.0f} s" if wait_s > 0 else "as soon as free"
        workers = ", ".join(sorted(set(reservation.placement)))
        self._round.reasons[reservation.pending.request_id] = (
            f"has a reservation on {workers}, to start {when}")


def _add_amounts(amounts: dict[str, list[int]], workers: tuple[str, ...],
                 shape: request.Shape, sign: int) -> None:
    demand = placement.get_task_demand(shape)
    for name in workers:
        worker_amounts = amounts.get(name)
        if worker_amounts is not None:
            for resource, amount in enumerate(demand):
                worker_amounts[resource] += sign * amount


def release_until(capacity: placement.FreeCapacity, shape: request.Shape,
                  estimated_ends: Sequence[rounds.EstimatedEnd]) -> float:
    """Releases gangs by estimated end until a shape fits.

    Args:
        capacity: What is free now; changed to what is free at that time.
        shape: The shape that has to fit.
        estimated_ends: The gangs, earliest end first.

    Returns:
        The estimated end of the last gang released, in seconds.
    """
    for first in range(0, len(estimated_ends), RELEASE_BATCH_SIZE):
        batch = estimated_ends[first:first + RELEASE_BATCH_SIZE]
        for end in batch:
            capacity.release(end.placement, end.shape)
        if capacity.can_place(shape):
            break
    else:
        return math.inf
    for end in batch:
        capacity.take(end.placement, end.shape)
    for end in batch:
        capacity.release(end.placement, end.shape)
        if capacity.can_place(shape):
            break
    return end.end_s
