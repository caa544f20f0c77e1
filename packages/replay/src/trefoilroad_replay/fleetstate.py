"""Actual state of the workers in a replay: resources, memory and faults."""

from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import request


class FreeAccelerators(NamedTuple):
    """Free accelerators at one time, on workers that can get new tasks.

    Attributes:
        total: Number of free accelerators.
        adjacent: Accelerators of the largest gang that fits in one rack, with
            one accelerator per task.
        whole: Accelerators of the largest gang that fits in one rack, with
            all accelerators of a worker per task.
    """

    total: int
    adjacent: int
    whole: int


class _WorkerResources:
    """Free resources of one worker, and the memory that its tasks really use.

    Shapes are declared by callers; a task may really use more memory or less.
    """

    def __init__(self, worker: fleet_module.Worker):
        self.free_accelerators = worker.accelerators
        self.free_cores = worker.cores
        self.free_memory_gb = worker.memory_gb
        self.free_slots = worker.slots
        self.free_connections = worker.connections
        self.true_memory_use_gb = 0

    def change(self, shape: request.Shape, true_shape: request.Shape,
               sign: int) -> None:
        """Allocates a task's resources if sign is 1, frees them if it is -1."""
        self.free_accelerators -= sign * shape.accelerators
        self.free_cores -= sign * shape.cores
        self.free_memory_gb -= sign * shape.memory_gb
        self.free_slots -= sign
        self.free_connections -= sign
        self.true_memory_use_gb += sign * true_shape.memory_gb

    @property
    def is_overcommitted(self) -> bool:
        return min(self.free_accelerators, self.free_cores, self.free_memory_gb,
                   self.free_slots, self.free_connections) < 0


class FleetState:
    """Resources of all workers, and which workers have faults.

    Attributes:
        down: Workers that have failed and run nothing.
        bad_workers: Workers on which every task fails, with the time from its
            start to its failure in seconds.
        excluded: Workers that the scheduler excludes, because they are marked
            as leaving or were detected as unreachable.
        quarantined: Workers that get no new tasks because tasks failed there.
        used_accelerators: Number of accelerators in use.
    """

    def __init__(self, *, fleet: fleet_module.Fleet):
        self._fleet = fleet
        self._resources = {
            worker_id: _WorkerResources(worker)
            for worker_id, worker in fleet.workers.items()
        }
        self.down: set[str] = set()
        self.bad_workers: dict[str, float] = {}
        self.excluded: set[str] = set()
        self.quarantined: frozenset[str] = frozenset()
        self.used_accelerators = 0

    @property
    def unavailable(self) -> frozenset[str]:
        """Workers that get no new tasks."""
        return self.quarantined | self.excluded

    def allocate(self, placement: tuple[str, ...], shape: request.Shape,
                 true_shape: request.Shape) -> None:
        """Allocates the resources of a gang.

        Args:
            placement: Worker of each task.
            shape: Declared shape.
            true_shape: Resources that the tasks really use.

        Raises:
            PolicyError: If the declared resources are not free, or an adjacent
                gang is placed in several racks.
        """
        for worker_id in placement:
            resources = self._resources[worker_id]
            resources.change(shape, true_shape, 1)
            if resources.is_overcommitted:
                raise errors.PolicyError(
                    f"{worker_id} has no room for a task of {shape}")
        racks = {self._fleet.workers[worker_id].rack for worker_id in placement}
        if shape.adjacent == "rack" and len(racks) > 1:
            raise errors.PolicyError(
                f"{shape} was placed in racks {', '.join(sorted(racks))}")
        self.used_accelerators += shape.total_accelerators

    def deallocate(self, placement: tuple[str, ...], shape: request.Shape,
                   true_shape: request.Shape) -> None:
        """Frees the resources of a gang."""
        for worker_id in placement:
            self._resources[worker_id].change(shape, true_shape, -1)
        self.used_accelerators -= shape.total_accelerators

    def is_memory_exceeded(self, worker_id: str) -> bool:
        """Tells whether the tasks of a worker use more memory than it has."""
        worker = self._fleet.workers[worker_id]
        return self._resources[worker_id].true_memory_use_gb > worker.memory_gb

    def measure_free_accelerators(self) -> FreeAccelerators:
        """Measures the free accelerators of workers that can get new tasks."""
        unavailable = self.unavailable
        total = adjacent = whole = 0
        for members in self._fleet.racks.values():
            rack_adjacent = rack_whole = 0
            for worker_id in members:
                if worker_id in unavailable:
                    continue
                resources = self._resources[worker_id]
                size = self._fleet.workers[worker_id].accelerators
                total += resources.free_accelerators
                rack_adjacent += min(resources.free_accelerators,
                                     resources.free_slots)
                if resources.free_accelerators == size and resources.free_slots:
                    rack_whole += size
            adjacent = max(adjacent, rack_adjacent)
            whole = max(whole, rack_whole)
        return FreeAccelerators(total, adjacent, whole)
