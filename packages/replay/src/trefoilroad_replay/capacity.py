"""Measures decision rounds and memory at several sizes of the fleet.

Each size is measured in a process of its own, so that the memory is that of
one scheduler with its snapshot. The first round places the running gangs. The
cold round is that of a new scheduler which finds them running, as after a
takeover; the others each follow an end and two new requests.
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

SIZES = (24, 100, 250, 510)
DESIGN_WORKERS = 510
ROUNDS = 100
BACKLOG = 100
# With so many slots on a worker, 510 workers are full with somewhat more than
# the 4,200 tasks of the design size, and the backlog waits.
SLOTS = 9
SEED = 1
TARGET_MS = 50.0
TARGET_MB = 128.0


class Capacity(NamedTuple):
    """Figures of one size.

    Attributes:
        workers: Number of workers.
        teams: Number of teams.
        gangs: Gangs that run at the end.
        tasks: Tasks that run at the end.
        pending: Requests that wait at the end.
        cold_ms: Processor time of the first round of a new scheduler.
        mean_ms: Mean processor time of a round.
        max_ms: Longest processor time of a round.
        memory_mb: Largest resident memory of the process, the interpreter
            included.
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
    """Returns a trace header that is a part of the design size.

    Args:
        workers: Number of workers, at most that of the design size.

    Returns:
        The header. Racks keep the mix of the design size; teams are in
        proportion. Only the whole has the teams with the largest guarantees,
        which a part has no room for.
    """
    plan = deployment.build_design()
    by_size: dict[int, list[dict[str, Any]]] = {}
    for rack in plan.racks:
        by_size.setdefault(rack["accelerators"], []).append(rack)
    ranked = sorted(((index + 0.5) / len(racks), -size, rack)
                    for size, racks in by_size.items()
                    for index, rack in enumerate(racks))
    racks = []
    left = workers
    for _, _, rack in ranked:
        count = min(left, rack["workers"])
        if count:
            racks.append(rack | {"workers": count, "slots": SLOTS})
            left -= count
    teams = max(2, len(plan.teams) * workers // DESIGN_WORKERS)
    return {
        "kind": "header",
        "format": trace.FORMAT,
        "name": f"capacity-{workers}",
        "checkpoint_s": plan.checkpoint_s,
        "racks": racks,
        "templates": plan.templates,
        "teams": plan.teams[-teams:]
    }


class Bench:
    """A scheduler under a steady load."""

    def __init__(self, *, workers: int, seed: int):
        """Prepares the fleet.

        Args:
            workers: Number of workers.
            seed: Seed of the load.
        """
        header = build_header(workers)
        self._trace = trace.Parser(place="capacity").parse([json.dumps(header)])
        self._random = random.Random(seed)
        self._now_s = 0.0
        self._last = 0
        self._pending: dict[str, scheduler_module.Pending] = {}
        self._running: dict[str, scheduler_module.Running] = {}
        self._stopping: set[str] = set()
        self._scheduler = scheduler_module.build_default()

    def measure(self) -> Capacity:
        """Fills the fleet and measures rounds.

        Returns:
            The figures.
        """
        while len(self._pending) < BACKLOG:
            self._submit()
            self._decide()
        self._scheduler = scheduler_module.build_default()
        cold_ms = self._decide()
        times = [self._step() for _ in range(ROUNDS)]
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return Capacity(workers=len(self._trace.fleet.workers),
                        teams=len(self._trace.configuration.teams),
                        gangs=len(self._running),
                        tasks=self._count_tasks(),
                        pending=len(self._pending),
                        cold_ms=cold_ms,
                        mean_ms=sum(times) / len(times),
                        max_ms=max(times),
                        memory_mb=peak_kb / 1024)

    def _count_tasks(self) -> int:
        return sum(item.shape.tasks for item in self._running.values())

    def _submit(self) -> None:
        self._last += 1
        configuration = self._trace.configuration
        team = self._random.choice(list(configuration.teams))
        name = self._random.choices(["prepare", "train", "probe"],
                                    [0.7, 0.2, 0.1])[0]
        template = configuration.templates[name]
        shape = template.shape
        if name == "prepare":
            shape = shape._replace(tasks=self._random.randint(24, 64))
        request_id = f"r{self._last}"
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

    def _step(self) -> float:
        """Ends a gang, submits two requests and makes a round."""
        self._now_s += 60.0
        ended = self._stopping or {self._random.choice(list(self._running))}
        for request_id in ended:
            self._running.pop(request_id, None)
            self._scheduler.record_end(request_id, ran_s=600.0, completed=True)
        self._stopping = set()
        self._submit()
        self._submit()
        return self._decide()

    def _decide(self) -> float:
        """Makes a round and returns its processor time in milliseconds."""
        state = scheduler_module.Snapshot(
            now_s=self._now_s,
            fleet=self._trace.fleet,
            pending=tuple(self._pending.values()),
            running=tuple(self._running.values()),
            configuration=self._trace.configuration)
        begin_s = time.process_time()
        decisions = self._scheduler.decide(state)
        spent_s = time.process_time() - begin_s
        for start in decisions.starts:
            self._start(start)
        self._stopping |= {
            evict.attempt_id.rpartition(".")[0] for evict in decisions.evictions
        }
        for refuse in decisions.refusals:
            del self._pending[refuse.request_id]
        return spent_s * 1000

    def _start(self, start: scheduler_module.Start) -> None:
        item = self._pending.pop(start.request_id)
        self._running[item.request_id] = scheduler_module.Running(
            request_id=item.request_id,
            attempt_id=request.build_attempt_id(item.request_id, 1),
            team=item.team,
            caller=item.caller,
            template=item.template,
            shape=item.shape,
            placement=start.placement,
            started_s=self._now_s,
            guaranteed=start.guaranteed,
            evictable=not start.guaranteed,
            priority=item.priority,
            declared_s=item.declared_s)


def measure_size(workers: int, seed: int = SEED) -> Capacity:
    """Measures one size in this process."""
    return Bench(workers=workers, seed=seed).measure()


def measure_all(sizes: tuple[int, ...], seed: int) -> list[Capacity]:
    """Measures each size in a process of its own, one after another.

    Args:
        sizes: Numbers of workers.
        seed: Seed of the load.

    Returns:
        Figures of each size.
    """
    context = multiprocessing.get_context("spawn")
    found = []
    for workers in sizes:
        with futures.ProcessPoolExecutor(max_workers=1,
                                         mp_context=context) as pool:
            found.append(pool.submit(measure_size, workers, seed).result())
    return found


def format_table(found: list[Capacity]) -> str:
    """Lays out the figures beside the targets of the design page."""
    titles = ("workers", "teams", "gangs", "tasks", "pending", "cold ms",
              "mean ms", "max ms", "MB")
    lines = ["  ".join(f"{title:>8}" for title in titles)]
    for each in found:
        cells = [
            f"{value:.1f}" if isinstance(value, float) else str(value)
            for value in each
        ]
        lines.append("  ".join(f"{cell:>8}" for cell in cells))
    slowest = max(max(each.cold_ms, each.max_ms) for each in found)
    largest = max(each.memory_mb for each in found)
    for name, value, bound in (("longest round, ms", slowest, TARGET_MS),
                               ("largest memory, MB", largest, TARGET_MB)):
        verdict = "met" if value < bound else "NOT MET"
        lines.append(f"{name}: {value:.1f}, target < {bound:g}: {verdict}")
    return "\n".join(lines)


@click.command()
@click.option("--workers",
              "sizes",
              type=click.IntRange(1, DESIGN_WORKERS),
              multiple=True,
              default=SIZES,
              show_default=True,
              help="Size of the fleet; can be given several times.")
@click.option("--seed", default=SEED, show_default=True)
def main(sizes: tuple[int, ...], seed: int) -> None:
    """Prints decision round times and memory by size of the fleet."""
    click.echo(format_table(measure_all(sizes, seed)))


if __name__ == "__main__":
    main()
