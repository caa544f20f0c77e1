"""Tests of the replayer."""

import pytest
import replay_builders as builders

from trefoilroad_core import errors
from trefoilroad_core import health
from trefoilroad_core import scheduler
from trefoilroad_replay import replayer

trace_request = builders.trace_request


def test_gang_runs_for_its_true_time():
    """Guards against a replay that uses the declared run time."""
    _, results_by_id = builders.replay(
        trace_request("r1", run_s=42.0, declared_s=9000))
    assert results_by_id["r1"].outcome == "completed"
    assert results_by_id["r1"].end_s == pytest.approx(42.0 +
                                                      replayer.START_DELAY_S)


def test_eviction_takes_the_checkpoint_time_and_keeps_progress():
    """Guards against an eviction that takes no time or loses progress."""
    _, results_by_id = builders.replay(
        trace_request("lent", "route", run_s=500.0, team="yarn"),
        trace_request("firm", "once", at_s=200.0, run_s=50.0))
    assert results_by_id["lent"].evictions == 1
    assert results_by_id["firm"].reclaimed
    wait_s = results_by_id["firm"].started_s - 200.0
    assert 10.0 < wait_s < 11.4
    # It ran for 200 s before the eviction; the remaining 300 s follow the end
    # of the guaranteed gang.
    assert results_by_id["lent"].end_s == pytest.approx(
        results_by_id["firm"].end_s + 300.0, abs=2.0)


def test_lost_worker_stops_gangs_and_reruns_what_may_run_again():
    """Guards against a second run of a request that is not idempotent."""
    failed = {"kind": "worker", "at": 50, "workers": ["a1-01", "a1-02"]}
    _, results_by_id = builders.replay(
        trace_request("again"), trace_request("once", "once"),
        failed | {"state": "failed"}, failed | {
            "state": "returned",
            "at": 300
        })
    assert (results_by_id["once"].outcome,
            results_by_id["once"].attempts) == ("failed", 1)
    assert (results_by_id["again"].outcome,
            results_by_id["again"].attempts) == ("completed", 2)
    assert results_by_id["again"].end_s > 400.0


def test_leaving_worker_gets_nothing_new():
    """Guards against starts on a worker that is marked as leaving."""
    leaving = {
        "kind": "worker",
        "at": 5,
        "workers": ["a1-01"],
        "state": "leaving"
    }
    record, results_by_id = builders.replay(
        leaving, *(trace_request(f"r{i}", at_s=10.0) for i in range(16)))
    assert max(sample.used_accelerators for sample in record.samples) == 8
    assert all(
        result.outcome == "completed" for result in results_by_id.values())


def test_bad_worker_fails_work_and_is_quarantined():
    """Guards against spending all retries on a faulty worker."""
    bad = {
        "kind": "bad",
        "at": 0,
        "until": 5000,
        "after_s": 2,
        "workers": ["a1-01"]
    }
    requests = [
        trace_request(f"r{i}", template, at_s=20.0 * i, run_s=30.0)
        for i in range(12)
        for template in [("photo", "urgent")[i % 2]]
    ]
    racks = [builders.HEADER["racks"][0] | {"workers": 4}]
    _, results_without_health = builders.replay(bad, *requests, racks=racks)
    _, results_by_id = builders.replay(bad,
                                       *requests,
                                       racks=racks,
                                       health=health.Health())
    counts = [
        sum(result.outcome == "completed"
            for result in results.values())
        for results in (results_without_health, results_by_id)
    ]
    assert counts[0] < counts[1]


def test_nothing_starts_or_ends_for_callers_in_an_outage():
    """Guards against starts without a claim in the store."""
    outage = {"kind": "outage", "at": 50, "until": 3650}
    record, results_by_id = builders.replay(trace_request("r1"),
                                            trace_request("r2", at_s=100.0),
                                            outage)
    assert results_by_id["r1"].end_s == 3650.0
    assert results_by_id["r2"].started_s > 3650.0
    assert not [sample for sample in record.samples if 50 < sample.at_s < 3650]


def test_cancel_ends_waiting_and_running_requests():
    """Guards against cancelled gangs that keep their accelerators."""
    cancels = [{
        "kind": "cancel",
        "at": 10,
        "request": name
    } for name in ("runs", "waits")]
    record, results_by_id = builders.replay(
        trace_request("runs", "route", team="yarn"),
        trace_request("waits", "route", team="yarn"), *cancels)
    assert {result.outcome for result in results_by_id.values()
           } == {"cancelled"}
    assert results_by_id["waits"].attempts == 0
    assert record.samples[-1].used_accelerators == 0


def test_task_that_takes_too_much_memory_fails_and_spares_others():
    """Guards against failing a task that stays within its declared memory."""
    greedy = trace_request("greedy", true_shape=[1, 1, 4, 250, "none"])
    _, results_by_id = builders.replay(trace_request("r1"), greedy)
    assert results_by_id["greedy"].outcome == "failed"
    assert results_by_id["r1"].attempts == 1


def test_queue_limits_and_wait_limits_are_applied():
    """Guards against requests without an outcome."""
    requests = [
        trace_request(f"r{i:02}", "route", wait_s=50, team="yarn")
        for i in range(25)
    ]
    _, results_by_id = builders.replay(*requests)
    outcomes = [result.outcome for result in results_by_id.values()]
    assert outcomes.count("not_run") == 5
    assert outcomes.count("expired") == 19


def test_free_guarantee_is_recognised():
    """Guards against measuring requests outside a guarantee as guaranteed.

    A free guarantee is one that no running or waiting request of the team uses.
    """
    _, results_by_id = builders.replay(
        trace_request("r1", "urgent"), trace_request("r2", "urgent", at_s=5.0),
        trace_request("r3", "urgent", team="yarn"))
    assert [result.had_free_guarantee for result in results_by_id.values()
           ] == [True, False, False]
    assert all(result.had_room for result in results_by_id.values())


class FixedPlacementScheduler(scheduler.Scheduler):
    """Scheduler that starts every request on given workers."""

    def __init__(self, *workers):
        self._workers = workers

    def decide(self, state):
        return scheduler.Decisions(starts=tuple(
            scheduler.Start(pending.request_id, self._workers, False)
            for pending in state.pending))

    def record_end(self, request_id, *, ran_s, completed):
        pass


@pytest.mark.parametrize(
    ("template", "workers"),
    [
        ("route", ("a1-01",)),  # Not a whole gang.
        ("route", ("a1-01", "a1-01")),  # More than the worker has.
        ("photo", ("b1-01",)),  # More accelerators than a worker has.
    ])
def test_impossible_decision_is_an_error(template, workers):
    """Guards against good measures from starts that are impossible."""
    shape = [1, 9, 1, 1, "none"] if template == "photo" else None
    options = {"shape": shape} if shape else {}
    racks = [{**builders.HEADER["racks"][0], "rack": "b1"}]
    with pytest.raises(errors.PolicyError):
        builders.replay(trace_request("r1", template, **options),
                        build=lambda: FixedPlacementScheduler(*workers),
                        racks=builders.HEADER["racks"] + racks)
