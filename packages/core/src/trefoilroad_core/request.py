"""Requests of callers and their durable records."""

import enum
import hashlib
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from trefoilroad_core import errors


class Shape(NamedTuple):
    """Resources of a gang; all numbers but `tasks` are for one task.

    Attributes:
        tasks: Number of tasks; they run all together or not at all.
        accelerators: Accelerators of one task.
        cores: Processor cores of one task.
        memory_gb: Memory of one task, in GB.
        adjacent: "rack" if all tasks must be in one rack, else "none".
    """

    tasks: int
    accelerators: int
    cores: int = 1
    memory_gb: int = 1
    adjacent: str = "none"

    @property
    def total_accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators


class State(enum.StrEnum):
    """States of a request; those in FINAL_STATES never change."""

    QUEUED = "queued"
    CLAIMED = "claimed"
    RUNNING = "running"
    UNKNOWN = "unknown"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


FINAL_STATES = frozenset({
    State.COMPLETED, State.FAILED, State.NOT_RUN, State.CANCELLED, State.EXPIRED
})


class Ran(enum.StrEnum):
    """Whether a request ran, as far as can be proved."""

    NO = "no"
    YES = "yes"
    MAYBE = "maybe"


class AnswerReference(TypedDict):
    """Location of a stored answer and how to verify it.

    Attributes:
        object: Key in the object store.
        length: Length in bytes.
        sha256: Hexadecimal digest.
    """

    object: str
    length: int
    sha256: str


class Record(TypedDict):
    """The durable row `request/<id>` of one request.

    Attributes:
        request_id: Identifier, derived from team and idempotency key.
        team: Team that submitted the request.
        caller: Caller inside the team.
        template: Name of the template.
        body_sha256: Digest of the submitted body, to detect reuse of a key.
        payload: Input that the tasks receive.
        shape: The gang's shape as a list, in the order of Shape's fields.
        priority: 0 (most urgent) to 9.
        idempotent: Whether the request may run more than once.
        checkpoint: Whether its tasks can be checkpointed and resumed.
        wait_s: Longest time from receipt to start, in seconds.
        declared_s: Declared run time in seconds.
        state: One of State.
        ran: One of Ran.
        reason: Explanation of the state for the caller.
        cancel: Whether the caller asked to cancel it.
        attempt: Number of the latest attempt, 0 before the first.
        tries: Attempts that count against the retry budget.
        epoch: Epoch of the owner that wrote the record last, 0 before that.
        placement: Worker of each task of the latest attempt.
        boots: Boot id of each worker of the placement, when it reserved.
        resume: Attempt whose checkpoint the next one continues, or None.
        guaranteed: Whether the latest attempt is inside its team's guarantee.
        answer: The answer of a completed request.
        token: Unique token of the latest write other than a cancellation, to
            recognise the write when its acknowledgement was lost.
        submitted_at: Wall clock of the receiving node, in seconds since 1970,
            for display only; no decision is based on it.
        waited_s: Seconds waited before the record was written last, so that
            a new owner continues the wait.
    """

    request_id: str
    team: str
    caller: str
    template: str
    body_sha256: str
    payload: Any
    shape: list[Any]
    priority: int
    idempotent: bool
    checkpoint: bool
    wait_s: float
    declared_s: float
    state: str
    ran: str
    reason: str
    cancel: bool
    attempt: int
    tries: int
    epoch: int
    placement: list[str]
    boots: dict[str, str]
    resume: str | None
    guaranteed: bool
    answer: AnswerReference | None
    token: str
    submitted_at: float
    waited_s: float


def derive_request_id(team: str, idempotency_key: str) -> str:
    """Derives the identifier of a request, the same for its repeats.

    Args:
        team: Team of the caller.
        idempotency_key: Key that the caller chose for the request.

    Returns:
        A hexadecimal identifier of 32 characters.
    """
    digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode())
    return digest.hexdigest()[:32]


def build_attempt_id(request_id: str, attempt: int) -> str:
    """Builds the identifier of an attempt.

    Args:
        request_id: Identifier of the request.
        attempt: Number of the attempt; an owner uses numbers that are unique
            among all attempts of all owners, see `attempt.Attempt`.

    Returns:
        The identifier that is sent to workers.
    """
    return f"{request_id}.{attempt}"


def parse_record(key: str, row: Any) -> Record:
    """Validates a row of the table service.

    Args:
        key: Key of the row, for error messages.
        row: Decoded value of the row.

    Returns:
        The same row as a Record.

    Raises:
        RecordError: If a field is absent or has the wrong type.
    """
    if not isinstance(row, dict):
        raise errors.RecordError(f"{key}: not a table")
    missing = Record.__required_keys__ - row.keys()
    if missing:
        raise errors.RecordError(f"{key}: missing {sorted(missing)}")
    try:
        State(row["state"])
        Ran(row["ran"])
        Shape(*row["shape"])
    except (TypeError, ValueError) as error:
        raise errors.RecordError(f"{key}: {error}") from error
    return row  # type: ignore[return-value]


def get_shape(record: Record) -> Shape:
    """Returns the shape of a record's gang."""
    return Shape(*record["shape"])


def is_final(record: Record) -> bool:
    """Tells whether a request is in a final state."""
    return record["state"] in FINAL_STATES
