"""Judge of jobs that stand beside free room, from what is seen from outside."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import heapq
from typing import NamedTuple

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import workers as worker_module

# A job that stands for this long beside free room violates the rule.
IDLE_S = 3.0
# A stretch is calm if there was no disruption for this long before it.
CALM_S = 4.0
# Room for a task must exist this many times.
ROOM_FACTOR = 2

_Demand = workload.Demand


class Worker(NamedTuple):
    """A worker, whose identifier stays the same over restarts.

    Attributes:
        worker_id: Identifier.
        rack: Rack of the worker.
        labels: Labels that tasks can require.
        capacity: Total resources.
    """

    worker_id: str
    rack: str
    labels: frozenset[str]
    capacity: workload.Demand


class WorkerChange(NamedTuple):
    """The state of a worker from a time on, until its next change.

    A worker is up, reachable and not draining before its first change.

    Attributes:
        at_s: Time in seconds.
        worker_id: The worker.
        up: Whether its process runs. Its runs end when it does not.
        reachable: Whether all leaders can reach it. Its runs go on if not.
        draining: Whether it accepts no new runs.
    """

    at_s: float
    worker_id: str
    up: bool
    reachable: bool = True
    draining: bool = False


class Job(NamedTuple):
    """A submitted job of one occurrence.

    Attributes:
        job_id: Identifier.
        steps: Its steps.
        accepted_s: When it was accepted, or is due if that is later, in
            seconds; None if its caller got no such answer. It is not judged
            then, but its runs take room.
        cancelled_s: When its cancellation was sent, in seconds, or None.
        ended_s: When it was first known to be final, in seconds, or None.
    """

    job_id: str
    steps: tuple[workload.Step, ...]
    accepted_s: float | None
    cancelled_s: float | None = None
    ended_s: float | None = None


class Interval(NamedTuple):
    """A time interval, in seconds.

    Attributes:
        from_s: Its begin.
        to_s: Its end; the same as its begin for a disruption of a moment.
    """

    from_s: float
    to_s: float


class Record(NamedTuple):
    """What is seen from outside. All times are of one clock, in seconds.

    Attributes:
        workers: All workers.
        changes: Changes of the state of workers, in any order.
        events: Events of all workers in order. "start" begins a run, "done"
            ends its task, "lapse" and "noted" are ignored and all other kinds
            end a run.
        jobs: The submitted jobs.
        disruptions: When disruptions were active, in any order.
        traffic_end_s: When the last job was submitted and the last disruption
            repaired.
        end_s: End of the record.
    """

    workers: Sequence[Worker]
    changes: Sequence[WorkerChange]
    events: Sequence[worker_module.Event]
    jobs: Sequence[Job]
    disruptions: Sequence[Interval]
    traffic_end_s: float
    end_s: float


class Finding(NamedTuple):
    """A job of which nothing ran although there was room for it.

    Attributes:
        job_id: The job.
        step: Number of a step whose turn had come.
        from_s: Begin of the time in seconds.
        to_s: End of the time in seconds.
        others: Number of other jobs with findings in that time.
        text: Description.
    """

    job_id: str
    step: int
    from_s: float
    to_s: float
    others: int
    text: str


class _Shape(NamedTuple):
    """What decides how often the waiting part of a step fits."""

    demand: workload.Demand
    label: str
    max_per_worker: int
    needed: int


class TaskName(NamedTuple):
    """A parsed name of a task.

    Attributes:
        job_id: The job.
        step: Number of the step.
        task: Number or name of the task in the step.
    """

    job_id: str
    step: int
    task: str


def parse_name(name: str) -> TaskName:
    """Parses the name "JOB.OCCURRENCE.STEP.TASK" of a task."""
    job_id, _, step, task = name.rsplit(".", 3)
    return TaskName(job_id, int(step), task)


class _Fleet:
    """Free resources of the workers, and how often each shape fits."""

    def __init__(self, workers: Iterable[Worker], shapes: Iterable[_Shape]):
        self._workers = {worker.worker_id: worker for worker in workers}
        self._free = {
            worker.worker_id: worker.capacity
            for worker in self._workers.values()
        }
        self._states = {
            worker_id: WorkerChange(0.0, worker_id, True)
            for worker_id in self._workers
        }
        self._shapes = list(shapes)
        self._fits: dict[_Shape, dict[str, int]] = {
            shape: {} for shape in self._shapes
        }
        self.copies = dict.fromkeys(self._shapes, 0)
        for worker_id in self._workers:
            self._update(worker_id)

    def set_state(self, change: WorkerChange) -> None:
        """Sets the state of a worker, whose runs end unless it is up."""
        self._states[change.worker_id] = change
        if not change.up:
            self._free[change.worker_id] = self._workers[
                change.worker_id].capacity
        self._update(change.worker_id)

    def is_up(self, worker_id: str) -> bool:
        """Returns whether the worker's process runs."""
        return self._states[worker_id].up

    def take(self, worker_id: str, demand: workload.Demand) -> None:
        """Takes the resources of a run."""
        self._free[worker_id] = self._free[worker_id].minus(demand)
        self._update(worker_id)

    def release(self, worker_id: str, demand: workload.Demand) -> None:
        """Releases the resources of a run."""
        self._free[worker_id] = self._free[worker_id].plus(demand)
        self._update(worker_id)

    def _update(self, worker_id: str) -> None:
        worker, state = self._workers[worker_id], self._states[worker_id]
        usable = state.up and state.reachable and not state.draining
        for shape in self._shapes:
            count = 0
            if usable and (not shape.label or shape.label in worker.labels):
                count = _count_copies(shape, self._free[worker_id])
            fits = self._fits[shape]
            self.copies[shape] += count - fits.get(worker_id, 0)
            fits[worker_id] = count

    def is_under_half_used(self) -> bool:
        """Returns whether under half of each resource is in use."""
        total = used = _Demand(0, 0, 0)
        for worker_id, worker in self._workers.items():
            if self.is_up(worker_id):
                total = total.plus(worker.capacity)
                used = used.plus(worker.capacity.minus(self._free[worker_id]))
        return all(
            2 * u < t or t == 0 for u, t in zip(used, total, strict=True))


def _count_copies(shape: _Shape, room: workload.Demand) -> int:
    """Returns how many tasks of a shape fit into free resources."""
    count = min((max(0, free // needed)
                 for needed, free in zip(shape.demand, room, strict=True)
                 if needed > 0),
                default=ROOM_FACTOR * shape.needed)
    if shape.max_per_worker:
        count = min(count, shape.max_per_worker)
    return count


class _JobState:
    """Runs and ended tasks of a job."""

    def __init__(self, job: Job):
        self.job = job
        self.running = 0
        self.done: list[set[str]] = [set() for _ in job.steps]
        self.shapes = [
            _Shape(step.occupied, step.label, step.max_per_worker,
                   step.tasks if step.gang else 1) for step in job.steps
        ]
        self.waiting = self._find_waiting()
        self.closed = False

    def _find_waiting(self) -> list[int]:
        """Returns the steps with tasks whose turn has come."""
        complete = [
            len(done) >= step.tasks
            for done, step in zip(self.done, self.job.steps, strict=True)
        ]
        return [
            number for number, step in enumerate(self.job.steps)
            if not complete[number] and all(
                complete[earlier] for earlier in step.after)
        ]

    def finish_task(self, step: int, task: str) -> None:
        """Notes a task that is done.

        The tasks of a gang work only together, so that one of them ends as
        done only with all others.
        """
        self.done[step].add(task)
        if self.job.steps[step].gang:
            self.done[step].update(
                str(number) for number in range(self.job.steps[step].tasks))
        self.waiting = self._find_waiting()


class _Stand(NamedTuple):
    """A stretch in which a job stands."""

    job_id: str
    step: int
    from_s: float
    to_s: float
    copies: int


def _find_calm_intervals(record: Record) -> list[Interval]:
    """Returns the times that CALM_S without a disruption precede."""
    intervals = []
    calm_from_s = 0.0
    for disruption in sorted(record.disruptions):
        if disruption.from_s > calm_from_s:
            intervals.append(Interval(calm_from_s, disruption.from_s))
        calm_from_s = max(calm_from_s, disruption.to_s + CALM_S)
    if calm_from_s < record.end_s:
        intervals.append(Interval(calm_from_s, record.end_s))
    return intervals


class _Sweep:
    """Plays a record in the order of time and collects standing jobs."""

    def __init__(self, record: Record, parse: Callable[[str], TaskName]):
        self._record = record
        self._parse = parse
        self._jobs = {job.job_id: _JobState(job) for job in record.jobs}
        self._fleet = _Fleet(
            record.workers,
            dict.fromkeys(shape for state in self._jobs.values()
                          for shape in state.shapes))
        self._runs: dict[str, dict[tuple[str, int], workload.Demand]] = {
            worker.worker_id: {} for worker in record.workers
        }
        self._open: dict[str, _JobState] = {}
        # Begin, step and room of the current stretch by job, for the rule in
        # calm stretches and the rule at the end.
        self._since: dict[str, tuple[float, int, int]] = {}
        self._since_at_end: dict[str, tuple[float, int, int]] = {}
        self.stands: list[_Stand] = []
        self.stands_at_end: list[_Stand] = []

    def play(self) -> None:
        """Plays the whole record."""
        record = self._record
        points: list[tuple[float, int, Callable[[], None]]] = []

        def add(at_s: float, order: int, action: Callable[[], None]) -> None:
            points.append((at_s, order, action))

        for change in record.changes:
            add(change.at_s, 1, functools.partial(self._change, change))
        for event in record.events:
            # At one moment, runs end before the state of their worker changes
            # and start after it.
            order = 2 if event.kind == "start" else 0
            add(event.at_s, order, functools.partial(self._apply, event))
        for state in self._jobs.values():
            job = state.job
            if job.accepted_s is None:
                continue
            add(job.accepted_s, 3, functools.partial(self._open_job,
                                                     job.job_id))
            for closed_s in (job.cancelled_s, job.ended_s):
                if closed_s is not None:
                    add(closed_s, 4,
                        functools.partial(self._close_job, job.job_id))
        for at_s in (record.traffic_end_s, record.end_s):
            add(at_s, 5, lambda: None)
        points.sort(key=lambda point: point[:2])
        position = 0
        while position < len(points) and points[position][0] <= record.end_s:
            at_s = points[position][0]
            while position < len(points) and points[position][0] == at_s:
                points[position][2]()
                position += 1
            self._judge(at_s)
        for job_id in list(self._open):
            self._end_stands(job_id, record.end_s)

    def _change(self, change: WorkerChange) -> None:
        self._fleet.set_state(change)
        if not change.up:
            for name, _ in self._runs[change.worker_id]:
                self._count_run(name, -1)
            self._runs[change.worker_id].clear()

    def _count_run(self, name: str, change: int) -> None:
        state = self._jobs.get(self._parse(name).job_id)
        if state is not None:
            state.running += change

    def _apply(self, event: worker_module.Event) -> None:
        if event.kind in ("lapse", "noted"):
            return
        key = event.name, event.run
        runs = self._runs[event.worker_id]
        if event.kind == "start":
            if key not in runs and self._fleet.is_up(event.worker_id):
                runs[key] = self._get_demand(event.name)
                self._fleet.take(event.worker_id, runs[key])
                self._count_run(event.name, 1)
            return
        if key in runs:
            self._fleet.release(event.worker_id, runs.pop(key))
            self._count_run(event.name, -1)
        if event.kind == "done":
            job_id, step, task = self._parse(event.name)
            if job_id in self._jobs:
                self._jobs[job_id].finish_task(step, task)

    def _get_demand(self, name: str) -> workload.Demand:
        """Returns the resources of a task; none if its job is not known."""
        job_id, step, _ = self._parse(name)
        if job_id not in self._jobs:
            return _Demand(0, 0, 0)
        return self._jobs[job_id].job.steps[step].occupied

    def _open_job(self, job_id: str) -> None:
        if not self._jobs[job_id].closed:
            self._open[job_id] = self._jobs[job_id]

    def _close_job(self, job_id: str) -> None:
        self._jobs[job_id].closed = True

    def _judge(self, now_s: float) -> None:
        """Notes which jobs stand from this moment on."""
        ending = (now_s >= self._record.traffic_end_s and
                  self._fleet.is_under_half_used())
        for job_id, state in list(self._open.items()):
            stands = None
            if not state.running and not state.closed:
                stands = self._find_step_with_room(state)
            if stands is None:
                self._end_stand(self._since, self.stands, job_id, now_s)
            else:
                self._since.setdefault(job_id, (now_s, *stands))
            if stands is None or not ending:
                self._end_stand(self._since_at_end, self.stands_at_end, job_id,
                                now_s)
            else:
                self._since_at_end.setdefault(job_id, (now_s, *stands))
            if state.closed or not state.waiting:
                del self._open[job_id]

    def _find_step_with_room(self, state: _JobState) -> tuple[int, int] | None:
        """Returns a waiting step and how many of its tasks find room."""
        for step in state.waiting:
            copies = self._fleet.copies[state.shapes[step]]
            if copies >= ROOM_FACTOR * state.shapes[step].needed:
                return step, copies
        return None

    def _end_stands(self, job_id: str, now_s: float) -> None:
        self._end_stand(self._since, self.stands, job_id, now_s)
        self._end_stand(self._since_at_end, self.stands_at_end, job_id, now_s)

    def _end_stand(self, since: dict[str, tuple[float, int, int]],
                   stands: list[_Stand], job_id: str, now_s: float) -> None:
        begin = since.pop(job_id, None)
        if begin is not None and now_s - begin[0] >= IDLE_S:
            stands.append(_Stand(job_id, begin[1], begin[0], now_s, begin[2]))


def find_idle_jobs(
        record: Record,
        parse: Callable[[str], TaskName] = parse_name) -> list[Finding]:
    """Finds jobs that stood beside free room for IDLE_S or longer.

    A job stands while nothing of it runs although the turn of one of its
    tasks has come, and that task (of a gang: the whole gang) fits ROOM_FACTOR
    times on workers that are up, reachable, not draining and have its label.
    A delay before a failed task runs again counts as standing. Two rules are
    judged: in calm stretches, however full the workers are, and from the end
    of the traffic on while under half of each resource is in use. A job that
    runs until it is cancelled is judged as a whole.

    Args:
        record: What was seen from outside.
        parse: Parses the names of tasks in the events.

    Returns:
        The findings in the order of their begins.
    """
    sweep = _Sweep(record, parse)
    sweep.play()
    judged: list[tuple[_Stand, str]] = []
    calm = _find_calm_intervals(record)
    for stand in sweep.stands:
        for interval in calm:
            from_s = max(stand.from_s, interval.from_s)
            to_s = min(stand.to_s, interval.to_s)
            if to_s - from_s >= IDLE_S:
                judged.append((stand._replace(from_s=from_s,
                                              to_s=to_s), "in calm"))
    for stand in sweep.stands_at_end:
        judged.append((stand, "at the end"))
    return _describe(judged)


def _describe(judged: Sequence[tuple[_Stand, str]]) -> list[Finding]:
    """Makes findings of stretches, with the number of others beside each."""
    ordered = sorted(judged, key=lambda pair: pair[0].from_s)
    beside: list[set[str]] = [set() for _ in ordered]
    indices_by_end: list[tuple[float, int]] = []
    for index, (stand, _) in enumerate(ordered):
        while indices_by_end and indices_by_end[0][0] <= stand.from_s:
            heapq.heappop(indices_by_end)
        for _, other in indices_by_end:
            beside[other].add(stand.job_id)
            beside[index].add(ordered[other][0].job_id)
        heapq.heappush(indices_by_end, (stand.to_s, index))
    findings = []
    for index, (stand, rule) in enumerate(ordered):
        others = len(beside[index] - {stand.job_id})
        findings.append(
            Finding(
                stand.job_id, stand.step, stand.from_s, stand.to_s, others,
                f"{stand.job_id} step {stand.step} stands {rule} from "
                f"{stand.from_s:.2f} s to {stand.to_s:.2f} s beside room for "
                f"{stand.copies} tasks, with {others} others"))
    return findings
