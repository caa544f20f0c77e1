"""Tests of the tasks that are stopped only for guaranteed work."""

import pytest

from trefoilroad_jobs import intake
from trefoilroad_jobs import ordering
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import progress
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units
from trefoilroad_jobs import victims
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


def _plan(ready, ordinary, last_resort):
    listed = []

    def list_last_resort():
        listed.append(True)
        return last_resort

    plan = planner.Planner(order=ordering.WorthDensityOrder()).plan(
        ready, _make_candidates(), lambda: reclaim.RunningTasks(
            ending=(), victims=ordinary, list_last_resort=list_last_resort),
        0.0)
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


def _make_borrowed_site(guarantee, queue=sites.URGENT_QUEUE, **fields):
    """Returns a site that the urgent jobs of another team fill for long."""
    site = sites.Site(worker_count=4,
                      per_rack=2,
                      guarantees={
                          "owner": 16,
                          "borrower": guarantee
                      })
    site.run(1.0)
    for number in range(6):
        site.submit(f"c{number}".ljust(16, "0"),
                    tasks=8,
                    run_s=20.0,
                    demand=sites.SMALL_DEMAND,
                    queue=queue,
                    team="borrower",
                    **fields)
        site.run(0.2)
    assert site.count_events("start", "c") == 32
    return site


def _count_running(site, prefix):
    return sum(
        name.startswith(prefix)
        for worker_state in site.worker_states.values()
        for name in worker_state.runs)


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("tasks", [1, 2])
def test_urgent_work_beyond_its_guarantee_yields(tasks, gang):
    """Guards against a burst of one team that keeps another's guarantee.

    All accelerators in use belonged to urgent jobs, which were never stopped,
    and each that became free was given to the waiting jobs of that team.
    """
    site = _make_borrowed_site(8)
    _submit_urgent(site, tasks=tasks, gang=gang)
    site.run(_RECLAIM_S)
    assert site.count_events("start", _URGENT) == tasks
    assert site.count_events("stopped", "c") == 8 * tasks
    # The jobs accepted first are those that the guarantee covers.
    assert site.count_events("stopped", "c0") == 0
    assert site.find_violations() == []


@pytest.mark.parametrize(("guarantee", "stopped"), [(32, 0), (24, 8), (17, 8),
                                                    (16, 16)])
def test_urgent_work_inside_its_guarantee_is_never_stopped(guarantee, stopped):
    """Guards against stops of work that another team's guarantee covers."""
    site = _make_borrowed_site(guarantee)
    _submit_urgent(site, tasks=2)
    site.run(_RECLAIM_S)
    assert site.count_events("stopped", "c") == stopped
    assert site.count_events("start", _URGENT) == stopped // 8
    assert _count_running(site, "c") == 32 - stopped >= guarantee


def test_urgent_work_beyond_guarantees_stops_no_urgent_work():
    """Guards against teams that stop each other's work in turns."""
    site = _make_borrowed_site(8)
    # One team has no guarantee, the other asks for more than its guarantee.
    _submit_urgent(site, team="other")
    site.submit("e" * 16,
                tasks=3,
                run_s=3.0,
                demand=_WHOLE,
                queue=sites.URGENT_QUEUE,
                team="owner")
    site.run(5.0)
    assert site.count_events("stopped", "c") == 0


def test_bulk_work_is_stopped_before_urgent_work():
    """Guards against urgent work that is stopped while bulk work could be."""
    site = sites.Site(worker_count=2, per_rack=2, guarantees={"owner": 8})
    site.run(1.0)
    site.submit("d" * 16, run_s=20.0, demand=_WHOLE)
    site.submit("c" * 16,
                run_s=20.0,
                demand=_WHOLE,
                queue=sites.URGENT_QUEUE,
                team="borrower")
    site.run(10.0)
    _submit_urgent(site)
    site.run(_RECLAIM_S)
    assert site.count_events("start", _URGENT) == 1
    assert site.count_events("stopped", "c") == 0
    assert site.count_events("stopped", "d") == 1


def test_long_running_urgent_work_has_both_limits():
    """Guards against stops beyond either the quota or the excess."""
    for max_unavailable, stopped in ((0, 0), (8, 8)):
        site = _make_borrowed_site(8,
                                   long_running=True,
                                   max_unavailable=max_unavailable)
        _submit_urgent(site)
        site.run(_RECLAIM_S)
        assert site.count_events("stopped", "c") == stopped
        assert site.count_events("stopped", "c0") == 0


def _make_job(name, accepted_s, tasks, *, gang=False, started_s=None):
    step = workload.Step(tasks=tasks, demand=sites.SMALL_DEMAND, gang=gang)
    job = progress.Job(workload=intake.build_workload(sites.URGENT_QUEUE,
                                                      "team", name, "payload",
                                                      (step,)),
                       now_s=accepted_s,
                       age_s=0.0)
    state = job.get_step(0, 0)
    for index in range(tasks):
        state.claims[index] = progress.Claim(
            key=progress.TaskKey(name, 0, 0, index),
            run=1,
            worker_id="w0",
            boot_ms=1,
            phase=progress.Phase.RUNNING,
            now_s=accepted_s if started_s is None else started_s,
            demand=step.occupied)
    return job


def _list_uncovered(jobs, guarantee):
    return sorted((key.job_id, key.task)
                  for key in victims.list_uncovered(jobs, lambda _: guarantee))


def test_guarantee_covers_tasks_in_the_order_of_acceptance():
    """Guards against another choice of covered work with each round."""
    jobs = [_make_job("new", 2.0, 2), _make_job("old", 1.0, 3)]
    assert _list_uncovered(jobs, 5) == []
    assert _list_uncovered(jobs, 4) == [("new", 1)]
    assert _list_uncovered(jobs, 2) == [("new", 0), ("new", 1), ("old", 2)]
    assert len(_list_uncovered(jobs, 0)) == 5


def test_guarantee_covers_a_gang_as_a_whole():
    """Guards against a covered part that is stopped with the rest of a gang."""
    jobs = [_make_job("gang", 1.0, 4, gang=True), _make_job("later", 2.0, 2)]
    assert _list_uncovered(jobs, 5) == [("later", 1)]
    assert _list_uncovered(jobs, 3) == [("gang", 0), ("gang", 1), ("gang", 2),
                                        ("gang", 3)]


@pytest.mark.parametrize("gang", [False, True])
def test_guarantee_covers_no_task_that_is_ending(gang):
    """Guards against further stops that leave less than the guarantee."""
    jobs = [_make_job("old", 1.0, 2, gang=gang), _make_job("new", 2.0, 2)]
    jobs[0].get_step(0, 0).claims[0].phase = progress.Phase.STOPPING
    assert _list_uncovered(jobs, 2) == ([] if gang else [("new", 1)])


def test_least_loss_and_then_the_newest_urgent_work_goes_first():
    """Guards against stops that lose more urgent work than needed."""
    jobs = [
        _make_job("old", 1.0, 1, started_s=8.0),
        _make_job("middle", 2.0, 1, started_s=5.0),
        _make_job("new", 3.0, 1, started_s=5.0)
    ]
    uncovered = victims.list_uncovered(jobs, lambda _: 0)
    last_resort = victims.list_urgent(jobs, uncovered, 10.0, 1.0)
    running = reclaim.RunningTasks(ending=(),
                                   victims=(),
                                   list_last_resort=lambda: last_resort)
    names = [
        offer.victim.handle[0].key.job_id
        for offer in running.extend().list_offers("w0")
    ]
    assert names == ["old", "new", "middle"]


def test_part_of_a_unit_spares_long_running_work():
    """Guards against long-running tasks stopped beside ordinary victims."""
    demand = workload.Demand(8000, 1000, 8)
    step = workload.Step(tasks=1, demand=demand, data_rack="r1")
    candidates = [
        placement.Candidate(worker_id=name,
                            rack=rack,
                            labels=frozenset(),
                            room=workload.Demand(64_000, 256_000, 0),
                            capacity=workload.Demand(64_000, 256_000, 8))
        for name, rack in (("near", "r1"), ("far1", "r2"), ("far2", "r2"))
    ]
    serving = units.Victim((("far2", demand),),
                           1.0,
                           1,
                           "serving",
                           last_resort=True)
    running = reclaim.RunningTasks(
        ending=(),
        victims=[units.Victim((("far1", demand),), 50.0, 1, "bulk")],
        list_last_resort=lambda: [serving])
    unit = units.Unit(job_id="u",
                      occurrence=0,
                      step_number=0,
                      step=step,
                      indexes=(0,),
                      used_by_worker={},
                      service="service",
                      team="team",
                      priority=0,
                      accepted_s=0.0,
                      objective_s=10.0,
                      remaining_s=5.0,
                      remaining_core_s=10.0,
                      size_ratio=1.0,
                      guaranteed=True)
    preemption = reclaim.choose_partial_preemption(unit, candidates, running)
    assert preemption is not None
    assert [victim.handle for victim in preemption.victims] == ["bulk"]
