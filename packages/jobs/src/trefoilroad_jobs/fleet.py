"""The leader's view of the workers: leases, restarts and failures."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload

NO_DEMAND = workload.Demand(0, 0, 0)
# How long a worker on which runs fail gets no new runs. The users' workers that
# fail all runs do so for about six seconds.
SUSPICION_S = 5.0
# If more than one in this many workers is suspected, the cause is more likely
# outside the workers, and all are used.
WORKERS_PER_SUSPECT = 4
# A retry avoids workers with a failure within this time.
FAILURE_MEMORY_S = 10.0
# A run that fails within this time of its start points to a bad worker.
MAX_FAST_FAILURE_S = 0.5
# Largest share by which the steady clock of a worker may be slow.
MAX_CLOCK_DRIFT = 0.02
# Added to a computed end of a lease, for the resolution of clocks.
LEASE_SLACK_S = 0.1
# A reading of a worker's clock that is older than this is replaced before it is
# needed: each second of age takes 20 ms off the next lease.
MAX_CLOCK_AGE_S = 60.0
# Weights of a new sample and width of the timeout, from RFC 6298.
REPLY_MEAN_SMOOTHING = 1 / 8
REPLY_DEVIATION_SMOOTHING = 1 / 4
REPLY_TIMEOUT_DEVIATIONS = 4
# Lost replies in a row after which the timeout doubles. A single one is more
# often lost than late.
LOSSES_PER_DOUBLING = 2
# Number of lost replies in a row after which the timeout doubles no further.
MAX_COUNTED_LOSSES = 16
# Number of lost replies in a row after which a worker counts as silent.
LOSSES_OF_SILENT_WORKER = 2
# A worker that has been silent for longer is not expected to answer soon.
MAX_REST_S = 0.6
# A worker process that is older than this when a leader first reads its clock
# holds no lease that was meant for the process before it. The time covers the
# longest lease and some lost replies, after which a restart is noticed.
MIN_NOTICED_AGE_MS = 15_000.0
# A clock that is further behind than this belongs to a restarted worker.
BOOT_CLOCK_SLACK_MS = 200.0


def compute_lease_duration_s(lease_s: float) -> float:
    """Returns how long a lease may last on the leader's clock.

    Args:
        lease_s: Length of the lease on the worker's clock, in seconds.
    """
    return lease_s / (1 - MAX_CLOCK_DRIFT) + LEASE_SLACK_S


class ReplyTime:
    """Mean and deviation of the reply times of a worker.

    The timeout follows from them as that of a retransmission in RFC 6298. It
    doubles with each lost reply until the next reply: otherwise a leader that
    is busy for longer than the timeout would never see a reply in time.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._known = False
        self._losses = 0

    @property
    def is_missing(self) -> bool:
        """Whether the last call got no reply."""
        return self._losses > 0

    def record_loss(self) -> int:
        """Records that there was no reply within the timeout.

        Returns:
            Number of lost replies in a row.
        """
        self._losses = min(self._losses + 1, MAX_COUNTED_LOSSES)
        return self._losses

    def record_reply(self) -> None:
        """Records a reply whose time says nothing, as it may be delayed."""
        self._losses = 0

    def record(self, reply_s: float) -> None:
        """Records the reply time of a command, in seconds."""
        self._losses = 0
        if not self._known:
            self._known = True
            self._mean_s = reply_s
            self._deviation_s = reply_s / 2
            return
        self._deviation_s += REPLY_DEVIATION_SMOOTHING * (
            abs(reply_s - self._mean_s) - self._deviation_s)
        self._mean_s += REPLY_MEAN_SMOOTHING * (reply_s - self._mean_s)

    def compute_timeout_s(self, min_s: float, max_s: float) -> float:
        """Returns how long to wait for a reply.

        Args:
            min_s: Shortest timeout, in seconds.
            max_s: Longest timeout, also used before the first reply.
        """
        if not self._known:
            return max_s
        timeout_s = self._mean_s + REPLY_TIMEOUT_DEVIATIONS * self._deviation_s
        doublings = self._losses // LOSSES_PER_DOUBLING
        return min(max_s, max(min_s, timeout_s) * 2**doublings)


class TrackedWorker:
    """A worker and the runs that may be alive on it.

    Attributes:
        worker: The worker as it registered itself.
        registered: Whether its registration exists.
        claims: Runs that may be alive there, by task; changed only by
            `add_claim` and `remove_claim`.
        occupied: Resources that these runs use.
        boot_ms: Process start of the worker that answered last, in Unix
            milliseconds; 0 before the first answer.
        contacted: Whether it has answered this leader since that start.
        maybe_restarted: Whether it may have restarted unnoticed. End numbers
            begin anew with each start, so an acknowledgement for the old
            process would acknowledge ends of the new one.
        asked_in_doubt: Whether a report has been requested since that doubt
            arose last. An earlier report may be that of the old process.
        clock_ms: Its steady clock at the last answer, in milliseconds.
        clock_s: Time of that answer on the leader's clock.
        clock_known: Whether its clock has been read.
        lease_end_ms: Latest end of a lease that this leader has sent, on the
            worker's clock.
        sent_leases_end_s: Time at which the leases that this leader has sent
            have expired, whichever process of the worker got them.
        recorded_end: Highest number of an end that is recorded durably.
        processed_end: Highest number of an end that has been processed.
        listed_end: Lowest number of an end in the last report, 0 if it listed
            none.
        unrecorded_ends: Jobs of processed ends that may not be recorded yet, by
            number of the end.
        silent_since_s: Time since which it has not answered, or infinity.
        polling: Whether a report has been requested and is outstanding.
        next_poll_s: When the next report is requested.
        paused_until_s: It gets no new runs before this time, as it refused a
            start for lack of room or for another reason, or a start could not
            be sent.
        suspect_until_s: It gets no new runs before this time, as runs fail or
            stall there, unless many workers are suspected.
        failures: Job id and time of its recent failures.
        reply_time: How long it takes to reply to commands.
        last_loss_s: When a call last got no reply.
        longest_lease_end_s: When the longest lease has ended, if the worker
            restarted unnoticed and may have got one on its new clock.
        lapse_s: When its leases have ended as written in the store, or infinity
            if nothing is written. No lease is given while it is written.
        lapse_removed: Whether the removal of that row is being written.
    """

    def __init__(self, *, worker: ports.Worker):
        self.worker = worker
        self.registered = True
        self.claims: dict[progress.TaskKey, progress.Claim] = {}
        self.occupied = NO_DEMAND
        self.boot_ms = 0
        self.contacted = False
        self.maybe_restarted = True
        self.asked_in_doubt = False
        self.clock_ms = 0.0
        self.clock_s = 0.0
        self.clock_known = False
        self.lease_end_ms = 0
        self.sent_leases_end_s = float("-inf")
        self.recorded_end = 0
        self.processed_end = 0
        self.listed_end = 0
        self.unrecorded_ends: dict[int, str] = {}
        self.silent_since_s = float("inf")
        self.polling = False
        self.next_poll_s = float("-inf")
        self.paused_until_s = float("-inf")
        self.suspect_until_s = float("-inf")
        self.failures: list[tuple[str, float]] = []
        self.reply_time = ReplyTime()
        self.last_loss_s = float("-inf")
        self.longest_lease_end_s = float("-inf")
        self.lapse_s = float("inf")
        self.lapse_removed = False

    @property
    def may_get_lease(self) -> bool:
        """Whether a lease may be given, by a start or a renewal."""
        return self.lapse_s == float("inf")

    def add_claim(self, claim: progress.Claim) -> None:
        """Adds a run; it replaces an earlier one of the same task."""
        self.remove_claim(self.claims.get(claim.key))
        self.claims[claim.key] = claim
        self.occupied = self.occupied.plus(claim.demand)

    def list_images(self) -> frozenset[str]:
        """Returns the images of its runs."""
        return frozenset(
            [claim.image for claim in self.claims.values() if claim.image])

    def remove_claim(self, claim: progress.Claim | None) -> None:
        """Removes a run, unless another one of its task has replaced it."""
        if claim is not None and self.claims.get(claim.key) is claim:
            del self.claims[claim.key]
            self.occupied = self.occupied.minus(claim.demand)

    def update_clock(self, clock_ms: float, now_s: float,
                     max_lease_s: float) -> None:
        """Records a reading of the worker's clock.

        A clock that is behind what even a slow clock would show belongs to a
        restarted worker. The lease end recorded for the old clock is then
        replaced by that of the longest possible lease on the new clock. A
        process that is young at the first reading may hold such a lease of the
        leader before.

        Args:
            clock_ms: The worker's steady clock in milliseconds.
            now_s: Current time on the leader's clock.
            max_lease_s: Longest lease that a worker accepts, in seconds.
        """
        expected_ms = self._compute_earliest_clock_ms(now_s)
        longest_ms = int(clock_ms + max_lease_s * 1000.0)
        if not self.clock_known:
            self.clock_known = True
            if clock_ms < MIN_NOTICED_AGE_MS:
                self.lease_end_ms = longest_ms
        elif self.contacted and clock_ms < expected_ms - BOOT_CLOCK_SLACK_MS:
            self.record_doubt()
            self.longest_lease_end_s = now_s + compute_lease_duration_s(
                max_lease_s)
            if clock_ms >= self.clock_ms:
                longest_ms = max(longest_ms, self.lease_end_ms)
            self.lease_end_ms = longest_ms
        self.clock_ms = clock_ms
        self.clock_s = now_s
        self.silent_since_s = float("inf")

    def record_doubt(self) -> None:
        """Records that the worker may have restarted."""
        self.maybe_restarted = True
        self.asked_in_doubt = False

    def record_loss(self, now_s: float) -> None:
        """Records that a call got no reply within its timeout.

        After a single lost reply the worker still gets new runs: if it has
        failed, the next reply is lost too.
        """
        self.record_doubt()
        self.last_loss_s = now_s
        if self.reply_time.record_loss() >= LOSSES_OF_SILENT_WORKER:
            self.record_silence(now_s)

    def record_silence(self, now_s: float) -> None:
        """Records that a call got no answer."""
        self.record_doubt()
        if self.silent_since_s == float("inf"):
            self.silent_since_s = now_s

    def is_resting(self, now_s: float) -> bool:
        """Returns whether it gets no runs for a moment only.

        It has refused a run, or its replies have been missing for a short time.
        """
        silent_s = now_s - self.silent_since_s
        return (self.registered and not self.worker.draining and
                (0.0 <= silent_s < MAX_REST_S or self.paused_until_s > now_s))

    def compute_lease_ms(self, lease_s: float, now_s: float,
                         max_lease_s: float) -> int:
        """Returns the end of a new lease on the worker's clock.

        The end counts from the earliest time that the worker's clock can show.
        The lease is then never longer than `lease_s`, however old the last
        reading of the clock is, and later leaders can rely on that.

        Args:
            lease_s: Length of the lease in seconds.
            now_s: Current time on the leader's clock.
            max_lease_s: Longest lease that a worker accepts, in seconds.
        """
        # A worker that has restarted takes the end for one on its new clock and
        # shortens the lease to the longest one.
        self.sent_leases_end_s = now_s + compute_lease_duration_s(max_lease_s)
        until_ms = int(
            self._compute_earliest_clock_ms(now_s) + lease_s * 1000.0)
        # A worker that restarted unnoticed may hold a longer lease.
        self.lease_end_ms = max(self.lease_end_ms, until_ms)
        return until_ms

    def _compute_earliest_clock_ms(self, now_s: float) -> float:
        """Returns the earliest time that the worker's clock can show now."""
        elapsed_s = max(0.0, now_s - self.clock_s - LEASE_SLACK_S)
        return self.clock_ms + elapsed_s * (1 - MAX_CLOCK_DRIFT) * 1000.0

    def needs_clock_reading(self, now_s: float) -> bool:
        """Returns whether the last reading of its clock is too old."""
        return self.contacted and now_s - self.clock_s > MAX_CLOCK_AGE_S

    def is_lease_expired(self, now_s: float, prior_leases_end_s: float) -> bool:
        """Returns whether the lease of a silent worker has surely expired.

        The worker kills all its runs when its lease expires.

        Args:
            now_s: Current time on the leader's clock.
            prior_leases_end_s: Time at which all leases that earlier leaders
                gave have expired; used if this leader has given none to the
                process that answers.
        """
        return now_s >= self.compute_lease_expiry_s(prior_leases_end_s)

    def compute_lease_expiry_s(self, prior_leases_end_s: float) -> float:
        """Returns when `is_lease_expired` becomes true if nothing is heard.

        Args:
            prior_leases_end_s: See `is_lease_expired`.
        """
        if not self.contacted or not self.lease_end_ms:
            earlier_end_s = (prior_leases_end_s
                             if self.may_get_lease else self.lapse_s)
            return max(earlier_end_s, self.sent_leases_end_s)
        left_s = max(0.0, self.lease_end_ms - self.clock_ms) / 1000.0
        return self.clock_s + LEASE_SLACK_S + left_s / (1 - MAX_CLOCK_DRIFT)

    def record_failure(self, job_id: str, *, ran_s: float,
                       failed_elsewhere: bool, now_s: float) -> bool:
        """Records a failed run, after which the worker may be suspected.

        Args:
            job_id: Job of the run.
            ran_s: How long the run lasted, in seconds.
            failed_elsewhere: Whether the job has failed on another worker too.
            now_s: Current time on the leader's clock.

        Returns:
            Whether the worker is suspected because of this failure.
        """
        self.failures = [
            failure for failure in self.failures
            if now_s - failure[1] < FAILURE_MEMORY_S
        ]
        other_job_failed = any(other != job_id and now_s - at_s < SUSPICION_S
                               for other, at_s in self.failures)
        self.failures.append((job_id, now_s))
        suspected = other_job_failed or (ran_s < MAX_FAST_FAILURE_S and
                                         not failed_elsewhere)
        if suspected:
            self.suspect(now_s + SUSPICION_S)
        return suspected

    def suspect(self, until_s: float) -> None:
        """Excludes the worker from new runs until a given time."""
        self.suspect_until_s = max(self.suspect_until_s, until_s)

    def has_failed(self, now_s: float) -> bool:
        """Returns whether a run has failed there recently."""
        return bool(
            self.failures) and now_s - self.failures[-1][1] < FAILURE_MEMORY_S

    def record_boot(self, boot_ms: int) -> None:
        """Records the process that answers and drops an earlier one's state."""
        self.boot_ms = boot_ms
        self.contacted = True
        self.failures = []
        self.recorded_end = 0
        self.processed_end = 0
        self.listed_end = 0
        self.unrecorded_ends = {}

    def record_ends(self, number: int, is_refused: Callable[[str],
                                                            bool]) -> bool:
        """Records that the changes made for ends have been written.

        Ends are acknowledged in their order, so one of a job that cannot be
        written keeps those after it from being acknowledged.

        Args:
            number: Highest number of the ends.
            is_refused: Returns whether the store refuses the rows of a job.

        Returns:
            Whether more ends can be acknowledged than before.
        """
        recorded = min([number] + [
            end - 1
            for end, job_id in self.unrecorded_ends.items()
            if end <= number and is_refused(job_id)
        ])
        self.unrecorded_ends = {
            end: job_id
            for end, job_id in self.unrecorded_ends.items()
            if end > recorded
        }
        has_more = recorded > self.recorded_end
        self.recorded_end = max(self.recorded_end, recorded)
        return has_more

    def compute_acknowledged_end(self) -> int:
        """Returns the number of the last end to acknowledge, 0 for none.

        A request may reach a later process, which numbers its ends anew and
        would forget some of them. So a number is given only if the worker has
        ends to forget.
        """
        if 0 < self.listed_end <= self.recorded_end:
            return self.recorded_end
        return 0

    def has_refused_ends(self, is_refused: Callable[[str], bool]) -> bool:
        """Returns whether ends wait for a job that cannot be written."""
        return any(
            is_refused(job_id) for job_id in self.unrecorded_ends.values())


class Fleet:
    """All workers that are registered or may still have runs.

    Attributes:
        tracked_workers: Workers by id.
    """

    def __init__(self) -> None:
        self.tracked_workers: dict[str, TrackedWorker] = {}

    def update(self, workers: dict[str, ports.Worker]) -> list[TrackedWorker]:
        """Replaces the list of registered workers.

        Args:
            workers: All registered workers by id.

        Returns:
            Workers that are new, registered again or restarted.
        """
        changed = []
        for worker_id, worker in workers.items():
            tracked = self.tracked_workers.get(worker_id)
            if tracked is None:
                tracked = TrackedWorker(worker=worker)
                self.tracked_workers[worker_id] = tracked
                changed.append(tracked)
            elif (tracked.worker.boot_ms != worker.boot_ms or
                  not tracked.registered):
                changed.append(tracked)
            tracked.worker = worker
            tracked.registered = True
        for worker_id, tracked in self.tracked_workers.items():
            if worker_id not in workers:
                tracked.registered = False
        return changed

    def remove_gone(self) -> list[TrackedWorker]:
        """Removes workers that are not registered and have no claims.

        Returns:
            The removed workers.
        """
        removed = [
            tracked for tracked in self.tracked_workers.values()
            if not tracked.registered and not tracked.claims
        ]
        for tracked in removed:
            del self.tracked_workers[tracked.worker.worker_id]
        return removed

    def find_suspects(
        self, service: str, now_s: float,
        evacuated: Container[str] = ()) -> frozenset[str]:
        """Returns the ids of suspected workers, which get no new runs.

        Returns none if too many workers of the service are suspected.

        Args:
            service: The service.
            now_s: Current time in seconds.
            evacuated: Evacuated failure domains. Their workers get no new runs
                in any case, so they are not counted.
        """
        tracked_workers = [
            tracked for tracked in self.list_tracked_workers(service)
            if tracked.registered and
            tracked.worker.failure_domain not in evacuated
        ]
        suspected = frozenset(tracked.worker.worker_id
                              for tracked in tracked_workers
                              if tracked.suspect_until_s > now_s)
        if len(suspected) * WORKERS_PER_SUSPECT > len(tracked_workers):
            return frozenset()
        return suspected

    def list_tracked_workers(self, service: str) -> Iterator[TrackedWorker]:
        """Yields the workers that belong to a service."""
        for tracked in self.tracked_workers.values():
            if tracked.worker.service == service:
                yield tracked
