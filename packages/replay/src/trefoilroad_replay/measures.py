"""Measures of one replay."""

from collections.abc import Sequence
import math
from typing import NamedTuple

import numpy

from trefoilroad_core import request
from trefoilroad_replay import callers
from trefoilroad_replay import expectations
from trefoilroad_replay import floods as floods_module
from trefoilroad_replay import fragmentation
from trefoilroad_replay import results
from trefoilroad_replay import statistics


class Measures(NamedTuple):
    """All measures of one replay; times are in seconds, NaN if not applicable.

    Attributes:
        trace: Name of the trace.
        policy: Name of the policy.
        outcomes: Number of requests by outcome.
        completion: Completion time of all completed requests.
        slowdown: Ratio of completion time to run time.
        by_template: Completion time by template.
        by_team: Completion time by team.
        slowdown_by_template: Slowdown by template.
        slowdown_by_team: Slowdown by team.
        adjacent_share: Fragmentation: accelerators of the largest gang that
            fits in a rack, relative to the free accelerators or to the largest
            rack if that is smaller; mean over time.
        whole_share: The same for gangs that need whole workers.
        large_wait: Wait of large gangs from receipt to start.
        large_over_s: Longest wait of a large gang beyond what the work ahead
            of it in fair order needs.
        floods: Effect of a disturbance on the other work, None without a base.
        small_ratio: p95 slowdown of small callers relative to large ones.
        jain: Jain's fairness index of the callers' mean speeds.
        use: Share of the accelerator time up to the last submission that
            delivered work.
        use_ratio: Delivered accelerator time relative to that of the
            clairvoyant schedule.
        urgent_start: Receipt to start of requests of the most urgent priority
            that found a free guarantee and free capacity.
        reclaim: Receipt to start of requests that found a free guarantee but
            no free capacity, so that it had to be reclaimed.
        reclaim_over_s: Longest reclaim, less the checkpoint time.
        evictions: Number of evictions.
        decision_mean_s: Mean processor time of a round.
        decision_max_s: Longest processor time of a round.
        unmet: Expectations of the trace that were not met.
    """

    trace: str
    policy: str
    outcomes: dict[str, int]
    completion: statistics.Distribution
    slowdown: statistics.Distribution
    by_template: dict[str, statistics.Distribution]
    by_team: dict[str, statistics.Distribution]
    slowdown_by_template: dict[str, statistics.Distribution]
    slowdown_by_team: dict[str, statistics.Distribution]
    adjacent_share: float
    whole_share: float
    large_wait: statistics.Distribution
    large_over_s: float
    floods: floods_module.FloodImpact | None
    small_ratio: float
    jain: float
    use: float
    use_ratio: float
    urgent_start: statistics.Distribution
    reclaim: statistics.Distribution
    reclaim_over_s: float
    evictions: int
    decision_mean_s: float
    decision_max_s: float
    unmet: tuple[str, ...]


def measure(replay: results.Replay, base: results.Replay | None,
            clairvoyant_accelerator_s: float) -> Measures:
    """Computes all measures of a replay.

    Args:
        replay: The replay.
        base: Replay of the base trace with the same policy, if it has one.
        clairvoyant_accelerator_s: Accelerator seconds that the clairvoyant
            schedule delivers, or NaN.

    Returns:
        The measures.
    """
    request_results = replay.results
    completed = statistics.select_completed(request_results)
    decisions = [sample.decision_s for sample in replay.samples]
    adjacent, whole = fragmentation.measure_fragmentation(replay)
    large = fragmentation.find_large_gangs(replay)
    small_ratio, jain = callers.compare_callers(replay, completed)
    use, use_ratio = _measure_use(replay, clairvoyant_accelerator_s)
    urgent = [
        statistics.compute_wait(result)
        for result in request_results
        if result.had_free_guarantee and result.had_room and
        result.trace_request.priority == 0
    ]
    reclaim = [
        statistics.compute_wait(result)
        for result in request_results
        if result.had_free_guarantee and not result.had_room and
        result.outcome != request.State.CANCELLED
    ]
    return Measures(
        trace=replay.trace.name,
        policy=replay.policy,
        outcomes=_count_outcomes(request_results),
        completion=statistics.summarize(
            map(statistics.compute_completion, completed)),
        slowdown=statistics.summarize(
            map(statistics.compute_slowdown, completed)),
        by_template=statistics.summarize_by_field(
            completed, "template", statistics.compute_completion),
        by_team=statistics.summarize_by_field(completed, "team",
                                              statistics.compute_completion),
        slowdown_by_template=statistics.summarize_by_field(
            completed, "template", statistics.compute_slowdown),
        slowdown_by_team=statistics.summarize_by_field(
            completed, "team", statistics.compute_slowdown),
        adjacent_share=adjacent,
        whole_share=whole,
        large_wait=statistics.summarize(map(statistics.compute_wait, large)),
        large_over_s=fragmentation.measure_excess_wait(replay, large),
        floods=floods_module.measure_flood_impact(replay, base)
        if base else None,
        small_ratio=small_ratio,
        jain=jain,
        use=use,
        use_ratio=use_ratio,
        urgent_start=statistics.summarize(urgent),
        reclaim=statistics.summarize(reclaim),
        reclaim_over_s=max(reclaim, default=math.nan) -
        replay.trace.checkpoint_s,
        evictions=sum(result.evictions for result in request_results),
        decision_mean_s=float(numpy.mean(decisions)) if decisions else math.nan,
        decision_max_s=max(decisions, default=math.nan),
        unmet=tuple(expectations.find_unmet(replay)))


def _count_outcomes(
        request_results: Sequence[results.Result]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in request_results:
        outcome = str(result.outcome) or "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    return dict(sorted(counts.items()))


def _measure_use(replay: results.Replay,
                 clairvoyant_accelerator_s: float) -> tuple[float, float]:
    horizon_s = statistics.find_horizon(replay)
    trace = replay.trace
    delivered = sum(delivery.accelerators *
                    max(0.0,
                        min(delivery.end_s, horizon_s) - delivery.begin_s)
                    for delivery in replay.deliveries)
    use = statistics.compute_ratio(delivered,
                                   trace.fleet.accelerators * horizon_s)
    return use, statistics.compute_ratio(delivered, clairvoyant_accelerator_s)
