"""Payloads of the stand-ins' tasks."""

import hashlib
import json
from typing import Any
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_standins import fields


class Payload(NamedTuple):
    """What a task does.

    Attributes:
        run_s: Run time in seconds at full speed.
        answer: Bytes of the answer.
        fails: Whether the task fails at the end of its run time.
        error: Error in the payload, empty if there is none; with an error the
            task fails at once.
    """

    run_s: float
    answer: bytes
    fails: bool
    error: str


def parse_payload(payload: Any, *, attempt: str, ranks: list[int]) -> Payload:
    """Parses a payload; with an invalid one, the task fails at once.

    Args:
        payload: Decoded JSON as the caller sent it.
        attempt: Id of the attempt, part of the default answer.
        ranks: Ranks of the task.

    Returns:
        What the task does.
    """
    digest = hashlib.sha256(json.dumps(payload,
                                       sort_keys=True).encode()).hexdigest()
    default = json.dumps({"attempt": attempt, "payload_sha256": digest})
    try:
        if not isinstance(payload, dict):
            raise errors.ProtocolError("payload is not an object")
        run_s = fields.read_nonnegative(payload, "run_s", default=0.0)
        answer = fields.read_field(payload, "answer", str, default=default)
        fail = fields.read_field(payload, "fail", bool, default=False)
        fail_ranks = fields.read_integers(payload, "fail_ranks", default=[])
        encoded = answer.encode()
    except (errors.ProtocolError, UnicodeEncodeError) as error:
        return Payload(0.0, b"", True, str(error))
    fails = bool(set(fail_ranks) & set(ranks)) if fail_ranks else fail
    return Payload(run_s, encoded, fails, "")
