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


def _record_acknowledgements(site):
    """Returns a list that gets the numbers of ends that requests name."""
    workers = site.find_leader().workers
    request = workers.renew
    numbers = []

    def renew(worker, *, acknowledged_end, **fields):
        numbers.append(acknowledged_end)
        request(worker, acknowledged_end=acknowledged_end, **fields)

    workers.renew = renew
    return numbers


def _run_short_jobs(site):
    """Runs jobs that end at once beside one that goes on."""
    site.submit("b" * 16, run_s=60.0, tasks=2, max_per_worker=1)
    for number in range(6):
        site.submit(f"{number:016x}", run_s=0.5, tasks=4)
        site.run(0.4)
    site.run(2.0)


def test_late_report_request_does_not_acknowledge_ends_of_the_next_process(
        site):
    """Guards against an end that is forgotten before a report has listed it.

    Each request named the last end. One that arrived late acknowledged the
    ends of the new process, which numbers them from 1, and their tasks ran
    again.
    """
    _run_short_jobs(site)
    numbers = _record_acknowledgements(site)
    site.run(3.0)
    late_number = max(numbers)
    epoch = site.find_leader().node.epoch
    worker_state = next(
        state for state in site.worker_states.values() if state.runs)
    worker_state.restart()
    site.register(worker_state)
    site.run(0.6)
    arrived = []
    end_run = worker_state._end

    def end_run_before_late_request(name, run, end_state):
        is_awaited = bool(worker_state._end_callbacks)
        end_run(name, run, end_state)
        if not is_awaited and not arrived:
            arrived.append(name)
            worker_state.renew(epoch, late_number, None)

    worker_state._end = end_run_before_late_request
    for number in range(60):
        site.submit(f"c{number:015x}", run_s=0.3, tasks=2)
        site.run(0.07)
    site.run(20.0)
    assert arrived
    assert site.find_violations() == []


@pytest.mark.parametrize("loss_probability", [0.0, 0.2])
def test_ends_are_acknowledged_soon(site, loss_probability):
    """Guards against workers that keep ends which the leader has recorded."""
    leader = site.find_leader()
    leader.workers.report_loss_probability = loss_probability
    _run_short_jobs(site)
    site.run(3.0)
    assert site.count_events("noted") == site.count_events("done") == 24
    assert not any(
        state.unacknowledged_ends for state in site.worker_states.values())


def test_end_is_acknowledged_once_only(site):
    """Guards against requests that keep naming an end that is forgotten."""
    numbers = _record_acknowledgements(site)
    _run_short_jobs(site)
    assert any(numbers)
    numbers.clear()
    site.run(3.0)
    assert numbers
    assert not any(numbers)


def _get_tracked(site, worker_state):
    dispatcher = site.find_leader().node._dispatcher
    return dispatcher._fleet.tracked_workers[worker_state.worker_id]


@pytest.mark.parametrize("registered", [False, True])
def test_late_report_of_the_process_before_clears_no_doubt(site, registered):
    """Guards against a process that is taken for the one that answers.

    A report of the process before arrived after a sign of the restart, which
    was forgotten with it, and the ends of the new process were acknowledged by
    the numbers of the one before.
    """
    _run_short_jobs(site)
    worker_state = next(iter(site.worker_states.values()))
    tracked = _get_tracked(site, worker_state)
    made_s = _hold_first_report(site, worker_state, 0.8)
    _run_until(site, lambda: made_s)
    site.run(0.05)
    worker_state.restart()
    if registered:
        site.register(worker_state)
    else:
        for other in site.worker_states.values():
            if other is not worker_state:
                other.draining = True
                site.register(other)
        site.submit(JOB_ID, run_s=0.2, tasks=4)
    site.run(made_s[0] + 0.7995 - site.clock.now_s)
    assert tracked.maybe_restarted
    assert tracked.polling
    # The report arrives, but not yet the answer to the request after it.
    site.run(0.001)
    assert tracked.maybe_restarted
    assert not (registered and tracked.contacted)
    site.run(0.5)
    assert not tracked.maybe_restarted
    assert tracked.boot_ms == worker_state.boot_ms
    site.run(10.0)
    assert site.find_violations() == []


def test_report_with_an_earlier_birth_is_accepted_in_the_end(site):
    """Guards against a worker that is never heard after its clock was set back.

    The birth of a process is a time of day.
    """
    worker_state = next(iter(site.worker_states.values()))
    worker_state.restart()
    worker_state.boot_ms -= 3_600_000
    site.register(worker_state)
    site.run(1.0)
    worker_state.boot_ms -= 3_600_000
    site.run(80.0)
    tracked = _get_tracked(site, worker_state)
    assert tracked.contacted
    assert tracked.boot_ms == worker_state.boot_ms


def test_late_start_of_an_ended_run_reaches_the_next_process(site):
    """Guards against a task that runs again although its end was recorded.

    The second attempt to start it was answered and the run ended. The worker
    restarted before the first attempt arrived, and knew nothing of the run.
    """
    delayed = _delay_first_start(site, 3.0)
    site.submit(JOB_ID, run_s=0.5)
    site.run(1.5)
    assert site.count_events("done", JOB_ID) == 1
    _restart(site, delayed[0])
    site.run(10.0)
    assert site.count_events("start", JOB_ID) == 1
    assert site.find_violations() == []


def test_late_starts_are_forgotten(site):
    """Guards against a memory of unanswered starts that grows for ever."""
    _delay_first_start(site, 3.0)
    site.submit(JOB_ID, run_s=0.5)
    site.run(2.0)
    runs = site.find_leader().node._dispatcher._runs
    assert runs._late_starts
    site.run(8.0)
    assert not runs._late_starts
