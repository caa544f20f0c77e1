"""Decides which requests start, where, and which gangs are evicted."""

from trefoilroad_core import accounting
from trefoilroad_core import backfill as backfill_module
from trefoilroad_core import estimate
from trefoilroad_core import eviction
from trefoilroad_core import guarantee
from trefoilroad_core import guaranteed_pass
from trefoilroad_core import placement
from trefoilroad_core import preemption as preemption_module
from trefoilroad_core import queue
from trefoilroad_core import request
from trefoilroad_core import rounds
from trefoilroad_core import shares as shares_module
from trefoilroad_core import snapshot

Pending = snapshot.Pending
Running = snapshot.Running
Snapshot = snapshot.Snapshot
Start = snapshot.Start
Eviction = snapshot.Eviction
Refusal = snapshot.Refusal
Expiration = snapshot.Expiration
Decisions = snapshot.Decisions

EVICTION_TIMEOUT_S = 30.0
"""Time after which gangs that did not stop may be chosen again."""


class Scheduler:
    """Decides about all requests of one region.

    It has no clock and does no I/O. Between rounds it keeps fair shares, run
    time estimates, reservations, the planned placements of guaranteed gangs,
    and the capacity held for requests whose victims are still stopping. A new
    owner starts without this state and rebuilds it from the running gangs,
    except the holds, which are decided again.
    """

    def __init__(self,
                 *,
                 placer: placement.Placer,
                 order: queue.QueueOrder,
                 preemption: preemption_module.VictimSelection,
                 estimator: estimate.Estimator,
                 backfill: bool = True,
                 guaranteed_first: bool = True,
                 reserve_guarantees: bool = True,
                 reclaim_shares: bool = True,
                 eviction_timeout_s: float = EVICTION_TIMEOUT_S):
        """Assembles a scheduler; each mechanism can be switched off alone.

        Args:
            placer: Chooses workers.
            order: Orders requests and tracks what teams have used.
            preemption: Chooses gangs to evict.
            estimator: Estimates run times.
            backfill: Whether requests may start ahead of one that waits.
            guaranteed_first: Whether requests inside a guarantee go ahead of
                others and may evict.
            reserve_guarantees: Whether a start must leave enough capacity for
                all guaranteed gangs that are not in use.
            reclaim_shares: Whether requests may evict opportunistic gangs of
                teams that use more of the fleet for their weight.
            eviction_timeout_s: Longest time to wait for gangs to stop.
        """
        self._order = order
        self._backfill = backfill
        self._guaranteed_first = guaranteed_first
        self._reclaim = reclaim_shares
        self._eviction_timeout_s = eviction_timeout_s
        self._components = rounds.Components(
            placer=placer,
            preemption=preemption,
            accounting=accounting.Accounting(order=order, estimator=estimator),
            guarantees=guarantee.GuaranteeTracker(placer=placer,
                                                  reserve=reserve_guarantees))
        self._layout: placement.Layout | None = None
        self._fleet: object = None
        self._free_capacity = rounds.FreeCapacityTracker()
        self._fit_failures: dict[request.Shape, str | None] = {}
        self._eviction_state = eviction.EvictionState({}, {}, {})
        self._reservations: dict[str, backfill_module.Reservation] = {}
        self._reasons: dict[str, str] = {}
        self._degraded: set[str] = set()

    def decide(self, state: snapshot.Snapshot) -> snapshot.Decisions:
        """Makes one decision round.

        Args:
            state: Everything that the round reads.

        Returns:
            What to start, evict, refuse and expire.
        """
        layout = self._update_layout(state)
        self._components.accounting.update(state)
        waiting, refusals, expirations = self._classify_pending(state)
        self._eviction_state.update(state,
                                    {pending.request_id for pending in waiting})
        self._components.guarantees.update(
            state._replace(excluded=state.excluded | state.probation), layout,
            self._eviction_state.holds)
        free = self._free_capacity.update(layout, state)
        saved = free.save()
        _limit_probation(free, state.probation)
        weights = {
            name: team.weight
            for name, team in state.configuration.teams.items()
        }
        shares = shares_module.Shares(state=state,
                                      accounts=self._components.accounting,
                                      weights=weights)
        decision_round = rounds.Round(state=state,
                                      components=self._components,
                                      free=free,
                                      shares=shares)
        self._run_passes(decision_round, waiting, weights)
        free.restore(saved)
        self._reasons = decision_round.reasons
        self._degraded = {
            entitlement.team
            for entitlement in self._components.guarantees.degraded
        }
        return snapshot.Decisions(tuple(decision_round.starts),
                                  tuple(decision_round.evictions),
                                  tuple(refusals), tuple(expirations))

    def _run_passes(self, decision_round: rounds.Round,
                    waiting: list[snapshot.Pending],
                    weights: dict[str, float]) -> None:
        evictor = eviction.Evictor(decision_round=decision_round,
                                   eviction_state=self._eviction_state,
                                   timeout_s=self._eviction_timeout_s)
        requests = [
            pending for pending in waiting
            if pending.request_id in self._eviction_state.holds or
            decision_round.is_within_limit(pending)
        ]
        cost = self._components.accounting.compute_cost
        ordered = list(self._order.arrange(requests, cost, weights))
        if self._guaranteed_first:
            ordered = guaranteed_pass.GuaranteedPass(
                decision_round=decision_round, evictor=evictor).run(ordered)
        backfill_module.OpportunisticPass(decision_round=decision_round,
                                          reservations=self._reservations,
                                          evictor=evictor,
                                          backfill=self._backfill,
                                          reclaim=self._reclaim).run(ordered)

    def explain(self, request_id: str) -> str:
        """Explains why a request waits, as of the latest round.

        Args:
            request_id: Identifier of the request.

        Returns:
            One sentence, or an empty string if the request does not wait.
        """
        return self._reasons.get(request_id, "")

    def record_end(self, request_id: str, *, ran_s: float,
                   completed: bool) -> None:
        """Records the end of a gang; called before the next round.

        Without the call the charge is corrected once the gang has left the
        snapshot, and the run time is not used for estimates.

        Args:
            request_id: Identifier of the request.
            ran_s: Real run time in seconds.
            completed: Whether it completed, as opposed to failed or stopped.
        """
        self._components.accounting.record_end(request_id,
                                               ran_s=ran_s,
                                               completed=completed)

    def find_degraded_teams(self) -> list[str]:
        """Returns the teams that have guaranteed gangs without a placement."""
        return sorted(self._degraded)

    def list_unused_guarantees(
            self) -> list[tuple[tuple[str, ...], request.Shape]]:
        """Returns the planned placements of guaranteed gangs not in use.

        Returns:
            Workers and shape of each. All fit at the same time, next to all
            running gangs that cannot be evicted and the capacity held for
            requests that wait for an eviction.
        """
        return list(self._components.guarantees.list_unused())

    def _update_layout(self, state: snapshot.Snapshot) -> placement.Layout:
        if self._layout is None or state.fleet is not self._fleet:
            layout = placement.Layout(fleet=state.fleet)
            if self._layout is None or not layout.equals(self._layout):
                self._layout = layout
                self._fit_failures = {}
            self._fleet = state.fleet
        return self._layout

    def _classify_pending(
        self, state: snapshot.Snapshot
    ) -> tuple[list[snapshot.Pending], list[snapshot.Refusal],
               list[snapshot.Expiration]]:
        """Splits pending requests into waiting, refused and expired ones."""
        waiting = []
        refusals = []
        expirations = []
        for pending in state.pending:
            reason = self._find_refusal(pending, state)
            if reason is not None:
                refusals.append(snapshot.Refusal(pending.request_id, reason))
            elif state.now_s >= pending.expires_s:
                expirations.append(snapshot.Expiration(pending.request_id))
            else:
                waiting.append(pending)
        return waiting, refusals, expirations

    def _find_refusal(self, pending: snapshot.Pending,
                      state: snapshot.Snapshot) -> str | None:
        """Returns why a request can never start, or None if it can."""
        if not state.fleet.workers:
            # The list of workers has not been read yet.
            return None
        if pending.shape not in self._fit_failures:
            failure = placement.find_fit_failure(state.fleet, pending.shape)
            self._fit_failures[
                pending.shape] = failure and placement.describe_fit_failure(
                    failure, pending.shape)
        reason = self._fit_failures[pending.shape]
        if reason is not None:
            return reason
        team = state.configuration.teams.get(pending.team)
        limit = team.max_accelerators if team else 0
        if limit and pending.shape.total_accelerators > limit:
            return (f"shape can never fit: team {pending.team} may use {limit} "
                    f"accelerators at once")
        if rounds.is_restartable(
                pending) or not self._components.guarantees.reserves_capacity:
            return None
        guarantees = team.guarantees if team else ()
        if any(
                guarantee.covers(entry.shape, pending.shape)
                for entry in guarantees):
            return None
        return ("can be neither repeated nor resumed, and no guarantee of team "
                f"{pending.team} covers its shape")


def _limit_probation(free: placement.FreeCapacity,
                     names: frozenset[str]) -> None:
    """Limits each worker on probation to at most one running task."""
    amounts = {}
    for name in names & free.layout.index.keys():
        slots = free.layout.amounts[free.layout.index[name]][placement.SLOTS]
        worker_amounts = free.get_amounts(name).copy()
        worker_amounts[placement.SLOTS] += 1 - slots
        amounts[name] = worker_amounts
    free.limit_workers(amounts)


def build_default() -> Scheduler:
    """Builds the scheduler that the product uses."""
    return Scheduler(placer=placement.RackPack(),
                     order=queue.FairShare(),
                     preemption=preemption_module.LeastUrgent(),
                     estimator=estimate.ObservedEstimator())


def build_baseline() -> Scheduler:
    """Builds the simplest scheduler, as a baseline for comparisons.

    It starts requests in order of arrival on the first workers that fit. It
    evicts nothing, does not backfill, and reserves nothing for guarantees.
    """
    return Scheduler(placer=placement.FirstFit(),
                     order=queue.ArrivalOrder(),
                     preemption=preemption_module.NoEviction(),
                     estimator=estimate.DeclaredEstimator(),
                     backfill=False,
                     guaranteed_first=False,
                     reserve_guarantees=False,
                     reclaim_shares=False)
