"""Bounds the memory that accepted jobs take.

Load pattern: clients hand in legal jobs faster than the fleet runs them, jobs
of thousands of tasks or with long texts among them, until the leader, which
keeps all jobs in memory, exceeds the memory of its VM.

The leader counts what it holds and sends the sums with its heartbeats, so that
each node refuses a job before it is written. Half of the budget is for all
teams together. Beyond it each team has an equal share of the other half, so
that one team cannot keep the others from handing in jobs; half of the share is
for small jobs, so that a crowd with long texts leaves room for those of the
same team. Large jobs have a quarter of the budget; one of them is accepted in
any case if there is no other.
"""

from collections.abc import Collection
from collections.abc import Mapping
import sys
from typing import NamedTuple

from trefoilroad_jobs import workload
from trefoilroad_node import request_budget

# Part of the memory beyond that of a process at rest. Requests have another
# quarter, the kernel's buffers a third.
MEMORY_SHARE = 4
MIN_BYTES = 8 << 20
# Memory of a job without its steps and texts.
JOB_BYTES = 2_500
# Memory of the definition of a step, and of its progress in an occurrence.
STEP_BYTES = 700
STEP_PROGRESS_BYTES = 900
# Memory of the progress of a task: number of the last run, entry among the
# tasks that are done, and part of a checkpoint.
TASK_BYTES = 64
DEPENDENCY_BYTES = 8
# A job of some 900 tasks or of 30 steps costs less.
LARGE_JOB_BYTES = 64 << 10
# A job with two steps and a payload of some hundred bytes costs less.
SMALL_JOB_BYTES = 8 << 10


def compute_max_bytes(memory_mb: float) -> int:
    """Returns the budget of a leader on a VM with some memory in MB."""
    spare_bytes = max(0.0, memory_mb - request_budget.REST_MB) * (1 << 20)
    return max(MIN_BYTES, int(spare_bytes / MEMORY_SHARE))


def compute_cost(job: workload.Workload, row_bytes: int) -> int:
    """Returns the memory that a job takes at most, in bytes.

    Its row counts too, as a new leader reads all rows before it decodes them.

    Args:
        job: The job.
        row_bytes: Length of its row.
    """
    # Jobs that an earlier release accepted may have more.
    occurrences = min(job.occurrences, workload.MAX_STEPS_OF_ALL_OCCURRENCES)
    cost = JOB_BYTES + row_bytes + sys.getsizeof(job.payload)
    for step in job.steps:
        cost += STEP_BYTES + DEPENDENCY_BYTES * len(step.after)
        cost += sum(
            sys.getsizeof(text)
            for text in (step.label, step.data_rack, step.image))
        cost += occurrences * (STEP_PROGRESS_BYTES + TASK_BYTES * step.tasks)
    return cost


class HeldJobs(NamedTuple):
    """What the jobs of a leader take.

    Attributes:
        max_bytes: The budget.
        total_bytes: Memory of all jobs.
        large_bytes: Memory of the large jobs.
        team_bytes: Memory of the jobs of each team.
        small_bytes: Memory of the small jobs of each team.
    """

    max_bytes: int
    total_bytes: int
    large_bytes: int
    team_bytes: Mapping[str, int]
    small_bytes: Mapping[str, int]


class JobCosts:
    """Sums of what jobs take."""

    def __init__(self) -> None:
        self.total_bytes = 0
        self.large_bytes = 0
        self.team_bytes: dict[str, int] = {}
        self.small_bytes: dict[str, int] = {}
        self._costs: dict[str, int] = {}

    def set(self, job_id: str, team: str, cost: int) -> None:
        """Sets what a job takes; 0 removes it."""
        before = self._costs.pop(job_id, 0)
        if cost:
            self._costs[job_id] = cost
        self.total_bytes += cost - before
        self.large_bytes += _get_large(cost) - _get_large(before)
        _add(self.team_bytes, team, cost - before)
        _add(self.small_bytes, team, _get_small(cost) - _get_small(before))

    def get(self, job_id: str) -> int:
        """Returns what a job takes."""
        return self._costs.get(job_id, 0)

    def describe(self, max_bytes: int) -> HeldJobs:
        """Returns the sums beside a budget."""
        return HeldJobs(max_bytes, self.total_bytes, self.large_bytes,
                        dict(self.team_bytes), dict(self.small_bytes))


class JobBudget:
    """Decides which jobs a node accepts.

    Jobs that this node has accepted since the last sums of the leader are added
    to them. Without sums of a leader, the node's own budget applies.
    """

    def __init__(self, *, max_bytes: int):
        """Creates a budget that holds nothing.

        Args:
            max_bytes: Budget of this node.
        """
        self._held = HeldJobs(max_bytes, 0, 0, {}, {})
        self._accepted = JobCosts()

    def update(self, held: HeldJobs) -> None:
        """Replaces the sums of the leader."""
        self._held = held
        self._accepted = JobCosts()

    def record(self, job: workload.Workload, cost: int) -> None:
        """Adds a job that this node accepts."""
        self._accepted.set(job.job_id, job.team, cost)

    def find_shortage(self, job: workload.Workload, cost: int,
                      teams: Collection[str]) -> str:
        """Returns why a job cannot be accepted now, or an empty text.

        Args:
            job: The job.
            cost: What it takes.
            teams: Names of all teams.
        """
        max_bytes = self._held.max_bytes
        large_bytes = self._held.large_bytes + self._accepted.large_bytes
        if is_large(cost):
            if not large_bytes:
                return ""
            if large_bytes + cost > max_bytes // 4:
                return "large jobs take the memory that is for them"
        total_bytes = self._held.total_bytes + self._accepted.total_bytes
        if total_bytes + cost <= max_bytes // 2:
            return ""
        team_bytes = (self._held.team_bytes.get(job.team, 0) +
                      self._accepted.team_bytes.get(job.team, 0))
        half_share_bytes = max_bytes // 4 // max(1, len(teams))
        if team_bytes + cost <= half_share_bytes:
            return ""
        small_bytes = (self._held.small_bytes.get(job.team, 0) +
                       self._accepted.small_bytes.get(job.team, 0))
        if (cost <= SMALL_JOB_BYTES and small_bytes + cost <= half_share_bytes):
            return ""
        return "jobs take the memory that is for them"


def is_large(cost: int) -> bool:
    """Returns whether a job of a cost is a large one."""
    return cost > LARGE_JOB_BYTES


def _get_small(cost: int) -> int:
    return cost if cost <= SMALL_JOB_BYTES else 0


def _add(sums: dict[str, int], key: str, difference: int) -> None:
    """Adds to a sum; a sum of 0 is not kept."""
    total = sums.pop(key, 0) + difference
    if total:
        sums[key] = total


def _get_large(cost: int) -> int:
    return cost if is_large(cost) else 0
