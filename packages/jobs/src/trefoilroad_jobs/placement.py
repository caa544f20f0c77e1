"""Places the tasks of one step on workers."""

import collections
from collections.abc import Sequence
import enum
import math
from typing import NamedTuple

from trefoilroad_jobs import workload

Demand = workload.Demand

NO_DEMAND = workload.Demand(0, 0, 0)

# Part of the workers at hand, and one at least, that stay whole rather than
# being broken to keep images apart. A task that needs a whole worker waits for
# a run time or more if there is none, while images that share a worker lose a
# quarter of their time or somewhat more.
WHOLE_WORKERS_KEPT = 1 / 8

# Count that stands for "any number" of tasks without demand on one worker.
UNLIMITED_TASKS = 1_000
# Most runs on a worker, however little they need. Each takes memory of the
# leader and a line in each report. A worker has 64 cores, so that only tasks of
# less than a sixtieth of a core are held up.
MAX_RUNS_PER_WORKER = 4_000


class Access(enum.Enum):
    """How many units may start on a worker that is withheld.

    Such a worker is used only by work that has waited for others.
    """

    CLOSED = "closed"  # A trial is under way, or one has failed just now.
    ONE = "one"
    OPEN = "open"


class Candidate:
    """A worker that may be used in a round.

    Attributes:
        worker_id: Id of the worker.
        rack: Rack of the worker.
        labels: Labels of the worker.
        room: Free resources.
        capacity: Total resources.
        failing: Whether runs have failed there recently.
        speed_class: Class of its speed: 0 is usual, higher ones are slower.
        withheld: How it may be used if it is withheld, else None.
        images: Images of its runs; empty if no images disturb each other.
        free_runs: How many more runs it may get, whatever they need.
        blocked: Free resources that are not part of `room`, as they are kept
            for a gang.
    """

    __slots__ = ("blocked", "capacity", "failing", "free_runs", "images",
                 "labels", "rack", "room", "speed_class", "withheld",
                 "worker_id")

    def __init__(self,
                 *,
                 worker_id: str,
                 rack: str,
                 labels: frozenset[str],
                 room: Demand,
                 capacity: Demand,
                 failing: bool = False,
                 speed_class: int = 0,
                 withheld: Access | None = None,
                 images: frozenset[str] = frozenset(),
                 free_runs: int = MAX_RUNS_PER_WORKER):
        self.worker_id = worker_id
        self.rack = rack
        self.labels = labels
        self.room = room
        self.capacity = capacity
        self.failing = failing
        self.speed_class = speed_class
        self.withheld = withheld
        self.images = images
        self.free_runs = free_runs
        self.blocked: Demand = NO_DEMAND

    def block(self, demand: Demand) -> None:
        """Keeps resources for a gang."""
        self.room = self.room.minus(demand)
        self.blocked = self.blocked.plus(demand)

    def create_unblocked(self) -> "Candidate":
        """Returns the same worker with nothing kept for gangs."""
        return Candidate(worker_id=self.worker_id,
                         rack=self.rack,
                         labels=self.labels,
                         room=self.room.plus(self.blocked),
                         capacity=self.capacity,
                         failing=self.failing,
                         speed_class=self.speed_class,
                         withheld=self.withheld,
                         images=self.images,
                         free_runs=self.free_runs)


class PlacementRequest(NamedTuple):
    """Tasks of one step that are to be placed.

    Attributes:
        step: The step.
        tasks: Number of tasks to place.
        all_or_nothing: Whether either all tasks are placed or none.
        used_by_worker: Number of tasks of the step that each worker already
            runs, if the step limits their number; else empty.
        avoid_failing: Whether workers with recent failures are excluded.
        max_speed_class: Slowest class of workers on which the tasks end in
            time.
        prefers_fast: Whether faster workers come first.
        avoided_images: Images whose workers come last, as they disturb the
            step or are disturbed by it.
    """

    step: workload.Step
    tasks: int
    all_or_nothing: bool
    used_by_worker: dict[str, int]
    avoid_failing: bool = False
    max_speed_class: int = 0
    prefers_fast: bool = False
    avoided_images: frozenset[str] = frozenset()

    def allows(self, candidate: Candidate) -> bool:
        """Returns whether a worker may be used, apart from free resources."""
        if self.avoid_failing and candidate.failing:
            return False
        return not self.step.label or self.step.label in candidate.labels

    def rank_speed(self, speed_class: int) -> tuple[bool, int]:
        """Returns the rank of workers of a class; lower ones come first.

        The slowest workers on which the tasks end in time come first, so that
        faster ones stay free for work with less time to spare. If none is left,
        the faster the better.
        """
        if self.prefers_fast or speed_class > self.max_speed_class:
            return (True, speed_class)
        return (False, -speed_class)


def count_fitting(demand: Demand, room: Demand) -> int:
    """Returns how many tasks of a demand fit into free resources."""
    # Kept to plain comparisons: a round with 176 workers calls this 10,000
    # times.
    count = UNLIMITED_TASKS
    if demand.accelerators:
        count = room.accelerators // demand.accelerators
        if count <= 0:
            return 0
    if demand.milli_cores:
        count = min(count, room.milli_cores // demand.milli_cores)
    if demand.memory_mb:
        count = min(count, room.memory_mb // demand.memory_mb)
    return max(0, count)


def _count_on_candidate(request: PlacementRequest, candidate: Candidate,
                        room: Demand) -> int:
    if not request.allows(candidate):
        return 0
    count = count_fitting(request.step.occupied, room)
    if request.step.max_per_worker:
        limit = request.step.max_per_worker - request.used_by_worker.get(
            candidate.worker_id, 0)
        count = min(count, max(0, limit))
    return count


def pack(request: PlacementRequest,
         candidates: Sequence[Candidate]) -> list[str]:
    """Places tasks on the workers with the least free resources first.

    Best fit keeps whole workers free for tasks that need one. It applies among
    workers of one speed. Workers that run an image to be avoided come last.

    Returns:
        The worker of each task that could be placed.
    """
    fitting = [(candidate, count) for candidate in candidates if (count := min(
        candidate.free_runs,
        _count_on_candidate(request, candidate, candidate.room))) > 0]
    fitting.sort(key=lambda entry:
                 (request.rank_speed(entry[0].speed_class), entry[0].room.
                  accelerators, entry[0].room.milli_cores, entry[0].worker_id))
    if request.avoided_images:
        fitting = _put_disturbing_last(request, fitting, len(candidates))
    placed: list[str] = []
    for candidate, count in fitting:
        placed += [candidate.worker_id] * min(count,
                                              request.tasks - len(placed))
        if len(placed) == request.tasks:
            break
    return placed


def _put_disturbing_last(request: PlacementRequest,
                         fitting: list[tuple[Candidate, int]],
                         worker_count: int) -> list[tuple[Candidate, int]]:
    """Moves workers that run an avoided image behind others.

    The last whole workers come even after these, unless the task needs a whole
    one. The order inside the groups stays, and workers on which the tasks are
    late stay behind all others.
    """
    in_time = [
        entry for entry in fitting
        if entry[0].speed_class <= request.max_speed_class
    ]
    late = [
        entry for entry in fitting
        if entry[0].speed_class > request.max_speed_class
    ]
    return [
        *_separate_disturbing(request, in_time, worker_count),
        *_separate_disturbing(request, late, worker_count)
    ]


def _separate_disturbing(request: PlacementRequest,
                         fitting: list[tuple[Candidate, int]],
                         worker_count: int) -> list[tuple[Candidate, int]]:
    others: list[tuple[Candidate, int]] = []
    disturbing: list[tuple[Candidate, int]] = []
    whole: list[tuple[Candidate, int]] = []
    for entry in fitting:
        candidate = entry[0]
        if not request.avoided_images.isdisjoint(candidate.images):
            disturbing.append(entry)
        elif (request.step.demand.accelerators < candidate.capacity.accelerators
              == candidate.room.accelerators):
            whole.append(entry)
        else:
            others.append(entry)
    kept = max(1, math.ceil(worker_count * WHOLE_WORKERS_KEPT))
    spare = max(0, len(whole) - kept)
    return others + whole[:spare] + disturbing + whole[spare:]


def fits_when_idle(request: PlacementRequest,
                   candidates: Sequence[Candidate]) -> bool:
    """Returns whether all tasks would fit if the workers were idle."""
    total = 0
    for candidate in candidates:
        total += _count_on_candidate(request, candidate, candidate.capacity)
        if total >= request.tasks:
            return True
    return False


def group_by_rack(
        candidates: Sequence[Candidate]) -> dict[str, list[Candidate]]:
    """Groups workers by rack."""
    racks: dict[str, list[Candidate]] = collections.defaultdict(list)
    for candidate in candidates:
        racks[candidate.rack].append(candidate)
    return racks


def place(request: PlacementRequest, candidates: Sequence[Candidate], *,
          spread: bool) -> list[str]:
    """Places the tasks of a request.

    A step that prefers one rack gets the rack that fits it most tightly. Tasks
    with data in a rack are placed in that rack first.

    Args:
        request: Tasks to place.
        candidates: Workers that may be used.
        spread: Whether a step that prefers one rack, or the rack of its data,
            may use others even if that rack could hold it when idle.

    Returns:
        The worker of each placed task; empty if an all-or-nothing request does
        not fit.
    """
    step = request.step
    if request.all_or_nothing and not _has_room(request, candidates):
        return []
    if step.one_rack and request.tasks > 1:
        racks = group_by_rack(candidates)
        placed = _place_in_one_rack(request, list(racks.values()))
        if placed:
            return placed
        if not spread and any(
                fits_when_idle(request, rack) for rack in racks.values()):
            return []
    if step.data_rack:
        data_rack_candidates = [
            candidate for candidate in candidates
            if candidate.rack == step.data_rack
        ]
        placed = pack(request, data_rack_candidates)
        if len(placed) == request.tasks:
            return placed
        if not spread and fits_when_idle(request, data_rack_candidates):
            return [] if request.all_or_nothing else placed
    placed = pack(request, candidates)
    if request.all_or_nothing and len(placed) < request.tasks:
        return []
    return placed


def _count_free(candidates: Sequence[Candidate]) -> int:
    """Returns the number of free accelerators.

    Room that is blocked for another unit while tasks still run there is
    negative, and takes nothing from the other workers.
    """
    return sum(
        [max(0, candidate.room.accelerators) for candidate in candidates])


def _has_room(request: PlacementRequest,
              candidates: Sequence[Candidate]) -> bool:
    """Returns whether the workers together have enough accelerators."""
    return _count_free(
        candidates) >= request.step.demand.accelerators * request.tasks


def _place_in_one_rack(request: PlacementRequest,
                       racks: Sequence[Sequence[Candidate]]) -> list[str]:
    """Places all tasks in one rack, the one with the fewest accelerators free.

    The rack of the step's data takes precedence, then one with workers of a
    suitable speed. The slowest worker sets the pace of a gang.
    """
    best: list[str] = []
    best_key: tuple[bool, tuple[bool, int], int] | None = None
    for rack in racks:
        if not _has_room(request, rack):
            continue
        placed = pack(request, rack)
        if len(placed) < request.tasks:
            continue
        free = _count_free(rack)
        used = set(placed)
        slowest = max([
            candidate.speed_class
            for candidate in rack
            if candidate.worker_id in used
        ])
        key = (rack[0].rack
               != request.step.data_rack, request.rank_speed(slowest), free)
        if best_key is None or key < best_key:
            best, best_key = placed, key
    return best
