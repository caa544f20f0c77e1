"""Tests of worker speeds: the estimates, and what placement makes of them."""

import random

import pytest

from trefoilroad_jobs import headroom
from trefoilroad_jobs import placement
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units
from trefoilroad_jobs import worker_speeds
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import load

CAPACITY = workload.Demand(64_000, 256_000, 8)
SLOWNESSES = (0.6, 1.0, 1.6)


def _group(job=0, *, gang=False, in_data_rack=False):
    return worker_speeds.Group(job_id=f"{job:016x}",
                               occurrence=0,
                               step=0,
                               in_data_rack=in_data_rack,
                               gang=gang)


def _slowness(number):
    return SLOWNESSES[number % 3]


def _record_gang(speeds, job, workers, *, run_s=8.0, slowness=_slowness):
    """Records the progress of a gang with one task on each worker."""
    for number in workers:
        task_s = run_s * slowness(number)
        for at_s in (2.0, 4.0):
            speeds.record_progress(((job, number), 1),
                                   _group(job, gang=True),
                                   f"w{number}",
                                   int(100 * at_s / task_s),
                                   started_s=0.0,
                                   now_s=at_s)


def test_speeds_follow_from_one_gang():
    """Guards against estimates that need many runs of each worker."""
    speeds = worker_speeds.WorkerSpeeds()
    _record_gang(speeds, 1, range(9))
    speeds.update(4.0)
    for number in range(9):
        assert speeds.get_slowness(f"w{number}") == pytest.approx(
            _slowness(number), rel=0.15)


def test_run_time_of_a_job_is_not_taken_for_speed():
    """Guards against workers that seem slow as they run long jobs."""
    speeds = worker_speeds.WorkerSpeeds()
    for job in range(4):
        _record_gang(speeds,
                     job,
                     range(4 * job, 4 * job + 4),
                     run_s=5.0 * (1 + job),
                     slowness=lambda _: 1.0)
    speeds.update(4.0)
    assert not speeds.list_slownesses()


def test_uneven_tasks_are_not_taken_for_speed():
    """Guards against classes that follow from the spread of single tasks."""
    rng = random.Random(1)
    speeds = worker_speeds.WorkerSpeeds()
    for job in range(6):
        for number in range(20):
            run_s = 5.0 * rng.lognormvariate(0.0, 0.2)
            key = ((job, number), 1)
            speeds.record_progress(key,
                                   _group(job),
                                   f"w{number}",
                                   1,
                                   started_s=0.0,
                                   now_s=0.01 * run_s)
            speeds.record_end(key,
                              _group(job),
                              f"w{number}",
                              done=True,
                              now_s=run_s)
    speeds.update(9.0)
    assert len(speeds.list_slownesses()) <= 1


def test_far_data_is_not_taken_for_speed():
    """Guards against workers that seem slow as their data is elsewhere."""
    speeds = worker_speeds.WorkerSpeeds()
    for number in range(8):
        far = number >= 4
        speeds.record_progress((number, 1),
                               _group(gang=True, in_data_rack=not far),
                               f"w{number}",
                               10 if far else 30,
                               started_s=0.0,
                               now_s=2.0)
    speeds.update(2.0)
    assert not speeds.list_slownesses()


def test_worker_that_recovers_counts_as_usual_again():
    """Guards against workers that are avoided long after a slow spell."""
    speeds = worker_speeds.WorkerSpeeds()
    _record_gang(speeds, 1, range(6), slowness=lambda n: 4.0 if n == 0 else 1.0)
    speeds.update(4.0)
    assert speeds.get_class("w0") > 0
    for job in range(2, 8):
        for number in range(6):
            speeds.record_progress(((job, number), 1),
                                   _group(job, gang=True),
                                   f"w{number}",
                                   25,
                                   started_s=4.0 * job,
                                   now_s=4.0 * job + 2.0)
    speeds.update(60.0)
    assert speeds.get_class("w0") == 0


def test_state_is_bounded_by_age():
    """Guards against samples that are kept for the life of a leader."""
    speeds = worker_speeds.WorkerSpeeds()
    _record_gang(speeds, 1, range(3))
    speeds.update(4.0)
    _record_gang(speeds, 2, range(3, 6))
    speeds.update(4.0 + 2 * worker_speeds.MAX_AGE_S)
    assert not speeds.list_slownesses()


def test_idle_fleet_forgets_speeds():
    """Guards against speeds of the past that an idle fleet keeps for ever."""
    speeds = worker_speeds.WorkerSpeeds()
    _record_gang(speeds, 1, range(6), slowness=lambda n: 4.0 if n == 0 else 1.0)
    speeds.update(4.0)
    assert speeds.get_class("w0") > 0
    speeds.update(4000.0)
    assert speeds.get_class("w0") == 0


def test_number_of_samples_is_bounded():
    """Guards against updates whose cost grows with the runs of a minute."""
    speeds = worker_speeds.WorkerSpeeds()
    for number in range(worker_speeds.MAX_SAMPLES + 10):
        speeds.record_progress((number, 1),
                               _group(number),
                               "w0",
                               50,
                               started_s=0.0,
                               now_s=2.0)
    assert len(speeds._samples) == worker_speeds.MAX_SAMPLES


def test_work_without_time_to_spare_gets_no_slow_worker():
    """Guards against a class that is slower than the objective allows."""
    limit = worker_speeds.find_max_class(3.2, 2.0, is_urgent=True)
    slow = round(0.47 / worker_speeds.CLASS_WIDTH)
    assert 0 <= limit < slow
    assert worker_speeds.find_max_class(30.0, 9.0, is_urgent=False) >= slow
    assert worker_speeds.find_max_class(
        -1.0, 2.0, is_urgent=True) == worker_speeds.FASTEST_CLASS


def _candidates(classes, *, free=8, per_rack=3):
    return [
        placement.Candidate(worker_id=f"w{number}",
                            rack=f"r{number // per_rack}",
                            labels=frozenset(),
                            room=CAPACITY._replace(accelerators=free),
                            capacity=CAPACITY,
                            speed_class=speed_class)
        for number, speed_class in enumerate(classes)
    ]


def _request(tasks, *, prefers_fast, max_speed_class=2, one_rack=False):
    step = workload.Step(tasks=tasks,
                         demand=workload.Demand(1000, 1000, 8),
                         gang=True,
                         one_rack=one_rack)
    return placement.PlacementRequest(step=step,
                                      tasks=tasks,
                                      all_or_nothing=True,
                                      used_by_worker={},
                                      max_speed_class=max_speed_class,
                                      prefers_fast=prefers_fast)


def test_urgent_work_gets_the_fast_workers_and_other_work_the_slow_ones():
    """Guards against urgent gangs on slow workers beside idle fast ones."""
    candidates = _candidates([-2, 0, 2, -2, 0, 2])
    urgent = placement.place(_request(2, prefers_fast=True),
                             candidates,
                             spread=False)
    bulk = placement.place(_request(2, prefers_fast=False),
                           candidates,
                           spread=False)
    in_a_hurry = placement.place(_request(2,
                                          prefers_fast=False,
                                          max_speed_class=0),
                                 candidates,
                                 spread=False)
    assert set(urgent) == {"w0", "w3"}
    assert set(bulk) == {"w2", "w5"}
    assert set(in_a_hurry) == {"w1", "w4"}


def test_gang_of_one_rack_gets_the_rack_with_faster_workers():
    """Guards against a gang that the slowest of its workers holds up."""
    candidates = _candidates([0, 2, 2, 0, 0, 2])
    placed = placement.place(_request(2, prefers_fast=True, one_rack=True),
                             candidates,
                             spread=False)
    assert set(placed) == {"w3", "w4"}


def test_headroom_avoids_slow_workers():
    """Guards against room kept for urgent work on which it would be late."""
    candidates = _candidates([2, 2, 0, 0, 2, 2], free=0)
    assert headroom.choose_workers(candidates, 16.0) == {"w2", "w3"}


def _unit(tasks=1):
    step = workload.Step(tasks=tasks,
                         demand=workload.Demand(1000, 1000, 8),
                         gang=True)
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
                      objective_s=3.3,
                      remaining_s=2.0,
                      remaining_core_s=128.0,
                      size_ratio=1.0,
                      guaranteed=False,
                      max_speed_class=1)


def test_urgent_work_preempts_on_workers_on_which_it_ends_in_time():
    """Guards against a preemption that frees a slow worker."""
    candidates = _candidates([3, 0], free=0)
    demand = workload.Demand(1000, 1000, 8)
    running = reclaim.RunningTasks(ending=[],
                                   victims=[
                                       units.Victim(((f"w{number}", demand),),
                                                    lost_core_s, 2, number)
                                       for number, lost_core_s in ((0, 1.0),
                                                                   (1, 2.0))
                                   ])
    preemption = reclaim.choose_preemption(_unit(), candidates, running)
    assert preemption is not None
    assert preemption.workers == ["w1"]


def test_urgent_work_keeps_its_data_rack():
    """Guards against a preemption in another rack as its own one is slow."""
    candidates = _candidates([3, 3, 0, 0], free=0, per_rack=2)
    demand = workload.Demand(1000, 1000, 8)
    running = reclaim.RunningTasks(ending=[],
                                   victims=[
                                       units.Victim(((f"w{number}", demand),),
                                                    1.0, 2, number)
                                       for number in range(4)
                                   ])
    unit = _unit()
    unit = unit._replace(step=unit.step._replace(data_rack="r0", gang=False))
    preemption = reclaim.choose_preemption(unit, candidates, running)
    assert preemption is not None
    assert set(preemption.workers) <= {"w0", "w1"}


def test_gang_of_one_rack_is_not_spread_for_speed():
    """Guards against a gang over two racks, which costs more than its speed."""
    candidates = _candidates([0, 3, 3, 0], free=0, per_rack=2)
    demand = workload.Demand(1000, 1000, 8)
    running = reclaim.RunningTasks(ending=[],
                                   victims=[
                                       units.Victim(((f"w{number}", demand),),
                                                    1.0, 2, number)
                                       for number in range(4)
                                   ])
    unit = _unit(tasks=2)
    unit = unit._replace(step=unit.step._replace(one_rack=True))
    preemption = reclaim.choose_preemption(unit, candidates, running)
    assert preemption is not None
    assert set(preemption.workers) in ({"w0", "w1"}, {"w2", "w3"})


def test_interference_does_not_make_urgent_work_late():
    """Guards against a slow worker that is preferred for its images."""
    candidates = _candidates([4, 0, 0], free=7)
    candidates[1].images = frozenset({"other"})
    candidates[2].room = CAPACITY
    step = workload.Step(tasks=1, demand=workload.Demand(1000, 1000, 1))
    request = placement.PlacementRequest(step=step,
                                         tasks=1,
                                         all_or_nothing=True,
                                         used_by_worker={},
                                         max_speed_class=0,
                                         prefers_fast=True,
                                         avoided_images=frozenset({"other"}))
    assert placement.pack(request, candidates) != ["w0"]


def test_uneven_workers_load(monkeypatch):
    """Guards against urgent work that is late on slow workers.

    Replays a load on a fleet of which a third is 1.6 times as slow and a third
    1.6 times as fast as the others.
    """
    with_speeds = load.simulate(load.PATTERNS["uneven-workers"], 1)
    monkeypatch.setattr(worker_speeds.WorkerSpeeds, "get_class", lambda *_: 0)
    without_speeds = load.simulate(load.PATTERNS["uneven-workers"], 1)
    assert with_speeds.kinds["render"] > without_speeds.kinds["render"] + 0.1
    assert with_speeds.worth > without_speeds.worth
