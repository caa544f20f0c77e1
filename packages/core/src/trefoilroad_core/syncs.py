"""Syncs: workers' reports of their tasks, compared with the attempts."""

from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import context
from trefoilroad_core import gangs as gangs_module
from trefoilroad_core import workerlinks

Phase = attempts.Phase


class Syncs:
    """Keeps the leases of what should run and stops what should not."""

    def __init__(self, *, shared: context.Context, gangs: gangs_module.Gangs):
        self._ctx = shared
        self._gangs = gangs

    def begin_due(self) -> None:
        """Begins the syncs that are due."""
        for link in self._ctx.links.get_due(self._ctx.now_s):
            self.begin(link)

    def begin(self, link: workerlinks.WorkerLink) -> None:
        """Asks a worker for its tasks and renews their leases."""
        worker_id = link.worker.worker_id
        renew = []
        youngest_s: float | None = None
        for _, attempt in self._ctx.list_placed(worker_id):
            if attempt.phase in (Phase.STARTING, Phase.RUNNING):
                renew.append(attempt.attempt_id)
                age_s = self._ctx.now_s - attempt.started_s
                youngest_s = min(age_s, youngest_s or age_s)
                attempt.members[worker_id].basis_s = self._ctx.links.get_basis(
                    worker_id, self._ctx.now_s)
        link.next_sync_s = self._ctx.now_s + self._ctx.links.get_sync_interval(
            youngest_s)
        link.sync_id = self._ctx.send(
            worker_id, "/v1/sync", {
                "lease_s": self._ctx.bounds.lease_s,
                "renew": renew,
                "seen": link.digest
            })

    def end(self, command_id: int, command: workerlinks.OpenCommand,
            body: dict[str, Any], accepted: bool) -> None:
        """Takes the answer to a sync, or its loss."""
        link = self._ctx.links.links.get(command.worker_id)
        if link is None or link.sync_id != command_id:
            return
        link.sync_id = None
        if not accepted:
            return
        if not link.synced or link.leaving != bool(body.get("leaving")):
            self._ctx.dirty = True
        link.synced = True
        link.leaving = bool(body.get("leaving"))
        if not body.get("unchanged"):
            link.digest = body.get("digest", "")
            link.tasks = body["tasks"]
        self._reconcile(command, link.tasks, body["boot"])

    def _reconcile(self, command: workerlinks.OpenCommand,
                   tasks: list[dict[str, Any]], boot: str) -> None:
        """Compares a worker's tasks with the attempts on record."""
        reported = {task["attempt"]: task for task in tasks}
        for job, attempt in self._ctx.list_placed(command.worker_id):
            task = reported.pop(attempt.attempt_id, None)
            member = attempt.members[command.worker_id]
            if attempt.phase is Phase.RECOVERING:
                self._gangs.adopt_member(job, attempt, member, task, boot)
            elif attempt.phase is Phase.RUNNING:
                self._gangs.update_member(job, attempt, member, task, boot,
                                          command.sent_s)
            elif attempt.phase is Phase.STORING and task is None:
                self._gangs.lose_answer(job, attempt, member)
        if not self._ctx.has_read:
            # What is not known yet may be a gang that has to be adopted.
            return
        for attempt_id in reported:
            self._stop_unknown(command.worker_id, attempt_id,
                               reported[attempt_id]["state"])

    def _stop_unknown(self, worker_id: str, attempt_id: str,
                      state: str) -> None:
        if state in ("reserved", "running"):
            self._ctx.send(worker_id, "/v1/stop", {
                "attempt": attempt_id,
                "checkpoint": False
            })
        else:
            self._ctx.send(worker_id, "/v1/forget", {"attempts": [attempt_id]})
