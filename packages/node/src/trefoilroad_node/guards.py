"""Limits on what a peer may send before it is a complete request."""

from typing import Any

import circuits
from circuits.net import events as net_events

from trefoilroad_node import timer

MAX_HEADER_BYTES = 16 << 10
# Time to send one whole request; a slower peer holds a connection for nothing.
REQUEST_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 2048
CHECK_INTERVAL_S = 2.0


class Connection:
    """What is known of one open connection."""

    def __init__(self, *, now_s: float):
        self.last_s = now_s
        self.begun_s: float | None = None
        self.size = 0


class Guard(circuits.BaseComponent):
    """Closes connections that send too much, too slowly or nothing at all.

    circuits.web buffers a request until it is complete and has no limits of
    its own.
    """

    def __init__(self, *, channel: str, timers: timer.Timers,
                 max_body_bytes: int):
        """Watches the connections of a server.

        Args:
            channel: Channel of the server.
            timers: Source of time.
            max_body_bytes: Largest request body in bytes.
        """
        super().__init__(channel=channel)
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
        if connection.begun_s is None:
            connection.begun_s = connection.last_s
        connection.size += len(data)
        if connection.size > self._max_bytes:
            event.stop()
            self._refuse(sock)

    @circuits.handler("request", priority=20)
    def _on_request(self, request: Any, *_: Any) -> None:
        connection = self._connections.get(request.sock)
        if connection is not None:
            connection.begun_s = None
            connection.size = 0

    def _refuse(self, sock: Any) -> None:
        self._connections.pop(sock, None)
        body = b'{"error": "the request is too large"}'
        head = ("HTTP/1.1 413 Content Too Large\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
        self.fire(net_events.write(sock, head.encode() + body), self.channel)
        self.fire(net_events.close(sock), self.channel)

    def _close_overdue(self) -> None:
        now_s = self._timers.read_clock()
        for sock, connection in list(self._connections.items()):
            slow = (connection.begun_s is not None and
                    now_s - connection.begun_s > REQUEST_TIMEOUT_S)
            idle = now_s - connection.last_s > IDLE_TIMEOUT_S
            if slow or idle:
                self.fire(net_events.close(sock), self.channel)
