"""Measures status requests, and logs those that were late or unanswered."""

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple

import structlog

from trefoilroad_node import line_limit
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

# A status that takes longer is logged; callers wait for 3 s.
LATE_S = 1.0
# Lines in a second about late requests, unanswered ones, and unreadable rows.
MAX_LINES_PER_S = 5

_log = structlog.get_logger()


class Source(enum.Enum):
    """Where a status came from."""

    REMEMBERED = "remembered"  # Final states that this node caches.
    OWN = "own"  # This node as the leader.
    LEADER = "leader"  # The leader, over the link.
    STORE = "store"  # Rows of the store.


class NoLeaderStatus(enum.Enum):
    """Why the leader gave no status."""

    LINK_DOWN = "no link to the leader"
    SILENT = "the leader did not answer in time"
    JOB_UNKNOWN = "the leader does not know the job, or any job yet"
    NOT_READY = "this node leads and is still reading the jobs"
    UNCONFIRMED = "this node leads and has not confirmed it recently"


class Leader(NamedTuple):
    """The leader as known to this node.

    Attributes:
        epoch: Its epoch.
        leading: Whether this node is the leader.
    """

    epoch: int
    leading: bool


class Lookup:
    """One status request."""

    def __init__(self, *, job_id: str, leader: Leader,
                 read_clock: Callable[[], float], on_end: Callable[["Lookup"],
                                                                   None]):
        """Starts to measure.

        Args:
            job_id: The job.
            leader: The leader at the start of the request.
            read_clock: Returns the monotonic time in seconds.
            on_end: Called once with the lookup when it has ended.
        """
        self.job_id = job_id
        self.leader = leader
        self.started_s = read_clock()
        self.tried: list[dict[str, Any]] = []
        self.no_leader_status: NoLeaderStatus | None = None
        self.source: Source | None = None
        self.row_unreadable = False
        self._read_clock = read_clock
        self._on_end = on_end
        self._step_started_s = self.started_s

    def end_step(self, step: str, failure: str = "") -> None:
        """Records a step that did not give the status by itself.

        Args:
            step: What was asked or read.
            failure: Why it gave nothing; empty if it succeeded.
        """
        now_s = self._read_clock()
        self.tried.append({
            "step": step,
            "took_s": round(now_s - self._step_started_s, 4),
            "failure": failure
        })
        self._step_started_s = now_s

    def miss_leader(self, reason: NoLeaderStatus) -> None:
        """Records that the leader gave no status."""
        self.no_leader_status = reason
        self.end_step("leader", reason.value)

    def answer(self, source: Source) -> None:
        """Ends the lookup with a status."""
        self.source = source
        self._on_end(self)

    def answer_from_leader(self) -> None:
        """Ends the lookup with a status from the leader."""
        self.end_step("leader")
        self.answer(Source.OWN if self.leader.leading else Source.LEADER)

    def give_up(self, step: str, failure: str, *, unreadable: bool) -> None:
        """Ends the lookup without a status.

        Args:
            step: The row that was read last.
            failure: Why it gave no status.
            unreadable: Whether the store gave a row that cannot be decoded.
        """
        self.end_step(step, failure)
        self.row_unreadable = unreadable
        self._on_end(self)


class StatusLookups:
    """Counts and times the status requests of a node."""

    def __init__(self, *, timers: timer.Timers, metrics: sinks.Metrics,
                 read_leader: Callable[[], Leader]):
        """Creates a measurement without requests.

        Args:
            timers: Source of time.
            metrics: Sink of metrics.
            read_leader: Returns the leader as known to this node.
        """
        self._timers = timers
        self._metrics = metrics
        self._read_leader = read_leader
        self._unanswered_limit = line_limit.LineLimit(max_lines=MAX_LINES_PER_S)
        # A store that is down leaves no line for rows that fail for good.
        self._unreadable_limit = line_limit.LineLimit(max_lines=MAX_LINES_PER_S)
        self._late_limit = line_limit.LineLimit(max_lines=MAX_LINES_PER_S)

    def begin(self, job_id: str) -> Lookup:
        """Starts to measure a request."""
        return Lookup(job_id=job_id,
                      leader=self._read_leader(),
                      read_clock=self._timers.read_clock,
                      on_end=self._record)

    def _record(self, lookup: Lookup) -> None:
        now_s = self._timers.read_clock()
        took_s = now_s - lookup.started_s
        self._metrics.time("status.answer", took_s)
        if lookup.no_leader_status is not None:
            name = lookup.no_leader_status.name.lower()
            self._metrics.count(f"status.no_leader_status_{name}")
        if lookup.source is None:
            cause = _name_cause(lookup)
            self._metrics.count(f"status.unanswered_{cause}")
            limit = (self._unreadable_limit
                     if lookup.row_unreadable else self._unanswered_limit)
            left_out = limit.admit(now_s)
            if left_out is not None:
                log = _log.error if lookup.row_unreadable else _log.warning
                log("status unknown",
                    request=lookup.job_id,
                    cause=cause,
                    **_describe(lookup, took_s, left_out))
            return
        self._metrics.count(f"status.from_{lookup.source.value}")
        if took_s <= LATE_S:
            return
        left_out = self._late_limit.admit(now_s)
        if left_out is not None:
            _log.warning("status late",
                         request=lookup.job_id,
                         source=lookup.source.value,
                         **_describe(lookup, took_s, left_out))


def _name_cause(lookup: Lookup) -> str:
    """Names why neither the leader nor the store gave a status."""
    if lookup.row_unreadable:
        return "row_unreadable"
    if lookup.no_leader_status is None:
        return "store_failed"
    return f"store_failed_{lookup.no_leader_status.name.lower()}"


def _describe(lookup: Lookup, took_s: float, left_out: int) -> dict[str, Any]:
    return {
        "took_s": round(took_s, 4),
        "tried": lookup.tried,
        "epoch": lookup.leader.epoch,
        "leading": lookup.leader.leading,
        "left_out": left_out
    }
