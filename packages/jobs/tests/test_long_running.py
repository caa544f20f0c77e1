"""Tests of steps whose tasks run until their job is cancelled, simulated."""

import pytest

from trefoilroad_jobs import limits
from trefoilroad_standins.jobs import site as sites

_JOB = "a" * 16
# Longest time from the end of one run to the start of the next one: the longest
# delay of a retry, and the time for which it avoids workers with failures.
_MAX_PAUSE_S = 3.0


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
