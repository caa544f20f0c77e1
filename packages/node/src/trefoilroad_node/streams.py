"""Outgoing TCP connections, all handled by one component.

circuits' TCPClient is one component per connection. Registering a component
notifies all others and invalidates their handler caches: with 240 workers this
blocked the event loop of a new owner for longer than its lease.
"""

import abc
from collections.abc import Callable
import errno
import socket
from typing import Any

import circuits
from circuits.core import pollers

READ_BUFFER_BYTES = 1 << 16
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EALREADY, errno.EWOULDBLOCK)


def _describe_error(code: int) -> str:
    return errno.errorcode.get(code, str(code))


class Listener(abc.ABC):
    """Receives the events of a stream."""

    @abc.abstractmethod
    def handle_connected(self) -> None:
        """Handles an established connection."""

    @abc.abstractmethod
    def handle_data(self, data: bytes) -> None:
        """Handles received data."""

    @abc.abstractmethod
    def handle_closed(self, reason: str) -> None:
        """Handles a failed or closed connection.

        Called once, but not after Stream.close.
        """


class Stream:
    """One TCP connection; it is not reopened once it is closed.

    Attributes:
        listener: Receives the events of the stream.
        connected: Whether the connection is established.
        buffer: Data that has not been sent yet.
        sock: The socket.
    """

    def __init__(self, *, connector: "Connector", sock: socket.socket,
                 listener: Listener):
        self.listener = listener
        self.connected = False
        self.buffer = bytearray()
        self.sock = sock
        self._connector = connector

    def write(self, data: bytes) -> None:
        """Sends data, or buffers it until the connection is established."""
        self.buffer += data
        if self.connected:
            self._connector.flush(self)

    def close(self) -> None:
        """Closes the connection; no more calls are made to the listener."""
        self._connector.drop(self)


class Connector(circuits.BaseComponent):
    """Opens TCP connections and transfers their data."""

    channel = "streams"

    def __init__(self,
                 *,
                 poller: pollers.BasePoller,
                 channel: str | None = None,
                 may_open: Callable[[], bool] = lambda: True):
        """Creates a connector without connections.

        Args:
            poller: Poller of the event loop.
            channel: Channel of its events; must differ between connectors.
            may_open: Returns whether there is a descriptor for one more
                connection.
        """
        super().__init__(channel=channel or self.channel)
        self._poller = poller
        self._may_open = may_open
        self._streams: dict[socket.socket, Stream] = {}

    @property
    def open_streams(self) -> int:
        """Number of streams that hold a descriptor."""
        return len(self._streams)

    def open(self, host: str, port: int, listener: Listener) -> Stream:
        """Starts to connect to an address.

        Args:
            host: IP address.
            port: TCP port.
            listener: Receives the events of the stream, including a failure to
                connect.

        Returns:
            The stream; data can be written before it is connected.

        Raises:
            OSError: If the host is not an IP address, or there is no socket or
                no descriptor left for one.
            ValueError: If the host is not text that can be an address.
            OverflowError: If the port is out of range.
        """
        # Without this check, a host name would block the loop while it is
        # resolved.
        socket.inet_pton(socket.AF_INET, host)
        if not self._may_open():
            raise OSError(errno.EMFILE,
                          "the last descriptors are for accepted connections")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex((host, port))
        except (OSError, OverflowError):
            sock.close()
            raise
        stream = Stream(connector=self, sock=sock, listener=listener)
        self._streams[sock] = stream
        if code in _IN_PROGRESS:
            self._poller.addWriter(self, sock)
        else:
            self._fail(stream, _describe_error(code))
        return stream

    def flush(self, stream: Stream) -> None:
        """Sends buffered data until the socket would block."""
        try:
            while stream.buffer:
                sent = stream.sock.send(stream.buffer)
                del stream.buffer[:sent]
        except BlockingIOError:
            if not self._poller.isWriting(stream.sock):
                self._poller.addWriter(self, stream.sock)
            return
        except OSError as error:
            self._fail(stream, str(error))
            return
        if self._poller.isWriting(stream.sock):
            self._poller.removeWriter(stream.sock)

    def drop(self, stream: Stream) -> None:
        """Closes a stream without a call to its listener."""
        if self._streams.pop(stream.sock, None) is not None:
            self._poller.discard(stream.sock)
            stream.sock.close()

    def _fail(self, stream: Stream, reason: str) -> None:
        if stream.sock in self._streams:
            self.drop(stream)
            stream.listener.handle_closed(reason)

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        stream = self._streams.get(sock)
        if stream is None:
            return
        if not stream.connected:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(stream, _describe_error(code))
                return
            stream.connected = True
            self._poller.addReader(self, sock)
            stream.listener.handle_connected()
        if sock in self._streams:
            self.flush(stream)

    @circuits.handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        stream = self._streams.get(sock)
        if stream is None:
            return
        try:
            data = sock.recv(READ_BUFFER_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(stream, str(error))
            return
        if data:
            stream.listener.handle_data(data)
        else:
            self._fail(stream, "closed by the peer")

    @circuits.handler("_disconnect", "_error")
    def _on_disconnect(self, sock: socket.socket, *_: Any) -> None:
        stream = self._streams.get(sock)
        if stream is not None:
            # The poller reports a refused connection in this way, too.
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._fail(stream,
                       _describe_error(code) if code else "disconnected")
