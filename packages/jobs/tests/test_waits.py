"""Tests of the reasons for which jobs have nothing running."""

import time

import pytest
import structlog

from trefoilroad_core import health
from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import intake
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import rounds
from trefoilroad_jobs import wait_monitor
from trefoilroad_jobs import waits
from trefoilroad_jobs import workload
from trefoilroad_node import registry
from trefoilroad_standins.jobs import site as sites

NOW_S = 100.0
WHOLE = workload.Demand(8000, 1000, 8)
JOB = "0" * 16


def _make_job(job_id=JOB, demand=sites.SMALL_DEMAND, tasks=1, **fields):
    step = workload.Step(tasks=tasks, demand=demand, estimate_ms=1000, **fields)
    return progress.Job(workload=intake.build_workload(sites.QUEUE, "team",
                                                       job_id, "payload",
                                                       (step,)),
                        now_s=NOW_S - 5.0,
                        age_s=0.0)


def _make_worker(worker_id, rack="r0", labels=(), boot_ms=1):
    tracked = fleets.TrackedWorker(
        worker=ports.Worker(worker_id=worker_id,
                            address="address",
                            service="service",
                            failure_domain="",
                            rack=rack,
                            labels=frozenset(labels),
                            capacity=sites.WORKER_CAPACITY,
                            draining=False,
                            remaining_ms=0,
                            boot_ms=boot_ms))
    tracked.contacted = True
    return tracked


def _make_claim(job, worker_id, phase, task=0):
    claim = progress.Claim(key=progress.TaskKey(job.job_id, 0, 0, task),
                           run=1,
                           worker_id=worker_id,
                           boot_ms=1,
                           phase=phase,
                           now_s=NOW_S - 3.0,
                           demand=job.workload.steps[0].occupied)
    job.get_step(0, 0).claims[task] = claim
    return claim


def _make_snapshot(workers=(), **fields):
    fleet = fleets.Fleet()
    for tracked in workers:
        fleet.tracked_workers[tracked.worker.worker_id] = tracked
    state = {
        "now_s": NOW_S,
        "wall_ms": 0.0,
        "ready": True,
        "store_failing": False,
        "starting": True,
        "round_due": False,
        "fleet": fleet,
        "queues": {},
        "quarantined": frozenset(),
        "prior_leases_end_s": float("-inf"),
        "held": {}
    }
    return waits.Snapshot(**(state | fields))


def _explain(job, workers=(), **fields):
    snapshot = _make_snapshot(workers, **fields)
    wait = waits.Explainer(snapshot=snapshot).explain(job)
    return wait.reason, dict(wait.details)


def _occupy(tracked, accelerators):
    job = _make_job("f" * 16, workload.Demand(0, 0, accelerators))
    tracked.add_claim(
        _make_claim(job, tracked.worker.worker_id, progress.Phase.RUNNING))


# Reasons.


def test_jobs_not_read():
    """Guards against another reason while the state is not known."""
    assert _explain(_make_job(), [_make_worker("w0")],
                    ready=False) == (waits.Reason.JOBS_NOT_READ, {})


def test_claim_on_a_silent_worker():
    """Guards against a wait for a lease that no line names."""
    job = _make_job()
    lost = _make_worker("w0")
    lost.silent_since_s = NOW_S - 4.0
    lost.contacted = False
    lost.add_claim(_make_claim(job, "w0", progress.Phase.RECOVERING))
    reason, details = _explain(job, [lost, _make_worker("w1")],
                               prior_leases_end_s=NOW_S + 3.0)
    assert reason is waits.Reason.CLAIMS
    assert details == {
        "claims": 1,
        "phase": "recovering",
        "worker": "w0",
        "cause": "claim on a silent worker",
        "end_in_s": 3.0
    }


def test_start_in_doubt():
    """Guards against the end of the usual lease where a longer one counts."""
    job = _make_job()
    lost = _make_worker("w0")
    lost.silent_since_s = NOW_S - 4.0
    claim = _make_claim(job, "w0", progress.Phase.RECOVERING)
    claim.longest_lease_end_s = NOW_S + 9.0
    lost.add_claim(claim)
    _, details = _explain(job, [lost], prior_leases_end_s=NOW_S + 3.0)
    assert details["cause"] == "start in doubt"
    assert details["end_in_s"] == 9.0


def test_claim_that_holds_longest_is_shown():
    """Guards against a line that names a claim which ends before others."""
    job = _make_job(tasks=2, gang=True)
    lost = _make_worker("w0")
    lost.silent_since_s = NOW_S - 4.0
    lost.add_claim(_make_claim(job, "w0", progress.Phase.STOPPING))
    answering = _make_worker("w1")
    answering.add_claim(_make_claim(job, "w1", progress.Phase.STOPPING, task=1))
    _, details = _explain(job, [answering, lost],
                          prior_leases_end_s=NOW_S + 3.0)
    assert details["worker"] == "w0"
    assert details["claims"] == 2


@pytest.mark.parametrize(("phase", "cause"), [
    (progress.Phase.CLAIMING, "claim not written"),
    (progress.Phase.STARTING, "start not answered"),
    (progress.Phase.STOPPING, "stop not confirmed"),
    (progress.Phase.RECOVERING, "report awaited"),
])
def test_claim_on_a_worker_that_answers(phase, cause):
    """Guards against a claim whose next event is not named."""
    job = _make_job()
    tracked = _make_worker("w0")
    tracked.add_claim(_make_claim(job, "w0", phase))
    reason, details = _explain(job, [tracked])
    assert reason is waits.Reason.CLAIMS
    assert details["cause"] == cause
    assert "end_in_s" not in details


def test_claims_of_other_tasks_are_no_reason():
    """Guards against a claim named for tasks that could start beside it."""
    job = _make_job(tasks=2, demand=WHOLE)
    tracked = _make_worker("w0")
    tracked.add_claim(_make_claim(job, "w0", progress.Phase.STOPPING))
    reason, _ = _explain(job, [tracked])
    assert reason is waits.Reason.NO_ROOM


def test_rounds_suspended():
    """Guards against a reason in the fleet while nothing is placed at all."""
    workers = [_make_worker("w0")]
    reason, details = _explain(_make_job(), workers, store_failing=True)
    assert reason is waits.Reason.ROUNDS_SUSPENDED
    assert details["why"] == "the store does not answer"
    reason, details = _explain(_make_job(), workers, starting=False)
    assert reason is waits.Reason.ROUNDS_SUSPENDED
    assert details["why"] == "planned stop"
    reason, details = _explain(_make_job(), workers, start_obstacle="not read")
    assert reason is waits.Reason.ROUNDS_SUSPENDED
    assert details["why"] == "not read"


@pytest.mark.parametrize("gang", [False, True])
def test_retry_delay(gang):
    """Guards against a retry that seems to wait for room."""
    job = _make_job(tasks=2, gang=gang)
    retry_at_s = {0: NOW_S + 0.7} if gang else {0: NOW_S + 0.7, 1: NOW_S + 0.9}
    job.get_step(0, 0).retry_at_s = retry_at_s
    assert _explain(job, [_make_worker("w0")]) == (waits.Reason.RETRY_DELAY, {
        "end_in_s": 0.7
    })


def test_no_worker_has_the_label():
    """Guards against a wait for room that no worker can ever give."""
    reason, details = _explain(_make_job(label="infiniband"),
                               [_make_worker("w0", labels=["nvme"])])
    assert reason is waits.Reason.NO_LABEL
    assert details == {"label": "infiniband", "workers": 1}


def test_no_room():
    """Guards against a full fleet that looks like a withheld one."""
    workers = [_make_worker("w0"), _make_worker("w1")]
    _occupy(workers[0], 6)
    _occupy(workers[1], 5)
    reason, details = _explain(_make_job(demand=workload.Demand(0, 0, 4)),
                               workers)
    assert reason is waits.Reason.NO_ROOM
    assert details == {
        "needed": 4,
        "free": 5,
        "largest": 3,
        "workers": 2,
        "withheld": {}
    }


@pytest.mark.parametrize("withholding", waits.Withholding)
def test_workers_withheld(withholding):
    """Guards against workers that are left out without a reason."""
    tracked = _make_worker("w0")
    quarantined = frozenset()
    others = [_make_worker(f"w{number}") for number in range(1, 4)]
    for other in others:
        _occupy(other, 8)
    match withholding:
        case waits.Withholding.DRAINING:
            tracked.worker = tracked.worker._replace(draining=True)
        case waits.Withholding.NOT_CONTACTED:
            tracked.contacted = False
        case waits.Withholding.SILENT:
            tracked.silent_since_s = NOW_S - 1.0
        case waits.Withholding.LEASES_RECORDED:
            tracked.lapse_s = NOW_S + 1.0
        case waits.Withholding.PAUSED:
            tracked.paused_until_s = NOW_S + 1.0
        case waits.Withholding.QUARANTINED:
            quarantined = frozenset({"w0"})
        case waits.Withholding.SUSPECTED:
            tracked.suspect_until_s = NOW_S + 1.0
        case waits.Withholding.EVACUATED:
            tracked.worker = tracked.worker._replace(failure_domain="a")
    evacuated = frozenset({"a"})
    snapshot = _make_snapshot([tracked, *others],
                              quarantined=quarantined,
                              evacuated=evacuated)
    wait = waits.Explainer(snapshot=snapshot).explain(_make_job())
    assert wait.reason is waits.Reason.WORKERS_WITHHELD
    assert wait.details == {"workers": 4, "withheld": {str(withholding): 1}}
    # The rounds leave out the same worker, or use it last.
    scheduler = rounds.RoundScheduler(
        estimator=estimate.Estimator(),
        round_planner=planner.Planner(order=ordering.WorthDensityOrder()),
        bounds=limits.Limits())
    candidates = scheduler._build_candidates(
        rounds.RoundInput(now_s=NOW_S,
                          wall_ms=0.0,
                          jobs={},
                          fleet=snapshot.fleet,
                          configuration=configurations.EMPTY,
                          queues={},
                          quarantined=quarantined,
                          evacuated=evacuated), "service")
    assert [
        candidate.worker_id
        for candidate in candidates
        if candidate.withheld is None
    ] == ["w1", "w2", "w3"]


def _hold(**fields):
    return {"service": planner.NOTHING_HELD._replace(**fields)}


@pytest.mark.parametrize(("fields", "held_by"), [
    ({
        "holds": {
            (JOB, 0, 0): ("w0",)
        }
    }, "own hold"),
    ({
        "holds": {
            ("1" * 16, 0, 0): ("w0",)
        }
    }, "hold"),
    ({
        "reservations": {
            ("1" * 16, 0, 0): ("w0",)
        }
    }, "reservation"),
    ({
        "headroom_workers": frozenset({"w0"})
    }, "headroom"),
    ({}, "no cause found"),
])
def test_room_is_held(fields, held_by):
    """Guards against idle room beside a job for a reason nobody sees."""
    workers = [_make_worker("w0"), _make_worker("w1")]
    _occupy(workers[1], 8)
    assert _explain(_make_job(), workers,
                    held=_hold(**fields)) == (waits.Reason.ROOM_HELD, {
                        "held_by": held_by
                    })


def test_room_that_has_just_become_free():
    """Guards against a fault that is seen in the moment before a round."""
    assert _explain(_make_job(), [_make_worker("w0")], round_due=True)[1] == {
        "held_by": "next round"
    }


def test_room_is_held_by_two_causes_together():
    """Guards against causes that are ruled out as neither holds all room."""
    workers = [_make_worker("w0"), _make_worker("w1")]
    held = _hold(headroom_workers=frozenset({"w0"}),
                 reservations={("1" * 16, 0, 0): ("w1",)})
    assert _explain(_make_job(), workers, held=held)[1] == {
        "held_by": "reservation"
    }


def test_room_in_the_preferred_rack_is_held():
    """Guards against a preference that ends when a worker of it is held."""
    workers = [_make_worker("w0", "r0"), _make_worker("w1", "r1")]
    held = _hold(holds={("1" * 16, 0, 0): ("w0",)})
    assert _explain(_make_job(data_rack="r0"), workers, held=held)[1] == {
        "held_by": "hold"
    }


def test_room_is_held_for_a_rack():
    """Guards against idle room in other racks than the preferred one."""
    workers = [_make_worker("w0", "r0"), _make_worker("w1", "r1")]
    _occupy(workers[0], 8)
    assert _explain(_make_job(data_rack="r0"), workers)[1] == {
        "held_by": "rack of its data"
    }
    workers = [
        _make_worker("w0", "r0"),
        _make_worker("w1", "r0"),
        _make_worker("w2", "r1")
    ]
    _occupy(workers[0], 8)
    job = _make_job(demand=WHOLE, tasks=2, gang=True, one_rack=True)
    assert _explain(job, workers)[1] == {"held_by": "rack for all tasks"}


def test_room_is_held_for_a_retry():
    """Guards against idle workers that a retry avoids for a moment."""
    job = _make_job()
    job.get_step(0, 0).retry_at_s = {0: NOW_S - 0.5}
    tracked = _make_worker("w0")
    tracked.failures = [("1" * 16, NOW_S - 1.0)]
    assert _explain(job, [tracked])[1] == {"held_by": "workers with failures"}


# What waits.


def test_job_with_a_running_task_does_not_wait():
    """Guards against lines about jobs that run."""
    job = _make_job(tasks=2)
    assert waits.is_waiting(job, 0.0)
    _make_claim(job, "w0", progress.Phase.STOPPING)
    assert waits.is_waiting(job, 0.0)
    _make_claim(job, "w0", progress.Phase.RUNNING, task=1)
    assert not waits.is_waiting(job, 0.0)


def test_job_that_is_not_due_does_not_wait():
    """Guards against lines about jobs whose turn has not come."""
    job = _make_job()
    job.workload = job.workload._replace(repeats=2,
                                         first_start_ms=1000,
                                         interval_ms=1000)
    assert not waits.is_waiting(job, 500.0)
    assert waits.is_waiting(job, 1500.0)


# Lines and metrics.


def _check(monitor, jobs, snapshot):
    with structlog.testing.capture_logs() as lines:
        monitor.check({job.job_id: job for job in jobs}, snapshot)
    return [line for line in lines if line["event"] == "job waits"], lines


def _make_monitor():
    metrics = registry.Registry()
    return wait_monitor.WaitMonitor(metrics=metrics, now_s=NOW_S - 5.0), metrics


def test_line_is_repeated_after_its_interval():
    """Guards against a line for each job and check."""
    monitor, _ = _make_monitor()
    snapshot = _make_snapshot()
    logged_s = []
    for second in range(12):
        now_s = NOW_S - 5.0 + second
        if _check(monitor, [_make_job()], snapshot._replace(now_s=now_s))[0]:
            logged_s.append(second)
    assert logged_s == [2, 7]


def test_lines_are_bounded_and_take_turns():
    """Guards against logs that grow with the jobs that wait."""
    monitor, _ = _make_monitor()
    most = wait_monitor.MAX_LINES_IN_CHECK
    jobs = [_make_job(f"{number:016x}") for number in range(5 * most)]
    snapshot = _make_snapshot()
    seen = set()
    for second in range(5):
        waiting, lines = _check(monitor, jobs,
                                snapshot._replace(now_s=NOW_S + second))
        assert len(waiting) == most
        assert len(lines) <= most + 1
        left_out = [line["count"] for line in lines if "count" in line]
        assert sum(left_out) == (4 - second) * most
        seen.update(line["request"] for line in waiting)
    assert len(seen) == len(jobs)


def test_gauges_follow_the_state():
    """Guards against gauges that stay when the jobs run or the leader goes."""
    monitor, metrics = _make_monitor()
    job = _make_job()
    tracked = _make_worker("w0")
    tracked.worker = tracked.worker._replace(draining=True)
    _check(monitor, [job], _make_snapshot([tracked]))
    text = metrics.render().splitlines()
    assert "trefoilroad_jobs_waiting_workers_withheld 1" in text
    assert "trefoilroad_jobs_waiting_no_room 0" in text
    assert "trefoilroad_workers_withheld_draining 1" in text
    assert "trefoilroad_leader_takeovers_total 1" in text
    tracked.add_claim(_make_claim(job, "w0", progress.Phase.RUNNING))
    _check(monitor, [job], _make_snapshot([tracked]))
    text = metrics.render().splitlines()
    assert "trefoilroad_jobs_waiting_workers_withheld 0" in text
    assert "trefoilroad_claims_running 1" in text
    monitor.close()
    text = metrics.render().splitlines()
    assert "trefoilroad_claims_running 0" in text
    assert "trefoilroad_workers_withheld_draining 0" in text


def test_time_to_the_first_round_is_recorded_once():
    """Guards against a time that later rounds add to."""
    monitor, metrics = _make_monitor()
    monitor.record_round(NOW_S - 4.7)
    monitor.record_round(NOW_S)
    text = metrics.render().splitlines()
    assert "trefoilroad_leader_first_round_seconds_count 1" in text
    assert 'trefoilroad_leader_first_round_seconds_bucket{le="0.25"} 0' in text
    assert 'trefoilroad_leader_first_round_seconds_bucket{le="0.5"} 1' in text


def test_scarce_workers_are_logged_once_and_when_they_are_back():
    """Guards against a line in each check, and against an end without one."""
    monitor, _ = _make_monitor()
    workers = [_make_worker(f"w{number}") for number in range(4)]
    logged = []
    for silent in (0, 2, 3, 3, 2, 0):
        for number, tracked in enumerate(workers):
            tracked.silent_since_s = NOW_S if number < silent else float("inf")
        _, lines = _check(monitor, [], _make_snapshot(workers))
        logged.append([
            (line["scarce"], line["usable"], line["withheld"]) for line in lines
        ])
    assert logged == [[], [], [(True, 1, {
        "silent": 3
    })], [], [(False, 2, {
        "silent": 2
    })], []]


def test_check_of_many_jobs_takes_little_time():
    """Guards against a check that delays the rounds of a full fleet."""
    monitor, _ = _make_monitor()
    workers = [
        _make_worker(f"w{number:03}", f"r{number // 8}") for number in range(40)
    ]
    for tracked in workers[:36]:
        _occupy(tracked, 8)
    for tracked in workers[36:]:
        _occupy(tracked, 7)
    jobs = {}
    for number in range(500):
        job = _make_job(f"{number:016x}",
                        workload.Demand(1000, 1000, 2 + number % 4),
                        tasks=1 + number % 3,
                        gang=bool(number % 2))
        jobs[job.job_id] = job
    snapshot = _make_snapshot(workers)
    durations_s = []
    for second in range(20):
        now_s = NOW_S + 1.0 * second
        with structlog.testing.capture_logs():
            began_s = time.thread_time()
            monitor.check(jobs, snapshot._replace(now_s=now_s))
            durations_s.append(time.thread_time() - began_s)
    print(f"{sorted(durations_s)[10] * 1000:.2f} ms (median), "
          f"{min(durations_s) * 1000:.2f} ms (least)")
    assert min(durations_s) < 0.002


# On a site.


def _run_logged(site, seconds, event, **fields):
    with structlog.testing.capture_logs() as lines:
        site.run(seconds)
    return [
        line for line in lines if line["event"] == event and all(
            line.get(name) == value for name, value in fields.items())
    ]


@pytest.fixture
def site():
    new_site = sites.Site()
    new_site.run(1.0)
    return new_site


def test_site_shows_a_claim_on_a_lost_worker_after_a_takeover(site):
    """Guards against a job that stands still beside free room without a line.

    No line told that the claim of an earlier leader held it, nor until when.
    """
    site.submit(JOB, run_s=8.0)
    site.run(2.0)
    busy = next(worker_state for worker_state in site.worker_states.values()
                if worker_state.worker_id == site.history[0].worker_id)
    busy.reachable = False
    site.kill(site.find_leader().name)
    lines = _run_logged(site, 12.0, "job waits", request=JOB)
    assert lines
    assert lines[0]["reason"] == "claims"
    assert lines[0]["cause"] in ("claim on a silent worker", "start in doubt")
    assert lines[0]["worker"] == busy.worker_id
    assert 0.0 < lines[0]["end_in_s"] < 14.0
    assert lines[0]["waited_s"] >= wait_monitor.MIN_WAIT_S


def test_site_shows_the_lack_of_a_label(site):
    """Guards against a job that waits for a label without a line."""
    site.submit(JOB, label="infiniband")
    lines = _run_logged(site, 9.0, "job waits", request=JOB)
    assert [line["reason"] for line in lines] == ["no worker has the label"] * 2
    assert lines[0]["label"] == "infiniband"


def _fill_other_workers(site):
    """Fills all workers but w00."""
    for number in range(1, 4):
        site.submit(f"{number:016x}", demand=WHOLE, run_s=30.0)
    site.run(1.0)


def test_site_shows_a_draining_worker(site):
    """Guards against a job that waits for a worker that drains unseen."""
    site.worker_states["w00"].draining = True
    site.register(site.worker_states["w00"])
    site.run(1.0)
    _fill_other_workers(site)
    site.submit(JOB, demand=WHOLE)
    lines = _run_logged(site, 4.0, "job waits", request=JOB)
    assert [line["reason"] for line in lines] == ["workers withheld"]
    assert lines[0]["withheld"] == {"draining": 1}


def test_job_does_not_wait_for_the_end_of_a_quarantine(site):
    """Guards against a line, and a wait, beside a worker that can be tried."""
    leader = site.find_leader().node._dispatcher
    for name in ("a", "b", "c"):
        leader._health.record(
            health.TaskEnd(worker_id="w00",
                           request_id=name,
                           team=name,
                           template=name,
                           failed=True,
                           at_s=site.clock.now_s))
    _fill_other_workers(site)
    assert not site.worker_states["w00"].runs
    site.submit(JOB, demand=WHOLE)
    assert _run_logged(site, 4.0, "job waits", request=JOB) == []
    assert site.ask_state(JOB) == "completed"


def test_site_shows_a_leader_that_cannot_read_the_jobs(site):
    """Guards against a leader that schedules nothing without a line."""
    site.submit(JOB, run_s=8.0)
    site.run(1.0)
    site.kill(site.find_leader().name)
    failing = {"count": 0}

    def fail(self, *, table, on_done):
        failing["count"] += 1
        on_done(ports.StoreFailed("unavailable", maybe_written=False))

    for site_node in site.nodes.values():
        site_node.node._store.read_all = fail.__get__(site_node.node._store)
    lines = _run_logged(site, 8.0, "still reading jobs")
    assert lines
    assert lines[0]["table"] == "intake"
    assert lines[0]["tries"] > 1
