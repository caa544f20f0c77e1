"""Commits request rows although replies of the store may be lost.

A commit without a reply is sent again with the same conditions and token. If
the first send took effect, the repeat is refused, and the token in the row
shows that the commit has taken effect (compare RIFL, SOSP 2015).
"""

import abc
from typing import Any

from trefoilroad_core import context
from trefoilroad_core import events
from trefoilroad_core import job as jobs
from trefoilroad_core import request

CommitKind = jobs.CommitKind


class CommitListener(abc.ABC):
    """Acts on the results of commits."""

    @abc.abstractmethod
    def on_recorded(self, job: jobs.Job) -> None:
        """Handles a commit that took effect, with no further one queued."""

    @abc.abstractmethod
    def on_claim_refused(self, job: jobs.Job) -> None:
        """Handles a claim that was refused and certainly not written."""

    @abc.abstractmethod
    def on_foreign_write(self, job: jobs.Job, record: request.Record,
                         version: int) -> None:
        """Handles a write of the row by another node."""

    @abc.abstractmethod
    def on_final(self, job: jobs.Job) -> None:
        """Handles a job whose outcome is recorded or whose row is gone."""

    @abc.abstractmethod
    def on_ownership_lost(self, reason: str) -> None:
        """Handles the loss of the region to another node."""


class Commits:
    """Tracks the commits under way, at most one for each job."""

    def __init__(self, *, shared: context.Context, owner_key: str,
                 owner_version: int, listener: CommitListener):
        """Creates a tracker of commits that are conditional on the ownership.

        Args:
            shared: State of the epoch.
            owner_key: Key of the row `owner/<region>`.
            owner_version: Version of that row.
            listener: Acts on the results.
        """
        self.config_version = 0
        self._ctx = shared
        self._owner_key = owner_key
        self._owner_version = owner_version
        self._listener = listener
        self._next_commit_id = 0
        self._open: dict[int, str] = {}

    def commit(self, job: jobs.Job, kind: CommitKind,
               changes: dict[str, Any]) -> None:
        """Records a change of a job's row.

        Args:
            job: The job; if it has a commit under way, this one waits for that
                one and replaces any that waits already.
            kind: What the commit records.
            changes: Fields that change.
        """
        if job.commit is not None:
            job.next_commit = (kind, changes)
            return
        self._next_commit_id += 1
        job.commit = jobs.PendingCommit(commit_id=self._next_commit_id,
                                        kind=kind,
                                        changes=changes,
                                        record=self._build_row(job, changes))
        self._open[self._next_commit_id] = job.request_id
        self.send(job, job.commit)

    def _build_row(self, job: jobs.Job, changes: dict[str,
                                                      Any]) -> request.Record:
        waited_s = job.record["waited_s"]
        if job.record["ran"] == request.Ran.NO:
            waited_s = self._ctx.now_s - job.received_s
        fields = {
            "epoch": self._ctx.epoch,
            "waited_s": waited_s,
            "token": f"{self._ctx.epoch}:{self._ctx.rng.getrandbits(64):016x}"
        }
        return job.record | changes | fields  # type: ignore[return-value]

    def send(self, job: jobs.Job, commit: jobs.PendingCommit) -> None:
        """Sends a commit, for the first time or again."""
        commit.tries += 1
        commit.retry_s = float("inf")
        conditions = {
            job.key: job.version,
            self._owner_key: self._owner_version
        }
        if commit.kind is CommitKind.CLAIM:
            conditions["config/current"] = self.config_version
        self._ctx.emit(
            events.Commit(commit_id=commit.commit_id,
                          conditions=conditions,
                          writes={job.key: commit.record}))

    def _find(
        self, commit_id: int
    ) -> tuple[jobs.Job, jobs.PendingCommit] | tuple[None, None]:
        job = self._ctx.jobs.get(self._open.get(commit_id, ""))
        if job is None or job.commit is None:
            return None, None
        if job.commit.commit_id != commit_id:
            return None, None
        return job, job.commit

    def handle_committed(self, event: events.Committed) -> None:
        """Handles a commit that took effect."""
        job, commit = self._find(event.commit_id)
        if job is not None and commit is not None:
            self.apply_result(job, commit.record, event.version)

    def handle_lost(self, event: events.CommitLost) -> None:
        """Schedules another send of a commit that got no reply."""
        _, commit = self._find(event.commit_id)
        if commit is not None:
            commit.retry_s = self._ctx.now_s + self._ctx.compute_delay(
                commit.tries)

    def handle_refused(self, event: events.CommitRefused) -> None:
        """Handles a commit whose conditions did not hold."""
        if self._owner_key in event.conflicts:
            self._listener.on_ownership_lost("another node owns the region")
            return
        job, commit = self._find(event.commit_id)
        if job is None or commit is None:
            return
        if job.key in event.conflicts:
            # The row was changed by an earlier send of this commit, whose
            # reply was lost, or by a caller's cancellation.
            self._ctx.emit(
                events.ReadRow(commit_id=event.commit_id, key=job.key))
        else:
            self._abandon_claim(job, commit)

    def handle_row(self, event: events.RowRead) -> None:
        """Checks whether the row was written by the commit or another node."""
        job, commit = self._find(event.commit_id)
        if job is None or commit is None:
            return
        if event.value is None:
            self._listener.on_final(job)
        elif event.value["token"] == commit.record["token"]:
            self.apply_result(job, event.value, event.version)
        elif commit.kind is CommitKind.CLAIM and event.value["cancel"]:
            self._abandon_claim(job, commit)
            self._listener.on_foreign_write(job, event.value, event.version)
        else:
            self._listener.on_foreign_write(job, event.value, event.version)
            if job.commit is commit:
                commit.record = self._build_row(job, commit.changes)
                self.send(job, commit)

    def _abandon_claim(self, job: jobs.Job, commit: jobs.PendingCommit) -> None:
        """Drops a claim that was refused and therefore not written."""
        self._open.pop(commit.commit_id, None)
        job.commit = None
        if job.next_commit is not None:
            self._begin_next(job)
        else:
            self._listener.on_claim_refused(job)

    def _begin_next(self, job: jobs.Job) -> None:
        assert job.next_commit is not None
        kind, changes = job.next_commit
        job.next_commit = None
        self.commit(job, kind, changes)

    def apply_result(self, job: jobs.Job, record: request.Record,
                     version: int) -> None:
        """Updates a job to the row that its commit has written."""
        commit = job.commit
        assert commit is not None
        self._open.pop(commit.commit_id, None)
        job.commit = None
        cancel = job.record["cancel"] or record["cancel"]
        job.record = record
        job.record["cancel"] = cancel
        job.version = version
        self._ctx.needs_round = True
        if commit.kind is CommitKind.FINAL:
            self._listener.on_final(job)
        elif job.next_commit is not None:
            self._begin_next(job)
        else:
            self._listener.on_recorded(job)

    def abandon(self, job: jobs.Job) -> None:
        """Drops the commit of a job whose outcome is recorded.

        Sending the commit again would overwrite the outcome.
        """
        if job.commit is not None:
            self._open.pop(job.commit.commit_id, None)
            job.commit = None
