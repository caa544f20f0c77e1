"""Refuses jobs that no worker could ever run.

If such a job were accepted, it would wait until its caller cancels it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from trefoilroad_jobs import ports
from trefoilroad_jobs import workload
from trefoilroad_node import timer

# The shapes that the leader sends twice a second are used for this long.
# Without current shapes every job is admitted.
SHAPES_MAX_AGE_S = 3.0

Shapes = Mapping[str, Sequence[workload.Demand]]
"""Largest worker capacities of each service, by service."""


def list_worker_shapes(workers: Iterable[ports.Worker]) -> Shapes:
    """Returns the capacities that no other worker of the service covers."""
    shapes_by_service: dict[str, list[workload.Demand]] = {}
    for worker in workers:
        shapes = shapes_by_service.setdefault(worker.service, [])
        if any(worker.capacity.fits(shape) for shape in shapes):
            continue
        shapes[:] = [
            shape for shape in shapes if not shape.fits(worker.capacity)
        ]
        shapes.append(worker.capacity)
    return shapes_by_service


class AdmissionControl:
    """Checks jobs against the latest worker shapes from the leader."""

    def __init__(self, *, timers: timer.Timers):
        self._timers = timers
        self._shapes: Shapes = {}
        self._updated_s = float("-inf")

    def update_shapes(self, shapes: Shapes) -> None:
        """Replaces the worker shapes."""
        self._shapes = shapes
        self._updated_s = self._timers.read_clock()

    def find_obstacle(self, job: workload.Workload) -> str:
        """Returns why no worker can ever run a job, or an empty text."""
        age_s = self._timers.read_clock() - self._updated_s
        shapes = self._shapes.get(job.service, ())
        if not shapes or age_s > SHAPES_MAX_AGE_S:
            return ""
        for number, step in enumerate(job.steps):
            if not any(step.occupied.fits(shape) for shape in shapes):
                return (f"step {number}: no worker of {job.service} has "
                        f"{_describe(step.occupied)}")
        return ""


def _describe(demand: workload.Demand) -> str:
    return (f"{demand.milli_cores / 1000:g} cores, {demand.memory_mb} MB and "
            f"{demand.accelerators} accelerators")
