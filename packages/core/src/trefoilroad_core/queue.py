"""The order in which pending requests are considered."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import heapq

from trefoilroad_core import snapshot

Cost = Callable[[snapshot.Pending], float]


class QueueOrder(abc.ABC):
    """Orders pending requests and keeps account of what teams used."""

    @abc.abstractmethod
    def arrange(self, pending: Sequence[snapshot.Pending], cost: Cost,
                weights: Mapping[str, float]) -> Iterator[snapshot.Pending]:
        """Yields requests in the order in which to consider them.

        Args:
            pending: Requests that may start.
            cost: Charge of a request, in accelerator seconds.
            weights: Share of each team; 1 for teams not named.

        Yields:
            Each request once.
        """

    @abc.abstractmethod
    def charge(self,
               team: str,
               caller: str,
               cost: float,
               *,
               lent: bool = True) -> None:
        """Charges a start, or corrects an earlier charge.

        Args:
            team: Team to charge.
            caller: Caller to charge.
            cost: Accelerator seconds; negative to give some back.
            lent: Whether the start was made in the fair order, so that it
                moves the order's virtual time. False for corrections and for
                starts inside a guarantee, which are made ahead of the order.
        """


class ArrivalOrder(QueueOrder):
    """First come, first served."""

    def arrange(self, pending: Sequence[snapshot.Pending], cost: Cost,
                weights: Mapping[str, float]) -> Iterator[snapshot.Pending]:
        """Yields by time of receipt; see QueueOrder.arrange."""
        yield from sorted(pending,
                          key=lambda item: (item.received_s, item.request_id))

    def charge(self,
               team: str,
               caller: str,
               cost: float,
               *,
               lent: bool = True) -> None:
        """Keeps no account."""


class _Account:
    """Virtual times of the members of one level, teams or callers.

    Attributes:
        now: Virtual time, the largest tag at which a start was made.
        tags: Virtual time up to which each member is charged. A member that
            has nothing waiting does not save up unused share: its tag rises
            to `now` when it comes back. One that waits keeps its tag, however
            far the virtual time moves ahead of it meanwhile.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.tags: dict[str, float] = {}
        self.waiting: set[str] = set()

    def update_waiting(self, names: Iterable[str]) -> None:
        names = set(names)
        for name in names - self.waiting:
            self.tags[name] = max(self.tags.get(name, self.now), self.now)
        self.waiting = names
        self.tags = {
            name: tag
            for name, tag in self.tags.items()
            if tag > self.now or name in names
        }

    def charge(self, name: str, cost: float, lent: bool) -> None:
        tag = self.tags.get(name, self.now)
        if lent:
            self.now = max(self.now, tag)
        # A late refund must not put a member ahead of the virtual time: the
        # debt that it corrects may have been forgiven since.
        self.tags[name] = max(tag + cost, min(tag, self.now))


class FairShare(QueueOrder):
    """Start-time fair queueing over teams, then over callers of a team.

    The request with the smallest start tag comes first and moves its team's
    tag on by its cost divided by the team's weight (Goyal, Vin and Cheng,
    SIGCOMM 1996). Within one caller the order is by priority, then arrival, so
    that urgency orders a caller's own work and wins nothing from others.
    """

    def __init__(self) -> None:
        self._teams = _Account()
        self._callers: dict[str, _Account] = {}
        self._weights: Mapping[str, float] = {}

    def arrange(self, pending: Sequence[snapshot.Pending], cost: Cost,
                weights: Mapping[str, float]) -> Iterator[snapshot.Pending]:
        """Yields by start tag; see QueueOrder.arrange."""
        self._weights = weights
        queues: dict[str, dict[str, list[snapshot.Pending]]] = {}
        for item in pending:
            callers = queues.setdefault(item.team, {})
            callers.setdefault(item.caller, []).append(item)
        self._update_waiting(queues)
        return self._merge(queues, cost)

    def charge(self,
               team: str,
               caller: str,
               cost: float,
               *,
               lent: bool = True) -> None:
        """Moves the tags of a team and a caller; see QueueOrder.charge."""
        self._teams.charge(team, cost / self._get_weight(team), lent)
        callers = self._callers.setdefault(team, _Account())
        callers.charge(caller, cost, lent)

    def _get_weight(self, team: str) -> float:
        weight = self._weights.get(team, 1.0)
        return weight if weight > 0 else 1.0

    def _update_waiting(
            self, queues: dict[str, dict[str, list[snapshot.Pending]]]) -> None:
        self._teams.update_waiting(queues)
        for team in set(self._callers) | set(queues):
            account = self._callers.setdefault(team, _Account())
            account.update_waiting(queues.get(team, ()))

    def _merge(self, queues: dict[str, dict[str, list[snapshot.Pending]]],
               cost: Cost) -> Iterator[snapshot.Pending]:
        heap: list[tuple[float, float, str, Iterator[snapshot.Pending],
                         snapshot.Pending]] = []
        for team, callers in queues.items():
            items = self._merge_callers(team, callers, cost)
            item = next(items)
            tag = self._teams.tags[team]
            heap.append((tag, item.received_s, team, items, item))
        heapq.heapify(heap)
        while heap:
            tag, _, team, items, item = heap[0]
            yield item
            tag += cost(item) / self._get_weight(team)
            following = next(items, None)
            if following is None:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(
                    heap, (tag, following.received_s, team, items, following))

    def _merge_callers(self, team: str, callers: dict[str,
                                                      list[snapshot.Pending]],
                       cost: Cost) -> Iterator[snapshot.Pending]:
        tags = self._callers[team].tags
        heap: list[tuple[float, float, str, int]] = []
        for caller, items in callers.items():
            items.sort(key=lambda item:
                       (item.priority, item.received_s, item.request_id))
            heap.append((tags[caller], items[0].received_s, caller, 0))
        heapq.heapify(heap)
        while heap:
            tag, _, caller, position = heap[0]
            items = callers[caller]
            yield items[position]
            tag += cost(items[position])
            position += 1
            if position == len(items):
                heapq.heappop(heap)
            else:
                heapq.heapreplace(
                    heap, (tag, items[position].received_s, caller, position))
