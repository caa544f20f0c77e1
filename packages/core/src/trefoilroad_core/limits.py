"""Time limits and budgets of the owner."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Time limits in seconds and retry budgets.

    A guard is the matching time on the worker plus the room for clocks that
    run at different speeds: what the worker ends after `lease_s` of its own
    clock has certainly ended after `lease_guard_s` of the owner's clock.

    Attributes:
        command_timeout_s: Time after which a command counts as lost.
        stop_timeout_s: The same for a stop, which may write a checkpoint.
        reserve_ttl_s: Life of a reservation on the worker.
        reserve_guard_s: Time after which a reservation has certainly lapsed.
        claim_timeout_s: Time to wait for a claim before reservations are
            given back.
        start_timeout_s: Time in which all members must acknowledge the start.
        lease_s: Life of a task on the worker without renewal.
        lease_guard_s: Time after which a task has certainly been stopped.
        sync_interval_s: Shortest time between two syncs of a worker.
        sync_age_share: Part of a task's run time after which it is looked at
            again, if that is longer.
        first_sync_s: Time from a start to the first sync.
        sync_rate: Most syncs a second over all workers.
        sync_burst: Most syncs begun at one moment.
        suspect_s: Silence after which a worker gets no new work.
        list_age_s: Age of the VM list from which nothing is started, since
            workers could be leaving unnoticed.
        unlisted_s: Time for which a worker that has left the VM list still
            counts as part of the fleet that a shape could fit; a lost rack
            or failure domain comes back or is replaced in that time.
        round_interval_s: Longest time between two scheduling rounds.
        retry_s: First delay before a repeat; doubles, with jitter.
        max_retry_s: Longest delay before a repeat.
        failed_retry_s: Further delay for each failed try of a request.
        max_tries: Attempts before a request that keeps failing is failed.
    """

    command_timeout_s: float = 1.0
    stop_timeout_s: float = 3.0
    reserve_ttl_s: float = 5.0
    reserve_guard_s: float = 7.0
    claim_timeout_s: float = 4.0
    start_timeout_s: float = 1.0
    lease_s: float = 10.0
    lease_guard_s: float = 12.0
    sync_interval_s: float = 1.0
    sync_age_share: float = 0.1
    first_sync_s: float = 0.25
    sync_rate: float = 150.0
    sync_burst: int = 12
    suspect_s: float = 5.0
    list_age_s: float = 3.0
    unlisted_s: float = 3600.0
    round_interval_s: float = 1.0
    retry_s: float = 0.25
    max_retry_s: float = 8.0
    failed_retry_s: float = 2.0
    max_tries: int = 3
