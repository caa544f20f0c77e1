"""An HTTP server on circuits.web with asynchronous responses."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import http
import json
from typing import Any
from typing import NamedTuple

import circuits
from circuits.net import events as net_events
from circuits.web import events as web_events
from circuits.web import http as web_http
from circuits.web import servers
import structlog

from trefoilroad_node import listener
from trefoilroad_node import metrics as metrics_module
from trefoilroad_node import timer

_log = structlog.get_logger()


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        body: JSON value, or bytes that are sent as they are.
        headers: Additional headers.
    """

    status: int
    body: Any
    headers: Mapping[str, str] = {}


Respond = Callable[[Response], None]

# Whether the request has been carried out is not known.
TIMEOUT_RESPONSE = Response(504, {"error": "no answer in time"},
                            {"Retry-After": "1"})


class RequestTimeout(NamedTuple):
    """Longest time until a request gets a response.

    It is a backstop for requests whose callback is lost, and lies above all
    other limits.

    Attributes:
        timers: Clock and timers.
        metrics: Counts the requests, as "CHANNEL.requests_timed_out".
        timeout_s: The time in seconds.
        response: Response that they get.
    """

    timers: timer.Timers
    metrics: metrics_module.Metrics
    timeout_s: float
    response: Response = TIMEOUT_RESPONSE


class _OpenRequest(NamedTuple):
    """A request without a response.

    Attributes:
        method: HTTP method.
        path: Path of the URL.
        started_s: When it was dispatched, in seconds; 0 without a timeout.
    """

    method: str
    path: str
    started_s: float


class QuietServer(servers.BaseServer):
    """Server on a bounded listener and without circuits.web's banner."""

    def __init__(self, bind: tuple[str, int], *, channel: str):
        """Binds the address.

        Args:
            bind: Host and port.
            channel: Channel of its events.
        """
        # The constructor of the base class would create another listener.
        circuits.BaseComponent.__init__(self, channel=channel)
        self.server = listener.Listener(bind, channel=channel).register(self)
        self.http = web_http.HTTP(self, channel=channel).register(self)

    @circuits.handler("ready", override=True)
    def _on_ready(self, *_: Any) -> None:
        pass


class HttpServer(circuits.BaseComponent):
    """Serves one address; subclasses implement `dispatch`.

    Attributes:
        stopping: Whether connections are closed after their next response.
    """

    channel = "web"

    def __init__(self,
                 *,
                 listen: str,
                 channel: str | None = None,
                 request_timeout: RequestTimeout | None = None):
        """Binds the address.

        Args:
            listen: "host:port".
            channel: Channel of its events; must differ between servers.
            request_timeout: Longest time until a response; None for no limit.
        """
        super().__init__(channel=channel or self.channel)
        host, _, port = listen.rpartition(":")
        self._server = QuietServer((host, int(port)), channel=self.channel)
        self._server.register(self)
        self._request_timeout = request_timeout
        # In the order of their start.
        self._open_requests: dict[Respond, _OpenRequest] = {}
        self._timeout_check_planned = False
        self.stopping = False

    @property
    def open_requests(self) -> int:
        """Number of requests without a response yet."""
        return len(self._open_requests)

    def stop_listening(self) -> None:
        """Refuses new connections; may be repeated."""
        sock = self._server.server._sock
        if sock is not None:
            self.fire(net_events.close(sock), self.channel)

    def answer_open_requests(self, result: Response) -> None:
        """Gives a response to all requests without one."""
        for respond in list(self._open_requests):
            respond(result)

    @property
    def open_connections(self) -> int:
        """Number of connections that hold a descriptor."""
        return self._server.server.open_connections

    @property
    def http(self) -> web_http.HTTP:
        """Component that parses the requests."""
        return self._server.http

    @property
    def port(self) -> int:
        """Port that the server is bound to."""
        return int(self._server.port)

    @abc.abstractmethod
    def dispatch(self, request: Any, respond: Respond) -> None:
        """Serves one request.

        Args:
            request: Request of circuits.web.
            respond: Must be called once, before or after the return.
        """

    @circuits.handler("request", priority=10)
    def _on_request(self, event: Any, request: Any, response: Any, *_:
                    Any) -> bool:
        event.stop()

        def respond(result: Response) -> None:
            if self._open_requests.pop(respond, None) is not None:
                self._send(request, response, result)

        self._open_request(respond, request)
        try:
            self.dispatch(request, respond)
        except Exception as error:
            # A request without a response would count as open for ever.
            _log.exception("request failed", error=repr(error))
            respond(Response(500, {"error": "internal error"}))
        # True makes circuits.web wait for the response event.
        return True

    def _open_request(self, respond: Respond, request: Any) -> None:
        timeout = self._request_timeout
        started_s = timeout.timers.read_clock() if timeout else 0.0
        self._open_requests[respond] = _OpenRequest(request.method,
                                                    request.path, started_s)
        # One check for all requests: a timer for each would stay in the timer
        # service long after its request has been answered.
        if timeout and not self._timeout_check_planned:
            self._plan_timeout_check(timeout, timeout.timeout_s)

    def _plan_timeout_check(self, timeout: RequestTimeout,
                            delay_s: float) -> None:
        self._timeout_check_planned = True
        timeout.timers.call_later(delay_s, lambda: self._check_timeout(timeout))

    def _check_timeout(self, timeout: RequestTimeout) -> None:
        """Gives a response to the requests that have been open for too long."""
        self._timeout_check_planned = False
        now_s = timeout.timers.read_clock()
        while self._open_requests:
            respond, entry = next(iter(self._open_requests.items()))
            remaining_s = entry.started_s + timeout.timeout_s - now_s
            if remaining_s > 0:
                self._plan_timeout_check(timeout, remaining_s)
                return
            _log.error("request not answered in time",
                       method=entry.method,
                       path=entry.path,
                       age_s=round(now_s - entry.started_s, 3))
            timeout.metrics.count(f"{self.channel}.requests_timed_out")
            respond(timeout.response)

    @circuits.handler("httperror", priority=10)
    def _on_httperror(self, event: Any, request: Any, response: Any, *_: Any,
                      **__: Any) -> None:
        event.stop()
        status = event.code or 500
        if event.error:
            _log.error("request failed", error=repr(event.error[1]))
        response.close = True
        error = event.description or http.HTTPStatus(status).phrase
        if event.error:
            error = "internal error"
        self._send(request, response, Response(status, {"error": error}))

    def _send(self, request: Any, response: Any, result: Response) -> None:
        if request.sock.fileno() < 0:
            return
        if isinstance(result.body, bytes):
            response.headers["Content-Type"] = "application/octet-stream"
            response.body = result.body
        else:
            response.headers["Content-Type"] = "application/json"
            response.body = json.dumps(result.body).encode()
        for name, value in result.headers.items():
            response.headers[name] = value
        response.status = result.status
        if self.stopping:
            response.close = True
        self.fire(web_events.response(response), self.channel)
