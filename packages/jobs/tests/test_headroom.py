"""The room that is kept for urgent work."""

import pytest

from trefoilroad_jobs import headroom
from trefoilroad_jobs import placement
from trefoilroad_jobs import workload

CAPACITY = workload.Demand(64_000, 256_000, 8)


def test_steady_arrivals_keep_their_mean_use_and_some_more():
    """Guards against room for the mean alone, which is short half the time."""
    room = headroom.HeadroomEstimator()
    for number in range(80):
        room.record_arrival(number * 0.1, 16.0, 2.5)
    mean = 10 * 16.0 * 2.5
    kept = room.estimate(8.0)
    assert mean < kept < 1.5 * mean


def test_room_is_given_back_when_urgent_work_stops_coming():
    """Guards against room that stays idle after a burst."""
    room = headroom.HeadroomEstimator()
    room.record_arrival(0.0, 16.0, 2.5)
    assert room.estimate(1.0) > 0.0
    assert room.estimate(headroom.ARRIVAL_WINDOW_S + 0.1) == 0.0


def test_first_arrival_is_not_taken_for_a_steady_stream():
    """Guards against the whole fleet being kept at the first urgent job."""
    room = headroom.HeadroomEstimator()
    room.record_arrival(0.0, 16.0, 2.5)
    assert room.estimate(0.0) <= 16.0 * 2.5 / headroom.MIN_ARRIVAL_WINDOW_S * 2


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
def test_kept_workers_are_whole_racks_in_a_fixed_order(wanted, count):
    """Guards against kept workers that change, or are more than half."""
    candidates = _candidates()
    chosen = headroom.choose_workers(candidates, wanted)
    assert chosen == frozenset(["w0", "w2", "w4"][:count])
    assert chosen == headroom.choose_workers(candidates[::-1], wanted)


def test_nothing_is_kept_while_half_of_the_fleet_is_idle():
    """Guards against bulk jobs that wait beside idle workers."""
    assert headroom.choose_workers(_candidates(free=5), 24.0) == frozenset()
    assert headroom.choose_workers(_candidates(free=3), 24.0) != frozenset()


def test_work_that_is_tied_to_kept_workers_may_use_them():
    """Guards against jobs that starve, or run far from their data."""
    kept = frozenset({"w0", "w2", "w4"})
    candidates = _candidates()
    for request in (_request(label="r0"), _request(data_rack="r0"),
                    _request(tasks=4)):
        assert len(headroom.exclude_headroom(request, candidates, kept)) == 6
    assert len(headroom.exclude_headroom(_request(), candidates, kept)) == 3


def test_old_arrivals_do_not_count_in_any_order():
    """Guards against half of a fleet kept after a change of the leader.

    The new leader reads the jobs of the last minutes in the order of their
    names.
    """
    room = headroom.HeadroomEstimator()
    room.record_arrival(100.0, 16.0, 2.5)
    for number in range(50):
        room.record_arrival(float(number), 16.0, 2.5)
    alone = headroom.HeadroomEstimator()
    alone.record_arrival(0.0, 0.0, 1.0)
    alone.record_arrival(100.0, 16.0, 2.5)
    assert room.estimate(101.0) == alone.estimate(101.0)


def test_nothing_is_kept_before_the_first_urgent_job():
    """Guards against workers that stay idle for work that never comes."""
    assert headroom.HeadroomEstimator().estimate(5.0) == 0.0
