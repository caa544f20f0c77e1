"""State machine of one worker, without sockets, clock or randomness."""

from collections.abc import Mapping
import hashlib
import json
import math
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from trefoilroad_core import errors
from trefoilroad_standins import checkpoints as checkpoints_module
from trefoilroad_standins import fields
from trefoilroad_standins import payload as payload_module
from trefoilroad_standins import tasks

COMMANDS = ("reserve", "start", "stop", "sync", "throttle", "forget", "answer")
DIGEST_HEX_DIGITS = 16
# Commands that a fault rule can refuse, with the error in the answer.
REFUSAL_ERRORS = {"reserve": "no_room", "start": "refused"}


class CommandReply(NamedTuple):
    """Reply to a command.

    Attributes:
        status: HTTP status.
        document: JSON object to send, or the bytes of a task's answer.
    """

    status: int
    document: dict[str, Any] | bytes


class HistoryEntry(TypedDict):
    """One line of a worker's history.

    Attributes:
        event: reserve, start, finish, fail, stop or lapse.
        at_s: When it took effect, on the monotonic clock, in seconds.
        worker: Id of the worker.
        boot: Boot id at that time.
        attempt: Id of the attempt.
        ranks: Ranks of the attempt on this worker, empty if the worker has no
            such attempt.
        epoch: Highest epoch that the worker has accepted a command of.
        detail: Further fields that depend on the event.
    """

    event: str
    at_s: float
    worker: str
    boot: str
    attempt: str
    ranks: list[int]
    epoch: int
    detail: dict[str, Any]


class Tombstone(NamedTuple):
    """Record of an ended attempt.

    The worker refuses further reservations and starts of the attempt, and
    answers a repeated stop from this record.

    Attributes:
        state: State to return to a repeated stop.
        checkpoint: Whether a checkpoint was saved.
    """

    state: str
    checkpoint: bool


class WorkerState:
    """Tasks of one worker: carries out commands and ends tasks on time."""

    def __init__(self,
                 *,
                 worker_id: str,
                 capacity: tasks.Capacity,
                 boot: str,
                 checkpoints: checkpoints_module.CheckpointStore,
                 usage_lag_s: float = 0.0):
        """Creates a worker without tasks.

        Args:
            worker_id: Id of the worker.
            capacity: Resources of the worker.
            boot: Boot id, which a restart replaces.
            checkpoints: Store of the progress of stopped tasks.
            usage_lag_s: Age of the usage that `sync` reports, in seconds.
        """
        self.worker_id = worker_id
        self.leaving = False
        self._fails_all_tasks = False
        self._capacity = capacity
        self._checkpoints = checkpoints
        self._usage_lag_s = usage_lag_s
        self._history: list[HistoryEntry] = []
        self._reset(boot)

    def _reset(self, boot: str) -> None:
        self.boot = boot
        self._epoch = 0
        self._now_s = 0.0
        self._asof_s = 0.0
        self._tasks: dict[str, tasks.Task] = {}
        self._tombstones: dict[str, Tombstone] = {}
        self._usage: list[tuple[float, tasks.Capacity]] = [(-math.inf,
                                                            tasks.Capacity())]

    def fail_everything(self, fails: bool, now_s: float) -> None:
        """Sets whether running and later tasks fail at once.

        Args:
            fails: Whether tasks fail.
            now_s: The time on a monotonic clock, in seconds.
        """
        self.advance(now_s)
        for task in self._tasks.values():
            if task.state == tasks.RUNNING:
                task.update_progress(now_s)
        self._fails_all_tasks = fails
        self.advance(now_s)

    def restart(self, boot: str, now_s: float) -> None:
        """Discards all tasks and tombstones, as a restarted process does.

        Args:
            boot: New boot id.
            now_s: The time on a monotonic clock, in seconds.
        """
        self.advance(now_s)
        lost = [task for task in self._tasks.values() if task.is_active]
        for task in lost:
            self._record_task("stop",
                              task,
                              now_s,
                              state=get_stopped_state(task),
                              checkpoint=False,
                              reason="restart")
        self._reset(boot)

    def take_history(self) -> list[HistoryEntry]:
        """Returns the history entries that were added since the last call."""
        history, self._history = self._history, []
        return history

    def predict_change(self) -> float:
        """Returns when the next task or reservation ends, infinite if none."""
        times = [
            self._predict_end(task)
            for task in self._tasks.values()
            if task.is_active
        ]
        return min(times, default=math.inf)

    def advance(self, now_s: float) -> None:
        """Ends all tasks and reservations that are due, in the order of time.

        Args:
            now_s: The time on a monotonic clock, in seconds.
        """
        while True:
            active = [task for task in self._tasks.values() if task.is_active]
            due = min(active, key=self._predict_end, default=None)
            if due is None or self._predict_end(due) > now_s:
                return
            self._end_task(due, self._predict_end(due))

    def _predict_end(self, task: tasks.Task) -> float:
        if task.state == tasks.RESERVED:
            return task.until_s
        end_s = (task.progress_at_s
                 if self._fails_all_tasks else task.predict_end())
        return min(task.until_s, end_s)

    def _end_task(self, task: tasks.Task, due_s: float) -> None:
        if task.state == tasks.RESERVED:
            del self._tasks[task.attempt]
            self._record_task("lapse", task, due_s, state=tasks.RESERVED)
        elif due_s >= task.until_s:
            task.update_progress(due_s)
            task.end(tasks.FAILED, due_s, tasks.LEASE_LAPSED)
            self._record_task("lapse", task, due_s, state=tasks.RUNNING)
        elif self._fails_all_tasks:
            self._fail(task, due_s, "worker fails all tasks")
        elif task.payload.error or task.payload.fails:
            self._fail(task, due_s, task.payload.error or "payload fails")
        else:
            self._finish(task, due_s)
        self._record_usage(due_s)

    def _fail(self, task: tasks.Task, due_s: float, error: str) -> None:
        task.end(tasks.FAILED, due_s, error)
        self._record_task("fail", task, due_s, error=error)

    def _finish(self, task: tasks.Task, due_s: float) -> None:
        task.end(tasks.FINISHED, due_s)
        if task.holds_answer:
            task.answer = task.payload.answer
        self._record_task("finish",
                          task,
                          due_s,
                          answer=tasks.describe_answer(task))

    def _record_task(self, event: str, task: tasks.Task, at_s: float,
                     **detail: Any) -> None:
        self._record(event, task.attempt, task.ranks, at_s, **detail)

    def _record(self, event: str, attempt: str, ranks: list[int], at_s: float,
                **detail: Any) -> None:
        self._history.append(
            HistoryEntry(event=event,
                         at_s=at_s,
                         worker=self.worker_id,
                         boot=self.boot,
                         attempt=attempt,
                         ranks=ranks,
                         epoch=self._epoch,
                         detail=detail))

    def _count_usage(self) -> tasks.Capacity:
        total = tasks.Capacity()
        for task in self._tasks.values():
            if task.is_active:
                total = total.add(task.capacity)
        return total

    def _record_usage(self, now_s: float) -> None:
        self._usage.append((now_s, self._count_usage()))

    def _report_usage(self, now_s: float) -> dict[str, int]:
        seen_s = now_s - self._usage_lag_s
        while len(self._usage) > 1 and self._usage[1][0] <= seen_s:
            del self._usage[0]
        return self._usage[0][1]._asdict()

    def handle(self, verb: str, body: Mapping[str, Any],
               now_s: float) -> CommandReply:
        """Carries out a command.

        Args:
            verb: One of COMMANDS, the last part of the command's path.
            body: Decoded body.
            now_s: The time on a monotonic clock, in seconds.

        Returns:
            The reply; JSON replies contain the boot id.

        Raises:
            ProtocolError: If the verb is unknown or the body is invalid.
        """
        handlers = {
            "reserve": self._reserve,
            "start": self._start,
            "stop": self._stop,
            "sync": self._sync,
            "throttle": self._throttle,
            "forget": self._forget,
            "answer": self._answer,
        }
        if verb not in handlers:
            raise errors.ProtocolError(f"unknown command {verb}")
        epoch = fields.read_field(body, "epoch", int)
        self.advance(now_s)
        self._now_s = now_s
        if epoch < self._epoch:
            return self._refuse("stale_epoch", epoch=self._epoch)
        asof_s = fields.read_nonnegative(body, "asof_s", default=now_s)
        asof_boot = fields.read_field(body, "asof_boot", str, default=self.boot)
        if asof_boot != self.boot:
            return self._refuse("stale_clock")
        # Leases and reservations count from the worker's clock reading that
        # the command was based on (`asof_s`), so that a delayed command does
        # not extend them beyond what its sender granted.
        self._asof_s = min(asof_s, now_s)
        reply = handlers[verb](body, now_s, epoch)
        # Tasks with a run time of 0 end within the command that starts them.
        self.advance(now_s)
        return reply

    def refuse(self, verb: str) -> CommandReply:
        """Returns a refusal; the command has no effect.

        Args:
            verb: A key of REFUSAL_ERRORS.

        Returns:
            The refusal.
        """
        return self._refuse(REFUSAL_ERRORS[verb])

    def _accept(self, **document: Any) -> CommandReply:
        return CommandReply(200, {**document, **self._identify()})

    def _refuse(self,
                error: str,
                status: int = 409,
                **document: Any) -> CommandReply:
        return CommandReply(status, {
            "error": error,
            **document,
            **self._identify()
        })

    def _identify(self) -> dict[str, Any]:
        return {"boot": self.boot, "clock_s": self._now_s}

    def _reserve(self, body: Mapping[str, Any], now_s: float,
                 epoch: int) -> CommandReply:
        attempt = fields.read_field(body, "attempt", str)
        ttl_s = fields.read_nonnegative(body, "ttl_s")
        task = tasks.Task(attempt=attempt,
                          ranks=fields.read_integers(body, "ranks"),
                          shape=tasks.parse_shape(
                              fields.read_field(body, "shape", dict)),
                          until_s=self._asof_s + ttl_s)
        tasks.check_ranks(task)
        self._epoch = epoch
        if task.until_s <= now_s:
            return self._refuse("stale_clock")
        if attempt in self._tombstones:
            return self._refuse("refused")
        existing = self._tasks.get(attempt)
        if existing and (existing.ranks, existing.shape) != (task.ranks,
                                                             task.shape):
            raise errors.ProtocolError(
                "attempt exists with other ranks or another shape")
        if existing and existing.state != tasks.RESERVED:
            return self._accept(ok=True)
        if self.leaving:
            return self._refuse("leaving")
        if existing:
            existing.until_s = max(existing.until_s, task.until_s)
            return self._accept(ok=True)
        if not self._capacity.covers(self._count_usage().add(task.capacity)):
            return self._refuse("no_room")
        self._tasks[attempt] = task
        self._record_task("reserve",
                          task,
                          now_s,
                          ttl_s=ttl_s,
                          shape=task.shape._asdict())
        self._record_usage(now_s)
        return self._accept(ok=True)

    def _start(self, body: Mapping[str, Any], now_s: float,
               epoch: int) -> CommandReply:
        attempt = fields.read_field(body, "attempt", str)
        lease_s = fields.read_nonnegative(body, "lease_s")
        holds_answer = fields.read_field(body, "answer", bool)
        resume = fields.read_field(body, "resume", (str, type(None)))
        payload = fields.read_field(body, "payload", object)
        self._epoch = epoch
        if attempt in self._tombstones:
            return self._refuse("refused")
        task = self._tasks.get(attempt)
        if task is None:
            return self._refuse("no_reservation")
        if task.state != tasks.RESERVED:
            return self._accept(ok=True)
        if self._asof_s + lease_s <= now_s:
            return self._refuse("stale_clock")
        done_s = 0.0 if resume is None else self._checkpoints.load(resume)
        parsed = payload_module.parse_payload(payload,
                                              attempt=attempt,
                                              ranks=task.ranks)
        if done_s is None:
            error = f"checkpoint {resume} is unknown or incomplete"
            parsed = parsed._replace(error=error)
        task.holds_answer = holds_answer
        task.start(payload=parsed,
                   resumed_s=done_s or 0.0,
                   now_s=now_s,
                   lease_s=self._asof_s + lease_s - now_s)
        self._record_task("start",
                          task,
                          now_s,
                          lease_s=lease_s,
                          resume=resume,
                          tasks=task.shape.tasks)
        return self._accept(ok=True)

    def _stop(self, body: Mapping[str, Any], now_s: float,
              epoch: int) -> CommandReply:
        attempt = fields.read_field(body, "attempt", str)
        checkpoint_requested = fields.read_field(body, "checkpoint", bool)
        self._epoch = epoch
        if attempt not in self._tombstones:
            task = self._tasks.get(attempt)
            ranks = task.ranks if task else []
            tombstone = self._stop_task(attempt, checkpoint_requested, now_s)
            self._tombstones[attempt] = tombstone
            self._record("stop", attempt, ranks, now_s, **tombstone._asdict())
        return self._accept(**self._tombstones[attempt]._asdict())

    def _stop_task(self, attempt: str, checkpoint_requested: bool,
                   now_s: float) -> Tombstone:
        task = self._tasks.get(attempt)
        if task is None:
            return Tombstone(tasks.NEVER_STARTED, False)
        if not task.is_active:
            return build_tombstone(task)
        is_saved = checkpoint_requested and task.state == tasks.RUNNING
        if is_saved:
            part = checkpoints_module.CheckpointPart(
                task.shape.tasks, task.ranks, task.update_progress(now_s))
            self._checkpoints.save(attempt, part)
        del self._tasks[attempt]
        self._record_usage(now_s)
        return Tombstone(get_stopped_state(task), is_saved)

    def _sync(self, body: Mapping[str, Any], now_s: float,
              epoch: int) -> CommandReply:
        lease_s = fields.read_nonnegative(body, "lease_s")
        renew = fields.read_strings(body, "renew")
        self._epoch = epoch
        for attempt in renew:
            task = self._tasks.get(attempt)
            if task and task.state == tasks.RUNNING:
                task.until_s = max(task.until_s, self._asof_s + lease_s)
        seen = fields.read_field(body, "seen", str, default="")
        digest = self._compute_digest()
        if seen == digest:
            return self._accept(leaving=self.leaving, unchanged=True)
        return self._accept(leaving=self.leaving,
                            digest=digest,
                            tasks=[
                                tasks.describe_task(task, now_s)
                                for task in self._tasks.values()
                            ],
                            usage=self._report_usage(now_s))

    def _compute_digest(self) -> str:
        """Returns a digest of the boot id and the states of all tasks."""
        states = [(task.attempt, task.state) for task in self._tasks.values()]
        text = json.dumps([self.boot, states])
        return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]

    def _throttle(self, body: Mapping[str, Any], now_s: float,
                  epoch: int) -> CommandReply:
        attempt = fields.read_field(body, "attempt", str)
        share = fields.read_nonnegative(body, "share")
        if share > 1:
            raise errors.ProtocolError("share is above 1")
        self._epoch = epoch
        task = self._tasks.get(attempt)
        if task and task.state == tasks.RUNNING:
            task.update_progress(now_s)
            task.share = share
        return self._accept(ok=True)

    def _forget(self, body: Mapping[str, Any], now_s: float,
                epoch: int) -> CommandReply:
        del now_s  # Not used by this command.
        attempts = fields.read_strings(body, "attempts")
        self._epoch = epoch
        for attempt in attempts:
            task = self._tasks.get(attempt)
            if task is None or task.is_active:
                continue
            # A delayed repeat of the reservation must not run it again.
            self._tombstones.setdefault(attempt, build_tombstone(task))
            del self._tasks[attempt]
        return self._accept(ok=True)

    def _answer(self, body: Mapping[str, Any], now_s: float,
                epoch: int) -> CommandReply:
        del now_s  # Not used by this command.
        attempt = fields.read_field(body, "attempt", str)
        self._epoch = epoch
        task = self._tasks.get(attempt)
        if task is None or task.answer is None:
            return self._refuse("unknown_attempt", 404)
        return CommandReply(200, task.answer)


def get_stopped_state(task: tasks.Task) -> str:
    """Returns the state that a stop reports for an active task."""
    ran = task.state == tasks.RUNNING
    return tasks.STOPPED if ran else tasks.NEVER_STARTED


def build_tombstone(task: tasks.Task) -> Tombstone:
    """Builds the tombstone of a task that has ended by itself."""
    lapsed = task.error == tasks.LEASE_LAPSED
    return Tombstone(tasks.STOPPED if lapsed else tasks.FINISHED, False)
