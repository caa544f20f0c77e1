"""Input and output of a decision round."""

from typing import NamedTuple

from trefoilroad_core import contract
from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import request


class Pending(NamedTuple):
    """A request that waits to be started.

    Attributes:
        request_id: Identifier of the request.
        team: Team that submitted it.
        caller: Caller inside the team.
        template: Name of its template.
        shape: Resources of its gang.
        priority: 0 (most urgent) to 9.
        received_s: When it was received, in seconds.
        expires_s: When it expires unless started, in seconds.
        idempotent: Whether it may run more than once.
        checkpoint: Whether its tasks can be checkpointed and resumed.
        declared_s: Declared run time in seconds.
        attempt: Number of the latest attempt, 0 before the first.
        avoid: Workers on which it failed before; others are preferred.
    """

    request_id: str
    team: str
    caller: str
    template: str
    shape: request.Shape
    priority: int
    received_s: float
    expires_s: float
    idempotent: bool
    checkpoint: bool
    declared_s: float
    attempt: int = 0
    avoid: frozenset[str] = frozenset()


class Running(NamedTuple):
    """A gang that is being started or runs.

    Attributes:
        request_id: Identifier of the request.
        attempt_id: Identifier of the attempt.
        team: Team that submitted it.
        caller: Caller inside the team.
        template: Name of its template.
        shape: Resources of the gang.
        placement: Worker of each task.
        started_s: When its start was decided, in seconds.
        guaranteed: Whether it is inside its team's guarantee.
        evictable: Whether it may be evicted.
        priority: 0 (most urgent) to 9.
        declared_s: Declared run time in seconds; if None, that of the template
            is used.
    """

    request_id: str
    attempt_id: str
    team: str
    caller: str
    template: str
    shape: request.Shape
    placement: tuple[str, ...]
    started_s: float
    guaranteed: bool
    evictable: bool
    priority: int
    declared_s: float | None = None


class Snapshot(NamedTuple):
    """Everything that one decision round reads.

    Attributes:
        now_s: Current time on a monotonic clock, in seconds.
        fleet: All workers of the region.
        pending: Requests that wait.
        running: Gangs that are being started or run.
        configuration: The contracts in force.
        excluded: Workers that get no new tasks because they are leaving,
            unreachable, drained or quarantined.
        probation: Workers that get at most one task, to test whether tasks
            still fail on them. No guarantee relies on them.
    """

    now_s: float
    fleet: fleet_module.Fleet
    pending: tuple[Pending, ...]
    running: tuple[Running, ...]
    configuration: contract.Configuration
    excluded: frozenset[str] = frozenset()
    probation: frozenset[str] = frozenset()


class Start(NamedTuple):
    """A gang to start.

    Attributes:
        request_id: Identifier of the request.
        placement: Worker of each task.
        guaranteed: Whether it is inside its team's guarantee.
    """

    request_id: str
    placement: tuple[str, ...]
    guaranteed: bool


class Eviction(NamedTuple):
    """A gang to evict: to checkpoint, if possible, and stop.

    Attributes:
        attempt_id: Identifier of the attempt to stop.
        for_request: Request that gets the capacity.
    """

    attempt_id: str
    for_request: str


class Refusal(NamedTuple):
    """A request that can never start.

    Attributes:
        request_id: Identifier of the request.
        reason: Explanation for the caller.
    """

    request_id: str
    reason: str


class Expiration(NamedTuple):
    """A request that has waited longer than its limit.

    Attributes:
        request_id: Identifier of the request.
    """

    request_id: str


class Decisions(NamedTuple):
    """The result of one decision round."""

    starts: tuple[Start, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    expirations: tuple[Expiration, ...] = ()
