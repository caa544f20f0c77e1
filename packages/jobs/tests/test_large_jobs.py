"""Tests of jobs whose progress is larger than a row, and of refused rows."""

import pytest

from trefoilroad_jobs import limits
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

# Demand of which a worker of the site holds 2,500.
TINY_DEMAND = workload.Demand(25, 100, 0)
LARGE = "1" * 16
SMALL = "2" * 16
SHORT_ROW_BYTES = 2048
CHECKPOINT = "checkpoints/" + "c" * 20


@pytest.fixture
def site():
    new_site = sites.Site()
    new_site.run(2.0)
    return new_site


def _submit_large(site, tasks, run_s, **fields):
    site.submit(LARGE, tasks=tasks, run_s=run_s, demand=TINY_DEMAND, **fields)


def _report_checkpoints(site, name):
    site.behaviours[name] = site.behaviours[name]._replace(
        checkpoint=CHECKPOINT)


def _check_small_job(site, job_id=SMALL):
    """Checks that a small job runs at once."""
    site.submit(job_id, run_s=0.5)
    site.run(3.0)
    assert site.ask_state(job_id) == "completed"


def _find_epoch(site):
    return site.find_leader().node.epoch


def test_job_of_4140_tasks_with_checkpoints_completes(site):
    """Guards against checkpoints of ended tasks that outgrow the row.

    The leader's transactions were refused for good after some 3,200 ends, so
    that nothing was scheduled any more.
    """
    step = workload.Step(tasks=230,
                         demand=TINY_DEMAND,
                         estimate_ms=300,
                         checkpoints=True)
    steps = [
        step._replace(after=(number - 1,) if number else ())
        for number in range(18)
    ]
    site.submit_steps(LARGE, steps, [0.3] * len(steps))
    for number in range(len(steps)):
        _report_checkpoints(site, f"{LARGE}.{number}")
    site.run(20.0)
    assert site.ask_state(LARGE) == "completed"
    assert site.tables.refusals == 0
    assert site.count_events("done", LARGE) == 4140
    _check_small_job(site)


def test_job_of_10000_tasks_all_claimed_completes(site):
    """Guards against claims that outgrow the row.

    Nothing was started and nothing of other jobs was recorded.
    """
    epoch = _find_epoch(site)
    _submit_large(site, workload.MAX_TASKS, 4.0)
    site.run(2.0)
    assert site.count_events("start", LARGE) == workload.MAX_TASKS
    _check_small_job(site)
    site.run(6.0)
    assert site.ask_state(LARGE) == "completed"
    assert site.tables.refusals == 0
    assert _find_epoch(site) == epoch


def test_new_leader_adopts_10000_claims(site):
    """Guards against a second run of what a split state says runs already."""
    _submit_large(site, workload.MAX_TASKS, 8.0)
    site.run(2.0)
    assert site.count_events("start", LARGE) == workload.MAX_TASKS
    leader = site.find_leader()
    site.kill(leader.name)
    site.run(4.0)
    assert site.find_leader() is not leader
    assert site.ask_state(LARGE, site.find_leader().name) == "running"
    site.run(10.0)
    assert site.ask_state(LARGE, site.find_leader().name) == "completed"
    assert site.count_events("start", LARGE) == workload.MAX_TASKS
    assert site.find_violations() == []


def test_job_whose_row_is_refused_stops_no_other_job(site):
    """Guards against a refused transaction that is repeated for ever.

    No start, end or renewal of the lead was recorded any more, so one leader
    after the other gave up.
    """
    epoch = _find_epoch(site)
    site.tables.refused_key = LARGE
    site.submit(LARGE, tasks=4, run_s=0.5)
    _check_small_job(site)
    site.run(10.0)
    _check_small_job(site, "3" * 16)
    assert _find_epoch(site) == epoch
    assert site.count_events("start", LARGE) == 0
    assert site.ask_state(LARGE) != "completed"
    # Half a minute of a refused row costs some transactions, not thousands.
    assert site.tables.refusals < 20
    # Once the store accepts the row, the job runs.
    site.tables.refused_key = None
    site.run(12.0)
    assert site.ask_state(LARGE) == "completed"
    assert site.count_events("start", LARGE) == 4
    assert site.find_violations() == []


def test_end_that_cannot_be_recorded_is_not_lost(site):
    """Guards against ends that are acknowledged although they are not stored.

    Workers forget acknowledged ends, so the next leader would run the tasks
    again.
    """
    site.submit(LARGE, tasks=4, run_s=1.0)
    site.run(0.5)
    assert site.count_events("start", LARGE) == 4
    site.tables.refused_key = LARGE
    site.run(4.0)
    assert site.count_events("done", LARGE) == 4
    assert site.count_events("noted", LARGE) == 0
    assert site.ask_state(LARGE) == "running"
    # Ends of other jobs on the same workers are recorded meanwhile.
    for number in range(12):
        site.submit(f"{number:016x}", run_s=0.5)
    site.run(4.0)
    assert all(
        site.ask_state(f"{number:016x}") == "completed" for number in range(12))
    leader = site.find_leader()
    site.tables.refused_key = None
    site.kill(leader.name)
    site.run(6.0)
    name = site.find_leader().name
    assert site.ask_state(LARGE, name) == "completed"
    assert site.count_events("start", LARGE) == 4
    assert site.find_violations() == []


def test_ends_are_acknowledged_once_the_row_is_accepted(site):
    """Guards against workers that list recorded ends for ever."""
    site.submit(LARGE, tasks=4, run_s=1.0)
    site.run(0.5)
    site.tables.refused_key = LARGE
    site.run(4.0)
    site.tables.refused_key = None
    # Idle workers are asked for a report once a minute.
    site.run(80.0)
    assert site.ask_state(LARGE) == "completed"
    assert site.count_events("noted", LARGE) == 4
    assert site.count_events("start", LARGE) == 4
    assert all(
        not state.unacknowledged_ends for state in site.worker_states.values())


def test_refused_claims_free_their_room(site):
    """Guards against workers that are held for claims that never start."""
    whole = sites.SMALL_DEMAND._replace(
        accelerators=sites.WORKER_CAPACITY.accelerators)
    epoch = _find_epoch(site)
    site.tables.refused_key = LARGE
    site.submit(LARGE, tasks=4, run_s=1.0, demand=whole)
    site.run(1.0)
    for number in range(4):
        site.submit(f"{number:016x}", run_s=0.5, demand=whole)
    site.run(3.0)
    assert all(
        site.ask_state(f"{number:016x}") == "completed" for number in range(4))
    assert _find_epoch(site) == epoch


@pytest.fixture
def crowded_site():
    """A site with a job whose progress takes several rows.

    A worker was lost, so the checkpoints of its 1,000 tasks are needed.
    """
    new_site = sites.Site(bounds=limits.Limits(row_bytes=SHORT_ROW_BYTES))
    new_site.tables.row_bytes = SHORT_ROW_BYTES
    new_site.run(2.0)
    _submit_large(new_site, 4000, 30.0, checkpoints=True)
    _report_checkpoints(new_site, f"{LARGE}.0")
    # Workers report the progress of runs every two seconds.
    new_site.run(4.0)
    new_site.worker_states["w00"].crash()
    new_site.run(10.0)
    assert f"{LARGE}/2" in new_site.tables.rows["progress"]
    assert new_site.tables.refusals == 0
    return new_site


def test_new_leader_adopts_claims_from_several_rows(crowded_site):
    """Guards against claims that are lost between two rows of a job."""
    site = crowded_site
    started = site.count_events("start", LARGE)
    leader = site.find_leader()
    site.kill(leader.name)
    site.run(4.0)
    dispatcher = site.find_leader().node._dispatcher
    assert len(dispatcher.jobs[LARGE].steps[0, 0].checkpoints) >= 1000
    site.run(45.0)
    assert site.ask_state(LARGE, site.find_leader().name) == "completed"
    assert site.count_events("done", LARGE) == 4000
    assert site.count_events("start", LARGE) == started
    assert site.tables.refusals == 0
    assert site.find_violations() == []


def test_state_is_read_from_the_first_of_several_rows(crowded_site):
    """Guards against callers without an answer while no leader answers."""
    leader = crowded_site.find_leader()
    crowded_site.kill(leader.name)
    follower = next(site_node.name
                    for site_node in crowded_site.nodes.values()
                    if site_node.host.alive)
    assert crowded_site.ask_state(LARGE, follower) == "running"


def test_rows_are_dropped_once_the_state_is_shorter(crowded_site):
    """Guards against rows of a longer state that are left over."""
    crowded_site.run(45.0)
    assert crowded_site.ask_state(LARGE) == "completed"
    assert set(crowded_site.tables.rows["progress"]) == {LARGE}


def test_rows_left_over_are_dropped_by_a_new_leader(crowded_site):
    """Guards against rows that a leader does not know of, and never removes."""
    site = crowded_site
    site.tables.put("progress", f"{LARGE}/77", b"old")
    site.kill(site.find_leader().name)
    site.run(45.0)
    name = site.find_leader().name
    assert site.ask_state(LARGE, name) == "completed"
    assert set(site.tables.rows["progress"]) == {LARGE}


def test_all_rows_of_a_large_job_are_removed(crowded_site):
    """Guards against rows that stay in the store for good."""
    site = crowded_site
    site.run(45.0)
    assert site.ask_state(LARGE) == "completed"
    # Left over from a longer state, as if it had been written just before.
    site.find_leader().node._ledger.recover_row_counts({LARGE: 3})
    for number in (1, 2):
        site.tables.put("progress", f"{LARGE}/{number}", b"old")
    site.run(200.0)
    assert not site.tables.rows["progress"]
    assert not site.tables.rows["intake"]


def test_job_with_a_row_missing_is_left_alone(crowded_site):
    """Guards against tasks that run again as a part of the state was lost."""
    site = crowded_site
    site.tables.put("progress", f"{LARGE}/1", None)
    started = site.count_events("start", LARGE)
    site.kill(site.find_leader().name)
    site.run(10.0)
    assert site.count_events("start", LARGE) == started
    _check_small_job(site)
