"""Performance targets of section 1 of the design page, checked on replays."""

from collections.abc import Callable
from collections.abc import Iterator
import math
from typing import NamedTuple

from trefoilroad_replay import measures

MAX_START_S = 1.4


class Target(NamedTuple):
    """A bound on one measure.

    Attributes:
        name: Description of the measure with its unit.
        bound: The bound.
        is_minimum: Whether the bound is a minimum, else it is a maximum.
        read: Reads the measure; NaN where the target does not apply.
    """

    name: str
    bound: float
    is_minimum: bool
    read: Callable[[measures.Measures], float]

    def is_met(self, value: float) -> bool:
        """Tells whether a value meets the target."""
        return value >= self.bound if self.is_minimum else value <= self.bound


class Verdict(NamedTuple):
    """Result of checking a target on one replay.

    Attributes:
        trace: Name of the trace.
        policy: Name of the policy.
        target: The target.
        value: Value of the measure.
        is_met: Whether it meets the target.
    """

    trace: str
    policy: str
    target: Target
    value: float
    is_met: bool


def _read_flood_throughput(measured: measures.Measures) -> float:
    if measured.floods is None or "flood" not in measured.trace:
        return math.nan
    return measured.floods.throughput


def _read_flood_completion(measured: measures.Measures) -> float:
    if measured.floods is None or "flood" not in measured.trace:
        return math.nan
    return measured.floods.completion


def _read_design_round(measured: measures.Measures) -> float:
    is_design = measured.trace.startswith("design")
    return measured.decision_max_s if is_design else math.nan


TARGETS = (
    Target("throughput of other work in a flood, ratio", 0.95, True,
           _read_flood_throughput),
    Target("p95 completion time of other work in a flood, ratio", 1.2, False,
           _read_flood_completion),
    Target("p95 slowdown of small callers to large ones, ratio", 1.0, False,
           lambda measured: measured.small_ratio),
    Target("p99 start of urgent guaranteed work with room, s", MAX_START_S,
           False, lambda measured: measured.urgent_start.p99),
    Target("longest reclaim of a guaranteed shape beyond the checkpoint, s",
           MAX_START_S, False, lambda measured: measured.reclaim_over_s),
    # A gang starts in the round after room became free, so that its wait may
    # exceed the work ahead by the time of a start.
    Target("longest wait of a large gang beyond the work ahead of it, s",
           MAX_START_S, False, lambda measured: measured.large_over_s),
    Target("accelerator use to that of known run times, ratio", 0.9, True,
           lambda measured: measured.use_ratio),
    Target("longest decision round at the design size, s", 0.05, False,
           _read_design_round),
    Target("stated outcomes that are not met", 0, False,
           lambda measured: len(measured.unmet)),
)


def evaluate_targets(measured: measures.Measures) -> Iterator[Verdict]:
    """Checks the targets that apply to a replay.

    Args:
        measured: Measures of the replay.

    Yields:
        A verdict for each target that applies.
    """
    for target in TARGETS:
        value = target.read(measured)
        if not math.isnan(value):
            yield Verdict(measured.trace, measured.policy, target, value,
                          target.is_met(value))
