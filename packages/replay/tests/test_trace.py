"""Tests of the trace module."""

import json

import pytest

from trefoilroad_core import errors
from trefoilroad_replay import trace

HEADER = {
    "kind":
        "header",
    "format":
        1,
    "name":
        "small",
    "checkpoint_s":
        30,
    "racks": [{
        "rack": "a1",
        "failure_domain": "a",
        "workers": 2,
        "accelerators": 8,
        "cores": 64,
        "memory_gb": 256,
        "slots": 8,
        "connections": 64
    }],
    "templates": [{
        "name": "photo",
        "shape": [1, 1, 4, 16, "none"],
        "idempotent": True,
        "checkpoint": False,
        "priority": 5,
        "wait_s": 600,
        "declared_s": 60
    }],
    "teams": [{
        "name": "knit",
        "weight": 1.0,
        "guarantees": [{
            "shape": [1, 8, 8, 64, "none"],
            "gangs": 1
        }],
        "max_queued": 100,
        "max_queued_per_caller": 100,
        "max_accelerators": 0,
        "templates": ["photo"]
    }]
}
TRACE_REQUEST = {
    "kind": "release",
    "at": 1.5,
    "id": "r1",
    "team": "knit",
    "caller": "c1",
    "template": "photo",
    "run_s": 42
}


def parse(*rows):
    return trace.Parser(place="t.jsonl").parse(json.dumps(row) for row in rows)


def test_template_fills_what_a_release_leaves_out():
    """Guards against a release without the defaults of its template."""
    parsed = parse(HEADER, TRACE_REQUEST)
    trace_request = parsed.trace_requests[0]
    assert (trace_request.declared_s, trace_request.priority,
            trace_request.wait_s) == (60, 5, 600)
    assert trace_request.true_shape == trace_request.shape == (1, 1, 4, 16,
                                                               "none")
    assert list(parsed.fleet.workers) == ["a1-01", "a1-02"]


def test_all_findings_are_reported_together_with_their_lines():
    """Guards against a parser that stops at the first finding."""
    with pytest.raises(errors.InvalidDocuments) as caught:
        parse(HEADER, TRACE_REQUEST, TRACE_REQUEST | {
            "id": "r2",
            "run_s": -1
        }, TRACE_REQUEST | {"team": "none"}, TRACE_REQUEST | {
            "id": "r3",
            "colour": 1
        }, {
            "kind": "cancel",
            "at": 3,
            "request": "r9"
        }, {
            "kind": "worker",
            "at": 3,
            "workers": ["b"],
            "state": "ill"
        }, {
            "kind": "outage",
            "at": 3,
            "until": 2
        }, {"kind": "other"})
    found = [(finding.place, finding.key) for finding in caught.value.findings]
    assert found == [("t.jsonl:3", "run_s"), ("t.jsonl:4", "template"),
                     ("t.jsonl:5", "colour"), ("t.jsonl:7", "workers"),
                     ("t.jsonl:7", "state"), ("t.jsonl:8", "until"),
                     ("t.jsonl:9", "kind"), ("t.jsonl:6", "request")]


@pytest.mark.parametrize("change", [{
    "shape": [1, 1, 1, 1]
}, {
    "shape": [0, 1, 1, 1, "none"]
}, {
    "idempotent": 1
}, {
    "priority": True
}, {
    "id": "r1"
}])
def test_wrong_release_field_is_found(change):
    """Guards against invalid values that would distort a replay."""
    with pytest.raises(errors.InvalidDocuments, match="1 finding"):
        parse(HEADER, TRACE_REQUEST, TRACE_REQUEST | {"id": "r2"} | change)


def test_missing_header_is_found():
    """Guards against accepting a trace without a fleet."""
    with pytest.raises(errors.InvalidDocuments):
        parse(TRACE_REQUEST)


def test_written_trace_reads_back(tmp_path):
    """Guards against a parser that cannot read what the writer writes."""
    path = tmp_path / "t.jsonl.gz"
    trace.write_trace(path, [HEADER, TRACE_REQUEST])
    assert trace.read_trace(path).trace_requests[0].run_s == 42
