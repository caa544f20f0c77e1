"""The owner's view of each worker: reachability, boot id, open commands."""

from collections.abc import Iterable
import heapq
from typing import Any
from typing import NamedTuple

from trefoilroad_core import events
from trefoilroad_core import fleet
from trefoilroad_core import limits


class OpenCommand(NamedTuple):
    """A command that was sent and not answered yet.

    Attributes:
        worker_id: Worker that it was sent to.
        path: Path of the worker protocol.
        request_id: Request that it is about, or empty.
        attempt: Number of the attempt that it is about, or 0.
        sent_s: Owner's time of the sending.
    """

    worker_id: str
    path: str
    request_id: str
    attempt: int
    sent_s: float


class WorkerLink:
    """What is known of one worker.

    Attributes:
        worker: Latest entry of the VM list.
        listed: Whether the VM list still names the worker.
        listed_s: Owner's time when the VM list named it last.
        leaving: Whether the worker itself said that it is leaving.
        boot: Boot id of the latest answer, or None.
        clock_s: Worker's clock in the latest answer, or None.
        basis_s: Owner's time when that answer came.
        digest: Worker's digest of the latest report, or empty.
        tasks: Tasks of the latest report.
        synced: Whether a sync was answered under this owner's epoch.
        next_sync_s: Owner's time of the next sync.
        sync_id: Open sync command, or None.
    """

    def __init__(self, *, worker: fleet.Worker):
        self.worker = worker
        self.listed = True
        self.listed_s = float("-inf")
        self.leaving = False
        self.boot: str | None = None
        self.clock_s: float | None = None
        self.basis_s = float("-inf")
        self.digest = ""
        self.tasks: list[dict[str, Any]] = []
        self.synced = False
        self.next_sync_s = float("-inf")
        self.sync_id: int | None = None

    def is_usable(self, now_s: float, suspect_s: float) -> bool:
        """Tells whether the worker may get new work."""
        return (self.listed and self.synced and not self.leaving and
                not self.worker.leaving and now_s - self.basis_s < suspect_s)


class WorkerLinks:
    """Sends commands to workers and keeps what their answers tell.

    A command names the worker's own clock reading of its latest answer
    (`asof_s`), and times on the worker count from there. A command that is
    delivered late can so never extend a lease beyond a moment that the owner
    knows.
    """

    def __init__(self, *, epoch: int, bounds: limits.Limits):
        self._epoch = epoch
        self._bounds = bounds
        self._next_id = 0
        self._open: dict[int, OpenCommand] = {}
        self.links: dict[str, WorkerLink] = {}

    def update(self, workers: Iterable[fleet.Worker], now_s: float) -> None:
        """Takes over a new reading of the VM list."""
        listed = {worker.worker_id: worker for worker in workers}
        for worker_id, worker in listed.items():
            link = self.links.get(worker_id)
            if link is None:
                link = WorkerLink(worker=worker)
                self.links[worker_id] = link
            link.worker = worker
            link.listed_s = now_s
        for worker_id, link in self.links.items():
            link.listed = worker_id in listed

    def discard(self, worker_ids: Iterable[str]) -> None:
        """Drops workers that are gone and have nothing left to resolve."""
        for worker_id in worker_ids:
            del self.links[worker_id]

    def send(self,
             worker_id: str,
             path: str,
             body: dict[str, Any],
             *,
             now_s: float,
             timeout_s: float,
             request_id: str = "",
             attempt: int = 0) -> events.Command:
        """Builds a command and remembers it as open.

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
        link = self.links.get(worker_id)
        fields = {"epoch": self._epoch}
        if link is not None and link.clock_s is not None:
            fields["asof_s"] = link.clock_s  # type: ignore[assignment]
            fields["asof_boot"] = link.boot  # type: ignore[assignment]
        return events.Command(command_id=self._next_id,
                              worker_id=worker_id,
                              path=path,
                              body=body | fields,
                              timeout_s=timeout_s)

    def close(self, command_id: int) -> OpenCommand | None:
        """Forgets an open command and returns it, if it is still open."""
        return self._open.pop(command_id, None)

    def note_answer(self, command: OpenCommand, body: dict[str, Any],
                    now_s: float) -> None:
        """Takes over boot id and clock from a worker's answer.

        Args:
            command: The command that was answered.
            body: The answer.
            now_s: Owner's time in seconds.
        """
        link = self.links.get(command.worker_id)
        if link is None or "boot" not in body:
            return
        if body["boot"] != link.boot:
            link.boot = body["boot"]
            link.clock_s = None
            link.digest = ""
            link.tasks = []
            link.synced = False
        clock_s = body.get("clock_s")
        if clock_s is not None and (link.clock_s is None or
                                    clock_s >= link.clock_s):
            link.clock_s = clock_s
            link.basis_s = now_s

    def get_basis(self, worker_id: str, now_s: float) -> float:
        """Returns the owner's time that worker-side times count from.

        Args:
            worker_id: Worker that a command goes to.
            now_s: Owner's time in seconds.

        Returns:
            The time of the latest answer, or now if there was none: the
            worker then counts from the delivery of the command.
        """
        link = self.links.get(worker_id)
        if link is None or link.clock_s is None:
            return now_s
        return link.basis_s

    def is_leaving(self, worker_id: str) -> bool:
        """Tells whether a worker is leaving or has left the VM list."""
        link = self.links.get(worker_id)
        return (link is None or not link.listed or link.leaving or
                link.worker.leaving)

    def get_excluded(self, now_s: float) -> set[str]:
        """Returns the workers that must not get new work."""
        return {
            worker_id for worker_id, link in self.links.items()
            if not link.is_usable(now_s, self._bounds.suspect_s)
        }

    def get_sync_interval(self, youngest_s: float | None) -> float:
        """Returns the time to the next sync of one worker, in seconds.

        What has run for long is asked about less often, so that the end of a
        task is noticed within a fixed part of its run time. The interval also
        grows with the fleet, which bounds the rate of all syncs, and stays
        below a third of the lease.

        Args:
            youngest_s: Run time of the youngest task in seconds, None without
                tasks.
        """
        interval_s = self._bounds.lease_s / 3
        if youngest_s is not None:
            interval_s = max(self._bounds.sync_interval_s,
                             youngest_s * self._bounds.sync_age_share)
        interval_s = max(interval_s, len(self.links) / self._bounds.sync_rate)
        return min(interval_s, self._bounds.lease_s / 3)

    def hasten_sync(self, worker_id: str, now_s: float) -> None:
        """Plans a sync soon after a start, in case the task is a short one."""
        link = self.links.get(worker_id)
        if link is not None:
            soon_s = now_s + self._bounds.first_sync_s
            link.next_sync_s = min(link.next_sync_s, soon_s)

    def get_due(self, now_s: float) -> list[WorkerLink]:
        """Returns workers whose next sync is due, the most overdue first.

        Their number is bounded: a new owner must not open connections to a
        whole fleet in one turn of its loop.
        """
        due = [
            link for link in self.links.values()
            if link.sync_id is None and link.next_sync_s <= now_s
        ]
        return heapq.nsmallest(self._bounds.sync_burst,
                               due,
                               key=lambda link: link.next_sync_s)
