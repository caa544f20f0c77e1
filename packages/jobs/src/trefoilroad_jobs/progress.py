"""Progress of jobs: completed tasks, failures and claimed runs."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import Any
from typing import Literal
from typing import NamedTuple

import cbor2

from trefoilroad_jobs import workload as workloads


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})

# Key in `StepProgress.failures` of the number of a gang's last failed run.
LAST_FAILED_RUN = -1
# Key among the failures in the row of a step of which no ended run has begun:
# the number of ended runs, so that it is void if an older release, which keeps
# keys that it does not know, has ended more runs. Without it ended runs count
# as begun; ordinary rows have no mark.
ENDED_BEFORE_BEGIN = -2
# Key among the failures in the row of a step of which a run has begun although
# none has ended. It is true for good, so an older release may keep it.
BEGUN = -3


class Phase(enum.Enum):
    """Phase of a claimed run as seen by the leader."""

    CLAIMING = "claiming"  # The claim is being written.
    STARTING = "starting"  # The start has been sent and not answered.
    RUNNING = "running"
    STOPPING = "stopping"  # Is being stopped; it may still run.
    RECOVERING = "recovering"  # Claimed by an earlier leader.


class TaskKey(NamedTuple):
    """Identifies a task.

    Attributes:
        job_id: The job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        task: Number of the task in the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    task: int


class Claim:
    """A run that may be alive on a worker.

    The claim is written to the store before the start of the run is sent.

    Attributes:
        key: The task.
        run: Number of the run.
        worker_id: Worker that runs it or is to run it.
        boot_ms: Start of the worker process, in Unix milliseconds.
        phase: Phase of the run.
        starts_sent: Number of start commands that may have been sent; 1 for a
            run that an earlier leader claimed.
        settled_s: When the run was known to have begun, by an answer or else by
            the first report of it; infinity before that. A report that was
            requested earlier may have been made before the run began.
        longest_lease_end_s: When the longest lease that a worker accepts has
            ended, if an attempt to start the run may still be carried out: the
            worker may have restarted unnoticed, and its new process takes the
            end of the lease for one on its own clock. Minus infinity if there
            is no such doubt.
        unanswered_start_s: When the last attempt to start it was sent that got
            no answer and may be carried out late, or minus infinity.
        stop_acked_s: When the worker confirmed a stop, or infinity.
        since_s: When the phase began.
        started_s: When the start was first sent, in seconds; before that, and
            for a run that an earlier leader claimed, the time of the claim.
        started_ms: Time of the claim in the store's milliseconds, 0 if it is
            not known.
        retry_s: When the next command is due.
        tries: Number of start or stop commands sent in this phase.
        percent: Progress that the worker reported last.
        percent_s: When the progress last changed.
        checkpoint: Latest checkpoint, or empty.
        demand: Resources that it uses on its worker.
        resumed: Whether it began from a checkpoint, or its start is not known.
        why: Reason of the stop, for logs.
        image: Image of its step, or empty.
    """

    __slots__ = ("boot_ms", "checkpoint", "demand", "image", "key",
                 "longest_lease_end_s", "percent", "percent_s", "phase",
                 "resumed", "retry_s", "run", "settled_s", "since_s",
                 "started_ms", "started_s", "starts_sent", "stop_acked_s",
                 "tries", "unanswered_start_s", "why", "worker_id")

    def __init__(self,
                 *,
                 key: TaskKey,
                 run: int,
                 worker_id: str,
                 boot_ms: int,
                 phase: Phase,
                 now_s: float,
                 demand: workloads.Demand,
                 started_ms: int = 0,
                 checkpoint: str = "",
                 image: str = ""):
        self.key = key
        self.image = image
        self.demand = demand
        self.run = run
        self.worker_id = worker_id
        self.boot_ms = boot_ms
        self.phase = phase
        self.starts_sent = int(phase is Phase.RECOVERING)
        self.settled_s = float("inf")
        self.longest_lease_end_s = float("-inf")
        self.unanswered_start_s = float("-inf")
        self.stop_acked_s = float("inf")
        self.since_s = now_s
        self.started_s = now_s
        self.started_ms = started_ms
        self.retry_s = now_s
        self.tries = 0
        self.percent = 0
        self.percent_s = now_s
        self.checkpoint = checkpoint
        self.resumed = bool(checkpoint) or phase is Phase.RECOVERING
        self.why = ""

    @property
    def start_settled(self) -> bool:
        """Whether the run is known to have begun."""
        return self.settled_s < float("inf")

    def settle_start(self, now_s: float) -> None:
        """Records that the run has begun, by an answer or the first report.

        If there was more than one attempt, it is not known which of them began
        the run, and the others may still be carried out.

        Args:
            now_s: Current time in seconds.
        """
        self.settled_s = now_s
        if self.starts_sent == 1:
            self.longest_lease_end_s = float("-inf")

    def set_phase(self, phase: Phase, now_s: float) -> None:
        """Enters a phase and resets the retries."""
        self.phase = phase
        self.since_s = now_s
        self.retry_s = now_s
        self.tries = 0


class StepProgress:
    """Progress of one step of one occurrence.

    Attributes:
        begun: Whether a run is known to have begun. A claim does not show it:
            it is written before the start is sent.
        last_runs: Highest run number ever claimed, for each task; 0 if none.
        done: Indexes of the completed tasks.
        failures: Number of failed runs by task index; a gang counts at index
            0, and the number of its last failed run is at LAST_FAILED_RUN.
        claims: Runs that may be alive, by index.
        checkpoints: Latest checkpoint of an ended run, from which the next run
            resumes, by index of a task that is not done.
        retry_at_s: Earliest time of the next start after a failed run, in
            seconds by task index; of a gang at index 0.
    """

    __slots__ = ("begun", "checkpoints", "claims", "done", "failures",
                 "last_runs", "retry_at_s")

    def __init__(self, *, tasks: int):
        self.begun = False
        self.last_runs = [0] * tasks
        self.done: set[int] = set()
        self.failures: dict[int, int] = {}
        self.claims: dict[int, Claim] = {}
        self.checkpoints: dict[int, str] = {}
        self.retry_at_s: dict[int, float] = {}

    @property
    def is_done(self) -> bool:
        """Whether all tasks are completed."""
        return len(self.done) == len(self.last_runs)

    def count_ended_runs(self) -> int:
        """Returns the number of run numbers that no claim holds."""
        return sum(self.last_runs) - len(self.claims)

    def record_checkpoint(self, claim: Claim) -> None:
        """Keeps the checkpoint of an ended run unless its task is done."""
        if claim.checkpoint and claim.key.task not in self.done:
            self.checkpoints[claim.key.task] = claim.checkpoint

    def record_done(self, indexes: Iterable[int]) -> None:
        """Records completed tasks; their checkpoints are not needed."""
        for index in indexes:
            self.done.add(index)
            self.checkpoints.pop(index, None)

    def count_failure(self, claim: Claim, *, gang: bool) -> int:
        """Counts a failed run.

        The members of a gang share its runs: the first that fails ends the run,
        and others that fail in it do not count.

        Args:
            claim: Claim of the run.
            gang: Whether the step is a gang.

        Returns:
            Number of failed runs of the task or the gang.
        """
        index = 0 if gang else claim.key.task
        if gang:
            if self.failures.get(LAST_FAILED_RUN) == claim.run:
                return self.failures[index]
            self.failures[LAST_FAILED_RUN] = claim.run
        self.failures[index] = self.failures.get(index, 0) + 1
        return self.failures[index]

    def list_waiting(self, now_s: float) -> list[int]:
        """Returns the indexes of tasks that may start.

        These are neither done nor claimed, and not delayed by a failed run.

        Args:
            now_s: Current time in seconds.
        """
        waiting = [
            index for index in range(len(self.last_runs))
            if index not in self.done and index not in self.claims
        ]
        if not self.retry_at_s:
            return waiting
        return [
            index for index in waiting
            if self.retry_at_s.get(index, now_s) <= now_s
        ]


class Job:
    """A job and its progress, as seen by the leader.

    Attributes:
        workload: The job as it was accepted.
        state: State of the job.
        steps: Progress by occurrence and step.
        seen_s: When this leader first saw it.
        age_s: Age when it was first seen, in seconds.
        ended_ms: When it became final, in the store's milliseconds.
        unrecorded: Number of ended runs and final states that are not durable
            yet.
    """

    __slots__ = ("_first_open", "age_s", "ended_ms", "seen_s", "state", "steps",
                 "unrecorded", "workload")

    def __init__(self, *, workload: workloads.Workload, now_s: float,
                 age_s: float):
        self.workload = workload
        self.state = JobState.QUEUED
        self.steps: dict[tuple[int, int], StepProgress] = {}
        self.seen_s = now_s
        self.age_s = age_s
        self.ended_ms = 0.0
        self.unrecorded = 0
        # All occurrences before this one are done.
        self._first_open = 0

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.workload.job_id

    @property
    def is_final(self) -> bool:
        """Whether the state never changes any more."""
        return self.state in FINAL_STATES

    @property
    def accepted_s(self) -> float:
        """When it was accepted, on this leader's clock, in seconds."""
        return self.seen_s - self.age_s

    def release_payload(self) -> None:
        """Drops the payload of a job that has ended."""
        self.workload = self.workload._replace(payload="")

    def release_steps(self) -> None:
        """Drops the steps of a job that has ended, and their progress."""
        self.workload = self.workload._replace(steps=())
        self.steps = {}

    def get_step(self, occurrence: int, number: int) -> StepProgress:
        """Returns the progress of a step; creates it if there is none."""
        step = self.steps.get((occurrence, number))
        if step is None:
            step = StepProgress(tasks=self.workload.steps[number].tasks)
            self.steps[occurrence, number] = step
        return step

    def list_claims(self) -> Iterator[Claim]:
        """Yields the runs that may be alive."""
        for step in self.steps.values():
            yield from step.claims.values()

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Returns whether all steps of an occurrence are done."""
        return all(
            (occurrence, number) in self.steps and self.steps[occurrence,
                                                              number].is_done
            for number in range(len(self.workload.steps)))

    def is_done(self) -> bool:
        """Returns whether all occurrences are done."""
        self._skip_done_occurrences()
        return self._first_open >= self.workload.occurrences

    def _skip_done_occurrences(self) -> None:
        while (self._first_open < self.workload.occurrences and
               self.is_occurrence_done(self._first_open)):
            self._first_open += 1

    def has_begun(self) -> bool:
        """Returns whether some run is known to have begun.

        A job of which runs were only claimed, refused or sent without an answer
        is still waiting.
        """
        return any(step.begun for step in self.steps.values())

    def list_ready(self, wall_ms: float) -> Iterator[tuple[int, int]]:
        """Yields the steps that may start, as (occurrence, step number).

        Args:
            wall_ms: The time in Unix milliseconds.
        """
        self._skip_done_occurrences()
        for occurrence in range(self._first_open, self.workload.occurrences):
            if self.workload.get_due_ms(occurrence) > wall_ms:
                return
            for number, step in enumerate(self.workload.steps):
                progress = self.steps.get((occurrence, number))
                if progress is not None and progress.is_done:
                    continue
                if all((occurrence,
                        earlier) in self.steps and self.steps[occurrence,
                                                              earlier].is_done
                       for earlier in step.after):
                    yield occurrence, number


class StepRow(NamedTuple):
    """Progress of a step as it stands in a row.

    Attributes:
        occurrence: Number of the occurrence.
        number: Number of the step.
        runs: Highest run number of each task, or of all if they are the same.
        done: Sorted indexes of the completed tasks, or True for all.
        failures: See StepProgress.failures; also ENDED_BEFORE_BEGIN and BEGUN.
        claims: Index, run, worker, start of the worker process and time of each
            claim.
        checkpoints: See StepProgress.checkpoints.
    """

    occurrence: int
    number: int
    runs: list[int] | int
    done: list[int] | Literal[True]
    failures: dict[int, int]
    claims: list[tuple[Any, ...]]
    checkpoints: dict[int, str]


def list_steps(job: Job) -> list[StepRow]:
    """Returns the progress of the steps of a job for its row."""
    steps = []
    for (occurrence, number), step in job.steps.items():
        runs: list[int] | int = step.last_runs
        if len(set(step.last_runs)) == 1:
            runs = step.last_runs[0]
        steps.append(
            StepRow(occurrence=occurrence,
                    number=number,
                    runs=runs,
                    done=True if step.is_done else sorted(step.done),
                    failures=_mark_failures(step),
                    claims=[(index, claim.run, claim.worker_id, claim.boot_ms,
                             claim.started_ms)
                            for index, claim in step.claims.items()],
                    checkpoints={} if job.is_final else step.checkpoints))
    return steps


def encode_steps(job: Job, steps: list[StepRow]) -> bytes:
    """Encodes the progress of a job, given that of its steps."""
    return cbor2.dumps(
        [str(job.state), job.ended_ms, [tuple(step) for step in steps]])


def encode_progress(job: Job) -> bytes:
    """Encodes the progress of a job as a single row, however long."""
    return encode_steps(job, list_steps(job))


def _mark_failures(step: StepProgress) -> dict[int, int]:
    """Returns the failures of a step with the mark whether a run has begun."""
    ended_runs = step.count_ended_runs()
    if step.begun and not ended_runs:
        return step.failures | {BEGUN: 1}
    if ended_runs and not step.begun:
        return step.failures | {ENDED_BEFORE_BEGIN: ended_runs}
    return step.failures


def decode_state(data: bytes) -> JobState:
    """Decodes only the state of a job.

    Raises:
        ValueError: If the data is not an encoded progress.
    """
    try:
        return JobState(cbor2.loads(data)[0])
    except (cbor2.CBORError, TypeError, IndexError, EOFError) as error:
        raise ValueError(f"invalid progress row: {error!r}") from error


def decode_progress(job: Job, data: bytes, now_s: float,
                    store_ms: float) -> None:
    """Sets the progress of a job from a single row.

    Args:
        job: A job without progress.
        data: Row of its progress.
        now_s: Current time in seconds.
        store_ms: Current time of the store's clock, in milliseconds.

    Raises:
        ValueError: If the data is not an encoded progress of this job.
    """
    try:
        state, ended_ms, steps = cbor2.loads(data)
        restore(job,
                state=state,
                ended_ms=ended_ms,
                steps=steps,
                now_s=now_s,
                store_ms=store_ms)
    except (cbor2.CBORError, TypeError, IndexError, EOFError) as error:
        raise ValueError(
            f"invalid progress row of {job.job_id}: {error!r}") from error


def restore(job: Job, *, state: str, ended_ms: float, steps: Iterable[Any],
            now_s: float, store_ms: float) -> None:
    """Sets the progress of a job from the decoded content of its rows.

    Args:
        job: A job without progress.
        state: State of the job.
        ended_ms: See Job.ended_ms.
        steps: Its steps, with the fields of StepRow.
        now_s: Current time in seconds.
        store_ms: Current time of the store's clock, in milliseconds.

    Raises:
        ValueError: If the state is unknown.
        TypeError: If a step is malformed.
    """
    job.state = JobState(state)
    job.ended_ms = ended_ms
    for step in steps:
        _restore_step(job, StepRow(*step), now_s, store_ms)


def _restore_step(job: Job, row: StepRow, now_s: float,
                  store_ms: float) -> None:
    step = job.get_step(row.occurrence, row.number)
    tasks = len(step.last_runs)
    step.last_runs = ([row.runs] *
                      tasks if isinstance(row.runs, int) else row.runs)
    step.done = (set(range(tasks))
                 if isinstance(row.done, bool) else set(row.done))
    # Rows of earlier releases have checkpoints of ended tasks.
    step.checkpoints = {
        index: checkpoint
        for index, checkpoint in row.checkpoints.items()
        if index not in step.done
    }
    for index, run, worker_id, boot_ms, *started in row.claims:
        # Rows of release 0.2.0 have no start time.
        started_ms = started[0] if started else 0
        claim = Claim(key=TaskKey(job.job_id, row.occurrence, row.number,
                                  index),
                      run=run,
                      worker_id=worker_id,
                      boot_ms=boot_ms,
                      phase=Phase.RECOVERING,
                      now_s=now_s,
                      demand=job.workload.steps[row.number].occupied,
                      started_ms=started_ms,
                      checkpoint=step.checkpoints.get(index, ""),
                      image=job.workload.steps[row.number].image)
        if started_ms:
            claim.started_s -= max(0.0, store_ms - started_ms) / 1000.0
        step.claims[index] = claim
    _restore_failures(step, row.failures)


def _restore_failures(step: StepProgress, failures: dict[int, int]) -> None:
    """Sets the failures of a step whose runs and claims are set."""
    is_marked = failures.pop(BEGUN, 0) > 0
    ended_before_begin = failures.pop(ENDED_BEFORE_BEGIN, 0)
    step.failures = failures
    step.begun = (is_marked or bool(step.done) or
                  step.count_ended_runs() != ended_before_begin)
