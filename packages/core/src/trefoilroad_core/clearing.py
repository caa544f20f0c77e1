"""Room that is cleared for a request by stopping lent gangs."""

from typing import NamedTuple

from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot

MAX_SEARCHES = 16
"""Most searches for gangs to stop in one round, to bound its time."""

MAX_RECLAIMS = 4
"""Most searches for gangs of the team beyond its share in one round."""

RETRY_S = 5.0
"""Time until a search that found nothing is repeated for a request."""

OVER_SHARE = 10
"""Added to the priority of gangs of teams that use more than their share.

They are stopped before all others, so that a flood of urgent work does not
protect itself by its priority.
"""


class Memory(NamedTuple):
    """What is kept between rounds.

    Attributes:
        promises: Room that is being cleared, by request.
        stopping: Until when each gang that was told to stop is expected to do
            so, in seconds, by attempt.
        retries: When to look again for room to reclaim, in seconds, by
            request.
    """

    promises: dict[str, rounds.Promise]
    stopping: dict[str, float]
    retries: dict[str, float]

    def update(self, state: snapshot.Snapshot, waiting: set[str]) -> None:
        """Forgets requests that have started or gone, and stopped gangs.

        Gangs that did not stop in time are forgotten as well, so that they can
        be chosen anew if the order to stop them was lost.
        """
        for request_id in [key for key in self.promises if key not in waiting]:
            del self.promises[request_id]
        for request_id in [key for key in self.retries if key not in waiting]:
            del self.retries[request_id]
        running = {item.attempt_id for item in state.running}
        for attempt_id, deadline_s in list(self.stopping.items()):
            if attempt_id not in running or state.now_s >= deadline_s:
                del self.stopping[attempt_id]


class Clearing:
    """Stops gangs for requests, and promises them the room."""

    def __init__(self, *, work: rounds.Round, memory: Memory, timeout_s: float):
        """Prepares one round.

        Args:
            work: The round.
            memory: What is kept between rounds.
            timeout_s: Longest time to wait for gangs to stop, in seconds.
        """
        self._work = work
        self._memory = memory
        self._shares = work.shares
        self._timeout_s = timeout_s
        self._searches = 0
        self._candidates: list[preemption.Candidate] | None = None
        self._teams: dict[str, str] = {}
        self._reclaims = 0
        self._top = ""
        self._spare: list[preemption.Candidate] = []
        self._bound: placement.Capacity | None = None
        for promise in memory.promises.values():
            work.promise(promise)
        for item in work.state.running:
            if item.attempt_id in memory.stopping:
                work.shares.remove(item.team, item.shape)

    def get_promise(self, item: snapshot.Pending) -> rounds.Promise | None:
        """Returns the room that is being cleared for a request."""
        return self._memory.promises.get(item.request_id)

    def redeem(self, promise: rounds.Promise) -> bool:
        """Frees promised room for its request if all of it is free now.

        Args:
            promise: The promise; it is kept unless True is returned.

        Returns:
            True if the request can start on the room.
        """
        self._work.give_back(promise)
        if self._work.free.can_take(promise.placement, promise.item.shape):
            del self._memory.promises[promise.item.request_id]
            return True
        self._work.promise(promise)
        return False

    def is_valid(self, promise: rounds.Promise) -> bool:
        """Tells whether promised room can still become free in time."""
        return (self._work.free.is_open(promise.placement) and
                self._work.state.now_s < promise.deadline_s)

    def give_up(self, promise: rounds.Promise) -> None:
        """Gives promised room back."""
        del self._memory.promises[promise.item.request_id]
        self._work.give_back(promise)

    def may_search(self) -> bool:
        """Counts a search; False if the round has had enough of them."""
        self._searches += 1
        return self._searches <= MAX_SEARCHES

    def choose(self, item: snapshot.Pending) -> preemption.Plan | None:
        """Chooses any lent gangs to stop for a request."""
        return self._work.tools.preemption.choose(item.shape,
                                                  self._get_future(),
                                                  self._get_candidates(),
                                                  self._work.tools.placer)

    def choose_over_share(self,
                          item: snapshot.Pending) -> preemption.Plan | None:
        """Chooses gangs to stop for a request within its team's fair share.

        They are gangs of the team that uses most for its weight, and leave it
        its own fair share, so that it cannot reclaim the room in turn.
        """
        top = self._shares.find_top()
        if top is None:
            return None
        plan = None
        if self._get_bound(top).can_place(item.shape):
            self._reclaims += 1
            plan = self._work.tools.preemption.choose(item.shape,
                                                      self._get_future(),
                                                      self._spare,
                                                      self._work.tools.placer)
        if plan is not None and self._shares.can_spare(
                top, [victim.shape for victim in plan.victims]):
            return plan
        self._memory.retries[item.request_id] = (self._work.state.now_s +
                                                 RETRY_S)
        return None

    def restart(self) -> None:
        """Computes the room after all stops anew from what is free now."""
        self._work.future = None
        self._bound = None

    def reserve(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        """Keeps room that is reserved for later out of further choices."""
        self._get_future().take(workers, shape)
        self._bound = None

    def unreserve(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        """Undoes `reserve`."""
        self._get_future().release(workers, shape)
        self._bound = None

    def may_reclaim(self, item: snapshot.Pending) -> bool:
        """Tells whether to look for room to reclaim for a request."""
        retry_s = self._memory.retries.get(item.request_id, 0.0)
        return (self._reclaims < MAX_RECLAIMS and
                self._work.state.now_s >= retry_s and
                self._shares.is_within(item.team, item.shape))

    def _get_bound(self, top: str) -> placement.Capacity:
        """Returns the room if a team gave all gangs that it can spare."""
        if self._bound is None or self._top != top:
            self._top = top
            self._spare = [
                candidate for candidate in self._get_candidates()
                if self._teams[candidate.attempt_id] == top and
                self._shares.can_spare(top, [candidate.shape])
            ]
            self._bound = self._get_future().copy()
            for candidate in self._spare:
                self._bound.release(candidate.placement, candidate.shape)
        return self._bound

    def clear(self, item: snapshot.Pending,
              workers: tuple[str, ...]) -> preemption.Plan | None:
        """Chooses lent gangs to stop for a request on given workers."""
        return self._work.tools.preemption.clear(item.shape, workers,
                                                 self._get_future(),
                                                 self._get_candidates())

    def commit(self, item: snapshot.Pending, plan: preemption.Plan, *,
               guaranteed: bool) -> None:
        """Stops the chosen gangs and promises their room to a request."""
        work = self._work
        promise = rounds.Promise(
            item, plan.placement,
            frozenset([victim.attempt_id for victim in plan.victims]),
            work.state.now_s + self._timeout_s, guaranteed)
        self._memory.promises[item.request_id] = promise
        work.promise(promise)
        future = self._get_future()
        for victim in plan.victims:
            self._memory.stopping[victim.attempt_id] = promise.deadline_s
            future.release(victim.placement, victim.shape)
            self._shares.remove(self._teams[victim.attempt_id], victim.shape)
            work.evictions.append(
                snapshot.Evict(victim.attempt_id, item.request_id))
        self._bound = None
        self._candidates = [
            candidate for candidate in self._get_candidates()
            if candidate.attempt_id not in promise.victims
        ]
        self.explain(promise)

    def explain(self, promise: rounds.Promise) -> None:
        """Notes that a request waits for gangs to stop."""
        self._work.reasons[promise.item.request_id] = (
            f"waits until {len(promise.victims)} gangs have stopped on its "
            f"{'guaranteed room' if promise.guaranteed else 'fair share'}")

    def _get_future(self) -> placement.Capacity:
        """Returns the room once all gangs being stopped have gone."""
        if self._work.future is None:
            future = self._work.free.copy()
            for item in self._work.state.running:
                if item.attempt_id in self._memory.stopping:
                    future.release(item.placement, item.shape)
            self._work.future = future
        return self._work.future

    def _get_candidates(self) -> list[preemption.Candidate]:
        """Returns the lent gangs that may be stopped."""
        if self._candidates is None:
            lent = [
                item for item in self._work.state.running
                if item.evictable and not item.guaranteed and
                item.attempt_id not in self._memory.stopping
            ]
            self._teams = {item.attempt_id: item.team for item in lent}
            self._candidates = list(map(self._build_candidate, lent))
        return self._candidates

    def _build_candidate(self, item: snapshot.Running) -> preemption.Candidate:
        state = self._work.state
        template = state.configuration.templates.get(item.template)
        lost = 0.0
        if template is None or not template.checkpoint:
            rate = self._work.tools.accounting.compute_rate(item.shape)
            lost = rate * (state.now_s - item.started_s)
        priority = item.priority
        if self._shares.is_over(item.team):
            priority += OVER_SHARE
        return preemption.Candidate(item.attempt_id, item.shape, item.placement,
                                    priority, lost)
