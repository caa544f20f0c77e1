"""Tests of the job_budget module, and of what a leader keeps."""

import itertools
import sys

import pytest

from trefoilroad_jobs import intake
from trefoilroad_jobs import job_budget
from trefoilroad_jobs import limits
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

MAX_BYTES = 1 << 20
TEAMS = ("flood", "other")
# Each job of a test has an id of its own.
NUMBERS = itertools.count()
ONE = workload.Demand(1000, 1000, 1)


def _build(number, team="flood", payload="x" * 3000, tasks=1, **fields):
    return workload.Workload(job_id=f"{number:016x}",
                             queue="queue",
                             service="service",
                             team=team,
                             priority=1,
                             max_failures=3,
                             slack=3.0,
                             objective_ms=1000.0,
                             payload=payload,
                             steps=(workload.Step(tasks=tasks, demand=ONE),),
                             **fields)


def _fill(budget, **fields):
    """Accepts jobs until one is refused; returns their number."""
    for number in range(100_000):
        job = _build(next(NUMBERS), **fields)
        cost = job_budget.compute_cost(job, 100)
        if budget.find_shortage(job, cost, TEAMS):
            return number
        budget.record(job, cost)
    raise AssertionError("no job is refused")


def _is_accepted(budget, **fields):
    job = _build(next(NUMBERS), **fields)
    return not budget.find_shortage(job, job_budget.compute_cost(job, 100),
                                    TEAMS)


def test_flood_of_small_jobs_is_refused_within_the_budget():
    """Guards against jobs that fill the memory of the leader."""
    budget = job_budget.JobBudget(max_bytes=MAX_BYTES)
    assert _fill(budget) > 50
    assert MAX_BYTES // 4 < budget._accepted.total_bytes <= MAX_BYTES
    assert _is_accepted(budget, team="other")


def test_teams_together_stay_within_the_budget():
    """Guards against shares whose sum exceeds the budget."""
    budget = job_budget.JobBudget(max_bytes=MAX_BYTES)
    for team in TEAMS:
        for payload in ("x" * 4000, "text"):
            assert _fill(budget, team=team, payload=payload) > 10
    assert budget._accepted.total_bytes <= MAX_BYTES


def test_large_jobs_leave_room_for_ordinary_ones():
    """Guards against few large jobs that keep all others out."""
    budget = job_budget.JobBudget(max_bytes=MAX_BYTES)
    assert _fill(budget, tasks=1000) > 1
    assert budget._accepted.total_bytes <= MAX_BYTES // 4
    assert _is_accepted(budget)


def test_long_texts_leave_room_for_small_jobs_of_their_team():
    """Guards against a crowd that keeps the ordinary jobs of its team out."""
    budget = job_budget.JobBudget(max_bytes=MAX_BYTES)
    _fill(budget, payload="x" * 4000)
    assert not _is_accepted(budget, payload="x" * 4000)
    assert _fill(budget, payload="text") > 10
    assert budget._accepted.total_bytes <= MAX_BYTES
    assert _is_accepted(budget, payload="x" * 4000, team="other")


@pytest.mark.parametrize("fields", [
    {
        "tasks": workload.MAX_TASKS
    },
    {
        "repeats": workload.MAX_STEPS_OF_ALL_OCCURRENCES
    },
    {
        "payload": "x" * 3996 + chr(0x1F9F6)
    },
])
def test_single_job_of_the_largest_size_is_accepted(fields):
    """Guards against a budget that refuses what the limits allow."""
    budget = job_budget.JobBudget(max_bytes=job_budget.compute_max_bytes(0))
    assert _is_accepted(budget, **fields)


def test_sums_of_the_leader_replace_what_was_added():
    """Guards against jobs that count twice, or for ever."""
    budget = job_budget.JobBudget(max_bytes=MAX_BYTES)
    _fill(budget)
    assert not _is_accepted(budget)
    budget.update(job_budget.HeldJobs(MAX_BYTES, 0, 0, {}, {}))
    assert _is_accepted(budget)
    budget.update(
        job_budget.HeldJobs(MAX_BYTES, MAX_BYTES, 0, {"flood": MAX_BYTES},
                            {"flood": MAX_BYTES}))
    assert not _is_accepted(budget)


def test_cost_covers_wide_characters_and_tasks():
    """Guards against jobs that take more than they are charged."""
    wide = _build(1, payload="x" * 3996 + chr(0x1F9F6))
    assert job_budget.compute_cost(wide, 0) > sys.getsizeof(wide.payload)
    assert job_budget.compute_cost(_build(1, tasks=1000), 0) > 64_000


@pytest.fixture
def site():
    new_site = sites.Site(
        bounds=limits.Limits(max_job_bytes=100_000, retention_s=20.0))
    new_site.run(2.0)
    return new_site


def test_leader_counts_what_it_keeps_until_it_is_removed(site):
    """Guards against sums that differ from the jobs of the leader."""
    dispatcher = site.find_leader().node._dispatcher
    for number in range(10):
        site.submit(f"{number:016x}", demand=ONE, run_s=3.0)
    site.run(1.0)
    during = dispatcher.describe_held_jobs(0).total_bytes
    assert during > 10 * job_budget.JOB_BYTES
    site.run(5.0)
    assert dispatcher.describe_held_jobs(0).total_bytes < during
    assert all(job.workload.payload == "" for job in dispatcher.jobs.values())
    site.run(60.0)
    assert not dispatcher.jobs
    assert dispatcher.describe_held_jobs(0) == (0, 0, 0, {}, {})
    assert not dispatcher._row_bytes


def test_jobs_beyond_the_budget_are_refused_and_never_run(site):
    """Guards against a leader that accepts jobs without end.

    A repeat of a job that was accepted is not refused.
    """
    waiting = workload.Demand(64_000, 256_000, 8)
    ids = [f"{number:016x}" for number in range(100)]
    for job_id in ids:
        site.submit(job_id, demand=waiting, run_s=30.0)
        site.run(0.1)
    outcomes = {job_id: site.replies[job_id].outcome for job_id in ids}
    refused = [
        job_id for job_id, outcome in outcomes.items()
        if outcome is intake.Outcome.FULL
    ]
    assert 10 < len(refused) < 90
    assert all(site.replies[job_id].retry_after_s == intake.FULL_RETRY_AFTER_S
               for job_id in refused)
    jobs = site.find_leader().node._dispatcher.jobs
    assert not jobs.keys() & set(refused)
    accepted = next(iter(jobs))
    site.submit(accepted, demand=waiting, run_s=30.0)
    site.run(0.5)
    assert site.replies[accepted].outcome is intake.Outcome.ACCEPTED
    assert site.find_violations() == []


def test_refusal_is_not_promised_while_the_store_is_not_read(site):
    """Guards against a refusal of a job that an earlier call had accepted."""
    node = site.find_leader().node
    node._job_budget.update(job_budget.HeldJobs(0, 1, 1, {"team": 1}, {}))
    outcomes = []
    node.intake._find_status = lambda _, on_done: on_done(None)
    node.intake.submit(_build(1), outcomes.append)
    assert [reply.outcome for reply in outcomes] == [intake.Outcome.UNKNOWN]


def test_jobs_of_one_moment_count_before_the_leader_has_seen_them(site):
    """Guards against a burst between two heartbeats of the leader."""
    ids = [f"{number:016x}" for number in range(200)]
    for job_id in ids:
        site.submit(job_id, demand=ONE, run_s=30.0)
    site.run(1.0)
    held = site.find_leader().node._dispatcher.describe_held_jobs(0)
    assert held.total_bytes <= 100_000
    assert 10 < len(site.find_leader().node._dispatcher.jobs) < 100


def test_large_job_drops_its_steps_once_it_has_ended(site):
    """Guards against large jobs that are kept whole until they are removed."""
    tiny = workload.Demand(25, 100, 0)
    site.submit("1" * 16, tasks=1200, demand=tiny, run_s=0.3)
    site.submit("2" * 16, demand=ONE, run_s=0.3)
    site.run(5.0)
    jobs = site.find_leader().node._dispatcher.jobs
    assert site.ask_state("1" * 16) == "completed"
    assert jobs["1" * 16].workload.steps == ()
    assert not jobs["1" * 16].steps
    assert jobs["2" * 16].workload.steps


def test_smallest_budget_of_all_nodes_applies_everywhere(site):
    """Guards against jobs that the next leader has no memory for."""
    leader = site.find_leader().node
    leader._handle_hello("small", 5_000)
    site.run(1.0)
    held = [each.node._job_budget._held for each in site.nodes.values()]
    assert [each.max_bytes for each in held] == [5_000] * len(site.nodes)
    site.run(10.0)
    assert leader._job_budget._held.max_bytes == 100_000
