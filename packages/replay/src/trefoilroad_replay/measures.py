"""Figures of one replay."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

import numpy

from trefoilroad_core import request
from trefoilroad_replay import reference
from trefoilroad_replay import results
from trefoilroad_replay import trace as trace_module

SLOWDOWN_FLOOR_S = 10.0
"""Run times below this count as this, so that the start time of very short
requests does not dominate the slowdown (Feitelson and Rudolph, JSSPP 1998)."""

LARGE_SHARE = 0.5
"""A gang is large from this share of the accelerators of the largest rack."""


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
    completion: Spread
    slowdown: Spread
    by_template: dict[str, Spread]
    by_team: dict[str, Spread]
    slowdown_by_template: dict[str, Spread]
    slowdown_by_team: dict[str, Spread]
    adjacent_share: float
    whole_share: float
    large_wait: Spread
    large_over_s: float
    floods: Floods | None
    small_ratio: float
    jain: float
    use: float
    use_ratio: float
    urgent_start: Spread
    reclaim: Spread
    reclaim_over_s: float
    evictions: int
    decision_mean_s: float
    decision_max_s: float
    unmet: tuple[str, ...]


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


def _compute_wait(result: results.Result) -> float:
    if result.started_s is None:
        return math.inf
    return result.started_s - result.received_s


def _compute_work(replay: results.Replay, result: results.Result) -> float:
    """Returns dominant share of the fleet times run time, in seconds."""
    fleet = replay.trace.fleet
    shape = result.release.shape
    shares = [
        shape.accelerators / max(1, fleet.accelerators),
        shape.cores / sum(worker.cores for worker in fleet.workers.values()),
        shape.memory_gb /
        sum(worker.memory_gb for worker in fleet.workers.values())
    ]
    return max(shares) * shape.tasks * result.release.run_s


def measure(replay: results.Replay, base: results.Replay | None) -> Measures:
    """Computes all figures of a replay.

    Args:
        replay: The replay.
        base: Replay of the base trace with the same policy, if it has one.

    Returns:
        The figures.
    """
    found = replay.results
    completed = select_completed(found)
    decisions = [sample.decision_s for sample in replay.samples]
    adjacent, whole = _measure_fragmentation(replay)
    large = _find_large(replay)
    small_ratio, jain = _measure_callers(replay, completed)
    use, use_ratio = _measure_use(replay)
    urgent = [
        _compute_wait(result) for result in found if result.is_covered and
        result.had_room and result.release.priority == 0
    ]
    reclaim = [
        _compute_wait(result) for result in found if result.is_covered and
        not result.had_room and result.outcome != request.State.CANCELLED
    ]
    return Measures(
        trace=replay.trace.name,
        policy=replay.policy,
        outcomes=_count_outcomes(found),
        completion=spread(map(compute_completion, completed)),
        slowdown=spread(map(compute_slowdown, completed)),
        by_template=_split(completed, "template", compute_completion),
        by_team=_split(completed, "team", compute_completion),
        slowdown_by_template=_split(completed, "template", compute_slowdown),
        slowdown_by_team=_split(completed, "team", compute_slowdown),
        adjacent_share=adjacent,
        whole_share=whole,
        large_wait=spread(map(_compute_wait, large)),
        large_over_s=_measure_excess(replay, large),
        floods=_measure_floods(replay, base) if base else None,
        small_ratio=small_ratio,
        jain=jain,
        use=use,
        use_ratio=use_ratio,
        urgent_start=spread(urgent),
        reclaim=spread(reclaim),
        reclaim_over_s=max(reclaim, default=math.nan) -
        replay.trace.checkpoint_s,
        evictions=sum(result.evictions for result in found),
        decision_mean_s=float(numpy.mean(decisions)) if decisions else math.nan,
        decision_max_s=max(decisions, default=math.nan),
        unmet=tuple(_find_unmet(replay)))


def _count_outcomes(found: Sequence[results.Result]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in found:
        outcome = str(result.outcome) or "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    return dict(sorted(counts.items()))


def _split(found: Sequence[results.Result], field: str,
           compute: Callable[[results.Result], float]) -> dict[str, Spread]:
    groups: dict[str, list[float]] = {}
    for result in found:
        groups.setdefault(getattr(result.release, field),
                          []).append(compute(result))
    return {name: spread(values) for name, values in sorted(groups.items())}


def _find_horizon(replay: results.Replay) -> float:
    return max(release.at_s for release in replay.trace.releases)


def _measure_fragmentation(replay: results.Replay) -> tuple[float, float]:
    """Returns time-weighted means over the time in which work is released."""
    horizon_s = _find_horizon(replay)
    fleet = replay.trace.fleet
    largest = _find_largest_rack(replay)
    adjacent = whole = total_s = 0.0
    samples = replay.samples
    for index, sample in enumerate(samples):
        later = samples[index +
                        1].at_s if index + 1 < len(samples) else horizon_s
        length_s = min(later, horizon_s) - sample.at_s
        possible = min(sample.free.total, largest)
        if length_s <= 0 or not possible or not fleet.accelerators:
            continue
        adjacent += length_s * sample.free.adjacent / possible
        whole += length_s * sample.free.whole / possible
        total_s += length_s
    if not total_s:
        return math.nan, math.nan
    return adjacent / total_s, whole / total_s


def _find_largest_rack(replay: results.Replay) -> int:
    fleet = replay.trace.fleet
    return max(
        sum(fleet.workers[worker_id].accelerators
            for worker_id in members)
        for members in fleet.racks.values())


def _find_large(replay: results.Replay) -> list[results.Result]:
    limit = LARGE_SHARE * _find_largest_rack(replay)
    return [
        result for result in replay.results
        if result.release.shape.total_accelerators >= limit and
        result.outcome in (request.State.COMPLETED, request.State.EXPIRED)
    ]


def _measure_excess(replay: results.Replay,
                    large: Sequence[results.Result]) -> float:
    """Returns the longest wait beyond what the work ahead needs.

    By the time a gang is served in fair order, its team has been served what
    it had waiting before, and each other team no more than its weight allows
    in that time, or all that it released until then. Work inside guarantees
    goes first. The gang also waits for what runs, the longest of which may
    hold its rack. Work counts with its true run time, and adjacent gangs with
    the share of a rack that they leave to others of their size.
    """
    return max((_compute_wait(result) - _bound_wait(replay, result)
                for result in large),
               default=math.nan)


def _bound_wait(replay: results.Replay, gang: results.Result) -> float:
    at_s = gang.received_s
    until_s = math.inf if gang.started_s is None else gang.started_s
    shape = gang.release.shape
    rack = _find_largest_rack(replay)
    accelerators = sum(worker.accelerators
                       for worker in replay.trace.fleet.workers.values()
                       if worker.accelerators >= shape.accelerators)
    longest_s = running = own = firm = 0.0
    others: dict[str, float] = {}
    for result in replay.results:
        release = result.release
        size = _get_rack_share(release.shape, rack)
        if result is gang or not size or result.received_s > until_s:
            continue
        begin_s = math.inf if result.started_s is None else result.started_s
        end_s = math.inf if result.end_s is None else result.end_s
        if end_s <= at_s:
            continue
        if begin_s <= at_s:
            left_s = max(0.0, release.run_s - (at_s - begin_s))
            running += size * left_s
            longest_s = max(longest_s, left_s)
        elif release.team != gang.release.team:
            work = size * release.run_s
            if result.is_first_guaranteed and begin_s <= until_s:
                firm += work
                continue
            others[release.team] = others.get(release.team, 0.0) + work
        elif result.received_s <= at_s:
            own += size * release.run_s
    served = own + _get_rack_share(shape, rack) * gang.release.run_s
    teams = replay.trace.configuration.teams
    weight = teams[gang.release.team].weight
    ahead = own + running + firm + sum(
        min(work, served * teams[name].weight / weight)
        for name, work in others.items())
    return ahead / accelerators + longest_s


def _get_rack_share(shape: request.Shape, rack: int) -> float:
    """Returns the accelerators that a gang takes from others of its size."""
    size = shape.total_accelerators
    if shape.adjacent != "rack" or not size or size > rack:
        return size
    return rack / (rack // size)


def _measure_callers(
        replay: results.Replay,
        completed: Sequence[results.Result]) -> tuple[float, float]:
    """Compares small callers with large ones.

    Large callers are the fewest that together ask for half of all work, and
    the fewest that together send half of all requests.
    """
    work: dict[tuple[str, str], float] = {}
    slowdowns: dict[tuple[str, str], list[float]] = {}
    for result in completed:
        caller = result.release.team, result.release.caller
        work[caller] = work.get(caller, 0.0) + _compute_work(replay, result)
        slowdowns.setdefault(caller, []).append(compute_slowdown(result))
    sent = {caller: float(len(each)) for caller, each in slowdowns.items()}
    names = _find_half(work) | _find_half(sent)
    large = [each for caller in names for each in slowdowns[caller]]
    small = [
        each for caller in slowdowns.keys() - names
        for each in slowdowns[caller]
    ]
    if not large or not small:
        return math.nan, math.nan
    speeds = [1.0 / float(numpy.mean(each)) for each in slowdowns.values()]
    jain = sum(speeds)**2 / (len(speeds) * sum(speed**2 for speed in speeds))
    return spread(small).p95 / spread(large).p95, jain


def _find_half(sizes: dict[tuple[str, str], float]) -> set[tuple[str, str]]:
    """Returns the fewest callers that have half of the total."""
    found = set()
    covered = 0.0
    for caller in sorted(sizes, key=lambda caller: (-sizes[caller], caller)):
        if covered >= sum(sizes.values()) / 2:
            break
        found.add(caller)
        covered += sizes[caller]
    return found


def _measure_use(replay: results.Replay) -> tuple[float, float]:
    horizon_s = _find_horizon(replay)
    trace = replay.trace
    delivered = sum(each.accelerators *
                    max(0.0,
                        min(each.end_s, horizon_s) - each.begin_s)
                    for each in replay.deliveries)
    use = _divide(delivered, trace.fleet.accelerators * horizon_s)
    has_faults = trace.changes or trace.outages or trace.bad or trace.cancels
    if has_faults:
        return use, math.nan
    return use, _divide(delivered,
                        reference.measure_known_use(trace, horizon_s))


def _measure_floods(replay: results.Replay, base: results.Replay) -> Floods:
    """Compares the work of other teams after the disturbance began."""
    known = {release.request_id for release in base.trace.releases}
    added = [
        release.at_s
        for release in replay.trace.releases
        if release.request_id not in known
    ]
    begin_s = min(added, default=0.0)
    until_s = _find_horizon(base)
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
    completion = [spread(map(compute_completion, each)).p95 for each in chosen]
    slowdown = [spread(map(compute_slowdown, each)).p95 for each in chosen]
    teams = [_split(each, "team", compute_completion) for each in chosen]
    ratios = [
        teams[0][name].p95 / teams[1][name].p95
        for name in teams[1]
        if name in teams[0]
    ]
    return Floods(throughput=min(_divide(*counts), _divide(*work)),
                  completion=_divide(*completion),
                  slowdown=_divide(*slowdown),
                  worst_team=max(ratios, default=math.nan))


def _divide(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else math.nan


def _select_others(replay: results.Replay, known: set[str],
                   disturbing: frozenset[str],
                   begin_s: float) -> list[results.Result]:
    return [
        result for result in select_completed(replay.results)
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


def _find_unmet(replay: results.Replay) -> Iterable[str]:
    """Yields the stated outcomes that were not met."""
    for expectation in replay.trace.expectations:
        found = [
            result for result in replay.results
            if expectation.selects(result.release)
        ]
        what = ", ".join(
            filter(None, (expectation.team, expectation.template,
                          f"{len(expectation.requests)} requests"
                          if expectation.requests else ""))) or "all"
        share = sum(result.outcome == expectation.outcome
                    for result in found) / len(found)
        if share < expectation.min_share:
            yield (
                f"{expectation.place}: {what}: {share:.1%} "
                f"{expectation.outcome}, expected {expectation.min_share:.1%}")
        yield from _find_late(expectation, what, found)


def _find_late(expectation: trace_module.Expectation, what: str,
               found: Sequence[results.Result]) -> Iterable[str]:
    if expectation.start_p99_s is not None:
        start_s = spread(map(_compute_wait, found)).p99
        if start_s > expectation.start_p99_s:
            yield (f"{expectation.place}: {what}: p99 start {start_s:.2f} s, "
                   f"expected {expectation.start_p99_s:.2f} s")
    if expectation.end_within_s is not None:
        end_s = max(
            math.inf if result.end_s is None else compute_completion(result)
            for result in found)
        if end_s > expectation.end_within_s:
            yield (f"{expectation.place}: {what}: last outcome {end_s:.2f} s, "
                   f"expected {expectation.end_within_s:.2f} s")
