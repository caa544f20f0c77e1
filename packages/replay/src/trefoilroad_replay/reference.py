"""Clairvoyant schedule, the reference for accelerator use.

It knows the true run time of each request in advance.
"""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import math

from trefoilroad_core import placement
from trefoilroad_replay import trace as trace_module

SortKey = Callable[[trace_module.TraceRequest], float]

QUEUE_ORDERS: tuple[SortKey, ...] = (
    lambda trace_request: trace_request.at_s,
    lambda trace_request: -trace_request.run_s,
    lambda trace_request:
    (-trace_request.run_s * trace_request.shape.total_accelerators),
)
"""Sort keys of the queue: arrival, longest run time first, most work first."""


def compute_clairvoyant_use(trace: trace_module.Trace) -> float:
    """Computes the accelerator use of a clairvoyant schedule.

    The schedule treats the fleet as one pool of accelerators, so that it loses
    nothing to fragmentation. It starts every waiting request that fits, in the
    one of QUEUE_ORDERS that gives the highest use. As in a replay, requests
    are dropped after their longest wait, and so are those that do not fit an
    empty fleet.

    Args:
        trace: A trace.

    Returns:
        Accelerator seconds delivered until the last submission. NaN if the
        trace has faults or cancellations, which the schedule does not model.
    """
    if (trace.worker_changes or trace.outages or trace.bad_workers or
            trace.cancels):
        return math.nan
    horizon_s = max(
        trace_request.at_s for trace_request in trace.trace_requests)
    total = trace.fleet.accelerators
    trace_requests = [
        trace_request for trace_request in trace.trace_requests
        if trace_request.shape.total_accelerators and
        placement.find_fit_failure(trace.fleet, trace_request.shape) is None
    ]
    return max(
        _simulate_order(trace_requests, total, horizon_s, sort_key)
        for sort_key in QUEUE_ORDERS)


def _simulate_order(trace_requests: Sequence[trace_module.TraceRequest],
                    total: int, horizon_s: float, sort_key: SortKey) -> float:
    """Returns the accelerator seconds that one order delivers."""
    waiting: list[trace_module.TraceRequest] = []
    run_ends: list[tuple[float, int]] = []
    free, next_index, delivered = total, 0, 0.0
    while next_index < len(trace_requests) or run_ends:
        now_s = min(
            trace_requests[next_index].at_s if next_index < len(trace_requests)
            else float("inf"), run_ends[0][0] if run_ends else float("inf"))
        if now_s >= horizon_s:
            break
        while run_ends and run_ends[0][0] <= now_s:
            free += heapq.heappop(run_ends)[1]
        while next_index < len(
                trace_requests) and trace_requests[next_index].at_s <= now_s:
            waiting.append(trace_requests[next_index])
            next_index += 1
        waiting.sort(key=sort_key)
        still_waiting = []
        for trace_request in waiting:
            size = trace_request.shape.total_accelerators
            if now_s > trace_request.at_s + trace_request.wait_s:
                continue
            if size > free:
                still_waiting.append(trace_request)
                continue
            free -= size
            heapq.heappush(run_ends, (now_s + trace_request.run_s, size))
            delivered += size * (min(horizon_s, now_s + trace_request.run_s) -
                                 now_s)
        waiting = still_waiting
    return delivered
