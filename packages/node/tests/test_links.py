"""Tests of the links between nodes."""

import random
import socket
import time

import cbor2
import circuits
from circuits.core import pollers
import pytest
from websockets import frames
from websockets import protocol

from trefoilroad_core import errors
from trefoilroad_node import links
from trefoilroad_node import streams
from trefoilroad_node import timer
from trefoilroad_node import traffic


class _Link:
    """Records how the server ends a link."""

    def __init__(self):
        self.codes = []

    def fail(self, code, _):
        self.codes.append(code)


@pytest.mark.parametrize("error", [
    errors.RecordError("r1: missing ['state']"),
    KeyError("record"),
    ValueError("not a number"),
])
def test_malformed_message_closes_the_link(monkeypatch, error):
    """Guards against a message that raises out of the event loop.

    A malformed record raised past the handler of the link: it was logged as a
    fault of the node, and the link stayed open.
    """

    def on_message(_):
        raise error

    monkeypatch.setattr(links.Acceptor, "__init__", lambda self: None)
    server = links.Acceptor()
    server._on_message = on_message
    link = _Link()
    data = cbor2.dumps({"type": "submitted", "record": {}, "version": 1})
    server._handle_frame(link, frames.Frame(frames.Opcode.BINARY, data))
    assert link.codes == [frames.CloseCode.INVALID_DATA]


class _Site:
    """An acceptor on a loop that the test drives."""

    def __init__(self, max_held_bytes=links.MAX_HELD_BYTES):
        self.root = circuits.BaseComponent()
        pollers.EPoll().register(self.root)
        # Without it, `tick` polls no sockets.
        self.root._running = True
        timers = timer.TimerService(rng=random.Random(1)).register(self.root)
        self.messages = []
        self.acceptor = links.Acceptor(listen="127.0.0.1:0",
                                       secret="secret",
                                       on_message=self.messages.append,
                                       timers=timers,
                                       byte_counter=traffic.ByteCounter(),
                                       max_held_bytes=max_held_bytes)
        self.acceptor.register(self.root)
        self.sockets = []

    def run(self, until):
        """Runs the loop until a condition holds."""
        deadline_s = time.monotonic() + 5.0
        while not until():
            assert time.monotonic() < deadline_s
            self.root.tick(0.01)

    def connect(self, secret=""):
        """Opens a connection, and a link on it if there is a secret."""
        sock = socket.create_connection(("127.0.0.1", self.acceptor.port))
        sock.setblocking(False)
        self.sockets.append(sock)
        if secret:
            sock.send(("GET /link HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                       "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                       "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
                       f"Authorization: Bearer {secret}\r\n\r\n").encode())
            self.run(lambda: self._has_data(sock))
        return sock

    def _has_data(self, sock):
        try:
            return bool(sock.recv(1 << 16))
        except BlockingIOError:
            return False

    def send(self, sock, data):
        """Sends data while the loop runs; ends when the link is closed."""
        rest = memoryview(data)

        def is_sent():
            nonlocal rest
            try:
                rest = rest[sock.send(rest[:1 << 14]):]
            except BlockingIOError:
                return False
            except OSError:
                return True
            return not rest

        self.run(is_sent)


@pytest.fixture
def build_site():
    sites = []

    def build(**options):
        sites.append(_Site(**options))
        return sites[-1]

    yield build
    for site in sites:
        for sock in site.sockets:
            sock.close()


def _encode_frame(payload, announced=0):
    """Encodes a masked binary frame with a mask of zeros."""
    length = announced or len(payload)
    return (b"\x82\xff" + length.to_bytes(8, "big") + bytes(4) + payload)


def test_incomplete_messages_are_bounded_together(build_site):
    """Guards against many links that each hold a part of a large message."""
    site = build_site(max_held_bytes=1_000_000)
    largest = site.connect("secret")
    site.send(largest, _encode_frame(b"x" * 500_000, 3_000_000))
    others = [site.connect("secret") for _ in range(3)]
    for sock in others:
        site.send(sock, _encode_frame(b"x" * 200_000, 3_000_000))
    site.run(lambda: site.acceptor.open_links == 3)
    assert site.acceptor._total_held_bytes <= 1_000_000
    message = {"type": "hello"}
    site.send(site.connect("secret"), _encode_frame(cbor2.dumps(message)))
    site.run(lambda: site.messages == [message])


def test_handshake_without_end_is_closed(build_site):
    """Guards against header lines that are held without a bound."""
    site = build_site()
    sock = site.connect()
    site.send(sock, b"GET /link HTTP/1.1\r\n" + b"X: " + b"y" * 7000 + b"\r\n")
    site.run(lambda: site.acceptor.open_links == 1)
    site.send(sock, (b"X: " + b"y" * 7000 + b"\r\n") * 2)
    site.run(lambda: site.acceptor.open_links == 0)
    assert site.acceptor._total_held_bytes == 0


def test_number_of_links_is_bounded(build_site, monkeypatch):
    """Guards against links that take all descriptors."""
    monkeypatch.setattr(links, "MAX_LINKS", 4)
    site = build_site()
    for _ in range(10):
        site.connect()
    sock = site.connect("secret")
    assert site.acceptor.open_links <= 5
    site.send(sock, _encode_frame(cbor2.dumps({"type": "hello"})))
    site.run(lambda: site.messages)


class _Caller:
    """Outgoing links on a loop that the test drives."""

    def __init__(self):
        self.root = circuits.BaseComponent()
        poller = pollers.EPoll().register(self.root)
        self.root._running = True
        self.timers = timer.TimerService(rng=random.Random(1)).register(
            self.root)
        self.connector = streams.Connector(poller=poller).register(self.root)

    def make_dialler(self, port):
        return links.Dialler(address=f"127.0.0.1:{port}",
                             secret="secret",
                             connector=self.connector,
                             timers=self.timers,
                             byte_counter=traffic.ByteCounter())

    def make_acceptor(self, port):
        acceptor = links.Acceptor(listen=f"127.0.0.1:{port}",
                                  secret="secret",
                                  on_message=lambda _: None,
                                  timers=self.timers,
                                  byte_counter=traffic.ByteCounter())
        return acceptor.register(self.root)

    def run(self, until):
        """Runs the loop until a condition holds."""
        deadline_s = time.monotonic() + 5.0
        while not until():
            assert time.monotonic() < deadline_s
            self.root.tick(0.01)


def test_link_to_a_node_that_does_not_read_is_closed():
    """Guards against messages that pile up for a node that is frozen."""
    caller = _Caller()
    with socket.create_server(("127.0.0.1", 0)) as server:
        dialler = caller.make_dialler(server.getsockname()[1])
        dialler.dial()
        caller.run(lambda: dialler._protocol)
        dialler._protocol.state = protocol.State.OPEN
        sent = 0
        while dialler.send({"type": "x", "data": b"x" * 100_000}):
            sent += 1
            assert sent < 500
            caller.root.tick(0.001)
        assert not dialler.is_open
        assert not caller.connector.open_streams


def test_link_opens_at_the_first_attempt_after_a_refused_one():
    """Guards against a node that never hears from a restarted leader.

    The port refuses connections while the leader starts. The socket of such an
    attempt was used again, and it failed again although the leader listened.
    """
    caller = _Caller()
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    dialler = caller.make_dialler(port)
    dialler.dial()
    caller.run(lambda: not caller.connector.open_streams)
    caller.make_acceptor(port)
    dialler.dial()
    caller.run(lambda: dialler.is_open)


def test_handshake_without_answer_is_given_up(monkeypatch):
    """Guards against a link that waits forever for a node that is frozen."""
    monkeypatch.setattr(links, "OPEN_TIMEOUT_S", 0.1)
    caller = _Caller()
    with socket.create_server(("127.0.0.1", 0)) as server:
        dialler = caller.make_dialler(server.getsockname()[1])
        dialler.dial()
        caller.run(lambda: dialler._protocol)
        caller.run(lambda: not caller.connector.open_streams)
        dialler.dial()
        assert caller.connector.open_streams == 1
