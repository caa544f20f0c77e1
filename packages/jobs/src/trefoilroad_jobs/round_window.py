"""Bounds how many ready steps a round considers, and chooses them.

Load pattern: clients hand in more jobs, or jobs of more steps and occurrences,
than the leader can consider between two reports of its workers. The duration of
a round then has to depend on a bound and not on the clients.

As long as all ready steps are within the bound, each round considers all of
them. Beyond it the jobs take turns: those for which room is kept come in each
round, then urgent and other jobs alternate, in both the teams alternate, and in
a team the jobs follow each other in the order in which they were accepted. A
job that is left out keeps its reservations and the time it has waited.
"""

import bisect
import collections
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
import itertools

from trefoilroad_jobs import progress

# Ready steps of all jobs in a round. A step takes some 50 microseconds, most of
# them for the collection of its inputs.
MAX_STEPS = 2_000
# Ready steps of one job in a round. A job has up to 100 steps, so that only
# jobs with several occurrences are concerned.
MAX_STEPS_OF_JOB = 100

_Turn = tuple[float, str]
"""Time of acceptance and id of a job."""


class RoundWindow:
    """Chooses what a round considers, and remembers whose turn it is.

    Attributes:
        deferred: Ids of the jobs that the current round does not consider, or
            not with all their ready steps.
    """

    def __init__(self) -> None:
        self.deferred: set[str] = set()
        self._is_full = False
        # The last job considered, by class and team.
        self._turns: dict[tuple[bool, str], _Turn] = {}
        # Number of ready steps to pass over, by job.
        self._offsets: dict[str, int] = {}

    def choose(
        self, jobs: Sequence[progress.Job], wall_ms: float, *,
        kept: Container[str], urgent: Container[str]
    ) -> list[tuple[progress.Job, list[tuple[int, int]]]]:
        """Begins a round; returns its jobs with their ready steps.

        Args:
            jobs: All jobs in the order in which they were accepted.
            wall_ms: Time of day in Unix milliseconds.
            kept: Ids of the jobs for which room is kept.
            urgent: Ids of the urgent jobs.
        """
        self.deferred = set()
        is_rotating = self._is_full
        ordered = self._order(jobs, kept, urgent) if is_rotating else jobs
        chosen = []
        count = 0
        for position, job in enumerate(ordered):
            if count >= MAX_STEPS:
                self.deferred.update(left.job_id for left in ordered[position:])
                break
            steps = self._list_steps(job, wall_ms)
            count += len(steps)
            chosen.append((job, steps))
            if is_rotating and job.job_id not in kept:
                self._turns[job.job_id in urgent,
                            job.workload.team] = _get_turn(job)
        self._is_full = count >= MAX_STEPS
        if not self._is_full:
            self._turns.clear()
        return chosen

    def forget(self, job_id: str) -> None:
        """Forgets a job that has ended."""
        self._offsets.pop(job_id, None)

    def _list_steps(self, job: progress.Job,
                    wall_ms: float) -> list[tuple[int, int]]:
        offset = self._offsets.pop(job.job_id, 0)
        ready = job.list_ready(wall_ms)
        steps = list(
            itertools.islice(ready, offset, offset + MAX_STEPS_OF_JOB + 1))
        if len(steps) > MAX_STEPS_OF_JOB:
            self._offsets[job.job_id] = offset + MAX_STEPS_OF_JOB
        if offset or len(steps) > MAX_STEPS_OF_JOB:
            self.deferred.add(job.job_id)
        return steps[:MAX_STEPS_OF_JOB]

    def _order(self, jobs: Iterable[progress.Job], kept: Container[str],
               urgent: Container[str]) -> list[progress.Job]:
        first = []
        by_class: dict[bool, dict[str, list[progress.Job]]] = {
            True: collections.defaultdict(list),
            False: collections.defaultdict(list)
        }
        for job in jobs:
            if job.job_id in kept:
                first.append(job)
            else:
                teams = by_class[job.job_id in urgent]
                teams[job.workload.team].append(job)
        rotated = [
            _alternate([
                self._rotate(is_urgent, team, team_jobs)
                for team, team_jobs in teams.items()
            ])
            for is_urgent, teams in by_class.items()
        ]
        return first + _alternate(rotated)

    def _rotate(self, is_urgent: bool, team: str,
                jobs: list[progress.Job]) -> list[progress.Job]:
        """Returns the jobs of a team from the one whose turn it is."""
        last = self._turns.get((is_urgent, team))
        if last is None:
            return jobs
        begin = bisect.bisect_right(jobs, last, key=_get_turn)
        return jobs[begin:] + jobs[:begin]


def _get_turn(job: progress.Job) -> _Turn:
    return job.accepted_s, job.job_id


def _alternate(lists: Iterable[Sequence[progress.Job]]) -> list[progress.Job]:
    """Takes a job of each list in turn until all are used."""
    return [
        job for turn in itertools.zip_longest(*lists) for job in turn
        if job is not None
    ]
