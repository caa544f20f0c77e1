"""Refuses jobs that no worker could ever run.

If such a job were accepted, it would wait until its caller cancels it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from trefoilroad_jobs import ports
from trefoilroad_jobs import workload
from trefoilroad_node import timer

# The worker capacities that the leader sends twice a second are used for this
# long. Without current ones every job is admitted.
WORKER_CAPACITIES_MAX_AGE_S = 3.0

WorkerCapacities = Mapping[str, Sequence[workload.Demand]]
"""Largest worker capacities of each service, by service."""


def list_worker_capacities(workers: Iterable[ports.Worker]) -> WorkerCapacities:
    """Returns the capacities that no other worker of the service covers."""
    capacities_by_service: dict[str, list[workload.Demand]] = {}
    for worker in workers:
        capacities = capacities_by_service.setdefault(worker.service, [])
        if any(worker.capacity.fits(capacity) for capacity in capacities):
            continue
        capacities[:] = [
            capacity for capacity in capacities
            if not capacity.fits(worker.capacity)
        ]
        capacities.append(worker.capacity)
    return capacities_by_service


class AdmissionControl:
    """Checks jobs against the latest worker capacities from the leader."""

    def __init__(self, *, timers: timer.Timers):
        self._timers = timers
        self._worker_capacities: WorkerCapacities = {}
        self._updated_s = float("-inf")

    def update_worker_capacities(self, capacities: WorkerCapacities) -> None:
        """Replaces the worker capacities."""
        self._worker_capacities = capacities
        self._updated_s = self._timers.read_clock()

    def find_obstacle(self, job: workload.Workload) -> str:
        """Returns why no worker can ever run a job, or an empty text."""
        age_s = self._timers.read_clock() - self._updated_s
        capacities = self._worker_capacities.get(job.service, ())
        if not capacities or age_s > WORKER_CAPACITIES_MAX_AGE_S:
            return ""
        for number, step in enumerate(job.steps):
            if not any(step.occupied.fits(capacity) for capacity in capacities):
                return (f"step {number}: no worker of {job.service} has "
                        f"{_describe(step.occupied)}")
        return ""


def _describe(demand: workload.Demand) -> str:
    return (f"{demand.milli_cores / 1000:g} cores, {demand.memory_mb} MB and "
            f"{demand.accelerators} accelerators")
