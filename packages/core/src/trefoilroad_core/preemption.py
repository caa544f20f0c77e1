"""Chooses which opportunistic gangs to evict for a request."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_core import placement
from trefoilroad_core import request

MAX_CANDIDATES = 400
"""Most gangs tried one by one in a search, to bound the time of a round."""

MAX_SEARCHED_RACKS = 8
"""Most racks searched for an adjacent gang, those with most room first."""


class EvictableGang(NamedTuple):
    """An opportunistic gang that may be evicted.

    Attributes:
        attempt_id: Identifier of the attempt.
        shape: Resources of the gang.
        placement: Worker of each task.
        priority: 0 (most urgent) to 9.
        lost_work: Work lost if it is evicted, in accelerator seconds.
    """

    attempt_id: str
    shape: request.Shape
    placement: tuple[str, ...]
    priority: int
    lost_work: float


class EvictionPlan(NamedTuple):
    """Gangs to evict and the placement that this makes possible.

    Attributes:
        placement: Worker of each task of the gang to be placed.
        victims: The gangs to evict.
    """

    placement: tuple[str, ...]
    victims: tuple[EvictableGang, ...]

    @property
    def cost(self) -> tuple[int, int, float]:
        """Sort key of plans, best first.

        Plans are compared by the most urgent victim (less urgent is better),
        then by the number of victims, then by the lost work.
        """
        urgency = min([candidate.priority for candidate in self.victims],
                      default=10)
        return (-urgency, len(self.victims),
                sum([candidate.lost_work for candidate in self.victims]))


class VictimSelection(abc.ABC):
    """Chooses victims, the gangs to evict for another one."""

    @abc.abstractmethod
    def choose_victims(self, shape: request.Shape,
                       capacity: placement.FreeCapacity,
                       candidates: Sequence[EvictableGang],
                       placer: placement.Placer) -> EvictionPlan | None:
        """Chooses victims for a gang anywhere on the fleet.

        Args:
            shape: Resources of the gang to be placed.
            capacity: Capacity that is free and not held for others; unchanged
                on return.
            candidates: The gangs that may be evicted.
            placer: Chooses the placement.

        Returns:
            The victims and the placement, or None if the gang would not fit
            even without all candidates.
        """

    @abc.abstractmethod
    def choose_victims_on(
            self, shape: request.Shape, workers: tuple[str, ...],
            capacity: placement.FreeCapacity,
            candidates: Sequence[EvictableGang]) -> EvictionPlan | None:
        """Chooses victims for a gang on given workers.

        Args:
            shape: Resources of the gang to be placed.
            workers: Its placement.
            capacity: Capacity that is free and not held for others; unchanged
                on return.
            candidates: The gangs that may be evicted.

        Returns:
            The victims, or None if the gang would not fit even without all
            candidates.
        """


class NoEviction(VictimSelection):
    """Evicts nothing."""

    def choose_victims(self, shape: request.Shape,
                       capacity: placement.FreeCapacity,
                       candidates: Sequence[EvictableGang],
                       placer: placement.Placer) -> EvictionPlan | None:
        """Returns None; see VictimSelection.choose_victims."""
        return None

    def choose_victims_on(
            self, shape: request.Shape, workers: tuple[str, ...],
            capacity: placement.FreeCapacity,
            candidates: Sequence[EvictableGang]) -> EvictionPlan | None:
        """Returns None; see VictimSelection.choose_victims_on."""
        return None


class LeastUrgent(VictimSelection):
    """Prefers the least urgent victims, then the fewest, then the cheapest."""

    def choose_victims(self, shape: request.Shape,
                       capacity: placement.FreeCapacity,
                       candidates: Sequence[EvictableGang],
                       placer: placement.Placer) -> EvictionPlan | None:
        """Searches down to the priority that suffices; see VictimSelection."""
        allowed, racks = self._find_allowed(shape, capacity, candidates)
        if shape.adjacent != "rack":
            positions = range(len(capacity.amounts))
            return self._search(shape, capacity, allowed, placer, positions)
        candidates_by_rack = _group_by_rack(capacity.layout, allowed)
        free_tasks = capacity.get_fit_counts(shape).racks
        racks.sort(key=lambda rack: (-free_tasks[rack], rack))
        plans = [
            plan for rack in racks[:MAX_SEARCHED_RACKS]
            if (plan := self._search(shape, capacity,
                                     candidates_by_rack.get(rack, []), placer,
                                     capacity.layout.racks[rack]))
        ]
        return min(plans, key=lambda plan: plan.cost, default=None)

    def choose_victims_on(
            self, shape: request.Shape, workers: tuple[str, ...],
            capacity: placement.FreeCapacity,
            candidates: Sequence[EvictableGang]) -> EvictionPlan | None:
        """Evicts the least urgent gangs on the workers; see VictimSelection."""
        worker_ids = frozenset(workers)
        nearby = [
            candidate for candidate in candidates
            if not worker_ids.isdisjoint(candidate.placement)
        ]
        nearby.sort(key=lambda candidate: _get_victim_order(
            candidate, shape, worker_ids))
        chosen: list[EvictableGang] = []
        for candidate in nearby:
            if capacity.can_take(workers, shape):
                break
            capacity.release(candidate.placement, candidate.shape)
            chosen.append(candidate)
        fits = capacity.can_take(workers, shape)
        if fits:
            _remove_unneeded(capacity, chosen,
                             lambda: capacity.can_take(workers, shape))
        for candidate in chosen:
            capacity.take(candidate.placement, candidate.shape)
        return EvictionPlan(workers, tuple(chosen)) if fits else None

    def _find_allowed(
        self, shape: request.Shape, capacity: placement.FreeCapacity,
        candidates: Sequence[EvictableGang]
    ) -> tuple[list[EvictableGang], list[int]]:
        """Finds the candidates of the least urgent priorities that suffice.

        Returns:
            The candidates, and the racks on which the gang would fit without
            them; both empty if it would not fit without all candidates.
        """
        allowed: list[EvictableGang] = []
        racks: list[int] = []
        fits = capacity.can_place(shape)
        by_priority: dict[int, list[EvictableGang]] = {}
        for candidate in candidates:
            by_priority.setdefault(candidate.priority, []).append(candidate)
        for priority in sorted(by_priority, reverse=True):
            if fits:
                break
            for candidate in by_priority[priority]:
                capacity.release(candidate.placement, candidate.shape)
            allowed.extend(by_priority[priority])
            fits = capacity.can_place(shape)
        if fits:
            fit_counts = capacity.get_fit_counts(shape)
            racks = [
                rack for rack, count in enumerate(fit_counts.racks)
                if count >= shape.tasks
            ]
        for candidate in allowed:
            capacity.take(candidate.placement, candidate.shape)
        return (allowed, racks) if fits else ([], [])

    def _search(self, shape: request.Shape, capacity: placement.FreeCapacity,
                allowed: Sequence[EvictableGang], placer: placement.Placer,
                positions: Sequence[int]) -> EvictionPlan | None:
        """Adds victims until the gang fits, then drops the unneeded ones."""
        ids = capacity.layout.worker_ids
        worker_ids = frozenset([ids[i] for i in positions])
        ordered = sorted(allowed,
                         key=lambda candidate: _get_victim_order(
                             candidate, shape, worker_ids))
        chosen: list[EvictableGang] = []
        for candidate in ordered[:MAX_CANDIDATES]:
            if _count_fitting(capacity, shape, positions) >= shape.tasks:
                break
            capacity.release(candidate.placement, candidate.shape)
            chosen.append(candidate)
        plan = None
        if _count_fitting(capacity, shape, positions) >= shape.tasks:
            _remove_unneeded(
                capacity, chosen, lambda: _count_fitting(
                    capacity, shape, positions) >= shape.tasks)
            plan = self._place(shape, capacity, chosen, placer, positions)
        for candidate in chosen:
            capacity.take(candidate.placement, candidate.shape)
        return plan

    def _place(self, shape: request.Shape, capacity: placement.FreeCapacity,
               chosen: list[EvictableGang], placer: placement.Placer,
               positions: Sequence[int]) -> EvictionPlan | None:
        if len(positions) == len(capacity.amounts):
            workers = placer.place(capacity, shape)
        else:
            fit_counts = capacity.get_fit_counts(shape)
            ids = capacity.layout.worker_ids
            workers = ()
            for position in placement.sort_workers(capacity, fit_counts,
                                                   positions):
                count = min(fit_counts.counts[position],
                            shape.tasks - len(workers))
                workers += (ids[position],) * count
        return None if workers is None else EvictionPlan(workers, tuple(chosen))


def _group_by_rack(
        layout: placement.Layout,
        candidates: Sequence[EvictableGang]) -> dict[int, list[EvictableGang]]:
    candidates_by_rack: dict[int, list[EvictableGang]] = {}
    for candidate in candidates:
        racks = {
            layout.rack_of[layout.index[name]]
            for name in candidate.placement
            if name in layout.index
        }
        for rack in racks:
            candidates_by_rack.setdefault(rack, []).append(candidate)
    return candidates_by_rack


def _remove_unneeded(capacity: placement.FreeCapacity,
                     chosen: list[EvictableGang],
                     suffices: Callable[[], bool]) -> None:
    """Removes victims without which the remaining ones still suffice."""
    for candidate in sorted(chosen,
                            key=lambda candidate:
                            (candidate.priority, -candidate.lost_work)):
        capacity.take(candidate.placement, candidate.shape)
        if suffices():
            chosen.remove(candidate)
        else:
            capacity.release(candidate.placement, candidate.shape)


def _count_fitting(capacity: placement.FreeCapacity, shape: request.Shape,
                   positions: Sequence[int]) -> int:
    fit_counts = capacity.get_fit_counts(shape)
    if len(positions) == len(fit_counts.counts):
        return fit_counts.total
    return sum([fit_counts.counts[i] for i in positions])


def _get_victim_order(candidate: EvictableGang, shape: request.Shape,
                      worker_ids: frozenset[str]) -> tuple[int, int, float]:
    """Returns a sort key: by urgency, then freed capacity, then lost work."""
    tasks = sum([name in worker_ids for name in candidate.placement])
    freed = tasks * max(candidate.shape.accelerators, 1)
    needed = shape.tasks * max(shape.accelerators, 1)
    return -candidate.priority, -min(freed, needed), candidate.lost_work
