"""Tests of the choice of tasks that are preempted."""

import random

import pytest

from trefoilroad_jobs import placement
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

CAPACITY = workload.Demand(64_000, 256_000, 8)


def _make_fleet(rng, worker_count):
    """Returns a full fleet: candidates, ending tasks and possible victims."""
    candidates, ending, victims = [], [], []
    for number in range(worker_count):
        worker_id = f"w{number:02}"
        room = CAPACITY
        while room.accelerators:
            accelerators = min(room.accelerators, rng.choice((1, 2, 4)))
            demand = workload.Demand(accelerators * 1000, 1000, accelerators)
            room = room.minus(demand)
            if rng.random() < 0.1:
                ending.append((worker_id, demand))
                continue
            victims.append(
                units.Victim(tasks=((worker_id, demand),),
                             lost_core_s=rng.uniform(0.0, 90.0),
                             priority=rng.choice((0, 1, 2)),
                             handle=None))
        candidates.append(
            placement.Candidate(worker_id=worker_id,
                                rack=f"r{number // 4}",
                                labels=frozenset(),
                                room=room,
                                capacity=CAPACITY))
    return candidates, ending, victims


def _make_gang(tasks, accelerators):
    step = workload.Step(tasks=tasks,
                         demand=workload.Demand(accelerators * 1000, 1000,
                                                accelerators),
                         gang=True,
                         one_rack=True)
    return units.Unit(job_id="a",
                      occurrence=0,
                      step_number=0,
                      step=step,
                      indexes=tuple(range(tasks)),
                      used_by_worker={},
                      service="service",
                      team="team",
                      priority=0,
                      accepted_s=0.0,
                      objective_s=30.0,
                      remaining_s=5.0,
                      remaining_core_s=10.0,
                      size_ratio=1.0,
                      guaranteed=True)


@pytest.mark.parametrize("seed", range(20))
def test_skipped_racks_would_not_have_lost_less(seed, monkeypatch):
    """Guards against a lower bound of the loss that skips the best rack.

    In a full fleet of many racks, only the racks that may lose least are
    searched for an urgent gang.
    """
    rng = random.Random(seed)
    candidates, ending, victims = _make_fleet(rng, worker_count=24)
    unit = _make_gang(rng.randint(1, 6), rng.choice((1, 2, 4, 8)))

    def choose():
        preemption = reclaim.choose_preemption(
            unit, candidates,
            reclaim.RunningTasks(ending=ending, victims=victims))
        return None if preemption is None else sum(
            reclaim._compute_weighted_loss(victim)
            for victim in preemption.victims)

    loss = choose()
    monkeypatch.setattr(reclaim._Supply, "estimate_cost",
                        lambda supply, accelerators: 0.0)
    full_search_loss = choose()
    if full_search_loss is None:
        assert loss is None
    else:
        assert loss == pytest.approx(full_search_loss)


def test_worker_over_its_capacity_does_not_hide_a_rack():
    """Guards against a deficit of one worker that counts against its rack."""
    rng = random.Random(1)
    candidates, _, _ = _make_fleet(rng, worker_count=2)
    full, free = candidates
    full.room = workload.Demand(0, 0, -8)
    free.room = CAPACITY
    preemption = reclaim.choose_preemption(
        _make_gang(1, 8), candidates, reclaim.RunningTasks(ending=(),
                                                           victims=()))
    assert preemption is not None
    assert preemption.workers == ["w01"]


def test_gang_that_has_just_started_is_not_the_cheapest_victim():
    """Guards against a gang that is stopped after each of its starts.

    It has lost nothing yet, while other work of a few seconds has.
    """
    demand = workload.Demand(8_000, 1_000, 8)
    gang = units.Victim((("w0", demand), ("w1", demand)),
                        lost_core_s=0.0,
                        priority=1,
                        handle="gang",
                        restart_core_s=500.0)
    bulk = units.Victim((("w2", demand),), 90.0, 2, "bulk")
    candidates = [
        placement.Candidate(worker_id=f"w{number}",
                            rack="r",
                            labels=frozenset(),
                            room=CAPACITY._replace(accelerators=0),
                            capacity=CAPACITY) for number in range(3)
    ]
    unit = _make_gang(1, 8)
    preemption = reclaim.choose_preemption(
        unit, candidates, reclaim.RunningTasks(ending=[], victims=[gang, bulk]))
    assert preemption is not None
    assert [victim.handle for victim in preemption.victims] == ["bulk"]
