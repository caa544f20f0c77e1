"""Figures of one replay."""

from collections.abc import Sequence
import math
from typing import NamedTuple

import numpy

from trefoilroad_core import request
from trefoilroad_replay import callers
from trefoilroad_replay import figures
from trefoilroad_replay import floods as floods_module
from trefoilroad_replay import fragmentation
from trefoilroad_replay import results
from trefoilroad_replay import statements


class Measures(NamedTuple):
    """All figures of one replay; times are in seconds, NaN if not applicable.

    Attributes:
        trace: Name of the trace.
        policy: Name of the policy.
        outcomes: Number of requests by outcome.
        completion: Completion time of all completed requests.
        slowdown: Ratio of completion time to run time alone.
        by_template: Completion time by template.
        by_team: Completion time by team.
        slowdown_by_template: Slowdown by template.
        slowdown_by_team: Slowdown by team.
        adjacent_share: Mean over time of the largest gang that fits in a rack,
            relative to the free accelerators or the largest rack if smaller.
        whole_share: The same for gangs that need whole workers.
        large_wait: Wait of large gangs from receipt to start.
        large_over_s: Longest time by which a large gang waited longer than the
            work ahead of it in fair order needs.
        floods: What other work keeps, None without a base.
        small_ratio: p95 slowdown of small callers relative to large ones.
        jain: Jain's fairness index of the callers' speeds.
        use: Share of the accelerators that delivered work up to the last
            release.
        use_ratio: The same relative to a schedule that knows the run times.
        urgent_start: Receipt to start of the most urgent class, inside the
            guarantee and with room.
        reclaim: Receipt to start inside the guarantee without room.
        reclaim_over_s: Longest excess over the checkpoint time.
        evictions: Number of evictions.
        decision_mean_s: Mean processor time of a round.
        decision_max_s: Longest processor time of a round.
        unmet: Stated outcomes that were not met.
    """

    trace: str
    policy: str
    outcomes: dict[str, int]
    completion: figures.Spread
    slowdown: figures.Spread
    by_template: dict[str, figures.Spread]
    by_team: dict[str, figures.Spread]
    slowdown_by_template: dict[str, figures.Spread]
    slowdown_by_team: dict[str, figures.Spread]
    adjacent_share: float
    whole_share: float
    large_wait: figures.Spread
    large_over_s: float
    floods: floods_module.Floods | None
    small_ratio: float
    jain: float
    use: float
    use_ratio: float
    urgent_start: figures.Spread
    reclaim: figures.Spread
    reclaim_over_s: float
    evictions: int
    decision_mean_s: float
    decision_max_s: float
    unmet: tuple[str, ...]


def measure(replay: results.Replay, base: results.Replay | None,
            known_use: float) -> Measures:
    """Computes all figures of a replay.

    Args:
        replay: The replay.
        base: Replay of the base trace with the same policy, if it has one.
        known_use: Accelerator seconds of a schedule that knows the run times,
            or NaN.

    Returns:
        The figures.
    """
    found = replay.results
    completed = figures.select_completed(found)
    decisions = [sample.decision_s for sample in replay.samples]
    adjacent, whole = fragmentation.measure_fragmentation(replay)
    large = fragmentation.find_large(replay)
    small_ratio, jain = callers.measure_callers(replay, completed)
    use, use_ratio = _measure_use(replay, known_use)
    urgent = [
        figures.compute_wait(result) for result in found if
        result.is_covered and result.had_room and result.release.priority == 0
    ]
    reclaim = [
        figures.compute_wait(result)
        for result in found
        if result.is_covered and not result.had_room and
        result.outcome != request.State.CANCELLED
    ]
    return Measures(
        trace=replay.trace.name,
        policy=replay.policy,
        outcomes=_count_outcomes(found),
        completion=figures.spread(map(figures.compute_completion, completed)),
        slowdown=figures.spread(map(figures.compute_slowdown, completed)),
        by_template=figures.split(completed, "template",
                                  figures.compute_completion),
        by_team=figures.split(completed, "team", figures.compute_completion),
        slowdown_by_template=figures.split(completed, "template",
                                           figures.compute_slowdown),
        slowdown_by_team=figures.split(completed, "team",
                                       figures.compute_slowdown),
        adjacent_share=adjacent,
        whole_share=whole,
        large_wait=figures.spread(map(figures.compute_wait, large)),
        large_over_s=fragmentation.measure_excess(replay, large),
        floods=floods_module.measure_floods(replay, base) if base else None,
        small_ratio=small_ratio,
        jain=jain,
        use=use,
        use_ratio=use_ratio,
        urgent_start=figures.spread(urgent),
        reclaim=figures.spread(reclaim),
        reclaim_over_s=max(reclaim, default=math.nan) -
        replay.trace.checkpoint_s,
        evictions=sum(result.evictions for result in found),
        decision_mean_s=float(numpy.mean(decisions)) if decisions else math.nan,
        decision_max_s=max(decisions, default=math.nan),
        unmet=tuple(statements.find_unmet(replay)))


def _count_outcomes(found: Sequence[results.Result]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in found:
        outcome = str(result.outcome) or "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    return dict(sorted(counts.items()))


def _measure_use(replay: results.Replay,
                 known_use: float) -> tuple[float, float]:
    horizon_s = figures.find_horizon(replay)
    trace = replay.trace
    delivered = sum(each.accelerators *
                    max(0.0,
                        min(each.end_s, horizon_s) - each.begin_s)
                    for each in replay.deliveries)
    use = figures.divide(delivered, trace.fleet.accelerators * horizon_s)
    return use, figures.divide(delivered, known_use)
