"""Schedules of requests for the load tool."""

from collections.abc import Iterable
import json
import math
import random
from typing import Any
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_standins import fields

# Sigma of the log-normal distribution of run times; about 5% of them exceed
# 2.3 times the median.
RUN_TIME_SIGMA = 0.5


class ScheduledRequest(NamedTuple):
    """One request of a schedule.

    Attributes:
        at_s: When to submit it, in seconds from the start of the load.
        key: Idempotency key.
        team: Name of the team, which selects the token.
        body: Body of the submission.
        cancel_after_s: When to cancel it, in seconds from the first submission;
            None for never.
    """

    at_s: float
    key: str
    team: str
    body: dict[str, Any]
    cancel_after_s: float | None = None


class RequestKind(NamedTuple):
    """One kind of request of a generated schedule.

    Attributes:
        team: Team that submits it.
        template: Name of the template.
        weight: Relative frequency among the kinds.
        callers: Number of callers; each request has a random one.
        run_s: Median run time in seconds.
        declared_factor: Declared run time divided by the median; 0 declares
            none.
        shape: The gang's shape, None for the template's own.
        wait_s: Longest wait for the start in seconds, 0 for the template's own.
        fail: Share of requests whose payload fails.
        cancel: Share of requests that are cancelled.
    """

    team: str
    template: str
    weight: float
    callers: int
    run_s: float
    declared_factor: float
    shape: dict[str, Any] | None
    wait_s: float
    fail: float
    cancel: float


def parse_entries(lines: Iterable[str]) -> list[ScheduledRequest]:
    """Parses a schedule of JSON lines with ScheduledRequest's fields.

    Args:
        lines: The lines; empty ones are skipped.

    Returns:
        The requests in the order of their times.

    Raises:
        ProtocolError: If a line is invalid or two have the same team and key.
    """
    entries = [parse_entry(line) for line in lines if line.strip()]
    keys = {(entry.team, entry.key) for entry in entries}
    if len(keys) < len(entries):
        raise errors.ProtocolError("two entries have the same team and key")
    return sorted(entries, key=lambda entry: entry.at_s)


def parse_entry(line: str) -> ScheduledRequest:
    """Parses one line of a schedule.

    Args:
        line: JSON text of an object with ScheduledRequest's fields.

    Returns:
        The request.

    Raises:
        ProtocolError: If the line is invalid.
    """
    document = fields.parse_object(line.encode())
    cancels = document.get("cancel_after_s") is not None
    return ScheduledRequest(
        at_s=fields.read_nonnegative(document, "at_s"),
        key=fields.read_field(document, "key", str),
        team=fields.read_field(document, "team", str),
        body=fields.read_field(document, "body", dict),
        cancel_after_s=(fields.read_nonnegative(document, "cancel_after_s")
                        if cancels else None))


def format_entry(entry: ScheduledRequest) -> str:
    """Returns the line of a schedule for a request."""
    return json.dumps(entry._asdict())


def parse_kinds(document: dict[str, Any]) -> list[RequestKind]:
    """Parses the `kinds` of a mix file.

    Args:
        document: Decoded TOML with a list `kinds` of RequestKind's fields.

    Returns:
        The kinds.

    Raises:
        ProtocolError: If a field is invalid or the weights add up to 0.
    """
    kinds = [
        parse_kind(kind) for kind in fields.read_objects(document, "kinds")
    ]
    if not sum(kind.weight for kind in kinds):
        raise errors.ProtocolError("no kind has a weight")
    return kinds


def parse_kind(document: dict[str, Any]) -> RequestKind:
    """Parses one kind of a mix file.

    Args:
        document: Decoded object with RequestKind's fields.

    Returns:
        The kind.

    Raises:
        ProtocolError: If a field is unknown or invalid.
    """
    unknown = document.keys() - set(RequestKind._fields)
    if unknown:
        raise errors.ProtocolError(f"unknown fields {sorted(unknown)}")
    return RequestKind(team=fields.read_field(document, "team", str),
                       template=fields.read_field(document, "template", str),
                       weight=fields.read_nonnegative(document,
                                                      "weight",
                                                      default=1.0),
                       callers=fields.read_field(document,
                                                 "callers",
                                                 int,
                                                 default=1),
                       run_s=fields.read_nonnegative(document, "run_s"),
                       declared_factor=fields.read_nonnegative(
                           document, "declared_factor", default=1.0),
                       shape=fields.read_field(document,
                                               "shape",
                                               dict,
                                               default=None),
                       wait_s=fields.read_nonnegative(document,
                                                      "wait_s",
                                                      default=0.0),
                       fail=fields.read_nonnegative(document,
                                                    "fail",
                                                    default=0.0),
                       cancel=fields.read_nonnegative(document,
                                                      "cancel",
                                                      default=0.0))


def generate_entries(kinds: list[RequestKind], *, seed: int, count: int,
                     rate_per_s: float) -> list[ScheduledRequest]:
    """Generates a random schedule with Poisson arrivals.

    Args:
        kinds: Kinds of request to choose from.
        seed: Equal seeds give equal schedules.
        count: Number of requests.
        rate_per_s: Mean arrival rate in requests per second.

    Returns:
        The requests in the order of their times.
    """
    rng = random.Random(seed)
    weights = [kind.weight for kind in kinds]
    entries = []
    at_s = 0.0
    for number in range(count):
        at_s += rng.expovariate(rate_per_s)
        kind = rng.choices(kinds, weights)[0]
        key = f"load-{seed}-{number}"
        entries.append(generate_entry(kind, rng, at_s, key))
    return entries


def generate_entry(kind: RequestKind, rng: random.Random, at_s: float,
                   key: str) -> ScheduledRequest:
    """Generates one random request of a kind.

    Args:
        kind: Kind of the request.
        rng: Source of random numbers.
        at_s: When to submit it, in seconds from the start of the load.
        key: Idempotency key, also part of the expected answer.

    Returns:
        The request.
    """
    caller = f"caller-{rng.randrange(kind.callers)}"
    run_s = kind.run_s * rng.lognormvariate(0.0, RUN_TIME_SIGMA)
    fails = rng.random() < kind.fail
    cancels = rng.random() < kind.cancel
    cancel_after_s = rng.uniform(0.0, 2 * run_s)
    payload = {
        "run_s": round(run_s, 3),
        "answer": f"answer to {key} of {kind.team}",
        "fail": fails
    }
    body: dict[str, Any] = {
        "template": kind.template,
        "caller": caller,
        "payload": payload
    }
    if kind.shape is not None:
        body["shape"] = kind.shape
    if kind.declared_factor:
        body["declared_s"] = math.ceil(kind.run_s * kind.declared_factor)
    if kind.wait_s:
        body["wait_s"] = kind.wait_s
    return ScheduledRequest(at_s, key, kind.team, body,
                            cancel_after_s if cancels else None)
