"""How small callers fare beside large ones."""

from collections.abc import Sequence
import math

import numpy

from trefoilroad_core import fleet as fleet_module
from trefoilroad_replay import figures
from trefoilroad_replay import results
from trefoilroad_replay import trace as trace_module


def measure_callers(replay: results.Replay,
                    completed: Sequence[results.Result]) -> tuple[float, float]:
    """Compares small callers with large ones.

    Large callers are the fewest that together ask for half of all work, and
    the fewest that together send half of all requests.
    """
    sizes = _Sizes(fleet=replay.trace.fleet)
    work: dict[tuple[str, str], float] = {}
    slowdowns: dict[tuple[str, str], list[float]] = {}
    for result in completed:
        caller = result.release.team, result.release.caller
        work[caller] = work.get(caller, 0.0) + sizes.compute_work(
            result.release)
        slowdowns.setdefault(caller,
                             []).append(figures.compute_slowdown(result))
    sent = {caller: float(len(each)) for caller, each in slowdowns.items()}
    names = _find_half(work) | _find_half(sent)
    large = [each for caller in names for each in slowdowns[caller]]
    small = [
        each for caller in slowdowns.keys() - names
        for each in slowdowns[caller]
    ]
    if not large or not small:
        return math.nan, math.nan
    speeds = [1.0 / float(numpy.mean(each)) for each in slowdowns.values()]
    jain = sum(speeds)**2 / (len(speeds) * sum(speed**2 for speed in speeds))
    ratio = figures.spread(small).p95 / figures.spread(large).p95
    # The start delay alone makes up to 1% of the shortest run time counted.
    return round(ratio, 2), jain


def _find_half(sizes: dict[tuple[str, str], float]) -> set[tuple[str, str]]:
    """Returns the fewest callers that have half of the total."""
    found = set()
    covered = 0.0
    for caller in sorted(sizes, key=lambda caller: (-sizes[caller], caller)):
        if covered >= sum(sizes.values()) / 2:
            break
        found.add(caller)
        covered += sizes[caller]
    return found


class _Sizes:
    """Work of requests, as the dominant share of the fleet for a time."""

    def __init__(self, *, fleet: fleet_module.Fleet):
        workers = fleet.workers.values()
        self._accelerators = max(1, fleet.accelerators)
        self._cores = max(1, sum(worker.cores for worker in workers))
        self._memory_gb = max(1, sum(worker.memory_gb for worker in workers))

    def compute_work(self, release: trace_module.Release) -> float:
        """Returns dominant share times run time, in seconds."""
        shape = release.shape
        share = max(shape.accelerators / self._accelerators,
                    shape.cores / self._cores,
                    shape.memory_gb / self._memory_gb)
        return share * shape.tasks * release.run_s
