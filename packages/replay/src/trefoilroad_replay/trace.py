"""Recorded traces: a JSON-lines format, its parser and its writer.

The first line of a trace is the header, every further line is one event. Times
are seconds since the start of the trace. A file whose name ends in `.gz` is
compressed. Shapes are lists `[tasks, accelerators, cores, memory_gb,
adjacent]`; the figures but `tasks` are per task.

`header`: `format` (1), `name`, `checkpoint_s` (time that an eviction takes),
`racks` (list of `rack`, `failure_domain`, `workers` and the capacity of each
worker: `accelerators`, `cores`, `memory_gb`, `slots`, `connections`),
`templates` and `teams` (the fields of `contract.Template` and `contract.Team`
without overrides and token), and optionally `base` (name of the same trace
without its disturbance) and `disturbing` (teams that are not part of the base).
The workers of rack "a1" are named "a1-01", "a1-02", and so on.

`release`: `at`, `id`, `team`, `caller`, `template`, `run_s` (true run time),
and optionally `shape`, `declared_s`, `priority`, `idempotent`, `checkpoint`,
`wait_s` (taken from the template if absent) and `true_shape` (equal to the
declared shape if absent).

`cancel`: `at`, `request`. `worker`: `at`, `workers`, `state`, which is
`failed`, `returned` or `leaving`. `bad`: `at`, `until`, `after_s`, `workers`:
everything started there in that time fails after `after_s`. `outage`: `at`,
`until`: the store is down and nothing new can start.

`expect`: an outcome that is stated beforehand, for `requests` (list of ids) or
for all requests of a `team`, a `template` or both: `outcome`, and optionally
`min_share` (least share of the selected requests with that outcome, 1 if
absent), `start_p99_s` (bound of receipt to start) and `end_within_s` (bound of
receipt to outcome).
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

FORMAT = 1
WORKER_STATES = ("failed", "returned", "leaving")


class Release(NamedTuple):
    """A request that a caller submits.

    Attributes:
        at_s: Time of receipt.
        request_id: Identifier, unique in the trace.
        team: Team of the caller.
        caller: Caller inside the team.
        template: Name of the template.
        shape: Declared shape.
        true_shape: Shape that the tasks really use.
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
    """A caller cancels a request.

    Attributes:
        at_s: Time of the cancellation.
        request_id: The request.
    """

    at_s: float
    request_id: str


class WorkerChange(NamedTuple):
    """Workers fail, return or are marked as leaving.

    Attributes:
        at_s: Time of the change.
        workers: The workers.
        state: One of WORKER_STATES.
    """

    at_s: float
    workers: tuple[str, ...]
    state: str


class BadWorkers(NamedTuple):
    """Workers on which everything fails for a time.

    Attributes:
        at_s: Begin.
        until_s: End.
        after_s: Time from a start to its failure.
        workers: The workers.
    """

    at_s: float
    until_s: float
    after_s: float
    workers: tuple[str, ...]


class Outage(NamedTuple):
    """The store is down.

    Attributes:
        at_s: Begin.
        until_s: End.
    """

    at_s: float
    until_s: float


class Expectation(NamedTuple):
    """An outcome that is stated before the replay.

    Attributes:
        place: File and line.
        requests: Requests by id; empty for all of a class.
        team: Team of the class, or None for all.
        template: Template of the class, or None for all.
        outcome: One of request.State.
        min_share: Least share of the requests with that outcome.
        start_p99_s: Bound of receipt to start, or None.
        end_within_s: Bound of receipt to outcome, or None.
    """

    place: str
    requests: frozenset[str]
    team: str | None
    template: str | None
    outcome: str
    min_share: float
    start_p99_s: float | None
    end_within_s: float | None

    def selects(self, release: Release) -> bool:
        """Tells whether a request is one of those meant."""
        if self.requests and release.request_id not in self.requests:
            return False
        return (self.team in (None, release.team) and
                self.template in (None, release.template))


class Trace(NamedTuple):
    """A whole trace, in order of time.

    Attributes:
        name: Name of the trace.
        base: Name of the same trace without its disturbance, or None.
        disturbing: Teams that are not part of the base.
        checkpoint_s: Time that an eviction takes.
        fleet: The workers.
        configuration: Templates and teams.
        releases: All requests.
        cancels: All cancellations.
        changes: Failures, returns and leaving marks of workers.
        bad: Times in which workers fail everything.
        outages: Outages of the store.
        expectations: Stated outcomes.
    """

    name: str
    base: str | None
    disturbing: frozenset[str]
    checkpoint_s: float
    fleet: fleet.Fleet
    configuration: contract.Configuration
    releases: tuple[Release, ...]
    cancels: tuple[Cancel, ...]
    changes: tuple[WorkerChange, ...]
    bad: tuple[BadWorkers, ...]
    outages: tuple[Outage, ...]
    expectations: tuple[Expectation, ...]


class Parser:
    """Reads traces and collects all findings of a file."""

    def __init__(self, *, place: str):
        self._place = place
        self.findings: list[errors.Finding] = []
        self._header: dict[str, Any] = {}
        self._configuration = contract.EMPTY_CONFIGURATION
        self._fleet = fleet.Fleet(workers=[])
        self._releases: dict[str, Release] = {}
        self._cancels: list[Cancel] = []
        self._changes: list[WorkerChange] = []
        self._bad: list[BadWorkers] = []
        self._outages: list[Outage] = []
        self._expectations: list[Expectation] = []
        self._references: list[tuple[rows.Row, str, str]] = []

    def parse(self, lines: Iterable[str]) -> Trace:
        """Parses the lines of a trace.

        Args:
            lines: Lines, the header first.

        Returns:
            The trace.

        Raises:
            InvalidDocuments: With all findings, if there are any.
        """
        readers = {
            "release": self._read_release,
            "cancel": self._read_cancel,
            "worker": self._read_change,
            "bad": self._read_bad,
            "outage": self._read_outage,
            "expect": self._read_expectation,
        }
        number = 0
        for number, line in enumerate(lines, start=1):
            row = rows.parse_line(f"{self._place}:{number}", line,
                                  self.findings)
            if row is None:
                continue
            kind = row.text("kind")
            if number == 1:
                if kind == "header":
                    self._read_header(row)
                else:
                    row.note("kind", "the first line must be a header")
                    break
            elif kind in readers:
                readers[kind](row)
            else:
                row.note("kind", f"expected one of {sorted(readers)}")
                continue
            row.finish()
        if number == 0:
            self.findings.append(errors.Finding(self._place, "", "is empty"))
        self._check_references()
        if self.findings:
            raise errors.InvalidDocuments.from_findings(self.findings)
        return self._build()

    def _read_header(self, row: rows.Row) -> None:
        if row.count("format") != FORMAT:
            row.note("format", f"expected {FORMAT}")
        self._header = {
            "name": row.text("name"),
            "base": row.text("base", optional=True) or None,
            "disturbing": frozenset(row.names("disturbing", optional=True)),
            "checkpoint_s": row.number("checkpoint_s"),
        }
        self._fleet = fleet.Fleet(workers=[
            worker for rack in row.rows("racks") for worker in _read_rack(rack)
        ])
        templates = [_read_template(each) for each in row.rows("templates")]
        teams = [_read_team(each) for each in row.rows("teams")]
        self._configuration = contract.Configuration(
            version=1,
            templates={template.name: template for template in templates},
            teams={team.name: team for team in teams})
        for team in teams:
            for name in team.templates:
                if name not in self._configuration.templates:
                    row.note("teams", f"{team.name}: unknown template {name!r}")

    def _read_release(self, row: rows.Row) -> None:
        team = row.text("team")
        name = row.text("template")
        try:
            template = self._configuration.resolve_template(team, name)
        except KeyError:
            row.note("template", f"team {team!r} has no template {name!r}")
            row.ignore_rest()
            return
        shape = row.shape("shape", template.shape, optional=True)
        release = Release(at_s=row.number("at"),
                          request_id=row.text("id"),
                          team=team,
                          caller=row.text("caller"),
                          template=name,
                          shape=shape,
                          true_shape=row.shape("true_shape",
                                               shape,
                                               optional=True),
                          declared_s=row.number("declared_s",
                                                template.declared_s,
                                                optional=True),
                          run_s=row.number("run_s"),
                          priority=row.count("priority",
                                             template.priority,
                                             optional=True),
                          idempotent=row.flag("idempotent",
                                              template.idempotent,
                                              optional=True),
                          checkpoint=row.flag("checkpoint",
                                              template.checkpoint,
                                              optional=True),
                          wait_s=row.number("wait_s",
                                            template.wait_s,
                                            optional=True))
        if release.request_id in self._releases:
            row.note("id", f"{release.request_id!r} is released twice")
        self._releases[release.request_id] = release

    def _read_cancel(self, row: rows.Row) -> None:
        cancel = Cancel(row.number("at"), row.text("request"))
        self._references.append((row, "request", cancel.request_id))
        self._cancels.append(cancel)

    def _read_workers(self, row: rows.Row) -> tuple[str, ...]:
        workers = row.names("workers")
        for worker_id in workers:
            if worker_id not in self._fleet.workers:
                row.note("workers", f"unknown worker {worker_id!r}")
        return workers

    def _read_change(self, row: rows.Row) -> None:
        change = WorkerChange(row.number("at"), self._read_workers(row),
                              row.text("state"))
        if change.state not in WORKER_STATES:
            row.note("state", f"expected one of {WORKER_STATES}")
        self._changes.append(change)

    def _read_bad(self, row: rows.Row) -> None:
        bad = BadWorkers(row.number("at"), row.number("until"),
                         row.number("after_s"), self._read_workers(row))
        if bad.until_s <= bad.at_s:
            row.note("until", "must be later than at")
        self._bad.append(bad)

    def _read_outage(self, row: rows.Row) -> None:
        outage = Outage(row.number("at"), row.number("until"))
        if outage.until_s <= outage.at_s:
            row.note("until", "must be later than at")
        self._outages.append(outage)

    def _read_expectation(self, row: rows.Row) -> None:
        expectation = Expectation(
            place=row.place,
            requests=frozenset(row.names("requests", optional=True)),
            team=row.text("team", optional=True) or None,
            template=row.text("template", optional=True) or None,
            outcome=row.text("outcome"),
            min_share=row.number("min_share", 1.0, optional=True),
            start_p99_s=_read_bound(row, "start_p99_s"),
            end_within_s=_read_bound(row, "end_within_s"))
        if expectation.outcome not in request.FINAL_STATES:
            row.note("outcome",
                     f"expected one of {sorted(request.FINAL_STATES)}")
        for request_id in sorted(expectation.requests):
            self._references.append((row, "requests", request_id))
        self._expectations.append(expectation)

    def _check_references(self) -> None:
        for row, key, request_id in self._references:
            if request_id not in self._releases:
                row.note(key, f"{request_id!r} is never released")
        for expectation in self._expectations:
            if not any(map(expectation.selects, self._releases.values())):
                self.findings.append(
                    errors.Finding(expectation.place, "", "selects no request"))

    def _build(self) -> Trace:
        return Trace(fleet=self._fleet,
                     configuration=self._configuration,
                     releases=tuple(
                         sorted(self._releases.values(),
                                key=lambda release: release.at_s)),
                     cancels=tuple(sorted(self._cancels)),
                     changes=tuple(sorted(self._changes)),
                     bad=tuple(sorted(self._bad)),
                     outages=tuple(sorted(self._outages)),
                     expectations=tuple(self._expectations),
                     **self._header)


def _read_bound(row: rows.Row, key: str) -> float | None:
    return row.number(key, optional=True) if row.has(key) else None


def _read_rack(row: rows.Row) -> list[fleet.Worker]:
    rack = row.text("rack")
    domain = row.text("failure_domain")
    count = row.count("workers")
    accelerators = row.count("accelerators")
    cores = row.count("cores")
    memory_gb = row.count("memory_gb")
    slots = row.count("slots")
    connections = row.count("connections")
    row.finish()
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


def _read_template(row: rows.Row) -> contract.Template:
    template = contract.Template(name=row.text("name"),
                                 shape=row.shape("shape"),
                                 idempotent=row.flag("idempotent"),
                                 checkpoint=row.flag("checkpoint"),
                                 priority=row.count("priority"),
                                 wait_s=row.number("wait_s"),
                                 declared_s=row.number("declared_s"))
    row.finish()
    return template


def _read_team(row: rows.Row) -> contract.Team:
    guarantees = []
    for each in row.rows("guarantees"):
        guarantees.append(
            contract.Guarantee(each.shape("shape"), each.count("gangs")))
        each.finish()
    team = contract.Team(
        name=row.text("name"),
        weight=row.number("weight"),
        guarantees=tuple(guarantees),
        max_queued=row.count("max_queued"),
        max_queued_per_caller=row.count("max_queued_per_caller"),
        max_accelerators=row.count("max_accelerators"),
        templates=row.names("templates"),
        overrides={},
        token_sha256="")
    row.finish()
    return team


def read_trace(path: pathlib.Path) -> Trace:
    """Reads a trace file.

    Args:
        path: File in the format of this module, compressed if it ends in .gz.

    Returns:
        The trace.

    Raises:
        InvalidDocuments: With all findings, if there are any.
    """
    content = path.read_bytes()
    if path.suffix == ".gz":
        content = gzip.decompress(content)
    return Parser(place=path.name).parse(content.decode().splitlines())


def write_rows(path: pathlib.Path, events: Iterable[dict[str, Any]]) -> None:
    """Writes the lines of a trace; equal rows give equal bytes.

    Args:
        path: File to write, compressed if it ends in .gz.
        events: Header and events.
    """
    lines = [json.dumps(row, separators=(",", ":")) + "\n" for row in events]
    content = "".join(lines).encode()
    if path.suffix == ".gz":
        content = gzip.compress(content, mtime=0)
    path.write_bytes(content)
