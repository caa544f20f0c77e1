"""Delays between retries."""

import random


def compute_delay(*, tries: int, base_s: float, max_s: float,
                  rng: random.Random) -> float:
    """Computes an exponential backoff delay with jitter.

    Args:
        tries: Number of tries so far, from 1.
        base_s: Delay after the first try, in seconds.
        max_s: Longest delay, in seconds.
        rng: Source of the jitter.

    Returns:
        A random delay between half of the exponential delay and all of it, in
        seconds, so that many clients do not retry at the same time.
    """
    delay_s = min(max_s, base_s * 2.0**min(tries - 1, 30))
    return delay_s * rng.uniform(0.5, 1.0)
