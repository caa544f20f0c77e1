"""Tests of the messageparser module."""

import tracemalloc

import pytest

from trefoilroad_node import messageparser

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


def _parse(data, size, kind=0):
    parser = messageparser.MessageParser(kind, False)
    for start in range(0, len(data), size):
        piece = data[start:start + size]
        parser.execute(piece, len(piece))
    return parser


@pytest.mark.parametrize("size", [1, 7, 40, 4096, 1 << 20])
@pytest.mark.parametrize("length", [0, 1, 5000])
def test_message_is_the_same_in_any_pieces(size, length):
    """Guards against bodies that depend on how they were cut."""
    body = bytes(range(256)) * 20
    parser = _parse(HEAD % length + body[:length], size)
    assert parser.is_message_complete()
    assert parser.errno is None
    assert parser.get_headers()["Content-Length"] == str(length)
    assert parser.recv_body() == body[:length]


def test_message_that_is_not_whole_is_not_complete():
    """Guards against a request that is carried out without its end."""
    parser = _parse(HEAD % 100 + b"x" * 99, 3)
    assert not parser.is_message_complete()
    parser.execute(b"x", 1)
    assert parser.is_message_complete()


def test_response_without_a_length_is_kept():
    """Guards against replies that lose their body."""
    parser = _parse(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 1, 1)
    assert parser.is_message_complete()
    assert parser.recv_body() == b"abc"


@pytest.mark.parametrize(
    "data",
    [HEAD % 50_000 + b"x" * 40_000, b"GET / HTTP/1.1\r\n" + b"a" * 16_000])
def test_single_bytes_cost_little_more_than_their_number(data):
    """Guards against one object for each received byte.

    A body byte by byte took about 40 times its size.
    """
    tracemalloc.start()
    try:
        parser = _parse(data, 1)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert not parser.is_message_complete()
    assert used < 2 * len(data) + 20_000
