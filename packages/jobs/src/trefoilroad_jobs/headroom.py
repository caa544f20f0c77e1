"""Keeps room free for urgent work that will come soon.

Answers a steady stream of short urgent gangs over bulk work that would fill
the fleet: without free room each gang stops bulk tasks that have just begun,
and these begin again, to be stopped by the next one.
"""

from collections.abc import Sequence
import math

from trefoilroad_jobs import placement

# Arrivals of this long are observed, in seconds; longer than the usual burst
# would react too late to it.
WINDOW_S = 8.0
# The first arrivals are spread over at least this long, in seconds.
MIN_WINDOW_S = 2.0
# Room for so many standard deviations above the mean use is kept.
DEVIATIONS = 1.0
# At most this share of the accelerators is kept, and nothing while more than
# the rest is free: a job may not wait while half of the fleet is idle.
MAX_SHARE = 0.5


class Headroom:
    """Estimates the accelerators that urgent work will use at the same time."""

    def __init__(self) -> None:
        self._arrivals: list[tuple[float, float, float]] = []
        self._begun_s = float("inf")

    def note_arrival(self, at_s: float, accelerators: float,
                     run_s: float) -> None:
        """Takes an urgent job.

        Args:
            at_s: When it was accepted.
            accelerators: Accelerators that it uses at the same time.
            run_s: Expected run time in seconds.
        """
        self._begun_s = min(self._begun_s, at_s)
        self._arrivals.append((at_s, accelerators, run_s))

    def estimate(self, now_s: float) -> float:
        """Returns the accelerators to keep for urgent work, used ones included.

        The use of arrivals that are independent of each other has the mean
        of rate x use x run time, and the variance of rate x use squared x run
        time.
        """
        # A new leader takes the jobs of its predecessor in no order.
        self._arrivals = [
            item for item in self._arrivals if item[0] >= now_s - WINDOW_S
        ]
        window_s = min(WINDOW_S, max(MIN_WINDOW_S, now_s - self._begun_s))
        mean = sum(use * run_s for _, use, run_s in self._arrivals) / window_s
        variance = sum(
            use * use * run_s for _, use, run_s in self._arrivals) / window_s
        return mean + DEVIATIONS * math.sqrt(variance)


def choose_workers(slots: Sequence[placement.Slot],
                   accelerators: float) -> frozenset[str]:
    """Chooses the workers that are kept for urgent work.

    Whole racks, always in the same order: urgent gangs often need whole
    workers of one rack, and where only short work runs these become free.

    Args:
        slots: Workers that may be used.
        accelerators: Accelerators that are wanted.

    Returns:
        Ids of the workers.
    """
    capacity = sum(slot.capacity.accelerators for slot in slots)
    free = sum(max(0, slot.room.accelerators) for slot in slots)
    if free > (1.0 - MAX_SHARE) * capacity:
        return frozenset()
    chosen = []
    left = min(accelerators, MAX_SHARE * capacity)
    for slot in sorted(slots, key=lambda slot: (slot.rack, slot.worker_id)):
        if left <= 0:
            break
        chosen.append(slot.worker_id)
        left -= slot.capacity.accelerators
    return frozenset(chosen)


def exclude_kept(wish: placement.Wish, slots: Sequence[placement.Slot],
                 kept: frozenset[str]) -> list[placement.Slot]:
    """Returns the workers that a bulk unit may use.

    A unit that is tied to certain workers, or that the others could not even
    hold when idle, may use kept workers too.
    """
    others = [slot for slot in slots if slot.worker_id not in kept]
    tied = wish.step.label or wish.step.data_rack
    if tied or not placement.could_fit(wish, others):
        return list(slots)
    return others
