"""Tests of the checker: each violation is found, clean histories pass."""

import json

from click import testing
import pytest

from trefoilroad_core import errors
from trefoilroad_replay import checker
from trefoilroad_replay import history

SHAPE = [2, 1, 1, 1, "none"]


def event(name, worker, at_s, attempt="r1.1", ranks=(), **fields):
    sha256 = fields.pop("sha256", None)
    answer = {"length": 1, "sha256": sha256} if sha256 else None
    return {
        "event": name,
        "worker": worker,
        "boot": f"{worker}-1",
        "attempt": attempt,
        "ranks": list(ranks),
        "epoch": 1,
        "at_s": at_s,
        "wall_s": 1000 + at_s,
        "detail": {
            "answer": answer
        }
    } | fields


def told(outcome, at_s=0.0, request_id="r1", **fields):
    return {
        "request": request_id,
        "outcome": outcome,
        "wall_s": 1000 + at_s,
        "idempotent": False,
        "shape": SHAPE
    } | fields


def gang(attempt="r1.1", begin_s=1.0, end_s=30.0, workers="ab", digest="d1"):
    first, second = workers
    return [
        event("reserve", first, begin_s, attempt, [0]),
        event("reserve", second, begin_s, attempt, [1]),
        event("start", first, begin_s + 0.1, attempt, [0]),
        event("start", second, begin_s + 0.2, attempt, [1]),
        event("finish", first, end_s, attempt, [0], sha256=digest),
        event("finish", second, end_s + 0.1, attempt, [1]),
    ]


DONE = [told("accepted"), told("completed", 31, digest="d1", expected="d1")]


def check(events, told_rows):
    findings = []
    judge = checker.Checker(
        events=history.parse_worker_history("w", map(json.dumps, events),
                                            findings),
        told=history.parse_caller_history("c", map(json.dumps, told_rows),
                                          findings),
        bounds=checker.Bounds())
    assert not findings
    return {violation.rule for violation in judge.find_violations()}


def drop(events, name, worker):
    return [
        each for each in events
        if (each["event"], each["worker"]) != (name, worker)
    ]


MOVED = [
    *gang()[:4],
    event("lapse", "a", 15.0, ranks=[0]),
    event("stop", "b", 14.0, ranks=[1]), *gang("r1.2", 40.0, 60.0, "cd")
]
FAILED = [
    *gang()[:4],
    event("fail", "a", 5.0, ranks=[0]),
    event("stop", "b", 5.5, ranks=[1])
]


@pytest.mark.parametrize(
    ("events", "told_rows"),
    [
        (gang(), DONE),
        # A caller that asks again is told the same.
        (gang(), [*DONE, told("unknown", 5), *DONE]),
        (FAILED, [told("accepted"),
                  told("failed", 6, ran="yes")]),
        # A cut-off member runs on until its lease lapses.
        (MOVED, [{
            **row, "idempotent": True
        } for row in DONE]),
        ([*FAILED[:4], event("down", "a", 5.0, ""), FAILED[5]
         ], [told("accepted"), told("failed", 6)]),
        ([
            event("reserve", "a", 1, ranks=[0]),
            event("lapse", "a", 6, ranks=[0])
        ], [told("accepted"), told("expired", 9)]),
        ([], [told("not_run")]),
        ([event("leaving", "a", 0.0, ""), *gang(begin_s=4.0)], DONE),
        ([
            event("leaving", "a", 0.0, ""),
            event("staying", "a", 0.5, ""), *gang(begin_s=20.0)
        ], DONE),
    ])
def test_clean_history_passes(events, told_rows):
    """Guards against false alarms that would hide real ones."""
    assert check(events, told_rows) == set()


@pytest.mark.parametrize(
    ("rule", "events", "told_rows"),
    [
        # A member that never started.
        (checker.PARTIAL_GANG, drop(gang(), "start", "b"),
         [told("accepted"), told("failed")]),
        # A member that fails while the other runs on.
        (checker.PARTIAL_GANG, [
            *gang()[:4],
            event("fail", "a", 5.0, ranks=[0]),
            event("finish", "b", 17.0, ranks=[1])
        ], [told("accepted"), told("failed")]),
        # A member that goes down while the other is never stopped.
        (checker.PARTIAL_GANG, [
            *gang()[:4],
            event("down", "a", 5.0, ""),
            event("reserve", "z", 40.0, "r2.1", [0])
        ], [told("accepted"), told("failed")]),
        (checker.AT_MOST_ONCE, MOVED, DONE),
        (checker.AT_MOST_ONCE, [
            *gang()[:4],
            event("start", "c", 2.0, ranks=[1]), *gang()[4:],
            event("stop", "c", 30.0, ranks=[1])
        ], DONE),
        (checker.NOT_RUN, gang(), [told("not_run", 0)]),
        (checker.NOT_RUN, gang(), [told("accepted"),
                                   told("expired", 0)]),
        (checker.NOT_RUN, gang(),
         [told("accepted"), told("cancelled", 0, ran="no")]),
        # An answer that only another request gave.
        (checker.ANSWER, [*gang(), *gang("r2.1", digest="d2")], [
            DONE[0],
            told("completed", 31, digest="d2"),
            told("accepted", 0, "r2"),
            told("completed", 31, "r2", digest="d2")
        ]),
        (checker.ANSWER, gang(digest="d3"),
         [DONE[0], told("completed", 31, digest="d3", expected="d1")]),
        (checker.ANSWER, gang(), [DONE[0], told("completed", 31)]),
        # An answer of a gang of which one member failed.
        (checker.ANSWER,
         [*drop(gang(), "finish", "b"),
          event("fail", "b", 30.1, ranks=[1])], DONE),
        (checker.ONE_OUTCOME, gang(), [*DONE, told("failed", 40)]),
        (checker.ONE_OUTCOME, gang(), [told("accepted"),
                                       told("unknown", 5)]),
        (checker.LEAVING, [event("leaving", "b", 0.0, ""), *gang(begin_s=5.0)
                          ], DONE),
        (checker.FENCING, [
            *gang(),
            event("reserve", "a", 41, "r1.2", [0], epoch=3),
            event("reserve", "a", 42, "r1.2", [0], epoch=2)
        ], DONE),
        (checker.KNOWN_REQUEST, [*gang(), *gang("r2.1")], DONE),
    ])
def test_violation_is_found(rule, events, told_rows):
    """Guards against a checker that overlooks the fault it is there for."""
    assert check(events, told_rows) == {rule}


@pytest.mark.parametrize(("state", "count"), [("never_started", 0),
                                              ("stopped", 1)])
def test_only_an_unheard_of_attempt_is_stopped_without_ranks(state, count):
    findings = []
    line = event("stop", "a", 1.0, detail={"state": state, "checkpoint": False})
    history.parse_worker_history("w", [json.dumps(line)], findings)
    assert len(findings) == count


def test_findings_of_both_files_are_reported_together(tmp_path):
    """Guards against a misread recording being judged as clean."""
    workers, callers = tmp_path / "w.jsonl", tmp_path / "c.jsonl"
    workers.write_text('{"event": "start"}\nnot json\n')
    callers.write_text(json.dumps(told("gone")) + "\n")
    with pytest.raises(errors.InvalidDocuments) as caught:
        checker.read_recording([workers], [callers], checker.Bounds())
    places = {finding.place for finding in caught.value.findings}
    assert places == {"w.jsonl:1", "w.jsonl:2", "c.jsonl:1"}


@pytest.mark.parametrize(("events", "told_rows", "code"), [(gang(), DONE, 0),
                                                           (MOVED, DONE, 1),
                                                           ([], [], 2)])
def test_command_fails_on_violations_and_empty_recordings(
        tmp_path, events, told_rows, code):
    """Guards against a run that recorded nothing and passes."""
    workers, callers = tmp_path / "w.jsonl", tmp_path / "c.jsonl"
    workers.write_text("".join(json.dumps(row) + "\n" for row in events))
    callers.write_text("".join(json.dumps(row) + "\n" for row in told_rows))
    result = testing.CliRunner().invoke(
        checker.main,
        ["--workers", str(workers), "--callers",
         str(callers)])
    assert result.exit_code == code, result.output


def test_what_was_judged_is_counted():
    """Guards against a rule that had nothing to judge and seems to hold."""
    events = [*gang(), event("leaving", "a", 0.0, "")]
    judge = checker.Checker(
        events=history.parse_worker_history("w", map(json.dumps, events), []),
        told=history.parse_caller_history("c", map(json.dumps, DONE), []),
        bounds=checker.Bounds())
    assert judge.count_judged() == {
        "requests": 1,
        "starts": 2,
        "gangs": 1,
        "once": 2,
        "not_run": 0,
        "answers": 1,
        "marks": 1
    }
