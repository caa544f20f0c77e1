"""Load patterns, simulated on a virtual site and evaluated by earned worth.

The kinds of jobs and their rates follow the users' sheets at the size of 24
workers. A simulation drives the real dispatcher; only sockets and time are
virtual.
"""

import collections
from collections.abc import Mapping
import functools
import math
import random
import statistics
from typing import NamedTuple

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_jobs import units
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

# Time before the traffic, in which the initial jobs fill the fleet.
FILL_PHASE_S = 6.0
TRAFFIC_PHASE_S = 34.0
# Time after the traffic, in which running and waiting jobs can end.
COMPLETION_PHASE_S = 14.0
SCORE_WINDOW_S = 2.0
# Time after which a worker carries out a command whose reply was lost.
LATE_EXECUTION_S = 4.0
# Worth of a core-second that is thrown away, from the users' price lists.
WASTED_CORE_S_PRICE = 0.0017
# Accelerators of a task; 8 is drawn twice as often as the others.
ACCELERATOR_CHOICES = (1, 2, 4, 8, 8)


class JobKind(NamedTuple):
    """Distribution of the jobs of a kind.

    Attributes:
        queue: Queue of the jobs.
        worth: Worth of a job of mean size that ends within its objective.
        late_worth: Worth if it ends within three times the objective.
        tasks: Mean and largest number of tasks.
        run_s: Mean run time in seconds, its standard deviation relative to
            the mean, and the longest run time in seconds.
        demand: Resources of a task without its accelerators.
        accelerators: Numbers of accelerators of a task, from which one is
            drawn for each job.
        gang: Whether the tasks of a job run together.
        one_rack_share: Share of the jobs that prefer one rack.
        checkpoint_share: Share of the jobs that can be resumed.
        estimate_error: Largest error of the declared run time, as the natural
            logarithm of its factor.
        rate_per_s: Jobs a second.
        initial_jobs: Number of jobs that are submitted before the traffic.
        max_per_worker: Most tasks of a job on one worker, 0 without a limit.
        image: Image of the tasks, or empty.
    """

    queue: configurations.Queue
    worth: float
    late_worth: float
    tasks: tuple[float, int]
    run_s: tuple[float, float, float]
    demand: workload.Demand
    accelerators: tuple[int, ...]
    gang: bool
    one_rack_share: float
    checkpoint_share: float
    estimate_error: float
    rate_per_s: float
    initial_jobs: int
    max_per_worker: int = 0
    image: str = ""


class Burst(NamedTuple):
    """A period in which one kind of job arrives at a higher rate.

    Attributes:
        kind_index: Index of the kind in its pattern.
        start_s: Start in seconds after the start of the traffic.
        duration_s: Duration in seconds.
        factor: Rate as a multiple of the usual one.
    """

    kind_index: int
    start_s: float
    duration_s: float
    factor: float


class LoadPattern(NamedTuple):
    """A load and the fleet on which it runs.

    Attributes:
        kinds: Kinds of jobs.
        bursts: Bursts, which multiply the rates while they overlap.
        rate_scale: Factor of all rates.
        worker_count: Number of workers.
        per_rack: Workers in a rack.
        guaranteed_share: Share of the accelerators of the fleet that is
            guaranteed to teams.
        team_count: Number of teams.
        slownesses: Factors of the run times on the workers, in turn.
        slowdowns: Factor of the run time of tasks of an image beside another
            one, by image and other image.
    """

    kinds: tuple[JobKind, ...]
    bursts: tuple[Burst, ...]
    rate_scale: float
    worker_count: int = 24
    per_rack: int = 8
    guaranteed_share: float = 0.62
    team_count: int = 4
    slownesses: tuple[float, ...] = (1.0,)
    slowdowns: Mapping[str, dict[str, float]] = {}


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


DETECT = JobKind(queue=_make_queue("detect", 1, 3.0, 1000.0),
                 worth=3.0,
                 late_worth=0.9,
                 tasks=(4.0, 24),
                 run_s=(8.5, 0.3, 11.0),
                 demand=workload.Demand(26_000, 68_000, 0),
                 accelerators=ACCELERATOR_CHOICES,
                 gang=True,
                 one_rack_share=0.6,
                 checkpoint_share=0.45,
                 estimate_error=0.9,
                 rate_per_s=0.428,
                 initial_jobs=9)
RENDER = JobKind(queue=_make_queue("render", 0, 1.5, 250.0),
                 worth=4.0,
                 late_worth=0.8,
                 tasks=(3.0, 18),
                 run_s=(2.5, 0.5, 8.0),
                 demand=workload.Demand(7_500, 11_000, 0),
                 accelerators=ACCELERATOR_CHOICES,
                 gang=True,
                 one_rack_share=0.8,
                 checkpoint_share=0.0,
                 estimate_error=0.5,
                 rate_per_s=0.958,
                 initial_jobs=0)
INDEX = JobKind(queue=_make_queue("index", 2, 3.0, 3000.0),
                worth=1.0,
                late_worth=0.3,
                tasks=(12.0, 72),
                run_s=(9.5, 0.3, 11.0),
                demand=workload.Demand(5_600, 11_000, 0),
                accelerators=(1,),
                gang=False,
                one_rack_share=0.0,
                checkpoint_share=0.45,
                estimate_error=0.2,
                rate_per_s=0.339,
                initial_jobs=9)

KINDS = (DETECT, RENDER, INDEX)
LARGE_FLEET_KINDS = (DETECT._replace(rate_per_s=1.18,
                                     initial_jobs=23,
                                     tasks=(10.0, 60),
                                     run_s=(11.0, 0.3, 11.0)),
                     RENDER._replace(rate_per_s=6.9, tasks=(4.7, 28)),
                     INDEX._replace(rate_per_s=1.82,
                                    initial_jobs=27,
                                    tasks=(30.0, 180),
                                    run_s=(6.1, 0.3, 11.0)))
# A load of 270 workers with many teams and wide gangs in racks of 8.
LARGE_SITE_KINDS = (DETECT._replace(rate_per_s=1.37,
                                    initial_jobs=27,
                                    tasks=(13.0, 76),
                                    run_s=(11.0, 0.3, 11.0)),
                    RENDER._replace(rate_per_s=8.6, tasks=(5.3, 32)),
                    INDEX._replace(rate_per_s=1.69,
                                   initial_jobs=31,
                                   tasks=(38.0, 230),
                                   run_s=(7.6, 0.3, 11.0)))
PATTERNS = {
    "large":
        LoadPattern(LARGE_SITE_KINDS,
                    (Burst(1, 0.8, 6.0, 1.9), Burst(2, 2.3, 5.4, 2.1)),
                    1.1,
                    worker_count=270,
                    team_count=24),
    "grown":
        LoadPattern(LARGE_FLEET_KINDS,
                    (Burst(1, 4.0, 6.0, 2.0), Burst(
                        2, 3.9, 6.5, 2.1), Burst(0, 7.4, 4.0, 2.6)),
                    1.1,
                    worker_count=176,
                    per_rack=12,
                    team_count=10),
    "calm":
        LoadPattern(KINDS, (), 0.63),
    "urgent-burst":
        LoadPattern(KINDS, (Burst(1, 0.5, 6.0, 2.3), Burst(2, 4.5, 5.3, 2.2)),
                    1.1),
    "large-burst":
        LoadPattern(KINDS, (Burst(0, 8.0, 4.4, 2.7), Burst(
            1, 4.4, 6.0, 2.3), Burst(2, 2.6, 5.5, 2.1)), 1.1),
    "fragments":
        LoadPattern((DETECT._replace(
            rate_per_s=0.251,
            initial_jobs=6,
            tasks=(5.0, 30),
            run_s=(11.0, 0.3, 11.0)), RENDER._replace(rate_per_s=1.19),
                     INDEX._replace(rate_per_s=0.38,
                                    tasks=(16.0, 96),
                                    run_s=(7.6, 0.3, 11.0),
                                    initial_jobs=6)),
                    (Burst(1, 4.4, 6.0, 2.3), Burst(
                        0, 9.0, 4.3, 2.7), Burst(2, 2.6, 5.5, 2.1)),
                    1.1,
                    per_rack=6),
    # Urgent jobs of independent tasks, one to a worker: the widest have more
    # tasks than there are workers.
    "wide-urgent":
        LoadPattern((DETECT,
                     RENDER._replace(gang=False,
                                     one_rack_share=0.0,
                                     max_per_worker=1,
                                     accelerators=(1,),
                                     tasks=(10.0, 24)), INDEX),
                    (Burst(1, 4.4, 6.0, 2.3),),
                    1.0,
                    worker_count=16),
    # Workers of three speeds, and urgent work with little time to spare.
    "uneven-workers":
        LoadPattern((DETECT._replace(rate_per_s=0.2, initial_jobs=4),
                     RENDER._replace(rate_per_s=0.8, estimate_error=0.2),
                     INDEX._replace(rate_per_s=0.2, initial_jobs=4)), (),
                    1.0,
                    per_rack=12,
                    slownesses=(0.6, 1.0, 1.6)),
    # A fleet with free room, and two images that double the run time of
    # each other.
    "disturbing-images":
        LoadPattern((DETECT._replace(gang=False,
                                     one_rack_share=0.0,
                                     accelerators=(1, 2),
                                     checkpoint_share=0.0,
                                     initial_jobs=2,
                                     image="detect"), RENDER,
                     INDEX._replace(
                         checkpoint_share=0.0, initial_jobs=2, image="index")),
                    (),
                    0.6,
                    slowdowns={
                        "detect": {
                            "index": 2.0
                        },
                        "index": {
                            "detect": 2.0
                        }
                    }),
    "bulk-flood":
        LoadPattern(KINDS, (Burst(2, 2.0, 6.6, 5.0),), 1.0),
}


class GeneratedJob(NamedTuple):
    """A job of a generated load.

    Attributes:
        job_id: Identifier.
        kind_index: Index of its kind in the pattern.
        team: Team of the caller.
        at_s: Time of the submission in seconds; the simulation adds 1 s.
        run_s: Actual run time of its tasks in seconds.
        step: The only step of the job.
    """

    job_id: str
    kind_index: int
    team: str
    at_s: float
    run_s: float
    step: workload.Step

    @property
    def total_core_s(self) -> float:
        """Core-seconds of all tasks, with accelerators as equivalent cores."""
        return (estimate.count_core_equivalents(self.step.demand) *
                self.step.tasks * self.run_s)


def _draw_lognormal(rng: random.Random, mean: float,
                    relative_deviation: float) -> float:
    """Draws from a log-normal distribution.

    Args:
        rng: Source of the random numbers.
        mean: Mean of the distribution.
        relative_deviation: Standard deviation relative to the mean.
    """
    if not relative_deviation:
        return mean
    sigma = math.sqrt(math.log(1.0 + relative_deviation * relative_deviation))
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def generate_jobs(pattern: LoadPattern, seed: int) -> list[GeneratedJob]:
    """Draws the jobs of a load, in the order of their submission."""
    rng = random.Random(seed)
    jobs: list[GeneratedJob] = []
    weights = [1.0 / (rank + 1)**1.2 for rank in range(pattern.team_count)]

    def add_job(kind_index: int, at_s: float) -> None:
        kind = pattern.kinds[kind_index]
        tasks = max(
            1,
            min(kind.tasks[1], round(_draw_lognormal(rng, kind.tasks[0], 0.8))))
        run_s = max(0.3,
                    min(kind.run_s[2], _draw_lognormal(rng, *kind.run_s[:2])))
        demand = kind.demand._replace(
            accelerators=rng.choice(kind.accelerators))
        declared_s = run_s * math.exp(rng.uniform(-1, 1) * kind.estimate_error)
        step = workload.Step(tasks=tasks,
                             demand=demand,
                             estimate_ms=int(declared_s * 1000),
                             gang=kind.gang,
                             max_per_worker=kind.max_per_worker,
                             image=kind.image,
                             one_rack=rng.random() < kind.one_rack_share,
                             checkpoints=rng.random() < kind.checkpoint_share)
        team = rng.choices(range(pattern.team_count), weights)[0]
        jobs.append(
            GeneratedJob(f"{len(jobs):016x}", kind_index, f"team{team}", at_s,
                         run_s, step))

    for kind_index, kind in enumerate(pattern.kinds):
        for _ in range(kind.initial_jobs):
            add_job(kind_index, rng.uniform(0.0, 0.2))
        at_s = FILL_PHASE_S
        while at_s < FILL_PHASE_S + TRAFFIC_PHASE_S:
            rate_per_s = (
                kind.rate_per_s * pattern.rate_scale *
                _compute_burst_factor(pattern, kind_index, at_s - FILL_PHASE_S))
            at_s += rng.expovariate(rate_per_s)
            if at_s < FILL_PHASE_S + TRAFFIC_PHASE_S:
                add_job(kind_index, at_s)
    return sorted(jobs, key=lambda job: job.at_s)


def _compute_burst_factor(pattern: LoadPattern, kind_index: int,
                          at_s: float) -> float:
    factor = 1.0
    for burst in pattern.bursts:
        if (burst.kind_index == kind_index and
                burst.start_s <= at_s < burst.start_s + burst.duration_s):
            factor *= burst.factor
    return factor


class Result(NamedTuple):
    """Result of a simulation.

    A job earns its full worth if it ends within its objective and less if it
    is late. A share is the earned part of the full worth of some jobs.

    Attributes:
        worth: Weighted mean of all_jobs, windows, the worst of kinds and
            worst_team, less the price of the wasted core-seconds.
        all_jobs: Share of all jobs.
        windows: Mean share of the two worst windows of SCORE_WINDOW_S.
        kinds: Share of each kind, by queue.
        worst_team: Share of the worst team.
        largest_jobs: Mean share earned by a job of the largest tenth of each
            kind, by queue.
        served: Part of the jobs that earned anything.
        wasted: Core-seconds of work that were thrown away.
        stopped: Number of runs that were stopped.
        run_s: Mean time of the completed runs of each kind in seconds, by
            queue.
    """

    worth: float
    all_jobs: float
    windows: float
    kinds: dict[str, float]
    worst_team: float
    largest_jobs: dict[str, float]
    served: float
    wasted: float
    stopped: int
    run_s: dict[str, float]


def simulate(pattern: LoadPattern,
             seed: int,
             *,
             order: ordering.UnitOrder | None = None,
             bounds: limits.Limits | None = None,
             command_loss: float = 0.0,
             report_loss: float = 0.0) -> Result:
    """Simulates a load on a site with one node.

    Args:
        pattern: The load and the fleet.
        seed: Seed of the jobs and of the site.
        order: Order in which the planner considers waiting units;
            WorthDensityOrder if None.
        bounds: Time limits of the node, or None for the defaults.
        command_loss: Share of the starts and stops that get no reply and are
            carried out LATE_EXECUTION_S later.
        report_loss: The same for requests of reports.
    """
    jobs = generate_jobs(pattern, seed)
    guaranteed_total = pattern.worker_count * 8 * pattern.guaranteed_share
    weights = [1.0 / (rank + 1)**1.2 for rank in range(pattern.team_count)]
    guarantees = {
        f"team{rank}": int(guaranteed_total * weight / sum(weights))
        for rank, weight in enumerate(weights)
    }
    round_planner = planner.Planner(order=order or ordering.WorthDensityOrder())
    site = sites.Site(seed=seed,
                      node_count=1,
                      worker_count=pattern.worker_count,
                      per_rack=pattern.per_rack,
                      guarantees=guarantees,
                      queues=tuple(kind.queue for kind in pattern.kinds),
                      round_planner=round_planner,
                      bounds=bounds)
    site.slowdowns = dict(pattern.slowdowns)
    for site_node in site.nodes.values():
        site_node.workers.command_loss_probability = command_loss
        site_node.workers.report_loss_probability = report_loss
        site_node.workers.lost_call_delay_s = LATE_EXECUTION_S
    for number, worker_state in enumerate(site.worker_states.values()):
        worker_state.slowness = pattern.slownesses[number %
                                                   len(pattern.slownesses)]
    for job in jobs:
        site.clock.schedule(
            1.0 + job.at_s,
            functools.partial(site.submit_steps,
                              job.job_id, [job.step], [job.run_s],
                              queue=pattern.kinds[job.kind_index].queue,
                              team=job.team))
    site.run(1.0 + FILL_PHASE_S + TRAFFIC_PHASE_S + COMPLETION_PHASE_S)
    return evaluate(pattern, jobs, site)


def evaluate(pattern: LoadPattern, jobs: list[GeneratedJob],
             site: sites.Site) -> Result:
    """Computes the result from the history of the workers of a site.

    Args:
        pattern: The load and the fleet.
        jobs: The jobs that were submitted.
        site: The site after the simulation.
    """
    done: dict[str, set[str]] = collections.defaultdict(set)
    ended_s: dict[str, float] = {}
    started_s: dict[tuple[str, int], float] = {}
    wasted, stopped = 0.0, 0
    run_times_s: dict[str, list[float]] = collections.defaultdict(list)
    jobs_by_id = {job.job_id: job for job in jobs}
    for event in site.history:
        job_id = event.name.partition(".")[0]
        if event.kind == "start":
            started_s[event.name, event.run] = event.at_s
        elif event.kind == "done":
            done[job_id].add(event.name)
            ended_s[job_id] = event.at_s
            kind = pattern.kinds[jobs_by_id[job_id].kind_index]
            run_times_s[kind.queue.name].append(event.at_s -
                                                started_s[event.name,
                                                          event.run])
        elif event.kind == "stopped":
            stopped += 1
            step = jobs_by_id[job_id].step
            ran_s = event.at_s - started_s[event.name, event.run]
            wasted += units.compute_lost_core_s(step, ran_s, 0.5)
    mean_core_s = {
        kind_index:
            sum(job.total_core_s
                for job in jobs
                if job.kind_index == kind_index) /
            max(1, sum(job.kind_index == kind_index
                       for job in jobs))
        for kind_index in range(len(pattern.kinds))
    }
    possible: dict[tuple[str, object], float] = collections.defaultdict(float)
    earned: dict[tuple[str, object], float] = collections.defaultdict(float)
    # Core-seconds and earned share of each job, by kind.
    scores: dict[int, list[tuple[float, float]]] = collections.defaultdict(list)
    for job in jobs:
        kind = pattern.kinds[job.kind_index]
        size_ratio = min(4.0, job.total_core_s / mean_core_s[job.kind_index])
        full_worth = kind.worth * (0.3 + 0.7 * size_ratio)
        objective_s = (kind.queue.slack * job.run_s +
                       kind.queue.objective_ms / 1000.0)
        share = 0.0
        if len(done[job.job_id]) == job.step.tasks:
            turnaround_s = ended_s[job.job_id] - job.at_s - 1.0
            if turnaround_s <= objective_s:
                share = 1.0
            elif turnaround_s <= 3 * objective_s:
                share = kind.late_worth / kind.worth
        scores[job.kind_index].append((job.total_core_s, share))
        window = int((job.at_s - FILL_PHASE_S) // SCORE_WINDOW_S)
        for group in (("all", ""), ("kind", job.kind_index), ("team", job.team),
                      ("window", window)):
            possible[group] += full_worth
            earned[group] += full_worth * share
    shares = {group: earned[group] / possible[group] for group in possible}
    all_jobs = shares["all", ""]
    worst_windows = sorted(
        share for (name, key), share in shares.items()
        if name == "window" and isinstance(key, int) and key >= 0)[:2]
    kinds = {
        pattern.kinds[key].queue.name: share
        for (name, key), share in shares.items()
        if name == "kind" and isinstance(key, int)
    }
    worst_team = min(
        share for (name, _), share in shares.items() if name == "team")
    largest_jobs = {}
    for kind_index, kind_shares in scores.items():
        largest = sorted(kind_shares)[-max(1, len(kind_shares) // 10):]
        largest_jobs[pattern.kinds[kind_index].queue.name] = sum(
            share for _, share in largest) / len(largest)
    job_shares = [
        share for kind_shares in scores.values() for _, share in kind_shares
    ]
    served = sum(share > 0 for share in job_shares) / len(job_shares)
    waste_share = wasted * WASTED_CORE_S_PRICE / possible["all", ""]
    worth = (0.7 * all_jobs + 0.15 * sum(worst_windows) / 2 +
             0.15 * min(kinds.values()) + 0.2 * worst_team) / 1.2 - waste_share
    return Result(worth, all_jobs,
                  sum(worst_windows) / 2, kinds, worst_team, largest_jobs,
                  served, wasted, stopped, {
                      queue: statistics.mean(times)
                      for queue, times in run_times_s.items()
                  })
