"""Typed results of calls to a node."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import request


class Status(NamedTuple):
    """State of a request as a node reports it.

    Attributes:
        request_id: Identifier of the request.
        state: State or outcome.
        ran: Whether it ran, as far as can be proved.
        reason: Why the state is what it is.
        template: Name of the template.
        caller: Caller inside the team.
        attempt: Number of the latest attempt, 0 before the first.
        placement: Worker of each task of the latest attempt.
        waited_s: Seconds waited so far.
        submitted_at: Wall clock of the receiving node, in seconds since 1970.
        answer_length: Length of the answer in bytes, None without an answer.
        answer_sha256: Hexadecimal digest of the answer, empty without one.
    """

    request_id: str
    state: request.State
    ran: request.Ran
    reason: str = ""
    template: str = ""
    caller: str = ""
    attempt: int = 0
    placement: tuple[str, ...] = ()
    waited_s: float = 0.0
    submitted_at: float = 0.0
    answer_length: int | None = None
    answer_sha256: str = ""

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self.state in request.FINAL_STATES


class Submission(NamedTuple):
    """Result of a submit call.

    Attributes:
        key: Idempotency key that the request was submitted with.
        repeated: Whether the request was already on record.
        status: State of the request.
    """

    key: str
    repeated: bool
    status: Status


class Published(NamedTuple):
    """A published set of documents.

    Attributes:
        version: Version of the configuration.
        documents: Text of each document by file name.
    """

    version: int
    documents: dict[str, str]


class AuditEntry(NamedTuple):
    """One entry of the audit trail.

    Attributes:
        number: Number of the entry, from 1.
        at: Wall clock of the recording node, in seconds since 1970.
        who: Operator.
        action: What was done, such as "publish" or "drain".
        version: Configuration version that resulted.
        changes: Keys that changed.
    """

    number: int
    at: float
    who: str
    action: str
    version: int
    changes: tuple[document.Change, ...]


class NodeStatus(NamedTuple):
    """What a node knows about itself and its region.

    Attributes:
        node: Id of the node.
        region: Region of the node.
        owner: Id of the node that makes the decisions, empty if unknown.
        epoch: Epoch of the owner.
        config_version: Configuration version in force on the node.
        ready: Whether the node takes new requests.
    """

    node: str
    region: str
    owner: str
    epoch: int
    config_version: int
    ready: bool


class _Fields:
    """Reads the fields of a JSON object by type."""

    def __init__(self, what: str, body: Any):
        self._what = what
        if not isinstance(body, Mapping):
            raise errors.ProtocolError(f"{what}: not a JSON object")
        self._body = body

    @property
    def has_fields(self) -> bool:
        """Whether the object has any field."""
        return bool(self._body)

    def read_all(self, kind: Any) -> dict[str, Any]:
        """Returns all fields, which must be of one type."""
        return {key: self.read(key, kind) for key in self._body}

    def read(self, key: str, kind: Any, default: Any = None) -> Any:
        """Returns a field, or the default if it is absent or null.

        Raises:
            ProtocolError: If the type is wrong, or the field is absent and
                has no default.
        """
        value = self._body.get(key)
        if value is None:
            value = default
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise errors.ProtocolError(
                f"{self._what}: field {key!r} is {value!r}, expected "
                f"{kind.__name__}; check that the address is a trefoilroad "
                "node of the client's release")
        return value


def parse_status(body: Any) -> Status:
    """Reads a request's status.

    Args:
        body: Decoded JSON.

    Returns:
        The status.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    fields = _Fields("request status", body)
    answer = _Fields("answer", fields.read("answer", dict, {}))
    try:
        state = request.State(fields.read("state", str))
        ran = request.Ran(fields.read("ran", str, "maybe"))
    except ValueError as error:
        raise errors.ProtocolError(f"request status: {error}") from error
    return Status(request_id=fields.read("request_id", str),
                  state=state,
                  ran=ran,
                  reason=fields.read("reason", str, ""),
                  template=fields.read("template", str, ""),
                  caller=fields.read("caller", str, ""),
                  attempt=fields.read("attempt", int, 0),
                  placement=tuple(map(str, fields.read("placement", list, []))),
                  waited_s=fields.read("waited_s", float, 0.0),
                  submitted_at=fields.read("submitted_at", float, 0.0),
                  answer_length=answer.read("length", int, -1)
                  if answer.has_fields else None,
                  answer_sha256=answer.read("sha256", str, ""))


def parse_list(body: Any) -> list[Status]:
    """Reads the list of a team's requests, in the order of the node.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    rows = _Fields("request list", body).read("requests", list)
    return [parse_status(row) for row in rows]


def parse_published(body: Any) -> Published:
    """Reads a configuration.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    fields = _Fields("configuration", body)
    documents = _Fields("documents", fields.read("documents", dict))
    return Published(fields.read("version", int), documents.read_all(str))


def parse_version(body: Any) -> int:
    """Reads the version that a change resulted in.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    return _Fields("answer to a change", body).read("version", int)


def parse_text(body: Any) -> str:
    """Reads an explanation.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    return _Fields("explanation", body).read("text", str)


def parse_audit(body: Any) -> list[AuditEntry]:
    """Reads audit entries, oldest first.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    rows = _Fields("audit trail", body).read("entries", list)
    return [_parse_entry(_Fields("audit entry", row)) for row in rows]


def _parse_entry(fields: _Fields) -> AuditEntry:
    changes = [
        _parse_change(change) for change in fields.read("changes", list, [])
    ]
    return AuditEntry(number=fields.read("number", int),
                      at=fields.read("at", float, 0.0),
                      who=fields.read("who", str, ""),
                      action=fields.read("action", str, ""),
                      version=fields.read("version", int, 0),
                      changes=tuple(changes))


def _parse_change(body: Any) -> document.Change:
    key = _Fields("change", body).read("key", str)
    return document.Change(key, body.get("before"), body.get("after"))


def parse_node_status(body: Any) -> NodeStatus:
    """Reads a node's status.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    fields = _Fields("node status", body)
    return NodeStatus(node=fields.read("node", str),
                      region=fields.read("region", str, ""),
                      owner=fields.read("owner", str, ""),
                      epoch=fields.read("epoch", int, 0),
                      config_version=fields.read("config_version", int, 0),
                      ready=fields.read("ready", bool, False))


def parse_findings(body: Any) -> list[errors.Finding]:
    """Reads the findings about refused documents.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    rows = _Fields("refusal", body).read("findings", list)
    findings = [_Fields("finding", row) for row in rows]
    return [
        errors.Finding(finding.read("place", str), finding.read("key", str, ""),
                       finding.read("message", str)) for finding in findings
    ]
