"""Fault soak of real node processes, controlled and checked from outside.

    python -m trefoilroad_standins.jobs.soak --seed 7 --count 10

Each seed gives some seconds of submissions, cancellations and faults (signals,
broken connections, failing store and workers). The soak then repairs all faults
and compares the answers that callers got with the history of the workers. It
signals only processes that it started, by their ids.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import random
import signal
import sys
import tempfile
from typing import NamedTuple

import click

from trefoilroad_jobs import leadership
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import closing
from trefoilroad_standins.jobs import count_observer
from trefoilroad_standins.jobs import fleet_server
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import node_process
from trefoilroad_standins.jobs import odd_rows
from trefoilroad_standins.jobs import open_connections
from trefoilroad_standins.jobs import proxy as proxies
from trefoilroad_standins.jobs import status_calls
from trefoilroad_standins.jobs import statuses
from trefoilroad_standins.jobs import waiting
from trefoilroad_standins.jobs import workers as worker_module

NODE_COUNT = 3
WORKER_COUNT = 6
# Submissions and the starts of faults fall into this time.
FAULT_PHASE_S = 9.0
# All faults are then repaired; accepted jobs must end within this time.
RECOVERY_S = 30.0
JOB_COUNT = 14
FAULT_COUNT = 6
ODD_ROW_COUNT = 6
# A worker is cut off for longer than the lease of a leader, 6 s.
LONG_CUT_S = (6.5, 12.0)
CALLERS_PER_NODE = 4
# In a soak of planned stops, a request may end without a response only within
# this time after its last byte: the node may not have read it.
LOSS_SLACK_S = 0.2
PLANNED_CALLERS_PER_NODE = 16
PLANNED_STOP_COUNT = 4
CALL_TIMEOUT_S = 3.0
# Jobs that no worker can run wait for the whole soak. Most are submitted after
# the loss of the leader, so that a number from before it is too small.
WAITING_LABEL = "absent"
WAITING_JOB_COUNTS = (3, 9)
LEADER_LOSS_S = (2.0, 4.0)
LEADER_RESTART_S = 0.5
# Nodes are asked at least this long after the repair of all faults: they start,
# are in touch 3 s later, and jobs must be counted 5 s after their acceptance.
COUNT_RECOVERY_S = 12.0
SUBMIT_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 3
# The step of a job of one task, as open_connections.STEP describes it.
DEFAULT_STEP = workload.Step(1, workload.Demand(4000, 4000, 1))
API_KEY = "soak-key"
QUEUE_PREFIX = "/jobs/"

CONFIGURATION = {
    "version": 1,
    "routes": [{
        "name": "jobs",
        "host": "soak",
        "prefix": QUEUE_PREFIX,
        "service": "service",
        "priority": 1,
        "maxAttempts": MAX_ATTEMPTS,
        "slackFactor": 3.0,
        "targetDurationMs": 1000
    }],
    "services": [{
        "name": "service",
        "enforcesCapacity": True
    }],
    "tenants": [{
        "name": "team",
        "apiKeys": [API_KEY],
        "guaranteed": {
            "gpu": 8
        }
    }],
    "limits": {
        "maxBodyBytes": 262144
    }
}


class SubmissionResult(NamedTuple):
    """Answers that a caller got to the attempts of a submission.

    Attributes:
        accepted: Whether an attempt was answered with success.
        refused: Whether every answer said that the job was not accepted and
            does not run.
    """

    accepted: bool
    refused: bool


async def call(port: int,
               method: str,
               path: str,
               body: object = None,
               key: str = API_KEY) -> tuple[int, dict[str, object]]:
    """Makes one HTTP call.

    Args:
        port: Port of the node.
        method: HTTP method.
        path: Path of the call.
        body: JSON value, bytes that are sent as they are, or None.
        key: Key of the caller's team.

    Returns:
        The status, or 0 if there was no valid answer, and the document.
    """

    async def exchange() -> tuple[int, dict[str, object]]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            if isinstance(body, bytes):
                data = body
            else:
                data = json.dumps(body).encode() if body is not None else b""
            writer.write(
                open_connections.encode_request(method, path, key, data))
            response = await open_connections.read_response(reader)
            return response.status, json.loads(response.body)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), CALL_TIMEOUT_S)
    except (OSError, ValueError, IndexError, TimeoutError,
            asyncio.IncompleteReadError):
        return 0, {}


class Soak:
    """A soak of some seconds, with random choices drawn from a seed.

    Attributes:
        log: What the soak did, in order.
    """

    def __init__(self, *, seed: int, folder: pathlib.Path):
        """Sets up the soak without starting anything.

        Args:
            seed: Seed of the random choices.
            folder: Existing folder for the settings and logs of the nodes.
        """
        self.log: list[str] = []
        self._rng = random.Random(seed)
        # Separate, so that the other faults of a seed stay the same.
        self._extra_rng = random.Random(f"extra {seed}")
        self._count_rng = random.Random(f"count {seed}")
        self._closing_rng = random.Random(f"closing {seed}")
        self._folder = folder
        self._fleet = fleet_server.FleetServer(worker_count=WORKER_COUNT)
        self._nodes: list[node_process.NodeProcess] = []
        self._proxies: dict[str, proxies.Proxy] = {}
        self._submissions: dict[str, SubmissionResult] = {}
        self._accepted_s: dict[str, float] = {}
        self._cancelled_s: dict[str, float] = {}
        self._cancel_confirmed_s: dict[str, float] = {}
        self._steps: dict[str, workload.Step] = {}
        self._statuses: list[statuses.Answer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._callers: list[open_connections.Caller] = []
        self._caller_tasks: list[asyncio.Task[None]] = []

    def _record(self, text: str) -> None:
        self.log.append(f"{self._fleet.clock.now_s:.2f} {text}")

    async def run(self) -> list[str]:
        """Runs the soak; returns one line for each violation."""
        await self._start_all()
        try:
            violations = await self._wait_until_ready()
            if violations:
                return violations
            self._start_callers(CALLERS_PER_NODE)
            actions = ([self._submit] * JOB_COUNT +
                       [self._inject_fault] * FAULT_COUNT)
            for number, action in enumerate(actions):
                self._tasks.append(
                    asyncio.create_task(
                        self._run_later(self._rng.uniform(0, FAULT_PHASE_S),
                                        action, number)))
            self._tasks += [
                asyncio.create_task(self._write_odd_rows()),
                asyncio.create_task(self._cut_worker_for_long()),
                asyncio.create_task(self._lose_leader_beside_waiting_jobs())
            ]
            counts = count_observer.CountObserver(fleet=self._fleet,
                                                  nodes=self._nodes,
                                                  queue="jobs",
                                                  ask=self._ask_pending)
            observation = asyncio.create_task(counts.run())
            await asyncio.gather(*self._tasks)
            await self._stop_callers()
            await self._repair_all()
            repaired_s = self._fleet.clock.now_s
            violations = await self._check_outcome()
            await asyncio.sleep(repaired_s + COUNT_RECOVERY_S -
                                self._fleet.clock.now_s)
            observation.cancel()
            violations += counts.find_wrong_answers(self._list_jobs())
            await asyncio.sleep(repaired_s + statuses.ASKED_AFTER_S -
                                self._fleet.clock.now_s)
            await self._ask_statuses()
            violations += await self._kill_all_after_acceptance()
            await self._ask_statuses()
            return violations + self._find_faults()
        finally:
            await self._stop_all()

    async def run_planned(self) -> list[str]:
        """Runs a soak with planned stops only; returns the violations.

        Stops of different nodes overlap, but one node is always left.
        """
        await self._start_all()
        try:
            violations = await self._wait_until_ready()
            if violations:
                return violations
            self._start_callers(PLANNED_CALLERS_PER_NODE)
            await asyncio.gather(
                *[self._stop_repeatedly(node) for node in self._nodes[1:]], *[
                    self._run_later(self._rng.uniform(0, FAULT_PHASE_S),
                                    self._submit, number)
                    for number in range(JOB_COUNT)
                ])
            await self._stop_callers()
            violations = self._find_unanswered() + await self._check_outcome()
            await self._ask_statuses()
            return violations + self._find_faults()
        finally:
            await self._stop_all()

    async def _stop_repeatedly(self, node: node_process.NodeProcess) -> None:
        for _ in range(PLANNED_STOP_COUNT):
            await asyncio.sleep(self._rng.uniform(0, 1.5))
            if self._rng.random() < 0.3:
                node.send_signal(signal.SIGHUP)
            await node.stop(signal.SIGTERM)
            self._record(f"{node.name} stopped with {node.exit_code}")
            await node.start()
            await self._wait_until_ready()

    def _start_callers(self, count: int) -> None:
        for node in self._nodes:
            for _ in range(count):
                caller = open_connections.Caller(port=node.port,
                                                 prefix=QUEUE_PREFIX,
                                                 key=API_KEY,
                                                 rng=random.Random(
                                                     self._extra_rng.random()))
                self._callers.append(caller)
                self._caller_tasks.append(asyncio.create_task(caller.run()))

    async def _stop_callers(self) -> None:
        """Stops the callers; what they had accepted is checked as well."""
        for caller in self._callers:
            caller.stopping = True
        await asyncio.gather(*self._caller_tasks)
        for caller in self._callers:
            for exchange in caller.exchanges:
                if exchange.method == "POST":
                    if exchange.status == 200:
                        self._accepted_s[exchange.job_id] = (
                            exchange.ended_s - self._fleet.started_s)
                    self._submissions[exchange.job_id] = SubmissionResult(
                        accepted=exchange.status == 200,
                        refused=exchange.status in (429, 503))

    def _find_unanswered(self) -> list[str]:
        """Returns a line for each request that ended without a response."""
        return [
            f"{exchange.method} {exchange.job_id} got no response after "
            f"{exchange.waited_s:.3f} s"
            for caller in self._callers
            for exchange in caller.exchanges
            if not exchange.status and exchange.waited_s > LOSS_SLACK_S
        ]

    async def _start_all(self) -> None:
        await self._fleet.start()
        for name, port in self._fleet.ports.items():
            proxy = proxies.Proxy(target_port=port)
            await proxy.start()
            self._proxies[name] = proxy
            self._fleet.registered_ports[name] = proxy.port
        self._fleet.publish(CONFIGURATION)
        for number in range(NODE_COUNT):
            node = node_process.NodeProcess(name=f"n{number}",
                                            folder=self._folder,
                                            store_port=self._fleet.store_port)
            await node.prepare()
            await node.start()
            self._nodes.append(node)

    async def _stop_all(self) -> None:
        for node in self._nodes:
            await node.stop(signal.SIGKILL)
            node.proxy.stop()
        for proxy in self._proxies.values():
            proxy.stop()
        await self._fleet.stop()

    async def _wait_until_ready(self) -> list[str]:
        for _ in range(100):
            answers = [(await call(node.port, "GET", QUEUE_PREFIX))[0]
                       for node in self._nodes]
            if answers == [200] * NODE_COUNT:
                return []
            await asyncio.sleep(0.1)
        return [f"not ready after 10 s: {answers}"]

    async def _run_later(self, delay_s: float,
                         action: Callable[[int], Awaitable[None]],
                         number: int) -> None:
        await asyncio.sleep(delay_s)
        await action(number)

    # Callers.

    async def _submit(self, number: int) -> None:
        job_id = f"{number:016x}"
        gang = self._rng.random() < 0.4
        self._fleet.run_s[job_id] = self._rng.uniform(0.3, 3.0)
        count = self._rng.randint(1, 6)
        self._steps[job_id] = DEFAULT_STEP._replace(tasks=count, gang=gang)
        step = open_connections.STEP | {
            "count": count,
            "estimatedMs": 1500,
            "gang": gang
        }
        body = {"spec": "text", "steps": [step]}
        self._record(f"submit {job_id}")
        codes = []
        for _ in range(4):
            node = self._rng.choice(self._nodes)
            status, _ = await call(node.port, "POST", QUEUE_PREFIX + job_id,
                                   body)
            codes.append(status)
            if status == 200:
                self._accepted_s[job_id] = self._fleet.clock.now_s
                break
            await asyncio.sleep(0.3)
        self._submissions[job_id] = SubmissionResult(accepted=200 in codes,
                                                     refused=set(codes)
                                                     <= {429, 503})
        if codes[-1] == 200 and self._rng.random() < 0.2:
            await asyncio.sleep(self._rng.uniform(0, 2))
            self._cancelled_s[job_id] = self._fleet.clock.now_s
            node = self._rng.choice(self._nodes)
            status, _ = await call(node.port, "DELETE", QUEUE_PREFIX + job_id)
            self._record(f"cancel {job_id}: {status}")
            if status == 200:
                self._cancel_confirmed_s[job_id] = self._fleet.clock.now_s
            if status == 410:
                self._record(f"FAULT accepted {job_id} is unknown")

    async def _submit_waiting_jobs(self, count: int) -> None:
        """Submits jobs that no worker can run."""
        step = open_connections.STEP | {"requirements": WAITING_LABEL}
        body = {"spec": "text", "steps": [step]}
        for _ in range(count):
            job_id = f"{self._count_rng.getrandbits(64):016x}"
            deadline_s = self._fleet.clock.now_s + SUBMIT_TIMEOUT_S
            status = 0
            while status != 200 and self._fleet.clock.now_s < deadline_s:
                node = self._count_rng.choice(self._nodes)
                status, _ = await call(node.port, "POST", QUEUE_PREFIX + job_id,
                                       body)
                if status != 200:
                    await asyncio.sleep(0.1)
            if status == 200:
                self._accepted_s[job_id] = self._fleet.clock.now_s
            else:
                self._record(f"waiting job {job_id} not accepted: {status}")

    async def _ask_pending(self, port: int) -> tuple[int, int | None]:
        """Asks a node how many jobs wait; see count_observer.Ask."""
        status, answer = await call(port, "GET", QUEUE_PREFIX)
        pending = answer.get("pending") if status == 200 else None
        return status, pending if isinstance(pending, int) else None

    def _list_jobs(self) -> list[waiting.Job]:
        """Returns the accepted jobs as the judge of counts needs them."""
        return [
            waiting.Job(job_id,
                        "jobs",
                        accepted_s,
                        accepted_s,
                        cancelled_s=self._cancelled_s.get(job_id))
            for job_id, accepted_s in self._accepted_s.items()
        ]

    # Faults.

    async def _lose_leader_beside_waiting_jobs(self) -> None:
        """Kills the leader, which starts again at once at its address."""
        await self._submit_waiting_jobs(WAITING_JOB_COUNTS[0])
        await asyncio.sleep(self._count_rng.uniform(*LEADER_LOSS_S))
        row = self._fleet.tables.rows.get("leader|leader",
                                          {}).get(tables.LEADER_ROW[1])
        leader = leadership.decode_leader(row and row.value)
        for node in self._nodes:
            if node.name == leader.node_id:
                self._record(f"leader {node.name} killed")
                await node.stop(signal.SIGKILL)
                await asyncio.sleep(LEADER_RESTART_S)
                await node.start()
        await self._submit_waiting_jobs(WAITING_JOB_COUNTS[1])

    async def _inject_fault(self, _: int) -> None:
        duration_s = self._rng.uniform(0.5, 4.0)
        # The names of these methods are part of the printed log.
        fault = self._rng.choice([
            self._kill, self._pause, self._terminate, self._harm_store,
            self._harm_worker, self._crash_worker, self._slow_store,
            self._refuse, self._compact, self._reload, self._kill_all
        ])
        self._record(f"{fault.__name__} for {duration_s:.1f} s")
        await fault(duration_s)

    async def _kill(self, duration_s: float) -> None:
        node = self._rng.choice(self._nodes)
        await node.stop(signal.SIGKILL)
        await asyncio.sleep(duration_s)
        await node.start()

    async def _kill_all(self, duration_s: float) -> None:
        for node in self._nodes:
            await node.stop(signal.SIGKILL)
        await asyncio.sleep(min(1.5, duration_s))
        for node in self._nodes:
            await node.stop(signal.SIGKILL)
            await node.start()

    async def _pause(self, duration_s: float) -> None:
        node = self._rng.choice(self._nodes)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        node.send_signal(signal.SIGCONT)

    async def _terminate(self, duration_s: float) -> None:
        node = self._rng.choice(self._nodes)
        await node.stop(signal.SIGTERM)
        await asyncio.sleep(min(1.0, duration_s))
        await node.stop(signal.SIGKILL)
        await node.start()

    async def _reload(self, _: float) -> None:
        for node in self._nodes:
            node.send_signal(signal.SIGHUP)

    async def _break_connections(self, proxy: proxies.Proxy,
                                 duration_s: float) -> None:
        proxy.set_fault(
            self._rng.choice([
                proxies.Fault.DELAY, proxies.Fault.RESET, proxies.Fault.SILENT,
                proxies.Fault.NO_ANSWERS
            ]))
        self._record(f"connections: {proxy.fault.value}")
        await asyncio.sleep(duration_s)
        proxy.set_fault(proxies.Fault.NONE)

    async def _harm_store(self, duration_s: float) -> None:
        await self._break_connections(
            self._rng.choice(self._nodes).proxy, duration_s)

    async def _harm_worker(self, duration_s: float) -> None:
        name = self._rng.choice(list(self._proxies))
        self._record(f"worker {name}")
        await self._break_connections(self._proxies[name], duration_s)

    async def _write_odd_rows(self) -> None:
        """Writes rows of another writer; the last ones stay for good."""
        for _ in range(ODD_ROW_COUNT):
            await asyncio.sleep(
                self._extra_rng.uniform(0, 2 * FAULT_PHASE_S / ODD_ROW_COUNT))
            key, value = odd_rows.draw_row(self._extra_rng)
            self._record(f"odd row {key!r}: {value[:80]!r}")
            self._fleet.tables.put("servers|", key, value)

    async def _cut_worker_for_long(self) -> None:
        """Silences the connections of a worker for longer than its lease."""
        await asyncio.sleep(self._extra_rng.uniform(0, FAULT_PHASE_S / 2))
        name = self._extra_rng.choice(list(self._proxies))
        duration_s = self._extra_rng.uniform(*LONG_CUT_S)
        self._record(f"worker {name} cut off for {duration_s:.1f} s")
        self._proxies[name].set_fault(proxies.Fault.SILENT)
        await asyncio.sleep(duration_s)
        self._proxies[name].set_fault(proxies.Fault.NONE)

    async def _crash_worker(self, duration_s: float) -> None:
        worker_state = self._rng.choice(list(
            self._fleet.worker_states.values()))
        worker_state.crash()
        await asyncio.sleep(duration_s)
        worker_state.restart()

    async def _slow_store(self, duration_s: float) -> None:
        self._fleet.store_delay_s = 0.25
        await asyncio.sleep(duration_s)
        self._fleet.store_delay_s = 0.0

    async def _refuse(self, duration_s: float) -> None:
        self._fleet.refusing = True
        await asyncio.sleep(duration_s)
        self._fleet.refusing = False

    async def _compact(self, _: float) -> None:
        self._fleet.tables.drop_history()

    async def _repair_all(self) -> None:
        self._fleet.refusing = False
        self._fleet.store_delay_s = 0.0
        for node in self._nodes:
            node.proxy.set_fault(proxies.Fault.NONE)
            node.send_signal(signal.SIGCONT)
            if node.has_ended:
                # The platform restarts processes that have ended.
                self._record(f"{node.name} had ended with {node.exit_code}")
                await node.start()
        for proxy in self._proxies.values():
            proxy.set_fault(proxies.Fault.NONE)
        for worker_state in self._fleet.worker_states.values():
            if not worker_state.alive:
                worker_state.restart()

    # Checks.

    async def _check_outcome(self) -> list[str]:
        deadline_s = asyncio.get_running_loop().time() + RECOVERY_S
        open_jobs = {
            job_id for job_id, result in self._submissions.items()
            if result.accepted
        }
        states: dict[str, object] = {}
        while open_jobs and asyncio.get_running_loop().time() < deadline_s:
            for job_id in sorted(open_jobs):
                node = self._rng.choice(self._nodes)
                status, answer = await call(node.port, "GET",
                                            QUEUE_PREFIX + job_id)
                states[job_id] = answer.get("state", status)
                allowed = {"completed"}
                if job_id in self._cancelled_s:
                    allowed.add("cancelled")
                if states[job_id] in allowed:
                    open_jobs.discard(job_id)
            await asyncio.sleep(0.2)
        violations = [
            f"{job_id} is {states.get(job_id)}" for job_id in open_jobs
        ]
        for job_id, result in self._submissions.items():
            ran = any(event.kind == "start" and event.name.startswith(job_id)
                      for event in self._fleet.history)
            if result.refused and ran:
                violations.append(f"{job_id} was refused and ran")
        return violations + [line for line in self.log if "FAULT" in line]

    async def _ask_statuses(self) -> None:
        """Asks all nodes for all accepted jobs."""
        self._statuses += await status_calls.ask_all(
            self._nodes,
            {job_id: QUEUE_PREFIX + job_id for job_id in self._accepted_s},
            API_KEY, lambda: self._fleet.clock.now_s)

    async def _kill_all_after_acceptance(self) -> list[str]:
        """Kills all nodes once a job is accepted, and starts them again.

        Waits until callers ask for statuses.

        Returns:
            A line if no job was accepted.
        """
        rng = self._closing_rng
        delay_s = rng.choice((0.0, rng.uniform(*closing.KILL_DELAY_S)))
        restarts_s = [rng.uniform(*closing.RESTART_S) for _ in self._nodes]
        submissions = []
        for number in range(closing.JOB_COUNT):
            job_id = f"c{number:015x}"
            count = rng.randint(1, closing.MAX_TASKS)
            self._steps[job_id] = DEFAULT_STEP._replace(tasks=count)
            self._fleet.run_s[job_id] = rng.uniform(*closing.RUN_S)
            submissions.append(
                asyncio.create_task(
                    self._submit_once(job_id, rng.choice(self._nodes), count)))
        for submission in asyncio.as_completed(submissions):
            if await submission:
                break
        else:
            return ["no job was accepted after the repair of all faults"]
        await asyncio.sleep(delay_s)
        killed_s = self._fleet.clock.now_s
        self._record(f"all killed {delay_s:.2f} s after an acceptance")
        for node in self._nodes:
            node.send_signal(signal.SIGKILL)
        await asyncio.gather(
            *submissions, *[
                self._restart(node, restart_s)
                for node, restart_s in zip(self._nodes, restarts_s, strict=True)
            ])
        await asyncio.sleep(killed_s + statuses.ASKED_AFTER_S -
                            self._fleet.clock.now_s)
        return []

    async def _submit_once(self, job_id: str, node: node_process.NodeProcess,
                           count: int) -> bool:
        """Returns whether a job of a number of tasks was accepted."""
        step = open_connections.STEP | {"count": count}
        status, _ = await call(node.port, "POST", QUEUE_PREFIX + job_id, {
            "spec": "text",
            "steps": [step]
        })
        if status == 200:
            self._accepted_s[job_id] = self._fleet.clock.now_s
        return status == 200

    async def _restart(self, node: node_process.NodeProcess,
                       delay_s: float) -> None:
        await node.stop(signal.SIGKILL)
        await asyncio.sleep(delay_s)
        await node.start()

    def _find_faults(self) -> list[str]:
        """Returns a line for each wrong status and wrong run of a task."""
        jobs = [
            idleness.Job(job_id, (self._steps.get(job_id, DEFAULT_STEP),),
                         accepted_s,
                         cancelled_s=self._cancelled_s.get(job_id),
                         ended_s=self._cancel_confirmed_s.get(job_id))
            for job_id, accepted_s in self._accepted_s.items()
        ]
        history = self._fleet.history
        return statuses.find_wrong_answers(
            statuses.make_jobs(jobs, history, MAX_ATTEMPTS),
            self._statuses) + worker_module.find_violations(history)


def run_seed(seed: int,
             folder: pathlib.Path,
             *,
             planned: bool = False) -> list[str]:
    """Runs the soak of a seed and prints its log if there are violations.

    Args:
        seed: The seed.
        folder: Folder for the settings and logs of the nodes.
        planned: Whether nodes are only stopped as planned, without faults.

    Returns:
        One line for each violation.
    """
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed=seed, folder=folder)
    violations = asyncio.run(soak.run_planned() if planned else soak.run())
    if violations:
        print(f"seed {seed}:", *violations, *soak.log, sep="\n  ")
    return violations


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--planned", is_flag=True, help="Planned stops only.")
@click.option("--logs",
              type=click.Path(path_type=pathlib.Path),
              help="Folder for the logs of the nodes.")
def main(seed: int, count: int, planned: bool,
         logs: pathlib.Path | None) -> None:
    """Runs seeds and exits with 1 if any of them found a violation."""
    failed = []
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = (logs or pathlib.Path(scratch)) / f"seed-{number}"
            if run_seed(number, folder, planned=planned):
                failed.append(number)
    print(f"{count} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
