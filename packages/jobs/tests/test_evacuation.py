"""Tests of the evacuation of failure domains."""

import pytest
import structlog

from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_standins.jobs import fault_schedule
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import tables as row_tables
from trefoilroad_standins.jobs import workers as worker_module

WHOLE = sites.WORKER_CAPACITY
JOB = "0" * 16
# Request of the platform: time after which the bound holds.
EVACUATION_S = 5.0
# Request and withdrawal amid random faults.
REQUEST_S = 4.0
WITHDRAWAL_S = 22.0
BOUNDS = limits.Limits(evacuation_s=EVACUATION_S)


class _SentStarts:
    """Start commands in the order in which nodes send them."""

    def __init__(self, *, monkeypatch):
        self.sent = []
        send = worker_module.NodeWorkers.start

        def start(node_workers, worker, command, **options):
            self.sent.append((node_workers._host.clock.now_s,
                              worker.failure_domain, command))
            send(node_workers, worker, command, **options)

        monkeypatch.setattr(worker_module.NodeWorkers, "start", start)

    def count(self, domain, after_s=0.0):
        return sum(sent_domain == domain and at_s >= after_s
                   for at_s, sent_domain, _ in self.sent)


@pytest.fixture
def starts(monkeypatch):
    return _SentStarts(monkeypatch=monkeypatch)


def _build_site(node_count=1, bounds=BOUNDS, **fields):
    """Returns a site with w00 and w01 in domain a, w02 and w03 in b."""
    site = sites.Site(node_count=node_count, bounds=bounds, **fields)
    for worker_id, worker_state in site.worker_states.items():
        worker_state.failure_domain = "a" if worker_id < "w02" else "b"
    site.run(2.0)
    return site


def _run_until(site, condition, limit_s=20.0):
    """Advances the clock in small steps until a condition holds."""
    end_s = site.clock.now_s + limit_s
    while not condition():
        assert site.clock.now_s < end_s
        site.run(0.0005)


def _find_dispatcher(site):
    return site.find_leader().node._dispatcher


def _list_claims(site, job_id=JOB):
    return list(_find_dispatcher(site).jobs[job_id].list_claims())


def _find_domains(site, claims):
    return {
        site.worker_states[claim.worker_id].failure_domain for claim in claims
    }


def _claim_all(site, job_id=JOB, **fields):
    """Submits a job of four whole workers and holds up the commit's reply."""
    store = site.find_leader().store
    dispatcher_ = _find_dispatcher(site)
    fields = {"tasks": 4, "demand": WHOLE, "run_s": 1.0} | fields
    site.submit(job_id, through=site.find_leader().name, **fields)
    _run_until(site, lambda: job_id in dispatcher_.jobs)
    store.loss_probability = 1.0
    _run_until(site, lambda: any(dispatcher_.jobs[job_id].list_claims()))
    assert _find_domains(site, _list_claims(site, job_id)) == {"a", "b"}


def _silence_feed(site, monkeypatch):
    """Has all reads of the configuration table fail from now on.

    Returns:
        A function that ends the fault.
    """
    silent = [True]
    for name in ("watch", "read_all"):
        original = getattr(row_tables.NodeStore, name)

        def call(store, *, table, on_done, original=original, **options):
            if not silent or table != "config":
                original(store, table=table, on_done=on_done, **options)
                return
            failed = ports.StoreFailed("timeout", maybe_written=False)
            store._host.clock.schedule(
                1.0, lambda: store._host.deliver(lambda: on_done(failed)))

        monkeypatch.setattr(row_tables.NodeStore, name, call)
    return silent.clear


# Placement.


def test_nothing_is_placed_in_an_evacuated_domain(starts):
    """Guards against tasks that rounds place on evacuated workers."""
    site = _build_site()
    site.evacuate("a")
    site.run(0.1)
    site.submit(JOB, tasks=8, demand=WHOLE, run_s=0.5)
    site.run(5.0)
    assert site.ask_state(JOB) == "completed"
    assert starts.count("a") == 0
    assert starts.count("b") == 8


def test_running_tasks_continue_to_their_ends():
    """Guards against an evacuation that stops tasks or lets leases end."""
    site = _build_site()
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=15.0)
    site.run(1.0)
    site.evacuate("a")
    site.run(18.0)
    assert site.ask_state(JOB) == "completed"
    assert site.count_events("done") == 4
    assert site.count_events("stopped") == site.count_events("lapse") == 0


def test_two_domains_and_all_domains(starts):
    """Guards against starts while every domain is evacuated, or only one is.

    Each request holds until its own row is removed.
    """
    site = _build_site()
    with structlog.testing.capture_logs() as logs:
        site.evacuate("a")
        site.evacuate("b")
        site.run(0.1)
        site.submit(JOB, tasks=2, demand=WHOLE, run_s=0.5)
        site.run(10.0)
    assert not starts.sent
    errors = [line for line in logs if line["log_level"] == "error"]
    assert [line["event"] for line in errors
           ] == ["all workers are evacuated, nothing starts"]
    site.withdraw_evacuation("b")
    site.run(3.0)
    assert site.ask_state(JOB) == "completed"
    assert starts.count("a") == 0


def test_withdrawal(starts):
    """Guards against workers that stay unused after the withdrawal."""
    site = _build_site()
    with structlog.testing.capture_logs() as logs:
        site.evacuate("a")
        site.run(0.1)
        site.submit(JOB, tasks=4, demand=WHOLE, run_s=3.0)
        site.run(1.0)
        assert starts.count("a") == 0
        site.withdraw_evacuation("a")
        site.run(0.1)
    assert starts.count("a") == 2
    lines = [line for line in logs if line["event"].startswith("evacuation ")]
    assert [(line["event"], line["domain"], line["workers"], line["runs"])
            for line in lines] == [("evacuation requested", "a", 2, 0),
                                   ("evacuation withdrawn", "a", 2, 0)]
    assert lines[0]["version"] < lines[1]["version"]


def test_domain_without_workers(starts):
    """Guards against a mistyped domain that changes more than the log."""
    site = _build_site()
    with structlog.testing.capture_logs() as logs:
        site.evacuate("c")
        site.run(3.0)
        site.submit(JOB, tasks=4, demand=WHOLE, run_s=0.5)
        site.run(1.0)
    assert len(starts.sent) == 4
    lines = [
        line for line in logs
        if line["event"] == "evacuated domain has no workers"
    ]
    assert [line["key"] for line in lines] == ["evacuate/c"]


def test_worker_that_moves_into_an_evacuated_domain(starts):
    """Guards against a domain that is judged by an old registration."""
    site = _build_site()
    site.evacuate("a")
    site.run(0.1)
    for worker_id in ("w02", "w03"):
        worker_state = site.worker_states[worker_id]
        worker_state.failure_domain = "a"
        worker_state.restart()
        site.register(worker_state)
    site.run(0.5)
    site.submit(JOB, demand=WHOLE)
    site.run(5.0)
    assert not starts.sent


# Starts that were claimed before.


def test_start_claimed_before_the_request(starts):
    """Guards against a start that is sent after the request took effect.

    The reply to the commit of the claims was lost, so that the starts were only
    sent when the commit was repeated.
    """
    site = _build_site()
    _claim_all(site)
    site.evacuate("a")
    site.run(0.2)
    site.find_leader().store.loss_probability = 0.0
    with structlog.testing.capture_logs() as logs:
        site.run(6.0)
    assert starts.count("a") == 0
    assert site.ask_state(JOB) == "completed"
    step = _find_dispatcher(site).jobs[JOB].get_step(0, 0)
    assert not step.failures
    ends = [line for line in logs if line["event"] == "run ended"]
    assert [line["how"] for line in ends].count("not run") == 2
    assert [line["event"] for line in logs].count("start withheld") == 2


def test_unanswered_start_is_not_repeated(starts):
    """Guards against repeats that begin a run after the bound.

    The first start is carried out late. The run has to be stopped, and the task
    must not run elsewhere before that is certain.
    """
    site = _build_site()
    node = site.find_leader()
    node.workers.command_loss_probability = 1.0
    node.workers.lost_call_delay_s = 2.5
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=1.0)
    _run_until(site, lambda: len(starts.sent) == 4)
    site.evacuate("a")
    site.run(2.0)
    claims = [
        claim for claim in _list_claims(site)
        if site.worker_states[claim.worker_id].failure_domain == "a"
    ]
    assert [claim.phase for claim in claims] == [progress.Phase.STOPPING] * 2
    assert starts.count("a") == 2
    node.workers.command_loss_probability = 0.0
    site.run(15.0)
    assert starts.count("a") == 2
    assert site.ask_state(JOB) == "completed"
    assert site.find_violations() == []


@pytest.mark.parametrize("domain", ["a", "b"])
def test_gang_with_a_task_that_cannot_be_sent(starts, domain):
    """Guards against a gang of which only a part is started.

    The task that cannot be sent is among the first or the last ones.
    """
    site = _build_site()
    _claim_all(site, gang=True)
    site.evacuate(domain)
    site.run(0.2)
    site.find_leader().store.loss_probability = 0.0
    site.run(4.0)
    assert not starts.sent
    assert not _list_claims(site)
    site.withdraw_evacuation(domain)
    site.run(4.0)
    assert site.ask_state(JOB) == "completed"
    step = _find_dispatcher(site).jobs[JOB].get_step(0, 0)
    assert not step.failures


def test_gang_with_a_task_whose_start_cannot_be_repeated(starts):
    """Guards against running tasks that wait for one that is being stopped.

    The worker in the evacuated domain is lost, so that the end of its task is
    certain only after its lease. The others must free their workers before.
    """
    site = _build_site()
    site.worker_states["w00"].reachable = False
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=30.0, gang=True)
    _run_until(site, lambda: len(starts.sent) == 4)
    site.evacuate("a")
    site.run(1.5)
    claims = _list_claims(site)
    assert [claim.worker_id for claim in claims] == ["w00"]
    assert claims[0].phase is progress.Phase.STOPPING
    assert site.count_events("stopped") == 3


# Takeovers and failures of the store.


def test_takeover_with_unsent_starts(starts):
    """Guards against a new leader that starts tasks before it has the set.

    It recovers claims whose starts were never sent, and places their tasks
    anew.
    """
    site = _build_site(node_count=3)
    _claim_all(site)
    site.evacuate("a")
    killed_s = site.clock.now_s
    site.kill(site.find_leader().name)
    site.run(15.0)
    assert starts.count("a", killed_s) == 0
    through = site.find_leader().name
    assert site.ask_state(JOB, through) == "completed"
    assert site.find_violations() == []


def test_new_leader_has_the_set_at_its_first_round(starts):
    """Guards against rounds of a new leader before the next look at the feed.

    It has known the request for long, and its feed brings no change of it.
    """
    site = _build_site(node_count=3, bounds=limits.Limits())
    site.evacuate("a")
    site.run(2.0)
    leader = site.find_leader()
    site.kill(leader.name)
    through = next(name for name in site.nodes if name != leader.name)
    site.submit(JOB, through=through, tasks=4, demand=WHOLE, run_s=1.0)
    site.run(8.0)
    assert starts.count("b") == 4
    assert starts.count("a") == 0


def test_new_leader_waits_for_the_first_snapshot(starts, monkeypatch):
    """Guards against starts of a leader that cannot read the requests yet."""
    restore = _silence_feed(None, monkeypatch)
    site = _build_site()
    site.evacuate("a")
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=0.5)
    site.run(6.0)
    assert _find_dispatcher(site).ready
    assert not starts.sent
    restore()
    site.run(5.0)
    assert site.ask_state(JOB) == "completed"
    assert starts.count("a") == 0


def test_frozen_leader_that_wakes_up(starts):
    """Guards against starts of a leader that slept through the request.

    It wakes within the time for which its last commit proves its leadership.
    """
    bounds = limits.Limits(evacuation_s=2.0)
    site = _build_site(node_count=3, bounds=bounds)
    leader = site.find_leader()
    _claim_all(site)
    leader.store.loss_probability = 0.0
    _run_until(site, lambda: site.tables.rows.get("progress"))
    leader.host.frozen = True
    site.evacuate("a")
    requested_s = site.clock.now_s
    site.run(4.0)
    leader.host.thaw()
    site.run(10.0)
    assert starts.count("a", requested_s + bounds.evacuation_s) == 0
    assert site.find_violations() == []


@pytest.mark.parametrize("outage_s", [0.5, 3.0, 8.0])
def test_store_outage_around_the_request(starts, outage_s):
    """Guards against claims of before an outage that are started after it."""
    site = _build_site()
    _claim_all(site, tasks=24)
    site.find_leader().store.loss_probability = 0.0
    site.tables.down = True
    site.evacuate("a")
    requested_s = site.clock.now_s
    site.run(outage_s)
    site.tables.down = False
    site.run(20.0)
    assert starts.count("a", requested_s + EVACUATION_S) == 0
    assert site.ask_state(JOB) == "completed"
    assert site.find_violations() == []


def test_silent_feed(starts, monkeypatch):
    """Guards against starts of a leader that cannot see new requests.

    The store is healthy otherwise, so that commits succeed.
    """
    site = _build_site()
    restore = _silence_feed(site, monkeypatch)
    site.evacuate("a")
    site.run(EVACUATION_S + 1.5)
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=0.5)
    with structlog.testing.capture_logs() as logs:
        site.run(5.0)
    assert not starts.sent
    waits = [line for line in logs if line["event"] == "job waits"]
    assert {(line["reason"], line["why"]) for line in waits
           } == {("rounds suspended", "evacuations not read recently")}
    restore()
    site.run(4.0)
    assert site.ask_state(JOB) == "completed"
    assert starts.count("a") == 0


def test_start_claimed_before_the_feed_fell_silent(starts, monkeypatch):
    """Guards against late starts of a leader whose look at the set is old."""
    site = _build_site()
    _claim_all(site)
    restore = _silence_feed(site, monkeypatch)
    site.run(EVACUATION_S + 1.5)
    site.evacuate("a")
    site.find_leader().store.loss_probability = 0.0
    site.run(3.0)
    assert not starts.sent
    assert not _list_claims(site)
    restore()
    site.run(4.0)
    assert site.ask_state(JOB) == "completed"
    assert starts.count("a") == 0


def test_silent_feed_without_the_setting(starts, monkeypatch):
    """Guards against a change for deployments without the setting."""
    site = _build_site(bounds=limits.Limits())
    _silence_feed(site, monkeypatch)
    site.run(8.0)
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=0.5)
    site.run(1.0)
    assert len(starts.sent) == 4


def test_quiet_feed_keeps_the_set_fresh(starts):
    """Guards against suspended rounds while no row of the table changes."""
    site = _build_site()
    site.run(20.0)
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=0.5)
    site.run(0.5)
    assert len(starts.sent) == 4


def test_rows_that_cannot_be_decoded(starts, monkeypatch):
    """Guards against a watch that ends, and against starts meanwhile."""
    site = _build_site()
    (site_node,) = site.nodes.values()
    decode = site_node.node._platform_tables.decode_evacuations

    def fail(rows):
        raise RuntimeError("for the test")

    site_node.node._platform_tables.decode_evacuations = fail
    site.evacuate("a")
    site.run(EVACUATION_S + 1.0)
    site.submit(JOB, tasks=4, demand=WHOLE, run_s=0.5)
    site.run(3.0)
    assert not starts.sent
    site_node.node._platform_tables.decode_evacuations = decode
    site.run(5.0)
    assert site.ask_state(JOB) == "completed"
    assert starts.count("a") == 0


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_around_requests(starts, monkeypatch, seed):
    """Guards against a start after the bound in any mixture of failures.

    Leaders also send nothing late that are cut off from the store.
    """
    monkeypatch.setattr(fault_schedule.sites.limits, "Limits", lambda: BOUNDS)
    schedule = fault_schedule.FaultSchedule(seed=seed)
    site = schedule.site
    monkeypatch.undo()
    recorded = []
    send = worker_module.NodeWorkers.start

    def start(node_workers, worker, command, **options):
        leader = next(node for node in site.nodes.values()
                      if node.workers is node_workers)
        recorded.append((site.clock.now_s, worker.failure_domain, leader.name))
        send(node_workers, worker, command, **options)

    monkeypatch.setattr(worker_module.NodeWorkers, "start", start)
    for number, worker_state in enumerate(site.worker_states.values()):
        worker_state.failure_domain = "ab"[number % 2]
    # The check of idle jobs does not know that rooms are evacuated.
    monkeypatch.setattr(schedule.observer, "find_idle_jobs", lambda *_: [])
    site.clock.schedule(REQUEST_S, lambda: site.evacuate("a"))
    site.clock.schedule(WITHDRAWAL_S, lambda: site.withdraw_evacuation("a"))
    violations = schedule.run()
    assert violations == []
    assert recorded
    late = [
        start for start in recorded if start[1] == "a" and REQUEST_S +
        EVACUATION_S < start[0] < WITHDRAWAL_S
    ]
    assert late == []


def test_job_for_an_evacuated_worker_is_accepted():
    """Guards against a refusal of a job that can run after the withdrawal."""
    site = _build_site()
    large = WHOLE._replace(accelerators=16)
    site.worker_states["w00"].capacity = large
    site.worker_states["w00"].restart()
    site.register(site.worker_states["w00"])
    site.run(1.0)
    site.evacuate("a")
    site.run(2.0)
    site.submit(JOB, demand=large, run_s=0.5)
    site.run(4.0)
    assert site.replies[JOB].outcome.name == "ACCEPTED"
    assert not site.count_events("start")
    site.withdraw_evacuation("a")
    site.run(2.0)
    assert site.ask_state(JOB) == "completed"
