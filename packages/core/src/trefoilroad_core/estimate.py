"""Run time estimates from observed run times."""

import abc
import collections
from collections.abc import Collection
from collections.abc import Iterable
import math
import statistics

MAX_OBSERVATIONS = 33
"""Observations kept for each team and template; older ones are dropped."""

MIN_OBSERVATIONS = 3
"""Below this number, the observations of all teams are used instead."""

HIGH_QUANTILE = 0.9
"""Quantile of observed run times that is the longest estimated one."""

MIN_ESTIMATE_S = 0.1
"""Lower bound of an estimate in seconds, so that every gang is charged."""


class Estimator(abc.ABC):
    """Estimates run times."""

    @abc.abstractmethod
    def estimate(self, team: str, template: str, declared_s: float) -> float:
        """Estimates a run time.

        Args:
            team: Team that submitted the request.
            template: Name of its template.
            declared_s: Declared run time in seconds.

        Returns:
            The estimated run time in seconds, more than zero.
        """

    @abc.abstractmethod
    def estimate_longest(self, team: str, template: str,
                         declared_s: float) -> float:
        """Estimates a run time that few gangs exceed.

        Args:
            team: Team that submitted the request.
            template: Name of its template.
            declared_s: Declared run time in seconds.

        Returns:
            A run time in seconds, no less than that of `estimate`.
        """

    @abc.abstractmethod
    def observe(self, team: str, template: str, declared_s: float,
                real_s: float) -> None:
        """Records the run time of a completed gang.

        Args:
            team: Team that submitted the request.
            template: Name of its template.
            declared_s: Declared run time in seconds.
            real_s: Real run time in seconds.
        """


class DeclaredEstimator(Estimator):
    """Uses the declared run times as estimates."""

    def estimate(self, team: str, template: str, declared_s: float) -> float:
        """Returns the declared run time; see Estimator.estimate."""
        return max(declared_s, MIN_ESTIMATE_S)

    def estimate_longest(self, team: str, template: str,
                         declared_s: float) -> float:
        """Returns the declared run time; see Estimator.estimate_longest."""
        return max(declared_s, MIN_ESTIMATE_S)

    def observe(self, team: str, template: str, declared_s: float,
                real_s: float) -> None:
        """Ignores the observation."""


class _ObservationWindow:
    """Run times observed for one key, as logarithms.

    Attributes:
        log_ratios: Logarithms of the ratios of real to declared run times.
        log_times: Logarithms of the real run times in seconds.
        median_ratio: Median ratio if ratios spread no more than run times,
            else None.
        median_s: Median run time in seconds if run times spread less than
            ratios, else None.
        high_ratio: Ratio of the high quantile to the median.
    """

    def __init__(self, size: int):
        self.log_ratios: collections.deque[float] = collections.deque(
            maxlen=size)
        self.log_times: collections.deque[float] = collections.deque(
            maxlen=size)
        self.median_ratio: float | None = None
        self.median_s: float | None = None
        self.high_ratio = 1.0

    def add(self, declared_s: float, real_s: float) -> None:
        log_time = math.log(real_s)
        self.log_times.append(log_time)
        self.log_ratios.append(log_time - math.log(declared_s))
        if len(self.log_times) < MIN_OBSERVATIONS:
            return
        self.median_ratio = self.median_s = None
        log_ratio, ratio_spread = _summarize(self.log_ratios)
        log_time, time_spread = _summarize(self.log_times)
        if ratio_spread <= time_spread:
            self.median_ratio = math.exp(log_ratio)
            self.high_ratio = math.exp(
                _find_high_quantile(self.log_ratios) - log_ratio)
        else:
            self.median_s = math.exp(log_time)
            self.high_ratio = math.exp(
                _find_high_quantile(self.log_times) - log_time)

    def estimate(self, declared_s: float) -> float | None:
        if self.median_ratio is not None:
            return declared_s * self.median_ratio
        return self.median_s


def _summarize(values: Iterable[float]) -> tuple[float, float]:
    median = statistics.median(values)
    return median, statistics.median([abs(value - median) for value in values])


def _find_high_quantile(values: Collection[float]) -> float:
    return sorted(values)[int(len(values) * HIGH_QUANTILE)]


class ObservedEstimator(Estimator):
    """Estimates from a bounded window of run times by team and template.

    The estimate is the declared run time times the median ratio of real to
    declared run time. Where ratios spread more than run times, it is the median
    run time. Medians follow a changed load and are robust against single gangs
    that hang or end at once (compare Tsafrir et al., "Backfilling using
    system-generated predictions", TPDS 2007).
    """

    def __init__(self, *, window: int = MAX_OBSERVATIONS):
        self._size = window
        self._windows: dict[tuple[str, str], _ObservationWindow] = {}

    def estimate(self, team: str, template: str, declared_s: float) -> float:
        """Returns the median estimate; see Estimator.estimate."""
        return self._estimate(team, template, declared_s)[0]

    def estimate_longest(self, team: str, template: str,
                         declared_s: float) -> float:
        """Returns a high quantile; see Estimator.estimate_longest."""
        estimated_s, high_ratio = self._estimate(team, template, declared_s)
        return estimated_s * high_ratio

    def _estimate(self, team: str, template: str,
                  declared_s: float) -> tuple[float, float]:
        declared_s = max(declared_s, MIN_ESTIMATE_S)
        for key in ((team, template), ("", template)):
            window = self._windows.get(key)
            estimated_s = window.estimate(declared_s) if window else None
            if window is not None and estimated_s is not None:
                return max(estimated_s, MIN_ESTIMATE_S), window.high_ratio
        return declared_s, 1.0

    def observe(self, team: str, template: str, declared_s: float,
                real_s: float) -> None:
        """Records one run time; see Estimator.observe."""
        declared_s = max(declared_s, MIN_ESTIMATE_S)
        real_s = max(real_s, MIN_ESTIMATE_S)
        # The empty team name holds the observations of all teams together.
        for key in ((team, template), ("", template)):
            window = self._windows.setdefault(key,
                                              _ObservationWindow(self._size))
            window.add(declared_s, real_s)
