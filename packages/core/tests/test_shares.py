"""Tests of the shares module."""

import pytest

from trefoilroad_core import accounting
from trefoilroad_core import estimate
from trefoilroad_core import queue
from trefoilroad_core import scheduler
from trefoilroad_core import shares


@pytest.fixture
def divide(build):
    """Shares of 32 accelerators; takes the number of workers each team uses."""

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
def test_team_with_highest_use_is_over_share(divide, used, top):
    """Guards against teams near their share evicting each other's gangs."""
    assert divide(**used).find_team_over_share() == top


def test_reclaimed_share_cannot_be_reclaimed_back(build, divide):
    """Guards against teams that reclaim the same capacity in turn."""
    division = divide(a=1, b=3)
    one = build.shape()
    assert division.stays_within_share("a", one)
    assert not division.stays_within_share("a", build.shape(2))
    assert division.can_spare("b", [one])
    assert not division.can_spare("b", [one, one])


def test_fair_shares_follow_weights(build, divide):
    """Guards against evicting gangs within a share raised by weight."""
    division = divide({"b": 3.0}, b=3)
    assert division.find_team_over_share() is None
    assert not division.can_spare("b", [build.shape()])


def test_share_is_reclaimed_from_a_flood(build, make_simulation):
    """Guards against a flood that delays other teams until it ends."""
    simulation = make_simulation(scheduler.build_default(), build.fleet(),
                                 build.team("a"), build.team("flood"))
    for name in simulation.fleet.workers:
        simulation.run(build.pending(name, "flood", priority=0), [name])
    simulation.submit(build.pending("a1"),
                      build.pending("f1", "flood", priority=0))
    assert not simulation.decide().evictions
    evictions = simulation.decide(20.0).evictions
    assert [eviction.for_request for eviction in evictions] == ["a1"]
    simulation.end(evictions[0].attempt_id[:-2], completed=False)
    assert simulation.decide_starts() == ["a1"]
    assert not simulation.running["a1"].guaranteed


def test_urgent_flood_is_stopped_first_for_guaranteed_work(
        build, make_simulation):
    """Guards against a flood that protects itself by its priority."""
    simulation = make_simulation(scheduler.build_default(), build.fleet(),
                                 build.team("a", (build.shape(), 1)),
                                 build.team("b"), build.team("flood"))
    for name in ("r0w0", "r0w1", "r1w0"):
        simulation.run(build.pending(name, "flood", priority=0), [name])
    simulation.run(build.pending("b1", "b", priority=9), ["r1w1"])
    simulation.submit(build.pending("firm"))
    evictions = simulation.decide().evictions
    assert len(evictions) == 1
    assert evictions[0].attempt_id != "b1.1"
