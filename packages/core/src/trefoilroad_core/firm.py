"""Starts of requests inside their team's guarantee."""

from collections.abc import Iterable

from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot

MAX_SEARCHES = 16
"""Most searches for gangs to stop in one round, to bound its time."""


class FirmPass:
    """Starts firm requests, and clears room for those that find none.

    Room that is being cleared is promised: it belongs to the request that
    gangs are being stopped for, in later rounds as well.
    """

    def __init__(self, *, work: rounds.Round, promises: dict[str,
                                                             rounds.Promise],
                 stopping: dict[str, float], timeout_s: float):
        """Prepares the pass.

        Args:
            work: The round.
            promises: Promises by request; kept between rounds.
            stopping: Until when each gang that was told to stop is expected to
                do so, in seconds, by attempt; kept between rounds.
            timeout_s: Longest time to wait for gangs to stop, in seconds.
        """
        self._work = work
        self._tools = work.tools
        self._promises = promises
        self._stopping = stopping
        self._timeout_s = timeout_s
        self._searches = 0
        self._candidates: list[preemption.Candidate] | None = None

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
        promise = self._promises.get(item.request_id)
        if promise is not None and self._redeem(item, promise):
            return True
        if not self._work.is_within_limit(item):
            return False
        entitlement = self._tools.ledger.find_free(item.team, item.shape)
        if entitlement is None:
            return False
        workers = self._find_workers(item, entitlement)
        if workers is not None:
            self._work.start(item, workers, guaranteed=True, lent=False)
            return True
        return self._clear(item, entitlement)

    def _redeem(self, item: snapshot.Pending, promise: rounds.Promise) -> bool:
        """Starts a request on room that was cleared for it.

        Returns:
            False if the promise cannot be kept and was given up.
        """
        work = self._work
        kept = (self._tools.ledger.is_bound(item.request_id, promise.placement)
                and work.free.is_open(promise.placement))
        if kept:
            work.give_back(promise)
            if work.free.can_take(promise.placement, item.shape):
                del self._promises[item.request_id]
                work.start(item, promise.placement, guaranteed=True, lent=False)
                return True
            work.promise(promise)
        if kept and work.state.now_s < promise.deadline_s:
            work.reasons[item.request_id] = (
                f"waits until {len(promise.victims)} gangs have stopped on its "
                f"guaranteed room")
            return True
        self._give_up(item.request_id)
        return False

    def _give_up(self, request_id: str) -> None:
        promise = self._promises.pop(request_id)
        self._work.give_back(promise)
        self._tools.ledger.unbind(request_id)

    def _find_workers(
            self, item: snapshot.Pending,
            entitlement: guarantee.Entitlement) -> tuple[str, ...] | None:
        """Finds free workers beside which all other guarantees still fit."""
        free = self._work.free
        ledger = self._tools.ledger
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
        if self._searches == MAX_SEARCHES:
            self._work.reasons[item.request_id] = (
                "waits for the next round to clear its guaranteed room")
            return False
        self._searches += 1
        future = self._get_future()
        candidates = self._get_candidates()
        chooser = self._tools.preemption
        plan = chooser.choose(item.shape, future, candidates,
                              self._tools.placer)
        if plan is not None and self._commit(item, entitlement, plan):
            return True
        site = self._tools.ledger.get_site(entitlement)
        if site is not None:
            plan = chooser.clear(item.shape, site[:item.shape.tasks], future,
                                 candidates)
            if plan is not None and self._commit(item, entitlement, plan):
                return True
        reason = "no gang that may be stopped would make room"
        if site is None:
            reason = "too few workers are left for all guarantees"
        self._work.reasons[item.request_id] = (
            f"inside the team's guarantee, but {reason}")
        return False

    def _commit(self, item: snapshot.Pending,
                entitlement: guarantee.Entitlement,
                plan: preemption.Plan) -> bool:
        if not self._tools.ledger.bind(item.request_id, entitlement, item.shape,
                                       plan.placement):
            return False
        work = self._work
        promise = rounds.Promise(
            item, plan.placement,
            frozenset([victim.attempt_id for victim in plan.victims]),
            work.state.now_s + self._timeout_s)
        self._promises[item.request_id] = promise
        work.promise(promise)
        future = self._get_future()
        for victim in plan.victims:
            self._stopping[victim.attempt_id] = promise.deadline_s
            future.release(victim.placement, victim.shape)
            work.evictions.append(
                snapshot.Evict(victim.attempt_id, item.request_id))
        self._candidates = [
            candidate for candidate in self._get_candidates()
            if candidate.attempt_id not in promise.victims
        ]
        work.reasons[item.request_id] = (
            f"waits until {len(plan.victims)} gangs have stopped on its "
            f"guaranteed room")
        return True

    def _get_future(self) -> placement.Capacity:
        """Returns the room once all gangs being stopped have gone."""
        if self._work.future is None:
            future = self._work.free.copy()
            for item in self._work.state.running:
                if item.attempt_id in self._stopping:
                    future.release(item.placement, item.shape)
            self._work.future = future
        return self._work.future

    def _get_candidates(self) -> list[preemption.Candidate]:
        """Returns the lent gangs that may be stopped."""
        if self._candidates is None:
            self._candidates = [
                self._build_candidate(item)
                for item in self._work.state.running
                if item.evictable and not item.guaranteed and
                item.attempt_id not in self._stopping
            ]
        return self._candidates

    def _build_candidate(self, item: snapshot.Running) -> preemption.Candidate:
        state = self._work.state
        template = state.configuration.templates.get(item.template)
        lost = 0.0
        if template is None or not template.checkpoint:
            rate = self._tools.accounting.compute_rate(item.shape)
            lost = rate * (state.now_s - item.started_s)
        return preemption.Candidate(item.attempt_id, item.shape, item.placement,
                                    item.priority, lost)


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
