"""Tests of recovery from the loss of nodes, workers and the store."""

import pytest

from trefoilroad_jobs import dispatcher
from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet
from trefoilroad_jobs import lapses
from trefoilroad_jobs import leadership
from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_jobs import rounds
from trefoilroad_jobs import tables
from trefoilroad_jobs import watch
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import workers as worker_module


@pytest.fixture
def site():
    new_site = sites.Site()
    new_site.run(1.0)
    return new_site


def _submit_many(site, count, **fields):
    for number in range(count):
        site.submit(f"{number:016x}", through=f"n{number % 3}", **fields)


def test_jobs_complete_without_faults(site):
    """Guards against a job that does not complete even without faults."""
    _submit_many(site, 6, tasks=3)
    site.run(6.0)
    for number in range(6):
        assert site.ask_state(f"{number:016x}") == "completed"
    assert site.count_events("start") == 18
    assert site.find_violations() == []


def test_leader_killed_while_tasks_run(site):
    """Guards against acknowledging ends before the claims are loaded.

    A new leader requested reports from workers before it had read the claims.
    It acknowledged the ends of unknown runs and started their tasks again.
    """
    _submit_many(site, 6, tasks=3, run_s=1.0)
    site.run(0.8)
    leader = site.find_leader()
    site.kill(leader.name)
    site.run(10.0)
    new_leader = site.find_leader()
    assert new_leader is not None
    assert new_leader is not leader
    for number in range(6):
        assert site.ask_state(f"{number:016x}",
                              through=new_leader.name) == "completed"
    assert site.count_events("start") == 18
    assert site.find_violations() == []


def test_all_killed(site):
    """Guards against the loss of an accepted job when all nodes are killed."""
    _submit_many(site, 3, tasks=2, run_s=4.0)
    site.run(1.0)
    assert [reply.outcome.name for reply in site.replies.values()
           ] == ["ACCEPTED"] * 3
    for name in list(site.nodes):
        site.kill(name)
    for number in range(3):
        site.add_node(f"m{number}")
    site.run(15.0)
    for number in range(3):
        assert site.ask_state(f"{number:016x}", through="m0") == "completed"
    assert site.find_violations() == []


def test_leader_that_restarts_leads_again_at_once(site):
    """Guards against the wait for a leader process that has surely ended.

    After a loss of power at all nodes there was no leader for two seconds.
    """
    _submit_many(site, 3, tasks=2, run_s=2.0)
    site.run(1.0)
    leader = site.find_leader()
    for name in list(site.nodes):
        site.kill(name)
    site.add_node(leader.name)
    site.run(0.5)
    assert site.find_leader() is not None
    site.run(8.0)
    for number in range(3):
        assert site.ask_state(f"{number:016x}",
                              through=leader.name) == "completed"
    assert site.count_events("start") == 6
    assert site.find_violations() == []


def test_process_that_starts_watches_a_dead_leader_at_once(site):
    """Guards against waiting for heartbeats before watching the head row."""
    site.kill(site.find_leader().name)
    for name in list(site.nodes):
        site.kill(name)
    site.add_node("m0")
    site.run(2.0)
    assert site.find_leader() is not None


def test_leader_that_stepped_down_does_not_retake_leadership_at_once(site):
    """Guards against taking the own leader row for one of a dead process."""
    leader = site.find_leader()
    epoch = leader.node.epoch
    leader.node._leadership.step_down("test")
    site.run(0.5)
    assert site.find_leader() is None
    site.run(4.0)
    assert site.find_leader().node.epoch > epoch


def test_frozen_leader_wakes_up(site):
    """Guards against commands of a frozen leader that has been replaced."""
    _submit_many(site, 4, tasks=2, run_s=3.0)
    site.run(0.6)
    leader = site.find_leader()
    leader.host.frozen = True
    site.run(5.0)
    assert site.find_leader() is not leader or leader.node.leading
    leader.host.thaw()
    _submit_many(site, 4, tasks=2, run_s=3.0)
    site.run(10.0)
    new_leader = site.find_leader()
    assert new_leader is not leader
    assert not leader.node.leading
    for number in range(4):
        assert site.ask_state(f"{number:016x}",
                              through=new_leader.name) == "completed"
    assert site.find_violations() == []


def test_worker_restarts_unnoticed(site):
    """Guards against acknowledging unread ends of a restarted worker.

    The numbers of ends begin anew when a worker restarts. An acknowledgement
    meant for the old process made the new one drop its ends, and their tasks
    ran again.
    """
    _submit_many(site, 12, tasks=2, run_s=0.5)
    site.run(3.0)
    for worker_state in site.worker_states.values():
        worker_state.restart()
    for number in range(12, 18):
        site.submit(f"{number:016x}", tasks=2, run_s=0.5)
    site.run(6.0)
    assert site.count_events("start") == 36
    assert site.find_violations() == []


def test_worker_crashes_with_its_runs(site):
    """Guards against tasks that wait for ever for a crashed worker."""
    site.submit("a" * 16, tasks=8, run_s=4.0)
    site.run(1.0)
    busy_workers = {event.worker_id for event in site.history}
    for worker_id in busy_workers:
        site.worker_states[worker_id].crash()
    site.run(16.0)
    assert site.ask_state("a" * 16) == "completed"
    assert site.find_violations() == []


def test_cancelled_job_stops(site):
    """Guards against tasks that run on after their job was cancelled."""
    site.submit("a" * 16, tasks=4, run_s=20.0)
    site.run(1.0)
    site.cancel("a" * 16, through="n1")
    site.run(1.0)
    assert site.replies["a" * 16].outcome.name == "CANCELLED"
    assert site.ask_state("a" * 16) == "cancelled"
    assert all(
        not worker_state.runs for worker_state in site.worker_states.values())


def test_job_that_always_fails(site):
    """Guards against more runs than the queue allows."""
    site.submit("a" * 16, tasks=1, run_s=0.3, fails=True)
    site.run(10.0)
    assert site.ask_state("a" * 16) == "failed"
    assert site.count_events("start") == 3


def test_store_down_for_long(site):
    """Guards against leases that expire while only the store is down."""
    site.submit("a" * 16, tasks=4, run_s=8.0)
    site.run(1.0)
    site.tables.down = True
    site.run(9.0)
    site.tables.down = False
    site.run(4.0)
    assert site.ask_state("a" * 16) == "completed"
    assert site.count_events("start") == 4
    assert site.count_events("lapsed") == 0


def test_repeat_through_another_node(site):
    """Guards against a job that runs twice because it is submitted twice."""
    site.submit("a" * 16, tasks=2, through="n0")
    site.run(0.5)
    site.submit("a" * 16, tasks=2, through="n2")
    site.run(6.0)
    assert site.replies["a" * 16].outcome.name == "ACCEPTED"
    assert site.count_events("start") == 2


def test_worker_and_leader_lost_together(site):
    """Guards against a wait for leases longer than any that was given.

    The new leader has no contact with the worker, so only the longest lease
    that the previous leader may have given limits how long runs last there.
    """
    site.submit("a" * 16, tasks=8, run_s=4.0)
    site.run(1.0)
    for worker_id in {event.worker_id for event in site.history}:
        site.worker_states[worker_id].crash()
    site.kill(site.find_leader().name)
    site.run(16.0)
    assert site.ask_state("a" * 16, site.find_leader().name) == "completed"
    assert site.find_violations() == []


def test_worker_lost_around_a_planned_stop(site):
    """Guards against the same wait after a leader released the leadership."""
    site.submit("a" * 16, tasks=8, run_s=4.0)
    site.run(1.0)
    for worker_id in {event.worker_id for event in site.history}:
        site.worker_states[worker_id].crash()
    leader = site.find_leader()
    leader.node.begin_stop(lambda: None)
    site.run(12.5)
    assert site.ask_state("a" * 16, site.find_leader().name) == "completed"
    assert site.find_violations() == []


def test_row_that_cannot_be_decoded_is_not_shown_as_absent(site):
    """Guards against a missing or wrong answer for an unreadable row."""
    site.tables.put("intake", "job/" + "a" * 16, b"\xff\xff")
    site.run(0.5)
    assert site.ask_state("a" * 16) == "UNKNOWN"


def test_leader_refused_by_store_is_replaced_soon(site):
    """Guards against a long time without decisions while the store works.

    A leader that got status 429 for seven seconds was replaced after 2.5 s.
    """
    leader = site.find_leader()
    leader.store.refused = True
    site.run(1.6)
    successor = site.find_leader()
    assert successor is not None
    assert successor is not leader
    assert site.find_violations() == []


def test_leader_without_store_is_detected_by_heartbeats(site):
    """Guards against heartbeats that keep a leader which cannot write."""
    leader = site.find_leader()
    leader.store.cut = True
    site.run(2.1)
    assert site.find_leader() not in (None, leader)


def test_leader_stays_if_store_refuses_all_nodes(site):
    """Guards against a useless takeover while the store refuses all nodes."""
    leader = site.find_leader()
    for node in site.nodes.values():
        node.store.refused = True
    site.run(4.0)
    assert site.find_leader() is leader


def test_lost_answer_to_a_start_does_not_hold_up_urgent_work(site):
    """Guards against urgent jobs that wait for the timeouts of one task.

    Two timeouts of 0.8 s and the stops after them made urgent jobs late.
    """
    workers = site.find_leader().workers
    send_start = workers.start
    lost_commands = []

    def start(worker, command, *, timeout_s, on_done):
        if not lost_commands:
            lost_commands.append(command)
            site.clock.schedule(
                limits.Limits().max_command_timeout_s,
                lambda: on_done(ports.CommandReply(ports.Verdict.LOST)))
            return
        send_start(worker, command, timeout_s=timeout_s, on_done=on_done)

    workers.start = start
    site.submit("0" * 16, tasks=3, run_s=1.0, queue=sites.URGENT_QUEUE)
    site.run(1.6)
    assert lost_commands
    assert site.ask_state("0" * 16) == "completed"
    assert site.find_violations() == []


def test_work_on_a_hanging_worker_goes_elsewhere_soon(site):
    """Guards against urgent tasks that are restarted on a hanging worker.

    Hanging workers were detected after 3.5 s and got new tasks at once.
    """
    for number in range(4):
        site.submit(f"{number:016x}",
                    tasks=2,
                    run_s=2.0,
                    demand=sites.SMALL_DEMAND._replace(accelerators=4),
                    queue=sites.URGENT_QUEUE)
    site.run(0.5)
    bad_worker = max(site.worker_states.values(),
                     key=lambda worker_state: len(worker_state.runs))
    hung_runs = len(bad_worker.runs)
    assert hung_runs
    bad_worker.hangs = True
    site.run(3.0)
    assert site.count_events("stopped") == hung_runs
    assert bad_worker.runs == {}
    site.run(3.0)
    for number in range(4):
        assert site.ask_state(f"{number:016x}") == "completed"


def test_slow_long_run_is_not_treated_as_stalled(site):
    """Guards against stopping a slow run that still makes progress.

    A long run reports one more percent only every few seconds.
    """
    site.submit("0" * 16, run_s=300.0)
    site.run(40.0)
    assert site.count_events("stopped") == 0


def test_gang_is_not_stopped_while_a_member_is_being_started(site):
    """Guards against stopping members that wait for another to start."""
    workers = site.find_leader().workers
    send_start = workers.start
    lost_commands = []

    def start(worker, command, *, timeout_s, on_done):
        if command.key.task == 0 and len(lost_commands) < 2:
            lost_commands.append(command)
            site.clock.schedule(
                limits.Limits().max_command_timeout_s,
                lambda: on_done(ports.CommandReply(ports.Verdict.LOST)))
            return
        send_start(worker, command, timeout_s=timeout_s, on_done=on_done)

    workers.start = start
    site.submit("0" * 16,
                tasks=2,
                run_s=4.0,
                gang=True,
                demand=sites.SMALL_DEMAND._replace(accelerators=8),
                queue=sites.URGENT_QUEUE)
    for worker_state in site.worker_states.values():
        worker_state.hangs = True
    site.run(1.6)
    for worker_state in site.worker_states.values():
        worker_state.hangs = False
    site.run(5.0)
    assert len(lost_commands) == 2
    assert site.count_events("stopped") == 0
    assert site.ask_state("0" * 16) == "completed"


def test_finished_gang_member_is_not_treated_as_stalled(site):
    """Guards against gangs that are stopped when they are nearly done.

    A member that has reached 100% waits for slower members.
    """
    site.submit("0" * 16, tasks=2, run_s=10.0, gang=True)
    site.run(0.5)
    for worker_state in site.worker_states.values():
        worker_state.percent = 100
    site.run(8.0)
    assert site.count_events("stopped") == 0


def test_worker_that_fails_at_once_gets_nothing_new(site):
    """Guards against a worker that attracts tasks by failing them fast."""
    bad_worker = site.worker_states["w00"]
    bad_worker.fails = True
    for number in range(12):
        site.submit(f"{number:016x}",
                    run_s=0.5,
                    demand=sites.SMALL_DEMAND._replace(accelerators=8))
    site.run(6.0)
    failed = [event for event in site.history if event.kind == "failed"]
    assert len(failed) <= 2
    for number in range(12):
        assert site.ask_state(f"{number:016x}") == "completed"


def test_retry_avoids_workers_with_recent_failures(site):
    """Guards against a job that fails because two workers are bad."""
    for name in ("w00", "w01"):
        site.worker_states[name].fails = True
    queue = sites.QUEUE._replace(max_failures=2)
    for number in range(4):
        site.submit(f"{number:016x}",
                    run_s=0.5,
                    demand=sites.SMALL_DEMAND._replace(accelerators=8),
                    queue=queue)
    site.run(6.0)
    for number in range(4):
        assert site.ask_state(f"{number:016x}") == "completed"


def test_always_failing_jobs_do_not_exclude_all_workers(site):
    """Guards against good jobs that wait because all workers are suspected."""
    for number in range(16):
        site.submit(f"{number:016x}",
                    tasks=2,
                    run_s=0.1,
                    demand=sites.SMALL_DEMAND._replace(accelerators=4),
                    fails=True)
    site.run(1.5)
    site.submit("f" * 16, run_s=0.5)
    site.run(2.0)
    assert site.count_events("done", "f" * 16) == 1


def test_retry_does_not_wait_long_for_workers_without_failures(site):
    """Guards against a retry that waits although workers are idle."""
    for worker_state in site.worker_states.values():
        worker_state.fails = True
    queue = sites.QUEUE._replace(max_failures=9)
    for number in range(4):
        site.submit(f"{number:016x}", tasks=4, run_s=0.5, queue=queue)
    site.run(1.0)
    for worker_state in site.worker_states.values():
        worker_state.fails = False
    site.run(4.0)
    for number in range(4):
        assert site.ask_state(f"{number:016x}") == "completed"


def test_single_lost_report_does_not_exclude_a_worker(site):
    """Guards against a worker that is left out while its answers arrive.

    The wait for the next report was half a second, in which half of a fleet got
    no new runs when half of the reports were lost.
    """
    site.submit("0" * 16, tasks=2, run_s=6.0)
    site.run(0.5)
    workers = site.find_leader().workers
    send_renewal = workers.renew
    lost = []

    def renew(worker, *, timeout_s, on_done, **fields):
        if worker.worker_id not in lost:
            lost.append(worker.worker_id)
            site.clock.schedule(
                timeout_s,
                lambda: on_done(ports.CommandReply(ports.Verdict.LOST)))
            return
        send_renewal(worker, timeout_s=timeout_s, on_done=on_done, **fields)

    workers.renew = renew
    tracked_workers = site.find_leader(
    ).node._dispatcher._fleet.tracked_workers.values()
    for _ in range(40):
        site.run(0.1)
        assert not any(tracked.silent_since_s < float("inf")
                       for tracked in tracked_workers)
    assert lost


def test_lease_of_a_silent_worker_is_not_prolonged(site):
    """Guards against runs of a lost worker that are never started elsewhere."""
    site.submit("0" * 16, tasks=1, run_s=3.0)
    site.run(0.5)
    worker_id = next(event.worker_id for event in site.history)
    site.worker_states[worker_id].reachable = False
    site.run(14.0)
    assert site.ask_state("0" * 16) == "completed"
    assert site.find_violations() == []


def test_lease_of_a_lost_worker_is_not_renewed_by_the_next_request(site):
    """Guards against a second lease for a worker that is already lost.

    The request that followed a lost report carried a new lease, so the runs of
    the worker were given up two seconds later than its last report allowed.
    """
    site.submit("0" * 16, run_s=20.0)
    site.run(5.0)
    site.worker_states[next(event.worker_id for event in site.history)].crash()
    bounds = limits.Limits()
    longest_lease_s = fleet.compute_lease_duration_s(bounds.lease_s)
    site.run(longest_lease_s + bounds.reclaim_lead_s)
    assert site.count_events("start") == 2


def test_worker_lost_soon_after_a_takeover(site):
    """Guards against the longest lease assumed at each first contact.

    The first reading of a worker's clock was compared with no earlier one and
    taken for that of a restarted worker, which may hold a lease of 10 s.
    """
    site.run(30.0)
    site.submit("0" * 16, run_s=30.0)
    site.run(0.5)
    site.kill(site.find_leader().name)
    site.run(4.0)
    site.worker_states[next(event.worker_id for event in site.history)].crash()
    bounds = limits.Limits()
    longest_lease_s = fleet.compute_lease_duration_s(bounds.lease_s)
    site.run(longest_lease_s + bounds.reclaim_lead_s)
    assert site.count_events("start") == 2


def test_configuration_is_current_soon_after_an_outage_of_the_store(site):
    """Guards against calls that are refused although the store is back.

    A watch that had failed went on with a call that the store answers after a
    second unless something changes. Each node refused callers meanwhile, as it
    could not know whether its configuration was current.
    """
    site.run(2.0)
    site.tables.down = True
    site.run(5.0)
    site.tables.down = False
    site.run(watch.WATCH_RETRY_MAX_S + 0.1)
    for site_node in site.nodes.values():
        age_s = site_node.node._timers.read_clock(
        ) - site_node.node.config_fresh_s
        assert age_s < watch.WATCH_RETRY_MAX_S + 0.1


def test_adopted_run_counts_from_its_start(site, monkeypatch):
    """Guards against wrong estimates after a takeover.

    The run times of adopted runs counted from the takeover, so that the
    estimates of a queue became too short, and a run of minutes that had just
    been adopted was taken for one that loses little when it is stopped.
    """
    ran_s = []
    monkeypatch.setattr(estimate.Estimator, "record_run",
                        lambda self, queue, seconds: ran_s.append(seconds))
    _submit_many(site, 2, tasks=1, run_s=4.0)
    site.run(2.0)
    site.kill(site.find_leader().name)
    site.run(8.0)
    assert len(ran_s) == 2
    assert ran_s == [pytest.approx(4.0, abs=0.5)] * 2


def test_other_tasks_start_while_one_waits_for_its_retry(site):
    """Guards against a whole step that waits for the retry of one task."""
    job_id = "0" * 16
    site.submit(job_id, through="n0", tasks=4 * 8 + 4, run_s=0.3)
    leader = site.find_leader().node
    site.run(0.2)
    step = leader._dispatcher.jobs[job_id].get_step(0, 0)
    step.retry_at_s[35] = float("inf")
    site.run(3.0)
    assert len(step.done) == 35


def _lose_first_start_replies(site, monkeypatch, count):
    """Loses the replies to the first starts; the workers carry them out."""
    start = worker_module.NodeWorkers.start
    lost = []

    def start_with_loss(self, worker, command, *, timeout_s, on_done):
        if len(lost) >= count:
            start(self, worker, command, timeout_s=timeout_s, on_done=on_done)
            return
        lost.append(command)
        start(self,
              worker,
              command,
              timeout_s=timeout_s,
              on_done=lambda _: site.clock.schedule(
                  timeout_s, lambda: on_done(
                      ports.CommandReply(ports.Verdict.LOST))))

    monkeypatch.setattr(worker_module.NodeWorkers, "start", start_with_loss)


def test_refused_repeat_of_a_start_is_no_proof_that_it_never_ran(
        site, monkeypatch):
    """Guards against a second run of a task that has ended unnoticed.

    The reply to a start was lost and the run ended before the start was
    repeated. The worker refused the repeat, as it refuses any run that has
    ended there, and the task was started on another worker.
    """
    _lose_first_start_replies(site, monkeypatch, 1)
    node = site.find_leader()
    node.workers.report_loss_probability = 1.0
    site.submit("0" * 16, through=node.name, run_s=0.1)
    site.run(0.8)
    node.workers.report_loss_probability = 0.0
    site.run(10.0)
    assert site.ask_state("0" * 16, through=node.name) == "completed"
    assert site.find_violations() == []
    assert site.count_events("start") == 1


def test_refusal_that_arrives_after_a_stop_proves_nothing(site, monkeypatch):
    """Guards against room taken for free while an earlier start may run.

    The attempts were counted anew once the run was being stopped, so that the
    refusal of the second start seemed to be that of the only one.
    """
    _lose_first_start_replies(site, monkeypatch, 1)
    node = site.find_leader()
    monkeypatch.setattr(
        worker_module.WorkerState,
        "start",
        lambda self, command, name, start=worker_module.WorkerState.start:
        start(self, command, name)
        if not self.runs else self._answer(ports.Verdict.NO_ROOM))
    site.submit("0" * 16, through=node.name, run_s=5.0)
    site.run(0.05)
    tracker = node.node._dispatcher._runs
    (claim,) = node.node._dispatcher.jobs["0" * 16].list_claims()
    ended = []
    monkeypatch.setattr(tracker, "_on_end",
                        lambda claim, end_state, why: ended.append(end_state))
    tracker._handle_start_reply(claim, "payload", 0.0,
                                ports.CommandReply(ports.Verdict.LOST))
    tracker.stop(claim, "cancelled")
    tracker._handle_start_reply(claim, "payload", 0.0,
                                ports.CommandReply(ports.Verdict.NO_ROOM, 1.0))
    assert ended == []
    site.run(1.0)
    assert ended == [ports.EndState.STOPPED]


def _write_odd_row(site, monkeypatch):
    """Writes a row of the workers' table on which the decoder raises."""
    decode = site.decode_worker

    def decode_or_raise(key, value):
        if key == "odd":
            raise KeyError(-1)
        return decode(key, value)

    for site_node in site.nodes.values():
        monkeypatch.setattr(site_node.node._platform_tables, "decode_worker",
                            decode_or_raise)
    site.tables.put("workers", "odd", b"odd")


def test_worker_row_that_cannot_be_decoded(site, monkeypatch):
    """Guards against the end of the watch of the workers.

    The leader took no notice of workers that joined after such a row.
    """
    _write_odd_row(site, monkeypatch)
    site.run(1.0)
    site.add_worker("w99", "r9")
    site.submit("0" * 16, tasks=5, run_s=1.0, max_per_worker=1)
    site.run(0.8)
    assert site.count_events("start") == 5


def test_leader_that_cannot_load_jobs_gives_up_the_lead(site, monkeypatch):
    """Guards against a leader that keeps the lead and schedules nothing."""
    site.submit("0" * 16, run_s=1.0)
    site.run(0.2)
    loads = []
    load = dispatcher.Dispatcher.load

    def load_or_raise(self, *rows):
        loads.append(self.epoch)
        if len(loads) == 1:
            raise OverflowError("test")
        load(self, *rows)

    monkeypatch.setattr(dispatcher.Dispatcher, "load", load_or_raise)
    site.kill(site.find_leader().name)
    site.run(9.0)
    assert len(loads) == 2
    name = site.find_leader().name
    assert site.ask_state("0" * 16, through=name) == "completed"


def test_job_that_cannot_be_planned_delays_no_other(site, monkeypatch):
    """Guards against rounds that end at one job, also after a takeover."""
    build_unit = rounds.RoundScheduler._build_unit

    def build_or_raise(self, inputs, job, *args):
        if job.job_id.startswith("a"):
            raise TypeError("test")
        return build_unit(self, inputs, job, *args)

    monkeypatch.setattr(rounds.RoundScheduler, "_build_unit", build_or_raise)
    site.submit("a" * 16)
    site.submit("0" * 16, run_s=0.5)
    site.run(1.5)
    assert site.ask_state("0" * 16) == "completed"
    assert site.ask_state("a" * 16) == "queued"


def test_job_row_that_cannot_be_applied(site, monkeypatch):
    """Guards against the end of the watch of the jobs on an odd row."""
    site.tables.put("intake", "job/" + "f" * 16, b"\xff\xff")
    estimator = estimate.Estimator
    record_job = estimator.record_job

    def record_or_raise(self, job):
        if job.job_id.startswith("a"):
            raise OverflowError("test")
        record_job(self, job)

    monkeypatch.setattr(estimator, "record_job", record_or_raise)
    site.submit("a" * 16)
    site.run(0.2)
    site.submit("0" * 16, run_s=0.5)
    site.run(1.5)
    assert site.ask_state("0" * 16) == "completed"


def test_watch_goes_on_after_an_exception(site):
    """Guards against a watch that ends with an exception of its callback.

    The rows are read anew: the callback may have processed a part of them.
    """
    seen = []

    def fail_once(rows):
        seen.append([row.key for row in rows.rows])
        if len(seen) == 2:
            raise ValueError("test")

    site_node = site.nodes["n0"]
    table_watch = site_node.node._start_watch("table", 1.0, fail_once,
                                              fail_once)
    site.run(0.5)
    assert table_watch.fresh_s > float("-inf")
    site.tables.put("table", "a", b"1")
    site.run(0.001)
    fresh_s = table_watch.fresh_s
    site.run(1.0)
    site.tables.put("table", "b", b"1")
    site.run(0.5)
    assert seen == [[], ["a"], ["a"], ["b"]]
    assert table_watch.fresh_s > fresh_s


@pytest.fixture
def slow_clock_site():
    """A site whose workers' clocks are as slow as the platform allows."""
    new_site = sites.Site()
    for worker_state in new_site.worker_states.values():
        worker_state.clock_rate = 0.98
    return new_site


def _stop_leader(site):
    leader = site.find_leader()
    leader.node.begin_stop(lambda: site.kill(leader.name))


def _find_busy_worker(site):
    return next(worker_state for worker_state in site.worker_states.values()
                if worker_state.runs)


@pytest.mark.parametrize("idle_s", [30.0, 90.0, 400.0])
def test_lease_on_an_old_clock_reading(slow_clock_site, idle_s):
    """Guards against a lease that is longer than the next leader assumes.

    The clock of a worker that had been idle for 84 s was extrapolated without
    regard to its drift. Its lease lasted 7.8 s; the leader after a planned stop
    started the runs again after 6.3 s.
    """
    site = slow_clock_site
    site.run(idle_s)
    site.submit("0" * 16, run_s=11.0)
    site.run(0.2)
    _find_busy_worker(site).reachable = False
    _stop_leader(site)
    site.run(30.0)
    assert site.find_violations() == []
    assert site.ask_state("0" * 16, site.find_leader().name) == "completed"


def test_start_after_a_long_idle_time_is_not_refused(site):
    """Guards against a lease that has ended when it arrives.

    The lease counts from the earliest time that the worker's clock can show.
    """
    for worker_state in site.worker_states.values():
        worker_state.clock_rate = 1.0
    site.run(900.0)
    site.submit("0" * 16, tasks=4, run_s=1.0)
    site.run(0.1)
    assert site.count_events("start") == 4


def _start_on_restarted_worker(site):
    """Has a start reach a process that its leader does not know of.

    Returns:
        The worker, which is cut off before the leader gets any reply.
    """
    site.run(60.0)
    worker_state = site.worker_states["w00"]
    for other in site.worker_states.values():
        if other is not worker_state:
            other.crash()
    site.run(4.0)
    worker_state.restart()
    leader = site.find_leader()
    leader.workers.loss_probability = 1.0
    site.submit("0" * 16, run_s=11.0)
    site.run(0.05)
    assert worker_state.runs
    worker_state.reachable = False
    for other in site.worker_states.values():
        if other is not worker_state:
            other.restart()
            site.register(other)
    leader.workers.loss_probability = 0.0
    return worker_state


def test_unanswered_start_on_a_restarted_worker(slow_clock_site):
    """Guards against a second start while the longest lease lasts.

    The new process took the end of the lease for one on its own clock and held
    the longest lease; the leader counted with its usual length.
    """
    site = slow_clock_site
    _start_on_restarted_worker(site)
    site.run(30.0)
    assert site.find_violations() == []
    assert site.ask_state("0" * 16) == "completed"


@pytest.mark.parametrize("stop", [
    _stop_leader,
    lambda site: site.kill(site.find_leader().name),
],
                         ids=["planned", "killed"])
def test_unanswered_start_on_a_restarted_worker_and_new_leader(
        slow_clock_site, stop):
    """Guards against the same second start by the next leader."""
    site = slow_clock_site
    _start_on_restarted_worker(site)
    stop(site)
    site.run(30.0)
    assert site.find_violations() == []
    assert site.ask_state("0" * 16, site.find_leader().name) == "completed"


def test_planned_stop_soon_after_a_takeover(site):
    """Guards against a bound that forgets the leader before the last one.

    A frozen leader renews leases for some time. The leader after it was stopped
    before that time was over, and the third one counted from that stop.
    """
    site.submit("0" * 16, run_s=20.0)
    site.run(0.5)
    first = site.find_leader()
    busy = _find_busy_worker(site)
    for site_node in site.nodes.values():
        if site_node is not first:
            site_node.workers.cut.add(busy.worker_id)
    # The first leader goes on without store and links, until its authority is
    # over.
    first.store.cut = True
    for site_node in site.nodes.values():
        site.cut_links.add(frozenset({first.name, site_node.name}))
    site.run(3.0)
    leaders = [
        site_node for site_node in site.nodes.values()
        if site_node.node.leading and site_node is not first
    ]
    assert len(leaders) == 1
    leaders[0].node.begin_stop(lambda: site.kill(leaders[0].name))
    site.run(40.0)
    assert site.find_violations() == []


def test_suspended_leader_sends_no_starts(site):
    """Guards against starts of a leader that woke up after the commit.

    Its worker may be out of reach of the next leader, whose bound on leases has
    passed by then.
    """
    leader = site.find_leader()
    site.submit("0" * 16, run_s=20.0, through=leader.name)
    # The claim is being written; its start would be sent after the answer.
    while not site.tables.rows.get("progress"):
        site.run(0.0005)
    assert site.count_events("start") == 0
    leader.host.frozen = True
    site.run(20.0)
    starts = site.count_events("start")
    leader.host.thaw()
    site.run(0.02)
    assert starts == 1
    site.run(1.0)
    assert leader.workers.sent_starts == 0


def test_planned_stop_waits_for_unanswered_starts(site):
    """Guards against a slow handover because a start is just under way."""
    site.submit("0" * 16, tasks=4, run_s=3.0)
    while not site.count_events("start"):
        site.run(0.0005)
    _stop_leader(site)
    site.run(0.6)
    assert site.find_leader() is not None
    site.run(6.0)
    name = site.find_leader().name
    assert site.ask_state("0" * 16, name) == "completed"
    assert site.count_events("start") == 4


@pytest.mark.parametrize("busy", [False, True], ids=["idle", "full"])
def test_wide_guaranteed_job_after_the_loss_of_workers(busy):
    """Guards against a job that no longer fits at once and never starts."""
    site = sites.Site(worker_count=6, guarantees={"team": 48})
    site.run(1.0)
    for name in ("w01", "w02"):
        site.worker_states[name].crash()
    site.run(8.0)
    if busy:
        site.submit("b" * 16, tasks=32, run_s=60.0)
        site.run(0.5)
    site.submit("0" * 16,
                tasks=6,
                run_s=1.0,
                queue=sites.URGENT_QUEUE,
                max_per_worker=1)
    site.run(1.0)
    assert site.count_events("start", "0" * 16) == 4
    site.run(3.0)
    assert site.ask_state("0" * 16) == "completed"


def _run_gang_on_failing_workers(site, failing_s, **fields):
    """Runs a gang whose members all fail in each run of a given time."""
    for worker_state in site.worker_states.values():
        worker_state.fails = True
    site.submit("0" * 16,
                tasks=4,
                run_s=1.0,
                gang=True,
                max_per_worker=1,
                **fields)
    site.run(failing_s)
    for worker_state in site.worker_states.values():
        worker_state.fails = False


def test_gang_whose_members_fail_together_has_failed_once(site):
    """Guards against a job that is shown as failed after its first run.

    Each member that failed was counted as an attempt of the gang.
    """
    _run_gang_on_failing_workers(site, 0.3)
    assert site.count_events("failed") == 4
    site.run(12.0)
    assert site.ask_state("0" * 16) == "completed"


def test_gang_that_fails_in_each_run_has_failed_in_the_end(site):
    """Guards against a gang that is started again without end."""
    queue = sites.QUEUE._replace(max_failures=3)
    _run_gang_on_failing_workers(site, 30.0, queue=queue)
    assert site.ask_state("0" * 16) == "failed"
    assert site.count_events("start") == 3 * 4


def test_failed_gang_is_counted_once_across_a_takeover(site):
    """Guards against the same count by the next leader.

    The other members of the run are found to have failed by that leader only.
    """
    reports = [site.worker_states[name] for name in ("w01", "w02", "w03")]
    site.submit("0" * 16, tasks=4, run_s=1.0, gang=True, max_per_worker=1)
    site.run(0.3)
    leader = site.find_leader()
    for worker_state in reports:
        leader.workers.cut.add(worker_state.worker_id)
    for worker_state in site.worker_states.values():
        worker_state.fails = True
    site.run(1.0)
    for worker_state in site.worker_states.values():
        worker_state.fails = False
    assert site.count_events("failed") == 4
    site.kill(leader.name)
    site.run(15.0)
    assert site.ask_state("0" * 16, site.find_leader().name) == "completed"


def _kill_leader(site):
    site.kill(site.find_leader().name)


def _freeze_leader(site):
    leader = site.find_leader()
    leader.host.frozen = True
    site.clock.schedule(7.0, leader.host.thaw)


@pytest.mark.parametrize("hit", [_kill_leader, _freeze_leader])
def test_lost_worker_is_given_up_although_leaders_are_lost_in_series(hit):
    """Guards against a wait for leases that each takeover begins anew."""
    site = sites.Site(node_count=5)
    site.run(1.0)
    site.submit("0" * 16, run_s=8.0)
    site.run(4.0)
    lost = _find_busy_worker(site)
    lost.crash()
    crashed_s = site.clock.now_s
    site.clock.schedule(40.0, lost.restart)
    for _ in range(3):
        hit(site)
        site.run(10.0)
    starts = [event for event in site.history if event.kind == "start"]
    assert len(starts) == 2
    longest_lease_s = fleet.compute_lease_duration_s(limits.Limits().bridge_s)
    assert starts[1].at_s - crashed_s < longest_lease_s + 1.5
    assert site.find_violations() == []


def test_silent_worker_keeps_its_runs_when_it_answers_again(site):
    """Guards against a lease that is never renewed after a long silence."""
    site.submit("0" * 16, run_s=12.0)
    site.run(0.5)
    worker_state = _find_busy_worker(site)
    worker_state.reachable = False
    site.run(4.0)
    assert site.tables.rows["leases"].get(f"worker/{worker_state.worker_id}")
    worker_state.reachable = True
    site.run(1.0)
    assert f"worker/{worker_state.worker_id}" not in site.tables.rows["leases"]
    site.run(8.0)
    assert site.ask_state("0" * 16) == "completed"
    assert site.count_events("start") == 1


def test_restart_of_a_leader_soon_after_a_takeover(site):
    """Guards against a bound that forgets the leader before the last one.

    A frozen leader renews leases for some time. The leader after it was killed
    and restarted before that time was over, and counted from its restart.
    """
    site.submit("0" * 16, run_s=25.0)
    site.run(5.0)
    first = site.find_leader()
    busy = _find_busy_worker(site)
    for site_node in site.nodes.values():
        if site_node is not first:
            site_node.workers.cut.add(busy.worker_id)
    first.store.cut = True
    for site_node in site.nodes.values():
        site.cut_links.add(frozenset({first.name, site_node.name}))
    site.run(3.0)
    second = next(site_node for site_node in site.nodes.values()
                  if site_node.node.leading and site_node is not first)
    site.kill(second.name)
    site.add_node(second.name).workers.cut.add(busy.worker_id)
    site.run(40.0)
    assert site.find_violations() == []


def test_busy_data_rack_does_not_hold_up_other_jobs():
    """Guards against jobs that stand for one full rack beside idle ones."""
    site = sites.Site(worker_count=8, per_rack=4)
    site.run(1.0)
    whole = sites.SMALL_DEMAND._replace(accelerators=8)
    for number in range(4):
        site.submit(f"{number:016x}", run_s=60.0, demand=whole, data_rack="r0")
    site.run(1.0)
    for number in range(4, 8):
        site.submit(f"{number:016x}", run_s=1.0, demand=whole, data_rack="r0")
    site.run(2.0)
    for number in range(4, 8):
        assert site.count_events("start", f"{number:016x}") == 1


def test_quarantined_worker_is_tried_by_work_that_needs_it():
    """Guards against jobs that stand for a quarantine of up to an hour."""
    site = sites.Site(per_rack=1)
    site.run(1.0)
    site.worker_states["w00"].fails = True
    for number in range(8):
        site.submit(f"{number:016x}", run_s=0.5, label="r0")
    site.run(6.0)
    site.worker_states["w00"].fails = False
    sound_s = site.clock.now_s
    names = [f"{number:016x}" for number in range(8, 16)]
    for name in names:
        site.submit(name, run_s=5.0, label="r0")
    site.run(5.0)
    starts_s = [
        event.at_s
        for event in site.history
        if event.kind == "start" and event.at_s > sound_s
    ]
    assert starts_s[0] - sound_s < 2.0
    assert all(site.count_events("start", name) for name in names)


def test_worker_that_goes_on_failing_is_tried_seldom():
    """Guards against a storm of starts on a worker that fails them all."""
    site = sites.Site(per_rack=1)
    site.run(1.0)
    site.worker_states["w00"].fails = True
    for number in range(100):
        site.submit(f"{number:016x}", run_s=0.5, label="r0")
    site.run(2.0)
    failed = site.count_events("failed")
    site.run(9.0)
    assert 3 <= site.count_events("failed") - failed <= 8


def test_last_retries_do_not_wait_longer_than_others():
    """Guards against 3 s without a run beside idle workers.

    The delay of a retry and the time for which it avoids workers with failures
    add up.
    """
    queue = sites.QUEUE._replace(max_failures=9)
    site = sites.Site(queues=(queue,))
    for worker_state in site.worker_states.values():
        worker_state.fails = True
    site.run(1.0)
    site.submit("0" * 16, queue=queue)
    site.run(20.0)
    times_s = [
        event.at_s
        for event in site.history
        if event.kind in ("start", "failed")
    ]
    waits_s = [
        start_s - failed_s
        for failed_s, start_s in zip(times_s[1::2], times_s[2::2], strict=False)
    ]
    assert len(waits_s) >= 6
    assert max(waits_s) < 2.8


def _run_until(site, condition, limit_s=20.0):
    """Advances the clock in small steps until a condition holds."""
    end_s = site.clock.now_s + limit_s
    while not condition():
        assert site.clock.now_s < end_s
        site.run(0.0005)


def _lose_worker_of_open_claim():
    """Loses a worker for good while the commit of a claim there is open.

    Returns:
        The site, on which two more jobs have claims in the same commit.
    """
    site = sites.Site(node_count=1, worker_count=3)
    site.run(30.0)
    dispatcher_ = site.find_leader().node._dispatcher
    tracked_workers = dispatcher_._fleet.tracked_workers
    for worker_id, tracked in tracked_workers.items():
        tracked.maybe_restarted = True
        site.worker_states[worker_id].reachable = False
    _run_until(
        site, lambda: all(tracked.reply_time.is_missing
                          for tracked in tracked_workers.values()))
    for number in range(3):
        site.submit(f"{number}" * 16, run_s=5.0, demand=sites.WORKER_CAPACITY)
    _run_until(site, lambda: "2" * 16 in dispatcher_.jobs)
    site.tables.down = True
    _run_until(
        site, lambda: sum(
            len(tracked.claims) for tracked in tracked_workers.values()) == 3)
    lost_id = next(dispatcher_.jobs["0" * 16].list_claims()).worker_id
    for worker_state in site.worker_states.values():
        worker_state.reachable = worker_state.worker_id != lost_id
    site.run(6.0)
    site.tables.put("workers", lost_id, None)
    site.worker_states[lost_id].alive = False
    site.run(0.6)
    site.tables.down = False
    return site


def test_worker_lost_before_its_claim_is_durable():
    """Guards against jobs that are claimed and never started.

    The start of a claim whose worker was gone failed, and with it the starts of
    all other jobs in the same transaction.
    """
    site = _lose_worker_of_open_claim()
    site.run(20.0)
    for number in range(3):
        assert site.ask_state(f"{number}" * 16) == "completed"
    assert site.find_violations() == []


def test_failing_callback_does_not_keep_others_from_running(site):
    """Guards against starts that are lost with an unrelated failure."""
    dispatcher_ = site.find_leader().node._dispatcher
    dispatcher_._ledger.call_after(lambda: [][0])
    site.submit("0" * 16, run_s=1.0)
    site.run(3.0)
    assert site.ask_state("0" * 16) == "completed"


def test_worker_that_is_silent_in_an_outage_keeps_its_runs(site):
    """Guards against leases that end because a row cannot be removed."""
    site.submit("0" * 16, run_s=25.0)
    site.run(5.0)
    worker_state = _find_busy_worker(site)
    site.tables.down = True
    site.run(0.5)
    worker_state.reachable = False
    site.run(3.0)
    worker_state.reachable = True
    site.run(5.5)
    site.tables.down = False
    site.run(20.0)
    assert site.count_events("lapsed") == 0
    assert site.count_events("start") == 1


def test_lease_is_renewed_as_soon_as_a_silent_worker_answers(site):
    """Guards against leases that end while an answer is waited for.

    The request that followed the first answer waited for an end, and the
    renewal was sent only after it.
    """
    site.submit("0" * 16, run_s=60.0)
    site.run(4.0)
    worker_state = _find_busy_worker(site)
    worker_state.reachable = False
    row = f"worker/{worker_state.worker_id}"
    _run_until(site, lambda: row in site.tables.rows["leases"])
    worker_state.reachable = True
    _run_until(site, lambda: row not in site.tables.rows["leases"])
    lease_end_ms = worker_state.lease_until_ms
    site.run(0.02)
    assert worker_state.lease_until_ms > lease_end_ms


def _make_previous_release(site_node):
    """Makes a node write and read no rows of leases, as in the last release."""
    store = site_node.store
    commit, read_all = store.commit, store.read_all

    def commit_without_leases(*, conditions, puts, removals, on_done):
        commit(conditions=conditions,
               puts={
                   name: value
                   for name, value in puts.items()
                   if name[0] != tables.LEASES
               },
               removals=[name for name in removals if name[0] != tables.LEASES],
               on_done=on_done)

    def read_all_without_leases(*, table, on_done):

        def handle(result):
            if table == tables.LEASES and isinstance(result, ports.Rows):
                result = result._replace(rows=[])
            on_done(result)

        read_all(table=table, on_done=handle)

    store.commit = commit_without_leases
    store.read_all = read_all_without_leases


def test_leader_of_the_previous_release_gave_longer_leases():
    """Guards against a second start in an upgrade, beside a leader cut off."""
    site = sites.Site(node_count=0, bounds=limits.Limits(bridge_s=1000.0))
    first = site.add_node("n0")
    _make_previous_release(first)
    site._bounds = limits.Limits()
    site.run(1.0)
    site.add_node("n1")
    site.add_node("n2")
    site.run(0.5)
    assert first.node.leading
    site.submit("0" * 16, run_s=25.0)
    site.run(5.0)
    busy = _find_busy_worker(site)
    first.store.cut = True
    for name in ("n1", "n2"):
        site.nodes[name].workers.cut.add(busy.worker_id)
        site.cut_links.add(frozenset({first.name, name}))
    site.run(40.0)
    assert site.find_violations() == []


def _read_epoch(site):
    return leadership.decode_leader(
        site.tables.rows["leader"]["leader"].value).epoch


def test_row_of_a_worker_that_the_previous_release_passed_over():
    """Guards against a second start after an upgrade in place.

    A leader of the release before renewed the lease of a worker beside its row.
    The next leader was killed before it had removed the row, and the one after
    it took the row for one of its predecessor.
    """
    site = sites.Site(node_count=1)
    site.run(1.0)
    site.submit("0" * 16, run_s=200.0)
    site.run(4.0)
    worker_state = _find_busy_worker(site)
    worker_state.reachable = False
    row = f"worker/{worker_state.worker_id}"
    _run_until(site, lambda: row in site.tables.rows["leases"])
    site.kill("n0")
    worker_state.reachable = True
    previous = site.add_node("n0")
    _make_previous_release(previous)
    site.run(25.0)
    assert previous.node.leading
    for number in range(1, 60):
        site.submit(f"{number:016x}", run_s=200.0)
        site.run(0.5)
        if worker_state.runs:
            break
    site.run(3.0)
    epoch = _read_epoch(site)
    site.kill("n0")
    site.add_node("n0")
    _run_until(site, lambda: _read_epoch(site) > epoch)
    site.kill("n0")
    site.add_node("n0").workers.cut.add(worker_state.worker_id)
    site.run(15.0)
    assert site.find_violations() == []


def test_lost_worker_is_given_up_although_leaders_live_briefly():
    """Guards against the same wait if no leader lives for two seconds."""
    site = sites.Site(node_count=15)
    site.run(1.0)
    site.submit("0" * 16, run_s=60.0)
    site.run(4.0)
    worker_state = _find_busy_worker(site)
    worker_state.reachable = False
    cut_s = site.clock.now_s
    for _ in range(10):
        _run_until(site, lambda: site.find_leader() is not None)
        site.run(1.5)
        _kill_leader(site)
    site.run(20.0)
    starts = [event for event in site.history if event.kind == "start"]
    # The first leader after the last one that reached the worker counts from
    # its own takeover.
    longest_lease_s = fleet.compute_lease_duration_s(limits.Limits().bridge_s)
    assert starts[1].at_s - cut_s < longest_lease_s + 4.0
    assert site.find_violations() == []


@pytest.mark.parametrize("silent_s", [0.0, 3.0])
def test_planned_stop_after_an_unnoticed_restart_of_a_worker(site, silent_s):
    """Guards against a release that tells nothing of a lease of 10 s.

    The start was answered by the new process, which took the end of the lease
    for one on its own clock.
    """
    site.run(30.0)
    for worker_state in site.worker_states.values():
        worker_state.restart()
    site.submit("0" * 16, run_s=60.0)
    _run_until(site, lambda: site.count_events("start"))
    worker_state = _find_busy_worker(site)
    site.run(0.5)
    worker_state.reachable = False
    site.run(silent_s)
    _stop_leader(site)
    site.run(20.0)
    assert site.find_violations() == []


def test_leader_suspended_between_its_claim_and_the_answer(site):
    """Guards against authority that counts from the end of a suspension.

    The leader renewed leases for as long again as its successor allows for.
    """
    epoch = _read_epoch(site)
    _kill_leader(site)
    _run_until(site, lambda: _read_epoch(site) > epoch)
    claimed_s = site.clock.now_s
    claimant = next(
        site_node for site_node in site.nodes.values()
        if site_node.host.alive and site_node.node._node_id == leadership.
        decode_leader(site.tables.rows["leader"]["leader"].value).node_id)
    claimant.host.frozen = True
    site.run(2.0)
    claimant.store.cut = True
    claimant.host.thaw()
    assert claimant.node.leading
    now_s = claimant.node._timers.read_clock()
    age_s = now_s - claimant.node._ledger.confirmed_s
    assert age_s >= site.clock.now_s - claimed_s


def test_end_of_leases_is_not_early_after_a_suspension():
    """Guards against a row that tells successors too early an end.

    The answer with the store's clock waited while the leader was suspended, and
    was taken for current.
    """
    site = sites.Site(node_count=1)
    site.run(1.0)
    site.submit("0" * 16, run_s=60.0)
    site.run(4.0)
    worker_state = _find_busy_worker(site)
    worker_id = worker_state.worker_id
    site_node = site.find_leader()
    worker_state.crash()
    tracked = site_node.node._dispatcher._fleet.tracked_workers[worker_id]
    _run_until(site, lambda: tracked.silent_since_s < float("inf"))
    version = site.tables.version
    _run_until(site, lambda: site.tables.version != version)
    site_node.host.frozen = True
    site.run(2.4)
    site_node.host.thaw()
    _run_until(site,
               lambda: f"worker/{worker_id}" in site.tables.rows[tables.LEASES])
    rows = site.tables.rows[tables.LEASES].values()
    end_ms = lapses.decode_rows(rows).workers[worker_id]
    left_s = tracked.lapse_s - site_node.node._timers.read_clock()
    assert (end_ms - site.tables.now_ms) / 1000.0 >= left_s - 0.01


def test_no_row_is_written_for_a_worker_with_a_long_id(site):
    """Guards against a transaction that the store refuses again and again."""
    worker_id = "w" * 200
    site.add_worker(worker_id, "r9")
    site.run(1.0)
    site.submit("0" * 16, run_s=30.0, label="r9")
    site.run(3.0)
    worker_state = site.worker_states[worker_id]
    assert worker_state.runs
    worker_state.reachable = False
    site.run(6.0)
    assert all(
        len(key) <= tables.MAX_KEY_BYTES
        for key in site.tables.rows[tables.LEASES])
