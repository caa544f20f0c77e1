"""Reserves workers for bulk gangs.

Gangs that are urgent or covered by a guarantee preempt tasks instead. Without a
reservation, small tasks take all resources as these become free, and a gang
that needs several whole workers waits for ever. The planner decides on these
reservations, while a worker that is about to leave the fleet drains on its own.
"""

from collections.abc import Container
from collections.abc import Mapping
from collections.abc import Sequence

from trefoilroad_jobs import placement
from trefoilroad_jobs import units

# A reservation starts this long before the latest start that lets the gang end
# in time; most tasks end within this time.
RESERVATION_LEAD_S = 6.0
# A reservation continues this long after the latest start, as run times are
# only estimates.
RESERVATION_GRACE_S = 3.0
# Number of workers in the service for each reservation that may exist at the
# same time.
FLEET_WORKERS_PER_RESERVATION = 12


class GangReservations:
    """The workers that are reserved for each unit."""

    def __init__(self) -> None:
        self._workers: dict[units.UnitKey, tuple[str, ...]] = {}

    def __contains__(self, key: units.UnitKey) -> bool:
        return key in self._workers

    def __len__(self) -> int:
        return len(self._workers)

    def retain(self, keys: Container[units.UnitKey]) -> None:
        """Drops the reservations of all units except the given ones."""
        for key in list(self._workers):
            if key not in keys:
                del self._workers[key]

    def release_workers(self, workers: Container[str]) -> None:
        """Drops the reservations that include one of some workers."""
        for key, reserved in list(self._workers.items()):
            if any(worker in workers for worker in reserved):
                del self._workers[key]

    def drop(self, key: units.UnitKey) -> None:
        """Drops the reservation of a unit, if it has one."""
        self._workers.pop(key, None)

    def list_workers(self) -> dict[units.UnitKey, tuple[str, ...]]:
        """Returns the ids of the reserved workers, by unit."""
        return dict(self._workers)

    def choose_workers(self, unit: units.Unit,
                       candidates: Mapping[str, placement.Candidate],
                       now_s: float) -> tuple[str, ...]:
        """Returns the workers to reserve for a unit.

        Starts or ends the reservation of the unit.

        Args:
            unit: A unit that cannot start now.
            candidates: Workers that may be used, by id.
            now_s: Current time in seconds.

        Returns:
            Ids of the workers; empty if the unit has no reservation.
        """
        if (unit.guaranteed or unit.priority == 0 or not unit.step.gang or
                not _is_reservation_due(unit, now_s)):
            self.drop(unit.key)
            return ()
        chosen = self._workers.get(unit.key, ())
        if chosen and all(name in candidates for name in chosen):
            return chosen
        if not chosen and len(
                self._workers
        ) >= len(candidates) // FLEET_WORKERS_PER_RESERVATION:
            return ()
        reserved = {name for other in self._workers.values() for name in other}
        unreserved = [
            candidate for name, candidate in candidates.items()
            if name not in reserved
        ]
        chosen = _choose_workers_to_reserve(units.build_placement_request(unit),
                                            unreserved)
        self.drop(unit.key)
        if chosen:
            self._workers[unit.key] = chosen
        return chosen


def _is_reservation_due(unit: units.Unit, now_s: float) -> bool:
    """Returns whether a unit is near its latest start, or late.

    The latest start lets the job end within its objective. A late gang keeps
    its reservation until its job has no more worth: a gang of dozens of tasks
    would otherwise not find room again in a full fleet.
    """
    latest_s = unit.objective_s - unit.remaining_s
    allowed_s = unit.objective_s - unit.accepted_s
    last_s = (unit.accepted_s + units.MAX_LATENESS_FACTOR * allowed_s -
              unit.remaining_s)
    return (latest_s - RESERVATION_LEAD_S <= now_s <=
            max(latest_s, last_s) + RESERVATION_GRACE_S)


def _choose_workers_to_reserve(
        request: placement.PlacementRequest,
        candidates: Sequence[placement.Candidate]) -> tuple[str, ...]:
    """Chooses the workers with the most free accelerators.

    Adds workers until they hold all tasks of the request when idle; stays in
    one rack if the step prefers that and a rack is large enough.
    """
    groups = list(placement.group_by_rack(candidates).values())
    groups = [
        group for group in groups if placement.fits_when_idle(request, group)
    ]
    if not request.step.one_rack or not groups:
        groups = [list(candidates)]
    best: tuple[str, ...] = ()
    best_free_accelerators = -1
    for group in groups:
        ranked = sorted(group,
                        key=lambda candidate: -candidate.room.accelerators)
        chosen: list[placement.Candidate] = []
        for candidate in ranked:
            if placement.fits_when_idle(request, chosen):
                break
            chosen.append(candidate)
        free_accelerators = sum(
            candidate.room.accelerators for candidate in chosen)
        if placement.fits_when_idle(
                request, chosen) and free_accelerators > best_free_accelerators:
            best = tuple(candidate.worker_id for candidate in chosen)
            best_free_accelerators = free_accelerators
    return best


def block_room(unit: units.Unit,
               candidates: Sequence[placement.Candidate]) -> None:
    """Keeps what a unit will need, so that later units do not use it."""
    remaining_tasks = len(unit.indexes)
    for candidate in candidates:
        count = min(
            remaining_tasks,
            placement.count_fitting(unit.step.occupied, candidate.capacity))
        remaining_tasks -= count
        for _ in range(count):
            candidate.block(unit.step.occupied)
