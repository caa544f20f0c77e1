"""Tests of the preparation of scheduling rounds."""

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet
from trefoilroad_jobs import intake
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import progress
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import rounds
from trefoilroad_jobs import units
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

WHOLE = workload.Demand(8000, 1000, 8)


def _make_job(job_id, service):
    queue = sites.URGENT_QUEUE._replace(service=service)
    step = workload.Step(tasks=1, demand=WHOLE, estimate_ms=1000, gang=True)
    return progress.Job(workload=intake.build_workload(queue, "team", job_id,
                                                       "payload", (step,)),
                        now_s=0.0,
                        age_s=0.0)


def test_hold_of_one_service_outlives_rounds_of_another(monkeypatch):
    """Guards against tasks that are preempted again for the same unit.

    One planner served all services, and the plan for the second service dropped
    all holds of the first.
    """
    victim = units.Victim(tasks=(("w", WHOLE),),
                          lost_core_s=1.0,
                          priority=2,
                          handle=None)
    candidate = {
        "worker_id": "w",
        "rack": "r",
        "labels": frozenset(),
        "room": workload.Demand(64_000, 256_000, 0),
        "capacity": sites.WORKER_CAPACITY
    }
    monkeypatch.setattr(
        rounds.RoundScheduler, "_build_candidates",
        lambda self, inputs, service: [placement.Candidate(**candidate)])
    monkeypatch.setattr(
        rounds.RoundScheduler, "_collect_running",
        lambda self, inputs, service: reclaim.RunningTasks(ending=(),
                                                           victims=(victim,)))
    scheduler = rounds.RoundScheduler(
        estimator=estimate.Estimator(),
        round_planner=planner.Planner(order=ordering.WorthDensityOrder()),
        bounds=limits.Limits())
    inputs = rounds.RoundInput(
        now_s=0.0,
        wall_ms=0.0,
        jobs={name: _make_job(name, name) for name in ("a", "b")},
        fleet=fleet.Fleet(),
        configuration=configurations.EMPTY,
        queues={},
        quarantined=frozenset())
    assert len(scheduler.run(inputs).stops) == 2
    assert not scheduler.run(inputs._replace(now_s=0.1)).stops


def _make_flood(jobs, steps, tasks):
    """Returns jobs of ready steps, by id, with what a round reads of them."""
    step = workload.Step(tasks=tasks, demand=WHOLE, estimate_ms=1000)
    flood = {}
    for number in range(jobs):
        job_id = f"{number:016x}"
        job_workload = intake.build_workload(sites.QUEUE, "team", job_id,
                                             "payload", (step,) * steps)
        flood[job_id] = progress.Job(workload=job_workload,
                                     now_s=0.0,
                                     age_s=0.0)
    return rounds.RoundInput(now_s=1.0,
                             wall_ms=1e12,
                             jobs=flood,
                             fleet=fleet.Fleet(),
                             configuration=configurations.EMPTY,
                             queues={},
                             quarantined=frozenset())


class _CountingEstimator(estimate.Estimator):
    """Counts the estimates of run times."""

    calls = 0

    def estimate_run_ms(self, queue, step):
        self.calls += 1
        return super().estimate_run_ms(queue, step)


def _build_scheduler(estimator):
    return rounds.RoundScheduler(
        estimator=estimator,
        round_planner=planner.Planner(order=ordering.WorthDensityOrder()),
        bounds=limits.Limits())


def test_steps_of_a_job_share_its_estimates():
    """Guards against rounds whose cost grows with the square of the steps.

    Sixty jobs of 100 steps kept the leader busy for good.
    """
    estimator = _CountingEstimator()
    _build_scheduler(estimator).run(_make_flood(jobs=10, steps=100, tasks=1))
    # Critical path, remaining path and size of each job.
    assert estimator.calls <= 10 * 100 * 3


def test_waiting_tasks_take_no_memory():
    """Guards against a leader that is filled by tasks that never ran."""
    inputs = _make_flood(jobs=10, steps=2, tasks=1000)
    _build_scheduler(estimate.Estimator()).run(inputs)
    assert not any(job.steps for job in inputs.jobs.values())


def test_round_considers_a_bounded_number_of_steps(monkeypatch):
    """Guards against rounds that last as long as clients like."""
    counts = []
    plan = planner.Planner.plan

    def count(self, ready, *args, **kwargs):
        counts.append(len(ready))
        return plan(self, ready, *args, **kwargs)

    monkeypatch.setattr(planner.Planner, "plan", count)
    scheduler = _build_scheduler(estimate.Estimator())
    inputs = _make_flood(jobs=60, steps=100, tasks=1)
    for _ in range(3):
        scheduler.run(inputs)
    assert max(counts) < 2_100


def test_remaining_time_is_the_longest_path_behind_a_step():
    """Guards against estimates that differ from the path of each step."""
    steps = tuple(
        workload.Step(
            tasks=1, demand=WHOLE, estimate_ms=estimate_ms, after=after)
        for estimate_ms, after in ((1000, ()), (5000, ()), (2000, (0,)),
                                   (3000, (0, 1)), (500, (2,))))
    job_workload = intake.build_workload(sites.QUEUE, "team", "1" * 16, "",
                                         steps)
    run_s = [step.estimate_ms / 1000.0 for step in steps]
    assert rounds._estimate_remaining_s(job_workload,
                                        run_s) == [4.0, 8.0, 2.5, 3.0, 0.5]


def test_tasks_without_demand_are_bounded():
    """Guards against runs that fill the leader and the reports of a worker."""
    bounds = limits.Limits(max_job_bytes=500_000)
    site = sites.Site(node_count=1, worker_count=2, bounds=bounds)
    site.run(2.0)
    nothing = workload.Demand(0, 0, 0)
    for number in range(3):
        site.submit(f"{number:016x}", tasks=1000, demand=nothing, run_s=60.0)
    site.run(3.0)
    tracked = site.find_leader().node._dispatcher._fleet.tracked_workers
    counts = [len(worker.claims) for worker in tracked.values()]
    assert max(counts) == bounds.compute_max_runs(2) == 250
