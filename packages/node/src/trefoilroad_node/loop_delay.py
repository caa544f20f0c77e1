"""Measures how far the event loop of the process is behind."""

import time
from typing import NamedTuple

import structlog

from trefoilroad_node import metrics as metrics_module
from trefoilroad_node import timer

# One wake-up a second; the timer service measures all its calls.
CHECK_INTERVAL_S = 1.0
# A larger delay is logged.
LOGGED_DELAY_S = 1.0
# Shortest time between two lines.
LOG_INTERVAL_S = 5.0

_log = structlog.get_logger()


class _Period(NamedTuple):
    """The time between two checks.

    Attributes:
        delay_s: Largest delay of a timer call in seconds.
        length_s: Length in seconds.
        processor_s: Processor time of the process in seconds.
    """

    delay_s: float
    length_s: float
    processor_s: float


class LoopDelay:
    """Records the largest delay of timer calls in each second.

    The clock of the timers goes on while the VM is suspended, and while the
    process is stopped or gets no processor. Such a delay differs from that of
    a busy loop by little processor time.
    """

    def __init__(self, *, timers: timer.TimerService,
                 metrics: metrics_module.Metrics):
        """Starts to measure.

        Args:
            timers: The timers of the loop.
            metrics: Sink of metrics.
        """
        self._timers = timers
        self._metrics = metrics
        self._checked_s = timers.read_clock()
        self._checked_processor_s = time.process_time()
        self._worst: _Period | None = None
        self._logged_s = float("-inf")
        timers.call_every(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now_s = self._timers.read_clock()
        processor_s = time.process_time()
        period = _Period(self._timers.take_largest_delay(),
                         now_s - self._checked_s,
                         processor_s - self._checked_processor_s)
        self._checked_s = now_s
        self._checked_processor_s = processor_s
        self._metrics.time("loop.delay", period.delay_s)
        if period.delay_s > LOGGED_DELAY_S and (
                self._worst is None or period.delay_s > self._worst.delay_s):
            self._worst = period
        if (self._worst is not None and
                now_s - self._logged_s >= LOG_INTERVAL_S):
            _log.warning("loop delayed",
                         delay_s=round(self._worst.delay_s, 3),
                         within_s=round(self._worst.length_s, 3),
                         processor_s=round(self._worst.processor_s, 3))
            self._logged_s = now_s
            self._worst = None
