"""Tests of the preemption module."""

import pytest

from trefoilroad_core import placement
from trefoilroad_core import preemption


@pytest.fixture
def choose_victims(build):
    """Chooses among gangs given as (workers, accelerators, priority, lost)."""

    def run(shape, *gangs, racks=2, workers=2):
        capacity = placement.Capacity(fleet=build.fleet(racks, workers))
        candidates = []
        for number, (names, accelerators, priority, lost) in enumerate(gangs):
            gang = build.shape(len(names), accelerators)
            capacity.take(names, gang)
            candidates.append(
                preemption.Candidate(str(number), gang, tuple(names), priority,
                                     lost))
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


def test_least_urgent_counts_before_number(build, choose_victims):
    """Guards against stopping urgent work to stop fewer gangs."""
    assert choose_victims(build.shape(), (["r0w0"], 8, 3, 0),
                          (["r0w1"], 4, 9, 0), (["r0w1"], 4, 9, 0),
                          racks=1) == {"1", "2"}


def test_number_counts_before_lost_work(build, choose_victims):
    """Guards against stopping many gangs where one is enough."""
    assert choose_victims(build.shape(), (["r0w0"], 8, 5, 900),
                          (["r0w1"], 4, 5, 0), (["r0w1"], 4, 5, 0),
                          racks=1) == {"0"}


def test_least_lost_work_is_chosen_last(build, choose_victims):
    """Guards against throwing away long work instead of short."""
    assert choose_victims(build.shape(), (["r0w0"], 8, 5, 900),
                          (["r0w1"], 8, 5, 1),
                          racks=1) == {"1"}


def test_adjacent_room_is_made_in_one_rack(build, choose_victims):
    """Guards against stopping gangs in places that do not fit together."""
    gangs = [(["r0w0"], 8, 9, 0), (["r0w1"], 8, 2, 0), (["r1w0"], 8, 5, 0),
             (["r1w1"], 8, 5, 0)]
    assert choose_victims(build.shape(2, adjacent="rack"), *gangs) == {"2", "3"}


def test_nothing_is_stopped_without_a_placement(build, choose_victims):
    """Guards against evictions that help nobody."""
    assert choose_victims(build.shape(5), (["r0w0"], 8, 9, 0)) is None
