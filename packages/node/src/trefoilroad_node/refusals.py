"""Counts what a listener refuses, and logs it at a limited rate."""

import collections
import enum

import structlog

from trefoilroad_node import metrics as metrics_module

# A line for each refusal would let clients flood the log.
LOG_INTERVAL_S = 1.0

_log = structlog.get_logger()


class Cause(enum.Enum):
    """Why something was refused or closed."""

    MEMORY = "memory"  # Request refused, the budget was used up.
    SIZE = "size"  # Request refused, over a limit.
    PAUSED = "paused"  # Connection not read on for a while.
    EVICTED = "evicted"  # Connection closed for a new one.
    CONNECTIONS = "connections"  # New connection closed, too many.
    DESCRIPTORS = "descriptors"  # Connection not accepted, no descriptor.
    UNREAD = "unread"  # Connection closed, responses were not taken.


class Report:
    """Counts of one listener."""

    def __init__(self, *, name: str, metrics: metrics_module.Metrics):
        """Creates a report without counts.

        Args:
            name: Name of the listener.
            metrics: Counts and gauges.
        """
        self._name = name
        self._metrics = metrics
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_s = float("-inf")

    def count(self, cause: Cause) -> None:
        """Counts one case."""
        self._counts[cause.value] += 1
        self._metrics.count(f"{self._name}.refused_{cause.value}")

    def log(self, now_s: float, *, held_bytes: int, connections: int) -> bool:
        """Logs the counts since the last line; returns whether none are left.

        Args:
            now_s: Current time in seconds.
            held_bytes: What all connections hold.
            connections: Number of connections.
        """
        if self._counts and now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.warning("requests refused or paused",
                         listener=self._name,
                         held_bytes=held_bytes,
                         connections=connections,
                         counts=dict(self._counts))
            self._counts.clear()
        return not self._counts

    def set_gauges(self, *, held_bytes: int, connections: int) -> None:
        """Sets the gauges of what the listener holds."""
        self._metrics.set_gauge(f"{self._name}.held_bytes", held_bytes)
        self._metrics.set_gauge(f"{self._name}.connections", connections)
