"""Leaves workers to empty for large gangs.

Small tasks would take each piece of room as it becomes free, and a gang that
needs several whole workers would wait for ever.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from trefoilroad_jobs import placement
from trefoilroad_jobs import units

# Workers are left to empty for a large gang this long before it must start;
# most tasks end within that time.
DRAIN_LEAD_S = 6.0
# A drain goes on this long after the latest useful start, as run times are
# only estimates.
DRAIN_GRACE_S = 3.0
# One gang at a time for so many workers has workers emptied for it.
WORKERS_PER_DRAIN = 12


class Drains:
    """Which workers are left to empty for which unit."""

    def __init__(self) -> None:
        self._workers: dict[units.UnitKey, tuple[str, ...]] = {}

    def __contains__(self, key: units.UnitKey) -> bool:
        return key in self._workers

    def keep(self, keys: Iterable[units.UnitKey]) -> None:
        """Drops the drains of all other units."""
        waiting = set(keys)
        for key in list(self._workers):
            if key not in waiting:
                del self._workers[key]

    def drop(self, key: units.UnitKey) -> None:
        """Drops the drain of a unit, if it has one."""
        self._workers.pop(key, None)

    def choose(self, unit: units.Unit, slots: Mapping[str, placement.Slot],
               now_s: float) -> tuple[str, ...]:
        """Returns the workers that are left to empty for a unit.

        Args:
            unit: A unit that cannot start now.
            slots: Workers that may be used, by id.
            now_s: The time.

        Returns:
            Ids of the workers; empty if none are.
        """
        if (unit.guaranteed or unit.priority == 0 or not unit.step.gang or
                not _is_due(unit, now_s)):
            self.drop(unit.key)
            return ()
        chosen = self._workers.get(unit.key, ())
        if chosen and all(name in slots for name in chosen):
            return chosen
        if not chosen and len(self._workers) >= len(slots) // WORKERS_PER_DRAIN:
            return ()
        taken = {name for other in self._workers.values() for name in other}
        free = [slot for name, slot in slots.items() if name not in taken]
        chosen = _choose_workers(units.build_wish(unit), free)
        self.drop(unit.key)
        if chosen:
            self._workers[unit.key] = chosen
        return chosen


def _is_due(unit: units.Unit, now_s: float) -> bool:
    """Tells whether workers are kept free for a unit by now.

    Only as late as that still lets it end in time, or in the time in which it
    counts as late.
    """
    latest_s = unit.objective_s - unit.remaining_s
    if latest_s + DRAIN_GRACE_S < now_s:
        allowed_s = unit.objective_s - unit.accepted_s
        latest_s = (unit.accepted_s + units.LATE_FACTOR * allowed_s -
                    unit.remaining_s)
    return latest_s - DRAIN_LEAD_S <= now_s <= latest_s + DRAIN_GRACE_S


def _choose_workers(wish: placement.Wish,
                    slots: Sequence[placement.Slot]) -> tuple[str, ...]:
    """Chooses the workers with the most room that hold a wish when empty."""
    groups = list(placement.group_by_rack(slots).values())
    groups = [group for group in groups if placement.could_fit(wish, group)]
    if not wish.step.one_rack or not groups:
        groups = [list(slots)]
    best: tuple[str, ...] = ()
    best_room = -1
    for group in groups:
        ranked = sorted(group, key=lambda slot: -slot.room.accelerators)
        chosen: list[placement.Slot] = []
        for slot in ranked:
            if placement.could_fit(wish, chosen):
                break
            chosen.append(slot)
        room = sum(slot.room.accelerators for slot in chosen)
        if placement.could_fit(wish, chosen) and room > best_room:
            best = tuple(slot.worker_id for slot in chosen)
            best_room = room
    return best


def block(unit: units.Unit, slots: Sequence[placement.Slot]) -> None:
    """Takes the room that a unit will need from units after it."""
    left = len(unit.indexes)
    for slot in slots:
        count = min(left,
                    placement.count_fitting(unit.step.occupied, slot.capacity))
        left -= count
        for _ in range(count):
            slot.room = slot.room.minus(unit.step.occupied)
