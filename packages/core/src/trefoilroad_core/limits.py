"""Time limits and budgets of the owner."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Time limits in seconds and retry budgets.

    A guard is the corresponding time on the worker plus a margin for clocks
    that run at different speeds: a lease that expires after `lease_s` of the
    worker's clock has certainly expired after `lease_guard_s` of the owner's.

    Attributes:
        command_timeout_s: Time after which a command counts as lost.
        stop_timeout_s: The same for a stop, which may write a checkpoint.
        reserve_ttl_s: Lifetime of a reservation on the worker.
        reserve_guard_s: Time after which a reservation has certainly expired.
        claim_timeout_s: Time to wait for a claim before the reservations are
            released.
        start_timeout_s: Time in which all members must acknowledge the start.
        lease_s: Time that a task runs on the worker without a renewal.
        lease_guard_s: Time after which a task has certainly been stopped.
        sync_interval_s: Shortest time between two syncs of a worker, unless
            leases or a recent start require a sync earlier.
        sync_age_share: Fraction of a task's age that is the time between two
            syncs, if longer than `sync_interval_s`.
        first_sync_s: Time from a start to the first sync.
        sync_rate: Most syncs a second over all workers, unless leases or
            recent starts require more.
        sync_burst: Most syncs started at once.
        max_silence_s: Time without a reply after which a worker gets no new
            tasks.
        max_vm_list_age_s: Age of the VM list beyond which nothing is started,
            as it may not show workers that are leaving.
        unlisted_grace_s: Time for which a worker that has left the VM list
            still counts when deciding whether a shape can ever fit. A lost
            rack or failure domain is restored or replaced within that time.
        round_interval_s: Longest time between two scheduling rounds.
        retry_base_s: First delay before a retry; doubles each time, with
            jitter.
        retry_max_s: Longest delay before a retry.
        failed_retry_s: Additional delay for each failed attempt of a request.
        max_tries: Failed attempts after which a request fails.
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
    max_silence_s: float = 5.0
    max_vm_list_age_s: float = 3.0
    unlisted_grace_s: float = 3600.0
    round_interval_s: float = 1.0
    retry_base_s: float = 0.25
    retry_max_s: float = 8.0
    failed_retry_s: float = 2.0
    max_tries: int = 3
