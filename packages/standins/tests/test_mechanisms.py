"""Tests that the checks report a violation if a safety mechanism is off.

Each scenario runs with the mechanism on and off. This guards against scenarios
and checks that cannot fail.
"""

import pytest

from trefoilroad_core import commits
from trefoilroad_core import events
from trefoilroad_core import trackedworkers
from trefoilroad_node import edge
from trefoilroad_node import region
from trefoilroad_replay import checker
from trefoilroad_standins import scenarios
from trefoilroad_standins import tasks
from trefoilroad_standins import worker_state

SEEDS = range(1, 7)


def run_scenario(actions, seed=1, workers=8, guarantee="match"):
    scenario = scenarios.Scenario(seed=seed)
    scenario.workers = workers
    # Requests that are not idempotent run only inside a guarantee.
    shape = scenarios.TEMPLATES[guarantee].shape
    scenario.teams["a"] = scenarios.Team(workers // shape.tasks, shape)
    scenario.start()
    for action in actions:
        scenario.perform(action)
    return scenario


def find_rules(actions, seeds=(1,), **fleet):
    """Returns the rules that are violated for any of the seeds."""
    lines = []
    for seed in seeds:
        lines += run_scenario(actions, seed, **fleet).find_violations()
    return {line.partition(":")[0] for line in lines}


@pytest.fixture
def without_epoch(monkeypatch):
    handle = worker_state.WorkerState.handle

    def forget_epoch(self, verb, body, now_s):
        self._epoch = 0
        return handle(self, verb, body, now_s)

    monkeypatch.setattr(worker_state.WorkerState, "handle", forget_epoch)


CUT_OWNER = ('"a" submits 16 "match" requests that run 4 s', "2 s pass",
             "the owner is cut off from the other nodes for 20 s",
             "the owner is cut off from the store for 20 s", "30 s pass")


def test_epochs_are_needed_against_a_replaced_owner(request):
    assert find_rules(CUT_OWNER, SEEDS) == set()
    request.getfixturevalue("without_epoch")
    assert checker.FENCING in find_rules(CUT_OWNER, SEEDS)


@pytest.fixture
def without_claim_conditions(monkeypatch):
    send = commits.Commits.send

    def send_unconditionally(self, job, commit):
        send(self, job, commit)
        if commit.kind is commits.CommitKind.CLAIM:
            *others, effect = self._ctx.take_effects()
            assert isinstance(effect, events.Commit)
            for other in others:
                self._ctx.emit(other)
            self._ctx.emit(effect._replace(conditions={}))

    monkeypatch.setattr(commits.Commits, "send", send_unconditionally)


DELAYED_NOTIFICATIONS = tuple(
    action for node in ("n1", "n2", "n3")
    for action in ("the next submitted message is delayed by 9 s",
                   f'"a" submits a "match" request "r-{node}" that runs 1 s '
                   f"through node {node}"))


def test_claim_conditions_are_needed_against_late_notifications(request):
    assert find_rules([*DELAYED_NOTIFICATIONS, "20 s pass"]) == set()
    request.getfixturevalue("without_claim_conditions")
    assert checker.AT_MOST_ONCE in find_rules(
        [*DELAYED_NOTIFICATIONS, "20 s pass"])


@pytest.fixture
def without_boot(monkeypatch):
    restart = worker_state.WorkerState.restart
    monkeypatch.setattr(
        worker_state.WorkerState, "restart",
        lambda self, boot, now_s: restart(self, self.boot, now_s))


RESTART = ('at the next "start command" that worker restarts',
           '"a" submits a "once" request "first" that runs 3 s')


def test_boot_ids_are_needed_against_restarts(request):
    assert find_rules(RESTART, guarantee="once") == set()
    request.getfixturevalue("without_boot")
    assert checker.AT_MOST_ONCE in find_rules(RESTART, guarantee="once")


@pytest.fixture
def without_reservation(monkeypatch):
    """Lets workers start attempts that were stopped or have lapsed."""
    start, reserve = (worker_state.WorkerState._start,
                      worker_state.WorkerState._reserve)
    reserved = {}

    def record_reservation(self, body, now_s, epoch):
        reserved[self.worker_id, body["attempt"]] = body
        return reserve(self, body, now_s, epoch)

    def start_anyway(self, body, now_s, epoch):
        reservation = reserved.get((self.worker_id, body["attempt"]))
        if reservation and body["attempt"] not in self._tasks:
            self._tombstones.pop(body["attempt"], None)
            reserve(self, {**reservation, "ttl_s": 1e6}, now_s, epoch)
        return start(self, body, now_s, epoch)

    monkeypatch.setattr(tasks.Capacity, "covers", lambda self, other: True)
    monkeypatch.setattr(worker_state.WorkerState, "_reserve",
                        record_reservation)
    monkeypatch.setattr(worker_state.WorkerState, "_start", start_anyway)


DELAYED_START = ("the next start command is delayed by 3 s",
                 '"a" submits a "once" request "first" that runs 2 s')


def test_reservations_are_needed_against_late_starts(request):
    assert find_rules(DELAYED_START, guarantee="once") == set()
    request.getfixturevalue("without_reservation")
    rules = find_rules(DELAYED_START, guarantee="once")
    assert rules & {checker.AT_MOST_ONCE, checker.NOT_RUN}


@pytest.fixture
def without_lease(monkeypatch):
    monkeypatch.setattr(
        worker_state.WorkerState, "_predict_end",
        lambda self, task: task.until_s
        if task.state == "reserved" else task.predict_end())


CUT_OFF_WORKER = ('"a" submits a "draft" request "long" that runs 60 s',
                  "3 s pass", 'the last worker of "long" is cut off',
                  "30 s pass")


def test_leases_are_needed_against_cut_off_workers(request):
    assert find_rules(CUT_OFF_WORKER) == set()
    request.getfixturevalue("without_lease")
    assert checker.PARTIAL_GANG in find_rules(CUT_OFF_WORKER)


DAMAGE = (
    'at the next "completed commit" the stored answer of "first" is damaged',
    '"a" submits a "match" request "first" that runs 1 s', "10 s pass")


def test_digests_are_needed_against_damaged_answers(monkeypatch):
    assert not run_scenario(DAMAGE).callers["first"].is_done
    monkeypatch.setattr(region, "is_whole", lambda data, answer: True)
    assert checker.ANSWER in find_rules(DAMAGE)


@pytest.fixture
def without_configuration_condition(monkeypatch):

    def send(self, item):
        item.tries += 1
        key = edge.REQUEST_KEY_PREFIX + item.record["request_id"]
        self.store.commit(
            {key: 0}, {key: item.record},
            lambda result: self._handle_commit_result(item, result))

    monkeypatch.setattr(edge.Edge, "_send", send)


FROZEN_NODE = (
    "node n3 is frozen for 5 s",
    '"a" submits a "draft" request "held" that runs 1 s through node n3 '
    "without retries", 'an operator removes template "draft" through node n1',
    "30 s pass")


def test_configuration_conditions_are_needed_against_thawed_nodes(request):
    assert run_scenario(FROZEN_NODE).count_attempts("held") == 0
    request.getfixturevalue("without_configuration_condition")
    assert run_scenario(FROZEN_NODE).count_attempts("held") == 1


@pytest.fixture
def without_marks(monkeypatch):
    monkeypatch.setattr(trackedworkers.TrackedWorker, "is_usable",
                        lambda self, now_s, max_silence_s: self.synced)
    monkeypatch.setattr(trackedworkers.TrackedWorkers, "is_leaving",
                        lambda self, worker_id: False)


LEAVING = ('"a" submits 5 "index" requests a second that run 0.8 s for 20 s',
           "5 s pass", "worker w001 is marked as leaving in the VM list",
           "15 s pass")


def test_marks_are_needed_against_work_on_leaving_workers(request):
    assert find_rules(LEAVING, workers=3) == set()
    request.getfixturevalue("without_marks")
    assert checker.LEAVING in find_rules(LEAVING, workers=3)


def test_cancelling_an_unrecorded_request_is_needed(monkeypatch):
    """A delayed submission must find the recorded cancellation."""
    actions = ("node n1 is frozen for 12 s",
               '"a" submits a "match" request "first" that runs 2 s through '
               "node n1 without retries", "5 s pass",
               'the caller of "first" switches to node n2', "30 s pass")
    assert find_rules(actions) == set()

    def respond_only(self, record, _):
        self._respond(edge.Response(202, edge.describe_record(record)))

    monkeypatch.setattr(edge.Cancellation, "_write", respond_only)
    assert checker.NOT_RUN in find_rules(actions)
