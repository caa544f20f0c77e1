"""Tests of steps whose tasks run until their job is cancelled, simulated."""

import pytest

from trefoilroad_jobs import fleet
from trefoilroad_jobs import headroom
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import patience
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

_JOB = "a" * 16
# Longest time from the end of one run to the start of the next one: the longest
# delay of a retry, and the time for which it avoids workers with failures.
_MAX_PAUSE_S = 3.0
# Longest time from the last run of a task until it is at work again beside room
# for two of them.
_RESTART_S = 6.0
_HALF_WORKER = workload.Demand(8000, 8000, 4)


def test_retry_delay_after_any_number_of_failures():
    """Guards against a delay that overflows after 1,025 failures."""
    bounds = limits.Limits()
    delays_s = [
        bounds.compute_retry_delay_s(failures)
        for failures in (1, 2, 4, 5, 1_024, 1_025, 1_026, 10**9)
    ]
    assert delays_s == pytest.approx([0.2, 0.4, 1.6, 2.0, 2.0, 2.0, 2.0, 2.0])


def test_task_is_restarted_after_1025_failures():
    """Guards against a job that rounds leave out once a task failed too often.

    The delay of the retry overflowed when the failure was recorded, and in each
    round after that, so that no task of the job was started any more.
    """
    site = sites.Site(worker_count=4, per_rack=4)
    site.run(1.0)
    site.submit(_JOB, tasks=2, run_s=0.5, long_running=True, fails=True)
    site.run(1.0)
    job = site.find_leader().node._dispatcher.jobs[_JOB]
    for index in range(2):
        job.get_step(0, 0).failures[index] = 1_022
    for _ in range(5):
        before = site.count_events("start")
        site.run(_MAX_PAUSE_S)
        assert site.count_events("start") > before
    failures = job.get_step(0, 0).failures
    assert min(failures[0], failures[1]) > 1_025


def _fail_one_task(site, job_id):
    """Has one task of a job fail, and gives its place to another job."""
    worker_state, name = next((worker_state, name)
                              for worker_state in site.worker_states.values()
                              for name in worker_state.runs
                              if name.startswith(job_id))
    worker_state.fails = True
    worker_state.runs[name].ends_s = site.clock.now_s
    site.run(0.06)
    worker_state.fails = False
    assert name not in worker_state.runs
    site.submit("f" * 16,
                run_s=1000.0,
                demand=_HALF_WORKER,
                long_running=True,
                label=worker_state.rack)
    site.run(0.1)
    assert any(other.startswith("f") for other in worker_state.runs)


def _count_running(site, prefix):
    return sum(
        name.startswith(prefix)
        for worker_state in site.worker_states.values()
        for name in worker_state.runs)


def _make_site(tasks, **fields):
    """Returns a site on which a long-running job has filled two workers."""
    site = sites.Site(
        worker_count=6,
        per_rack=2,
        labels={rack: frozenset({rack}) for rack in ("r0", "r1", "r2")})
    site.run(1.0)
    step = workload.Step(tasks=tasks,
                         demand=_HALF_WORKER,
                         estimate_ms=1000,
                         long_running=True,
                         **fields)
    site.submit_steps(_JOB, [step], [1000.0])
    # Its objective passes, after which no room is made for it.
    site.run(10.0)
    assert _count_running(site, _JOB) == tasks
    return site


def test_task_leaves_the_full_rack_of_its_data():
    """Guards against a task that is not at work beside four empty workers.

    The condition for leaving the rack was that nothing of the job runs.
    """
    site = _make_site(4, data_rack="r0")
    _fail_one_task(site, _JOB)
    assert _count_running(site, _JOB) == 3
    site.run(_RESTART_S)
    assert _count_running(site, _JOB) == 4


def test_task_uses_room_that_is_kept_for_urgent_work(monkeypatch):
    """Guards against a task that is not at work beside unused headroom."""
    site = _make_site(4)
    monkeypatch.setattr(headroom, "choose_workers",
                        lambda *_: frozenset({"w02", "w03", "w04", "w05"}))
    _fail_one_task(site, _JOB)
    assert _count_running(site, _JOB) == 3
    site.run(_RESTART_S)
    assert _count_running(site, _JOB) == 4


def test_task_uses_a_worker_that_is_withheld(monkeypatch):
    """Guards against a task that is not at work as its worker is suspected."""
    site = _make_site(4)
    monkeypatch.setattr(fleet.Fleet, "find_suspects",
                        lambda *_: frozenset({"w02", "w03", "w04", "w05"}))
    _fail_one_task(site, _JOB)
    assert _count_running(site, _JOB) == 3
    site.run(_RESTART_S)
    assert _count_running(site, _JOB) == 4


def _make_unit(indexes):
    return units.Unit(job_id=_JOB,
                      occurrence=0,
                      step_number=0,
                      step=workload.Step(tasks=20,
                                         demand=_HALF_WORKER,
                                         long_running=True,
                                         data_rack="r0"),
                      indexes=indexes,
                      used_by_worker={},
                      service="service",
                      team="team",
                      priority=1,
                      accepted_s=0.0,
                      objective_s=-100.0,
                      remaining_s=1.0,
                      remaining_core_s=10.0,
                      size_ratio=1.0,
                      guaranteed=False,
                      idle=True)


def _make_candidate(rack, accelerators):
    return placement.Candidate(
        worker_id=f"worker-{rack}",
        rack=rack,
        labels=frozenset(),
        room=sites.WORKER_CAPACITY._replace(accelerators=accelerators),
        capacity=sites.WORKER_CAPACITY._replace(accelerators=80,
                                                milli_cores=640_000))


def test_patience_does_not_begin_anew_with_each_task():
    """Guards against the last of many tasks, which waits for each before it."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    waiting = tuple(range(10))
    starts_s = {}
    for tenth in range(round(_RESTART_S * 10)):
        now_s = tenth / 10
        # Room for one task in the rack of its data every 0.8 s.
        candidates = [
            _make_candidate("r0", 4 if tenth % 8 == 7 else 0),
            _make_candidate("r1", 8)
        ]
        plan = round_planner.plan(
            [_make_unit(waiting)] if waiting else [], candidates,
            lambda: reclaim.RunningTasks(ending=(), victims=()), now_s)
        for start in plan.starts:
            for index in start.unit.indexes[:len(start.workers)]:
                starts_s[index] = now_s
            waiting = waiting[len(start.workers):]
    assert not waiting
    assert starts_s[9] <= 2 * patience.PREFERENCE_S
