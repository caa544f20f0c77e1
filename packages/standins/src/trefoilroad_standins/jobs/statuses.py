"""Judge of the states of accepted jobs that nodes give to callers."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import workers as worker_module

# A caller has this time for a status, with all its attempts.
ANSWER_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 5
# Pause of a caller after a refusal without a Retry-After.
RETRY_S = 0.2
# Statuses are asked for this long after the end of traffic.
ASKED_AFTER_S = 14.0
# A job may be shown as not ended for this long after its end was noted.
END_SLACK_S = 5.0


class Job(NamedTuple):
    """What is known from outside of an accepted job of one occurrence.

    Attributes:
        job_id: Identifier.
        cancelled_s: When its cancellation was first sent, in seconds, or None.
        failed_s: When a task of it, or a gang, had failed as often as it may,
            in seconds, or None.
        done_s: When each task, and a member of each gang, had ended done, in
            seconds, or None.
        ended_s: When the job was known to have ended, in seconds, or None: its
            cancellation was confirmed, or the ends of all tasks were noted.
    """

    job_id: str
    cancelled_s: float | None = None
    failed_s: float | None = None
    done_s: float | None = None
    ended_s: float | None = None


class Answer(NamedTuple):
    """Answer of one node to the question for the state of an accepted job.

    Attributes:
        node: The node.
        job_id: The job.
        at_s: End of the last attempt, in seconds.
        took_s: Time from the first attempt to that end, in seconds.
        status: HTTP status of the last answer, 0 if there was none.
        state: State of the job, empty if the answer has none.
    """

    node: str
    job_id: str
    at_s: float
    took_s: float
    status: int = 0
    state: str = ""

    @property
    def asked_s(self) -> float:
        """When the first attempt was sent, in seconds."""
        return self.at_s - self.took_s


def is_refusal(status: int) -> bool:
    """Returns whether a caller repeats a question with this answer."""
    return status == 429 or status >= 500


class _Unit(NamedTuple):
    """A task or a gang: the members of a gang share its runs.

    A gang is done with the first member that ends done, as members work only
    together.

    Attributes:
        step: Number of the step.
        task: Number of the task, empty for a gang.
    """

    step: int
    task: str


def _find_unit(steps: Sequence[workload.Step],
               name: idleness.TaskName) -> _Unit:
    return _Unit(name.step, "" if steps[name.step].gang else name.task)


def find_failed_jobs(steps_by_job: Mapping[str, Sequence[workload.Step]],
                     history: Iterable[worker_module.Event],
                     max_failures: int) -> dict[str, float]:
    """Finds jobs of which a task, or a gang, has failed too often.

    Args:
        steps_by_job: Steps of the jobs.
        history: Events of all workers in order.
        max_failures: Failed runs of a task after which its job has failed.

    Returns:
        When each of these jobs had failed, in seconds.
    """
    failed_s: dict[str, float] = {}
    failed_runs: dict[tuple[str, _Unit], set[int]] = {}
    for event in history:
        if event.kind != "failed":
            continue
        name = idleness.parse_name(event.name)
        if name.job_id not in steps_by_job:
            continue
        unit = _find_unit(steps_by_job[name.job_id], name)
        runs = failed_runs.setdefault((name.job_id, unit), set())
        runs.add(event.run)
        if len(runs) >= max_failures:
            failed_s.setdefault(name.job_id, event.at_s)
    return failed_s


class _DoneUnits:
    """Tasks and gangs of a job that ended done.

    Attributes:
        first_s: When each of them first ended done, in seconds.
        noted_s: When the end of the last run of each was noted, if that run
            ended done, in seconds.
    """

    def __init__(self, *, steps: Sequence[workload.Step]):
        self.first_s: dict[_Unit, float] = {}
        self.noted_s: dict[_Unit, float] = {}
        self._steps = steps
        self._last_runs: dict[_Unit, int] = {}
        self._done_s: dict[tuple[str, str, int], float] = {}

    def add(self, event: worker_module.Event, name: idleness.TaskName,
            lapsed_s: float) -> None:
        """Adds an event of a task.

        Args:
            event: The event.
            name: Its name, parsed.
            lapsed_s: When the worker's lease last lapsed, in seconds. A leader
                that notes an earlier end may have given the run up.
        """
        unit = _find_unit(self._steps, name)
        run_id = event.worker_id, event.name, event.run
        if event.kind == "start":
            if event.run > self._last_runs.get(unit, 0):
                self._last_runs[unit] = event.run
                self.noted_s.pop(unit, None)
        elif event.kind == "done":
            self._done_s[run_id] = event.at_s
            self.first_s.setdefault(unit, event.at_s)
        elif (event.kind == "noted" and event.run == self._last_runs[unit] and
              self._done_s.get(run_id, lapsed_s) > lapsed_s):
            self.noted_s.setdefault(unit, event.at_s)

    def find_last(self, times_s: Mapping[_Unit, float]) -> float | None:
        """Returns the last time if there is one for each unit, else None."""
        count = sum(1 if step.gang else step.tasks for step in self._steps)
        return max(times_s.values()) if len(times_s) == count else None


def make_jobs(jobs: Iterable[idleness.Job],
              history: Sequence[worker_module.Event],
              max_failures: int) -> list[Job]:
    """Returns what is known from outside of the accepted ones of some jobs.

    Args:
        jobs: The jobs. Only a confirmed cancellation counts as the known end
            of a job; all others are found in the history.
        history: Events of all workers in order.
        max_failures: Failed runs of a task after which its job has failed.
    """
    accepted = [job for job in jobs if job.accepted_s is not None]
    done_units = {job.job_id: _DoneUnits(steps=job.steps) for job in accepted}
    lapsed_s: dict[str, float] = {}
    for event in history:
        if event.kind == "lapse":
            lapsed_s[event.worker_id] = event.at_s
            continue
        name = idleness.parse_name(event.name)
        if name.job_id in done_units:
            done_units[name.job_id].add(event, name,
                                        lapsed_s.get(event.worker_id, -1.0))
    failed_s = find_failed_jobs({job.job_id: job.steps for job in accepted},
                                history, max_failures)
    known = []
    for job in accepted:
        units = done_units[job.job_id]
        ends_s = [job.ended_s, units.find_last(units.noted_s)]
        known.append(
            Job(job.job_id,
                cancelled_s=job.cancelled_s,
                failed_s=failed_s.get(job.job_id),
                done_s=units.find_last(units.first_s),
                ended_s=min([end_s for end_s in ends_s if end_s is not None],
                            default=None)))
    return known


def find_wrong_answers(jobs: Iterable[Job],
                       answers: Iterable[Answer]) -> list[str]:
    """Finds answers that no node may give for an accepted job.

    Args:
        jobs: The accepted jobs.
        answers: The answers of all nodes, in any order.

    Returns:
        One line for each wrong answer, and for each job that is given as ended
        in two ways.
    """
    jobs_by_id = {job.job_id: job for job in jobs}
    lines = []
    final_states: dict[str, set[str]] = {}
    for answer in answers:
        reason = _find_fault(jobs_by_id[answer.job_id], answer)
        if reason:
            lines.append(f"{answer.node}: status of {answer.job_id}, asked for "
                         f"at {answer.asked_s:.2f} s, {reason}")
        elif answer.state in progress.FINAL_STATES:
            final_states.setdefault(answer.job_id, set()).add(answer.state)
    return lines + [
        f"{job_id} is given as {' and as '.join(sorted(states))}"
        for job_id, states in final_states.items()
        if len(states) > 1
    ]


def _find_fault(job: Job, answer: Answer) -> str:
    """Returns what is wrong with an answer, or an empty string."""
    if answer.status == 0:
        return f"got no answer in {answer.took_s:.2f} s"
    if answer.status != 200:
        return f"got {answer.status} after {answer.took_s:.2f} s"
    if answer.took_s > ANSWER_TIMEOUT_S:
        return f"came after {answer.took_s:.2f} s"
    if answer.state in (progress.JobState.QUEUED, progress.JobState.RUNNING):
        if _is_before(job.ended_s, answer.asked_s - END_SLACK_S):
            return f"is {answer.state}, but it ended at {job.ended_s:.2f} s"
        return ""
    if answer.state == progress.JobState.COMPLETED:
        possible = _is_before(job.done_s, answer.at_s)
        reason = "not all tasks had ended done"
    elif answer.state == progress.JobState.FAILED:
        possible = _is_before(job.failed_s, answer.at_s)
        reason = "no task had failed often enough"
    elif answer.state == progress.JobState.CANCELLED:
        possible = _is_before(job.cancelled_s, answer.at_s)
        reason = "nobody had cancelled it"
    else:
        return f"has the unknown state {answer.state!r}"
    return "" if possible else f"is {answer.state}, but {reason}"


def _is_before(time_s: float | None, bound_s: float) -> bool:
    """Returns whether something happened until a time."""
    return time_s is not None and time_s <= bound_s
