"""Decides which tasks start where, and what is stopped for them.

Pure functions of what is known at one moment: no sockets, no clock.
"""

from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_jobs import drains
from trefoilroad_jobs import headroom
from trefoilroad_jobs import ordering
from trefoilroad_jobs import placement
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units

# A reservation lasts this long; a stop takes at most half a second.
RESERVATION_S = 1.2
# Units without a guarantee for which stops are considered in one round.
MAX_PREEMPTIONS = 3


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


class Planner:
    """Plans rounds with one order."""

    def __init__(self, *, order: ordering.Order):
        self._order = order
        self._reserved: dict[units.UnitKey, Reservation] = {}
        self._drains = drains.Drains()
        self._kept: frozenset[str] = frozenset()

    def plan(self,
             ready: Sequence[units.Unit],
             slots: Sequence[placement.Slot],
             ending: Sequence[units.TaskRoom],
             victims: Sequence[units.Victim],
             now_s: float,
             kept: float = 0.0) -> units.Plan:
        """Plans a round for one service.

        Args:
            ready: Units that may start.
            slots: Workers that may be used, with their room; changed.
            ending: Tasks that are being stopped.
            victims: What may be stopped for more urgent units.
            now_s: The time.
            kept: Accelerators that only urgent work may use.

        Returns:
            The plan.
        """
        by_id = {slot.worker_id: slot for slot in slots}
        self._kept = headroom.choose_workers(slots, kept)
        self._drop_stale(ready, by_id, now_s)
        state = _Round(slots=by_id,
                       running=reclaim.Running(ending=ending, victims=victims),
                       now_s=now_s)
        for unit in sorted(ready, key=lambda unit: self._rank(unit, now_s)):
            workers = self._place(unit, by_id)
            if workers:
                state.plan.starts.append(units.Start(unit, tuple(workers)))
                _take(by_id, unit, workers)
                self._reserved.pop(unit.key, None)
                self._drains.drop(unit.key)
            elif unit.key in self._reserved:
                _take(by_id, unit, self._reserved[unit.key].workers)
            elif now_s >= unit.reclaim_s:
                self._make_room(unit, state)
        return state.plan

    def _rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """Ranks a unit; urgent ones may use room that is being emptied."""
        is_bulk = unit.priority > 0
        return (unit.key
                not in self._reserved, not unit.guaranteed, is_bulk, unit.key
                not in self._drains, *self._order.rank(unit, now_s))

    def _drop_stale(self, ready: Sequence[units.Unit],
                    slots: dict[str, placement.Slot], now_s: float) -> None:
        """Drops what is kept for units, or on workers, that are gone."""
        waiting = {unit.key for unit in ready}
        self._drains.keep(waiting)
        for key, reservation in list(self._reserved.items()):
            if (key not in waiting or reservation.until_s <= now_s or
                    any(worker not in slots for worker in reservation.workers)):
                del self._reserved[key]

    def _place(self, unit: units.Unit,
               slots: dict[str, placement.Slot]) -> list[str]:
        """Places a unit, if it has a reservation only there."""
        wish = units.build_wish(unit)
        reservation = self._reserved.get(unit.key)
        if reservation is None:
            return self._place_anywhere(unit, wish, list(slots.values()))
        own = [slots[worker] for worker in sorted(set(reservation.workers))]
        placed = placement.place(wish, own, spread=True)
        return placed if len(placed) == wish.tasks else []

    def _place_anywhere(self, unit: units.Unit, wish: placement.Wish,
                        slots: list[placement.Slot]) -> list[str]:
        """Places bulk work off the kept workers, urgent work there first."""
        if not self._kept:
            return placement.place(wish, slots, spread=False)
        if unit.priority > 0:
            others = headroom.exclude_kept(wish, slots, self._kept)
            return placement.place(wish, others, spread=False)
        own = [slot for slot in slots if slot.worker_id in self._kept]
        placed = placement.place(wish, own, spread=False)
        if len(placed) == wish.tasks:
            return placed
        return placement.place(wish, slots, spread=False)

    def _make_room(self, unit: units.Unit, state: "_Round") -> None:
        """Stops others for a unit, or has workers emptied for it."""
        drained = self._drains.choose(unit, state.slots, state.now_s)
        if not unit.guaranteed:
            if not drained and not state.may_preempt(unit):
                return
            state.tries += 1
        within = [state.slots[name] for name in drained]
        choice = reclaim.choose(unit, within or list(state.slots.values()),
                                state.running)
        if choice is not None and (unit.guaranteed or reclaim.is_worth_it(
                unit, choice.victims, state.now_s)):
            state.stop(choice.victims)
            self._reserved[unit.key] = Reservation(tuple(choice.workers),
                                                   state.now_s + RESERVATION_S)
            _take(state.slots, unit, choice.workers)
        elif drained:
            drains.block(unit, within)


class _Round:
    """What a round has decided so far.

    Attributes:
        slots: Workers that may be used, with the room that is left.
        running: Tasks that are being stopped, or may be.
        now_s: The time.
        plan: The decisions.
        tries: Units without a guarantee for which stops were considered.
    """

    def __init__(self, *, slots: dict[str, placement.Slot],
                 running: reclaim.Running, now_s: float):
        self.slots = slots
        self.running = running
        self.now_s = now_s
        self.plan = units.Plan([], [])
        self.tries = 0

    def may_preempt(self, unit: units.Unit) -> bool:
        """Tells whether stops may be considered for a unit.

        It must be able to end within its objective if it starts now.
        """
        return (self.tries < MAX_PREEMPTIONS and
                self.now_s + unit.remaining_s <= unit.objective_s)

    def stop(self, victims: Sequence[units.Victim]) -> None:
        """Has victims stopped."""
        self.plan.stops.extend(victims)
        self.running.stop(victims)


def _take(slots: dict[str, placement.Slot], unit: units.Unit,
          workers: Sequence[str]) -> None:
    for worker_id in workers:
        slot = slots[worker_id]
        slot.room = slot.room.minus(unit.step.occupied)
