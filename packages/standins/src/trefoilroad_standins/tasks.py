"""State of one worker and its tasks, without sockets, clock or randomness."""

from collections.abc import Mapping
import hashlib
import json
import math
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_standins import fields

RESERVED = "reserved"
RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
STOPPED = "stopped"
NEVER_STARTED = "never_started"

LEASE_LAPSED = "lease_lapsed"

VERBS = ("reserve", "start", "stop", "sync", "throttle", "forget", "answer")
# Commands that a worker can refuse, with the error it gives.
REFUSABLE = {"reserve": "no_room", "start": "refused"}


class Capacity(NamedTuple):
    """Resources of a worker, or the part of them in use.

    Attributes:
        accelerators: Number of accelerators.
        cores: Number of processor cores.
        memory_gb: Memory in GB.
        slots: Number of tasks.
        connections: Number of task connections.
    """

    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0
    slots: int = 0
    connections: int = 0

    def add(self, other: "Capacity") -> "Capacity":
        """Returns the sum of both."""
        return Capacity(*(a + b for a, b in zip(self, other, strict=True)))

    def covers(self, other: "Capacity") -> bool:
        """Tells whether every figure is at least that of the other."""
        return all(a >= b for a, b in zip(self, other, strict=True))


class Reply(NamedTuple):
    """Answer to a command.

    Attributes:
        status: HTTP status.
        document: Decoded JSON answer, or bytes of a task's answer.
    """

    status: int
    document: dict[str, Any] | bytes


class Entry(TypedDict):
    """One line of a worker's history.

    Attributes:
        event: reserve, start, finish, fail, stop or lapse.
        at_s: When it took effect, on the monotonic clock.
        worker: Id of the worker.
        boot: Boot id at that time.
        attempt: Attempt concerned.
        ranks: Ranks of the attempt on this worker.
        epoch: Highest epoch seen.
        detail: Further facts of the event.
    """

    event: str
    at_s: float
    worker: str
    boot: str
    attempt: str
    ranks: list[int]
    epoch: int
    detail: dict[str, Any]


class Payload(NamedTuple):
    """What a task does.

    Attributes:
        run_s: Run time in seconds at full share.
        answer: Bytes of the answer.
        fails: Whether the task fails at the end of its run time.
        error: Fault of the payload; the task fails at once if it is not empty.
    """

    run_s: float
    answer: bytes
    fails: bool
    error: str


class Task:
    """The part of an attempt that one worker runs."""

    def __init__(self, *, attempt: str, ranks: list[int], shape: request.Shape,
                 until_s: float):
        """Starts as a reservation.

        Args:
            attempt: Id of the attempt.
            ranks: Ranks on this worker.
            shape: The gang's shape.
            until_s: When the reservation lapses.
        """
        self.attempt = attempt
        self.ranks = ranks
        self.shape = shape
        self.state = RESERVED
        self.until_s = until_s
        self.error = ""
        self.answer: bytes | None = None
        self.payload = Payload(0.0, b"", False, "")
        self.holds_answer = False
        self.resumed_s = 0.0
        self.share = 1.0
        self.started_s = 0.0
        self.ended_s = 0.0
        self._done_s = 0.0
        self.counted_s = 0.0

    @property
    def capacity(self) -> Capacity:
        """Resources that the task takes while reserved or running."""
        count = len(self.ranks)
        return Capacity(self.shape.accelerators * count,
                        self.shape.cores * count, self.shape.memory_gb * count,
                        count, count)

    @property
    def is_active(self) -> bool:
        """Whether the task is reserved or running."""
        return self.state in (RESERVED, RUNNING)

    def begin(self, *, payload: Payload, resumed_s: float, now_s: float,
              lease_s: float) -> None:
        """Turns the reservation into a running task.

        Args:
            payload: What to do.
            resumed_s: Work done before, at full share.
            now_s: The time.
            lease_s: How long the task may run without renewal.
        """
        self.state = RUNNING
        self.payload = payload
        self.resumed_s = resumed_s
        self.until_s = now_s + lease_s
        self.started_s = now_s
        self.counted_s = now_s
        self._done_s = resumed_s

    def count_work(self, now_s: float) -> float:
        """Returns the work done so far, in seconds at full share.

        Args:
            now_s: The time; does not go back.
        """
        self._done_s += (now_s - self.counted_s) * self.share
        self.counted_s = now_s
        return self._done_s

    def predict_end(self) -> float:
        """Returns when the run time is over; infinite at share 0."""
        left_s = max(0.0, self.payload.run_s - self._done_s)
        if self.payload.error or not left_s:
            return self.counted_s
        if not self.share:
            return math.inf
        return self.counted_s + left_s / self.share

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

    def measure_run(self, now_s: float) -> float:
        """Returns the seconds from start to end, or to now."""
        if self.state == RESERVED:
            return 0.0
        return (now_s
                if self.state == RUNNING else self.ended_s) - self.started_s


class Checkpoints:
    """Progress of stopped tasks; stands for the object store's part.

    Members of a gang save their own part. A checkpoint is complete once every
    rank of the gang is in it.
    """

    def __init__(self) -> None:
        self._saved: dict[str, dict[int, float]] = {}
        self._sizes: dict[str, int] = {}

    def save(self, task: Task, done_s: float) -> None:
        """Stores the progress of a task's ranks.

        Args:
            task: The stopped task.
            done_s: Work done, in seconds at full share.
        """
        ranks = self._saved.setdefault(task.attempt, {})
        ranks.update(dict.fromkeys(task.ranks, done_s))
        self._sizes[task.attempt] = task.shape.tasks

    def load(self, key: str) -> float | None:
        """Returns the progress that all ranks have reached.

        Args:
            key: Object key; the part after the last slash is the attempt.

        Returns:
            Seconds at full share, or None if unknown or incomplete.
        """
        attempt = key.rpartition("/")[2]
        ranks = self._saved.get(attempt, {})
        if not ranks or len(ranks) < self._sizes[attempt]:
            return None
        return min(ranks.values())


class Tombstone(NamedTuple):
    """What is left of an attempt that is refused from now on.

    Attributes:
        state: Answer to a repeated stop.
        checkpoint: Whether a checkpoint was saved.
    """

    state: str
    checkpoint: bool


def parse_payload(payload: Any, *, attempt: str, ranks: list[int]) -> Payload:
    """Reads a payload; a wrong one makes a task that fails at once.

    Args:
        payload: Decoded JSON as the caller sent it.
        attempt: Id of the attempt, named in the default answer.
        ranks: Ranks of the task.

    Returns:
        What the task does.
    """
    digest = hashlib.sha256(json.dumps(payload,
                                       sort_keys=True).encode()).hexdigest()
    default = json.dumps({"attempt": attempt, "payload_sha256": digest})
    try:
        if not isinstance(payload, dict):
            raise errors.ProtocolError("payload is not an object")
        run_s = fields.read_seconds(payload, "run_s", default=0.0)
        answer = fields.read_field(payload, "answer", str, default=default)
        fail = fields.read_field(payload, "fail", bool, default=False)
        fail_ranks = fields.read_integers(payload, "fail_ranks", default=[])
        encoded = answer.encode()
    except (errors.ProtocolError, UnicodeEncodeError) as error:
        return Payload(0.0, b"", True, str(error))
    fails = bool(set(fail_ranks) & set(ranks)) if fail_ranks else fail
    return Payload(run_s, encoded, fails, "")


class Machine:
    """One worker: answers commands and ends tasks when their time comes."""

    def __init__(self,
                 *,
                 worker_id: str,
                 capacity: Capacity,
                 boot: str,
                 checkpoints: Checkpoints,
                 usage_lag_s: float = 0.0):
        """Starts empty.

        Args:
            worker_id: Id of the worker.
            capacity: Resources of the worker.
            boot: Boot id.
            checkpoints: Where progress of stopped tasks is kept.
            usage_lag_s: Age of the usage that `sync` reports.
        """
        self.worker_id = worker_id
        self.leaving = False
        self._fails_everything = False
        self._capacity = capacity
        self._checkpoints = checkpoints
        self._usage_lag_s = usage_lag_s
        self._history: list[Entry] = []
        self._clear(boot)

    def _clear(self, boot: str) -> None:
        self.boot = boot
        self._epoch = 0
        self._now_s = 0.0
        self._asof_s = 0.0
        self._tasks: dict[str, Task] = {}
        self._tombstones: dict[str, Tombstone] = {}
        self._usage: list[tuple[float, Capacity]] = [(-math.inf, Capacity())]

    def fail_everything(self, fails: bool, now_s: float) -> None:
        """Makes running and later tasks fail at once, or ends that.

        Args:
            fails: Whether tasks fail.
            now_s: The time.
        """
        self.advance(now_s)
        for task in self._tasks.values():
            if task.state == RUNNING:
                task.count_work(now_s)
        self._fails_everything = fails
        self.advance(now_s)

    def restart(self, boot: str, now_s: float) -> None:
        """Loses all memory, as a restarted process does.

        Args:
            boot: New boot id.
            now_s: The time.
        """
        self.advance(now_s)
        lost = [task for task in self._tasks.values() if task.is_active]
        for task in lost:
            self._record(
                "stop",
                task,
                now_s,
                state=STOPPED if task.state == RUNNING else NEVER_STARTED,
                checkpoint=False,
                reason="restart")
        self._clear(boot)

    def take_history(self) -> list[Entry]:
        """Returns the entries since the last call."""
        history, self._history = self._history, []
        return history

    def predict_change(self) -> float:
        """Returns when `advance` has something to do, infinite if never."""
        times = [
            self._predict_end(task)
            for task in self._tasks.values()
            if task.is_active
        ]
        return min(times, default=math.inf)

    def advance(self, now_s: float) -> None:
        """Ends all tasks and reservations whose time has come, in order.

        Args:
            now_s: The time on a monotonic clock, in seconds.
        """
        while True:
            active = [task for task in self._tasks.values() if task.is_active]
            due = min(active, key=self._predict_end, default=None)
            if due is None or self._predict_end(due) > now_s:
                return
            self._end_task(due, self._predict_end(due))

    def _predict_end(self, task: Task) -> float:
        if task.state == RESERVED:
            return task.until_s
        end_s = task.counted_s if self._fails_everything else task.predict_end()
        return min(task.until_s, end_s)

    def _end_task(self, task: Task, due_s: float) -> None:
        if task.state == RESERVED:
            del self._tasks[task.attempt]
            self._record("lapse", task, due_s, state=RESERVED)
        elif due_s >= task.until_s:
            task.count_work(due_s)
            task.end(FAILED, due_s, LEASE_LAPSED)
            self._record("lapse", task, due_s, state=RUNNING)
        elif self._fails_everything:
            self._fail(task, due_s, "worker fails everything")
        elif task.payload.error or task.payload.fails:
            self._fail(task, due_s, task.payload.error or "payload fails")
        else:
            self._finish(task, due_s)
        self._note_usage(due_s)

    def _fail(self, task: Task, due_s: float, error: str) -> None:
        task.end(FAILED, due_s, error)
        self._record("fail", task, due_s, error=error)

    def _finish(self, task: Task, due_s: float) -> None:
        task.end(FINISHED, due_s)
        if task.holds_answer:
            task.answer = task.payload.answer
        self._record("finish", task, due_s, answer=describe_answer(task))

    def _record(self, event: str, task: Task, at_s: float,
                **detail: Any) -> None:
        self._history.append(
            Entry(event=event,
                  at_s=at_s,
                  worker=self.worker_id,
                  boot=self.boot,
                  attempt=task.attempt,
                  ranks=task.ranks,
                  epoch=self._epoch,
                  detail=detail))

    def _count_usage(self) -> Capacity:
        total = Capacity()
        for task in self._tasks.values():
            if task.is_active:
                total = total.add(task.capacity)
        return total

    def _note_usage(self, now_s: float) -> None:
        self._usage.append((now_s, self._count_usage()))

    def _report_usage(self, now_s: float) -> dict[str, int]:
        seen_s = now_s - self._usage_lag_s
        while len(self._usage) > 1 and self._usage[1][0] <= seen_s:
            del self._usage[0]
        return self._usage[0][1]._asdict()

    def handle(self, verb: str, body: Mapping[str, Any], now_s: float) -> Reply:
        """Carries out a command.

        Args:
            verb: Last part of the command's path.
            body: Decoded body.
            now_s: The time on a monotonic clock, in seconds.

        Returns:
            The answer, which names the boot id.

        Raises:
            ProtocolError: If the verb is unknown or the body is wrong.
        """
        commands = {
            "reserve": self._reserve,
            "start": self._start,
            "stop": self._stop,
            "sync": self._sync,
            "throttle": self._throttle,
            "forget": self._forget,
            "answer": self._answer,
        }
        if verb not in commands:
            raise errors.ProtocolError(f"unknown command {verb}")
        epoch = fields.read_field(body, "epoch", int)
        self.advance(now_s)
        self._now_s = now_s
        if epoch < self._epoch:
            return self._refuse("stale_epoch", epoch=self._epoch)
        asof_s = fields.read_seconds(body, "asof_s", default=now_s)
        asof_boot = fields.read_field(body, "asof_boot", str, default=self.boot)
        if asof_boot != self.boot:
            return self._refuse("stale_clock")
        # Times count from the clock reading that the sender knew, so that a
        # command that was delayed cannot grant more than its sender meant.
        self._asof_s = min(asof_s, now_s)
        reply = commands[verb](body, now_s, epoch)
        # Tasks without run time end with the command that starts them.
        self.advance(now_s)
        return reply

    def _accept(self, **document: Any) -> Reply:
        return Reply(200, {**document, **self._identify()})

    def _refuse(self, error: str, status: int = 409, **document: Any) -> Reply:
        return Reply(status, {"error": error, **document, **self._identify()})

    def _identify(self) -> dict[str, Any]:
        return {"boot": self.boot, "clock_s": self._now_s}

    def _reserve(self, body: Mapping[str, Any], now_s: float,
                 epoch: int) -> Reply:
        attempt = fields.read_field(body, "attempt", str)
        ttl_s = fields.read_seconds(body, "ttl_s")
        task = Task(attempt=attempt,
                    ranks=fields.read_integers(body, "ranks"),
                    shape=parse_shape(fields.read_field(body, "shape", dict)),
                    until_s=self._asof_s + ttl_s)
        check_ranks(task)
        self._epoch = epoch
        if task.until_s <= now_s:
            return self._refuse("stale_clock")
        if attempt in self._tombstones:
            return self._refuse("refused")
        known = self._tasks.get(attempt)
        if known and (known.ranks, known.shape) != (task.ranks, task.shape):
            raise errors.ProtocolError("attempt is known with other ranks")
        if known and known.state != RESERVED:
            return self._accept(ok=True)
        if self.leaving:
            return self._refuse("leaving")
        if known:
            known.until_s = max(known.until_s, task.until_s)
            return self._accept(ok=True)
        if not self._capacity.covers(self._count_usage().add(task.capacity)):
            return self._refuse("no_room")
        self._tasks[attempt] = task
        self._record("reserve",
                     task,
                     now_s,
                     ttl_s=ttl_s,
                     shape=task.shape._asdict())
        self._note_usage(now_s)
        return self._accept(ok=True)

    def _start(self, body: Mapping[str, Any], now_s: float,
               epoch: int) -> Reply:
        attempt = fields.read_field(body, "attempt", str)
        lease_s = fields.read_seconds(body, "lease_s")
        holds_answer = fields.read_field(body, "answer", bool)
        resume = fields.read_field(body, "resume", (str, type(None)))
        payload = fields.read_field(body, "payload", object)
        self._epoch = epoch
        if attempt in self._tombstones:
            return self._refuse("refused")
        task = self._tasks.get(attempt)
        if task is None:
            return self._refuse("no_reservation")
        if task.state != RESERVED:
            return self._accept(ok=True)
        if self._asof_s + lease_s <= now_s:
            return self._refuse("stale_clock")
        done_s = 0.0 if resume is None else self._checkpoints.load(resume)
        parsed = parse_payload(payload, attempt=attempt, ranks=task.ranks)
        if done_s is None:
            error = f"checkpoint {resume} is unknown or incomplete"
            parsed = parsed._replace(error=error)
        task.holds_answer = holds_answer
        task.begin(payload=parsed,
                   resumed_s=done_s or 0.0,
                   now_s=now_s,
                   lease_s=self._asof_s + lease_s - now_s)
        self._record("start",
                     task,
                     now_s,
                     lease_s=lease_s,
                     resume=resume,
                     tasks=task.shape.tasks)
        return self._accept(ok=True)

    def _stop(self, body: Mapping[str, Any], now_s: float, epoch: int) -> Reply:
        attempt = fields.read_field(body, "attempt", str)
        wants_checkpoint = fields.read_field(body, "checkpoint", bool)
        self._epoch = epoch
        if attempt not in self._tombstones:
            tombstone = self._stop_task(attempt, wants_checkpoint, now_s)
            self._tombstones[attempt] = tombstone
        return self._accept(**self._tombstones[attempt]._asdict())

    def _stop_task(self, attempt: str, wants_checkpoint: bool,
                   now_s: float) -> Tombstone:
        task = self._tasks.get(attempt)
        if task is None:
            return Tombstone(NEVER_STARTED, False)
        if task.error == LEASE_LAPSED:
            return Tombstone(STOPPED, False)
        if not task.is_active:
            return Tombstone(FINISHED, False)
        state = NEVER_STARTED if task.state == RESERVED else STOPPED
        saves = wants_checkpoint and state == STOPPED
        if saves:
            self._checkpoints.save(task, task.count_work(now_s))
        del self._tasks[attempt]
        self._record("stop", task, now_s, state=state, checkpoint=saves)
        self._note_usage(now_s)
        return Tombstone(state, saves)

    def _sync(self, body: Mapping[str, Any], now_s: float, epoch: int) -> Reply:
        lease_s = fields.read_seconds(body, "lease_s")
        renew = fields.read_strings(body, "renew")
        self._epoch = epoch
        for attempt in renew:
            task = self._tasks.get(attempt)
            if task and task.state == RUNNING:
                task.until_s = max(task.until_s, self._asof_s + lease_s)
        return self._accept(
            leaving=self.leaving,
            tasks=[describe_task(task, now_s) for task in self._tasks.values()],
            usage=self._report_usage(now_s))

    def _throttle(self, body: Mapping[str, Any], now_s: float,
                  epoch: int) -> Reply:
        attempt = fields.read_field(body, "attempt", str)
        share = fields.read_seconds(body, "share")
        if share > 1:
            raise errors.ProtocolError("share is above 1")
        self._epoch = epoch
        task = self._tasks.get(attempt)
        if task and task.state == RUNNING:
            task.count_work(now_s)
            task.share = share
        return self._accept(ok=True)

    def _forget(self, body: Mapping[str, Any], now_s: float,
                epoch: int) -> Reply:
        attempts = fields.read_strings(body, "attempts")
        self._epoch = epoch
        for attempt in attempts:
            task = self._tasks.get(attempt)
            if task is None or task.is_active:
                continue
            # A late repeat of the reservation must not run it again.
            tombstone = self._stop_task(attempt, False, now_s)
            self._tombstones.setdefault(attempt, tombstone)
            del self._tasks[attempt]
        return self._accept(ok=True)

    def _answer(self, body: Mapping[str, Any], now_s: float,
                epoch: int) -> Reply:
        del now_s  # Not used by this command.
        attempt = fields.read_field(body, "attempt", str)
        self._epoch = epoch
        task = self._tasks.get(attempt)
        if task is None or task.answer is None:
            return self._refuse("unknown_attempt", 404)
        return Reply(200, task.answer)


def parse_shape(document: Mapping[str, Any]) -> request.Shape:
    """Reads the shape of a gang.

    Args:
        document: Decoded object with Shape's fields.

    Returns:
        The shape.

    Raises:
        ProtocolError: If a figure is absent, negative or not an integer.
    """
    figures = {
        name: fields.read_field(document, name, int)
        for name in ("tasks", "accelerators", "cores", "memory_gb")
    }
    if min(figures.values()) < 0:
        raise errors.ProtocolError("shape has a negative figure")
    adjacent = fields.read_field(document, "adjacent", str, default="none")
    return request.Shape(**figures, adjacent=adjacent)


def check_ranks(task: Task) -> None:
    """Checks the ranks of a reservation against its shape.

    Args:
        task: The reservation.

    Raises:
        ProtocolError: If there is no rank, one twice, or one out of range.
    """
    known = set(range(task.shape.tasks))
    if not task.ranks or len(set(task.ranks)) < len(task.ranks):
        raise errors.ProtocolError("ranks is empty or names one twice")
    if not set(task.ranks) <= known:
        raise errors.ProtocolError("ranks are not in the shape")


def describe_answer(task: Task) -> dict[str, Any] | None:
    """Returns length and digest of a task's answer, or None."""
    if task.answer is None:
        return None
    digest = hashlib.sha256(task.answer).hexdigest()
    return {"length": len(task.answer), "sha256": digest}


def describe_task(task: Task, now_s: float) -> dict[str, Any]:
    """Returns a task's part of the answer to `sync`."""
    return {
        "attempt": task.attempt,
        "ranks": task.ranks,
        "state": task.state,
        "ran_s": task.measure_run(now_s),
        "error": task.error,
        "answer": describe_answer(task),
    }
