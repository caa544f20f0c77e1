"""Starts of requests inside their team's guarantee."""

from collections.abc import Iterable

from trefoilroad_core import clearing
from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot


class FirmPass:
    """Starts firm requests, and clears room for those that find none."""

    def __init__(self, *, work: rounds.Round, clears: clearing.Clearing):
        """Prepares the pass.

        Args:
            work: The round.
            clears: Stops lent gangs.
        """
        self._work = work
        self._clears = clears
        self._ledger = work.tools.ledger

    def run(self, items: Iterable[snapshot.Pending]) -> list[snapshot.Pending]:
        """Decides about all requests that a guarantee covers.

        Args:
            items: All eligible requests in their order.

        Returns:
            The requests that are left to be lent room, in their order.
        """
        return [item for item in items if not self._decide(item)]

    def _decide(self, item: snapshot.Pending) -> bool:
        """Starts a request or promises it room; False if neither."""
        promise = self._clears.get_promise(item)
        if promise is not None and not promise.guaranteed:
            return False
        if promise is not None and self._redeem(promise):
            return True
        if not self._work.is_within_limit(item):
            return False
        entitlement = self._ledger.find_free(item.team, item.shape)
        if entitlement is None:
            return False
        workers = self._find_workers(item, entitlement)
        if workers is not None:
            self._work.start(item, workers, guaranteed=True, lent=False)
            return True
        return self._clear(item, entitlement)

    def _redeem(self, promise: rounds.Promise) -> bool:
        """Starts a request on room that was cleared for it.

        Returns:
            False if the promise cannot be kept and was given up.
        """
        item = promise.item
        if self._ledger.is_bound(item.request_id, promise.placement):
            if self._clears.redeem(promise):
                self._work.start(item,
                                 promise.placement,
                                 guaranteed=True,
                                 lent=False)
                return True
            if self._clears.is_valid(promise):
                self._clears.explain(promise)
                return True
        self._clears.give_up(promise)
        self._ledger.unbind(item.request_id)
        return False

    def _find_workers(
            self, item: snapshot.Pending,
            entitlement: guarantee.Entitlement) -> tuple[str, ...] | None:
        """Finds free workers beside which all other guarantees still fit."""
        free = self._work.free
        ledger = self._ledger
        site = ledger.get_site(entitlement)
        workers = _find_in_site(free, site or (), item.shape)
        if workers is None or not item.avoid.isdisjoint(workers):
            workers = self._work.place(free, item)
        if workers is None:
            return None
        if ledger.bind(item.request_id, entitlement, item.shape, workers):
            return workers
        beside = free.copy()
        beside.limit_to(ledger.room)
        workers = self._work.place(beside, item)
        if workers is not None and ledger.bind(item.request_id, entitlement,
                                               item.shape, workers):
            return workers
        return None

    def _clear(self, item: snapshot.Pending,
               entitlement: guarantee.Entitlement) -> bool:
        """Chooses gangs to stop and promises their room to a request."""
        if not self._clears.may_search():
            self._work.reasons[item.request_id] = (
                "waits for the next round to clear its guaranteed room")
            return False
        if self._commit(item, entitlement, self._clears.choose(item)):
            return True
        site = self._ledger.get_site(entitlement)
        reason = "too few workers are left for all guarantees"
        if site is not None:
            reason = "no gang that may be stopped would make room"
            plan = self._clears.clear(item, site[:item.shape.tasks])
            if self._commit(item, entitlement, plan):
                return True
        self._work.reasons[item.request_id] = (
            f"inside the team's guarantee, but {reason}")
        return False

    def _commit(self, item: snapshot.Pending,
                entitlement: guarantee.Entitlement,
                plan: preemption.Plan | None) -> bool:
        if plan is None or not self._ledger.bind(item.request_id, entitlement,
                                                 item.shape, plan.placement):
            return False
        self._clears.commit(item, plan, guaranteed=True)
        return True


def _find_in_site(free: placement.Capacity, site: tuple[str, ...],
                  shape: request.Shape) -> tuple[str, ...] | None:
    """Finds free room for a gang inside a site."""
    view = free.get_view(shape)
    left = {name: view.counts[free.layout.index[name]] for name in set(site)}
    workers: list[str] = []
    for name in site:
        if left[name] and len(workers) < shape.tasks:
            left[name] -= 1
            workers.append(name)
    return tuple(workers) if len(workers) == shape.tasks else None
