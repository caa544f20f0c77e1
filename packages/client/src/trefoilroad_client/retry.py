"""Retry policy: jittered exponential backoff, retry budget and deadline."""

from collections.abc import Callable
import random

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0

# Once the budget is used up, a client whose calls all fail sends at most 1.2
# tries for each call, so that retries cannot sustain an overload.
BUDGET_CAPACITY_RETRIES = 20.0
BUDGET_RETRIES_PER_CALL = 0.2


class Budget:
    """Token bucket that limits the retries of all calls of one client."""

    def __init__(self, *, capacity: float = BUDGET_CAPACITY_RETRIES):
        self._capacity = capacity
        self._tokens = capacity

    def deposit(self) -> None:
        """Adds the fraction of a retry that each new call allows."""
        self._tokens = min(self._tokens + BUDGET_RETRIES_PER_CALL,
                           self._capacity)

    def withdraw(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Exponential backoff with full jitter between the tries of one call."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._max_delay_s = INITIAL_BACKOFF_S

    def next_delay(self, min_delay_s: float = 0.0) -> float:
        """Draws the delay before the next try.

        Args:
            min_delay_s: Delay that the node asked for in Retry-After, in
                seconds; the backoff is added to it.

        Returns:
            The delay in seconds.
        """
        delay_s = self._rng.uniform(0.0, self._max_delay_s)
        self._max_delay_s = min(self._max_delay_s * 2.0, MAX_BACKOFF_S)
        return min_delay_s + delay_s


class Deadline:
    """Time limit of one call, measured on a monotonic clock."""

    def __init__(self, *, clock: Callable[[], float], limit_s: float):
        self._clock = clock
        self._end_s = clock() + limit_s

    @property
    def remaining_s(self) -> float:
        """Time left in seconds, 0 after the deadline."""
        return max(self._end_s - self._clock(), 0.0)
