"""Schedules of requests for the load tool."""

from collections.abc import Iterable
import json
import math
import random
from typing import Any
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_standins import fields

# Spread of run times around their median; about 5% take 2.3 times as long.
RUN_TIME_SIGMA = 0.5


class Entry(NamedTuple):
    """One request to submit.

    Attributes:
        at_s: When, in seconds from the start of the load.
        key: Idempotency key.
        team: Team whose token is used.
        body: Body of the submission.
        cancel_after_s: Seconds from the first submission until the request is
            cancelled, None for never.
    """

    at_s: float
    key: str
    team: str
    body: dict[str, Any]
    cancel_after_s: float | None = None


class Kind(NamedTuple):
    """One kind of request of a generated schedule.

    Attributes:
        team: Team that submits it.
        template: Template that it names.
        weight: Share of all requests, relative to the other kinds.
        callers: Number of callers that take turns at random.
        run_s: Median run time in seconds.
        declared_factor: Declared run time divided by the median; 0 declares
            none.
        shape: The gang's shape, None for the template's own.
        wait_s: Longest wait for the start, 0 for the template's own.
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


def parse_entries(lines: Iterable[str]) -> list[Entry]:
    """Reads a schedule of JSON lines with Entry's fields.

    Args:
        lines: The lines; empty ones are left out.

    Returns:
        The entries by time.

    Raises:
        ProtocolError: If a line is wrong.
    """
    entries = [parse_entry(line) for line in lines if line.strip()]
    keys = {(entry.team, entry.key) for entry in entries}
    if len(keys) < len(entries):
        raise errors.ProtocolError("two entries have the same team and key")
    return sorted(entries, key=lambda entry: entry.at_s)


def parse_entry(line: str) -> Entry:
    """Reads one line of a schedule.

    Args:
        line: JSON text of an object with Entry's fields.

    Returns:
        The entry.

    Raises:
        ProtocolError: If the line is wrong.
    """
    item = fields.parse_object(line.encode())
    cancels = item.get("cancel_after_s") is not None
    return Entry(at_s=fields.read_seconds(item, "at_s"),
                 key=fields.read_field(item, "key", str),
                 team=fields.read_field(item, "team", str),
                 body=fields.read_field(item, "body", dict),
                 cancel_after_s=(fields.read_seconds(item, "cancel_after_s")
                                 if cancels else None))


def format_entry(entry: Entry) -> str:
    """Returns an entry as a line of a schedule."""
    return json.dumps(entry._asdict())


def parse_kinds(document: dict[str, Any]) -> list[Kind]:
    """Reads the `kinds` of a mix.

    Args:
        document: Decoded TOML with a list `kinds` of Kind's fields.

    Returns:
        The kinds.

    Raises:
        ProtocolError: If there is none or a field is wrong.
    """
    kinds = [
        parse_kind(item) for item in fields.read_objects(document, "kinds")
    ]
    if not sum(kind.weight for kind in kinds):
        raise errors.ProtocolError("no kind has a weight")
    return kinds


def parse_kind(item: dict[str, Any]) -> Kind:
    """Reads one kind of a mix.

    Args:
        item: Decoded object with Kind's fields.

    Returns:
        The kind.

    Raises:
        ProtocolError: If a field is unknown or wrong.
    """
    unknown = item.keys() - set(Kind._fields)
    if unknown:
        raise errors.ProtocolError(f"unknown fields {sorted(unknown)}")
    return Kind(team=fields.read_field(item, "team", str),
                template=fields.read_field(item, "template", str),
                weight=fields.read_seconds(item, "weight", default=1.0),
                callers=fields.read_field(item, "callers", int, default=1),
                run_s=fields.read_seconds(item, "run_s"),
                declared_factor=fields.read_seconds(item,
                                                    "declared_factor",
                                                    default=1.0),
                shape=fields.read_field(item, "shape", dict, default=None),
                wait_s=fields.read_seconds(item, "wait_s", default=0.0),
                fail=fields.read_seconds(item, "fail", default=0.0),
                cancel=fields.read_seconds(item, "cancel", default=0.0))


def generate_entries(kinds: list[Kind], *, seed: int, count: int,
                     rate_per_s: float) -> list[Entry]:
    """Draws a schedule with arrivals that do not depend on each other.

    Args:
        kinds: What to choose from.
        seed: Equal seeds give equal schedules.
        count: Number of requests.
        rate_per_s: Mean arrivals a second.

    Returns:
        The entries by time.
    """
    source = random.Random(seed)
    weights = [kind.weight for kind in kinds]
    entries = []
    at_s = 0.0
    for number in range(count):
        at_s += source.expovariate(rate_per_s)
        kind = source.choices(kinds, weights)[0]
        key = f"load-{seed}-{number}"
        entries.append(draw_entry(kind, source, at_s, key))
    return entries


def draw_entry(kind: Kind, source: random.Random, at_s: float,
               key: str) -> Entry:
    """Draws one request of a kind.

    Args:
        kind: The kind.
        source: Random numbers.
        at_s: When to submit it.
        key: Idempotency key, also part of the answer.

    Returns:
        The entry.
    """
    caller = f"caller-{source.randrange(kind.callers)}"
    run_s = kind.run_s * source.lognormvariate(0.0, RUN_TIME_SIGMA)
    fails = source.random() < kind.fail
    cancels = source.random() < kind.cancel
    cancel_after_s = source.uniform(0.0, 2 * run_s)
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
    return Entry(at_s, key, kind.team, body,
                 cancel_after_s if cancels else None)
