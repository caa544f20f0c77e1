"""Tests of the worker process."""

import json
import time

import httpx
import pytest

from trefoilroad_core import fleet
from trefoilroad_standins import tasks
from trefoilroad_standins import worker

SHAPE = {"tasks": 1, "accelerators": 1, "cores": 1, "memory_gb": 1}


@pytest.fixture
def worker_process(launch, platform, tmp_path):
    """Process with two workers that are registered with a platform."""
    path = tmp_path / "history.jsonl"
    ready = launch("worker", "--count", 2, "--register", platform.base_url,
                   "--history", path)
    return {**ready, "history": path}


def send(worker_process, index, verb, **body):
    url = f"http://{worker_process['workers'][index]['address']}/v1/{verb}"
    return httpx.post(url, json={"epoch": 1, **body}, timeout=2)


def run(worker_process, index, attempt, **payload):
    reservation = {"ranks": [0], "shape": SHAPE, "ttl_s": 5}
    send(worker_process, index, "reserve", attempt=attempt, **reservation)
    start = {"lease_s": 5, "payload": payload, "answer": True, "resume": None}
    return send(worker_process, index, "start", attempt=attempt, **start)


def control(worker_process, path, **body):
    url = f"http://127.0.0.1:{worker_process['port']}/control/{path}"
    reply = httpx.post(url, json=body)
    assert reply.status_code == 200, reply.text


def test_workers_register_and_run_tasks(worker_process, platform):
    """Guards against entries that nodes cannot parse, and a lost history."""
    entries = platform.get("/v1/vms").json()["vms"]
    assert [fleet.parse_worker(entry).worker_id for entry in entries
           ] == ["w000", "w001"]
    assert run(worker_process, 1, "a.1", run_s=0, answer="ä").json()["ok"]
    reply = send(worker_process, 1, "answer", attempt="a.1")
    assert reply.content == "ä".encode()
    boot = send(worker_process, 1, "sync", lease_s=1, renew=[]).json()["boot"]
    assert reply.headers["x-boot"] == boot
    lines = worker_process["history"].read_text().splitlines()
    history = [json.loads(line) for line in lines]
    assert [entry["event"] for entry in history
           ] == ["reserve", "start", "finish"]
    assert {entry["worker"] for entry in history} == {"w001"}
    assert all(entry["wall_s"] > entry["at_s"] for entry in history)


def test_lease_lapses_without_any_call(worker_process):
    """Guards against leases that lapse only when a command arrives."""
    send(worker_process,
         0,
         "reserve",
         attempt="a.1",
         ranks=[0],
         shape=SHAPE,
         ttl_s=0.05)
    deadline_s = time.monotonic() + 5
    events: list[str] = []
    with worker_process["history"].open() as file:
        while "lapse" not in events and time.monotonic() < deadline_s:
            # Waits by calling the other worker, which leaves this one alone.
            send(worker_process, 1, "sync", lease_s=1, renew=[])
            events += [json.loads(line)["event"] for line in file]
    assert events == ["reserve", "lapse"]


def test_faults_hit_the_named_worker_and_command(worker_process):
    """Guards against faults that affect other workers or commands."""
    hang = {"mode": "hang", "kinds": ["sync"], "workers": ["w000"]}
    refuse = {"mode": "refuse", "workers": ["w000"]}
    control(worker_process, "faults", faults=[hang, refuse])
    with pytest.raises(httpx.ReadTimeout):
        send(worker_process, 0, "sync", lease_s=1, renew=[])
    refused = run(worker_process, 0, "a.1")
    assert (refused.status_code, refused.json()["error"]) == (409, "refused")
    assert refused.json()["boot"]
    assert run(worker_process, 1, "a.1").status_code == 200


def test_control_interface_changes_states(worker_process):
    """Guards against restarts with the same boot id and mixed-up states."""
    before = send(worker_process, 0, "sync", lease_s=1, renew=[]).json()
    control(worker_process,
            "state",
            workers=["w000"],
            restart=True,
            leaving=True)
    after = send(worker_process, 0, "sync", lease_s=1, renew=[]).json()
    assert after["leaving"]
    assert after["boot"] != before["boot"]
    control(worker_process, "state", fail_everything=True)
    run(worker_process, 1, "a.1", run_s=60)
    reply = send(worker_process, 1, "sync", lease_s=1, renew=[]).json()
    assert reply["tasks"][0]["state"] == "failed"


def test_unknown_commands_get_json_errors(worker_process):
    """Guards against HTML error pages where nodes expect JSON."""
    assert send(worker_process, 0, "other").json()["error"] == "not_found"
    assert send(worker_process, 0, "sync").status_code == 400


def test_descriptions_keep_racks_inside_a_domain(tmp_path):
    """Guards against racks that span failure domains."""
    descriptions = worker.build_descriptions(count=24,
                                             per_rack=6,
                                             failure_domains=4,
                                             prefix="w",
                                             capacity=tasks.Capacity())
    domains = {(description.rack, description.failure_domain)
               for description in descriptions}
    assert len(domains) == 4
    path = tmp_path / "workers.json"
    entries = [
        worker.build_vm_entry(description, "h:1")
        for description in descriptions
    ]
    path.write_text(json.dumps({"workers": entries}))
    assert worker.load_descriptions(path) == descriptions
