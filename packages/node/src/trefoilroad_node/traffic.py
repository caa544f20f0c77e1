"""Counts what a node sends and receives for control."""


class Traffic:
    """Bytes on connections to the store, to workers and to other nodes.

    Attributes:
        sent: Bytes sent so far.
        received: Bytes received so far.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
