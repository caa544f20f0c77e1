"""Tests of the scheduler module."""

import pytest

from trefoilroad_core import scheduler


@pytest.fixture
def subject():
    return scheduler.build_default()


def test_shape_that_never_fits_is_refused(build, make_world, subject):
    """Guards against requests that wait for ever."""
    world = make_world(subject, build.fleet(), build.team("a"))
    world.submit(build.pending("m", shape=build.shape(memory_gb=300)),
                 build.pending("r", shape=build.shape(3, adjacent="rack")))
    reasons = [refusal.reason for refusal in world.decide().refusals]
    assert "memory_gb" in reasons[0]
    assert "no rack" in reasons[1]


def test_shape_waits_for_excluded_workers(build, make_world, subject):
    """Guards against refusing work because workers are briefly away."""
    world = make_world(subject, build.fleet(), build.team("a"))
    world.excluded = frozenset({"r0w0", "r1w0"})
    world.submit(build.pending(shape=build.shape(2, adjacent="rack")))
    assert world.decide() == scheduler.Decisions()
    world.excluded = frozenset({"r0w0"})
    assert world.decide().starts[0].placement == ("r1w0", "r1w1")


def test_nothing_is_refused_without_a_fleet(build, make_world, subject):
    """Guards against refusing all work before the VM list was read."""
    world = make_world(subject, build.fleet(0), build.team("a"))
    world.submit(build.pending("q"))
    assert world.decide() == scheduler.Decisions()
    world.fleet = build.fleet()
    assert world.started() == ["q"]


def test_expired_request_does_not_start(build, make_world, subject):
    """Guards against a start after the caller was told that it expired."""
    world = make_world(subject, build.fleet(), build.team("a"))
    world.submit(build.pending("q", expires_s=1.0))
    decisions = world.decide()
    assert not decisions.starts
    assert decisions.expirations == (scheduler.Expiration("q"),)


def test_limit_of_team_holds_within_a_round(build, make_world, subject):
    """Guards against a team passing its limit by many starts at once."""
    world = make_world(subject, build.fleet(),
                       build.team("a", max_accelerators=16))
    world.submit(*[build.pending() for _ in range(4)])
    assert len(world.started()) == 2
    assert "limit" in subject.explain(next(iter(world.pending)))


def test_firm_request_evicts_lent_work(build, make_world, subject):
    """Guards against lent work keeping a guarantee from its team (P1)."""
    pair = build.shape(2, adjacent="rack")
    world = make_world(subject, build.fleet(), build.team("a", (pair, 1)),
                       build.team("b"))
    for name in ("r0w0", "r0w1", "r1w0", "r1w1"):
        priority = 9 if name.startswith("r1") else 3
        world.run(build.pending(name, "b", priority=priority), [name])
    firm = build.pending("firm", shape=pair)
    world.submit(firm)
    evictions = world.decide().evictions
    assert {e.attempt_id for e in evictions} == {"r1w0.1", "r1w1.1"}
    assert {e.for_request for e in evictions} == {"firm"}
    world.submit(build.pending("thief", "b"))
    world.end("r1w0", completed=False)
    assert world.decide() == scheduler.Decisions()
    world.end("r1w1", completed=False)
    assert world.started() == ["firm"]
    assert world.running["firm"].guaranteed


def test_lost_eviction_is_decided_again(build, make_world, subject):
    """Guards against waiting for ever for a stop that was lost."""
    one = build.shape()
    world = make_world(subject, build.fleet(1, 1), build.team("a", (one, 1)))
    world.run(build.pending("lent", "b"), ["r0w0"])
    world.submit(build.pending("firm"))
    assert len(world.decide().evictions) == 1
    assert not world.decide().evictions
    assert len(world.decide(scheduler.EVICTION_TIMEOUT_S).evictions) == 1


def test_work_that_cannot_be_evicted_runs_only_as_firm(build, make_world,
                                                       subject):
    """Guards against unstoppable work on room that others are guaranteed."""
    one = build.shape()
    world = make_world(subject, build.fleet(), build.team("a", (one, 1)),
                       build.team("b"))
    world.submit(build.pending("first", idempotent=False),
                 build.pending("second", idempotent=False),
                 build.pending("none", "b", idempotent=False))
    decisions = world.decide()
    assert [start.request_id for start in decisions.starts] == ["first"]
    assert [refusal.request_id for refusal in decisions.refusals] == ["none"]
    world.end("first")
    assert world.started() == ["second"]


def test_worker_on_probation_gets_one_task(build, make_world, subject):
    """Guards against a bad worker failing many requests at once again."""
    one = build.shape(accelerators=1)
    world = make_world(subject, build.fleet(1, 1), build.team("a", (one, 1)))
    world.submit(*[build.pending(shape=one, idempotent=False) for _ in "12"],
                 *[build.pending(f"lent{i}", "b", shape=one) for i in range(3)])
    world.probation = frozenset({"r0w0"})
    assert len(world.started()) == 1
    assert world.started() == []
    world.end(*world.running)
    assert len(world.started()) == 1


def test_workers_on_which_a_request_failed_are_avoided(build, make_world,
                                                       subject):
    """Guards against a retry on the worker that may be the cause."""
    world = make_world(subject, build.fleet(1, 3), build.team("a"))
    avoid = frozenset({"r0w0", "r0w1"})
    world.submit(build.pending("q", avoid=avoid))
    assert world.decide().starts[0].placement == ("r0w2",)
    world.submit(build.pending("p", avoid=avoid))
    assert world.started() == ["p"]


def test_new_owner_keeps_guarantees_and_shares(build, make_world, subject):
    """Guards against a takeover that lends out room of running firm work."""
    pair = build.shape(2, adjacent="rack")
    world = make_world(subject, build.fleet(), build.team("a", (pair, 2)),
                       build.team("b"))
    firm = build.pending("firm", shape=pair, idempotent=False)
    world.run(firm, ["r1w0", "r1w1"], guaranteed=True)
    world.run(build.pending("lent", "b"), ["r0w0"])
    world.submit(build.pending("more", shape=pair, idempotent=False))
    assert [e.attempt_id for e in world.decide().evictions] == ["lent.1"]


def test_baseline_starts_in_order_of_arrival(build, make_world):
    """Guards against the comparison using a mechanism under test."""
    world = make_world(scheduler.build_baseline(), build.fleet(1, 2),
                       build.team("a"))
    world.run(build.pending("old"), ["r0w0"])
    world.submit(build.pending("large", shape=build.shape(2)),
                 build.pending("small", priority=0, declared_s=1.0))
    assert world.started() == []
    world.end("old")
    assert world.started() == ["large"]
