"""Decides which requests a listener reads, pauses and refuses.

Load pattern: hundreds of clients that announce large bodies, stop just short of
the end and stay, or send byte by byte, so that the sum of what a process holds
exceeds its memory although each client keeps the limits of one request. The
tests replay it. There is no I/O and no clock here.

Half of the budget is divided into equal shares, one for each connection. What a
connection holds within its share is always read and never refused for lack of
memory; ordinary requests are that small. What connections hold beyond their
shares has the other half. When little of it is left they are not read on, and
after a while those that have stood longest without progress are refused, then
the largest ones.
"""

from collections.abc import Hashable
from typing import NamedTuple

# Memory of a process at rest. The rest of the VM's memory is divided: a quarter
# for requests, a quarter for what the kernel has received for them, and half
# for the work of the node.
REST_MB = 40
REQUEST_SHARE = 4
# A single request of the listener's own limit, 1 MiB, fits with its work.
MIN_BUDGET_BYTES = 8 << 20
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Removal from the poller's lists takes time in proportion to the connections.
MAX_CONNECTIONS = 2048
MIN_CONNECTIONS = 16
# 16 KiB hold up no transfer over the users' links; the kernel doubles the size
# for its own records. It advertises 64 KiB at first by default.
MIN_RECEIVE_BUFFER_BYTES = 16 << 10
MAX_RECEIVE_BUFFER_BYTES = 64 << 10
# Connections that wait to be accepted; their receive buffers count too.
BACKLOG = 512
# Cost of a connection (socket, records of the guard and the poller), and of a
# request on it (parser, headers, events on their way).
CONNECTION_BYTES = 2 << 10
REQUEST_BYTES = 6 << 10
# A bytearray that grows allocates an eighth more.
GROWTH_DIVISOR = 8
# A complete body is copied, decoded and encoded again for the store.
WORK_FACTOR = 2
# A request progresses when it has received so many bytes more.
PROGRESS_BYTES = 4 << 10
# Time for which reading is paused before requests are refused.
MAX_PRESSURE_S = 1.0
# A connection without progress for this time may be closed for a new one. It
# is longer than an ordinary caller takes between two parts of a request.
MIN_EVICTION_AGE_S = 2.0
# The same for connections that an ordinary caller does not have: those that
# never had a request, and large requests that stand.
MIN_UNUSUAL_EVICTION_AGE_S = 0.5
LARGE_REQUEST_BYTES = 16 << 10
# Shortest time between two searches for connections to close, if the first one
# found none.
EVICTION_RETRY_S = 0.1


class Bounds(NamedTuple):
    """Bounds of a listener.

    Attributes:
        budget_bytes: Memory for all connections and their requests.
        max_connections: Maximum number of connections.
        receive_buffer_bytes: Receive buffer that is set on each socket.
    """

    budget_bytes: int
    max_connections: int
    receive_buffer_bytes: int


def compute_bounds(*, memory_mb: float, max_descriptors: int) -> Bounds:
    """Derives the bounds of the callers' listener from the limits of the VM.

    Half of the sockets are left for the store, the workers, the links between
    nodes and the other listeners.

    Args:
        memory_mb: Memory of the VM in MB.
        max_descriptors: Maximum number of descriptors of the process.
    """
    spare_bytes = int(max(0.0, memory_mb - REST_MB) * (1 << 20))
    budget_bytes = max(MIN_BUDGET_BYTES, spare_bytes // REQUEST_SHARE)
    max_connections = max(MIN_CONNECTIONS,
                          (max_descriptors - FILE_DESCRIPTORS) // 2)
    # A connection needs room for a small request within its share.
    max_connections = min(
        max_connections, MAX_CONNECTIONS,
        budget_bytes // (4 * (CONNECTION_BYTES + REQUEST_BYTES)))
    buffer_bytes = budget_bytes // (2 * (max_connections + BACKLOG))
    return Bounds(
        budget_bytes, max_connections,
        min(MAX_RECEIVE_BUFFER_BYTES, max(MIN_RECEIVE_BUFFER_BYTES,
                                          buffer_bytes)))


class _Holding:
    """What one connection holds.

    Attributes:
        held_bytes: Cost of the connection and its request.
        request_bytes: Bytes received of the request.
        progress_bytes: Value of `request_bytes` at the last progress.
        progress_s: Time of the last progress, or when the connection became
            idle, in seconds.
        receiving: Whether a request has been received in part.
        working: Whether a complete request has no response yet.
        served: Whether a request has had a response.
    """

    def __init__(self, *, now_s: float):
        self.held_bytes = 0
        self.request_bytes = 0
        self.progress_bytes = 0
        self.progress_s = now_s
        self.receiving = False
        self.working = False
        self.served = False


class RequestBudget:
    """What the connections of a listener hold, and what to do about it.

    Connections are identified by any hashable key. Those that are returned to
    be refused or closed are no longer counted.
    """

    def __init__(self, *, bounds: Bounds):
        """Creates a budget without connections.

        Args:
            bounds: Bounds of the listener.
        """
        self.bounds = bounds
        self._holdings: dict[Hashable, _Holding] = {}
        # In the order in which reading was paused.
        self._paused: dict[Hashable, None] = {}
        self._pressure_since_s: float | None = None
        self._next_eviction_s = 0.0
        self._used_bytes = 0
        # What connections hold beyond their shares.
        self._excess_bytes = 0
        self._share_bytes = bounds.budget_bytes // 2 // bounds.max_connections
        self._max_excess_bytes = bounds.budget_bytes // 2
        self._pause_bytes = self._max_excess_bytes * 3 // 4

    @property
    def used_bytes(self) -> int:
        """Cost of all connections and requests."""
        return self._used_bytes

    @property
    def open_connections(self) -> int:
        """Number of connections."""
        return len(self._holdings)

    @property
    def paused_connections(self) -> int:
        """Number of connections that are not read."""
        return len(self._paused)

    def find_evictions(self, now_s: float, *,
                       extra_connections: int) -> list[Hashable]:
        """Returns connections to close before one more is accepted.

        Requests that stand come first, then connections that never had a
        request, then idle ones, and last those that are paused, as they cannot
        progress. Several are returned at once, so that a flood
        of connections does not have all of them compared each time.

        Args:
            now_s: Current time in seconds.
            extra_connections: Connections that hold a descriptor and are not
                counted here.
        """
        count = len(self._holdings) + extra_connections
        if count < self.bounds.max_connections:
            return []
        return self.rank_evictions(now_s)

    def rank_evictions(self, now_s: float) -> list[Hashable]:
        """Returns connections to close first if there is no room for another.

        The order is that of find_evictions.

        Args:
            now_s: Current time in seconds.
        """
        if now_s < self._next_eviction_s:
            return []
        candidates = [
            (key in self._paused, _rank_eviction(holding, now_s), number, key)
            for number, (key, holding) in enumerate(self._holdings.items())
            if _can_evict(holding, now_s)
        ]
        if not candidates:
            self._next_eviction_s = now_s + EVICTION_RETRY_S
        candidates.sort()
        batch = max(1, self.bounds.max_connections // 16)
        return [key for *_, key in candidates[:batch]]

    def is_paused(self, key: Hashable) -> bool:
        """Returns whether a connection is not read now."""
        return key in self._paused

    def open(self, key: Hashable, now_s: float, *,
             extra_connections: int) -> bool:
        """Counts a new connection; returns False if there is no room for it.

        Args:
            key: The connection.
            now_s: Current time in seconds.
            extra_connections: Connections that hold a descriptor and are not
                counted here.
        """
        count = len(self._holdings) + extra_connections
        if count >= self.bounds.max_connections:
            return False
        holding = _Holding(now_s=now_s)
        self._holdings[key] = holding
        self._add(holding, CONNECTION_BYTES)
        return True

    def forget(self, key: Hashable) -> None:
        """Stops counting a connection; may be repeated."""
        holding = self._holdings.pop(key, None)
        self._paused.pop(key, None)
        if holding is not None:
            self._add(holding, -holding.held_bytes)

    def is_short(self) -> bool:
        """Returns whether connections beyond their shares are paused."""
        return self._excess_bytes > self._pause_bytes

    def may_read(self, key: Hashable, now_s: float) -> bool:
        """Returns whether a connection is read now; else it is paused."""
        if not self.is_short():
            return True
        holding = self._holdings.get(key)
        if holding is None or holding.held_bytes <= self._share_bytes:
            return True
        self._paused[key] = None
        if self._pressure_since_s is None:
            self._pressure_since_s = now_s
        return False

    def charge(self, key: Hashable, count: int, now_s: float) -> list[Hashable]:
        """Charges bytes that were read; returns what to refuse at once.

        Args:
            key: The connection; may be among those that are returned.
            count: Number of bytes.
            now_s: Current time in seconds.
        """
        holding = self._holdings[key]
        cost = count + count // GROWTH_DIVISOR
        if not holding.receiving:
            holding.receiving = True
            holding.progress_s = now_s
            cost += REQUEST_BYTES
        holding.request_bytes += count
        if (holding.request_bytes - holding.progress_bytes >= PROGRESS_BYTES):
            holding.progress_bytes = holding.request_bytes
            holding.progress_s = now_s
        self._add(holding, cost)
        if self._excess_bytes <= self._max_excess_bytes:
            return []
        return self._free(self._max_excess_bytes, now_s)

    def begin_work(self, key: Hashable, body_bytes: int,
                   now_s: float) -> list[Hashable]:
        """Charges the work on a complete request; returns what to refuse.

        Args:
            key: The connection. If it is returned, its request must not be
                carried out.
            body_bytes: Length of the body.
            now_s: Current time in seconds.
        """
        holding = self._holdings[key]
        self._add(holding, WORK_FACTOR * body_bytes)
        holding.working = True
        if self._excess_bytes <= self._max_excess_bytes:
            return []
        refused = self._free(self._max_excess_bytes, now_s)
        if (self._excess_bytes > self._max_excess_bytes and
                holding.held_bytes > self._share_bytes):
            self.forget(key)
            refused.append(key)
        return refused

    def finish_work(self, key: Hashable, now_s: float) -> None:
        """Releases what a request held; its connection becomes idle."""
        holding = self._holdings.get(key)
        if holding is None:
            return
        self._add(holding, CONNECTION_BYTES - holding.held_bytes)
        holding.request_bytes = 0
        holding.progress_bytes = 0
        holding.progress_s = now_s
        holding.receiving = False
        holding.working = False
        holding.served = True

    def relieve(self, now_s: float) -> list[Hashable]:
        """Returns what to refuse after a while with paused connections."""
        if not self._paused:
            self._pressure_since_s = None
            return []
        since_s = self._pressure_since_s
        if since_s is None or now_s - since_s < MAX_PRESSURE_S:
            return []
        self._pressure_since_s = now_s
        return self._free(self._max_excess_bytes // 2, now_s)

    def take_resumable(self) -> list[Hashable]:
        """Returns the paused connections if they can be read again."""
        if (not self._paused or
                self._excess_bytes > self._max_excess_bytes // 2):
            return []
        resumed = list(self._paused)
        self._paused.clear()
        self._pressure_since_s = None
        return resumed

    def _add(self, holding: _Holding, cost: int) -> None:
        share_bytes = self._share_bytes
        excess_before = max(0, holding.held_bytes - share_bytes)
        holding.held_bytes += cost
        self._used_bytes += cost
        excess = max(0, holding.held_bytes - share_bytes)
        self._excess_bytes += excess - excess_before

    def _free(self, limit_bytes: int, now_s: float) -> list[Hashable]:
        """Forgets the requests to refuse until the excess is within a limit.

        Once it is exceeded a sixteenth more is freed, so that not every piece
        has all requests compared.
        """
        if self._excess_bytes <= limit_bytes:
            return []
        target_bytes = limit_bytes - limit_bytes // 16
        candidates = [
            (_rank_refusal(holding, now_s), number, key)
            for number, (key, holding) in enumerate(self._holdings.items())
            if not holding.working and holding.held_bytes > self._share_bytes
        ]
        candidates.sort()
        refused = []
        for _, _, key in candidates:
            if self._excess_bytes <= target_bytes:
                break
            self.forget(key)
            refused.append(key)
        return refused


def _rank_refusal(holding: _Holding, now_s: float) -> tuple[int, int]:
    """Ranks a request; the lowest is refused first."""
    return -int(now_s - holding.progress_s), -holding.held_bytes


def _can_evict(holding: _Holding, now_s: float) -> bool:
    """Returns whether a connection may be closed for a new one."""
    if holding.working:
        return False
    is_unusual = (holding.request_bytes > LARGE_REQUEST_BYTES or
                  not (holding.receiving or holding.served))
    min_age_s = MIN_UNUSUAL_EVICTION_AGE_S if is_unusual else MIN_EVICTION_AGE_S
    return now_s - holding.progress_s >= min_age_s


def _rank_eviction(holding: _Holding, now_s: float) -> tuple[int, float]:
    """Ranks a connection; the lowest is closed first."""
    age_s = now_s - holding.progress_s
    if holding.receiving:
        return 0, -age_s
    return 2 if holding.served else 1, -age_s
