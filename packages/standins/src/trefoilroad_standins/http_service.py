"""HTTP requests and replies of the stand-ins, independent of sockets."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

JSON_TYPE = "application/json"
BYTES_TYPE = "application/octet-stream"


class HttpRequest(NamedTuple):
    """One HTTP request.

    Attributes:
        method: Method in upper case.
        path: Decoded path.
        query: Decoded query arguments; of repeated names, the last one.
        node: Value of the X-Node header, empty if absent.
        body: The whole body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    node: str
    body: bytes


class Reply(NamedTuple):
    """A reply to send.

    Attributes:
        status: HTTP status.
        body: The whole body.
        content_type: Media type of the body.
        headers: Further headers.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = {}


class DropConnection(NamedTuple):
    """Action: close the connection without a reply."""


class HoldConnection(NamedTuple):
    """Action: keep the connection open and never reply."""


class DelayedAction(NamedTuple):
    """Action that is determined after a delay.

    Attributes:
        delay_s: Delay in seconds.
        resolve: Called after the delay; returns the action to take.
    """

    delay_s: float
    resolve: Callable[[], "Action"]


Action = Reply | DropConnection | HoldConnection | DelayedAction


class Service(abc.ABC):
    """Handler of the HTTP requests to a listener."""

    @abc.abstractmethod
    def handle(self, http_request: HttpRequest) -> Action:
        """Handles one request.

        Args:
            http_request: The request.

        Returns:
            How to answer it.

        Raises:
            ProtocolError: If the request is malformed; the listener then
                answers 400.
        """


def build_reply(status: int, document: Any) -> Reply:
    """Builds a reply with a JSON body.

    Args:
        status: HTTP status.
        document: Value to encode.

    Returns:
        The reply.
    """
    return Reply(status, json.dumps(document).encode())


def build_error(status: int, error: str, message: str = "") -> Reply:
    """Builds an error reply with a JSON body.

    Args:
        status: HTTP status.
        error: Code of the error, for programs.
        message: Description of the error, for people.

    Returns:
        The reply.
    """
    return build_reply(status, {"error": error, "message": message})
