"""Replays traces with several policies and reports measures and targets."""

from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import functools
import gc
import json
import math
import pathlib
from typing import Any

import click

from trefoilroad_core import errors
from trefoilroad_replay import measures
from trefoilroad_replay import plots
from trefoilroad_replay import policies
from trefoilroad_replay import reference
from trefoilroad_replay import replayer
from trefoilroad_replay import results
from trefoilroad_replay import targets
from trefoilroad_replay import trace as trace_module

QUICK_TRACES = ("nkabom-ordinary", "nkabom-callers", "nkabom-urgent-flood",
                "kalahari-ordinary", "kalahari-urgent-flood",
                "kalahari-domain-lost")
QUICK_POLICIES = (policies.DEFAULT, policies.BASELINE)

COLUMNS = ("trace", "policy", "done", "p50 s", "p95 s", "p99 s", "slow p95",
           "adjac.", "whole", "big p95", "thru", "p95 x", "small x", "Jain",
           "use", "use x", "urgent", "reclaim", "evict", "ms mean", "ms max",
           "unmet")


@functools.cache
def _read_trace(path: pathlib.Path) -> trace_module.Trace:
    return trace_module.read_trace(path)


def replay(path: pathlib.Path, policy: str) -> results.Replay:
    """Replays one trace with a policy.

    Args:
        path: Trace file.
        policy: Name of the policy, one of policies.POLICIES.

    Returns:
        The record of the replay.
    """
    policy_parts = policies.POLICIES[policy]
    trace = _read_trace(path)
    # The traces read so far are excluded from garbage collections, whose time
    # would otherwise count as processor time of the rounds.
    gc.collect()
    gc.freeze()
    return replayer.Replayer(trace=trace,
                             scheduler=policy_parts.build_scheduler(),
                             health=policy_parts.build_health(),
                             policy=policy).run()


def compute_clairvoyant_use(path: pathlib.Path) -> float:
    """Computes the accelerator use of a clairvoyant schedule of a trace."""
    return reference.compute_clairvoyant_use(_read_trace(path))


def replay_traces(paths: dict[str, pathlib.Path], trace_names: Iterable[str],
                  policy_names: Iterable[str], max_processes: int,
                  failures: list[str]) -> Iterator[measures.Measures]:
    """Replays traces with policies in parallel processes.

    Args:
        paths: All trace files by name, to find base traces as well.
        trace_names: Traces to report.
        policy_names: Policies to report.
        max_processes: Largest number of replays to run at once.
        failures: List that replays with impossible decisions are added to.

    Yields:
        Measures of each trace and policy, policy by policy.
    """
    trace_names = list(trace_names)
    base_names = {name: _read_trace(paths[name]).base for name in trace_names}
    names_to_replay = sorted({*trace_names, *filter(None, base_names.values())})
    with futures.ProcessPoolExecutor(max_workers=max_processes) as pool:
        clairvoyant_use = {
            name: pool.submit(compute_clairvoyant_use, paths[name])
            for name in trace_names
        }
        pending_replays: dict[str, dict[str,
                                        futures.Future[results.Replay]]] = {}
        for policy in policy_names:
            pending_replays[policy] = {}
            for name in names_to_replay:
                pending_replays[policy][name] = pool.submit(
                    replay, paths[name], policy)
        for policy in list(pending_replays):
            # Records are dropped as soon as they have been measured.
            records: dict[str | None, results.Replay] = {}
            for name, pending_replay in pending_replays.pop(policy).items():
                try:
                    records[name] = pending_replay.result()
                except errors.PolicyError as error:
                    failures.append(f"{name}, {policy}: {error}")
            for name in trace_names:
                if name in records:
                    base = records.get(base_names[name])
                    yield measures.measure(records[name], base,
                                           clairvoyant_use[name].result())


def _format_number(value: float, digits: int = 2) -> str:
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "never"
    return f"{value:.{digits}f}"


def build_row(measured: measures.Measures) -> list[str]:
    """Returns the cells of a replay in the main table, as in COLUMNS."""
    floods = measured.floods
    return [
        measured.trace, measured.policy,
        str(measured.outcomes.get("completed", 0)),
        _format_number(measured.completion.median, 0),
        _format_number(measured.completion.p95, 0),
        _format_number(measured.completion.p99, 0),
        _format_number(measured.slowdown.p95),
        _format_number(measured.adjacent_share),
        _format_number(measured.whole_share),
        _format_number(measured.large_wait.p95, 0),
        _format_number(floods.throughput) if floods else "-",
        _format_number(floods.completion) if floods else "-",
        _format_number(measured.small_ratio),
        _format_number(measured.jain),
        _format_number(measured.use),
        _format_number(measured.use_ratio),
        _format_number(measured.urgent_start.p99),
        _format_number(measured.reclaim.worst),
        str(measured.evictions),
        _format_number(measured.decision_mean_s * 1000, 1),
        _format_number(measured.decision_max_s * 1000, 1),
        str(len(measured.unmet))
    ]


def format_table(rows: list[list[str]]) -> str:
    """Formats rows as a table; the first two columns are left-aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width) if index < 2 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_verdicts(verdicts: Iterable[targets.Verdict]) -> str:
    """Formats the results of checking targets as a table."""
    rows = [["trace", "target", "bound", "figure", ""]]
    for verdict in verdicts:
        sign = ">=" if verdict.target.is_minimum else "<="
        rows.append([
            verdict.trace, verdict.target.name,
            f"{sign} {verdict.target.bound:g}",
            _format_number(verdict.value,
                           3), "met" if verdict.is_met else "NOT MET"
        ])
    return format_table(rows)


def format_details(all_measures: Iterable[measures.Measures]) -> str:
    """Formats completion time and slowdown by template and by team."""
    rows = [[
        "trace", "policy", "of", "requests", "p50 s", "p95 s", "p99 s",
        "slow p50", "slow p95", "slow p99"
    ]]
    for measured in all_measures:
        groups = [(measured.by_template, measured.slowdown_by_template),
                  (measured.by_team, measured.slowdown_by_team)]
        for completion, slowdown in groups:
            for name, times in completion.items():
                ratio = slowdown[name]
                rows.append([
                    measured.trace, measured.policy, name,
                    str(times.number),
                    _format_number(times.median, 0),
                    _format_number(times.p95, 0),
                    _format_number(times.p99, 0),
                    _format_number(ratio.median),
                    _format_number(ratio.p95),
                    _format_number(ratio.p99)
                ])
    return format_table(rows)


def _convert_to_json(value: Any) -> Any:
    """Converts measures to JSON values; NaN and infinity become null."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {
            key: _convert_to_json(item) for key, item in value._asdict().items()
        }
    if isinstance(value, dict):
        return {key: _convert_to_json(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return [_convert_to_json(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def write_report(all_measures: list[measures.Measures],
                 folder: pathlib.Path) -> str:
    """Writes tables, measures and plots.

    Args:
        all_measures: Measures of all replays.
        folder: Folder to write to.

    Returns:
        The main table, and the targets and expectations that the default
        policy met or missed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    table = format_table([list(COLUMNS), *map(build_row, all_measures)])
    verdicts = [
        verdict for measured in all_measures
        if measured.policy == policies.DEFAULT
        for verdict in targets.evaluate_targets(measured)
    ]
    unmet = [
        f"{measured.trace}: {line}" for measured in all_measures
        if measured.policy == policies.DEFAULT for line in measured.unmet
    ]
    sections = [table, format_verdicts(verdicts)]
    if unmet:
        sections.append("Stated outcomes not met:\n" + "\n".join(unmet))
    text = "\n\n".join(sections) + "\n"
    (folder / "report.txt").write_text(text)
    (folder / "details.txt").write_text(format_details(all_measures) + "\n")
    (folder / "report.json").write_text(
        json.dumps([_convert_to_json(measured) for measured in all_measures],
                   indent=1))
    plots.plot_all(all_measures, folder)
    return text


def find_traces(folder: pathlib.Path) -> dict[str, pathlib.Path]:
    """Returns the trace files of a folder by name."""
    return {
        path.name.partition(".")[0]: path
        for path in sorted(folder.glob("*.jsonl*"))
    }


def _select_names(option: tuple[str, ...], valid_names: Iterable[str],
                  default: Iterable[str], option_name: str) -> list[str]:
    unknown = [name for name in option if name not in valid_names]
    if unknown:
        raise click.BadParameter(f"unknown {option_name}: {', '.join(unknown)}")
    return list(option or default)


@click.command()
@click.option("--traces",
              "folder",
              type=click.Path(path_type=pathlib.Path, exists=True),
              default=pathlib.Path("traces"),
              show_default=True,
              help="Folder of trace files.")
@click.option("--out",
              type=click.Path(path_type=pathlib.Path),
              default=pathlib.Path("out"),
              show_default=True,
              help="Folder for tables and plots.")
@click.option("--trace",
              "names",
              multiple=True,
              help="Trace to replay; can be given several times.")
@click.option("--policy",
              "chosen",
              multiple=True,
              help="Policy to replay; can be given several times.")
@click.option("--quick", is_flag=True, help="A few traces and policies only.")
@click.option("--jobs",
              default=4,
              show_default=True,
              type=click.IntRange(min=1),
              help="Replays to run at once.")
def main(folder: pathlib.Path, out: pathlib.Path, names: tuple[str, ...],
         chosen: tuple[str, ...], quick: bool, jobs: int) -> None:
    """Replays recorded traces and reports measures and targets."""
    paths = find_traces(folder)
    default_names = QUICK_TRACES if quick else tuple(paths)
    default_policies = QUICK_POLICIES if quick else tuple(policies.POLICIES)
    selected = _select_names(names, paths, default_names, "trace")
    compared = _select_names(chosen, policies.POLICIES, default_policies,
                             "policy")
    failures: list[str] = []
    try:
        all_measures = list(
            replay_traces(paths, selected, compared, jobs, failures))
    except errors.InvalidDocuments as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        raise SystemExit(2) from error
    click.echo(write_report(all_measures, out))
    click.echo(f"Tables and plots are in {out}.")
    for failure in failures:
        click.echo(f"FAILED: {failure}", err=True)
    if failures:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
