"""Chooses workers for the tasks of one step."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_jobs import workload

Demand = workload.Demand

# Tasks without any demand that are counted to fit on one worker.
UNLIMITED = 1_000


class Slot:
    """What one worker offers in a round.

    Attributes:
        worker_id: The worker.
        rack: Its rack.
        labels: Its labels.
        room: What is free.
        capacity: What it has in all.
        failing: Whether runs have failed there of late.
    """

    __slots__ = ("capacity", "failing", "labels", "rack", "room", "worker_id")

    def __init__(self,
                 *,
                 worker_id: str,
                 rack: str,
                 labels: frozenset[str],
                 room: Demand,
                 capacity: Demand,
                 failing: bool = False):
        self.worker_id = worker_id
        self.rack = rack
        self.labels = labels
        self.room = room
        self.capacity = capacity
        self.failing = failing

    def add_room(self, demand: Demand) -> "Slot":
        """Returns the slot as it is with more room."""
        return Slot(worker_id=self.worker_id,
                    rack=self.rack,
                    labels=self.labels,
                    room=self.room.plus(demand),
                    capacity=self.capacity,
                    failing=self.failing)


class Wish(NamedTuple):
    """Tasks of one step that want workers.

    Attributes:
        step: The step.
        tasks: Number of tasks to place.
        whole: Whether all must be placed or none.
        used: Tasks of the step on each worker already, where their number is
            limited.
        careful: Whether workers on which runs fail are avoided.
    """

    step: workload.Step
    tasks: int
    whole: bool
    used: dict[str, int]
    careful: bool = False

    def allows(self, slot: Slot) -> bool:
        """Tells whether a worker may be used, whatever its room."""
        if self.careful and slot.failing:
            return False
        return not self.step.label or self.step.label in slot.labels


def count_fitting(demand: Demand, room: Demand) -> int:
    """Returns how many tasks of a demand fit into a room."""
    # Plain comparisons: a round at 176 workers asks this 10,000 times.
    count = UNLIMITED
    if demand.accelerators:
        count = room.accelerators // demand.accelerators
        if count <= 0:
            return 0
    if demand.milli_cores:
        count = min(count, room.milli_cores // demand.milli_cores)
    if demand.memory_mb:
        count = min(count, room.memory_mb // demand.memory_mb)
    return max(0, count)


def _count_slot(wish: Wish, slot: Slot, room: Demand) -> int:
    if not wish.allows(slot):
        return 0
    count = count_fitting(wish.step.occupied, room)
    if wish.step.max_per_worker:
        limit = wish.step.max_per_worker - wish.used.get(slot.worker_id, 0)
        count = min(count, max(0, limit))
    return count


def fill(wish: Wish, slots: Sequence[Slot]) -> list[str]:
    """Fills slots in order, the fullest that still fit first.

    Packing onto workers that are partly used keeps whole workers free for
    tasks that need one.

    Returns:
        The worker of each task that could be placed.
    """
    offers = [(slot, count)
              for slot in slots
              if (count := _count_slot(wish, slot, slot.room)) > 0]
    offers.sort(key=lambda offer: (offer[0].room.accelerators, offer[0].room.
                                   milli_cores, offer[0].worker_id))
    placed: list[str] = []
    for slot, count in offers:
        placed += [slot.worker_id] * min(count, wish.tasks - len(placed))
        if len(placed) == wish.tasks:
            break
    return placed


def could_fit(wish: Wish, slots: Sequence[Slot]) -> bool:
    """Tells whether the wish would fit if all slots were idle."""
    total = 0
    for slot in slots:
        total += _count_slot(wish, slot, slot.capacity)
        if total >= wish.tasks:
            return True
    return False


def group_by_rack(slots: Sequence[Slot]) -> dict[str, list[Slot]]:
    """Groups slots by rack."""
    racks: dict[str, list[Slot]] = collections.defaultdict(list)
    for slot in slots:
        racks[slot.rack].append(slot)
    return racks


def place(wish: Wish, slots: Sequence[Slot], *, spread: bool) -> list[str]:
    """Places the tasks of a wish.

    A step whose tasks are slower on several racks gets one rack, the one that
    it fills best. Tasks with data in a rack go there first.

    Args:
        wish: What is wanted.
        slots: Workers that may be used.
        spread: Whether a step that wants one rack may have several, although
            some rack could hold it.

    Returns:
        A worker for each task that is placed; empty if a whole wish does not
        fit.
    """
    step = wish.step
    if wish.whole and not _has_room(wish, slots):
        return []
    if step.one_rack and wish.tasks > 1:
        racks = group_by_rack(slots)
        placed = _place_in_one(wish, list(racks.values()))
        if placed:
            return placed
        if not spread and any(could_fit(wish, rack) for rack in racks.values()):
            return []
    if step.data_rack:
        home = [slot for slot in slots if slot.rack == step.data_rack]
        placed = fill(wish, home)
        if len(placed) == wish.tasks:
            return placed
        if not spread and could_fit(wish, home):
            return [] if wish.whole else placed
    placed = fill(wish, slots)
    if wish.whole and len(placed) < wish.tasks:
        return []
    return placed


def _has_room(wish: Wish, slots: Sequence[Slot]) -> bool:
    """Tells whether there are enough accelerators, wherever they are."""
    free = sum(slot.room.accelerators for slot in slots)
    return free >= wish.step.demand.accelerators * wish.tasks


def _place_in_one(wish: Wish, racks: Sequence[Sequence[Slot]]) -> list[str]:
    """Places all tasks in the rack with the least room that holds them."""
    best: list[str] = []
    best_key: tuple[bool, int] | None = None
    for rack in racks:
        if not _has_room(wish, rack):
            continue
        placed = fill(wish, rack)
        if len(placed) < wish.tasks:
            continue
        free = sum(slot.room.accelerators for slot in rack)
        key = (rack[0].rack != wish.step.data_rack, free)
        if best_key is None or key < best_key:
            best, best_key = placed, key
    return best
