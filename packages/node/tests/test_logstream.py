"""Tests of the logstream module."""

import os

from trefoilroad_node import logstream


class _Clock:

    def __init__(self):
        self.now_s = 0.0

    def read(self):
        return self.now_s


def test_lines_over_the_limit_are_dropped_and_counted():
    """Guards against logging that starves requests of processor time."""
    reader, writer = os.pipe()
    clock = _Clock()
    stream = logstream.LogStream(descriptor=writer, read_clock=clock.read)
    for number in range(int(logstream.BURST_LINES) + 10):
        stream.write(f"{number}\n")
    assert stream.dropped == 10
    clock.now_s = 1.0
    stream.write("later\n")
    lines = os.read(reader, 1 << 16).decode().splitlines()
    assert len(lines) == logstream.BURST_LINES + 2
    assert lines[-2] == '{"event": "log lines dropped", "lines": 10}'


def test_full_pipe_does_not_block():
    """Guards against a process that blocks because nothing reads its logs."""
    _, writer = os.pipe()
    clock = _Clock()
    stream = logstream.LogStream(descriptor=writer, read_clock=clock.read)
    for _ in range(20):
        stream.write("x" * 8000 + "\n")
    assert stream.dropped > 0


def test_frequent_events_leave_lines_to_others():
    """Guards against dropped lines of job ends when many runs end."""
    _, writer = os.pipe()
    stream = logstream.LogStream(descriptor=writer,
                                 read_clock=_Clock().read,
                                 frequent_events=["run ended"])
    for _ in range(int(logstream.BURST_LINES)):
        stream.write('{"task": "1", "event": "run ended"}\n')
    assert stream.dropped == logstream.RESERVED_LINES
    stream.write('{"state": "completed", "event": "job ended"}\n')
    assert stream.dropped == 0
