"""Tests of the headroom for urgent work."""

import pytest

from trefoilroad_jobs import headroom
from trefoilroad_jobs import placement
from trefoilroad_jobs import workload

CAPACITY = workload.Demand(64_000, 256_000, 8)


def test_headroom_exceeds_mean_use_of_steady_arrivals():
    """Guards against headroom for the mean use only.

    That is too little half of the time.
    """
    estimator = headroom.HeadroomEstimator()
    for number in range(80):
        estimator.record_arrival(number * 0.1, 16.0, 2.5)
    mean = 10 * 16.0 * 2.5
    headroom_accelerators = estimator.estimate(8.0)
    assert mean < headroom_accelerators < 1.5 * mean


def test_headroom_is_released_when_arrivals_stop():
    """Guards against headroom that stays idle after a burst."""
    estimator = headroom.HeadroomEstimator()
    estimator.record_arrival(0.0, 16.0, 2.5)
    assert estimator.estimate(1.0) > 0.0
    assert estimator.estimate(headroom.ARRIVAL_WINDOW_S + 0.1) == 0.0


def test_first_arrival_does_not_count_as_steady_stream():
    """Guards against headroom of the whole fleet at the first urgent job."""
    estimator = headroom.HeadroomEstimator()
    estimator.record_arrival(0.0, 16.0, 2.5)
    assert estimator.estimate(
        0.0) <= 16.0 * 2.5 / headroom.MIN_ARRIVAL_WINDOW_S * 2


def _candidates(free=0):
    return [
        placement.Candidate(worker_id=f"w{number}",
                            rack=f"r{number % 2}",
                            labels=frozenset({f"r{number % 2}"}),
                            room=CAPACITY._replace(accelerators=free),
                            capacity=CAPACITY) for number in range(6)
    ]


def _request(tasks=1, **fields):
    step = workload.Step(tasks=tasks, demand=CAPACITY, **fields)
    return placement.PlacementRequest(step=step,
                                      tasks=tasks,
                                      all_or_nothing=True,
                                      used_by_worker={})


@pytest.mark.parametrize(("wanted", "count"), [(0.0, 0), (1.0, 1), (17.0, 3),
                                               (999.0, 3)])
def test_headroom_workers_are_whole_racks_in_fixed_order(wanted, count):
    """Guards against headroom that changes workers or exceeds half of them."""
    candidates = _candidates()
    chosen = headroom.choose_workers(candidates, wanted)
    assert chosen == frozenset(["w0", "w2", "w4"][:count])
    assert chosen == headroom.choose_workers(candidates[::-1], wanted)


def test_no_headroom_while_half_of_fleet_is_idle():
    """Guards against bulk jobs that wait although workers are idle."""
    assert headroom.choose_workers(_candidates(free=5), 24.0) == frozenset()
    assert headroom.choose_workers(_candidates(free=3), 24.0) != frozenset()


def test_withheld_workers_count_as_idle_part_of_the_service():
    """Guards against bulk jobs that wait although half of a service is idle.

    The idle half may be withheld in part.
    """
    candidates = _candidates(free=3)
    idle, others = candidates[:2], candidates[2:]
    for candidate in idle:
        candidate.room = candidate.capacity
    assert headroom.choose_workers(others, 24.0) != frozenset()
    assert headroom.choose_workers(others, 24.0, idle) == frozenset()


def test_restricted_unit_may_use_headroom_workers():
    """Guards against jobs that never start or run far from their data."""
    headroom_workers = frozenset({"w0", "w2", "w4"})
    candidates = _candidates()
    for request in (_request(label="r0"), _request(data_rack="r0"),
                    _request(tasks=4)):
        assert len(
            headroom.exclude_headroom(request, candidates,
                                      headroom_workers)) == 6
    assert len(
        headroom.exclude_headroom(_request(), candidates,
                                  headroom_workers)) == 3


def test_old_arrivals_are_ignored_in_any_order():
    """Guards against headroom of half the fleet after a change of the leader.

    A new leader reads the jobs of the last minutes in the order of their ids,
    not of their arrival.
    """
    estimator = headroom.HeadroomEstimator()
    estimator.record_arrival(100.0, 16.0, 2.5)
    for number in range(50):
        estimator.record_arrival(float(number), 16.0, 2.5)
    recent_only = headroom.HeadroomEstimator()
    recent_only.record_arrival(0.0, 0.0, 1.0)
    recent_only.record_arrival(100.0, 16.0, 2.5)
    assert estimator.estimate(101.0) == recent_only.estimate(101.0)


def test_no_headroom_before_first_urgent_job():
    """Guards against workers that stay idle for work that never comes."""
    assert headroom.HeadroomEstimator().estimate(5.0) == 0.0
