"""One attempt to run a gang, and the state of each of its members."""

from collections.abc import Iterable
import enum
from typing import Any

from trefoilroad_core import request

# An owner numbers attempts from its epoch times this number, so that numbers of
# different owners do not overlap.
ATTEMPTS_PER_EPOCH = 1_000_000


class Phase(enum.Enum):
    """Phase of an attempt as a whole."""

    RESERVING = "reserving"
    CLAIMING = "claiming"
    STARTING = "starting"
    RUNNING = "running"
    STORING = "storing"
    STOPPING = "stopping"
    RECOVERING = "recovering"


class MemberState(enum.Enum):
    """State of one member, as far as the owner knows it."""

    UNSENT = "unsent"
    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"
    RECOVERING = "recovering"
    NEVER_STARTED = "never_started"
    STOPPED = "stopped"


class StopReason(enum.Enum):
    """Why an attempt was stopped before it completed."""

    NOT_RESERVED = "a worker did not reserve"
    CLAIM_LOST = "the claim was not confirmed in time"
    CLAIM_REFUSED = "the claim was refused"
    NOT_STARTED = "a worker did not start"
    MEMBER_LOST = "a worker was lost"
    TASK_FAILED = "a task failed"
    EVICTED = "evicted for guaranteed work"
    LEAVING = "a worker began to leave before the start"
    CANCELLED = "cancelled by the caller"
    RECOVERED = "not running as a whole when a new owner took over"


class Member:
    """The tasks of a gang that share one worker.

    Attributes:
        worker_id: The worker.
        ranks: Ranks of the gang's tasks on this worker.
        state: State of these tasks.
        boot: Boot id of the worker when it reserved, or None.
        start_sent: Whether a start may have reached the worker.
        reference_s: Owner's time that the latest reservation, start or
            renewal counts from, no earlier than the worker's clock reading
            that it refers to; reservation and lease expire at the latest a
            fixed time after it.
        acknowledged_s: Owner's time when the start was acknowledged.
        retry_s: Owner's time of the next try of a reservation or stop.
        command_id: Outstanding command, or None.
        answer: Length and digest of the answer, once finished.
        error: Error text of a failed task.
        checkpointed: Whether the stop took a checkpoint.
    """

    def __init__(self, *, worker_id: str, ranks: list[int], state: MemberState):
        self.worker_id = worker_id
        self.ranks = ranks
        self.state = state
        self.boot: str | None = None
        self.start_sent = False
        self.reference_s = float("-inf")
        self.acknowledged_s = float("inf")
        self.retry_s = float("-inf")
        self.command_id: int | None = None
        self.answer: dict[str, Any] | None = None
        self.error = ""
        self.checkpointed = False


class Attempt:
    """One try to run a gang.

    An attempt covers all tasks of a gang. A run, in trefoilroad_jobs, is one
    task on one worker.

    Attributes:
        attempt_id: Identifier that is sent to workers.
        number: Number that is unique among all attempts of all owners, not a
            count of attempts: the epoch times ATTEMPTS_PER_EPOCH plus a
            counter of the owner.
        placement: Worker of each rank.
        guaranteed: Whether it is inside its team's guarantee.
        phase: Current phase.
        members: Member by worker id.
        deadline_s: Owner's time when a CLAIMING, STARTING or RECOVERING phase
            must have ended, or when a STORING one tries the copy again; not
            used in other phases.
        started_s: Owner's time when all members began to run; before that,
            when the attempt was created.
        stop_reason: Why it is being stopped.
        checkpoint: Whether the stop takes checkpoints.
    """

    def __init__(self, *, request_id: str, number: int,
                 placement: Iterable[str], guaranteed: bool, phase: Phase,
                 now_s: float):
        self.attempt_id = request.build_attempt_id(request_id, number)
        self.number = number
        self.placement = tuple(placement)
        self.guaranteed = guaranteed
        self.phase = phase
        self.deadline_s = float("inf")
        self.started_s = now_s
        self.stop_reason: StopReason | None = None
        self.checkpoint = False
        initial = (MemberState.RECOVERING
                   if phase is Phase.RECOVERING else MemberState.UNSENT)
        self.members: dict[str, Member] = {}
        for rank, worker_id in enumerate(self.placement):
            member = self.members.get(worker_id)
            if member is None:
                member = Member(worker_id=worker_id, ranks=[], state=initial)
                self.members[worker_id] = member
            member.ranks.append(rank)

    @property
    def rank_zero_member(self) -> Member:
        """The member that has rank 0 and provides the answer."""
        return self.members[self.placement[0]]

    def all_members_in(self, *states: MemberState) -> bool:
        """Tells whether each member is in one of the given states."""
        return all(member.state in states for member in self.members.values())

    def any_member_in(self, *states: MemberState) -> bool:
        """Tells whether some member is in one of the given states."""
        return any(member.state in states for member in self.members.values())

    def determine_ran(self) -> request.Ran:
        """Determines whether the attempt ran, once each member is resolved.

        Returns:
            NO only if every member is proved never to have started.
        """
        if self.all_members_in(MemberState.NEVER_STARTED):
            return request.Ran.NO
        if self.any_member_in(MemberState.STOPPED, MemberState.FINISHED,
                              MemberState.FAILED):
            return request.Ran.YES
        return request.Ran.MAYBE


RESOLVED_STATES = (MemberState.NEVER_STARTED, MemberState.STOPPED,
                   MemberState.FINISHED, MemberState.FAILED, MemberState.LOST)


def combine_ran(first: request.Ran, second: request.Ran) -> request.Ran:
    """Combines the evidence of two attempts that a request ran."""
    for ran in (request.Ran.YES, request.Ran.MAYBE):
        if ran in (first, second):
            return ran
    return request.Ran.NO
