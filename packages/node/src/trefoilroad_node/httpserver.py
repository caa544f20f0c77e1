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

    def __init__(self, *, listen: str, channel: str | None = None):
        """Binds the address.

        Args:
            listen: "host:port".
            channel: Channel of its events; must differ between servers.
        """
        super().__init__(channel=channel or self.channel)
        host, _, port = listen.rpartition(":")
        self._server = QuietServer((host, int(port)), channel=self.channel)
        self._server.register(self)
        self._open_responds: set[Respond] = set()
        self.stopping = False

    @property
    def open_requests(self) -> int:
        """Number of requests without a response yet."""
        return len(self._open_responds)

    def stop_listening(self) -> None:
        """Refuses new connections; may be repeated."""
        sock = self._server.server._sock
        if sock is not None:
            self.fire(net_events.close(sock), self.channel)

    def answer_open_requests(self, result: Response) -> None:
        """Gives a response to all requests without one."""
        for respond in list(self._open_responds):
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
            if respond in self._open_responds:
                self._open_responds.remove(respond)
                self._send(request, response, result)

        self._open_responds.add(respond)
        try:
            self.dispatch(request, respond)
        except Exception as error:
            # A request without a response would count as open for ever.
            _log.exception("request failed", error=repr(error))
            respond(Response(500, {"error": "internal error"}))
        # True makes circuits.web wait for the response event.
        return True

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
