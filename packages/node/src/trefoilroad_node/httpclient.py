"""Non-blocking HTTP client with a connection pool for each address."""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
from typing import Any
from typing import NamedTuple

from trefoilroad_node import messageparser
from trefoilroad_node import streams
from trefoilroad_node import timer
from trefoilroad_node import traffic

# Default limit of connections to one address.
MAX_CONNECTIONS_PER_ADDRESS = 4
# Default limits of a reply, and of all replies that are being received. A page
# of the store has at most 500 rows of 65,536 bytes, 44 MB in base64.
MAX_REPLY_BYTES = 64 << 20
MAX_HELD_BYTES = 128 << 20
# A request with a limit of silence is ended after so many checks in a row that
# found no new data; they are made this often within the limit.
SILENT_CHECKS = 2
# Connections to an address that is not called for this long are closed. Longer
# than the 60 s after which a leader calls a worker that has no runs.
MIN_UNUSED_S = 150.0


class Reply(NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        body: The whole body.
    """

    status: int
    body: bytes


class NoReply(NamedTuple):
    """A request that got no complete response.

    Attributes:
        sent: Whether any part of the request may have been sent.
        reason: Cause, for logs.
    """

    sent: bool
    reason: str


OnDone = Callable[[Reply | NoReply], None]


class Exchange:
    """A request and the callback for its response.

    Attributes:
        data: The encoded request.
        on_done: Called once with the result.
        sent: Whether any part of the request may have been sent.
        sent_number: Event number of the sending, 0 until then.
        ended: Whether the result has been reported.
        timeout: Timer that ends the exchange.
        max_silence_s: Limit of the time without any data, None for none.
        silence_check: Timer of the next check for silence, if it has any.
        received_number: Event number of the last data of the response, as of
            the last check for silence; 0 if there was none.
        silent_checks: Number of checks in a row that found no new data.
    """

    def __init__(self, *, data: bytes, on_done: OnDone,
                 max_silence_s: float | None):
        self.data = data
        self.max_silence_s = max_silence_s
        self.on_done = on_done
        self.sent = False
        self.sent_number = 0
        self.ended = False
        self.timeout: timer.TimerHandle | None = None
        self.silence_check: timer.TimerHandle | None = None
        self.received_number = 0
        self.silent_checks = 0

    def end(self, result: Reply | NoReply) -> None:
        """Reports the result, unless one has been reported."""
        if self.ended:
            return
        self.ended = True
        for timer_handle in (self.timeout, self.silence_check):
            if timer_handle is not None:
                timer_handle.cancel()
        self.on_done(result)


class ReplyBounds:
    """Limits of what a client holds of incomplete replies.

    Attributes:
        max_reply_bytes: Maximum size of a reply with its headers.
        max_held_bytes: Maximum size of all incomplete replies.
        held_bytes: Size of all incomplete replies.
    """

    def __init__(self, *, max_reply_bytes: int, max_held_bytes: int):
        self.max_reply_bytes = max_reply_bytes
        self.max_held_bytes = max_held_bytes
        self.held_bytes = 0


class Connection(streams.Listener):
    """A keep-alive connection that carries one request at a time.

    It is not reopened once it is closed, so that a late response cannot be
    matched to another request.

    Attributes:
        closed: Whether the connection accepts no further request.
    """

    def __init__(self, *, on_idle: Callable[[], Any],
                 byte_counter: traffic.ByteCounter, reply_bounds: ReplyBounds,
                 event_numbers: Iterator[int]):
        """Creates a connection that is not open yet.

        Args:
            on_idle: Called when the connection is free or closed.
            byte_counter: Counts the bytes received.
            reply_bounds: Limits shared by the connections of the client.
            event_numbers: Numbers the events of all connections of the client
                from 1 on, in their order.
        """
        self.closed = False
        self._event_numbers = event_numbers
        self._received_number = next(event_numbers)
        self._reply_bounds = reply_bounds
        self._reply_bytes = 0
        self._on_idle = on_idle
        self._byte_counter = byte_counter
        self._stream: streams.Stream | None = None
        self._exchange: Exchange | None = None
        self._parser = messageparser.MessageParser(1, True)

    @property
    def idle(self) -> bool:
        """Whether the connection is free for a request."""
        return self._exchange is None and not self.closed

    def open(self, connector: streams.Connector, address: str) -> None:
        """Starts to connect; a malformed address closes the connection.

        Args:
            connector: Opens the connection.
            address: "host:port".
        """
        host, _, port = address.rpartition(":")
        try:
            self._stream = connector.open(host, int(port), self)
        except (OSError, ValueError, OverflowError) as error:
            self._fail(f"cannot connect: {error!r}")

    def send(self, exchange: Exchange) -> None:
        """Sends a request, at once or when the connection is established."""
        self._exchange = exchange
        self._parser = messageparser.MessageParser(1, True)
        if self._stream is None or self.closed:
            self._fail("unreachable")
        elif self._stream.connected:
            self._write()

    def carries(self, exchange: Exchange) -> bool:
        """Returns whether it waits for the response of an exchange."""
        return self._exchange is exchange

    def is_silent(self, exchange: Exchange) -> bool:
        """Checks whether the peer has sent nothing for some time.

        Args:
            exchange: The exchange that the connection carries.

        Returns:
            Whether this and the checks before it found no new data.
        """
        has_response = exchange.sent and self.has_received_since(exchange)
        number = self._received_number if has_response else 0
        if number == exchange.received_number:
            exchange.silent_checks += 1
        else:
            exchange.received_number = number
            exchange.silent_checks = 0
        return exchange.silent_checks >= SILENT_CHECKS

    def has_received_since(self, exchange: Exchange) -> bool:
        """Returns whether the peer was heard after a request was sent.

        A connection that was opened after it counts as heard, and so does any
        if the request was not sent.
        """
        return self._received_number > exchange.sent_number

    def abort(self, reason: str) -> None:
        """Closes the connection and ends the exchange that it carries.

        A late response is then never read.
        """
        self._fail(reason)

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        self._hold(-self._reply_bytes)
        if self._stream is not None:
            self._stream.close()

    def handle_connected(self) -> None:
        """See streams.Listener.handle_connected."""
        self._received_number = next(self._event_numbers)
        if self._exchange is not None:
            # A part of the current interval has passed before it was sent.
            self._exchange.silent_checks = -1
        self._write()

    def handle_data(self, data: bytes) -> None:
        """See streams.Listener.handle_data."""
        self._received_number = next(self._event_numbers)
        self._byte_counter.received_bytes += len(data)
        if self._exchange is None:
            # Data without a request would be taken for the next response.
            self.close()
            return
        self._hold(len(data))
        if not self._keeps_bounds():
            self._fail("answer too large")
            return
        self._parser.execute(data, len(data))
        if self._parser.errno is not None:
            self._fail("malformed answer")
        elif self._parser.is_message_complete():
            status = self._parser.get_status_code()
            body = self._parser.recv_body()
            if not self._parser.should_keep_alive():
                self.close()
            self._finish(Reply(status, body))

    def handle_closed(self, reason: str) -> None:
        """See streams.Listener.handle_closed."""
        self._fail(reason)

    def _write(self) -> None:
        exchange = self._exchange
        if exchange is not None and not exchange.ended and self._stream:
            exchange.sent = True
            exchange.sent_number = next(self._event_numbers)
            self._stream.write(exchange.data)

    def _hold(self, count: int) -> None:
        self._reply_bytes += count
        self._reply_bounds.held_bytes += count

    def _keeps_bounds(self) -> bool:
        bounds = self._reply_bounds
        return (self._reply_bytes <= bounds.max_reply_bytes and
                bounds.held_bytes <= bounds.max_held_bytes)

    def _fail(self, reason: str) -> None:
        self.close()
        if self._exchange is not None:
            self._finish(NoReply(self._exchange.sent, reason))

    def _finish(self, result: Reply | NoReply) -> None:
        exchange = self._exchange
        self._exchange = None
        self._hold(-self._reply_bytes)
        self._on_idle()
        if exchange is not None:
            exchange.end(result)


class ConnectionPool:
    """Connections to one address and the requests queued for them.

    Attributes:
        connections: Connections, closed ones among them.
        queue: Requests that wait for a connection.
        recently_used: Whether a request was made since the last check for
            unused pools.
    """

    def __init__(self) -> None:
        self.connections: list[Connection] = []
        self.queue: deque[Exchange] = deque()
        self.recently_used = True

    @property
    def has_open_exchange(self) -> bool:
        """Whether a request is queued or waits for its response."""
        return (any(not exchange.ended for exchange in self.queue) or
                any(not connection.idle and not connection.closed
                    for connection in self.connections))


class HttpClient:
    """Sends requests over a limited number of connections to each address."""

    def __init__(self,
                 *,
                 connector: streams.Connector,
                 timers: timer.Timers,
                 headers: Mapping[str, str],
                 byte_counter: traffic.ByteCounter,
                 max_connections: int = MAX_CONNECTIONS_PER_ADDRESS,
                 max_reply_bytes: int = MAX_REPLY_BYTES,
                 max_held_bytes: int = MAX_HELD_BYTES,
                 min_unused_s: float = MIN_UNUSED_S,
                 may_connect: Callable[[int], bool] = lambda count: True):
        """Creates a client without connections.

        Args:
            connector: Opens connections.
            timers: Schedules the timeouts of requests.
            headers: Headers added to every request.
            byte_counter: Counts the bytes sent and received.
            max_connections: Maximum number of connections to one address.
            max_reply_bytes: Maximum size of a reply with its headers.
            max_held_bytes: Maximum size of all incomplete replies.
            min_unused_s: Connections to an address that is not called are
                closed after once to twice this time, in seconds.
            may_connect: Returns whether there are descriptors for one more
                connection to an address that has this number of them, 1 or
                more.
        """
        self._max_connections = max_connections
        self._reply_bounds = ReplyBounds(max_reply_bytes=max_reply_bytes,
                                         max_held_bytes=max_held_bytes)
        self._min_unused_s = min_unused_s
        self._unused_check_scheduled = False
        self._may_connect = may_connect
        self._connector = connector
        self._timers = timers
        self._headers = dict(headers)
        self._byte_counter = byte_counter
        self._pools: dict[str, ConnectionPool] = {}
        self._event_numbers = itertools.count(1)

    def send(self,
             *,
             address: str,
             method: str,
             path: str,
             body: bytes,
             timeout_s: float,
             on_done: OnDone,
             headers: Mapping[str, str] | None = None,
             max_silence_s: float | None = None) -> None:
        """Sends a request, or queues it until a connection is free.

        Args:
            address: "host:port"; if it is malformed, there is no reply.
            method: HTTP method.
            path: Path and query.
            body: The body; may be empty.
            timeout_s: Limit in seconds from this call to the complete response.
            on_done: Called once with a Reply or a NoReply.
            headers: Additional headers of this request.
            max_silence_s: Limit in seconds of the time without any data while
                the request has a connection, None for none. A large response
                may then take long over a slow link, and a lost connection is
                still found soon.
        """
        try:
            data = self._encode(address, method, path, body, headers or {})
        except ValueError as error:
            no_reply = NoReply(False, f"cannot be encoded: {error!r}")
            self._timers.call_later(0, lambda: on_done(no_reply))
            return
        self._byte_counter.sent_bytes += len(data)
        exchange = Exchange(data=data,
                            on_done=on_done,
                            max_silence_s=max_silence_s)
        pool = self._pools.setdefault(address, ConnectionPool())
        pool.recently_used = True
        self._schedule_unused_check()
        exchange.timeout = self._timers.call_later(
            timeout_s, lambda: self._time_out(pool, exchange))
        pool.queue.append(exchange)
        self._send_queued(address, pool)

    def disconnect(self, address: str) -> None:
        """Closes the idle connections to an address that is no longer used.

        Open calls go on: another worker may have the address by now.
        """
        pool = self._pools.get(address)
        if pool is None:
            return
        for connection in pool.connections:
            if connection.idle:
                connection.close()
        if not pool.has_open_exchange:
            del self._pools[address]

    def _schedule_unused_check(self) -> None:
        if self._pools and not self._unused_check_scheduled:
            self._unused_check_scheduled = True
            self._timers.call_later(self._min_unused_s, self._close_unused)

    def _close_unused(self) -> None:
        """Closes connections to addresses not called since the last check."""
        self._unused_check_scheduled = False
        for address, pool in list(self._pools.items()):
            if not pool.recently_used and not pool.has_open_exchange:
                self.disconnect(address)
            pool.recently_used = False
        self._schedule_unused_check()

    def _encode(self, address: str, method: str, path: str, body: bytes,
                extra_headers: Mapping[str, str]) -> bytes:
        headers = self._headers | dict(extra_headers) | {
            "Host": address,
            "Content-Length": str(len(body))
        }
        lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
        if any("\n" in value or "\r" in value for value in headers.values()):
            raise ValueError("a header contains the end of a line")
        head = f"{method} {path} HTTP/1.1\r\n{''.join(lines)}\r\n"
        return head.encode("latin-1") + body

    def _send_queued(self, address: str, pool: ConnectionPool) -> None:
        while pool.queue:
            connection = self._get_idle_connection(address, pool)
            if connection is None:
                return
            exchange = pool.queue.popleft()
            if not exchange.ended:
                self._schedule_silence_check(pool, exchange)
                connection.send(exchange)

    def _get_idle_connection(self, address: str,
                             pool: ConnectionPool) -> Connection | None:
        pool.connections = [
            connection for connection in pool.connections
            if not connection.closed
        ]
        for connection in pool.connections:
            if connection.idle:
                return connection
        if len(pool.connections) >= self._max_connections:
            return None
        count = len(pool.connections)
        if count and not self._may_connect(count):
            return None
        connection = Connection(
            reply_bounds=self._reply_bounds,
            byte_counter=self._byte_counter,
            event_numbers=self._event_numbers,
            on_idle=lambda: self._timers.call_later(
                0, lambda: self._send_queued(address, pool)))
        connection.open(self._connector, address)
        pool.connections.append(connection)
        return connection

    def _schedule_silence_check(self, pool: ConnectionPool,
                                exchange: Exchange) -> None:
        if exchange.max_silence_s is not None:
            exchange.silence_check = self._timers.call_later(
                exchange.max_silence_s / SILENT_CHECKS,
                lambda: self._check_silence(pool, exchange))

    def _check_silence(self, pool: ConnectionPool, exchange: Exchange) -> None:
        if any(
                connection.carries(exchange) and connection.is_silent(exchange)
                for connection in pool.connections):
            self._time_out(pool, exchange)
        elif not exchange.ended:
            self._schedule_silence_check(pool, exchange)

    def _time_out(self, pool: ConnectionPool, exchange: Exchange) -> None:
        for connection in pool.connections:
            if connection.carries(exchange):
                if not connection.has_received_since(exchange):
                    _close_silent(pool, exchange)
                # Ends the exchange, whose caller may send again at once.
                connection.abort("timeout")
        exchange.end(NoReply(exchange.sent, "timeout"))


def _close_silent(pool: ConnectionPool, exchange: Exchange) -> None:
    """Closes idle connections not heard since a lost request was sent.

    After a partition or a restart of the peer they may be as dead as the one
    that carried the request, and each would cost another timeout. One that was
    heard since shows that the peer is only slow, and is kept.
    """
    for connection in pool.connections:
        if connection.idle and not connection.has_received_since(exchange):
            connection.close()
