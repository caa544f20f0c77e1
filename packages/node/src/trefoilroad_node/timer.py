"""Timers on a monotonic clock.

circuits' own timer follows the wall clock, which operators and time
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


def _do_nothing() -> None:
    """Takes the place of a function that is not to be called."""


class TimerHandle:
    """A scheduled call, made once or at an interval.

    Attributes:
        callback: Function to call.
        interval_s: Time between two calls in seconds, None for a single call.
        cancelled: Whether further calls are suppressed.
    """

    def __init__(self, *, callback: Callback, interval_s: float | None):
        self.callback = callback
        self.interval_s = interval_s
        self.cancelled = False

    def cancel(self) -> None:
        """Suppresses all further calls, and drops the function.

        The timer service keeps the handle until it is due. What the function
        refers to, such as the body of a request, would be kept as long.
        """
        self.cancelled = True
        self.callback = _do_nothing


class Timers(abc.ABC):
    """Schedules calls and reads the monotonic clock."""

    @abc.abstractmethod
    def read_clock(self) -> float:
        """Returns the monotonic time in seconds."""

    @abc.abstractmethod
    def call_later(self, delay_s: float, callback: Callback) -> TimerHandle:
        """Schedules a single call.

        Args:
            delay_s: Delay in seconds.
            callback: Function to call.

        Returns:
            A handle that cancels the call.
        """

    @abc.abstractmethod
    def call_every(self, interval_s: float, callback: Callback) -> TimerHandle:
        """Schedules periodic calls.

        The first call comes after a random part of the interval, which spreads
        the calls of nodes that started together.

        Args:
            interval_s: Time between two calls in seconds.
            callback: Function to call.

        Returns:
            A handle that cancels the call.
        """


class TimerService(circuits.BaseComponent, Timers):
    """Timers driven by the event loop of the process."""

    channel = "timer"

    def __init__(self, *, rng: random.Random):
        super().__init__()
        self._rng = rng
        self._sequence_numbers = itertools.count()
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._largest_delay_s = 0.0

    def read_clock(self) -> float:
        """See Timers.read_clock; includes the time while the VM was suspended.

        Otherwise leases and data would seem younger after a suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def call_later(self, delay_s: float, callback: Callback) -> TimerHandle:
        """See Timers.call_later."""
        timer_handle = TimerHandle(callback=callback, interval_s=None)
        self._schedule(self.read_clock() + delay_s, timer_handle)
        return timer_handle

    def call_every(self, interval_s: float, callback: Callback) -> TimerHandle:
        """See Timers.call_every."""
        timer_handle = TimerHandle(callback=callback, interval_s=interval_s)
        delay_s = interval_s * self._rng.random()
        self._schedule(self.read_clock() + delay_s, timer_handle)
        return timer_handle

    def take_largest_delay(self) -> float:
        """Returns the largest delay of a call in seconds, and resets it."""
        delay_s, self._largest_delay_s = self._largest_delay_s, 0.0
        return delay_s

    def _schedule(self, due_s: float, timer_handle: TimerHandle) -> None:
        heapq.heappush(self._heap,
                       (due_s, next(self._sequence_numbers), timer_handle))

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        now_s = self.read_clock()
        if self._heap:
            # The first one is the latest.
            self._largest_delay_s = max(self._largest_delay_s,
                                        now_s - self._heap[0][0])
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
            self._schedule(now_s + timer_handle.interval_s, timer_handle)
        timer_handle.callback()
