"""Tests of calls that a worker carries out late, after it has restarted.

A call names the worker and not its process. One that got no answer may reach
the process that runs under the same id seconds later.
"""

import pytest

from trefoilroad_jobs import ports
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import workers as worker_module

JOB_ID = "a" * 16


@pytest.fixture
def site():
    new_site = sites.Site(worker_count=2)
    new_site.run(20.0)
    return new_site


def _run_until(site, condition, limit_s=20.0):
    """Advances the clock in small steps until a condition holds."""
    end_s = site.clock.now_s + limit_s
    while not condition():
        assert site.clock.now_s < end_s
        site.run(0.005)


def _delay_first_start(site, delay_s):
    """Has the first start get no answer and be carried out late.

    Returns:
        A list that gets the worker of that start.
    """
    workers = site.find_leader().workers
    send = workers.start
    delayed = []

    def start(worker, command, *, timeout_s, on_done):
        workers.command_loss_probability = 0.0 if delayed else 1.0
        if not delayed:
            delayed.append(site.worker_states[worker.worker_id])
            workers.lost_call_delay_s = delay_s
        send(worker, command, timeout_s=timeout_s, on_done=on_done)
        site.clock.schedule(
            0.01, lambda: setattr(workers, "command_loss_probability", 0.0))

    workers.start = start
    return delayed


def _restart(site, worker_state):
    worker_state.draining = False
    worker_state.restart()
    site.register(worker_state)


def test_first_attempt_of_an_answered_start_reaches_the_next_process(site):
    """Guards against a run that begins again after its worker lost it.

    The answer to the second attempt was taken for that to all attempts, so that
    the task was started elsewhere before the first attempt arrived.
    """
    delayed = _delay_first_start(site, 3.0)
    site.submit(JOB_ID, run_s=8.0)
    site.run(1.0)
    assert delayed[0].runs
    _restart(site, delayed[0])
    site.run(30.0)
    assert site.find_violations() == []
    assert site.ask_state(JOB_ID) == "completed"


def test_run_with_an_unanswered_attempt_is_in_doubt(site):
    """Guards against a release that tells nothing of a late attempt."""
    delayed = _delay_first_start(site, 3.0)
    site.submit(JOB_ID, run_s=30.0)
    site.run(1.0)
    assert delayed[0].runs
    dispatcher = site.find_leader().node._dispatcher
    assert dispatcher.has_doubtful_runs()
    site.run(12.0)
    assert not dispatcher.has_doubtful_runs()


def test_run_whose_only_attempt_was_answered_is_not_in_doubt(site):
    """Guards against a slow handover after every start."""
    site.submit(JOB_ID, run_s=30.0)
    site.run(0.5)
    assert not site.find_leader().node._dispatcher.has_doubtful_runs()


def test_lost_run_without_open_attempts_starts_again_soon(site):
    """Guards against a wait for late attempts after each restart."""
    site.submit(JOB_ID, run_s=8.0)
    site.run(1.0)
    worker_state = next(
        state for state in site.worker_states.values() if state.runs)
    _restart(site, worker_state)
    # The time-out of the report request that the restart has cut off.
    site.run(2.0)
    assert site.count_events("start") == 2


def _hold_first_report(site, worker_state, delay_s):
    """Delays the answer to the next report request to a worker.

    Returns:
        A list that gets the time at which the report was made.
    """
    leader = site.find_leader()
    request = leader.workers.renew
    made_s = []

    def renew(worker, *, wait_ms, timeout_s, on_done, **fields):
        if made_s or worker.worker_id != worker_state.worker_id:
            request(worker,
                    wait_ms=wait_ms,
                    timeout_s=timeout_s,
                    on_done=on_done,
                    **fields)
            return
        made_s.append(site.clock.now_s)
        report = worker_state.renew(**fields)
        site.clock.schedule(
            delay_s, lambda: leader.host.deliver(lambda: on_done(report)))

    leader.workers.renew = renew
    return made_s


def test_report_from_before_the_start_is_no_proof_of_an_end(monkeypatch):
    """Guards against a second run of a gang while the first is being stopped.

    A worker restarted after the claim. Its new process made a report, then
    began the run; the report arrived after the answer to the start and was
    taken for proof that the run had been lost with the process before.
    """
    monkeypatch.setattr(worker_module, "STOP_DURATION_S", 1.0)
    site = sites.Site(worker_count=3)
    site.run(20.0)
    leader = site.find_leader()
    leader.store.delay_factor = 30.0
    site.submit(JOB_ID, run_s=8.0, tasks=2, gang=True, max_per_worker=1)
    jobs = leader.node._dispatcher.jobs
    _run_until(site, lambda: JOB_ID in jobs and any(jobs[JOB_ID].list_claims()))
    restarted, refusing = [
        site.worker_states[claim.worker_id]
        for claim in jobs[JOB_ID].list_claims()
    ]
    accept = refusing.start

    def refuse_first_run(command, name):
        if command.run > 1:
            return accept(command, name)
        return ports.CommandReply(ports.Verdict.NO_ROOM, refusing.clock_ms)

    refusing.start = refuse_first_run
    made_s = _hold_first_report(site, restarted, 0.35)
    restarted.restart()
    restarted.draining = True
    site.register(restarted)
    site.run(0.02)
    restarted.draining = False
    site.register(restarted)
    leader.store.delay_factor = 1.0
    site.run(20.0)
    starts = [event for event in site.history if event.kind == "start"]
    assert made_s[0] < starts[0].at_s < made_s[0] + 0.35
    assert starts[0].worker_id == restarted.worker_id
    assert site.find_violations() == []
    assert site.ask_state(JOB_ID) == "completed"
