"""Random fault schedules against the real nodes, judged by the checker.

Each schedule is drawn from a seed: requests, cancellations and faults at
random times, then all faults end and every caller must learn an outcome.
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
from trefoilroad_standins import judgement
from trefoilroad_standins import virtual
from trefoilroad_standins import virtual_callers

NODES = ("n1", "n2", "n3")
WORKERS = 8
PER_RACK = 4
FAULTS_BEGIN_S = 5.0
FAULTS_END_S = 45.0
# After all faults have ended, leases, backoffs and queues need some time.
SETTLE_S = 240.0
TEAM = "team-a"
DIGEST = "0" * 64

# Gangs of several tasks do not fit one worker of 8 accelerators.
TEMPLATES = {
    "photo": request.Shape(4, 4, 1, 1, "rack"),
    "match": request.Shape(2, 8, 1, 1, "none"),
    "index": request.Shape(1, 8, 1, 1, "none")
}
IDEMPOTENT = {"photo": True, "match": False, "index": True}


def build_documents(weight: float = 1.0) -> dict[str, str]:
    """Builds the documents that a schedule publishes.

    Args:
        weight: Weight of the team, to publish something that differs.

    Returns:
        Text by file name.
    """
    documents = {
        "operators.toml":
            f'[[operator]]\nname = "op"\ntoken_sha256 = "{DIGEST}"\n',
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


class Result(NamedTuple):
    """What one schedule led to.

    Attributes:
        seed: Seed of the schedule.
        faults: Faults that were shown, in order.
        outcomes: Number of requests by outcome.
        violations: What the checker and the schedule itself found.
    """

    seed: int
    faults: list[str]
    outcomes: dict[str, int]
    violations: list[str]


class Schedule:
    """One random run."""

    def __init__(self, *, seed: int, requests: int = 20, faults: int = 9):
        """Draws a schedule.

        Args:
            seed: Seed of every choice.
            requests: Number of requests.
            faults: Number of faults.
        """
        self._seed = seed
        self._rng = random.Random(seed)
        self._requests = requests
        self._faults = faults
        self._shown: list[str] = []
        self._versions: dict[str, int] = {}
        self._reverted: list[str] = []
        entries = virtual.build_entries(count=WORKERS,
                                        per_rack=PER_RACK,
                                        failure_domains=2)
        self.world = virtual.World(seed=seed, entries=entries, node_names=NODES)
        self.callers: list[virtual_callers.Caller] = []

    def run(self) -> Result:
        """Runs the schedule to its end and judges it."""
        world = self.world
        self.begin()
        for index in range(self._requests):
            self._plan_request(index)
        for _ in range(self._faults):
            at_s = self._rng.uniform(FAULTS_BEGIN_S, FAULTS_END_S)
            world.clock.schedule(at_s, self._show_fault)
        world.run(FAULTS_END_S + 10.0)
        self.end()
        return Result(seed=self._seed,
                      faults=self._shown,
                      outcomes=self._count_outcomes(),
                      violations=self.judge())

    def begin(self) -> None:
        """Has the first configuration published and watched."""
        world = self.world
        world.clock.schedule(1.0,
                             lambda: world.publish("n1", build_documents()))
        world.clock.schedule(0.5, self._watch)

    def end(self) -> None:
        """Ends all faults and waits until all callers know their outcomes."""
        self._heal()
        self._settle()

    def _settle(self) -> None:
        for _ in range(int(SETTLE_S)):
            self.world.run(1.0)
            if all(caller.is_done for caller in self.callers):
                return

    def _plan_request(self, index: int) -> None:
        rng = self._rng
        name = rng.choice(sorted(TEMPLATES))
        run_s = rng.choice([0.5, 2.0, 6.0])
        caller = self.add_caller(name, run_s, fails=rng.random() < 0.1)
        at_s = rng.uniform(3.0, 40.0)
        self.world.clock.schedule(at_s, caller.begin)
        if rng.random() < 0.2:
            self.world.clock.schedule(at_s + rng.uniform(0.0, 8.0),
                                      caller.cancel)

    def add_caller(self, template: str, run_s: float, *,
                   fails: bool) -> virtual_callers.Caller:
        """Adds a caller, which submits when its `begin` is called.

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
        caller = virtual_callers.Caller(world=self.world,
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

    def _show_fault(self) -> None:
        duration_s = self._rng.choice([0.3, 1.5, 4.0, 9.0, 16.0])
        self.show_fault(self._rng.choice(list(FAULTS)), duration_s)

    def show_fault(self, name: str, duration_s: float) -> None:
        """Shows a fault now.

        Args:
            name: One of FAULTS.
            duration_s: Seconds until it ends, if it does.
        """
        text = FAULTS[name](self, duration_s)
        self._shown.append(f"{self.world.clock.now_s:.2f} {text}"
                           f" {duration_s} s")

    def _later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.world.clock.schedule(delay_s, callback)

    def _restart_node(self, name: str, duration_s: float) -> None:
        self.world.kill_node(name)
        self._later(duration_s, lambda: self._start_again(name))

    def _start_again(self, name: str) -> None:
        if not self.world.nodes[name].host.alive:
            self._versions.pop(name, None)
            self.world.start_node(name)

    def _kill_node(self, duration_s: float) -> str:
        name = self._rng.choice(NODES)
        self._restart_node(name, duration_s)
        return f"kill {name}"

    def _kill_owner(self, duration_s: float) -> str:
        name = self.world.find_owner() or NODES[0]
        self._restart_node(name, duration_s)
        return f"kill owner {name}"

    def _freeze(self, name: str, duration_s: float) -> None:
        host = self.world.nodes[name].host
        host.frozen = True
        self._later(duration_s, host.thaw)

    def _freeze_owner(self, duration_s: float) -> str:
        name = self.world.find_owner() or NODES[0]
        self._freeze(name, duration_s)
        return f"freeze owner {name}"

    def _freeze_node(self, duration_s: float) -> str:
        name = self._rng.choice(NODES)
        self._freeze(name, duration_s)
        return f"freeze {name}"

    def _break_store(self, duration_s: float) -> str:
        platform = self.world.platform
        platform.mode = self._rng.choice([
            virtual.StoreMode.DOWN, virtual.StoreMode.SLOW,
            virtual.StoreMode.LOSE_ANSWERS
        ])
        text = f"store {platform.mode.value}"
        self._later(duration_s, self._repair_store)
        return text

    def _repair_store(self) -> None:
        self.world.platform.mode = virtual.StoreMode.UP

    def _cut(self, pairs: list[tuple[str, str]], duration_s: float) -> None:
        for source, target in pairs:
            self.world.network.cut(source, target)
        self._later(duration_s, self.world.network.heal)

    def _cut_store(self, duration_s: float) -> str:
        name = self._rng.choice(NODES)
        pairs = [(name, virtual.Platform.NAME), (virtual.Platform.NAME, name)]
        self._cut(self._rng.choice([pairs, pairs[:1], pairs[1:]]), duration_s)
        return f"cut store of {name}"

    def _cut_worker(self, duration_s: float) -> str:
        worker = self._pick_worker()
        commands = [(name, worker) for name in NODES]
        replies = [(worker, name) for name in NODES]
        way, pairs = self._rng.choice([("both ways", commands + replies),
                                       ("commands", commands),
                                       ("replies", replies)])
        self._cut(pairs, duration_s)
        return f"cut {way} of {worker}"

    def _cut_worker_one_way(self, duration_s: float) -> str:
        worker = self._pick_worker()
        name = self._rng.choice(NODES)
        pair = self._rng.choice([(name, worker), (worker, name)])
        self._cut([pair], duration_s)
        return f"cut {pair[0]} to {pair[1]}"

    def _cut_nodes(self, duration_s: float) -> str:
        first, second = self._rng.sample(NODES, 2)
        self._cut([(first, second), (second, first)], duration_s)
        return f"cut {first} and {second}"

    def _pick_worker(self) -> str:
        return self._rng.choice(sorted(self.world.machines))

    def _restart_worker(self, _: float) -> str:
        worker = self._pick_worker()
        self.world.restart_worker(worker)
        return f"restart {worker}"

    def _lose_worker(self, duration_s: float) -> str:
        worker = self._pick_worker()
        self.world.restart_worker(worker)
        self.world.down.add(worker)
        self.world.mark_worker(worker, "gone")
        self._later(duration_s, lambda: self._bring_back(worker))
        return f"lose {worker}"

    def _bring_back(self, worker: str) -> None:
        """Lists a worker as live, which also ends a leaving mark."""
        self.world.down.discard(worker)
        self._mark_staying(worker)

    def _mark_leaving(self, duration_s: float) -> str:
        worker = self._pick_worker()
        self.world.mark_worker(worker, "leaving")
        self.world.history.append(
            judgement.describe_mark(self.world, worker, "leaving"))
        self._later(duration_s, lambda: self._mark_staying(worker))
        return f"leaving {worker}"

    def _mark_staying(self, worker: str) -> None:
        self.world.mark_worker(worker, "live")
        self.world.history.append(
            judgement.describe_mark(self.world, worker, "staying"))

    def _break_worker(self, duration_s: float) -> str:
        worker = self._pick_worker()
        machine = self.world.machines[worker]
        clock = self.world.clock
        machine.fail_everything(True, clock.now_s)
        self._later(duration_s,
                    lambda: machine.fail_everything(False, clock.now_s))
        return f"break {worker}"

    def _delay_network(self, duration_s: float) -> str:
        network = self.world.network
        network.extra_delay_s = self._rng.choice([0.2, 1.5, 6.0])

        def repair() -> None:
            network.extra_delay_s = 0.0

        self._later(duration_s, repair)
        return f"delay {network.extra_delay_s}"

    def _publish(self, _: float) -> str:
        name = self._rng.choice(NODES)
        weight = round(self._rng.uniform(0.5, 5.0), 3)
        self.world.publish(name, build_documents(weight))
        return f"publish through {name}"

    def _publish_twice(self, _: float) -> str:
        for name in NODES[:2]:
            weight = round(self._rng.uniform(0.5, 5.0), 3)
            self.world.publish(name, build_documents(weight))
        return "publish through two nodes"

    def _heal(self) -> None:
        world = self.world
        world.network.heal()
        world.network.extra_delay_s = 0.0
        world.platform.mode = virtual.StoreMode.UP
        for name, node in world.nodes.items():
            node.host.thaw()
            self._start_again(name)
        for worker, machine in world.machines.items():
            machine.fail_everything(False, world.clock.now_s)
            self._bring_back(worker)

    # Judgement.

    def _watch(self) -> None:
        """Notes a node whose configuration goes back to an older one."""
        for name, node in self.world.nodes.items():
            if not node.host.alive:
                continue
            version = node.node.publication.current.configuration.version
            if version < self._versions.get(name, 0):
                self._reverted.append(f"{name} went back to {version}")
            self._versions[name] = version
        self._later(0.5, self._watch)

    def _count_outcomes(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for caller in self.callers:
            outcome = str(caller.outcome or "none")
            counts[outcome] = counts.get(outcome, 0) + 1
        return counts

    def judge(self) -> list[str]:
        """Returns what was violated so far."""
        return judgement.find_violations(self.world,
                                         self.callers) + self._reverted


FAULTS: dict[str, Callable[[Schedule, float], str]] = {
    "kill node": Schedule._kill_node,
    "kill owner": Schedule._kill_owner,
    "freeze owner": Schedule._freeze_owner,
    "freeze node": Schedule._freeze_node,
    "break store": Schedule._break_store,
    "cut store": Schedule._cut_store,
    "cut worker": Schedule._cut_worker,
    "cut worker one way": Schedule._cut_worker_one_way,
    "restart worker": Schedule._restart_worker,
    "lose worker": Schedule._lose_worker,
    "mark leaving": Schedule._mark_leaving,
    "break worker": Schedule._break_worker,
    "delay network": Schedule._delay_network,
    "cut nodes": Schedule._cut_nodes,
    "publish": Schedule._publish,
    "publish twice": Schedule._publish_twice
}


def run_schedules(first: int, count: int) -> list[Result]:
    """Runs schedules with consecutive seeds.

    Args:
        first: First seed.
        count: Number of schedules.

    Returns:
        The results that hold violations.
    """
    failed = []
    for seed in range(first, first + count):
        result = Schedule(seed=seed).run()
        if result.violations:
            failed.append(result)
    return failed


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1000, show_default=True)
@click.option("--verbose", is_flag=True, help="Print each schedule.")
def main(seed: int, count: int, verbose: bool) -> None:
    """Runs random fault schedules and reports what was violated."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    begin_s = time.monotonic()
    totals: dict[str, int] = {}
    failed = 0
    for each in range(seed, seed + count):
        result = Schedule(seed=each).run()
        for outcome, number in result.outcomes.items():
            totals[outcome] = totals.get(outcome, 0) + number
        if result.violations or verbose:
            click.echo(f"seed {each}: {result.outcomes}")
            for line in result.faults + result.violations:
                click.echo(f"  {line}")
        failed += bool(result.violations)
    click.echo(f"{count} schedules from seed {seed}, {failed} with violations,"
               f" outcomes {totals}, {time.monotonic() - begin_s:.1f} s")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
