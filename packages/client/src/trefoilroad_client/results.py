"""Typed results of API calls and their parsers."""

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
        state: Current state, or the outcome if it is final.
        ran: Whether it ran; "maybe" if neither can be proved.
        reason: Reason of the state.
        template: Name of the template.
        caller: Caller inside the team.
        attempt: Number of the latest attempt, 0 before the first.
        placement: Worker of each task of the latest attempt.
        waited_s: Time waited so far, in seconds.
        submitted_at: Time of receipt by the clock of the receiving node, in
            seconds since 1970.
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
        """Whether the state can no longer change."""
        return self.state in request.FINAL_STATES


class Submission(NamedTuple):
    """Result of a submit call.

    Attributes:
        key: Idempotency key that the request was submitted with.
        repeated: Whether a request with this key was already recorded.
        status: Status of the request.
    """

    key: str
    repeated: bool
    status: Status


class PublishedConfiguration(NamedTuple):
    """A published configuration with its documents.

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
        at: Time by the clock of the recording node, in seconds since 1970.
        who: Name of the operator.
        action: Operation, such as "publish" or "drain".
        version: Configuration version that the operation created.
        changes: Changed keys with old and new value.
    """

    number: int
    at: float
    who: str
    action: str
    version: int
    changes: tuple[document.Change, ...]


class NodeStatus(NamedTuple):
    """State of a node and its region, as the node reports it.

    Attributes:
        node: Id of the node.
        region: Region of the node.
        owner: Id of the node that schedules the region, empty if unknown.
        epoch: Epoch of the owner.
        config_version: Configuration version in force on the node.
        ready: Whether the node accepts new requests.
    """

    node: str
    region: str
    owner: str
    epoch: int
    config_version: int
    ready: bool


class _JsonObject:
    """Reads the fields of a JSON object and checks their types."""

    def __init__(self, description: str, body: Any):
        self._description = description
        if not isinstance(body, Mapping):
            raise errors.ProtocolError(f"{description}: not a JSON object")
        self._body = body

    @property
    def has_fields(self) -> bool:
        """Whether the object has any field."""
        return bool(self._body)

    def read_all(self, expected_type: Any) -> dict[str, Any]:
        """Returns all fields, which must all have the expected type."""
        return {key: self.read(key, expected_type) for key in self._body}

    def read(self, key: str, expected_type: Any, default: Any = None) -> Any:
        """Returns a field, or the default if it is absent or null.

        Raises:
            ProtocolError: If the type is wrong, or the field is absent and
                has no default.
        """
        value = self._body.get(key)
        if value is None:
            value = default
        if expected_type is float and type(value) is int:
            value = float(value)
        if type(value) is not expected_type:
            raise errors.ProtocolError(
                f"{self._description}: field {key!r} is {value!r}, expected "
                f"{expected_type.__name__}; check that the address is a "
                "trefoilroad node of the client's release")
        return value


def parse_status(body: Any) -> Status:
    """Parses the status of a request.

    Args:
        body: Decoded JSON.

    Returns:
        The status.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    fields = _JsonObject("request status", body)
    answer = _JsonObject("answer", fields.read("answer", dict, {}))
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


def parse_status_list(body: Any) -> list[Status]:
    """Parses the list of a team's requests, in the order of the response.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    rows = _JsonObject("request list", body).read("requests", list)
    return [parse_status(row) for row in rows]


def parse_configuration(body: Any) -> PublishedConfiguration:
    """Parses a published configuration.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    fields = _JsonObject("configuration", body)
    documents = _JsonObject("documents", fields.read("documents", dict))
    return PublishedConfiguration(fields.read("version", int),
                                  documents.read_all(str))


def parse_config_version(body: Any) -> int:
    """Parses the configuration version that a change created.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    return _JsonObject("answer to a change", body).read("version", int)


def parse_explanation(body: Any) -> str:
    """Parses the explanation of why a request waits.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    return _JsonObject("explanation", body).read("text", str)


def parse_audit_trail(body: Any) -> list[AuditEntry]:
    """Parses audit entries, oldest first.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    rows = _JsonObject("audit trail", body).read("entries", list)
    return [_parse_audit_entry(_JsonObject("audit entry", row)) for row in rows]


def _parse_audit_entry(fields: _JsonObject) -> AuditEntry:
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
    key = _JsonObject("change", body).read("key", str)
    return document.Change(key, body.get("before"), body.get("after"))


def parse_node_status(body: Any) -> NodeStatus:
    """Parses the status of a node.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    fields = _JsonObject("node status", body)
    return NodeStatus(node=fields.read("node", str),
                      region=fields.read("region", str, ""),
                      owner=fields.read("owner", str, ""),
                      epoch=fields.read("epoch", int, 0),
                      config_version=fields.read("config_version", int, 0),
                      ready=fields.read("ready", bool, False))


def parse_findings(body: Any) -> list[errors.Finding]:
    """Parses the findings in a refusal of invalid documents.

    Raises:
        ProtocolError: If the body does not have the expected form.
    """
    rows = _JsonObject("refusal", body).read("findings", list)
    findings = [_JsonObject("finding", row) for row in rows]
    return [
        errors.Finding(finding.read("place", str), finding.read("key", str, ""),
                       finding.read("message", str)) for finding in findings
    ]
