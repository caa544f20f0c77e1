"""Tests of measures, targets and the clairvoyant reference schedule."""

import math

import pytest
import replay_builders as builders

from trefoilroad_replay import fleetstate
from trefoilroad_replay import measures
from trefoilroad_replay import reference
from trefoilroad_replay import results
from trefoilroad_replay import statistics
from trefoilroad_replay import targets

trace_request = builders.trace_request


def build_replay(trace, times, deliveries=()):
    """Builds a replay record from the start and end time of each request."""
    request_results = [
        results.Result(trace_request=submitted_request,
                       outcome="completed",
                       received_s=submitted_request.at_s,
                       started_s=times[submitted_request.request_id][0],
                       end_s=times[submitted_request.request_id][1],
                       attempts=1,
                       evictions=0,
                       had_free_guarantee=True,
                       had_room=True,
                       reclaimed=False,
                       started_guaranteed=False)
        for submitted_request in trace.trace_requests
    ]
    samples = [
        results.Sample(0.0, fleetstate.FreeAccelerators(16, 16, 16), 0, 0, 0,
                       0.001),
        results.Sample(50.0, fleetstate.FreeAccelerators(8, 4, 0), 8, 0, 1,
                       0.003)
    ]
    return results.Replay(trace, "default", tuple(request_results),
                          tuple(samples), tuple(deliveries))


def test_completion_fragmentation_and_urgent_start():
    """Guards against measures that omit the wait or the time weights."""
    trace = builders.build_trace(
        trace_request("r1", "urgent", run_s=100.0),
        trace_request("r2", "urgent", at_s=100.0, run_s=100.0))
    record = build_replay(trace, {"r1": (1, 101), "r2": (200, 300)})
    measured = measures.measure(record, None, math.nan)
    assert measured.completion.worst == 200.0
    assert measured.slowdown.worst == 2.0
    assert measured.urgent_start.p99 == 100.0
    assert measured.adjacent_share == pytest.approx((1.0 + 0.5) / 2)
    assert measured.whole_share == pytest.approx(0.5)
    verdicts = {
        verdict.target.name: verdict.is_met
        for verdict in targets.evaluate_targets(measured)
    }
    assert verdicts["p99 start of urgent guaranteed work with room, s"] is False


def test_flood_is_compared_with_the_base_request_by_request():
    """Guards against counting the flood itself as throughput of other work."""
    ordinary = [
        trace_request(f"r{i}", at_s=10.0 * i, run_s=10.0, team="yarn")
        for i in range(10)
    ]
    flood = [trace_request(f"f{i}", at_s=0.0, run_s=10.0) for i in range(10)]
    base = build_replay(builders.build_trace(*ordinary),
                        {f"r{i}": (10 * i, 10 * i + 10) for i in range(10)})
    times = {f"r{i}": (10 * i + 20, 10 * i + 30) for i in range(10)}
    times |= {f"f{i}": (0, 10) for i in range(10)}
    trace = builders.build_trace(*ordinary,
                                 *flood,
                                 name="flood",
                                 base="small",
                                 disturbing=["knit"])
    measured = measures.measure(build_replay(trace, times), base, math.nan)
    assert measured.floods.completion == pytest.approx(3.0)
    # By the last submission, 9 requests had ended in the base, 7 in the flood.
    assert measured.floods.throughput == pytest.approx(7 / 9)
    unmet = [
        verdict.target.name
        for verdict in targets.evaluate_targets(measured)
        if not verdict.is_met
    ]
    assert len([name for name in unmet if "flood" in name]) == 2


def test_small_callers_are_compared_with_large_ones():
    """Guards against a fairness index that ignores how long callers wait."""
    requests = [
        trace_request("big", "route", run_s=1000.0, caller="big"),
        *(trace_request(f"r{i}", run_s=10.0, caller="busy") for i in range(8)),
        trace_request("s1", run_s=10.0, caller="small1"),
        trace_request("s2", run_s=10.0, caller="small2")
    ]
    times = {request["id"]: (0, request["run_s"]) for request in requests}
    trace = builders.build_trace(*requests)
    measured = measures.measure(build_replay(trace, times), None, math.nan)
    assert (measured.small_ratio, measured.jain) == (1.0, pytest.approx(1.0))
    times |= {"s1": (990, 1000), "s2": (990, 1000)}
    measured = measures.measure(build_replay(trace, times), None, math.nan)
    assert measured.small_ratio == 100.0
    assert measured.jain < 0.6


@pytest.mark.parametrize(("start_s", "is_met"), [(400.0, True), (800.0, False)])
def test_wait_of_large_gang_is_compared_with_the_work_ahead(start_s, is_met):
    """Guards against starvation of large gangs by small ones."""
    requests = [
        trace_request("ahead", "route", run_s=300.0),
        trace_request("large", "route", at_s=1.0, run_s=50.0),
        *(trace_request(f"r{i}", at_s=2.0, run_s=100.0, team="yarn")
          for i in range(40))
    ]
    times = {request["id"]: (500, 600) for request in requests}
    times |= {"ahead": (0, 300), "large": (start_s, start_s + 50)}
    record = build_replay(builders.build_trace(*requests), times)
    # The work ahead is 299 s of the whole fleet, the longest run of 299 s, and
    # of the other team at most the gang's own work, 50 s of the whole fleet.
    measured = measures.measure(record, None, math.nan)
    bound_s = 2 * 299 + 50
    assert measured.large_over_s == max(0.0, start_s - 1 - bound_s)
    assert (measured.large_over_s <= 0) is is_met


def test_expectations_are_checked():
    """Guards against expectations of a trace that are not checked."""
    trace = builders.build_trace(
        trace_request("r1"), {
            "kind": "expect",
            "outcome": "not_run",
            "requests": ["r1"],
            "start_p99_s": 1.4,
            "end_within_s": 5
        })
    measured = measures.measure(build_replay(trace, {"r1": (2, 102)}), None,
                                math.nan)
    assert len(measured.unmet) == 3


def test_reference_uses_the_best_of_its_orders():
    """Guards against a weak reference that every policy exceeds."""
    # In order of arrival, the short gang delays the one that needs the whole
    # fleet.
    trace = builders.build_trace(
        trace_request("r1", "once", run_s=10.0),
        trace_request("r2", "route", run_s=100.0),
        trace_request("r3", "once", at_s=100.0, run_s=1.0))
    assert reference.compute_clairvoyant_use(trace) == 1600.0
    assert math.isnan(statistics.summarize([]).p95)
