"""Records of a replay: results of requests, samples and deliveries."""

from typing import NamedTuple

from trefoilroad_replay import fleetstate
from trefoilroad_replay import trace


class Result(NamedTuple):
    """Result of one request.

    Attributes:
        trace_request: The request.
        outcome: One of request.State; "" if the replay ended before it.
        received_s: Time at which the scheduler received it; later than the
            submission if the store was down.
        started_s: Time of its first start, or None.
        end_s: Time of its outcome, or None.
        attempts: Number of starts.
        evictions: Number of times that it was evicted.
        had_free_guarantee: Whether a guaranteed gang of its team was unused
            when it was received.
        had_room: Whether it fitted beside all running gangs when it was
            received.
        reclaimed: Whether other gangs were evicted for it.
        started_guaranteed: Whether its first start was inside the guarantee.
    """

    trace_request: trace.TraceRequest
    outcome: str
    received_s: float
    started_s: float | None
    end_s: float | None
    attempts: int
    evictions: int
    had_free_guarantee: bool
    had_room: bool
    reclaimed: bool
    started_guaranteed: bool


class Sample(NamedTuple):
    """State of the fleet from one decision round to the next.

    Attributes:
        at_s: Time of the round.
        free: Free accelerators.
        used_accelerators: Number of accelerators in use.
        pending: Number of waiting requests.
        running: Number of running gangs.
        decision_s: Processor time that the round took, in seconds.
    """

    at_s: float
    free: fleetstate.FreeAccelerators
    used_accelerators: int
    pending: int
    running: int
    decision_s: float


class Delivery(NamedTuple):
    """Run of a gang that counts as use, as it completed or made a checkpoint.

    Attributes:
        begin_s: Start of the run.
        end_s: End of the run, or start of the checkpoint.
        accelerators: Number of accelerators of the gang.
        team: Team of the gang.
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
        results: Result of each request, in order of submission.
        samples: State of the fleet after each round.
        deliveries: Runs that count as use.
    """

    trace: trace.Trace
    policy: str
    results: tuple[Result, ...]
    samples: tuple[Sample, ...]
    deliveries: tuple[Delivery, ...]
