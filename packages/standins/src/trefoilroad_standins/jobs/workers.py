"""Workers in memory: leases, fences, runs and their ends."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any
from typing import NamedTuple

from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins import clock

DELAY_S = 0.001
STOP_S = 0.1
ORDER_TIMEOUT_S = limits.Limits().command_timeout_s
# Unix time at the start of the virtual clock, in milliseconds.
EPOCH_MS = 1_700_000_000_000


class Event(NamedTuple):
    """Something that happened on a worker.

    Attributes:
        at_s: When.
        worker_id: Where.
        kind: "start", "noted", "lapse" (the worker's lease) or how a run
            ended.
        name: The task, if it concerns one.
        run: Number of the run.
    """

    at_s: float
    worker_id: str
    kind: str
    name: str
    run: int


class _Run:
    """A run on a worker."""

    def __init__(self, *, run: int, demand: workload.Demand, begun_s: float,
                 ends_s: float, gang: int):
        self.run = run
        self.demand = demand
        self.begun_s = begun_s
        self.ends_s = ends_s
        self.gang = gang
        self.stopping = False
        self.checkpoint = ""


class Behaviour(NamedTuple):
    """How the tasks of a job behave.

    Attributes:
        demand: Resources of a task.
        run_s: Run time.
        fails: Whether each run fails.
    """

    demand: workload.Demand
    run_s: float
    fails: bool = False


class WorkerMachine:
    """One worker.

    Attributes:
        reachable: Whether calls get through.
        fails: Whether all runs fail soon after their start.
        hangs: Whether runs make no progress.
        percent: Progress that all runs report, or None for their own.
    """

    def __init__(self, *, worker_id: str, rack: str, ticking: clock.Clock,
                 capacity: workload.Demand, history: list[Event],
                 behave: Callable[[str], Behaviour]):
        self.worker_id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.reachable = True
        self.alive = True
        self.fails = False
        self.hangs = False
        self.percent: int | None = None
        self.draining = False
        self._ticking = ticking
        self._history = history
        self._behave = behave
        self._waiters: list[Callable[[], None]] = []
        self._begin_life()
        self._ticking.schedule(0.05, self._advance)

    def _begin_life(self) -> None:
        self._waiters.clear()
        self.boot_ms = EPOCH_MS + int(self._ticking.now_s * 1000)
        self.born_s = self._ticking.now_s
        self.fence = 0
        self.lease_ms = 0.0
        self._lapsed = True
        self.runs: dict[str, _Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[ports.EndedTask] = []
        self.ends = 0

    @property
    def clock_ms(self) -> float:
        """Its steady clock, which is 1% slow."""
        return (self._ticking.now_s - self.born_s) * 990.0

    def describe(self) -> ports.Worker:
        """Returns its registration."""
        return ports.Worker(worker_id=self.worker_id,
                            address=f"{self.worker_id}:1",
                            service="service",
                            failure_domain="zone",
                            rack=self.rack,
                            labels=frozenset({self.rack}),
                            capacity=self.capacity,
                            draining=self.draining,
                            remaining_ms=2000,
                            boot_ms=self.boot_ms)

    def crash(self) -> None:
        """Loses everything and stays down."""
        self.alive = False
        self._record_all("crashed")
        self.runs = {}

    def restart(self) -> None:
        """Begins a new life under the same id."""
        self._record_all("crashed")
        self.alive = True
        self._begin_life()

    def _record_all(self, kind: str) -> None:
        for name, run in self.runs.items():
            self._record(kind, name, run.run)

    def _record(self, kind: str, name: str, run: int) -> None:
        self._history.append(
            Event(self._ticking.now_s, self.worker_id, kind, name, run))

    # Calls.

    def _admit(self, epoch: int) -> bool:
        if epoch < self.fence:
            return False
        self.fence = epoch
        return True

    def _answer(self, verdict: ports.Verdict) -> ports.CommandReply:
        return ports.CommandReply(verdict, self.clock_ms)

    def start(self, command: ports.StartCommand,
              name: str) -> ports.CommandReply:
        """Serves a start."""
        if not self._admit(command.epoch):
            return self._answer(ports.Verdict.FENCED)
        if name in self.runs and self.runs[name].run == command.run:
            return self._answer(ports.Verdict.DONE)
        if command.run <= self.highest.get(name, 0):
            return self._answer(ports.Verdict.SUPERSEDED)
        if command.lease_until_ms <= self.clock_ms:
            return self._answer(ports.Verdict.LATE)
        behaviour = self._behave(name)
        room = self.capacity
        for run in self.runs.values():
            room = room.minus(run.demand)
        if not behaviour.demand.fits(room):
            return self._answer(ports.Verdict.NO_ROOM)
        self._extend(command.lease_until_ms)
        now_s = self._ticking.now_s
        duration_s = 0.2 if self.fails else behaviour.run_s
        self.runs[name] = _Run(run=command.run,
                               demand=behaviour.demand,
                               begun_s=now_s,
                               ends_s=now_s + duration_s,
                               gang=0)
        self.highest[name] = command.run
        self._record("start", name, command.run)
        return self._answer(ports.Verdict.DONE)

    def stop(self, name: str, run: int, epoch: int) -> ports.CommandReply:
        """Serves a stop."""
        if not self._admit(epoch):
            return self._answer(ports.Verdict.FENCED)
        self.highest[name] = max(run, self.highest.get(name, 0))
        found = self.runs.get(name)
        if found is not None and found.run <= run and not found.stopping:
            found.stopping = True
            found.ends_s = self._ticking.now_s + STOP_S
        return self._answer(ports.Verdict.DONE)

    def report(self, epoch: int, acknowledged_end: int,
               lease_until_ms: int | None) -> ports.Report | ports.CommandReply:
        """Serves a renewal."""
        if not self._admit(epoch):
            return self._answer(ports.Verdict.FENCED)
        if lease_until_ms is not None:
            self._extend(lease_until_ms)
        for end in self.ended:
            if end.number <= acknowledged_end:
                self._record("noted", end.name, end.run)
        self.ended = [
            end for end in self.ended if end.number > acknowledged_end
        ]
        running = [
            ports.RunningTask(name, run.run, run.checkpoint,
                              self._get_percent(run))
            for name, run in self.runs.items()
        ]
        return ports.Report(self.clock_ms, self.boot_ms, running,
                            list(self.ended), True)

    def wait(self, callback: Callable[[], None]) -> None:
        """Calls back at the next end."""
        self._waiters.append(callback)

    def _extend(self, lease_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(lease_ms,
                                               self.clock_ms + 10_000))

    def _get_percent(self, run: _Run) -> int:
        if self.percent is not None:
            return self.percent
        if self.hangs:
            return 0
        whole_s = max(0.01, run.ends_s - run.begun_s)
        return min(99, int(100 * (self._ticking.now_s - run.begun_s) / whole_s))

    def _advance(self) -> None:
        self._ticking.schedule(0.05, self._advance)
        if not self.alive:
            return
        now_s = self._ticking.now_s
        lapsed = self.clock_ms > self.lease_ms
        if lapsed and not self._lapsed:
            self._record("lapse", "", 0)
        self._lapsed = lapsed
        for name, run in list(self.runs.items()):
            if lapsed:
                self._end(name, run, ports.EndState.LAPSED)
            elif run.ends_s <= now_s and run.stopping:
                self._end(name, run, ports.EndState.STOPPED)
            elif run.ends_s <= now_s and not self.hangs:
                bad = self.fails or self._behave(name).fails
                self._end(name, run,
                          ports.EndState.FAILED if bad else ports.EndState.DONE)

    def _end(self, name: str, run: _Run, end_state: ports.EndState) -> None:
        del self.runs[name]
        self.ends += 1
        self.ended.append(
            ports.EndedTask(self.ends, name, run.run, end_state, ""))
        self._record(end_state.value, name, run.run)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter()


class NodeWorkers(ports.Workers):
    """The workers as one node reaches them.

    Attributes:
        lose: Share of the orders that get no answer.
        late_s: Such an order is carried out this much later.
        cut: Workers that this node cannot reach.
    """

    def __init__(self, *, machines: dict[str, WorkerMachine], host: clock.Host,
                 rng: random.Random):
        self.lose = 0.0
        self.late_s = 0.0
        self.cut: set[str] = set()
        self._machines = machines
        self._host = host
        self._rng = rng

    def _call(self, worker: ports.Worker, call: Callable[[WorkerMachine], Any],
              on_done: Callable[[Any], None], timeout_s: float) -> None:
        ticking = self._host.clock
        lost = ports.CommandReply(ports.Verdict.LOST)

        def fail() -> None:
            ticking.schedule(timeout_s,
                             lambda: self._host.deliver(lambda: on_done(lost)))

        def arrive() -> None:
            machine = self._machines.get(worker.worker_id)
            if (machine is None or not machine.alive or not machine.reachable or
                    worker.worker_id in self.cut):
                fail()
            elif self._rng.random() < self.lose:
                boot_ms = machine.boot_ms

                def carry_out() -> None:
                    # The order waits in the process that took it.
                    if machine.alive and machine.boot_ms == boot_ms:
                        call(machine)

                ticking.schedule(self.late_s, carry_out)
                fail()
            else:
                result = call(machine)
                ticking.schedule(
                    DELAY_S,
                    lambda: self._host.deliver(lambda: on_done(result)))

        ticking.schedule(DELAY_S, arrive)

    def start(self, worker: ports.Worker, command: ports.StartCommand,
              on_done: ports.OnCommandReply) -> None:
        """See ports.Workers.start."""
        name = self.format_name(command.key)
        self._call(worker, lambda machine: machine.start(command, name),
                   on_done, ORDER_TIMEOUT_S)

    def stop(self, worker: ports.Worker, *, name: str, run: int, epoch: int,
             on_done: ports.OnCommandReply) -> None:
        """See ports.Workers.stop."""
        self._call(worker, lambda machine: machine.stop(name, run, epoch),
                   on_done, ORDER_TIMEOUT_S)

    def renew(self, worker: ports.Worker, *, epoch: int, acknowledged_end: int,
              lease_until_ms: int | None, wait_ms: int,
              on_done: ports.OnReport) -> None:
        """See ports.Workers.renew."""
        ticking = self._host.clock

        def call(machine: WorkerMachine) -> ports.Report | ports.CommandReply:
            return machine.report(epoch, acknowledged_end, lease_until_ms)

        def wait(machine: WorkerMachine) -> ports.Report | ports.CommandReply:
            first = call(machine)
            if (isinstance(first, ports.CommandReply) or first.ended or
                    wait_ms == 0):
                finish(first)
                return first
            boot_ms = machine.boot_ms

            def wake() -> None:
                # A call that has been answered or given up is gone, and so is
                # one whose connection ended with an earlier life.
                if not answered and machine.boot_ms == boot_ms:
                    finish(call(machine))

            machine.wait(wake)
            ticking.schedule(wait_ms / 1000.0, wake)
            return first

        answered = False

        def finish(result: Any) -> None:
            nonlocal answered
            if answered or worker.worker_id in self.cut:
                return
            answered = True
            ticking.schedule(
                DELAY_S, lambda: self._host.deliver(lambda: on_done(result)))

        def drop(result: Any) -> None:
            nonlocal answered
            if (isinstance(result, ports.CommandReply) and
                    result.verdict is ports.Verdict.LOST and not answered):
                answered = True
                on_done(result)

        def watch_loss() -> None:
            self._host.deliver(
                lambda: drop(ports.CommandReply(ports.Verdict.LOST)))

        ticking.schedule(wait_ms / 1000.0 + 0.8, watch_loss)
        self._call(worker, wait, drop, wait_ms / 1000.0 + 0.8)

    def forget(self, worker: ports.Worker) -> None:
        """See ports.Workers.forget."""

    def format_name(self, key: progress.TaskKey) -> str:
        """See ports.Workers.format_name."""
        return f"{key.job_id}.{key.occurrence}.{key.step}.{key.task}"


def find_violations(history: Sequence[Event]) -> list[str]:
    """Finds broken promises in what happened on the workers.

    An end counts once it has been acknowledged, unless the worker's lease
    lapsed before that: then nobody could wait for it.
    """
    faults = []
    alive: dict[str, list[Event]] = {}
    done_s: dict[tuple[str, str, int], float] = {}
    lapse_s: dict[str, float] = {}
    noted: set[str] = set()
    for event in history:
        running = alive.setdefault(event.name, [])
        place = event.worker_id, event.name, event.run
        if event.kind == "start":
            if running:
                faults.append(f"{event} while {running[0]} runs")
            if event.name in noted:
                faults.append(f"{event} after its end was noted")
            running.append(event)
        elif event.kind == "lapse":
            lapse_s[event.worker_id] = event.at_s
        elif event.kind == "noted":
            end_s = done_s.get(place)
            if (end_s is not None and
                    lapse_s.get(event.worker_id, -1.0) < end_s):
                noted.add(event.name)
        else:
            alive[event.name] = [
                item for item in running
                if (item.worker_id, item.name, item.run) != place
            ]
            if event.kind == "done":
                done_s[place] = event.at_s
    return faults
