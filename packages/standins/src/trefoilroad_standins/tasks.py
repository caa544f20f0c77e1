"""Tasks of the stand-in workers: states, resources and progress."""

from collections.abc import Mapping
import hashlib
import math
from typing import Any
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_standins import fields
from trefoilroad_standins import payload as payload_module

RESERVED = "reserved"
RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
STOPPED = "stopped"
NEVER_STARTED = "never_started"

LEASE_LAPSED = "lease_lapsed"


class Capacity(NamedTuple):
    """Resources of a worker, or the part of them that is in use.

    Attributes:
        accelerators: Number of accelerators.
        cores: Number of processor cores.
        memory_gb: Memory in GB.
        slots: Number of tasks that can run at a time.
        connections: Number of connections of tasks.
    """

    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0
    slots: int = 0
    connections: int = 0

    def add(self, other: "Capacity") -> "Capacity":
        """Returns the sum of both, resource by resource."""
        return Capacity(*(a + b for a, b in zip(self, other, strict=True)))

    def covers(self, other: "Capacity") -> bool:
        """Returns whether every resource is at least that of the other."""
        return all(a >= b for a, b in zip(self, other, strict=True))


class Task:
    """The ranks of an attempt that one worker has reserved or runs.

    Attributes:
        attempt: Id of the attempt.
        ranks: Ranks on this worker.
        shape: Shape of the gang.
        state: RESERVED, RUNNING, FINISHED, FAILED or STOPPED.
        until_s: When the reservation or the lease lapses.
        error: Why it failed, empty otherwise.
        answer: The answer, None until it has finished or if another worker
            keeps it.
        payload: What the task does.
        holds_answer: Whether this worker keeps the answer.
        resumed_s: Progress of the checkpoint that it resumed from.
        share: Share of full speed that it runs at, from 0 to 1.
        started_s: When it started.
        ended_s: When it ended.
        progress_at_s: Time up to which progress has been counted.

    Times are seconds on the monotonic clock; progress is in seconds of run time
    at full speed.
    """

    def __init__(self, *, attempt: str, ranks: list[int], shape: request.Shape,
                 until_s: float):
        """Creates a reservation.

        Args:
            attempt: Id of the attempt.
            ranks: Ranks on this worker.
            shape: The gang's shape.
            until_s: When the reservation lapses, on the monotonic clock.
        """
        self.attempt = attempt
        self.ranks = ranks
        self.shape = shape
        self.state = RESERVED
        self.until_s = until_s
        self.error = ""
        self.answer: bytes | None = None
        self.payload = payload_module.Payload(0.0, b"", False, "")
        self.holds_answer = False
        self.resumed_s = 0.0
        self.share = 1.0
        self.started_s = 0.0
        self.ended_s = 0.0
        self._done_s = 0.0
        self.progress_at_s = 0.0

    @property
    def capacity(self) -> Capacity:
        """Resources that the task occupies while reserved or running."""
        task_count = len(self.ranks)
        return Capacity(self.shape.accelerators * task_count,
                        self.shape.cores * task_count,
                        self.shape.memory_gb * task_count, task_count,
                        task_count)

    @property
    def is_active(self) -> bool:
        """Whether the task is reserved or running."""
        return self.state in (RESERVED, RUNNING)

    def start(self, *, payload: payload_module.Payload, resumed_s: float,
              now_s: float, lease_s: float) -> None:
        """Turns the reservation into a running task.

        Args:
            payload: What the task does.
            resumed_s: Progress of the checkpoint, 0 without one.
            now_s: The time.
            lease_s: How long the task may run without a renewal, in seconds.
        """
        self.state = RUNNING
        self.payload = payload
        self.resumed_s = resumed_s
        self.until_s = now_s + lease_s
        self.started_s = now_s
        self.progress_at_s = now_s
        self._done_s = resumed_s

    def update_progress(self, now_s: float) -> float:
        """Counts and returns the progress, in seconds at full speed.

        Args:
            now_s: The time, not earlier than in earlier calls.
        """
        self._done_s += (now_s - self.progress_at_s) * self.share
        self.progress_at_s = now_s
        return self._done_s

    def predict_end(self) -> float:
        """Returns when the task will have finished; infinite at share 0."""
        left_s = max(0.0, self.payload.run_s - self._done_s)
        if self.payload.error or not left_s:
            return self.progress_at_s
        if not self.share:
            return math.inf
        return self.progress_at_s + left_s / self.share

    def end(self, state: str, now_s: float, error: str = "") -> None:
        """Ends the task.

        Args:
            state: FINISHED, FAILED or STOPPED.
            now_s: The time.
            error: Why it failed.
        """
        self.state = state
        self.ended_s = now_s
        self.error = error

    def compute_run_time(self, now_s: float) -> float:
        """Returns the seconds from start to end, or to now while running."""
        if self.state == RESERVED:
            return 0.0
        return (now_s
                if self.state == RUNNING else self.ended_s) - self.started_s


def parse_shape(document: Mapping[str, Any]) -> request.Shape:
    """Parses the shape of a gang.

    Args:
        document: Decoded object with Shape's fields.

    Returns:
        The shape.

    Raises:
        ProtocolError: If an amount is absent, negative or not an integer.
    """
    amounts = {
        name: fields.read_field(document, name, int)
        for name in ("tasks", "accelerators", "cores", "memory_gb")
    }
    if min(amounts.values()) < 0:
        raise errors.ProtocolError("shape has a negative amount")
    adjacent = fields.read_field(document, "adjacent", str, default="none")
    return request.Shape(**amounts, adjacent=adjacent)


def check_ranks(task: Task) -> None:
    """Checks the ranks of a reservation against its shape.

    Args:
        task: The reservation.

    Raises:
        ProtocolError: If there is no rank, or one is repeated or out of range.
    """
    valid_ranks = set(range(task.shape.tasks))
    if not task.ranks or len(set(task.ranks)) < len(task.ranks):
        raise errors.ProtocolError("ranks is empty or has duplicates")
    if not set(task.ranks) <= valid_ranks:
        raise errors.ProtocolError("ranks are out of range for the shape")


def describe_answer(task: Task) -> dict[str, Any] | None:
    """Returns length and digest of a task's answer, or None without one."""
    if task.answer is None:
        return None
    digest = hashlib.sha256(task.answer).hexdigest()
    return {"length": len(task.answer), "sha256": digest}


def describe_task(task: Task, now_s: float) -> dict[str, Any]:
    """Returns the entry of a task in the reply to `sync`."""
    return {
        "attempt": task.attempt,
        "ranks": task.ranks,
        "state": task.state,
        "ran_s": task.compute_run_time(now_s),
        "error": task.error,
        "answer": describe_answer(task),
    }
