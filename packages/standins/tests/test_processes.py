"""Tests of nodes, workers and platform as real processes on loopback."""

import concurrent.futures
import contextlib
import gzip
import json
import pathlib
import re
import socket
import time
import uuid

import httpx
import pytest

from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_standins import callers
from trefoilroad_standins import demo
from trefoilroad_standins import deployments
from trefoilroad_standins import processes

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
DEPLOYMENT = deployments.NKABOM
OPERATORS = ("demo-nkabom-operator-ama", "demo-nkabom-operator-kofi")
TEAM_TOKEN = "demo-nkabom-intake"
TAKEOVER_LIMIT_S = 5.0
CONFIG_CHANGE_LIMIT_S = 4.0
LEAVING_LIMIT_S = 5.0
PIPELINE_TRIES = 5


@pytest.fixture
def documents():
    return demo.read_documents(EXAMPLES / DEPLOYMENT.name / "contracts")


@pytest.fixture
def cluster(tmp_path, documents):
    """A running cluster of three nodes with the example documents in force."""
    with processes.Cluster(folder=tmp_path,
                           deployment=DEPLOYMENT,
                           operator_token=OPERATORS[0],
                           vm_lag_s=1.0) as running:
        running.find_owner()
        version = running.connect().publish(documents, base_version=0)
        running.wait_for_config(version)
        yield running


@pytest.fixture
def team_callers(cluster, documents, tmp_path):
    """Callers of all teams of the cluster."""
    return callers.Callers(cluster=cluster,
                           configuration=document.parse_documents(documents, 1),
                           history_path=tmp_path / "callers.jsonl",
                           token_prefix=f"demo-{DEPLOYMENT.name}-")


def submit_mix(team_callers, *nodes, run_s):
    """Submits gangs of several sizes, of which one may run only once."""
    return [
        team_callers.submit("matching", "donor-match", *nodes, run_s=run_s),
        team_callers.submit("routes", "route-draft", *nodes, run_s=run_s),
        team_callers.submit("intake", "donor-notice", *nodes, run_s=run_s),
        team_callers.submit("intake", "photo-check", *nodes, run_s=run_s)
    ]


def wait_running(team_callers, caller_requests):
    for caller_request in caller_requests:
        team_callers.wait_for_state(caller_request, request.State.RUNNING)


def assert_all_completed(cluster, team_callers, caller_requests, starts=1):
    """Checks outcomes, answers, numbers of starts and the whole history."""
    for caller_request in caller_requests:
        outcome = team_callers.fetch_outcome(caller_request)
        assert (outcome.status.state,
                outcome.is_answer_correct) == ("completed", True)
        # A waiting time of 0 would mean that the final status has lost the time
        # until the start.
        assert outcome.status.waited_s > 0.0
    counts = cluster.workers.count_starts()
    starts_by_request = {
        caller_request.request_id: counts.get(caller_request.request_id, 0)
        for caller_request in caller_requests
    }
    if starts is not None:
        assert starts_by_request == dict.fromkeys(starts_by_request, starts)
    assert team_callers.find_violations() == []


def find_starts(cluster, caller_request):
    """Returns the wall times at which a request's attempts started."""
    return [
        entry["wall_s"]
        for entry in cluster.workers.read_history()
        if entry["event"] == "start" and
        entry["attempt"].startswith(caller_request.request_id)
    ]


def split_nodes(cluster):
    """Returns the name of the owner and the names of the other nodes."""
    owner = cluster.find_owner()
    return owner, [name for name in cluster.nodes if name != owner]


def test_killed_owner_is_replaced(cluster, team_callers, record_property):
    """Guards against gangs that are lost or run again after an owner crash."""
    caller_requests = submit_mix(team_callers, run_s=4.0)
    wait_running(team_callers, caller_requests)
    owner, others = split_nodes(cluster)
    cluster.nodes[owner].kill()
    killed_s = time.time()
    probe = team_callers.submit("intake", "photo-check", *others, run_s=0.1)
    assert_all_completed(cluster, team_callers, [*caller_requests, probe])
    takeover_s = find_starts(cluster, probe)[0] - killed_s
    record_property("takeover_s", takeover_s)
    assert takeover_s < TAKEOVER_LIMIT_S


def test_takeover_with_a_slow_store(cluster, team_callers):
    """Guards against a new owner that stops gangs it has not yet loaded."""
    caller_requests = submit_mix(team_callers, run_s=4.0)
    wait_running(team_callers, caller_requests)
    owner, _ = split_nodes(cluster)
    cluster.platform.set_faults({
        "mode": "slow",
        "kinds": ["table_reads"],
        "delay_s": 0.8
    })
    cluster.nodes[owner].kill()
    cluster.find_owner()
    cluster.platform.set_faults()
    assert_all_completed(cluster, team_callers, caller_requests)


def test_frozen_owner_steps_down(cluster, team_callers):
    """Guards against a start by an owner whose lease lapsed in a pause.

    The claim is recorded while the owner is frozen. When the owner runs again,
    it receives the confirmation, which would allow the start.
    """
    owner, others = split_nodes(cluster)
    cluster.platform.set_faults({
        "mode": "slow",
        "kinds": ["table_writes"],
        "nodes": [owner],
        "delay_s": 0.5
    })
    caller_request = team_callers.submit("intake",
                                         "donor-notice",
                                         *others,
                                         run_s=0.5)
    # An owner that is frozen after its reservations has not sent the claim yet.
    row = f"request/{caller_request.request_id}"
    processes.wait_until(
        lambda: cluster.platform.count_received(owner, row) > 0,
        timeout_s=5.0,
        condition="the claim arrives at the store")
    cluster.nodes[owner].freeze()
    processes.wait_until(lambda: cluster.platform.read_rows("request/")[row][
        "state"] == "claimed",
                         timeout_s=5.0,
                         condition="the claim is recorded")
    successor = cluster.find_owner(*others)
    cluster.nodes[owner].thaw()
    processes.wait_until(lambda: cluster.read_status(owner).owner == successor,
                         timeout_s=5.0,
                         condition="the old owner steps down")
    cluster.platform.set_faults()
    assert_all_completed(cluster, team_callers, [caller_request])


def post_request(address, key):
    """Submits a request to one node without retries."""
    headers = {"Authorization": f"Bearer {TEAM_TOKEN}", "Idempotency-Key": key}
    return httpx.post(f"http://{address}/v1/requests",
                      headers=headers,
                      json={
                          "template": "photo-check",
                          "payload": {
                              "run_s": 0.1,
                              "answer": ""
                          }
                      },
                      timeout=10.0,
                      trust_env=False)


def test_lost_answers_of_the_store(cluster, team_callers):
    """Guards against requests lost or duplicated by a lost store answer."""
    cluster.platform.set_faults({
        "mode": "lose_answers",
        "kinds": ["table_writes"],
        "probability": 0.3
    })
    caller_requests = [
        caller_request for _ in range(3)
        for caller_request in submit_mix(team_callers, run_s=0.5)
    ]
    for caller_request in caller_requests:
        assert team_callers.resubmit(
            caller_request).status.request_id == caller_request.request_id
    assert_all_completed(cluster, team_callers, caller_requests, starts=None)
    not_idempotent = [
        caller_request for caller_request in caller_requests
        if not caller_request.idempotent
    ]
    counts = cluster.workers.count_starts()
    assert [
        counts[caller_request.request_id] for caller_request in not_idempotent
    ] == [1] * len(not_idempotent)


def test_unknown_outcome_is_not_reported_as_not_run(cluster):
    """Guards against reporting "not run" for a request that is recorded."""
    _, (node, *_) = split_nodes(cluster)
    cluster.platform.set_faults({
        "mode": "lose_answers",
        "kinds": ["table_writes", "table_reads"],
        "nodes": [node]
    })
    reply = post_request(cluster.nodes[node].address, "key")
    assert cluster.platform.read_rows("request/")
    assert (reply.status_code, reply.json()["outcome"]) == (503, "unknown")
    cluster.platform.set_faults()
    processes.wait_until(
        lambda: post_request(cluster.nodes[node].address, "key").is_success,
        timeout_s=10.0,
        condition="a repeat finds the request")
    assert len(cluster.platform.read_rows("request/")) == 1


def test_store_outage_stops_no_gang(cluster, team_callers):
    """Guards against leases that lapse because the store is down.

    The tasks run for longer than the lease of 10 s, all of it in the outage.
    """
    caller_requests = submit_mix(team_callers, run_s=11.0)
    wait_running(team_callers, caller_requests)
    cluster.platform.set_faults({"mode": "down"})
    impatient = cluster.connect(token=TEAM_TOKEN, timeout_s=2.0)
    with pytest.raises((errors.OutcomeUnknown, errors.NotRun)):
        impatient.submit(template="photo-check", payload={"run_s": 0})
    processes.wait_until(lambda: {
        entry["attempt"].partition(".")[0]
        for entry in cluster.workers.read_history()
        if entry["event"] == "finish"
    } >= {caller_request.request_id for caller_request in caller_requests},
                         timeout_s=20.0,
                         condition="all tasks finish in the outage")
    cluster.platform.set_faults()
    assert_all_completed(cluster, team_callers, caller_requests)


def test_planned_stops_interrupt_no_request(cluster, team_callers):
    """Guards against a stop that interrupts gangs or open requests."""
    caller_requests = []
    with concurrent.futures.ThreadPoolExecutor() as pool:
        for node in cluster.nodes.values():
            caller_requests += submit_mix(team_callers, run_s=2.0)
            cluster.platform.set_faults({
                "mode": "slow",
                "kinds": ["table_writes"],
                "nodes": [node.name],
                "delay_s": 0.5
            })
            key = uuid.uuid4().hex
            row = f"request/{request.derive_request_id('intake', key)}"
            future = pool.submit(post_request, node.address, key)
            # Other writes of the node, such as heartbeats, may arrive before
            # the request; a node that stops then refuses its connection.
            processes.wait_until(lambda node=node, row=row: cluster.platform.
                                 count_received(node.name, row) > 0,
                                 timeout_s=5.0,
                                 condition="the request arrives at the store")
            node.request_stop()
            reply = future.result()
            assert reply.status_code == 202, reply.text
            assert node.wait_stopped() == 0
            cluster.platform.set_faults()
            node.restart()
            cluster.find_owner()
            cluster.wait_for_config(1)
    for caller_request in caller_requests:
        outcome = team_callers.fetch_outcome(caller_request)
        assert (outcome.status.state,
                outcome.is_answer_correct) == ("completed", True)
    counts = cluster.workers.count_starts()
    assert {
        counts[caller_request.request_id] for caller_request in caller_requests
    } == {1}


def test_started_node_without_configuration(cluster):
    """Guards against a node that rejects a valid token.

    A node without a configuration must refuse the request as not run instead.
    """
    _, (name, *_) = split_nodes(cluster)
    node = cluster.nodes[name]
    node.kill()
    cluster.platform.set_faults({
        "mode": "down",
        "kinds": ["table_reads"],
        "nodes": [name]
    })
    node.restart()
    reply = post_request(node.address, "key")
    assert (reply.status_code, reply.json().get("outcome")) == (503, "not_run")
    cluster.platform.set_faults()
    processes.wait_until(lambda: post_request(node.address, "key").is_success,
                         timeout_s=10.0,
                         condition="the node serves callers")


def remove_template(documents, name):
    """Returns documents without a template and without its uses by teams."""
    return {
        path: text.replace(f'"{name}", ', "").replace(f', "{name}"', "")
        for path, text in documents.items()
        if path != f"templates/{name}.toml"
    }


def test_change_while_a_node_is_frozen(cluster, team_callers, documents,
                                       record_property):
    """Guards against requests that are accepted under an old version."""
    _, (frozen, *_) = split_nodes(cluster)
    others = [name for name in cluster.nodes if name != frozen]
    cluster.nodes[frozen].freeze()
    started_s = time.monotonic()
    changed = remove_template(documents, "donor-notice")
    version = cluster.connect(*others).publish(changed, base_version=1)
    cluster.wait_for_config(version, *others)
    took_s = time.monotonic() - started_s
    record_property("change_s", took_s)
    assert took_s < CONFIG_CHANGE_LIMIT_S
    # Delays the node's reads: the request must arrive before the change.
    cluster.platform.set_faults({
        "mode": "slow",
        "kinds": ["table_reads"],
        "nodes": [frozen],
        "delay_s": 1.0
    })
    cluster.nodes[frozen].thaw()
    with pytest.raises(errors.CallRefused):
        team_callers.submit("intake", "donor-notice", frozen)
    assert cluster.platform.read_rows("request/") == {}


def test_concurrent_publishes_conflict(cluster, documents):
    """Guards against a change that a concurrent publish silently reverts."""
    teams = ("intake", "routes")
    clients = [
        cluster.connect(node, token=token)
        for node, token in zip(("n1", "n2"), OPERATORS, strict=True)
    ]

    def publish(client, team, base):
        try:
            return client.publish(demo.increase_weight(documents, team),
                                  base_version=base)
        except errors.VersionConflict as error:
            return error

    for base in (1, 2, 3):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            results = list(pool.map(publish, clients, teams, (base, base)))
        winner = results.index(base + 1)
        conflict = results[1 - winner]
        assert isinstance(conflict, errors.VersionConflict)
        assert conflict.keys == (f"teams/{teams[winner]}.toml:team.weight",)
        documents = demo.increase_weight(documents, teams[winner])
        assert clients[0].fetch_config().documents == documents
    entries = clients[1].audit()
    assert [entry.version for entry in entries] == [1, 2, 3, 4]


def test_leaving_workers_get_no_work(cluster, team_callers):
    """Guards against starts on a worker that is about to be removed.

    One worker is marked as leaving in the VM list, another reports it itself.
    """

    def run_one():
        caller_request = team_callers.submit("intake", "photo-check", run_s=0.0)
        return team_callers.fetch_outcome(caller_request).status.placement[0]

    listed = run_one()
    cluster.platform.change_vm(listed, "leaving")
    listed_s = time.time()
    processes.wait_until(lambda: run_one() != listed,
                         timeout_s=LEAVING_LIMIT_S,
                         condition="another worker is chosen")
    self_reported = run_one()
    cluster.workers.change_state([self_reported], leaving=True)
    self_reported_s = time.time()
    limit_s = self_reported_s + LEAVING_LIMIT_S
    submitted_s = self_reported_s
    # At least one run is submitted after the limit, however long runs take.
    while submitted_s <= limit_s or time.time() < limit_s + 1.0:
        submitted_s = time.time()
        run_one()
    starts = [(entry["worker"], entry["wall_s"])
              for entry in cluster.workers.read_history()
              if entry["event"] == "start"]
    assert [start for start in starts if start[1] > limit_s]
    for worker_id, marked_s in ((listed, listed_s), (self_reported,
                                                     self_reported_s)):
        late = [
            start for start in starts
            if start[0] == worker_id and start[1] > marked_s + LEAVING_LIMIT_S
        ]
        assert late == []


def build_call(body, *headers, target="POST /v1/requests HTTP/1.1"):
    lines = [
        target, "Host: node", f"Authorization: Bearer {TEAM_TOKEN}", *headers
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def build_json(value):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return build_call(body, f"Content-Length: {len(body)}",
                      f"Idempotency-Key: {uuid.uuid4().hex}")


VALID_BODY = {"template": "photo-check", "payload": {"run_s": 0, "answer": "x"}}
HOSTILE_CALLS = {
    "oversized body":
        build_call(b"x" * (3 << 20), f"Content-Length: {3 << 20}"),
    "oversized headers":
        build_call(b"", *[f"X-{n}: {'y' * 1000}" for n in range(3000)]),
    "bad request line":
        b"\x00\x01 nonsense\r\n\r\n",
    "unknown version":
        b"GET / HTTP/9.9\r\n\r\n",
    "bad chunk":
        build_call(b"zz\r\nabc\r\n", "Transfer-Encoding: chunked"),
    "bad length":
        build_call(b"{}", "Content-Length: -5"),
    "length that is no number":
        build_call(b"{}", "Content-Length: many"),
    "body that is no JSON":
        build_json(b"{"),
    "body that is not UTF-8":
        build_json(b'{"template": "\xff\xfe"}'),
    "deep nesting":
        build_json(b"[" * 100_000),
    "list for an object":
        build_json([]),
    "numbers for texts":
        build_json({
            "template": 5,
            "caller": 7,
            "payload": None
        }),
    "list as template":
        build_json({
            **VALID_BODY, "template": ["photo-check"]
        }),
    "text for a shape":
        build_json({
            **VALID_BODY, "shape": "big"
        }),
    "infinite time":
        build_json(b'{"template": "photo-check", "payload": 1, "wait_s": '
                   b"Infinity}"),
    "key that is not text":
        build_call(b"{}", "Content-Length: 2", "Idempotency-Key: \xff\xfe"),
    "token that is not text":
        build_call(b"", "Authorization: Bearer \xff\xfe"),
    "no key":
        build_call(
            json.dumps(VALID_BODY).encode(),
            f"Content-Length: {len(json.dumps(VALID_BODY))}"),
    "path that is not UTF-8":
        build_call(b"", target="GET /v1/requests/%ff%fe HTTP/1.1"),
    "compressed body":
        build_call(gzip.compress(b" " * (1 << 24)), "Content-Encoding: gzip",
                   f"Content-Length: {len(gzip.compress(b' ' * (1 << 24)))}"),
    "method without body":
        build_call(b"", target="HEAD /healthz HTTP/1.1"),
    "unknown method":
        build_call(b"", target="BREW /v1/requests HTTP/1.1"),
}
# The HTTP library answers 301 to paths that it has to normalize.
REFUSED_RESPONSE = re.compile(rb"HTTP/\d\.\d (4\d\d|505|301) ")
HOSTILE_OPERATOR_CALLS = {
    "GET /v1/audit?since=" + "9" * 5000: b"",
    "GET /v1/audit?since=%C2%B2": b"",
    "GET /v1/audit?since=x": b"",
    "PUT /v1/config": b'{"base_version": true, "documents": {}}',
    "PUT /v1/config ": b'{"base_version": 1, "documents": {"a": 5}}',
    "PUT /v1/config  ": b'{"base_version": 1, "documents": {"a/../b": ""}}',
    "POST /v1/workers/%00/drain": b"",
}


def send_raw(address, data, timeout_s=5.0):
    """Sends bytes and returns one whole response, or all until the close."""
    host, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
        with contextlib.suppress(ConnectionError):
            while True:
                part = sock.recv(1 << 16)
                received += part
                head, end, body = received.partition(b"\r\n\r\n")
                if not part or (end and is_complete(head, body)):
                    break
    return received


def is_complete(head, body):
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return False


def test_hostile_input(cluster, team_callers):
    """Guards against input that keeps a node from serving other clients."""
    node = cluster.nodes["n1"]
    host, _, port = node.address.rpartition(":")
    with contextlib.ExitStack() as stack:
        unfinished = []
        for _ in range(50):
            sock = socket.create_connection((host, int(port)), timeout=30.0)
            stack.callback(sock.close)
            sock.sendall(b"POST /v1/requests HTTP/1.1\r\nHost: ")
            unfinished.append(sock)
        for name, data in HOSTILE_CALLS.items():
            assert REFUSED_RESPONSE.match(send_raw(node.address, data)), name
            assert httpx.get(f"http://{node.address}/healthz").is_success, name
        for target, body in HOSTILE_OPERATOR_CALLS.items():
            data = build_call(body,
                              f"Content-Length: {len(body)}",
                              target=f"{target.strip()} HTTP/1.1").replace(
                                  TEAM_TOKEN.encode(), OPERATORS[0].encode())
            assert REFUSED_RESPONSE.match(send_raw(node.address, data)), target
        assert send_raw(node.ready["link"],
                        b"\xff" * 1000 + b"\r\n\r\n") is not None
        assert team_callers.fetch_outcome(
            team_callers.submit("intake", "photo-check", "n1",
                                run_s=0.0)).is_answer_correct
        for sock in unfinished:
            with contextlib.suppress(ConnectionError):
                assert len(sock.recv(1 << 16)) < 1 << 16
    # Responses to clients that have disconnected must not accumulate.
    assert "file descriptor" not in node.log.read_text()
    started_s = time.monotonic()
    assert node.terminate() == 0
    # A request that was never answered would delay the stop by 10 s.
    assert time.monotonic() - started_s < 5.0


def send_before_response(sock, address, parts, response_delay_s):
    """Sends parts, each once the node has read the one before.

    Returns:
        Whether the node has read all of them before it could respond.
    """
    started_s = time.monotonic()
    for part in parts:
        sock.sendall(part)
        # The node handles connections in order, so it has read the part when
        # it answers this request.
        httpx.get(f"http://{address}/healthz", trust_env=False)
    return time.monotonic() - started_s < response_delay_s


def read_until_close(sock):
    received = b""
    while part := sock.recv(1 << 16):
        received += part
    return received


def test_pipelined_requests(cluster):
    """Guards against a response that is matched with the wrong request.

    The first request waits for the store, the second one does not. A busy
    machine can delay the second one until the first one has its response; the
    connection then stays open, and both are sent again.
    """
    delay_s = 1.0  # Half of the time limit of the node's calls of the store.
    cluster.platform.set_faults({
        "mode": "slow",
        "kinds": ["table_reads"],
        "delay_s": delay_s
    })
    address = cluster.nodes["n1"].address
    host, _, port = address.rpartition(":")
    first = build_call(b"", target="GET /v1/requests HTTP/1.1")
    second = build_call(b"", target="GET /v1/status HTTP/1.1")
    for parts in ([first + second], [first, second]):
        for _ in range(PIPELINE_TRIES):
            with socket.create_connection((host, int(port)),
                                          timeout=5.0) as sock:
                if send_before_response(sock, address, parts, delay_s):
                    received = read_until_close(sock)
                    break
        else:
            pytest.fail(f"no request was sent within {delay_s} s")
        head, _, body = received.partition(b"\r\n\r\n")
        assert b"connection: close" in head.lower()
        assert json.loads(body) == {"requests": []}
