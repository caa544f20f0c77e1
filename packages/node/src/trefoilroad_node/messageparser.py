"""A parser of HTTP messages that keeps a body in one piece."""

from circuits.web import parsers

_END_OF_MESSAGE = b""


class MessageParser(parsers.HttpParser):
    """Parser that joins what it has received.

    The parser of circuits.web keeps each received piece as an object. A body
    that came byte by byte took about 40 times its size.
    """

    # Attributes of the base class, which has no types.
    _buf: list[bytes]
    _body: list[bytes]

    def __init__(self, kind: int, decompress: bool):
        """Creates a parser for one message.

        Args:
            kind: 0 for requests, 1 for responses.
            decompress: Whether the body is decompressed.
        """
        super().__init__(kind, decompress)
        self._joined_body: bytearray | None = None
        # None once it is complete.
        self._first_line: bytes | None = b""

    def execute(self, data: bytes, length: int) -> int:
        """Parses a piece of the message.

        Args:
            data: The piece.
            length: Its length; 0 ends the message.

        Returns:
            Number of bytes that were parsed.
        """
        body = self._joined_body
        if body is not None and length:
            if self.is_message_complete():
                return 0
            body += data
            self._clen_rest -= length
            if self._clen_rest <= 0:
                super().execute(_END_OF_MESSAGE, 0)
            return length
        if self._first_line is not None and length:
            # The base class finds the end of the line only within a piece.
            data = self._first_line + data
            if b"\r\n" not in data:
                self._first_line = data
                return length
            self._first_line = None
        parsed = int(super().execute(data, len(data)))
        if len(self._buf) > 1:
            self._buf = [b"".join(self._buf)]
        if self.is_headers_complete() and self._can_join():
            self._joined_body = bytearray().join(self._body)
            self._body = []
        return parsed

    def recv_body(self) -> bytes:
        """Returns the body that was received since the last call."""
        if self._joined_body is None:
            return bytes(super().recv_body())
        body = bytes(self._joined_body)
        self._joined_body.clear()
        return body

    def _can_join(self) -> bool:
        """Returns whether the rest of the body needs no decoding."""
        encoding = self._headers.get("Content-Encoding", "identity")
        return (self._clen is not None and not self._chunked and
                (not self.decompress or encoding == "identity"))
