"""Callbacks at given times of the monotonic clock, in the event loop."""

from collections.abc import Callable
import heapq
import itertools
import time

import circuits


class Alarms(circuits.BaseComponent):
    """Runs callbacks when they are due.

    The timers of circuits follow the wall clock, and each is a component;
    registering one for each task would invalidate the handler cache every time.
    """

    channel = "alarms"

    def __init__(self) -> None:
        super().__init__()
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, due_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback, which runs once.

        Args:
            due_s: When to run it, in seconds on the monotonic clock.
            callback: Called without arguments.
        """
        heapq.heappush(self._heap, (due_s, next(self._sequence), callback))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        while self._heap and self._heap[0][0] <= time.monotonic():
            _, _, callback = heapq.heappop(self._heap)
            callback()
            event.reduce_time_left(0)
        if self._heap:
            left_s = self._heap[0][0] - time.monotonic()
            event.reduce_time_left(max(0.0, left_s))
