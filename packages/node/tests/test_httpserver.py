"""Tests of the HTTP server with an event loop and real sockets."""

import contextlib
import random
import socket
import time

import circuits
from circuits.core import pollers
import pytest

from trefoilroad_node import guards
from trefoilroad_node import httpserver
from trefoilroad_node import registry
from trefoilroad_node import timer

TIMEOUT_S = 0.3
COUNTER = "trefoilroad_test_requests_timed_out_total"


class _Server(httpserver.HttpServer):
    """Answers each request with its path, but keeps those to /held/.

    Attributes:
        held: Functions that answer the requests kept, by path.
    """

    def __init__(self, **options):
        super().__init__(listen="127.0.0.1:0", channel="test", **options)
        self.held = {}

    def dispatch(self, request, respond):
        if request.path.startswith("/held/"):
            self.held[request.path] = respond
        else:
            respond(httpserver.Response(200, {"path": request.path}))


class _Site:
    """A guarded server on a loop that the test drives."""

    def __init__(self):
        self.root = circuits.BaseComponent()
        pollers.EPoll().register(self.root)
        self.timers = timer.TimerService(rng=random.Random(1)).register(
            self.root)
        self.metrics = registry.Registry()
        self.server = _Server(request_timeout=httpserver.RequestTimeout(
            self.timers, self.metrics, TIMEOUT_S)).register(self.root)
        guards.RequestGuard(channel="test",
                            server=self.server.http,
                            timers=self.timers,
                            max_body_bytes=1 << 16).register(self.root)
        guards.ClosedSocketFilter(channel="test").register(self.root)
        # Without it, `tick` polls no sockets.
        self.root._running = True
        self.sockets = []

    def run(self, until, timeout_s=5.0):
        """Runs the loop until a condition holds."""
        deadline_s = time.monotonic() + timeout_s
        while not until():
            assert time.monotonic() < deadline_s
            self.root.tick(0.01)

    def connect(self):
        """Opens a connection that does not block."""
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock

    def read(self, sock, data=b""):
        """Reads what a connection has received."""
        with contextlib.suppress(BlockingIOError):
            data += sock.recv(1 << 16)
        return data

    def receive(self, sock):
        """Runs the loop until an answer has been received, and returns it."""
        answers = [b""]

        def has_answer():
            answers[0] = self.read(sock, answers[0])
            return answers[0].endswith(b"}")

        self.run(has_answer)
        return answers[0]

    def hold(self, sock, path):
        """Sends a request and runs the loop until the server keeps it."""
        _send(sock, path)
        self.run(lambda: path in self.server.held)


def _send(sock, path):
    sock.sendall(f"GET {path} HTTP/1.1\r\nHost: test\r\n\r\n".encode())


@pytest.fixture
def site():
    subject = _Site()
    yield subject
    for sock in subject.sockets:
        sock.close()
    subject.server.stop_listening()
    for _ in range(20):
        subject.root.tick(0.01)


def test_request_whose_callback_is_lost_gets_a_timeout(site):
    """Guards against silence on a connection, also for later requests.

    An exception in a callback of the store or a link left a request without a
    response, and what came later on its connection was dropped.
    """
    sock = site.connect()
    began_s = time.monotonic()
    _send(sock, "/held/1")
    answer = site.receive(sock)
    assert time.monotonic() - began_s >= TIMEOUT_S
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert site.server.open_requests == 0
    assert f"{COUNTER} 1\n" in site.metrics.render()
    _send(sock, "/next")
    assert b'{"path": "/next"}' in site.receive(sock)


def test_late_response_is_not_the_answer_to_another_request(site):
    """Guards against a state that is shown for another job."""
    sock = site.connect()
    site.hold(sock, "/held/1")
    assert b" 504 " in site.receive(sock)
    site.hold(sock, "/held/2")
    site.server.held["/held/1"](httpserver.Response(200, {"path": "late"}))
    site.root.tick(0.01)
    assert site.server.open_requests == 1
    site.server.held["/held/2"](httpserver.Response(200, {"path": "2"}))
    answer = site.receive(sock)
    assert answer.count(b"HTTP/1.1") == 1
    assert b'{"path": "2"}' in answer


def test_each_request_has_its_own_time(site):
    """Guards against a timeout of requests that have begun later."""
    now_s = [site.timers.read_clock()]
    site.timers.read_clock = lambda: now_s[0]
    early, late = site.connect(), site.connect()
    site.hold(early, "/held/1")
    now_s[0] += TIMEOUT_S / 2
    site.hold(late, "/held/2")
    now_s[0] += TIMEOUT_S * 0.6
    assert b" 504 " in site.receive(early)
    for _ in range(20):
        site.root.tick(0.001)
    assert site.server.open_requests == 1
    now_s[0] += TIMEOUT_S * 0.5
    assert b" 504 " in site.receive(late)
    assert f"{COUNTER} 2\n" in site.metrics.render()


def test_timeout_of_a_client_that_has_gone_is_counted(site):
    """Guards against requests that count as open for good."""
    sock = site.connect()
    site.hold(sock, "/held/1")
    sock.close()
    site.run(lambda: site.server.open_requests == 0)
    assert f"{COUNTER} 1\n" in site.metrics.render()


def test_answered_requests_leave_no_timers(site):
    """Guards against timers in proportion to the requests of some seconds."""
    sock = site.connect()
    timers_before = len(site.timers._heap)
    for number in range(50):
        _send(sock, f"/{number}")
        assert b" 200 " in site.receive(sock)
    assert len(site.timers._heap) <= timers_before + 1
    site.run(lambda: len(site.timers._heap) == timers_before)
    assert COUNTER not in site.metrics.render()
