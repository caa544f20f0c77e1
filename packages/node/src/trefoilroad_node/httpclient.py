"""HTTP requests to other systems, without blocking the event loop."""

from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import Any
from typing import NamedTuple

import circuits
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import parsers

from trefoilroad_node import timer
from trefoilroad_node import traffic

MAX_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 1.0


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
        self.timeout: timer.Subscription | None = None

    def end(self, result: Reply | Lost) -> None:
        """Reports the result, once."""
        if self.ended:
            return
        self.ended = True
        if self.timeout is not None:
            self.timeout.cancel()
        self.on_done(result)


class Connection(circuits.BaseComponent):
    """One kept-alive TCP connection with one request at a time.

    It is never opened again after it was closed: events of the old connection
    that are still queued would be taken for those of the new one, and an
    answer for that of another request.

    Attributes:
        closed: Whether it can take no further request.
    """

    _serial = itertools.count()

    def __init__(self, *, host: str, port: int, on_idle: Callable[[], Any],
                 volume: traffic.Traffic):
        channel = f"httpclient-{next(self._serial)}"
        super().__init__(channel=channel)
        self.closed = False
        self._host = host
        self._port = port
        self._on_idle = on_idle
        self._volume = volume
        self._exchange: Exchange | None = None
        self._dialled = False
        self._connected = False
        self._released = False
        self._socket = sockets.TCPClient(channel=channel)
        self._socket.connect_timeout = CONNECT_TIMEOUT_S
        self._socket.register(self)
        self._parser = parsers.HttpParser(1, True)

    @property
    def idle(self) -> bool:
        """Whether it can take a request."""
        return self._exchange is None and not self.closed

    def send(self, exchange: Exchange) -> None:
        """Sends a request, once it is connected."""
        self._exchange = exchange
        self._parser = parsers.HttpParser(1, True)
        if self._connected:
            self._write()
        elif not self._dialled:
            self._dialled = True
            self.fire(net_events.connect(self._host, self._port), self.channel)

    def abort(self, exchange: Exchange, reason: str) -> None:
        """Gives up a request; its late answer is never read."""
        if self._exchange is exchange:
            self._fail(reason)

    def close(self) -> None:
        """Closes the connection; no event of it has an effect any more."""
        self.closed = True
        # While it is being connected, the library cannot close it.
        if self._connected or not self._dialled:
            self._release()

    def _release(self) -> None:
        if not self._released:
            self._released = True
            self._socket._close()  # pylint: disable=protected-access
            self.unregister()

    def _write(self) -> None:
        if self._exchange is None or self._exchange.ended:
            return
        self._exchange.sent = True
        self.fire(net_events.write(self._exchange.data), self.channel)

    @circuits.handler("connected")
    def _on_connected(self, *_: Any) -> None:
        self._connected = True
        if self.closed:
            self._release()
        else:
            self._write()

    @circuits.handler("write", priority=10)
    def _on_write(self, event: Any, _: bytes) -> None:
        """Drops a queued request of a connection that is closed."""
        if self.closed:
            event.stop()

    @circuits.handler("read")
    def _on_read(self, data: bytes) -> None:
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

    @circuits.handler("unreachable")
    def _on_unreachable(self, *_: Any) -> None:
        self._dialled = False
        self._fail("unreachable")

    @circuits.handler("disconnected")
    def _on_disconnected(self, *_: Any) -> None:
        self._fail("connection closed")

    @circuits.handler("error")
    def _on_error(self, *_: Any) -> None:
        self._fail("connection error")

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


class HttpClient(circuits.BaseComponent):
    """Sends requests over a few kept-alive connections to each address."""

    channel = "httpclient"

    def __init__(self, *, timers: timer.Timers, headers: Mapping[str, str],
                 volume: traffic.Traffic):
        """Prepares the client.

        Args:
            timers: Ends requests that take too long.
            headers: Headers of every request.
            volume: Counts the bytes.
        """
        super().__init__()
        self._timers = timers
        self._headers = dict(headers)
        self._volume = volume
        self._peers: dict[str, Peer] = {}

    def send(self, *, address: str, method: str, path: str, body: bytes,
             timeout_s: float, on_done: OnDone) -> None:
        """Sends a request.

        Args:
            address: "host:port".
            method: HTTP method.
            path: Path with query.
            body: The body, may be empty.
            timeout_s: Time for the whole exchange in seconds.
            on_done: Gets the answer, or Lost.
        """
        data = self._encode(address, method, path, body)
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

    def _encode(self, address: str, method: str, path: str,
                body: bytes) -> bytes:
        headers = self._headers | {
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
        if len(peer.connections) >= MAX_CONNECTIONS:
            return None
        host, _, port = address.rpartition(":")
        connection = Connection(host=host,
                                port=int(port),
                                volume=self._volume,
                                on_idle=lambda: self._timers.call_later(
                                    0, lambda: self._pump(address, peer)))
        connection.register(self)
        peer.connections.append(connection)
        return connection

    def _expire(self, peer: Peer, exchange: Exchange) -> None:
        for connection in peer.connections:
            connection.abort(exchange, "timeout")
        exchange.end(Lost(exchange.sent, "timeout"))
