"""Calls at points of the monotonic clock, inside the event loop."""

from collections.abc import Callable
import heapq
import itertools
import time

import circuits


class Alarms(circuits.BaseComponent):
    """Runs callbacks when they are due.

    The library's own timer follows the wall clock and is a component of its
    own; registering one for each task invalidates the handler cache.
    """

    channel = "alarms"

    def __init__(self) -> None:
        super().__init__()
        self._serial = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, due_s: float, callback: Callable[[], None]) -> None:
        """Runs a callback once.

        Args:
            due_s: When to run it, on the monotonic clock.
            callback: What to run.
        """
        heapq.heappush(self._heap, (due_s, next(self._serial), callback))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        while self._heap and self._heap[0][0] <= time.monotonic():
            _, _, callback = heapq.heappop(self._heap)
            callback()
            event.reduce_time_left(0)
        if self._heap:
            left_s = self._heap[0][0] - time.monotonic()
            event.reduce_time_left(max(0.0, left_s))
