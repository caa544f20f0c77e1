"""Limits on incoming connections and HTTP requests."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import http
import io
import json
import re
import socket
from typing import Any
from typing import NamedTuple

import circuits
from circuits.net import events as net_events
from circuits.web import http as web_http
from circuits.web import parsers
import structlog

from trefoilroad_node import listener
from trefoilroad_node import messageparser
from trefoilroad_node import metrics as metrics_module
from trefoilroad_node import refusals
from trefoilroad_node import request_budget
from trefoilroad_node import timer

MAX_HEADER_BYTES = 16 << 10
# Limit for sending a whole request; slower clients would occupy connections.
REQUEST_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 120.0
# Longest wait, while the server is stopped, for more of a request that has been
# received in part.
PARTIAL_REQUEST_TIMEOUT_S = 1.0
TIMEOUT_CHECK_INTERVAL_S = 2.0
# Interval of checks while requests are paused or refused.
PRESSURE_CHECK_INTERVAL_S = 0.25
# A client must take so much of its responses within this time.
MIN_TAKEN_BYTES = 4 << 10
UNSENT_TIMEOUT_S = 10.0
# Used where no bounds are given.
DEFAULT_BUDGET_BYTES = 128 << 20

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
BUSY = Rejection(http.HTTPStatus.SERVICE_UNAVAILABLE,
                 "too many requests are being received")
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
    """Discards writes to sockets that have been closed, and closes of them.

    circuits would keep the data and the socket for ever.
    """

    @circuits.handler("write", priority=10)
    def _on_write(self, event: Any, sock: Any, _: bytes) -> None:
        if sock.fileno() < 0:
            event.stop()

    @circuits.handler("close", priority=20)
    def _on_close(self, event: Any, sock: Any = None) -> None:
        if sock is not None and sock.fileno() < 0:
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
        head_checked: Whether the head of that request has been checked.
        response: Response that is pending, or None.
        closing: Whether its closing has been requested because it was idle.
        unsent_bytes: Bytes of responses that the client had not taken when it
            last took some.
        unsent_since_s: When that was, in seconds.
    """

    def __init__(self, *, now_s: float):
        self.last_read_s = now_s
        self.request_started_s: float | None = None
        self.request_bytes = 0
        self.head_checked = False
        self.response: Any = None
        self.closing = False
        self.unsent_bytes = 0
        self.unsent_since_s = now_s

    def is_idle(self, now_s: float, *, is_paused: bool = False) -> bool:
        """Returns whether it can be closed without the loss of a request.

        Args:
            now_s: Current time in seconds.
            is_paused: Whether it is not read, so that nothing can come.
        """
        if self.response is not None or is_paused:
            return False
        return (self.request_started_s is None or
                now_s - self.last_read_s > PARTIAL_REQUEST_TIMEOUT_S)

    def has_stopped_reading(self, unsent_bytes: int, now_s: float) -> bool:
        """Returns whether the client has not taken its responses for long.

        Args:
            unsent_bytes: Bytes that wait to be sent.
            now_s: Current time in seconds.
        """
        took_some = self.unsent_bytes - unsent_bytes >= MIN_TAKEN_BYTES
        if not self.unsent_bytes or not unsent_bytes or took_some:
            self.unsent_bytes = unsent_bytes
            self.unsent_since_s = now_s
        return now_s - self.unsent_since_s > UNSENT_TIMEOUT_S


class RequestGuard(circuits.BaseComponent, listener.Gate):
    """Enforces limits on size, time and idleness of connections.

    circuits.web buffers a request until it is complete and has no limits of
    its own. It serves one request at a time on a connection: data that a client
    sends before the response is discarded, and the connection is closed after
    that response, so that the client sends the rest again.

    What all connections hold together is bounded by a budget, which decides
    what is read, paused and refused; see `request_budget`.
    """

    def __init__(self,
                 *,
                 channel: str,
                 server: web_http.HTTP,
                 timers: timer.Timers,
                 max_body_bytes: int,
                 bounds: request_budget.Bounds | None = None,
                 get_body_limit: Callable[[], int] = lambda: 0,
                 report: refusals.Report | None = None,
                 make_more_room: Callable[[], bool] = lambda: False):
        """Attaches to the channel of a server.

        Args:
            channel: Channel of the server.
            server: Component that parses the requests.
            timers: Clock and timers.
            max_body_bytes: Largest request body in bytes.
            bounds: Bounds of all connections together.
            get_body_limit: Returns a smaller limit of a body in bytes, which
                may change; 0 for none.
            report: Counts what is refused.
            make_more_room: Closes connections of other listeners if there is no
                descriptor for one more, and returns whether it closed any.
        """
        super().__init__(channel=channel)
        self._http = server
        self._parsers: dict[Any, parsers.HttpParser] = server._buffers
        self._listener: listener.Listener = server._server.server
        self._timers = timers
        self._max_body_bytes = max_body_bytes
        self._get_body_limit = get_body_limit
        self._make_more_room = make_more_room
        self._connections: dict[Any, Connection] = {}
        self._draining = False
        self._check_is_due = False
        if bounds is None:
            bounds = request_budget.Bounds(
                max(DEFAULT_BUDGET_BYTES,
                    8 * max_body_bytes), request_budget.MAX_CONNECTIONS,
                request_budget.MAX_RECEIVE_BUFFER_BYTES)
        self._budget = request_budget.RequestBudget(bounds=bounds)
        self._report = report or refusals.Report(
            name=channel, metrics=metrics_module.NullMetrics())
        self._listener.gate = self
        self._listener.set_buffers(bounds.receive_buffer_bytes)
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
            is_paused = self._budget.is_paused(sock)
            if (connection.is_idle(now_s, is_paused=is_paused) and
                    not connection.closing):
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
        if self._draining:
            self.fire(net_events.close(sock), self.channel)
            return
        now_s = self._timers.read_clock()
        self._make_room(now_s)
        if not self._budget.open(
                sock, now_s,
                extra_connections=self._listener.lingering_connections):
            self._count(refusals.Cause.CONNECTIONS)
            self._listener.drop(sock)
            return
        self._connections[sock] = Connection(now_s=now_s)

    def _make_room(self, now_s: float) -> None:
        """Closes connections for a new one if all descriptors are in use."""
        lingering = self._listener.lingering_connections
        if (self._budget.open_connections + lingering
                >= self._budget.bounds.max_connections and
                self._listener.drop_oldest_lingering()):
            return
        self._evict(
            self._budget.find_evictions(now_s, extra_connections=lingering))

    def make_room(self) -> bool:
        """See listener.Gate.make_room."""
        # A paused listener accepts again with the next check.
        self._check_later()
        if self._listener.drop_oldest_lingering():
            return True
        now_s = self._timers.read_clock()
        return (self._evict(self._budget.rank_evictions(now_s)) or
                self._make_more_room())

    def _evict(self, socks: Iterable[Any]) -> bool:
        """Closes connections without a request; returns whether any was."""
        is_any_closed = False
        for sock in socks:
            connection = self._connections[sock]
            if self._listener.has_unhandled_data(sock):
                continue
            if connection.request_started_s is None and _has_data(sock):
                continue
            self._count(refusals.Cause.EVICTED)
            self._discard(sock)
            self._listener.drop(sock)
            is_any_closed = True
        return is_any_closed

    @circuits.handler("disconnect", priority=10)
    def _on_disconnect(self, sock: Any) -> None:
        self._discard(sock)

    def _discard(self, sock: Any) -> None:
        """Drops everything that is held for a connection.

        circuits.web would keep the parser of an incomplete request for ever.
        """
        self._connections.pop(sock, None)
        self._parsers.pop(sock, None)
        self._http._clients.pop(sock, None)
        self._budget.forget(sock)

    def may_read(self, sock: Any) -> bool:
        """See listener.Gate.may_read."""
        # The clock is read only if it is needed.
        if not self._budget.is_short() or self._budget.may_read(
                sock, self._timers.read_clock()):
            return True
        self._count(refusals.Cause.PAUSED)
        return False

    @circuits.handler("read", priority=10)
    def _on_read(self, event: Any, sock: Any, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            event.stop()
            return
        now_s = self._timers.read_clock()
        connection.last_read_s = now_s
        if connection.response is not None:
            connection.response.close = True
            event.stop()
            return
        if connection.request_started_s is None:
            connection.request_started_s = now_s
            # The parser that circuits.web creates would decompress bodies.
            self._parsers[sock] = messageparser.MessageParser(0, False)
        connection.request_bytes += len(data)
        for victim in self._budget.charge(sock, len(data), now_s):
            self._count(refusals.Cause.MEMORY)
            self._reject(victim, BUSY)
        if sock not in self._connections:
            event.stop()
        elif connection.request_bytes > self._get_max_bytes():
            event.stop()
            self._count(refusals.Cause.SIZE)
            self._reject(sock, REQUEST_TOO_LARGE)

    def _get_max_bytes(self) -> int:
        limit = self._get_body_limit() or self._max_body_bytes
        return min(limit, self._max_body_bytes) + MAX_HEADER_BYTES

    @circuits.handler("read", priority=-10)
    def _check_parsed(self, sock: Any, _: bytes) -> None:
        """Rejects requests that circuits.web would never complete."""
        connection = self._connections.get(sock)
        parser = self._parsers.get(sock)
        if parser is None or connection is None or connection.head_checked:
            return
        if parser.errno is not None:
            self._reject(sock, MALFORMED_REQUEST)
        elif parser.is_headers_complete():
            connection.head_checked = True
            headers = parser.get_headers()
            rejection = self._check_head(parser.get_method(), headers)
            if rejection is not None:
                self._reject(sock, rejection)
        elif connection.request_bytes > MAX_HEADER_BYTES:
            self._count(refusals.Cause.SIZE)
            self._reject(sock, REQUEST_TOO_LARGE)

    def _check_head(self, method: str,
                    headers: Mapping[str, str]) -> Rejection | None:
        """Checks a head, and the announced length against the limit."""
        rejection = check_headers(method, headers)
        if rejection is not None:
            return rejection
        length = int(headers.get("Content-Length", "0"))
        limit = self._get_max_bytes() - MAX_HEADER_BYTES
        if length <= limit:
            return None
        self._count(refusals.Cause.SIZE)
        return REQUEST_TOO_LARGE._replace(
            reason=f"the body has {length} bytes, the limit is {limit}")

    @circuits.handler("request", priority=20)
    def _on_request(self, event: Any, request: Any, response: Any, *_:
                    Any) -> bool | None:
        sock = request.sock
        connection = self._connections.get(sock)
        if connection is None:
            event.stop()
            # Anything but None keeps circuits.web from answering 404.
            return True
        rejection = self._check_head(request.method, request.headers)
        if rejection is not None:
            event.stop()
            self._reject(sock, rejection)
            return True
        body = request.body.read()
        if not self._begin_work(sock, len(body)):
            event.stop()
            return True
        connection.request_started_s = None
        connection.request_bytes = 0
        connection.head_checked = False
        connection.response = response
        length = int(request.headers.get("Content-Length", "0"))
        if len(body) > length:
            response.close = True
        request.body = io.BytesIO(body[:length])
        return None

    def _begin_work(self, sock: Any, body_bytes: int) -> bool:
        """Returns whether there is memory to carry out a request."""
        now_s = self._timers.read_clock()
        for victim in self._budget.begin_work(sock, body_bytes, now_s):
            self._count(refusals.Cause.MEMORY)
            self._reject(victim, BUSY)
        return sock in self._connections

    @circuits.handler("response", priority=-10)
    def _on_response(self, response: Any) -> None:
        sock = response.request.sock
        connection = self._connections.get(sock)
        if connection is not None and connection.response is response:
            connection.response = None
            self._budget.finish_work(sock, self._timers.read_clock())
            if self._budget.paused_connections:
                self._resume()

    def _resume(self) -> None:
        for sock in self._budget.take_resumable():
            self._listener.resume(sock)

    def _reject(self, sock: Any, rejection: Rejection) -> None:
        self._discard(sock)
        self._check_later()
        self._listener.refuse(sock, encode_rejection(rejection),
                              self._timers.read_clock())

    def _count(self, cause: refusals.Cause) -> None:
        self._report.count(cause)
        self._check_later()

    def _check_later(self) -> None:
        """Schedules the checks that are needed while something is refused."""
        if not self._check_is_due:
            self._check_is_due = True
            self._timers.call_later(PRESSURE_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._check_is_due = False
        now_s = self._timers.read_clock()
        self._listener.close_lingering(now_s)
        self._listener.resume_accepting()
        for sock in self._budget.relieve(now_s):
            self._count(refusals.Cause.MEMORY)
            self._reject(sock, BUSY)
        self._resume()
        logged = self._report.log(now_s,
                                  held_bytes=self._budget.used_bytes,
                                  connections=len(self._connections))
        if (not logged or self._budget.paused_connections or
                self._listener.lingering_connections):
            self._check_later()

    def _close_overdue(self) -> None:
        now_s = self._timers.read_clock()
        self._report.set_gauges(held_bytes=self._budget.used_bytes,
                                connections=len(self._connections))
        if self._listener.accept_failures:
            self._count_accept_failures()
        self._close_unread(now_s)
        for sock, connection in list(self._connections.items()):
            is_slow = (connection.request_started_s is not None and
                       now_s - connection.request_started_s > REQUEST_TIMEOUT_S)
            is_idle = now_s - connection.last_read_s > IDLE_TIMEOUT_S
            if is_slow or is_idle:
                self.fire(net_events.close(sock), self.channel)

    def _count_accept_failures(self) -> None:
        for _ in range(self._listener.accept_failures):
            self._count(refusals.Cause.DESCRIPTORS)
        self._listener.accept_failures = 0
        self._listener.resume_accepting()

    def _close_unread(self, now_s: float) -> None:
        """Closes connections whose clients don't take their responses."""
        unsent = self._listener.count_unsent_bytes()
        for sock, connection in list(self._connections.items()):
            if connection.has_stopped_reading(unsent.get(sock, 0), now_s):
                self._count(refusals.Cause.UNREAD)
                self._discard(sock)
                self._listener.drop(sock)


def encode_rejection(rejection: Rejection) -> bytes:
    """Encodes the response to a request that is not carried out."""
    body = json.dumps({"outcome": "not_run", "error": rejection.reason})
    retry = ("Retry-After: 1\r\n"
             if rejection.status is http.HTTPStatus.SERVICE_UNAVAILABLE else "")
    head = (f"HTTP/1.1 {rejection.status.value} {rejection.status.phrase}\r\n"
            f"Content-Type: application/json\r\n{retry}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
    return f"{head}{body}".encode()


def _has_data(sock: Any) -> bool:
    """Returns whether a connection has data that has not been read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
