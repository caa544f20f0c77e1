"""Tests of the api module against scripted nodes."""

import hashlib
import json
import random

import httpx
import pytest

from trefoilroad_client import api
from trefoilroad_core import errors
from trefoilroad_core import request

DOCUMENTS = {"fleet.toml": "drained = []\n"}
STATUS = {"request_id": "r1", "state": "queued", "ran": "no"}
NOT_RUN = httpx.Response(503, json={"outcome": "not_run"})
UNKNOWN = httpx.Response(503, json={"outcome": "unknown"})
QUEUE_FULL = httpx.Response(429,
                            json={
                                "outcome": "not_run",
                                "message": "queue is full"
                            },
                            headers={"Retry-After": "7"})
ACCEPTED = httpx.Response(202, json=STATUS)
VERSION_CONFLICT = httpx.Response(409,
                                  json={
                                      "keys": ["fleet.toml:drained"],
                                      "version": 5
                                  })


class ScriptedNodes:
    """HTTP transport with scripted replies, of which the last one repeats."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []
        self.now_s = 0.0

    def reply(self, http_request):
        self.requests.append(http_request)
        reply = self.replies.pop(0) if self.replies[1:] else self.replies[0]
        if isinstance(reply, Exception):
            raise reply
        return httpx.Response(reply.status_code,
                              content=reply.content,
                              headers=reply.headers)

    def sleep(self, delay_s):
        self.now_s += delay_s

    def build_client(self):
        return api.Client(nodes=["a:1", "http://b:2"],
                          token="t",
                          timeout_s=20.0,
                          transport=httpx.MockTransport(self.reply),
                          rng=random.Random(1),
                          clock=lambda: self.now_s,
                          sleep=self.sleep)


def submit(*replies):
    nodes = ScriptedNodes(*replies)
    client = nodes.build_client()
    return nodes, client.submit(template="photo", payload={"n": 1}, key="k")


def test_submit_sends_key_token_and_body():
    """Guards against fields that are lost or sent as null."""
    nodes = ScriptedNodes(ACCEPTED)
    result = nodes.build_client().submit(template="photo",
                                         payload=[1],
                                         shape=request.Shape(2, 8),
                                         wait_s=5.0)
    (http_request,) = nodes.requests
    assert http_request.headers["Authorization"] == "Bearer t"
    assert http_request.headers["Idempotency-Key"] == result.key
    body = json.loads(http_request.content)
    assert body["shape"]["accelerators"] == 8
    assert "declared_s" not in body
    assert not result.repeated
    assert result.status.state is request.State.QUEUED


def test_retry_uses_other_node_and_same_key():
    """Guards against duplicate requests and retries on a dead node only."""
    nodes, result = submit(httpx.ReadTimeout("slow"), UNKNOWN, ACCEPTED)
    assert len({http_request.url.host for http_request in nodes.requests}) == 2
    assert {
        http_request.headers["Idempotency-Key"]
        for http_request in nodes.requests
    } == {"k"}
    assert result.status.request_id == "r1"


@pytest.mark.parametrize("reply", [NOT_RUN, httpx.ConnectError("refused")])
def test_not_run_is_reported_when_nothing_was_recorded(reply):
    """Guards against an unknown outcome although nothing was recorded."""
    with pytest.raises(errors.NotRun):
        submit(reply)


def test_full_queue_is_not_retried():
    """Guards against clients whose retries add to an overload."""
    nodes = ScriptedNodes(QUEUE_FULL)
    with pytest.raises(errors.NotRun, match="queue is full") as caught:
        nodes.build_client().submit(template="photo", payload=None)
    assert len(nodes.requests) == 1
    assert caught.value.retry_after_s == 7.0


def test_full_queue_is_retried_after_an_uncertain_try():
    """Guards against an unknown outcome that a retry can find out."""
    nodes, result = submit(UNKNOWN, QUEUE_FULL, ACCEPTED)
    assert result.status.request_id == "r1"
    assert nodes.now_s >= 7.0


@pytest.mark.parametrize("first", [
    httpx.ReadTimeout("slow"),
    httpx.RemoteProtocolError("cut"), UNKNOWN,
    httpx.Response(502),
    httpx.Response(500)
])
@pytest.mark.parametrize("later", [
    NOT_RUN, QUEUE_FULL,
    httpx.ConnectError("refused"),
    httpx.Response(400),
    httpx.Response(403)
])
def test_unknown_outcome_is_not_hidden_by_later_refusal(first, later):
    """Guards against "not run" for a request that an earlier try recorded."""
    with pytest.raises(errors.OutcomeUnknown, match="same key k") as caught:
        submit(first, later)
    assert caught.value.key == "k"


@pytest.mark.parametrize(("code", "error"), [
    (400, errors.CallRefused),
    (401, errors.AccessRefused),
    (403, errors.AccessRefused),
    (404, errors.NotFound),
    (409, errors.KeyReused),
    (413, errors.CallRefused),
])
def test_final_refusal_is_not_retried(code, error):
    """Guards against retries that cannot succeed."""
    nodes = ScriptedNodes(httpx.Response(code, json={"message": "no"}))
    with pytest.raises(error):
        nodes.build_client().submit(template="photo", payload=None)
    assert len(nodes.requests) == 1


def test_retry_budget_limits_all_calls_together():
    """Guards against an overload that is sustained by retries."""
    nodes = ScriptedNodes(NOT_RUN)
    client = nodes.build_client()
    for _ in range(100):
        with pytest.raises(errors.Unavailable):
            client.list()
    assert 120 <= len(nodes.requests) <= 140


def test_calls_end_within_the_time_limit():
    """Guards against backoff beyond the limit of a call."""
    nodes = ScriptedNodes(NOT_RUN)
    with pytest.raises(errors.Unavailable):
        nodes.build_client().list()
    assert len(nodes.requests) > 3
    assert nodes.now_s <= 20.0


def build_answer_response(content, length=None, digest=None):
    digest = digest or hashlib.sha256(content).hexdigest()
    headers = {
        "X-Answer-Length": str(length or len(content)),
        "X-Answer-Sha256": digest
    }
    return httpx.Response(200, content=content, headers=headers)


WRONG_ANSWERS = [
    build_answer_response(b"whole", length=6),
    build_answer_response(b"whole", digest="0" * 64),
    httpx.Response(200, content=b"whole")
]


@pytest.mark.parametrize("wrong", WRONG_ANSWERS)
def test_answer_is_checked(wrong):
    """Guards against accepting a truncated or mixed-up answer."""
    nodes = ScriptedNodes(wrong, build_answer_response(b"whole"))
    assert nodes.build_client().answer("r1") == b"whole"
    with pytest.raises(errors.AnswerCorrupt):
        ScriptedNodes(wrong).build_client().answer("r1")


def test_answer_of_pending_request():
    """Guards against an error that does not give the request's state."""
    nodes = ScriptedNodes(httpx.Response(409, json={"state": "running"}))
    with pytest.raises(errors.NotCompleted) as caught:
        nodes.build_client().answer("r1")
    assert caught.value.state == "running"


def test_wait_goes_on_during_outage_and_unknown_state():
    """Guards against taking an outage or an unknown state for an outcome."""
    states = ["queued", "queued", "unknown", "running", "completed"]
    replies = [
        httpx.Response(200, json=STATUS | {"state": state}) for state in states
    ]
    nodes = ScriptedNodes(*replies[:2], *[NOT_RUN] * 12, *replies[2:])
    seen = []
    last = nodes.build_client().wait("r1", on_change=seen.append)
    assert last.state == "completed"
    assert [status.state for status in seen
           ] == ["queued", "unknown", "running", "completed"]


@pytest.mark.parametrize("reply", [httpx.Response(200, json=STATUS), NOT_RUN])
def test_wait_ends_at_its_limit(reply):
    """Guards against a wait that does not end at its time limit."""
    nodes = ScriptedNodes(reply)
    with pytest.raises(errors.StillPending):
        nodes.build_client().wait("r1", timeout_s=3.0)
    assert nodes.now_s <= 3.5


def build_config_response(version, documents):
    body = {"version": version, "documents": documents}
    return httpx.Response(200, json=body)


def publish(*replies):
    return ScriptedNodes(*replies).build_client().publish(DOCUMENTS,
                                                          base_version=4)


def test_publish_reports_conflicting_keys():
    """Guards against overwriting the change of another operator."""
    with pytest.raises(errors.VersionConflict, match=r"fleet.toml") as caught:
        publish(VERSION_CONFLICT)
    assert caught.value.keys == ("fleet.toml:drained",)
    assert caught.value.version == 5


@pytest.mark.parametrize("refusal", [
    VERSION_CONFLICT,
    httpx.Response(422, json={"findings": []}),
])
def test_publish_recognises_success_of_an_earlier_try(refusal):
    """Guards against a conflict reported for documents already in force."""
    assert publish(UNKNOWN, refusal, build_config_response(5, DOCUMENTS)) == 5


@pytest.mark.parametrize(("version", "error"), [
    (5, errors.VersionConflict),
    (6, errors.OutcomeUnknown),
])
def test_publish_after_lost_reply(version, error):
    """Guards against reporting a conflict if the publish may have succeeded.

    At version 5, an earlier try cannot have taken effect, because the
    documents in force are other ones. At version 6, it may have been replaced.
    """
    with pytest.raises(error):
        publish(UNKNOWN, VERSION_CONFLICT, build_config_response(version, {}))


def test_publish_collects_findings():
    """Guards against losing the findings that a node reports."""
    finding = {"place": "fleet.toml:1", "key": "drained", "message": "no"}
    with pytest.raises(errors.InvalidDocuments) as caught:
        publish(httpx.Response(422, json={"findings": [finding]}))
    assert caught.value.findings == [("fleet.toml:1", "drained", "no")]


@pytest.mark.parametrize(("reply", "error"), [
    (httpx.ReadTimeout("slow"), errors.OutcomeUnknown),
    (httpx.ConnectError("refused"), errors.Unavailable),
])
def test_drain_without_reply(reply, error):
    """Guards against reporting a drain as not done when it may be done."""
    nodes = ScriptedNodes(reply)
    with pytest.raises(error):
        nodes.build_client().drain("w/1")
    assert nodes.requests[0].url.raw_path == b"/v1/workers/w%2F1/drain"


def test_operator_reads():
    """Guards against mixed-up fields in the results of operator calls."""
    entry = {
        "number": 3,
        "at": 10.5,
        "who": "ama",
        "action": "publish",
        "version": 9,
        "changes": [{
            "key": "k",
            "before": 1,
            "after": None
        }]
    }
    client = ScriptedNodes(httpx.Response(200, json={"entries": [entry]}))
    (read,) = client.build_client().audit(2)
    assert read == (3, 10.5, "ama", "publish", 9, (("k", 1, None),))
    assert client.requests[0].url.query == b"since=2"
    diff = ScriptedNodes(build_config_response(
        1, {})).build_client().diff(DOCUMENTS)
    assert diff == [("fleet.toml:drained", None, [])]
    node = ScriptedNodes(httpx.Response(200, json={"node": "n", "epoch": 4}))
    assert node.build_client().node_status().epoch == 4


@pytest.mark.parametrize("body", [
    b"<html>", b"[]", b"{}", b'{"request_id": "r", "state": "lost"}',
    b'{"request_id": 1, "state": "queued"}'
])
def test_malformed_reply_is_a_protocol_error(body):
    """Guards against raising a KeyError or TypeError to the caller."""
    nodes = ScriptedNodes(httpx.Response(200, content=body))
    with pytest.raises(errors.ProtocolError):
        nodes.build_client().status("r")
    with pytest.raises(errors.OutcomeUnknown, match="same key k"):
        submit(httpx.Response(200, content=body))


@pytest.mark.parametrize("text", ["", "a b", "a\n", "\xe9"])
def test_tokens_and_keys_invalid_in_headers_are_refused(text):
    """Guards against an invalid header being reported as an outage."""
    with pytest.raises(errors.SettingsError):
        api.Client(nodes=["a:1"], token=text)
    with pytest.raises(errors.CallRefused):
        ScriptedNodes(ACCEPTED).build_client().submit(template="t",
                                                      payload=0,
                                                      key=text)


@pytest.mark.parametrize("nodes", [[], ["ftp://a"], ["http://"]])
def test_wrong_nodes_are_refused(nodes):
    """Guards against an invalid address being reported as an outage."""
    with pytest.raises(errors.SettingsError):
        api.Client(nodes=nodes, token="t")
