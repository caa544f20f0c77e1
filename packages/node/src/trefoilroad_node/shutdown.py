"""Ends the service of callers without leaving a request unanswered."""

from collections.abc import Callable

from trefoilroad_node import guards
from trefoilroad_node import httpserver
from trefoilroad_node import timer

POLL_INTERVAL_S = 0.05
# Time for the last responses to be written.
FLUSH_S = 0.1


class Shutdown:
    """Closes all connections of a server, each after its last response.

    A process must not end between reading a request and answering it. New
    connections are therefore refused first, so that their callers turn to
    another node, and those without a request are closed. The others are closed
    with their responses. The shutdown is over when no connection is left, or at
    the deadline, when all open requests are answered at once.
    """

    def __init__(self, *, server: httpserver.HttpServer,
                 guard: guards.RequestGuard, timers: timer.Timers,
                 abandonment: httpserver.Response, on_done: Callable[[], None]):
        """Prepares a shutdown; `begin` starts it.

        Args:
            server: The server.
            guard: Guard of its connections.
            timers: Clock and timers.
            abandonment: Response to requests that are open at the deadline.
            on_done: Called when the process can end.
        """
        self._server = server
        self._guard = guard
        self._timers = timers
        self._abandonment = abandonment
        self._on_done = on_done

    def begin(self, *, earliest_s: float, deadline_s: float) -> None:
        """Starts the shutdown.

        Args:
            earliest_s: Until then, requests are served as before, on the clock
                of the timers.
            deadline_s: When open requests are no longer waited for.
        """
        now_s = self._timers.read_clock()
        if now_s >= earliest_s:
            self._server.stop_listening()
            self._guard.drain()
            if not self._guard.open_connections:
                self._on_done()
                return
            if now_s >= deadline_s:
                self._server.answer_open_requests(self._abandonment)
                self._timers.call_later(FLUSH_S, self._on_done)
                return
        self._timers.call_later(
            POLL_INTERVAL_S,
            lambda: self.begin(earliest_s=earliest_s, deadline_s=deadline_s))
