"""Small traces and replays for tests."""

import json

from trefoilroad_core import scheduler
from trefoilroad_replay import replayer
from trefoilroad_replay import trace

TEMPLATES = {
    "photo": ([1, 1, 4, 16, "none"], True, False, 3),
    "urgent": ([1, 1, 4, 16, "none"], True, False, 0),
    "route": ([2, 8, 32, 128, "rack"], True, True, 5),
    "once": ([1, 8, 8, 16, "none"], False, False, 2),
}
HEADER = {
    "kind":
        "header",
    "format":
        1,
    "name":
        "small",
    "checkpoint_s":
        10,
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
        "name": name,
        "shape": shape,
        "idempotent": idempotent,
        "checkpoint": checkpoint,
        "priority": priority,
        "wait_s": 1000,
        "declared_s": 100
    } for name, (shape, idempotent, checkpoint, priority) in TEMPLATES.items()],
    "teams": [{
        "name": name,
        "weight": 1,
        "guarantees": guarantees,
        "max_queued": 50,
        "max_queued_per_caller": 20,
        "max_accelerators": 0,
        "templates": list(TEMPLATES)
    } for name, guarantees in (("knit", [{
        "shape": [1, 8, 8, 64, "none"],
        "gangs": 1
    }]), ("yarn", []))]
}


def trace_request(request_id,
                  template="photo",
                  at_s=0.0,
                  run_s=100.0,
                  team="knit",
                  **fields):
    return {
        "kind": "release",
        "at": at_s,
        "id": request_id,
        "team": team,
        "caller": f"{team}-1",
        "template": template,
        "run_s": run_s
    } | fields


def build_trace(*events, **header):
    lines = [json.dumps(row) for row in [HEADER | header, *events]]
    return trace.Parser(place="small").parse(lines)


def replay(*events, build=scheduler.build_default, health=None, **header):
    """Replays events; returns the record, and its results by request id."""
    record = replayer.Replayer(trace=build_trace(*events, **header),
                               scheduler=build(),
                               policy="default",
                               health=health).run()
    return record, {
        result.trace_request.request_id: result for result in record.results
    }
