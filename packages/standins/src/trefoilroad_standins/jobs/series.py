"""Series of lost leaders and workers at the size of a large deployment.

    python -m trefoilroad_standins.jobs.series --seed 7 --count 5

Real node processes serve steady traffic while one leader after the other is
killed, paused or cut off from the store, and workers are lost around the same
times. Jobs that stand beside free room are found from outside: from the answers
that callers got and from the history of the workers.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
from typing import Any
from typing import NamedTuple

import click

from trefoilroad_jobs import leadership
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import fleet_server
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import node_process
from trefoilroad_standins.jobs import proxy as proxies
from trefoilroad_standins.jobs import soak
from trefoilroad_standins.jobs import status_calls
from trefoilroad_standins.jobs import statuses
from trefoilroad_standins.jobs import workers as worker_module

WORKERS_PER_RACK = 12
KINDS = ("a", "b")
# A registration is removed after three missed reports.
SILENCE_S = 4.5
# Workers are lost this long before or after a hit at most.
WORKER_FAULT_SPREAD_S = 3.0
LOST_WORKER_SHARE = (0.05, 0.15)
CUT_WORKER_S = (6.0, 12.0)
CUT_LEADER_S = (4.0, 8.0)
RESTART_S = (0.5, 3.0)
READY_TIMEOUT_S = 90.0
LEADER_TIMEOUT_S = 8.0
SUBMISSION_TRIES = 6
# Keeps a third to a half of the accelerators in use.
JOBS_PER_WORKER_S = 0.14
LAG_INTERVAL_S = 0.02
# Delays of the stand-ins above this could be mistaken for those of the nodes.
MAX_LAG_S = 0.2
URGENT_PREFIX = "/urgent/"
BULK_PREFIX = "/bulk/"


class Plan(NamedTuple):
    """Size and times of a series.

    Attributes:
        node_count: Number of node processes.
        worker_count: Number of simulated workers.
        warm_up_s: Time from the readiness of the nodes to the traffic, in
            seconds.
        hit_times_s: Times of traffic at which the leader is hit, in seconds.
        traffic_s: Duration of the traffic in seconds.
        settle_s: Time from the end of the traffic to the judgement in seconds.
    """

    node_count: int = 41
    worker_count: int = 176
    warm_up_s: float = 10.0
    hit_times_s: tuple[float, ...] = (15.0, 25.0, 35.0)
    traffic_s: float = 55.0
    settle_s: float = 20.0


# A run that fits into a test.
SHORT_PLAN = Plan(node_count=5,
                  worker_count=36,
                  warm_up_s=2.0,
                  hit_times_s=(4.0, 11.0, 18.0),
                  traffic_s=25.0,
                  settle_s=16.0)


def encode_step(step: workload.Step) -> dict[str, Any]:
    """Encodes a step as clients submit it."""
    return {
        "count": step.tasks,
        "cpu": step.demand.milli_cores,
        "memMb": step.demand.memory_mb,
        "gpu": step.demand.accelerators,
        "estimatedMs": step.estimate_ms,
        "after": list(step.after),
        "gang": step.gang,
        "rackLocal": step.one_rack,
        "requirements": step.label,
        "affinity": step.data_rack
    }


def build_configuration(worker_count: int) -> dict[str, Any]:
    """Returns a configuration with an urgent queue and one for bulk work.

    Args:
        worker_count: Number of workers; an eighth of their accelerators is
            guaranteed to the team.
    """
    configuration = json.loads(json.dumps(soak.CONFIGURATION))
    route = configuration["routes"][0]
    configuration["routes"] = [
        route | {
            "name": "urgent",
            "prefix": URGENT_PREFIX,
            "priority": 0
        }, route | {
            "name": "bulk",
            "prefix": BULK_PREFIX,
            "targetDurationMs": 5000
        }
    ]
    configuration["tenants"][0]["guaranteed"]["gpu"] = worker_count
    return configuration


class Series:
    """A series of hits, with random choices drawn from a seed.

    Attributes:
        log: What the run did, in order.
        max_lag_s: Longest delay of this process's event loop in seconds.
    """

    def __init__(self, *, seed: int, folder: pathlib.Path, plan: Plan):
        """Sets up the run without starting anything.

        Args:
            seed: Seed of the random choices.
            folder: Existing folder for settings, logs and the record.
            plan: Size and times.
        """
        self.log: list[str] = []
        self.max_lag_s = 0.0
        self._rng = random.Random(seed)
        # Separate, so that the faults of a seed do not depend on the traffic.
        self._job_rng = random.Random(f"jobs {seed}")
        self._folder = folder
        self._plan = plan
        self._fleet = fleet_server.FleetServer(
            worker_count=plan.worker_count,
            workers_per_rack=WORKERS_PER_RACK,
            kinds=KINDS,
            silence_s=SILENCE_S)
        self._nodes = [f"n{number}" for number in range(plan.node_count)]
        self._processes: dict[str, node_process.NodeProcess] = {}
        self._proxies: dict[str, proxies.Proxy] = {}
        self._jobs: list[idleness.Job] = []
        self._prefixes: dict[str, str] = {}
        self._submissions: list[asyncio.Task[None]] = []
        self._changes: list[idleness.WorkerChange] = []
        self._disruptions: list[idleness.Interval] = []
        self._lags: list[idleness.Interval] = []

    def _record(self, text: str) -> None:
        self.log.append(f"{self._fleet.clock.now_s:.2f} {text}")

    async def run(self) -> list[str]:
        """Runs the series; returns one line for each violation."""
        lag_task = asyncio.create_task(self._measure_lag())
        try:
            await self._start_all()
            await self._wait_until_ready()
            await asyncio.sleep(self._plan.warm_up_s)
            self._record("traffic begins")
            await asyncio.gather(self._submit_all(), self._harm_all())
            await asyncio.gather(*self._submissions)
            end_s = self._fleet.clock.now_s
            accepted = sum(job.accepted_s is not None for job in self._jobs)
            self._record(f"traffic has ended, {accepted} jobs of "
                         f"{len(self._jobs)} accepted")
            await asyncio.sleep(self._plan.settle_s)
            wrong_answers = await self._ask_statuses()
            return wrong_answers + await self._judge(end_s)
        finally:
            lag_task.cancel()
            await self._stop_all()

    async def _measure_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = loop.time() - due_s
            self.max_lag_s = max(self.max_lag_s, lag_s)
            if lag_s > MAX_LAG_S:
                now_s = self._fleet.clock.now_s
                self._lags.append(idleness.Interval(now_s - lag_s, now_s))
                self._record(f"the stand-ins lagged for {lag_s:.2f} s")

    async def _start_all(self) -> None:
        await self._fleet.start()
        for name, port in self._fleet.ports.items():
            self._proxies[name] = proxies.Proxy(target_port=port)
            await self._proxies[name].start()
            self._fleet.registered_ports[name] = self._proxies[name].port
        self._fleet.publish(build_configuration(self._plan.worker_count))
        for name in self._nodes:
            node = node_process.NodeProcess(name=name,
                                            folder=self._folder,
                                            store_port=self._fleet.store_port)
            self._processes[name] = node
            await node.prepare()
            await node.start()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self._processes.values():
                while (await soak.call(node.port, "GET",
                                       BULK_PREFIX))[0] != 200:
                    await asyncio.sleep(0.2)

    async def _stop_all(self) -> None:
        await asyncio.gather(
            *[node.stop(signal.SIGKILL) for node in self._processes.values()])
        for node in self._processes.values():
            node.proxy.stop()
        for proxy in self._proxies.values():
            proxy.stop()
        await self._fleet.stop()

    # Traffic.

    async def _submit_all(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._plan.traffic_s
        rate = JOBS_PER_WORKER_S * self._plan.worker_count
        while loop.time() < end_s:
            self._submissions.append(
                asyncio.create_task(self._submit(*self._draw_job())))
            await asyncio.sleep(self._job_rng.expovariate(rate))

    def _draw_job(self) -> tuple[str, str, tuple[workload.Step, ...]]:
        """Draws a job; returns its id, the prefix of its queue and steps."""
        rng = self._job_rng
        job_id = f"{rng.getrandbits(64):016x}"
        urgent = rng.random() < 0.35
        run_s = rng.uniform(1.0, 4.0) if urgent else rng.uniform(2.0, 11.0)
        accelerators = 1 if urgent else rng.choice((1, 2, 4, 8))
        demand = workload.Demand(4000 * accelerators, 4000 * accelerators,
                                 accelerators)
        racks = sorted(
            {state.rack for state in self._fleet.worker_states.values()})
        step = workload.Step(
            tasks=rng.randint(1, 8) if urgent else 1,
            demand=demand,
            estimate_ms=int(run_s * rng.uniform(600, 1600)),
            gang=urgent,
            one_rack=urgent and rng.random() < 0.3,
            label=rng.choice(KINDS) if rng.random() < 0.15 else "",
            data_rack=rng.choice(racks) if rng.random() < 0.15 else "")
        steps = (step,
                 step._replace(after=(0,))) if rng.random() < 0.15 else (step,)
        self._fleet.run_s[job_id] = run_s
        self._fleet.demands[job_id] = demand
        return job_id, URGENT_PREFIX if urgent else BULK_PREFIX, steps

    async def _submit(self, job_id: str, prefix: str,
                      steps: tuple[workload.Step, ...]) -> None:
        body = {"spec": "text", "steps": [encode_step(step) for step in steps]}
        self._prefixes[job_id] = prefix
        accepted_s = None
        for _ in range(SUBMISSION_TRIES):
            status, _ = await soak.call(self._pick_node().port, "POST",
                                        prefix + job_id, body)
            if status == 200:
                accepted_s = self._fleet.clock.now_s
                break
            await asyncio.sleep(0.3)
        self._jobs.append(idleness.Job(job_id, steps, accepted_s))

    def _pick_node(self) -> node_process.NodeProcess:
        return self._job_rng.choice(
            [node for node in self._processes.values() if not node.has_ended])

    # Faults.

    async def _harm_all(self) -> None:
        faults = [
            self._run_later(time_s, None) for time_s in self._plan.hit_times_s
        ]
        share = self._rng.uniform(*LOST_WORKER_SHARE)
        names = self._rng.sample(sorted(self._proxies),
                                 max(1, round(share * self._plan.worker_count)))
        for name in names:
            offset_s = self._rng.uniform(-WORKER_FAULT_SPREAD_S,
                                         WORKER_FAULT_SPREAD_S)
            faults.append(
                self._run_later(
                    self._rng.choice(self._plan.hit_times_s) + offset_s, name))
        await asyncio.gather(*faults)

    async def _run_later(self, delay_s: float, worker: str | None) -> None:
        # Drawn before the wait, so that a seed always gives the same faults.
        if worker is not None:
            harm_worker = self._rng.choice(
                [self._lose_worker, self._crash_worker, self._cut_worker])
            duration_s = self._rng.uniform(*(RESTART_S if harm_worker == self.
                                             _crash_worker else CUT_WORKER_S))
            await asyncio.sleep(delay_s)
            self._record(
                f"{worker}: {harm_worker.__name__}, {duration_s:.1f} s")
            with self._disrupt():
                await harm_worker(worker, duration_s)
            return
        hit = self._rng.choice(
            [self._kill_and_restart, self._kill, self._pause, self._cut_store])
        duration_s = self._rng.uniform(
            *(RESTART_S if hit == self._kill_and_restart else CUT_LEADER_S))
        await asyncio.sleep(delay_s)
        node = await self._find_leader()
        if node is None:
            self._record("no leader to hit")
            return
        self._record(f"hit {node.name}: {hit.__name__}, {duration_s:.1f} s")
        with self._disrupt():
            await hit(node, duration_s)

    async def _find_leader(self) -> node_process.NodeProcess | None:
        """Returns the process that the leader row names, once it runs."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEADER_TIMEOUT_S):
                while True:
                    row = self._fleet.tables.rows.get("leader|leader", {}).get(
                        tables.LEADER_ROW[1])
                    leader = leadership.decode_leader(row and row.value)
                    node = self._processes.get(leader.node_id)
                    if node is not None and not node.has_ended:
                        return node
                    await asyncio.sleep(0.1)
        return None

    @contextlib.contextmanager
    def _disrupt(self) -> Iterator[None]:
        """Notes the time that the body takes as one of a disruption."""
        from_s = self._fleet.clock.now_s
        yield
        self._disruptions.append(
            idleness.Interval(from_s, self._fleet.clock.now_s))

    def _note_change(self, worker: str, *, up: bool, reachable: bool) -> None:
        self._changes.append(
            idleness.WorkerChange(self._fleet.clock.now_s, worker, up,
                                  reachable))

    async def _kill_and_restart(self, node: node_process.NodeProcess,
                                duration_s: float) -> None:
        await node.stop(signal.SIGKILL)
        await asyncio.sleep(duration_s)
        await node.start()

    async def _kill(self, node: node_process.NodeProcess, _: float) -> None:
        await node.stop(signal.SIGKILL)

    async def _pause(self, node: node_process.NodeProcess,
                     duration_s: float) -> None:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        node.send_signal(signal.SIGCONT)

    async def _cut_store(self, node: node_process.NodeProcess,
                         duration_s: float) -> None:
        node.proxy.set_fault(proxies.Fault.SILENT)
        await asyncio.sleep(duration_s)
        node.proxy.set_fault(proxies.Fault.NONE)

    async def _lose_worker(self, name: str, _: float) -> None:
        self._note_change(name, up=False, reachable=False)
        self._proxies[name].set_fault(proxies.Fault.SILENT)
        self._fleet.worker_states[name].crash()

    async def _crash_worker(self, name: str, duration_s: float) -> None:
        self._note_change(name, up=False, reachable=False)
        self._fleet.worker_states[name].crash()
        await asyncio.sleep(duration_s)
        self._fleet.worker_states[name].restart()
        self._note_change(name, up=True, reachable=True)

    async def _cut_worker(self, name: str, duration_s: float) -> None:
        """Cuts a worker off from the nodes and, by its number, the store."""
        self._note_change(name, up=True, reachable=False)
        worker_state = self._fleet.worker_states[name]
        worker_state.reachable = int(name[1:]) % 2 == 0
        self._proxies[name].set_fault(proxies.Fault.SILENT)
        await asyncio.sleep(duration_s)
        worker_state.reachable = True
        self._proxies[name].set_fault(proxies.Fault.NONE)
        self._note_change(name, up=True, reachable=True)

    # Checks.

    async def _ask_statuses(self) -> list[str]:
        """Asks all nodes that were not killed for all accepted jobs.

        Returns:
            One line for each wrong answer.
        """
        answers = await status_calls.ask_all(
            [
                node for node in self._processes.values()
                if node.exit_code != -signal.SIGKILL
            ], {
                job.job_id: self._prefixes[job.job_id] + job.job_id
                for job in self._jobs
                if job.accepted_s is not None
            }, soak.API_KEY, lambda: self._fleet.clock.now_s)
        longest_s = max([answer.took_s for answer in answers], default=0.0)
        self._record(f"{len(answers)} statuses asked for, the slowest took "
                     f"{longest_s:.2f} s")
        jobs = statuses.make_jobs(self._jobs, self._fleet.history,
                                  soak.MAX_ATTEMPTS)
        return statuses.find_wrong_answers(jobs, answers)

    async def _judge(self, traffic_end_s: float) -> list[str]:
        history = self._fleet.history
        record = idleness.Record(workers=[
            idleness.Worker(name, state.rack,
                            frozenset({KINDS[number % len(KINDS)]}),
                            state.capacity)
            for number, (name,
                         state) in enumerate(self._fleet.worker_states.items())
        ],
                                 changes=self._changes,
                                 events=history,
                                 jobs=self._jobs,
                                 disruptions=self._disruptions,
                                 traffic_end_s=traffic_end_s,
                                 end_s=self._fleet.clock.now_s)
        (self._folder / "record.json").write_text(
            json.dumps(record._asdict(), default=sorted))
        findings = await asyncio.to_thread(idleness.find_idle_jobs, record)
        for job_id in sorted({finding.job_id for finding in findings}):
            _, answer = await soak.call(self._pick_node().port, "GET",
                                        self._prefixes[job_id] + job_id)
            job = next(job for job in self._jobs if job.job_id == job_id)
            self._record(f"{job_id} is {answer.get('state')}, accepted at "
                         f"{job.accepted_s:.2f} s: {job.steps}")
        return ([
            finding.text + self._describe_lag(finding) for finding in findings
        ] + worker_module.find_violations(history))

    def _describe_lag(self, finding: idleness.Finding) -> str:
        """Returns how long the stand-ins lagged in the time of a finding."""
        lag_s = sum(
            max(0.0,
                min(lag.to_s, finding.to_s) - max(lag.from_s, finding.from_s))
            for lag in self._lags)
        return f"; the stand-ins lagged {lag_s:.2f} s of it" if lag_s else ""


def run_seed(seed: int, folder: pathlib.Path, plan: Plan) -> list[str]:
    """Runs the series of a seed and prints its log.

    Args:
        seed: The seed.
        folder: Folder for the settings and logs of the nodes.
        plan: Size and times.

    Returns:
        One line for each violation.
    """
    folder.mkdir(parents=True, exist_ok=True)
    series = Series(seed=seed, folder=folder, plan=plan)
    violations = asyncio.run(series.run())
    print(f"seed {seed}, longest lag of the stand-ins {series.max_lag_s:.2f} s",
          *violations,
          *series.log,
          sep="\n  ",
          flush=True)
    return violations


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--nodes", default=41, help="Number of node processes.")
@click.option("--workers", default=176, help="Number of simulated workers.")
@click.option("--logs",
              type=click.Path(path_type=pathlib.Path),
              help="Folder for the logs of the nodes.")
def main(seed: int, count: int, nodes: int, workers: int,
         logs: pathlib.Path | None) -> None:
    """Runs seeds and exits with 1 if any of them found a violation."""
    failed = []
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = (logs or pathlib.Path(scratch)) / f"seed-{number}"
            if run_seed(number, folder,
                        Plan(node_count=nodes, worker_count=workers)):
                failed.append(number)
    print(f"{count} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
