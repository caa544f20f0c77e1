"""What a round decides on: ready units, running victims, and the plan."""

from typing import NamedTuple

from trefoilroad_jobs import estimate
from trefoilroad_jobs import placement
from trefoilroad_jobs import workload

# Relative worth of a job by priority, most urgent first; the last one holds
# for all further priorities. From the users' sheets: 4, 3 and 1 a request.
WORTH_BY_PRIORITY = (4.0, 3.0, 1.0)
# Share of its worth that a late job still has, from the same sheets.
LATE_SHARE = 0.27
# A job that ends later than this multiple of its objective is worth nothing.
LATE_FACTOR = 3.0
# Worth share of a job that can no longer end in time to count; it still runs
# when nothing else wants the room.
HOPELESS_SHARE = 0.003
# Part of a job's worth that does not depend on its size, and the largest
# multiple of the mean that size counts for.
FIXED_SHARE = 0.3
MAX_SIZE_RATIO = 4.0

TaskRoom = tuple[str, workload.Demand]
"""Worker of a task, and what the task takes there."""

UnitKey = tuple[str, int, int]
"""Job, occurrence and step."""


class Unit(NamedTuple):
    """Tasks of one step that are ready to start.

    Attributes:
        job_id: The job.
        occurrence: Number of the occurrence.
        step_number: Number of the step.
        step: The step.
        indexes: Tasks that are ready; all of them for a gang.
        used: Tasks of the step on each worker, if their number is limited.
        service: Service whose workers run it.
        team: Team of the job.
        priority: 0 is the most urgent.
        accepted_s: When the job was accepted or became due.
        objective_s: When the job should have ended.
        remaining_s: Expected time from the start to the end of the job.
        work: Expected core-seconds that are left of the job.
        size_ratio: Size of the job relative to the mean of its queue.
        guaranteed: Whether the team's guarantee covers it.
        reclaim_s: Time from which others are stopped for a guaranteed unit;
            until then room may become free by itself.
        retry: Whether a run of it has failed before.
    """

    job_id: str
    occurrence: int
    step_number: int
    step: workload.Step
    indexes: tuple[int, ...]
    used: dict[str, int]
    service: str
    team: str
    priority: int
    accepted_s: float
    objective_s: float
    remaining_s: float
    work: float
    size_ratio: float
    guaranteed: bool
    reclaim_s: float = 0.0
    retry: bool = False

    @property
    def key(self) -> UnitKey:
        """Identifies the step."""
        return self.job_id, self.occurrence, self.step_number

    @property
    def accelerators(self) -> int:
        """Accelerators of all its tasks."""
        return self.step.demand.accelerators * len(self.indexes)


class Victim(NamedTuple):
    """Running tasks that may be stopped together.

    Attributes:
        tasks: Worker and demand of each task.
        cost: Core-seconds of work that a stop loses.
        priority: Priority of the job.
        token: Identifies the tasks for the caller.
        density: Worth of the job for each core-second of its work.
    """

    tasks: tuple[TaskRoom, ...]
    cost: float
    priority: int
    token: object
    density: float = 0.0

    @property
    def accelerators(self) -> int:
        """Accelerators that a stop frees."""
        return sum(demand.accelerators for _, demand in self.tasks)


class Start(NamedTuple):
    """A unit, or a part of one, and the worker of each of its tasks."""

    unit: Unit
    workers: tuple[str, ...]


class Plan(NamedTuple):
    """What a round decided.

    Attributes:
        starts: What starts.
        stops: Victims that are stopped so that more urgent units can start.
    """

    starts: list[Start]
    stops: list[Victim]


def build_wish(unit: Unit) -> placement.Wish:
    """Returns what a unit wants of the workers."""
    return placement.Wish(step=unit.step,
                          tasks=len(unit.indexes),
                          whole=unit.step.gang or unit.guaranteed,
                          used=unit.used,
                          careful=unit.retry)


def compute_worth(priority: int, size_ratio: float) -> float:
    """Returns what a job is worth that ends in time."""
    size = min(size_ratio, MAX_SIZE_RATIO)
    share = FIXED_SHARE + (1 - FIXED_SHARE) * size
    return WORTH_BY_PRIORITY[get_level(priority)] * share


def estimate_worth(unit: Unit, now_s: float) -> float:
    """Returns what the unit's job is worth if the unit starts now."""
    worth = compute_worth(unit.priority, unit.size_ratio)
    end_s = now_s + unit.remaining_s
    allowed_s = unit.objective_s - unit.accepted_s
    if end_s <= unit.objective_s:
        return worth
    if end_s <= unit.accepted_s + LATE_FACTOR * allowed_s:
        return worth * LATE_SHARE
    return worth * HOPELESS_SHARE


def get_level(priority: int) -> int:
    """Returns the position of a priority in WORTH_BY_PRIORITY."""
    return min(priority, len(WORTH_BY_PRIORITY) - 1)


def compute_lost_core_s(step: workload.Step, elapsed_s: float,
                        checkpoint_interval_s: float) -> float:
    """Returns the core-seconds that the stop of one task loses."""
    lost_s = elapsed_s
    if step.checkpoints:
        lost_s = min(elapsed_s, checkpoint_interval_s)
    return lost_s * estimate.count_core_equivalents(step.demand)
