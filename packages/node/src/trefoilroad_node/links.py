"""Links between nodes: websocket connections that carry CBOR maps.

Each node dials every other node and sends only on the links that it dialled;
from the links that it accepted it only reads. Two nodes therefore need no
agreement on which of their two connections to use.
"""

import abc
from collections.abc import Callable
import hmac
from typing import Any

import cbor2
import circuits
from circuits.net import events as net_events
import structlog
from websockets import client as ws_client
from websockets import frames
from websockets import http11
from websockets import protocol
from websockets import server as ws_server
from websockets import uri as ws_uri

from trefoilroad_core import errors
from trefoilroad_node import line_limit
from trefoilroad_node import listener
from trefoilroad_node import metrics as metrics_module
from trefoilroad_node import request_budget
from trefoilroad_node import streams
from trefoilroad_node import timer
from trefoilroad_node import traffic

MAX_MESSAGE_BYTES = 4 << 20
# Longest time from the start of a connection to the end of the handshake.
OPEN_TIMEOUT_S = 2.0
# Interval at which links are checked, and dialled again if they are down.
REDIAL_INTERVAL_S = 1.0
# Checks from one ping on an open link to the next one, which bounds the cost.
PING_INTERVAL_CHECKS = 2
# A link with a ping that is unanswered at this many checks is replaced. Checks
# are counted, as the age of a ping includes the time that the own process was
# suspended; sockets are polled between two checks. Together with the interval
# of pings a silent link is found within 5 s.
MAX_UNANSWERED_CHECKS = 3
# An accepted link without data for this time is closed, and the other node
# dials again; each node sends a heartbeat twice a second.
LINK_IDLE_TIMEOUT_S = 5.0
# A handshake of another node has some 300 bytes.
MAX_HANDSHAKE_BYTES = 16 << 10
# Default limit of accepted links, where the number of descriptors is not known.
MAX_LINKS = 256
MIN_LINKS = 16
# Part of the sockets that accepted links may take. The leader dials each of
# their nodes too, and half of the sockets are for callers.
LINK_SHARE = 4
# An open link without data for this time may be closed for a new one. Nodes
# send a heartbeat twice a second.
MIN_EVICTION_AGE_S = 2.0
# Default limit of all incomplete messages on accepted links. The largest usual
# ones carry a job, 262,144 bytes.
MAX_HELD_BYTES = 16 << 20
# What may wait to be sent on a link to a node that does not read.
MAX_UNSENT_BYTES = 4 << 20
# The other node sends only control frames on a link that it has accepted: a
# pong for each ping.
MAX_CONTROL_BYTES = 16 << 10
# Lines for closed links in a second.
MAX_CLOSED_LINES_PER_S = 5

_log = structlog.get_logger()

Message = dict[str, Any]
OnMessage = Callable[[Message], None]


def compute_max_links(*, max_descriptors: int) -> int:
    """Returns how many links a process may accept.

    Args:
        max_descriptors: Maximum number of descriptors of the process.
    """
    sockets = max_descriptors - request_budget.FILE_DESCRIPTORS
    return max(MIN_LINKS, sockets // LINK_SHARE)


def decode_message(data: bytes) -> Message:
    """Decodes a message from another node.

    Args:
        data: A CBOR map with a string under "type".

    Returns:
        The message.

    Raises:
        ProtocolError: If the data is not such a map.
    """
    try:
        message = cbor2.loads(data)
    except Exception as error:
        raise errors.ProtocolError(f"not CBOR: {error}") from error
    if not isinstance(message, dict) or not isinstance(message.get("type"),
                                                       str):
        raise errors.ProtocolError("not a map with a type")
    return message


def _decode_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    # `int` takes signs, spaces and underscores, which a URI cannot have.
    if not (port.isascii() and port.isdigit()):
        raise ValueError("no port in the address")
    return host, int(port)


class Dialler(streams.Listener):
    """The outgoing link to one other node."""

    def __init__(self, *, address: str, secret: str,
                 connector: streams.Connector, timers: timer.Timers,
                 byte_counter: traffic.ByteCounter):
        """Creates a link that is not dialled yet.

        Args:
            address: "host:port" of the other node. A malformed one is never
                open.
            secret: Secret that the other node requires.
            connector: Opens the connections.
            timers: Bounds the time until a link is open.
            byte_counter: Counts the bytes sent.
        """
        self.address = address
        self._secret = secret
        self._connector = connector
        self._timers = timers
        self._byte_counter = byte_counter
        self._stream: streams.Stream | None = None
        self._protocol: ws_client.ClientProtocol | None = None
        self._checks_since_ping = 0
        self._awaits_pong = False
        self._was_open = False
        self._lost_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return (self._protocol is not None and
                self._protocol.state is protocol.State.OPEN)

    def dial(self) -> None:
        """Connects, unless the link is connected or connecting.

        Each attempt has a socket of its own: POSIX leaves the state of a socket
        unspecified after a failed connect.
        """
        if self._stream is not None:
            return
        try:
            host, port = _decode_address(self.address)
            stream = self._connector.open(host, port, self)
        except (OSError, ValueError, OverflowError) as error:
            self._record_loss(str(error))
            return
        if stream.sock.fileno() < 0:
            # The attempt has failed at once and `handle_closed` was called.
            return
        self._stream = stream
        self._timers.call_later(OPEN_TIMEOUT_S,
                                lambda: self._give_up_opening(stream))

    def _give_up_opening(self, stream: streams.Stream) -> None:
        if stream is self._stream and not self.is_open:
            self.close()
            self._record_loss("not open in time")

    def check(self) -> None:
        """Pings an open link, and replaces one that is down or silent.

        To be called every REDIAL_INTERVAL_S. A peer that is cut off or has lost
        its state sends no reset, and messages into such a link do not fail.
        """
        if self.is_open:
            self._check_pong()
        elif self._is_closing():
            self.close()
            self._record_loss("the peer has not ended the connection")
        self.dial()

    def _is_closing(self) -> bool:
        return (self._protocol is not None and self._protocol.state
                in (protocol.State.CLOSING, protocol.State.CLOSED))

    def _check_pong(self) -> None:
        self._checks_since_ping += 1
        if self._awaits_pong:
            if self._checks_since_ping >= MAX_UNANSWERED_CHECKS:
                self.close()
                self._record_loss("pings are not answered")
        elif self._checks_since_ping >= PING_INTERVAL_CHECKS:
            self._send_ping()

    def _send_ping(self) -> None:
        if self._protocol is not None:
            self._checks_since_ping = 0
            self._awaits_pong = True
            self._protocol.send_ping(b"")
            self._flush()

    def close(self) -> None:
        """Closes the connection; `dial` opens another one."""
        if self._stream is not None:
            self._stream.close()
        self._stream = None
        self._protocol = None

    def send(self, message: Message) -> bool:
        """Sends a message.

        Args:
            message: The message.

        Returns:
            False if the link is not open or the write closes it; the message
            is then dropped.
        """
        if not self.is_open or self._protocol is None:
            return False
        if (self._stream is not None and
                len(self._stream.buffer) > MAX_UNSENT_BYTES):
            self.close()
            self._record_loss("messages are not read")
            return False
        self._protocol.send_binary(cbor2.dumps(message))
        self._flush()
        # The write may have closed the link. The message is then incomplete.
        return self.is_open

    def _flush(self) -> None:
        if self._protocol is None or self._stream is None:
            return
        # A write that fails closes the link at once, so there is only one.
        data = b"".join(self._protocol.data_to_send())
        if data:
            self._byte_counter.sent_bytes += len(data)
            self._stream.write(data)

    def _record_loss(self, reason: str) -> None:
        """Logs the loss of a link, and the first failure to open it."""
        if self._lost_s is None:
            self._lost_s = self._timers.read_clock()
            _log.warning("link lost" if self._was_open else "link not opened",
                         address=self.address,
                         reason=reason)

    def _record_open(self) -> None:
        if self._lost_s is not None:
            _log.info("link open again",
                      address=self.address,
                      lost_for_s=round(self._timers.read_clock() - self._lost_s,
                                       3))
        self._lost_s = None
        self._was_open = True

    def handle_connected(self) -> None:
        """See streams.Listener.handle_connected."""
        self._checks_since_ping = 0
        self._awaits_pong = False
        target = ws_uri.parse_uri(f"ws://{self.address}/link")
        self._protocol = ws_client.ClientProtocol(target,
                                                  max_size=MAX_CONTROL_BYTES)
        request = self._protocol.connect()
        request.headers["Authorization"] = f"Bearer {self._secret}"
        self._protocol.send_request(request)
        self._flush()

    def handle_data(self, data: bytes) -> None:
        """See streams.Listener.handle_data."""
        if self._protocol is None:
            return
        was_open = self.is_open
        self._protocol.receive_data(data)
        for event in self._protocol.events_received():
            if (isinstance(event, frames.Frame) and
                    event.opcode is frames.Opcode.PONG):
                self._awaits_pong = False
        self._flush()
        if self.is_open and not was_open:
            self._record_open()

    def handle_closed(self, reason: str) -> None:
        """See streams.Listener.handle_closed."""
        self._stream = None
        self._protocol = None
        self._record_loss(reason)


class Acceptor(circuits.BaseComponent):
    """Accepts links from other nodes and reads their messages."""

    channel = "links"

    def __init__(self,
                 *,
                 listen: str,
                 secret: str,
                 on_message: OnMessage,
                 timers: timer.Timers,
                 byte_counter: traffic.ByteCounter,
                 max_held_bytes: int = MAX_HELD_BYTES,
                 max_links: int = MAX_LINKS,
                 metrics: metrics_module.Metrics | None = None):
        """Binds the address.

        Args:
            listen: "host:port".
            secret: Secret that other nodes must present.
            on_message: Called with each message.
            timers: Schedules the closing of idle links.
            byte_counter: Counts the bytes received.
            max_held_bytes: Limit of all incomplete messages in bytes.
            max_links: Maximum number of accepted links.
            metrics: Sink of metrics; none if absent.
        """
        super().__init__()
        self._metrics = metrics or metrics_module.NullMetrics()
        self._line_limit = line_limit.LineLimit(
            max_lines=MAX_CLOSED_LINES_PER_S)
        # Idle links whose closing has been counted.
        self._idle: set[Any] = set()
        self._max_held_bytes = max_held_bytes
        self._max_links = max_links
        self._held_bytes: dict[Any, int] = {}
        self._total_held_bytes = 0
        host, _, port = listen.rpartition(":")
        self._secret = secret
        self._on_message = on_message
        self._byte_counter = byte_counter
        self._timers = timers
        self._protocols: dict[Any, ws_server.ServerProtocol] = {}
        self._last_read_s: dict[Any, float] = {}
        self._server = listener.Listener((host, int(port)),
                                         channel=self.channel)
        self._server.set_buffers(request_budget.MAX_RECEIVE_BUFFER_BYTES)
        self._server.register(self)
        timers.call_every(LINK_IDLE_TIMEOUT_S / 2, self._close_idle)

    @property
    def port(self) -> int:
        """Port that was bound."""
        return int(self._server.port)

    @property
    def open_links(self) -> int:
        """Number of links that hold a descriptor."""
        return self._server.open_connections

    @circuits.handler("connect")
    def _on_connect(self, sock: Any, *_: Any) -> None:
        self._metrics.count("links.accepted")
        if len(self._protocols) >= self._max_links:
            unused = self._find_unused()
            self._drop(sock if unused is None else unused, "too many links",
                       "too_many")
            if unused is None:
                return
        self._held_bytes[sock] = 0
        self._protocols[sock] = ws_server.ServerProtocol(
            max_size=MAX_MESSAGE_BYTES)
        self._last_read_s[sock] = self._timers.read_clock()

    def _find_unused(self) -> Any | None:
        """Returns the oldest link that is not open or silent, or None.

        A link in use is never closed for a new one: its node would dial again
        at once and close another.
        """
        now_s = self._timers.read_clock()
        for sock in sorted(self._last_read_s,
                           key=self._last_read_s.__getitem__):
            if self._server.has_unhandled_data(sock):
                continue
            is_open = self._protocols[sock].state is protocol.State.OPEN
            silent_s = now_s - self._last_read_s[sock]
            if not is_open or silent_s >= MIN_EVICTION_AGE_S:
                return sock
        return None

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: Any) -> None:
        self._forget(sock)

    def _forget(self, sock: Any) -> None:
        self._total_held_bytes -= self._held_bytes.pop(sock, 0)
        self._protocols.pop(sock, None)
        self._last_read_s.pop(sock, None)
        self._idle.discard(sock)

    def _drop(self, sock: Any, reason: str, cause: str) -> None:
        self._metrics.count(f"links.closed_{cause}")
        left_out = self._line_limit.admit(self._timers.read_clock())
        if left_out is not None:
            _log.warning("link closed",
                         reason=reason,
                         links=len(self._protocols),
                         left_out=left_out)
        self._forget(sock)
        self._server.drop(sock)

    def _check_held(self, sock: Any, link: ws_server.ServerProtocol,
                    count: int) -> None:
        """Drops links once they hold too much of incomplete messages."""
        if sock not in self._held_bytes:
            return
        held_bytes = len(link.reader.buffer)
        if link.state is protocol.State.CONNECTING:
            # The lines of the handshake have left the buffer.
            held_bytes = self._held_bytes[sock] + count
        self._total_held_bytes += held_bytes - self._held_bytes[sock]
        self._held_bytes[sock] = held_bytes
        if (link.state is protocol.State.CONNECTING and
                held_bytes > MAX_HANDSHAKE_BYTES):
            self._drop(sock, "the handshake is too large", "handshake_size")
        elif self._total_held_bytes > self._max_held_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self._drop(largest, "too much of incomplete messages", "held_bytes")

    @circuits.handler("read")
    def _on_read(self, sock: Any, data: bytes) -> None:
        link = self._protocols.get(sock)
        if link is None:
            return
        self._byte_counter.received_bytes += len(data)
        self._last_read_s[sock] = self._timers.read_clock()
        link.receive_data(data)
        for event in link.events_received():
            self._handle_event(link, event)
        for chunk in link.data_to_send():
            if chunk:
                self.fire(net_events.write(sock, chunk), self.channel)
            else:
                self.fire(net_events.close(sock), self.channel)
        self._check_held(sock, link, len(data))

    def _handle_event(self, link: ws_server.ServerProtocol, event: Any) -> None:
        if isinstance(event, http11.Request):
            self._handle_handshake(link, event)
        elif isinstance(event,
                        frames.Frame) and event.opcode in (frames.Opcode.BINARY,
                                                           frames.Opcode.CONT):
            self._handle_frame(link, event)

    def _handle_handshake(self, link: ws_server.ServerProtocol,
                          request: http11.Request) -> None:
        presented = request.headers.get("Authorization", "")
        expected = f"Bearer {self._secret}"
        if hmac.compare_digest(presented.encode(), expected.encode()):
            link.send_response(link.accept(request))
        else:
            link.send_response(link.reject(403, "wrong link secret\n"))

    def _handle_frame(self, link: ws_server.ServerProtocol,
                      frame: frames.Frame) -> None:
        if not frame.fin or frame.opcode is frames.Opcode.CONT:
            link.fail(frames.CloseCode.UNSUPPORTED_DATA, "fragmented message")
            return
        try:
            message = decode_message(bytes(frame.data))
            self._on_message(message)
        except (errors.ProtocolError, errors.RecordError, KeyError, TypeError,
                ValueError) as error:
            _log.warning("malformed link message", error=repr(error))
            link.fail(frames.CloseCode.INVALID_DATA, "malformed message")

    def _close_idle(self) -> None:
        self._metrics.set_gauge(
            "links.accepted_open",
            sum(link.state is protocol.State.OPEN
                for link in self._protocols.values()))
        self._server.resume_accepting()
        now_s = self._timers.read_clock()
        for sock, last_s in list(self._last_read_s.items()):
            if now_s - last_s > LINK_IDLE_TIMEOUT_S:
                if sock not in self._idle:
                    self._idle.add(sock)
                    self._metrics.count("links.closed_idle")
                self.fire(net_events.close(sock), self.channel)


class Links(abc.ABC):
    """The outgoing links to the other nodes of the region."""

    @abc.abstractmethod
    def set_addresses(self, addresses: set[str]) -> None:
        """Dials new addresses and closes links to addresses not given."""

    @abc.abstractmethod
    def send(self, address: str, message: Message) -> bool:
        """Sends to one node; returns False if the link is not open."""

    @abc.abstractmethod
    def broadcast(self, message: Message) -> None:
        """Sends to all nodes whose link is open."""


class WebsocketLinks(Links):
    """Outgoing links over websockets, redialled when they are down."""

    def __init__(self,
                 *,
                 secret: str,
                 connector: streams.Connector,
                 timers: timer.Timers,
                 byte_counter: traffic.ByteCounter,
                 metrics: metrics_module.Metrics | None = None):
        """Starts to check links and to redial those that are down.

        Args:
            secret: Secret that the other nodes require.
            connector: Opens the connections.
            timers: Schedules the checks.
            byte_counter: Counts the bytes sent.
            metrics: Sink of metrics; none if absent.
        """
        self._metrics = metrics or metrics_module.NullMetrics()
        self._secret = secret
        self._connector = connector
        self._timers = timers
        self._byte_counter = byte_counter
        self._diallers: dict[str, Dialler] = {}
        timers.call_every(REDIAL_INTERVAL_S, self._check_links)

    def set_addresses(self, addresses: set[str]) -> None:
        """See Links.set_addresses."""
        for address in addresses - self._diallers.keys():
            dialler = Dialler(address=address,
                              secret=self._secret,
                              connector=self._connector,
                              timers=self._timers,
                              byte_counter=self._byte_counter)
            self._diallers[address] = dialler
            dialler.dial()
        for address in self._diallers.keys() - addresses:
            self._diallers.pop(address).close()

    def is_open(self, address: str) -> bool:
        """Returns whether the link to an address is open."""
        dialler = self._diallers.get(address)
        return dialler is not None and dialler.is_open

    def send(self, address: str, message: Message) -> bool:
        """See Links.send."""
        dialler = self._diallers.get(address)
        return dialler is not None and dialler.send(message)

    def broadcast(self, message: Message) -> None:
        """See Links.broadcast."""
        for dialler in self._diallers.values():
            dialler.send(message)

    def _check_links(self) -> None:
        self._metrics.set_gauge("links.dialled", len(self._diallers))
        self._metrics.set_gauge(
            "links.dialled_open",
            sum(dialler.is_open for dialler in self._diallers.values()))
        for dialler in self._diallers.values():
            dialler.check()
