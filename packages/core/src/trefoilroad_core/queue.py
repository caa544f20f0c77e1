"""Orders in which pending requests are considered."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import heapq

from trefoilroad_core import snapshot

CostFunction = Callable[[snapshot.Pending], float]


class QueueOrder(abc.ABC):
    """Orders pending requests and tracks what teams have used."""

    @abc.abstractmethod
    def arrange(self, requests: Sequence[snapshot.Pending], cost: CostFunction,
                weights: Mapping[str, float]) -> Iterator[snapshot.Pending]:
        """Yields requests in the order in which to consider them.

        Args:
            requests: Requests that may start.
            cost: Returns the charge of a request, in accelerator seconds.
            weights: Weight of each team; 1 for teams not listed.

        Yields:
            Each request once.
        """

    @abc.abstractmethod
    def charge(self,
               team: str,
               caller: str,
               cost: float,
               *,
               in_fair_order: bool = True) -> None:
        """Charges a start, or corrects an earlier charge.

        Args:
            team: Team to charge.
            caller: Caller to charge.
            cost: Accelerator seconds; negative for a refund.
            in_fair_order: Whether the request started in its turn, so that
                the charge advances the virtual time. False for corrections and
                for starts inside a guarantee, which come before the order.
        """


class ArrivalOrder(QueueOrder):
    """First come, first served."""

    def arrange(self, requests: Sequence[snapshot.Pending], cost: CostFunction,
                weights: Mapping[str, float]) -> Iterator[snapshot.Pending]:
        """Yields requests by time of receipt; see QueueOrder.arrange."""
        yield from sorted(requests, key=lambda r: (r.received_s, r.request_id))

    def charge(self,
               team: str,
               caller: str,
               cost: float,
               *,
               in_fair_order: bool = True) -> None:
        """Ignores the charge; see QueueOrder.charge."""


class _FairQueueLevel:
    """Start tags of the teams of a fleet, or of the callers of a team.

    Attributes:
        virtual_time: The largest start tag at which a request has started.
        start_tags: Virtual time up to which each member is charged. A member
            without waiting requests does not accumulate unused share: its tag
            rises to the virtual time when it has waiting requests again. One
            with waiting requests keeps its tag, however far the virtual time
            advances beyond it.
        waiting: Members that have waiting requests.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.start_tags: dict[str, float] = {}
        self.waiting: set[str] = set()

    def update_waiting(self, names: Iterable[str]) -> None:
        names = set(names)
        for name in names - self.waiting:
            self.start_tags[name] = max(
                self.start_tags.get(name, self.virtual_time), self.virtual_time)
        self.waiting = names
        self.start_tags = {
            name: start_tag
            for name, start_tag in self.start_tags.items()
            if start_tag > self.virtual_time or name in names
        }

    def charge(self, name: str, cost: float, in_fair_order: bool) -> None:
        start_tag = self.start_tags.get(name, self.virtual_time)
        if in_fair_order:
            self.virtual_time = max(self.virtual_time, start_tag)
        # A late refund must not set the tag below the virtual time: the charge
        # that it corrects may have expired when virtual time passed the tag.
        self.start_tags[name] = max(start_tag + cost,
                                    min(start_tag, self.virtual_time))


class FairShare(QueueOrder):
    """Start-time fair queueing over teams, then over callers of a team.

    The request with the smallest start tag comes first and advances the tag of
    its team by its cost divided by the team's weight (Goyal, Vin and Cheng,
    SIGCOMM 1996). Requests of one caller are ordered by priority, then by
    arrival, so that priority has no effect on other callers and teams.
    """

    def __init__(self) -> None:
        self._teams = _FairQueueLevel()
        self._callers: dict[str, _FairQueueLevel] = {}
        self._weights: Mapping[str, float] = {}

    def arrange(self, requests: Sequence[snapshot.Pending], cost: CostFunction,
                weights: Mapping[str, float]) -> Iterator[snapshot.Pending]:
        """Yields requests by start tag; see QueueOrder.arrange."""
        self._weights = weights
        queues: dict[str, dict[str, list[snapshot.Pending]]] = {}
        for pending in requests:
            callers = queues.setdefault(pending.team, {})
            callers.setdefault(pending.caller, []).append(pending)
        self._update_waiting(queues)
        return self._merge(queues, cost)

    def charge(self,
               team: str,
               caller: str,
               cost: float,
               *,
               in_fair_order: bool = True) -> None:
        """Advances the tags of a team and a caller; see QueueOrder.charge."""
        self._teams.charge(team, cost / self._get_weight(team), in_fair_order)
        callers = self._callers.setdefault(team, _FairQueueLevel())
        callers.charge(caller, cost, in_fair_order)

    def _get_weight(self, team: str) -> float:
        weight = self._weights.get(team, 1.0)
        return weight if weight > 0 else 1.0

    def _update_waiting(
            self, queues: dict[str, dict[str, list[snapshot.Pending]]]) -> None:
        self._teams.update_waiting(queues)
        for team in set(self._callers) | set(queues):
            level = self._callers.setdefault(team, _FairQueueLevel())
            level.update_waiting(queues.get(team, ()))

    def _merge(self, queues: dict[str, dict[str, list[snapshot.Pending]]],
               cost: CostFunction) -> Iterator[snapshot.Pending]:
        heap: list[tuple[float, float, str, Iterator[snapshot.Pending],
                         snapshot.Pending]] = []
        for team, callers in queues.items():
            requests = self._merge_callers(team, callers, cost)
            pending = next(requests)
            start_tag = self._teams.start_tags[team]
            heap.append(
                (start_tag, pending.received_s, team, requests, pending))
        heapq.heapify(heap)
        while heap:
            start_tag, _, team, requests, pending = heap[0]
            yield pending
            start_tag += cost(pending) / self._get_weight(team)
            next_pending = next(requests, None)
            if next_pending is None:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (start_tag, next_pending.received_s,
                                         team, requests, next_pending))

    def _merge_callers(self, team: str, callers: dict[str,
                                                      list[snapshot.Pending]],
                       cost: CostFunction) -> Iterator[snapshot.Pending]:
        start_tags = self._callers[team].start_tags
        heap: list[tuple[float, float, str, int]] = []
        for caller, requests in callers.items():
            requests.sort(
                key=lambda r: (r.priority, r.received_s, r.request_id))
            heap.append((start_tags[caller], requests[0].received_s, caller, 0))
        heapq.heapify(heap)
        while heap:
            start_tag, _, caller, position = heap[0]
            requests = callers[caller]
            yield requests[position]
            start_tag += cost(requests[position])
            position += 1
            if position == len(requests):
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap,
                                  (start_tag, requests[position].received_s,
                                   caller, position))
