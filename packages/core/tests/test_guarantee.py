"""Tests of the guarantee module."""

import random

import pytest

from trefoilroad_core import guarantee
from trefoilroad_core import placement
from trefoilroad_core import scheduler


def test_guarantees_that_fit_have_no_shortfall(build):
    """Guards against refusing a configuration that can be kept."""
    pair = build.shape(2, adjacent="rack")
    configuration = build.configuration(build.team("a", (pair, 1)),
                                        build.team("b", (build.shape(), 2)))
    assert not guarantee.find_shortfalls(build.fleet(), configuration)


def test_shortfall_names_the_guarantee(build):
    """Guards against publishing guarantees that cannot all be kept (P1)."""
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
def test_cover_needs_every_resource(build, changes, expected):
    """Guards against firm work larger than its guarantee."""
    guaranteed = build.shape(2, cores=4, memory_gb=4)
    shape = guaranteed._replace(**changes)
    assert guarantee.covers(guaranteed, shape) is expected


def test_firm_start_leaves_room_for_other_guarantees(build, make_world):
    """Guards against firm work that breaks up another team's rack (P1)."""
    pair = build.shape(2, adjacent="rack")
    world = make_world(scheduler.build_default(), build.fleet(),
                       build.team("a", (build.shape(), 2)),
                       build.team("b", (pair, 1)))
    world.run(build.pending("lent", "c"), ["r1w0"])
    world.run(build.pending("other", "c"), ["r0w1"])
    world.submit(build.pending("a1"), build.pending("a2"))
    decisions = world.decide()
    world.end(*[e.attempt_id[:-2] for e in decisions.evictions],
              completed=False)
    world.decide()
    racks = {world.running[name].placement[0][:2] for name in ("a1", "a2")}
    assert len(racks) == 1


def test_site_of_an_adjacent_guarantee_stays_in_one_rack(build, make_world):
    """Guards against an adjacent gang on a site that spans two racks."""
    pair = build.shape(2, adjacent="rack")
    world = make_world(scheduler.build_default(), build.fleet(),
                       build.team("a", (pair, 1)))
    world.run(build.pending("x", "c"), ["r0w1"])
    world.run(build.pending("y", "c"), ["r1w1"])
    world.submit(build.pending("spread", shape=build.shape(2)))
    for _ in range(2):
        decisions = world.decide()
        world.end(*[e.attempt_id[:-2] for e in decisions.evictions],
                  completed=False)
    world.end("spread")
    world.submit(build.pending("adjacent", shape=pair))
    for _ in range(3):
        decisions = world.decide()
        world.end(*[e.attempt_id[:-2] for e in decisions.evictions],
                  completed=False)
    workers = world.running["adjacent"].placement
    assert len({name[:2] for name in workers}) == 1


def test_unused_sites_move_out_of_the_way(build, make_world):
    """Guards against evicting work when another free place would do."""
    one = build.shape()
    world = make_world(scheduler.build_default(), build.fleet(1, 2),
                       build.team("a", (one, 1)), build.team("b", (one, 1)))
    world.submit(build.pending("lent", "c"))
    world.decide()
    for team in ("a", "b"):
        world.submit(build.pending(team, team))
        decisions = world.decide()
        if decisions.starts:
            break
    assert not decisions.evictions
    assert len(world.running) == 2


def test_lost_workers_do_not_block_what_is_left(build, make_world):
    """Guards against a fleet that starts nothing after it lost a rack."""
    one = build.shape()
    subject = scheduler.build_default()
    world = make_world(subject, build.fleet(1, 2), build.team("a", (one, 1)),
                       build.team("b", (one, 1)))
    world.excluded = frozenset({"r0w0"})
    world.submit(build.pending("a1", "a", idempotent=False),
                 build.pending("b1", "b", idempotent=False))
    assert len(world.started()) == 1
    assert len(subject.find_degraded_teams()) == 1
    waiting = next(iter(world.pending))
    assert "too few workers" in subject.explain(waiting)
    world.excluded = frozenset()
    assert world.started() == [waiting]


class Traffic:
    """Random load on a world, with checks after each round."""

    def __init__(self, build, world, seed):
        self.build = build
        self.world = world
        self.rng = random.Random(seed)
        self.stopping = {}

    def run(self, rounds):
        for _ in range(rounds):
            self.submit()
            self.finish()
            if self.rng.random() < 0.05:
                self.exclude()
            self.check(self.world.decide())

    def drain(self):
        """Runs without new load until all that can start has started."""
        self.world.excluded = frozenset()
        # At most 33 requests wait, possibly all for one guaranteed gang, and a
        # gang runs 20 rounds on average.
        for _ in range(4 * 33 * 20):
            if not self.world.pending:
                return
            self.finish()
            self.check(self.world.decide())
        assert not self.world.pending

    def submit(self):
        if len(self.world.pending) > 30:
            return
        for _ in range(self.rng.randrange(4)):
            shape = self.build.shape(self.rng.choice([1, 1, 2, 3]),
                                     self.rng.choice([0, 1, 4, 8]),
                                     adjacent=self.rng.choice(["none", "rack"]))
            self.world.submit(
                self.build.pending(team=self.rng.choice("abc"),
                                   shape=shape,
                                   caller=self.rng.choice("xy"),
                                   priority=self.rng.randrange(10),
                                   received_s=self.world.now_s,
                                   declared_s=self.rng.uniform(1, 50),
                                   idempotent=self.rng.random() < 0.8))

    def finish(self):
        for request_id, gang in list(self.world.running.items()):
            if gang.attempt_id in self.stopping:
                self.stopping[gang.attempt_id] -= 1
                done = self.stopping[gang.attempt_id] == 0
            else:
                done = self.rng.random() < 0.05
            if done:
                self.stopping.pop(gang.attempt_id, None)
                self.world.end(request_id)

    def exclude(self):
        names = list(self.world.fleet.workers)
        self.world.excluded = frozenset(self.rng.sample(names, 1))

    def check(self, decisions):
        capacity = placement.Capacity(fleet=self.world.fleet)
        for gang in self.world.running.values():
            capacity.take(gang.placement, gang.shape)
            assert gang.guaranteed or gang.evictable
        assert all(
            min(worker_amounts) >= 0 for worker_amounts in capacity.amounts)
        for start in decisions.starts:
            assert self.world.excluded.isdisjoint(start.placement)
        running = {g.attempt_id: g for g in self.world.running.values()}
        for eviction in decisions.evictions:
            assert eviction.attempt_id not in self.stopping
            assert not running[eviction.attempt_id].guaranteed
            assert eviction.for_request in self.world.pending
            self.stopping[eviction.attempt_id] = self.rng.randrange(1, 5)
        self.check_guarantees()

    def check_guarantees(self):
        """Places all firm work and all guarantees not in use at once."""
        if self.world.subject.find_degraded_teams():
            return
        capacity = placement.Capacity(fleet=self.world.fleet,
                                      excluded=self.world.excluded)
        for gang in self.world.running.values():
            if gang.guaranteed:
                capacity.take(gang.placement, gang.shape)
        unused = self.world.subject.list_unused()
        used = sum(g.guaranteed for g in self.world.running.values())
        promised = sum(
            "stopped on its guaranteed" in self.world.subject.explain(name)
            for name in self.world.pending)
        total = len(guarantee.list_entitlements(self.world.configuration))
        assert used + promised + len(unused) == total
        for planned, shape in unused:
            assert capacity.can_take(planned, shape)
            capacity.take(planned, shape)


@pytest.mark.parametrize("seed", range(6))
def test_guarantees_hold_under_random_load(build, make_world, seed):
    """Guards against any order of events that breaks a guarantee (P1)."""
    pair = build.shape(2, adjacent="rack")
    world = make_world(scheduler.build_default(), build.fleet(3, 3),
                       build.team("a", (pair, 1), (build.shape(), 1)),
                       build.team("b", (pair, 1)),
                       build.team("c", max_accelerators=40))
    traffic = Traffic(build, world, seed)
    traffic.run(400)
    traffic.drain()
