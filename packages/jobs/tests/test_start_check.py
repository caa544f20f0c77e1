"""Tests of the check that precedes each start command."""

import pytest
import structlog

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import start_check
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

WHOLE = sites.WORKER_CAPACITY
JOB = "0" * 16
OTHER_JOB = "1" * 16
STEP = workload.Step(tasks=1, demand=sites.SMALL_DEMAND, label="x")


def _make_tracked(**fields):
    worker = ports.Worker(worker_id="w",
                          address="address",
                          service="service",
                          failure_domain="a",
                          rack="r",
                          labels=frozenset({"x", "r"}),
                          capacity=WHOLE,
                          draining=False,
                          remaining_ms=0,
                          boot_ms=1)
    return fleets.TrackedWorker(worker=worker._replace(**fields))


def _add_claim(tracked, demand=sites.SMALL_DEMAND, task=0):
    claim = progress.Claim(key=progress.TaskKey(JOB, 0, 0, task),
                           run=1,
                           worker_id="w",
                           boot_ms=1,
                           phase=progress.Phase.CLAIMING,
                           now_s=0.0,
                           demand=demand)
    tracked.add_claim(claim)
    return claim


def _find_obstacle(tracked, step=STEP, evacuated=frozenset()):
    claim = _add_claim(tracked, step.occupied)
    return start_check.find_obstacle(tracked, claim, step, "service", evacuated)


def test_unchanged_worker():
    """Guards against a check that withholds starts without a cause."""
    assert not _find_obstacle(_make_tracked())


def test_restarted_worker_that_still_fits():
    """Guards against lost time where a worker only restarted."""
    assert not _find_obstacle(_make_tracked(boot_ms=2))


def test_full_worker_has_room_for_its_own_claim():
    """Guards against a claim that counts against itself."""
    step = STEP._replace(demand=WHOLE)
    assert not _find_obstacle(_make_tracked(), step)


@pytest.mark.parametrize("fields", [{
    "labels": frozenset({"r"})
}, {
    "service": "other"
}, {
    "draining": True
}, {
    "capacity": workload.Demand(64_000, 256_000, 0)
}])
def test_changed_worker(fields):
    """Guards against a start on a worker that may not run the task any more."""
    assert _find_obstacle(_make_tracked(**fields))


def test_worker_without_registration():
    """Guards against a start on a worker that has left."""
    tracked = _make_tracked()
    tracked.registered = False
    assert _find_obstacle(tracked)


def test_evacuated_domain():
    """Guards against a start in a domain that operators evacuate."""
    obstacle = _find_obstacle(_make_tracked(), evacuated=frozenset({"a"}))
    assert obstacle == start_check.EVACUATED
    assert not _find_obstacle(_make_tracked(), evacuated=frozenset({"b"}))


def test_shortage_that_does_not_concern_the_task():
    """Guards against a task that is placed on the same worker for ever.

    Rounds look only at the resources that a task needs.
    """
    tracked = _make_tracked(capacity=workload.Demand(64_000, 256_000, 0))
    _add_claim(tracked, workload.Demand(0, 0, 8), task=1)
    step = STEP._replace(demand=workload.Demand(1000, 1000, 0))
    assert not _find_obstacle(tracked, step)


def run_until(site, condition, limit_s=20.0):
    """Advances the clock in small steps until a condition holds."""
    end_s = site.clock.now_s + limit_s
    while not condition():
        assert site.clock.now_s < end_s
        site.run(0.0005)


def _claim_while_commits_get_no_reply(site, job_id, **fields):
    """Submits a job and returns its claim, whose start waits for a reply."""
    dispatcher_ = site.find_leader().node._dispatcher
    site.submit(job_id, **fields)
    run_until(site, lambda: job_id in dispatcher_.jobs)
    site.nodes["n0"].store.loss_probability = 1.0
    run_until(site, lambda: any(dispatcher_.jobs[job_id].list_claims()))
    return next(dispatcher_.jobs[job_id].list_claims())


def _remove_label(worker_state):
    worker_state.labels = frozenset()


def _shrink(worker_state):
    worker_state.capacity = workload.Demand(64_000, 256_000, 4)


def _change_service(worker_state):
    worker_state.service = "other"


def _drain(worker_state):
    worker_state.draining = True


@pytest.mark.parametrize("change",
                         [_remove_label, _shrink, _change_service, _drain])
def test_worker_restarts_between_claim_and_start(change):
    """Guards against a start on a worker that has become another one.

    The reply to the commit of a claim was lost. Meanwhile the worker restarted
    and registered without the label of the task, and the start was sent there
    once the repeated commit was confirmed (review/9).
    """
    labels = {"r0": frozenset({"x"})}
    site = sites.Site(node_count=1, labels=labels)
    site.run(2.0)
    claim = _claim_while_commits_get_no_reply(site,
                                              JOB,
                                              demand=WHOLE,
                                              label="x")
    changed = site.worker_states[claim.worker_id]
    change(changed)
    changed.restart()
    site.register(changed)
    site.run(0.3)
    site.nodes["n0"].store.loss_probability = 0.0
    with structlog.testing.capture_logs() as logs:
        site.run(6.0)
    withheld = [line for line in logs if line["event"] == "start withheld"]
    assert [(line["request"], line["worker"]) for line in withheld
           ] == [(JOB, changed.worker_id)]
    assert changed.worker_id not in {
        event.worker_id for event in site.history if event.kind == "start"
    }
    step = site.find_leader().node._dispatcher.jobs[JOB].get_step(0, 0)
    assert not step.failures
    assert site.ask_state(JOB) == "completed"
    assert site.find_violations() == []


def test_unanswered_start_on_a_worker_that_begins_to_drain():
    """Guards against a repeated start on a worker that has changed.

    The first start may still take effect, so the run has to be stopped.
    """
    site = sites.Site(node_count=1)
    site.run(2.0)
    node = site.nodes["n0"]
    node.workers.command_loss_probability = 1.0
    node.workers.lost_call_delay_s = 1.5
    dispatcher_ = node.node._dispatcher
    site.submit(JOB, demand=WHOLE)
    run_until(site, lambda: node.workers.sent_starts == 1)
    claim = next(dispatcher_.jobs[JOB].list_claims())
    draining = site.worker_states[claim.worker_id]
    draining.draining = True
    site.register(draining)
    site.run(1.0)
    assert node.workers.sent_starts == 1
    assert claim.phase is progress.Phase.STOPPING
    node.workers.command_loss_probability = 0.0
    site.run(8.0)
    assert site.ask_state(JOB) == "completed"
    assert site.find_violations() == []
