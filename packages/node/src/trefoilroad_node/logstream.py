"""A log output that is bounded and never blocks."""

from collections.abc import Callable
from collections.abc import Sequence
import json
import os

# Lines a second on average, and at once. A node at its worst load decides on
# some hundred requests a second; more lines would only cost processor time.
LINES_PER_S = 300.0
BURST_LINES = 1500.0
# Lines at once that frequent events leave to all others. Without them the ends
# of jobs were lost among the ends of their runs.
RESERVED_LINES = 500.0


class LogStream:
    """Writes lines to a descriptor; drops and counts what does not fit.

    Attributes:
        dropped: Lines dropped since the last line that was written.
    """

    def __init__(self,
                 *,
                 descriptor: int,
                 read_clock: Callable[[], float],
                 frequent_events: Sequence[str] = ()):
        """Takes over the descriptor.

        Args:
            descriptor: File descriptor, made non-blocking.
            read_clock: Returns a steady time in seconds.
            frequent_events: Events whose lines are dropped first.
        """
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._frequent = tuple(
            f'"event": {json.dumps(event)}' for event in frequent_events)
        self._allowance = BURST_LINES
        self._filled_s = read_clock()

    def write(self, text: str) -> int:
        """Writes a line with its line end, or drops it."""
        if text.strip():
            self._write_line(text if text.endswith("\n") else text + "\n")
        return len(text)

    def flush(self) -> None:
        """Does nothing; lines are never held back."""

    def _write_line(self, line: str) -> None:
        now_s = self._read_clock()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._filled_s = now_s
        self._allowance = min(BURST_LINES, self._allowance + gained)
        frequent = any(mark in line for mark in self._frequent)
        if self._allowance < 1.0 + RESERVED_LINES * frequent:
            self.dropped += 1
            return
        self._allowance -= 1.0
        if self.dropped:
            note = json.dumps({
                "event": "log lines dropped",
                "lines": self.dropped
            })
            line = f"{note}\n{line}"
        try:
            os.write(self._descriptor, line.encode())
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
