"""The HTTP interface of a node, for callers, operators and the balancer."""

from collections.abc import Callable
import hashlib
import hmac
import json
import re
from typing import Any
from typing import NamedTuple
from urllib import parse

from trefoilroad_core import contract
from trefoilroad_node import edge as edges
from trefoilroad_node import httpserver
from trefoilroad_node import operations

Response = httpserver.Response
Respond = httpserver.Respond

_REQUEST_ID = re.compile(r"[0-9a-f]{32}")
_WORKER_ID = re.compile(r"[!-.0-~]{1,128}")


class Identity(NamedTuple):
    """Who sent a request.

    Attributes:
        team: Team of a caller, or empty.
        operator: Name of an operator, or empty.
    """

    team: str = ""
    operator: str = ""


class Call(NamedTuple):
    """One HTTP request.

    Attributes:
        method: HTTP method.
        parts: Path split at slashes, without the version.
        query: Decoded query.
        headers: Headers.
        body: Raw body.
        identity: Who sent it.
    """

    method: str
    parts: tuple[str, ...]
    query: dict[str, Any]
    headers: Any
    body: bytes
    identity: Identity


class Malformed(NamedTuple):
    """A body that is not JSON."""

    reason: str


def identify(token: str, configuration: contract.Configuration,
             bootstrap_sha256: str) -> Identity | None:
    """Finds whose token it is, in time that does not depend on the token.

    Args:
        token: Bearer token.
        configuration: Configuration in force.
        bootstrap_sha256: Digest of the token of the settings, or empty.

    Returns:
        The identity, or None.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    found = None
    for name, team in configuration.teams.items():
        if hmac.compare_digest(digest, team.token_sha256):
            found = Identity(team=name)
    for name, expected in configuration.operators.items():
        if hmac.compare_digest(digest, expected):
            found = Identity(operator=name)
    if bootstrap_sha256 and hmac.compare_digest(digest, bootstrap_sha256):
        found = found or Identity(operator="bootstrap")
    return found


class Api(httpserver.HttpServer):
    """Routes requests to the edge and to the operators' actions."""

    def __init__(self, *, listen: str, edge: edges.Edge,
                 actions: operations.Operations, bootstrap_sha256: str,
                 max_open: int):
        """Binds the address.

        Args:
            listen: "host:port".
            edge: Serves callers.
            actions: Serves operators.
            bootstrap_sha256: Digest of the token of the settings, or empty.
            max_open: Most requests being answered at once.
        """
        super().__init__(listen=listen)
        self._edge = edge
        self._actions = actions
        self._bootstrap_sha256 = bootstrap_sha256
        self._max_open = max_open

    def dispatch(self, request: Any, respond: Respond) -> None:
        """See HttpServer.dispatch."""
        parts = tuple(part for part in request.path.split("/") if part)
        if parts == ("healthz",):
            respond(Response(200, {"status": "ok"}))
            return
        if parts == ("readyz",):
            ready, reason = self._actions.check_ready()
            respond(Response(200 if ready else 503, {"reason": reason}))
            return
        if self.open_requests > self._max_open:
            respond(
                Response(503,
                         {**edges.describe_refusal("the node is overloaded")},
                         {"Retry-After": "1"}))
            return
        identity = self._authenticate(request)
        if identity is None and self._edge.published.row_version == 0:
            # Tokens are part of the configuration.
            respond(
                Response(
                    503,
                    edges.describe_refusal("no configuration is known yet")))
            return
        if identity is None:
            respond(Response(401, {"error": "missing or unknown token"}))
            return
        call = Call(method=request.method,
                    parts=parts[1:] if parts[:1] == ("v1",) else (),
                    query=dict(parse.parse_qsl(request.qs)),
                    headers=request.headers,
                    body=request.body.read(),
                    identity=identity)
        self._route(call, respond)

    def _authenticate(self, request: Any) -> Identity | None:
        scheme, _, token = request.headers.get("Authorization",
                                               "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        return identify(token.strip(), self._edge.configuration,
                        self._bootstrap_sha256)

    def _route(self, call: Call, respond: Respond) -> None:
        kind = call.parts[0] if call.parts else ""
        if kind == "requests" and call.identity.team:
            self._route_caller(call, respond)
        elif kind == "requests":
            respond(Response(403, {"error": "needs the token of a team"}))
        elif kind == "status":
            respond(Response(200, self._actions.describe_node()))
        elif kind in ("config", "audit", "workers") and call.identity.operator:
            self._route_operator(call, respond)
        elif kind in ("config", "audit", "workers"):
            respond(Response(403, {"error": "needs the token of an operator"}))
        else:
            respond(Response(404, {"error": "no such resource"}))

    def _route_caller(self, call: Call, respond: Respond) -> None:
        team = call.identity.team
        if len(call.parts) == 1:
            if call.method == "POST":
                self._submit(call, respond)
            elif call.method == "GET":
                self._edge.list_requests(team, respond)
            else:
                _refuse_method(respond)
            return
        request_id = call.parts[1]
        if not _REQUEST_ID.fullmatch(request_id):
            respond(Response(404, {"error": f"no request {request_id[:64]!r}"}))
            return
        routes: dict[tuple[str, tuple[str, ...]], Callable[[], None]] = {
            ("GET", ()):
                lambda: self._edge.show(team, request_id, respond),
            ("GET", ("answer",)):
                lambda: self._edge.fetch_answer(team, request_id, respond),
            ("GET", ("explain",)):
                lambda: self._actions.explain(team, request_id, respond),
            ("POST", ("cancel",)):
                lambda: self._edge.cancel(team, request_id, respond)
        }
        route = routes.get((call.method, call.parts[2:]))
        if route is None:
            respond(Response(404, {"error": "no such resource"}))
        else:
            route()

    def _submit(self, call: Call, respond: Respond) -> None:
        if self.stopping:
            respond(
                Response(503,
                         edges.describe_refusal("the node is being stopped"),
                         {"Retry-After": "0"}))
            return
        body = _decode_body(call.body)
        if isinstance(body, Malformed):
            respond(Response(400, edges.describe_refusal(body.reason)))
            return
        self._edge.submit(call.identity.team,
                          call.headers.get("Idempotency-Key", ""), body,
                          respond)

    def _route_operator(self, call: Call, respond: Respond) -> None:
        who = call.identity.operator
        if call.parts == ("config",) and call.method == "GET":
            self._actions.show_configuration(respond)
        elif call.parts == ("config",) and call.method == "PUT":
            body = _decode_body(call.body)
            if isinstance(body, Malformed):
                respond(Response(400, {"error": body.reason}))
            else:
                self._actions.publish(who, body, respond)
        elif call.parts == ("audit",) and call.method == "GET":
            self._actions.show_audit(str(call.query.get("since", "0")), respond)
        elif (len(call.parts) == 3 and call.method == "POST" and
              call.parts[2] in ("drain", "undrain") and
              _WORKER_ID.fullmatch(call.parts[1])):
            self._actions.drain(who, call.parts[1], call.parts[2] == "drain",
                                respond)
        else:
            respond(Response(404, {"error": "no such resource"}))


def _refuse_method(respond: Respond) -> None:
    respond(Response(405, {"error": "method not allowed"}))


def _decode_body(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        return Malformed(f"the body is not JSON: {error}")
