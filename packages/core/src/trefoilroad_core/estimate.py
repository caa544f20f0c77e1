"""Run time estimates from observed run times."""

import abc
import collections
from collections.abc import Collection
from collections.abc import Iterable
import math
import statistics

WINDOW = 33
"""Observed ratios kept for each team and template; older ones are dropped."""

MINIMUM_OBSERVATIONS = 3
"""Fewer observations than this say less than those of all teams together."""

HIGH_QUANTILE = 0.9
"""Share of gangs that end within the longest estimated run time."""

MINIMUM_S = 0.1
"""Lower bound of an estimate, so that no work is free of charge."""


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
    """Believes the declared run times."""

    def estimate(self, team: str, template: str, declared_s: float) -> float:
        """Returns the declared run time; see Estimator.estimate."""
        return max(declared_s, MINIMUM_S)

    def estimate_longest(self, team: str, template: str,
                         declared_s: float) -> float:
        """Returns the declared run time; see Estimator.estimate_longest."""
        return max(declared_s, MINIMUM_S)

    def observe(self, team: str, template: str, declared_s: float,
                real_s: float) -> None:
        """Ignores the observation."""


class _Window:
    """Logarithms of observed run times, plain and relative to declarations."""

    def __init__(self, size: int):
        self.ratios: collections.deque[float] = collections.deque(maxlen=size)
        self.times: collections.deque[float] = collections.deque(maxlen=size)
        self.ratio: float | None = None
        self.time: float | None = None
        self.stretch = 1.0

    def add(self, declared_s: float, real_s: float) -> None:
        time = math.log(real_s)
        self.times.append(time)
        self.ratios.append(time - math.log(declared_s))
        if len(self.times) < MINIMUM_OBSERVATIONS:
            return
        self.ratio = self.time = None
        ratio, ratio_spread = _summarize(self.ratios)
        time, time_spread = _summarize(self.times)
        if ratio_spread <= time_spread:
            self.ratio = math.exp(ratio)
            self.stretch = math.exp(_find_high(self.ratios) - ratio)
        else:
            self.time = math.exp(time)
            self.stretch = math.exp(_find_high(self.times) - time)

    def estimate(self, declared_s: float) -> float | None:
        if self.ratio is not None:
            return declared_s * self.ratio
        return self.time


def _summarize(values: Iterable[float]) -> tuple[float, float]:
    median = statistics.median(values)
    return median, statistics.median([abs(value - median) for value in values])


def _find_high(values: Collection[float]) -> float:
    return sorted(values)[int(len(values) * HIGH_QUANTILE)]


class ObservedEstimator(Estimator):
    """Learns from a bounded window of run times by team and template.

    The estimate is the median ratio of real to declared run time applied to
    the declaration or, where declarations tell less than that, the median run
    time. Medians follow a changed load and are not moved by single gangs that
    hang or end at once (compare Tsafrir et al., "Backfilling using
    system-generated predictions", TPDS 2007).
    """

    def __init__(self, *, window: int = WINDOW):
        self._size = window
        self._windows: dict[tuple[str, str], _Window] = {}

    def estimate(self, team: str, template: str, declared_s: float) -> float:
        """Returns the learnt run time; see Estimator.estimate."""
        return self._estimate(team, template, declared_s)[0]

    def estimate_longest(self, team: str, template: str,
                         declared_s: float) -> float:
        """Returns a high quantile; see Estimator.estimate_longest."""
        estimated_s, stretch = self._estimate(team, template, declared_s)
        return estimated_s * stretch

    def _estimate(self, team: str, template: str,
                  declared_s: float) -> tuple[float, float]:
        declared_s = max(declared_s, MINIMUM_S)
        for key in ((team, template), ("", template)):
            window = self._windows.get(key)
            learnt = window.estimate(declared_s) if window else None
            if window is not None and learnt is not None:
                return max(learnt, MINIMUM_S), window.stretch
        return declared_s, 1.0

    def observe(self, team: str, template: str, declared_s: float,
                real_s: float) -> None:
        """Records one run time; see Estimator.observe."""
        declared_s = max(declared_s, MINIMUM_S)
        real_s = max(real_s, MINIMUM_S)
        # The empty team name holds the observations of all teams together.
        for key in ((team, template), ("", template)):
            window = self._windows.setdefault(key, _Window(self._size))
            window.add(declared_s, real_s)
