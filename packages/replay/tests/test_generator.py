"""Tests of the generator and of the recorded traces."""

import json
import pathlib

import pytest

from trefoilroad_replay import generator
from trefoilroad_replay import trace

TRACES_FOLDER = pathlib.Path(__file__).parents[3] / "traces"
TRACE_NAMES = [(place, kind)
               for place, kinds in generator.TRACE_KINDS.items()
               for kind in kinds]


@pytest.mark.parametrize(("place", "kind"), TRACE_NAMES)
def test_recorded_trace_matches_its_seed(place, kind):
    """Guards against recorded traces that cannot be reproduced."""
    rows = generator.build_rows(place, kind)
    lines = [json.dumps(row) for row in rows]
    built = trace.Parser(place="built").parse(lines)
    recorded = trace.read_trace(TRACES_FOLDER / f"{place}-{kind}.jsonl.gz")
    assert recorded.trace_requests == built.trace_requests
    assert recorded.worker_changes == built.worker_changes
    assert recorded.configuration == built.configuration


@pytest.mark.parametrize(("place", "kind"),
                         [name for name in TRACE_NAMES if "flood" in name[1]])
def test_flood_asks_for_ten_times_the_fleet(place, kind):
    """Guards against a flood that does not exceed the capacity of the fleet."""
    flood_trace = trace.read_trace(TRACES_FOLDER / f"{place}-{kind}.jsonl.gz")
    base = trace.read_trace(TRACES_FOLDER / f"{flood_trace.base}.jsonl.gz")
    base_trace_requests = set(base.trace_requests)
    flood_trace_requests = [
        trace_request for trace_request in flood_trace.trace_requests
        if trace_request not in base_trace_requests
    ]
    assert len(flood_trace_requests) == len(
        flood_trace.trace_requests) - len(base_trace_requests)
    assert {trace_request.team for trace_request in flood_trace_requests
           } == flood_trace.disturbing
    accelerators_asked = sum(trace_request.shape.total_accelerators
                             for trace_request in flood_trace_requests)
    assert accelerators_asked >= 9.9 * flood_trace.fleet.accelerators


def test_design_size_is_that_of_the_design_page():
    """Guards against measuring another fleet than that of the targets."""
    design = trace.read_trace(TRACES_FOLDER / "design-ordinary.jsonl.gz")
    assert len(design.fleet.workers) == 510
    assert design.fleet.accelerators == 1100
    assert len(design.fleet.failure_domains) == 6
    assert len(design.configuration.teams) == 52
