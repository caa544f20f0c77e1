"""How small callers fare beside large ones."""

from collections.abc import Sequence
import math

import numpy

from trefoilroad_replay import figures
from trefoilroad_replay import results


def measure_callers(replay: results.Replay,
                    completed: Sequence[results.Result]) -> tuple[float, float]:
    """Compares small callers with large ones.

    Large callers are the fewest that together ask for half of all work, and
    the fewest that together send half of all requests.
    """
    work: dict[tuple[str, str], float] = {}
    slowdowns: dict[tuple[str, str], list[float]] = {}
    for result in completed:
        caller = result.release.team, result.release.caller
        work[caller] = work.get(caller, 0.0) + _compute_work(replay, result)
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
    return figures.spread(small).p95 / figures.spread(large).p95, jain


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


def _compute_work(replay: results.Replay, result: results.Result) -> float:
    """Returns dominant share of the fleet times run time, in seconds."""
    fleet = replay.trace.fleet
    shape = result.release.shape
    shares = [
        shape.accelerators / max(1, fleet.accelerators),
        shape.cores / sum(worker.cores for worker in fleet.workers.values()),
        shape.memory_gb /
        sum(worker.memory_gb for worker in fleet.workers.values())
    ]
    return max(shares) * shape.tasks * result.release.run_s
