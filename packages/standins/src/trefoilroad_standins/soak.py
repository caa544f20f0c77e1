"""Runs random fault schedules against nodes on a virtual clock.

A seed determines the requests, cancellations and faults of a schedule and
their times. Then all faults end, every caller must receive an outcome, and the
checker looks for violated invariants.
"""

from collections.abc import Callable
import json
import random
import time
from typing import Any
from typing import NamedTuple

import click
import structlog

from trefoilroad_core import request
from trefoilroad_standins import invariants
from trefoilroad_standins import virtual_callers
from trefoilroad_standins import virtual_cluster

NODE_NAMES = ("n1", "n2", "n3")
WORKER_COUNT = 8
WORKERS_PER_RACK = 4
FAULTS_BEGIN_S = 5.0
FAULTS_END_S = 45.0
# Limit after the end of all faults: leases must expire, retries back off and
# queues drain.
RECOVERY_LIMIT_S = 240.0
TEAM = "team-a"
TOKEN_SHA256 = "0" * 64

# Gangs of several tasks do not fit on one worker, which has 8 accelerators.
TEMPLATES = {
    "photo": request.Shape(4, 4, 1, 1, "rack"),
    "match": request.Shape(2, 8, 1, 1, "none"),
    "index": request.Shape(1, 8, 1, 1, "none")
}
IDEMPOTENT = {"photo": True, "match": False, "index": True}


def build_documents(weight: float = 1.0) -> dict[str, str]:
    """Builds the configuration documents that a schedule publishes.

    Args:
        weight: Weight of the team; a new value makes a new version differ.

    Returns:
        Text by file name.
    """
    documents = {
        "operators.toml":
            f'[[operator]]\nname = "op"\ntoken_sha256 = "{TOKEN_SHA256}"\n',
        f"teams/{TEAM}.toml":
            f'[team]\nname = "{TEAM}"\nweight = {weight}\n'
            f"templates = {json.dumps(sorted(TEMPLATES))}\n"
            f'token_sha256 = "{"1" * 64}"\n'
            "[[guarantee]]\ngangs = 2\n"
            "[guarantee.shape]\ntasks = 2\naccelerators = 8\n"
            'cores = 1\nmemory_gb = 1\nadjacent = "none"\n'
    }
    for name, shape in TEMPLATES.items():
        idempotent = json.dumps(IDEMPOTENT[name])
        documents[f"templates/{name}.toml"] = (
            f'[template]\nname = "{name}"\nidempotent = {idempotent}\n'
            f"checkpoint = {idempotent}\npriority = 5\nwait_s = 120\n"
            "declared_s = 3\n[template.shape]\n"
            f"tasks = {shape.tasks}\naccelerators = {shape.accelerators}\n"
            f"cores = {shape.cores}\nmemory_gb = {shape.memory_gb}\n"
            f'adjacent = "{shape.adjacent}"\n')
    return documents


class ScheduleResult(NamedTuple):
    """Result of one schedule.

    Attributes:
        seed: Seed of the schedule.
        faults: Descriptions of the injected faults, in order.
        outcomes: Number of requests by outcome.
        violations: Violations that the checker and the schedule found.
    """

    seed: int
    faults: list[str]
    outcomes: dict[str, int]
    violations: list[str]


class FaultSchedule:
    """A virtual cluster with random requests and faults."""

    def __init__(self, *, seed: int, requests: int = 20, faults: int = 9):
        """Builds the cluster; `run` or `start` begins the schedule.

        Args:
            seed: Seed of all random choices.
            requests: Number of requests.
            faults: Number of faults.
        """
        self._seed = seed
        self._rng = random.Random(seed)
        self._requests = requests
        self._faults = faults
        self._injected_faults: list[str] = []
        self._versions: dict[str, int] = {}
        self._version_regressions: list[str] = []
        entries = virtual_cluster.build_vm_entries(count=WORKER_COUNT,
                                                   per_rack=WORKERS_PER_RACK,
                                                   failure_domains=2)
        self.cluster = virtual_cluster.VirtualCluster(seed=seed,
                                                      entries=entries,
                                                      node_names=NODE_NAMES)
        self.callers: list[virtual_callers.Caller] = []

    def run(self) -> ScheduleResult:
        """Runs the whole schedule and looks for violations."""
        cluster = self.cluster
        self.start()
        for index in range(self._requests):
            self._plan_request(index)
        for _ in range(self._faults):
            at_s = self._rng.uniform(FAULTS_BEGIN_S, FAULTS_END_S)
            cluster.clock.schedule(at_s, self._inject_random_fault)
        cluster.run(FAULTS_END_S + 10.0)
        self.finish()
        return ScheduleResult(seed=self._seed,
                              faults=self._injected_faults,
                              outcomes=self._count_outcomes(),
                              violations=self.find_violations())

    def start(self) -> None:
        """Schedules the first publish and the checks of the versions."""
        cluster = self.cluster
        cluster.clock.schedule(1.0,
                               lambda: cluster.publish("n1", build_documents()))
        cluster.clock.schedule(0.5, self._check_versions)

    def finish(self) -> None:
        """Ends all faults and waits until all requests have an outcome."""
        self._clear_faults()
        self._wait_for_outcomes()

    def _wait_for_outcomes(self) -> None:
        for _ in range(int(RECOVERY_LIMIT_S)):
            self.cluster.run(1.0)
            if all(caller.is_done for caller in self.callers):
                return

    def _plan_request(self, index: int) -> None:
        rng = self._rng
        name = rng.choice(sorted(TEMPLATES))
        run_s = rng.choice([0.5, 2.0, 6.0])
        caller = self.add_caller(name, run_s, fails=rng.random() < 0.1)
        at_s = rng.uniform(3.0, 40.0)
        self.cluster.clock.schedule(at_s, caller.start)
        if rng.random() < 0.2:
            self.cluster.clock.schedule(at_s + rng.uniform(0.0, 8.0),
                                        caller.cancel)

    def add_caller(self, template: str, run_s: float, *,
                   fails: bool) -> virtual_callers.Caller:
        """Adds a caller, which submits when its `start` is called.

        Args:
            template: One of TEMPLATES.
            run_s: Run time in seconds.
            fails: Whether the tasks fail.

        Returns:
            The caller.
        """
        index = len(self.callers)
        payload: dict[str, Any] = {
            "run_s": run_s,
            "answer": f"answer of {self._seed}/{index}",
            "fail": fails
        }
        rng = random.Random(self._rng.getrandbits(64))
        caller = virtual_callers.Caller(cluster=self.cluster,
                                        team=TEAM,
                                        key=f"key-{index}",
                                        body={
                                            "template": template,
                                            "caller": f"c{index % 3}",
                                            "payload": payload
                                        },
                                        shape=TEMPLATES[template],
                                        idempotent=IDEMPOTENT[template],
                                        rng=rng)
        self.callers.append(caller)
        return caller

    # Faults.

    def _inject_random_fault(self) -> None:
        duration_s = self._rng.choice([0.3, 1.5, 4.0, 9.0, 16.0])
        self.inject_fault(self._rng.choice(list(FAULTS)), duration_s)

    def inject_fault(self, name: str, duration_s: float) -> None:
        """Injects a fault now.

        Args:
            name: A key of FAULTS.
            duration_s: Duration in seconds; some faults have none.
        """
        text = FAULTS[name](self, duration_s)
        self._injected_faults.append(f"{self.cluster.clock.now_s:.2f} {text}"
                                     f" {duration_s} s")

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.cluster.clock.schedule(delay_s, callback)

    def _restart_node(self, name: str, duration_s: float) -> None:
        self.cluster.kill_node(name)
        self._call_later(duration_s, lambda: self._start_if_dead(name))

    def _start_if_dead(self, name: str) -> None:
        if not self.cluster.nodes[name].host.alive:
            self._versions.pop(name, None)
            self.cluster.start_node(name)

    def _kill_node(self, duration_s: float) -> str:
        name = self._rng.choice(NODE_NAMES)
        self._restart_node(name, duration_s)
        return f"kill {name}"

    def _kill_owner(self, duration_s: float) -> str:
        name = self.cluster.find_owner() or NODE_NAMES[0]
        self._restart_node(name, duration_s)
        return f"kill owner {name}"

    def _freeze(self, name: str, duration_s: float) -> None:
        host = self.cluster.nodes[name].host
        host.frozen = True
        self._call_later(duration_s, host.thaw)

    def _freeze_owner(self, duration_s: float) -> str:
        name = self.cluster.find_owner() or NODE_NAMES[0]
        self._freeze(name, duration_s)
        return f"freeze owner {name}"

    def _freeze_node(self, duration_s: float) -> str:
        name = self._rng.choice(NODE_NAMES)
        self._freeze(name, duration_s)
        return f"freeze {name}"

    def _degrade_store(self, duration_s: float) -> str:
        platform = self.cluster.platform
        platform.mode = self._rng.choice([
            virtual_cluster.StoreMode.DOWN, virtual_cluster.StoreMode.SLOW,
            virtual_cluster.StoreMode.LOSE_ANSWERS
        ])
        text = f"store {platform.mode.value}"
        self._call_later(duration_s, self._repair_store)
        return text

    def _repair_store(self) -> None:
        self.cluster.platform.mode = virtual_cluster.StoreMode.UP

    def _cut(self, pairs: list[tuple[str, str]], duration_s: float) -> None:
        for source, target in pairs:
            self.cluster.network.cut(source, target)
        self._call_later(duration_s, self.cluster.network.heal)

    def _cut_store(self, duration_s: float) -> str:
        name = self._rng.choice(NODE_NAMES)
        pairs = [(name, virtual_cluster.VirtualPlatform.HOST_NAME),
                 (virtual_cluster.VirtualPlatform.HOST_NAME, name)]
        self._cut(self._rng.choice([pairs, pairs[:1], pairs[1:]]), duration_s)
        return f"cut store of {name}"

    def _cut_worker(self, duration_s: float) -> str:
        worker = self._pick_worker()
        commands = [(name, worker) for name in NODE_NAMES]
        replies = [(worker, name) for name in NODE_NAMES]
        way, pairs = self._rng.choice([("both ways", commands + replies),
                                       ("commands", commands),
                                       ("replies", replies)])
        self._cut(pairs, duration_s)
        return f"cut {way} of {worker}"

    def _cut_worker_one_way(self, duration_s: float) -> str:
        worker = self._pick_worker()
        name = self._rng.choice(NODE_NAMES)
        pair = self._rng.choice([(name, worker), (worker, name)])
        self._cut([pair], duration_s)
        return f"cut {pair[0]} to {pair[1]}"

    def _cut_nodes(self, duration_s: float) -> str:
        first, second = self._rng.sample(NODE_NAMES, 2)
        self._cut([(first, second), (second, first)], duration_s)
        return f"cut {first} and {second}"

    def _pick_worker(self) -> str:
        return self._rng.choice(sorted(self.cluster.worker_states))

    def _restart_worker(self, _: float) -> str:
        worker = self._pick_worker()
        self.cluster.restart_worker(worker)
        return f"restart {worker}"

    def _lose_worker(self, duration_s: float) -> str:
        worker = self._pick_worker()
        self.cluster.restart_worker(worker)
        self.cluster.unreachable_workers.add(worker)
        self.cluster.set_vm_state(worker, "gone")
        self._call_later(duration_s, lambda: self._restore_worker(worker))
        return f"lose {worker}"

    def _restore_worker(self, worker: str) -> None:
        """Makes a worker reachable and live in the VM list again."""
        self.cluster.unreachable_workers.discard(worker)
        self._set_live(worker)

    def _mark_leaving(self, duration_s: float) -> str:
        worker = self._pick_worker()
        self.cluster.set_vm_state(worker, "leaving")
        self.cluster.history.append(
            invariants.build_mark_entry(self.cluster, worker, "leaving"))
        self._call_later(duration_s, lambda: self._set_live(worker))
        return f"leaving {worker}"

    def _set_live(self, worker: str) -> None:
        self.cluster.set_vm_state(worker, "live")
        self.cluster.history.append(
            invariants.build_mark_entry(self.cluster, worker, "staying"))

    def _fail_worker_tasks(self, duration_s: float) -> str:
        worker = self._pick_worker()
        worker_state = self.cluster.worker_states[worker]
        clock = self.cluster.clock
        worker_state.fail_everything(True, clock.now_s)
        self._call_later(
            duration_s,
            lambda: worker_state.fail_everything(False, clock.now_s))
        return f"break {worker}"

    def _delay_network(self, duration_s: float) -> str:
        network = self.cluster.network
        network.extra_delay_s = self._rng.choice([0.2, 1.5, 6.0])

        def repair() -> None:
            network.extra_delay_s = 0.0

        self._call_later(duration_s, repair)
        return f"delay {network.extra_delay_s}"

    def _publish(self, _: float) -> str:
        name = self._rng.choice(NODE_NAMES)
        weight = round(self._rng.uniform(0.5, 5.0), 3)
        self.cluster.publish(name, build_documents(weight))
        return f"publish through {name}"

    def _publish_twice(self, _: float) -> str:
        for name in NODE_NAMES[:2]:
            weight = round(self._rng.uniform(0.5, 5.0), 3)
            self.cluster.publish(name, build_documents(weight))
        return "publish through two nodes"

    def _clear_faults(self) -> None:
        cluster = self.cluster
        cluster.network.heal()
        cluster.network.extra_delay_s = 0.0
        cluster.platform.mode = virtual_cluster.StoreMode.UP
        for name, node in cluster.nodes.items():
            node.host.thaw()
            self._start_if_dead(name)
        for worker, worker_state in cluster.worker_states.items():
            worker_state.fail_everything(False, cluster.clock.now_s)
            self._restore_worker(worker)

    # Checks.

    def _check_versions(self) -> None:
        """Records nodes whose configuration version has decreased."""
        for name, node in self.cluster.nodes.items():
            if not node.host.alive:
                continue
            version = node.node.publication.current.configuration.version
            if version < self._versions.get(name, 0):
                self._version_regressions.append(
                    f"{name} went back to {version}")
            self._versions[name] = version
        self._call_later(0.5, self._check_versions)

    def _count_outcomes(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for caller in self.callers:
            outcome = str(caller.outcome or "none")
            counts[outcome] = counts.get(outcome, 0) + 1
        return counts

    def find_violations(self) -> list[str]:
        """Returns the violations found so far, one line each."""
        return invariants.find_violations(
            self.cluster, self.callers) + self._version_regressions


FAULTS: dict[str, Callable[[FaultSchedule, float], str]] = {
    "kill node": FaultSchedule._kill_node,
    "kill owner": FaultSchedule._kill_owner,
    "freeze owner": FaultSchedule._freeze_owner,
    "freeze node": FaultSchedule._freeze_node,
    "break store": FaultSchedule._degrade_store,
    "cut store": FaultSchedule._cut_store,
    "cut worker": FaultSchedule._cut_worker,
    "cut worker one way": FaultSchedule._cut_worker_one_way,
    "restart worker": FaultSchedule._restart_worker,
    "lose worker": FaultSchedule._lose_worker,
    "mark leaving": FaultSchedule._mark_leaving,
    "break worker": FaultSchedule._fail_worker_tasks,
    "delay network": FaultSchedule._delay_network,
    "cut nodes": FaultSchedule._cut_nodes,
    "publish": FaultSchedule._publish,
    "publish twice": FaultSchedule._publish_twice
}


def run_schedules(first: int, count: int) -> list[ScheduleResult]:
    """Runs schedules with consecutive seeds.

    Args:
        first: First seed.
        count: Number of schedules.

    Returns:
        The results with violations.
    """
    failed = []
    for seed in range(first, first + count):
        result = FaultSchedule(seed=seed).run()
        if result.violations:
            failed.append(result)
    return failed


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1000, show_default=True)
@click.option("--verbose", is_flag=True, help="Print each schedule.")
def main(seed: int, count: int, verbose: bool) -> None:
    """Runs random fault schedules and reports violations."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    begin_s = time.monotonic()
    totals: dict[str, int] = {}
    failed = 0
    for schedule_seed in range(seed, seed + count):
        result = FaultSchedule(seed=schedule_seed).run()
        for outcome, number in result.outcomes.items():
            totals[outcome] = totals.get(outcome, 0) + number
        if result.violations or verbose:
            click.echo(f"seed {schedule_seed}: {result.outcomes}")
            for line in result.faults + result.violations:
                click.echo(f"  {line}")
        failed += bool(result.violations)
    click.echo(f"{count} schedules from seed {seed}, {failed} with violations,"
               f" outcomes {totals}, {time.monotonic() - begin_s:.1f} s")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
