"""Simulated workers: leases, fencing by epochs, and runs."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Any
from typing import NamedTuple
import zlib

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins import clock

# Time that a call, or its answer, takes on the network.
CALL_DELAY_S = 0.001
# Time between a stop command and the end of the run.
STOP_DURATION_S = 0.1
# Time between two steps of the simulation of a worker.
ADVANCE_INTERVAL_S = 0.05
# Unix time at the start of the virtual clock, in milliseconds.
CLOCK_START_MS = 1_700_000_000_000


class Event(NamedTuple):
    """An event in the history of a worker.

    Attributes:
        at_s: Time on the virtual clock in seconds.
        worker_id: The worker.
        kind: "start" of a run, "noted" when the end of a run was
            acknowledged, "lapse" when the worker's lease ended, "crashed"
            for a run lost in a crash or restart, or the ports.EndState in
            which a run ended.
        name: Name of the task; empty for a lapse.
        run: Number of the run; 0 for a lapse.
    """

    at_s: float
    worker_id: str
    kind: str
    name: str
    run: int


class _Run:
    """A run in progress on a worker."""

    def __init__(self, *, run: int, demand: workload.Demand, started_s: float,
                 ends_s: float, gang: int, behaviour: "Behaviour"):
        self.run = run
        self.behaviour = behaviour
        self.lost_s = 0.0
        self.demand = demand
        self.started_s = started_s
        self.ends_s = ends_s
        self.gang = gang
        self.stopping = False
        self.checkpoint = ""


class Behaviour(NamedTuple):
    """How the tasks of a step behave when they run.

    Attributes:
        demand: Resources that a task occupies.
        run_s: Run time of a task in seconds.
        fails: Whether each run ends as failed.
        image: Image of the step, or empty.
        slowdowns: Factor of the run time while a run of another image is on the
            worker, by that image.
        checkpoint: Beginning of the checkpoint that each run reports, or empty
            for no checkpoints.
    """

    demand: workload.Demand
    run_s: float
    fails: bool = False
    image: str = ""
    slowdowns: Mapping[str, float] = {}
    checkpoint: str = ""


class WorkerState:
    """A simulated worker.

    Attributes:
        worker_id: Identifier, which stays the same over restarts.
        rack: Rack of the worker.
        labels: Labels of the worker apart from its rack.
        capacity: Total resources.
        reachable: Whether calls from nodes arrive.
        alive: Whether the worker runs; False after a crash.
        fails: Whether all runs fail soon after their start.
        hangs: Whether runs make no progress.
        slowness: Factor of the run time of all runs.
        percent: Progress that all runs report in percent; None to report
            the progress of each run.
        clock_rate: Seconds of the worker's clock in a second.
        draining: Whether the worker registers itself as draining.
        service: Service that the worker belongs to.
        failure_domain: Failure domain of the worker.
        boot_ms: Start of the worker process in Unix milliseconds.
        runs: Runs in progress by the name of the task.
        unacknowledged_ends: Ends of runs that no leader has acknowledged.
    """

    def __init__(self,
                 *,
                 worker_id: str,
                 rack: str,
                 labels: frozenset[str] = frozenset(),
                 virtual_clock: clock.Clock,
                 capacity: workload.Demand,
                 history: list[Event],
                 get_behaviour: Callable[[str], Behaviour]):
        """Creates a worker that runs and holds no lease.

        Args:
            worker_id: Identifier.
            rack: Rack of the worker.
            labels: Labels of the worker apart from its rack.
            virtual_clock: Clock on which the runs proceed.
            capacity: Total resources.
            history: List to which the worker appends its events.
            get_behaviour: Returns the behaviour of a task, given its name.
        """
        self.worker_id = worker_id
        self.rack = rack
        self.labels = labels
        self.capacity = capacity
        self.reachable = True
        self.alive = True
        self.fails = False
        self.hangs = False
        self.slowness = 1.0
        self.percent: int | None = None
        self.clock_rate = 0.99
        self.draining = False
        self.service = "service"
        self.failure_domain = "zone"
        self._clock = virtual_clock
        self._history = history
        self._get_behaviour = get_behaviour
        self._end_callbacks: list[Callable[[], None]] = []
        self._start_process()
        self._clock.schedule(ADVANCE_INTERVAL_S, self._advance)

    def _start_process(self) -> None:
        self.boot_ms = CLOCK_START_MS + int(self._clock.now_s * 1000)
        self.booted_s = self._clock.now_s
        self.highest_epoch = 0
        self.lease_until_ms = 0.0
        self._lease_lapsed = True
        self.runs: dict[str, _Run] = {}
        self.highest_run: dict[str, int] = {}
        self.unacknowledged_ends: list[ports.EndedTask] = []
        self.end_count = 0

    @property
    def clock_ms(self) -> float:
        """The worker's steady clock in milliseconds."""
        return (self._clock.now_s - self.booted_s) * self.clock_rate * 1000.0

    def describe(self) -> ports.Worker:
        """Returns the registration of the worker."""
        return ports.Worker(worker_id=self.worker_id,
                            address=f"{self.worker_id}:1",
                            service=self.service,
                            failure_domain=self.failure_domain,
                            rack=self.rack,
                            labels=self.labels | {self.rack},
                            capacity=self.capacity,
                            draining=self.draining,
                            remaining_ms=2000,
                            boot_ms=self.boot_ms)

    def crash(self) -> None:
        """Stops the process; all runs are lost until it is restarted."""
        self.alive = False
        self._record_for_all_runs("crashed")
        self.runs = {}
        self._call_end_callbacks()

    def restart(self) -> None:
        """Starts a new process, without runs, under the same identifier."""
        self._record_for_all_runs("crashed")
        self.alive = True
        self._start_process()
        self._call_end_callbacks()

    def _record_for_all_runs(self, kind: str) -> None:
        for name, run in self.runs.items():
            self._record(kind, name, run.run)

    def _record(self, kind: str, name: str, run: int) -> None:
        self._history.append(
            Event(self._clock.now_s, self.worker_id, kind, name, run))

    # Calls of nodes.

    def _accept_epoch(self, epoch: int) -> bool:
        """Returns False if a leader with a higher epoch has called before."""
        if epoch < self.highest_epoch:
            return False
        self.highest_epoch = epoch
        return True

    def _answer(self, verdict: ports.Verdict) -> ports.CommandReply:
        return ports.CommandReply(verdict, self.clock_ms)

    def start(self, command: ports.StartCommand,
              name: str) -> ports.CommandReply:
        """Handles a command to start a run of the task with this name."""
        if not self._accept_epoch(command.epoch):
            return self._answer(ports.Verdict.FENCED)
        if name in self.runs and self.runs[name].run == command.run:
            return self._answer(ports.Verdict.DONE)
        if command.run <= self.highest_run.get(name, 0):
            return self._answer(ports.Verdict.SUPERSEDED)
        if command.lease_until_ms <= self.clock_ms:
            return self._answer(ports.Verdict.LATE)
        behaviour = self._get_behaviour(name)
        free = self.capacity
        for run in self.runs.values():
            free = free.minus(run.demand)
        if not behaviour.demand.fits(free):
            return self._answer(ports.Verdict.NO_ROOM)
        self._extend_lease(command.lease_until_ms)
        now_s = self._clock.now_s
        duration_s = 0.2 if self.fails else behaviour.run_s
        self.runs[name] = _Run(run=command.run,
                               demand=behaviour.demand,
                               started_s=now_s,
                               ends_s=now_s + duration_s,
                               gang=0,
                               behaviour=behaviour)
        if behaviour.checkpoint:
            number = zlib.crc32(name.encode())
            self.runs[name].checkpoint = f"{behaviour.checkpoint}{number:08x}"
        self.highest_run[name] = command.run
        self._record("start", name, command.run)
        return self._answer(ports.Verdict.DONE)

    def stop(self, name: str, run: int, epoch: int) -> ports.CommandReply:
        """Handles a command to stop a run, which ends after a delay.

        Later starts of runs up to this number are refused.
        """
        if not self._accept_epoch(epoch):
            return self._answer(ports.Verdict.FENCED)
        self.highest_run[name] = max(run, self.highest_run.get(name, 0))
        current = self.runs.get(name)
        if current is not None and current.run <= run and not current.stopping:
            current.stopping = True
            current.ends_s = self._clock.now_s + STOP_DURATION_S
        return self._answer(ports.Verdict.DONE)

    def renew(self, epoch: int, acknowledged_end: int,
              lease_until_ms: int | None) -> ports.Report | ports.CommandReply:
        """Handles a renewal of the lease.

        Args:
            epoch: Epoch of the leader.
            acknowledged_end: Highest number of an end to acknowledge.
            lease_until_ms: New end of the lease on the worker's clock, or
                None.

        Returns:
            The report, or an answer if a newer leader has called.
        """
        if not self._accept_epoch(epoch):
            return self._answer(ports.Verdict.FENCED)
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        for end in self.unacknowledged_ends:
            if end.number <= acknowledged_end:
                self._record("noted", end.name, end.run)
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends
            if end.number > acknowledged_end
        ]
        running = [
            ports.RunningTask(name, run.run, run.checkpoint,
                              self._get_percent(run))
            for name, run in self.runs.items()
        ]
        return ports.Report(self.clock_ms, self.boot_ms, running,
                            list(self.unacknowledged_ends), True)

    def call_at_next_end(self, callback: Callable[[], None]) -> None:
        """Calls a callback once, when a run or this process ends."""
        self._end_callbacks.append(callback)

    def _extend_lease(self, until_ms: int) -> None:
        self.lease_until_ms = max(self.lease_until_ms,
                                  min(until_ms, self.clock_ms + 10_000))

    def _get_percent(self, run: _Run) -> int:
        if self.percent is not None:
            return self.percent
        if self.hangs:
            return 0
        total_s = max(0.01, run.ends_s - run.started_s - run.lost_s)
        worked_s = self._clock.now_s - run.started_s - run.lost_s
        return min(99, int(100 * worked_s / total_s))

    def _slow_runs(self) -> None:
        """Delays runs that are slow or beside an image that disturbs them."""
        images = {run.behaviour.image for run in self.runs.values()}
        for run in self.runs.values():
            slowdown = self.slowness * max([
                factor for image, factor in run.behaviour.slowdowns.items()
                if image in images
            ],
                                           default=1.0)
            if slowdown != 1.0 and not run.stopping:
                lost_s = ADVANCE_INTERVAL_S * (1.0 - 1.0 / slowdown)
                run.lost_s += lost_s
                run.ends_s += lost_s

    def _advance(self) -> None:
        self._clock.schedule(ADVANCE_INTERVAL_S, self._advance)
        if not self.alive:
            return
        self._slow_runs()
        now_s = self._clock.now_s
        lapsed = self.clock_ms > self.lease_until_ms
        if lapsed and not self._lease_lapsed:
            self._record("lapse", "", 0)
        self._lease_lapsed = lapsed
        for name, run in list(self.runs.items()):
            if lapsed:
                self._end(name, run, ports.EndState.LAPSED)
            elif run.ends_s <= now_s and run.stopping:
                self._end(name, run, ports.EndState.STOPPED)
            elif run.ends_s <= now_s and not self.hangs:
                failed = self.fails or self._get_behaviour(name).fails
                self._end(
                    name, run,
                    ports.EndState.FAILED if failed else ports.EndState.DONE)

    def _end(self, name: str, run: _Run, end_state: ports.EndState) -> None:
        del self.runs[name]
        self.end_count += 1
        self.unacknowledged_ends.append(
            ports.EndedTask(self.end_count, name, run.run, end_state,
                            run.checkpoint))
        self._record(end_state.value, name, run.run)
        self._call_end_callbacks()

    def _call_end_callbacks(self) -> None:
        callbacks, self._end_callbacks = self._end_callbacks, []
        for callback in callbacks:
            callback()


class NodeWorkers(ports.Workers):
    """Access of one node to the simulated workers, with network faults.

    Attributes:
        loss_probability: Probability that a call gets no answer.
        command_loss_probability: The same for starts and stops alone.
        report_loss_probability: The same for report requests alone.
        lost_call_delay_s: Delay in seconds after which a worker executes a
            call that gets no answer, also if it has restarted meanwhile.
        cut: Identifiers of the workers that this node cannot reach.
        sent_starts: Number of start commands that this node has sent.
    """

    def __init__(self, *, worker_states: dict[str, WorkerState],
                 host: clock.Host, rng: random.Random):
        self.loss_probability = 0.0
        self.command_loss_probability = 0.0
        self.report_loss_probability = 0.0
        self.lost_call_delay_s = 0.0
        self.cut: set[str] = set()
        self.sent_starts = 0
        self._worker_states = worker_states
        self._host = host
        self._rng = rng

    def _call(
            self,
            worker: ports.Worker,
            call: Callable[[WorkerState], Any],
            on_done: Callable[[Any], None],
            timeout_s: float,
            loss_probability: float = 0.0,
            unanswered_call: Callable[[WorkerState], Any] | None = None
    ) -> None:
        """Calls a worker and delivers the result, or LOST after a timeout.

        Args:
            worker: The worker.
            call: Carries out the call.
            on_done: Gets the result of the call, or LOST.
            timeout_s: Time until LOST, in seconds.
            loss_probability: Probability that the call gets no answer.
            unanswered_call: Carries out a call that gets no answer, if `call`
                itself sends the answer.
        """
        unanswered_call = unanswered_call or call
        loss_probability = max(loss_probability, self.loss_probability)
        virtual_clock = self._host.clock
        lost = ports.CommandReply(ports.Verdict.LOST)

        def fail() -> None:
            virtual_clock.schedule(
                timeout_s, lambda: self._host.deliver(lambda: on_done(lost)))

        def arrive() -> None:
            worker_state = self._worker_states.get(worker.worker_id)
            if (worker_state is None or not worker_state.alive or
                    not worker_state.reachable or worker.worker_id in self.cut):
                fail()
            elif self._rng.random() < loss_probability:

                def execute() -> None:
                    # Calls name a worker and not its process, so that a process
                    # that has started since carries the call out as well.
                    if worker_state.alive:
                        unanswered_call(worker_state)

                virtual_clock.schedule(self.lost_call_delay_s, execute)
                fail()
            else:
                result = call(worker_state)
                virtual_clock.schedule(
                    CALL_DELAY_S,
                    lambda: self._host.deliver(lambda: on_done(result)))

        virtual_clock.schedule(CALL_DELAY_S, arrive)

    def start(self, worker: ports.Worker, command: ports.StartCommand, *,
              timeout_s: float, on_done: ports.OnCommandReply) -> None:
        """See ports.Workers.start."""
        self.sent_starts += 1
        name = self.format_name(command.key)
        self._call(worker,
                   lambda worker_state: worker_state.start(command, name),
                   on_done, timeout_s, self.command_loss_probability)

    def stop(self, worker: ports.Worker, *, name: str, run: int, epoch: int,
             timeout_s: float, on_done: ports.OnCommandReply) -> None:
        """See ports.Workers.stop."""
        self._call(worker,
                   lambda worker_state: worker_state.stop(name, run, epoch),
                   on_done, timeout_s, self.command_loss_probability)

    def renew(self, worker: ports.Worker, *, epoch: int, acknowledged_end: int,
              lease_until_ms: int | None, wait_ms: int, timeout_s: float,
              on_done: ports.OnReport) -> None:
        """See ports.Workers.renew."""
        virtual_clock = self._host.clock

        def get_report(
                worker_state: WorkerState) -> ports.Report | ports.CommandReply:
            return worker_state.renew(epoch, acknowledged_end, lease_until_ms)

        def wait_for_end(
                worker_state: WorkerState) -> ports.Report | ports.CommandReply:
            report = get_report(worker_state)
            if (isinstance(report, ports.CommandReply) or report.ended or
                    wait_ms == 0):
                finish(report)
                return report
            boot_ms = worker_state.boot_ms

            def answer() -> None:
                # The call no longer exists if it has been answered or timed
                # out, or if the worker restarted, which closed its connection.
                if (not answered and worker_state.alive and
                        worker_state.reachable and
                        worker_state.boot_ms == boot_ms):
                    finish(get_report(worker_state))

            worker_state.call_at_next_end(answer)
            virtual_clock.schedule(wait_ms / 1000.0, answer)
            return report

        answered = False

        def finish(result: Any) -> None:
            nonlocal answered
            if answered or worker.worker_id in self.cut:
                return
            answered = True
            virtual_clock.schedule(
                CALL_DELAY_S,
                lambda: self._host.deliver(lambda: on_done(result)))

        def finish_if_lost(result: Any) -> None:
            nonlocal answered
            if (isinstance(result, ports.CommandReply) and
                    result.verdict is ports.Verdict.LOST and not answered):
                answered = True
                on_done(result)

        def time_out() -> None:
            self._host.deliver(
                lambda: finish_if_lost(ports.CommandReply(ports.Verdict.LOST)))

        virtual_clock.schedule(timeout_s, time_out)
        self._call(worker, wait_for_end, finish_if_lost, timeout_s,
                   self.report_loss_probability, get_report)

    def forget(self, worker: ports.Worker) -> None:
        """See ports.Workers.forget."""

    def format_name(self, key: progress.TaskKey) -> str:
        """See ports.Workers.format_name."""
        return f"{key.job_id}.{key.occurrence}.{key.step}.{key.task}"


def find_violations(history: Sequence[Event]) -> list[str]:
    """Finds tasks that ran twice at the same time or again after their end.

    A task whose run is done must not start again once that end has been
    acknowledged. It may if the worker's lease lapsed between the end and the
    acknowledgement, since a leader does not wait for such a worker.

    Args:
        history: Events of all workers in order.

    Returns:
        One line for each violation.
    """
    violations = []
    running_by_task: dict[str, list[Event]] = {}
    done_at_s: dict[tuple[str, str, int], float] = {}
    lapsed_at_s: dict[str, float] = {}
    acknowledged_tasks: set[str] = set()
    for event in history:
        running = running_by_task.setdefault(event.name, [])
        run_id = event.worker_id, event.name, event.run
        if event.kind == "start":
            if running:
                violations.append(f"{event} while {running[0]} runs")
            if event.name in acknowledged_tasks:
                violations.append(f"{event} after its end was noted")
            running.append(event)
        elif event.kind == "lapse":
            lapsed_at_s[event.worker_id] = event.at_s
        elif event.kind == "noted":
            end_s = done_at_s.get(run_id)
            if (end_s is not None and
                    lapsed_at_s.get(event.worker_id, -1.0) < end_s):
                acknowledged_tasks.add(event.name)
        else:
            running_by_task[event.name] = [
                start for start in running
                if (start.worker_id, start.name, start.run) != run_id
            ]
            if event.kind == "done":
                done_at_s[run_id] = event.at_s
    return violations
