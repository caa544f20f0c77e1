"""Tests of the report and of the capacity command."""

import json

from click import testing
import replay_builders as builders

from trefoilroad_replay import capacity
from trefoilroad_replay import plots
from trefoilroad_replay import report
from trefoilroad_replay import trace


def test_report_holds_every_policy_and_judges_the_default(tmp_path):
    """Guards against a policy or a base trace that is left out unnoticed."""
    work = [
        builders.release(f"r{i}", at_s=i, run_s=2.0, team=team)
        for i, team in enumerate(["knit", "yarn"] * 4)
    ]
    trace.write_rows(tmp_path / "small.jsonl", [builders.HEADER, *work])
    flood = builders.HEADER | {
        "name": "flood",
        "base": "small",
        "disturbing": ["yarn"]
    }
    more = [
        builders.release(f"f{i}", at_s=1.0, run_s=20.0, team="yarn")
        for i in range(60)
    ]
    expect = {"kind": "expect", "outcome": "completed", "team": "knit"}
    trace.write_rows(tmp_path / "flood.jsonl.gz", [flood, *work, *more, expect])
    out = tmp_path / "out"
    result = testing.CliRunner().invoke(report.main, [
        "--traces",
        str(tmp_path), "--out",
        str(out), "--trace", "flood", "--policy", "default", "--policy",
        "baseline", "--jobs", "1"
    ])
    assert result.exit_code == 0, result.output
    assert "throughput of other work in a flood" in result.output
    rows = json.loads((out / "report.json").read_text())
    assert [(row["trace"], row["policy"]) for row in rows
           ] == [("flood", "default"), ("flood", "baseline")]
    assert all(row["floods"]["throughput"] is not None for row in rows)
    assert all(
        (out / f"{plot.name}.png").stat().st_size for plot in plots.PLOTS)


def test_unknown_policy_is_refused(tmp_path):
    """Guards against an empty report for a misspelt name."""
    result = testing.CliRunner().invoke(
        report.main, ["--traces", str(tmp_path), "--policy", "none"])
    assert result.exit_code == 2
    assert "unknown policy: none" in result.output


def test_capacity_runs_the_number_of_tasks_that_it_names():
    """Guards against round times of a fleet that is nearly empty."""
    found = capacity.measure_size(100)
    assert found.workers == 100
    assert found.tasks > 0.9 * 100 * capacity.SLOTS
    assert found.pending >= capacity.BACKLOG
    slow = found._replace(max_ms=60.0)
    assert "NOT MET" in capacity.format_table([slow])
