"""Tests that the checker finds each violation and passes clean histories."""

import json

from click import testing
import pytest

from trefoilroad_core import errors
from trefoilroad_replay import checker
from trefoilroad_replay import history

SHAPE = [2, 1, 1, 1, "none"]


def make_event(name, worker, at_s, attempt="r1.1", ranks=(), **fields):
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


def make_record(outcome, at_s=0.0, request_id="r1", **fields):
    return {
        "request": request_id,
        "outcome": outcome,
        "wall_s": 1000 + at_s,
        "idempotent": False,
        "shape": SHAPE
    } | fields


def make_gang(attempt="r1.1",
              begin_s=1.0,
              end_s=30.0,
              workers="ab",
              digest="d1"):
    first, second = workers
    return [
        make_event("reserve", first, begin_s, attempt, [0]),
        make_event("reserve", second, begin_s, attempt, [1]),
        make_event("start", first, begin_s + 0.1, attempt, [0]),
        make_event("start", second, begin_s + 0.2, attempt, [1]),
        make_event("finish", first, end_s, attempt, [0], sha256=digest),
        make_event("finish", second, end_s + 0.1, attempt, [1]),
    ]


COMPLETED = [
    make_record("accepted"),
    make_record("completed", 31, digest="d1", expected="d1")
]


def find_violated_rules(events, told_rows):
    findings = []
    history_checker = checker.Checker(
        events=history.parse_worker_history("w", map(json.dumps, events),
                                            findings),
        told=history.parse_caller_history("c", map(json.dumps, told_rows),
                                          findings),
        bounds=checker.Bounds())
    assert not findings
    return {violation.rule for violation in history_checker.find_violations()}


def remove_events(events, name, worker):
    return [
        each for each in events
        if (each["event"], each["worker"]) != (name, worker)
    ]


RESTARTED_GANG = [
    *make_gang()[:4],
    make_event("lapse", "a", 15.0, ranks=[0]),
    make_event("stop", "b", 14.0, ranks=[1]),
    *make_gang("r1.2", 40.0, 60.0, "cd")
]
FAILED_GANG = [
    *make_gang()[:4],
    make_event("fail", "a", 5.0, ranks=[0]),
    make_event("stop", "b", 5.5, ranks=[1])
]


@pytest.mark.parametrize(
    ("events", "told_rows"),
    [
        (make_gang(), COMPLETED),
        # A caller that asks again receives the same outcome.
        (make_gang(), [*COMPLETED,
                       make_record("unknown", 5), *COMPLETED]),
        (FAILED_GANG,
         [make_record("accepted"),
          make_record("failed", 6, ran="yes")]),
        # A member without connection runs on until its lease expires.
        (RESTARTED_GANG, [{
            **row, "idempotent": True
        } for row in COMPLETED]),
        ([*FAILED_GANG[:4],
          make_event("down", "a", 5.0, ""), FAILED_GANG[5]
         ], [make_record("accepted"),
             make_record("failed", 6)]),
        ([
            make_event("reserve", "a", 1, ranks=[0]),
            make_event("lapse", "a", 6, ranks=[0])
        ], [make_record("accepted"),
            make_record("expired", 9)]),
        ([], [make_record("not_run")]),
        ([make_event("leaving", "a", 0.0, ""), *make_gang(begin_s=4.0)
         ], COMPLETED),
        ([
            make_event("leaving", "a", 0.0, ""),
            make_event("staying", "a", 0.5, ""), *make_gang(begin_s=20.0)
        ], COMPLETED),
    ])
def test_clean_history_passes(events, told_rows):
    """Guards against false alarms, which would hide real violations."""
    assert find_violated_rules(events, told_rows) == set()


@pytest.mark.parametrize(
    ("rule", "events", "told_rows"),
    [
        # A member that never started.
        (checker.PARTIAL_GANG, remove_events(make_gang(), "start", "b"),
         [make_record("accepted"),
          make_record("failed")]),
        # A member that fails while the other runs on.
        (checker.PARTIAL_GANG, [
            *make_gang()[:4],
            make_event("fail", "a", 5.0, ranks=[0]),
            make_event("finish", "b", 17.0, ranks=[1])
        ], [make_record("accepted"),
            make_record("failed")]),
        # A member whose worker goes down while the other is never stopped.
        (checker.PARTIAL_GANG, [
            *make_gang()[:4],
            make_event("down", "a", 5.0, ""),
            make_event("reserve", "z", 40.0, "r2.1", [0])
        ], [make_record("accepted"),
            make_record("failed")]),
        (checker.AT_MOST_ONCE, RESTARTED_GANG, COMPLETED),
        (checker.AT_MOST_ONCE, [
            *make_gang()[:4],
            make_event("start", "c", 2.0, ranks=[1]), *make_gang()[4:],
            make_event("stop", "c", 30.0, ranks=[1])
        ], COMPLETED),
        (checker.NOT_RUN, make_gang(), [make_record("not_run", 0)]),
        (checker.NOT_RUN, make_gang(),
         [make_record("accepted"),
          make_record("expired", 0)]),
        (checker.NOT_RUN, make_gang(),
         [make_record("accepted"),
          make_record("cancelled", 0, ran="no")]),
        # The answer of another request.
        (checker.ANSWER, [*make_gang(), *make_gang("r2.1", digest="d2")], [
            COMPLETED[0],
            make_record("completed", 31, digest="d2"),
            make_record("accepted", 0, "r2"),
            make_record("completed", 31, "r2", digest="d2")
        ]),
        (checker.ANSWER, make_gang(digest="d3"), [
            COMPLETED[0],
            make_record("completed", 31, digest="d3", expected="d1")
        ]),
        (checker.ANSWER, make_gang(),
         [COMPLETED[0], make_record("completed", 31)]),
        # An answer of a gang of which one member failed.
        (checker.ANSWER, [
            *remove_events(make_gang(), "finish", "b"),
            make_event("fail", "b", 30.1, ranks=[1])
        ], COMPLETED),
        (checker.ONE_OUTCOME, make_gang(),
         [*COMPLETED, make_record("failed", 40)]),
        (checker.ONE_OUTCOME, make_gang(),
         [make_record("accepted"),
          make_record("unknown", 5)]),
        (checker.LEAVING, [
            make_event("leaving", "b", 0.0, ""), *make_gang(begin_s=5.0)
        ], COMPLETED),
        (checker.FENCING, [
            *make_gang(),
            make_event("reserve", "a", 41, "r1.2", [0], epoch=3),
            make_event("reserve", "a", 42, "r1.2", [0], epoch=2)
        ], COMPLETED),
        (checker.KNOWN_REQUEST, [*make_gang(), *make_gang("r2.1")], COMPLETED),
    ])
def test_violation_is_found(rule, events, told_rows):
    """Guards against a rule that does not find its violation."""
    assert find_violated_rules(events, told_rows) == {rule}


@pytest.mark.parametrize(("state", "count"), [("never_started", 0),
                                              ("stopped", 1)])
def test_only_a_never_started_attempt_is_stopped_without_ranks(state, count):
    findings = []
    line = make_event("stop",
                      "a",
                      1.0,
                      detail={
                          "state": state,
                          "checkpoint": False
                      })
    history.parse_worker_history("w", [json.dumps(line)], findings)
    assert len(findings) == count


def test_findings_of_both_files_are_reported_together(tmp_path):
    """Guards against passing a recording with unreadable lines."""
    workers, callers = tmp_path / "w.jsonl", tmp_path / "c.jsonl"
    workers.write_text('{"event": "start"}\nnot json\n')
    callers.write_text(json.dumps(make_record("gone")) + "\n")
    with pytest.raises(errors.InvalidDocuments) as caught:
        checker.read_recording([workers], [callers], checker.Bounds())
    places = {finding.place for finding in caught.value.findings}
    assert places == {"w.jsonl:1", "w.jsonl:2", "c.jsonl:1"}


@pytest.mark.parametrize(("events", "told_rows", "code"),
                         [(make_gang(), COMPLETED, 0),
                          (RESTARTED_GANG, COMPLETED, 1), ([], [], 2)])
def test_command_fails_on_violations_and_empty_recordings(
        tmp_path, events, told_rows, code):
    """Guards against passing a recording that is empty."""
    workers, callers = tmp_path / "w.jsonl", tmp_path / "c.jsonl"
    workers.write_text("".join(json.dumps(row) + "\n" for row in events))
    callers.write_text("".join(json.dumps(row) + "\n" for row in told_rows))
    result = testing.CliRunner().invoke(
        checker.main,
        ["--workers", str(workers), "--callers",
         str(callers)])
    assert result.exit_code == code, result.output


def test_what_the_rules_apply_to_is_counted():
    """Guards against trusting a rule that the recording does not exercise."""
    events = [*make_gang(), make_event("leaving", "a", 0.0, "")]
    history_checker = checker.Checker(
        events=history.parse_worker_history("w", map(json.dumps, events), []),
        told=history.parse_caller_history("c", map(json.dumps, COMPLETED), []),
        bounds=checker.Bounds())
    assert history_checker.count_checked() == {
        "requests": 1,
        "starts": 2,
        "gangs": 1,
        "once": 2,
        "not_run": 0,
        "answers": 1,
        "marks": 1
    }
