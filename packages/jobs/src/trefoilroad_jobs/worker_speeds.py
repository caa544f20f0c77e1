"""Learns how fast each worker is, from the progress of the tasks on it.

Answers the load of a fleet of uneven workers: work with little time to spare
that lands on a slow worker is late although it starts at once, while work that
can wait occupies the fast ones.

Tasks of one step do the same kind of work, so the times that they need for one
percent of it differ by the speed of their workers. Steps and workers form a
two-way layout, of which the effects of the workers are estimated by weighted
least squares. Neither declared run times nor the speed of a job's queue
matter.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

# Evidence loses half of its weight in this time, so that a worker that turns
# slow, or recovers, is seen as such within seconds.
HALF_LIFE_S = 15.0
# Evidence older than this is dropped.
MAX_AGE_S = 4 * HALF_LIFE_S
# Standard deviation of the logarithm of a worker's slowness before any
# evidence. Workers of one service differ by factors of up to two.
PRIOR_DEVIATION = 0.4
# Standard deviation of a sample: members of a gang have equal shares of the
# work, other tasks of a step differ by some tenths.
GANG_DEVIATION = 0.05
TASK_DEVIATION = 0.25
# Progress is reported in whole percents; a sample covers at least this many.
MIN_PERCENTS = 8
# An estimate counts once it exceeds this multiple of its standard deviation.
MIN_SIGNIFICANCE = 2.0
# Width of a class of workers of about the same speed, as a logarithm.
CLASS_WIDTH = 0.2
# Number of sweeps of the solver at each update. Each update begins with the
# result of the one before.
SWEEPS = 3
UPDATE_INTERVAL_S = 1.0
# Longest time between two updates, so that old samples are dropped also if no
# new ones come.
MAX_UPDATE_INTERVAL_S = 10.0
# Number of samples that are kept; an update of 1,000 takes 5 ms.
MAX_SAMPLES = 2_000
# Run times are only estimated, so work needs as much time to spare on a slower
# worker. Urgent work has little to spare by its objective and prefers the
# fastest workers in any case.
RUN_TIME_MARGIN = 1.6
URGENT_RUN_TIME_MARGIN = 1.1
# Classes that no worker reaches.
FASTEST_CLASS = -100
SLOWEST_CLASS = 100


def find_max_class(available_s: float, run_s: float, *, is_urgent: bool) -> int:
    """Returns the slowest class of workers on which work ends in time.

    Args:
        available_s: Time until the work should have ended, in seconds.
        run_s: Time that it needs on a usual worker, in seconds.
        is_urgent: Whether it is of the most urgent priority.

    Returns:
        The class; FASTEST_CLASS if it is late in any case.
    """
    margin = URGENT_RUN_TIME_MARGIN if is_urgent else RUN_TIME_MARGIN
    slowness = available_s / max(run_s, 0.001) / margin
    if slowness <= 0.0:
        return FASTEST_CLASS
    return max(FASTEST_CLASS, math.floor(math.log(slowness) / CLASS_WIDTH))


class Group(NamedTuple):
    """Tasks whose progress can be compared.

    Attributes:
        job_id: Job of the tasks.
        occurrence: Number of the occurrence.
        step: Number of the step.
        in_data_rack: Whether their worker is in the rack of the step's data;
            others take several times as long.
        gang: Whether they work only together.
    """

    job_id: str
    occurrence: int
    step: int
    in_data_rack: bool
    gang: bool


class _Sample(NamedTuple):
    """Time that a task needed for one percent, as a logarithm.

    Attributes:
        group: Tasks that the task is compared with.
        worker_id: Worker of the task.
        log_seconds: Logarithm of the seconds for one percent.
        at_s: When it was taken.
    """

    group: Group
    worker_id: str
    log_seconds: float
    at_s: float


class _Anchor(NamedTuple):
    """Progress of a run from which the next sample is measured."""

    percent: int
    at_s: float


RunKey = tuple[object, int]
"""Task and number of the run."""


class WorkerSpeeds:
    """Estimates of the slowness of the workers of one service.

    The slowness of a worker is the time that it needs for some work relative
    to the median worker.
    """

    def __init__(self) -> None:
        self._anchors: dict[RunKey, _Anchor] = {}
        self._samples: dict[RunKey, _Sample] = {}
        self._effects: dict[str, float] = {}
        self._logs: dict[str, float] = {}
        self._updated_s = float("-inf")
        self._changed = False

    def record_progress(self, key: RunKey, group: Group, worker_id: str,
                        percent: int, *, started_s: float | None,
                        now_s: float) -> None:
        """Records the progress of a run.

        Args:
            key: The run.
            group: Tasks that it is compared with.
            worker_id: Worker of the run.
            percent: Progress in percent.
            started_s: When it started with no progress; None if it resumed
                from a checkpoint or its start is not known exactly.
            now_s: Current time in seconds.
        """
        anchor = self._anchors.get(key)
        if anchor is None:
            anchor = (_Anchor(0, started_s)
                      if started_s is not None else _Anchor(percent, now_s))
            self._anchors[key] = anchor
        percents = percent - anchor.percent
        if percents < MIN_PERCENTS or percent >= 100:
            # A member of a gang that is done waits for the others.
            return
        self._add_sample(key, group, worker_id,
                         (now_s - anchor.at_s) / percents, now_s)
        self._anchors[key] = _Anchor(percent, now_s)

    def record_end(self, key: RunKey, group: Group, worker_id: str, *,
                   done: bool, now_s: float) -> None:
        """Records the end of a run; its last sample stays."""
        anchor = self._anchors.pop(key, None)
        if anchor is None or not done or group.gang:
            # All members of a gang end with the slowest one.
            return
        percents = 100 - anchor.percent
        if percents >= MIN_PERCENTS:
            self._add_sample(key, group, worker_id,
                             (now_s - anchor.at_s) / percents, now_s)

    def _add_sample(self, key: RunKey, group: Group, worker_id: str,
                    seconds: float, now_s: float) -> None:
        if seconds > 0.0:
            self._samples.pop(key, None)
            self._samples[key] = _Sample(group, worker_id, math.log(seconds),
                                         now_s)
            if len(self._samples) > MAX_SAMPLES:
                del self._samples[next(iter(self._samples))]
            self._changed = True

    def update(self, now_s: float) -> None:
        """Estimates the speeds anew if there are samples since the last time.

        Args:
            now_s: Current time in seconds.
        """
        interval_s = (UPDATE_INTERVAL_S
                      if self._changed else MAX_UPDATE_INTERVAL_S)
        if not self._samples or now_s < self._updated_s + interval_s:
            return
        self._changed = False
        self._updated_s = now_s
        self._samples = {
            key: sample
            for key, sample in self._samples.items()
            if now_s - sample.at_s < MAX_AGE_S
        }
        cells = _sum_cells(self._samples.values(), now_s)
        self._effects, weights = _solve(cells, self._effects)
        self._logs = _select_significant(self._effects, weights)

    def get_slowness(self, worker_id: str) -> float:
        """Returns the slowness of a worker; 1.0 if nothing is known."""
        log = self._logs.get(worker_id)
        return 1.0 if log is None else math.exp(log)

    def get_class(self, worker_id: str) -> int:
        """Returns the class of a worker: 0 is usual, higher ones are slower."""
        return round(self._logs.get(worker_id, 0.0) / CLASS_WIDTH)

    def list_slownesses(self) -> dict[str, float]:
        """Returns the slowness of all workers that are not usual."""
        return {
            worker_id: math.exp(log)
            for worker_id, log in self._logs.items()
            if round(log / CLASS_WIDTH)
        }


class _Cell:
    """Samples of one group on one worker."""

    __slots__ = ("log_sum", "weight")

    def __init__(self) -> None:
        self.log_sum = 0.0
        self.weight = 0.0

    def add(self, log_seconds: float, weight: float) -> None:
        self.log_sum += weight * log_seconds
        self.weight += weight

    @property
    def mean(self) -> float:
        return self.log_sum / self.weight


_Cells = dict[Group, dict[str, _Cell]]


def _sum_cells(samples: Iterable[_Sample], now_s: float) -> _Cells:
    """Sums samples by group and worker; drops groups on a single worker."""
    cells: _Cells = {}
    for sample in samples:
        deviation = GANG_DEVIATION if sample.group.gang else TASK_DEVIATION
        weight = 0.5**((now_s - sample.at_s) / HALF_LIFE_S) / deviation**2
        group_cells = cells.setdefault(sample.group, {})
        cell = group_cells.get(sample.worker_id)
        if cell is None:
            cell = group_cells[sample.worker_id] = _Cell()
        cell.add(sample.log_seconds, weight)
    return {
        group: group_cells
        for group, group_cells in cells.items()
        if len(group_cells) > 1
    }


def _solve(
        cells: _Cells,
        effects: dict[str, float]) -> tuple[dict[str, float], dict[str, float]]:
    """Fits effects of groups and of workers to the cells.

    Args:
        cells: Weighted means by group and worker.
        effects: Effects of workers to begin with.

    Returns:
        Effects of the workers, and the weights of the evidence for them.
    """
    by_worker: dict[str, list[tuple[Group, float, float]]] = {}
    for group, group_cells in cells.items():
        total = sum([cell.weight for cell in group_cells.values()])
        for worker_id, cell in group_cells.items():
            # What the group's own effect takes from the evidence.
            weight = cell.weight * (1.0 - cell.weight / total)
            by_worker.setdefault(worker_id, []).append(
                (group, cell.mean, weight))
    effects = {name: effects.get(name, 0.0) for name in by_worker}
    weights = {
        worker_id: sum([weight for _, _, weight in observations])
        for worker_id, observations in by_worker.items()
    }
    for _ in range(SWEEPS):
        group_effects = {}
        for group, group_cells in cells.items():
            log_sum, total = 0.0, 0.0
            for worker_id, cell in group_cells.items():
                log_sum += cell.log_sum - cell.weight * effects[worker_id]
                total += cell.weight
            group_effects[group] = log_sum / total
        for worker_id, observations in by_worker.items():
            log_sum = sum([
                weight * (mean - group_effects[group])
                for group, mean, weight in observations
            ])
            effects[worker_id] = log_sum / (weights[worker_id] +
                                            PRIOR_DEVIATION**-2)
    return effects, weights


def _select_significant(effects: dict[str, float],
                        weights: dict[str, float]) -> dict[str, float]:
    """Returns the effects relative to the median, zero where in doubt."""
    if not effects:
        return {}
    # The module statistics would cost each process 0.3 MB of memory.
    median = sorted(effects.values())[len(effects) // 2]
    logs = {}
    for worker_id, effect in effects.items():
        deviation = (weights[worker_id] + PRIOR_DEVIATION**-2)**-0.5
        log = effect - median
        logs[worker_id] = log if abs(
            log) > MIN_SIGNIFICANCE * deviation else 0.0
    return logs
