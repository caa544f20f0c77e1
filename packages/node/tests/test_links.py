"""Tests of the links between nodes."""

import contextlib
import errno
import random
import socket
import struct
import time

import cbor2
import circuits
from circuits.core import pollers
import pytest
import structlog.testing
from websockets import frames
from websockets import http11
from websockets import protocol
from websockets import server as ws_server

from trefoilroad_core import errors
from trefoilroad_node import links
from trefoilroad_node import registry
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


def _read_metric(metrics, name):
    lines = dict(
        line.split(" ") for line in metrics.render().split("\n") if line)
    return float(lines.get(f"trefoilroad_links_{name}", -1))


class _Site:
    """An acceptor on a loop that the test drives."""

    def __init__(self,
                 max_held_bytes=links.MAX_HELD_BYTES,
                 max_links=links.MAX_LINKS):
        self.root = circuits.BaseComponent()
        pollers.EPoll().register(self.root)
        # Without it, `tick` polls no sockets.
        self.root._running = True
        timers = timer.TimerService(rng=random.Random(1)).register(self.root)
        self.messages = []
        self.metrics = registry.Registry()
        self.acceptor = links.Acceptor(listen="127.0.0.1:0",
                                       secret="secret",
                                       on_message=self.messages.append,
                                       timers=timers,
                                       byte_counter=traffic.ByteCounter(),
                                       max_held_bytes=max_held_bytes,
                                       max_links=max_links,
                                       metrics=self.metrics)
        self.acceptor.register(self.root)
        self.sockets = []

    def read_metric(self, name):
        return _read_metric(self.metrics, name)

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


def test_number_of_links_is_bounded(build_site):
    """Guards against links that take all descriptors."""
    site = build_site(max_links=4)
    for _ in range(10):
        site.connect()
    sock = site.connect("secret")
    assert site.acceptor.open_links <= 5
    site.send(sock, _encode_frame(cbor2.dumps({"type": "hello"})))
    site.run(lambda: site.messages)


def test_closed_links_are_counted_and_few_lines_tell(build_site, monkeypatch):
    """Guards against links that close each other and fill the log."""
    monkeypatch.setattr(links, "MAX_CLOSED_LINES_PER_S", 1)
    site = build_site(max_links=2)
    started_s = time.monotonic()
    with structlog.testing.capture_logs() as lines:
        for number in range(1, 41):
            site.connect()
            site.run(lambda count=number: site.read_metric("accepted_total") ==
                     count)
    assert site.read_metric("closed_too_many_total") == 38
    closed = [line for line in lines if line["event"] == "link closed"]
    assert 1 <= len(closed) <= 1 + time.monotonic() - started_s
    assert closed[0]["links"] == 2


def test_closed_links_are_counted_by_cause(build_site):
    """Guards against causes that are told apart only by lines left out."""
    site = build_site(max_held_bytes=100_000)
    site.send(site.connect("secret"), _encode_frame(b"x" * 200_000, 3_000_000))
    site.run(lambda: site.read_metric("closed_held_bytes_total") == 1)
    site.send(site.connect(),
              b"GET /link HTTP/1.1\r\n" + (b"X: " + b"y" * 7000 + b"\r\n") * 3)
    site.run(lambda: site.read_metric("closed_handshake_size_total") == 1)


def test_idle_link_is_counted_once_and_no_longer_open(build_site, monkeypatch):
    """Guards against gauges that keep links which are gone."""
    monkeypatch.setattr(links, "LINK_IDLE_TIMEOUT_S", 0.2)
    site = build_site()
    site.connect("secret")
    site.run(lambda: site.read_metric("accepted_open") == 1)
    site.run(lambda: site.read_metric("closed_idle_total") == 1)
    site.run(lambda: site.read_metric("accepted_open") == 0)
    assert site.read_metric("closed_idle_total") == 1


def test_new_links_do_not_close_links_in_use(build_site):
    """Guards against nodes that close each other's links without end.

    With more nodes than links each new link closed one in use, whose node
    dialled again a second later.
    """
    site = build_site(max_links=4)
    used = [site.connect("secret") for _ in range(4)]
    late = [site.connect() for _ in range(3)]
    site.run(lambda: all(_is_closed(sock) for sock in late))
    assert not any(_is_closed(sock) for sock in used)
    message = {"type": "hello"}
    for sock in used:
        site.send(sock, _encode_frame(cbor2.dumps(message)))
    site.run(lambda: site.messages == [message] * 4)


def test_new_link_replaces_a_silent_one(build_site):
    """Guards against links of lost nodes that keep others out."""
    site = build_site(max_links=4)
    lost, *_ = [site.connect("secret") for _ in range(4)]
    oldest = next(iter(site.acceptor._last_read_s))
    site.acceptor._last_read_s[oldest] -= links.MIN_EVICTION_AGE_S
    sock = site.connect("secret")
    assert _is_closed(lost)
    site.send(sock, _encode_frame(cbor2.dumps({"type": "hello"})))
    site.run(lambda: site.messages)


def test_number_of_links_follows_the_descriptors():
    """Guards against a limit below the number of nodes of a large fleet."""
    assert links.compute_max_links(max_descriptors=1638) >= 300
    assert links.compute_max_links(max_descriptors=4100) >= 900
    assert links.compute_max_links(max_descriptors=0) > 0


def _is_closed(sock):
    """Returns whether the other side has closed a non-blocking socket."""
    try:
        return not sock.recv(1 << 16)
    except BlockingIOError:
        return False
    except OSError:
        return True


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

    def make_links(self, metrics=None):
        return links.WebsocketLinks(secret="secret",
                                    connector=self.connector,
                                    timers=self.timers,
                                    byte_counter=traffic.ByteCounter(),
                                    metrics=metrics)

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


def test_log_says_why_links_are_down(build_peer, monkeypatch):
    """Guards against reasons that do not tell a refusal from a silent peer."""
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    with socket.create_server(("127.0.0.1", 0)) as server:
        refused = f"127.0.0.1:{server.getsockname()[1]}"
    silent = build_peer(answers=False)
    outgoing = caller.make_links()
    with structlog.testing.capture_logs() as lines:
        outgoing.set_addresses({refused, silent.address})
        _run_with_peer(caller, silent, lambda: len(lines) == 3)
    assert {
        (line["event"], line["address"], line.get("reason")) for line in lines
    } == {
        ("link not opened", refused, "ECONNREFUSED"),
        ("link lost", silent.address, "pings are not answered"),
        ("link open again", silent.address, None),
    }


def test_dialled_links_are_counted(build_peer, monkeypatch):
    """Guards against a node without its links that looks like a sound one."""
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    metrics = registry.Registry()
    with socket.create_server(("127.0.0.1", 0)) as server:
        refused = f"127.0.0.1:{server.getsockname()[1]}"
    peer = build_peer(answers=True)
    outgoing = caller.make_links(metrics)
    outgoing.set_addresses({refused, peer.address})
    _run_with_peer(caller, peer,
                   lambda: _read_metric(metrics, "dialled_open") == 1)
    assert _read_metric(metrics, "dialled") == 2


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


class _Peer:
    """Accepts links; the test decides which pings it answers.

    Attributes:
        answers: Whether pings are answered.
        protocols: The protocol of each accepted connection, oldest first.
        pings: Number of pings received.
        messages: Messages received.
    """

    def __init__(self, answers):
        self.answers = answers
        self.protocols = []
        self.pings = 0
        self.messages = []
        self._server = socket.create_server(("127.0.0.1", 0))
        self._server.setblocking(False)
        self._sockets = []

    @property
    def address(self):
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def step(self):
        """Accepts a connection and reads from all of them."""
        try:
            sock, _ = self._server.accept()
            sock.setblocking(False)
            self._sockets.append(sock)
            self.protocols.append(ws_server.ServerProtocol())
        except BlockingIOError:
            pass
        for sock, link in zip(self._sockets, self.protocols, strict=True):
            with contextlib.suppress(BlockingIOError, ConnectionError):
                self._read(sock, link)

    def flush(self, link):
        """Sends what the protocol has to send, but never ends a connection."""
        sock = self._sockets[self.protocols.index(link)]
        sock.sendall(b"".join(link.data_to_send()))

    def reset(self):
        """Ends the only connection with a reset."""
        (sock,) = self._sockets
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        sock.close()

    def close(self):
        for sock in [self._server, *self._sockets]:
            sock.close()

    def _read(self, sock, link):
        data = sock.recv(1 << 16)
        if not data:
            return
        link.receive_data(data)
        for event in link.events_received():
            if isinstance(event, http11.Request):
                link.send_response(link.accept(event))
                self.flush(link)
            elif event.opcode is frames.Opcode.PING:
                self.pings += 1
            elif event.opcode is frames.Opcode.BINARY:
                self.messages.append(cbor2.loads(event.data))
        if self.answers:
            self.flush(link)
        else:
            link.data_to_send()


@pytest.fixture
def build_peer():
    peers = []

    def build(*, answers):
        peers.append(_Peer(answers))
        return peers[-1]

    yield build
    for peer in peers:
        peer.close()


def _run_with_peer(caller, peer, until):
    """Runs the loop and the peer until a condition holds."""

    def step():
        peer.step()
        return until()

    caller.run(step)


def test_link_to_a_silent_peer_is_replaced(build_peer, monkeypatch):
    """Guards against a link that went silent without a reset.

    Nothing is read on an outgoing link in normal operation, so messages went
    into such a link for good, although new connections worked.
    """
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    peer = build_peer(answers=False)
    outgoing = caller.make_links()
    outgoing.set_addresses({peer.address})
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    _run_with_peer(caller, peer, lambda: len(peer.protocols) == 2)
    assert caller.connector.open_streams == 1
    peer.answers = True
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    message = {"type": "beat"}
    assert outgoing.send(peer.address, message)
    _run_with_peer(caller, peer, lambda: peer.messages == [message])


def test_silent_peer_is_detected_within_five_seconds():
    """Guards against constants that add up to more than the target of 5 s."""
    checks = links.PING_INTERVAL_CHECKS + links.MAX_UNANSWERED_CHECKS
    assert checks * links.REDIAL_INTERVAL_S <= 5.0
    assert links.PING_INTERVAL_CHECKS * links.REDIAL_INTERVAL_S >= 2.0


def test_link_to_a_peer_that_answers_pings_is_kept(build_peer, monkeypatch):
    """Guards against sound links that are closed as silent."""
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    peer = build_peer(answers=True)
    outgoing = caller.make_links()
    outgoing.set_addresses({peer.address})
    _run_with_peer(caller, peer, lambda: peer.pings == 6)
    assert len(peer.protocols) == 1
    assert outgoing.is_open(peer.address)


def test_acceptor_answers_pings(monkeypatch):
    """Guards against an acceptor that does not send its pongs."""
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    acceptor = caller.make_acceptor(0)
    dialler = caller.make_dialler(acceptor.port)
    dialler.dial()
    caller.run(lambda: dialler.is_open)
    link = dialler._protocol
    checks = 0

    def check():
        nonlocal checks
        checks += 1
        dialler.check()

    caller.timers.call_every(links.REDIAL_INTERVAL_S, check)
    caller.run(lambda: checks == 15)
    assert dialler._protocol is link


def test_suspended_process_keeps_sound_links(build_peer, monkeypatch):
    """Guards against links closed by the age of a ping after a suspension.

    The process is suspended for a minute before each round of its loop, also
    between a ping and its answer.
    """
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    peer = build_peer(answers=True)
    outgoing = caller.make_links()
    outgoing.set_addresses({peer.address})
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    read_clock = caller.timers.read_clock
    suspended_s = 0.0
    monkeypatch.setattr(caller.timers, "read_clock",
                        lambda: read_clock() + suspended_s)
    for _ in range(60):
        suspended_s += 60.0
        caller.root.tick(0.01)
        peer.step()
    assert peer.pings >= 5
    assert len(peer.protocols) == 1
    assert outgoing.is_open(peer.address)


def test_link_whose_peer_never_ends_the_connection_is_replaced(
        build_peer, monkeypatch):
    """Guards against a link that waits for good for the end of its connection.

    The peer sends a close frame, and the network then loses its FIN. The link
    was no longer open, but it was not dialled again either.
    """
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    monkeypatch.setattr(links, "OPEN_TIMEOUT_S", 0.3)
    caller = _Caller()
    peer = build_peer(answers=True)
    outgoing = caller.make_links()
    outgoing.set_addresses({peer.address})
    # Longer than the limit for the handshake, which would close the link too.
    _run_with_peer(caller, peer, lambda: peer.pings == 6)
    count = len(peer.protocols)
    peer.protocols[-1].fail(frames.CloseCode.INTERNAL_ERROR)
    peer.flush(peer.protocols[-1])
    _run_with_peer(caller, peer, lambda: not outgoing.is_open(peer.address))
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    assert len(peer.protocols) == count + 1
    assert caller.connector.open_streams == 1


class _Faults(circuits.BaseComponent):
    """Records exceptions that leave an event handler."""

    def __init__(self):
        super().__init__()
        self.errors = []

    @circuits.handler("exception", channel="*")
    def _on_exception(self, _, error, *_args, **_options):
        self.errors.append(error)


def test_reset_while_frames_are_sent_raises_nothing(build_peer):
    """Guards against a write to a link that the write before has closed.

    Two frames had to be sent at once. The first one failed, which closed the
    link, and the second one raised out of the event handler.
    """
    caller = _Caller()
    faults = _Faults().register(caller.root)
    peer = build_peer(answers=True)
    dialler = caller.make_dialler(int(peer.address.rpartition(":")[2]))
    dialler.dial()
    _run_with_peer(caller, peer, lambda: dialler.is_open)
    link = peer.protocols[0]
    link.send_ping(b"1")
    link.send_ping(b"2")
    peer.flush(link)
    peer.reset()
    caller.run(lambda: not caller.connector.open_streams)
    # An exception is an event of a later round of the loop.
    for _ in range(3):
        caller.root.tick(0.01)
    assert not faults.errors
    assert not dialler.is_open


def test_message_that_meets_a_reset_is_not_reported_as_sent(build_peer):
    """Guards against a request that waits for the answer to a lost message."""
    caller = _Caller()
    peer = build_peer(answers=True)
    dialler = caller.make_dialler(int(peer.address.rpartition(":")[2]))
    dialler.dial()
    _run_with_peer(caller, peer, lambda: dialler.is_open)
    peer.reset()
    assert not dialler.send({"type": "write"})
    assert not caller.connector.open_streams


def test_malformed_address_does_not_keep_links_from_others(build_peer):
    """Guards against an address of another node that raises.

    Addresses come from the messages and rows of other nodes. One without a
    port raised before the other addresses were dialled.
    """
    caller = _Caller()
    peer = build_peer(answers=True)
    outgoing = caller.make_links()
    malformed = {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "name:7000"}
    malformed |= {"10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1\0:7000"}
    malformed |= {peer.address.replace(":", ": ")}
    outgoing.set_addresses(malformed | {peer.address})
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    assert caller.connector.open_streams == 1
    outgoing.set_addresses({peer.address})
    assert outgoing.is_open(peer.address)


def test_connection_that_fails_at_once_is_dialled_again(monkeypatch):
    """Guards against a link that keeps the stream of a failed attempt."""
    caller = _Caller()
    acceptor = caller.make_acceptor(0)
    dialler = caller.make_dialler(acceptor.port)
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "connect_ex", lambda *_: errno.ENETUNREACH)
        dialler.dial()
        assert not caller.connector.open_streams
        assert dialler._stream is None
    dialler.dial()
    caller.run(lambda: dialler.is_open)


def test_message_during_the_handshake_is_dropped(build_peer):
    """Guards against frames that are sent before the handshake has ended."""
    caller = _Caller()
    peer = build_peer(answers=True)
    dialler = caller.make_dialler(int(peer.address.rpartition(":")[2]))
    dialler.dial()
    assert not dialler.send({"type": "early"})
    caller.run(lambda: dialler._protocol)
    assert not dialler.send({"type": "early"})
    dialler.check()
    _run_with_peer(caller, peer, lambda: dialler.is_open)
    message = {"type": "late"}
    assert dialler.send(message)
    _run_with_peer(caller, peer, lambda: peer.messages)
    assert peer.messages == [message]


def test_address_removed_and_added_again_has_one_link(build_peer, monkeypatch):
    """Guards against a removed link whose timer or socket stays in use.

    The address is removed while it is connecting, during the handshake and
    when the link is open.
    """
    monkeypatch.setattr(links, "OPEN_TIMEOUT_S", 0.5)
    monkeypatch.setattr(links, "REDIAL_INTERVAL_S", 0.05)
    caller = _Caller()
    peer = build_peer(answers=True)
    outgoing = caller.make_links()

    def replace():
        outgoing.set_addresses(set())
        assert not caller.connector.open_streams
        outgoing.set_addresses({peer.address})
        assert caller.connector.open_streams == 1

    outgoing.set_addresses({peer.address})
    replace()
    caller.run(lambda: outgoing._diallers[peer.address]._protocol)
    replace()
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    replace()
    _run_with_peer(caller, peer, lambda: outgoing.is_open(peer.address))
    count = len(peer.protocols)
    # Longer than the limit for the handshakes of the removed links.
    _run_with_peer(caller, peer, lambda: peer.pings >= 8)
    assert len(peer.protocols) == count
    assert caller.connector.open_streams == 1
    assert outgoing.is_open(peer.address)
