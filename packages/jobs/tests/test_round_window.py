"""Tests of the round_window module: which ready steps a round considers."""

from trefoilroad_jobs import progress
from trefoilroad_jobs import round_window
from trefoilroad_jobs import workload

STEP = workload.Step(tasks=1, demand=workload.Demand(1000, 1000, 1))
WALL_MS = 1e12


def _job(number, steps=1, team="team", **fields):
    job_workload = workload.Workload(job_id=f"{number:016x}",
                                     queue="queue",
                                     service="service",
                                     team=team,
                                     priority=1,
                                     max_failures=3,
                                     slack=3.0,
                                     objective_ms=1000.0,
                                     payload="",
                                     steps=(STEP,) * steps,
                                     **fields)
    return progress.Job(workload=job_workload, now_s=number * 0.01, age_s=0.0)


def _choose(window, jobs, kept=(), urgent=()):
    return window.choose(jobs, WALL_MS, kept=set(kept), urgent=set(urgent))


def test_all_are_considered_in_order_within_the_bound():
    """Guards against a bound that changes rounds of usual size."""
    jobs = [_job(number, steps=3) for number in range(600)]
    window = round_window.RoundWindow()
    for _ in range(3):
        chosen = _choose(window, jobs)
        assert [job for job, _ in chosen] == jobs
        assert all(len(steps) == 3 for _, steps in chosen)
        assert not window.deferred


def test_flood_is_bounded_and_each_job_has_its_turn():
    """Guards against rounds that last as long as clients like."""
    jobs = [_job(number, steps=100) for number in range(100)]
    window = round_window.RoundWindow()
    seen = set()
    for _ in range(7):
        chosen = _choose(window, jobs)
        count = sum(len(steps) for _, steps in chosen)
        assert count <= round_window.MAX_STEPS + round_window.MAX_STEPS_OF_JOB
        considered = {job.job_id for job, _ in chosen}
        assert considered | window.deferred == {job.job_id for job in jobs}
        seen |= considered
    assert len(seen) == len(jobs)


def test_flood_of_one_team_leaves_turns_to_others():
    """Guards against a team that waits until all jobs of another had theirs."""
    flood = [_job(number, team="flood") for number in range(10_000)]
    other = _job(10_000, team="other")
    window = round_window.RoundWindow()
    _choose(window, [*flood, other])
    for _ in range(3):
        chosen = _choose(window, [*flood, other])
        assert other in [job for job, _ in chosen]


def test_flood_of_urgent_jobs_leaves_turns_to_others():
    """Guards against a class that takes all rounds."""
    jobs = [_job(number) for number in range(10_000)]
    urgent = [job.job_id for job in jobs[:-1]]
    window = round_window.RoundWindow()
    _choose(window, jobs, urgent=urgent)
    chosen = _choose(window, jobs, urgent=urgent)
    assert jobs[-1] in [job for job, _ in chosen]


def test_jobs_with_kept_room_are_always_considered():
    """Guards against holds that are spent while their job is left out."""
    jobs = [_job(number) for number in range(10_000)]
    kept = [jobs[7000].job_id]
    window = round_window.RoundWindow()
    _choose(window, jobs)
    for _ in range(3):
        assert jobs[7000] in [job for job, _ in _choose(window, jobs, kept)]


def test_occurrences_of_one_job_take_turns():
    """Guards against a job of endless occurrences that are all due."""
    job = _job(1, steps=2, repeats=10**12, first_start_ms=1)
    window = round_window.RoundWindow()
    seen = set()
    for _ in range(3):
        (_, steps), = _choose(window, [job])
        assert len(steps) == round_window.MAX_STEPS_OF_JOB
        assert job.job_id in window.deferred
        seen |= set(steps)
    assert len(seen) == 3 * round_window.MAX_STEPS_OF_JOB


def test_done_occurrences_are_not_considered_again():
    """Guards against rounds that pass over all that was ever done."""
    job = _job(1, repeats=10**12, first_start_ms=1)
    for occurrence in range(50):
        job.get_step(occurrence, 0).record_done([0])
    assert not job.is_done()
    assert next(job.list_ready(WALL_MS)) == (50, 0)
    assert job._first_open == 50
