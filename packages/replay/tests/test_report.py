"""Tests of the report and of the capacity command."""

import json

from click import testing
import replay_builders as builders

from trefoilroad_replay import capacity
from trefoilroad_replay import plots
from trefoilroad_replay import report
from trefoilroad_replay import trace


def test_report_holds_every_policy_and_checks_targets(tmp_path):
    """Guards against omitting a policy or a base trace without an error."""
    ordinary = [
        builders.trace_request(f"r{i}", at_s=i, run_s=2.0, team=team)
        for i, team in enumerate(["knit", "yarn"] * 4)
    ]
    trace.write_trace(tmp_path / "small.jsonl", [builders.HEADER, *ordinary])
    flood_header = builders.HEADER | {
        "name": "flood",
        "base": "small",
        "disturbing": ["yarn"]
    }
    flood_trace_requests = [
        builders.trace_request(f"f{i}", at_s=1.0, run_s=20.0, team="yarn")
        for i in range(60)
    ]
    expectation = {"kind": "expect", "outcome": "completed", "team": "knit"}
    trace.write_trace(
        tmp_path / "flood.jsonl.gz",
        [flood_header, *ordinary, *flood_trace_requests, expectation])
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
    """Guards against an empty report for an unknown policy name."""
    result = testing.CliRunner().invoke(
        report.main, ["--traces", str(tmp_path), "--policy", "none"])
    assert result.exit_code == 2
    assert "unknown policy: none" in result.output


def test_capacity_runs_the_number_of_tasks_that_it_names():
    """Guards against measuring rounds of a nearly empty fleet."""
    capacity_measures = capacity.measure_size(100)
    assert capacity_measures.workers == 100
    assert capacity_measures.tasks > 0.9 * 100 * capacity.SLOTS_PER_WORKER
    assert capacity_measures.pending >= capacity.BACKLOG_REQUESTS
    slow = capacity_measures._replace(max_ms=60.0)
    assert "NOT MET" in capacity.format_table([slow])
