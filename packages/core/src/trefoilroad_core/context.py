"""State that the parts of an owner share: time, jobs, workers, effects."""

import random
from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import backoff
from trefoilroad_core import events
from trefoilroad_core import health as healths
from trefoilroad_core import job as jobs
from trefoilroad_core import limits
from trefoilroad_core import scheduler
from trefoilroad_core import trackedworkers


class Context:
    """State of one epoch that several parts read and change.

    Attributes:
        epoch: Epoch of the owner.
        bounds: Time limits.
        rng: Source of jitter and tokens.
        policy: Decides which requests start where.
        health: Distinguishes faulty workers from faulty requests.
        tracked_workers: State of the workers, and commands to them.
        jobs: Requests that are not final, by id.
        now_s: Owner's time of the event being handled.
        takeover_s: Owner's time of the takeover.
        vm_list_read_s: Owner's time when the VM list was last read.
        rows_read: Whether all rows have been read since the takeover.
        needs_round: Whether something changed that requires a scheduling round.
    """

    def __init__(self, *, epoch: int, bounds: limits.Limits, rng: random.Random,
                 policy: scheduler.Scheduler, now_s: float):
        self.epoch = epoch
        self.bounds = bounds
        self.rng = rng
        self.policy = policy
        self.health = healths.Health()
        self.tracked_workers = trackedworkers.TrackedWorkers(epoch=epoch,
                                                             bounds=bounds)
        self.jobs: dict[str, jobs.Job] = {}
        self.now_s = now_s
        self.takeover_s = now_s
        self.vm_list_read_s = float("-inf")
        self.rows_read = False
        self.needs_round = True
        self._effects: list[events.Effect] = []
        self._jobs_by_worker: dict[str, dict[str, jobs.Job]] = {}

    def emit(self, effect: events.Effect) -> None:
        """Adds an effect of the event being handled."""
        self._effects.append(effect)

    def take_effects(self) -> list[events.Effect]:
        """Returns the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def send(self,
             worker_id: str,
             path: str,
             body: dict[str, Any],
             *,
             timeout_s: float | None = None,
             request_id: str = "",
             number: int = 0) -> int:
        """Sends a command to a worker.

        Args:
            worker_id: Worker that the command is for.
            path: Path of the worker protocol.
            body: JSON object without the epoch and the clock.
            timeout_s: Time after which it counts as lost, in seconds.
            request_id: Request that it is about, if any.
            number: Number of the attempt that it is about, if any.

        Returns:
            Identifier of the command.
        """
        command = self.tracked_workers.send(worker_id,
                                            path,
                                            body,
                                            now_s=self.now_s,
                                            timeout_s=timeout_s or
                                            self.bounds.command_timeout_s,
                                            request_id=request_id,
                                            attempt=number)
        self.emit(command)
        return command.command_id

    def list_attempts(
            self, worker_id: str) -> list[tuple[jobs.Job, attempts.Attempt]]:
        """Returns the jobs with an attempt on a worker, and the attempts."""
        return [(job, job.attempt)
                for job in self._jobs_by_worker.get(worker_id, {}).values()
                if job.attempt is not None]

    def set_attempt(self, job: jobs.Job,
                    attempt: attempts.Attempt | None) -> None:
        """Sets the attempt of a job and updates the index by worker."""
        if job.attempt is not None:
            for worker_id in job.attempt.members:
                self._jobs_by_worker[worker_id].pop(job.request_id, None)
        job.attempt = attempt
        if attempt is not None:
            for worker_id in attempt.members:
                placed = self._jobs_by_worker.setdefault(worker_id, {})
                placed[job.request_id] = job

    def send_forget(self, attempt: attempts.Attempt) -> None:
        """Has the workers drop their data of an attempt."""
        for worker_id in attempt.members:
            self.send(worker_id, "/v1/forget",
                      {"attempts": [attempt.attempt_id]})

    def compute_delay(self, tries: int) -> float:
        """Returns the jittered delay before another try, in seconds."""
        return backoff.compute_delay(tries=max(tries, 1),
                                     base_s=self.bounds.retry_base_s,
                                     max_s=self.bounds.retry_max_s,
                                     rng=self.rng)

    def is_vm_list_stale(self) -> bool:
        """Tells whether the VM list is too old to show which workers leave."""
        age_s = self.now_s - self.vm_list_read_s
        return age_s > self.bounds.max_vm_list_age_s
