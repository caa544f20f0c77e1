"""Makes the recorded traces from fixed seeds.

The files are made once and kept; a replay reads the files. Every trace with a
disturbance holds the same ordinary work as the deployment's ordinary day, so
that the two can be compared request by request.
"""

from collections.abc import Callable
import pathlib
from typing import Any

import click
import numpy

from trefoilroad_replay import deployment
from trefoilroad_replay import trace

SEED = 20250613
RUN_SIGMA = 0.6  # Spread of run times around their median, lognormal.
DECLARED_SIGMA = 0.3  # Spread of declared around true run times, lognormal.
FLOOD_FACTOR = 10  # Accelerators asked for by a flood, per accelerator.
FLOOD_S = 60.0
FLOOD_RUN_S = 120.0  # Shorter runs would end a flood within a few minutes.
URGENT_START_S = 1.4
REFUSAL_S = 5.0
CANCEL_S = 10.0
BURST_S = 5.0
OUTAGE_S = 3600.0

Rows = list[dict[str, Any]]


class Generator:
    """Makes the rows of one trace."""

    def __init__(self, *, plan: deployment.Deployment, seed: int):
        self.plan = plan
        self.random = numpy.random.default_rng(seed)
        self.rows: Rows = []
        self.templates = {row["name"]: row for row in plan.templates}
        self._last = 0

    @property
    def workers(self) -> dict[str, list[str]]:
        """Names of the workers by rack."""
        return {
            row["rack"]: [
                f"{row['rack']}-{number:02}"
                for number in range(1, row["workers"] + 1)
            ] for row in self.plan.racks
        }

    @property
    def accelerators(self) -> int:
        """Accelerators of the fleet."""
        return sum(
            row["workers"] * row["accelerators"] for row in self.plan.racks)

    def build_header(self, name: str, base: str | None,
                     disturbing: list[str]) -> dict[str, Any]:
        """Returns the header row."""
        header: dict[str, Any] = {"kind": "header", "format": trace.FORMAT}
        header["name"] = name
        if base:
            header["base"] = base
            header["disturbing"] = disturbing
        header |= {
            "checkpoint_s": self.plan.checkpoint_s,
            "racks": self.plan.racks,
            "templates": self.plan.templates,
            "teams": self.plan.teams
        }
        return header

    def draw_run(self, median_s: float) -> float:
        """Draws a true run time."""
        return round(
            float(median_s * self.random.lognormal(0.0, RUN_SIGMA)) + 1.0, 1)

    def draw_declared(self, run_s: float) -> float:
        """Draws the declared run time of a caller that means well."""
        return round(
            float(run_s * self.random.lognormal(0.0, DECLARED_SIGMA)) + 1.0)

    def release(self, at_s: float, team: str, caller: str, template: str,
                run_s: float, **options: Any) -> str:
        """Adds a request and returns its id."""
        self._last += 1
        row: dict[str, Any] = {
            "kind": "release",
            "at": round(at_s, 1),
            "id": f"r{self._last}",
            "team": team,
            "caller": caller,
            "template": template,
            "run_s": run_s
        }
        row.update(options)
        if "declared_s" not in row:
            row["declared_s"] = self.draw_declared(run_s)
        self.rows.append(row)
        return row["id"]

    def release_stream(self, stream: deployment.Stream,
                       initial_share: float) -> None:
        """Adds the requests of one stream over the day."""
        # Callers differ in size; the second sends half of what the first does.
        weights = 1.0 / numpy.arange(1, stream.callers + 1)
        weights /= weights.sum()
        for _ in range(stream.requests):
            is_initial = self.random.random() < initial_share
            at_s = 0.0 if is_initial else self.draw_time()
            run_s = self.draw_run(stream.run_s)
            if is_initial:
                run_s = round(run_s * float(self.random.random()) + 60.0, 1)
            caller = int(self.random.choice(stream.callers, p=weights)) + 1
            options: dict[str, Any] = {}
            if stream.template == "prepare":
                tasks = int(self.random.integers(24, 65))
                shape = self.templates["prepare"]["shape"]
                options["shape"] = [tasks, *shape[1:]]
            self.release(at_s, stream.team, f"{stream.team}-{caller}",
                         stream.template, run_s, **options)

    def draw_time(self) -> float:
        """Draws a time of day; the middle of the day is the busiest."""
        # 90% of the mean load at the ends of the day, 120% in the middle.
        while True:
            share = float(self.random.random())
            density = 0.75 + 0.25 * numpy.sin(numpy.pi * share)
            if self.random.random() < density:
                return share * self.plan.day_s

    def add_ordinary_day(self) -> None:
        """Adds the ordinary work."""
        total = sum(stream.requests for stream in self.plan.streams)
        share = self.plan.initial / total
        for stream in self.plan.streams:
            self.release_stream(stream, share)

    def expect(self, outcome: str, **options: Any) -> None:
        """States an outcome."""
        self.rows.append({"kind": "expect", **options, "outcome": outcome})


def add_ordinary(generator: Generator) -> None:
    """Adds nothing to the ordinary work but what is expected of it."""
    generator.expect("completed")
    generator.expect("completed",
                     template=generator.plan.urgent,
                     start_p99_s=URGENT_START_S)


def _add_burst(generator: Generator, template: str, accelerators: int,
               at_s: float) -> None:
    shape = generator.templates[template]["shape"]
    count = max(1, accelerators // (shape[0] * shape[1]))
    stream = next(stream for stream in generator.plan.streams
                  if stream.template == template)
    for _ in range(count):
        generator.release(at_s + BURST_S * float(generator.random.random()),
                          stream.team, f"{stream.team}-burst", template,
                          generator.draw_run(stream.run_s))


def add_small_bursts(generator: Generator) -> None:
    """Adds bursts of small jobs that ask for twice the fleet each."""
    for share in (0.25, 0.5, 0.75):
        _add_burst(generator, "photo", 2 * generator.accelerators,
                   share * generator.plan.day_s)
    generator.expect("completed")


def add_large_bursts(generator: Generator) -> None:
    """Adds bursts of the largest gangs that ask for twice the fleet each."""
    for share in (0.25, 0.6):
        _add_burst(generator, generator.plan.largest,
                   2 * generator.accelerators, share * generator.plan.day_s)
    generator.expect("completed")


def _expect_of_others(generator: Generator) -> None:
    """States that the other teams' work is done, urgent work at once."""
    plan = generator.plan
    for row in plan.teams:
        name = row["name"]
        used = {
            stream.template for stream in plan.streams if stream.team == name
        }
        if name == plan.flood_team or not used:
            continue
        generator.expect("completed", team=name)
        if plan.urgent in used:
            generator.expect("completed",
                             team=name,
                             template=plan.urgent,
                             start_p99_s=URGENT_START_S)


def _add_flood(generator: Generator, template: str, **options: Any) -> None:
    plan = generator.plan
    shape = options.get("shape", generator.templates[template]["shape"])
    count = FLOOD_FACTOR * generator.accelerators // (shape[0] * shape[1])
    run_s = max(FLOOD_RUN_S, generator.templates[template]["declared_s"])
    begin_s = plan.day_s / 4
    for _ in range(count):
        generator.release(begin_s + FLOOD_S * float(generator.random.random()),
                          plan.flood_team, f"{plan.flood_team}-flood", template,
                          generator.draw_run(run_s), **options)
    _expect_of_others(generator)


def add_least_flood(generator: Generator) -> None:
    """Adds a flood of the least urgent class."""
    _add_flood(generator, generator.plan.least)


def add_urgent_flood(generator: Generator) -> None:
    """Adds a flood of the most urgent class, in gangs of 8 accelerators."""
    # Single tasks would make the file several times as large; the flood asks
    # for the same number of accelerators either way.
    _, _, cores, memory_gb, _ = generator.templates[
        generator.plan.urgent]["shape"]
    _add_flood(generator,
               generator.plan.urgent,
               shape=[8, 1, cores, memory_gb, "none"])


def add_callers(generator: Generator) -> None:
    """Adds two large callers among many small ones of the same team."""
    day_s = generator.plan.day_s
    for caller in ("matching-large1", "matching-large2"):
        for at_s in numpy.linspace(60.0, day_s * 0.8, 60):
            generator.release(float(at_s), "matching", caller, "match",
                              generator.draw_run(400.0))
    for number in range(60):
        for _ in range(3):
            generator.release(generator.draw_time(), "matching",
                              f"matching-small{number + 1}", "photo",
                              generator.draw_run(60.0))
    generator.expect("completed")


def add_wrong_declarations(generator: Generator) -> None:
    """Changes declarations of run time and memory by ten, both ways."""
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
    generator.expect(
        "completed",
        requests=[
            row["id"] for row in generator.rows if row["id"] not in oversized
        ])


def add_impossible_jobs(generator: Generator) -> None:
    """Adds jobs that no state of the fleet could ever hold."""
    workers = len(next(iter(generator.workers.values())))
    shapes = [[1, 16, 8, 32, "none"], [workers + 1, 8, 8, 32, "rack"],
              [1, 1, 4, 4096, "none"], [1, 1, 1000, 4, "none"],
              [generator.accelerators + 1, 1, 1, 1, "none"]]
    impossible = []
    for number in range(60):
        at_s = generator.draw_time()
        team = generator.plan.teams[number % len(generator.plan.teams)]["name"]
        impossible.append(
            generator.release(at_s,
                              team,
                              f"{team}-1",
                              generator.plan.least,
                              100.0,
                              shape=shapes[number % len(shapes)]))
    generator.expect("not_run", requests=impossible, end_within_s=REFUSAL_S)
    generator.expect(
        "completed",
        requests=[
            row["id"]
            for row in generator.rows
            if row["kind"] == "release" and row["id"] not in impossible
        ])


def add_cancel_wave(generator: Generator) -> None:
    """Adds a burst of three times the fleet, cancelled 20 s later."""
    begin_s = generator.plan.day_s / 2
    before = {row["id"] for row in generator.rows}
    _add_burst(generator, "match", 3 * generator.accelerators, begin_s)
    cancelled = [row for row in generator.rows if row["id"] not in before]
    for row in cancelled:
        # None can be completed before it is cancelled.
        row["run_s"] = max(row["run_s"], 60.0)
        at_s = begin_s + 20.0 + 2.0 * float(generator.random.random())
        generator.rows.append({
            "kind": "cancel",
            "at": round(at_s, 1),
            "request": row["id"]
        })
    generator.expect("cancelled",
                     requests=[row["id"] for row in cancelled],
                     end_within_s=BURST_S + 22.0 + CANCEL_S)
    generator.expect("completed", requests=sorted(before))


def _expect_of_idempotent(generator: Generator, **options: Any) -> None:
    """States that work that may run again is done."""
    used = {stream.template for stream in generator.plan.streams}
    for row in generator.templates.values():
        if row["idempotent"] and row["name"] in used:
            generator.expect("completed", template=row["name"], **options)


def _lose(generator: Generator, workers: list[str]) -> None:
    begin_s = generator.plan.day_s / 2
    for at_s, state in ((begin_s, "failed"),
                        (begin_s + generator.plan.day_s / 8, "returned")):
        generator.rows.append({
            "kind": "worker",
            "at": at_s,
            "workers": workers,
            "state": state
        })
    _expect_of_idempotent(generator)


def add_rack_loss(generator: Generator) -> None:
    """Adds the loss of the first rack for an eighth of the day."""
    _lose(generator, next(iter(generator.workers.values())))


def add_domain_loss(generator: Generator) -> None:
    """Adds the loss of a failure domain for an eighth of the day."""
    domain = generator.plan.racks[0]["failure_domain"]
    _lose(generator, [
        worker for row in generator.plan.racks
        if row["failure_domain"] == domain
        for worker in generator.workers[row["rack"]]
    ])


def add_drain(generator: Generator) -> None:
    """Adds leaving marks on a quarter of the workers, one rack at a time."""
    for index, workers in enumerate(generator.workers.values()):
        at_s = generator.plan.day_s * (0.2 + 0.15 * index)
        leaving = workers[:max(1, len(workers) // 4)]
        # A leaving VM ends only after its work; the longest run is shorter.
        for later_s, state in ((0.0, "leaving"), (3600.0, "failed"),
                               (3700.0, "returned")):
            generator.rows.append({
                "kind": "worker",
                "at": at_s + later_s,
                "workers": leaving,
                "state": state
            })
    _expect_of_idempotent(generator)


def add_bad_workers(generator: Generator) -> None:
    """Adds three workers on which everything fails for a quarter of the day."""
    racks = list(generator.workers.values())
    generator.rows.append({
        "kind": "bad",
        "at": generator.plan.day_s / 4,
        "until": generator.plan.day_s / 2,
        "after_s": 2.0,
        "workers": [racks[0][0], racks[0][1], racks[1][0]]
    })
    _expect_of_idempotent(generator, min_share=0.99)


def add_outage(generator: Generator) -> None:
    """Adds an outage of the store of an hour."""
    begin_s = generator.plan.day_s / 4
    generator.rows.append({
        "kind": "outage",
        "at": begin_s,
        "until": begin_s + OUTAGE_S
    })
    generator.expect("completed")


KINDS: dict[str, Callable[[Generator], None]] = {
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
PLANS = {
    "nkabom": deployment.build_nkabom,
    "kalahari": deployment.build_kalahari,
    "design": deployment.build_design,
}
TRACES = {
    # Each failure domain of nkabom and kalahari has one rack.
    "nkabom": [
        kind for kind in KINDS if kind not in ("large-bursts", "rack-lost")
    ],
    "kalahari": [
        "ordinary", "large-bursts", "least-flood", "urgent-flood",
        "declarations", "domain-lost"
    ],
    "design": [
        "ordinary", "least-flood", "urgent-flood", "rack-lost", "domain-lost"
    ],
}
FLOODS = ("least-flood", "urgent-flood")


def build_rows(place: str, kind: str) -> Rows:
    """Makes one trace.

    Args:
        place: Name of the deployment, one of PLANS.
        kind: Name of the disturbance, one of KINDS.

    Returns:
        Header and events in order of time, expectations last.
    """
    plan = PLANS[place]()
    generator = Generator(plan=plan, seed=SEED + list(PLANS).index(place))
    generator.add_ordinary_day()
    KINDS[kind](generator)
    base = None if kind == "ordinary" else f"{place}-ordinary"
    disturbing = [plan.flood_team] if kind in FLOODS else []
    header = generator.build_header(f"{place}-{kind}", base, disturbing)
    events = sorted(generator.rows, key=lambda row: row.get("at", float("inf")))
    return [header, *events]


@click.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
def main(folder: pathlib.Path) -> None:
    """Writes all traces to FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    for place, kinds in TRACES.items():
        for kind in kinds:
            path = folder / f"{place}-{kind}.jsonl.gz"
            trace.write_rows(path, build_rows(place, kind))
            click.echo(f"{path}: {path.stat().st_size} bytes")


if __name__ == "__main__":
    main()
