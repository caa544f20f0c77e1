"""HTTP requests to other systems, without blocking the event loop."""

from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from circuits.web import parsers

from trefoilroad_node import streams
from trefoilroad_node import timer
from trefoilroad_node import traffic

# Connections to one address unless the caller asks for more.
MAX_CONNECTIONS = 4


class Reply(NamedTuple):
    """A complete answer.

    Attributes:
        status: HTTP status.
        body: The whole body.
    """

    status: int
    body: bytes


class Lost(NamedTuple):
    """No complete answer came.

    Attributes:
        sent: Whether any part of the request may have left this process.
        reason: What happened, for logs.
    """

    sent: bool
    reason: str


OnDone = Callable[[Reply | Lost], None]


class Exchange:
    """One request that waits for its answer."""

    def __init__(self, *, data: bytes, on_done: OnDone):
        self.data = data
        self.on_done = on_done
        self.sent = False
        self.ended = False
        self.timeout: timer.TimerHandle | None = None

    def end(self, result: Reply | Lost) -> None:
        """Reports the result, once."""
        if self.ended:
            return
        self.ended = True
        if self.timeout is not None:
            self.timeout.cancel()
        self.on_done(result)


class Connection(streams.Listener):
    """One kept-alive TCP connection with one request at a time.

    It is never opened again after it was closed, so that an answer that comes
    late cannot be taken for that of another request.

    Attributes:
        closed: Whether it can take no further request.
    """

    def __init__(self, *, on_idle: Callable[[], Any], volume: traffic.Traffic):
        self.closed = False
        self._on_idle = on_idle
        self._volume = volume
        self._stream: streams.Stream | None = None
        self._exchange: Exchange | None = None
        self._parser = parsers.HttpParser(1, True)

    @property
    def idle(self) -> bool:
        """Whether it can take a request."""
        return self._exchange is None and not self.closed

    def open(self, hub: streams.Streams, host: str, port: int) -> None:
        """Begins to connect."""
        self._stream = hub.open(host, port, self)

    def send(self, exchange: Exchange) -> None:
        """Sends a request, once it is connected."""
        self._exchange = exchange
        self._parser = parsers.HttpParser(1, True)
        if self._stream is None or self.closed:
            self._fail("unreachable")
        elif self._stream.connected:
            self._write()

    def abort(self, exchange: Exchange, reason: str) -> None:
        """Gives up a request; its late answer is never read."""
        if self._exchange is exchange:
            self._fail(reason)

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        if self._stream is not None:
            self._stream.close()

    def take_connected(self) -> None:
        """See streams.Listener."""
        self._write()

    def take_data(self, data: bytes) -> None:
        """See streams.Listener."""
        self._volume.received += len(data)
        if self._exchange is None:
            # Nothing was asked, so the next answer could not be told apart.
            self.close()
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

    def take_closed(self, reason: str) -> None:
        """See streams.Listener."""
        self._fail(reason)

    def _write(self) -> None:
        exchange = self._exchange
        if exchange is not None and not exchange.ended and self._stream:
            exchange.sent = True
            self._stream.write(exchange.data)

    def _fail(self, reason: str) -> None:
        self.close()
        if self._exchange is not None:
            self._finish(Lost(self._exchange.sent, reason))

    def _finish(self, result: Reply | Lost) -> None:
        exchange = self._exchange
        self._exchange = None
        self._on_idle()
        if exchange is not None:
            exchange.end(result)


class Peer:
    """The connections to one address and the requests that wait for one."""

    def __init__(self) -> None:
        self.connections: list[Connection] = []
        self.waiting: deque[Exchange] = deque()


class HttpClient:
    """Sends requests over a few kept-alive connections to each address."""

    def __init__(self,
                 *,
                 hub: streams.Streams,
                 timers: timer.Timers,
                 headers: Mapping[str, str],
                 volume: traffic.Traffic,
                 max_connections: int = MAX_CONNECTIONS):
        """Prepares the client.

        Args:
            hub: Opens connections.
            timers: Ends requests that take too long.
            headers: Headers of every request.
            volume: Counts the bytes.
            max_connections: Most connections to one address.
        """
        self._max_connections = max_connections
        self._hub = hub
        self._timers = timers
        self._headers = dict(headers)
        self._volume = volume
        self._peers: dict[str, Peer] = {}

    def send(self,
             *,
             address: str,
             method: str,
             path: str,
             body: bytes,
             timeout_s: float,
             on_done: OnDone,
             headers: Mapping[str, str] | None = None) -> None:
        """Sends a request.

        Args:
            address: "host:port".
            method: HTTP method.
            path: Path with query.
            body: The body, may be empty.
            timeout_s: Time for the whole exchange in seconds.
            on_done: Gets the answer, or Lost.
            headers: Headers of this request beside those of all requests.
        """
        data = self._encode(address, method, path, body, headers or {})
        self._volume.sent += len(data)
        exchange = Exchange(data=data, on_done=on_done)
        peer = self._peers.setdefault(address, Peer())
        exchange.timeout = self._timers.call_later(
            timeout_s, lambda: self._expire(peer, exchange))
        peer.waiting.append(exchange)
        self._pump(address, peer)

    def forget(self, address: str) -> None:
        """Drops the connections to an address that is not used any more."""
        peer = self._peers.pop(address, None)
        for connection in peer.connections if peer else []:
            connection.close()

    def _encode(self, address: str, method: str, path: str, body: bytes,
                extra: Mapping[str, str]) -> bytes:
        headers = self._headers | dict(extra) | {
            "Host": address,
            "Content-Length": str(len(body))
        }
        lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
        head = f"{method} {path} HTTP/1.1\r\n{''.join(lines)}\r\n"
        return head.encode("latin-1") + body

    def _pump(self, address: str, peer: Peer) -> None:
        while peer.waiting:
            connection = self._find_idle(address, peer)
            if connection is None:
                return
            exchange = peer.waiting.popleft()
            if not exchange.ended:
                connection.send(exchange)

    def _find_idle(self, address: str, peer: Peer) -> Connection | None:
        peer.connections = [
            connection for connection in peer.connections
            if not connection.closed
        ]
        for connection in peer.connections:
            if connection.idle:
                return connection
        if len(peer.connections) >= self._max_connections:
            return None
        host, _, port = address.rpartition(":")
        connection = Connection(volume=self._volume,
                                on_idle=lambda: self._timers.call_later(
                                    0, lambda: self._pump(address, peer)))
        connection.open(self._hub, host, int(port))
        peer.connections.append(connection)
        return connection

    def _expire(self, peer: Peer, exchange: Exchange) -> None:
        for connection in peer.connections:
            connection.abort(exchange, "timeout")
        exchange.end(Lost(exchange.sent, "timeout"))
