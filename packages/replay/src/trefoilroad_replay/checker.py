"""Independent checker of recorded histories.

It judges two recordings and nothing else: what the workers did and what the
callers were told. It reads no state of the product. The module history
describes both. Workers and callers of one recording share a wall clock;
durations between workers are measured on it.
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

START_LIMIT_S = 1.0
LEASE_S = 10.0
LEAVING_S = 5.0

# Rules, as named in violations.
PARTIAL_GANG = "partial gang"
AT_MOST_ONCE = "at most once"
NOT_RUN = "not run"
ANSWER = "answer"
ONE_OUTCOME = "one outcome"
LEAVING = "leaving"
FENCING = "fencing"
KNOWN_REQUEST = "known request"


class Violation(NamedTuple):
    """A rule that does not hold.

    Attributes:
        rule: Name of the rule.
        subject: Attempt, request or worker.
        message: What was seen, and where.
    """

    rule: str
    subject: str
    message: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.subject}: {self.message}"


class Bounds(NamedTuple):
    """Times that the rules allow, in seconds.

    Attributes:
        start_limit_s: Longest time in which members of a gang start.
        lease_s: Lease of a running task.
        leaving_s: Longest time from a leaving mark to the last start.
    """

    start_limit_s: float = START_LIMIT_S
    lease_s: float = LEASE_S
    leaving_s: float = LEAVING_S

    @property
    def disagreement_s(self) -> float:
        """Longest time for which members of a gang may disagree."""
        return self.start_limit_s + self.lease_s


class _Interval(NamedTuple):
    """Time in which one rank of an attempt ran on a worker."""

    rank: int
    worker: str
    begin_s: float
    end_s: float
    finished: bool


class Checker:
    """Judges one recording."""

    def __init__(self, *, events: Iterable[history.Event],
                 told: Iterable[history.Told], bounds: Bounds):
        """Prepares the recording.

        Args:
            events: Histories of all workers; order is kept for each worker.
            told: What all callers were told.
            bounds: Times that the rules allow.
        """
        self._bounds = bounds
        self._by_worker: dict[
            str, list[history.Event]] = collections.defaultdict(list)
        self._by_attempt: dict[
            str, list[history.Event]] = collections.defaultdict(list)
        self._starts: dict[str,
                           list[history.Event]] = collections.defaultdict(list)
        self._told: dict[str,
                         list[history.Told]] = collections.defaultdict(list)
        self._end_s = 0.0
        for event in events:
            self._by_worker[event.worker].append(event)
            self._end_s = max(self._end_s, event.wall_s)
            if event.attempt:
                self._by_attempt[event.attempt].append(event)
            if event.event == "start":
                self._starts[event.request_id].append(event)
        for each in told:
            self._told[each.request_id].append(each)

    @property
    def starts(self) -> int:
        """Number of starts that were judged."""
        return sum(len(starts) for starts in self._starts.values())

    @property
    def requests(self) -> int:
        """Number of requests that were judged."""
        return len(self._told)

    def count_judged(self) -> dict[str, int]:
        """Counts what the rules had to judge; a rule with 0 proves nothing.

        Returns:
            Numbers of requests, starts, attempts of several ranks, starts of
            requests that are not idempotent, claims that a request did not
            run, answers received, and leaving marks.
        """
        told = [each for rows in self._told.values() for each in rows]
        once = {each.request_id for each in told if not each.idempotent}
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
                sum(len(self._starts.get(name, ())) for name in once),
            "not_run":
                sum(map(_claims_not_run, told)),
            "answers":
                sum(bool(each.digest) for each in told),
            "marks":
                sum(event.event == "leaving"
                    for events in self._by_worker.values()
                    for event in events)
        }

    def find_violations(self) -> list[Violation]:
        """Judges all rules.

        Returns:
            All violations, by rule and subject.
        """
        found = itertools.chain(self._check_gangs(), self._check_once(),
                                self._check_not_run(), self._check_answers(),
                                self._check_outcomes(), self._check_leaving(),
                                self._check_epochs(), self._check_known())
        return sorted(found)

    def _check_gangs(self) -> Iterator[Violation]:
        intervals = self._find_intervals()
        for attempt, events in self._by_attempt.items():
            ran = intervals.get(attempt, [])
            if not ran:
                continue
            size = self._find_size(events)
            partial_s, seen = _measure_partial(ran, size)
            if partial_s > self._bounds.disagreement_s:
                yield Violation(
                    PARTIAL_GANG, attempt,
                    f"{seen} of {size} ranks ran for {partial_s:.3f} s, "
                    f"allowed {self._bounds.disagreement_s:.3f} s")

    def _find_size(self, events: list[history.Event]) -> int:
        told = self._told.get(events[0].request_id)
        if told:
            return told[0].shape.tasks
        return len({rank for event in events for rank in event.ranks})

    def _find_intervals(self) -> dict[str, list[_Interval]]:
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
                elif event.event in history.ENDS:
                    close(event.attempt, event.wall_s, event.event == "finish")
                elif event.event in ("restart", "down"):
                    for attempt in list(open_starts):
                        close(attempt, event.wall_s, False)
            # What has no end ran until the end of the recording.
            for attempt in list(open_starts):
                close(attempt, self._end_s, False)
        return intervals

    def _check_once(self) -> Iterator[Violation]:
        for request_id, starts in self._starts.items():
            told = self._told.get(request_id)
            if not told or told[0].idempotent:
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
        for request_id, told in self._told.items():
            for each in told:
                starts = self._starts.get(request_id)
                if starts and _claims_not_run(each):
                    yield Violation(
                        NOT_RUN, request_id,
                        f"{each.place} says {each.outcome}, but "
                        f"{starts[0].place} started {starts[0].attempt} on "
                        f"{starts[0].worker}")

    def _check_answers(self) -> Iterator[Violation]:
        for request_id, told in self._told.items():
            answers = {
                each.digest: each
                for each in told
                if each.outcome == request.State.COMPLETED
            }
            if not answers:
                continue
            own = self._find_answers(request_id)
            if "" in answers and len(answers) == 1:
                yield Violation(ANSWER, request_id,
                                f"{answers[''].place}: no answer was received")
            for digest, each in sorted(answers.items()):
                if digest and digest not in own:
                    yield Violation(
                        ANSWER, request_id,
                        f"{each.place}: no finished attempt of this request "
                        f"gave the answer {digest[:12]}")
                if digest and each.expected and digest != each.expected:
                    yield Violation(
                        ANSWER, request_id, f"{each.place}: expected "
                        f"{each.expected[:12]}, received {digest[:12]}")

    def _find_answers(self, request_id: str) -> set[str]:
        """Returns the digests of attempts that finished on all ranks."""
        digests = set()
        for attempt in {start.attempt for start in self._starts[request_id]}:
            events = self._by_attempt[attempt]
            ended = {
                rank for event in events if event.event == "finish"
                for rank in event.ranks
            }
            if len(ended) == self._find_size(events):
                digests |= {event.digest for event in events if event.digest}
        return digests

    def _check_outcomes(self) -> Iterator[Violation]:
        for request_id, told in self._told.items():
            outcomes = [each for each in told if each.outcome in request.FINAL]
            names = sorted({each.outcome for each in outcomes})
            if len(names) > 1:
                places = ", ".join(each.place for each in outcomes)
                yield Violation(ONE_OUTCOME, request_id,
                                f"{' and '.join(names)} at {places}")
            digests = {each.digest for each in outcomes if each.digest}
            if len(digests) > 1:
                yield Violation(ONE_OUTCOME, request_id,
                                f"{len(digests)} different answers")
            accepted = [
                each for each in told if each.outcome == history.ACCEPTED
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
            highest: dict[str, int] = {}
            for event in events:
                if not event.attempt:
                    continue
                known = highest.get(event.boot, 0)
                if event.epoch < known:
                    yield Violation(
                        FENCING, worker,
                        f"{event.place}: {event.event} of {event.attempt} at "
                        f"epoch {event.epoch} after epoch {known}")
                highest[event.boot] = max(known, event.epoch)

    def _check_known(self) -> Iterator[Violation]:
        for request_id, starts in self._starts.items():
            if request_id not in self._told:
                yield Violation(
                    KNOWN_REQUEST, request_id,
                    f"{starts[0].place} started it, but no caller sent it")


def _claims_not_run(told: history.Told) -> bool:
    if told.outcome in (request.State.NOT_RUN, request.State.EXPIRED):
        return True
    return told.outcome in request.FINAL and told.ran == request.Ran.NO


def _measure_partial(intervals: list[_Interval],
                     size: int) -> tuple[float, int]:
    """Finds the longest time in which a gang ran partially.

    A rank that has finished is not missed by those that still run. Ranks that
    run on two workers at once count once.

    Args:
        intervals: Run intervals of one attempt.
        size: Number of ranks of the gang.

    Returns:
        The longest time without a break in seconds, and the fewest ranks that
        were running or finished in it.
    """
    times = sorted({each.begin_s for each in intervals} |
                   {each.end_s for each in intervals})
    longest, fewest = 0.0, size
    since_s: float | None = None
    low = size
    for begin_s, end_s in itertools.pairwise(times):
        running = {
            each.rank
            for each in intervals
            if each.begin_s <= begin_s and each.end_s >= end_s
        }
        done = {
            each.rank
            for each in intervals
            if each.finished and each.end_s <= begin_s
        }
        present = len(running | done)
        if not running or present >= size:
            since_s = None
            continue
        if since_s is None:
            since_s, low = begin_s, size
        low = min(low, present)
        if end_s - since_s > longest:
            longest, fewest = end_s - since_s, low
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
    told: list[history.Told] = []
    for path in workers:
        lines = path.read_text().splitlines()
        events += history.parse_worker_history(path.name, lines, findings)
    for path in callers:
        lines = path.read_text().splitlines()
        told += history.parse_caller_history(path.name, lines, findings)
    if findings:
        raise errors.InvalidDocuments.from_findings(findings)
    return Checker(events=events, told=told, bounds=bounds)


_PATH = click.Path(path_type=pathlib.Path, exists=True, dir_okay=False)


@click.command()
@click.option("--workers",
              type=_PATH,
              multiple=True,
              required=True,
              help="History of workers; can be given several times.")
@click.option("--callers",
              type=_PATH,
              multiple=True,
              required=True,
              help="What callers were told; can be given several times.")
@click.option("--start-limit-s", default=START_LIMIT_S, show_default=True)
@click.option("--lease-s", default=LEASE_S, show_default=True)
@click.option("--leaving-s", default=LEAVING_S, show_default=True)
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
            **checker.count_judged(), "violations": len(violations)
        }))
    if not checker.requests or not checker.starts:
        click.echo("the recording holds no requests or no starts", err=True)
        raise SystemExit(2)
    if violations:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
