"""Tests of measures, targets and the reference schedule."""

import math

import pytest
import replay_builders as builders

from trefoilroad_replay import figures as figures_module
from trefoilroad_replay import measures
from trefoilroad_replay import reference
from trefoilroad_replay import results
from trefoilroad_replay import site
from trefoilroad_replay import targets

release = builders.release


def build_replay(trace, times, deliveries=()):
    """Builds a record from start and end of each request."""
    found = [
        results.Result(release=each,
                       outcome="completed",
                       received_s=each.at_s,
                       started_s=times[each.request_id][0],
                       end_s=times[each.request_id][1],
                       attempts=1,
                       evictions=0,
                       is_covered=True,
                       had_room=True,
                       reclaimed=False,
                       is_first_guaranteed=False) for each in trace.releases
    ]
    samples = [
        results.Sample(0.0, site.Free(16, 16, 16), 0, 0, 0, 0.001),
        results.Sample(50.0, site.Free(8, 4, 0), 8, 0, 1, 0.003)
    ]
    return results.Replay(trace, "default", tuple(found), tuple(samples),
                          tuple(deliveries))


def test_completion_fragmentation_and_urgent_start():
    """Guards against figures that leave out the wait or the time weights."""
    trace = builders.build_trace(
        release("r1", "urgent", run_s=100.0),
        release("r2", "urgent", at_s=100.0, run_s=100.0))
    record = build_replay(trace, {"r1": (1, 101), "r2": (200, 300)})
    figures = measures.measure(record, None, math.nan)
    assert figures.completion.worst == 200.0
    assert figures.slowdown.worst == 2.0
    assert figures.urgent_start.p99 == 100.0
    assert figures.adjacent_share == pytest.approx((1.0 + 0.5) / 2)
    assert figures.whole_share == pytest.approx(0.5)
    verdicts = {
        each.target.name: each.is_met for each in targets.judge(figures)
    }
    assert verdicts["p99 start of urgent guaranteed work with room, s"] is False


def test_flood_is_compared_with_the_base_request_by_request():
    """Guards against counting the flood's own work as kept throughput."""
    ordinary = [
        release(f"r{i}", at_s=10.0 * i, run_s=10.0, team="yarn")
        for i in range(10)
    ]
    flood = [release(f"f{i}", at_s=0.0, run_s=10.0) for i in range(10)]
    base = build_replay(builders.build_trace(*ordinary),
                        {f"r{i}": (10 * i, 10 * i + 10) for i in range(10)})
    late = {f"r{i}": (10 * i + 20, 10 * i + 30) for i in range(10)}
    late |= {f"f{i}": (0, 10) for i in range(10)}
    trace = builders.build_trace(*ordinary,
                                 *flood,
                                 name="flood",
                                 base="small",
                                 disturbing=["knit"])
    figures = measures.measure(build_replay(trace, late), base, math.nan)
    assert figures.floods.completion == pytest.approx(3.0)
    # By the last release, 9 requests had ended in the base and 7 in the flood.
    assert figures.floods.throughput == pytest.approx(7 / 9)
    unmet = [
        each.target.name for each in targets.judge(figures) if not each.is_met
    ]
    assert len([name for name in unmet if "flood" in name]) == 2


def test_small_callers_are_compared_with_large_ones():
    """Guards against an index that says "fair" whatever callers wait."""
    work = [
        release("big", "route", run_s=1000.0, caller="big"),
        *(release(f"r{i}", run_s=10.0, caller="busy") for i in range(8)),
        release("s1", run_s=10.0, caller="small1"),
        release("s2", run_s=10.0, caller="small2")
    ]
    times = {each["id"]: (0, each["run_s"]) for each in work}
    trace = builders.build_trace(*work)
    figures = measures.measure(build_replay(trace, times), None, math.nan)
    assert (figures.small_ratio, figures.jain) == (1.0, pytest.approx(1.0))
    times |= {"s1": (990, 1000), "s2": (990, 1000)}
    figures = measures.measure(build_replay(trace, times), None, math.nan)
    assert figures.small_ratio == 100.0
    assert figures.jain < 0.6


@pytest.mark.parametrize(("start_s", "is_met"), [(400.0, True), (800.0, False)])
def test_large_gang_is_judged_by_the_work_ahead_of_it(start_s, is_met):
    """Guards against large gangs that small work passes by for ever."""
    work = [
        release("ahead", "route", run_s=300.0),
        release("large", "route", at_s=1.0, run_s=50.0),
        *(release(f"r{i}", at_s=2.0, run_s=100.0, team="yarn")
          for i in range(40))
    ]
    times = {each["id"]: (500, 600) for each in work}
    times |= {"ahead": (0, 300), "large": (start_s, start_s + 50)}
    record = build_replay(builders.build_trace(*work), times)
    # Ahead are 299 s of the whole fleet, the longest run, and of the other
    # team no more than the gang's own 50 s of the whole fleet.
    figures = measures.measure(record, None, math.nan)
    bound_s = 2 * 299 + 50
    assert figures.large_over_s == max(0.0, start_s - 1 - bound_s)
    assert (figures.large_over_s <= 0) is is_met


def test_stated_outcomes_are_checked():
    """Guards against a trace whose statements nothing compares."""
    trace = builders.build_trace(
        release("r1"), {
            "kind": "expect",
            "outcome": "not_run",
            "requests": ["r1"],
            "start_p99_s": 1.4,
            "end_within_s": 5
        })
    figures = measures.measure(build_replay(trace, {"r1": (2, 102)}), None,
                               math.nan)
    assert len(figures.unmet) == 3


def test_reference_uses_the_best_of_its_orders():
    """Guards against a weak reference that every policy beats."""
    # In order of arrival, the short gang would keep the whole-fleet one out.
    trace = builders.build_trace(release("r1", "once", run_s=10.0),
                                 release("r2", "route", run_s=100.0),
                                 release("r3", "once", at_s=100.0, run_s=1.0))
    assert reference.measure_known_use(trace) == 1600.0
    assert math.isnan(figures_module.spread([]).p95)
