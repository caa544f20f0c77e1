"""Random fault schedules on a virtual site, and checks of their outcome."""

from collections.abc import Callable
import functools
import random

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import closing
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import observer as observers
from trefoilroad_standins.jobs import site as sites

JOB_COUNT = 24
FAULT_COUNT = 8
# Submissions and the starts of faults fall into this time.
FAULT_PHASE_S = 20.0
# All faults are then repaired; accepted jobs must end within this time.
RECOVERY_S = 45.0
# Longest time after which a call without an answer takes effect.
LOST_CALL_DELAY_S = 3.0


class FaultSchedule:
    """A schedule of submissions, cancellations and faults, drawn from a seed.

    Attributes:
        rng: Source of the random choices.
        site: The site under test.
        observer: What is seen of the site from outside.
        log: What the schedule did, in order.
    """

    def __init__(self, *, seed: int):
        """Creates the site; nothing is scheduled before the run.

        Args:
            seed: Seed of the schedule and of the site.
        """
        self._seed = seed
        self.rng = random.Random(seed)
        self.site = sites.Site(seed=seed,
                               node_count=3,
                               worker_count=6,
                               per_rack=3)
        self.observer = observers.Observer(site=self.site)
        self.log: list[str] = []
        self._cancelled: set[str] = set()
        self._accepted_by_job: dict[str, bool] = {}

    def run(self) -> list[str]:
        """Runs the schedule, repairs all faults and checks the outcome.

        Returns:
            One line for each violation.
        """
        clock = self.site.clock
        self.site.run(1.0)
        for number in range(JOB_COUNT):
            clock.schedule(self.rng.uniform(0, FAULT_PHASE_S),
                           functools.partial(self._submit, number))
        for _ in range(FAULT_COUNT):
            clock.schedule(self.rng.uniform(0, FAULT_PHASE_S),
                           self._inject_fault)
        self.site.run(FAULT_PHASE_S)
        self._repair_all()
        # Calls that were held up take effect until then.
        self.observer.note_disruption(LOST_CALL_DELAY_S)
        self.site.run(RECOVERY_S)
        idle_jobs = self.observer.find_idle_jobs(1.0 + FAULT_PHASE_S +
                                                 LOST_CALL_DELAY_S +
                                                 idleness.CALM_S)
        violations = [
            *self._check_outcome(),
            *[finding.text for finding in idle_jobs],
            *self.observer.find_wrong_answers(),
            *closing.run(self.site, self._seed, self._record),
        ]
        return violations + self.site.find_violations()

    def _record(self, text: str) -> None:
        self.log.append(f"{self.site.clock.now_s:.3f} {text}")

    # Callers.

    def _pick_node(self) -> str | None:
        """Returns the name of a node that is alive and not frozen, or None."""
        names = [
            name for name, node in self.site.nodes.items()
            if node.host.alive and not node.host.frozen
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
        self._record(f"submit {job_id} through {name}")
        self.site.submit(job_id,
                         tasks=tasks,
                         run_s=self.rng.uniform(0.3, 4.0),
                         through=name,
                         queue=queue,
                         gang=gang,
                         one_rack=gang and self.rng.random() < 0.5,
                         demand=demand)
        self.site.clock.schedule(4.0, lambda: self._record_reply(job_id))
        if self.rng.random() < 0.15:
            self.site.clock.schedule(self.rng.uniform(0.1, 5.0),
                                     lambda: self._cancel(job_id))

    def _record_reply(self, job_id: str) -> None:
        reply = self.site.replies.get(job_id)
        if reply is not None and reply.outcome.name == "ACCEPTED":
            self._accepted_by_job[job_id] = True
        elif reply is not None and reply.outcome.name == "NOT_ACCEPTED":
            self._accepted_by_job[job_id] = False

    def _cancel(self, job_id: str) -> None:
        name = self._pick_node()
        if name is not None:
            self._record(f"cancel {job_id} through {name}")
            self._cancelled.add(job_id)
            self._record_reply(job_id)
            self.site.cancel(job_id, name)

    # Faults.

    def _inject_fault(self) -> None:
        if not self._list_alive_nodes():
            return
        fault: Callable[[], str] = self.rng.choice([
            self._kill_leader, self._kill_any, self._freeze, self._cut_store,
            self._cut_worker, self._crash_worker, self._restart_worker,
            self._lose_commands, self._lose_commits, self._stop_store,
            self._drop_history, self._drain, self._fail_worker,
            self._hang_worker, self._slow_store, self._kill_all
        ])
        self.observer.note_disruption(0.0)
        self._record(fault())

    def _call_later(self, callback: Callable[[], None]) -> None:
        """Calls a callback, which ends a fault, after a random delay."""
        self._end_after(self.rng.uniform(0.5, 6.0), callback)

    def _end_after(self, duration_s: float, callback: Callable[[],
                                                               None]) -> None:
        """Calls a callback that ends a fault after its duration."""
        self.observer.note_disruption(duration_s)
        self.site.clock.schedule(duration_s, callback)

    def _kill_and_replace(self, name: str) -> None:
        self.site.kill(name)

        def start_successor() -> None:
            self.site.add_node(f"{name}'")

        self._end_after(0.5, start_successor)

    def _list_alive_nodes(self) -> list[str]:
        return [
            name for name, node in self.site.nodes.items() if node.host.alive
        ]

    def _kill_leader(self) -> str:
        leader = self.site.find_leader()
        if leader is None:
            return "no leader to kill"
        self._kill_and_replace(leader.name)
        return f"kill leader {leader.name}"

    def _kill_any(self) -> str:
        name = self.rng.choice(self._list_alive_nodes())
        self._kill_and_replace(name)
        return f"kill {name}"

    def _kill_all(self) -> str:
        for name in self._list_alive_nodes():
            self._kill_and_replace(name)
        return "kill all"

    def _freeze(self) -> str:
        leader = self.site.find_leader()
        node = leader or self.site.nodes[self.rng.choice(
            self._list_alive_nodes())]
        node.host.frozen = True
        self._call_later(node.host.thaw)
        return f"freeze {node.name}"

    def _cut_store(self) -> str:
        leader = self.site.find_leader()
        node = leader or self.site.nodes[self.rng.choice(
            self._list_alive_nodes())]
        node.store.cut = True
        self._call_later(lambda: setattr(node.store, "cut", False))
        return f"cut {node.name} from the store"

    def _cut_worker(self) -> str:
        worker_state = self.rng.choice(list(self.site.worker_states.values()))
        worker_state.reachable = False
        self._call_later(lambda: setattr(worker_state, "reachable", True))
        return f"cut worker {worker_state.worker_id}"

    def _crash_worker(self) -> str:
        worker_state = self.rng.choice(list(self.site.worker_states.values()))
        worker_state.crash()
        self._call_later(worker_state.restart)
        return f"crash worker {worker_state.worker_id}"

    def _restart_worker(self) -> str:
        worker_state = self.rng.choice(list(self.site.worker_states.values()))
        worker_state.restart()
        self.site.register(worker_state)
        return f"restart worker {worker_state.worker_id}"

    def _lose_commands(self) -> str:
        nodes = list(self.site.nodes.values())
        for node in nodes:
            node.workers.loss_probability, node.workers.lost_call_delay_s = (
                0.3, LOST_CALL_DELAY_S)

        def end() -> None:
            for node in nodes:
                node.workers.loss_probability = 0.0

        self._call_later(end)
        return "answers of workers are lost, and the calls are executed late"

    def _lose_commits(self) -> str:
        nodes = list(self.site.nodes.values())
        delay_s = self.rng.choice((0.0, 2.0))
        for node in nodes:
            node.store.loss_probability, node.store.lost_commit_delay_s = (
                0.3, delay_s)

        def end() -> None:
            for node in nodes:
                node.store.loss_probability = 0.0

        self._call_later(end)
        return (f"answers to commits are lost, which take effect {delay_s} s "
                "late")

    def _stop_store(self) -> str:
        self.site.tables.down = True
        self._call_later(lambda: setattr(self.site.tables, "down", False))
        return "store down"

    def _slow_store(self) -> str:
        nodes = list(self.site.nodes.values())
        for node in nodes:
            node.store.delay_factor = 50.0

        def end() -> None:
            for node in nodes:
                node.store.delay_factor = 1.0

        self._call_later(end)
        return "store slow"

    def _drop_history(self) -> str:
        self.site.tables.drop_history()
        return "history dropped"

    def _drain(self) -> str:
        worker_state = self.rng.choice(list(self.site.worker_states.values()))
        worker_state.draining = True
        self.site.register(worker_state)

        def restart_undrained() -> None:
            worker_state.restart()
            worker_state.draining = False
            self.site.register(worker_state)

        self._end_after(4.0, restart_undrained)
        return f"drain {worker_state.worker_id}"

    def _fail_worker(self) -> str:
        worker_state = self.rng.choice(list(self.site.worker_states.values()))
        worker_state.fails = True
        self._call_later(lambda: setattr(worker_state, "fails", False))
        return f"{worker_state.worker_id} fails everything"

    def _hang_worker(self) -> str:
        worker_state = self.rng.choice(list(self.site.worker_states.values()))
        worker_state.hangs = True
        self._call_later(lambda: setattr(worker_state, "hangs", False))
        return f"{worker_state.worker_id} hangs"

    def _repair_all(self) -> None:
        self.site.tables.down = False
        for node in self.site.nodes.values():
            node.store.cut = False
            node.store.loss_probability = 0.0
            node.store.delay_factor = 1.0
            node.workers.loss_probability = 0.0
            if node.host.frozen:
                node.host.thaw()
        for worker_state in self.site.worker_states.values():
            worker_state.reachable = True
            worker_state.fails = worker_state.hangs = False
            worker_state.draining = False
            if not worker_state.alive:
                worker_state.restart()
            self.site.register(worker_state)

    # Checks.

    def _check_outcome(self) -> list[str]:
        violations: list[str] = []
        through = self._pick_node()
        assert through is not None
        for job_id, accepted in self._accepted_by_job.items():
            if not accepted:
                if self.site.count_events("start", job_id):
                    violations.append(f"{job_id} was not accepted and ran")
                continue
            state = self.site.ask_state(job_id, through)
            allowed = {"completed", "failed"}
            if job_id in self._cancelled:
                allowed.add("cancelled")
            if state not in allowed:
                violations.append(f"{job_id} is {state}")
            failures = self.site.count_events("failed", job_id)
            if state == "failed" and failures < sites.QUEUE.max_failures:
                violations.append(
                    f"{job_id} failed after {failures} failed runs")
        for worker_state in self.site.worker_states.values():
            for name in worker_state.runs:
                violations.append(f"{name} still runs")
        return violations
