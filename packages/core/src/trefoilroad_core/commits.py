"""Commits on request rows, whatever becomes of their answers.

A commit without answer is sent again with the same conditions and token. If
the first one took effect, the repeat is refused, and the token in the row shows
it (compare RIFL, SOSP 2015).
"""

import abc
from typing import Any

from trefoilroad_core import context
from trefoilroad_core import events
from trefoilroad_core import job as jobs
from trefoilroad_core import request

CommitKind = jobs.CommitKind


class Listener(abc.ABC):
    """What follows from the results of commits."""

    @abc.abstractmethod
    def take_recorded(self, job: jobs.Job) -> None:
        """A commit took effect, and no other one of the job waits."""

    @abc.abstractmethod
    def take_refused(self, job: jobs.Job) -> None:
        """A claim was refused and certainly not written."""

    @abc.abstractmethod
    def merge(self, job: jobs.Job, record: request.Record,
              version: int) -> None:
        """Somebody else wrote the row."""

    @abc.abstractmethod
    def drop(self, job: jobs.Job) -> None:
        """The outcome is on record, or the row is gone."""

    @abc.abstractmethod
    def depose(self, reason: str) -> None:
        """Another node owns the region."""


class Commits:
    """Commits under way, at most one for each job."""

    def __init__(self, *, shared: context.Context, owner_key: str,
                 owner_version: int, listener: Listener):
        """Prepares commits that are conditional on the ownership.

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
            job: The job; if a commit of it is under way, this one follows.
            kind: What is recorded.
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

    def confirm(self, event: events.Committed) -> None:
        """Takes the result of a commit that took effect."""
        job, commit = self._find(event.commit_id)
        if job is not None and commit is not None:
            self.conclude(job, commit.record, event.version)

    def lose(self, event: events.CommitLost) -> None:
        """Plans another send of a commit without answer."""
        _, commit = self._find(event.commit_id)
        if commit is not None:
            commit.retry_s = self._ctx.now_s + self._ctx.compute_delay(
                commit.tries)

    def refuse(self, event: events.CommitRefused) -> None:
        """Takes the result of a commit whose conditions did not hold."""
        if self._owner_key in event.conflicts:
            self._listener.depose("another node owns the region")
            return
        job, commit = self._find(event.commit_id)
        if job is None or commit is None:
            return
        if job.key in event.conflicts:
            # The row changed: by this very commit, whose answer was lost, or
            # by a caller's cancellation.
            self._ctx.emit(
                events.ReadRow(commit_id=event.commit_id, key=job.key))
        else:
            self._abandon_claim(job, commit)

    def compare(self, event: events.RowRead) -> None:
        """Tells a commit whose answer was lost from a foreign change."""
        job, commit = self._find(event.commit_id)
        if job is None or commit is None:
            return
        if event.value is None:
            self._listener.drop(job)
        elif event.value["token"] == commit.record["token"]:
            self.conclude(job, event.value, event.version)
        elif commit.kind is CommitKind.CLAIM and event.value["cancel"]:
            self._abandon_claim(job, commit)
            self._listener.merge(job, event.value, event.version)
        else:
            self._listener.merge(job, event.value, event.version)
            if job.commit is commit:
                commit.record = self._build_row(job, commit.changes)
                self.send(job, commit)

    def _abandon_claim(self, job: jobs.Job, commit: jobs.PendingCommit) -> None:
        """Gives up a claim that was refused and so was not written."""
        self._open.pop(commit.commit_id, None)
        job.commit = None
        if job.next_commit is not None:
            self._begin_next(job)
        else:
            self._listener.take_refused(job)

    def _begin_next(self, job: jobs.Job) -> None:
        assert job.next_commit is not None
        kind, changes = job.next_commit
        job.next_commit = None
        self.commit(job, kind, changes)

    def conclude(self, job: jobs.Job, record: request.Record,
                 version: int) -> None:
        """Takes over the row that a commit has written."""
        commit = job.commit
        assert commit is not None
        self._open.pop(commit.commit_id, None)
        job.commit = None
        cancel = job.record["cancel"] or record["cancel"]
        job.record = record
        job.record["cancel"] = cancel
        job.version = version
        self._ctx.dirty = True
        if commit.kind is CommitKind.FINAL:
            self._listener.drop(job)
        elif job.next_commit is not None:
            self._begin_next(job)
        else:
            self._listener.take_recorded(job)

    def forget(self, job: jobs.Job) -> None:
        """Gives up the commit of a job whose outcome is on record.

        Whoever still holds the job must not send it again: it would overwrite
        the outcome.
        """
        if job.commit is not None:
            self._open.pop(job.commit.commit_id, None)
            job.commit = None
