"""HTTP API of a node for callers, operators and the load balancer."""

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

_REQUEST_ID_PATTERN = re.compile(r"[0-9a-f]{32}")
_WORKER_ID_PATTERN = re.compile(r"[!-.0-~]{1,128}")


class Identity(NamedTuple):
    """Sender of a request: either a caller or an operator.

    Attributes:
        team: Team of the caller, or empty.
        operator: Name of the operator, or empty.
    """

    team: str = ""
    operator: str = ""


class ApiRequest(NamedTuple):
    """An authenticated HTTP request.

    Attributes:
        method: HTTP method.
        path_parts: Path split at slashes, without the API version.
        query: Decoded query parameters.
        headers: Headers.
        body: Raw body.
        identity: Sender of the request.
    """

    method: str
    path_parts: tuple[str, ...]
    query: dict[str, Any]
    headers: Any
    body: bytes
    identity: Identity


class MalformedBody(NamedTuple):
    """A body that is not JSON, with the reason for the response."""

    reason: str


def identify(token: str, configuration: contract.Configuration,
             bootstrap_sha256: str) -> Identity | None:
    """Identifies the holder of a token, with constant-time comparisons.

    Args:
        token: Bearer token.
        configuration: Configuration in force.
        bootstrap_sha256: SHA-256 digest of the bootstrap token, or empty.

    Returns:
        The identity, or None if the token is unknown.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    identity = None
    for name, team in configuration.teams.items():
        if hmac.compare_digest(digest, team.token_sha256):
            identity = Identity(team=name)
    for name, expected in configuration.operators.items():
        if hmac.compare_digest(digest, expected):
            identity = Identity(operator=name)
    if bootstrap_sha256 and hmac.compare_digest(digest, bootstrap_sha256):
        identity = identity or Identity(operator="bootstrap")
    return identity


class Api(httpserver.HttpServer):
    """Authenticates requests and routes them to the edge or the operations."""

    def __init__(self, *, listen: str, edge: edges.Edge,
                 operator_actions: operations.Operations, bootstrap_sha256: str,
                 max_open_requests: int):
        """Binds the address.

        Args:
            listen: "host:port".
            edge: Serves requests of callers.
            operator_actions: Serves requests of operators, explanations and
                the status of the node.
            bootstrap_sha256: SHA-256 digest of the bootstrap token, or empty.
            max_open_requests: Maximum number of requests in progress.
        """
        super().__init__(listen=listen)
        self._edge = edge
        self._operator_actions = operator_actions
        self._bootstrap_sha256 = bootstrap_sha256
        self._max_open_requests = max_open_requests

    def dispatch(self, request: Any, respond: Respond) -> None:
        """See HttpServer.dispatch."""
        path_parts = tuple(part for part in request.path.split("/") if part)
        if path_parts == ("healthz",):
            respond(Response(200, {"status": "ok"}))
            return
        if path_parts == ("readyz",):
            ready, reason = self._operator_actions.check_ready()
            respond(Response(200 if ready else 503, {"reason": reason}))
            return
        if self.open_requests > self._max_open_requests:
            respond(
                Response(503,
                         {**edges.describe_refusal("the node is overloaded")},
                         {"Retry-After": "1"}))
            return
        identity = self._authenticate(request)
        if identity is None and self._edge.published.row_version == 0:
            # Tokens cannot be checked: they are part of the configuration.
            respond(
                Response(
                    503,
                    edges.describe_refusal("no configuration is known yet")))
            return
        if identity is None:
            respond(Response(401, {"error": "missing or unknown token"}))
            return
        api_request = ApiRequest(
            method=request.method,
            path_parts=path_parts[1:] if path_parts[:1] == ("v1",) else (),
            query=dict(parse.parse_qsl(request.qs)),
            headers=request.headers,
            body=request.body.read(),
            identity=identity)
        self._route(api_request, respond)

    def _authenticate(self, request: Any) -> Identity | None:
        scheme, _, token = request.headers.get("Authorization",
                                               "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            return None
        return identify(token.strip(), self._edge.configuration,
                        self._bootstrap_sha256)

    def _route(self, api_request: ApiRequest, respond: Respond) -> None:
        resource = api_request.path_parts[0] if api_request.path_parts else ""
        if resource == "requests" and api_request.identity.team:
            self._route_caller(api_request, respond)
        elif resource == "requests":
            respond(Response(403, {"error": "needs the token of a team"}))
        elif resource == "status":
            respond(Response(200, self._operator_actions.describe_node()))
        elif resource in ("config", "audit",
                          "workers") and api_request.identity.operator:
            self._route_operator(api_request, respond)
        elif resource in ("config", "audit", "workers"):
            respond(Response(403, {"error": "needs the token of an operator"}))
        else:
            respond(Response(404, {"error": "no such resource"}))

    def _route_caller(self, api_request: ApiRequest, respond: Respond) -> None:
        team = api_request.identity.team
        if len(api_request.path_parts) == 1:
            if api_request.method == "POST":
                self._submit(api_request, respond)
            elif api_request.method == "GET":
                self._edge.list_requests(team, respond)
            else:
                _refuse_method(respond)
            return
        request_id = api_request.path_parts[1]
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            respond(Response(404, {"error": f"no request {request_id[:64]!r}"}))
            return
        routes: dict[tuple[str, tuple[str, ...]], Callable[[], None]] = {
            ("GET", ()):
                lambda: self._edge.show(team, request_id, respond),
            ("GET", ("answer",)):
                lambda: self._edge.fetch_answer(team, request_id, respond),
            ("GET", ("explain",)):
                lambda: self._operator_actions.explain(team, request_id, respond
                                                      ),
            ("POST", ("cancel",)):
                lambda: self._edge.cancel(team, request_id, respond)
        }
        route = routes.get((api_request.method, api_request.path_parts[2:]))
        if route is None:
            respond(Response(404, {"error": "no such resource"}))
        else:
            route()

    def _submit(self, api_request: ApiRequest, respond: Respond) -> None:
        if self.stopping:
            respond(
                Response(503,
                         edges.describe_refusal("the node is being stopped"),
                         {"Retry-After": "0"}))
            return
        body = _decode_body(api_request.body)
        if isinstance(body, MalformedBody):
            respond(Response(400, edges.describe_refusal(body.reason)))
            return
        self._edge.submit(api_request.identity.team,
                          api_request.headers.get("Idempotency-Key", ""), body,
                          respond)

    def _route_operator(self, api_request: ApiRequest,
                        respond: Respond) -> None:
        who = api_request.identity.operator
        if api_request.path_parts == (
                "config",) and api_request.method == "GET":
            self._operator_actions.show_configuration(respond)
        elif api_request.path_parts == (
                "config",) and api_request.method == "PUT":
            body = _decode_body(api_request.body)
            if isinstance(body, MalformedBody):
                respond(Response(400, {"error": body.reason}))
            else:
                self._operator_actions.publish(who, body, respond)
        elif api_request.path_parts == (
                "audit",) and api_request.method == "GET":
            self._operator_actions.show_audit(
                str(api_request.query.get("since", "0")), respond)
        elif (len(api_request.path_parts) == 3 and
              api_request.method == "POST" and
              api_request.path_parts[2] in ("drain", "undrain") and
              _WORKER_ID_PATTERN.fullmatch(api_request.path_parts[1])):
            self._operator_actions.drain(who, api_request.path_parts[1],
                                         api_request.path_parts[2] == "drain",
                                         respond)
        else:
            respond(Response(404, {"error": "no such resource"}))


def _refuse_method(respond: Respond) -> None:
    respond(Response(405, {"error": "method not allowed"}))


def _decode_body(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        return MalformedBody(f"the body is not JSON: {error}")
