"""Counters and latency histograms that are read over HTTP as text."""

import bisect
import collections

from trefoilroad_node import metrics

# Upper bounds of the buckets in seconds, from a call on one host to the
# longest wait of a caller.
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
             5.0, 10.0, 30.0)
PREFIX = "trefoilroad_"


class _Histogram:
    """Counts of durations by bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0


class Registry(metrics.Metrics):
    """Keeps metrics in memory until they are read."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._levels: dict[str, float] = {}
        self._histograms: dict[str, _Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """See Metrics.count."""
        self._counters[name] += value

    def time(self, name: str, seconds: float) -> None:
        """See Metrics.time."""
        histogram = self._histograms.setdefault(name, _Histogram())
        histogram.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        histogram.total_s += seconds

    def set_level(self, name: str, value: float) -> None:
        """See Metrics.set_level."""
        self._levels[name] = value

    def render(self) -> str:
        """Returns all metrics in the text format of Prometheus."""
        lines = []
        for name, value in sorted(self._counters.items()):
            lines.append(f"{_format_name(name)}_total {value}")
        for name, level in sorted(self._levels.items()):
            lines.append(f"{_format_name(name)} {level}")
        for name, histogram in sorted(self._histograms.items()):
            lines += _render_histogram(f"{_format_name(name)}_seconds",
                                       histogram)
        return "\n".join(lines) + "\n"


def _format_name(name: str) -> str:
    return PREFIX + name.replace(".", "_")


def _render_histogram(name: str, histogram: _Histogram) -> list[str]:
    lines = []
    total = 0
    for bound, count in zip((*BUCKETS_S, "+Inf"), histogram.counts,
                            strict=True):
        total += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
    lines.append(f"{name}_sum {histogram.total_s}")
    lines.append(f"{name}_count {total}")
    return lines
