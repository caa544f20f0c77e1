"""Tracks free capacity of a fleet and chooses workers for gangs."""

import abc
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import request

ACCELERATORS, CORES, MEMORY, SLOTS, CONNECTIONS = range(5)
RESOURCES = ("accelerators", "cores", "memory_gb", "slots", "connections")

MAX_CHANGE_LOG_LENGTH = 4096
"""Length at which the change log of a FreeCapacity is shortened."""


def get_task_demand(shape: request.Shape) -> tuple[int, int, int, int, int]:
    """Returns the amounts that one task uses, in the order of RESOURCES."""
    return (shape.accelerators, shape.cores, shape.memory_gb, 1, 1)


class Layout:
    """Immutable index of a fleet's workers and racks by position.

    Attributes:
        worker_ids: Worker id by position.
        index: Position by worker id.
        rack_ids: Rack id by rack number.
        racks: Positions of the workers of each rack.
        rack_of: Rack number by position of the worker.
        amounts: Total amounts of each worker, in the order of RESOURCES.
    """

    def __init__(self, *, fleet: fleet_module.Fleet):
        self.worker_ids = list(fleet.workers)
        self.index = {name: i for i, name in enumerate(self.worker_ids)}
        self.rack_ids = list(fleet.racks)
        self.racks = [[self.index[name]
                       for name in members]
                      for members in fleet.racks.values()]
        self.rack_of = [0] * len(self.worker_ids)
        for rack, members in enumerate(self.racks):
            for position in members:
                self.rack_of[position] = rack
        self.amounts = [[
            worker.accelerators, worker.cores, worker.memory_gb, worker.slots,
            worker.connections
        ] for worker in fleet.workers.values()]

    def equals(self, other: "Layout") -> bool:
        """Tells whether two layouts have the same workers and racks."""
        return (self.worker_ids == other.worker_ids and
                self.amounts == other.amounts and self.rack_of == other.rack_of)


class _FitCounts:
    """How many tasks of one size fit each worker and rack.

    The counts are updated from the log of changed workers when they are read,
    so that a change costs nothing for task sizes that are not queried.

    Attributes:
        counts: Number of tasks by position of the worker.
        racks: Number of tasks by rack number.
        total: Number of tasks on all workers.
        position: Length of the change log up to which the counts are current.
    """

    __slots__ = ("counts", "position", "racks", "total")

    def __init__(self, counts: list[int], racks: list[int], total: int,
                 position: int):
        self.counts = counts
        self.racks = racks
        self.total = total
        self.position = position


class Savepoint(NamedTuple):
    """State of a FreeCapacity to which `restore` returns.

    Attributes:
        amounts: Free amounts of each worker, in the order of RESOURCES.
        position: Length of the change log.
    """

    amounts: list[list[int]]
    position: int


class FreeCapacity:
    """Resources that are free on each worker.

    Free amounts may become negative: capacity that is held for a request is
    allocated while its victims still use it, so what they free goes to the
    request first.

    Attributes:
        layout: Positions of the workers and racks.
        amounts: Free amounts of each worker, in the order of RESOURCES.
        usable: Whether each worker may get new tasks.
    """

    def __init__(self,
                 *,
                 fleet: fleet_module.Fleet | None = None,
                 layout: Layout | None = None,
                 excluded: Iterable[str] = ()):
        if layout is None:
            if fleet is None:
                raise ValueError("neither fleet nor layout")
            layout = Layout(fleet=fleet)
        self.layout = layout
        self.amounts = [
            worker_amounts.copy() for worker_amounts in layout.amounts
        ]
        self.usable = [True] * len(self.amounts)
        for name in excluded:
            if name in layout.index:
                self.usable[layout.index[name]] = False
        self._fit_counts: dict[tuple[int, int, int], _FitCounts] = {}
        self._change_log: list[int] = []

    def copy(self) -> "FreeCapacity":
        """Returns an independent copy."""
        clone = FreeCapacity.__new__(FreeCapacity)
        clone.layout = self.layout
        clone.amounts = [
            worker_amounts.copy() for worker_amounts in self.amounts
        ]
        clone.usable = self.usable.copy()
        clone._change_log = self._change_log.copy()
        clone._fit_counts = {
            key:
                _FitCounts(fit_counts.counts.copy(), fit_counts.racks.copy(),
                           fit_counts.total, fit_counts.position)
            for key, fit_counts in self._fit_counts.items()
        }
        return clone

    def save(self) -> Savepoint:
        """Returns a savepoint of the free amounts for `restore`."""
        self._trim_change_log()
        return Savepoint(
            [worker_amounts.copy() for worker_amounts in self.amounts],
            len(self._change_log))

    def restore(self, saved: Savepoint) -> None:
        """Undoes all changes since the savepoint, which must be the latest."""
        changed = set(self._change_log[saved.position:])
        for position in changed:
            self.amounts[position] = saved.amounts[position]
        self._change_log.extend(changed)

    def _trim_change_log(self) -> None:
        """Clears a long change log; drops fit counts that are seldom read."""
        if len(self._change_log) < MAX_CHANGE_LOG_LENGTH:
            return
        for key, fit_counts in list(self._fit_counts.items()):
            if fit_counts.position < len(
                    self._change_log) - MAX_CHANGE_LOG_LENGTH:
                del self._fit_counts[key]
            else:
                self._refresh(fit_counts, (*key, 1, 1))
                fit_counts.position = 0
        self._change_log = []

    def take(self, placement: Iterable[str], shape: request.Shape) -> None:
        """Allocates the resources of a gang.

        Args:
            placement: Worker of each task; unknown workers are ignored.
            shape: Resources of the gang.
        """
        self._add(placement, shape, -1)

    def release(self, placement: Iterable[str], shape: request.Shape) -> None:
        """Releases the resources of a gang, the inverse of `take`."""
        self._add(placement, shape, 1)

    def _add(self, placement: Iterable[str], shape: request.Shape,
             sign: int) -> None:
        accelerators = sign * shape.accelerators
        cores = sign * shape.cores
        memory = sign * shape.memory_gb
        index = self.layout.index
        for name in placement:
            position = index.get(name)
            if position is None:
                continue
            worker_amounts = self.amounts[position]
            worker_amounts[0] += accelerators
            worker_amounts[1] += cores
            worker_amounts[2] += memory
            worker_amounts[3] += sign
            worker_amounts[4] += sign
            self._change_log.append(position)

    def limit_workers(self, amounts: Mapping[str, Sequence[int]]) -> None:
        """Lowers the free amounts of workers to at most those given.

        Args:
            amounts: Amounts in the order of RESOURCES, by worker.
        """
        for name, worker_amounts in amounts.items():
            position = self.layout.index[name]
            self.amounts[position] = list(
                map(min, self.amounts[position], worker_amounts))
            self._change_log.append(position)

    def exclude(self, positions: Iterable[int]) -> None:
        """Excludes workers from all placements.

        Args:
            positions: Positions of the workers in the layout.
        """
        for position in positions:
            self.usable[position] = False
            self._change_log.append(position)

    def limit_to(self, other: "FreeCapacity") -> None:
        """Lowers all free amounts to at most those of another capacity."""
        for position, worker_amounts in enumerate(other.amounts):
            self.amounts[position] = list(
                map(min, self.amounts[position], worker_amounts))
        self._fit_counts = {}
        self._change_log = []

    def are_usable(self, names: Iterable[str]) -> bool:
        """Tells whether all workers exist and are not excluded."""
        index = self.layout.index
        return all(name in index and self.usable[index[name]] for name in names)

    def get_amounts(self, name: str) -> list[int]:
        """Returns the free amounts of a worker, in the order of RESOURCES."""
        return self.amounts[self.layout.index[name]]

    def can_take(self, placement: Iterable[str], shape: request.Shape) -> bool:
        """Tells whether a gang fits on exactly these workers."""
        tasks: dict[int, int] = {}
        for name in placement:
            position = self.layout.index.get(name)
            if position is None or not self.usable[position]:
                return False
            tasks[position] = tasks.get(position, 0) + 1
        demand = get_task_demand(shape)
        return all(
            self._count(position, demand) >= count
            for position, count in tasks.items())

    def _count(self, position: int, demand: Sequence[int]) -> int:
        return count_tasks(self.amounts[position],
                           demand) if self.usable[position] else 0

    def get_fit_counts(self, shape: request.Shape) -> _FitCounts:
        """Returns how many tasks of a shape fit each worker and rack.

        Args:
            shape: The shape; only the size of a task matters.

        Returns:
            The number of tasks: `counts` by worker, `racks` by rack and
            `total`. The object is valid until the capacity changes and must
            not be modified.
        """
        key = (shape.accelerators, shape.cores, shape.memory_gb)
        fit_counts = self._fit_counts.get(key)
        if fit_counts is None:
            fit_counts = self._build_fit_counts(get_task_demand(shape))
            self._fit_counts[key] = fit_counts
        elif fit_counts.position < len(self._change_log):
            self._refresh(fit_counts, get_task_demand(shape))
        return fit_counts

    def _build_fit_counts(self, demand: Sequence[int]) -> _FitCounts:
        counts = [0] * len(self.amounts)
        racks = [0] * len(self.layout.racks)
        rack_of = self.layout.rack_of
        # Fast path: most workers of a busy fleet have no capacity left.
        # Without demand for a resource, -inf accepts amounts that held capacity
        # has made negative.
        accelerators = demand[ACCELERATORS] or -math.inf
        cores = demand[CORES] or -math.inf
        for position, worker_amounts in enumerate(self.amounts):
            if worker_amounts[0] < accelerators or worker_amounts[
                    1] < cores or worker_amounts[3] < 1:
                continue
            count = self._count(position, demand)
            counts[position] = count
            racks[rack_of[position]] += count
        return _FitCounts(counts, racks, sum(racks), len(self._change_log))

    def _refresh(self, fit_counts: _FitCounts, demand: Sequence[int]) -> None:
        for position in set(self._change_log[fit_counts.position:]):
            count = self._count(position, demand)
            change = count - fit_counts.counts[position]
            if change:
                fit_counts.counts[position] = count
                fit_counts.racks[self.layout.rack_of[position]] += change
                fit_counts.total += change
        fit_counts.position = len(self._change_log)

    def can_place(self, shape: request.Shape) -> bool:
        """Tells whether a gang of a shape fits anywhere."""
        fit_counts = self.get_fit_counts(shape)
        if shape.adjacent == "rack":
            return max(fit_counts.racks, default=0) >= shape.tasks
        return fit_counts.total >= shape.tasks


def count_tasks(worker_amounts: Sequence[int], demand: Sequence[int]) -> int:
    """Counts the tasks that fit the free amounts of one worker.

    Args:
        worker_amounts: Free amounts in the order of RESOURCES.
        demand: Amounts that one task uses, in the same order.

    Returns:
        The number of tasks, 0 where an amount is negative.
    """
    accelerators, cores, memory, count, connections = worker_amounts
    if connections < count:
        count = connections
    if demand[0] and accelerators < count * demand[0]:
        count = accelerators // demand[0]
    if demand[1] and cores < count * demand[1]:
        count = cores // demand[1]
    if demand[2] and memory < count * demand[2]:
        count = memory // demand[2]
    return count if count > 0 else 0


class Placer(abc.ABC):
    """Chooses workers for a gang."""

    def place(self, capacity: FreeCapacity,
              shape: request.Shape) -> tuple[str, ...] | None:
        """Finds a placement; the capacity is not changed.

        Args:
            capacity: Free capacity.
            shape: Resources of the gang.

        Returns:
            The worker of each task, or None if the gang does not fit.
        """
        if not capacity.can_place(shape):
            return None
        fit_counts = capacity.get_fit_counts(shape)
        ids = capacity.layout.worker_ids
        placement: list[str] = []
        for position in self.rank_workers(capacity, fit_counts, shape):
            count = min(fit_counts.counts[position],
                        shape.tasks - len(placement))
            placement.extend([ids[position]] * count)
            if len(placement) == shape.tasks:
                return tuple(placement)
        return None

    @abc.abstractmethod
    def rank_workers(self, capacity: FreeCapacity, fit_counts: _FitCounts,
                     shape: request.Shape) -> Iterator[int]:
        """Yields the positions of workers in the order to fill them.

        Args:
            capacity: Free capacity.
            fit_counts: How many tasks fit each worker and rack; enough in
                total.
            shape: Resources of the gang.

        Yields:
            Positions in the layout, within one rack if the shape asks for it.
        """


class FirstFit(Placer):
    """Fills workers, or the first rack that fits, in the order of names."""

    def rank_workers(self, capacity: FreeCapacity, fit_counts: _FitCounts,
                     shape: request.Shape) -> Iterator[int]:
        """Yields positions in the order of names; see Placer.rank_workers."""
        if shape.adjacent != "rack":
            yield from range(len(fit_counts.counts))
            return
        for rack, members in enumerate(capacity.layout.racks):
            if fit_counts.racks[rack] >= shape.tasks:
                yield from members
                return


class BestFit(Placer):
    """Fills the workers with the fewest free accelerators first."""

    def rank_workers(self, capacity: FreeCapacity, fit_counts: _FitCounts,
                     shape: request.Shape) -> Iterator[int]:
        """Yields the fullest workers first; see Placer.rank_workers."""
        if shape.adjacent == "rack":
            racks = [(fits, rack)
                     for rack, fits in enumerate(fit_counts.racks)
                     if fits >= shape.tasks]
            yield from sort_workers(capacity, fit_counts,
                                    capacity.layout.racks[min(racks)[1]])
        else:
            yield from sort_workers(capacity, fit_counts,
                                    range(len(fit_counts.counts)))


class RackPack(Placer):
    """Fills the fullest rack that fits, and in it the fullest workers.

    A gang that needs no adjacency is also kept in one rack where it fits.
    Otherwise it fills the fullest racks first, so that empty racks stay free
    for large adjacent gangs.
    """

    def rank_workers(self, capacity: FreeCapacity, fit_counts: _FitCounts,
                     shape: request.Shape) -> Iterator[int]:
        """Yields the fullest fitting rack first; see Placer.rank_workers."""
        racks = [
            rack for rack, fits in enumerate(fit_counts.racks)
            if fits >= shape.tasks
        ]
        if racks:
            best = min(
                racks,
                key=lambda rack: _get_free_capacity(capacity, fit_counts, rack))
            yield from sort_workers(capacity, fit_counts,
                                    capacity.layout.racks[best])
            return
        partial = [
            rack for rack, fits in enumerate(fit_counts.racks) if fits > 0
        ]
        partial.sort(
            key=lambda rack: _get_free_capacity(capacity, fit_counts, rack))
        for rack in partial:
            yield from sort_workers(capacity, fit_counts,
                                    capacity.layout.racks[rack])


def _get_free_capacity(capacity: FreeCapacity, fit_counts: _FitCounts,
                       rack: int) -> tuple[int, int]:
    free = sum([
        capacity.amounts[i][ACCELERATORS] for i in capacity.layout.racks[rack]
    ])
    return free, fit_counts.racks[rack]


def sort_workers(capacity: FreeCapacity, fit_counts: _FitCounts,
                 positions: Iterable[int]) -> list[int]:
    """Sorts the workers that fit a task, fullest first."""
    fitting = [i for i in positions if fit_counts.counts[i]]
    fitting.sort(key=lambda i:
                 (capacity.amounts[i][ACCELERATORS], fit_counts.counts[i], i))
    return fitting


class FitFailure(NamedTuple):
    """Why a shape does not fit.

    Attributes:
        resource: The limiting one of RESOURCES, or "rack" if only adjacency
            prevents a placement.
        fits: Number of tasks that fit.
    """

    resource: str
    fits: int


def find_fit_failure(fleet: fleet_module.Fleet,
                     shape: request.Shape) -> FitFailure | None:
    """Finds why a shape can never fit a fleet, even an empty one.

    Args:
        fleet: All workers, excluded ones included.
        shape: Resources of the gang.

    Returns:
        The limiting resource, or None if the shape fits.
    """
    capacity = FreeCapacity(fleet=fleet)
    if capacity.can_place(shape):
        return None
    fit_counts = capacity.get_fit_counts(shape)
    if shape.adjacent == "rack" and fit_counts.total >= shape.tasks:
        return FitFailure("rack", max(fit_counts.racks))
    fits = []
    for position, name in enumerate(RESOURCES):
        demand = get_task_demand(shape)[position]
        if demand:
            fits.append(
                (sum(worker_amounts[position] // demand
                     for worker_amounts in capacity.amounts), position, name))
    return FitFailure(min(fits)[2], fit_counts.total)


def describe_fit_failure(failure: FitFailure, shape: request.Shape) -> str:
    """Describes a fit failure for the caller of a refused request."""
    if failure.resource == "rack":
        return (f"shape can never fit: no rack has room for more than "
                f"{failure.fits} of its {shape.tasks} adjacent tasks")
    demand = get_task_demand(shape)[RESOURCES.index(failure.resource)]
    return (f"shape can never fit: the fleet has {failure.resource} for "
            f"{failure.fits} of its {shape.tasks} tasks with {demand} "
            f"{failure.resource} each")
