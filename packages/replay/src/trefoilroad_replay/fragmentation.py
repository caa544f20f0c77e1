"""Fragmentation and the wait of large gangs."""

from collections.abc import Sequence
import math

from trefoilroad_core import request
from trefoilroad_replay import figures
from trefoilroad_replay import results

LARGE_SHARE = 0.5
"""A gang is large from this share of the accelerators of the largest rack."""


def measure_fragmentation(replay: results.Replay) -> tuple[float, float]:
    """Returns time-weighted means over the time in which work is released."""
    horizon_s = figures.find_horizon(replay)
    fleet = replay.trace.fleet
    largest = find_largest_rack(replay)
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


def find_largest_rack(replay: results.Replay) -> int:
    """Returns the most accelerators of one rack."""
    fleet = replay.trace.fleet
    return max(
        sum(fleet.workers[worker_id].accelerators
            for worker_id in members)
        for members in fleet.racks.values())


def find_large(replay: results.Replay) -> list[results.Result]:
    """Returns large gangs that started, or expired without a start."""
    limit = LARGE_SHARE * find_largest_rack(replay)
    return [
        result for result in replay.results
        if result.release.shape.total_accelerators >= limit and
        result.outcome in (request.State.COMPLETED, request.State.EXPIRED)
    ]


def measure_excess(replay: results.Replay,
                   large: Sequence[results.Result]) -> float:
    """Returns the longest wait beyond what the work ahead needs.

    By the time a gang is served in fair order, its team has been served what
    it had waiting before, and each other team no more than its weight allows
    in that time, or all that it released until then. Work inside guarantees
    goes first. The gang also waits for what runs, the longest of which may
    hold its rack. Work counts with its true run time, and adjacent gangs with
    the share of a rack that they leave to others of their size.
    """
    return max((figures.compute_wait(result) - _bound_wait(replay, result)
                for result in large),
               default=math.nan)


def _bound_wait(replay: results.Replay, gang: results.Result) -> float:
    at_s = gang.received_s
    until_s = math.inf if gang.started_s is None else gang.started_s
    shape = gang.release.shape
    rack = find_largest_rack(replay)
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
