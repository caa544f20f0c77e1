"""The event loop and HTTP listeners of a stand-in process."""

from collections.abc import Callable
import socket
import sys
import time
from typing import Any
from urllib import parse

import circuits
from circuits.core import pollers
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import errors as web_errors
from circuits.web import events as web_events
from circuits.web import http
from circuits.web import wrappers
import structlog

from trefoilroad_core import errors
from trefoilroad_standins import alarms
from trefoilroad_standins import exchange

LOG: structlog.typing.WrappedLogger = structlog.wrap_logger(
    structlog.PrintLogger(sys.stderr))

# Events that concern every component, whatever channel they are fired on.
LIFE_CYCLE_EVENTS = frozenset({"registered", "started", "stopped"})


class Loop(circuits.BaseComponent):
    """Root component of a process; ends on SIGINT and SIGTERM.

    Attributes:
        alarms: Runs callbacks at given times.
    """

    channel = "loop"

    def __init__(self) -> None:
        super().__init__()
        self.alarms = alarms.Alarms().register(self)
        self._listeners: dict[str, Listener] = {}
        # The default poller uses select(2), which fails from descriptor 1024.
        pollers.EPoll().register(self)

    def add(self, listener: "Listener") -> None:
        """Takes in a listener.

        Args:
            listener: A listener whose name no other one has.
        """
        self._listeners[listener.channel] = listener
        listener.register(self)

    def getHandlers(  # noqa: N802
            self, event: circuits.Event, channel: Any,
            **kwargs: Any) -> set[Any]:
        """Finds handlers; asks only the listener that a channel belongs to.

        The library looks through all components for each new pair of event
        and channel. With 510 listeners, the first request to each took 90 ms.

        Args:
            event: The event to handle.
            channel: Channel that it is fired on.
            **kwargs: Passed on.

        Returns:
            The handlers.
        """
        owner: circuits.BaseComponent | None = None
        if isinstance(channel, str) and event.name not in LIFE_CYCLE_EVENTS:
            owner = self._listeners.get(channel)
        handlers: set[Any] = (owner.getHandlers(event, channel, **kwargs)
                              if owner else super().getHandlers(
                                  event, channel, **kwargs))
        return handlers

    @circuits.handler("exception")
    def _on_exception(self,
                      *error: Any,
                      handler: Any = None,
                      fevent: Any = None) -> None:
        LOG.error("handler failed", handler=str(handler), exc_info=error[1])
        listener = self._listeners.get(fevent.channels[0])
        if listener and fevent.name == "read":
            listener.reject(fevent.args[0])

    @circuits.handler("signal", channel="*")
    def _on_signal(self, *_: Any) -> None:
        raise SystemExit(0)


class Listener(circuits.BaseComponent):
    """Serves HTTP on one port."""

    def __init__(self, *, name: str, host: str, port: int,
                 service: exchange.Service, loop: Loop):
        """Binds the port.

        Args:
            name: Channel of the listener, unique in the process.
            host: Address to listen on.
            port: Port, 0 to let the kernel choose.
            service: What to serve.
            loop: Where the listener runs.
        """
        super().__init__(channel=name)
        self._service = service
        self._alarms = loop.alarms
        self._server = sockets.TCPServer((host, port), channel=name)
        self._server.register(self)
        http.HTTP(self._server, channel=name).register(self)
        loop.add(self)

    @property
    def address(self) -> str:
        """Address and port that the listener is bound to."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return int(self._server.port)

    def reject(self, sock: socket.socket) -> None:
        """Answers what the library's parser fails on, such as a wrong length.

        Args:
            sock: Connection to answer and close.
        """
        request = wrappers.Request(sock, server=self._server)
        response = wrappers.Response(request)
        self.fire(web_errors.httperror(request, response, 400))

    @circuits.handler("request")
    def _on_request(self, request: Any, response: Any) -> bool:
        call = build_call(request)
        self._answer(request, response, lambda: self._service.handle(call))
        # A boolean tells the library that the answer is sent elsewhere.
        return True

    @circuits.handler("httperror", priority=1)
    def _on_httperror(self, event: Any, request: Any, response: Any, *_: Any,
                      **__: Any) -> None:
        event.stop()
        message = event.description or event.data["name"]
        reply = exchange.build_error(event.code, "http_error", message)
        self._send(request, response, reply)

    def _answer(self, request: Any, response: Any,
                decide: Callable[[], exchange.Action]) -> None:
        try:
            action = decide()
        except errors.ProtocolError as error:
            action = exchange.build_error(400, "bad_request", str(error))
        if isinstance(action, exchange.Reply):
            self._send(request, response, action)
        elif isinstance(action, exchange.Drop):
            self.fire(net_events.close(request.sock))
        elif isinstance(action, exchange.Later):
            later = action.decide
            self._alarms.schedule(
                time.monotonic() + action.delay_s,
                lambda: self._answer(request, response, later))

    def _send(self, request: Any, response: Any, reply: exchange.Reply) -> None:
        # The client may have gone while the answer was delayed.
        if request.sock.fileno() < 0:
            return
        response.status = reply.status
        response.headers["Content-Type"] = reply.content_type
        for name, value in reply.headers.items():
            response.headers[name] = value
        response.body = reply.body
        self.fire(web_events.response(response))


def build_call(request: Any) -> exchange.Call:
    """Reads the library's request object.

    Args:
        request: A circuits.web request with its whole body.

    Returns:
        The call.
    """
    pairs = parse.parse_qsl(request.qs, keep_blank_values=True)
    return exchange.Call(method=request.method,
                         path=parse.unquote(request.path),
                         query=dict(pairs),
                         node=request.headers.get("X-Node", ""),
                         body=request.body.read())
