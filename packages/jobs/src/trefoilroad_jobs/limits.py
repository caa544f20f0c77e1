"""Time limits of the leader."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Time limits and intervals, in seconds unless the name says otherwise.

    The defaults hold for workers with a longest lease of 10 s; `lease_s` and
    `max_lease_s` come from the platform's settings where it has any.

    Attributes:
        lease_s: Lease that every leader gives to a worker. Long enough for a
            takeover (1.5 s of silence, then a second to reach all workers),
            short enough that work of a lost worker starts again soon.
        max_lease_s: Longest lease that a worker accepts.
        authority_s: A leader that cannot reach the store renews leases for at
            most this long; with the lease that bridges outages of 10 s.
        report_wait_ms: Longest wait of a worker for an end before it reports,
            in milliseconds.
        start_timeout_s: Wait for the answer to a start or stop. Workers
            answer within milliseconds, and urgent work of 2.5 s has 1.5 s to
            spare.
        start_tries: Sends of one start before it is stopped.
        stop_retry_s: Time between two sends of a stop.
        probe_interval_s: Time between two calls to a silent worker.
        full_pause_s: Nothing new for a worker this long after it had no room.
        stall_s: A run whose progress stands still for this long is stopped;
            a long one only after a share of its declared time.
        stall_pause_s: Nothing new for a worker this long after a run stood
            still there.
        urgent_report_wait_ms: Longest wait of a worker with urgent work
            before it reports, in milliseconds; progress is seen as often.
        retry_base_s: First delay after a failed run.
        retry_max_s: Longest delay after a failed run.
        checkpoint_interval_s: Work between two checkpoints.
        retention_s: A final job is kept this long.
        reclaim_patience_s: A guaranteed job waits at most this long before
            others are stopped for it; the users' bound for its start is 2.7 s.
        reclaim_lead_s: Time from a stop to the start in the freed room: the
            stop, its report, a commit and the start.
    """

    lease_s: float = 6.0
    max_lease_s: float = 10.0
    authority_s: float = 6.0
    report_wait_ms: int = 2000
    start_timeout_s: float = 0.4
    start_tries: int = 3
    stop_retry_s: float = 0.5
    probe_interval_s: float = 0.5
    full_pause_s: float = 0.3
    stall_s: float = 1.5
    stall_pause_s: float = 3.0
    urgent_report_wait_ms: int = 700
    retry_base_s: float = 0.2
    retry_max_s: float = 2.0
    checkpoint_interval_s: float = 1.0
    retention_s: float = 150.0
    reclaim_patience_s: float = 0.0
    reclaim_lead_s: float = 0.4
