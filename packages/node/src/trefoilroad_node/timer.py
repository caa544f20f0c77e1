"""The timer service: calls at points of the monotonic clock.

The library's own timer follows the wall clock, which operators and time
synchronisation may set back.
"""

import abc
from collections.abc import Callable
import heapq
import itertools
import random
import time

import circuits

Callback = Callable[[], None]


class TimerHandle:
    """A call that will be made, once or again and again."""

    def __init__(self, *, callback: Callback, interval_s: float | None):
        self.callback = callback
        self.interval_s = interval_s
        self.cancelled = False

    def cancel(self) -> None:
        """Makes no further call."""
        self.cancelled = True


class Timers(abc.ABC):
    """Lets parts of a node subscribe to points in time."""

    @abc.abstractmethod
    def read_clock(self) -> float:
        """Returns the monotonic time in seconds."""

    @abc.abstractmethod
    def call_later(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Calls once.

        Args:
            delay_s: Delay in seconds.
            callback: What to call.

        Returns:
            The subscription.
        """

    @abc.abstractmethod
    def call_every(self, interval_s: float, callback: Callback) -> TimerHandle:
        """Calls again and again, first after a random part of the interval.

        The random start keeps nodes that began together from acting together.

        Args:
            interval_s: Time between two calls in seconds.
            callback: What to call.

        Returns:
            The subscription.
        """


class TimerService(circuits.BaseComponent, Timers):
    """The timers of a process, driven by its event loop."""

    channel = "timer"

    def __init__(self, *, rng: random.Random):
        super().__init__()
        self._rng = rng
        self._serial = itertools.count()
        self._heap: list[tuple[float, int, TimerHandle]] = []

    def read_clock(self) -> float:
        """See Timers.read_clock; counts the time of a suspended machine.

        Leases and ages must not look younger after a suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay_s: float, callback: Callback) -> TimerHandle:
        """See Timers.call_later."""
        timer_handle = TimerHandle(callback=callback, interval_s=None)
        self._push(self.read_clock() + delay_s, timer_handle)
        return timer_handle

    def call_every(self, interval_s: float, callback: Callback) -> TimerHandle:
        """See Timers.call_every."""
        timer_handle = TimerHandle(callback=callback, interval_s=interval_s)
        delay_s = interval_s * self._rng.random()
        self._push(self.read_clock() + delay_s, timer_handle)
        return timer_handle

    def _push(self, due_s: float, timer_handle: TimerHandle) -> None:
        heapq.heappush(self._heap, (due_s, next(self._serial), timer_handle))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        now_s = self.read_clock()
        while self._heap and self._heap[0][0] <= now_s:
            _, _, timer_handle = heapq.heappop(self._heap)
            self._run(timer_handle, now_s)
            event.reduce_time_left(0)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - now_s))

    def _run(self, timer_handle: TimerHandle, now_s: float) -> None:
        if timer_handle.cancelled:
            return
        if timer_handle.interval_s is not None:
            self._push(now_s + timer_handle.interval_s, timer_handle)
        timer_handle.callback()
