"""Data of a scheduling round: ready units, possible victims and the plan."""

from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_jobs import estimate
from trefoilroad_jobs import placement
from trefoilroad_jobs import workload

# Relative worth of a job by priority, most urgent first; the last value applies
# to all further priorities. The users' price lists give 4, 3 and 1 a request.
WORTH_BY_PRIORITY = (4.0, 3.0, 1.0)
# Share of its worth that a late job still has, from the same price lists.
LATE_WORTH_SHARE = 0.27
# A job that ends later than this multiple of its objective has no worth.
MAX_LATENESS_FACTOR = 3.0
# Share of its worth at which a job is ranked that would end even later, so that
# it still runs when nothing else needs the resources.
EXPIRED_WORTH_SHARE = 0.003
# Share of a job's worth that does not depend on its size. Its size counts as at
# most MAX_SIZE_RATIO times the mean of its queue.
SIZE_INDEPENDENT_WORTH_SHARE = 0.3
MAX_SIZE_RATIO = 4.0

TaskDemand = tuple[str, workload.Demand]
"""Id of a worker and the resources that one task uses there."""

UnitKey = tuple[str, int, int]
"""Job id, occurrence number and step number."""


class Unit(NamedTuple):
    """Tasks of one step that are ready to start.

    Attributes:
        job_id: Id of the job.
        occurrence: Number of the occurrence.
        step_number: Number of the step.
        step: The step.
        indexes: Indexes of the ready tasks; all tasks of the step for a gang.
        used_by_worker: Number of tasks of the step on each worker, if the step
            limits it; else empty.
        service: Service whose workers run it.
        team: Team of the job.
        priority: 0 is the most urgent.
        accepted_s: When the job was accepted or became due.
        objective_s: Time by which the job should end.
        remaining_s: Expected time from the start to the end of the job.
        remaining_core_s: Expected core-seconds that remain of the occurrence.
        size_ratio: Size of the job relative to the mean of its queue.
        guaranteed: Whether the team's guarantee covers it.
        reclaim_s: Time from which running tasks may be preempted for the
            unit; until then enough tasks may end on their own.
        retry: Whether a run of it has failed shortly before, so that workers
            with recent failures are avoided.
        idle: Whether nothing of the job runs, or the tasks are long-running, so
            that it does not wait long for workers that it only prefers. Each
            long-running task has to be at work, not just some of its job.
        max_speed_class: Slowest class of workers on which it ends in time.
        avoided_images: Images that are better not beside its tasks.
    """

    job_id: str
    occurrence: int
    step_number: int
    step: workload.Step
    indexes: Sequence[int]
    used_by_worker: dict[str, int]
    service: str
    team: str
    priority: int
    accepted_s: float
    objective_s: float
    remaining_s: float
    remaining_core_s: float
    size_ratio: float
    guaranteed: bool
    reclaim_s: float = 0.0
    retry: bool = False
    idle: bool = False
    max_speed_class: int = 0
    avoided_images: frozenset[str] = frozenset()

    @property
    def key(self) -> UnitKey:
        """Key of the step of this job."""
        return self.job_id, self.occurrence, self.step_number

    @property
    def accelerators(self) -> int:
        """Number of accelerators of all its tasks."""
        return self.step.demand.accelerators * len(self.indexes)


class StopQuota(NamedTuple):
    """Number of tasks of a step that may be stopped in a round.

    Attributes:
        key: The step.
        tasks: Number of tasks.
    """

    key: UnitKey
    tasks: int


class Victim(NamedTuple):
    """Running tasks that can only be preempted together.

    Attributes:
        tasks: Worker and demand of each task.
        lost_core_s: Core-seconds of work that a stop loses.
        priority: Priority of the job.
        handle: Opaque reference by which the caller finds the tasks again.
        density: Worth of the job for each core-second of it.
        last_resort: Whether it may be stopped whatever its priority, but only
            for a unit that a guarantee covers.
        quota: What its tasks count against when they are stopped, or None.
        restart_core_s: Core-seconds that it costs to gather its resources
            again, beside the work that is lost.
    """

    tasks: tuple[TaskDemand, ...]
    lost_core_s: float
    priority: int
    handle: object
    density: float = 0.0
    last_resort: bool = False
    quota: StopQuota | None = None
    restart_core_s: float = 0.0

    @property
    def accelerators(self) -> int:
        """Number of accelerators that a stop frees."""
        return sum(demand.accelerators for _, demand in self.tasks)


class Start(NamedTuple):
    """A unit to start, and the worker of each task.

    Attributes:
        unit: The unit.
        workers: Workers of its first tasks; fewer than it has tasks if not all
            of them can start now.
    """

    unit: Unit
    workers: tuple[str, ...]


class Plan(NamedTuple):
    """Decisions of a round.

    Attributes:
        starts: Units to start.
        stops: Victims to stop so that more urgent units can start.
    """

    starts: list[Start]
    stops: list[Victim]


def build_placement_request(unit: Unit) -> placement.PlacementRequest:
    """Returns the request to place the tasks of a unit.

    A unit that a guarantee covers is placed whole as long as it can be, so that
    what is preempted for it lets all of it start.
    """
    return placement.PlacementRequest(
        step=unit.step,
        tasks=len(unit.indexes),
        all_or_nothing=unit.step.gang or unit.guaranteed,
        used_by_worker=unit.used_by_worker,
        avoid_failing=unit.retry,
        max_speed_class=unit.max_speed_class,
        prefers_fast=unit.priority == workload.URGENT_PRIORITY,
        avoided_images=unit.avoided_images)


def compute_worth(priority: int, size_ratio: float) -> float:
    """Returns the worth of a job that ends in time."""
    size = min(size_ratio, MAX_SIZE_RATIO)
    share = SIZE_INDEPENDENT_WORTH_SHARE + (1 -
                                            SIZE_INDEPENDENT_WORTH_SHARE) * size
    return WORTH_BY_PRIORITY[find_worth_index(priority)] * share


def estimate_worth(unit: Unit, now_s: float) -> float:
    """Returns the worth of the unit's job if the unit starts now."""
    worth = compute_worth(unit.priority, unit.size_ratio)
    end_s = now_s + unit.remaining_s
    allowed_s = unit.objective_s - unit.accepted_s
    if end_s <= unit.objective_s:
        return worth
    if end_s <= unit.accepted_s + MAX_LATENESS_FACTOR * allowed_s:
        return worth * LATE_WORTH_SHARE
    return worth * EXPIRED_WORTH_SHARE


def find_worth_index(priority: int) -> int:
    """Returns the index of a priority in WORTH_BY_PRIORITY."""
    return min(priority, len(WORTH_BY_PRIORITY) - 1)


def compute_lost_core_s(step: workload.Step, elapsed_s: float,
                        checkpoint_interval_s: float) -> float:
    """Returns the core-seconds of work that the stop of one task loses.

    Args:
        step: Step of the task.
        elapsed_s: How long the task has run, in seconds.
        checkpoint_interval_s: Most seconds of work that a step with
            checkpoints loses.
    """
    lost_s = min(elapsed_s, get_max_lost_s(step, checkpoint_interval_s))
    return lost_s * estimate.count_core_equivalents(step.demand)


def get_max_lost_s(step: workload.Step, checkpoint_interval_s: float) -> float:
    """Returns the most seconds of work that the stop of one task loses."""
    return checkpoint_interval_s if step.checkpoints else float("inf")
