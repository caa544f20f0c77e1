"""Free capacity of a fleet and the choice of workers for a gang."""

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

MAX_LOG = 4096
"""Changes of a capacity after which its log is shortened."""


def get_need(shape: request.Shape) -> tuple[int, int, int, int, int]:
    """Returns what one task takes, in the order of RESOURCES."""
    return (shape.accelerators, shape.cores, shape.memory_gb, 1, 1)


class Layout:
    """Positions of a fleet's workers and racks; never changes."""

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
        self.rows = [[
            worker.accelerators, worker.cores, worker.memory_gb, worker.slots,
            worker.connections
        ] for worker in fleet.workers.values()]

    def equals(self, other: "Layout") -> bool:
        """Tells whether two layouts have the same workers and racks."""
        return (self.worker_ids == other.worker_ids and
                self.rows == other.rows and self.rack_of == other.rack_of)


class _View:
    """How many tasks of one size fit each worker and rack.

    It is brought up to date from the log of changed workers when it is read,
    so that a change costs nothing for sizes that nobody asks for.
    """

    __slots__ = ("counts", "position", "racks", "total")

    def __init__(self, counts: list[int], racks: list[int], total: int,
                 position: int):
        self.counts = counts
        self.racks = racks
        self.total = total
        self.position = position


class Saved(NamedTuple):
    """Free amounts to go back to."""

    rows: list[list[int]]
    position: int


class Capacity:
    """Resources that are free on each worker.

    Free amounts may become negative: a promise of room that other gangs still
    use is taken at once, and what they leave goes to the promise first.
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
        self.rows = [row.copy() for row in layout.rows]
        self.open = [True] * len(self.rows)
        for name in excluded:
            if name in layout.index:
                self.open[layout.index[name]] = False
        self._views: dict[tuple[int, int, int], _View] = {}
        self._log: list[int] = []

    def copy(self) -> "Capacity":
        """Returns an independent copy."""
        twin = Capacity.__new__(Capacity)
        twin.layout = self.layout
        twin.rows = [row.copy() for row in self.rows]
        twin.open = self.open.copy()
        twin._log = self._log.copy()
        twin._views = {
            key:
                _View(view.counts.copy(), view.racks.copy(), view.total,
                      view.position) for key, view in self._views.items()
        }
        return twin

    def save(self) -> Saved:
        """Remembers the free amounts, for `restore`."""
        self._trim()
        return Saved([row.copy() for row in self.rows], len(self._log))

    def restore(self, saved: Saved) -> None:
        """Undoes all changes since `save`, which must be the latest one."""
        changed = set(self._log[saved.position:])
        for position in changed:
            self.rows[position] = saved.rows[position]
        self._log.extend(changed)

    def _trim(self) -> None:
        """Shortens the log of changes; drops views that are seldom used."""
        if len(self._log) < MAX_LOG:
            return
        for key, view in list(self._views.items()):
            if view.position < len(self._log) - MAX_LOG:
                del self._views[key]
            else:
                self._refresh(view, (*key, 1, 1))
                view.position = 0
        self._log = []

    def take(self, placement: Iterable[str], shape: request.Shape) -> None:
        """Takes the resources of a gang.

        Args:
            placement: Worker of each task; unknown workers are ignored.
            shape: Resources of the gang.
        """
        self._add(placement, shape, -1)

    def release(self, placement: Iterable[str], shape: request.Shape) -> None:
        """Gives the resources of a gang back, the inverse of `take`."""
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
            row = self.rows[position]
            row[0] += accelerators
            row[1] += cores
            row[2] += memory
            row[3] += sign
            row[4] += sign
            self._log.append(position)

    def limit_rows(self, rows: Mapping[str, Sequence[int]]) -> None:
        """Lowers the free amounts of workers to at most those given.

        Args:
            rows: Amounts in the order of RESOURCES, by worker.
        """
        for name, row in rows.items():
            position = self.layout.index[name]
            self.rows[position] = list(map(min, self.rows[position], row))
            self._log.append(position)

    def close(self, positions: Iterable[int]) -> None:
        """Lets nothing be placed on workers.

        Args:
            positions: Positions of the workers in the layout.
        """
        for position in positions:
            self.open[position] = False
            self._log.append(position)

    def limit_to(self, other: "Capacity") -> None:
        """Lowers all free amounts to at most those of another capacity."""
        for position, row in enumerate(other.rows):
            self.rows[position] = list(map(min, self.rows[position], row))
        self._views = {}
        self._log = []

    def is_open(self, names: Iterable[str]) -> bool:
        """Tells whether workers exist and may get new work."""
        index = self.layout.index
        return all(name in index and self.open[index[name]] for name in names)

    def get_row(self, name: str) -> list[int]:
        """Returns the free amounts of a worker, in the order of RESOURCES."""
        return self.rows[self.layout.index[name]]

    def can_take(self, placement: Iterable[str], shape: request.Shape) -> bool:
        """Tells whether a gang fits on exactly these workers."""
        tasks: dict[int, int] = {}
        for name in placement:
            position = self.layout.index.get(name)
            if position is None or not self.open[position]:
                return False
            tasks[position] = tasks.get(position, 0) + 1
        need = get_need(shape)
        return all(
            self._count(position, need) >= count
            for position, count in tasks.items())

    def _count(self, position: int, need: Sequence[int]) -> int:
        return count_tasks(self.rows[position],
                           need) if self.open[position] else 0

    def get_view(self, shape: request.Shape) -> _View:
        """Returns how many tasks of a shape fit each worker and rack.

        Args:
            shape: The shape; only the size of a task matters.

        Returns:
            A view with `counts` by worker, `racks` by rack and `total`. It is
            valid until the capacity changes and must not be modified.
        """
        key = (shape.accelerators, shape.cores, shape.memory_gb)
        view = self._views.get(key)
        if view is None:
            view = self._build_view(get_need(shape))
            self._views[key] = view
        elif view.position < len(self._log):
            self._refresh(view, get_need(shape))
        return view

    def _build_view(self, need: Sequence[int]) -> _View:
        counts = [0] * len(self.rows)
        racks = [0] * len(self.layout.racks)
        rack_of = self.layout.rack_of
        # Most workers of a busy fleet fit nothing; they are passed over fast.
        # Promises may make an amount negative that the task does not need.
        accelerators = need[ACCELERATORS] or -math.inf
        cores = need[CORES] or -math.inf
        for position, row in enumerate(self.rows):
            if row[0] < accelerators or row[1] < cores or row[3] < 1:
                continue
            count = self._count(position, need)
            counts[position] = count
            racks[rack_of[position]] += count
        return _View(counts, racks, sum(racks), len(self._log))

    def _refresh(self, view: _View, need: Sequence[int]) -> None:
        for position in set(self._log[view.position:]):
            count = self._count(position, need)
            change = count - view.counts[position]
            if change:
                view.counts[position] = count
                view.racks[self.layout.rack_of[position]] += change
                view.total += change
        view.position = len(self._log)

    def can_place(self, shape: request.Shape) -> bool:
        """Tells whether a gang of a shape fits anywhere."""
        view = self.get_view(shape)
        if shape.adjacent == "rack":
            return max(view.racks, default=0) >= shape.tasks
        return view.total >= shape.tasks


def count_tasks(row: Sequence[int], need: Sequence[int]) -> int:
    """Counts the tasks that fit the free amounts of one worker.

    Args:
        row: Free amounts in the order of RESOURCES.
        need: Amounts that one task takes, in the same order.

    Returns:
        The number of tasks, 0 where an amount is negative.
    """
    accelerators, cores, memory, count, connections = row
    if connections < count:
        count = connections
    if need[0] and accelerators < count * need[0]:
        count = accelerators // need[0]
    if need[1] and cores < count * need[1]:
        count = cores // need[1]
    if need[2] and memory < count * need[2]:
        count = memory // need[2]
    return count if count > 0 else 0


class Placer(abc.ABC):
    """Chooses workers for a gang."""

    def place(self, capacity: Capacity,
              shape: request.Shape) -> tuple[str, ...] | None:
        """Finds a placement; the capacity is not changed.

        Args:
            capacity: What is free.
            shape: Resources of the gang.

        Returns:
            The worker of each task, or None if the gang does not fit.
        """
        if not capacity.can_place(shape):
            return None
        view = capacity.get_view(shape)
        ids = capacity.layout.worker_ids
        placement: list[str] = []
        for position in self.rank(capacity, view, shape):
            count = min(view.counts[position], shape.tasks - len(placement))
            placement.extend([ids[position]] * count)
            if len(placement) == shape.tasks:
                return tuple(placement)
        return None

    @abc.abstractmethod
    def rank(self, capacity: Capacity, view: _View,
             shape: request.Shape) -> Iterator[int]:
        """Yields the positions of workers in the order to fill them.

        Args:
            capacity: What is free.
            view: How many tasks fit each worker and rack; enough in all.
            shape: Resources of the gang.

        Yields:
            Positions in the layout, within one rack if the shape asks for it.
        """


class FirstFit(Placer):
    """Fills workers, or the first rack that fits, in the order of names."""

    def rank(self, capacity: Capacity, view: _View,
             shape: request.Shape) -> Iterator[int]:
        """Yields positions in the order of names; see Placer.rank."""
        if shape.adjacent != "rack":
            yield from range(len(view.counts))
            return
        for rack, members in enumerate(capacity.layout.racks):
            if view.racks[rack] >= shape.tasks:
                yield from members
                return


class BestFit(Placer):
    """Fills the workers with the fewest free accelerators first."""

    def rank(self, capacity: Capacity, view: _View,
             shape: request.Shape) -> Iterator[int]:
        """Yields the fullest workers first; see Placer.rank."""
        if shape.adjacent == "rack":
            racks = [(fits, rack)
                     for rack, fits in enumerate(view.racks)
                     if fits >= shape.tasks]
            yield from sort_workers(capacity, view,
                                    capacity.layout.racks[min(racks)[1]])
        else:
            yield from sort_workers(capacity, view, range(len(view.counts)))


class RackPack(Placer):
    """Fills the fullest rack that fits, and in it the fullest workers.

    A gang that needs no adjacency is kept in one rack as well where it fits,
    and otherwise takes the fullest racks first, so that empty racks stay whole
    for large adjacent gangs.
    """

    def rank(self, capacity: Capacity, view: _View,
             shape: request.Shape) -> Iterator[int]:
        """Yields workers of the fullest rack that fits; see Placer.rank."""
        racks = [
            rack for rack, fits in enumerate(view.racks) if fits >= shape.tasks
        ]
        if racks:
            best = min(racks, key=lambda rack: _get_room(capacity, view, rack))
            yield from sort_workers(capacity, view, capacity.layout.racks[best])
            return
        partial = [rack for rack, fits in enumerate(view.racks) if fits > 0]
        partial.sort(key=lambda rack: _get_room(capacity, view, rack))
        for rack in partial:
            yield from sort_workers(capacity, view, capacity.layout.racks[rack])


def _get_room(capacity: Capacity, view: _View, rack: int) -> tuple[int, int]:
    free = sum(
        [capacity.rows[i][ACCELERATORS] for i in capacity.layout.racks[rack]])
    return free, view.racks[rack]


def sort_workers(capacity: Capacity, view: _View,
                 positions: Iterable[int]) -> list[int]:
    """Sorts the workers that fit a task, fullest first."""
    fitting = [i for i in positions if view.counts[i]]
    fitting.sort(
        key=lambda i: (capacity.rows[i][ACCELERATORS], view.counts[i], i))
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
    """Tells whether a shape can never fit a fleet, even when it is empty.

    Args:
        fleet: All workers, excluded ones included.
        shape: Resources of the gang.

    Returns:
        The limiting resource, or None if the shape fits.
    """
    capacity = Capacity(fleet=fleet)
    if capacity.can_place(shape):
        return None
    view = capacity.get_view(shape)
    if shape.adjacent == "rack" and view.total >= shape.tasks:
        return FitFailure("rack", max(view.racks))
    fits = []
    for position, name in enumerate(RESOURCES):
        need = get_need(shape)[position]
        if need:
            fits.append((sum(row[position] // need for row in capacity.rows),
                         position, name))
    return FitFailure(min(fits)[2], view.total)


def describe_fit_failure(misfit: FitFailure, shape: request.Shape) -> str:
    """Words a misfit for the caller of a refused request."""
    if misfit.resource == "rack":
        return (f"shape can never fit: no rack has room for more than "
                f"{misfit.fits} of its {shape.tasks} adjacent tasks")
    need = get_need(shape)[RESOURCES.index(misfit.resource)]
    return (f"shape can never fit: the fleet has {misfit.resource} for "
            f"{misfit.fits} of its {shape.tasks} tasks with {need} "
            f"{misfit.resource} each")
