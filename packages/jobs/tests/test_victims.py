"""Tests of the tasks that are stopped only for guaranteed work."""

import pytest

from trefoilroad_jobs import ordering
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

_CAPACITY = sites.WORKER_CAPACITY
_WHOLE = workload.Demand(8000, 1000, 8)
_LASTING = "a" * 16
_URGENT = "b" * 16
# Guaranteed work has to start within 2.7 s.
_RECLAIM_S = 2.7


def _make_site(**fields):
    """Returns a site that a long-running job of bulk priority fills."""
    site = sites.Site(worker_count=4, per_rack=2, guarantees={"owner": 16})
    site.run(1.0)
    site.submit(_LASTING,
                tasks=4,
                run_s=1000.0,
                demand=_WHOLE,
                long_running=True,
                **fields)
    site.run(5.0)
    assert site.count_events("start", _LASTING) == 4
    return site


def _submit_urgent(site, team="owner", **fields):
    site.submit(_URGENT,
                run_s=3.0,
                demand=_WHOLE,
                queue=sites.URGENT_QUEUE,
                team=team,
                **fields)


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("tasks", [1, 2])
def test_long_running_tasks_yield_to_a_guarantee(tasks, gang):
    """Guards against guaranteed work that never starts on a full fleet.

    Long-running tasks were never stopped, whatever their step permits.
    """
    site = _make_site(max_unavailable=2)
    _submit_urgent(site, tasks=tasks, gang=gang)
    site.run(_RECLAIM_S)
    assert site.count_events("start", _URGENT) == tasks
    assert site.count_events("stopped", _LASTING) == tasks
    site.run(6.0)
    # The stopped tasks are started again once the urgent job has ended.
    assert site.count_events("start", _LASTING) == 4 + tasks
    assert site.find_violations() == []


@pytest.mark.parametrize(("max_unavailable", "stopped"), [(0, 0), (1, 1)])
def test_long_running_tasks_are_stopped_within_their_limit(
        max_unavailable, stopped):
    """Guards against a service that is stopped below what its owner allows."""
    site = _make_site(max_unavailable=max_unavailable)
    _submit_urgent(site, tasks=2)
    site.run(2.5)
    assert site.count_events("stopped", _LASTING) == stopped
    assert site.count_events("start", _URGENT) == stopped


def test_failed_task_counts_as_unavailable():
    """Guards against stops on top of tasks that failed on their own."""
    site = _make_site(max_unavailable=1)
    job = site.find_leader().node._dispatcher.jobs[_LASTING]
    # A worker that fails all runs, and no other has room for its task.
    site.worker_states["w00"].fails = True
    for run in site.worker_states["w00"].runs.values():
        run.ends_s = site.clock.now_s
    site.run(0.12)
    assert list(job.get_step(0, 0).retry_at_s)
    job.get_step(0, 0).retry_at_s = dict.fromkeys(range(4), float("inf"))
    site.worker_states["w00"].draining = True
    site.register(site.worker_states["w00"])
    _submit_urgent(site)
    site.run(_RECLAIM_S)
    assert site.count_events("stopped", _LASTING) == 0


def test_work_beyond_its_guarantee_does_not_stop_long_running_tasks():
    """Guards against services that are stopped by whatever is urgent."""
    site = _make_site(max_unavailable=4)
    _submit_urgent(site, team="other")
    site.run(5.0)
    assert site.count_events("stopped", _LASTING) == 0


def _make_candidates(count=2):
    return [
        placement.Candidate(worker_id=f"w{number}",
                            rack="r",
                            labels=frozenset(),
                            room=_CAPACITY._replace(accelerators=0),
                            capacity=_CAPACITY) for number in range(count)
    ]


def _make_unit(tasks=1, demand=_WHOLE, **changes):
    fields = {
        "job_id": "unit",
        "occurrence": 0,
        "step_number": 0,
        "step": workload.Step(tasks=tasks, demand=demand),
        "indexes": tuple(range(tasks)),
        "used_by_worker": {},
        "service": "service",
        "team": "team",
        "priority": 0,
        "accepted_s": 0.0,
        "objective_s": 30.0,
        "remaining_s": 5.0,
        "remaining_core_s": 10.0,
        "size_ratio": 1.0,
        "guaranteed": True
    }
    return units.Unit(**fields | changes)


def _make_last_resort(worker_id, handle, limit, demand=_WHOLE):
    return units.Victim(((worker_id, demand),),
                        1.0,
                        2,
                        handle,
                        last_resort=True,
                        quota=units.StopQuota(("lasting", 0, 0), limit))


def _plan(ready, victims, last_resort):
    listed = []

    def list_last_resort():
        listed.append(True)
        return last_resort

    plan = planner.Planner(order=ordering.WorthDensityOrder()).plan(
        ready, _make_candidates(), lambda: reclaim.RunningTasks(
            ending=(), victims=victims, list_last_resort=list_last_resort), 0.0)
    return [victim.handle for victim in plan.stops], len(listed)


def test_other_victims_come_first():
    """Guards against a service that is stopped while bulk work could be.

    The victims of last resort are not even listed then, as rounds of a large
    fleet have no time to spare.
    """
    bulk = units.Victim((("w0", _WHOLE),), 100.0, 2, "bulk")
    stops = _plan([_make_unit()], [bulk], [_make_last_resort("w1", "x", 1)])
    assert stops == (["bulk"], 0)


def test_last_resort_is_not_listed_for_work_without_a_guarantee():
    """Guards against slower rounds where no guarantee needs room."""
    ready = [
        _make_unit(guaranteed=False),
        _make_unit(job_id="bulk", guaranteed=False, priority=1)
    ]
    stops = _plan(ready, [], [_make_last_resort("w1", "x", 1)])
    assert stops == ([], 0)


@pytest.mark.parametrize("limit", [0, 1, 2, 3, 4])
def test_quota_holds_for_all_units_of_a_round(limit):
    """Guards against units that together stop more than a step permits."""
    half = _WHOLE._replace(accelerators=4)
    last_resort = [
        _make_last_resort(f"w{number // 2}", number, limit, half)
        for number in range(4)
    ]
    ready = [_make_unit(job_id=name, demand=half) for name in "abcd"]
    stops, listed = _plan(ready, [], last_resort)
    assert len(stops) == len(set(stops)) == limit
    assert listed == 1


@pytest.mark.parametrize(("limit", "expected"), [(1, 1), (2, 2)])
def test_quota_holds_within_a_unit(limit, expected):
    """Guards against a unit of several tasks that ignores the quota."""
    last_resort = [
        _make_last_resort(f"w{number}", number, limit) for number in range(2)
    ]
    stops, _ = _plan([_make_unit(tasks=2)], [], last_resort)
    assert len(stops) == expected
    stops, _ = _plan([
        _make_unit(tasks=2,
                   step=workload.Step(tasks=2, demand=_WHOLE, gang=True))
    ], [], last_resort)
    assert len(stops) == (2 if limit == 2 else 0)


def test_gang_counts_with_all_its_tasks():
    """Guards against a gang that is stopped though some of it must stay."""
    for limit, expected in ((1, 0), (2, 1)):
        gang = units.Victim((("w0", _WHOLE), ("w1", _WHOLE)),
                            1.0,
                            2,
                            "gang",
                            last_resort=True,
                            quota=units.StopQuota(("lasting", 0, 0), limit))
        stops, _ = _plan([_make_unit()], [], [gang])
        assert len(stops) == expected
