"""Chooses which running tasks are stopped for a more urgent unit."""

from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_jobs import placement
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

# Worth of a core-second that a stop throws away: its price in the users' lists,
# and what the fleet earns with a core-second on a busy day.
STOP_PRICE = 0.0017 + 0.0035
NOTHING = workload.Demand(0, 0, 0)


class Choice(NamedTuple):
    """Victims, and the workers that the unit gets once they have ended."""

    victims: list[units.Victim]
    workers: list[str]


def choose(unit: units.Unit, slots: Sequence[placement.Slot],
           ending: Sequence[units.TaskRoom],
           victims: Sequence[units.Victim]) -> Choice | None:
    """Chooses what to stop so that a unit can start.

    The cheapest victims for each accelerator come first. As many as are
    needed are taken by bisection; those whose room is not used in the end are
    spared.

    Args:
        unit: The unit.
        slots: Workers that it may use, with their room.
        ending: Tasks that are being stopped already.
        victims: Tasks that may be stopped.

    Returns:
        The choice, or None if no stops would make room.
    """
    wish = units.build_wish(unit)
    ranked = sorted(victims, key=_weigh_loss)
    for spread in (False, True):
        if not _place_after(wish, slots, ending, ranked, spread):
            continue
        count = _count_needed(wish, slots, ending, ranked, spread)
        chosen = ranked[:count]
        workers = _place_after(wish, slots, ending, chosen, spread)
        return Choice(_spare(wish, slots, ending, chosen, workers), workers)
    return None


def _count_needed(wish: placement.Wish, slots: Sequence[placement.Slot],
                  ending: Sequence[units.TaskRoom],
                  ranked: Sequence[units.Victim], spread: bool) -> int:
    """Returns how many of the ranked victims are enough."""
    low, high = 0, len(ranked)
    while low < high:
        middle = (low + high) // 2
        if _place_after(wish, slots, ending, ranked[:middle], spread):
            high = middle
        else:
            low = middle + 1
    return high


def is_worth_it(unit: units.Unit, victims: Sequence[units.Victim],
                now_s: float) -> bool:
    """Tells whether a start in time earns more than the stops lose."""
    gain = units.estimate_worth(unit, now_s) * (1.0 - units.LATE_SHARE)
    return gain > STOP_PRICE * sum(victim.cost for victim in victims)


def _weigh_loss(victim: units.Victim) -> float:
    """Returns what a stop loses for each accelerator that it frees."""
    level = units.get_level(victim.priority)
    return (victim.cost * units.WORTH_BY_PRIORITY[level] /
            max(1, victim.accelerators))


def _spare(wish: placement.Wish, slots: Sequence[placement.Slot],
           ending: Sequence[units.TaskRoom], chosen: list[units.Victim],
           workers: list[str]) -> list[units.Victim]:
    """Drops victims that the chosen workers do not need, dearest first."""
    used = set(workers)
    subset = [slot for slot in slots if slot.worker_id in used]
    needed = [
        item for item in chosen
        if any(worker in used for worker, _ in item.tasks)
    ]
    for item in sorted(needed, key=lambda item: -item.cost):
        rest = [other for other in needed if other is not item]
        if sorted(_place_after(wish, subset, ending, rest,
                               True)) == sorted(workers):
            needed = rest
    return needed


def _place_after(wish: placement.Wish, slots: Sequence[placement.Slot],
                 ending: Sequence[units.TaskRoom],
                 victims: Sequence[units.Victim], spread: bool) -> list[str]:
    """Places a wish in the room that there will be after the stops."""
    freed: dict[str, workload.Demand] = {}
    for worker_id, demand in ending:
        freed[worker_id] = freed.get(worker_id, NOTHING).plus(demand)
    for victim in victims:
        for worker_id, demand in victim.tasks:
            freed[worker_id] = freed.get(worker_id, NOTHING).plus(demand)
    later = [
        slot.add_room(freed[slot.worker_id])
        if slot.worker_id in freed else slot for slot in slots
    ]
    return placement.place(wish, later, spread=spread)
