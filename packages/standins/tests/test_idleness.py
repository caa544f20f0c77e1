"""Tests of the judge of jobs that stand beside free room."""

import random
import time

import pytest

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import workers as worker_module

_DEMAND = workload.Demand(1000, 1000, 1)
_STEP = workload.Step(tasks=1, demand=_DEMAND)


def _make_workers(count, accelerators=4, labels=frozenset()):
    return [
        idleness.Worker(f"w{number}", f"r{number // 4}", labels,
                        workload.Demand(64_000, 64_000, accelerators))
        for number in range(count)
    ]


def _make_event(at_s, kind, job_id, *, worker="w0", step=0, task=0, run=1):
    return worker_module.Event(at_s, worker, kind, f"{job_id}.0.{step}.{task}",
                               run)


def _judge(jobs, *, events=(), workers=None, **fields):
    defaults = {
        "changes": (),
        "disruptions": (),
        "traffic_end_s": 100.0,
        "end_s": 100.0
    }
    return idleness.find_idle_jobs(
        idleness.Record(workers=workers or _make_workers(2),
                        events=sorted(events),
                        jobs=jobs,
                        **{
                            **defaults,
                            **fields
                        }))


def _list_spans(findings):
    return [
        (finding.job_id, finding.from_s, finding.to_s) for finding in findings
    ]


def _make_job(job_id="a", accepted_s=10.0, step=_STEP, **fields):
    return idleness.Job(job_id, (step,), accepted_s, **fields)


def test_standing_job_is_found():
    """Guards against a judge that overlooks a job which never runs."""
    findings = _judge([_make_job()])
    assert _list_spans(findings) == [("a", 10.0, 100.0)]
    assert "a step 0 stands in calm" in findings[0].text


@pytest.mark.parametrize(("begin_s", "found"), [(12.9, False), (13.1, True)])
def test_wait_before_the_first_run(begin_s, found):
    """Guards against a judge of other bounds than three seconds."""
    events = [
        _make_event(begin_s, "start", "a"),
        _make_event(50.0, "done", "a")
    ]
    assert bool(_judge([_make_job()], events=events)) == found


def test_failed_task_has_no_extra_time():
    """Guards against adding the delay of a retry to the three seconds."""
    events = [
        _make_event(10.5, "start", "a"),
        _make_event(11.0, "failed", "a"),
        _make_event(14.5, "start", "a", run=2),
        _make_event(15.0, "done", "a", run=2)
    ]
    assert _list_spans(_judge([_make_job()],
                              events=events)) == [("a", 11.0, 14.5)]


def test_cancelled_and_ended_jobs_are_not_judged():
    """Guards against findings of jobs that nobody waits for."""
    jobs = [
        _make_job("a", cancelled_s=12.0),
        _make_job("b", ended_s=12.5),
        _make_job("c", cancelled_s=9.0)
    ]
    assert _judge(jobs) == []


def test_later_steps_wait_for_their_turn():
    """Guards against judging a step before the steps that it follows."""
    job = idleness.Job("a", (_STEP, _STEP._replace(after=(0,), label="x")),
                       10.0)
    events = [_make_event(10.5, "start", "a"), _make_event(30.0, "done", "a")]
    workers = _make_workers(2, labels=frozenset({"x"}))
    findings = _judge([job], events=events, workers=workers)
    assert _list_spans(findings) == [("a", 30.0, 100.0)]
    assert findings[0].step == 1


def test_one_running_task_is_enough():
    """Guards against judging tasks of a job of which another task runs."""
    events = [_make_event(10.5, "start", "a")]
    assert _judge([_make_job(step=_STEP._replace(tasks=5))],
                  events=events) == []


@pytest.mark.parametrize(("accelerators", "found"), [(1, False), (2, True)])
def test_room_must_exist_twice(accelerators, found):
    """Guards against findings without room for the task twice over."""
    workers = _make_workers(1, accelerators)
    assert bool(_judge([_make_job()], workers=workers)) == found


@pytest.mark.parametrize(("count", "max_per_worker", "found"), [(4, 0, True),
                                                                (3, 0, False),
                                                                (4, 3, False),
                                                                (6, 3, True)])
def test_room_for_a_gang(count, max_per_worker, found):
    """Guards against counting room that a gang cannot use."""
    step = _STEP._replace(tasks=8, gang=True, max_per_worker=max_per_worker)
    workers = _make_workers(count)
    assert bool(_judge([_make_job(step=step)], workers=workers)) == found


def test_one_end_completes_a_gang():
    """Guards against judging a gang of which the ends of others were lost."""
    events = [
        _make_event(10.5, "start", "a"),
        _make_event(10.5, "start", "a", worker="w1", task=1),
        _make_event(20.0, "lapsed", "a", worker="w1", task=1),
        _make_event(21.0, "done", "a")
    ]
    gang = _STEP._replace(tasks=2, gang=True)
    assert _judge([_make_job(step=gang)], events=events) == []
    assert _judge([_make_job(step=_STEP._replace(tasks=2))], events=events)


def test_label_is_required():
    """Guards against counting room on workers without the label."""
    workers = [
        *_make_workers(2),
        idleness.Worker("x", "r9", frozenset({"x"}),
                        workload.Demand(64_000, 64_000, 1))
    ]
    jobs = [_make_job(step=_STEP._replace(label="x"))]
    assert _judge(jobs, workers=workers) == []
    workers[-1] = workers[-1]._replace(
        capacity=workload.Demand(64_000, 64_000, 2))
    assert _judge(jobs, workers=workers)


@pytest.mark.parametrize("fields", [{
    "up": False
}, {
    "up": True,
    "reachable": False
}, {
    "up": True,
    "draining": True
}])
def test_unusable_workers_give_no_room(fields):
    """Guards against counting room that no leader can use."""
    changes = [
        idleness.WorkerChange(5.0, f"w{number}", **fields)
        for number in range(2)
    ]
    changes.append(idleness.WorkerChange(20.0, "w0", up=True))
    changes.append(idleness.WorkerChange(22.0, "w0", up=False))
    assert _judge([_make_job()], changes=changes) == []


def test_runs_of_lost_workers_do_not_count():
    """Guards against taking a run on a lost worker for one that runs."""
    events = [_make_event(10.5, "start", "a")]
    lost = [idleness.WorkerChange(20.0, "w0", up=False)]
    cut = [idleness.WorkerChange(20.0, "w0", up=True, reachable=False)]
    assert _list_spans(_judge([_make_job()], events=events,
                              changes=lost)) == [("a", 20.0, 100.0)]
    assert _judge([_make_job()], events=events, changes=cut) == []


def test_only_calm_stretches_are_judged():
    """Guards against findings within four seconds of a disruption."""
    disruptions = [
        idleness.Interval(40.0, 50.0),
        idleness.Interval(5.0, 20.0),
        idleness.Interval(26.9, 26.9),
        idleness.Interval(34.0, 34.0)
    ]
    findings = _judge([_make_job()],
                      disruptions=disruptions,
                      traffic_end_s=100.0)
    assert _list_spans(findings) == [("a", 30.9, 34.0), ("a", 54.0, 100.0)]


def test_full_service_is_judged_in_calm_only():
    """Guards against judging the end while over half is in use."""
    events = [
        _make_event(1.0, "start", "b", worker=f"w{number // 2}", task=number)
        for number in range(4)
    ]
    busy = _make_job("b", 0.0, _STEP._replace(tasks=4))
    workers = _make_workers(2, accelerators=4)
    jobs = [busy, _make_job()]
    calm = _judge(jobs, events=events, workers=workers, traffic_end_s=50.0)
    assert _list_spans(calm) == [("a", 10.0, 100.0)]
    disrupted = {
        "workers": workers,
        "disruptions": [idleness.Interval(0.0, 100.0)],
        "traffic_end_s": 50.0
    }
    assert _judge(jobs, events=events, **disrupted) == []
    at_end = _judge(jobs, events=events[1:], **disrupted)
    assert _list_spans(at_end) == [("a", 50.0, 100.0)]
    assert "at the end" in at_end[0].text


def test_unconfirmed_jobs_take_room():
    """Guards against room where a job runs whose acceptance got lost."""
    events = [
        _make_event(1.0, "start", "b", worker=f"w{number // 4}", task=number)
        for number in range(7)
    ]
    unconfirmed = _make_job("b", None, _STEP._replace(tasks=9))
    assert _judge([unconfirmed]) == []
    assert _judge([unconfirmed, _make_job()], events=events) == []
    assert _judge([unconfirmed, _make_job()], events=events[1:])


def test_others_that_stand_are_counted():
    """Guards against a finding that hides how many jobs stood so."""
    jobs = [_make_job(name) for name in "abc"]
    jobs.append(_make_job("d", ended_s=12.0))
    assert [finding.others for finding in _judge(jobs)] == [2, 2, 2]


def test_large_fleets_are_judged_in_seconds():
    """Guards against a judge too slow for 176 workers and 500 jobs."""
    rng = random.Random(1)
    steps = [
        _STEP._replace(tasks=rng.randint(1, 8),
                       demand=workload.Demand(1000 * size, 1000, size),
                       gang=size > 1,
                       label=rng.choice(("", "r1")))
        for size in (1, 2, 4)
        for _ in range(8)
    ]
    jobs = [
        _make_job(f"j{number}", rng.uniform(0, 60), rng.choice(steps))
        for number in range(500)
    ]
    events = []
    for job in jobs:
        for task in range(job.steps[0].tasks):
            at_s = job.accepted_s + rng.uniform(0, 10)
            worker = f"w{rng.randrange(176)}"
            events.append(
                _make_event(at_s, "start", job.job_id, worker=worker,
                            task=task))
            events.append(
                _make_event(at_s + rng.uniform(0.3, 15.0),
                            "done",
                            job.job_id,
                            worker=worker,
                            task=task))
    began_s = time.process_time()
    _judge(jobs,
           events=events,
           workers=_make_workers(176, 8),
           traffic_end_s=60.0,
           end_s=80.0)
    assert time.process_time() - began_s < 10.0
