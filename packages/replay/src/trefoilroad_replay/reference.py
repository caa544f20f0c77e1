"""A schedule that knows the run times, to compare accelerator use with."""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import math

from trefoilroad_core import placement
from trefoilroad_replay import trace as trace_module

Key = Callable[[trace_module.Release], float]

ORDERS: tuple[Key, ...] = (
    lambda release: release.at_s,
    lambda release: -release.run_s,
    lambda release: -release.run_s * release.shape.total_accelerators,
)
"""Arrival, longest first, and largest first."""


def measure_known_use(trace: trace_module.Trace) -> float:
    """Measures the use of a schedule that knows the run times.

    It sees the fleet as one pool of accelerators, so it loses nothing to
    placement, and starts everything that fits in the best of ORDERS. Requests
    that have waited for their limit are dropped, as in a replay, and so are
    those that fit no empty fleet.

    Args:
        trace: A trace.

    Returns:
        Accelerator seconds delivered until the last release. NaN if the trace
        has faults or cancellations, which the schedule does not know.
    """
    if trace.changes or trace.outages or trace.bad or trace.cancels:
        return math.nan
    until_s = max(release.at_s for release in trace.releases)
    total = trace.fleet.accelerators
    releases = [
        release for release in trace.releases
        if release.shape.total_accelerators and
        placement.find_fit_failure(trace.fleet, release.shape) is None
    ]
    return max(_deliver(releases, total, until_s, key) for key in ORDERS)


def _deliver(releases: Sequence[trace_module.Release], total: int,
             until_s: float, key: Key) -> float:
    waiting: list[trace_module.Release] = []
    ends: list[tuple[float, int]] = []
    free, position, delivered = total, 0, 0.0
    while position < len(releases) or ends:
        now_s = min(
            releases[position].at_s if position < len(releases) else
            float("inf"), ends[0][0] if ends else float("inf"))
        if now_s >= until_s:
            break
        while ends and ends[0][0] <= now_s:
            free += heapq.heappop(ends)[1]
        while position < len(releases) and releases[position].at_s <= now_s:
            waiting.append(releases[position])
            position += 1
        waiting.sort(key=key)
        left = []
        for release in waiting:
            size = release.shape.total_accelerators
            if now_s > release.at_s + release.wait_s:
                continue
            if size > free:
                left.append(release)
                continue
            free -= size
            heapq.heappush(ends, (now_s + release.run_s, size))
            delivered += size * (min(until_s, now_s + release.run_s) - now_s)
        waiting = left
    return delivered
