"""Definition of a job: steps of tasks, their order and their demands."""

from typing import Any
from typing import NamedTuple

import cbor2

# Largest number of tasks in all steps of one occurrence.
MAX_TASKS = 10_000
MAX_STEPS = 100
# Largest numbers of steps and of tasks in all occurrences. The leader keeps the
# progress of each, and considers all occurrences that are due.
MAX_STEPS_OF_ALL_OCCURRENCES = 10_000
MAX_TASKS_OF_ALL_OCCURRENCES = 100_000
# Priority of the jobs that a team's guarantee covers.
URGENT_PRIORITY = 0


class Demand(NamedTuple):
    """Amounts of resources: demand of a task or capacity of a worker.

    Attributes:
        milli_cores: Processor time in thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    milli_cores: int
    memory_mb: int
    accelerators: int

    def fits(self, room: "Demand") -> bool:
        """Returns whether the demand fits into free resources."""
        return (self.milli_cores <= room.milli_cores and
                self.memory_mb <= room.memory_mb and
                self.accelerators <= room.accelerators)

    def plus(self, other: "Demand") -> "Demand":
        """Returns the sum."""
        return Demand(self.milli_cores + other.milli_cores,
                      self.memory_mb + other.memory_mb,
                      self.accelerators + other.accelerators)

    def minus(self, other: "Demand") -> "Demand":
        """Returns the difference, which may be negative."""
        return Demand(self.milli_cores - other.milli_cores,
                      self.memory_mb - other.memory_mb,
                      self.accelerators - other.accelerators)


class Step(NamedTuple):
    """A step of a job: a number of identical tasks.

    Attributes:
        tasks: Number of tasks.
        demand: Resources of one task.
        estimate_ms: Declared run time of one task in milliseconds, 0 if none.
        after: Numbers of the steps that must be done first.
        checkpoints: Whether a stopped task can be resumed.
        gang: Whether the tasks run only if all run at the same time.
        one_rack: Whether the step prefers one rack, as its tasks are slower
            on several.
        label: Label that a worker must have, or empty.
        data_rack: Rack that holds the data, or empty; other racks are slower.
        max_per_worker: Most tasks on one worker, 0 without a limit.
        speculative: Whether copies of a task may run; not used yet.
        long_running: Whether the tasks run until the job is cancelled.
        uses_idle_cores: Whether the tasks use only idle processor time.
        image: What the tasks run; tasks of one image behave alike. Images that
            slow each other down are kept apart where there is room.
        max_unavailable: Most long-running tasks that may be out of work at the
            same time so that a task is stopped for guaranteed work; 0 if none
            may be stopped.
    """

    tasks: int
    demand: Demand
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    uses_idle_cores: bool = False
    image: str = ""
    max_unavailable: int = 0

    @property
    def occupied(self) -> Demand:
        """Resources that one task makes unavailable to other tasks."""
        if self.uses_idle_cores:
            return self.demand._replace(milli_cores=0)
        return self.demand


class Workload(NamedTuple):
    """A job as it was accepted; immutable.

    Attributes:
        job_id: Identifier that the caller chose.
        queue: Name of the queue.
        service: Service whose workers run the tasks.
        team: Team of the caller, or empty.
        priority: 0 is the most urgent.
        max_failures: Failed runs of a task after which the job has failed.
        slack: Factor of the objective. The job should end within this
            multiple of its critical path plus objective_ms.
        objective_ms: Constant part of the objective, in milliseconds.
        payload: Input of the tasks.
        steps: The steps of each occurrence.
        repeats: Number of occurrences; 0 for a job that runs once and may
            start immediately.
        first_start_ms: When the first occurrence is due, in Unix milliseconds.
        interval_ms: Time between two occurrences in milliseconds.
        accepted_ms: When it was accepted, in milliseconds of the store's
            clock.
    """

    job_id: str
    queue: str
    service: str
    team: str
    priority: int
    max_failures: int
    slack: float
    objective_ms: float
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_start_ms: int = 0
    interval_ms: int = 0
    accepted_ms: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeats)

    def get_due_ms(self, occurrence: int) -> int:
        """Returns when an occurrence is due, in Unix milliseconds, or 0."""
        if self.repeats == 0:
            return 0
        return self.first_start_ms + occurrence * self.interval_ms

    def estimate_critical_path_ms(self) -> float:
        """Returns the declared critical path of the steps in milliseconds."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin + step.estimate_ms)
        return max(ends)

    def find_violation(self) -> str:
        """Returns which rule the job violates, or an empty text."""
        if not 1 <= len(self.steps) <= MAX_STEPS:
            return f"a job has 1 to {MAX_STEPS} steps"
        tasks = sum(step.tasks for step in self.steps)
        if tasks > MAX_TASKS:
            return f"a job has at most {MAX_TASKS} tasks"
        if (self.occurrences * len(self.steps) > MAX_STEPS_OF_ALL_OCCURRENCES or
                self.occurrences * tasks > MAX_TASKS_OF_ALL_OCCURRENCES):
            return (f"{self.occurrences} occurrences have more than "
                    f"{MAX_STEPS_OF_ALL_OCCURRENCES} steps or "
                    f"{MAX_TASKS_OF_ALL_OCCURRENCES} tasks")
        for number, step in enumerate(self.steps):
            if step.tasks < 1 or min(step.demand) < 0:
                return (f"step {number}: needs at least one task and no "
                        "negative demand")
            if any(not 0 <= earlier < number for earlier in step.after):
                return f"step {number}: 'after' must name earlier steps"
        return ""


def encode_workload(workload: Workload) -> bytes:
    """Encodes a workload for the store."""
    return cbor2.dumps(list(workload))


def decode_workload(data: bytes) -> Workload:
    """Decodes a workload.

    Raises:
        ValueError: If the data is not an encoded workload.
    """
    try:
        fields: list[Any] = cbor2.loads(data)
        position = Workload._fields.index("steps")
        fields[position] = tuple(
            _decode_step(step) for step in fields[position])
        return Workload(*fields)
    except (cbor2.CBORError, TypeError, IndexError, EOFError) as error:
        raise ValueError(f"invalid workload: {error!r}") from error


def _decode_step(fields: list[Any]) -> Step:
    step = Step(*fields)
    return step._replace(demand=Demand(*step.demand), after=tuple(step.after))
