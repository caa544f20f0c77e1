"""Parses, validates and compares operators' documents."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import re
from typing import Any
from typing import NamedTuple

import tomlkit

from trefoilroad_core import contract
from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_core import table

OPERATORS_FILE = "operators.toml"
FLEET_FILE = "fleet.toml"
FILE_LAYOUT = ("templates/<name>.toml, teams/<name>.toml, "
               f"{OPERATORS_FILE} and {FLEET_FILE}")

MAX_DOCUMENTS = 200
MAX_DOCUMENTS_BYTES = 1 << 20

MAX_TASKS_PER_GANG = 1024
MAX_ACCELERATORS_PER_TASK = 64
MAX_CORES_PER_TASK = 1024
MAX_MEMORY_GB_PER_TASK = 65536
MAX_GANGS_PER_GUARANTEE = 10_000
MAX_QUEUED = 1_000_000
MAX_ACCELERATORS_PER_TEAM = 1_000_000
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000.0
MIN_DURATION_S = 0.1
MAX_DURATION_S = 30 * 24 * 3600.0
LEAST_URGENT_PRIORITY = 9

DEFAULT_PRIORITY = 5
DEFAULT_WEIGHT = 1.0
DEFAULT_MAX_QUEUED = 1000
DEFAULT_MAX_QUEUED_PER_CALLER = 100

_FILE_NAME_PATTERN = re.compile(r"(templates|teams)/([^/]*)\.toml")
_WORKER_ID_PATTERN = re.compile(r"[!-~]{1,128}")
_WORKER_ID_HINT = "the id of a worker, 1 to 128 printable characters, no spaces"


class Change(NamedTuple):
    """One key that differs between two sets of documents.

    Attributes:
        key: File name and dotted key path, "teams/a.toml:weight".
        before: Old value, None if the key was absent.
        after: New value, None if the key is absent now.
    """

    key: str
    before: Any
    after: Any


class _DocumentReader:
    """Reads the documents of one set into contracts."""

    def __init__(self, names: Iterable[str]):
        self._names = frozenset(names)
        self.templates: dict[str, contract.Template] = {}
        self.teams: dict[str, contract.Team] = {}
        self.operators: dict[str, str] = {}
        self.drained: frozenset[str] = frozenset()
        self._tokens: dict[str, str] = {}

    def read_template(self, top: table.Table, name: str) -> None:
        values = top.read_table("template")
        _check_name(values, name)
        self.templates[name] = contract.Template(
            name=name,
            shape=_read_shape(values.read_table("shape")),
            idempotent=values.read_bool("idempotent"),
            checkpoint=values.read_bool("checkpoint", False),
            priority=_read_priority(values),
            wait_s=_read_duration(values, "wait_s"),
            declared_s=_read_duration(values, "declared_s"))
        values.close()
        top.close()

    def read_team(self, top: table.Table, name: str) -> None:
        values = top.read_table("team")
        _check_name(values, name)
        max_queued = values.read_int("max_queued", 1, MAX_QUEUED,
                                     DEFAULT_MAX_QUEUED)
        team = contract.Team(
            name=name,
            weight=values.read_float("weight", MIN_WEIGHT, MAX_WEIGHT,
                                     DEFAULT_WEIGHT),
            guarantees=_read_guarantees(top),
            max_queued=max_queued,
            max_queued_per_caller=values.read_int(
                "max_queued_per_caller", 1, MAX_QUEUED,
                min(DEFAULT_MAX_QUEUED_PER_CALLER, max_queued)),
            max_accelerators=values.read_int("max_accelerators", 0,
                                             MAX_ACCELERATORS_PER_TEAM, 0),
            templates=values.read_texts("templates"),
            overrides=self._read_overrides(top),
            token_sha256=self._read_token(values, f"team {name!r}"))
        self.teams[name] = team
        self._check_templates(top, values, team)
        _check_limits(values, team)
        values.close()
        top.close()

    def read_operators(self, top: table.Table) -> None:
        for values in top.read_tables("operator"):
            name = values.read_text("name")
            if name and name in self.operators:
                values.report("name", f"{name!r} is used twice; rename one")
            digest = self._read_token(values, f"operator {name!r}")
            self.operators[name] = digest
            values.close()
        if not self.operators:
            top.report(
                "operator", "no operator; add at least one [[operator]],"
                " or nobody could publish again")
        top.close()

    def read_fleet(self, top: table.Table) -> None:
        drained = top.read_texts("drained",
                                 pattern=_WORKER_ID_PATTERN,
                                 hint=_WORKER_ID_HINT,
                                 default=())
        self.drained = frozenset(drained)
        top.close()

    def _read_token(self, values: table.Table, holder: str) -> str:
        """Reads a token digest, unique among all teams and operators."""
        digest = values.read_text("token_sha256",
                                  pattern=table.DIGEST_PATTERN,
                                  hint=table.DIGEST_HINT)
        other = self._tokens.setdefault(digest, holder) if digest else holder
        if other != holder:
            values.report("token_sha256",
                          f"{other} has the same token; give each its own")
        return digest

    def _read_overrides(self, top: table.Table) -> dict[str, dict[str, object]]:
        named = top.read_named_tables("override")
        return {name: _read_override(values) for name, values in named.items()}

    def _check_templates(self, top: table.Table, values: table.Table,
                         team: contract.Team) -> None:
        for name in team.templates:
            if f"templates/{name}.toml" not in self._names:
                values.report(
                    "templates", f"template {name!r} does not exist; add "
                    f"templates/{name}.toml or remove the name")
        for name in team.overrides:
            if name not in team.templates:
                top.report(
                    f"override.{name}",
                    f"{name!r} is not among the team's templates; add it "
                    "there or remove the override")


def _check_name(values: table.Table, name: str) -> None:
    declared_name = values.read_text("name")
    if declared_name and declared_name != name:
        values.report(
            "name", f"{declared_name!r} differs from the file name; "
            f"give {name!r} or rename the file")


def _check_limits(values: table.Table, team: contract.Team) -> None:
    if (team.max_queued_per_caller > team.max_queued and
            not values.has_finding("max_queued")):
        values.report(
            "max_queued_per_caller",
            f"{team.max_queued_per_caller} is more than max_queued; "
            f"give at most {team.max_queued}")
    guaranteed = sum(guarantee.shape.total_accelerators * guarantee.gangs
                     for guarantee in team.guarantees)
    if 0 < team.max_accelerators < guaranteed:
        values.report(
            "max_accelerators",
            f"{team.max_accelerators} is less than the {guaranteed} "
            "guaranteed; give at least as many, or 0 for no limit")


def _read_priority(values: table.Table) -> int:
    return values.read_int("priority", 0, LEAST_URGENT_PRIORITY,
                           DEFAULT_PRIORITY)


def _read_duration(values: table.Table, key: str) -> float:
    return values.read_float(key, MIN_DURATION_S, MAX_DURATION_S)


def _read_shape(values: table.Table) -> request.Shape:
    shape = request.Shape(
        tasks=values.read_int("tasks", 1, MAX_TASKS_PER_GANG),
        accelerators=values.read_int("accelerators", 0,
                                     MAX_ACCELERATORS_PER_TASK),
        cores=values.read_int("cores", 1, MAX_CORES_PER_TASK, 1),
        memory_gb=values.read_int("memory_gb", 1, MAX_MEMORY_GB_PER_TASK, 1),
        adjacent=values.read_choice("adjacent", ("none", "rack"), "none"))
    values.close()
    return shape


def _read_guarantees(top: table.Table) -> tuple[contract.Guarantee, ...]:
    guarantees: list[contract.Guarantee] = []
    for values in top.read_tables("guarantee"):
        guarantee = contract.Guarantee(
            shape=_read_shape(values.read_table("shape")),
            gangs=values.read_int("gangs", 1, MAX_GANGS_PER_GUARANTEE))
        if any(guarantee.shape == other.shape for other in guarantees):
            values.report(
                "shape", "an earlier guarantee has this shape; "
                "add up the gangs in one")
        guarantees.append(guarantee)
        values.close()
    return tuple(guarantees)


def _read_override(values: table.Table) -> dict[str, object]:
    fields: dict[str, object] = {}
    if values.has("shape"):
        fields["shape"] = _read_shape(values.read_table("shape"))
    for key in ("idempotent", "checkpoint"):
        if values.has(key):
            fields[key] = values.read_bool(key)
    if values.has("priority"):
        fields["priority"] = _read_priority(values)
    for key in ("wait_s", "declared_s"):
        if values.has(key):
            fields[key] = _read_duration(values, key)
    values.close()
    return fields


def _check_sizes(documents: Mapping[str, str]) -> list[errors.Finding]:
    findings = []
    if len(documents) > MAX_DOCUMENTS:
        findings.append(
            errors.Finding(
                "documents", "",
                f"{len(documents)} files; give at most {MAX_DOCUMENTS}"))
    size = sum(
        len(text.encode(errors="surrogatepass")) for text in documents.values())
    if size > MAX_DOCUMENTS_BYTES:
        findings.append(
            errors.Finding(
                "documents", "", f"{size} bytes in total; "
                f"give at most {MAX_DOCUMENTS_BYTES}"))
    return findings


def _read_file(reader: _DocumentReader, document: table.Document) -> None:
    """Reads one document, of the kind given by its file name."""
    match = _FILE_NAME_PATTERN.fullmatch(document.name)
    if match is None and document.name not in (OPERATORS_FILE, FLEET_FILE):
        document.report("", f"unknown file name; expected are {FILE_LAYOUT}")
        return
    if match and not table.NAME_PATTERN.fullmatch(match[2]):
        document.report(
            "", f"invalid name {match[2]!r}; give "
            f"{table.NAME_HINT}")
        return
    top = document.parse()
    if top is None:
        return
    if match is None:
        if document.name == OPERATORS_FILE:
            reader.read_operators(top)
        else:
            reader.read_fleet(top)
    elif match[1] == "templates":
        reader.read_template(top, match[2])
    else:
        reader.read_team(top, match[2])


def parse_documents(documents: Mapping[str, str],
                    version: int) -> contract.Configuration:
    """Parses and validates a set of documents.

    Args:
        documents: Text of each document by file name, relative to the root
            of the set, with "/" between folders.
        version: Version that the configuration gets.

    Returns:
        The configuration.

    Raises:
        InvalidDocuments: With the findings of all documents. If the set
            exceeds a size limit, its documents are not read.
    """
    findings = _check_sizes(documents)
    if findings:
        raise errors.InvalidDocuments.from_findings(findings)
    reader = _DocumentReader(documents)
    for name in sorted(documents):
        document = table.Document(name=name, text=documents[name])
        _read_file(reader, document)
        findings += document.findings
    if OPERATORS_FILE not in documents:
        findings.append(
            errors.Finding(
                OPERATORS_FILE, "", "missing; add the file with at least one "
                "[[operator]], or nobody could publish again"))
    if findings:
        raise errors.InvalidDocuments.from_findings(findings)
    return contract.Configuration(version=version,
                                  templates=reader.templates,
                                  teams=reader.teams,
                                  drained=reader.drained,
                                  operators=reader.operators)


def compare_documents(old: Mapping[str, str],
                      new: Mapping[str, str]) -> list[Change]:
    """Lists the keys that differ between two sets of documents.

    Comments, layout and the order of keys are ignored. Operators are matched
    by name, other arrays of tables by position. A document that is not valid
    TOML is compared as one key with its text as the value.

    Args:
        old: Documents by file name.
        new: Documents by file name.

    Returns:
        The changes, sorted by key.
    """
    names = [name for name in {*old, *new} if old.get(name) != new.get(name)]
    before = _flatten_documents(old, names)
    after = _flatten_documents(new, names)
    return [
        Change(key, before.get(key), after.get(key))
        for key in sorted({*before, *after})
        if _differ(before.get(key), after.get(key))
    ]


def _differ(before: Any, after: Any) -> bool:
    """Compares values; unlike in Python, true and 1 differ."""
    return before != after or isinstance(before, bool) != isinstance(
        after, bool)


def _flatten_documents(documents: Mapping[str, str],
                       names: list[str]) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name in names:
        if name not in documents:
            continue
        try:
            values = table.parse_text(documents[name])
        except (ValueError, RecursionError):
            flat[name] = documents[name]
            continue
        flat.update(_flatten(f"{name}:", values))
    return flat


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping):
        for key, child in value.items():
            separator = "" if path.endswith(":") else "."
            yield from _flatten(f"{path}{separator}{key}", child)
    elif isinstance(value, list) and value and all(
            isinstance(child, Mapping) for child in value):
        for index, child in enumerate(value):
            yield from _flatten(f"{path}[{child.get('name', index)}]", child)
    elif isinstance(value, (str, int, float, bool, list)):
        yield path, value
    else:
        yield path, str(value)


def replace_drained(documents: Mapping[str, str],
                    drained: frozenset[str]) -> dict[str, str]:
    """Returns the documents with another list of drained workers.

    Args:
        documents: Documents by file name.
        drained: Ids of all workers that are to be drained.

    Returns:
        A new set, in which only "fleet.toml" differs; its comments are kept.

    Raises:
        tomlkit.exceptions.ParseError: If "fleet.toml" is not valid TOML.
    """
    fleet = tomlkit.parse(documents.get(FLEET_FILE, ""))
    fleet["drained"] = sorted(drained)
    return {**documents, FLEET_FILE: tomlkit.dumps(fleet)}
