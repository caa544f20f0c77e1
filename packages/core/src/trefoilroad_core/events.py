"""Events that the owner handles and effects that it requests."""

from typing import Any
from typing import NamedTuple

from trefoilroad_core import contract
from trefoilroad_core import fleet
from trefoilroad_core import request


class RequestSeen(NamedTuple):
    """A row `request/<id>` was read or reported by an edge.

    Attributes:
        record: Value of the row.
        version: Version of the row.
    """

    record: request.Record
    version: int


class WorkersSeen(NamedTuple):
    """The platform's VM list was read."""

    workers: tuple[fleet.Worker, ...]


class ConfigurationSeen(NamedTuple):
    """A published configuration was read.

    Attributes:
        configuration: The configuration.
        row_version: Version of the row `config/current`.
    """

    configuration: contract.Configuration
    row_version: int


class CommandReplied(NamedTuple):
    """A worker replied to a command.

    Attributes:
        command_id: Identifier of the command.
        status: HTTP status.
        body: Decoded JSON object.
    """

    command_id: int
    status: int
    body: dict[str, Any]


class CommandLost(NamedTuple):
    """No reply to a command came in time; it may have taken effect."""

    command_id: int


class Committed(NamedTuple):
    """A commit took effect.

    Attributes:
        commit_id: Identifier of the commit.
        version: New version of the rows that were written.
    """

    commit_id: int
    version: int


class CommitRefused(NamedTuple):
    """Conditions of a commit did not hold.

    Attributes:
        commit_id: Identifier of the commit.
        conflicts: Current version by key, for the conditions that failed.
    """

    commit_id: int
    conflicts: dict[str, int]


class CommitLost(NamedTuple):
    """No reply to a commit or read came; a write may have taken effect."""

    commit_id: int


class RowRead(NamedTuple):
    """The row of a refused commit was read.

    Attributes:
        commit_id: Identifier of the commit.
        value: Value of the row, or None if it is absent.
        version: Version of the row.
    """

    commit_id: int
    value: Any
    version: int


class AnswerStored(NamedTuple):
    """The answer of an attempt has been stored completely."""

    attempt_id: str
    answer: request.AnswerReference


class AnswerLost(NamedTuple):
    """One copy of an answer to the object store failed; it is tried again."""

    attempt_id: str


class RequestsRead(NamedTuple):
    """All request rows have been read since the takeover."""


class Tick(NamedTuple):
    """Time has passed."""


Event = (RequestSeen | WorkersSeen | ConfigurationSeen | CommandReplied |
         CommandLost | Committed | CommitRefused | CommitLost | RowRead |
         AnswerStored | AnswerLost | RequestsRead | Tick)


class Command(NamedTuple):
    """Sends a command to a worker.

    Attributes:
        command_id: Identifier that the reply refers to.
        worker_id: Worker that the command is for.
        path: Path of the worker protocol, for example "/v1/start".
        body: JSON object.
        timeout_s: Time after which the command counts as lost, in seconds.
    """

    command_id: int
    worker_id: str
    path: str
    body: dict[str, Any]
    timeout_s: float


class Commit(NamedTuple):
    """Writes rows if conditions hold.

    Attributes:
        commit_id: Identifier that the result refers to.
        conditions: Required version by key.
        writes: New value by key.
    """

    commit_id: int
    conditions: dict[str, int]
    writes: dict[str, Any]


class ReadRow(NamedTuple):
    """Reads the row of a refused commit."""

    commit_id: int
    key: str


class StoreAnswer(NamedTuple):
    """Copies an answer from a worker to the object store.

    Attributes:
        attempt_id: Attempt that the answer belongs to.
        worker_id: Worker that holds it.
        answer: Length and digest that the worker reported, and the object
            key to use.
    """

    attempt_id: str
    worker_id: str
    answer: request.AnswerReference


class OwnershipLost(NamedTuple):
    """Another owner has taken over; this one must not act any more."""

    reason: str


Effect = Command | Commit | ReadRow | StoreAnswer | OwnershipLost
