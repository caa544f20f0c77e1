"""Tests of the timer module."""

import random
import weakref

from trefoilroad_node import timer


class _Body:
    """Stands for what a callback refers to."""

    def use(self):
        raise AssertionError("the call was cancelled")


def test_cancelled_call_keeps_nothing():
    """Guards against bodies that are kept until a time-out that was cancelled.

    Hundreds of requests a second, each kept for some seconds, exceeded the
    memory of the process.
    """
    timers = timer.TimerService(rng=random.Random(1))
    body = _Body()
    reference = weakref.ref(body)
    handle = timers.call_later(3600.0, body.use)
    del body
    assert reference() is not None
    handle.cancel()
    assert reference() is None
