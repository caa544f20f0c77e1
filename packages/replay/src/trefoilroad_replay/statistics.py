"""Times and slowdown of single requests, and their distribution."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

import numpy

from trefoilroad_core import request
from trefoilroad_replay import results

SLOWDOWN_FLOOR_S = 10.0
"""Shorter run times are rounded up to this, so that the start delay of very
short requests does not dominate the slowdown (bounded slowdown, Feitelson and
Rudolph, JSSPP 1998)."""


class Distribution(NamedTuple):
    """Distribution of values.

    Attributes:
        number: Number of values.
        median: 50th percentile.
        p95: 95th percentile.
        p99: 99th percentile.
        worst: Largest value.
    """

    number: int
    median: float
    p95: float
    p99: float
    worst: float


def summarize(values: Iterable[float]) -> Distribution:
    """Returns the distribution of values; statistics of no values are NaN."""
    ordered = sorted(values)
    if not ordered:
        return Distribution(0, math.nan, math.nan, math.nan, math.nan)
    median, p95, p99 = numpy.percentile(ordered, [50, 95, 99], method="higher")
    return Distribution(len(ordered), float(median), float(p95), float(p99),
                        ordered[-1])


def compute_completion(result: results.Result) -> float:
    """Returns the time from submission to outcome in seconds."""
    assert result.end_s is not None
    return result.end_s - result.trace_request.at_s


def compute_slowdown(result: results.Result) -> float:
    """Returns the ratio of completion time to run time, at least 1."""
    run_s = max(result.trace_request.run_s, SLOWDOWN_FLOOR_S)
    return max(1.0, compute_completion(result) / run_s)


def select_completed(
        request_results: Iterable[results.Result]) -> list[results.Result]:
    """Returns the completed requests."""
    return [
        result for result in request_results
        if result.outcome == request.State.COMPLETED
    ]


def compute_wait(result: results.Result) -> float:
    """Returns the time from receipt to start in seconds, or infinity."""
    if result.started_s is None:
        return math.inf
    return result.started_s - result.received_s


def summarize_by_field(
        request_results: Sequence[results.Result], field: str,
        compute: Callable[[results.Result], float]) -> dict[str, Distribution]:
    """Summarizes a value of requests for each value of a request field.

    Args:
        request_results: Results of requests.
        field: Field of trace.TraceRequest to group by.
        compute: Computes the value of a request.

    Returns:
        Distributions by value of the field, sorted.
    """
    groups: dict[str, list[float]] = {}
    for result in request_results:
        groups.setdefault(getattr(result.trace_request, field),
                          []).append(compute(result))
    return {name: summarize(values) for name, values in sorted(groups.items())}


def find_horizon(replay: results.Replay) -> float:
    """Returns the time of the last submission in seconds."""
    return max(
        trace_request.at_s for trace_request in replay.trace.trace_requests)


def compute_ratio(numerator: float, denominator: float) -> float:
    """Returns a ratio, NaN if the denominator is 0."""
    return numerator / denominator if denominator else math.nan
