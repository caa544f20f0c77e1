"""Counts the bytes of a node's control traffic."""


class ByteCounter:
    """Bytes on connections to the store, to workers and to other nodes.

    Attributes:
        sent_bytes: Bytes sent since the process started.
        received_bytes: Bytes received since the process started.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
