"""Tests of the shares module."""

import pytest

from trefoilroad_core import accounting
from trefoilroad_core import estimate
from trefoilroad_core import queue
from trefoilroad_core import scheduler
from trefoilroad_core import shares


@pytest.fixture
def divide(build):
    """Divides 32 accelerators; takes the workers used by each team."""

    def run(weights=None, **used):
        running = [
            build.running(build.pending(team=team), ["r0w0"])
            for team, count in used.items()
            for _ in range(count)
        ]
        accounts = accounting.Accounting(order=queue.FairShare(),
                                         estimator=estimate.ObservedEstimator())
        state = scheduler.Snapshot(0.0, build.fleet(), (build.pending(),),
                                   tuple(running), build.configuration())
        accounts.update(state)
        return shares.Shares(state=state,
                             accounts=accounts,
                             weights=weights or {})

    return run


@pytest.mark.parametrize(("used", "top"), [
    ({"a": 2, "b": 2}, None),
    ({"a": 1, "b": 3}, "b"),
    ({"b": 3, "c": 1}, "b"),
    ({"b": 1, "c": 3}, "c"),
])  # yapf: disable
def test_team_with_most_use_gives_first(divide, used, top):
    """Guards against teams near their share stopping each other's work."""
    assert divide(**used).find_team_over_share() == top


def test_transfer_cannot_be_taken_back(build, divide):
    """Guards against teams that take the same room from each other in turn."""
    division = divide(a=1, b=3)
    one = build.shape()
    assert division.stays_within_share("a", one)
    assert not division.stays_within_share("a", build.shape(2))
    assert division.can_spare("b", [one])
    assert not division.can_spare("b", [one, one])


def test_weights_count(build, divide):
    """Guards against a heavy team losing what its weight gives it."""
    division = divide({"b": 3.0}, b=3)
    assert division.find_team_over_share() is None
    assert not division.can_spare("b", [build.shape()])


def test_share_is_reclaimed_from_a_flood(build, make_world):
    """Guards against a flood that keeps others waiting until it ends."""
    world = make_world(scheduler.build_default(), build.fleet(),
                       build.team("a"), build.team("flood"))
    for name in world.fleet.workers:
        world.run(build.pending(name, "flood", priority=0), [name])
    world.submit(build.pending("a1"), build.pending("f1", "flood", priority=0))
    assert not world.decide().evictions
    evictions = world.decide(20.0).evictions
    assert [eviction.for_request for eviction in evictions] == ["a1"]
    world.end(evictions[0].attempt_id[:-2], completed=False)
    assert world.started() == ["a1"]
    assert not world.running["a1"].guaranteed


def test_urgent_flood_is_stopped_first_for_guaranteed_work(build, make_world):
    """Guards against a flood that protects itself by declaring urgency."""
    world = make_world(scheduler.build_default(), build.fleet(),
                       build.team("a", (build.shape(), 1)), build.team("b"),
                       build.team("flood"))
    for name in ("r0w0", "r0w1", "r1w0"):
        world.run(build.pending(name, "flood", priority=0), [name])
    world.run(build.pending("b1", "b", priority=9), ["r1w1"])
    world.submit(build.pending("firm"))
    evictions = world.decide().evictions
    assert len(evictions) == 1
    assert evictions[0].attempt_id != "b1.1"
