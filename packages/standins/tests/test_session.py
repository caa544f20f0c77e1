"""Tests of a caller's session, with times set by the test."""

import json

import pytest

from trefoilroad_standins import payload as payload_module
from trefoilroad_standins import schedule
from trefoilroad_standins import session

QUEUED = {"request_id": "r1", "state": "queued"}
ENTRY = schedule.ScheduledRequest(0.0, "k", "t1",
                                  {"payload": {
                                      "answer": "whole"
                                  }})


def reply(status, document):
    return session.HttpResponse(status, json.dumps(document).encode(), 0.5)


UNANSWERED = session.HttpResponse(session.NO_RESPONSE, took_s=2.0)
RUNNING = reply(200, {**QUEUED, "state": "running"})
COMPLETED = reply(200, {**QUEUED, "state": "completed"})
ANSWER_RESPONSE = session.HttpResponse(200, b"whole")
REFUSED = reply(503, {"outcome": "not_run"})
PAYLOAD_WITHOUT_ANSWER = {"run_s": 1}
DEFAULT_ANSWER = payload_module.parse_payload(PAYLOAD_WITHOUT_ANSWER,
                                              attempt="r1.1",
                                              ranks=[0]).answer
CANCELLED = reply(200, {**QUEUED, "state": "cancelled"})


def run(*answers, entry=ENTRY, give_up_s=60.0):
    """Runs a session with the given responses; the last one repeats.

    Returns:
        The session, the requests that it sent and its history entries.
    """
    script = list(answers)
    sent = []
    records = []

    def send(http_request):
        sent.append(http_request)
        return script.pop(0) if len(script) > 1 else script[0]

    caller_session = session.Session(entry=entry,
                                     nodes=["a", "b", "c"],
                                     token="secret",
                                     send=send,
                                     record=records.append,
                                     options=session.CallerOptions(
                                         0.25, give_up_s),
                                     seed=1)
    now_s: float | None = 10.0
    while now_s is not None:
        now_s = caller_session.step(now_s)
    return caller_session, sent, records


def test_request_is_followed_to_its_answer():
    """Guards against ending without the answer, and wrong latencies."""
    caller_session, sent, records = run(reply(202, QUEUED), RUNNING, COMPLETED,
                                        ANSWER_RESPONSE)
    assert (caller_session.outcome,
            caller_session.wrong_answer) == ("completed", False)
    assert list(
        caller_session.times_s) == ["sent", "accepted", "running", "ended"]
    assert list(caller_session.times_s.values()) == [10.0, 10.5, 11.25, 12.0]
    assert sent[0].headers["Authorization"] == "Bearer secret"
    assert sent[0].headers["Idempotency-Key"] == "k"
    assert sent[-1].path == "/v1/requests/r1/answer"
    assert [record["event"] for record in records] == [
        "submit", "told", "status", "status", "status", "answer", "end"
    ]


@pytest.mark.parametrize(
    "failure",
    [UNANSWERED, reply(503, {"outcome": "unknown"}),
     reply(500, {})])
def test_unanswered_submission_is_repeated_at_another_node(failure):
    """Guards against a lost request, and a repeat under another key."""
    caller_session, sent, _ = run(failure, failure, reply(202, QUEUED),
                                  COMPLETED, ANSWER_RESPONSE)
    assert caller_session.outcome == "completed"
    assert len({http_request.node for http_request in sent[:3]}) == 3
    assert {
        http_request.headers["Idempotency-Key"] for http_request in sent[:3]
    } == {"k"}


@pytest.mark.parametrize(("answer", "outcome"), [
    (REFUSED._replace(status=429), "not_run"),
    (REFUSED, "not_run"),
    (REFUSED._replace(status=422, content=b"{}"), "rejected"),
    (UNANSWERED, "gave_up"),
])
def test_refusals_end_the_session(answer, outcome):
    """Guards against a caller that continues after a definite response."""
    caller_session, _, records = run(answer)
    assert caller_session.outcome == outcome
    assert records[-1]["outcome"] == outcome


def test_caller_gives_up_on_time():
    """Guards against a session that never ends."""
    caller_session, _, _ = run(reply(202, QUEUED),
                               reply(200, QUEUED),
                               give_up_s=30.0)
    assert caller_session.outcome == "gave_up"
    assert caller_session.times_s["ended"] == pytest.approx(40.0, abs=0.6)


def test_cancel_is_sent_once_and_repeated_if_lost():
    """Guards against a cancellation that is lost or never ends."""
    entry = ENTRY._replace(cancel_after_s=1.0)
    script = [
        reply(202, QUEUED), RUNNING, UNANSWERED,
        reply(202, {}), CANCELLED
    ]
    caller_session, sent, records = run(*script, entry=entry)
    assert caller_session.outcome == "cancelled"
    cancels = [
        http_request for http_request in sent
        if http_request.path.endswith("/cancel")
    ]
    assert len(cancels) == 2
    assert [record["event"] for record in records].count("cancel_told") == 1


def answer_with(payload, content):
    entry = ENTRY._replace(body={"payload": payload})
    final = session.HttpResponse(200, content)
    return run(reply(202, QUEUED), COMPLETED, final, entry=entry)[0]


@pytest.mark.parametrize(("payload", "content"), [
    ({
        "answer": "whole"
    }, b"whol"),
    (PAYLOAD_WITHOUT_ANSWER, b"whole"),
    (PAYLOAD_WITHOUT_ANSWER, b'{"attempt": "r1.1", "payload_sha256": "0"}'),
    (PAYLOAD_WITHOUT_ANSWER, DEFAULT_ANSWER.replace(b"r1.1", b"r2.1")),
])
def test_wrong_answers_are_detected(payload, content):
    """Guards against truncated or swapped answers that count as correct."""
    caller_session = answer_with(payload, content)
    assert caller_session.wrong_answer


def test_default_answer_is_accepted():
    """Guards against a check that rejects every default answer."""
    assert not answer_with(PAYLOAD_WITHOUT_ANSWER, DEFAULT_ANSWER).wrong_answer
