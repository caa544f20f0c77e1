"""Refuses jobs that no worker could ever run.

Answers hopeless jobs among sound ones: accepted, such a job would wait until
its caller cancels it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from trefoilroad_jobs import ports
from trefoilroad_jobs import workload
from trefoilroad_node import timer

# What the leader said of the workers holds for this long; it says it twice a
# second. Without it every job is admitted.
FRESH_S = 3.0

Shapes = Mapping[str, Sequence[workload.Demand]]
"""Capacities of the workers of each service; smaller ones are left out."""


def list_worker_shapes(workers: Iterable[ports.Worker]) -> Shapes:
    """Returns the capacities that no other worker of the service exceeds."""
    found: dict[str, list[workload.Demand]] = {}
    for worker in workers:
        shapes = found.setdefault(worker.service, [])
        if any(worker.capacity.fits(shape) for shape in shapes):
            continue
        shapes[:] = [
            shape for shape in shapes if not shape.fits(worker.capacity)
        ]
        shapes.append(worker.capacity)
    return found


class Admission:
    """What a node knows of the workers, to refuse jobs at once."""

    def __init__(self, *, timers: timer.Timers):
        self._timers = timers
        self._shapes: Shapes = {}
        self._known_s = float("-inf")

    def see_shapes(self, shapes: Shapes) -> None:
        """Takes the capacities of the workers."""
        self._shapes = shapes
        self._known_s = self._timers.read_clock()

    def find_fault(self, job: workload.Workload) -> str:
        """Returns why a job can never run, or an empty text."""
        age_s = self._timers.read_clock() - self._known_s
        shapes = self._shapes.get(job.service, ())
        if not shapes or age_s > FRESH_S:
            return ""
        for number, step in enumerate(job.steps):
            if not any(step.occupied.fits(shape) for shape in shapes):
                return (f"step {number}: no worker of {job.service} has "
                        f"{_describe(step.occupied)}")
        return ""


def _describe(demand: workload.Demand) -> str:
    return (f"{demand.milli_cores / 1000:g} cores, {demand.memory_mb} MB and "
            f"{demand.accelerators} accelerators")
