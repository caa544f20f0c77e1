"""Independent checker of recorded histories.

It checks only what the workers did and which outcomes the callers received,
and reads no state of the product. The module history describes both files.
Workers and callers of one recording share a wall clock, by which durations
across workers are measured.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import json
import pathlib
from typing import Any
from typing import NamedTuple

import click

from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_replay import history

# Defaults of the fields of Bounds.
GANG_START_LIMIT_S = 1.0
TASK_LEASE_S = 10.0
MAX_START_AFTER_LEAVING_S = 5.0

# Names of the rules in violations.
PARTIAL_GANG = "partial gang"
AT_MOST_ONCE = "at most once"
NOT_RUN = "not run"
ANSWER = "answer"
ONE_OUTCOME = "one outcome"
LEAVING = "leaving"
FENCING = "fencing"
KNOWN_REQUEST = "known request"


class Violation(NamedTuple):
    """Violation of a rule.

    Attributes:
        rule: Name of the rule.
        subject: Attempt, request or worker that violates it.
        message: What was recorded, with file and line.
    """

    rule: str
    subject: str
    message: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject}: {self.message}"


class Bounds(NamedTuple):
    """Times that the rules allow, in seconds.

    Attributes:
        start_limit_s: Longest time from the first to the last start of the
            tasks of a gang.
        lease_s: Lease of a running task.
        leaving_s: Longest time after a leaving mark in which the worker may
            still start tasks.
    """

    start_limit_s: float = GANG_START_LIMIT_S
    lease_s: float = TASK_LEASE_S
    leaving_s: float = MAX_START_AFTER_LEAVING_S

    @property
    def max_partial_gang_s(self) -> float:
        """Longest time for which only some ranks of a gang may run."""
        return self.start_limit_s + self.lease_s


class _Interval(NamedTuple):
    """Time in which one rank of an attempt ran on a worker."""

    rank: int
    worker: str
    begin_s: float
    end_s: float
    finished: bool


class Checker:
    """Checks one recording."""

    def __init__(self, *, events: Iterable[history.Event],
                 told: Iterable[history.CallerRecord], bounds: Bounds):
        """Initializes the checker with a recording.

        Args:
            events: Events of all workers, in order for each worker.
            told: Outcomes that all callers received, in order.
            bounds: Times that the rules allow.
        """
        self._bounds = bounds
        self._by_worker: dict[
            str, list[history.Event]] = collections.defaultdict(list)
        self._by_attempt: dict[
            str, list[history.Event]] = collections.defaultdict(list)
        self._starts: dict[str,
                           list[history.Event]] = collections.defaultdict(list)
        self._caller_records: dict[
            str, list[history.CallerRecord]] = collections.defaultdict(list)
        self._end_s = 0.0
        for event in events:
            self._by_worker[event.worker].append(event)
            self._end_s = max(self._end_s, event.wall_s)
            if event.attempt:
                self._by_attempt[event.attempt].append(event)
            if event.event == "start":
                self._starts[event.request_id].append(event)
        for record in told:
            self._caller_records[record.request_id].append(record)

    @property
    def starts(self) -> int:
        """Number of starts in the recording."""
        return sum(len(starts) for starts in self._starts.values())

    @property
    def requests(self) -> int:
        """Number of requests in the recording."""
        return len(self._caller_records)

    def count_checked(self) -> dict[str, int]:
        """Counts what the rules apply to; a rule that had 0 checked nothing.

        Returns:
            Numbers of requests, starts, attempts of several ranks, starts of
            requests that are not idempotent, claims that a request did not
            run, answers received, and leaving marks.
        """
        records = [
            record for rows in self._caller_records.values() for record in rows
        ]
        non_idempotent_ids = {
            record.request_id for record in records if not record.idempotent
        }
        gangs = [
            attempt for attempt, events in self._by_attempt.items()
            if len({rank for event in events for rank in event.ranks}) > 1
        ]
        return {
            "requests":
                self.requests,
            "starts":
                self.starts,
            "gangs":
                len(gangs),
            "once":
                sum(
                    len(self._starts.get(request_id, ()))
                    for request_id in non_idempotent_ids),
            "not_run":
                sum(map(_claims_not_run, records)),
            "answers":
                sum(bool(record.digest) for record in records),
            "marks":
                sum(event.event == "leaving"
                    for events in self._by_worker.values()
                    for event in events)
        }

    def find_violations(self) -> list[Violation]:
        """Checks all rules.

        Returns:
            All violations, sorted by rule and subject.
        """
        violations = itertools.chain(self._check_gangs(),
                                     self._check_at_most_once(),
                                     self._check_not_run(),
                                     self._check_answers(),
                                     self._check_outcomes(),
                                     self._check_leaving(),
                                     self._check_epochs(),
                                     self._check_requests_known())
        return sorted(violations)

    def _check_gangs(self) -> Iterator[Violation]:
        intervals = self._find_run_intervals()
        for attempt, events in self._by_attempt.items():
            ran = intervals.get(attempt, [])
            if not ran:
                continue
            size = self._find_gang_size(events)
            partial_s, ranks_present = _measure_partial_gang(ran, size)
            if partial_s > self._bounds.max_partial_gang_s:
                yield Violation(
                    PARTIAL_GANG, attempt,
                    f"{ranks_present} of {size} ranks ran for "
                    f"{partial_s:.3f} s, "
                    f"allowed {self._bounds.max_partial_gang_s:.3f} s")

    def _find_gang_size(self, events: list[history.Event]) -> int:
        records = self._caller_records.get(events[0].request_id)
        if records:
            return records[0].shape.tasks
        return len({rank for event in events for rank in event.ranks})

    def _find_run_intervals(self) -> dict[str, list[_Interval]]:
        """Returns the run intervals of all ranks by attempt."""
        intervals: dict[str, list[_Interval]] = collections.defaultdict(list)
        for worker, events in self._by_worker.items():
            open_starts: dict[str, history.Event] = {}

            def close(attempt: str,
                      end_s: float,
                      finished: bool,
                      worker: str = worker,
                      starts: dict[str, history.Event] = open_starts) -> None:
                start = starts.pop(attempt, None)
                if start:
                    intervals[attempt] += [
                        _Interval(rank, worker, start.wall_s, end_s, finished)
                        for rank in start.ranks
                    ]

            for event in events:
                if event.event == "start":
                    close(event.attempt, event.wall_s, False)
                    open_starts[event.attempt] = event
                elif event.event in history.END_EVENTS:
                    close(event.attempt, event.wall_s, event.event == "finish")
                elif event.event in ("restart", "down"):
                    for attempt in list(open_starts):
                        close(attempt, event.wall_s, False)
            # A run without an end lasts until the end of the recording.
            for attempt in list(open_starts):
                close(attempt, self._end_s, False)
        return intervals

    def _check_at_most_once(self) -> Iterator[Violation]:
        for request_id, starts in self._starts.items():
            records = self._caller_records.get(request_id)
            if not records or records[0].idempotent:
                continue
            attempts = sorted({start.attempt for start in starts})
            if len(attempts) > 1:
                yield Violation(AT_MOST_ONCE, request_id,
                                f"was started as {', '.join(attempts)}")
            counts = collections.Counter((start.attempt, rank)
                                         for start in starts
                                         for rank in start.ranks)
            for (attempt, rank), count in sorted(counts.items()):
                if count > 1:
                    yield Violation(
                        AT_MOST_ONCE, request_id,
                        f"rank {rank} of {attempt} was started {count} times")

    def _check_not_run(self) -> Iterator[Violation]:
        for request_id, records in self._caller_records.items():
            for record in records:
                starts = self._starts.get(request_id)
                if starts and _claims_not_run(record):
                    yield Violation(
                        NOT_RUN, request_id,
                        f"{record.place} says {record.outcome}, but "
                        f"{starts[0].place} started {starts[0].attempt} on "
                        f"{starts[0].worker}")

    def _check_answers(self) -> Iterator[Violation]:
        for request_id, records in self._caller_records.items():
            answers = {
                record.digest: record
                for record in records
                if record.outcome == request.State.COMPLETED
            }
            if not answers:
                continue
            own_digests = self._find_answer_digests(request_id)
            if "" in answers and len(answers) == 1:
                yield Violation(ANSWER, request_id,
                                f"{answers[''].place}: no answer was received")
            for digest, record in sorted(answers.items()):
                if digest and digest not in own_digests:
                    yield Violation(
                        ANSWER, request_id,
                        f"{record.place}: no finished attempt of this request "
                        f"gave the answer {digest[:12]}")
                if digest and record.expected and digest != record.expected:
                    yield Violation(
                        ANSWER, request_id, f"{record.place}: expected "
                        f"{record.expected[:12]}, received {digest[:12]}")

    def _find_answer_digests(self, request_id: str) -> set[str]:
        """Returns the digests of attempts that finished on all ranks."""
        digests = set()
        for attempt in {start.attempt for start in self._starts[request_id]}:
            events = self._by_attempt[attempt]
            finished_ranks = {
                rank for event in events if event.event == "finish"
                for rank in event.ranks
            }
            if len(finished_ranks) == self._find_gang_size(events):
                digests |= {event.digest for event in events if event.digest}
        return digests

    def _check_outcomes(self) -> Iterator[Violation]:
        for request_id, records in self._caller_records.items():
            final_records = [
                record for record in records
                if record.outcome in request.FINAL_STATES
            ]
            names = sorted({record.outcome for record in final_records})
            if len(names) > 1:
                places = ", ".join(record.place for record in final_records)
                yield Violation(ONE_OUTCOME, request_id,
                                f"{' and '.join(names)} at {places}")
            digests = {
                record.digest for record in final_records if record.digest
            }
            if len(digests) > 1:
                yield Violation(ONE_OUTCOME, request_id,
                                f"{len(digests)} different answers")
            accepted = [
                record for record in records
                if record.outcome == history.ACCEPTED
            ]
            if accepted and not names:
                yield Violation(
                    ONE_OUTCOME, request_id,
                    f"accepted at {accepted[0].place}, no final outcome")

    def _check_leaving(self) -> Iterator[Violation]:
        for worker, events in self._by_worker.items():
            marked_s: float | None = None
            for event in sorted(events, key=lambda event: event.wall_s):
                if event.event == "leaving":
                    marked_s = event.wall_s if marked_s is None else marked_s
                elif event.event == "staying":
                    marked_s = None
                elif event.event == "start" and marked_s is not None:
                    late_s = event.wall_s - marked_s
                    if late_s > self._bounds.leaving_s:
                        yield Violation(
                            LEAVING, worker,
                            f"{event.place} started {event.attempt} "
                            f"{late_s:.3f} s after the leaving mark")

    def _check_epochs(self) -> Iterator[Violation]:
        for worker, events in self._by_worker.items():
            highest_epochs: dict[str, int] = {}
            for event in events:
                if not event.attempt:
                    continue
                highest_epoch = highest_epochs.get(event.boot, 0)
                if event.epoch < highest_epoch:
                    yield Violation(
                        FENCING, worker,
                        f"{event.place}: {event.event} of {event.attempt} at "
                        f"epoch {event.epoch} after epoch {highest_epoch}")
                highest_epochs[event.boot] = max(highest_epoch, event.epoch)

    def _check_requests_known(self) -> Iterator[Violation]:
        for request_id, starts in self._starts.items():
            if request_id not in self._caller_records:
                yield Violation(
                    KNOWN_REQUEST, request_id,
                    f"{starts[0].place} started it, but no caller history "
                    "names it")


def _claims_not_run(record: history.CallerRecord) -> bool:
    if record.outcome in (request.State.NOT_RUN, request.State.EXPIRED):
        return True
    return (record.outcome in request.FINAL_STATES and
            record.ran == request.Ran.NO)


def _measure_partial_gang(intervals: list[_Interval],
                          size: int) -> tuple[float, int]:
    """Finds the longest time in which only some ranks of a gang ran.

    A rank that has finished counts as present while others still run. A rank
    that runs on two workers at once counts once.

    Args:
        intervals: Run intervals of one attempt.
        size: Number of ranks of the gang.

    Returns:
        The longest such time without interruption in seconds, and the smallest
        number of ranks that were running or finished in it.
    """
    times = sorted({interval.begin_s for interval in intervals} |
                   {interval.end_s for interval in intervals})
    longest, fewest = 0.0, size
    partial_since_s: float | None = None
    fewest_so_far = size
    for begin_s, end_s in itertools.pairwise(times):
        running = {
            interval.rank
            for interval in intervals
            if interval.begin_s <= begin_s and interval.end_s >= end_s
        }
        done = {
            interval.rank
            for interval in intervals
            if interval.finished and interval.end_s <= begin_s
        }
        present = len(running | done)
        if not running or present >= size:
            partial_since_s = None
            continue
        if partial_since_s is None:
            partial_since_s, fewest_so_far = begin_s, size
        fewest_so_far = min(fewest_so_far, present)
        if end_s - partial_since_s > longest:
            longest, fewest = end_s - partial_since_s, fewest_so_far
    return longest, fewest


def read_recording(workers: Iterable[pathlib.Path],
                   callers: Iterable[pathlib.Path], bounds: Bounds) -> Checker:
    """Reads the files of one recording.

    Args:
        workers: Worker histories.
        callers: Caller histories.
        bounds: Times that the rules allow.

    Returns:
        A checker of the whole recording.

    Raises:
        InvalidDocuments: If a line does not have the expected form.
    """
    findings: list[errors.Finding] = []
    events: list[history.Event] = []
    told: list[history.CallerRecord] = []
    for path in workers:
        lines = path.read_text().splitlines()
        events += history.parse_worker_history(path.name, lines, findings)
    for path in callers:
        lines = path.read_text().splitlines()
        told += history.parse_caller_history(path.name, lines, findings)
    if findings:
        raise errors.InvalidDocuments.from_findings(findings)
    return Checker(events=events, told=told, bounds=bounds)


_HISTORY_FILE = click.Path(path_type=pathlib.Path, exists=True, dir_okay=False)


@click.command()
@click.option("--workers",
              type=_HISTORY_FILE,
              multiple=True,
              required=True,
              help="History of workers; can be given several times.")
@click.option("--callers",
              type=_HISTORY_FILE,
              multiple=True,
              required=True,
              help="History of callers; can be given several times.")
@click.option("--start-limit-s", default=GANG_START_LIMIT_S, show_default=True)
@click.option("--lease-s", default=TASK_LEASE_S, show_default=True)
@click.option("--leaving-s",
              default=MAX_START_AFTER_LEAVING_S,
              show_default=True)
def main(workers: tuple[pathlib.Path, ...], callers: tuple[pathlib.Path, ...],
         **bounds: Any) -> None:
    """Checks a recording; fails on a violation and on an empty recording."""
    try:
        checker = read_recording(workers, callers, Bounds(**bounds))
    except errors.InvalidDocuments as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        raise SystemExit(2) from error
    violations = checker.find_violations()
    for violation in violations:
        click.echo(str(violation))
    click.echo(
        json.dumps({
            **checker.count_checked(), "violations": len(violations)
        }))
    if not checker.requests or not checker.starts:
        click.echo("the recording holds no requests or no starts", err=True)
        raise SystemExit(2)
    if violations:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
