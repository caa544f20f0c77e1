"""Limits on what a peer may send before it is a complete request."""

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
# Time to send one whole request; a slower peer holds a connection for nothing.
REQUEST_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 2048
CHECK_INTERVAL_S = 2.0

_log = structlog.get_logger()
_LENGTH = re.compile(r"[0-9]{1,15}")


class Fault(NamedTuple):
    """Why a request is refused before it is served.

    Attributes:
        status: HTTP status.
        reason: Text for the peer.
    """

    status: http.HTTPStatus
    reason: str


TOO_LARGE = Fault(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                  "the request is too large")
MALFORMED = Fault(http.HTTPStatus.BAD_REQUEST, "the request is malformed")
BAD_LENGTH = Fault(http.HTTPStatus.BAD_REQUEST,
                   "Content-Length is not a length")
# The library takes a chunk that is split between two segments for malformed.
CHUNKED = Fault(http.HTTPStatus.LENGTH_REQUIRED,
                "send Content-Length in place of Transfer-Encoding")
# A small compressed body can grow a thousandfold.
ENCODED = Fault(http.HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
                "send the body without Content-Encoding")
# The library keeps the request of a HEAD and takes the next request on the
# connection for it, so that the next caller would get no answer of its own.
HEAD = Fault(http.HTTPStatus.METHOD_NOT_ALLOWED, "use GET in place of HEAD")


def find_fault(method: str, headers: Mapping[str, str]) -> Fault | None:
    """Judges the head of a request.

    Args:
        method: HTTP method.
        headers: Headers of the request.

    Returns:
        What is wrong, or None.
    """
    if method == "HEAD":
        return HEAD
    if headers.get("Transfer-Encoding"):
        return CHUNKED
    if headers.get("Content-Encoding", "identity") != "identity":
        return ENCODED
    if not _LENGTH.fullmatch(headers.get("Content-Length", "0")):
        return BAD_LENGTH
    return None


class ClosedPeers(circuits.BaseComponent):
    """Drops what is meant for peers that have gone.

    The library would keep the data and the socket for ever.
    """

    @circuits.handler("write", priority=10)
    def _on_write(self, event: Any, sock: Any, _: bytes) -> None:
        if sock.fileno() < 0:
            event.stop()


class FaultLog(circuits.BaseComponent):
    """Logs faults of handlers; the library would print the data, with keys."""

    @circuits.handler("exception", channel="*")
    def _on_exception(self, _: type[BaseException], error: BaseException,
                      trace: list[str], **__: Any) -> None:
        _log.error("unexpected error", error=repr(error), trace="".join(trace))


class Connection:
    """What is known of one open connection."""

    def __init__(self, *, now_s: float):
        self.last_s = now_s
        self.begun_s: float | None = None
        self.size = 0
        self.response: Any = None


class Guard(circuits.BaseComponent):
    """Closes connections that send too much, too slowly or nothing at all.

    circuits.web buffers a request until it is complete and has no limits of
    its own. It serves one request at a time on a connection: what a peer sends
    before it has its answer is dropped, and the connection is closed after
    that answer, which tells the peer to send the rest again.
    """

    def __init__(self, *, channel: str, server: web_http.HTTP,
                 timers: timer.Timers, max_body_bytes: int):
        """Watches the connections of a server.

        Args:
            channel: Channel of the server.
            server: Parses the requests.
            timers: Source of time.
            max_body_bytes: Largest request body in bytes.
        """
        super().__init__(channel=channel)
        self._parsers: dict[Any, parsers.HttpParser] = server._buffers
        self._timers = timers
        self._max_bytes = max_body_bytes + MAX_HEADER_BYTES
        self._connections: dict[Any, Connection] = {}
        timers.call_every(CHECK_INTERVAL_S, self._close_overdue)

    @circuits.handler("connect", priority=10)
    def _on_connect(self, sock: Any, *_: Any) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
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
        connection.last_s = self._timers.read_clock()
        if connection.response is not None:
            connection.response.close = True
            event.stop()
            return
        if connection.begun_s is None:
            connection.begun_s = connection.last_s
            # The library's own choice of parser would decompress bodies.
            self._parsers[sock] = parsers.HttpParser(0, False)
        connection.size += len(data)
        if connection.size > self._max_bytes:
            event.stop()
            self._refuse(sock, TOO_LARGE)

    @circuits.handler("read", priority=-10)
    def _check_parsed(self, sock: Any, _: bytes) -> None:
        """Refuses what the library would wait for without end."""
        parser = self._parsers.get(sock)
        if parser is None or sock not in self._connections:
            return
        if parser.errno is not None:
            self._refuse(sock, MALFORMED)
        elif parser.is_headers_complete():
            fault = find_fault(parser.get_method(), parser.get_headers())
            if fault is not None:
                self._refuse(sock, fault)

    @circuits.handler("request", priority=20)
    def _on_request(self, event: Any, request: Any, response: Any, *_:
                    Any) -> None:
        connection = self._connections.get(request.sock)
        if connection is None:
            event.stop()
            return
        fault = find_fault(request.method, request.headers)
        if fault is not None:
            event.stop()
            self._refuse(request.sock, fault)
            return
        connection.begun_s = None
        connection.size = 0
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

    def _refuse(self, sock: Any, fault: Fault) -> None:
        self._connections.pop(sock, None)
        self._parsers.pop(sock, None)
        body = json.dumps({"outcome": "not_run", "error": fault.reason})
        head = (f"HTTP/1.1 {fault.status.value} {fault.status.phrase}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
        self.fire(net_events.write(sock, f"{head}{body}".encode()),
                  self.channel)
        self.fire(net_events.close(sock), self.channel)

    def _close_overdue(self) -> None:
        now_s = self._timers.read_clock()
        for sock, connection in list(self._connections.items()):
            slow = (connection.begun_s is not None and
                    now_s - connection.begun_s > REQUEST_TIMEOUT_S)
            idle = now_s - connection.last_s > IDLE_TIMEOUT_S
            if slow or idle:
                self.fire(net_events.close(sock), self.channel)
