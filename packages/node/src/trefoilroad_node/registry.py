"""In-memory metrics in the text format of Prometheus."""

import bisect
import collections

from trefoilroad_node import metrics

# Upper bounds of the histogram buckets in seconds, from the duration of a call
# on one host to the longest wait of a caller.
BUCKET_BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0,
                   2.5, 5.0, 10.0, 30.0)
METRIC_PREFIX = "trefoilroad_"


class _Histogram:
    """Number of durations in each bucket, and their sum."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0


class Registry(metrics.Metrics):
    """Accumulates metrics in memory."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, _Histogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """See Metrics.count."""
        self._counters[name] += value

    def time(self, name: str, seconds: float) -> None:
        """See Metrics.time."""
        histogram = self._histograms.setdefault(name, _Histogram())
        histogram.counts[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        histogram.total_s += seconds

    def set_gauge(self, name: str, value: float) -> None:
        """See Metrics.set_gauge."""
        self._gauges[name] = value

    def render(self) -> str:
        """Formats all metrics as Prometheus text."""
        lines = []
        for name, value in sorted(self._counters.items()):
            lines.append(f"{_format_name(name)}_total {value}")
        for name, gauge in sorted(self._gauges.items()):
            lines.append(f"{_format_name(name)} {gauge}")
        for name, histogram in sorted(self._histograms.items()):
            lines += _render_histogram(f"{_format_name(name)}_seconds",
                                       histogram)
        return "\n".join(lines) + "\n"


def _format_name(name: str) -> str:
    return METRIC_PREFIX + name.replace(".", "_")


def _render_histogram(name: str, histogram: _Histogram) -> list[str]:
    lines = []
    cumulative_count = 0
    for bound, count in zip((*BUCKET_BOUNDS_S, "+Inf"),
                            histogram.counts,
                            strict=True):
        cumulative_count += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative_count}')
    lines.append(f"{name}_sum {histogram.total_s}")
    lines.append(f"{name}_count {cumulative_count}")
    return lines
