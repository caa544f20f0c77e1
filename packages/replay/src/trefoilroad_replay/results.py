"""What a replay records."""

from typing import NamedTuple

from trefoilroad_replay import site
from trefoilroad_replay import trace


class Result(NamedTuple):
    """What became of one request.

    Attributes:
        release: The request.
        outcome: One of request.State; "" if the replay ended before it.
        received_s: When the owner could first read it; later than the release
            if the store was down.
        started_s: First start, or None.
        end_s: When the outcome was decided, or None.
        attempts: Number of starts.
        evictions: Number of times that it was evicted.
        is_covered: Whether a gang of its team's guarantee was free when it was
            received.
        had_room: Whether it fitted beside all that ran when it was received.
        reclaimed: Whether others were evicted for it.
        is_first_guaranteed: Whether its first start was inside the guarantee.
    """

    release: trace.Release
    outcome: str
    received_s: float
    started_s: float | None
    end_s: float | None
    attempts: int
    evictions: int
    is_covered: bool
    had_room: bool
    reclaimed: bool
    is_first_guaranteed: bool


class Sample(NamedTuple):
    """State after one decision round, which lasts until the next.

    Attributes:
        at_s: Time of the round.
        free: What is free.
        used: Accelerators in use.
        pending: Requests that wait.
        running: Gangs that run.
        decision_s: Processor time that the round took, in seconds.
    """

    at_s: float
    free: site.Free
    used: int
    pending: int
    running: int
    decision_s: float


class Delivery(NamedTuple):
    """Work that counted, because it was completed or saved.

    Attributes:
        begin_s: Begin.
        end_s: End.
        accelerators: Accelerators that worked in that time.
        team: Team that it was done for.
    """

    begin_s: float
    end_s: float
    accelerators: int
    team: str


class Replay(NamedTuple):
    """The record of one replay.

    Attributes:
        trace: The trace.
        policy: Name of the policy.
        results: What became of each request, in order of release.
        samples: State after each round.
        deliveries: Work that counted.
    """

    trace: trace.Trace
    policy: str
    results: tuple[Result, ...]
    samples: tuple[Sample, ...]
    deliveries: tuple[Delivery, ...]
