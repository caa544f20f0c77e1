"""What other work keeps beside a disturbance."""

import math
from typing import NamedTuple

from trefoilroad_replay import figures
from trefoilroad_replay import results


class Floods(NamedTuple):
    """What other work keeps beside a disturbance, relative to the base trace.

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


def measure_floods(replay: results.Replay, base: results.Replay) -> Floods:
    """Compares the work of other teams after the disturbance began."""
    known = {release.request_id for release in base.trace.releases}
    added = [
        release.at_s
        for release in replay.trace.releases
        if release.request_id not in known
    ]
    begin_s = min(added, default=0.0)
    until_s = figures.find_horizon(base)
    chosen = [
        _select_others(each, known, replay.trace.disturbing, begin_s)
        for each in (replay, base)
    ]
    counts = [
        sum(1
            for result in each
            if (result.end_s or math.inf) <= until_s)
        for each in chosen
    ]
    work = [
        _sum_deliveries(each, replay.trace.disturbing, begin_s, until_s)
        for each in (replay, base)
    ]
    completion = [
        figures.spread(map(figures.compute_completion, each)).p95
        for each in chosen
    ]
    slowdown = [
        figures.spread(map(figures.compute_slowdown, each)).p95
        for each in chosen
    ]
    teams = [
        figures.split(each, "team", figures.compute_completion)
        for each in chosen
    ]
    ratios = [
        teams[0][name].p95 / teams[1][name].p95
        for name in teams[1]
        if name in teams[0]
    ]
    return Floods(throughput=min(figures.divide(*counts),
                                 figures.divide(*work)),
                  completion=figures.divide(*completion),
                  slowdown=figures.divide(*slowdown),
                  worst_team=max(ratios, default=math.nan))


def _select_others(replay: results.Replay, known: set[str],
                   disturbing: frozenset[str],
                   begin_s: float) -> list[results.Result]:
    return [
        result for result in figures.select_completed(replay.results)
        if result.release.request_id in known and
        result.release.team not in disturbing and result.release.at_s >= begin_s
    ]


def _sum_deliveries(replay: results.Replay, disturbing: frozenset[str],
                    begin_s: float, until_s: float) -> float:
    return sum(each.accelerators *
               max(0.0,
                   min(each.end_s, until_s) - max(each.begin_s, begin_s))
               for each in replay.deliveries
               if each.team not in disturbing)
