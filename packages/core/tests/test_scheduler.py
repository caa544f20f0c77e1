"""Tests of the scheduler module."""

import pytest

from trefoilroad_core import scheduler


@pytest.fixture
def subject():
    return scheduler.build_default()


def test_shape_that_never_fits_is_refused(build, make_simulation, subject):
    """Guards against requests that wait forever."""
    simulation = make_simulation(subject, build.fleet(), build.team("a"))
    simulation.submit(build.pending("m", shape=build.shape(memory_gb=300)),
                      build.pending("r", shape=build.shape(3, adjacent="rack")))
    reasons = [refusal.reason for refusal in simulation.decide().refusals]
    assert "memory_gb" in reasons[0]
    assert "no rack" in reasons[1]


def test_shape_waits_for_excluded_workers(build, make_simulation, subject):
    """Guards against refusing requests while workers are excluded."""
    simulation = make_simulation(subject, build.fleet(), build.team("a"))
    simulation.excluded = frozenset({"r0w0", "r1w0"})
    simulation.submit(build.pending(shape=build.shape(2, adjacent="rack")))
    assert simulation.decide() == scheduler.Decisions()
    simulation.excluded = frozenset({"r0w0"})
    assert simulation.decide().starts[0].placement == ("r1w0", "r1w1")


def test_nothing_is_refused_without_a_fleet(build, make_simulation, subject):
    """Guards against refusing all requests before the VM list is read."""
    simulation = make_simulation(subject, build.fleet(0), build.team("a"))
    simulation.submit(build.pending("q"))
    assert simulation.decide() == scheduler.Decisions()
    simulation.fleet = build.fleet()
    assert simulation.decide_starts() == ["q"]


def test_expired_request_does_not_start(build, make_simulation, subject):
    """Guards against a start after the request was reported as expired."""
    simulation = make_simulation(subject, build.fleet(), build.team("a"))
    simulation.submit(build.pending("q", expires_s=1.0))
    decisions = simulation.decide()
    assert not decisions.starts
    assert decisions.expirations == (scheduler.Expiration("q"),)


def test_limit_of_team_holds_within_a_round(build, make_simulation, subject):
    """Guards against many starts in one round exceeding a team's limit."""
    simulation = make_simulation(subject, build.fleet(),
                                 build.team("a", max_accelerators=16))
    simulation.submit(*[build.pending() for _ in range(4)])
    assert len(simulation.decide_starts()) == 2
    assert "limit" in subject.explain(next(iter(simulation.pending)))


def test_guaranteed_request_evicts_opportunistic_gangs(build, make_simulation,
                                                       subject):
    """Guards against opportunistic gangs blocking a guarantee (P1)."""
    pair = build.shape(2, adjacent="rack")
    simulation = make_simulation(subject, build.fleet(),
                                 build.team("a", (pair, 1)), build.team("b"))
    for name in ("r0w0", "r0w1", "r1w0", "r1w1"):
        priority = 9 if name.startswith("r1") else 3
        simulation.run(build.pending(name, "b", priority=priority), [name])
    guaranteed = build.pending("firm", shape=pair)
    simulation.submit(guaranteed)
    evictions = simulation.decide().evictions
    assert {e.attempt_id for e in evictions} == {"r1w0.1", "r1w1.1"}
    assert {e.for_request for e in evictions} == {"firm"}
    simulation.submit(build.pending("thief", "b"))
    simulation.end("r1w0", completed=False)
    assert simulation.decide() == scheduler.Decisions()
    simulation.end("r1w1", completed=False)
    assert simulation.decide_starts() == ["firm"]
    assert simulation.running["firm"].guaranteed


def test_lost_eviction_is_decided_again(build, make_simulation, subject):
    """Guards against waiting forever for a stop command that was lost."""
    one = build.shape()
    simulation = make_simulation(subject, build.fleet(1, 1),
                                 build.team("a", (one, 1)))
    simulation.run(build.pending("lent", "b"), ["r0w0"])
    simulation.submit(build.pending("firm"))
    assert len(simulation.decide().evictions) == 1
    assert not simulation.decide().evictions
    assert len(simulation.decide(scheduler.EVICTION_TIMEOUT_S).evictions) == 1


def test_work_that_cannot_be_evicted_runs_only_inside_a_guarantee(
        build, make_simulation, subject):
    """Guards against gangs that cannot be evicted on guaranteed capacity."""
    one = build.shape()
    simulation = make_simulation(subject, build.fleet(),
                                 build.team("a", (one, 1)), build.team("b"))
    simulation.submit(build.pending("first", idempotent=False),
                      build.pending("second", idempotent=False),
                      build.pending("none", "b", idempotent=False))
    decisions = simulation.decide()
    assert [start.request_id for start in decisions.starts] == ["first"]
    assert [refusal.request_id for refusal in decisions.refusals] == ["none"]
    simulation.end("first")
    assert simulation.decide_starts() == ["second"]


def test_worker_on_probation_gets_one_task(build, make_simulation, subject):
    """Guards against many failures at once on a worker on probation."""
    one = build.shape(accelerators=1)
    simulation = make_simulation(subject, build.fleet(1, 1),
                                 build.team("a", (one, 1)))
    simulation.submit(
        *[build.pending(shape=one, idempotent=False) for _ in "12"],
        *[build.pending(f"lent{i}", "b", shape=one) for i in range(3)])
    simulation.probation = frozenset({"r0w0"})
    assert len(simulation.decide_starts()) == 1
    assert simulation.decide_starts() == []
    simulation.end(*simulation.running)
    assert len(simulation.decide_starts()) == 1


def test_workers_on_which_a_request_failed_are_avoided(build, make_simulation,
                                                       subject):
    """Guards against a retry on the worker that may have caused the failure."""
    simulation = make_simulation(subject, build.fleet(1, 3), build.team("a"))
    avoid = frozenset({"r0w0", "r0w1"})
    simulation.submit(build.pending("q", avoid=avoid))
    assert simulation.decide().starts[0].placement == ("r0w2",)
    simulation.submit(build.pending("p", avoid=avoid))
    assert simulation.decide_starts() == ["p"]


def test_new_owner_keeps_guarantees_and_shares(build, make_simulation, subject):
    """Guards against a new owner giving away capacity of guaranteed gangs."""
    pair = build.shape(2, adjacent="rack")
    simulation = make_simulation(subject, build.fleet(),
                                 build.team("a", (pair, 2)), build.team("b"))
    guaranteed = build.pending("firm", shape=pair, idempotent=False)
    simulation.run(guaranteed, ["r1w0", "r1w1"], guaranteed=True)
    simulation.run(build.pending("lent", "b"), ["r0w0"])
    simulation.submit(build.pending("more", shape=pair, idempotent=False))
    assert [e.attempt_id for e in simulation.decide().evictions] == ["lent.1"]


def test_baseline_starts_in_order_of_arrival(build, make_simulation):
    """Guards against a baseline that uses a mechanism under test."""
    simulation = make_simulation(scheduler.build_baseline(), build.fleet(1, 2),
                                 build.team("a"))
    simulation.run(build.pending("old"), ["r0w0"])
    simulation.submit(build.pending("large", shape=build.shape(2)),
                      build.pending("small", priority=0, declared_s=1.0))
    assert simulation.decide_starts() == []
    simulation.end("old")
    assert simulation.decide_starts() == ["large"]
