"""Random faults on a virtual site, and a judgement of what came of them."""

from collections.abc import Callable
import functools
import random

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

JOBS = 24
FAULTS = 8
# Submissions and faults fall into this time.
BUSY_S = 20.0
# Then everything is healed, and what was accepted must end within this time.
CALM_S = 45.0


class FaultSchedule:
    """One seeded schedule."""

    def __init__(self, *, seed: int):
        self.rng = random.Random(seed)
        self.site = sites.Site(seed=seed,
                               node_count=3,
                               worker_count=6,
                               per_rack=3)
        self.log: list[str] = []
        self._cancelled: set[str] = set()
        self._accepted: dict[str, bool] = {}

    def run(self) -> list[str]:
        """Plays the schedule.

        Returns:
            What went wrong; empty if every promise was kept.
        """
        clock = self.site.clock
        self.site.run(1.0)
        for number in range(JOBS):
            clock.schedule(self.rng.uniform(0, BUSY_S),
                           functools.partial(self._submit, number))
        for _ in range(FAULTS):
            clock.schedule(self.rng.uniform(0, BUSY_S), self._break)
        self.site.run(BUSY_S)
        self._heal()
        self.site.run(CALM_S)
        return self._judge()

    def _note(self, text: str) -> None:
        self.log.append(f"{self.site.clock.now_s:.3f} {text}")

    # Callers.

    def _pick_node(self) -> str | None:
        names = [
            name for name, item in self.site.nodes.items()
            if item.host.alive and not item.host.frozen
        ]
        return self.rng.choice(names) if names else None

    def _submit(self, number: int) -> None:
        name = self._pick_node()
        if name is None:
            return
        job_id = f"{number:016x}"
        gang = self.rng.random() < 0.4
        tasks = self.rng.randint(1, 8)
        queue = sites.URGENT_QUEUE if self.rng.random() < 0.3 else sites.QUEUE
        demand = workload.Demand(4000, 4000, self.rng.choice((1, 2, 4)))
        self._note(f"submit {job_id} through {name}")
        self.site.submit(job_id,
                         tasks=tasks,
                         run_s=self.rng.uniform(0.3, 4.0),
                         through=name,
                         queue=queue,
                         gang=gang,
                         one_rack=gang and self.rng.random() < 0.5,
                         demand=demand)
        self.site.clock.schedule(4.0, lambda: self._take_reply(job_id))
        if self.rng.random() < 0.15:
            self.site.clock.schedule(self.rng.uniform(0.1, 5.0),
                                     lambda: self._cancel(job_id))

    def _take_reply(self, job_id: str) -> None:
        reply = self.site.replies.get(job_id)
        if reply is not None and reply.outcome.name == "ACCEPTED":
            self._accepted[job_id] = True
        elif reply is not None and reply.outcome.name == "NOT_ACCEPTED":
            self._accepted[job_id] = False

    def _cancel(self, job_id: str) -> None:
        name = self._pick_node()
        if name is not None:
            self._note(f"cancel {job_id} through {name}")
            self._cancelled.add(job_id)
            self._take_reply(job_id)
            self.site.cancel(job_id, name)

    # Faults.

    def _break(self) -> None:
        if not self._alive():
            return
        action: Callable[[], str] = self.rng.choice([
            self._kill_leader, self._kill_any, self._freeze, self._cut_store,
            self._cut_worker, self._crash_worker, self._restart_worker,
            self._lose_orders, self._lose_commits, self._stop_store,
            self._compact, self._drain, self._fail_worker, self._hang_worker,
            self._slow_store, self._kill_all
        ])
        self._note(action())

    def _later(self, callback: Callable[[], None]) -> None:
        self.site.clock.schedule(self.rng.uniform(0.5, 6.0), callback)

    def _replace(self, name: str) -> None:
        self.site.kill(name)

        def begin() -> None:
            self.site.add_node(f"{name}'")

        self.site.clock.schedule(0.5, begin)

    def _alive(self) -> list[str]:
        return [
            name for name, item in self.site.nodes.items() if item.host.alive
        ]

    def _kill_leader(self) -> str:
        leader = self.site.find_leader()
        if leader is None:
            return "no leader to kill"
        self._replace(leader.name)
        return f"kill leader {leader.name}"

    def _kill_any(self) -> str:
        name = self.rng.choice(self._alive())
        self._replace(name)
        return f"kill {name}"

    def _kill_all(self) -> str:
        for name in self._alive():
            self._replace(name)
        return "kill all"

    def _freeze(self) -> str:
        leader = self.site.find_leader()
        item = leader or self.site.nodes[self.rng.choice(self._alive())]
        item.host.frozen = True
        self._later(item.host.thaw)
        return f"freeze {item.name}"

    def _cut_store(self) -> str:
        leader = self.site.find_leader()
        item = leader or self.site.nodes[self.rng.choice(self._alive())]
        item.store.cut = True
        self._later(lambda: setattr(item.store, "cut", False))
        return f"cut {item.name} from the store"

    def _cut_worker(self) -> str:
        machine = self.rng.choice(list(self.site.machines.values()))
        machine.reachable = False
        self._later(lambda: setattr(machine, "reachable", True))
        return f"cut worker {machine.worker_id}"

    def _crash_worker(self) -> str:
        machine = self.rng.choice(list(self.site.machines.values()))
        machine.crash()
        self._later(machine.restart)
        return f"crash worker {machine.worker_id}"

    def _restart_worker(self) -> str:
        machine = self.rng.choice(list(self.site.machines.values()))
        machine.restart()
        self.site.register(machine)
        return f"restart worker {machine.worker_id}"

    def _lose_orders(self) -> str:
        items = list(self.site.nodes.values())
        for item in items:
            item.workers.lose, item.workers.late_s = 0.3, 3.0

        def end() -> None:
            for item in items:
                item.workers.lose = 0.0

        self._later(end)
        return "orders are lost and carried out late"

    def _lose_commits(self) -> str:
        items = list(self.site.nodes.values())
        late_s = self.rng.choice((0.0, 2.0))
        for item in items:
            item.store.lose, item.store.late_s = 0.3, late_s

        def end() -> None:
            for item in items:
                item.store.lose = 0.0

        self._later(end)
        return f"answers of the store are lost, late by {late_s} s"

    def _stop_store(self) -> str:
        self.site.tables.down = True
        self._later(lambda: setattr(self.site.tables, "down", False))
        return "store down"

    def _slow_store(self) -> str:
        items = list(self.site.nodes.values())
        for item in items:
            item.store.slow = 50.0

        def end() -> None:
            for item in items:
                item.store.slow = 1.0

        self._later(end)
        return "store slow"

    def _compact(self) -> str:
        self.site.tables.drop_history()
        return "history dropped"

    def _drain(self) -> str:
        machine = self.rng.choice(list(self.site.machines.values()))
        machine.draining = True
        self.site.register(machine)

        def leave() -> None:
            machine.restart()
            machine.draining = False
            self.site.register(machine)

        self.site.clock.schedule(4.0, leave)
        return f"drain {machine.worker_id}"

    def _fail_worker(self) -> str:
        machine = self.rng.choice(list(self.site.machines.values()))
        machine.fails = True
        self._later(lambda: setattr(machine, "fails", False))
        return f"{machine.worker_id} fails everything"

    def _hang_worker(self) -> str:
        machine = self.rng.choice(list(self.site.machines.values()))
        machine.hangs = True
        self._later(lambda: setattr(machine, "hangs", False))
        return f"{machine.worker_id} hangs"

    def _heal(self) -> None:
        self.site.tables.down = False
        for item in self.site.nodes.values():
            item.store.cut = False
            item.store.lose = 0.0
            item.store.slow = 1.0
            item.workers.lose = 0.0
            if item.host.frozen:
                item.host.thaw()
        for machine in self.site.machines.values():
            machine.reachable = True
            machine.fails = machine.hangs = machine.draining = False
            if not machine.alive:
                machine.restart()
            self.site.register(machine)

    # Judgement.

    def _judge(self) -> list[str]:
        faults = self.site.find_violations()
        through = self._pick_node()
        assert through is not None
        for job_id, accepted in self._accepted.items():
            if not accepted:
                if self.site.count_events("start", job_id):
                    faults.append(f"{job_id} was not accepted and ran")
                continue
            state = self.site.ask_state(job_id, through)
            allowed = {"completed", "failed"}
            if job_id in self._cancelled:
                allowed.add("cancelled")
            if state not in allowed:
                faults.append(f"{job_id} is {state}")
            failures = self.site.count_events("failed", job_id)
            if state == "failed" and failures < sites.QUEUE.max_failures:
                faults.append(f"{job_id} failed after {failures} failed runs")
        for machine in self.site.machines.values():
            for name in machine.runs:
                faults.append(f"{name} still runs")
        return faults
