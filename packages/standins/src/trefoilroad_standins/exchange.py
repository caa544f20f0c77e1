"""Requests and answers of the stand-ins, apart from any socket."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

JSON_TYPE = "application/json"
BYTES_TYPE = "application/octet-stream"


class Call(NamedTuple):
    """One HTTP request.

    Attributes:
        method: Method in upper case.
        path: Decoded path.
        query: Decoded query arguments; the last of equal names counts.
        node: Value of the X-Node header, empty if absent.
        body: The whole body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    node: str
    body: bytes


class Reply(NamedTuple):
    """An answer to send.

    Attributes:
        status: HTTP status.
        body: The whole body.
        content_type: Type of the body.
        headers: Further headers.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = {}


class Drop(NamedTuple):
    """Close the connection without an answer."""


class Hold(NamedTuple):
    """Keep the connection open and never answer."""


class Later(NamedTuple):
    """Decide the answer after a delay.

    Attributes:
        delay_s: Seconds to wait.
        decide: Gives the answer when the time has passed.
    """

    delay_s: float
    decide: Callable[[], "Action"]


Action = Reply | Drop | Hold | Later


class Service(abc.ABC):
    """What a listener serves."""

    @abc.abstractmethod
    def handle(self, call: Call) -> Action:
        """Answers one request.

        Args:
            call: The request.

        Returns:
            What to do with it.

        Raises:
            ProtocolError: If the request does not have the expected form; it
                is answered with 400.
        """


def build_reply(status: int, document: Any) -> Reply:
    """Encodes a JSON answer.

    Args:
        status: HTTP status.
        document: What to encode.

    Returns:
        The answer.
    """
    return Reply(status, json.dumps(document).encode())


def build_error(status: int, error: str, message: str = "") -> Reply:
    """Encodes an error as JSON.

    Args:
        status: HTTP status.
        error: Short name of the error.
        message: What is wrong, for people.

    Returns:
        The answer.
    """
    return build_reply(status, {"error": error, "message": message})
