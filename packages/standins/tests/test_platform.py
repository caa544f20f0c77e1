"""Tests of the platform process."""

from http import client
import json
import socket

import httpx
import pytest


def set_faults(platform, *rules):
    reply = platform.post("/control/faults", json={"faults": rules})
    assert reply.status_code == 200, reply.text


def commit(platform, key, version, value, **options):
    condition = {"key": key, "version": version}
    body = {"conditions": [condition], "writes": [{"key": key, "value": value}]}
    return platform.post("/v1/commit", json=body, **options)


def test_protocol(platform):
    """Guards against answers that differ from the published protocol."""
    assert commit(platform, "a", 0, {"x": 1}).json() == {"version": 1}
    conflict = commit(platform, "a", 0, None)
    assert conflict.status_code == 409
    assert conflict.json() == {"conflicts": [{"key": "a", "version": 1}]}
    row = {"key": "a", "version": 1, "value": {"x": 1}}
    assert platform.get("/v1/rows?prefix=&since=0").json() == {
        "version": 1,
        "rows": [row]
    }
    assert platform.get("/v1/row?key=a").json() == row
    blob = bytes(range(256)) * 4096
    assert platform.put("/v1/objects/a/b.1", content=blob).status_code == 200
    assert platform.get("/v1/objects/a/b.1").content == blob
    assert platform.get("/v1/objects/none").status_code == 404
    counters = platform.get("/control/counters").json()
    assert counters["kinds"]["table"] == {"reads": 2, "writes": 2}


def test_connection_is_kept_open(platform):
    """Guards against a new connection for each request and unsized bodies."""
    connection = client.HTTPConnection("127.0.0.1", platform.base_url.port)
    addresses = set()
    for _ in range(3):
        connection.request("GET", "/v1/row?key=a")
        reply = connection.getresponse()
        assert len(reply.read()) == int(reply.headers["Content-Length"])
        assert connection.sock is not None
        addresses.add(connection.sock.getsockname())
    connection.close()
    assert len(addresses) == 1


@pytest.mark.parametrize(("method", "path", "content", "status"), [
    ("POST", "/v1/commit", b"{", 400),
    ("POST", "/v1/commit", b"[]", 400),
    ("POST", "/v1/commit", b'{"writes": [{"key": 1, "value": 1}]}', 400),
    ("POST", "/v1/commit", b'{"conditions": []}', 400),
    ("GET", "/v1/rows?since=x", b"", 400),
    ("GET", "/v1/row", b"", 400),
    ("POST", "/v1/vms", b'{"id": "w", "state": "odd"}', 400),
    ("POST", "/v1/vms", b'{"id": "w", "state": "gone"}', 404),
    ("POST", "/control/faults", b'{"faults": [{"mode": "refuse"}]}', 400),
    ("DELETE", "/v1/objects/a", b"", 404),
    ("GET", "/other", b"", 404),
])
def test_bad_requests_get_json_errors(platform, method, path, content, status):
    """Guards against invalid input that takes effect or gets an HTML error."""
    reply = platform.request(method, path, content=content)
    assert reply.status_code == status
    assert reply.json()["error"]


@pytest.mark.parametrize("head", [
    b"POST /v1/commit HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n{}",
    b"GET /v1/vms HTTP/1.1\r\n\r\n",
    b"nonsense\r\n\r\n",
])
def test_malformed_requests_get_json_errors(platform, head):
    """Guards against clients that wait forever for an answer."""
    address = ("127.0.0.1", platform.base_url.port)
    with socket.create_connection(address, timeout=5) as connection:
        connection.sendall(head)
        status, *_, body = connection.makefile().read().splitlines()
    assert status == "HTTP/1.1 400 Bad Request"
    assert json.loads(body)["error"] == "http_error"
    assert platform.get("/v1/vms").status_code == 200


def test_lost_answer_takes_effect(platform):
    """Guards against a lost answer that also loses the write."""
    rule = {"mode": "lose_answers", "kinds": ["table_writes"], "next": 1}
    set_faults(platform, rule)
    with pytest.raises(httpx.RemoteProtocolError):
        commit(platform, "a", 0, 1)
    assert platform.get("/v1/row?key=a").json()["value"] == 1
    assert commit(platform, "a", 1, 2).status_code == 200


def test_fault_affects_only_the_named_node(platform):
    """Guards against a fault for one node that affects other nodes."""
    dropped = {"mode": "drop", "nodes": ["n1"]}
    set_faults(platform, dropped, {"mode": "down", "nodes": ["n2"]})
    with pytest.raises(httpx.RemoteProtocolError):
        platform.get("/v1/vms", headers={"X-Node": "n1"})
    assert platform.get("/v1/vms", headers={"X-Node": "n2"}).status_code == 503
    assert platform.get("/v1/vms").status_code == 200


def test_slow_write_takes_effect_after_the_client_gave_up(platform):
    """Guards against delays that block other requests or drop the write."""
    rule = {"mode": "slow", "delay_s": 0.4, "kinds": ["table_writes"]}
    set_faults(platform, rule)
    with pytest.raises(httpx.ReadTimeout):
        commit(platform, "a", 0, 1, timeout=0.1)
    assert platform.get("/v1/row?key=a").json()["version"] == 0
    assert commit(platform, "b", 0, 1).elapsed.total_seconds() >= 0.4
    assert platform.get("/v1/row?key=a").json()["version"] == 1


def test_vm_list_is_loaded_and_changed(launch, tmp_path):
    """Guards against an ignored file and lost state changes."""
    path = tmp_path / "vms.toml"
    path.write_text('[[vms]]\nid = "w1"\naddress = "h:1"\n')
    port = launch("platform", "--vms", path)["port"]
    url = f"http://127.0.0.1:{port}/v1/vms"
    httpx.post(url, json={"id": "w1", "state": "leaving"})
    entry = {"id": "w1", "address": "h:1", "state": "leaving"}
    assert httpx.get(url).json()["vms"] == [entry]
