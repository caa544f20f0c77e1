"""A virtual clock and the timers of the nodes that follow it."""

from collections.abc import Callable
import heapq
import itertools
import random

from trefoilroad_node import timer

Callback = Callable[[], None]


class Clock:
    """Runs callbacks in the order of their times, without waiting."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._serial = itertools.count()
        self._heap: list[tuple[float, int, Callback]] = []

    def schedule(self, delay_s: float, callback: Callback) -> None:
        """Runs a callback after a delay in seconds."""
        entry = (self.now_s + delay_s, next(self._serial), callback)
        heapq.heappush(self._heap, entry)

    def run(self, duration_s: float) -> None:
        """Lets time pass and runs what is due."""
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, callback = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, due_s)
            callback()
        self.now_s = end_s


class Host:
    """The process of a node: it can be frozen, thawed and killed.

    A frozen process takes nothing; what arrives meanwhile waits for the thaw.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.alive = True
        self.frozen = False
        self._held: list[Callback] = []

    def deliver(self, callback: Callback) -> None:
        """Runs a callback inside the process, when it can run."""
        if not self.alive:
            return
        if self.frozen:
            self._held.append(callback)
        else:
            callback()

    def thaw(self) -> None:
        """Lets the process go on; what was held is delivered first."""
        self.frozen = False
        held, self._held = self._held, []
        for callback in held:
            self.deliver(callback)


class HostTimers(timer.Timers):
    """Timers of one host; its clock has an offset of its own."""

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
