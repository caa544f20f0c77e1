"""Replays traces with several policies and reports figures beside targets."""

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
    """Replays one trace.

    Args:
        path: Trace file.
        policy: One of policies.POLICIES.

    Returns:
        The record.
    """
    chosen = policies.POLICIES[policy]
    trace = _read_trace(path)
    # Collections that walk through all traces read so far would count as
    # processor time of the rounds.
    gc.collect()
    gc.freeze()
    return replayer.Replayer(trace=trace,
                             scheduler=chosen.build_scheduler(),
                             health=chosen.build_health(),
                             policy=policy).run()


def measure_known_use(path: pathlib.Path) -> float:
    """Measures the use of a schedule that knows the run times of a trace."""
    return reference.measure_known_use(_read_trace(path))


def run(paths: dict[str,
                    pathlib.Path], names: Iterable[str], chosen: Iterable[str],
        jobs: int, failures: list[str]) -> Iterator[measures.Measures]:
    """Replays traces with policies.

    Args:
        paths: All trace files by name, to find base traces as well.
        names: Traces to report.
        chosen: Policies to report.
        jobs: Replays to run at once.
        failures: Where replays with impossible decisions are noted.

    Yields:
        Figures of each trace and policy, policy by policy.
    """
    names = list(names)
    bases = {name: _read_trace(paths[name]).base for name in names}
    needed = sorted({*names, *filter(None, bases.values())})
    with futures.ProcessPoolExecutor(max_workers=jobs) as pool:
        known = {
            name: pool.submit(measure_known_use, paths[name]) for name in names
        }
        tasks: dict[str, dict[str, futures.Future[results.Replay]]] = {}
        for policy in chosen:
            tasks[policy] = {}
            for name in needed:
                tasks[policy][name] = pool.submit(replay, paths[name], policy)
        for policy in list(tasks):
            # Records are dropped as soon as they have been measured.
            records: dict[str | None, results.Replay] = {}
            for name, task in tasks.pop(policy).items():
                try:
                    records[name] = task.result()
                except errors.PolicyError as error:
                    failures.append(f"{name}, {policy}: {error}")
            for name in names:
                if name in records:
                    base = records.get(bases[name])
                    yield measures.measure(records[name], base,
                                           known[name].result())


def _format(value: float, digits: int = 2) -> str:
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "never"
    return f"{value:.{digits}f}"


def build_row(figures: measures.Measures) -> list[str]:
    """Returns the row of a replay in the main table, in order of COLUMNS."""
    floods = figures.floods
    return [
        figures.trace, figures.policy,
        str(figures.outcomes.get("completed", 0)),
        _format(figures.completion.median, 0),
        _format(figures.completion.p95, 0),
        _format(figures.completion.p99, 0),
        _format(figures.slowdown.p95),
        _format(figures.adjacent_share),
        _format(figures.whole_share),
        _format(figures.large_wait.p95, 0),
        _format(floods.throughput) if floods else "-",
        _format(floods.completion) if floods else "-",
        _format(figures.small_ratio),
        _format(figures.jain),
        _format(figures.use),
        _format(figures.use_ratio),
        _format(figures.urgent_start.p99),
        _format(figures.reclaim.worst),
        str(figures.evictions),
        _format(figures.decision_mean_s * 1000, 1),
        _format(figures.decision_max_s * 1000, 1),
        str(len(figures.unmet))
    ]


def format_table(rows: list[list[str]]) -> str:
    """Lays out rows in columns; the first two are aligned to the left."""
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
    """Lays out targets beside figures."""
    rows = [["trace", "target", "bound", "figure", ""]]
    for verdict in verdicts:
        sign = ">=" if verdict.target.is_minimum else "<="
        rows.append([
            verdict.trace, verdict.target.name,
            f"{sign} {verdict.target.bound:g}",
            _format(verdict.value, 3), "met" if verdict.is_met else "NOT MET"
        ])
    return format_table(rows)


def format_details(found: Iterable[measures.Measures]) -> str:
    """Lays out completion times by template and by team."""
    rows = [[
        "trace", "policy", "of", "requests", "p50 s", "p95 s", "p99 s",
        "slow p50", "slow p95", "slow p99"
    ]]
    for figures in found:
        groups = [(figures.by_template, figures.slowdown_by_template),
                  (figures.by_team, figures.slowdown_by_team)]
        for completion, slowdown in groups:
            for name, times in completion.items():
                ratio = slowdown[name]
                rows.append([
                    figures.trace, figures.policy, name,
                    str(times.number),
                    _format(times.median, 0),
                    _format(times.p95, 0),
                    _format(times.p99, 0),
                    _format(ratio.median),
                    _format(ratio.p95),
                    _format(ratio.p99)
                ])
    return format_table(rows)


def _convert(value: Any) -> Any:
    """Turns figures into JSON values; NaN and infinity become null."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: _convert(each) for key, each in value._asdict().items()}
    if isinstance(value, dict):
        return {key: _convert(each) for key, each in value.items()}
    if isinstance(value, tuple):
        return [_convert(each) for each in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def write_report(found: list[measures.Measures], folder: pathlib.Path) -> str:
    """Writes tables, figures and plots.

    Args:
        found: Figures of all replays.
        folder: Where to write.

    Returns:
        The main table and the verdicts of the default policy.
    """
    folder.mkdir(parents=True, exist_ok=True)
    table = format_table([list(COLUMNS), *map(build_row, found)])
    verdicts = [
        verdict for figures in found if figures.policy == policies.DEFAULT
        for verdict in targets.judge(figures)
    ]
    unmet = [
        f"{figures.trace}: {line}" for figures in found
        if figures.policy == policies.DEFAULT for line in figures.unmet
    ]
    sections = [table, format_verdicts(verdicts)]
    if unmet:
        sections.append("Stated outcomes not met:\n" + "\n".join(unmet))
    text = "\n\n".join(sections) + "\n"
    (folder / "report.txt").write_text(text)
    (folder / "details.txt").write_text(format_details(found) + "\n")
    (folder / "report.json").write_text(
        json.dumps([_convert(figures) for figures in found], indent=1))
    plots.plot_all(found, folder)
    return text


def find_traces(folder: pathlib.Path) -> dict[str, pathlib.Path]:
    """Returns the trace files of a folder by name."""
    return {
        path.name.partition(".")[0]: path
        for path in sorted(folder.glob("*.jsonl*"))
    }


def _choose(option: tuple[str, ...], known: Iterable[str],
            default: Iterable[str], what: str) -> list[str]:
    unknown = [name for name in option if name not in known]
    if unknown:
        raise click.BadParameter(f"unknown {what}: {', '.join(unknown)}")
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
    """Replays recorded traces and reports figures beside targets."""
    paths = find_traces(folder)
    default_names = QUICK_TRACES if quick else tuple(paths)
    default_policies = QUICK_POLICIES if quick else tuple(policies.POLICIES)
    selected = _choose(names, paths, default_names, "trace")
    compared = _choose(chosen, policies.POLICIES, default_policies, "policy")
    failures: list[str] = []
    try:
        found = list(run(paths, selected, compared, jobs, failures))
    except errors.InvalidDocuments as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        raise SystemExit(2) from error
    click.echo(write_report(found, out))
    click.echo(f"Tables and plots are in {out}.")
    for failure in failures:
        click.echo(f"FAILED: {failure}", err=True)
    if failures:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
