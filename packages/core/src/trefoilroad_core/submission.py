"""Validates submitted requests and builds their records."""

from collections import Counter
from collections.abc import Mapping
import hashlib
import json
from typing import Any

from trefoilroad_core import admission
from trefoilroad_core import contract
from trefoilroad_core import errors
from trefoilroad_core import request

MAX_KEY_LENGTH = 256
MAX_CALLER_LENGTH = 128
MAX_TASKS_PER_GANG = 1024
MAX_AMOUNT_PER_TASK = 1 << 16
MAX_RUN_S = 30 * 86400.0

_BODY_KEYS = frozenset(
    {"template", "caller", "payload", "shape", "declared_s", "wait_s"})
_SHAPE_RANGES = {
    "tasks": (1, MAX_TASKS_PER_GANG),
    "accelerators": (0, MAX_AMOUNT_PER_TASK),
    "cores": (0, MAX_AMOUNT_PER_TASK),
    "memory_gb": (0, MAX_AMOUNT_PER_TASK)
}


def hash_body(body: Any) -> str:
    """Returns the digest of a JSON value, independent of key order."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def build_record(*, configuration: contract.Configuration, team: str, key: str,
                 body: Any, now: float, token: str) -> request.Record:
    """Builds the record of a new request.

    Args:
        configuration: Configuration in force.
        team: Team of the caller.
        key: Idempotency key.
        body: Decoded JSON body.
        now: Wall clock in seconds since 1970, for display only.
        token: Unique token of the write.

    Returns:
        The record in state QUEUED.

    Raises:
        RequestError: If the key or a field of the body is invalid.
    """
    if not isinstance(body, dict):
        raise errors.RequestError("body", "must be a JSON object")
    unknown = sorted(body.keys() - _BODY_KEYS)
    if unknown:
        raise errors.RequestError(
            unknown[0], f"unknown field; known are {sorted(_BODY_KEYS)}")
    if not 1 <= len(key) <= MAX_KEY_LENGTH:
        raise errors.RequestError(
            "Idempotency-Key",
            f"the header must hold 1 to {MAX_KEY_LENGTH} characters")
    caller = body.get("caller", "")
    if not isinstance(caller, str) or len(caller) > MAX_CALLER_LENGTH:
        raise errors.RequestError(
            "caller", f"must be a text of up to {MAX_CALLER_LENGTH} characters")
    name = body.get("template")
    try:
        template = configuration.resolve_template(team, str(name))
    except KeyError as error:
        allowed = configuration.teams[team].templates
        raise errors.RequestError(
            "template",
            f"{name!r} is not one of the team's templates {list(allowed)}"
        ) from error
    record: request.Record = {
        "request_id":
            request.derive_request_id(team, key),
        "team":
            team,
        "caller":
            caller,
        "template":
            str(name),
        "body_sha256":
            hash_body(body),
        "payload":
            body.get("payload"),
        "shape":
            list(_read_shape(body, template.shape)),
        "priority":
            template.priority,
        "idempotent":
            template.idempotent,
        "checkpoint":
            template.checkpoint,
        "wait_s":
            _read_duration(body, "wait_s", template.wait_s, template.wait_s),
        "declared_s":
            _read_duration(body, "declared_s", template.declared_s, MAX_RUN_S),
        "state":
            request.State.QUEUED,
        "ran":
            request.Ran.NO,
        "reason":
            "",
        "cancel":
            False,
        "attempt":
            0,
        "tries":
            0,
        "epoch":
            0,
        "placement": [],
        "boots": {},
        "resume":
            None,
        "guaranteed":
            False,
        "answer":
            None,
        "token":
            token,
        "submitted_at":
            now,
        "waited_s":
            0.0
    }
    return record


def build_cancelled(team: str, request_id: str, now: float) -> request.Record:
    """Builds the final record of a request cancelled before it was recorded.

    Args:
        team: Team of the caller.
        request_id: Identifier of the request.
        now: Wall clock in seconds since 1970, for display only.

    Returns:
        A record in state CANCELLED that did not run.
    """
    return {
        "request_id": request_id,
        "team": team,
        "caller": "",
        "template": "",
        "body_sha256": "",
        "payload": None,
        "shape": list(request.Shape(tasks=1, accelerators=0)),
        "priority": 9,
        "idempotent": True,
        "checkpoint": False,
        "wait_s": 0.0,
        "declared_s": 0.0,
        "state": request.State.CANCELLED,
        "ran": request.Ran.NO,
        "reason": "cancelled before it was recorded",
        "cancel": True,
        "attempt": 0,
        "tries": 0,
        "epoch": 0,
        "placement": [],
        "boots": {},
        "resume": None,
        "guaranteed": False,
        "answer": None,
        "token": "",
        "submitted_at": now,
        "waited_s": 0.0
    }


def apply_template(record: request.Record,
                   template: contract.Template) -> request.Record:
    """Returns a record updated to a newer version of its template."""
    changes: dict[str, Any] = {
        "priority": template.priority,
        "idempotent": template.idempotent,
        "checkpoint": template.checkpoint,
        "wait_s": min(record["wait_s"], template.wait_s)
    }
    return {**record, **changes}  # type: ignore[typeddict-item]


def _read_shape(body: Mapping[str, Any],
                default: request.Shape) -> request.Shape:
    fields = body.get("shape")
    if fields is None:
        return default
    if not isinstance(fields, dict):
        raise errors.RequestError("shape", "must be an object")
    unknown = sorted(fields.keys() - default._asdict().keys())
    if unknown:
        raise errors.RequestError(f"shape.{unknown[0]}", "unknown field")
    shape = default._replace(**fields)
    for key, (low, high) in _SHAPE_RANGES.items():
        value = getattr(shape, key)
        if type(value) is not int or not low <= value <= high:
            raise errors.RequestError(
                f"shape.{key}", f"must be a whole number from {low} to {high}")
    if shape.adjacent not in ("none", "rack"):
        raise errors.RequestError("shape.adjacent", 'must be "none" or "rack"')
    return shape


def _read_duration(body: Mapping[str, Any], key: str, default: float,
                   high: float) -> float:
    value = body.get(key, default)
    if type(value) not in (int, float) or not 0 < value <= high:
        raise errors.RequestError(
            key, f"must be a number of seconds above 0 and up to {high:g}")
    return float(value)


class QueueCounts:
    """Number of waiting requests, as estimated by an edge.

    The owner announces the counts. Until the next announcement an edge adds the
    requests that it has accepted itself. The limits are therefore exceeded by
    at most the requests that all edges accept between two announcements.
    """

    def __init__(self) -> None:
        self._announced: Counter[tuple[str, str]] = Counter()
        self._added: Counter[tuple[str, str]] = Counter()

    def add(self, record: request.Record) -> None:
        """Counts a request that this edge has accepted."""
        self._added[record["team"], record["caller"]] += 1

    def update_announced(self, counts: Mapping[tuple[str, str], int]) -> None:
        """Replaces the counts by those that the owner has announced."""
        self._announced = Counter(counts)
        self._added.clear()

    def check(self, configuration: contract.Configuration,
              record: request.Record) -> str | None:
        """Checks a request against the queue limits of its team and caller.

        Args:
            configuration: Configuration in force.
            record: The request.

        Returns:
            Why the request is refused, or None if it is accepted.
        """
        team = configuration.teams[record["team"]]
        counts = self._announced + self._added
        caller = counts[record["team"], record["caller"]]
        total = sum(
            count for (name, _), count in counts.items() if name == team.name)
        return admission.check_queue_limits(
            team, record["caller"],
            admission.WaitingCounts(team=total, caller=caller))
