"""The leader's beliefs about workers: leases, lives, room and health."""

from collections.abc import Iterator

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress

# A worker on which runs fail gets nothing new for this long, in seconds; the
# users' workers that fail everything do so for about six.
SUSPECT_S = 5.0
# If more than one worker in so many is suspected, the cause is more likely
# outside the workers, and none is spared.
MAX_SUSPECTS = 4
# A retry avoids workers with a failure in this time, in seconds.
MEMORY_S = 10.0
# A run that fails sooner than this has hardly begun, in seconds.
FAST_FAILURE_S = 0.5
# Workers' steady clocks may be this much slow.
CLOCK_DRIFT = 0.02
# Added to a computed end of a lease, for the resolution of clocks.
LEASE_SLACK_S = 0.1
# A clock that is further behind than this is not that of the same life.
LIFE_SLACK_MS = 200.0


class Member:
    """A worker and the runs that may be alive on it.

    Attributes:
        worker: The worker as it registered itself.
        listed: Whether its registration exists.
        claims: Runs that may be alive there, by task.
        boot_ms: Boot that answered last; 0 before the first answer.
        contacted: Whether it has answered this leader in this life.
        doubtful: Whether a new life may have begun that has not been noticed.
            An acknowledgement could then be taken for one of its own ends.
        clock_ms: Its steady clock when it answered last.
        clock_s: Leader's time of that answer.
        lease_ms: Latest end of a lease that this leader has sent, on the
            worker's clock.
        recorded: Highest number of an end that is recorded durably.
        processed: Highest number of an end that has been processed.
        silent_s: Leader's time since which it has not answered, or infinity.
        polling: Whether a report has been asked for and has not come.
        poll_s: When the next report is due.
        full_until_s: It rejected a start for want of room; nothing new before
            this time.
        suspect_until_s: Runs fail or stand still there; nothing new before
            this time unless many workers are suspected.
        failures: Job and time of the failures of the last seconds.
    """

    def __init__(self, *, worker: ports.Worker):
        self.worker = worker
        self.listed = True
        self.claims: dict[progress.TaskKey, progress.Claim] = {}
        self.boot_ms = 0
        self.contacted = False
        self.doubtful = True
        self.clock_ms = 0.0
        self.clock_s = 0.0
        self.lease_ms = 0
        self.recorded = 0
        self.processed = 0
        self.silent_s = float("inf")
        self.polling = False
        self.poll_s = float("-inf")
        self.full_until_s = float("-inf")
        self.suspect_until_s = float("-inf")
        self.failures: list[tuple[str, float]] = []

    def note_clock(self, clock_ms: float, now_s: float,
                   max_lease_s: float) -> None:
        """Takes a reading of the worker's clock.

        A clock that is behind what a slow clock would show is that of a new
        life. It shortens a lease that was meant for the clock of the old one.
        """
        elapsed_s = max(0.0, now_s - self.clock_s - LEASE_SLACK_S)
        expected_ms = self.clock_ms + elapsed_s * (1 - CLOCK_DRIFT) * 1000.0
        if self.contacted and clock_ms < expected_ms - LIFE_SLACK_MS:
            self.doubtful = True
            longest_ms = int(clock_ms + max_lease_s * 1000.0)
            if clock_ms >= self.clock_ms:
                longest_ms = max(longest_ms, self.lease_ms)
            self.lease_ms = longest_ms
        self.clock_ms = clock_ms
        self.clock_s = now_s
        self.silent_s = float("inf")

    def note_silence(self, now_s: float) -> None:
        """Takes note that a call got no answer."""
        self.doubtful = True
        if self.silent_s == float("inf"):
            self.silent_s = now_s

    def compute_lease_ms(self, lease_s: float, now_s: float) -> int:
        """Returns the end of a new lease on the worker's clock."""
        elapsed_s = now_s - self.clock_s
        until = int(self.clock_ms + (elapsed_s + lease_s) * 1000.0)
        self.lease_ms = max(self.lease_ms, until)
        return self.lease_ms

    def is_lease_over(self, now_s: float, fallback_s: float) -> bool:
        """Tells whether everything on a silent worker has been killed.

        Args:
            now_s: Leader's time.
            fallback_s: Leader's time after which leases of earlier leaders
                have ended for certain.
        """
        if not self.contacted:
            return now_s >= fallback_s
        elapsed_s = max(0.0, now_s - self.clock_s - LEASE_SLACK_S)
        return self.clock_ms + elapsed_s * (1 - CLOCK_DRIFT) * 1000.0 > (
            self.lease_ms)

    def note_failure(self, job_id: str, *, ran_s: float, elsewhere: bool,
                     now_s: float) -> bool:
        """Takes a failed run; the worker may get nothing new for a while.

        Args:
            job_id: Job of the run.
            ran_s: How long it ran.
            elsewhere: Whether the job has also failed on another worker.
            now_s: Leader's time.

        Returns:
            Whether the worker is suspected.
        """
        self.failures = [
            item for item in self.failures if now_s - item[1] < MEMORY_S
        ]
        others = any(other != job_id and now_s - at_s < SUSPECT_S
                     for other, at_s in self.failures)
        self.failures.append((job_id, now_s))
        suspected = others or (ran_s < FAST_FAILURE_S and not elsewhere)
        if suspected:
            self.suspect(now_s + SUSPECT_S)
        return suspected

    def suspect(self, until_s: float) -> None:
        """Notes that the worker may be bad."""
        self.suspect_until_s = max(self.suspect_until_s, until_s)

    def has_failed(self, now_s: float) -> bool:
        """Tells whether a run has failed there in the last seconds."""
        return bool(self.failures) and now_s - self.failures[-1][1] < MEMORY_S

    def begin_life(self, boot_ms: int) -> None:
        """Forgets what held only for an earlier life."""
        self.boot_ms = boot_ms
        self.contacted = True
        self.failures = []
        self.recorded = 0
        self.processed = 0


class Fleet:
    """All workers that are listed or may still run something."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def update(self, workers: dict[str, ports.Worker]) -> list[Member]:
        """Takes the complete list of registrations.

        Returns:
            Members that are new, or have begun a new life.
        """
        changed = []
        for worker_id, worker in workers.items():
            member = self.members.get(worker_id)
            if member is None:
                member = Member(worker=worker)
                self.members[worker_id] = member
                changed.append(member)
            elif member.worker.boot_ms != worker.boot_ms or not member.listed:
                changed.append(member)
            member.worker = worker
            member.listed = True
        for worker_id, member in self.members.items():
            if worker_id not in workers:
                member.listed = False
        return changed

    def drop_gone(self) -> list[Member]:
        """Forgets members that are not listed and run nothing."""
        gone = [
            member for member in self.members.values()
            if not member.listed and not member.claims
        ]
        for member in gone:
            del self.members[member.worker.worker_id]
        return gone

    def find_suspects(self, service: str, now_s: float) -> frozenset[str]:
        """Returns the workers of a service that get nothing new."""
        members = [item for item in self.list_members(service) if item.listed]
        found = frozenset(item.worker.worker_id
                          for item in members
                          if item.suspect_until_s > now_s)
        if len(found) * MAX_SUSPECTS > len(members):
            return frozenset()
        return found

    def list_members(self, service: str) -> Iterator[Member]:
        """Yields the members of a service."""
        for member in self.members.values():
            if member.worker.service == service:
                yield member
