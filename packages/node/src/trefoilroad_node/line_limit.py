"""Bounds the number of log lines of one kind."""


class LineLimit:
    """Admits some lines in each interval and counts the others."""

    def __init__(self, *, max_lines: int, interval_s: float = 1.0):
        """Creates a limit that has admitted nothing yet.

        Args:
            max_lines: Lines admitted in an interval.
            interval_s: Length of an interval in seconds.
        """
        self._max_lines = max_lines
        self._interval_s = interval_s
        self._interval_start_s = float("-inf")
        self._lines = 0
        self._left_out = 0

    def admit(self, now_s: float) -> int | None:
        """Asks for a line.

        Args:
            now_s: Current time in seconds.

        Returns:
            None if the line is to be left out, else the number of lines left
            out since the last one that was admitted.
        """
        if now_s - self._interval_start_s >= self._interval_s:
            self._interval_start_s = now_s
            self._lines = 0
        if self._lines >= self._max_lines:
            self._left_out += 1
            return None
        self._lines += 1
        left_out, self._left_out = self._left_out, 0
        return left_out
