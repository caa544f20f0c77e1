"""HTTP listeners with JSON answers, one for each stand-in."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import json
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

import circuits
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import http

from trefoilroad_core import errors
from trefoilroad_standins import alarms as alarms_module

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
    decide: Callable[[], "Reply | Drop | Hold"]


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


class Listener(circuits.BaseComponent):
    """Serves HTTP on one port."""

    def __init__(self, *, name: str, host: str, port: int, service: Service,
                 alarms: alarms_module.Alarms):
        """Binds the port.

        Args:
            name: Channel of the listener, unique in the process.
            host: Address to listen on.
            port: Port, 0 to let the kernel choose.
            service: What to serve.
            alarms: Runs delayed answers.
        """
        super().__init__(channel=name)
        self._service = service
        self._alarms = alarms
        self._server = sockets.TCPServer((host, port), channel=name)
        self._server.register(self)
        http.HTTP(self._server, channel=name).register(self)

    @property
    def address(self) -> str:
        """Address and port that the listener is bound to."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return int(self._server.port)

    @circuits.handler("request")
    def _on_request(self, request: Any, response: Any) -> bool:
        action = self._decide(request)
        self._act(request, response, action)
        # A boolean tells the library that the answer is sent elsewhere.
        return True

    @circuits.handler("httperror", priority=1)
    def _on_httperror(self, event: Any, request: Any, response: Any, *_: Any,
                      **__: Any) -> None:
        event.stop()
        reply = build_error(event.code, "http_error", event.description)
        self._send(request, response, reply)

    def _decide(self, request: Any) -> Action:
        pairs = parse.parse_qsl(request.qs, keep_blank_values=True)
        call = Call(method=request.method,
                    path=parse.unquote(request.path),
                    query=dict(pairs),
                    node=request.headers.get("X-Node", ""),
                    body=request.body.read())
        try:
            return self._service.handle(call)
        except errors.ProtocolError as error:
            return build_error(400, "bad_request", str(error))

    def _act(self, request: Any, response: Any, action: Action) -> None:
        if isinstance(action, Reply):
            self._send(request, response, action)
        elif isinstance(action, Drop):
            self.fire(net_events.close(request.sock))
        elif isinstance(action, Later):
            decide = action.decide
            self._alarms.schedule(
                time.monotonic() + action.delay_s,
                lambda: self._act(request, response, decide()))

    def _send(self, request: Any, response: Any, reply: Reply) -> None:
        if request.sock.fileno() < 0:
            return
        response.status = reply.status
        response.headers["Content-Type"] = reply.content_type
        for name, value in reply.headers.items():
            response.headers[name] = value
        response.body = reply.body
        self.fire(web_events.response(response))


class StopOnSignal(circuits.BaseComponent):
    """Ends the process on SIGINT and SIGTERM."""

    channel = "*"

    @circuits.handler("signal", channel="*")
    def _on_signal(self, *_: Any) -> None:
        raise SystemExit(0)
