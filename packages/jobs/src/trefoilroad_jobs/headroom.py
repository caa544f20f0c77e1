"""Keeps workers free for urgent work that is expected soon.

Without headroom, bulk work fills the fleet, and each gang of a steady stream
of short urgent gangs preempts bulk tasks that have just started. These start
again and are preempted by the next gang.
"""

from collections.abc import Sequence
import math

from trefoilroad_jobs import placement

# Arrivals in this window are counted. A window longer than the usual burst
# would react too late to it.
ARRIVAL_WINDOW_S = 8.0
# The rate of the first arrivals is computed over at least this time, so that a
# single arrival does not count as a steady stream.
MIN_ARRIVAL_WINDOW_S = 2.0
# Standard deviations above the expected use that the headroom covers.
HEADROOM_DEVIATIONS = 1.0
# Largest share of the accelerators that is kept as headroom. Nothing is kept
# while more than the other share is free: a job may not wait while half of the
# fleet is idle.
MAX_HEADROOM_SHARE = 0.5


class HeadroomEstimator:
    """Estimates how many accelerators urgent work uses at the same time."""

    def __init__(self) -> None:
        self._arrivals: list[tuple[float, float, float]] = []
        self._first_arrival_s = float("inf")

    def record_arrival(self, at_s: float, accelerators: float,
                       run_s: float) -> None:
        """Records the arrival of an urgent job.

        Args:
            at_s: When it was accepted, in seconds.
            accelerators: Number of accelerators that it uses at the same time.
            run_s: Expected run time in seconds.
        """
        self._first_arrival_s = min(self._first_arrival_s, at_s)
        self._arrivals.append((at_s, accelerators, run_s))

    def estimate(self, now_s: float) -> float:
        """Returns the number of accelerators to keep for urgent work.

        Accelerators that urgent work uses now are included. For independent
        arrivals, the number in use has the mean
        rate x accelerators x run time and the variance
        rate x accelerators squared x run time.
        """
        # A new leader reads the jobs of earlier leaders in no order of time, so
        # every arrival is checked.
        self._arrivals = [
            arrival for arrival in self._arrivals
            if arrival[0] >= now_s - ARRIVAL_WINDOW_S
        ]
        window_s = min(ARRIVAL_WINDOW_S,
                       max(MIN_ARRIVAL_WINDOW_S, now_s - self._first_arrival_s))
        mean = sum(accelerators * run_s
                   for _, accelerators, run_s in self._arrivals) / window_s
        variance = sum(accelerators * accelerators * run_s
                       for _, accelerators, run_s in self._arrivals) / window_s
        return mean + HEADROOM_DEVIATIONS * math.sqrt(variance)


def choose_workers(
    candidates: Sequence[placement.Candidate],
    accelerators: float,
    withheld: Sequence[placement.Candidate] = ()
) -> frozenset[str]:
    """Chooses the workers that are kept for urgent work.

    Workers are taken rack by rack and always in the same order: urgent gangs
    often need whole workers of one rack, and these become free where only
    short work runs. Slow workers are taken last, as urgent work has little time
    to spare.

    Args:
        candidates: Workers that may be used.
        accelerators: Number of accelerators to keep.
        withheld: Further workers of the service, which count as part of it.

    Returns:
        Ids of the workers.
    """
    service = [*candidates, *withheld]
    total = sum(candidate.capacity.accelerators for candidate in service)
    free = sum(max(0, candidate.room.accelerators) for candidate in service)
    if free > (1.0 - MAX_HEADROOM_SHARE) * total:
        return frozenset()
    capacity = sum(candidate.capacity.accelerators for candidate in candidates)
    chosen = []
    left = min(accelerators, MAX_HEADROOM_SHARE * capacity)
    for candidate in sorted(
            candidates,
            key=lambda candidate:
        (max(0, candidate.speed_class), candidate.rack, candidate.worker_id)):
        if left <= 0:
            break
        chosen.append(candidate.worker_id)
        left -= candidate.capacity.accelerators
    return frozenset(chosen)


def exclude_headroom(
        request: placement.PlacementRequest,
        candidates: Sequence[placement.Candidate],
        headroom_workers: frozenset[str]) -> list[placement.Candidate]:
    """Returns the workers that a bulk unit may use.

    A unit that is restricted to certain workers, or that does not fit on the
    other workers even when they are idle, may use the headroom workers too.
    """
    others = [
        candidate for candidate in candidates
        if candidate.worker_id not in headroom_workers
    ]
    is_restricted = request.step.label or request.step.data_rack
    if is_restricted or not placement.fits_when_idle(request, others):
        return list(candidates)
    return others
