"""Tests of schedules."""

import json
import tomllib

import pytest

from trefoilroad_core import errors
from trefoilroad_standins import schedule

MIX = """
[[kinds]]
team = "t1"
template = "small"
weight = 3
callers = 4
run_s = 2.0
cancel = 0.5
[[kinds]]
team = "t2"
template = "large"
run_s = 9.0
fail = 1.0
wait_s = 30
declared_factor = 0
shape = { tasks = 4 }
"""


def generate(seed, count=400):
    kinds = schedule.parse_kinds(tomllib.loads(MIX))
    return schedule.generate_entries(kinds,
                                     seed=seed,
                                     count=count,
                                     rate_per_s=10.0)


def test_generated_schedule_follows_the_mix():
    """Guards against load that deviates from the mix or between runs."""
    entries = generate(1)
    assert entries == generate(1) != generate(2)
    small = [entry for entry in entries if entry.team == "t1"]
    assert 0.65 < len(small) / len(entries) < 0.85
    assert 30 < entries[-1].at_s < 50
    assert len({entry.body["caller"] for entry in small}) == 4
    cancelled = [entry for entry in small if entry.cancel_after_s is not None]
    assert 0.35 < len(cancelled) / len(small) < 0.65
    large = next(entry for entry in entries if entry.team == "t2")
    assert large.body["payload"]["fail"] is True
    assert large.body["shape"] == {"tasks": 4}
    assert "declared_s" not in large.body


def test_schedule_round_trips_through_a_file():
    """Guards against fields that are lost between writing and reading."""
    entries = generate(3, count=20)
    lines = [schedule.format_entry(entry) for entry in reversed(entries)]
    assert schedule.parse_entries([*lines, "\n"]) == entries


@pytest.mark.parametrize("kind", [
    '{}',
    '{"team": "t", "template": "x", "run_s": -1}',
    '{"team": "t", "template": "x", "run_s": 1, "run": 1}',
    '{"team": "t", "template": "x", "run_s": 1, "weight": 0}',
])
def test_invalid_mix_is_refused(kind):
    """Guards against a misspelt mix that generates other load silently."""
    with pytest.raises(errors.ProtocolError):
        schedule.parse_kinds({"kinds": [json.loads(kind)]})


def test_repeated_keys_are_refused():
    """Guards against two requests that a node would treat as one."""
    line = schedule.format_entry(generate(1, count=1)[0])
    with pytest.raises(errors.ProtocolError):
        schedule.parse_entries([line, line])
