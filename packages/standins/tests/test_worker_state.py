"""Tests of the worker's state machine."""

import hashlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from trefoilroad_core import errors
from trefoilroad_standins import checkpoints
from trefoilroad_standins import tasks
from trefoilroad_standins import worker_state

CAPACITY = tasks.Capacity(8, 64, 256, 8, 64)
SHAPE = {"tasks": 2, "accelerators": 4, "cores": 1, "memory_gb": 1}


class Driver:
    """Sends commands to a worker's state machine at set times."""

    def __init__(self, **options):
        self.checkpoints = options.pop("checkpoints",
                                       checkpoints.MemoryCheckpointStore())
        self.worker_state = worker_state.WorkerState(
            worker_id="w1",
            capacity=CAPACITY,
            boot="b1",
            checkpoints=self.checkpoints,
            **options)
        self.now_s = 100.0

    def send(self, verb, **body):
        return self.worker_state.handle(verb, {"epoch": 1, **body}, self.now_s)

    def reserve(self, attempt="a.1", **more):
        body = {"ranks": [0, 1], "ttl_s": 5, "shape": SHAPE, **more}
        return self.send("reserve", attempt=attempt, **body)

    def start(self, attempt="a.1", **more):
        body = {"lease_s": 10, "answer": True, "resume": None, **more}
        body.setdefault("payload", {"run_s": 4})
        return self.send("start", attempt=attempt, **body)

    def stop(self, attempt="a.1", checkpoint=False):
        reply = self.send("stop", attempt=attempt, checkpoint=checkpoint)
        assert reply.status == 200
        return reply.document["state"], reply.document["checkpoint"]

    def run(self, **options):
        assert self.reserve().status == 200
        return self.start(**options)

    def sync(self, renew=()):
        reply = self.send("sync", lease_s=10, renew=list(renew))
        return {task["attempt"]: task for task in reply.document["tasks"]}

    def list_events(self):
        return [entry["event"] for entry in self.worker_state.take_history()]


def read_error(reply):
    return reply.document["error"]


def test_task_runs_and_answers_once():
    """Guards against a second run of a finished or forgotten attempt."""
    driver = Driver()
    driver.run(payload={"run_s": 4, "answer": "whole"})
    assert driver.start().status == 200
    driver.now_s += 4
    task = driver.sync()["a.1"]
    assert (task["state"], task["ran_s"]) == ("finished", 4.0)
    assert task["answer"] == {
        "length": 5,
        "sha256": hashlib.sha256(b"whole").hexdigest()
    }
    assert driver.send("answer", attempt="a.1").document == b"whole"
    assert driver.start().status == 200
    assert driver.stop() == ("finished", False)
    assert driver.send("forget", attempts=["a.1"]).status == 200
    assert driver.send("answer", attempt="a.1").status == 404
    assert read_error(driver.reserve()) == "refused"
    assert driver.list_events() == ["reserve", "start", "finish", "stop"]


def test_forgotten_attempt_is_refused():
    """Guards against a delayed repeat of commands after a forget."""
    driver = Driver()
    driver.run(payload={})
    driver.send("forget", attempts=["a.1"])
    assert driver.sync() == {}
    assert read_error(driver.reserve()) == "refused"


def test_reservation_lapses_and_renews():
    """Guards against a start after the reservation time has passed."""
    driver = Driver()
    driver.reserve()
    driver.now_s += 4
    driver.reserve()
    driver.now_s += 4.9
    assert driver.sync()["a.1"]["state"] == "reserved"
    driver.now_s += 0.1
    assert read_error(driver.start()) == "no_reservation"
    assert driver.list_events() == ["reserve", "lapse"]


def test_lease_lapses_unless_renewed():
    """Guards against a cut-off worker that runs tasks beyond the lease."""
    driver = Driver()
    driver.run(payload={"run_s": 60})
    driver.now_s += 9
    driver.sync(renew=["a.1"])
    driver.now_s += 9.9
    assert driver.sync()["a.1"]["state"] == "running"
    driver.now_s += 5
    task = driver.sync(renew=["a.1"])["a.1"]
    assert (task["error"], task["ran_s"]) == ("lease_lapsed", 19.0)
    assert task["state"] == "failed"
    lapse = driver.worker_state.take_history()[-1]
    assert driver.stop(checkpoint=True) == ("stopped", False)
    assert (lapse["event"], lapse["at_s"]) == ("lapse", 119.0)


def test_attempt_is_refused_after_a_stop():
    """Guards against a start that overtakes or follows a stop."""
    driver = Driver()
    assert driver.stop() == ("never_started", False)
    assert read_error(driver.reserve()) == "refused"
    assert read_error(driver.start()) == "refused"
    driver.reserve("b.1")
    driver.start("b.1")
    for _ in range(2):
        assert driver.stop("b.1") == ("stopped", False)
    assert driver.sync() == {}


def test_late_renewal_does_not_extend_a_lease():
    """Guards against a delayed message that keeps a task alive."""
    driver = Driver()
    driver.run(payload={"run_s": 60})
    driver.now_s += 9
    driver.send("sync", lease_s=10, renew=["a.1"], asof_s=100.0)
    driver.now_s += 1
    task = driver.sync()["a.1"]
    assert (task["state"], task["error"]) == ("failed", "lease_lapsed")


def test_commands_with_a_stale_clock_are_refused():
    """Guards against a start or a reservation that arrives too late."""
    driver = Driver()
    assert read_error(driver.reserve(asof_s=95.0)) == "stale_clock"
    driver.reserve(ttl_s=60)
    old = {"asof_s": 89.0, "lease_s": 10, "answer": True}
    reply = driver.send("start", attempt="a.1", payload={}, resume=None, **old)
    assert read_error(reply) == "stale_clock"
    assert read_error(driver.reserve(asof_boot="b0")) == "stale_clock"


def test_stale_epoch_has_no_effect():
    """Guards against commands of an owner that was replaced."""
    driver = Driver()
    driver.reserve(epoch=3)
    reply = driver.send("stop", epoch=2, attempt="a.1", checkpoint=False)
    assert reply.status == 409
    assert reply.document == {
        "error": "stale_epoch",
        "epoch": 3,
        "boot": "b1",
        "clock_s": 100.0
    }
    assert driver.send("start", epoch=2).status == 409
    driver.send("sync", epoch=3, lease_s=1, renew=[])
    assert driver.list_events() == ["reserve"]


@pytest.mark.parametrize(("resource", "figure"), [
    ("accelerators", 5),
    ("cores", 33),
    ("memory_gb", 129),
])
def test_each_resource_limits_reservations(resource, figure):
    """Guards against overcommitting a single resource."""
    shape = {**SHAPE, "accelerators": 1, resource: figure}
    assert read_error(Driver().reserve(shape=shape)) == "no_room"
    assert Driver().reserve(shape=shape | {resource: figure - 1}).status == 200


def test_slots_limit_reservations_and_are_released():
    """Guards against slots that stay taken after a stop or a lapse."""
    driver = Driver()
    wide = {"shape": {**SHAPE, "tasks": 9, "accelerators": 0}}
    one = {**wide, "ranks": [8]}
    assert read_error(driver.reserve(ranks=[*range(9)], **wide)) == "no_room"
    assert driver.reserve(ranks=[*range(8)], **wide).status == 200
    assert read_error(driver.reserve("b.1", **one)) == "no_room"
    driver.stop()
    assert driver.reserve("c.1", **one).status == 200


def test_leaving_worker_takes_no_new_work():
    """Guards against reservations on a worker that is leaving."""
    driver = Driver()
    driver.run()
    driver.worker_state.leaving = True
    assert read_error(driver.reserve("b.1")) == "leaving"
    reply = driver.send("sync", lease_s=1, renew=[])
    assert reply.document["leaving"] is True
    assert reply.document["tasks"][0]["state"] == "running"


def test_restart_discards_tasks():
    """Guards against a restart that leaves tasks or the boot id unchanged."""
    driver = Driver()
    driver.run()
    driver.worker_state.restart("b2", driver.now_s)
    reply = driver.send("sync", lease_s=1, renew=[])
    assert (reply.document["boot"], reply.document["tasks"]) == ("b2", [])
    assert driver.list_events() == ["reserve", "start", "stop"]


def test_throttle_and_checkpoint_keep_progress():
    """Guards against wrong progress after a throttle, a stop or a resume."""
    driver = Driver()
    driver.run(payload={"run_s": 10}, lease_s=99)
    driver.now_s += 4
    driver.send("throttle", attempt="a.1", share=0.5)
    driver.now_s += 4
    assert driver.worker_state.predict_change() == 116.0
    assert driver.stop(checkpoint=True) == ("stopped", True)
    other = Driver(checkpoints=driver.checkpoints)
    other.reserve("a.2")
    other.start("a.2", payload={"run_s": 10}, resume="checkpoint/a.1")
    assert other.worker_state.predict_change() == 104.0


def test_incomplete_checkpoint_fails_the_task():
    """Guards against resuming a gang of which a worker saved no part."""
    driver = Driver()
    driver.reserve(ranks=[0])
    driver.start(lease_s=99)
    driver.stop(checkpoint=True)
    driver.reserve("a.2")
    driver.start("a.2", resume="a.1")
    assert "incomplete" in driver.sync()["a.2"]["error"]


@pytest.mark.parametrize(("payload", "state"), [
    ('{"fail": true}', "failed"),
    ('{"fail_ranks": [1]}', "failed"),
    ('{"fail_ranks": [2]}', "finished"),
    ('{"fail": true, "fail_ranks": [2]}', "finished"),
    ('{"run_s": -1}', "failed"),
    ('{"run_s": 1' + "0" * 400 + "}", "failed"),
    (r'{"answer": "\ud800"}', "failed"),
    ("[]", "failed"),
])
def test_payload_decides_the_outcome(payload, state):
    """Guards against payloads that fail the command instead of the task."""
    driver = Driver()
    assert driver.run(payload=json.loads(payload)).status == 200
    assert driver.sync()["a.1"]["state"] == state


def test_failing_worker_fails_running_and_new_tasks():
    """Guards against tasks that end before the fault was injected."""
    driver = Driver()
    driver.run()
    driver.now_s += 1
    driver.worker_state.fail_everything(True, driver.now_s)
    assert driver.sync()["a.1"]["ran_s"] == 1.0
    driver.reserve("b.1")
    driver.start("b.1")
    assert driver.sync()["b.1"]["state"] == "failed"


def test_usage_is_reported_with_a_lag():
    """Guards against usage that is reported without the lag."""
    driver = Driver(usage_lag_s=2.0)
    driver.reserve(ttl_s=99)
    driver.now_s += 1.9
    usage = driver.send("sync", lease_s=1, renew=[]).document["usage"]
    assert usage["accelerators"] == 0
    driver.now_s += 0.1
    usage = driver.send("sync", lease_s=1, renew=[]).document["usage"]
    assert usage == tasks.Capacity(8, 2, 2, 2, 2)._asdict()


@pytest.mark.parametrize("body", [
    '{"ranks": []}',
    '{"ranks": [0, 0]}',
    '{"ranks": [2]}',
    '{"ttl_s": NaN}',
    '{"epoch": true}',
    '{"shape": {"tasks": 2}}',
])
def test_invalid_reservations_are_refused(body):
    """Guards against invalid commands that a worker accepts silently."""
    with pytest.raises(errors.ProtocolError):
        Driver().reserve(**json.loads(body))


STEPS = strategies.lists(strategies.tuples(
    strategies.sampled_from(["reserve", "start", "stop", "sync", "wait"]),
    strategies.sampled_from(["a.1", "b.1"])),
                         max_size=30)


@hypothesis.given(STEPS)
def test_attempt_starts_once_and_never_after_a_stop(steps):
    """Guards against orders of commands that start an attempt twice."""
    driver = Driver()
    for verb, attempt in steps:
        if verb == "wait":
            driver.now_s += 3
        elif verb == "stop":
            driver.stop(attempt)
        elif verb == "sync":
            driver.sync([attempt])
        else:
            getattr(driver, verb)(attempt)
    history = driver.worker_state.take_history()
    times = [entry["at_s"] for entry in history]
    assert times == sorted(times)
    for attempt in ("a.1", "b.1"):
        attempt_history = [
            entry for entry in history if entry["attempt"] == attempt
        ]
        events = [entry["event"] for entry in attempt_history]
        assert events.count("start") <= 1
        if "start" in events:
            assert events[events.index("start") - 1] == "reserve"
            assert "stop" not in events[:events.index("start")]
