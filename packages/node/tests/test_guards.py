"""Tests of the guards module."""

import pytest

from trefoilroad_node import guards


@pytest.mark.parametrize("length", ["-1", "many", "+1", "1_0", "", "9" * 16])
def test_invalid_lengths_are_rejected(length):
    """Guards against bodies whose end circuits.web never finds."""
    fault = guards.check_headers("POST", {"Content-Length": length})
    assert fault is guards.INVALID_LENGTH


@pytest.mark.parametrize(("method", "headers", "fault"), [
    ("GET", {}, None),
    ("POST", {
        "Content-Length": "12",
        "Content-Encoding": "identity"
    }, None),
    ("HEAD", {}, guards.HEAD_METHOD),
    ("POST", {
        "Transfer-Encoding": "chunked",
        "Content-Length": "3"
    }, guards.CHUNKED_BODY),
    ("POST", {
        "Content-Encoding": "gzip"
    }, guards.ENCODED_BODY),
])
def test_headers_are_checked(method, headers, fault):
    """Guards against requests that circuits.web mishandles or unpacks."""
    assert guards.check_headers(method, headers) is fault
