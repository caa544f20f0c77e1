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
    client, connector = _build_bounded_client(may_connect=lambda: False)
    results = []
    for _ in range(3):
        _call(client, results)
        _call(client, results, "127.0.0.1:10")
    assert len(connector.streams) == 2
