"""Tests of the preemption module."""

import pytest

from trefoilroad_core import placement
from trefoilroad_core import preemption


@pytest.fixture
def choose_victims(build):
    """Chooses victims among (workers, accelerators, priority, lost work)."""

    def run(shape, *gangs, racks=2, workers=2):
        capacity = placement.FreeCapacity(fleet=build.fleet(racks, workers))
        candidates = []
        for number, (names, accelerators, priority, lost) in enumerate(gangs):
            gang = build.shape(len(names), accelerators)
            capacity.take(names, gang)
            candidates.append(
                preemption.EvictableGang(str(number), gang, tuple(names),
                                         priority, lost))
        before = [worker_amounts.copy() for worker_amounts in capacity.amounts]
        plan = preemption.LeastUrgent().choose_victims(shape, capacity,
                                                       candidates,
                                                       placement.RackPack())
        assert capacity.amounts == before
        if plan is None:
            return None
        for victim in plan.victims:
            capacity.release(victim.placement, victim.shape)
        assert capacity.can_take(plan.placement, shape)
        return {victim.attempt_id for victim in plan.victims}

    return run


def test_priority_counts_before_number_of_victims(build, choose_victims):
    """Guards against evicting urgent gangs in order to evict fewer."""
    assert choose_victims(build.shape(), (["r0w0"], 8, 3, 0),
                          (["r0w1"], 4, 9, 0), (["r0w1"], 4, 9, 0),
                          racks=1) == {"1", "2"}


def test_number_of_victims_counts_before_lost_work(build, choose_victims):
    """Guards against evicting many gangs where one is enough."""
    assert choose_victims(build.shape(), (["r0w0"], 8, 5, 900),
                          (["r0w1"], 4, 5, 0), (["r0w1"], 4, 5, 0),
                          racks=1) == {"0"}


def test_lost_work_breaks_ties(build, choose_victims):
    """Guards against evicting a long-running gang instead of a short one."""
    assert choose_victims(build.shape(), (["r0w0"], 8, 5, 900),
                          (["r0w1"], 8, 5, 1),
                          racks=1) == {"1"}


def test_victims_of_an_adjacent_gang_are_in_one_rack(build, choose_victims):
    """Guards against victims whose workers are not in one rack."""
    gangs = [(["r0w0"], 8, 9, 0), (["r0w1"], 8, 2, 0), (["r1w0"], 8, 5, 0),
             (["r1w1"], 8, 5, 0)]
    assert choose_victims(build.shape(2, adjacent="rack"), *gangs) == {"2", "3"}


def test_nothing_is_evicted_without_a_placement(build, choose_victims):
    """Guards against evictions that do not free enough capacity."""
    assert choose_victims(build.shape(5), (["r0w0"], 8, 9, 0)) is None
