"""Tests of the progress of jobs and of its rows in the store."""

import cbor2
import pytest

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


def _claim(job, index, started_ms):
    claim = progress.Claim(key=progress.TaskKey("job", 0, 0, index),
                           run=2,
                           worker_id="w00",
                           boot_ms=17,
                           phase=progress.Phase.CLAIMING,
                           now_s=5.0,
                           started_ms=started_ms,
                           demand=sites.SMALL_DEMAND)
    job.get_step(0, 0).claims[index] = claim
    job.get_step(0, 0).last_runs[index] = 2
    return claim


def test_start_time_of_a_claim_is_stored():
    """Guards against run times that count from the takeover of a leader."""
    job = _make_job()
    _claim(job, 1, started_ms=70_000)
    adopted = _make_job()
    progress.decode_progress(adopted,
                             progress.encode_progress(job),
                             now_s=100.0,
                             store_ms=74_500.0)
    claim = adopted.get_step(0, 0).claims[1]
    assert (claim.run, claim.worker_id, claim.boot_ms) == (2, "w00", 17)
    assert claim.started_s == pytest.approx(95.5)
    assert claim.started_ms == 70_000
    assert claim.since_s == 100.0


def test_claim_of_an_older_release_counts_from_the_takeover():
    """Guards against accepted jobs that a new release cannot read."""
    job = _make_job()
    row = cbor2.dumps(
        ["running", 0.0, [(0, 0, [0, 2, 0], [2], {}, [(1, 2, "w00", 17)], {})]])
    progress.decode_progress(job, row, now_s=100.0, store_ms=74_500.0)
    assert job.get_step(0, 0).claims[1].started_s == 100.0


def test_start_time_is_never_in_the_future():
    """Guards against negative run times after a step back of the store."""
    job = _make_job()
    _claim(job, 0, started_ms=90_000)
    adopted = _make_job()
    progress.decode_progress(adopted,
                             progress.encode_progress(job),
                             now_s=100.0,
                             store_ms=74_500.0)
    assert adopted.get_step(0, 0).claims[0].started_s == 100.0


def test_only_the_failed_task_waits_for_its_retry():
    """Guards against tasks that wait as another task of their step failed."""
    job = _make_job()
    step = job.get_step(0, 0)
    step.retry_at_s[1] = 10.0
    assert step.list_waiting(9.0) == [0, 2]
    assert step.list_waiting(10.0) == [0, 1, 2]
