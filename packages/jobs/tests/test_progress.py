"""Tests of the progress of jobs and of its rows in the store."""

from trefoilroad_jobs import intake
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites


def _make_job(tasks=3):
    step = workload.Step(tasks=tasks, demand=sites.SMALL_DEMAND)
    return progress.Job(workload=intake.build_workload(sites.QUEUE, "team",
                                                       "job", "payload",
                                                       (step,)),
                        now_s=0.0,
                        age_s=0.0)


def test_only_the_failed_task_waits_for_its_retry():
    """Guards against tasks that wait as another task of their step failed."""
    job = _make_job()
    step = job.get_step(0, 0)
    step.retry_at_s[1] = 10.0
    assert step.list_waiting(9.0) == [0, 2]
    assert step.list_waiting(10.0) == [0, 1, 2]
