"""Limits on incoming connections and HTTP requests."""

from collections.abc import Mapping
import http
import io
import json
import re
from typing import Any
from typing import NamedTuple

import circuits
from circuits.net import events as net_events
from circuits.web import http as web_http
from circuits.web import parsers
import structlog

from trefoilroad_node import timer

MAX_HEADER_BYTES = 16 << 10
# Limit for sending a whole request; slower clients would occupy connections.
REQUEST_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 120.0
# Longest wait, while the server is stopped, for more of a request that has been
# received in part.
PARTIAL_REQUEST_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 2048
TIMEOUT_CHECK_INTERVAL_S = 2.0

_log = structlog.get_logger()
_LENGTH_PATTERN = re.compile(r"[0-9]{1,15}")


class Rejection(NamedTuple):
    """Response to a request that is refused before it is dispatched.

    Attributes:
        status: HTTP status.
        reason: Error text for the client.
    """

    status: http.HTTPStatus
    reason: str


REQUEST_TOO_LARGE = Rejection(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                              "the request is too large")
MALFORMED_REQUEST = Rejection(http.HTTPStatus.BAD_REQUEST,
                              "the request is malformed")
INVALID_LENGTH = Rejection(http.HTTPStatus.BAD_REQUEST,
                           "Content-Length is not a length")
# circuits.web reports a chunk that spans two TCP segments as malformed.
CHUNKED_BODY = Rejection(http.HTTPStatus.LENGTH_REQUIRED,
                         "send Content-Length in place of Transfer-Encoding")
# A small compressed body can expand a thousandfold.
ENCODED_BODY = Rejection(http.HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
                         "send the body without Content-Encoding")
# circuits.web keeps a HEAD request and mistakes the next request on the
# connection for it, so that the next one would get no response of its own.
HEAD_METHOD = Rejection(http.HTTPStatus.METHOD_NOT_ALLOWED,
                        "use GET in place of HEAD")


def check_headers(method: str, headers: Mapping[str, str]) -> Rejection | None:
    """Checks whether circuits.web can serve a request with such headers.

    Args:
        method: HTTP method.
        headers: Headers of the request.

    Returns:
        The rejection, or None if the request can be served.
    """
    if method == "HEAD":
        return HEAD_METHOD
    if headers.get("Transfer-Encoding"):
        return CHUNKED_BODY
    if headers.get("Content-Encoding", "identity") != "identity":
        return ENCODED_BODY
    if not _LENGTH_PATTERN.fullmatch(headers.get("Content-Length", "0")):
        return INVALID_LENGTH
    return None


class ClosedSocketFilter(circuits.BaseComponent):
    """Discards writes to sockets that have been closed.

    circuits would keep the data and the socket for ever.
    """

    @circuits.handler("write", priority=10)
    def _on_write(self, event: Any, sock: Any, _: bytes) -> None:
        if sock.fileno() < 0:
            event.stop()


class ExceptionLogger(circuits.BaseComponent):
    """Logs exceptions of handlers.

    circuits would print the event data, which includes credentials.
    """

    @circuits.handler("exception", channel="*")
    def _on_exception(self, _: type[BaseException], error: BaseException,
                      trace: list[str], **__: Any) -> None:
        _log.error("unexpected error", error=repr(error), trace="".join(trace))


class Connection:
    """State of one open connection.

    Attributes:
        last_read_s: Time of the last received data in seconds.
        request_started_s: Time of the first data of a request that is being
            received, or None.
        request_bytes: Bytes received of that request.
        response: Response that is pending, or None.
        closing: Whether its closing has been requested because it was idle.
    """

    def __init__(self, *, now_s: float):
        self.last_read_s = now_s
        self.request_started_s: float | None = None
        self.request_bytes = 0
        self.response: Any = None
        self.closing = False

    def is_idle(self, now_s: float) -> bool:
        """Returns whether it can be closed without the loss of a request.

        Args:
            now_s: Current time in seconds.
        """
        if self.response is not None:
            return False
        return (self.request_started_s is None or
                now_s - self.last_read_s > PARTIAL_REQUEST_TIMEOUT_S)


class RequestGuard(circuits.BaseComponent):
    """Enforces limits on size, time and idleness of connections.

    circuits.web buffers a request until it is complete and has no limits of
    its own. It serves one request at a time on a connection: data that a client
    sends before the response is discarded, and the connection is closed after
    that response, so that the client sends the rest again.
    """

    def __init__(self, *, channel: str, server: web_http.HTTP,
                 timers: timer.Timers, max_body_bytes: int):
        """Attaches to the channel of a server.

        Args:
            channel: Channel of the server.
            server: Component that parses the requests.
            timers: Clock and timers.
            max_body_bytes: Largest request body in bytes.
        """
        super().__init__(channel=channel)
        self._parsers: dict[Any, parsers.HttpParser] = server._buffers
        self._timers = timers
        self._max_bytes = max_body_bytes + MAX_HEADER_BYTES
        self._connections: dict[Any, Connection] = {}
        self._draining = False
        timers.call_every(TIMEOUT_CHECK_INTERVAL_S, self._close_overdue)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open and served."""
        return len(self._connections)

    def drain(self) -> None:
        """Closes idle connections and serves no new ones; may be repeated."""
        self._draining = True
        now_s = self._timers.read_clock()
        for sock, connection in self._connections.items():
            if connection.is_idle(now_s) and not connection.closing:
                connection.closing = True
                self.fire(net_events.close(sock), self.channel)

    @circuits.handler("close", priority=10)
    def _on_close(self, event: Any, sock: Any = None) -> None:
        """Keeps a connection on which a request has arrived meanwhile.

        The events of its arrival may be ahead of the event that closes it.
        """
        connection = self._connections.get(sock)
        if connection is not None and connection.closing:
            connection.closing = False
            if not connection.is_idle(self._timers.read_clock()):
                event.stop()

    @circuits.handler("connect", priority=10)
    def _on_connect(self, sock: Any, *_: Any) -> None:
        if self._draining or len(self._connections) >= MAX_CONNECTIONS:
            self.fire(net_events.close(sock), self.channel)
            return
        self._connections[sock] = Connection(now_s=self._timers.read_clock())

    @circuits.handler("disconnect", priority=10)
    def _on_disconnect(self, sock: Any) -> None:
        self._connections.pop(sock, None)

    @circuits.handler("read", priority=10)
    def _on_read(self, event: Any, sock: Any, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            event.stop()
            return
        connection.last_read_s = self._timers.read_clock()
        if connection.response is not None:
            connection.response.close = True
            event.stop()
            return
        if connection.request_started_s is None:
            connection.request_started_s = connection.last_read_s
            # The parser that circuits.web creates would decompress bodies.
            self._parsers[sock] = parsers.HttpParser(0, False)
        connection.request_bytes += len(data)
        if connection.request_bytes > self._max_bytes:
            event.stop()
            self._reject(sock, REQUEST_TOO_LARGE)

    @circuits.handler("read", priority=-10)
    def _check_parsed(self, sock: Any, _: bytes) -> None:
        """Rejects requests that circuits.web would never complete."""
        parser = self._parsers.get(sock)
        if parser is None or sock not in self._connections:
            return
        if parser.errno is not None:
            self._reject(sock, MALFORMED_REQUEST)
        elif parser.is_headers_complete():
            rejection = check_headers(parser.get_method(), parser.get_headers())
            if rejection is not None:
                self._reject(sock, rejection)

    @circuits.handler("request", priority=20)
    def _on_request(self, event: Any, request: Any, response: Any, *_:
                    Any) -> None:
        connection = self._connections.get(request.sock)
        if connection is None:
            event.stop()
            return
        rejection = check_headers(request.method, request.headers)
        if rejection is not None:
            event.stop()
            self._reject(request.sock, rejection)
            return
        connection.request_started_s = None
        connection.request_bytes = 0
        connection.response = response
        body = request.body.read()
        length = int(request.headers.get("Content-Length", "0"))
        if len(body) > length:
            response.close = True
        request.body = io.BytesIO(body[:length])

    @circuits.handler("response", priority=-10)
    def _on_response(self, response: Any) -> None:
        connection = self._connections.get(response.request.sock)
        if connection is not None and connection.response is response:
            connection.response = None

    def _reject(self, sock: Any, rejection: Rejection) -> None:
        self._connections.pop(sock, None)
        self._parsers.pop(sock, None)
        body = json.dumps({"outcome": "not_run", "error": rejection.reason})
        head = (
            f"HTTP/1.1 {rejection.status.value} {rejection.status.phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
        self.fire(net_events.write(sock, f"{head}{body}".encode()),
                  self.channel)
        self.fire(net_events.close(sock), self.channel)

    def _close_overdue(self) -> None:
        now_s = self._timers.read_clock()
        for sock, connection in list(self._connections.items()):
            is_slow = (connection.request_started_s is not None and
                       now_s - connection.request_started_s > REQUEST_TIMEOUT_S)
            is_idle = now_s - connection.last_read_s > IDLE_TIMEOUT_S
            if is_slow or is_idle:
                self.fire(net_events.close(sock), self.channel)
