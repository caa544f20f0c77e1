"""Tests of the backfill module."""

import random

import pytest

from trefoilroad_core import scheduler


@pytest.fixture
def subject():
    return scheduler.build_default()


@pytest.fixture
def world(build, make_world, subject):
    """Two workers of one rack; the first is used for another 100 s."""
    world = make_world(subject, build.fleet(1, 2), build.team("a"))
    world.run(build.pending("old"), ["r0w0"])
    return world


def test_short_work_runs_ahead_of_a_reservation(build, world, subject):
    """Guards against idle workers while a large gang waits."""
    world.submit(build.pending("large", shape=build.shape(2)),
                 build.pending("short", declared_s=50.0))
    assert world.started() == ["short"]
    assert "reservation on r0w0, r0w1" in subject.explain("large")


def test_long_work_does_not_delay_a_reservation(build, world):
    """Guards against small work starving a large gang."""
    world.submit(build.pending("large", shape=build.shape(2)),
                 build.pending("long", declared_s=200.0))
    assert world.started() == []
    world.end("old")
    assert world.started() == ["large"]


def test_long_work_may_use_other_room(build, make_world, subject):
    """Guards against a reservation that blocks the whole fleet."""
    world = make_world(subject, build.fleet(2, 2), build.team("a"))
    world.run(build.pending("old"), ["r0w0"])
    world.run(build.pending("older", declared_s=300.0), ["r1w0"])
    world.submit(build.pending("large", shape=build.shape(2, adjacent="rack")),
                 build.pending("long", declared_s=1000.0))
    assert world.decide().starts[0].placement == ("r1w1",)


def test_overdue_reservation_drains_its_room(build, world):
    """Guards against backfilling for ever when estimates are wrong."""
    world.submit(build.pending("large", shape=build.shape(2)))
    world.decide()
    assert world.decide(120.0) == scheduler.Decisions()
    world.submit(build.pending("short", declared_s=1.0))
    assert world.started() == []
    world.end("old")
    assert world.started() == ["large"]


def test_reservation_moves_when_its_room_stays_in_use(build, make_world,
                                                      subject):
    """Guards against waiting for one hung gang while others end."""
    world = make_world(subject, build.fleet(1, 2), build.team("a"))
    world.run(build.pending("hung", declared_s=100.0), ["r0w0"])
    world.run(build.pending("other", declared_s=130.0), ["r0w1"])
    world.submit(build.pending("first"))
    world.decide()
    assert "r0w0" in subject.explain("first")
    world.decide(109.0)
    assert "r0w1" in subject.explain("first")
    world.end("other")
    assert world.started() == ["first"]


def test_reservation_is_kept_when_the_order_changes(build, make_world, subject):
    """Guards against large gangs that put each other off."""
    world = make_world(subject, build.fleet(1, 4), build.team("a"),
                       build.team("b"))
    world.run(build.pending("old"), ["r0w0"])
    world.submit(build.pending("large", "a", shape=build.shape(4)))
    world.decide()
    for number in range(20):
        world.submit(
            build.pending(f"small{number}", "a", caller="d", declared_s=3.0),
            build.pending(f"wide{number}", "b", shape=build.shape(4)))
        world.decide()
        for name in [n for n in world.running if n.startswith("small")]:
            world.end(name)
    world.end("old")
    assert world.started() == ["large"]


@pytest.mark.parametrize("seed", range(4))
def test_large_gang_starts_under_wrong_estimates(build, make_world, subject,
                                                 seed):
    """Guards against starvation when run times are off by ten times."""
    rng = random.Random(seed)
    world = make_world(subject, build.fleet(2, 4), build.team("a"),
                       build.team("b"))
    ends = {}

    def submit(team, name, shape):
        real_s = rng.uniform(20, 60)
        world.submit(
            build.pending(name,
                          team,
                          shape=shape,
                          received_s=world.now_s,
                          declared_s=real_s * 10**rng.uniform(-1, 1)))
        ends[name] = real_s

    waited_s = 0
    for step in range(600):
        while len(world.pending) < 20:
            submit("b", f"s{len(ends)}", build.shape(1, rng.choice([2, 4, 8])))
        if step == 100:
            submit("a", "large", build.shape(4, adjacent="rack"))
        world.decide()
        waited_s += "large" in world.pending
        for name, gang in list(world.running.items()):
            if world.now_s - gang.started_s >= ends[name]:
                world.end(name)
    # Work of at most 60 s is ahead of it; reservations may move three times.
    assert 0 < waited_s < 4 * 60
