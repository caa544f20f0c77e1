"""Limits on retries: jittered backoff and a budget."""

from collections.abc import Callable
import random

BASE_S = 0.1
CAP_S = 5.0

# A client whose calls all fail sends at most 1.2 times its calls once the
# reserve is used up, so that retries cannot keep an overload alive.
RESERVE = 20.0
RETRIES_PER_CALL = 0.2


class Budget:
    """Limits the retries of all calls of one client."""

    def __init__(self, *, reserve: float = RESERVE):
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Counts a new call, which earns a part of a retry."""
        self._tokens = min(self._tokens + RETRIES_PER_CALL, self._reserve)

    def withdraw(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Delays of one call, with full jitter."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._ceiling_s = BASE_S

    def next_delay(self, least_s: float = 0.0) -> float:
        """Draws the delay before the next try.

        Args:
            least_s: Shortest delay that the node asked for, in seconds.

        Returns:
            The delay in seconds.
        """
        delay_s = self._rng.uniform(0.0, self._ceiling_s)
        self._ceiling_s = min(self._ceiling_s * 2.0, CAP_S)
        return least_s + delay_s


class Deadline:
    """The time limit of one call, on a monotonic clock."""

    def __init__(self, *, clock: Callable[[], float], limit_s: float):
        self._clock = clock
        self._end_s = clock() + limit_s

    @property
    def left_s(self) -> float:
        """Time left in seconds, 0 once it is over."""
        return max(self._end_s - self._clock(), 0.0)
