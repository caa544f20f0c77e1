"""Recorded histories of workers and callers, and their parsers.

Worker histories are JSON Lines with `event`, `worker`, `boot`, `attempt`
("<request id>.<number>"), `ranks`, `epoch`, `at_s` (monotonic), `wall_s` and
`detail`. Events are `reserve`, `start`, `finish` (with `detail.answer.sha256`
on the worker of rank 0), `fail`, `stop` (without ranks if `detail.state` is
"never_started") and `lapse` (the lease expired). Events with an empty attempt
are `restart` and `down` (all tasks of the worker have ended), `leaving` and
`staying` (the leaving mark is set or withdrawn).

Caller histories are JSON Lines with `request`, `outcome`, `wall_s`,
`idempotent`, `shape` (a list) and optionally `ran`, `digest` (SHA-256 of the
answer that the caller received) and `expected` (SHA-256 that the caller
computed from its own input). An outcome is a final state, `accepted` (the
request was acknowledged), or `unknown` (the caller has to ask again).
"""

from collections.abc import Iterable
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_replay import rows

ACCEPTED = "accepted"
END_EVENTS = ("finish", "fail", "stop", "lapse")
TASK_EVENTS = ("reserve", "start", *END_EVENTS)
WORKER_EVENTS = ("restart", "down", "leaving", "staying")
OUTCOMES = (ACCEPTED, *request.State)


class Event(NamedTuple):
    """One line of a worker's history.

    Attributes:
        place: File and line.
        worker: Name of the worker.
        boot: Boot id of the worker, new after each restart.
        event: One of TASK_EVENTS and WORKER_EVENTS.
        attempt: The attempt, empty for events of the worker itself.
        ranks: Ranks of the attempt on this worker.
        epoch: Highest owner epoch that the worker has seen.
        at_s: Monotonic time of the worker in seconds.
        wall_s: Wall clock in seconds.
        digest: SHA-256 of the answer if rank 0 finished, or "".
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


class CallerRecord(NamedTuple):
    """One line of a caller's history: an outcome that it received.

    Attributes:
        place: File and line.
        request_id: The request.
        outcome: One of OUTCOMES.
        wall_s: Wall clock in seconds.
        idempotent: Whether the request may run more than once.
        shape: Shape of its gang.
        ran: Received statement on whether it ran, or "".
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
        findings: List that findings are added to.

    Returns:
        The events, in order.
    """
    events = []
    for number, line in enumerate(lines, start=1):
        row = rows.parse_line(f"{place}:{number}", line, findings)
        if row is not None:
            events.append(_read_worker_event(row))
    return events


def _read_worker_event(row: rows.RowReader) -> Event:
    detail = row.read("detail", dict, {}, optional=True)
    answer = detail.get("answer")
    event = Event(place=row.place,
                  worker=row.read_text("worker"),
                  boot=row.read_text("boot", optional=True),
                  event=row.read_text("event"),
                  attempt=row.read_text("attempt", optional=True),
                  ranks=tuple(row.read("ranks", list, [], optional=True)),
                  epoch=row.read_count("epoch", optional=True),
                  at_s=row.read_number("at_s"),
                  wall_s=row.read_number("wall_s"),
                  digest=answer["sha256"] if answer else "")
    if event.event not in TASK_EVENTS + WORKER_EVENTS:
        row.report("event", f"unknown event {event.event!r}")
    # A worker that receives a stop for an attempt unknown to it has no ranks to
    # report.
    is_unknown_attempt = event.event == "stop" and detail.get(
        "state") == "never_started"
    if event.event in TASK_EVENTS and not (event.request_id and
                                           (event.ranks or is_unknown_attempt)):
        row.report("attempt", "expected an attempt and its ranks")
    return event


def parse_caller_history(place: str, lines: Iterable[str],
                         findings: list[errors.Finding]) -> list[CallerRecord]:
    """Parses a caller history.

    Args:
        place: Name of the file.
        lines: Its lines.
        findings: List that findings are added to.

    Returns:
        The records, in order.
    """
    caller_records = []
    for number, line in enumerate(lines, start=1):
        row = rows.parse_line(f"{place}:{number}", line, findings)
        if row is not None:
            caller_records.append(_read_caller_record(row))
    return caller_records


def _read_caller_record(row: rows.RowReader) -> CallerRecord:
    record = CallerRecord(place=row.place,
                          request_id=row.read_text("request"),
                          outcome=row.read_text("outcome"),
                          wall_s=row.read_number("wall_s"),
                          idempotent=row.read_flag("idempotent"),
                          shape=row.read_shape("shape"),
                          ran=_read_text_or_null(row, "ran"),
                          digest=_read_text_or_null(row, "digest"),
                          expected=_read_text_or_null(row, "expected"))
    if record.outcome not in OUTCOMES:
        row.report("outcome", f"expected one of {sorted(OUTCOMES)}")
    return record


def _read_text_or_null(row: rows.RowReader, key: str) -> str:
    return row.read(key, (str, type(None)), "", optional=True) or ""
