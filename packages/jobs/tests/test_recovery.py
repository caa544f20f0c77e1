"""Jobs survive the loss of any process; each test names what it prevents."""

import pytest

from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_standins.jobs import site as sites


@pytest.fixture
def site():
    made = sites.Site()
    made.run(1.0)
    return made


def _submit_many(site, count, **fields):
    for number in range(count):
        site.submit(f"{number:016x}", through=f"n{number % 3}", **fields)


def test_calm_day(site):
    """Guards against a broken whole path."""
    _submit_many(site, 6, tasks=3)
    site.run(6.0)
    for number in range(6):
        assert site.ask_state(f"{number:016x}") == "completed"
    assert site.count_events("start") == 18
    assert site.find_violations() == []


def test_leader_killed_while_tasks_run(site):
    """Guards against ends that are acknowledged before claims are known.

    A new leader that asked workers for reports before it had read the claims
    acknowledged the ends of unknown runs, and started these tasks again.
    """
    _submit_many(site, 6, tasks=3, run_s=1.0)
    site.run(0.8)
    leader = site.find_leader()
    site.kill(leader.name)
    site.run(10.0)
    other = site.find_leader()
    assert other is not None
    assert other is not leader
    for number in range(6):
        assert site.ask_state(f"{number:016x}",
                              through=other.name) == "completed"
    assert site.count_events("start") == 18
    assert site.find_violations() == []


def test_all_killed(site):
    """Guards against the loss of an accepted job when all processes die."""
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
    """Guards against the wait for a process that has ended for certain.

    After a loss of power everywhere nobody led for two seconds.
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
    """Guards against a wait for beats that adds to the wait for the row."""
    site.kill(site.find_leader().name)
    for name in list(site.nodes):
        site.kill(name)
    site.add_node("m0")
    site.run(2.0)
    assert site.find_leader() is not None


def test_leader_that_lost_its_place_does_not_take_it_back_at_once(site):
    """Guards against a process that takes its own row for an earlier one's."""
    leader = site.find_leader()
    epoch = leader.node.epoch
    leader.node._leadership.step_down("test")
    site.run(0.5)
    assert site.find_leader() is None
    site.run(4.0)
    assert site.find_leader().node.epoch > epoch


def test_frozen_leader_wakes_up(site):
    """Guards against orders of a leader that slept through its successor."""
    _submit_many(site, 4, tasks=2, run_s=3.0)
    site.run(0.6)
    leader = site.find_leader()
    leader.host.frozen = True
    site.run(5.0)
    assert site.find_leader() is not leader or leader.node.leading
    leader.host.thaw()
    _submit_many(site, 4, tasks=2, run_s=3.0)
    site.run(10.0)
    other = site.find_leader()
    assert other is not leader
    assert not leader.node.leading
    for number in range(4):
        assert site.ask_state(f"{number:016x}",
                              through=other.name) == "completed"
    assert site.find_violations() == []


def test_worker_begins_new_life_unnoticed(site):
    """Guards against ends of a new life that are forgotten unread.

    The numbers of ends start anew with each life. An acknowledgement that was
    meant for the old life had the worker forget the ends of the new one, and
    their tasks ran again.
    """
    _submit_many(site, 12, tasks=2, run_s=0.5)
    site.run(3.0)
    for machine in site.machines.values():
        machine.restart()
    for number in range(12, 18):
        site.submit(f"{number:016x}", tasks=2, run_s=0.5)
    site.run(6.0)
    assert site.count_events("start") == 36
    assert site.find_violations() == []


def test_worker_crashes_with_its_runs(site):
    """Guards against tasks that wait for ever for a worker that is gone."""
    site.submit("a" * 16, tasks=8, run_s=4.0)
    site.run(1.0)
    busy = {event.worker_id for event in site.history}
    for worker_id in busy:
        site.machines[worker_id].crash()
    site.run(16.0)
    assert site.ask_state("a" * 16) == "completed"
    assert site.find_violations() == []


def test_cancelled_job_stops(site):
    """Guards against work that goes on after its job was cancelled."""
    site.submit("a" * 16, tasks=4, run_s=20.0)
    site.run(1.0)
    site.cancel("a" * 16, through="n1")
    site.run(1.0)
    assert site.replies["a" * 16].outcome.name == "CANCELLED"
    assert site.ask_state("a" * 16) == "cancelled"
    assert all(not machine.runs for machine in site.machines.values())


def test_job_that_always_fails(site):
    """Guards against more runs than the queue allows."""
    site.submit("a" * 16, tasks=1, run_s=0.3, fails=True)
    site.run(10.0)
    assert site.ask_state("a" * 16) == "failed"
    assert site.count_events("start") == 3


def test_store_down_for_long(site):
    """Guards against runs that lapse while only the store is away."""
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
    """Guards against a job that runs twice because it was sent twice."""
    site.submit("a" * 16, tasks=2, through="n0")
    site.run(0.5)
    site.submit("a" * 16, tasks=2, through="n2")
    site.run(6.0)
    assert site.replies["a" * 16].outcome.name == "ACCEPTED"
    assert site.count_events("start") == 2


def test_worker_and_leader_lost_together(site):
    """Guards against tasks that wait for leases which nobody can have given.

    The new leader has no contact with the worker, so only the longest lease
    of the leader before tells when the runs there have ended.
    """
    site.submit("a" * 16, tasks=8, run_s=4.0)
    site.run(1.0)
    for worker_id in {event.worker_id for event in site.history}:
        site.machines[worker_id].crash()
    site.kill(site.find_leader().name)
    site.run(17.5)
    assert site.ask_state("a" * 16, site.find_leader().name) == "completed"
    assert site.find_violations() == []


def test_worker_lost_around_a_planned_stop(site):
    """Guards against the same wait after a leader gave up its place."""
    site.submit("a" * 16, tasks=8, run_s=4.0)
    site.run(1.0)
    for worker_id in {event.worker_id for event in site.history}:
        site.machines[worker_id].crash()
    leader = site.find_leader()
    leader.node.begin_stop(lambda: None)
    site.run(12.5)
    assert site.ask_state("a" * 16, site.find_leader().name) == "completed"
    assert site.find_violations() == []


def test_row_that_cannot_be_decoded_is_not_shown_as_absent(site):
    """Guards against a caller without any answer, or with a wrong one."""
    site.tables.put("intake", "job/" + "a" * 16, b"\xff\xff")
    site.run(0.5)
    assert site.ask_state("a" * 16) == "UNKNOWN"


def test_leader_that_the_store_turns_away_is_replaced_soon(site):
    """Guards against seconds without decisions beside a store that works.

    A leader that got 429 for seven seconds was replaced after 2.5 s.
    """
    leader = site.find_leader()
    leader.store.refused = True
    site.run(1.6)
    successor = site.find_leader()
    assert successor is not None
    assert successor is not leader
    assert site.find_violations() == []


def test_silent_store_of_the_leader_is_noticed_by_its_beats(site):
    """Guards against beats of a leader that cannot write any more."""
    leader = site.find_leader()
    leader.store.cut = True
    site.run(2.1)
    assert site.find_leader() not in (None, leader)


def test_store_that_turns_all_away_deposes_nobody(site):
    """Guards against changes of the leader that help nobody."""
    leader = site.find_leader()
    for node in site.nodes.values():
        node.store.refused = True
    site.run(4.0)
    assert site.find_leader() is leader


def test_lost_answer_to_a_start_does_not_hold_up_urgent_work(site):
    """Guards against a gang that waits for the timeouts of one member.

    Two timeouts of 0.8 s and the stops after them made urgent jobs late.
    """
    workers = site.find_leader().workers
    send = workers.start
    lost = []

    def start(worker, command, on_done):
        if not lost:
            lost.append(command)
            site.clock.schedule(
                limits.Limits().start_timeout_s,
                lambda: on_done(ports.Answer(ports.Verdict.LOST)))
            return
        send(worker, command, on_done)

    workers.start = start
    site.submit("0" * 16, tasks=3, run_s=1.0, queue=sites.URGENT_QUEUE)
    site.run(1.6)
    assert lost
    assert site.ask_state("0" * 16) == "completed"
    assert site.find_violations() == []


def test_work_on_a_hanging_worker_goes_elsewhere_soon(site):
    """Guards against urgent work that hangs, and hangs there again.

    Workers that hang were noticed after 3.5 s and got new work at once.
    """
    for number in range(4):
        site.submit(f"{number:016x}",
                    tasks=2,
                    run_s=2.0,
                    demand=sites.SMALL_DEMAND._replace(accelerators=4),
                    queue=sites.URGENT_QUEUE)
    site.run(0.5)
    bad = max(site.machines.values(), key=lambda machine: len(machine.runs))
    hung = len(bad.runs)
    assert hung
    bad.hangs = True
    site.run(3.0)
    assert site.count_events("stopped") == hung
    assert bad.runs == {}
    site.run(3.0)
    for number in range(4):
        assert site.ask_state(f"{number:016x}") == "completed"


def test_slow_long_work_is_not_taken_for_hanging(site):
    """Guards against stops of work that reports a percent every few seconds."""
    site.submit("0" * 16, run_s=300.0)
    site.run(40.0)
    assert site.count_events("stopped") == 0


def test_gang_is_not_stopped_while_a_member_is_being_started(site):
    """Guards against members that are taken for hanging while they wait."""
    workers = site.find_leader().workers
    send = workers.start
    lost = []

    def start(worker, command, on_done):
        if command.key.task == 0 and len(lost) < 2:
            lost.append(command)
            site.clock.schedule(
                limits.Limits().start_timeout_s,
                lambda: on_done(ports.Answer(ports.Verdict.LOST)))
            return
        send(worker, command, on_done)

    workers.start = start
    site.submit("0" * 16,
                tasks=2,
                run_s=4.0,
                gang=True,
                demand=sites.SMALL_DEMAND._replace(accelerators=8),
                queue=sites.URGENT_QUEUE)
    for machine in site.machines.values():
        machine.hangs = True
    site.run(1.6)
    for machine in site.machines.values():
        machine.hangs = False
    site.run(5.0)
    assert len(lost) == 2
    assert site.count_events("stopped") == 0
    assert site.ask_state("0" * 16) == "completed"


def test_finished_member_of_a_gang_is_not_taken_for_hanging(site):
    """Guards against gangs that are stopped when they are nearly done.

    A member that has reached 100% waits for the slower ones.
    """
    site.submit("0" * 16, tasks=2, run_s=10.0, gang=True)
    site.run(0.5)
    for machine in site.machines.values():
        machine.percent = 100
    site.run(8.0)
    assert site.count_events("stopped") == 0


def test_worker_that_fails_at_once_gets_nothing_new(site):
    """Guards against a worker that attracts all work by failing it fast."""
    bad = site.machines["w00"]
    bad.fails = True
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
    """Guards against a job that fails for good on two bad workers."""
    for name in ("w00", "w01"):
        site.machines[name].fails = True
    queue = sites.QUEUE._replace(max_failures=2)
    for number in range(4):
        site.submit(f"{number:016x}",
                    run_s=0.5,
                    demand=sites.SMALL_DEMAND._replace(accelerators=8),
                    queue=queue)
    site.run(6.0)
    for number in range(4):
        assert site.ask_state(f"{number:016x}") == "completed"


def test_jobs_that_always_fail_do_not_stop_the_fleet(site):
    """Guards against sound jobs that wait because all workers are suspected."""
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
    """Guards against a retry that stands still beside idle workers."""
    for machine in site.machines.values():
        machine.fails = True
    queue = sites.QUEUE._replace(max_failures=9)
    for number in range(4):
        site.submit(f"{number:016x}", tasks=4, run_s=0.5, queue=queue)
    site.run(1.0)
    for machine in site.machines.values():
        machine.fails = False
    site.run(4.0)
    for number in range(4):
        assert site.ask_state(f"{number:016x}") == "completed"
