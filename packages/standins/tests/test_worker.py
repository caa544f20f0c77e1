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
def site(launch, platform, tmp_path):
    """Two workers that are registered with a platform."""
    path = tmp_path / "history.jsonl"
    ready = launch("worker", "--count", 2, "--register", platform.base_url,
                   "--history", path)
    return {**ready, "history": path}


def send(site, index, verb, **body):
    url = f"http://{site['workers'][index]['address']}/v1/{verb}"
    return httpx.post(url, json={"epoch": 1, **body}, timeout=2)


def run(site, index, attempt, **payload):
    reservation = {"ranks": [0], "shape": SHAPE, "ttl_s": 5}
    send(site, index, "reserve", attempt=attempt, **reservation)
    start = {"lease_s": 5, "payload": payload, "answer": True, "resume": None}
    return send(site, index, "start", attempt=attempt, **start)


def control(site, path, **body):
    url = f"http://127.0.0.1:{site['port']}/control/{path}"
    reply = httpx.post(url, json=body)
    assert reply.status_code == 200, reply.text


def test_workers_register_and_run_tasks(site, platform):
    """Guards against entries that the product cannot read, and lost history."""
    entries = platform.get("/v1/vms").json()["vms"]
    assert [fleet.parse_worker(entry).worker_id for entry in entries
           ] == ["w000", "w001"]
    assert run(site, 1, "a.1", run_s=0, answer="ä").json()["ok"]
    reply = send(site, 1, "answer", attempt="a.1")
    assert reply.content == "ä".encode()
    boot = send(site, 1, "sync", lease_s=1, renew=[]).json()["boot"]
    assert reply.headers["x-boot"] == boot
    lines = site["history"].read_text().splitlines()
    history = [json.loads(line) for line in lines]
    assert [entry["event"] for entry in history
           ] == ["reserve", "start", "finish"]
    assert {entry["worker"] for entry in history} == {"w001"}
    assert all(entry["wall_s"] > entry["at_s"] for entry in history)


def test_lease_lapses_without_any_call(site):
    """Guards against leases that end only when somebody asks."""
    send(site, 0, "reserve", attempt="a.1", ranks=[0], shape=SHAPE, ttl_s=0.05)
    deadline_s = time.monotonic() + 5
    events: list[str] = []
    with site["history"].open() as file:
        while "lapse" not in events and time.monotonic() < deadline_s:
            # Calls to the other worker pass the time.
            send(site, 1, "sync", lease_s=1, renew=[])
            events += [json.loads(line)["event"] for line in file]
    assert events == ["reserve", "lapse"]


def test_faults_hit_the_named_worker_and_command(site):
    """Guards against faults that hit other workers or commands."""
    hang = {"mode": "hang", "kinds": ["sync"], "workers": ["w000"]}
    refuse = {"mode": "refuse", "workers": ["w000"]}
    control(site, "faults", faults=[hang, refuse])
    with pytest.raises(httpx.ReadTimeout):
        send(site, 0, "sync", lease_s=1, renew=[])
    refused = run(site, 0, "a.1")
    assert (refused.status_code, refused.json()["error"]) == (409, "refused")
    assert refused.json()["boot"]
    assert run(site, 1, "a.1").status_code == 200


def test_states_are_changed_from_outside(site):
    """Guards against a restart that keeps the boot id, and states that mix."""
    before = send(site, 0, "sync", lease_s=1, renew=[]).json()
    control(site, "state", workers=["w000"], restart=True, leaving=True)
    after = send(site, 0, "sync", lease_s=1, renew=[]).json()
    assert after["leaving"]
    assert after["boot"] != before["boot"]
    control(site, "state", fail_everything=True)
    run(site, 1, "a.1", run_s=60)
    reply = send(site, 1, "sync", lease_s=1, renew=[]).json()
    assert reply["tasks"][0]["state"] == "failed"


def test_unknown_commands_get_json_errors(site):
    """Guards against error pages where the product expects JSON."""
    assert send(site, 0, "other").json()["error"] == "not_found"
    assert send(site, 0, "sync").status_code == 400


def test_descriptions_keep_racks_inside_a_domain(tmp_path):
    """Guards against racks that span failure domains."""
    descriptions = worker.build_descriptions(count=24,
                                             per_rack=6,
                                             failure_domains=4,
                                             prefix="w",
                                             capacity=tasks.Capacity())
    domains = {(item.rack, item.failure_domain) for item in descriptions}
    assert len(domains) == 4
    path = tmp_path / "workers.json"
    entries = [worker.build_entry(item, "h:1") for item in descriptions]
    path.write_text(json.dumps({"workers": entries}))
    assert worker.load_descriptions(path) == descriptions
