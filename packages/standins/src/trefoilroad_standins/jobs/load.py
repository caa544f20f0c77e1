"""Recorded shapes of load, played on a virtual site and judged by worth.

The kinds of jobs and their rates follow the users' sheets at the size of 24
workers. A play drives the real dispatcher; only sockets and time are virtual.
"""

import collections
import functools
import math
import random
from typing import NamedTuple

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_jobs import units
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

# Jobs that are handed in before the traffic starts fill the fleet.
LEAD_S = 6.0
DAY_S = 34.0
# Work that is still under way has this long to end.
CLOSE_S = 14.0
WINDOW_S = 2.0
# Worth of a core-second that is thrown away, from the users' price lists.
WASTE_PRICE = 0.0017
ACCELERATORS = (1, 2, 4, 8, 8)


class Kind(NamedTuple):
    """A kind of job.

    Attributes:
        queue: Its queue.
        worth: Worth of a job of mean size that ends within its objective.
        late: Worth if it ends within three times the objective.
        width: Mean number of tasks, and the largest.
        run_s: Mean run time, its spread and the longest.
        demand: Resources of a task; None of the accelerators.
        accelerators: Accelerators of a task, one is drawn for each job.
        gang: Whether the tasks run together.
        one_rack: Share of the jobs that want one rack.
        checkpoints: Share of the jobs that can be resumed.
        error: Factor by which declared run times are off.
        rate: Jobs a second.
        filled: Jobs that are handed in before the traffic.
    """

    queue: configurations.Queue
    worth: float
    late: float
    width: tuple[float, int]
    run_s: tuple[float, float, float]
    demand: workload.Demand
    accelerators: tuple[int, ...]
    gang: bool
    one_rack: float
    checkpoints: float
    error: float
    rate: float
    filled: int


class Burst(NamedTuple):
    """More of one kind for a while.

    Attributes:
        kind: Position of the kind.
        begin_s: Start.
        duration_s: Length.
        factor: Rate as a multiple of the usual one.
    """

    kind: int
    begin_s: float
    duration_s: float
    factor: float


class Pattern(NamedTuple):
    """A shape of load.

    Attributes:
        kinds: Kinds of jobs.
        bursts: Bursts.
        scale: Factor of all rates.
        workers: Number of workers.
        per_rack: Workers in a rack.
        sure: Share of the fleet that is guaranteed to teams.
        teams: Number of teams.
    """

    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    scale: float
    workers: int = 24
    per_rack: int = 8
    sure: float = 0.62
    teams: int = 4


def _make_queue(name: str, priority: int, slack: float,
                objective_ms: float) -> configurations.Queue:
    return configurations.Queue(name=name,
                                host="host",
                                prefix=f"/{name}/",
                                service="service",
                                priority=priority,
                                max_failures=4,
                                slack=slack,
                                objective_ms=objective_ms,
                                anonymous=False)


DETECT = Kind(queue=_make_queue("detect", 1, 3.0, 1000.0),
              worth=3.0,
              late=0.9,
              width=(4.0, 24),
              run_s=(8.5, 0.3, 11.0),
              demand=workload.Demand(26_000, 68_000, 0),
              accelerators=ACCELERATORS,
              gang=True,
              one_rack=0.6,
              checkpoints=0.45,
              error=0.9,
              rate=0.428,
              filled=9)
RENDER = Kind(queue=_make_queue("render", 0, 1.5, 250.0),
              worth=4.0,
              late=0.8,
              width=(3.0, 18),
              run_s=(2.5, 0.5, 8.0),
              demand=workload.Demand(7_500, 11_000, 0),
              accelerators=ACCELERATORS,
              gang=True,
              one_rack=0.8,
              checkpoints=0.0,
              error=0.5,
              rate=0.958,
              filled=0)
INDEX = Kind(queue=_make_queue("index", 2, 3.0, 3000.0),
             worth=1.0,
             late=0.3,
             width=(12.0, 72),
             run_s=(9.5, 0.3, 11.0),
             demand=workload.Demand(5_600, 11_000, 0),
             accelerators=(1,),
             gang=False,
             one_rack=0.0,
             checkpoints=0.45,
             error=0.2,
             rate=0.339,
             filled=9)

KINDS = (DETECT, RENDER, INDEX)
GROWN = (DETECT._replace(rate=1.18,
                         filled=23,
                         width=(10.0, 60),
                         run_s=(11.0, 0.3, 11.0)),
         RENDER._replace(rate=6.9, width=(4.7, 28)),
         INDEX._replace(rate=1.82,
                        filled=27,
                        width=(30.0, 180),
                        run_s=(6.1, 0.3, 11.0)))
PATTERNS = {
    "grown":
        Pattern(GROWN, (Burst(1, 4.0, 6.0, 2.0), Burst(
            2, 3.9, 6.5, 2.1), Burst(0, 7.4, 4.0, 2.6)),
                1.1,
                workers=176,
                per_rack=12,
                teams=10),
    "calm":
        Pattern(KINDS, (), 0.63),
    "urgent-burst":
        Pattern(KINDS, (Burst(1, 0.5, 6.0, 2.3), Burst(2, 4.5, 5.3, 2.2)), 1.1),
    "large-burst":
        Pattern(KINDS, (Burst(0, 8.0, 4.4, 2.7), Burst(
            1, 4.4, 6.0, 2.3), Burst(2, 2.6, 5.5, 2.1)), 1.1),
    "fragments":
        Pattern(
            (DETECT._replace(
                rate=0.251, filled=6, width=(5.0, 30),
                run_s=(11.0, 0.3, 11.0)), RENDER._replace(rate=1.19),
             INDEX._replace(
                 rate=0.38,
                 width=(16.0, 96), run_s=(7.6, 0.3, 11.0), filled=6)),
            (Burst(1, 4.4, 6.0, 2.3), Burst(0, 9.0, 4.3,
                                            2.7), Burst(2, 2.6, 5.5, 2.1)),
            1.1,
            per_rack=6),
    "bulk-flood":
        Pattern(KINDS, (Burst(2, 2.0, 6.6, 5.0),), 1.0),
}


class Sample(NamedTuple):
    """A job of a play.

    Attributes:
        job_id: Identifier.
        kind: Position of its kind.
        team: Team.
        at_s: When it is submitted.
        run_s: True run time of its tasks.
        step: Its step.
    """

    job_id: str
    kind: int
    team: str
    at_s: float
    run_s: float
    step: workload.Step

    @property
    def work(self) -> float:
        """Core-seconds."""
        return (estimate.count_core_equivalents(self.step.demand) *
                self.step.tasks * self.run_s)


def _draw(rng: random.Random, mean: float, spread: float) -> float:
    """Draws from a log-normal distribution with a mean."""
    if not spread:
        return mean
    sigma = math.sqrt(math.log(1.0 + spread * spread))
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def generate(pattern: Pattern, seed: int) -> list[Sample]:
    """Draws the jobs of a day."""
    rng = random.Random(seed)
    samples: list[Sample] = []
    weights = [1.0 / (rank + 1)**1.2 for rank in range(pattern.teams)]

    def add(position: int, at_s: float) -> None:
        kind = pattern.kinds[position]
        width = max(1, min(kind.width[1], round(_draw(rng, kind.width[0],
                                                      0.8))))
        run_s = max(0.3, min(kind.run_s[2], _draw(rng, *kind.run_s[:2])))
        demand = kind.demand._replace(
            accelerators=rng.choice(kind.accelerators))
        declared = run_s * math.exp(rng.uniform(-1, 1) * kind.error)
        step = workload.Step(tasks=width,
                             demand=demand,
                             estimate_ms=int(declared * 1000),
                             gang=kind.gang,
                             one_rack=rng.random() < kind.one_rack,
                             checkpoints=rng.random() < kind.checkpoints)
        team = rng.choices(range(pattern.teams), weights)[0]
        samples.append(
            Sample(f"{len(samples):016x}", position, f"team{team}", at_s, run_s,
                   step))

    for position, kind in enumerate(pattern.kinds):
        for _ in range(kind.filled):
            add(position, rng.uniform(0.0, 0.2))
        at_s = LEAD_S
        while at_s < LEAD_S + DAY_S:
            rate = kind.rate * pattern.scale * _find_factor(
                pattern, position, at_s - LEAD_S)
            at_s += rng.expovariate(rate)
            if at_s < LEAD_S + DAY_S:
                add(position, at_s)
    return sorted(samples, key=lambda sample: sample.at_s)


def _find_factor(pattern: Pattern, position: int, at_s: float) -> float:
    factor = 1.0
    for burst in pattern.bursts:
        if (burst.kind == position and
                burst.begin_s <= at_s < burst.begin_s + burst.duration_s):
            factor *= burst.factor
    return factor


class Result(NamedTuple):
    """Outcome of a play.

    Attributes:
        worth: Share of the worth owed that was earned, less waste.
        whole: That share over the whole day.
        windows: Over the two worst windows of two seconds.
        kinds: By kind.
        teams: Over the worst team.
        large: Served share of the largest tenth of each kind.
        served: Share of the jobs that earned anything.
        wasted: Core-seconds of work thrown away.
        stopped: Runs that were stopped.
    """

    worth: float
    whole: float
    windows: float
    kinds: dict[str, float]
    teams: float
    large: dict[str, float]
    served: float
    wasted: float
    stopped: int


def simulate(pattern: Pattern,
             seed: int,
             *,
             order: ordering.UnitOrder | None = None,
             bounds: limits.Limits | None = None) -> Result:
    """Plays a day.

    Args:
        pattern: Shape of the load.
        seed: Of the jobs.
        order: Ranks waiting work; the default if absent.
        bounds: Time limits of the leader.

    Returns:
        What it was worth.
    """
    samples = generate(pattern, seed)
    total = pattern.workers * 8 * pattern.sure
    weights = [1.0 / (rank + 1)**1.2 for rank in range(pattern.teams)]
    guarantees = {
        f"team{rank}": int(total * weight / sum(weights))
        for rank, weight in enumerate(weights)
    }
    plan = planner.Planner(order=order or ordering.WorthDensityOrder())
    site = sites.Site(seed=seed,
                      node_count=1,
                      worker_count=pattern.workers,
                      per_rack=pattern.per_rack,
                      guarantees=guarantees,
                      queues=tuple(kind.queue for kind in pattern.kinds),
                      round_planner=plan,
                      bounds=bounds)
    for sample in samples:
        site.clock.schedule(
            1.0 + sample.at_s,
            functools.partial(site.submit_steps,
                              sample.job_id, [sample.step], [sample.run_s],
                              queue=pattern.kinds[sample.kind].queue,
                              team=sample.team))
    site.run(1.0 + LEAD_S + DAY_S + CLOSE_S)
    return evaluate(pattern, samples, site)


def evaluate(pattern: Pattern, samples: list[Sample],
             site: sites.Site) -> Result:
    """Computes the worth of what a site did."""
    done: dict[str, set[str]] = collections.defaultdict(set)
    ended_s: dict[str, float] = {}
    begun_s: dict[tuple[str, int], float] = {}
    wasted, stopped = 0.0, 0
    by_id = {sample.job_id: sample for sample in samples}
    for event in site.history:
        job_id = event.name.partition(".")[0]
        if event.kind == "start":
            begun_s[event.name, event.run] = event.at_s
        elif event.kind == "done":
            done[job_id].add(event.name)
            ended_s[job_id] = event.at_s
        elif event.kind == "stopped":
            stopped += 1
            step = by_id[job_id].step
            ran_s = event.at_s - begun_s[event.name, event.run]
            wasted += units.compute_lost_core_s(step, ran_s, 0.5)
    means = {
        position:
            sum(sample.work for sample in samples if sample.kind == position) /
            max(1, sum(sample.kind == position for sample in samples))
        for position in range(len(pattern.kinds))
    }
    owed: dict[tuple[str, object], float] = collections.defaultdict(float)
    earned: dict[tuple[str, object], float] = collections.defaultdict(float)
    sizes: dict[int, list[tuple[float, float]]] = collections.defaultdict(list)
    for sample in samples:
        kind = pattern.kinds[sample.kind]
        ratio = min(4.0, sample.work / means[sample.kind])
        full = kind.worth * (0.3 + 0.7 * ratio)
        objective_s = (kind.queue.slack * sample.run_s +
                       kind.queue.objective_ms / 1000.0)
        share = 0.0
        if len(done[sample.job_id]) == sample.step.tasks:
            took_s = ended_s[sample.job_id] - sample.at_s - 1.0
            if took_s <= objective_s:
                share = 1.0
            elif took_s <= 3 * objective_s:
                share = kind.late / kind.worth
        sizes[sample.kind].append((sample.work, share))
        window = int((sample.at_s - LEAD_S) // WINDOW_S)
        for group in (("all", ""), ("kind", sample.kind), ("team", sample.team),
                      ("window", window)):
            owed[group] += full
            earned[group] += full * share
    shares = {group: earned[group] / owed[group] for group in owed}
    whole = shares["all", ""]
    windows = sorted(
        share for (name, key), share in shares.items()
        if name == "window" and isinstance(key, int) and key >= 0)[:2]
    kinds = {
        pattern.kinds[key].queue.name: share
        for (name, key), share in shares.items()
        if name == "kind" and isinstance(key, int)
    }
    teams = min(share for (name, _), share in shares.items() if name == "team")
    large = {}
    for position, found in sizes.items():
        top = sorted(found)[-max(1, len(found) // 10):]
        large[pattern.kinds[position].queue.name] = sum(
            share for _, share in top) / len(top)
    shares_of_jobs = [share for found in sizes.values() for _, share in found]
    served = sum(share > 0 for share in shares_of_jobs) / len(shares_of_jobs)
    price = wasted * WASTE_PRICE / owed["all", ""]
    worth = (0.7 * whole + 0.15 * sum(windows) / 2 +
             0.15 * min(kinds.values()) + 0.2 * teams) / 1.2 - price
    return Result(worth, whole,
                  sum(windows) / 2, kinds, teams, large, served, wasted,
                  stopped)
