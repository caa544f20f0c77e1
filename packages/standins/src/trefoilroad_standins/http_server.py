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
from trefoilroad_standins import http_service

LOG: structlog.typing.WrappedLogger = structlog.wrap_logger(
    structlog.PrintLogger(sys.stderr))

# Events that go to all components, on whatever channel they are fired.
LIFE_CYCLE_EVENTS = frozenset({"registered", "started", "stopped"})


class EventLoop(circuits.BaseComponent):
    """Root component of a process; exits on SIGINT and SIGTERM.

    Attributes:
        alarms: Schedules callbacks.
    """

    channel = "loop"

    def __init__(self) -> None:
        super().__init__()
        self.alarms = alarms.Alarms().register(self)
        self._listeners: dict[str, Listener] = {}
        # The default poller uses select(2), which fails from descriptor 1024.
        pollers.EPoll().register(self)

    def add_listener(self, listener: "Listener") -> None:
        """Registers a listener.

        Args:
            listener: A listener whose channel is unique in the process.
        """
        self._listeners[listener.channel] = listener
        listener.register(self)

    def getHandlers(  # noqa: N802
            self, event: circuits.Event, channel: Any,
            **kwargs: Any) -> set[Any]:
        """Finds handlers, only in the listener that the channel belongs to.

        The library searches all components for each new pair of event and
        channel. With 510 listeners, the first request to each took 90 ms.

        Args:
            event: The event to handle.
            channel: Channel that it is fired on.
            **kwargs: Passed on to the library's method.

        Returns:
            The handlers.
        """
        target: circuits.BaseComponent | None = None
        if isinstance(channel, str) and event.name not in LIFE_CYCLE_EVENTS:
            target = self._listeners.get(channel)
        handlers: set[Any] = (target.getHandlers(event, channel, **kwargs)
                              if target else super().getHandlers(
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
            listener.reject_malformed(fevent.args[0])

    @circuits.handler("signal", channel="*")
    def _on_signal(self, *_: Any) -> None:
        raise SystemExit(0)


class Listener(circuits.BaseComponent):
    """HTTP listener on one port."""

    def __init__(self, *, name: str, host: str, port: int,
                 service: http_service.Service, loop: EventLoop):
        """Binds the port.

        Args:
            name: Channel of the listener, unique in the process.
            host: Address to listen on.
            port: Port; with 0 the kernel chooses one.
            service: Answers the requests.
            loop: Event loop of the process.
        """
        super().__init__(channel=name)
        self._service = service
        self._alarms = loop.alarms
        self._server = sockets.TCPServer((host, port), channel=name)
        self._server.register(self)
        http.HTTP(self._server, channel=name).register(self)
        loop.add_listener(self)

    @property
    def address(self) -> str:
        """Address and port that the listener is bound to."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return int(self._server.port)

    def reject_malformed(self, sock: socket.socket) -> None:
        """Answers 400 to a request that the library's parser fails on.

        An example is a Content-Length that is not a number.

        Args:
            sock: Connection of the request.
        """
        request = wrappers.Request(sock, server=self._server)
        response = wrappers.Response(request)
        self.fire(web_errors.httperror(request, response, 400))

    @circuits.handler("request")
    def _on_request(self, request: Any, response: Any) -> bool:
        http_request = parse_request(request)
        self._respond(request, response,
                      lambda: self._service.handle(http_request))
        # With a boolean, the library does not send a response of its own.
        return True

    @circuits.handler("httperror", priority=1)
    def _on_httperror(self, event: Any, request: Any, response: Any, *_: Any,
                      **__: Any) -> None:
        event.stop()
        message = event.description or event.data["name"]
        reply = http_service.build_error(event.code, "http_error", message)
        self._send(request, response, reply)

    def _respond(self, request: Any, response: Any,
                 build_action: Callable[[], http_service.Action]) -> None:
        try:
            action = build_action()
        except errors.ProtocolError as error:
            action = http_service.build_error(400, "bad_request", str(error))
        if isinstance(action, http_service.Reply):
            self._send(request, response, action)
        elif isinstance(action, http_service.DropConnection):
            self.fire(net_events.close(request.sock))
        elif isinstance(action, http_service.DelayedAction):
            resolve = action.resolve
            self._alarms.schedule(
                time.monotonic() + action.delay_s,
                lambda: self._respond(request, response, resolve))

    def _send(self, request: Any, response: Any,
              reply: http_service.Reply) -> None:
        # The client may have disconnected while the answer was delayed.
        if request.sock.fileno() < 0:
            return
        response.status = reply.status
        response.headers["Content-Type"] = reply.content_type
        for name, value in reply.headers.items():
            response.headers[name] = value
        response.body = reply.body
        self.fire(web_events.response(response))


def parse_request(request: Any) -> http_service.HttpRequest:
    """Converts the library's request object.

    Args:
        request: A circuits.web request with its whole body.

    Returns:
        The request.
    """
    pairs = parse.parse_qsl(request.qs, keep_blank_values=True)
    return http_service.HttpRequest(method=request.method,
                                    path=parse.unquote(request.path),
                                    query=dict(pairs),
                                    node=request.headers.get("X-Node", ""),
                                    body=request.body.read())
