"""Tests of the guarantee module."""

import random

import pytest

from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import scheduler


def test_guarantees_that_fit_have_no_shortfall(build):
    """Guards against refusing a configuration that can be satisfied."""
    pair = build.shape(2, adjacent="rack")
    configuration = build.configuration(build.team("a", (pair, 1)),
                                        build.team("b", (build.shape(), 2)))
    assert not guarantee.find_shortfalls(build.fleet(), configuration)


def test_shortfall_names_the_guarantee(build):
    """Guards against publishing guarantees that cannot all be met (P1)."""
    pair = build.shape(2, adjacent="rack")
    configuration = build.configuration(build.team("a", (build.shape(), 1)),
                                        build.team("b", (pair, 3)))
    findings = guarantee.find_shortfalls(build.fleet(), configuration)
    assert [finding.place for finding in findings
           ] == ["teams/a.toml", "teams/b.toml"]
    configuration = build.configuration(build.team("b", (pair, 2)))
    assert not guarantee.find_shortfalls(build.fleet(), configuration)
    assert guarantee.find_shortfalls(build.fleet(),
                                     configuration,
                                     excluded=["r0w0"])


@pytest.mark.parametrize(("changes", "expected"), [({}, True),
                                                   ({
                                                       "tasks": 1
                                                   }, True),
                                                   ({
                                                       "tasks": 3
                                                   }, False),
                                                   ({
                                                       "cores": 5
                                                   }, False),
                                                   ({
                                                       "memory_gb": 5
                                                   }, False),
                                                   ({
                                                       "adjacent": "rack"
                                                   }, False)])
def test_guarantee_covers_shapes_within_every_resource(build, changes,
                                                       expected):
    """Guards against a guaranteed gang larger than its guarantee."""
    guaranteed = build.shape(2, cores=4, memory_gb=4)
    shape = guaranteed._replace(**changes)
    assert guarantee.covers(guaranteed, shape) is expected


def test_guaranteed_start_leaves_capacity_for_other_guarantees(
        build, make_simulation):
    """Guards against a guaranteed gang that splits another team's rack (P1)."""
    pair = build.shape(2, adjacent="rack")
    simulation = make_simulation(scheduler.build_default(), build.fleet(),
                                 build.team("a", (build.shape(), 2)),
                                 build.team("b", (pair, 1)))
    simulation.run(build.pending("lent", "c"), ["r1w0"])
    simulation.run(build.pending("other", "c"), ["r0w1"])
    simulation.submit(build.pending("a1"), build.pending("a2"))
    decisions = simulation.decide()
    simulation.end(*[e.attempt_id[:-2] for e in decisions.evictions],
                   completed=False)
    simulation.decide()
    racks = {simulation.running[name].placement[0][:2] for name in ("a1", "a2")}
    assert len(racks) == 1


def test_planned_placement_of_an_adjacent_guarantee_stays_in_one_rack(
        build, make_simulation):
    """Guards against an adjacent gang on a placement that spans racks."""
    pair = build.shape(2, adjacent="rack")
    simulation = make_simulation(scheduler.build_default(), build.fleet(),
                                 build.team("a", (pair, 1)))
    simulation.run(build.pending("x", "c"), ["r0w1"])
    simulation.run(build.pending("y", "c"), ["r1w1"])
    simulation.submit(build.pending("spread", shape=build.shape(2)))
    for _ in range(2):
        decisions = simulation.decide()
        simulation.end(*[e.attempt_id[:-2] for e in decisions.evictions],
                       completed=False)
    simulation.end("spread")
    simulation.submit(build.pending("adjacent", shape=pair))
    for _ in range(3):
        decisions = simulation.decide()
        simulation.end(*[e.attempt_id[:-2] for e in decisions.evictions],
                       completed=False)
    workers = simulation.running["adjacent"].placement
    assert len({name[:2] for name in workers}) == 1


def test_unused_placements_are_moved_for_a_start(build, make_simulation):
    """Guards against evictions when other free workers would do."""
    one = build.shape()
    simulation = make_simulation(scheduler.build_default(), build.fleet(1, 2),
                                 build.team("a", (one, 1)),
                                 build.team("b", (one, 1)))
    simulation.submit(build.pending("lent", "c"))
    simulation.decide()
    for team in ("a", "b"):
        simulation.submit(build.pending(team, team))
        decisions = simulation.decide()
        if decisions.starts:
            break
    assert not decisions.evictions
    assert len(simulation.running) == 2


def test_lost_workers_do_not_block_remaining_capacity(build, make_simulation):
    """Guards against a fleet that starts nothing after it lost a rack."""
    one = build.shape()
    subject = scheduler.build_default()
    simulation = make_simulation(subject, build.fleet(1, 2),
                                 build.team("a", (one, 1)),
                                 build.team("b", (one, 1)))
    simulation.excluded = frozenset({"r0w0"})
    simulation.submit(build.pending("a1", "a", idempotent=False),
                      build.pending("b1", "b", idempotent=False))
    assert len(simulation.decide_starts()) == 1
    assert len(subject.find_degraded_teams()) == 1
    waiting = next(iter(simulation.pending))
    assert "too few workers" in subject.explain(waiting)
    simulation.excluded = frozenset()
    assert simulation.decide_starts() == [waiting]


class RandomLoad:
    """Random load on a simulation, with checks after each round."""

    def __init__(self, build, simulation, seed):
        self.build = build
        self.simulation = simulation
        self.rng = random.Random(seed)
        self.stopping = {}

    def run(self, rounds):
        for _ in range(rounds):
            self.submit()
            self.finish()
            if self.rng.random() < 0.05:
                self.exclude()
            self.check(self.simulation.decide())

    def drain(self):
        """Runs without new requests until all pending ones have started."""
        self.simulation.excluded = frozenset()
        # At most 33 requests wait, possibly all for one guaranteed gang, and a
        # gang runs for 20 rounds on average.
        for _ in range(4 * 33 * 20):
            if not self.simulation.pending:
                return
            self.finish()
            self.check(self.simulation.decide())
        assert not self.simulation.pending

    def submit(self):
        if len(self.simulation.pending) > 30:
            return
        for _ in range(self.rng.randrange(4)):
            shape = self.build.shape(self.rng.choice([1, 1, 2, 3]),
                                     self.rng.choice([0, 1, 4, 8]),
                                     adjacent=self.rng.choice(["none", "rack"]))
            self.simulation.submit(
                self.build.pending(team=self.rng.choice("abc"),
                                   shape=shape,
                                   caller=self.rng.choice("xy"),
                                   priority=self.rng.randrange(10),
                                   received_s=self.simulation.now_s,
                                   declared_s=self.rng.uniform(1, 50),
                                   idempotent=self.rng.random() < 0.8))

    def finish(self):
        for request_id, gang in list(self.simulation.running.items()):
            if gang.attempt_id in self.stopping:
                self.stopping[gang.attempt_id] -= 1
                done = self.stopping[gang.attempt_id] == 0
            else:
                done = self.rng.random() < 0.05
            if done:
                self.stopping.pop(gang.attempt_id, None)
                self.simulation.end(request_id)

    def exclude(self):
        names = list(self.simulation.fleet.workers)
        self.simulation.excluded = frozenset(self.rng.sample(names, 1))

    def check(self, decisions):
        capacity = placement.FreeCapacity(fleet=self.simulation.fleet)
        for gang in self.simulation.running.values():
            capacity.take(gang.placement, gang.shape)
            assert gang.guaranteed or gang.evictable
        assert all(
            min(worker_amounts) >= 0 for worker_amounts in capacity.amounts)
        for start in decisions.starts:
            assert self.simulation.excluded.isdisjoint(start.placement)
        running = {g.attempt_id: g for g in self.simulation.running.values()}
        for eviction in decisions.evictions:
            assert eviction.attempt_id not in self.stopping
            assert not running[eviction.attempt_id].guaranteed
            assert eviction.for_request in self.simulation.pending
            self.stopping[eviction.attempt_id] = self.rng.randrange(1, 5)
        self.check_guarantees()

    def check_guarantees(self):
        """Places all guaranteed gangs and all unused guarantees at once."""
        if self.simulation.subject.find_degraded_teams():
            return
        capacity = placement.FreeCapacity(fleet=self.simulation.fleet,
                                          excluded=self.simulation.excluded)
        for gang in self.simulation.running.values():
            if gang.guaranteed:
                capacity.take(gang.placement, gang.shape)
        unused = self.simulation.subject.list_unused_guarantees()
        used = sum(g.guaranteed for g in self.simulation.running.values())
        promised = sum(
            "stopped on its guaranteed" in self.simulation.subject.explain(name)
            for name in self.simulation.pending)
        total = len(guarantee.list_entitlements(self.simulation.configuration))
        assert used + promised + len(unused) == total
        for planned, shape in unused:
            assert capacity.can_take(planned, shape)
            capacity.take(planned, shape)


@pytest.mark.parametrize("seed", range(6))
def test_guarantees_hold_under_random_load(build, make_simulation, seed):
    """Guards against any order of events that breaks a guarantee (P1)."""
    pair = build.shape(2, adjacent="rack")
    simulation = make_simulation(scheduler.build_default(), build.fleet(3, 3),
                                 build.team("a", (pair, 1), (build.shape(), 1)),
                                 build.team("b", (pair, 1)),
                                 build.team("c", max_accelerators=40))
    load = RandomLoad(build, simulation, seed)
    load.run(400)
    load.drain()
