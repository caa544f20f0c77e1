"""Tests of the loop_delay module."""

import random
import time

import pytest
import structlog.testing

from trefoilroad_node import loop_delay
from trefoilroad_node import registry
from trefoilroad_node import timer


class _Event:
    """Stands for the event of a turn of the loop."""

    def reduce_time_left(self, time_left):
        """Does nothing; the test sets the clock."""


class _Loop:
    """A loop on a clock that the test sets."""

    def __init__(self, monkeypatch):
        self.now_s = 1000.0
        self.processor_s = 10.0
        self.metrics = registry.Registry()
        monkeypatch.setattr(timer.TimerService, "read_clock",
                            lambda _: self.now_s)
        monkeypatch.setattr(time, "process_time", lambda: self.processor_s)
        self.timers = timer.TimerService(rng=random.Random(1))
        loop_delay.LoopDelay(timers=self.timers, metrics=self.metrics)

    def turn(self, step_s, processor_s=0.0):
        """Turns the loop once after a time."""
        self.now_s += step_s
        self.processor_s += processor_s
        self.timers._on_generate_events(_Event())

    def run(self, duration_s):
        """Runs a loop that is not behind."""
        for _ in range(round(duration_s / 0.01)):
            self.turn(0.01)

    def read_metric(self, name):
        lines = dict(
            line.split(" ") for line in self.metrics.render().splitlines())
        return float(lines[f"trefoilroad_loop_delay_seconds_{name}"])


@pytest.fixture
def loop(monkeypatch):
    return _Loop(monkeypatch)


def _list_lines(lines):
    return [line for line in lines if line["event"] == "loop delayed"]


def test_idle_loop_is_not_behind(loop):
    """Guards against lines and delays of a loop that only waits for timers."""
    with structlog.testing.capture_logs() as lines:
        loop.run(20.0)
    assert not lines
    assert loop.read_metric("count") == 20
    assert loop.read_metric('bucket{le="0.025"}') == 20


def test_busy_loop_is_told_with_its_processor_time(loop):
    """Guards against a busy loop that looks like silent peers."""
    loop.run(3.0)
    with structlog.testing.capture_logs() as lines:
        loop.turn(4.0, processor_s=3.9)
        loop.run(10.0)
    (line,) = _list_lines(lines)
    assert 3.0 < line["delay_s"] <= 4.0
    assert line["processor_s"] == pytest.approx(3.9)
    assert line["within_s"] >= line["delay_s"]
    assert loop.read_metric('bucket{le="2.5"}') + 1 == loop.read_metric("count")


def test_stopped_process_is_told_by_little_processor_time(loop):
    """Guards against a frozen VM that is taken for a busy loop."""
    loop.run(3.0)
    with structlog.testing.capture_logs() as lines:
        loop.turn(8.0, processor_s=0.01)
        loop.run(2.0)
    (line,) = _list_lines(lines)
    assert line["delay_s"] > 7.0
    assert line["processor_s"] == pytest.approx(0.01)


def test_lasting_delay_gives_a_line_every_few_seconds(loop):
    """Guards against a line for each turn, and against a lost maximum."""
    with structlog.testing.capture_logs() as lines:
        for number in range(40):
            loop.turn(5.5 if number == 25 else 2.2)
        loop.run(6.0)
    told = _list_lines(lines)
    assert len(told) <= (loop.now_s - 1000.0) / loop_delay.LOG_INTERVAL_S + 1
    assert max(line["delay_s"] for line in told) > 3.0


def test_work_of_a_timer_delays_the_others(loop):
    """Guards against a round of the leader that is not measured.

    Rounds, heartbeats and reports are calls of timers themselves.
    """

    def work():
        loop.now_s += 2.5

    loop.run(3.0)
    loop.timers.call_later(0.5, work)
    with structlog.testing.capture_logs() as lines:
        loop.run(4.0)
    (line,) = _list_lines(lines)
    assert line["delay_s"] > 1.0
