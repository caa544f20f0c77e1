"""The owner's state of a request that is not final."""

import enum
from typing import Any

from trefoilroad_core import attempt as attempts
from trefoilroad_core import request


class CommitKind(enum.Enum):
    """What a commit on a request's row records."""

    CLAIM = "claim"
    RUNNING = "running"
    REQUEUE = "requeue"
    UNKNOWN = "unknown"
    FINAL = "final"


class PendingCommit:
    """A commit that has no result yet.

    Attributes:
        commit_id: Identifier of the commit.
        kind: What it records.
        changes: Fields that it changes.
        record: The row that it writes, with a unique token.
        tries: Number of sends.
        retry_s: Owner's time of the next send; infinite while the result of
            one is outstanding.
    """

    def __init__(self, *, commit_id: int, kind: CommitKind,
                 changes: dict[str, Any], record: request.Record):
        self.commit_id = commit_id
        self.kind = kind
        self.changes = changes
        self.record = record
        self.tries = 0
        self.retry_s = float("inf")

    @property
    def is_repeated(self) -> bool:
        """Whether it was sent more than once or waits to be sent again."""
        return self.tries > 1 or self.retry_s < float("inf")


class Job:
    """An open request with its row, its attempt and its pending commit.

    A job in trefoilroad_jobs (`progress.Job`) is something else: it has steps,
    and the leader schedules it.

    Attributes:
        record: The row as last known.
        version: Version of the row.
        received_s: Owner's time of receipt, from which its wait counts.
        not_before_s: Owner's time before which it is not tried again.
        backoffs: Number of delayed retries so far.
        attempt: The attempt under way, or None while it waits.
        commit: The commit under way, or None.
        next_commit: Kind and changes of the commit to send once the one under
            way has a result, or None.
    """

    def __init__(self, *, record: request.Record, version: int, now_s: float):
        self.record = record
        self.version = version
        self.received_s = now_s - record["waited_s"]
        self.not_before_s = float("-inf")
        self.backoffs = 0
        self.attempt: attempts.Attempt | None = None
        self.commit: PendingCommit | None = None
        self.next_commit: tuple[CommitKind, dict[str, Any]] | None = None

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.record["request_id"]

    @property
    def key(self) -> str:
        """Key of the request's row."""
        return f"request/{self.request_id}"

    @property
    def is_waiting(self) -> bool:
        """Whether it has neither an attempt nor a commit under way."""
        return self.attempt is None and self.commit is None

    @property
    def is_evictable(self) -> bool:
        """Whether a running attempt may be stopped for guaranteed work."""
        running = (self.attempt is not None and
                   self.attempt.phase is attempts.Phase.RUNNING)
        restartable = self.record["idempotent"] or self.record["checkpoint"]
        return running and restartable
