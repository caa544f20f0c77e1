"""Effect of a disturbance, such as a flood of requests, on other work."""

import math
from typing import NamedTuple

from trefoilroad_replay import results
from trefoilroad_replay import statistics


class FloodImpact(NamedTuple):
    """Performance of the other work, relative to that in the base trace.

    Attributes:
        throughput: Ratio of completed requests and of delivered accelerator
            seconds, the smaller of both.
        completion: Ratio of p95 completion times.
        slowdown: Ratio of p95 slowdowns.
        worst_team: Largest ratio of p95 completion times of one team.
    """

    throughput: float
    completion: float
    slowdown: float
    worst_team: float


def measure_flood_impact(replay: results.Replay,
                         base: results.Replay) -> FloodImpact:
    """Compares the work of the other teams from the disturbance on.

    Args:
        replay: Replay of a trace with a disturbance.
        base: Replay of its base trace with the same policy.

    Returns:
        Ratios of the values of the replay to those of the base.
    """
    base_request_ids = {
        trace_request.request_id for trace_request in base.trace.trace_requests
    }
    disturbance_times = [
        trace_request.at_s
        for trace_request in replay.trace.trace_requests
        if trace_request.request_id not in base_request_ids
    ]
    begin_s = min(disturbance_times, default=0.0)
    until_s = statistics.find_horizon(base)
    selected_results = [
        _select_others(record, base_request_ids, replay.trace.disturbing,
                       begin_s) for record in (replay, base)
    ]
    counts = [
        sum(1
            for result in request_results
            if (result.end_s or math.inf) <= until_s)
        for request_results in selected_results
    ]
    delivered = [
        _sum_deliveries(record, replay.trace.disturbing, begin_s, until_s)
        for record in (replay, base)
    ]
    completion = [
        statistics.summarize(map(statistics.compute_completion,
                                 request_results)).p95
        for request_results in selected_results
    ]
    slowdown = [
        statistics.summarize(map(statistics.compute_slowdown,
                                 request_results)).p95
        for request_results in selected_results
    ]
    by_team = [
        statistics.summarize_by_field(request_results, "team",
                                      statistics.compute_completion)
        for request_results in selected_results
    ]
    ratios = [
        by_team[0][name].p95 / by_team[1][name].p95
        for name in by_team[1]
        if name in by_team[0]
    ]
    return FloodImpact(throughput=min(statistics.compute_ratio(*counts),
                                      statistics.compute_ratio(*delivered)),
                       completion=statistics.compute_ratio(*completion),
                       slowdown=statistics.compute_ratio(*slowdown),
                       worst_team=max(ratios, default=math.nan))


def _select_others(replay: results.Replay, base_request_ids: set[str],
                   disturbing: frozenset[str],
                   begin_s: float) -> list[results.Result]:
    return [
        result for result in statistics.select_completed(replay.results)
        if result.trace_request.request_id in base_request_ids and
        result.trace_request.team not in disturbing and
        result.trace_request.at_s >= begin_s
    ]


def _sum_deliveries(replay: results.Replay, disturbing: frozenset[str],
                    begin_s: float, until_s: float) -> float:
    return sum(
        delivery.accelerators *
        max(0.0,
            min(delivery.end_s, until_s) - max(delivery.begin_s, begin_s))
        for delivery in replay.deliveries
        if delivery.team not in disturbing)
