"""Time limits of the leader."""

from typing import NamedTuple

from trefoilroad_jobs import placement

# Failures beyond this number do not change the delay of a retry. A long-running
# task may fail without limit, and 2**1024 does not fit into a float.
MAX_RETRY_DOUBLINGS = 64
# Memory of the leader for a run.
RUN_BYTES = 1_000
# Two runs for each core of a worker.
MIN_RUNS = 128


class Limits(NamedTuple):
    """Time limits and intervals, in seconds unless the name says otherwise.

    The defaults fit workers that accept leases of up to 10 s. The platform's
    settings replace `max_lease_s`, `checkpoint_interval_s`, `retention_s`,
    `evacuation_s`, `row_bytes` and `max_job_bytes`, and limit `lease_s`.

    Attributes:
        lease_s: Lease that every leader gives to a worker. It outlasts a
            takeover (1.5 s of silence, then a second to reach all workers) but
            is short enough that the tasks of a lost worker restart soon.
        max_lease_s: Longest lease that a worker accepts.
        authority_s: A leader that cannot reach the store renews leases for at
            most this long.
        bridge_s: Such a leader gives no lease that ends later than this after
            its last confirmed transaction, the longest outage of the store
            during which runs go on.
        report_wait_ms: Longest time that a worker delays a report while no
            run ends, in milliseconds.
        max_command_timeout_s: Longest wait for the reply to a start or stop,
            and the wait while no reply time of a worker is known. Urgent work
            of 2.5 s has 1.5 s to spare.
        min_command_timeout_s: Shortest wait for such a reply. Workers reply
            within milliseconds; the rest is for a leader that is busy.
        max_report_delay_s: Longest wait for a report after the time for which
            the worker may delay it.
        min_report_delay_s: Shortest such wait.
        start_patience_s: A start without a reply is repeated for this long,
            then the run is stopped. The other tasks of a gang wait meanwhile.
        max_stop_retry_s: Longest time between two attempts to send a stop.
        probe_interval_s: Time between two calls to a silent worker.
        full_pause_s: A worker that refused a run for lack of room gets no new
            runs for this long.
        stall_s: A run without progress for this long is stopped; a long run
            only after a share of its declared run time.
        stall_pause_s: A worker on which a run stalled gets no new runs for
            this long.
        urgent_report_wait_ms: As report_wait_ms, for a worker with urgent
            work; it also bounds the age of the known progress.
        retry_base_s: Delay of the retry after the first failed run.
        retry_max_s: Longest delay of a retry.
        checkpoint_interval_s: Run time between two checkpoints.
        retention_s: How long the rows of a final job are kept.
        reclaim_patience_s: How long a unit waits at most before tasks are
            preempted for it; 0 for no wait. The users require the start of a
            guaranteed job within 2.7 s.
        reclaim_lead_s: Time from the stop of a task to the start of another
            on the freed resources: the stop, its report, a commit and the
            start.
        evacuation_s: Time after which a request to evacuate a failure domain
            must be obeyed. Nothing starts while the last reading of these
            requests is older; 0 for no limit.
        keep_images_apart: Whether images that slow each other down are placed
            on different workers where there is room. Steps without an image
            are not affected.
        row_bytes: Longest content of a row of the store, in bytes.
        max_job_bytes: Memory for accepted jobs, in bytes; the default is for
            the largest VM.
    """

    lease_s: float = 6.0
    max_lease_s: float = 10.0
    authority_s: float = 6.0
    bridge_s: float = 10.0
    report_wait_ms: int = 2000
    max_command_timeout_s: float = 0.4
    min_command_timeout_s: float = 0.1
    max_report_delay_s: float = 0.8
    min_report_delay_s: float = 0.2
    start_patience_s: float = 2.0
    max_stop_retry_s: float = 0.3
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
    evacuation_s: float = 0.0
    keep_images_apart: bool = True
    row_bytes: int = 65_536
    max_job_bytes: int = 128 << 20

    def compute_max_runs(self, workers: int) -> int:
        """Returns how many runs each of a number of workers may have.

        All of them together take at most the memory that is for jobs.
        """
        share = self.max_job_bytes // RUN_BYTES // max(1, workers)
        return min(placement.MAX_RUNS_PER_WORKER, max(MIN_RUNS, share))

    def compute_retry_delay_s(self, failures: int) -> float:
        """Returns the delay of the retry after a number of failed runs."""
        doublings = min(failures - 1, MAX_RETRY_DOUBLINGS)
        return min(self.retry_max_s, self.retry_base_s * 2**doublings)
