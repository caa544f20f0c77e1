"""Steps of the scenarios that check the invariants P1 to P8 under faults.

Each step after When is an action of trefoilroad_standins.scenarios. The steps
after Then read only the histories of workers and the responses that callers and
operators received.
"""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_node import publication
from trefoilroad_standins import scenarios

pytest_bdd.scenarios("features")

RESULTS = {
    "accepted": publication.PublishedConfiguration,
    "refused with findings": errors.InvalidDocuments,
    "refused as a conflict": publication.PublishConflict
}


@pytest.fixture
def scenario():
    return scenarios.Scenario()


@pytest_bdd.given(
    parsers.parse("a fleet of {workers:d} workers in racks of {per_rack:d}"))
def build_fleet(scenario, workers, per_rack):
    scenario.workers, scenario.per_rack = workers, per_rack


@pytest_bdd.given(parsers.parse("the VM list lags {lag_s:g} s"))
def set_lag(scenario, lag_s):
    scenario.vm_lag_s = lag_s


@pytest_bdd.given(
    parsers.parse('team "{name}" with a guarantee of {gangs:d} gangs of '
                  "{tasks:d} x {accelerators:d} accelerators"))
def add_team(scenario, name, gangs, tasks, accelerators):
    scenario.teams[name] = scenarios.Team(gangs,
                                          request.Shape(tasks, accelerators))


@pytest_bdd.given(parsers.parse('team "{name}" without a guarantee'))
def add_plain_team(scenario, name):
    scenario.teams[name] = scenarios.Team()


@pytest_bdd.given("the configuration is in force")
def start(scenario):
    scenario.start()


@pytest_bdd.when(parsers.re("(?P<sentence>.+)"))
def act(scenario, sentence):
    scenario.perform(sentence)


@pytest_bdd.then(parsers.re(r'"(?P<name>[\w-]+)" ends as "(?P<state>\w+)"'))
def check_state(scenario, name, state):
    assert scenario.wait_for_outcome(name) == state


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" ends as "(?P<state>\w+)" with ran '
               r'"(?P<ran>\w+)"'))
def check_ran(scenario, name, state, ran):
    assert scenario.wait_for_outcome(name) == state
    assert scenario.callers[name].observations[-1]["ran"] == ran


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" completes with its own answer'))
def check_answer(scenario, name):
    assert scenario.wait_for_outcome(name) == "completed"
    last = scenario.callers[name].observations[-1]
    assert last["digest"] == last["expected"]


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" is reported as "(?P<outcome>\w+)"'))
def check_reported(scenario, name, outcome):
    assert outcome in [
        line["outcome"] for line in scenario.callers[name].observations
    ]


@pytest_bdd.then(parsers.re(r'"(?P<name>[\w-]+)" has no outcome yet'))
def check_open(scenario, name):
    assert not scenario.callers[name].is_done


@pytest_bdd.then(parsers.re(r'every request ends as "(?P<state>\w+)"'))
def check_states(scenario, state):
    scenario.wait_for_outcomes()
    outcomes = {str(caller.outcome) for caller in scenario.callers.values()}
    assert outcomes == {state}


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" was started as (?P<count>\d+) attempts?'))
def check_attempts(scenario, name, count):
    assert scenario.count_attempts(name) == int(count)


@pytest_bdd.then(
    parsers.re(r'"(?P<name>[\w-]+)" starts within (?P<limit_s>[\d.]+) s'))
def check_start(scenario, name, limit_s):
    scenario.cluster.run(float(limit_s))
    assert scenario.measure_start_delay(name) <= float(limit_s)


@pytest_bdd.then(parsers.parse("no started task ended early"))
def check_not_interrupted(scenario):
    assert scenario.find_interrupted() == []


@pytest_bdd.then(parsers.re(r'worker (?P<worker>\w+) has started a task'))
def check_has_started(scenario, worker):
    assert any(line["event"] == "start" and line["worker"] == worker
               for line in scenario.cluster.history)


@pytest_bdd.then(
    parsers.re(r"worker (?P<worker>\w+) starts no task after the drain"))
def check_drained(scenario, worker):
    # A gang that was claimed just before the drain is started a few messages
    # later.
    end_s = scenario.drain_answered_s[200] + 0.05
    assert not [
        line for line in scenario.cluster.history if line["event"] == "start"
        and line["worker"] == worker and line["at_s"] > end_s
    ]


@pytest_bdd.then(
    parsers.re(r"no task runs on (?P<worker>worker \w+|the (?:last )?worker of "
               r'"[^"]+")'))
def check_idle(scenario, worker):
    name = scenario.resolve_worker(worker)
    ends = ("finish", "fail", "stop", "lapse")
    lines = [
        line for line in scenario.cluster.history if line["worker"] == name
    ]
    running = {line["attempt"] for line in lines if line["event"] == "start"}
    assert running
    assert running <= {
        line["attempt"] for line in lines if line["event"] in ends
    }


@pytest_bdd.then(parsers.re(r"the last publish is (?P<result>[\w ]+)"))
def check_publish(scenario, result):
    assert isinstance(scenario.publish_results[-1], RESULTS[result])


@pytest_bdd.then("one publish is accepted and the other refused as a conflict")
def check_concurrent_publishes(scenario):
    results = [type(result) for result in scenario.publish_results[-2:]]
    assert set(results) == {
        publication.PublishedConfiguration, publication.PublishConflict
    }
    conflict = next(result for result in scenario.publish_results[-2:]
                    if isinstance(result, publication.PublishConflict))
    assert conflict.keys


@pytest_bdd.then("the history shows no violation")
def check_history(scenario):
    assert not scenario.pending_actions
    assert scenario.find_violations() == []
