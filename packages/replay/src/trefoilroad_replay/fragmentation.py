"""Fragmentation and the wait of large gangs."""

from collections.abc import Sequence
import math

from trefoilroad_core import request
from trefoilroad_replay import results
from trefoilroad_replay import statistics

LARGE_GANG_RACK_SHARE = 0.5
"""Share of the largest rack's accelerators from which on a gang is large."""


def measure_fragmentation(replay: results.Replay) -> tuple[float, float]:
    """Measures how large a gang fits into the free accelerators.

    Args:
        replay: The replay.

    Returns:
        Accelerators of the largest gang that fits in a rack, and of the
        largest one of whole workers. Both are relative to the free
        accelerators, or to the largest rack if that is smaller, and are
        time-weighted means up to the last submission. NaN if nothing was free.
    """
    horizon_s = statistics.find_horizon(replay)
    fleet = replay.trace.fleet
    largest = find_largest_rack(replay)
    adjacent = whole = total_s = 0.0
    samples = replay.samples
    for index, sample in enumerate(samples):
        next_at_s = samples[index +
                            1].at_s if index + 1 < len(samples) else horizon_s
        duration_s = min(next_at_s, horizon_s) - sample.at_s
        upper_bound = min(sample.free.total, largest)
        if duration_s <= 0 or not upper_bound or not fleet.accelerators:
            continue
        adjacent += duration_s * sample.free.adjacent / upper_bound
        whole += duration_s * sample.free.whole / upper_bound
        total_s += duration_s
    if not total_s:
        return math.nan, math.nan
    return adjacent / total_s, whole / total_s


def find_largest_rack(replay: results.Replay) -> int:
    """Returns the number of accelerators of the largest rack."""
    fleet = replay.trace.fleet
    return max(
        sum(fleet.workers[worker_id].accelerators
            for worker_id in members)
        for members in fleet.racks.values())


def find_large_gangs(replay: results.Replay) -> list[results.Result]:
    """Returns large gangs that completed, or expired without a start."""
    min_accelerators = LARGE_GANG_RACK_SHARE * find_largest_rack(replay)
    return [
        result for result in replay.results
        if result.trace_request.shape.total_accelerators >= min_accelerators and
        result.outcome in (request.State.COMPLETED, request.State.EXPIRED)
    ]


def measure_excess_wait(replay: results.Replay,
                        large: Sequence[results.Result]) -> float:
    """Returns the longest wait of a gang beyond what the work ahead needs.

    When a gang starts in fair order, its team has received the work that it
    had waiting before. Each other team has received no more than its weight
    allows in that time, and no more than all that it released until then. Work
    inside guarantees goes first. The gang also waits for the running gangs,
    and the longest of them may hold its rack. Work is the true run time times
    the accelerators; for adjacent gangs, these include the accelerators of the
    rack that another gang of the same size cannot use.

    Args:
        replay: The replay.
        large: Results of the large gangs.

    Returns:
        The longest excess in seconds, negative if all gangs started earlier,
        and NaN without large gangs.
    """
    return max(
        (statistics.compute_wait(result) - _compute_fair_wait(replay, result)
         for result in large),
        default=math.nan)


def _compute_fair_wait(replay: results.Replay, gang: results.Result) -> float:
    """Returns the wait in seconds that the work ahead of a gang explains."""
    received_s = gang.received_s
    started_s = math.inf if gang.started_s is None else gang.started_s
    shape = gang.trace_request.shape
    rack_accelerators = find_largest_rack(replay)
    accelerators = sum(worker.accelerators
                       for worker in replay.trace.fleet.workers.values()
                       if worker.accelerators >= shape.accelerators)
    longest_s = running_work = own_team_work = guaranteed_work = 0.0
    other_team_work: dict[str, float] = {}
    for result in replay.results:
        trace_request = result.trace_request
        gang_accelerators = _get_rack_share(trace_request.shape,
                                            rack_accelerators)
        if (result is gang or not gang_accelerators or
                result.received_s > started_s):
            continue
        begin_s = math.inf if result.started_s is None else result.started_s
        end_s = math.inf if result.end_s is None else result.end_s
        if end_s <= received_s:
            continue
        if begin_s <= received_s:
            remaining_s = max(0.0, trace_request.run_s - (received_s - begin_s))
            running_work += gang_accelerators * remaining_s
            longest_s = max(longest_s, remaining_s)
        elif trace_request.team != gang.trace_request.team:
            work = gang_accelerators * trace_request.run_s
            if result.started_guaranteed and begin_s <= started_s:
                guaranteed_work += work
                continue
            other_team_work[trace_request.team] = other_team_work.get(
                trace_request.team, 0.0) + work
        elif result.received_s <= received_s:
            own_team_work += gang_accelerators * trace_request.run_s
    served_work = own_team_work + _get_rack_share(
        shape, rack_accelerators) * gang.trace_request.run_s
    teams = replay.trace.configuration.teams
    weight = teams[gang.trace_request.team].weight
    work_ahead = own_team_work + running_work + guaranteed_work + sum(
        min(work, served_work * teams[name].weight / weight)
        for name, work in other_team_work.items())
    return work_ahead / accelerators + longest_s


def _get_rack_share(shape: request.Shape, rack_accelerators: int) -> float:
    """Returns the accelerators that a gang denies to others of its size.

    An adjacent gang also denies its share of what is left over when a rack is
    filled with such gangs.
    """
    gang_accelerators = shape.total_accelerators
    if (shape.adjacent != "rack" or not gang_accelerators or
            gang_accelerators > rack_accelerators):
        return gang_accelerators
    return rack_accelerators / (rack_accelerators // gang_accelerators)
