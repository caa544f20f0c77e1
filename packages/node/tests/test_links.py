"""Tests of the links between nodes."""

import cbor2
import pytest
from websockets import frames

from trefoilroad_core import errors
from trefoilroad_node import links


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
