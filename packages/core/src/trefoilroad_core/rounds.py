"""Working state that the passes of one decision round share."""

import bisect
from collections.abc import Iterable
import functools
from typing import NamedTuple

from trefoilroad_core import accounting
from trefoilroad_core import admission
from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import snapshot


class Promise(NamedTuple):
    """Room that is being cleared for a request.

    Attributes:
        item: The request.
        placement: Where it starts once the room is free.
        victims: Attempts that are being stopped for it.
        deadline_s: When the promise is given up, in seconds.
    """

    item: snapshot.Pending
    placement: tuple[str, ...]
    victims: frozenset[str]
    deadline_s: float


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
        starts: Decided starts.
        evictions: Decided evictions.
        reasons: Why each request that waits does so.
    """

    def __init__(self, *, state: snapshot.Snapshot, tools: Tools,
                 free: placement.Capacity):
        self.state = state
        self.tools = tools
        self.free = free
        self.future: placement.Capacity | None = None
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
        self.take(workers, item.shape)
        self.usage.add(item.team, item.shape)
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

    def take(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        """Takes room that is free, or will be."""
        self.free.take(workers, shape)
        if self.future is not None:
            self.future.take(workers, shape)

    def give_back(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        """Gives back room that was taken for a promise."""
        self.free.release(workers, shape)
        if self.future is not None:
            self.future.release(workers, shape)

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


def build_free(layout: placement.Layout, state: snapshot.Snapshot,
               promises: Iterable[Promise]) -> placement.Capacity:
    """Computes the room that no gang uses and no request is promised."""
    free = placement.Capacity(layout=layout, excluded=state.excluded)
    for item in state.running:
        free.take(item.placement, item.shape)
    for promise in promises:
        free.take(promise.placement, promise.item.shape)
    return free
