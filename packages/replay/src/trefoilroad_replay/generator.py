"""Generates the recorded traces from fixed seeds.

The files are generated once and kept; a replay reads the files. Every trace
with a disturbance holds the same ordinary work as the ordinary trace of the
deployment, so that the two can be compared request by request.
"""

from collections.abc import Callable
import pathlib
from typing import Any

import click
import numpy

from trefoilroad_replay import deployment as deployment_module
from trefoilroad_replay import trace

BASE_SEED = 20250613
# Sigma of the lognormal distribution of true run times around their median.
RUN_TIME_SIGMA = 0.6
# Sigma of the lognormal distribution of declared around true run times.
DECLARED_TIME_SIGMA = 0.3
# Accelerators that a flood asks for, relative to those of the fleet.
FLOOD_DEMAND_FACTOR = 10
# Time over which the requests of a flood arrive.
FLOOD_ARRIVAL_S = 60.0
# Smallest median run time in a flood; shorter runs would end the flood within a
# few minutes.
MIN_FLOOD_RUN_S = 120.0
# Expected limits of the time to a start, a refusal and a cancellation.
MAX_URGENT_START_S = 1.4
MAX_REFUSAL_S = 5.0
MAX_CANCEL_S = 10.0
# Time over which the requests of a burst arrive.
BURST_ARRIVAL_S = 5.0
STORE_OUTAGE_S = 3600.0

Rows = list[dict[str, Any]]


class Generator:
    """Generates the rows of one trace."""

    def __init__(self, *, deployment: deployment_module.Deployment, seed: int):
        self.deployment = deployment
        self.random = numpy.random.default_rng(seed)
        self.rows: Rows = []
        self.templates = {row["name"]: row for row in deployment.templates}
        self._last_request_number = 0

    @property
    def workers(self) -> dict[str, list[str]]:
        """Names of the workers by rack."""
        return {
            row["rack"]: [
                f"{row['rack']}-{number:02}"
                for number in range(1, row["workers"] + 1)
            ] for row in self.deployment.racks
        }

    @property
    def accelerators(self) -> int:
        """Number of accelerators of the fleet."""
        return sum(row["workers"] * row["accelerators"]
                   for row in self.deployment.racks)

    def build_header(self, name: str, base: str | None,
                     disturbing: list[str]) -> dict[str, Any]:
        """Returns the header row."""
        header: dict[str, Any] = {
            "kind": "header",
            "format": trace.FORMAT_VERSION
        }
        header["name"] = name
        if base:
            header["base"] = base
            header["disturbing"] = disturbing
        header |= {
            "checkpoint_s": self.deployment.checkpoint_s,
            "racks": self.deployment.racks,
            "templates": self.deployment.templates,
            "teams": self.deployment.teams
        }
        return header

    def draw_run_time(self, median_s: float) -> float:
        """Draws a true run time in seconds."""
        return round(
            float(median_s * self.random.lognormal(0.0, RUN_TIME_SIGMA)) + 1.0,
            1)

    def draw_declared_time(self, run_s: float) -> float:
        """Draws a declared run time in seconds, close to the true one."""
        return round(
            float(run_s * self.random.lognormal(0.0, DECLARED_TIME_SIGMA)) +
            1.0)

    def add_request(self, at_s: float, team: str, caller: str, template: str,
                    run_s: float, **options: Any) -> str:
        """Adds a request and returns its id."""
        self._last_request_number += 1
        row: dict[str, Any] = {
            "kind": "release",
            "at": round(at_s, 1),
            "id": f"r{self._last_request_number}",
            "team": team,
            "caller": caller,
            "template": template,
            "run_s": run_s
        }
        row.update(options)
        if "declared_s" not in row:
            row["declared_s"] = self.draw_declared_time(run_s)
        self.rows.append(row)
        return row["id"]

    def add_stream(self, stream: deployment_module.Stream,
                   initial_share: float) -> None:
        """Adds the requests of one stream over the day."""
        # The number of requests differs by caller (Zipf distribution): the
        # second caller sends half as many as the first.
        weights = 1.0 / numpy.arange(1, stream.callers + 1)
        weights /= weights.sum()
        for _ in range(stream.requests):
            is_initial = self.random.random() < initial_share
            at_s = 0.0 if is_initial else self.draw_arrival_time()
            run_s = self.draw_run_time(stream.run_s)
            if is_initial:
                run_s = round(run_s * float(self.random.random()) + 60.0, 1)
            caller = int(self.random.choice(stream.callers, p=weights)) + 1
            options: dict[str, Any] = {}
            if stream.template == "prepare":
                tasks = int(self.random.integers(24, 65))
                shape = self.templates["prepare"]["shape"]
                options["shape"] = [tasks, *shape[1:]]
            self.add_request(at_s, stream.team, f"{stream.team}-{caller}",
                             stream.template, run_s, **options)

    def draw_arrival_time(self) -> float:
        """Draws an arrival time in seconds; around midday most often."""
        # The load is 90% of the mean at the ends of the day and 120% in the
        # middle.
        while True:
            share = float(self.random.random())
            density = 0.75 + 0.25 * numpy.sin(numpy.pi * share)
            if self.random.random() < density:
                return share * self.deployment.day_s

    def add_ordinary_day(self) -> None:
        """Adds the ordinary work of the deployment."""
        total = sum(stream.requests for stream in self.deployment.streams)
        share = self.deployment.initial_requests / total
        for stream in self.deployment.streams:
            self.add_stream(stream, share)

    def add_expectation(self, outcome: str, **options: Any) -> None:
        """Adds an expected outcome."""
        self.rows.append({"kind": "expect", **options, "outcome": outcome})


def add_ordinary(generator: Generator) -> None:
    """Adds only the expectations for the ordinary work."""
    generator.add_expectation("completed")
    generator.add_expectation("completed",
                              template=generator.deployment.urgent_template,
                              start_p99_s=MAX_URGENT_START_S)


def _add_burst(generator: Generator, template: str, accelerators: int,
               at_s: float) -> None:
    shape = generator.templates[template]["shape"]
    count = max(1, accelerators // (shape[0] * shape[1]))
    stream = next(stream for stream in generator.deployment.streams
                  if stream.template == template)
    for _ in range(count):
        generator.add_request(
            at_s + BURST_ARRIVAL_S * float(generator.random.random()),
            stream.team, f"{stream.team}-burst", template,
            generator.draw_run_time(stream.run_s))


def add_small_bursts(generator: Generator) -> None:
    """Adds bursts of small jobs, each asking for twice the fleet."""
    for share in (0.25, 0.5, 0.75):
        _add_burst(generator, "photo", 2 * generator.accelerators,
                   share * generator.deployment.day_s)
    generator.add_expectation("completed")


def add_large_bursts(generator: Generator) -> None:
    """Adds bursts of the largest gangs, each asking for twice the fleet."""
    for share in (0.25, 0.6):
        _add_burst(generator, generator.deployment.largest_template,
                   2 * generator.accelerators,
                   share * generator.deployment.day_s)
    generator.add_expectation("completed")


def _expect_other_teams_served(generator: Generator) -> None:
    """Expects that other teams' work completes, and urgent work starts soon."""
    deployment = generator.deployment
    for row in deployment.teams:
        name = row["name"]
        used_templates = {
            stream.template
            for stream in deployment.streams
            if stream.team == name
        }
        if name == deployment.flood_team or not used_templates:
            continue
        generator.add_expectation("completed", team=name)
        if deployment.urgent_template in used_templates:
            generator.add_expectation("completed",
                                      team=name,
                                      template=deployment.urgent_template,
                                      start_p99_s=MAX_URGENT_START_S)


def _add_flood(generator: Generator, template: str, **options: Any) -> None:
    deployment = generator.deployment
    shape = options.get("shape", generator.templates[template]["shape"])
    count = FLOOD_DEMAND_FACTOR * generator.accelerators // (shape[0] *
                                                             shape[1])
    run_s = max(MIN_FLOOD_RUN_S, generator.templates[template]["declared_s"])
    begin_s = deployment.day_s / 4
    for _ in range(count):
        generator.add_request(
            begin_s + FLOOD_ARRIVAL_S * float(generator.random.random()),
            deployment.flood_team, f"{deployment.flood_team}-flood", template,
            generator.draw_run_time(run_s), **options)
    _expect_other_teams_served(generator)


def add_least_flood(generator: Generator) -> None:
    """Adds a flood of the least urgent priority."""
    _add_flood(generator, generator.deployment.least_urgent_template)


def add_urgent_flood(generator: Generator) -> None:
    """Adds a flood of the most urgent priority, in gangs of 8 accelerators."""
    # The flood asks for the same number of accelerators as with single tasks,
    # which would make the file several times as large.
    _, _, cores, memory_gb, _ = generator.templates[
        generator.deployment.urgent_template]["shape"]
    _add_flood(generator,
               generator.deployment.urgent_template,
               shape=[8, 1, cores, memory_gb, "none"])


def add_callers(generator: Generator) -> None:
    """Adds two large callers among many small ones of the same team."""
    day_s = generator.deployment.day_s
    for caller in ("matching-large1", "matching-large2"):
        for at_s in numpy.linspace(60.0, day_s * 0.8, 60):
            generator.add_request(float(at_s), "matching", caller, "match",
                                  generator.draw_run_time(400.0))
    for number in range(60):
        for _ in range(3):
            generator.add_request(generator.draw_arrival_time(), "matching",
                                  f"matching-small{number + 1}", "photo",
                                  generator.draw_run_time(60.0))
    generator.add_expectation("completed")


def add_wrong_declarations(generator: Generator) -> None:
    """Makes declared run times and memory 10 times too large or too small."""
    oversized = []
    for row in generator.rows:
        factor = 10.0 if generator.random.random() < 0.5 else 0.1
        row["declared_s"] = max(1, round(row["run_s"] * factor))
        shape = row.get("shape", generator.templates[row["template"]]["shape"])
        draw = generator.random.random()
        if draw < 0.02:
            row["true_shape"] = [*shape[:3], shape[3] * 10, shape[4]]
            oversized.append(row["id"])
        elif draw < 0.5:
            row["true_shape"] = [*shape[:3], max(1, shape[3] // 10), shape[4]]
    generator.add_expectation(
        "completed",
        requests=[
            row["id"] for row in generator.rows if row["id"] not in oversized
        ])


def add_impossible_jobs(generator: Generator) -> None:
    """Adds jobs that do not fit even an empty fleet."""
    workers = len(next(iter(generator.workers.values())))
    shapes = [[1, 16, 8, 32, "none"], [workers + 1, 8, 8, 32, "rack"],
              [1, 1, 4, 4096, "none"], [1, 1, 1000, 4, "none"],
              [generator.accelerators + 1, 1, 1, 1, "none"]]
    impossible = []
    for number in range(60):
        at_s = generator.draw_arrival_time()
        team = generator.deployment.teams[number % len(
            generator.deployment.teams)]["name"]
        impossible.append(
            generator.add_request(at_s,
                                  team,
                                  f"{team}-1",
                                  generator.deployment.least_urgent_template,
                                  100.0,
                                  shape=shapes[number % len(shapes)]))
    generator.add_expectation("not_run",
                              requests=impossible,
                              end_within_s=MAX_REFUSAL_S)
    generator.add_expectation(
        "completed",
        requests=[
            row["id"]
            for row in generator.rows
            if row["kind"] == "release" and row["id"] not in impossible
        ])


def add_cancel_wave(generator: Generator) -> None:
    """Adds a burst of three times the fleet, cancelled 20 s later."""
    begin_s = generator.deployment.day_s / 2
    before = {row["id"] for row in generator.rows}
    _add_burst(generator, "match", 3 * generator.accelerators, begin_s)
    cancelled = [row for row in generator.rows if row["id"] not in before]
    for row in cancelled:
        # Long enough that none completes before it is cancelled.
        row["run_s"] = max(row["run_s"], 60.0)
        at_s = begin_s + 20.0 + 2.0 * float(generator.random.random())
        generator.rows.append({
            "kind": "cancel",
            "at": round(at_s, 1),
            "request": row["id"]
        })
    generator.add_expectation("cancelled",
                              requests=[row["id"] for row in cancelled],
                              end_within_s=BURST_ARRIVAL_S + 22.0 +
                              MAX_CANCEL_S)
    generator.add_expectation("completed", requests=sorted(before))


def _expect_idempotent_completed(generator: Generator, **options: Any) -> None:
    """Expects that idempotent work completes."""
    used_templates = {
        stream.template for stream in generator.deployment.streams
    }
    for row in generator.templates.values():
        if row["idempotent"] and row["name"] in used_templates:
            generator.add_expectation("completed",
                                      template=row["name"],
                                      **options)


def _add_worker_loss(generator: Generator, workers: list[str]) -> None:
    begin_s = generator.deployment.day_s / 2
    for at_s, state in ((begin_s, "failed"),
                        (begin_s + generator.deployment.day_s / 8, "returned")):
        generator.rows.append({
            "kind": "worker",
            "at": at_s,
            "workers": workers,
            "state": state
        })
    _expect_idempotent_completed(generator)


def add_rack_loss(generator: Generator) -> None:
    """Adds the loss of the first rack for an eighth of the day."""
    _add_worker_loss(generator, next(iter(generator.workers.values())))


def add_domain_loss(generator: Generator) -> None:
    """Adds the loss of a failure domain for an eighth of the day."""
    domain = generator.deployment.racks[0]["failure_domain"]
    _add_worker_loss(generator, [
        worker for row in generator.deployment.racks
        if row["failure_domain"] == domain
        for worker in generator.workers[row["rack"]]
    ])


def add_drain(generator: Generator) -> None:
    """Adds leaving marks on a quarter of the workers, one rack at a time."""
    for index, workers in enumerate(generator.workers.values()):
        at_s = generator.deployment.day_s * (0.2 + 0.15 * index)
        leaving = workers[:max(1, len(workers) // 4)]
        # A leaving VM ends only after its tasks; the longest run is shorter
        # than 3600 s.
        for later_s, state in ((0.0, "leaving"), (3600.0, "failed"),
                               (3700.0, "returned")):
            generator.rows.append({
                "kind": "worker",
                "at": at_s + later_s,
                "workers": leaving,
                "state": state
            })
    _expect_idempotent_completed(generator)


def add_bad_workers(generator: Generator) -> None:
    """Adds three workers on which every task fails for a quarter of the day."""
    racks = list(generator.workers.values())
    generator.rows.append({
        "kind": "bad",
        "at": generator.deployment.day_s / 4,
        "until": generator.deployment.day_s / 2,
        "after_s": 2.0,
        "workers": [racks[0][0], racks[0][1], racks[1][0]]
    })
    _expect_idempotent_completed(generator, min_share=0.99)


def add_outage(generator: Generator) -> None:
    """Adds an outage of the store that lasts one hour."""
    begin_s = generator.deployment.day_s / 4
    generator.rows.append({
        "kind": "outage",
        "at": begin_s,
        "until": begin_s + STORE_OUTAGE_S
    })
    generator.add_expectation("completed")


DISTURBANCES: dict[str, Callable[[Generator], None]] = {
    "ordinary": add_ordinary,
    "small-bursts": add_small_bursts,
    "large-bursts": add_large_bursts,
    "least-flood": add_least_flood,
    "urgent-flood": add_urgent_flood,
    "callers": add_callers,
    "declarations": add_wrong_declarations,
    "impossible": add_impossible_jobs,
    "cancels": add_cancel_wave,
    "rack-lost": add_rack_loss,
    "domain-lost": add_domain_loss,
    "drain": add_drain,
    "bad-workers": add_bad_workers,
    "outage": add_outage,
}
DEPLOYMENTS = {
    "nkabom": deployment_module.build_nkabom,
    "kalahari": deployment_module.build_kalahari,
    "design": deployment_module.build_design,
}
TRACE_KINDS = {
    # Each failure domain of nkabom and kalahari has one rack.
    "nkabom": [
        kind for kind in DISTURBANCES
        if kind not in ("large-bursts", "rack-lost")
    ],
    "kalahari": [
        "ordinary", "large-bursts", "least-flood", "urgent-flood",
        "declarations", "domain-lost"
    ],
    "design": [
        "ordinary", "least-flood", "urgent-flood", "rack-lost", "domain-lost"
    ],
}
FLOOD_KINDS = ("least-flood", "urgent-flood")


def build_rows(deployment_name: str, kind: str) -> Rows:
    """Generates the rows of one trace.

    Args:
        deployment_name: Name of the deployment, one of DEPLOYMENTS.
        kind: Name of the disturbance, one of DISTURBANCES.

    Returns:
        Header and events in order of time, expectations last.
    """
    deployment = DEPLOYMENTS[deployment_name]()
    generator = Generator(deployment=deployment,
                          seed=BASE_SEED +
                          list(DEPLOYMENTS).index(deployment_name))
    generator.add_ordinary_day()
    DISTURBANCES[kind](generator)
    base = None if kind == "ordinary" else f"{deployment_name}-ordinary"
    disturbing = [deployment.flood_team] if kind in FLOOD_KINDS else []
    header = generator.build_header(f"{deployment_name}-{kind}", base,
                                    disturbing)
    events = sorted(generator.rows, key=lambda row: row.get("at", float("inf")))
    return [header, *events]


@click.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def main(folder: pathlib.Path) -> None:
    """Writes all traces to FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    for deployment_name, trace_kinds in TRACE_KINDS.items():
        for kind in trace_kinds:
            path = folder / f"{deployment_name}-{kind}.jsonl.gz"
            trace.write_trace(path, build_rows(deployment_name, kind))
            click.echo(f"{path}: {path.stat().st_size} bytes")


if __name__ == "__main__":
    main()
