"""The decision round: which requests start, where, and what makes room."""

from trefoilroad_core import accounting
from trefoilroad_core import backfill as backfill_module
from trefoilroad_core import clearing
from trefoilroad_core import estimate
from trefoilroad_core import firm
from trefoilroad_core import guarantee
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
Evict = snapshot.Evict
Refuse = snapshot.Refuse
Expire = snapshot.Expire
Decisions = snapshot.Decisions

EVICTION_TIMEOUT_S = 30.0
"""After this time, gangs that did not stop are chosen anew."""


class Scheduler:
    """Decides about all requests of one region.

    It has no clock and does no input or output. Between rounds it keeps fair
    shares, run time estimates, reservations, the sites of guaranteed gangs, and
    the room promised to requests for which gangs are being stopped. A new owner
    starts without these and finds them again from the running gangs, except
    that promises are made anew.
    """

    def __init__(self,
                 *,
                 placer: placement.Placer,
                 order: queue.QueueOrder,
                 preemption: preemption_module.Preemption,
                 estimator: estimate.Estimator,
                 backfill: bool = True,
                 guaranteed_first: bool = True,
                 reserve_guarantees: bool = True,
                 reclaim_shares: bool = True,
                 eviction_timeout_s: float = EVICTION_TIMEOUT_S):
        """Composes a scheduler; each mechanism can be switched off alone.

        Args:
            placer: Chooses workers.
            order: Orders requests and keeps account of what teams used.
            preemption: Chooses gangs to stop for guaranteed work.
            estimator: Estimates run times.
            backfill: Whether requests may start ahead of one that waits.
            guaranteed_first: Whether requests inside a guarantee go ahead of
                others and may evict.
            reserve_guarantees: Whether a start must leave room for all
                guaranteed gangs that are not in use.
            reclaim_shares: Whether requests may evict lent gangs of teams that
                use more of the fleet for their weight.
            eviction_timeout_s: Longest time to wait for gangs to stop.
        """
        self._order = order
        self._backfill = backfill
        self._firm_first = guaranteed_first
        self._reclaim = reclaim_shares
        self._eviction_timeout_s = eviction_timeout_s
        self._tools = rounds.Tools(
            placer=placer,
            preemption=preemption,
            accounting=accounting.Accounting(order=order, estimator=estimator),
            ledger=guarantee.Ledger(placer=placer, reserve=reserve_guarantees))
        self._layout: placement.Layout | None = None
        self._fleet: object = None
        self._base = rounds.Base()
        self._misfits: dict[request.Shape, str | None] = {}
        self._clearing = clearing.Memory({}, {}, {})
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
        self._tools.accounting.update(state)
        waiting, refusals, expirations = self._sort_out(state)
        self._clearing.update(state, {item.request_id for item in waiting})
        self._tools.ledger.update(
            state._replace(excluded=state.excluded | state.probation), layout,
            self._clearing.promises)
        free = self._base.update(layout, state)
        saved = free.save()
        _limit_probation(free, state.probation)
        weights = {
            name: team.weight
            for name, team in state.configuration.teams.items()
        }
        shares = shares_module.Shares(state=state,
                                      accounts=self._tools.accounting,
                                      weights=weights)
        work = rounds.Round(state=state,
                            tools=self._tools,
                            free=free,
                            shares=shares)
        self._run_passes(work, waiting, weights)
        free.restore(saved)
        self._reasons = work.reasons
        self._degraded = {item.team for item in self._tools.ledger.degraded}
        return snapshot.Decisions(tuple(work.starts), tuple(work.evictions),
                                  tuple(refusals), tuple(expirations))

    def _run_passes(self, work: rounds.Round, waiting: list[snapshot.Pending],
                    weights: dict[str, float]) -> None:
        clears = clearing.Clearing(work=work,
                                   memory=self._clearing,
                                   timeout_s=self._eviction_timeout_s)
        items = [
            item for item in waiting
            if item.request_id in self._clearing.promises or
            work.is_within_limit(item)
        ]
        cost = self._tools.accounting.compute_cost
        ordered = list(self._order.arrange(items, cost, weights))
        if self._firm_first:
            ordered = firm.FirmPass(work=work, clears=clears).run(ordered)
        backfill_module.LentPass(work=work,
                                 reservations=self._reservations,
                                 clears=clears,
                                 backfill=self._backfill,
                                 reclaim=self._reclaim).run(ordered)

    def explain(self, request_id: str) -> str:
        """Tells why a request waits, as of the latest round.

        Args:
            request_id: Identifier of the request.

        Returns:
            One sentence, or an empty string if the request does not wait.
        """
        return self._reasons.get(request_id, "")

    def record_end(self, request_id: str, *, ran_s: float,
                   completed: bool) -> None:
        """Learns from a gang that ended; called before the next round.

        Without the call the charge is corrected when the gang has left the
        snapshot, and nothing is learnt about run times.

        Args:
            request_id: Identifier of the request.
            ran_s: Real run time in seconds.
            completed: Whether it completed, not failed or stopped.
        """
        self._tools.accounting.record_end(request_id,
                                          ran_s=ran_s,
                                          completed=completed)

    def find_degraded_teams(self) -> list[str]:
        """Returns the teams of which guaranteed gangs have no place now."""
        return sorted(self._degraded)

    def list_sites(self) -> list[tuple[tuple[str, ...], request.Shape]]:
        """Returns where the guaranteed gangs not in use can be placed.

        Returns:
            Workers and shape of each. All fit at the same time, beside all
            running work that cannot be evicted and the room promised to
            requests that wait for an eviction.
        """
        return list(self._tools.ledger.list_sites())

    def _update_layout(self, state: snapshot.Snapshot) -> placement.Layout:
        if self._layout is None or state.fleet is not self._fleet:
            layout = placement.Layout(fleet=state.fleet)
            if self._layout is None or not layout.equals(self._layout):
                self._layout = layout
                self._misfits = {}
            self._fleet = state.fleet
        return self._layout

    def _sort_out(
        self, state: snapshot.Snapshot
    ) -> tuple[list[snapshot.Pending], list[snapshot.Refuse],
               list[snapshot.Expire]]:
        """Separates requests that can wait from those that cannot."""
        waiting = []
        refusals = []
        expirations = []
        for item in state.pending:
            reason = self._find_refusal(item, state)
            if reason is not None:
                refusals.append(snapshot.Refuse(item.request_id, reason))
            elif state.now_s >= item.expires_s:
                expirations.append(snapshot.Expire(item.request_id))
            else:
                waiting.append(item)
        return waiting, refusals, expirations

    def _find_refusal(self, item: snapshot.Pending,
                      state: snapshot.Snapshot) -> str | None:
        """Tells why a request can never start, None if it can."""
        if not state.fleet.workers:
            # The list of workers has not been read yet.
            return None
        if item.shape not in self._misfits:
            misfit = placement.find_fit_failure(state.fleet, item.shape)
            self._misfits[
                item.shape] = misfit and placement.describe_fit_failure(
                    misfit, item.shape)
        reason = self._misfits[item.shape]
        if reason is not None:
            return reason
        team = state.configuration.teams.get(item.team)
        limit = team.max_accelerators if team else 0
        if limit and item.shape.total_accelerators > limit:
            return (f"shape can never fit: team {item.team} may use {limit} "
                    f"accelerators at once")
        if rounds.can_be_lent(item) or not self._tools.ledger.reserving:
            return None
        guarantees = team.guarantees if team else ()
        if any(
                guarantee.covers(entry.shape, item.shape)
                for entry in guarantees):
            return None
        return ("can be neither repeated nor resumed, and no guarantee of team "
                f"{item.team} covers its shape")


def _limit_probation(free: placement.Capacity, names: frozenset[str]) -> None:
    """Leaves at most one slot of each worker on probation."""
    rows = {}
    for name in names & free.layout.index.keys():
        slots = free.layout.rows[free.layout.index[name]][placement.SLOTS]
        row = free.get_row(name).copy()
        row[placement.SLOTS] += 1 - slots
        rows[name] = row
    free.limit_rows(rows)


def build_default() -> Scheduler:
    """Builds the scheduler that the product uses."""
    return Scheduler(placer=placement.RackPack(),
                     order=queue.FairShare(),
                     preemption=preemption_module.LeastUrgent(),
                     estimator=estimate.ObservedEstimator())


def build_baseline() -> Scheduler:
    """Builds the simplest scheduler, to compare with.

    It starts requests in order of arrival on the first workers that fit, stops
    nothing, lets nothing start ahead, and keeps no room for guarantees.
    """
    return Scheduler(placer=placement.FirstFit(),
                     order=queue.ArrivalOrder(),
                     preemption=preemption_module.NoPreemption(),
                     estimator=estimate.DeclaredEstimator(),
                     backfill=False,
                     guaranteed_first=False,
                     reserve_guarantees=False,
                     reclaim_shares=False)
