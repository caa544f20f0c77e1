"""Figures of single requests and their distribution."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

import numpy

from trefoilroad_core import request
from trefoilroad_replay import results

SLOWDOWN_FLOOR_S = 10.0
"""Run times below this count as this, so that the start time of very short
requests does not dominate the slowdown (Feitelson and Rudolph, JSSPP 1998)."""


class Spread(NamedTuple):
    """Distribution of a figure.

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


def spread(values: Iterable[float]) -> Spread:
    """Summarizes values; all figures but the number are NaN without any."""
    known = sorted(values)
    if not known:
        return Spread(0, math.nan, math.nan, math.nan, math.nan)
    median, p95, p99 = numpy.percentile(known, [50, 95, 99], method="higher")
    return Spread(len(known), float(median), float(p95), float(p99), known[-1])


def compute_completion(result: results.Result) -> float:
    """Returns the time from release to outcome in seconds."""
    assert result.end_s is not None
    return result.end_s - result.release.at_s


def compute_slowdown(result: results.Result) -> float:
    """Returns the ratio of completion time to run time alone."""
    alone_s = max(result.release.run_s, SLOWDOWN_FLOOR_S)
    return max(1.0, compute_completion(result) / alone_s)


def select_completed(found: Iterable[results.Result]) -> list[results.Result]:
    """Returns the completed requests."""
    return [
        result for result in found if result.outcome == request.State.COMPLETED
    ]


def compute_wait(result: results.Result) -> float:
    """Returns the time from receipt to start, infinite without a start."""
    if result.started_s is None:
        return math.inf
    return result.started_s - result.received_s


def split(found: Sequence[results.Result], field: str,
          compute: Callable[[results.Result], float]) -> dict[str, Spread]:
    """Summarizes a figure of requests by a field of their release."""
    groups: dict[str, list[float]] = {}
    for result in found:
        groups.setdefault(getattr(result.release, field),
                          []).append(compute(result))
    return {name: spread(values) for name, values in sorted(groups.items())}


def find_horizon(replay: results.Replay) -> float:
    """Returns the time of the last release in seconds."""
    return max(release.at_s for release in replay.trace.releases)


def divide(numerator: float, denominator: float) -> float:
    """Returns a ratio, NaN if it has no denominator."""
    return numerator / denominator if denominator else math.nan
