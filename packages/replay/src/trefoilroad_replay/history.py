"""Recorded histories of workers and callers.

Worker histories are JSON lines with `event`, `worker`, `boot`, `attempt`
("<request id>.<number>"), `ranks`, `epoch`, `at_s` (monotonic), `wall_s` and
`detail`. Events are `reserve`, `start`, `finish` (`detail.answer.sha256` on the
member that holds rank 0), `fail`, `stop` (without ranks if `detail.state` is
"never_started"), `lapse`, and, with an empty attempt,
`restart` and `down` (everything that ran there has ended), `leaving` and
`staying` (a mark is set or withdrawn).

Caller histories are JSON lines with `request`, `outcome`, `wall_s`,
`idempotent`, `shape` (a list) and optionally `ran`, `digest` (SHA-256 of the
answer that the caller received) and `expected` (digest that the caller worked
out from its own input). An outcome is a final state, `accepted` (the request
was acknowledged), or `unknown` (ask again).
"""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_replay import rows

ACCEPTED = "accepted"
ENDS = ("finish", "fail", "stop", "lapse")
TASK_EVENTS = ("reserve", "start", *ENDS)
WORKER_EVENTS = ("restart", "down", "leaving", "staying")
OUTCOMES = (ACCEPTED, *request.State)


class Event(NamedTuple):
    """One line of a worker's history.

    Attributes:
        place: File and line.
        worker: Name of the worker.
        boot: Start of the worker's process.
        event: One of TASK_EVENTS and WORKER_EVENTS.
        attempt: The attempt, empty for events of the worker itself.
        ranks: Ranks of the attempt on this worker.
        epoch: Highest epoch that the worker has seen.
        at_s: Monotonic time of the worker in seconds.
        wall_s: Wall clock in seconds.
        digest: SHA-256 of the answer, of a finished rank 0.
    """

    place: str
    worker: str
    boot: str
    event: str
    attempt: str
    ranks: tuple[int, ...]
    epoch: int
    at_s: float
    wall_s: float
    digest: str

    @property
    def request_id(self) -> str:
        """The request that the attempt belongs to."""
        return self.attempt.rpartition(".")[0]


class Told(NamedTuple):
    """One thing that a caller was told.

    Attributes:
        place: File and line.
        request_id: The request.
        outcome: One of OUTCOMES.
        wall_s: Wall clock in seconds.
        idempotent: Whether the request may run more than once.
        shape: Shape of its gang.
        ran: What was said about whether it ran, or "".
        digest: SHA-256 of the answer that was received, or "".
        expected: SHA-256 of the answer that the caller expects, or "".
    """

    place: str
    request_id: str
    outcome: str
    wall_s: float
    idempotent: bool
    shape: request.Shape
    ran: str
    digest: str
    expected: str


def parse_worker_history(place: str, lines: Iterable[str],
                         findings: list[errors.Finding]) -> list[Event]:
    """Parses a worker history.

    Args:
        place: Name of the file.
        lines: Its lines.
        findings: Where faults are noted.

    Returns:
        The events, in order.
    """
    events = []
    for number, line in enumerate(lines, start=1):
        row = rows.parse_line(f"{place}:{number}", line, findings)
        if row is not None:
            events.append(_read_event(row))
    return events


def _read_event(row: rows.Row) -> Event:
    detail = row.read("detail", dict, {}, optional=True)
    answer = detail.get("answer")
    event = Event(place=row.place,
                  worker=row.text("worker"),
                  boot=row.text("boot", optional=True),
                  event=row.text("event"),
                  attempt=row.text("attempt", optional=True),
                  ranks=tuple(row.read("ranks", list, [], optional=True)),
                  epoch=row.count("epoch", optional=True),
                  at_s=row.number("at_s"),
                  wall_s=row.number("wall_s"),
                  digest=answer["sha256"] if answer else "")
    if event.event not in TASK_EVENTS + WORKER_EVENTS:
        row.note("event", f"unknown event {event.event!r}")
    # A worker that is told to stop an attempt it never heard of knows no ranks.
    unheard = event.event == "stop" and detail.get("state") == "never_started"
    if event.event in TASK_EVENTS and not (event.request_id and
                                           (event.ranks or unheard)):
        row.note("attempt", "expected an attempt and its ranks")
    return event


def parse_caller_history(place: str, lines: Iterable[str],
                         findings: list[errors.Finding]) -> list[Told]:
    """Parses a caller history.

    Args:
        place: Name of the file.
        lines: Its lines.
        findings: Where faults are noted.

    Returns:
        What callers were told, in order.
    """
    told = []
    for number, line in enumerate(lines, start=1):
        row = rows.parse_line(f"{place}:{number}", line, findings)
        if row is not None:
            told.append(_read_told(row))
    return told


def _read_told(row: rows.Row) -> Told:
    told = Told(place=row.place,
                request_id=row.text("request"),
                outcome=row.text("outcome"),
                wall_s=row.number("wall_s"),
                idempotent=row.flag("idempotent"),
                shape=row.shape("shape"),
                ran=_read_text_or_null(row, "ran"),
                digest=_read_text_or_null(row, "digest"),
                expected=_read_text_or_null(row, "expected"))
    if told.outcome not in OUTCOMES:
        row.note("outcome", f"expected one of {sorted(OUTCOMES)}")
    return told


def _read_text_or_null(row: rows.Row, key: str) -> str:
    return row.read(key, (str, type(None)), "", optional=True) or ""
