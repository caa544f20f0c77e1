"""Tests of outgoing connections with a poller."""

import socket

import circuits
from circuits.core import pollers
import pytest

from trefoilroad_node import streams


class _Listener(streams.Listener):

    def handle_connected(self):
        """See streams.Listener.handle_connected."""

    def handle_data(self, data):
        """See streams.Listener.handle_data."""

    def handle_closed(self, reason):
        """See streams.Listener.handle_closed."""


def test_no_connection_is_opened_without_a_descriptor_for_it():
    """Guards against connections that take the last descriptors."""
    root = circuits.BaseComponent()
    may_open = [True]
    connector = streams.Connector(poller=pollers.EPoll().register(root),
                                  may_open=lambda: may_open[0]).register(root)
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        stream = connector.open("127.0.0.1", port, _Listener())
        may_open[0] = False
        with pytest.raises(OSError, match="the last descriptors"):
            connector.open("127.0.0.1", port, _Listener())
        assert connector.open_streams == 1
        stream.close()
