"""Tests of the generator and of the recorded traces."""

import json
import pathlib

import pytest

from trefoilroad_replay import generator
from trefoilroad_replay import trace

FOLDER = pathlib.Path(__file__).parents[3] / "traces"
NAMES = [
    (place, kind) for place, kinds in generator.TRACES.items() for kind in kinds
]


@pytest.mark.parametrize(("place", "kind"), NAMES)
def test_recorded_trace_is_what_its_seed_gives(place, kind):
    """Guards against figures of traces that nobody can make again."""
    rows = generator.build_rows(place, kind)
    lines = [json.dumps(row) for row in rows]
    built = trace.Parser(place="built").parse(lines)
    recorded = trace.read_trace(FOLDER / f"{place}-{kind}.jsonl.gz")
    assert recorded.releases == built.releases
    assert recorded.changes == built.changes
    assert recorded.configuration == built.configuration


@pytest.mark.parametrize(("place", "kind"),
                         [name for name in NAMES if "flood" in name[1]])
def test_flood_asks_for_ten_times_the_fleet(place, kind):
    """Guards against a flood that the fleet could simply absorb."""
    flooded = trace.read_trace(FOLDER / f"{place}-{kind}.jsonl.gz")
    base = trace.read_trace(FOLDER / f"{flooded.base}.jsonl.gz")
    known = set(base.releases)
    added = [each for each in flooded.releases if each not in known]
    assert len(added) == len(flooded.releases) - len(known)
    assert {each.team for each in added} == flooded.disturbing
    asked = sum(each.shape.total_accelerators for each in added)
    assert asked >= 9.9 * flooded.fleet.accelerators


def test_design_size_is_that_of_the_design_page():
    """Guards against figures of a smaller fleet than the one named."""
    design = trace.read_trace(FOLDER / "design-ordinary.jsonl.gz")
    assert len(design.fleet.workers) == 510
    assert design.fleet.accelerators == 1100
    assert len(design.fleet.failure_domains) == 6
    assert len(design.configuration.teams) == 52
