"""Decides which tasks start on which workers, and which tasks are preempted.

Uses no sockets and no clock: the result depends only on the arguments and on
the holds and gang reservations of earlier rounds.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Mapping
from collections.abc import Sequence
import functools
from typing import NamedTuple

from trefoilroad_jobs import gang_reservations
from trefoilroad_jobs import headroom
from trefoilroad_jobs import ordering
from trefoilroad_jobs import patience
from trefoilroad_jobs import placement
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units

# How long preempted resources are held for the unit.
HOLD_S = 1.2
# Time from a preemption until the tasks have ended, if no reply is lost.
STOP_S = 0.5
# Number of units without a guarantee after which a round considers no further
# preemption. Units with reserved workers count, but are considered in any case.
MAX_UNGUARANTEED_PREEMPTIONS = 3
# After a futile search for preemption none is made for the same bulk unit for
# this time, for each worker beyond the first ones. The result would mostly be
# the same, and on a large fleet, where a search takes long and many units wait,
# the units behind it would not get their turn.
FUTILE_SEARCH_DELAY_S = 0.002
WORKERS_SEARCHED_IN_EACH_ROUND = 64
# Time between two searches for a unit in room that others do not use. Rounds
# may follow each other within milliseconds, and hundreds of units wait.
SEARCH_ELSEWHERE_INTERVAL_S = 0.25


class CapacityHold(NamedTuple):
    """Resources held for a unit while the preempted tasks end.

    Without a hold, each round until the preempted tasks have ended
    could choose other workers and preempt more tasks.

    Attributes:
        workers: Worker of each task.
        overdue_s: When the preempted tasks should have ended.
        until_s: When the hold expires.
    """

    workers: tuple[str, ...]
    overdue_s: float
    until_s: float
    preempted: bool


class HeldRoom(NamedTuple):
    """Workers that are kept for some units.

    Attributes:
        headroom_workers: Ids of the workers kept for urgent work.
        holds: Ids of the workers held, by unit.
        reservations: Ids of the workers reserved, by unit.
    """

    headroom_workers: frozenset[str]
    holds: Mapping[units.UnitKey, tuple[str, ...]]
    reservations: Mapping[units.UnitKey, tuple[str, ...]]


NOTHING_HELD = HeldRoom(frozenset(), {}, {})


class _Keys(Container[units.UnitKey]):
    """Keys of some units, and of all units of some jobs."""

    def __init__(self, *, units: Container[units.UnitKey],
                 jobs: Container[str]):
        self._units = units
        self._jobs = jobs

    def __contains__(self, key: object) -> bool:
        return key in self._units or (isinstance(key, tuple) and
                                      key[0] in self._jobs)


class Planner:
    """Plans scheduling rounds; keeps holds and reservations between them."""

    def __init__(self, *, order: ordering.UnitOrder):
        """Creates a planner without holds and reservations.

        Args:
            order: Order in which waiting units are considered.
        """
        self._order = order
        self._holds: dict[units.UnitKey, CapacityHold] = {}
        self._gang_reservations = gang_reservations.GangReservations()
        self._rack_patience = patience.Patience()
        self._withheld_patience = patience.Patience()
        self._held_patience = patience.Patience()
        self._patiences = (self._rack_patience, self._withheld_patience,
                           self._held_patience)
        self._headroom_workers: frozenset[str] = frozenset()
        self._next_search_s: dict[units.UnitKey, float] = {}
        self._next_search_elsewhere_s: dict[units.UnitKey, float] = {}
        self._lowest_priority: int | None = None

    def create_empty(self) -> "Planner":
        """Returns a planner of the same order, without holds."""
        return Planner(order=self._order)

    def plan(
        self,
        ready: Sequence[units.Unit],
        candidates: Sequence[placement.Candidate],
        list_running: Callable[[], reclaim.RunningTasks],
        now_s: float,
        headroom_accelerators: float = 0.0,
        resting: Container[str] = (),
        lowest_priority: int | None = None,
        evacuated: Container[str] = (),
        deferred: Container[str] = ()
    ) -> units.Plan:
        """Plans a round for one service.

        Args:
            ready: Units that may start.
            candidates: Workers that may be used, including those that are
                withheld; their free resources are reduced by what the plan
                uses.
            list_running: Returns the tasks that are being stopped and those
                that may be preempted. Called only if some unit needs room, as
                most rounds of a large fleet place everything or nothing.
            now_s: Current time in seconds.
            headroom_accelerators: Number of accelerators to keep for urgent
                work.
            resting: Ids of workers that are not candidates now but may soon be
                again. Holds on them are kept.
            lowest_priority: Priority of the least urgent queue of the service,
                None if it is not known. Its units preempt nothing.
            evacuated: Ids of workers that stay excluded until an operator
                allows them again. Gang reservations on them are dropped at
                once.
            deferred: Ids of jobs that this round does not consider, or not with
                all their steps. What is kept for them stays.

        Returns:
            The plan.
        """
        usable = [
            candidate for candidate in candidates if candidate.withheld is None
        ]
        by_id = {candidate.worker_id: candidate for candidate in usable}
        withheld = {
            candidate.worker_id: candidate
            for candidate in candidates
            if candidate.withheld is not None
        }
        self._headroom_workers = headroom.choose_workers(
            usable, headroom_accelerators, list(withheld.values()))
        self._lowest_priority = lowest_priority
        self._gang_reservations.release_workers(evacuated)
        self._drop_stale_holds(ready, by_id, resting, now_s, deferred)
        round_state = _RoundState(candidates=by_id,
                                  withheld=withheld,
                                  list_running=list_running,
                                  now_s=now_s)
        for unit in sorted(ready, key=lambda unit: self._rank(unit, now_s)):
            workers = (self._place(unit, round_state) or
                       self._place_elsewhere(unit, round_state))
            if workers:
                self._start(unit, workers, round_state)
            elif unit.key in self._holds:
                round_state.allocate(unit, self._holds[unit.key].workers)
            elif now_s >= unit.reclaim_s:
                self._make_room(unit, round_state)
        return round_state.plan

    def list_held_room(self) -> HeldRoom:
        """Returns what is kept since the last round."""
        return HeldRoom(self._headroom_workers, {
            key: hold.workers for key, hold in self._holds.items()
        }, self._gang_reservations.list_workers())

    def _start(self, unit: units.Unit, workers: Sequence[str],
               round_state: "_RoundState") -> None:
        """Adds the start of a unit, or of a part of it, to the plan."""
        round_state.plan.starts.append(units.Start(unit, tuple(workers)))
        round_state.allocate(unit, workers)
        _allocate_withheld(round_state.withheld, unit, workers)
        self._holds.pop(unit.key, None)
        self._gang_reservations.drop(unit.key)
        if unit.step.long_running and len(workers) < len(unit.indexes):
            # The tasks that are left have waited as long. Otherwise the last of
            # many would wait again for each one that finds room before it.
            return
        for unit_patience in self._patiences:
            unit_patience.drop(unit.key)

    def _rank(self, unit: units.Unit, now_s: float) -> tuple[float, ...]:
        """Returns the sort key of a unit; lower keys are placed first.

        Urgent units come before units with a gang reservation, so they may use
        the reserved workers.
        """
        is_bulk = unit.priority > 0
        hold = self._holds.get(unit.key)
        return (hold is None or
                not hold.preempted, not unit.guaranteed, is_bulk, unit.key
                not in self._gang_reservations, *self._order.rank(unit, now_s))

    def _drop_stale_holds(self, ready: Sequence[units.Unit],
                          candidates: dict[str, placement.Candidate],
                          resting: Container[str], now_s: float,
                          deferred: Container[str]) -> None:
        """Drops holds and reservations of units or workers that are gone."""
        waiting = _Keys(units={unit.key for unit in ready}, jobs=deferred)
        self._gang_reservations.retain(waiting)
        idle = _Keys(units={unit.key for unit in ready if unit.idle},
                     jobs=deferred)
        for unit_patience in self._patiences:
            unit_patience.retain(idle)
        for searches in (self._next_search_s, self._next_search_elsewhere_s):
            for key in [key for key in searches if key not in waiting]:
                del searches[key]
        for key, hold in list(self._holds.items()):
            if (key not in waiting or hold.until_s <= now_s or
                    any(worker not in candidates and worker not in resting
                        for worker in hold.workers)):
                del self._holds[key]

    def _place(self, unit: units.Unit, round_state: "_RoundState") -> list[str]:
        """Places a unit, first on the workers held for it if there are any.

        If workers are held for a part of it, only that part is placed.

        Returns:
            The worker of each placed task; empty if the unit does not fit.
        """
        request = units.build_placement_request(unit)
        hold = self._holds.get(unit.key)
        if hold is not None and not unit.step.gang:
            request = request._replace(
                tasks=min(request.tasks, len(hold.workers)))
        if not round_state.may_fit(request):
            return []
        if hold is None:
            return self._place_anywhere(unit, request,
                                        list(round_state.candidates.values()))
        held_candidates = [
            round_state.candidates[worker]
            for worker in sorted(set(hold.workers))
            if worker in round_state.candidates
        ]
        placed = placement.place(request, held_candidates, spread=True)
        if (len(placed) < request.tasks and
                round_state.now_s >= hold.overdue_s):
            # Stops get no reply, and there may be enough room elsewhere by now.
            placed = self._place_anywhere(unit, request,
                                          list(round_state.candidates.values()))
        return placed if len(placed) == request.tasks else []

    def _place_elsewhere(self, unit: units.Unit,
                         round_state: "_RoundState") -> list[str]:
        """Places a unit without regard to what it prefers.

        Only a unit of a job of which nothing runs, or of long-running tasks, is
        placed so, once it has waited for long enough beside the room. It leaves
        its preferred rack before it uses a worker that is withheld or room that
        is held.

        Returns:
            The worker of each placed task; empty if the unit has to wait.
        """
        if not unit.idle or unit.key in self._holds:
            return []
        request = units.build_placement_request(unit)
        placed = self._place_off_rack(unit, request, round_state)
        if placed or round_state.now_s < self._next_search_elsewhere_s.get(
                unit.key, 0.0):
            return placed
        self._next_search_elsewhere_s[unit.key] = (round_state.now_s +
                                                   SEARCH_ELSEWHERE_INTERVAL_S)
        return (self._place_on_withheld(unit, request, round_state) or
                self._place_in_held_room(unit, request, round_state))

    def _place_off_rack(self, unit: units.Unit,
                        request: placement.PlacementRequest,
                        round_state: "_RoundState") -> list[str]:
        """Places a unit outside the rack that it prefers.

        Work that is spread or far from its data takes several times as long, so
        that it needs ample room.
        """
        if (not (unit.step.data_rack or unit.step.one_rack) or
                not round_state.may_fit(request)):
            return []
        candidates = list(round_state.candidates.values())
        if not self._place_anywhere(
                unit, _build_ample_request(request), candidates, spread=True):
            self._rack_patience.drop(unit.key)
            return []
        waited_s = self._rack_patience.measure(unit.key, round_state.now_s)
        if waited_s < patience.PREFERENCE_S:
            return []
        return self._place_anywhere(unit, request, candidates, spread=True)

    def _place_on_withheld(self, unit: units.Unit,
                           request: placement.PlacementRequest,
                           round_state: "_RoundState") -> list[str]:
        """Places a unit that fits nowhere else on workers that are withheld."""
        withheld = list(round_state.withheld.values())
        candidates = []
        if request.all_or_nothing:
            candidates = list(round_state.candidates.values())
        if not withheld or not self._place_anywhere(
                unit,
                request._replace(avoid_failing=False), [*candidates, *withheld],
                spread=True):
            self._withheld_patience.drop(unit.key)
            return []
        waited_s = self._withheld_patience.measure(unit.key, round_state.now_s)
        if waited_s < patience.WITHHELD_S or unit.retry:
            return []
        open_workers = [
            candidate for candidate in withheld
            if candidate.withheld is not placement.Access.CLOSED
        ]
        return self._place_anywhere(unit,
                                    request, [*candidates, *open_workers],
                                    spread=True)

    def _place_in_held_room(self, unit: units.Unit,
                            request: placement.PlacementRequest,
                            round_state: "_RoundState") -> list[str]:
        """Places a unit in room that is kept for other work, if it is ample."""
        is_kept = self._gang_reservations or (self._headroom_workers and
                                              unit.priority > 0)
        unblocked = round_state.list_unblocked() if is_kept else []
        if not placement.place(
                _build_ample_request(request), unblocked, spread=True):
            self._held_patience.drop(unit.key)
            return []
        waited_s = self._held_patience.measure(unit.key, round_state.now_s)
        if waited_s < patience.HELD_ROOM_S:
            return []
        return placement.place(request, unblocked, spread=True)

    def _place_anywhere(self,
                        unit: units.Unit,
                        request: placement.PlacementRequest,
                        candidates: list[placement.Candidate],
                        spread: bool = False) -> list[str]:
        """Places a unit that has no hold.

        Bulk units avoid the headroom workers; urgent units try these first.
        """
        if not self._headroom_workers:
            return placement.place(request, candidates, spread=spread)
        if unit.priority > 0:
            others = headroom.exclude_headroom(request, candidates,
                                               self._headroom_workers)
            return placement.place(request, others, spread=spread)
        headroom_candidates = [
            candidate for candidate in candidates
            if candidate.worker_id in self._headroom_workers
        ]
        placed = placement.place(request, headroom_candidates, spread=False)
        if len(placed) == request.tasks:
            return placed
        return placement.place(request, candidates, spread=spread)

    def _is_search_futile(self, unit: units.Unit,
                          round_state: "_RoundState") -> bool:
        """Returns whether a search for preemption is not worth its time."""
        if round_state.now_s < self._next_search_s.get(unit.key, 0.0):
            return True
        # Units of the least urgent queue could only wait for room that others
        # free.
        return (unit.priority > 0 and unit.priority == self._lowest_priority and
                len(round_state.candidates) > WORKERS_SEARCHED_IN_EACH_ROUND)

    def _make_room(self, unit: units.Unit, round_state: "_RoundState") -> None:
        """Preempts tasks for a unit, or blocks the workers reserved for it."""
        reserved_workers = self._gang_reservations.choose_workers(
            unit, round_state.candidates, round_state.now_s)
        reserved_candidates = [
            round_state.candidates[name] for name in reserved_workers
        ]
        if self._is_search_futile(unit, round_state):
            gang_reservations.block_room(unit, reserved_candidates)
            return
        if not unit.guaranteed:
            if not reserved_workers and not round_state.may_preempt(unit):
                return
            round_state.considered_units += 1
        candidates = reserved_candidates or list(
            round_state.candidates.values())
        spread = round_state.now_s >= unit.reclaim_s + patience.PREFERENCE_S
        preemption = reclaim.choose_preemption(unit, candidates,
                                               round_state.running, spread)
        if preemption is None and unit.guaranteed:
            preemption = reclaim.choose_last_resort(unit, candidates,
                                                    round_state.running, spread)
        if preemption is not None and (unit.guaranteed or reclaim.is_worthwhile(
                unit, preemption.victims, round_state.now_s)):
            self._preempt(unit, preemption, round_state)
            return
        if unit.guaranteed and not unit.step.gang:
            self._start_part(unit, round_state)
            return
        if unit.priority > 0:
            further_workers = max(
                0,
                len(round_state.candidates) - WORKERS_SEARCHED_IN_EACH_ROUND)
            self._next_search_s[unit.key] = (
                round_state.now_s + FUTILE_SEARCH_DELAY_S * further_workers)
        gang_reservations.block_room(unit, reserved_candidates)

    def _preempt(self, unit: units.Unit, preemption: reclaim.Preemption,
                 round_state: "_RoundState") -> None:
        """Adds stops to the plan and holds what they free for a unit."""
        round_state.mark_stopping(preemption.victims)
        self._holds[unit.key] = CapacityHold(workers=tuple(preemption.workers),
                                             overdue_s=round_state.now_s +
                                             STOP_S,
                                             until_s=round_state.now_s + HOLD_S,
                                             preempted=bool(preemption.victims))
        round_state.allocate(unit, preemption.workers)

    def _start_part(self, unit: units.Unit, round_state: "_RoundState") -> None:
        """Starts, or makes room for, as many tasks of a unit as possible.

        The unit is covered by a guarantee, but not all of its tasks fit at
        once, not even after preemption: workers may have been lost, or its
        limit for each worker, its memory or other urgent work leaves too few
        places. Waiting for all places at once could last for ever.
        """
        request = units.build_placement_request(unit)._replace(
            all_or_nothing=False)
        candidates = list(round_state.candidates.values())
        workers = self._place_anywhere(unit, request, candidates)
        if workers:
            self._start(unit, workers, round_state)
            return
        preemption = reclaim.choose_partial_preemption(unit, candidates,
                                                       round_state.running)
        if preemption is not None:
            self._preempt(unit, preemption, round_state)


class _RoundState:
    """State of the round that is being planned.

    Attributes:
        candidates: Workers that may be used, with what is still free, by id.
        withheld: Workers that are withheld, likewise.
        now_s: Current time in seconds.
        plan: Decisions so far.
        considered_units: Units without a guarantee for which preemption or
            reserved workers were considered.
    """

    def __init__(self, *, candidates: dict[str, placement.Candidate],
                 withheld: dict[str, placement.Candidate],
                 list_running: Callable[[],
                                        reclaim.RunningTasks], now_s: float):
        self.candidates = candidates
        self.withheld = withheld
        self._list_running = list_running
        self.now_s = now_s
        self.plan = units.Plan([], [])
        self.considered_units = 0
        self._unblocked: list[placement.Candidate] = []
        self._task_limits: dict[int, int] = {}

    def may_fit(self, request: placement.PlacementRequest) -> bool:
        """Returns whether the free accelerators could hold a request.

        In a full fleet most waiting units fail here, without a look at each
        worker. Free resources only shrink in a round, so the number of tasks
        that fitted at its start remains an upper limit.
        """
        accelerators = request.step.demand.accelerators
        if not accelerators:
            return True
        limit = self._task_limits.get(accelerators)
        if limit is None:
            limit = sum([
                max(0, candidate.room.accelerators) // accelerators
                for candidate in self.candidates.values()
            ])
            self._task_limits[accelerators] = limit
        return limit >= (request.tasks if request.all_or_nothing else 1)

    def list_unblocked(self) -> list[placement.Candidate]:
        """Returns the candidates with the room that is kept for gangs."""
        if not self._unblocked:
            self._unblocked = [
                candidate.create_unblocked()
                for candidate in self.candidates.values()
            ]
        return self._unblocked

    def allocate(self, unit: units.Unit, workers: Sequence[str]) -> None:
        """Subtracts what a unit uses."""
        _allocate(self.candidates, unit, workers)
        self._unblocked = []

    @functools.cached_property
    def running(self) -> reclaim.RunningTasks:
        """Tasks that are being stopped or may be preempted."""
        return self._list_running()

    def may_preempt(self, unit: units.Unit) -> bool:
        """Returns whether preemption may be considered for a unit.

        The unit must be able to end within its objective if it starts now.
        """
        return (self.considered_units < MAX_UNGUARANTEED_PREEMPTIONS and
                self.now_s + unit.remaining_s <= unit.objective_s)

    def mark_stopping(self, victims: Sequence[units.Victim]) -> None:
        """Adds victims to the plan and to the tasks that are ending."""
        self.plan.stops.extend(victims)
        self.running.mark_stopping(victims)


def _allocate(candidates: dict[str, placement.Candidate], unit: units.Unit,
              workers: Sequence[str]) -> None:
    """Subtracts what a unit uses; held workers may be absent for a moment."""
    for worker_id in workers:
        candidate = candidates.get(worker_id)
        if candidate is not None:
            candidate.room = candidate.room.minus(unit.step.occupied)
            candidate.free_runs -= 1
            if unit.avoided_images:
                candidate.images |= {unit.step.image}


def _build_ample_request(
        request: placement.PlacementRequest) -> placement.PlacementRequest:
    """Returns a request for twice the room of a unit.

    A unit whose tasks are placed one by one needs room for two of them.
    """
    tasks = 2 * (request.tasks if request.all_or_nothing else 1)
    return request._replace(tasks=tasks, all_or_nothing=True)


def _allocate_withheld(withheld: dict[str, placement.Candidate],
                       unit: units.Unit, workers: Sequence[str]) -> None:
    """Subtracts what a unit uses, and closes workers that only it may try."""
    _allocate(withheld, unit, workers)
    for worker_id in workers:
        candidate = withheld.get(worker_id)
        if (candidate is not None and
                candidate.withheld is placement.Access.ONE):
            candidate.withheld = placement.Access.CLOSED
