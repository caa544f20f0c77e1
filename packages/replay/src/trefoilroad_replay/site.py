"""The workers of a replay as they really are: use, memory and faults."""

from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import request


class Free(NamedTuple):
    """Free accelerators at one time, on workers that can get work.

    Attributes:
        total: Accelerators that are free.
        adjacent: Accelerators of the largest gang with one accelerator for a
            task that fits in one rack.
        whole: Accelerators of the largest gang in one rack whose tasks each
            need all accelerators of a worker.
    """

    total: int
    adjacent: int
    whole: int


class _Use:
    """Resources of one worker that are free, and memory really in use."""

    def __init__(self, worker: fleet_module.Worker):
        self.accelerators = worker.accelerators
        self.cores = worker.cores
        self.memory_gb = worker.memory_gb
        self.slots = worker.slots
        self.connections = worker.connections
        self.true_memory_gb = 0

    def add(self, shape: request.Shape, true_shape: request.Shape,
            sign: int) -> None:
        self.accelerators -= sign * shape.accelerators
        self.cores -= sign * shape.cores
        self.memory_gb -= sign * shape.memory_gb
        self.slots -= sign
        self.connections -= sign
        self.true_memory_gb += sign * true_shape.memory_gb

    @property
    def is_overcommitted(self) -> bool:
        return min(self.accelerators, self.cores, self.memory_gb, self.slots,
                   self.connections) < 0


class Site:
    """Use of all workers, and which of them are down or fail everything.

    Attributes:
        down: Workers that run nothing.
        bad: Workers that fail everything, with the time to each failure.
        excluded: Workers that are known to be leaving or unreachable.
        quarantined: Workers that get no new work because of failures.
        used: Accelerators in use.
    """

    def __init__(self, *, fleet: fleet_module.Fleet):
        self._fleet = fleet
        self._uses = {
            worker_id: _Use(worker)
            for worker_id, worker in fleet.workers.items()
        }
        self.down: set[str] = set()
        self.bad: dict[str, float] = {}
        self.excluded: set[str] = set()
        self.quarantined: frozenset[str] = frozenset()
        self.used = 0

    @property
    def closed(self) -> frozenset[str]:
        """Workers that get no new work."""
        return self.quarantined | self.excluded

    def take(self, placement: tuple[str, ...], shape: request.Shape,
             true_shape: request.Shape) -> None:
        """Takes the resources of a gang.

        Args:
            placement: Worker of each task.
            shape: Declared shape.
            true_shape: Shape that is really used.

        Raises:
            PolicyError: If the declared shapes do not fit.
        """
        for worker_id in placement:
            use = self._uses[worker_id]
            use.add(shape, true_shape, 1)
            if use.is_overcommitted:
                raise errors.PolicyError(
                    f"{worker_id} has no room for a task of {shape}")
        racks = {self._fleet.workers[worker_id].rack for worker_id in placement}
        if shape.adjacent == "rack" and len(racks) > 1:
            raise errors.PolicyError(
                f"{shape} was placed in racks {', '.join(sorted(racks))}")
        self.used += shape.total_accelerators

    def release(self, placement: tuple[str, ...], shape: request.Shape,
                true_shape: request.Shape) -> None:
        """Gives the resources of a gang back."""
        for worker_id in placement:
            self._uses[worker_id].add(shape, true_shape, -1)
        self.used -= shape.total_accelerators

    def is_short_of_memory(self, worker_id: str) -> bool:
        """Tells whether tasks really use more memory than the worker has."""
        worker = self._fleet.workers[worker_id]
        return self._uses[worker_id].true_memory_gb > worker.memory_gb

    def measure_free(self) -> Free:
        """Measures what is free on workers that can get new work."""
        closed = self.closed
        total = adjacent = whole = 0
        for members in self._fleet.racks.values():
            rack_adjacent = rack_whole = 0
            for worker_id in members:
                if worker_id in closed:
                    continue
                use = self._uses[worker_id]
                size = self._fleet.workers[worker_id].accelerators
                total += use.accelerators
                rack_adjacent += min(use.accelerators, use.slots)
                if use.accelerators == size and use.slots:
                    rack_whole += size
            adjacent = max(adjacent, rack_adjacent)
            whole = max(whole, rack_whole)
        return Free(total, adjacent, whole)
