"""The targets of section 1 of the design page, judged on figures of replays."""

from collections.abc import Callable
from collections.abc import Iterator
import math
from typing import NamedTuple

from trefoilroad_replay import measures

START_S = 1.4


class Target(NamedTuple):
    """One stated target.

    Attributes:
        name: What it is about.
        bound: The stated bound.
        is_minimum: Whether the figure must not be smaller, else not larger.
        read: Reads the figure; NaN where the target does not apply.
    """

    name: str
    bound: float
    is_minimum: bool
    read: Callable[[measures.Measures], float]

    def is_met(self, value: float) -> bool:
        """Tells whether a figure meets the target."""
        return value >= self.bound if self.is_minimum else value <= self.bound


class Verdict(NamedTuple):
    """A target beside a figure.

    Attributes:
        trace: Name of the trace.
        policy: Name of the policy.
        target: The target.
        value: The figure.
        is_met: Whether it meets the target.
    """

    trace: str
    policy: str
    target: Target
    value: float
    is_met: bool


def _read_throughput(figures: measures.Measures) -> float:
    if figures.floods is None or "flood" not in figures.trace:
        return math.nan
    return figures.floods.throughput


def _read_completion(figures: measures.Measures) -> float:
    if figures.floods is None or "flood" not in figures.trace:
        return math.nan
    return figures.floods.completion


def _read_decision(figures: measures.Measures) -> float:
    is_design = figures.trace.startswith("design")
    return figures.decision_max_s if is_design else math.nan


TARGETS = (
    Target("throughput of other work in a flood, ratio", 0.95, True,
           _read_throughput),
    Target("p95 completion time of other work in a flood, ratio", 1.2, False,
           _read_completion),
    Target("p95 slowdown of small callers to large ones, ratio", 1.0, False,
           lambda figures: figures.small_ratio),
    Target("p99 start of urgent guaranteed work with room, s", START_S, False,
           lambda figures: figures.urgent_start.p99),
    Target("longest reclaim of a guaranteed shape beyond the checkpoint, s",
           START_S, False, lambda figures: figures.reclaim_over_s),
    # A start takes effect in the round after the room is there.
    Target("longest wait of a large gang beyond the work ahead of it, s",
           START_S, False, lambda figures: figures.large_over_s),
    Target("accelerator use to that of known run times, ratio", 0.9, True,
           lambda figures: figures.use_ratio),
    Target("longest decision round at the design size, s", 0.05, False,
           _read_decision),
    Target("stated outcomes that are not met", 0, False,
           lambda figures: len(figures.unmet)),
)


def judge(figures: measures.Measures) -> Iterator[Verdict]:
    """Judges the targets that apply to a replay.

    Args:
        figures: Figures of the replay.

    Yields:
        A verdict for each target that applies.
    """
    for target in TARGETS:
        value = target.read(figures)
        if not math.isnan(value):
            yield Verdict(figures.trace, figures.policy, target, value,
                          target.is_met(value))
