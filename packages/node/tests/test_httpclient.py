"""Tests of the HTTP client with its own event loop and real sockets."""

import random

import circuits
from circuits.core import pollers
from circuits.net import events as net_events
from circuits.net import sockets
import pytest

from trefoilroad_node import httpclient
from trefoilroad_node import streams
from trefoilroad_node import timer
from trefoilroad_node import traffic

REQUESTS = 400
CONCURRENT_REQUESTS = 8
TEST_TIMEOUT_S = 20.0
LOST_CALL_TIMEOUT_S = 2.0


class EchoServer(circuits.BaseComponent):
    """Answers each request with its path after a delay."""

    channel = "echo"

    def __init__(self, *, timers, draw_delay, header):
        super().__init__()
        self._timers = timers
        self._draw_delay = draw_delay
        self._header = header
        self.server = sockets.TCPServer(("127.0.0.1", 0),
                                        channel=self.channel).register(self)

    @circuits.handler("read")
    def _on_read(self, sock, data):
        path = data.split()[1]
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(path)}\r\n"
        answer = f"{head}{self._header}\r\n".encode() + path
        self._timers.call_later(
            self._draw_delay(),
            lambda: self.fire(net_events.write(sock, answer), self.channel))


class Caller:
    """Sends concurrent requests and classifies the results."""

    def __init__(self, *, client, address, timeout_s, on_done):
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._on_done = on_done
        self.sent = 0
        self.results = []
        for _ in range(CONCURRENT_REQUESTS):
            self.send()

    def send(self):
        self.sent += 1
        path = f"/{self.sent}"
        self._client.send(
            address=self._address,
            method="GET",
            path=path,
            body=b"",
            timeout_s=self._timeout_s,
            on_done=lambda result: self.handle_result(path, result))

    def handle_result(self, path, result):
        if isinstance(result, httpclient.NoReply):
            self.results.append("lost")
        else:
            is_own = result.body == path.encode()
            self.results.append("own" if is_own else "crossed")
        if self.sent < REQUESTS:
            self.send()
        elif len(self.results) == REQUESTS:
            self._on_done()


@pytest.mark.parametrize(
    ("header", "timeout_s", "delays_s"),
    [("Connection: close\r\n", 5.0, (0.0, 0.0)), ("", 5.0, (0.0, 0.01)),
     ("", 0.03, (0.02, 0.03))],
    ids=["closed after each answer", "kept alive", "answers at the limit"])
def test_each_request_gets_its_own_answer(header, timeout_s, delays_s):
    """Guards against a response that is matched to another request."""
    rng = random.Random(1)
    root = circuits.BaseComponent()
    poller = pollers.EPoll().register(root)
    connector = streams.Connector(poller=poller).register(root)
    timers = timer.TimerService(rng=rng).register(root)
    client = httpclient.HttpClient(connector=connector,
                                   timers=timers,
                                   headers={},
                                   byte_counter=traffic.ByteCounter())
    echo_server = EchoServer(timers=timers,
                             draw_delay=lambda: rng.uniform(*delays_s),
                             header=header).register(root)
    caller = Caller(client=client,
                    address=f"127.0.0.1:{echo_server.server.port}",
                    timeout_s=timeout_s,
                    on_done=root.stop)
    timers.call_later(TEST_TIMEOUT_S, root.stop)
    root.run()
    assert len(caller.results) == REQUESTS
    assert "crossed" not in caller.results
    if timeout_s > 1.0:
        assert set(caller.results) == {"own"}


@pytest.mark.parametrize("fields", [
    {
        "address": "127.0.0.1:70000"
    },
    {
        "address": "127.0.0.1:"
    },
    {
        "address": "localhost:80"
    },
    {
        "address": "127.0.0.1\x00:80"
    },
    {
        "address": "\ud800:80"
    },
    {
        "headers": {
            "Expect-Instance": "\u0394"
        }
    },
    {
        "headers": {
            "Expect-Instance": "a\r\nX: y"
        }
    },
])
def test_request_that_cannot_be_sent_gets_no_reply(fields):
    """Guards against an exception in the caller and a call without an end."""
    rng = random.Random(1)
    root = circuits.BaseComponent()
    poller = pollers.EPoll().register(root)
    timers = timer.TimerService(rng=rng).register(root)
    client = httpclient.HttpClient(
        connector=streams.Connector(poller=poller).register(root),
        timers=timers,
        headers={},
        byte_counter=traffic.ByteCounter())
    results = []
    client.send(**({
        "address": "127.0.0.1:9",
        "method": "POST",
        "path": "/",
        "body": b"",
        "timeout_s": 0.5,
        "on_done": results.append
    } | fields))
    timers.call_later(1.0, root.stop)
    root.run()
    assert len(results) == 1
    assert isinstance(results[0], httpclient.NoReply)
    assert not results[0].sent


class _Stream:
    """Records whether it is closed."""

    connected = True
    closed = False

    def write(self, _):
        pass

    def close(self):
        self.closed = True


class _Connector:
    """Opens streams that the test feeds."""

    def __init__(self):
        self.streams = []

    def open(self, host, port, listener):
        stream = _Stream()
        stream.listener = listener
        self.streams.append(stream)
        return stream


def _build_bounded_client(**options):
    connector = _Connector()
    timers = timer.TimerService(rng=random.Random(1))
    client = httpclient.HttpClient(connector=connector,
                                   timers=timers,
                                   headers={},
                                   byte_counter=traffic.ByteCounter(),
                                   **options)
    return client, connector


def _call(client, results, address="127.0.0.1:9"):
    client.send(address=address,
                method="GET",
                path="/",
                body=b"",
                timeout_s=5.0,
                on_done=results.append)


PARTIAL_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"


def test_reply_over_the_limit_ends_the_call():
    """Guards against a reply without an end that fills the process."""
    client, connector = _build_bounded_client(max_reply_bytes=10_000)
    results = []
    _call(client, results)
    stream, = connector.streams
    stream.listener.handle_data(PARTIAL_REPLY + b"x" * 9_000)
    assert results == []
    stream.listener.handle_data(b"x" * 2_000)
    assert results == [httpclient.NoReply(True, "answer too large")]
    assert stream.closed
    assert client._reply_bounds.held_bytes == 0


def test_incomplete_replies_are_bounded_together():
    """Guards against many slow replies that together fill the process."""
    client, connector = _build_bounded_client(max_held_bytes=50_000)
    results = []
    for number in range(10):
        _call(client, results, f"127.0.0.1:{number + 1}")
    for stream in connector.streams:
        stream.listener.handle_data(PARTIAL_REPLY + b"x" * 9_000)
    assert {result.reason for result in results} == {"answer too large"}
    assert 0 < client._reply_bounds.held_bytes <= 50_000


def test_replies_release_what_they_held():
    """Guards against a bound that is used up by replies of before."""
    client, connector = _build_bounded_client(max_held_bytes=1_000)
    results = []
    for number in range(20):
        _call(client, results)
        stream, = connector.streams
        stream.listener.handle_data(
            b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + b"x" * 500)
        assert results[number].status == 200
    assert client._reply_bounds.held_bytes == 0


def test_one_connection_is_opened_when_descriptors_are_short():
    """Guards against calls that are never sent for lack of descriptors."""
    client, connector = _build_bounded_client(may_connect=lambda count: False)
    results = []
    for _ in range(3):
        _call(client, results)
        _call(client, results, "127.0.0.1:10")
    assert len(connector.streams) == 2


class _SteppedTimers(timer.Timers):
    """Timers that the test drives."""

    def __init__(self):
        self.now_s = 0.0
        self._due = []

    def read_clock(self):
        return self.now_s

    def call_later(self, delay_s, callback):
        handle = timer.TimerHandle(callback=callback, interval_s=None)
        self._due.append((self.now_s + delay_s, handle))
        return handle

    def call_every(self, interval_s, callback):
        raise NotImplementedError

    def run(self, seconds):
        """Runs all timers that are due within some time."""
        end_s = self.now_s + seconds
        while due := [entry for entry in self._due if entry[0] <= end_s]:
            entry = min(due, key=lambda entry: entry[0])
            self._due.remove(entry)
            self.now_s = entry[0]
            entry[1].callback()
        self.now_s = end_s


def _build_stepped_client(**options):
    connector = _Connector()
    timers = _SteppedTimers()
    client = httpclient.HttpClient(connector=connector,
                                   timers=timers,
                                   headers={},
                                   byte_counter=traffic.ByteCounter(),
                                   **options)
    return client, connector, timers


def _call_with_silence_limit(client, results):
    client.send(address="127.0.0.1:9",
                method="GET",
                path="/",
                body=b"",
                timeout_s=20.0,
                max_silence_s=1.2,
                on_done=results.append)


def test_response_that_comes_slowly_is_awaited():
    """Guards against a large response that never comes over a slow link."""
    client, connector, timers = _build_stepped_client()
    results = []
    _call_with_silence_limit(client, results)
    stream, = connector.streams
    stream.listener.handle_connected()
    stream.listener.handle_data(
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
    for _ in range(10):
        timers.run(1.0)
        assert results == []
        stream.listener.handle_data(b"x")
    assert results == [httpclient.Reply(200, b"x" * 10)]


@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 200 OK\r\n"],
                         ids=["nothing", "a part"])
def test_silence_ends_a_call(data):
    """Guards against a lost connection that is awaited as a slow one."""
    client, connector, timers = _build_stepped_client()
    results = []
    _call_with_silence_limit(client, results)
    stream, = connector.streams
    stream.listener.handle_connected()
    if data:
        stream.listener.handle_data(data)
    timers.run(2.0)
    assert results == [httpclient.NoReply(True, "timeout")]
    assert stream.closed


def test_silence_ends_a_call_that_cannot_connect():
    """Guards against a dark server that is awaited for longer than a call."""
    client, connector, timers = _build_stepped_client()
    results = []
    _call_with_silence_limit(client, results)
    assert len(connector.streams) == 1
    connector.streams[0].connected = False
    timers.run(1.3)
    assert len(results) == 1


def test_wait_for_a_connection_is_no_silence():
    """Guards against a call that fails as another one takes long."""
    client, connector, timers = _build_stepped_client(max_connections=1)
    results = []
    _call_with_silence_limit(client, results)
    _call_with_silence_limit(client, results)
    stream, = connector.streams
    stream.listener.handle_connected()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    for first in (True, False):
        stream.listener.handle_data(head)
        for _ in range(5):
            timers.run(1.0)
            stream.listener.handle_data(b"x")
        timers.run(0.0)
        assert len(results) == (1 if first else 2)
    assert {result.status for result in results} == {200}


@pytest.mark.parametrize("is_late", ["connection", "request"])
def test_silence_counts_from_when_a_request_is_sent(is_late):
    """Guards against a request that is given up before its limit.

    It was when it had waited for its connection, or for another request.
    """
    client, connector, timers = _build_stepped_client(max_connections=1)
    results = []
    if is_late == "request":
        _call(client, results)
    _call_with_silence_limit(client, results)
    stream, = connector.streams
    if is_late == "request":
        stream.listener.handle_connected()
    timers.run(0.59)
    if is_late == "request":
        stream.listener.handle_data(
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        timers.run(0.0)
        results.clear()
    else:
        stream.listener.handle_connected()
    timers.run(1.15)
    assert results == []
    timers.run(1.0)
    assert results == [httpclient.NoReply(True, "timeout")]


class _SilentServer(circuits.BaseComponent):
    """Server that stops to answer on chosen connections.

    Attributes:
        accepted: Sockets of all connections, in the order of their opening.
        open_socks: Those that are open.
        silent_socks: Those on which nothing is answered, for good.
        socks: Sockets of the requests that have come, by path.
    """

    channel = "silent"

    def __init__(self):
        super().__init__()
        self.accepted = []
        self.open_socks = set()
        self.silent_socks = set()
        self.socks = {}
        self.server = sockets.TCPServer(("127.0.0.1", 0),
                                        channel=self.channel).register(self)

    def answer(self, path):
        """Answers a request for "/wait...", which is not answered at once."""
        self._write(self.socks[path], path)

    @circuits.handler("connect")
    def _on_connect(self, sock, *_):
        self.accepted.append(sock)
        self.open_socks.add(sock)

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock):
        self.open_socks.discard(sock)

    @circuits.handler("read")
    def _on_read(self, sock, data):
        path = data.split()[1].decode()
        self.socks[path] = sock
        if sock in self.silent_socks:
            return
        if path.startswith("/part"):
            self.fire(net_events.write(sock, b"HTTP/1.1 200 OK\r\n"),
                      self.channel)
        elif not path.startswith("/wait"):
            self._write(sock, path)

    def _write(self, sock, path):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(path)}\r\n\r\n"
        self.fire(net_events.write(sock, (head + path).encode()), self.channel)


class _SilentSite:
    """A client and a silent server on a loop that the test drives.

    Attributes:
        server: The server.
        client: The client.
        results: Results by path: "own", "lost", or "crossed".
    """

    def __init__(self, **options):
        self._root = circuits.BaseComponent()
        poller = pollers.EPoll().register(self._root)
        self._timers = timer.TimerService(rng=random.Random(1)).register(
            self._root)
        self.client = httpclient.HttpClient(
            connector=streams.Connector(poller=poller).register(self._root),
            timers=self._timers,
            headers={},
            byte_counter=traffic.ByteCounter(),
            **options)
        self.server = _SilentServer().register(self._root)
        # Without it, `tick` polls no sockets.
        self._root._running = True
        self.results = {}

    @property
    def pools(self):
        """Number of addresses for which the client keeps something."""
        return len(self.client._pools)

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server.port}"

    def send(self, path, timeout_s=TEST_TIMEOUT_S, on_result=lambda: None):
        """Sends a call, and calls `on_result` within the call of its end."""

        def handle_result(result):
            if isinstance(result, httpclient.NoReply):
                self.results[path] = "lost"
            else:
                is_own = result.body == path.encode()
                self.results[path] = "own" if is_own else "crossed"
            on_result()

        self.client.send(address=self.address,
                         method="GET",
                         path=path,
                         body=b"",
                         timeout_s=timeout_s,
                         on_done=handle_result)

    def run(self, condition):
        """Drives the loop until a condition holds."""
        end_s = self._timers.read_clock() + TEST_TIMEOUT_S
        while not condition():
            assert self._timers.read_clock() < end_s, "not in time"
            self._root.tick(0.01)

    def run_for(self, duration_s):
        """Drives the loop for some time."""
        end_s = self._timers.read_clock() + duration_s
        self.run(lambda: self._timers.read_clock() >= end_s)

    def wait_for(self, *paths):
        """Drives the loop until calls have ended."""
        self.run(lambda: self.results.keys() >= set(paths))

    def open_connections(self, count):
        """Opens connections, which are idle afterwards."""
        paths = [f"/open{number}" for number in range(count)]
        for path in paths:
            self.send(path)
        self.wait_for(*paths)
        assert set(self.results.values()) == {"own"}
        assert len(self.server.accepted) == count


def test_silent_connections_cost_one_call_together():
    """Guards against a time-out for each connection that went silent.

    After a partition or a restart, all connections of before are silent without
    a reset and new ones are served. The second call is sent by the callback of
    the first, as callers do that must not lose time.
    """
    site = _SilentSite()
    site.open_connections(httpclient.MAX_CONNECTIONS_PER_ADDRESS)
    site.server.silent_socks = set(site.server.accepted)
    site.send("/1", LOST_CALL_TIMEOUT_S,
              lambda: site.send("/2", LOST_CALL_TIMEOUT_S))
    site.wait_for("/1", "/2")
    assert (site.results["/1"], site.results["/2"]) == ("lost", "own")
    site.run(lambda: len(site.server.open_socks) == 1)
    assert len(site.server.accepted) == 5


def test_connections_of_a_slow_server_are_kept():
    """Guards against new connections where a server is late but answers.

    Of three connections one loses its call, one answers another call in the
    meantime, and one is idle throughout. Only the one that answered is kept.
    """
    site = _SilentSite()
    site.open_connections(3)
    site.send("/wait1", LOST_CALL_TIMEOUT_S)
    site.send("/1")
    site.wait_for("/1")
    site.wait_for("/wait1")
    assert site.results["/wait1"] == "lost"
    site.run(lambda: site.server.open_socks == {site.server.socks["/1"]})
    site.send("/2")
    site.wait_for("/2")
    assert len(site.server.accepted) == 3
    site.send("/3")
    site.send("/4")
    site.wait_for("/3", "/4")
    assert len(site.server.accepted) == 4


def test_connections_are_kept_after_a_late_end_of_a_response():
    """Guards against closed connections where a response is only slow.

    A response that has begun shows that the connection works.
    """
    site = _SilentSite()
    site.open_connections(3)
    site.send("/part1", LOST_CALL_TIMEOUT_S)
    site.wait_for("/part1")
    assert site.results["/part1"] == "lost"
    site.send("/1")
    site.send("/2")
    site.wait_for("/1", "/2")
    assert len(site.server.accepted) == 3
    site.run(lambda: len(site.server.open_socks) == 2)


def test_lost_call_closes_no_busy_connection():
    """Guards against a call that waits for an event and is ended by another.

    Both kinds of call use the same connections to a worker.
    """
    site = _SilentSite()
    site.open_connections(3)
    site.send("/wait1")
    site.run(lambda: "/wait1" in site.server.socks)
    site.server.silent_socks = (set(site.server.accepted) -
                                {site.server.socks["/wait1"]})
    site.send("/1", LOST_CALL_TIMEOUT_S)
    site.wait_for("/1")
    assert site.results["/1"] == "lost"
    site.run(lambda: len(site.server.open_socks) == 1)
    assert "/wait1" not in site.results
    site.server.answer("/wait1")
    site.wait_for("/wait1")
    assert site.results["/wait1"] == "own"
    assert len(site.server.accepted) == 3


def test_connections_to_an_unused_address_are_closed():
    """Guards against connections that are kept for good.

    The address of a worker changes under the same id, or its leader is
    replaced; nothing tells the client that the old address is not called again.
    """
    site = _SilentSite(min_unused_s=0.5)
    site.open_connections(3)
    site.run(lambda: not site.server.open_socks)
    assert site.pools == 0
    site.send("/1")
    site.wait_for("/1")
    assert site.results["/1"] == "own"
    site.run(lambda: not site.server.open_socks)
    assert len(site.server.accepted) == 4


def test_connection_of_a_long_call_is_not_unused():
    """Guards against a closed connection that waits for an event."""
    site = _SilentSite(min_unused_s=0.1)
    site.send("/wait1")
    # Eight checks at least.
    site.run_for(0.9)
    assert site.results == {}
    site.server.answer("/wait1")
    site.wait_for("/wait1")
    assert site.results["/wait1"] == "own"
    site.run(lambda: not site.server.open_socks)
    assert len(site.server.accepted) == 1


def test_connections_to_an_address_in_use_are_kept():
    """Guards against new connections for calls that come at intervals."""
    site = _SilentSite(min_unused_s=3.0)
    site.open_connections(2)
    for number in range(10):
        site.send(f"/{number}")
        site.wait_for(f"/{number}")
        site.run_for(0.7)
    assert len(site.server.accepted) == 2


def test_disconnect_ends_no_open_call():
    """Guards against calls to a worker that are lost with another's removal.

    A worker that has left and a new one may have had the same address. The
    connections are closed once they are not used.
    """
    site = _SilentSite(min_unused_s=0.5, max_connections=2)
    site.open_connections(2)
    site.send("/wait1")
    site.run(lambda: "/wait1" in site.server.socks)
    site.client.disconnect(site.address)
    site.run(lambda: site.server.open_socks == {site.server.socks["/wait1"]})
    site.send("/wait2")
    site.send("/queued")
    site.run(lambda: "/wait2" in site.server.socks)
    site.client.disconnect(site.address)
    site.server.answer("/wait1")
    site.server.answer("/wait2")
    site.wait_for("/wait1", "/wait2", "/queued")
    assert set(site.results.values()) == {"own"}
    assert len(site.server.accepted) == 3
    site.run(lambda: not site.server.open_socks)
    assert site.pools == 0
