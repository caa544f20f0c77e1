"""The owner's state of each worker: reachability, boot id, open commands."""

from collections.abc import Iterable
import heapq
from typing import Any
from typing import NamedTuple

from trefoilroad_core import events
from trefoilroad_core import fleet
from trefoilroad_core import limits


class OpenCommand(NamedTuple):
    """A command that was sent and has no reply yet.

    Attributes:
        worker_id: Worker that it was sent to.
        path: Path of the worker protocol.
        request_id: Request that it is about, or empty.
        attempt: Number of the attempt that it is about, or 0.
        sent_s: Owner's time when it was sent.
    """

    worker_id: str
    path: str
    request_id: str
    attempt: int
    sent_s: float


class TrackedWorker:
    """State of one worker, from the VM list and its own replies.

    Attributes:
        worker: Latest entry of the VM list.
        listed: Whether the VM list still names the worker.
        listed_s: Owner's time when the VM list named it last.
        leaving: Whether the worker itself reported that it is leaving.
        boot: Boot id of the latest reply, or None.
        clock_s: Worker's clock in the latest reply, or None.
        replied_s: Owner's time when that reply arrived.
        digest: Worker's digest of the latest report, or empty.
        tasks: Tasks of the latest report.
        synced: Whether a sync succeeded under this owner's epoch.
        next_sync_s: Owner's time of the next sync.
        sync_command_id: Identifier of the open sync, or None.
    """

    def __init__(self, *, worker: fleet.Worker):
        self.worker = worker
        self.listed = True
        self.listed_s = float("-inf")
        self.leaving = False
        self.boot: str | None = None
        self.clock_s: float | None = None
        self.replied_s = float("-inf")
        self.digest = ""
        self.tasks: list[dict[str, Any]] = []
        self.synced = False
        self.next_sync_s = float("-inf")
        self.sync_command_id: int | None = None

    def is_usable(self, now_s: float, max_silence_s: float) -> bool:
        """Tells whether the worker may get new tasks."""
        return (self.listed and self.synced and not self.leaving and
                not self.worker.leaving and
                now_s - self.replied_s < max_silence_s)


class TrackedWorkers:
    """Builds commands to workers and tracks the replies.

    A command carries the worker's own clock reading from its latest reply
    (`asof_s`), and durations on the worker count from that reading. A command
    that is delivered late therefore cannot extend a lease beyond the time that
    the owner computes.

    Attributes:
        by_worker: State of each worker, by worker id.
    """

    def __init__(self, *, epoch: int, bounds: limits.Limits):
        self._epoch = epoch
        self._bounds = bounds
        self._next_id = 0
        self._open: dict[int, OpenCommand] = {}
        self.by_worker: dict[str, TrackedWorker] = {}

    def update(self, workers: Iterable[fleet.Worker], now_s: float) -> None:
        """Applies a new reading of the VM list."""
        listed = {worker.worker_id: worker for worker in workers}
        for worker_id, worker in listed.items():
            tracked = self.by_worker.get(worker_id)
            if tracked is None:
                tracked = TrackedWorker(worker=worker)
                self.by_worker[worker_id] = tracked
            tracked.worker = worker
            tracked.listed_s = now_s
        for worker_id, tracked in self.by_worker.items():
            tracked.listed = worker_id in listed

    def remove(self, worker_ids: Iterable[str]) -> None:
        """Removes workers that are gone and have no tasks left to resolve."""
        for worker_id in worker_ids:
            del self.by_worker[worker_id]

    def send(self,
             worker_id: str,
             path: str,
             body: dict[str, Any],
             *,
             now_s: float,
             timeout_s: float,
             request_id: str = "",
             attempt: int = 0) -> events.Command:
        """Builds a command and registers it as open.

        Args:
            worker_id: Worker that the command is for.
            path: Path of the worker protocol.
            body: JSON object without the epoch and the clock.
            now_s: Owner's time in seconds.
            timeout_s: Time after which the command counts as lost.
            request_id: Request that it is about, if any.
            attempt: Number of the attempt that it is about, if any.

        Returns:
            The effect that sends the command.
        """
        self._next_id += 1
        self._open[self._next_id] = OpenCommand(worker_id=worker_id,
                                                path=path,
                                                request_id=request_id,
                                                attempt=attempt,
                                                sent_s=now_s)
        tracked = self.by_worker.get(worker_id)
        fields = {"epoch": self._epoch}
        if tracked is not None and tracked.clock_s is not None:
            fields["asof_s"] = tracked.clock_s  # type: ignore[assignment]
            fields["asof_boot"] = tracked.boot  # type: ignore[assignment]
        return events.Command(command_id=self._next_id,
                              worker_id=worker_id,
                              path=path,
                              body=body | fields,
                              timeout_s=timeout_s)

    def pop_command(self, command_id: int) -> OpenCommand | None:
        """Removes and returns a command, or None if it is not open."""
        return self._open.pop(command_id, None)

    def record_reply(self, command: OpenCommand, body: dict[str, Any],
                     now_s: float) -> None:
        """Updates boot id and clock from a worker's reply.

        Args:
            command: The command that it replies to.
            body: The reply.
            now_s: Owner's time in seconds.
        """
        tracked = self.by_worker.get(command.worker_id)
        if tracked is None or "boot" not in body:
            return
        if body["boot"] != tracked.boot:
            tracked.boot = body["boot"]
            tracked.clock_s = None
            tracked.digest = ""
            tracked.tasks = []
            tracked.synced = False
        clock_s = body.get("clock_s")
        if clock_s is not None and (tracked.clock_s is None or
                                    clock_s >= tracked.clock_s):
            tracked.clock_s = clock_s
            tracked.replied_s = now_s

    def get_reference_s(self, worker_id: str, now_s: float) -> float:
        """Returns the owner's time that durations on a worker count from.

        Args:
            worker_id: Worker that a command goes to.
            now_s: Owner's time in seconds.

        Returns:
            The time of the latest reply, or `now_s` if there was none, as
            the worker then counts from the delivery of the command.
        """
        tracked = self.by_worker.get(worker_id)
        if tracked is None or tracked.clock_s is None:
            return now_s
        return tracked.replied_s

    def is_leaving(self, worker_id: str) -> bool:
        """Tells whether a worker is leaving or has left the VM list."""
        tracked = self.by_worker.get(worker_id)
        return (tracked is None or not tracked.listed or tracked.leaving or
                tracked.worker.leaving)

    def find_excluded(self, now_s: float) -> set[str]:
        """Returns the workers that must not get new tasks."""
        return {
            worker_id for worker_id, tracked in self.by_worker.items()
            if not tracked.is_usable(now_s, self._bounds.max_silence_s)
        }

    def get_sync_interval(self, youngest_s: float | None) -> float:
        """Returns the time to the next sync of one worker, in seconds.

        The interval grows with the age of the youngest task, so that the end
        of a task is detected within a fixed fraction of its run time. It also
        grows with the fleet, to bound the total rate of syncs. It never exceeds
        a third of the lease, even if that takes more syncs.

        Args:
            youngest_s: Run time of the youngest task in seconds, None without
                tasks.
        """
        interval_s = self._bounds.lease_s / 3
        if youngest_s is not None:
            interval_s = max(self._bounds.sync_interval_s,
                             youngest_s * self._bounds.sync_age_share)
        interval_s = max(interval_s,
                         len(self.by_worker) / self._bounds.sync_rate)
        return min(interval_s, self._bounds.lease_s / 3)

    def schedule_early_sync(self, worker_id: str, now_s: float) -> None:
        """Schedules a sync soon after a start, in case the task is short."""
        tracked = self.by_worker.get(worker_id)
        if tracked is not None:
            early_s = now_s + self._bounds.first_sync_s
            tracked.next_sync_s = min(tracked.next_sync_s, early_s)

    def list_due(self, now_s: float) -> list[TrackedWorker]:
        """Returns workers whose next sync is due, the most overdue first.

        Their number is bounded, so that a new owner does not open connections
        to the whole fleet in one iteration of the event loop.
        """
        due = [
            tracked for tracked in self.by_worker.values()
            if tracked.sync_command_id is None and tracked.next_sync_s <= now_s
        ]
        return heapq.nsmallest(self._bounds.sync_burst,
                               due,
                               key=lambda tracked: tracked.next_sync_s)
