"""Metrics sinks; docs/OPERATIONS.md lists the metrics and their units."""

import abc

import statsd


class Metrics(abc.ABC):
    """Sink of counters, timings and gauges."""

    @abc.abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""

    @abc.abstractmethod
    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""


class NullMetrics(Metrics):
    """Discards all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """See Metrics.count."""

    def time(self, name: str, seconds: float) -> None:
        """See Metrics.time."""

    def set_gauge(self, name: str, value: float) -> None:
        """See Metrics.set_gauge."""


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server as UDP datagrams, without blocking."""

    def __init__(self, *, address: str, prefix: str):
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host=host,
                                          port=int(port),
                                          prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """See Metrics.count."""
        self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """See Metrics.time; statsd expects milliseconds."""
        self._client.timing(name, seconds * 1000.0)

    def set_gauge(self, name: str, value: float) -> None:
        """See Metrics.set_gauge."""
        self._client.gauge(name, value)


def build_metrics(address: str, region: str) -> Metrics:
    """Builds the metrics sink that the settings select.

    Args:
        address: "host:port" of the statsd server, empty for none.
        region: Name of the region, part of each metric's prefix.

    Returns:
        The sink.
    """
    if not address:
        return NullMetrics()
    return StatsdMetrics(address=address, prefix=f"trefoilroad.{region}")
