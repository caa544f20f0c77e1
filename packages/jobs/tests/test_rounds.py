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
