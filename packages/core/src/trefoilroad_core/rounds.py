"""State that the passes of one decision round share."""

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


class CapacityHold(NamedTuple):
    """Capacity held for a request while gangs are stopped to free it.

    Attributes:
        pending: The request.
        placement: Worker of each task once the capacity is free.
        victims: Attempts that are being stopped for it.
        deadline_s: When the hold is cancelled, in seconds.
        guaranteed: Whether the request is inside its team's guarantee.
    """

    pending: snapshot.Pending
    placement: tuple[str, ...]
    victims: frozenset[str]
    deadline_s: float
    guaranteed: bool


class EstimatedEnd(NamedTuple):
    """A gang's capacity and the time at which it should become free.

    Attributes:
        end_s: Estimated end of the gang, in seconds.
        placement: Worker of each task.
        shape: Resources of the gang.
    """

    end_s: float
    placement: tuple[str, ...]
    shape: request.Shape


class Components(NamedTuple):
    """Parts of a scheduler that a round uses.

    Attributes:
        placer: Chooses workers.
        preemption: Chooses gangs to evict.
        accounting: Charges teams and estimates run times.
        guarantees: Tracks the guaranteed gangs.
    """

    placer: placement.Placer
    preemption: preemption.VictimSelection
    accounting: accounting.Accounting
    guarantees: guarantee.GuaranteeTracker


class Round:
    """One decision round.

    Attributes:
        state: Snapshot that the round reads.
        components: Parts of the scheduler.
        free: Capacity that is free and not held.
        future: `free` as it will be once all gangs that are being stopped
            have gone; None until it is needed.
        usage: Accelerators in use by each team.
        shares: Use and fair share of each team.
        starts: Decided starts.
        evictions: Decided evictions.
        reasons: Why each waiting request waits, by request id.
    """

    def __init__(self, *, state: snapshot.Snapshot, components: Components,
                 free: placement.FreeCapacity, shares: shares_module.Shares):
        self.state = state
        self.components = components
        self.free = free
        self.future: placement.FreeCapacity | None = None
        self.shares = shares
        self.usage = admission.AcceleratorUsage(state.running)
        self.starts: list[snapshot.Start] = []
        self.evictions: list[snapshot.Eviction] = []
        self.reasons: dict[str, str] = {}

    def start(self, pending: snapshot.Pending, workers: tuple[str, ...], *,
              guaranteed: bool, in_fair_order: bool) -> None:
        """Decides a start and allocates its capacity.

        Args:
            pending: The request to start.
            workers: Worker of each task.
            guaranteed: Whether it is inside its team's guarantee.
            in_fair_order: Whether it starts in its turn of the fair order.
        """
        self._take(workers, pending.shape)
        self.usage.add(pending.team, pending.shape)
        self.shares.add(pending.team, pending.shape)
        self.starts.append(
            snapshot.Start(pending.request_id, workers, guaranteed))
        self.components.accounting.record_start(pending,
                                                self.state.now_s,
                                                in_fair_order=in_fair_order)
        end_s = self.state.now_s + self.components.accounting.estimate_s(
            pending)
        bisect.insort(self.estimated_ends,
                      EstimatedEnd(end_s, workers, pending.shape),
                      key=lambda end: end.end_s)

    @functools.cached_property
    def estimated_ends(self) -> list[EstimatedEnd]:
        """Gangs that run or start in this round, earliest end first."""
        estimate_end_s = self.components.accounting.estimate_end_s
        estimated_ends = [
            EstimatedEnd(estimate_end_s(gang), gang.placement, gang.shape)
            for gang in self.state.running
        ]
        estimated_ends.sort(key=lambda end: end.end_s)
        return estimated_ends

    def place(self, capacity: placement.FreeCapacity,
              pending: snapshot.Pending) -> tuple[str, ...] | None:
        """Finds a placement, if possible without the workers to avoid."""
        placer = self.components.placer
        if pending.avoid and capacity.can_place(pending.shape):
            index = capacity.layout.index
            rest = capacity.copy()
            rest.exclude(
                [index[name] for name in pending.avoid if name in index])
            workers = placer.place(rest, pending.shape)
            if workers is not None:
                return workers
        return placer.place(capacity, pending.shape)

    def add_hold(self, hold: CapacityHold) -> None:
        """Allocates held capacity and counts it as in use by the team."""
        self._take(hold.placement, hold.pending.shape)
        self.usage.add(hold.pending.team, hold.pending.shape)
        self.shares.add(hold.pending.team, hold.pending.shape)

    def remove_hold(self, hold: CapacityHold) -> None:
        """Undoes `add_hold`."""
        shape = hold.pending.shape
        self.free.release(hold.placement, shape)
        if self.future is not None:
            self.future.release(hold.placement, shape)
        self.usage.remove(hold.pending.team, shape)
        self.shares.remove(hold.pending.team, shape)

    def _take(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        self.free.take(workers, shape)
        if self.future is not None:
            self.future.take(workers, shape)

    def is_within_limit(self, pending: snapshot.Pending) -> bool:
        """Tells whether a request may start under its team's limit."""
        team = self.state.configuration.teams.get(pending.team)
        if self.usage.is_within_limit(team, pending.shape):
            return True
        self.reasons[pending.request_id] = (
            f"team {pending.team} is at its limit of accelerators in use")
        return False


def is_restartable(pending: snapshot.Pending) -> bool:
    """Tells whether the gang of a request may be stopped and run again later.

    Only work that can be repeated or resumed may be evicted, and only such
    work may run outside its team's guarantee.
    """
    return pending.idempotent or pending.checkpoint


class FreeCapacityTracker:
    """Capacity that running gangs leave free, updated incrementally.

    Each round only accounts for gangs that came or went since the last one.
    """

    def __init__(self) -> None:
        self._capacity: placement.FreeCapacity | None = None
        self._excluded: frozenset[str] = frozenset()
        self._counted: dict[str, snapshot.Running] = {}

    def update(self, layout: placement.Layout,
               state: snapshot.Snapshot) -> placement.FreeCapacity:
        """Brings the capacity up to date with the fleet and the running gangs.

        Args:
            layout: Positions of the fleet's workers.
            state: Snapshot that the round reads.

        Returns:
            The free capacity. The round may change it but has to restore it
            at its end.
        """
        capacity = self._capacity
        if (capacity is None or capacity.layout is not layout or
                state.excluded != self._excluded):
            capacity = placement.FreeCapacity(layout=layout,
                                              excluded=state.excluded)
            self._capacity = capacity
            self._excluded = state.excluded
            self._counted = {}
        gone = self._counted
        self._counted = {}
        for gang in state.running:
            counted = gone.pop(gang.attempt_id, None)
            if counted is None:
                capacity.take(gang.placement, gang.shape)
            self._counted[gang.attempt_id] = counted or gang
        for gang in gone.values():
            capacity.release(gang.placement, gang.shape)
        return capacity
