"""A listening TCP socket that bounds what its connections hold."""

import abc
import errno
import socket
from typing import Any

import circuits
from circuits.net import events as net_events
from circuits.net import sockets

from trefoilroad_node import request_budget

# Sizes of a read. The small one counts while much has been read that has not
# been handled yet: up to 1,023 sockets are read before the first is handled.
LARGE_READ_BYTES = 16 << 10
SMALL_READ_BYTES = 4 << 10
MAX_UNHANDLED_BYTES = 2 << 20
# Connections accepted for one event. A loop that accepts one after having read
# all others keeps callers waiting in a flood.
ACCEPT_BATCH = 64
# What is read away after a refusal, and for how long. A socket that is closed
# with unread data resets the connection, and the client may lose the refusal.
LINGER_BYTES = 1 << 20
LINGER_S = 1.0
# Longest wait until a client has taken its earlier answers and the refusal.
FLUSH_S = 10.0
# Holds any usual response, and the metrics.
SEND_BUFFER_BYTES = 32 << 10
_OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class RefuseConnection(circuits.Event):
    """Sends a last response behind the writes that are queued before it."""


class Gate(abc.ABC):
    """Decides which connections are read."""

    @abc.abstractmethod
    def may_read(self, sock: Any) -> bool:
        """Returns whether to read from a connection now.

        Otherwise it is paused until Listener.resume is called.
        """

    @abc.abstractmethod
    def make_room(self) -> bool:
        """Closes connections as none can be accepted for lack of descriptors.

        Returns:
            Whether any was closed.
        """


class Listener(sockets.TCPServer):
    """TCP server of circuits with bounds.

    Attributes:
        gate: Decides which connections are read; None for all.
        accept_failures: How often a connection could not be accepted for lack
            of descriptors or memory.
    """

    def __init__(self, bind: tuple[str, int], *, channel: str):
        """Binds the address.

        Args:
            bind: Host and port.
            channel: Channel of its events.
        """
        super().__init__(bind, channel=channel, backlog=request_budget.BACKLOG)
        self.gate: Gate | None = None
        self.accept_failures = 0
        self._accepting = True
        self._unhandled_bytes = 0
        # Bytes read whose events are queued, by connection.
        self._unhandled: dict[Any, int] = {}
        self._paused: set[Any] = set()
        # Deadlines of connections whose refusal is not sent yet.
        self._refused: dict[Any, float] = {}
        # Those whose refusal is in the send buffer, behind earlier answers.
        self._flushing: set[Any] = set()
        # Remaining bytes and deadline of connections whose refusal is sent.
        self._lingering: dict[Any, tuple[int, float]] = {}

    @property
    def open_connections(self) -> int:
        """Number of connections that hold a descriptor."""
        return len(self._clients)

    @property
    def lingering_connections(self) -> int:
        """Number of refused connections that are not closed yet."""
        return len(self._lingering) + len(self._refused)

    def has_unhandled_data(self, sock: Any) -> bool:
        """Returns whether data was read whose event is still queued."""
        return sock in self._unhandled

    def set_buffers(self, size: int) -> None:
        """Sets the kernel's buffers of connections accepted from now on.

        Without it they grow up to some megabytes for a connection that is not
        read, or whose client does not read.

        Args:
            size: Size of the receive buffer in bytes.
        """
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF,
                              SEND_BUFFER_BYTES)

    def resume(self, sock: Any) -> None:
        """Reads from a connection again; may be repeated."""
        if sock in self._paused:
            self._paused.remove(sock)
            self._poller.addReader(self, sock)

    def resume_accepting(self) -> None:
        """Accepts again after a lack of descriptors."""
        if not self._accepting:
            self._accepting = True
            if self._sock is not None:
                self._poller.addReader(self, self._sock)

    def drop(self, sock: Any) -> None:
        """Closes a connection at once, also with unsent data."""
        self._close(sock)

    def refuse(self, sock: Any, data: bytes, now_s: float) -> None:
        """Sends a last response and closes the connection.

        Answers whose writes are queued are sent first: the client would take
        the refusal for the answer to a request that has run. The client has a
        moment to end its request and read the response. Nothing of what it
        sends is kept.

        Args:
            sock: The connection.
            data: The response.
            now_s: Current time in seconds.
        """
        if sock.fileno() < 0 or sock in self._refused:
            return
        self._refused[sock] = now_s + FLUSH_S
        self.fire(RefuseConnection(sock, data, now_s + LINGER_S))

    @circuits.handler("RefuseConnection")
    def _on_refuse_connection(self, sock: Any, data: bytes,
                              deadline_s: float) -> None:
        # The connection is in the close queue if its answer is the last one.
        if sock not in self._refused or sock in self._closeq:
            return
        if self._buffers.get(sock):
            super().write(sock, data)
            self._flushing.add(sock)
            return
        try:
            is_sent = sock.send(data) == len(data)
        except OSError:
            is_sent = False
        if is_sent:
            self._linger(sock, deadline_s)
        else:
            self.drop(sock)

    def _linger(self, sock: Any, deadline_s: float) -> None:
        """Ends the sending, and reads away what the client still sends."""
        del self._refused[sock]
        self._flushing.discard(sock)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.drop(sock)
            return
        self._lingering[sock] = LINGER_BYTES, deadline_s
        self.resume(sock)

    def close_lingering(self, now_s: float) -> None:
        """Closes the refused connections whose time is over."""
        overdue = [
            sock for sock, deadline_s in self._refused.items()
            if now_s >= deadline_s
        ]
        overdue += [
            sock for sock, (_, deadline_s) in self._lingering.items()
            if now_s >= deadline_s
        ]
        for sock in overdue:
            self.drop(sock)

    def drop_oldest_lingering(self) -> bool:
        """Closes the connection whose refusal was sent first, if any."""
        if not self._lingering:
            return False
        self.drop(next(iter(self._lingering)))
        return True

    def count_unsent_bytes(self) -> dict[Any, int]:
        """Returns the bytes that wait to be sent, by connection."""
        return {
            sock: sum(map(len, chunks))
            for sock, chunks in self._buffers.items()
            if chunks
        }

    @circuits.handler("write")
    def write(self, sock: Any, data: bytes) -> None:
        """Sends data, unless the connection is being refused."""
        if sock not in self._lingering and sock not in self._flushing:
            super().write(sock, data)

    @circuits.handler("close")
    def close(self, sock: Any = None) -> None:
        """Closes a connection once its data is sent, or all if there is none.

        Without a check, the base class keeps a record for each closed socket.
        """
        if sock is None or (sock.fileno() >= 0 and
                            sock not in self._lingering and
                            sock not in self._flushing):
            super().close(sock)

    @circuits.handler("read", priority=100)
    def _count_handled(self, sock: Any, data: bytes) -> None:
        self._unhandled_bytes -= len(data)
        remaining = self._unhandled.get(sock, 0) - len(data)
        if remaining > 0:
            self._unhandled[sock] = remaining
        else:
            self._unhandled.pop(sock, None)

    @circuits.handler("_write", priority=1)
    def _on_write(self, sock: Any) -> None:
        if sock.fileno() >= 0:
            self._join_chunks(sock)
            super()._on_write(sock)
        if sock.fileno() < 0:
            # The base class creates an entry when it looks one up.
            self._buffers.pop(sock, None)
        elif not self._buffers.get(sock):
            if sock in self._flushing:
                self._linger(sock, self._refused[sock])
            # Reading pauses while a response is not taken.
            self.resume(sock)

    def _join_chunks(self, sock: Any) -> None:
        """Joins the head and the body of a small response to one segment."""
        chunks = self._buffers.get(sock)
        if (chunks and len(chunks) > 1 and
                len(chunks[0]) + len(chunks[1]) <= SEND_BUFFER_BYTES):
            first = chunks.popleft()
            chunks[0] = first + chunks[0]

    def _accept(self) -> None:
        may_make_room = self.gate is not None
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _OUT_OF_RESOURCES:
                    self.accept_failures += 1
                    # Once only: a lack of the whole machine does not end if
                    # all idle connections are closed.
                    if may_make_room and self.gate and self.gate.make_room():
                        may_make_room = False
                        continue
                    self._pause_accepting()
                    return
                # The connection has ended before it was accepted.
                continue
            self._on_accept_done(sock)

    def _pause_accepting(self) -> None:
        """Stops accepting; the poller would report the socket for ever."""
        self._accepting = False
        self._poller.removeReader(self._sock)

    def _read(self, sock: Any) -> None:
        if sock.fileno() < 0:
            return
        if sock in self._lingering:
            self._read_away(sock)
            return
        if (self._buffers.get(sock) or sock in self._refused or
            (self.gate is not None and not self.gate.may_read(sock))):
            self._paused.add(sock)
            self._poller.removeReader(sock)
            return
        is_busy = self._unhandled_bytes > MAX_UNHANDLED_BYTES
        try:
            data = sock.recv(SMALL_READ_BYTES if is_busy else LARGE_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.fire(net_events.error(sock, error))
            self._close(sock)
            return
        if data:
            self._unhandled_bytes += len(data)
            self._unhandled[sock] = self._unhandled.get(sock, 0) + len(data)
            self.fire(net_events.read(sock, data)).notify = True
        else:
            self.close(sock)

    def _read_away(self, sock: Any) -> None:
        remaining, deadline_s = self._lingering[sock]
        data = b""
        try:
            data = sock.recv(LARGE_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            pass  # Handled like the end of the connection.
        remaining -= len(data)
        if not data or remaining <= 0:
            self.drop(sock)
        else:
            self._lingering[sock] = remaining, deadline_s

    def _close(self, sock: Any) -> None:
        self._lingering.pop(sock, None)
        self._refused.pop(sock, None)
        self._flushing.discard(sock)
        self._unhandled.pop(sock, None)
        self._paused.discard(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)
