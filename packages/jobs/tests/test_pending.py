"""Tests of the number of waiting jobs that every node gives to callers."""

import cbor2
import pytest

from trefoilroad_jobs import intake
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

WHOLE_WORKER = sites.SMALL_DEMAND._replace(
    accelerators=sites.WORKER_CAPACITY.accelerators)
WAITING_JOBS = [f"{number:016x}" for number in range(8)]


@pytest.fixture
def site():
    new_site = sites.Site(worker_count=4)
    new_site.run(2.0)
    return new_site


def _refuse_starts(site, worker_id):
    """Has a worker refuse all starts; reports are answered as before."""
    worker_state = site.worker_states[worker_id]

    def start(command, name):
        del command, name
        return ports.CommandReply(ports.Verdict.UNHEALTHY,
                                  worker_state.clock_ms)

    worker_state.start = start


def _fill_workers(site, count):
    for number in range(count):
        site.submit(f"f{number:015x}", run_s=60.0, demand=WHOLE_WORKER)
        site.run(0.3)
    assert site.count_events("start") == count


def _count_pending(site):
    """Returns the numbers that the live nodes give."""
    site.run(1.0)
    counts = []
    live = [
        site_node for site_node in site.nodes.values() if site_node.host.alive
    ]
    for site_node in live:
        site_node.node.count_pending("queue", counts.append)
    site.run(0.6)
    assert len(counts) == len(live)
    return set(counts)


def _submit_refused_jobs(site):
    """Submits jobs for which only a worker that refuses starts has room."""
    _fill_workers(site, 3)
    refusing = next(
        worker_id for worker_id, state in site.worker_states.items()
        if not state.runs)
    _refuse_starts(site, refusing)
    for job_id in WAITING_JOBS:
        site.submit(job_id, run_s=60.0)
    site.run(3.0)
    assert site.count_events("start") == 3
    leader = site.find_leader().node._dispatcher
    assert all(
        any(leader.jobs[job_id].steps[0, 0].last_runs)
        for job_id in WAITING_JOBS)
    return refusing


def _replace_leader(site):
    leader = site.find_leader()
    site.kill(leader.name)
    site.run(4.0)
    assert site.find_leader() is not leader


def test_jobs_whose_starts_were_refused_are_waiting(site):
    """Guards against a count of 0 beside jobs that have never begun.

    A worker that refuses starts was tried once for each job, and all of them
    left the count.
    """
    _submit_refused_jobs(site)
    assert _count_pending(site) == {len(WAITING_JOBS)}


def test_refused_jobs_are_waiting_after_a_takeover(site):
    """Guards against a new leader that takes refused runs for begun ones."""
    refusing = _submit_refused_jobs(site)
    site.worker_states[refusing].crash()
    site.run(12.0)
    _replace_leader(site)
    assert _count_pending(site) == {len(WAITING_JOBS)}


def test_job_in_a_lost_room_has_begun(site):
    """Guards against a count of jobs that ran until their worker was lost."""
    _fill_workers(site, 4)
    site.worker_states["w00"].crash()
    site.run(12.0)
    assert _count_pending(site) == {0}
    _replace_leader(site)
    assert _count_pending(site) == {0}


def test_job_that_begins_after_a_refusal_has_begun(site):
    """Guards against jobs that count as waiting while they run."""
    refusing = _submit_refused_jobs(site)
    del site.worker_states[refusing].start
    site.run(3.0)
    assert site.count_events("start") == 3 + len(WAITING_JOBS)
    assert _count_pending(site) == {0}
    _replace_leader(site)
    assert _count_pending(site) == {0}


def test_unanswered_starts_are_waiting(site):
    """Guards against a count without jobs whose starts reach no worker."""
    _fill_workers(site, 3)
    idle = next(
        state for state in site.worker_states.values() if not state.runs)
    idle.reachable = False
    for job_id in WAITING_JOBS:
        site.submit(job_id, run_s=60.0)
    assert _count_pending(site) == {len(WAITING_JOBS)}


def test_claim_that_was_never_started_is_waiting_after_a_takeover(site):
    """Guards against a job that counts as begun as an earlier leader meant to.

    The claim is written before the start is sent, and only the worker can tell
    that it got none.
    """
    _fill_workers(site, 3)
    idle = next(worker_id for worker_id, state in site.worker_states.items()
                if not state.runs)
    leader = site.find_leader()
    leader.workers.cut.add(idle)
    site.submit(WAITING_JOBS[0], run_s=60.0)
    site.run(0.3)
    assert leader.node._dispatcher.jobs[WAITING_JOBS[0]].steps[0, 0].claims
    _refuse_starts(site, idle)
    _replace_leader(site)
    assert _count_pending(site) == {1}


def _claim_without_start(site):
    """Has a leader claim a run on a worker that it cannot reach, then fail.

    Returns:
        The state of the worker, which nobody can reach.
    """
    _fill_workers(site, 3)
    idle = next(
        state for state in site.worker_states.values() if not state.runs)
    idle.reachable = False
    site.submit(WAITING_JOBS[0], run_s=60.0)
    site.run(0.3)
    leader = site.find_leader().node._dispatcher
    assert leader.jobs[WAITING_JOBS[0]].steps[0, 0].claims
    _replace_leader(site)
    return idle


def test_claim_on_a_cut_off_worker_is_waiting_after_a_takeover(site):
    """Guards against a leader that takes the claim of a run for its start."""
    _claim_without_start(site)
    assert _count_pending(site) == {1}


def test_claim_on_a_lost_worker_is_waiting_after_a_takeover(site):
    """Guards against a job that counts as begun for good with a lost worker."""
    _claim_without_start(site).crash()
    site.run(14.0)
    assert not site.count_events("start", WAITING_JOBS[0])
    assert _count_pending(site) == {1}


def test_claim_on_a_restarted_worker_is_waiting_after_a_takeover(site):
    """Guards against a new worker process taken for proof of a start."""
    idle = _claim_without_start(site)
    _refuse_starts(site, idle.worker_id)
    idle.restart()
    site.register(idle)
    idle.reachable = True
    site.run(3.0)
    assert _count_pending(site) == {1}


def test_running_job_of_a_cut_off_worker_has_begun_after_a_takeover(site):
    """Guards against running jobs that count as waiting after a takeover."""
    _fill_workers(site, 4)
    site.run(1.0)
    for worker_state in site.worker_states.values():
        worker_state.reachable = False
    _replace_leader(site)
    assert _count_pending(site) == {0}


# Rows.


def _make_job(tasks=3, gang=False):
    step = workload.Step(tasks=tasks, demand=sites.SMALL_DEMAND, gang=gang)
    return progress.Job(workload=intake.build_workload(sites.QUEUE, "team",
                                                       "job", "payload",
                                                       (step,)),
                        now_s=0.0,
                        age_s=0.0)


def _reload(job):
    loaded = _make_job(tasks=len(job.get_step(0, 0).last_runs))
    progress.decode_progress(loaded,
                             progress.encode_progress(job),
                             now_s=0.0,
                             store_ms=0.0)
    return loaded


def test_row_of_a_refused_job_says_that_nothing_began():
    """Guards against refused runs that count as begun after a takeover."""
    job = _make_job()
    job.get_step(0, 0).last_runs[1] = 2
    loaded = _reload(job)
    assert not loaded.has_begun()
    assert loaded.steps[0, 0].failures == {}
    loaded.steps[0, 0].begun = True
    assert _reload(loaded).has_begun()


def test_row_of_an_older_release_counts_runs_as_begun():
    """Guards against jobs that ran before an upgrade and count as waiting."""
    job = _make_job()
    row = cbor2.dumps(["running", 0.0, [(0, 0, [0, 2, 0], [], {}, [], {})]])
    progress.decode_progress(job, row, now_s=0.0, store_ms=0.0)
    assert job.has_begun()


def test_mark_that_an_older_release_kept_has_no_effect():
    """Guards against a begun job that counts as waiting after a downgrade.

    A leader of the release before keeps the mark in the row and does not know
    it, so it is valid only for the runs that had ended when it was written.
    """
    job = _make_job()
    job.get_step(0, 0).last_runs[1] = 2
    state, ended_ms, steps = cbor2.loads(progress.encode_progress(job))
    assert steps[0][4]
    steps[0][2] = [0, 3, 0]
    loaded = _make_job()
    progress.decode_progress(loaded,
                             cbor2.dumps([state, ended_ms, steps]),
                             now_s=0.0,
                             store_ms=0.0)
    assert loaded.has_begun()


def _make_claimed_job():
    job = _make_job(tasks=1)
    step = job.get_step(0, 0)
    step.last_runs[0] = 1
    step.claims[0] = progress.Claim(key=progress.TaskKey("job", 0, 0, 0),
                                    run=1,
                                    worker_id="w00",
                                    boot_ms=17,
                                    phase=progress.Phase.CLAIMING,
                                    now_s=0.0,
                                    demand=sites.SMALL_DEMAND)
    return job


def _encode_claimed_row(failures):
    return cbor2.dumps(
        ["queued", 0.0, [(0, 0, 1, [], failures, [(0, 1, "w00", 17, 0)], {})]])


def test_row_of_a_first_claim_has_no_mark():
    """Guards against larger rows of ordinary jobs; bytes are priced."""
    job = _make_claimed_job()
    assert progress.encode_progress(job) == _encode_claimed_row({})
    assert not job.has_begun()


def test_row_of_a_first_claim_says_that_nothing_began():
    """Guards against a claim that counts as begun after a takeover.

    So it is with a row of the release before, which has no mark of a run that
    has begun.
    """
    assert not _reload(_make_claimed_job()).has_begun()


def test_row_of_a_running_job_says_that_it_has_begun():
    """Guards against running jobs that count as waiting after a takeover."""
    job = _make_claimed_job()
    job.steps[0, 0].begun = True
    assert progress.encode_progress(job) == _encode_claimed_row({-3: 1})
    loaded = _reload(job)
    assert loaded.has_begun()
    assert loaded.steps[0, 0].failures == {}


def test_done_task_beside_a_mark_that_an_older_release_kept_has_begun():
    """Guards against a completed task that counts as waiting.

    The release that ended the run may not know the mark, and the run numbers
    of the others may add up to the same.
    """
    job = _make_job(tasks=2)
    row = cbor2.dumps(["running", 0.0, [(0, 0, 1, [0], {-2: 2}, [], {})]])
    progress.decode_progress(job, row, now_s=0.0, store_ms=0.0)
    assert job.has_begun()
