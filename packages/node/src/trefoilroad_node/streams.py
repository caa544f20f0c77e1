"""Outgoing TCP connections, all in one component.

The library's TCPClient is a component for each connection. Registering one
tells every other component, and the handler lookup starts afresh: with 240
workers the loop of a new owner stood still for longer than its lease.
"""

import abc
import errno
import socket
from typing import Any

import circuits
from circuits.core import pollers

READ_BYTES = 1 << 16
_IN_PROGRESS = (0, errno.EINPROGRESS, errno.EALREADY, errno.EWOULDBLOCK)


class Listener(abc.ABC):
    """Gets what happens on a stream."""

    @abc.abstractmethod
    def take_connected(self) -> None:
        """The connection is up."""

    @abc.abstractmethod
    def take_data(self, data: bytes) -> None:
        """Data was received."""

    @abc.abstractmethod
    def take_closed(self, reason: str) -> None:
        """The connection is down; called once, unless closed from here."""


class Stream:
    """One connection; it is never opened again after it was closed."""

    def __init__(self, *, streams: "Streams", sock: socket.socket,
                 listener: Listener):
        self.listener = listener
        self.connected = False
        self.buffer = bytearray()
        self.sock = sock
        self._streams = streams

    def write(self, data: bytes) -> None:
        """Sends data, once the connection is up."""
        self.buffer += data
        if self.connected:
            self._streams.flush(self)

    def close(self) -> None:
        """Closes the connection; the listener gets nothing more."""
        self._streams.drop(self)


class Streams(circuits.BaseComponent):
    """Opens connections and moves their data."""

    channel = "streams"

    def __init__(self, *, poller: pollers.BasePoller):
        super().__init__()
        self._poller = poller
        self._open: dict[socket.socket, Stream] = {}

    def open(self, host: str, port: int, listener: Listener) -> Stream:
        """Begins to connect.

        Args:
            host: IP address.
            port: Port.
            listener: Gets what happens, also a connection that fails.

        Returns:
            The stream, to which data can be written at once.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(streams=self, sock=sock, listener=listener)
        self._open[sock] = stream
        code = sock.connect_ex((host, port))
        if code in _IN_PROGRESS:
            self._poller.addWriter(self, sock)
        else:
            self._fail(stream, errno.errorcode.get(code, str(code)))
        return stream

    def flush(self, stream: Stream) -> None:
        """Sends as much as the connection takes."""
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
        """Closes a stream without telling its listener."""
        if self._open.pop(stream.sock, None) is not None:
            self._poller.discard(stream.sock)
            stream.sock.close()

    def _fail(self, stream: Stream, reason: str) -> None:
        if stream.sock in self._open:
            self.drop(stream)
            stream.listener.take_closed(reason)

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        stream = self._open.get(sock)
        if stream is None:
            return
        if not stream.connected:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail(stream, errno.errorcode.get(code, str(code)))
                return
            stream.connected = True
            self._poller.addReader(self, sock)
            stream.listener.take_connected()
        if sock in self._open:
            self.flush(stream)

    @circuits.handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        stream = self._open.get(sock)
        if stream is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(stream, str(error))
            return
        if data:
            stream.listener.take_data(data)
        else:
            self._fail(stream, "closed by the peer")

    @circuits.handler("_disconnect", "_error")
    def _on_disconnect(self, sock: socket.socket, *_: Any) -> None:
        stream = self._open.get(sock)
        if stream is not None:
            self._fail(stream, "disconnected")
