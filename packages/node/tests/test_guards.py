"""Tests of the limits on incoming requests."""

import pytest

from trefoilroad_node import guards


@pytest.mark.parametrize("length", ["-1", "many", "+1", "1_0", "", "9" * 16])
def test_lengths_that_the_library_misreads(length):
    """Guards against bodies whose end the library never finds."""
    fault = guards.find_fault("POST", {"Content-Length": length})
    assert fault is guards.BAD_LENGTH


@pytest.mark.parametrize(("method", "headers", "fault"), [
    ("GET", {}, None),
    ("POST", {
        "Content-Length": "12",
        "Content-Encoding": "identity"
    }, None),
    ("HEAD", {}, guards.HEAD),
    ("POST", {
        "Transfer-Encoding": "chunked",
        "Content-Length": "3"
    }, guards.CHUNKED),
    ("POST", {
        "Content-Encoding": "gzip"
    }, guards.ENCODED),
])
def test_heads(method, headers, fault):
    """Guards against requests that the library answers wrongly or unpacks."""
    assert guards.find_fault(method, headers) is fault
