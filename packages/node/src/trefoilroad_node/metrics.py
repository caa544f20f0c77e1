"""Metrics by statsd; docs/OPERATIONS.md lists names and units."""

import abc

import statsd


class Metrics(abc.ABC):
    """Takes counts, times and levels."""

    @abc.abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Records a duration in seconds; statsd gets milliseconds."""

    @abc.abstractmethod
    def set_level(self, name: str, value: float) -> None:
        """Sets a gauge."""


class NullMetrics(Metrics):
    """Drops everything."""

    def count(self, name: str, value: int = 1) -> None:
        """Does nothing."""

    def time(self, name: str, seconds: float) -> None:
        """Does nothing."""

    def set_level(self, name: str, value: float) -> None:
        """Does nothing."""


class StatsdMetrics(Metrics):
    """Sends datagrams to a statsd server, without waiting for it."""

    def __init__(self, *, address: str, prefix: str):
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host=host,
                                          port=int(port),
                                          prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""
        self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Records a duration in seconds; statsd gets milliseconds."""
        self._client.timing(name, seconds * 1000.0)

    def set_level(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._client.gauge(name, value)


def build_metrics(address: str, region: str) -> Metrics:
    """Builds the metrics sink that the settings ask for.

    Args:
        address: Address of the statsd server, empty for none.
        region: Region, part of each name.

    Returns:
        The sink.
    """
    if not address:
        return NullMetrics()
    return StatsdMetrics(address=address, prefix=f"trefoilroad.{region}")
