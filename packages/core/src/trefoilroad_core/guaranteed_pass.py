"""Starts requests inside their team's guarantee."""

from collections.abc import Iterable

from trefoilroad_core import eviction
from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot


class GuaranteedPass:
    """Starts guaranteed requests and evicts gangs for those that do not fit."""

    def __init__(self, *, decision_round: rounds.Round,
                 evictor: eviction.Evictor):
        """Creates the pass for one round.

        Args:
            decision_round: The round.
            evictor: Stops opportunistic gangs.
        """
        self._round = decision_round
        self._evictor = evictor
        self._guarantees = decision_round.components.guarantees

    def run(self,
            requests: Iterable[snapshot.Pending]) -> list[snapshot.Pending]:
        """Decides about all requests that a guarantee covers.

        Args:
            requests: All eligible requests in fair order.

        Returns:
            The requests left for the opportunistic pass, in the same order.
        """
        return [pending for pending in requests if not self._decide(pending)]

    def _decide(self, pending: snapshot.Pending) -> bool:
        """Starts a request or holds capacity for it; False if neither."""
        hold = self._evictor.get_hold(pending)
        if hold is not None and not hold.guaranteed:
            return False
        if hold is not None and self._start_on_hold(hold):
            return True
        if not self._round.is_within_limit(pending):
            return False
        entitlement = self._guarantees.find_unused(pending.team, pending.shape)
        if entitlement is None:
            return False
        workers = self._find_workers(pending, entitlement)
        if workers is not None:
            self._round.start(pending,
                              workers,
                              guaranteed=True,
                              in_fair_order=False)
            return True
        return self._evict_for(pending, entitlement)

    def _start_on_hold(self, hold: rounds.CapacityHold) -> bool:
        """Starts a request on its held capacity once that is free.

        Returns:
            False if the hold is no longer valid and was cancelled.
        """
        pending = hold.pending
        if self._guarantees.is_bound(pending.request_id, hold.placement):
            if self._evictor.release_if_free(hold):
                self._round.start(pending,
                                  hold.placement,
                                  guaranteed=True,
                                  in_fair_order=False)
                return True
            if self._evictor.is_valid(hold):
                self._evictor.explain(hold)
                return True
        self._evictor.cancel_hold(hold)
        self._guarantees.unbind(pending.request_id)
        return False

    def _find_workers(
            self, pending: snapshot.Pending,
            entitlement: guarantee.Entitlement) -> tuple[str, ...] | None:
        """Finds free workers such that all other guarantees still fit."""
        free = self._round.free
        guarantees = self._guarantees
        planned = guarantees.get_planned_placement(entitlement)
        workers = _find_within(free, planned or (), pending.shape)
        if workers is None or not pending.avoid.isdisjoint(workers):
            workers = self._round.place(free, pending)
        if workers is None:
            return None
        if guarantees.bind(pending.request_id, entitlement, pending.shape,
                           workers):
            return workers
        limited = free.copy()
        limited.limit_to(guarantees.spare)
        workers = self._round.place(limited, pending)
        if workers is not None and guarantees.bind(
                pending.request_id, entitlement, pending.shape, workers):
            return workers
        return None

    def _evict_for(self, pending: snapshot.Pending,
                   entitlement: guarantee.Entitlement) -> bool:
        """Chooses gangs to evict and holds their capacity for a request."""
        if not self._evictor.allow_search():
            self._round.reasons[pending.request_id] = (
                "waits for the next round to clear its guaranteed room")
            return False
        if self._start_eviction(pending, entitlement,
                                self._evictor.choose_victims(pending)):
            return True
        planned = self._guarantees.get_planned_placement(entitlement)
        reason = "too few workers are left for all guarantees"
        if planned is not None:
            reason = "no gang that may be stopped would make room"
            plan = self._evictor.choose_victims_on(
                pending, planned[:pending.shape.tasks])
            if self._start_eviction(pending, entitlement, plan):
                return True
        self._round.reasons[pending.request_id] = (
            f"inside the team's guarantee, but {reason}")
        return False

    def _start_eviction(self, pending: snapshot.Pending,
                        entitlement: guarantee.Entitlement,
                        plan: preemption.EvictionPlan | None) -> bool:
        if plan is None or not self._guarantees.bind(
                pending.request_id, entitlement, pending.shape, plan.placement):
            return False
        self._evictor.start_eviction(pending, plan, guaranteed=True)
        return True


def _find_within(free: placement.FreeCapacity, planned: tuple[str, ...],
                 shape: request.Shape) -> tuple[str, ...] | None:
    """Finds free capacity for a gang within a planned placement."""
    fits = free.get_fit_counts(shape)
    remaining = {
        name: fits.counts[free.layout.index[name]] for name in set(planned)
    }
    workers: list[str] = []
    for name in planned:
        if remaining[name] and len(workers) < shape.tasks:
            remaining[name] -= 1
            workers.append(name)
    return tuple(workers) if len(workers) == shape.tasks else None
