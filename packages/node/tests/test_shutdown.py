"""Tests of the shutdown module with its own event loop and real sockets."""

import random
import socket

import circuits
from circuits.core import pollers
import pytest

from trefoilroad_node import guards
from trefoilroad_node import httpserver
from trefoilroad_node import shutdown
from trefoilroad_node import timer

CLIENT_COUNT = 30
STOP_AT_S = 0.3
REQUEST = b"GET /%d HTTP/1.1\r\nHost: test\r\n\r\n"
ABANDONMENT = httpserver.Response(504, {"error": "stopping"})


class SlowServer(httpserver.HttpServer):
    """Answers each request after a delay.

    Attributes:
        dispatched: Number of requests that were read.
    """

    def __init__(self, *, timers, draw_delay_s):
        super().__init__(listen="127.0.0.1:0", channel="test")
        self._timers = timers
        self._draw_delay_s = draw_delay_s
        self.dispatched = 0

    def dispatch(self, request, respond):
        self.dispatched += 1
        response = httpserver.Response(200, {"path": request.path})
        self._timers.call_later(self._draw_delay_s(), lambda: respond(response))


class Client:
    """Sends requests on open connections until these are closed."""

    def __init__(self, *, port, timers, rng, max_pause_s):
        self.answers = []
        self.refused = False
        self._address = "127.0.0.1", port
        self._timers = timers
        self._rng = rng
        self._max_pause_s = max_pause_s
        self._connect()

    def _connect(self):
        self._socket = socket.socket()
        try:
            self._socket.connect(self._address)
        except OSError:
            self.refused = True
            return
        self._socket.setblocking(False)
        self._pause()

    def _pause(self):
        self._timers.call_later(self._rng.uniform(0, self._max_pause_s),
                                self._send)

    def _send(self):
        try:
            self._socket.send(REQUEST % len(self.answers))
        except OSError:
            self._connect()
            return
        self._read(b"")

    def _read(self, data):
        try:
            data += self._socket.recv(1 << 16)
        except BlockingIOError:
            self._timers.call_later(0.002, lambda: self._read(data))
            return
        except OSError:
            self._connect()
            return
        if b"}" not in data:
            if data:
                self._timers.call_later(0.002, lambda: self._read(data))
            else:
                self._connect()
            return
        self.answers.append(data)
        if b"connection: close" in data.lower():
            self._connect()
        else:
            self._pause()

    def close(self):
        """Closes the connection."""
        self._socket.close()


def _run(seed, draw_delay_s, max_pause_s=0.3, timeout_s=2.0):
    """Runs a server that is stopped while clients use it.

    Returns:
        The server and the clients.
    """
    rng = random.Random(seed)
    root = circuits.BaseComponent()
    pollers.EPoll().register(root)
    timers = timer.TimerService(rng=rng).register(root)
    server = SlowServer(timers=timers,
                        draw_delay_s=lambda: draw_delay_s(rng)).register(root)
    guard = guards.RequestGuard(channel=server.channel,
                                server=server.http,
                                timers=timers,
                                max_body_bytes=1000).register(root)
    # The loop goes on for a moment, so that the clients can read.
    stop = shutdown.Shutdown(server=server,
                             guard=guard,
                             timers=timers,
                             abandonment=ABANDONMENT,
                             on_done=lambda: timers.call_later(1.0, root.stop))
    clients = []

    def connect():
        clients.extend(
            Client(port=server.port,
                   timers=timers,
                   rng=rng,
                   max_pause_s=max_pause_s) for _ in range(CLIENT_COUNT))

    def begin_stop():
        server.stopping = True
        now_s = timers.read_clock()
        stop.begin(earliest_s=now_s + 0.3, deadline_s=now_s + timeout_s)

    timers.call_later(0.0, connect)
    timers.call_later(STOP_AT_S, begin_stop)
    timers.call_later(10.0, root.stop)
    root.run()
    for client in clients:
        client.close()
    return server, clients


@pytest.mark.parametrize("seed", range(4))
def test_each_request_that_is_read_is_answered(seed):
    """Guards against requests that are read while the process ends.

    A node decided to stop when no request was open, and went on reading
    requests until its loop ended. Their callers got no answer.
    """
    server, clients = _run(seed, lambda rng: rng.uniform(0.0, 0.25))
    assert server.dispatched > CLIENT_COUNT
    assert sum(len(client.answers) for client in clients) == server.dispatched


def test_callers_are_refused_before_the_process_ends():
    """Guards against connections that are accepted and closed again."""
    _, clients = _run(1, lambda rng: 0.01, max_pause_s=0.05)
    assert all(client.refused for client in clients)


def test_open_requests_are_answered_at_the_deadline():
    """Guards against a request without an answer if the store is silent."""
    server, clients = _run(1, lambda rng: 60.0, timeout_s=0.6)
    answers = [answer for client in clients for answer in client.answers]
    assert len(answers) == server.dispatched
    assert server.dispatched >= CLIENT_COUNT
    assert all(b" 504 " in answer for answer in answers)
