"""A non-blocking log output with a rate limit."""

from collections.abc import Callable
from collections.abc import Sequence
import json
import os

# Rate and burst size of the token bucket. A node at its highest load decides on
# a few hundred requests per second; more lines would only cost processor time.
MAX_LINES_PER_S = 300.0
BURST_LINES = 1500.0
# Part of the burst that lines of frequent events cannot use. Without it, the
# lines for finished jobs were dropped because of those for their runs.
RESERVED_LINES = 500.0


class LogStream:
    """Writes lines to a file descriptor; drops and counts lines over the limit.

    Attributes:
        dropped: Lines dropped since the last line that was written.
    """

    def __init__(self,
                 *,
                 descriptor: int,
                 read_clock: Callable[[], float],
                 frequent_events: Sequence[str] = ()):
        """Sets the descriptor to non-blocking mode.

        Args:
            descriptor: File descriptor to write to.
            read_clock: Returns a monotonic time in seconds.
            frequent_events: Log events whose lines are dropped first.
        """
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._frequent_markers = tuple(
            f'"event": {json.dumps(event)}' for event in frequent_events)
        self._available_lines = BURST_LINES
        self._refilled_s = read_clock()

    def write(self, text: str) -> int:
        """Writes a line, or drops it if it is over the limit.

        Args:
            text: The line; a missing newline is added.

        Returns:
            Length of the text, also if it was dropped.
        """
        if text.strip():
            self._write_line(text if text.endswith("\n") else text + "\n")
        return len(text)

    def flush(self) -> None:
        """Does nothing; lines are not buffered."""

    def _write_line(self, line: str) -> None:
        now_s = self._read_clock()
        refill_lines = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._refilled_s = now_s
        self._available_lines = min(BURST_LINES,
                                    self._available_lines + refill_lines)
        is_frequent = any(marker in line for marker in self._frequent_markers)
        if self._available_lines < 1.0 + RESERVED_LINES * is_frequent:
            self.dropped += 1
            return
        self._available_lines -= 1.0
        if self.dropped:
            dropped_line = json.dumps({
                "event": "log lines dropped",
                "lines": self.dropped
            })
            line = f"{dropped_line}\n{line}"
        try:
            os.write(self._descriptor, line.encode())
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
