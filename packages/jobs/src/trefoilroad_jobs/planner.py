"""Decides which tasks start where, and what is stopped for them.

Pure functions of what is known at one moment: no sockets, no clock.
"""

import abc
from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_jobs import estimate
from trefoilroad_jobs import placement
from trefoilroad_jobs import workload

# Relative worth of a job by priority, most urgent first; the last one holds
# for all further priorities. From the users' sheets: 4, 3 and 1 a request.
WORTH_BY_PRIORITY = (4.0, 3.0, 1.0)
# Share of its worth that a late job still has, from the same sheets.
LATE_SHARE = 0.27
# A job that ends later than this multiple of its objective is worth nothing.
LATE_FACTOR = 3.0
# Worth share of a job that can no longer end in time to count; it still runs
# when nothing else wants the room.
HOPELESS_SHARE = 0.003
# Worth of a core-second that a stop throws away: its price in the users' lists,
# and what the fleet earns with a core-second on a busy day.
STOP_PRICE = 0.0017 + 0.0035
# A reservation lasts this long; a stop takes at most half a second.
RESERVATION_S = 1.2
# Units without a guarantee for which stops are considered in one round.
MAX_PREEMPTIONS = 3
# Workers are left to empty for a large gang this long before it must start;
# most tasks end within that time.
DRAIN_LEAD_S = 6.0
# A drain goes on this long after the latest useful start, as run times are
# only estimates.
DRAIN_GRACE_S = 3.0
# One gang at a time for so many workers has workers emptied for it.
WORKERS_PER_DRAIN = 12
NOTHING = workload.Demand(0, 0, 0)
# Part of a job's worth that does not depend on its size, and the largest
# multiple of the mean that size counts for.
FIXED_SHARE = 0.3
MAX_SIZE_RATIO = 4.0

UnitKey = tuple[str, int, int]
"""Job, occurrence and step."""


class Unit(NamedTuple):
    """Tasks of one step that are ready to start.

    Attributes:
        job_id: The job.
        occurrence: Number of the occurrence.
        step_number: Number of the step.
        step: The step.
        indexes: Tasks that are ready; all of them for a gang.
        used: Tasks of the step on each worker, if their number is limited.
        service: Service whose workers run it.
        team: Team of the job.
        priority: 0 is the most urgent.
        accepted_s: When the job was accepted or became due.
        objective_s: When the job should have ended.
        remaining_s: Expected time from the start to the end of the job.
        work: Expected core-seconds that are left of the job.
        size_ratio: Size of the job relative to the mean of its queue.
        guaranteed: Whether the team's guarantee covers it.
        reclaim_s: Time from which others are stopped for a guaranteed unit;
            until then room may become free by itself.
    """

    job_id: str
    occurrence: int
    step_number: int
    step: workload.Step
    indexes: tuple[int, ...]
    used: dict[str, int]
    service: str
    team: str
    priority: int
    accepted_s: float
    objective_s: float
    remaining_s: float
    work: float
    size_ratio: float
    guaranteed: bool
    reclaim_s: float = 0.0

    @property
    def key(self) -> "UnitKey":
        """Identifies the step."""
        return self.job_id, self.occurrence, self.step_number

    @property
    def accelerators(self) -> int:
        """Accelerators of all its tasks."""
        return self.step.demand.accelerators * len(self.indexes)


class Victim(NamedTuple):
    """Running tasks that may be stopped together.

    Attributes:
        tasks: Worker and demand of each task.
        cost: Core-seconds of work that a stop loses.
        priority: Priority of the job.
        token: Identifies the tasks for the caller.
    """

    tasks: tuple[tuple[str, workload.Demand], ...]
    cost: float
    priority: int
    token: object

    @property
    def accelerators(self) -> int:
        """Accelerators that a stop frees."""
        return sum(demand.accelerators for _, demand in self.tasks)


class Start(NamedTuple):
    """A unit, or a part of one, and the worker of each of its tasks."""

    unit: Unit
    workers: tuple[str, ...]


class Plan(NamedTuple):
    """What a round decided.

    Attributes:
        starts: What starts.
        stops: Victims that are stopped so that guaranteed units can start.
    """

    starts: list[Start]
    stops: list[Victim]


class Reservation(NamedTuple):
    """Room that is being made for a unit.

    Without it, each round until the stopped tasks have ended might choose
    other workers, and stop more.

    Attributes:
        workers: Worker of each task.
        until_s: When it lapses.
    """

    workers: tuple[str, ...]
    until_s: float


class Order(abc.ABC):
    """Ranks units; lower ranks go first."""

    @abc.abstractmethod
    def rank(self, unit: Unit, now_s: float) -> tuple[float, ...]:
        """Returns the rank of a unit."""


class Arrival(Order):
    """By priority, then in the order of acceptance."""

    def rank(self, unit: Unit, now_s: float) -> tuple[float, ...]:
        """See Order.rank."""
        return (unit.priority, unit.accepted_s)


class LeastSlack(Order):
    """By priority, then by the time left until the latest useful start."""

    def rank(self, unit: Unit, now_s: float) -> tuple[float, ...]:
        """See Order.rank."""
        return (unit.priority, unit.objective_s - unit.remaining_s)


class WorthDensity(Order):
    """By the worth that a core-second earns if the unit starts now."""

    def rank(self, unit: Unit, now_s: float) -> tuple[float, ...]:
        """See Order.rank."""
        density = estimate_worth(unit, now_s) / max(unit.work, 0.01)
        return (-density, unit.accepted_s)


def estimate_worth(unit: Unit, now_s: float) -> float:
    """Returns what the unit's job is worth if the unit starts now."""
    level = min(unit.priority, len(WORTH_BY_PRIORITY) - 1)
    size = min(unit.size_ratio, MAX_SIZE_RATIO)
    worth = WORTH_BY_PRIORITY[level] * (FIXED_SHARE + (1 - FIXED_SHARE) * size)
    end_s = now_s + unit.remaining_s
    allowed_s = unit.objective_s - unit.accepted_s
    if end_s <= unit.objective_s:
        return worth
    if end_s <= unit.accepted_s + LATE_FACTOR * allowed_s:
        return worth * LATE_SHARE
    return worth * HOPELESS_SHARE


def _is_pressing(unit: Unit, now_s: float) -> bool:
    """Tells whether a unit ends within its objective only if it starts now."""
    return (unit.reclaim_s <= now_s and
            now_s + unit.remaining_s <= unit.objective_s)


def _may_drain(unit: Unit, now_s: float) -> bool:
    """Tells whether workers are kept free for a unit by now.

    Only as late as that still lets it end in time, or in the time in which it
    counts as late.
    """
    latest_s = unit.objective_s - unit.remaining_s
    if latest_s + DRAIN_GRACE_S < now_s:
        allowed_s = unit.objective_s - unit.accepted_s
        latest_s = (unit.accepted_s + LATE_FACTOR * allowed_s -
                    unit.remaining_s)
    return latest_s - DRAIN_LEAD_S <= now_s <= latest_s + DRAIN_GRACE_S


def _choose_drain(wish: placement.Wish,
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


def _block(unit: Unit, slots: Sequence[placement.Slot]) -> None:
    """Takes the room that a unit will need from units after it."""
    left = len(unit.indexes)
    for slot in slots:
        count = min(left,
                    placement.count_fitting(unit.step.occupied, slot.capacity))
        left -= count
        for _ in range(count):
            slot.room = slot.room.minus(unit.step.occupied)


def _is_worth_it(unit: Unit, victims: Sequence[Victim], now_s: float) -> bool:
    """Tells whether a start in time earns more than the stops lose."""
    gain = estimate_worth(unit, now_s) * (1.0 - LATE_SHARE)
    return gain > STOP_PRICE * sum(victim.cost for victim in victims)


class Planner:
    """Plans rounds with one order."""

    def __init__(self, *, order: Order):
        self._order = order
        self._reserved: dict[UnitKey, Reservation] = {}
        self._drains: dict[UnitKey, tuple[str, ...]] = {}

    def plan(self, units: Sequence[Unit], slots: Sequence[placement.Slot],
             ending: Sequence[tuple[str, workload.Demand]],
             victims: Sequence[Victim], now_s: float) -> Plan:
        """Plans a round for one service.

        Args:
            units: What is ready.
            slots: Workers that may be used, with their room; changed.
            ending: Worker and demand of each task that is being stopped.
            victims: What may be stopped for guaranteed units.
            now_s: The time.

        Returns:
            The plan.
        """
        plan = Plan([], [])
        slots_by_id = {slot.worker_id: slot for slot in slots}
        self._drop_reservations(units, slots_by_id, now_s)
        soon = list(ending)
        left = list(victims)
        tries = 0
        ordered = sorted(units, key=lambda unit: self._rank(unit, now_s))
        for unit in ordered:
            workers = self._place(unit, slots, slots_by_id)
            if workers:
                plan.starts.append(Start(unit, tuple(workers)))
                _take(slots_by_id, unit, workers)
                self._reserved.pop(unit.key, None)
                self._drains.pop(unit.key, None)
                continue
            reservation = self._reserved.get(unit.key)
            if reservation is not None:
                _take(slots_by_id, unit, reservation.workers)
                continue
            if now_s < unit.reclaim_s:
                continue
            drained = self._drain(unit, slots_by_id, now_s)
            if not unit.guaranteed:
                if not drained and (tries == MAX_PREEMPTIONS or
                                    not _is_pressing(unit, now_s)):
                    continue
                tries += 1
            weaker = [item for item in left if item.priority > unit.priority]
            within = [slots_by_id[name] for name in drained] or slots
            chosen = _reclaim(unit, within, soon, weaker)
            if chosen is not None and (unit.guaranteed or _is_worth_it(
                    unit, chosen.victims, now_s)):
                plan.stops.extend(chosen.victims)
                soon += [task for item in chosen.victims for task in item.tasks]
                left = [item for item in left if item not in chosen.victims]
                self._reserved[unit.key] = Reservation(tuple(chosen.workers),
                                                       now_s + RESERVATION_S)
                _take(slots_by_id, unit, chosen.workers)
            elif drained:
                _block(unit, [slots_by_id[name] for name in drained])
        return plan

    def _drain(self, unit: Unit, slots: dict[str, placement.Slot],
               now_s: float) -> tuple[str, ...]:
        """Returns workers that are left to empty for a large unit.

        Small tasks would take each piece of room as it becomes free, and a
        gang that needs several whole workers would wait for ever.
        """
        if (unit.guaranteed or unit.priority == 0 or not unit.step.gang or
                not _may_drain(unit, now_s)):
            self._drains.pop(unit.key, None)
            return ()
        chosen = self._drains.get(unit.key, ())
        if chosen and all(name in slots for name in chosen):
            return chosen
        if not chosen and len(self._drains) >= len(slots) // WORKERS_PER_DRAIN:
            return ()
        taken = {name for other in self._drains.values() for name in other}
        free = [slot for name, slot in slots.items() if name not in taken]
        chosen = _choose_drain(_build_wish(unit), free)
        self._drains.pop(unit.key, None)
        if chosen:
            self._drains[unit.key] = chosen
        return chosen

    def _rank(self, unit: Unit, now_s: float) -> tuple[float, ...]:
        """Ranks a unit; urgent ones may use room that is being emptied."""
        return (unit.key
                not in self._reserved, not unit.guaranteed, unit.priority
                > 0, unit.key
                not in self._drains, *self._order.rank(unit, now_s))

    def _drop_reservations(self, units: Sequence[Unit],
                           slots: dict[str,
                                       placement.Slot], now_s: float) -> None:
        """Drops reservations that are old, or whose unit or worker is gone."""
        waiting = {unit.key for unit in units}
        for key in list(self._drains):
            if key not in waiting:
                del self._drains[key]
        for key, reservation in list(self._reserved.items()):
            if (key not in waiting or reservation.until_s <= now_s or
                    any(worker not in slots for worker in reservation.workers)):
                del self._reserved[key]

    def _place(self, unit: Unit, slots: Sequence[placement.Slot],
               by_id: dict[str, placement.Slot]) -> list[str]:
        wish = _build_wish(unit)
        reservation = self._reserved.get(unit.key)
        if reservation is None:
            return placement.place(wish, slots, spread=False)
        own = [by_id[worker] for worker in sorted(set(reservation.workers))]
        placed = placement.place(wish, own, spread=True)
        return placed if len(placed) == wish.tasks else []


def _build_wish(unit: Unit) -> placement.Wish:
    return placement.Wish(step=unit.step,
                          tasks=len(unit.indexes),
                          whole=unit.step.gang or unit.guaranteed,
                          used=unit.used)


def _take(slots: dict[str, placement.Slot], unit: Unit,
          workers: Sequence[str]) -> None:
    for worker_id in workers:
        slot = slots[worker_id]
        slot.room = slot.room.minus(unit.step.occupied)


class _Reclaim(NamedTuple):
    """Victims of a reclaim and the workers that the unit will get."""

    victims: list[Victim]
    workers: list[str]


def _reclaim(unit: Unit, slots: Sequence[placement.Slot],
             soon: Sequence[tuple[str, workload.Demand]],
             victims: Sequence[Victim]) -> _Reclaim | None:
    """Chooses what to stop so that a unit can start.

    The cheapest victims for each accelerator come first. As many as are
    needed are taken by bisection; those whose room is not used in the end are
    spared.
    """
    wish = _build_wish(unit)
    ranked = sorted(victims, key=_weigh_loss)
    wasted: list[str] = []
    for spread in (False, True):
        low, high = 0, len(ranked)
        if not _place_after(wish, slots, soon, ranked[:high], spread):
            continue
        while low < high:
            middle = (low + high) // 2
            if _place_after(wish, slots, soon, ranked[:middle], spread):
                high = middle
            else:
                low = middle + 1
        chosen = ranked[:high]
        wasted = _place_after(wish, slots, soon, chosen, spread)
        break
    if not wasted:
        return None
    workers = wasted
    return _Reclaim(_spare(wish, slots, soon, chosen, workers), workers)


def _weigh_loss(victim: Victim) -> float:
    """Returns what a stop loses for each accelerator that it frees."""
    level = min(victim.priority, len(WORTH_BY_PRIORITY) - 1)
    return (victim.cost * WORTH_BY_PRIORITY[level] /
            max(1, victim.accelerators))


def _spare(wish: placement.Wish, slots: Sequence[placement.Slot],
           soon: Sequence[tuple[str, workload.Demand]], chosen: list[Victim],
           workers: list[str]) -> list[Victim]:
    """Drops victims that the chosen workers do not need, dearest first."""
    used = set(workers)
    subset = [slot for slot in slots if slot.worker_id in used]
    needed = [
        item for item in chosen
        if any(worker in used for worker, _ in item.tasks)
    ]
    for item in sorted(needed, key=lambda item: -item.cost):
        rest = [other for other in needed if other is not item]
        if sorted(_place_after(wish, subset, soon, rest,
                               True)) == sorted(workers):
            needed = rest
    return needed


def _place_after(wish: placement.Wish, slots: Sequence[placement.Slot],
                 soon: Sequence[tuple[str, workload.Demand]],
                 victims: Sequence[Victim], spread: bool) -> list[str]:
    """Places a wish in the room that there will be after the stops."""
    freed: dict[str, workload.Demand] = {}
    for worker_id, demand in soon:
        freed[worker_id] = freed.get(worker_id, NOTHING).plus(demand)
    for victim in victims:
        for worker_id, demand in victim.tasks:
            freed[worker_id] = freed.get(worker_id, NOTHING).plus(demand)
    later = [
        slot.add_room(freed[slot.worker_id])
        if slot.worker_id in freed else slot for slot in slots
    ]
    return placement.place(wish, later, spread=spread)


def compute_loss(step: workload.Step, elapsed_s: float,
                 checkpoint_interval_s: float) -> float:
    """Returns the core-seconds that the stop of one task loses."""
    lost_s = elapsed_s
    if step.checkpoints:
        lost_s = min(elapsed_s, checkpoint_interval_s)
    return lost_s * estimate.weigh(step.demand)
