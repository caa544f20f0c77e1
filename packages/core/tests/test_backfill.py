"""Tests of the backfill module."""

import random

import pytest

from trefoilroad_core import scheduler


@pytest.fixture
def subject():
    return scheduler.build_default()


@pytest.fixture
def simulation(build, make_simulation, subject):
    """Two workers of one rack; the first is in use for another 100 s."""
    simulation = make_simulation(subject, build.fleet(1, 2), build.team("a"))
    simulation.run(build.pending("old"), ["r0w0"])
    return simulation


def test_short_work_runs_ahead_of_a_reservation(build, simulation, subject):
    """Guards against idle workers while a large gang waits."""
    simulation.submit(build.pending("large", shape=build.shape(2)),
                      build.pending("short", declared_s=50.0))
    assert simulation.decide_starts() == ["short"]
    assert "reservation on r0w0, r0w1" in subject.explain("large")


def test_long_work_does_not_delay_a_reservation(build, simulation):
    """Guards against small work starving a large gang."""
    simulation.submit(build.pending("large", shape=build.shape(2)),
                      build.pending("long", declared_s=200.0))
    assert simulation.decide_starts() == []
    simulation.end("old")
    assert simulation.decide_starts() == ["large"]


def test_long_work_may_use_unreserved_workers(build, make_simulation, subject):
    """Guards against a reservation that blocks the whole fleet."""
    simulation = make_simulation(subject, build.fleet(2, 2), build.team("a"))
    simulation.run(build.pending("old"), ["r0w0"])
    simulation.run(build.pending("older", declared_s=300.0), ["r1w0"])
    simulation.submit(
        build.pending("large", shape=build.shape(2, adjacent="rack")),
        build.pending("long", declared_s=1000.0))
    assert simulation.decide().starts[0].placement == ("r1w1",)


def test_overdue_reservation_drains_its_workers(build, simulation):
    """Guards against endless backfilling when estimates are wrong."""
    simulation.submit(build.pending("large", shape=build.shape(2)))
    simulation.decide()
    assert simulation.decide(120.0) == scheduler.Decisions()
    simulation.submit(build.pending("short", declared_s=1.0))
    assert simulation.decide_starts() == []
    simulation.end("old")
    assert simulation.decide_starts() == ["large"]


def test_reservation_moves_when_its_workers_stay_in_use(build, make_simulation,
                                                        subject):
    """Guards against waiting for one hung gang while others end."""
    simulation = make_simulation(subject, build.fleet(1, 2), build.team("a"))
    simulation.run(build.pending("hung", declared_s=100.0), ["r0w0"])
    simulation.run(build.pending("other", declared_s=130.0), ["r0w1"])
    simulation.submit(build.pending("first"))
    simulation.decide()
    assert "r0w0" in subject.explain("first")
    simulation.decide(109.0)
    assert "r0w1" in subject.explain("first")
    simulation.end("other")
    assert simulation.decide_starts() == ["first"]


def test_reservation_is_kept_when_the_order_changes(build, make_simulation,
                                                    subject):
    """Guards against large gangs that delay each other again and again."""
    simulation = make_simulation(subject, build.fleet(1, 4), build.team("a"),
                                 build.team("b"))
    simulation.run(build.pending("old"), ["r0w0"])
    simulation.submit(build.pending("large", "a", shape=build.shape(4)))
    simulation.decide()
    for number in range(20):
        simulation.submit(
            build.pending(f"small{number}", "a", caller="d", declared_s=3.0),
            build.pending(f"wide{number}", "b", shape=build.shape(4)))
        simulation.decide()
        for name in [n for n in simulation.running if n.startswith("small")]:
            simulation.end(name)
    simulation.end("old")
    assert simulation.decide_starts() == ["large"]


@pytest.mark.parametrize("seed", range(4))
def test_large_gang_starts_under_wrong_estimates(build, make_simulation,
                                                 subject, seed):
    """Guards against starvation when declared run times are off tenfold."""
    rng = random.Random(seed)
    simulation = make_simulation(subject, build.fleet(2, 4), build.team("a"),
                                 build.team("b"))
    ends = {}

    def submit(team, name, shape):
        real_s = rng.uniform(20, 60)
        simulation.submit(
            build.pending(name,
                          team,
                          shape=shape,
                          received_s=simulation.now_s,
                          declared_s=real_s * 10**rng.uniform(-1, 1)))
        ends[name] = real_s

    waited_s = 0
    for step in range(600):
        while len(simulation.pending) < 20:
            submit("b", f"s{len(ends)}", build.shape(1, rng.choice([2, 4, 8])))
        if step == 100:
            submit("a", "large", build.shape(4, adjacent="rack"))
        simulation.decide()
        waited_s += "large" in simulation.pending
        for name, gang in list(simulation.running.items()):
            if simulation.now_s - gang.started_s >= ends[name]:
                simulation.end(name)
    # Gangs of at most 60 s run before it; a reservation may move three times.
    assert 0 < waited_s < 4 * 60
