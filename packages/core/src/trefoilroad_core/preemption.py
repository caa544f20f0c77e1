"""The choice of lent gangs to stop for guaranteed work."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_core import placement
from trefoilroad_core import request

MAX_CANDIDATES = 400
"""Most gangs tried one by one in a search, to bound the time of a round."""

MAX_RACKS = 8
"""Most racks searched for adjacent room; those with most free come first."""


class Candidate(NamedTuple):
    """A lent gang that may be stopped.

    Attributes:
        attempt_id: Identifier of the attempt.
        shape: Resources of the gang.
        placement: Worker of each task.
        priority: 0 (most urgent) to 9.
        lost: Work lost if it is stopped, in accelerator seconds.
    """

    attempt_id: str
    shape: request.Shape
    placement: tuple[str, ...]
    priority: int
    lost: float


class Plan(NamedTuple):
    """Gangs to stop and the placement that results.

    Attributes:
        placement: Worker of each task of the gang that gets the room.
        victims: The gangs to stop.
    """

    placement: tuple[str, ...]
    victims: tuple[Candidate, ...]

    @property
    def cost(self) -> tuple[int, int, float]:
        """Order of preference, smallest first.

        The most urgent gang stopped counts first (a less urgent one is
        preferred), then the number of gangs, then the work lost.
        """
        urgency = min([item.priority for item in self.victims], default=10)
        return (-urgency, len(self.victims),
                sum([item.lost for item in self.victims]))


class Preemption(abc.ABC):
    """Chooses gangs to stop."""

    @abc.abstractmethod
    def choose(self, shape: request.Shape, capacity: placement.Capacity,
               candidates: Sequence[Candidate],
               placer: placement.Placer) -> Plan | None:
        """Finds room for a gang.

        Args:
            shape: Resources of the gang that needs room.
            capacity: What is free now or promised to nobody; unchanged on
                return.
            candidates: The gangs that may be stopped.
            placer: Chooses the placement.

        Returns:
            The gangs to stop with the placement that results, or None if
            stopping all of them would not make room.
        """

    @abc.abstractmethod
    def clear(self, shape: request.Shape, workers: tuple[str, ...],
              capacity: placement.Capacity,
              candidates: Sequence[Candidate]) -> Plan | None:
        """Finds room for a gang on given workers.

        Args:
            shape: Resources of the gang that needs room.
            workers: Its placement.
            capacity: What is free now or promised to nobody; unchanged on
                return.
            candidates: The gangs that may be stopped.

        Returns:
            The gangs to stop, or None if stopping all of them would not make
            room.
        """


class NoPreemption(Preemption):
    """Stops nothing."""

    def choose(self, shape: request.Shape, capacity: placement.Capacity,
               candidates: Sequence[Candidate],
               placer: placement.Placer) -> Plan | None:
        """Returns None; see Preemption.choose."""
        return None

    def clear(self, shape: request.Shape, workers: tuple[str, ...],
              capacity: placement.Capacity,
              candidates: Sequence[Candidate]) -> Plan | None:
        """Returns None; see Preemption.clear."""
        return None


class LeastUrgent(Preemption):
    """Stops the least urgent gangs, then the fewest, then the least work."""

    def choose(self, shape: request.Shape, capacity: placement.Capacity,
               candidates: Sequence[Candidate],
               placer: placement.Placer) -> Plan | None:
        """Searches the least urgent class that suffices; see Preemption."""
        allowed, racks = self._find_allowed(shape, capacity, candidates)
        if shape.adjacent != "rack":
            area = range(len(capacity.rows))
            return self._search(shape, capacity, allowed, placer, area)
        groups = _group_by_rack(capacity.layout, allowed)
        now = capacity.get_view(shape).racks
        racks.sort(key=lambda rack: (-now[rack], rack))
        plans = [
            plan for rack in racks[:MAX_RACKS]
            if (plan := self._search(shape, capacity, groups.get(rack, []),
                                     placer, capacity.layout.racks[rack]))
        ]
        return min(plans, key=lambda plan: plan.cost, default=None)

    def clear(self, shape: request.Shape, workers: tuple[str, ...],
              capacity: placement.Capacity,
              candidates: Sequence[Candidate]) -> Plan | None:
        """Stops the least urgent gangs on the workers; see Preemption."""
        area = frozenset(workers)
        local = [
            item for item in candidates if not area.isdisjoint(item.placement)
        ]
        local.sort(key=lambda item: _rate(item, shape, area))
        chosen: list[Candidate] = []
        for item in local:
            if capacity.can_take(workers, shape):
                break
            capacity.release(item.placement, item.shape)
            chosen.append(item)
        found = capacity.can_take(workers, shape)
        if found:
            _drop_needless(capacity, chosen,
                           lambda: capacity.can_take(workers, shape))
        for item in chosen:
            capacity.take(item.placement, item.shape)
        return Plan(workers, tuple(chosen)) if found else None

    def _find_allowed(
            self, shape: request.Shape, capacity: placement.Capacity,
            candidates: Sequence[Candidate]
    ) -> tuple[list[Candidate], list[int]]:
        """Finds the candidates down to the priority that is needed.

        Returns:
            The candidates, and the racks that could hold the gang without
            them; no candidates if stopping all of them would not make room.
        """
        allowed: list[Candidate] = []
        racks: list[int] = []
        found = capacity.can_place(shape)
        layers: dict[int, list[Candidate]] = {}
        for item in candidates:
            layers.setdefault(item.priority, []).append(item)
        for priority in sorted(layers, reverse=True):
            if found:
                break
            for item in layers[priority]:
                capacity.release(item.placement, item.shape)
            allowed.extend(layers[priority])
            found = capacity.can_place(shape)
        if found:
            view = capacity.get_view(shape)
            racks = [
                rack for rack, fits in enumerate(view.racks)
                if fits >= shape.tasks
            ]
        for item in allowed:
            capacity.take(item.placement, item.shape)
        return (allowed, racks) if found else ([], [])

    def _search(self, shape: request.Shape, capacity: placement.Capacity,
                allowed: Sequence[Candidate], placer: placement.Placer,
                inside: Sequence[int]) -> Plan | None:
        """Adds gangs by how much room they give, then drops needless ones."""
        ids = capacity.layout.worker_ids
        area = frozenset([ids[i] for i in inside])
        local = sorted(allowed, key=lambda item: _rate(item, shape, area))
        chosen: list[Candidate] = []
        for item in local[:MAX_CANDIDATES]:
            if _count(capacity, shape, inside) >= shape.tasks:
                break
            capacity.release(item.placement, item.shape)
            chosen.append(item)
        plan = None
        if _count(capacity, shape, inside) >= shape.tasks:
            _drop_needless(
                capacity, chosen,
                lambda: _count(capacity, shape, inside) >= shape.tasks)
            plan = self._place(shape, capacity, chosen, placer, inside)
        for item in chosen:
            capacity.take(item.placement, item.shape)
        return plan

    def _place(self, shape: request.Shape, capacity: placement.Capacity,
               chosen: list[Candidate], placer: placement.Placer,
               inside: Sequence[int]) -> Plan | None:
        if len(inside) == len(capacity.rows):
            workers = placer.place(capacity, shape)
        else:
            view = capacity.get_view(shape)
            ids = capacity.layout.worker_ids
            workers = ()
            for position in placement.sort_workers(capacity, view, inside):
                count = min(view.counts[position], shape.tasks - len(workers))
                workers += (ids[position],) * count
        return None if workers is None else Plan(workers, tuple(chosen))


def _group_by_rack(
        layout: placement.Layout,
        candidates: Sequence[Candidate]) -> dict[int, list[Candidate]]:
    groups: dict[int, list[Candidate]] = {}
    for item in candidates:
        racks = {
            layout.rack_of[layout.index[name]]
            for name in item.placement
            if name in layout.index
        }
        for rack in racks:
            groups.setdefault(rack, []).append(item)
    return groups


def _drop_needless(capacity: placement.Capacity, chosen: list[Candidate],
                   suffices: Callable[[], bool]) -> None:
    """Takes gangs out of a choice that suffices without them."""
    for item in sorted(chosen, key=lambda item: (item.priority, -item.lost)):
        capacity.take(item.placement, item.shape)
        if suffices():
            chosen.remove(item)
        else:
            capacity.release(item.placement, item.shape)


def _count(capacity: placement.Capacity, shape: request.Shape,
           inside: Sequence[int]) -> int:
    view = capacity.get_view(shape)
    if len(inside) == len(view.counts):
        return view.total
    return sum([view.counts[i] for i in inside])


def _rate(item: Candidate, shape: request.Shape,
          area: frozenset[str]) -> tuple[int, int, float]:
    """Rates a gang by urgency, room that it gives, and work lost."""
    tasks = sum([name in area for name in item.placement])
    room = tasks * max(item.shape.accelerators, 1)
    needed = shape.tasks * max(shape.accelerators, 1)
    return -item.priority, -min(room, needed), item.lost
