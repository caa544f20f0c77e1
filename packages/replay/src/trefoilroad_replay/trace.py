"""Recorded traces: the JSON Lines format, its parser and its writer.

The first line of a trace is the header, each further line is one event. Times
are seconds since the start of the trace. A file whose name ends in `.gz` is
compressed. Shapes are lists `[tasks, accelerators, cores, memory_gb,
adjacent]`; all numbers except `tasks` are per task.

`header`: `format` (1), `name`, `checkpoint_s` (time that an eviction takes),
`racks` (list of `rack`, `failure_domain`, `workers` and the capacity of each
worker: `accelerators`, `cores`, `memory_gb`, `slots`, `connections`),
`templates` and `teams` (the fields of `contract.Template` and `contract.Team`
without overrides and token), and optionally `base` (name of the same trace
without its disturbance, to compare with) and `disturbing` (teams that cause the
disturbance; the comparison leaves out their requests). The workers of rack "a1"
are named "a1-01", "a1-02", and so on.

`release`: `at`, `id`, `team`, `caller`, `template`, `run_s` (true run time),
and optionally `shape`, `declared_s`, `priority`, `idempotent`, `checkpoint`,
`wait_s` (taken from the template if absent) and `true_shape` (equal to the
declared shape if absent).

`cancel`: `at`, `request`. `worker`: `at`, `workers`, `state`, which is
`failed`, `returned` or `leaving`. `bad`: `at`, `until`, `after_s`, `workers`:
every task started on these workers from `at` to `until` fails after `after_s`.
`outage`: `at`, `until`: the store is down, so that nothing new can start.

`expect`: the expected outcome of `requests` (list of ids) or of all requests of
a `team`, a `template` or both: `outcome`, and optionally `min_share` (smallest
share of the selected requests with that outcome, 1 if absent), `start_p99_s`
(largest p99 of the time from receipt to start) and `end_within_s` (longest time
from submission to outcome).
"""

from collections.abc import Iterable
import gzip
import json
import pathlib
from typing import Any
from typing import NamedTuple

from trefoilroad_core import contract
from trefoilroad_core import errors
from trefoilroad_core import fleet
from trefoilroad_core import request
from trefoilroad_replay import rows

FORMAT_VERSION = 1
WORKER_STATES = ("failed", "returned", "leaving")


class TraceRequest(NamedTuple):
    """A request that a caller submits, an event `release` of the trace.

    Attributes:
        at_s: Time of receipt.
        request_id: Identifier, unique in the trace.
        team: Team of the caller.
        caller: Caller inside the team.
        template: Name of the template.
        shape: Declared shape.
        true_shape: Resources that the tasks really use.
        declared_s: Declared run time in seconds.
        run_s: True run time in seconds.
        priority: 0 (most urgent) to 9.
        idempotent: Whether it may run more than once.
        checkpoint: Whether it can be checkpointed.
        wait_s: Longest time from receipt to start, in seconds.
    """

    at_s: float
    request_id: str
    team: str
    caller: str
    template: str
    shape: request.Shape
    true_shape: request.Shape
    declared_s: float
    run_s: float
    priority: int
    idempotent: bool
    checkpoint: bool
    wait_s: float


class Cancel(NamedTuple):
    """Cancellation of a request by its caller.

    Attributes:
        at_s: Time of the cancellation.
        request_id: The request.
    """

    at_s: float
    request_id: str


class WorkerChange(NamedTuple):
    """Change of workers that fail, return or are marked as leaving.

    Attributes:
        at_s: Time of the change.
        workers: The workers.
        state: One of WORKER_STATES.
    """

    at_s: float
    workers: tuple[str, ...]
    state: str


class BadWorkers(NamedTuple):
    """Workers on which every task fails for some time.

    Attributes:
        at_s: Start of that time.
        until_s: End of that time.
        after_s: Time from the start of a task to its failure, in seconds.
        workers: The workers.
    """

    at_s: float
    until_s: float
    after_s: float
    workers: tuple[str, ...]


class Outage(NamedTuple):
    """Outage of the store.

    Attributes:
        at_s: Start of the outage.
        until_s: End of the outage.
    """

    at_s: float
    until_s: float


class Expectation(NamedTuple):
    """Expected outcome of some requests of a trace.

    Attributes:
        place: File and line.
        requests: Ids of the requests; empty to select by team and template.
        team: Team whose requests are selected, or None for all.
        template: Template whose requests are selected, or None for all.
        outcome: One of request.State.
        min_share: Smallest share of the requests with that outcome.
        start_p99_s: Largest p99 of the time from receipt to start, or None.
        end_within_s: Longest time from submission to outcome, or None.
    """

    place: str
    requests: frozenset[str]
    team: str | None
    template: str | None
    outcome: str
    min_share: float
    start_p99_s: float | None
    end_within_s: float | None

    def selects(self, trace_request: TraceRequest) -> bool:
        """Tells whether the expectation applies to a request."""
        if self.requests and trace_request.request_id not in self.requests:
            return False
        return (self.team in (None, trace_request.team) and
                self.template in (None, trace_request.template))


class Trace(NamedTuple):
    """A parsed trace, with all events in order of time.

    Attributes:
        name: Name of the trace.
        base: Name of the same trace without its disturbance, or None.
        disturbing: Teams that cause the disturbance; the comparison with the
            base leaves out their requests.
        checkpoint_s: Time that an eviction takes, in seconds.
        fleet: The workers.
        configuration: Templates and teams.
        trace_requests: All requests.
        cancels: All cancellations.
        worker_changes: Failures, returns and leaving marks of workers.
        bad_workers: Workers on which every task fails, with the time.
        outages: Outages of the store.
        expectations: Expected outcomes.
    """

    name: str
    base: str | None
    disturbing: frozenset[str]
    checkpoint_s: float
    fleet: fleet.Fleet
    configuration: contract.Configuration
    trace_requests: tuple[TraceRequest, ...]
    cancels: tuple[Cancel, ...]
    worker_changes: tuple[WorkerChange, ...]
    bad_workers: tuple[BadWorkers, ...]
    outages: tuple[Outage, ...]
    expectations: tuple[Expectation, ...]


class Parser:
    """Parses a trace and collects all findings of the file."""

    def __init__(self, *, place: str):
        self._place = place
        self.findings: list[errors.Finding] = []
        self._header: dict[str, Any] = {}
        self._configuration = contract.EMPTY_CONFIGURATION
        self._fleet = fleet.Fleet(workers=[])
        self._trace_requests: dict[str, TraceRequest] = {}
        self._cancels: list[Cancel] = []
        self._worker_changes: list[WorkerChange] = []
        self._bad_workers: list[BadWorkers] = []
        self._outages: list[Outage] = []
        self._expectations: list[Expectation] = []
        self._references: list[tuple[rows.RowReader, str, str]] = []

    def parse(self, lines: Iterable[str]) -> Trace:
        """Parses the lines of a trace.

        Args:
            lines: Lines, the header first.

        Returns:
            The trace.

        Raises:
            InvalidDocuments: If the trace is invalid; holds all findings.
        """
        readers = {
            "release": self._read_release,
            "cancel": self._read_cancel,
            "worker": self._read_worker_change,
            "bad": self._read_bad_workers,
            "outage": self._read_outage,
            "expect": self._read_expectation,
        }
        number = 0
        for number, line in enumerate(lines, start=1):
            row = rows.parse_line(f"{self._place}:{number}", line,
                                  self.findings)
            if row is None:
                continue
            kind = row.read_text("kind")
            if number == 1:
                if kind == "header":
                    self._read_header(row)
                else:
                    row.report("kind", "the first line must be a header")
                    break
            elif kind in readers:
                readers[kind](row)
            else:
                row.report("kind", f"expected one of {sorted(readers)}")
                continue
            row.close()
        if number == 0:
            self.findings.append(errors.Finding(self._place, "", "is empty"))
        self._check_references()
        if self.findings:
            raise errors.InvalidDocuments.from_findings(self.findings)
        return self._build()

    def _read_header(self, row: rows.RowReader) -> None:
        if row.read_count("format") != FORMAT_VERSION:
            row.report("format", f"expected {FORMAT_VERSION}")
        self._header = {
            "name":
                row.read_text("name"),
            "base":
                row.read_text("base", optional=True) or None,
            "disturbing":
                frozenset(row.read_names("disturbing", optional=True)),
            "checkpoint_s":
                row.read_number("checkpoint_s"),
        }
        self._fleet = fleet.Fleet(workers=[
            worker for rack in row.read_rows("racks")
            for worker in _read_rack(rack)
        ])
        templates = [
            _read_template(template_row)
            for template_row in row.read_rows("templates")
        ]
        teams = [_read_team(team_row) for team_row in row.read_rows("teams")]
        self._configuration = contract.Configuration(
            version=1,
            templates={template.name: template for template in templates},
            teams={team.name: team for team in teams})
        for team in teams:
            for name in team.templates:
                if name not in self._configuration.templates:
                    row.report("teams",
                               f"{team.name}: unknown template {name!r}")

    def _read_release(self, row: rows.RowReader) -> None:
        team = row.read_text("team")
        name = row.read_text("template")
        try:
            template = self._configuration.resolve_template(team, name)
        except KeyError:
            row.report("template", f"team {team!r} has no template {name!r}")
            row.ignore_rest()
            return
        shape = row.read_shape("shape", template.shape, optional=True)
        trace_request = TraceRequest(
            at_s=row.read_number("at"),
            request_id=row.read_text("id"),
            team=team,
            caller=row.read_text("caller"),
            template=name,
            shape=shape,
            true_shape=row.read_shape("true_shape", shape, optional=True),
            declared_s=row.read_number("declared_s",
                                       template.declared_s,
                                       optional=True),
            run_s=row.read_number("run_s"),
            priority=row.read_count("priority",
                                    template.priority,
                                    optional=True),
            idempotent=row.read_flag("idempotent",
                                     template.idempotent,
                                     optional=True),
            checkpoint=row.read_flag("checkpoint",
                                     template.checkpoint,
                                     optional=True),
            wait_s=row.read_number("wait_s", template.wait_s, optional=True))
        if trace_request.request_id in self._trace_requests:
            row.report("id", f"{trace_request.request_id!r} is released twice")
        self._trace_requests[trace_request.request_id] = trace_request

    def _read_cancel(self, row: rows.RowReader) -> None:
        cancel = Cancel(row.read_number("at"), row.read_text("request"))
        self._references.append((row, "request", cancel.request_id))
        self._cancels.append(cancel)

    def _read_workers(self, row: rows.RowReader) -> tuple[str, ...]:
        workers = row.read_names("workers")
        for worker_id in workers:
            if worker_id not in self._fleet.workers:
                row.report("workers", f"unknown worker {worker_id!r}")
        return workers

    def _read_worker_change(self, row: rows.RowReader) -> None:
        change = WorkerChange(row.read_number("at"), self._read_workers(row),
                              row.read_text("state"))
        if change.state not in WORKER_STATES:
            row.report("state", f"expected one of {WORKER_STATES}")
        self._worker_changes.append(change)

    def _read_bad_workers(self, row: rows.RowReader) -> None:
        bad_workers = BadWorkers(row.read_number("at"),
                                 row.read_number("until"),
                                 row.read_number("after_s"),
                                 self._read_workers(row))
        if bad_workers.until_s <= bad_workers.at_s:
            row.report("until", "must be later than at")
        self._bad_workers.append(bad_workers)

    def _read_outage(self, row: rows.RowReader) -> None:
        outage = Outage(row.read_number("at"), row.read_number("until"))
        if outage.until_s <= outage.at_s:
            row.report("until", "must be later than at")
        self._outages.append(outage)

    def _read_expectation(self, row: rows.RowReader) -> None:
        expectation = Expectation(
            place=row.place,
            requests=frozenset(row.read_names("requests", optional=True)),
            team=row.read_text("team", optional=True) or None,
            template=row.read_text("template", optional=True) or None,
            outcome=row.read_text("outcome"),
            min_share=row.read_number("min_share", 1.0, optional=True),
            start_p99_s=_read_optional_number(row, "start_p99_s"),
            end_within_s=_read_optional_number(row, "end_within_s"))
        if expectation.outcome not in request.FINAL_STATES:
            row.report("outcome",
                       f"expected one of {sorted(request.FINAL_STATES)}")
        for request_id in sorted(expectation.requests):
            self._references.append((row, "requests", request_id))
        self._expectations.append(expectation)

    def _check_references(self) -> None:
        for row, key, request_id in self._references:
            if request_id not in self._trace_requests:
                row.report(key, f"{request_id!r} is never released")
        for expectation in self._expectations:
            if not any(map(expectation.selects, self._trace_requests.values())):
                self.findings.append(
                    errors.Finding(expectation.place, "", "selects no request"))

    def _build(self) -> Trace:
        return Trace(fleet=self._fleet,
                     configuration=self._configuration,
                     trace_requests=tuple(
                         sorted(self._trace_requests.values(),
                                key=lambda trace_request: trace_request.at_s)),
                     cancels=tuple(sorted(self._cancels)),
                     worker_changes=tuple(sorted(self._worker_changes)),
                     bad_workers=tuple(sorted(self._bad_workers)),
                     outages=tuple(sorted(self._outages)),
                     expectations=tuple(self._expectations),
                     **self._header)


def _read_optional_number(row: rows.RowReader, key: str) -> float | None:
    return row.read_number(key, optional=True) if row.has(key) else None


def _read_rack(row: rows.RowReader) -> list[fleet.Worker]:
    rack = row.read_text("rack")
    domain = row.read_text("failure_domain")
    count = row.read_count("workers")
    accelerators = row.read_count("accelerators")
    cores = row.read_count("cores")
    memory_gb = row.read_count("memory_gb")
    slots = row.read_count("slots")
    connections = row.read_count("connections")
    row.close()
    return [
        fleet.Worker(worker_id=f"{rack}-{number:02}",
                     address="",
                     failure_domain=domain,
                     rack=rack,
                     accelerators=accelerators,
                     cores=cores,
                     memory_gb=memory_gb,
                     slots=slots,
                     connections=connections) for number in range(1, count + 1)
    ]


def _read_template(row: rows.RowReader) -> contract.Template:
    template = contract.Template(name=row.read_text("name"),
                                 shape=row.read_shape("shape"),
                                 idempotent=row.read_flag("idempotent"),
                                 checkpoint=row.read_flag("checkpoint"),
                                 priority=row.read_count("priority"),
                                 wait_s=row.read_number("wait_s"),
                                 declared_s=row.read_number("declared_s"))
    row.close()
    return template


def _read_team(row: rows.RowReader) -> contract.Team:
    guarantees = []
    for guarantee_row in row.read_rows("guarantees"):
        guarantees.append(
            contract.Guarantee(guarantee_row.read_shape("shape"),
                               guarantee_row.read_count("gangs")))
        guarantee_row.close()
    team = contract.Team(
        name=row.read_text("name"),
        weight=row.read_number("weight"),
        guarantees=tuple(guarantees),
        max_queued=row.read_count("max_queued"),
        max_queued_per_caller=row.read_count("max_queued_per_caller"),
        max_accelerators=row.read_count("max_accelerators"),
        templates=row.read_names("templates"),
        overrides={},
        token_sha256="")
    row.close()
    return team


def read_trace(path: pathlib.Path) -> Trace:
    """Reads a trace file.

    Args:
        path: File in the format of this module, compressed if it ends in .gz.

    Returns:
        The trace.

    Raises:
        InvalidDocuments: If the trace is invalid; holds all findings.
    """
    content = path.read_bytes()
    if path.suffix == ".gz":
        content = gzip.decompress(content)
    return Parser(place=path.name).parse(content.decode().splitlines())


def write_trace(path: pathlib.Path, events: Iterable[dict[str, Any]]) -> None:
    """Writes a trace file; the same rows always give the same bytes.

    Args:
        path: File to write, compressed if it ends in .gz.
        events: Header row and event rows.
    """
    lines = [json.dumps(row, separators=(",", ":")) + "\n" for row in events]
    content = "".join(lines).encode()
    if path.suffix == ".gz":
        content = gzip.compress(content, mtime=0)
    path.write_bytes(content)
