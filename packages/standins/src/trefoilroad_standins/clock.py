"""A virtual clock, and processes and timers of nodes that run on it."""

from collections.abc import Callable
import heapq
import itertools
import random

from trefoilroad_node import timer

Callback = Callable[[], None]


class Clock:
    """Virtual clock that runs callbacks in the order of their times.

    Callbacks of equal times run in the order in which they were scheduled.

    Attributes:
        now_s: The virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callback]] = []

    def schedule(self, delay_s: float, callback: Callback) -> None:
        """Schedules a callback after a delay in seconds."""
        entry = (self.now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._heap, entry)

    def run(self, duration_s: float) -> None:
        """Advances the time by a duration and runs callbacks that are due."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, callback = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, due_s)
            callback()
        self.now_s = end_s


class Host:
    """Simulated process of a node, which can be frozen, thawed and killed.

    Callbacks that are delivered to a frozen process wait until it is thawed.

    Attributes:
        clock: The virtual clock.
        alive: Whether the process runs; set it to False to kill the process.
        frozen: Whether the process is suspended.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.alive = True
        self.frozen = False
        self._queued: list[Callback] = []

    def deliver(self, callback: Callback) -> None:
        """Runs a callback in the process, unless the process is dead."""
        if not self.alive:
            return
        if self.frozen:
            self._queued.append(callback)
        else:
            callback()

    def thaw(self) -> None:
        """Resumes the process and delivers the callbacks that waited."""
        self.frozen = False
        queued, self._queued = self._queued, []
        for callback in queued:
            self.deliver(callback)


class HostTimers(timer.Timers):
    """Timers of one host, whose clock differs by an offset."""

    def __init__(self, *, host: Host, rng: random.Random, offset_s: float):
        self._host = host
        self._rng = rng
        self._offset_s = offset_s

    def read_clock(self) -> float:
        """See Timers.read_clock."""
        return self._host.clock.now_s + self._offset_s

    def call_later(self, delay_s: float,
                   callback: Callback) -> timer.TimerHandle:
        """See Timers.call_later."""
        timer_handle = timer.TimerHandle(callback=callback, interval_s=None)
        self._schedule(delay_s, timer_handle)
        return timer_handle

    def call_every(self, interval_s: float,
                   callback: Callback) -> timer.TimerHandle:
        """See Timers.call_every."""
        timer_handle = timer.TimerHandle(callback=callback,
                                         interval_s=interval_s)
        self._schedule(interval_s * self._rng.random(), timer_handle)
        return timer_handle

    def _schedule(self, delay_s: float,
                  timer_handle: timer.TimerHandle) -> None:
        self._host.clock.schedule(
            delay_s,
            lambda: self._host.deliver(lambda: self._run(timer_handle)))

    def _run(self, timer_handle: timer.TimerHandle) -> None:
        if timer_handle.cancelled:
            return
        if timer_handle.interval_s is not None:
            self._schedule(timer_handle.interval_s, timer_handle)
        timer_handle.callback()
