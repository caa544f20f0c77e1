"""Judge of the numbers of waiting jobs that nodes give to callers."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import workers as worker_module

# A node is in touch if nothing disturbed it for this long before the question.
TOUCH_S = 3.0
# Only jobs that were accepted this long before the question must be counted.
ACCEPTED_BEFORE_S = 5.0
# A node in touch must know the number if a leader was there for this long.
LED_S = 6.0
# A job may be counted this long after it began or its end was confirmed.
EXCESS_SLACK_S = 5.0


class Answer(NamedTuple):
    """An answer to the question how many jobs of a queue wait.

    Attributes:
        asked_s: Time of the question in seconds.
        at_s: Time of the answer in seconds.
        node: The node.
        queue: Name of the queue.
        pending: The number, or None if the node does not know it.
    """

    asked_s: float
    at_s: float
    node: str
    queue: str
    pending: int | None


class Job(NamedTuple):
    """A submitted job of one occurrence.

    Attributes:
        job_id: Identifier.
        queue: Name of the queue.
        submitted_s: When it was submitted, in seconds.
        accepted_s: When its caller knew that it was accepted, or is due if that
            is later, in seconds; None if the caller got no such answer.
        begun_s: When a worker first began a task of it, in seconds, or None.
        cancelled_s: When its cancellation was sent, in seconds, or None.
        ended_s: When its end or cancellation was first confirmed, in seconds,
            or None.
    """

    job_id: str
    queue: str
    submitted_s: float
    accepted_s: float | None
    begun_s: float | None = None
    cancelled_s: float | None = None
    ended_s: float | None = None


class Record(NamedTuple):
    """What is seen from outside. All times are of one clock, in seconds.

    Attributes:
        answers: The answers of all nodes, in any order.
        jobs: The submitted jobs.
        disruptions: When the process, the links or the store of each node were
            disturbed, by node. The start of a process is a disruption.
        leaderless: When there was no sound leader. A change of the leader is
            such a time, if only a moment.
        faults: When any fault was active, also one of workers.
    """

    answers: Sequence[Answer]
    jobs: Sequence[Job]
    disruptions: Mapping[str, Sequence[idleness.Interval]]
    leaderless: Sequence[idleness.Interval] = ()
    faults: Sequence[idleness.Interval] = ()


class Finding(NamedTuple):
    """A wrong answer.

    Attributes:
        answer: The answer.
        waiting: Number of jobs that the answer is compared with.
        text: Description.
    """

    answer: Answer
    waiting: int
    text: str


def find_first_starts(
        history: Iterable[worker_module.Event]) -> dict[str, float]:
    """Returns when a worker first began a task of each job, in seconds."""
    first_starts_s: dict[str, float] = {}
    for event in history:
        if event.kind == "start":
            first_starts_s.setdefault(
                idleness.parse_name(event.name).job_id, event.at_s)
    return first_starts_s


def _overlaps(intervals: Iterable[idleness.Interval], from_s: float,
              to_s: float) -> bool:
    """Returns whether one of the intervals meets a time, ends included."""
    return any(interval.from_s <= to_s and interval.to_s >= from_s
               for interval in intervals)


def _is_after(time_s: float | None, bound_s: float) -> bool:
    """Returns whether something happened only after a time, or never."""
    return time_s is None or time_s > bound_s


def _was_in_touch(record: Record, answer: Answer) -> bool:
    return not _overlaps(record.disruptions.get(answer.node, ()),
                         answer.asked_s - TOUCH_S, answer.at_s)


def _count_waiting(jobs: Iterable[Job], answer: Answer) -> int:
    """Counts the jobs that waited for the whole time that is judged."""
    return sum(job.queue == answer.queue and job.accepted_s is not None and
               job.accepted_s < answer.asked_s -
               ACCEPTED_BEFORE_S and _is_after(job.begun_s, answer.at_s) and
               _is_after(job.cancelled_s, answer.at_s) and
               _is_after(job.ended_s, answer.at_s) for job in jobs)


def _describe(answer: Answer) -> str:
    return (f"{answer.node} gave {answer.pending} for {answer.queue} at "
            f"{answer.at_s:.2f} s")


def find_wrong_answers(record: Record) -> list[Finding]:
    """Finds answers that nodes in touch must not give.

    Such an answer is under half of the jobs that waited, or it says that the
    number is not known although there was a leader.

    Args:
        record: What was seen from outside.

    Returns:
        The findings in the order of the answers.
    """
    findings = []
    for answer in sorted(record.answers, key=lambda answer: answer.at_s):
        if not _was_in_touch(record, answer):
            continue
        waiting = _count_waiting(record.jobs, answer)
        if answer.pending is None:
            if not _overlaps(record.leaderless, answer.asked_s - LED_S,
                             answer.at_s):
                findings.append(
                    Finding(
                        answer, waiting,
                        f"{answer.node} did not know the number of waiting "
                        f"jobs of {answer.queue} at {answer.at_s:.2f} s"))
        elif 2 * answer.pending < waiting:
            findings.append(
                Finding(answer, waiting,
                        f"{_describe(answer)} and {waiting} jobs waited"))
    return findings


def list_judged_nodes(record: Record) -> set[str]:
    """Returns the nodes of which an answer had to count at least one job."""
    return {
        answer.node for answer in record.answers if
        _was_in_touch(record, answer) and _count_waiting(record.jobs, answer)
    }


def find_excess_answers(record: Record) -> list[Finding]:
    """Finds answers above the number of jobs that can have waited.

    Only answers without any fault for EXCESS_SLACK_S are judged: a leader
    learns late of what a worker begins that it cannot reach.

    Args:
        record: What was seen from outside.

    Returns:
        The findings in the order of the answers.
    """
    findings = []
    for answer in sorted(record.answers, key=lambda answer: answer.at_s):
        from_s = answer.asked_s - EXCESS_SLACK_S
        if (answer.pending is None or not _was_in_touch(record, answer) or
                _overlaps(record.leaderless, from_s, answer.at_s) or
                _overlaps(record.faults, from_s, answer.at_s)):
            continue
        possible = sum(
            job.queue == answer.queue and job.submitted_s <= answer.at_s and
            _is_after(job.begun_s, from_s) and _is_after(job.ended_s, from_s)
            for job in record.jobs)
        if answer.pending > possible:
            findings.append(
                Finding(
                    answer, possible,
                    f"{_describe(answer)} and at most {possible} jobs waited"))
    return findings


def describe(findings: Iterable[Finding]) -> list[str]:
    """Returns a line for the first finding of each node and queue."""
    grouped: dict[tuple[str, str], list[Finding]] = {}
    for finding in findings:
        grouped.setdefault((finding.answer.node, finding.answer.queue),
                           []).append(finding)
    return [
        f"{group[0].text}; {len(group)} such answers until "
        f"{group[-1].answer.at_s:.2f} s" for group in grouped.values()
    ]
