"""Fairness between callers that submit little and much."""

from collections.abc import Sequence
import math

import numpy

from trefoilroad_core import fleet as fleet_module
from trefoilroad_replay import results
from trefoilroad_replay import statistics
from trefoilroad_replay import trace as trace_module


def compare_callers(replay: results.Replay,
                    completed: Sequence[results.Result]) -> tuple[float, float]:
    """Compares the slowdown of small callers with that of large ones.

    Large callers are the fewest that together ask for half of all work, and
    the fewest that together send half of all requests.

    Args:
        replay: The replay.
        completed: Results of its completed requests.

    Returns:
        p95 slowdown of small callers relative to large ones, and Jain's
        fairness index of the callers' mean speeds. Both are NaN unless there
        are callers of both kinds.
    """
    fleet_share = _FleetShare(fleet=replay.trace.fleet)
    work: dict[tuple[str, str], float] = {}
    slowdowns: dict[tuple[str, str], list[float]] = {}
    for result in completed:
        caller = result.trace_request.team, result.trace_request.caller
        work[caller] = work.get(caller, 0.0) + fleet_share.compute_work(
            result.trace_request)
        slowdowns.setdefault(caller,
                             []).append(statistics.compute_slowdown(result))
    request_counts = {
        caller: float(len(values)) for caller, values in slowdowns.items()
    }
    large_callers = _find_largest_callers(work) | _find_largest_callers(
        request_counts)
    large = [
        slowdown for caller in large_callers for slowdown in slowdowns[caller]
    ]
    small = [
        slowdown for caller in slowdowns.keys() - large_callers
        for slowdown in slowdowns[caller]
    ]
    if not large or not small:
        return math.nan, math.nan
    speeds = [1.0 / float(numpy.mean(values)) for values in slowdowns.values()]
    jain = sum(speeds)**2 / (len(speeds) * sum(speed**2 for speed in speeds))
    ratio = statistics.summarize(small).p95 / statistics.summarize(large).p95
    # Rounded to 1%, because the start delay alone is up to 1% of the shortest
    # run time that the slowdown counts.
    return round(ratio, 2), jain


def _find_largest_callers(
        sizes: dict[tuple[str, str], float]) -> set[tuple[str, str]]:
    """Returns the fewest callers that together make up half of the total."""
    callers = set()
    callers_total = 0.0
    for caller in sorted(sizes, key=lambda caller: (-sizes[caller], caller)):
        if callers_total >= sum(sizes.values()) / 2:
            break
        callers.add(caller)
        callers_total += sizes[caller]
    return callers


class _FleetShare:
    """Computes the work of requests from their dominant share of the fleet.

    The dominant share is the largest of the shares of accelerators, cores and
    memory.
    """

    def __init__(self, *, fleet: fleet_module.Fleet):
        workers = fleet.workers.values()
        self._accelerators = max(1, fleet.accelerators)
        self._cores = max(1, sum(worker.cores for worker in workers))
        self._memory_gb = max(1, sum(worker.memory_gb for worker in workers))

    def compute_work(self, trace_request: trace_module.TraceRequest) -> float:
        """Returns the dominant share multiplied by run time, in seconds."""
        shape = trace_request.shape
        share = max(shape.accelerators / self._accelerators,
                    shape.cores / self._cores,
                    shape.memory_gb / self._memory_gb)
        return share * shape.tasks * trace_request.run_s
