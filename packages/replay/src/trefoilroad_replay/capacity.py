"""Measures decision rounds and memory at several sizes of the fleet.

Each size is measured in its own process, so that the memory is that of one
scheduler with its snapshot. First the fleet is filled until a backlog waits.
The cold round is the first one of a new scheduler that finds these gangs
running, as after a change of the owner. Each further round follows the end of
a gang and two new requests.
"""

from concurrent import futures
import json
import multiprocessing
import random
import resource
import time
from typing import Any
from typing import NamedTuple

import click

from trefoilroad_core import request
from trefoilroad_core import scheduler as scheduler_module
from trefoilroad_replay import deployment
from trefoilroad_replay import trace

FLEET_SIZES = (24, 100, 250, 510)
DESIGN_WORKERS = 510
MEASURED_ROUNDS = 100
BACKLOG_REQUESTS = 100
# With 9 slots, 510 workers are full with slightly more than the 4,200 tasks of
# the design size, so that further requests wait.
SLOTS_PER_WORKER = 9
DEFAULT_SEED = 1
TARGET_ROUND_MS = 50.0
TARGET_MEMORY_MB = 128.0


class CapacityMeasures(NamedTuple):
    """Measures of one size of the fleet.

    Attributes:
        workers: Number of workers.
        teams: Number of teams.
        gangs: Gangs that run at the end.
        tasks: Tasks that run at the end.
        pending: Requests that wait at the end.
        cold_ms: Processor time of the first round of a new scheduler that
            finds running gangs.
        mean_ms: Mean processor time of a round.
        max_ms: Longest processor time of a round.
        memory_mb: Peak resident memory of the process, including the
            interpreter.
    """

    workers: int
    teams: int
    gangs: int
    tasks: int
    pending: int
    cold_ms: float
    mean_ms: float
    max_ms: float
    memory_mb: float


def build_header(workers: int) -> dict[str, Any]:
    """Returns the trace header of a fleet of the design size or smaller.

    Args:
        workers: Number of workers, at most that of the design size.

    Returns:
        The header. The mix of rack types is that of the design size, and the
        number of teams is in proportion. A smaller fleet leaves out the teams
        with the largest guarantees, which it has no room for.
    """
    design = deployment.build_design()
    racks_by_size: dict[int, list[dict[str, Any]]] = {}
    for rack in design.racks:
        racks_by_size.setdefault(rack["accelerators"], []).append(rack)
    ranked = sorted(((index + 0.5) / len(racks), -size, rack)
                    for size, racks in racks_by_size.items()
                    for index, rack in enumerate(racks))
    racks = []
    remaining = workers
    for _, _, rack in ranked:
        count = min(remaining, rack["workers"])
        if count:
            racks.append(rack | {"workers": count, "slots": SLOTS_PER_WORKER})
            remaining -= count
    teams = max(2, len(design.teams) * workers // DESIGN_WORKERS)
    return {
        "kind": "header",
        "format": trace.FORMAT_VERSION,
        "name": f"capacity-{workers}",
        "checkpoint_s": design.checkpoint_s,
        "racks": racks,
        "templates": design.templates,
        "teams": design.teams[-teams:]
    }


class SchedulerBenchmark:
    """Runs a scheduler under a constant load and measures its rounds."""

    def __init__(self, *, workers: int, seed: int):
        """Initializes an empty fleet.

        Args:
            workers: Number of workers.
            seed: Seed of the load.
        """
        header = build_header(workers)
        self._trace = trace.Parser(place="capacity").parse([json.dumps(header)])
        self._random = random.Random(seed)
        self._now_s = 0.0
        self._last_request_number = 0
        self._pending: dict[str, scheduler_module.Pending] = {}
        self._running: dict[str, scheduler_module.Running] = {}
        self._stopping: set[str] = set()
        self._scheduler = scheduler_module.build_default()

    def measure(self) -> CapacityMeasures:
        """Fills the fleet, then measures the cold round and further rounds.

        Returns:
            The measures.
        """
        while len(self._pending) < BACKLOG_REQUESTS:
            self._submit()
            self._measure_round()
        self._scheduler = scheduler_module.build_default()
        cold_ms = self._measure_round()
        round_times_ms = [self._run_load_step() for _ in range(MEASURED_ROUNDS)]
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return CapacityMeasures(workers=len(self._trace.fleet.workers),
                                teams=len(self._trace.configuration.teams),
                                gangs=len(self._running),
                                tasks=self._count_tasks(),
                                pending=len(self._pending),
                                cold_ms=cold_ms,
                                mean_ms=sum(round_times_ms) /
                                len(round_times_ms),
                                max_ms=max(round_times_ms),
                                memory_mb=peak_kb / 1024)

    def _count_tasks(self) -> int:
        return sum(running.shape.tasks for running in self._running.values())

    def _submit(self) -> None:
        self._last_request_number += 1
        configuration = self._trace.configuration
        team = self._random.choice(list(configuration.teams))
        name = self._random.choices(["prepare", "train", "probe"],
                                    [0.7, 0.2, 0.1])[0]
        template = configuration.templates[name]
        shape = template.shape
        if name == "prepare":
            shape = shape._replace(tasks=self._random.randint(24, 64))
        request_id = f"r{self._last_request_number}"
        self._pending[request_id] = scheduler_module.Pending(
            request_id=request_id,
            team=team,
            caller=f"{team}-{self._random.randint(1, 4)}",
            template=name,
            shape=shape,
            priority=template.priority,
            received_s=self._now_s,
            expires_s=float("inf"),
            idempotent=template.idempotent,
            checkpoint=template.checkpoint,
            declared_s=template.declared_s)

    def _run_load_step(self) -> float:
        """Ends evicted gangs, or else one gang, and submits two requests.

        Returns:
            Processor time of the round that follows, in milliseconds.
        """
        self._now_s += 60.0
        ended = self._stopping or {self._random.choice(list(self._running))}
        for request_id in ended:
            self._running.pop(request_id, None)
            self._scheduler.record_end(request_id, ran_s=600.0, completed=True)
        self._stopping = set()
        self._submit()
        self._submit()
        return self._measure_round()

    def _measure_round(self) -> float:
        """Runs a round and returns its processor time in milliseconds."""
        snapshot = scheduler_module.Snapshot(
            now_s=self._now_s,
            fleet=self._trace.fleet,
            pending=tuple(self._pending.values()),
            running=tuple(self._running.values()),
            configuration=self._trace.configuration)
        begin_s = time.process_time()
        decisions = self._scheduler.decide(snapshot)
        cpu_s = time.process_time() - begin_s
        for start in decisions.starts:
            self._start(start)
        self._stopping |= {
            evict.attempt_id.rpartition(".")[0] for evict in decisions.evictions
        }
        for refuse in decisions.refusals:
            del self._pending[refuse.request_id]
        return cpu_s * 1000

    def _start(self, start: scheduler_module.Start) -> None:
        pending = self._pending.pop(start.request_id)
        self._running[pending.request_id] = scheduler_module.Running(
            request_id=pending.request_id,
            attempt_id=request.build_attempt_id(pending.request_id, 1),
            team=pending.team,
            caller=pending.caller,
            template=pending.template,
            shape=pending.shape,
            placement=start.placement,
            started_s=self._now_s,
            guaranteed=start.guaranteed,
            evictable=not start.guaranteed,
            priority=pending.priority,
            declared_s=pending.declared_s)


def measure_size(workers: int, seed: int = DEFAULT_SEED) -> CapacityMeasures:
    """Measures one size in this process."""
    return SchedulerBenchmark(workers=workers, seed=seed).measure()


def measure_all(sizes: tuple[int, ...], seed: int) -> list[CapacityMeasures]:
    """Measures each size in its own process, one after another.

    Args:
        sizes: Numbers of workers.
        seed: Seed of the load.

    Returns:
        Measures of each size.
    """
    context = multiprocessing.get_context("spawn")
    measures = []
    for workers in sizes:
        with futures.ProcessPoolExecutor(max_workers=1,
                                         mp_context=context) as pool:
            measures.append(pool.submit(measure_size, workers, seed).result())
    return measures


def format_table(measures: list[CapacityMeasures]) -> str:
    """Formats the measures and compares them with the stated targets."""
    titles = ("workers", "teams", "gangs", "tasks", "pending", "cold ms",
              "mean ms", "max ms", "MB")
    lines = ["  ".join(f"{title:>8}" for title in titles)]
    for size_measures in measures:
        cells = [
            f"{value:.1f}" if isinstance(value, float) else str(value)
            for value in size_measures
        ]
        lines.append("  ".join(f"{cell:>8}" for cell in cells))
    slowest = max(
        max(size_measures.cold_ms, size_measures.max_ms)
        for size_measures in measures)
    largest = max(size_measures.memory_mb for size_measures in measures)
    for name, value, bound in (("longest round, ms", slowest, TARGET_ROUND_MS),
                               ("largest memory, MB", largest,
                                TARGET_MEMORY_MB)):
        verdict = "met" if value < bound else "NOT MET"
        lines.append(f"{name}: {value:.1f}, target < {bound:g}: {verdict}")
    return "\n".join(lines)


@click.command()
@click.option("--workers",
              "sizes",
              type=click.IntRange(1, DESIGN_WORKERS),
              multiple=True,
              default=FLEET_SIZES,
              show_default=True,
              help="Size of the fleet; can be given several times.")
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
def main(sizes: tuple[int, ...], seed: int) -> None:
    """Prints decision round times and memory by size of the fleet."""
    click.echo(format_table(measure_all(sizes, seed)))


if __name__ == "__main__":
    main()
