"""Working state that the passes of one decision round share."""

import bisect
import functools
from typing import NamedTuple

from trefoilroad_core import accounting
from trefoilroad_core import admission
from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import shares as shares_module
from trefoilroad_core import snapshot


class Promise(NamedTuple):
    """Room that is being cleared for a request.

    Attributes:
        item: The request.
        placement: Where it starts once the room is free.
        victims: Attempts that are being stopped for it.
        deadline_s: When the promise is given up, in seconds.
        guaranteed: Whether the request is inside its team's guarantee.
    """

    item: snapshot.Pending
    placement: tuple[str, ...]
    victims: frozenset[str]
    deadline_s: float
    guaranteed: bool


class End(NamedTuple):
    """Room that is estimated to become free.

    Attributes:
        end_s: Estimated end of the gang that uses it, in seconds.
        placement: Worker of each task.
        shape: Resources of the gang.
    """

    end_s: float
    placement: tuple[str, ...]
    shape: request.Shape


class Tools(NamedTuple):
    """What a scheduler is composed of."""

    placer: placement.Placer
    preemption: preemption.Preemption
    accounting: accounting.Accounting
    ledger: guarantee.Ledger


class Round:
    """One decision round.

    Attributes:
        state: What the round reads.
        tools: Parts of the scheduler.
        free: Room that is free and not promised.
        future: The same once all gangs that are being stopped have gone, None
            until it is needed.
        usage: Accelerators in use by each team.
        shares: Use and fair share of each team.
        starts: Decided starts.
        evictions: Decided evictions.
        reasons: Why each request that waits does so.
    """

    def __init__(self, *, state: snapshot.Snapshot, tools: Tools,
                 free: placement.Capacity, shares: shares_module.Shares):
        self.state = state
        self.tools = tools
        self.free = free
        self.future: placement.Capacity | None = None
        self.shares = shares
        self.usage = admission.Usage(state.running)
        self.starts: list[snapshot.Start] = []
        self.evictions: list[snapshot.Evict] = []
        self.reasons: dict[str, str] = {}

    def start(self, item: snapshot.Pending, workers: tuple[str, ...], *,
              guaranteed: bool, lent: bool) -> None:
        """Decides a start and takes its room.

        Args:
            item: The request to start.
            workers: Worker of each task.
            guaranteed: Whether it is inside its team's guarantee.
            lent: Whether it starts in the fair order.
        """
        self._take(workers, item.shape)
        self.usage.add(item.team, item.shape)
        self.shares.add(item.team, item.shape)
        self.starts.append(snapshot.Start(item.request_id, workers, guaranteed))
        self.tools.accounting.record_start(item, self.state.now_s, lent=lent)
        end_s = self.state.now_s + self.tools.accounting.estimate_s(item)
        bisect.insort(self.ends,
                      End(end_s, workers, item.shape),
                      key=lambda end: end.end_s)

    @functools.cached_property
    def ends(self) -> list[End]:
        """Gangs that run or start in this round, by estimated end."""
        estimate_end_s = self.tools.accounting.estimate_end_s
        ends = [
            End(estimate_end_s(item), item.placement, item.shape)
            for item in self.state.running
        ]
        ends.sort(key=lambda end: end.end_s)
        return ends

    def place(self, capacity: placement.Capacity,
              item: snapshot.Pending) -> tuple[str, ...] | None:
        """Finds a placement, if possible without workers to avoid."""
        placer = self.tools.placer
        if item.avoid and capacity.can_place(item.shape):
            index = capacity.layout.index
            rest = capacity.copy()
            rest.close([index[name] for name in item.avoid if name in index])
            workers = placer.place(rest, item.shape)
            if workers is not None:
                return workers
        return placer.place(capacity, item.shape)

    def promise(self, promise: Promise) -> None:
        """Takes room that is free, or will be, and counts it as in use."""
        self._take(promise.placement, promise.item.shape)
        self.usage.add(promise.item.team, promise.item.shape)
        self.shares.add(promise.item.team, promise.item.shape)

    def give_back(self, promise: Promise) -> None:
        """Gives back what was taken for a promise."""
        shape = promise.item.shape
        self.free.release(promise.placement, shape)
        if self.future is not None:
            self.future.release(promise.placement, shape)
        self.usage.remove(promise.item.team, shape)
        self.shares.remove(promise.item.team, shape)

    def _take(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        self.free.take(workers, shape)
        if self.future is not None:
            self.future.take(workers, shape)

    def is_within_limit(self, item: snapshot.Pending) -> bool:
        """Tells whether the limit of its team lets a request start."""
        team = self.state.configuration.teams.get(item.team)
        if self.usage.is_within_limit(team, item.shape):
            return True
        self.reasons[item.request_id] = (
            f"team {item.team} is at its limit of accelerators in use")
        return False


def can_be_lent(item: snapshot.Pending) -> bool:
    """Tells whether a request may run outside its team's guarantee.

    Only work that can run again or be resumed can be evicted.
    """
    return item.idempotent or item.checkpoint


class Base:
    """Room that running gangs leave, kept between rounds.

    Only gangs that have come or gone since the last round are counted anew.
    """

    def __init__(self) -> None:
        self._capacity: placement.Capacity | None = None
        self._excluded: frozenset[str] = frozenset()
        self._counted: dict[str, snapshot.Running] = {}

    def update(self, layout: placement.Layout,
               state: snapshot.Snapshot) -> placement.Capacity:
        """Follows the fleet and the running gangs.

        Args:
            layout: Positions of the fleet's workers.
            state: What the round reads.

        Returns:
            The room; the round may change it if it restores it at its end.
        """
        capacity = self._capacity
        if (capacity is None or capacity.layout is not layout or
                state.excluded != self._excluded):
            capacity = placement.Capacity(layout=layout,
                                          excluded=state.excluded)
            self._capacity = capacity
            self._excluded = state.excluded
            self._counted = {}
        gone = self._counted
        self._counted = {}
        for item in state.running:
            known = gone.pop(item.attempt_id, None)
            if known is None:
                capacity.take(item.placement, item.shape)
            self._counted[item.attempt_id] = known or item
        for item in gone.values():
            capacity.release(item.placement, item.shape)
        return capacity
