"""Evicts opportunistic gangs to free capacity for a request."""

from typing import NamedTuple

from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import snapshot

MAX_VICTIM_SEARCHES = 16
"""Most searches for victims in one round, to bound its run time."""

MAX_RECLAIM_SEARCHES = 4
"""Most searches for victims of the team over its share in one round."""

RECLAIM_RETRY_S = 5.0
"""Time until a request repeats a reclaim search that found nothing."""

OVER_SHARE_PRIORITY_OFFSET = 10
"""Added to the priority number of gangs of teams over their fair share.

It makes them less urgent than all other gangs, so they are evicted first and a
flood of urgent requests does not protect itself by its priority.
"""


class EvictionState(NamedTuple):
    """Eviction state kept between rounds.

    Attributes:
        holds: Capacity held for requests while victims stop, by request id.
        stopping: Deadline by which each victim should have stopped, in
            seconds, by attempt id.
        reclaim_retry_s: Earliest time of the next reclaim search, in seconds,
            by request id.
    """

    holds: dict[str, rounds.CapacityHold]
    stopping: dict[str, float]
    reclaim_retry_s: dict[str, float]

    def update(self, state: snapshot.Snapshot, waiting: set[str]) -> None:
        """Removes requests that no longer wait and gangs that have stopped.

        Gangs that did not stop in time are removed as well, so that they can
        be chosen again if the stop command was lost.
        """
        for request_id in [key for key in self.holds if key not in waiting]:
            del self.holds[request_id]
        for request_id in [
                key for key in self.reclaim_retry_s if key not in waiting
        ]:
            del self.reclaim_retry_s[request_id]
        running = {gang.attempt_id for gang in state.running}
        for attempt_id, deadline_s in list(self.stopping.items()):
            if attempt_id not in running or state.now_s >= deadline_s:
                del self.stopping[attempt_id]


class Evictor:
    """Evicts gangs and holds their capacity for requests."""

    def __init__(self, *, decision_round: rounds.Round,
                 eviction_state: EvictionState, timeout_s: float):
        """Allocates existing holds and discounts gangs that are stopping.

        Args:
            decision_round: The round.
            eviction_state: State kept between rounds.
            timeout_s: Longest time to wait for gangs to stop, in seconds.
        """
        self._round = decision_round
        self._eviction_state = eviction_state
        self._shares = decision_round.shares
        self._timeout_s = timeout_s
        self._victim_searches = 0
        self._candidates: list[preemption.EvictableGang] | None = None
        self._teams: dict[str, str] = {}
        self._reclaim_searches = 0
        self._over_share_team = ""
        self._reclaimable: list[preemption.EvictableGang] = []
        self._upper_bound: placement.FreeCapacity | None = None
        for hold in eviction_state.holds.values():
            decision_round.add_hold(hold)
        for gang in decision_round.state.running:
            if gang.attempt_id in eviction_state.stopping:
                decision_round.shares.remove(gang.team, gang.shape)

    def get_hold(self, pending: snapshot.Pending) -> rounds.CapacityHold | None:
        """Returns the capacity held for a request, or None."""
        return self._eviction_state.holds.get(pending.request_id)

    def release_if_free(self, hold: rounds.CapacityHold) -> bool:
        """Releases held capacity to its request if all of it is free now.

        Args:
            hold: The hold; it stays in place unless True is returned.

        Returns:
            True if the request can start on the capacity.
        """
        self._round.remove_hold(hold)
        if self._round.free.can_take(hold.placement, hold.pending.shape):
            del self._eviction_state.holds[hold.pending.request_id]
            return True
        self._round.add_hold(hold)
        return False

    def is_valid(self, hold: rounds.CapacityHold) -> bool:
        """Tells whether held capacity can still become free in time."""
        return (self._round.free.are_usable(hold.placement) and
                self._round.state.now_s < hold.deadline_s)

    def cancel_hold(self, hold: rounds.CapacityHold) -> None:
        """Drops a hold and releases its capacity."""
        del self._eviction_state.holds[hold.pending.request_id]
        self._round.remove_hold(hold)

    def allow_search(self) -> bool:
        """Counts one victim search; False if the round has used them up."""
        self._victim_searches += 1
        return self._victim_searches <= MAX_VICTIM_SEARCHES

    def choose_victims(
            self, pending: snapshot.Pending) -> preemption.EvictionPlan | None:
        """Chooses victims for a request among all opportunistic gangs."""
        return self._round.components.preemption.choose_victims(
            pending.shape, self._get_future(), self._get_candidates(),
            self._round.components.placer)

    def choose_victims_over_share(
            self, pending: snapshot.Pending) -> preemption.EvictionPlan | None:
        """Chooses victims for a request within its team's fair share.

        The victims belong to the team that uses most for its weight. It keeps
        its own fair share, so that it cannot reclaim the capacity in turn.
        """
        team = self._shares.find_team_over_share()
        if team is None:
            return None
        plan = None
        if self._get_upper_bound(team).can_place(pending.shape):
            self._reclaim_searches += 1
            plan = self._round.components.preemption.choose_victims(
                pending.shape, self._get_future(), self._reclaimable,
                self._round.components.placer)
        if plan is not None and self._shares.can_spare(
                team, [victim.shape for victim in plan.victims]):
            return plan
        self._eviction_state.reclaim_retry_s[pending.request_id] = (
            self._round.state.now_s + RECLAIM_RETRY_S)
        return None

    def reset_future(self) -> None:
        """Discards the computed future capacity after `free` was changed."""
        self._round.future = None
        self._upper_bound = None

    def reserve(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        """Excludes reserved capacity from further victim searches."""
        self._get_future().take(workers, shape)
        self._upper_bound = None

    def unreserve(self, workers: tuple[str, ...], shape: request.Shape) -> None:
        """Undoes `reserve`."""
        self._get_future().release(workers, shape)
        self._upper_bound = None

    def may_reclaim(self, pending: snapshot.Pending) -> bool:
        """Tells whether to search for capacity to reclaim for a request."""
        retry_s = self._eviction_state.reclaim_retry_s.get(
            pending.request_id, 0.0)
        return (self._reclaim_searches < MAX_RECLAIM_SEARCHES and
                self._round.state.now_s >= retry_s and
                self._shares.stays_within_share(pending.team, pending.shape))

    def _get_upper_bound(self, team: str) -> placement.FreeCapacity:
        """Returns the capacity if a team lost all gangs that it can spare."""
        if self._upper_bound is None or self._over_share_team != team:
            self._over_share_team = team
            self._reclaimable = [
                candidate for candidate in self._get_candidates()
                if self._teams[candidate.attempt_id] == team and
                self._shares.can_spare(team, [candidate.shape])
            ]
            self._upper_bound = self._get_future().copy()
            for candidate in self._reclaimable:
                self._upper_bound.release(candidate.placement, candidate.shape)
        return self._upper_bound

    def choose_victims_on(
            self, pending: snapshot.Pending,
            workers: tuple[str, ...]) -> preemption.EvictionPlan | None:
        """Chooses victims for a request that has to run on given workers."""
        return self._round.components.preemption.choose_victims_on(
            pending.shape, workers, self._get_future(), self._get_candidates())

    def start_eviction(self, pending: snapshot.Pending,
                       plan: preemption.EvictionPlan, *,
                       guaranteed: bool) -> None:
        """Evicts the chosen gangs and holds their capacity for a request."""
        decision_round = self._round
        hold = rounds.CapacityHold(
            pending, plan.placement,
            frozenset([victim.attempt_id for victim in plan.victims]),
            decision_round.state.now_s + self._timeout_s, guaranteed)
        self._eviction_state.holds[pending.request_id] = hold
        decision_round.add_hold(hold)
        future = self._get_future()
        for victim in plan.victims:
            self._eviction_state.stopping[victim.attempt_id] = hold.deadline_s
            future.release(victim.placement, victim.shape)
            self._shares.remove(self._teams[victim.attempt_id], victim.shape)
            decision_round.evictions.append(
                snapshot.Eviction(victim.attempt_id, pending.request_id))
        self._upper_bound = None
        self._candidates = [
            candidate for candidate in self._get_candidates()
            if candidate.attempt_id not in hold.victims
        ]
        self.explain(hold)

    def explain(self, hold: rounds.CapacityHold) -> None:
        """Sets the explanation of a request that waits for gangs to stop."""
        self._round.reasons[hold.pending.request_id] = (
            f"waits until {len(hold.victims)} gangs have stopped on its "
            f"{'guaranteed room' if hold.guaranteed else 'fair share'}")

    def _get_future(self) -> placement.FreeCapacity:
        """Returns the free capacity once all stopping gangs have gone."""
        if self._round.future is None:
            future = self._round.free.copy()
            for gang in self._round.state.running:
                if gang.attempt_id in self._eviction_state.stopping:
                    future.release(gang.placement, gang.shape)
            self._round.future = future
        return self._round.future

    def _get_candidates(self) -> list[preemption.EvictableGang]:
        """Returns the opportunistic gangs that may be evicted."""
        if self._candidates is None:
            gangs = [
                gang for gang in self._round.state.running
                if gang.evictable and not gang.guaranteed and
                gang.attempt_id not in self._eviction_state.stopping
            ]
            self._teams = {gang.attempt_id: gang.team for gang in gangs}
            self._candidates = list(map(self._build_candidate, gangs))
        return self._candidates

    def _build_candidate(self,
                         gang: snapshot.Running) -> preemption.EvictableGang:
        state = self._round.state
        template = state.configuration.templates.get(gang.template)
        lost_work = 0.0
        if template is None or not template.checkpoint:
            rate = self._round.components.accounting.compute_rate(gang.shape)
            lost_work = rate * (state.now_s - gang.started_s)
        priority = gang.priority
        if self._shares.is_over_share(gang.team):
            priority += OVER_SHARE_PRIORITY_OFFSET
        return preemption.EvictableGang(gang.attempt_id, gang.shape,
                                        gang.placement, priority, lost_work)
