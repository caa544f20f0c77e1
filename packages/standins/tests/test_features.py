"""Steps of the scenarios that prove the invariants P1 to P8 under failure.

Each sentence after When is an action of trefoilroad_standins.scenes; after
Then, only histories of workers and what callers and operators were told are
read.
"""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_node import publication
from trefoilroad_standins import scenes

pytest_bdd.scenarios("features")

RESULTS = {
    "accepted": publication.PublishedConfiguration,
    "refused with findings": errors.InvalidDocuments,
    "refused as a clash": publication.PublishConflict
}


@pytest.fixture
def scene():
    return scenes.Scene()


@pytest_bdd.given(
    parsers.parse("a fleet of {workers:d} workers in racks of {per_rack:d}"))
def build_fleet(scene, workers, per_rack):
    scene.workers, scene.per_rack = workers, per_rack


@pytest_bdd.given(parsers.parse("the VM list lags {lag_s:g} s"))
def set_lag(scene, lag_s):
    scene.vm_lag_s = lag_s


@pytest_bdd.given(
    parsers.parse('team "{name}" with a guarantee of {gangs:d} gangs of '
                  "{tasks:d} x {accelerators:d} accelerators"))
def add_team(scene, name, gangs, tasks, accelerators):
    scene.teams[name] = scenes.Team(gangs, request.Shape(tasks, accelerators))


@pytest_bdd.given(parsers.parse('team "{name}" without a guarantee'))
def add_plain_team(scene, name):
    scene.teams[name] = scenes.Team()


@pytest_bdd.given("the configuration is in force")
def begin(scene):
    scene.begin()


@pytest_bdd.when(parsers.re("(?P<sentence>.+)"))
def act(scene, sentence):
    scene.act(sentence)


@pytest_bdd.then(parsers.re(r'"(?P<name>[\w-]+)" ends as "(?P<state>\w+)"'))
def check_state(scene, name, state):
    assert scene.settle_one(name) == state


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" ends as "(?P<state>\w+)" with ran '
               r'"(?P<ran>\w+)"'))
def check_ran(scene, name, state, ran):
    assert scene.settle_one(name) == state
    assert scene.callers[name].told[-1]["ran"] == ran


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" completes with its own answer'))
def check_answer(scene, name):
    assert scene.settle_one(name) == "completed"
    last = scene.callers[name].told[-1]
    assert last["digest"] == last["expected"]


@pytest_bdd.then(parsers.re(r'"(?P<name>[\w-]+)" is told "(?P<outcome>\w+)"'))
def check_told(scene, name, outcome):
    assert outcome in [line["outcome"] for line in scene.callers[name].told]


@pytest_bdd.then(parsers.re(r'"(?P<name>[\w-]+)" has no outcome yet'))
def check_open(scene, name):
    assert not scene.callers[name].is_done


@pytest_bdd.then(parsers.re(r'every request ends as "(?P<state>\w+)"'))
def check_states(scene, state):
    scene.settle()
    outcomes = {str(caller.outcome) for caller in scene.callers.values()}
    assert outcomes == {state}


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" was started as (?P<count>\d+) attempts?'))
def check_attempts(scene, name, count):
    assert scene.count_attempts(name) == int(count)


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" starts within (?P<limit_s>[\d.]+) s'))
def check_start(scene, name, limit_s):
    scene.world.run(float(limit_s))
    assert scene.measure_start(name) <= float(limit_s)


@pytest_bdd.then(parsers.parse("nothing that ran was cut short"))
def check_uncut(scene):
    assert scene.find_cut_short() == []


@pytest_bdd.then(
    parsers.re(r'worker (?P<worker>\w+) had started something before'))
def check_had_work(scene, worker):
    assert any(line["event"] == "start" and line["worker"] == worker
               for line in scene.world.history)


@pytest_bdd.then(
    parsers.re(r"worker (?P<worker>\w+) starts nothing after the drain"))
def check_drained(scene, worker):
    # What was claimed just before is started a few messages later.
    end_s = scene.drained_s[200] + 0.05
    assert not [
        line for line in scene.world.history if line["event"] == "start" and
        line["worker"] == worker and line["at_s"] > end_s
    ]


@pytest_bdd.then(
    parsers.re(r"no task runs on (?P<worker>worker \w+|the (?:last )?worker of "
               r'"[^"]+")'))
def check_idle(scene, worker):
    name = scene.name_worker(worker)
    ends = ("finish", "fail", "stop", "lapse")
    lines = [line for line in scene.world.history if line["worker"] == name]
    running = {line["attempt"] for line in lines if line["event"] == "start"}
    assert running
    assert running <= {
        line["attempt"] for line in lines if line["event"] in ends
    }


@pytest_bdd.then(parsers.re(r"the last publish is (?P<result>[\w ]+)"))
def check_publish(scene, result):
    assert isinstance(scene.published[-1], RESULTS[result])


@pytest_bdd.then("one publish is accepted and the other refused as a clash")
def check_two(scene):
    results = [type(result) for result in scene.published[-2:]]
    assert set(results) == {
        publication.PublishedConfiguration, publication.PublishConflict
    }
    clash = next(result for result in scene.published[-2:]
                 if isinstance(result, publication.PublishConflict))
    assert clash.keys


@pytest_bdd.then("the history shows no violation")
def check_history(scene):
    assert not scene.pending_steps
    assert scene.judge() == []
