"""Syncs with workers: renews leases and compares reported tasks."""

from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import context
from trefoilroad_core import gangs as gangs_module
from trefoilroad_core import trackedworkers

Phase = attempts.Phase


class WorkerSyncs:
    """Renews leases of current tasks and stops tasks without an attempt."""

    def __init__(self, *, shared: context.Context,
                 gangs: gangs_module.GangProtocol):
        self._ctx = shared
        self._gangs = gangs

    def start_due(self) -> None:
        """Starts the syncs that are due."""
        for tracked in self._ctx.tracked_workers.list_due(self._ctx.now_s):
            self.start(tracked)

    def start(self, tracked: trackedworkers.TrackedWorker) -> None:
        """Asks a worker for its tasks and renews their leases."""
        worker_id = tracked.worker.worker_id
        renew = []
        ages_s = []
        for _, attempt in self._ctx.list_attempts(worker_id):
            if attempt.phase in (Phase.STARTING, Phase.RUNNING):
                renew.append(attempt.attempt_id)
                ages_s.append(self._ctx.now_s - attempt.started_s)
                attempt.members[worker_id].reference_s = (
                    self._ctx.tracked_workers.get_reference_s(
                        worker_id, self._ctx.now_s))
        tracked.next_sync_s = (self._ctx.now_s +
                               self._ctx.tracked_workers.get_sync_interval(
                                   min(ages_s, default=None)))
        tracked.sync_command_id = self._ctx.send(
            worker_id, "/v1/sync", {
                "lease_s": self._ctx.bounds.lease_s,
                "renew": renew,
                "seen": tracked.digest
            })

    def handle_reply(self, command_id: int, command: trackedworkers.OpenCommand,
                     body: dict[str, Any], accepted: bool) -> None:
        """Handles the reply to a sync; `accepted` is False if it was lost."""
        tracked = self._ctx.tracked_workers.by_worker.get(command.worker_id)
        if tracked is None or tracked.sync_command_id != command_id:
            return
        tracked.sync_command_id = None
        if not accepted:
            return
        if not tracked.synced or tracked.leaving != bool(body.get("leaving")):
            self._ctx.needs_round = True
        tracked.synced = True
        tracked.leaving = bool(body.get("leaving"))
        if not body.get("unchanged"):
            tracked.digest = body.get("digest", "")
            tracked.tasks = body["tasks"]
        self._reconcile(command, tracked.tasks, body["boot"])

    def _reconcile(self, command: trackedworkers.OpenCommand,
                   tasks: list[dict[str, Any]], boot: str) -> None:
        """Compares a worker's tasks with the current attempts."""
        reported = {task["attempt"]: task for task in tasks}
        for job, attempt in self._ctx.list_attempts(command.worker_id):
            task = reported.pop(attempt.attempt_id, None)
            member = attempt.members[command.worker_id]
            if attempt.phase is Phase.RECOVERING:
                self._gangs.recover_member(job, attempt, member, task, boot)
            elif attempt.phase is Phase.RUNNING:
                self._gangs.update_member(job, attempt, member, task, boot,
                                          command.sent_s)
            elif attempt.phase is Phase.STORING and task is None:
                self._gangs.handle_lost_answer(job, attempt, member)
        if not self._ctx.rows_read:
            # An unknown task may belong to a gang whose row has not been read.
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
