"""Charges gangs to their teams and estimates when gangs end."""

from typing import NamedTuple

from trefoilroad_core import estimate
from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import placement
from trefoilroad_core import queue
from trefoilroad_core import request
from trefoilroad_core import snapshot


class _Charge(NamedTuple):
    """The charge of one gang.

    Attributes:
        team: Team that is charged.
        caller: Caller that is charged.
        template: Name of the gang's template.
        rate: Accelerator seconds charged for one second.
        started_s: When it was started, in seconds.
        declared_s: Declared run time in seconds.
        charged_s: Run time charged so far, in seconds.
    """

    team: str
    caller: str
    template: str
    rate: float
    started_s: float
    declared_s: float
    charged_s: float


class Accounting:
    """Charges gangs by estimated use at the start and corrects it later.

    The charge is the dominant share of the fleet (Ghodsi et al., "Dominant
    Resource Fairness", NSDI 2011) for the run time, expressed in accelerator
    seconds, so that tasks without accelerators are charged as well.
    """

    def __init__(self, *, order: queue.QueueOrder,
                 estimator: estimate.Estimator):
        self._order = order
        self._estimator = estimator
        self._charges: dict[str, _Charge] = {}
        self._fleet: fleet_module.Fleet | None = None
        self._prices: list[float] = []
        self._rates: dict[request.Shape, float] = {}
        self._estimates: dict[str, float] = {}

    def update(self, state: snapshot.Snapshot) -> None:
        """Brings charges and prices up to date; called once in each round."""
        self._estimates = {}
        if state.fleet is not self._fleet:
            self._fleet = state.fleet
            self._prices = _compute_prices(state.fleet)
            self._rates = {}
        running = set()
        for gang in state.running:
            running.add(gang.request_id)
            charge = self._charges.get(gang.request_id)
            if charge is None:
                self._charge_running(gang, state)
            elif state.now_s - charge.started_s >= charge.charged_s:
                self._extend_charge(gang.request_id, charge, state.now_s)
        ended = [key for key in self._charges if key not in running]
        for request_id in ended:
            elapsed = state.now_s - self._charges[request_id].started_s
            self._settle_charge(request_id, elapsed)

    def _charge_running(self, gang: snapshot.Running,
                        state: snapshot.Snapshot) -> None:
        """Charges a gang that a previous owner started."""
        declared_s = gang.declared_s
        if declared_s is None:
            template = state.configuration.templates.get(gang.template)
            declared_s = template.declared_s if template else 0.0
        charge = self._build_charge(gang, declared_s, gang.started_s)
        self._charges[gang.request_id] = charge
        self._order.charge(charge.team,
                           charge.caller,
                           charge.rate * charge.charged_s,
                           in_fair_order=False)
        if state.now_s - charge.started_s >= charge.charged_s:
            self._extend_charge(gang.request_id, charge, state.now_s)

    def _build_charge(self, source: snapshot.Pending | snapshot.Running,
                      declared_s: float, started_s: float) -> _Charge:
        estimated_s = self._estimator.estimate(source.team, source.template,
                                               declared_s)
        return _Charge(source.team, source.caller, source.template,
                       self.compute_rate(source.shape), started_s, declared_s,
                       estimated_s)

    def _extend_charge(self, request_id: str, charge: _Charge,
                       now_s: float) -> None:
        """Doubles the charged run time of a gang that exceeds its estimate.

        Doubling changes the estimated end of a gang seldom, so that plans
        based on it stay stable between rounds.
        """
        charged_s = charge.charged_s
        while charged_s <= now_s - charge.started_s:
            charged_s *= 2
        self._order.charge(charge.team,
                           charge.caller,
                           charge.rate * (charged_s - charge.charged_s),
                           in_fair_order=False)
        self._charges[request_id] = charge._replace(charged_s=charged_s)

    def _settle_charge(self, request_id: str, ran_s: float) -> _Charge:
        charge = self._charges.pop(request_id)
        self._order.charge(charge.team,
                           charge.caller,
                           charge.rate * (ran_s - charge.charged_s),
                           in_fair_order=False)
        return charge

    def record_start(self, pending: snapshot.Pending, now_s: float, *,
                     in_fair_order: bool) -> None:
        """Charges a start by its estimated use.

        Args:
            pending: The request that starts.
            now_s: Current time in seconds.
            in_fair_order: Whether it starts in its turn of the fair order, not
                inside a guarantee.
        """
        charge = self._build_charge(pending, pending.declared_s, now_s)
        self._charges[pending.request_id] = charge
        self._order.charge(charge.team,
                           charge.caller,
                           charge.rate * charge.charged_s,
                           in_fair_order=in_fair_order)

    def record_end(self, request_id: str, *, ran_s: float,
                   completed: bool) -> None:
        """Corrects a charge to the real use and records the run time.

        Args:
            request_id: The request whose gang ended; unknown ones are ignored.
            ran_s: Real run time in seconds.
            completed: Whether the gang completed; only then is its run time
                used for estimates.
        """
        if request_id not in self._charges:
            return
        charge = self._settle_charge(request_id, ran_s)
        if completed:
            self._estimator.observe(charge.team, charge.template,
                                    charge.declared_s, ran_s)

    def compute_rate(self, shape: request.Shape) -> float:
        """Computes the charge for one second, in accelerator seconds."""
        rate = self._rates.get(shape)
        if rate is None:
            demand = placement.get_task_demand(shape)
            rate = shape.tasks * max(
                amount * price
                for amount, price in zip(demand, self._prices, strict=True))
            self._rates[shape] = rate
        return rate

    def estimate_s(self, pending: snapshot.Pending) -> float:
        """Estimates the run time of a waiting request, in seconds."""
        estimated_s = self._estimates.get(pending.request_id)
        if estimated_s is None:
            estimated_s = self._estimator.estimate(pending.team,
                                                   pending.template,
                                                   pending.declared_s)
            self._estimates[pending.request_id] = estimated_s
        return estimated_s

    def estimate_longest_s(self, pending: snapshot.Pending) -> float:
        """Estimates a run time that a request rarely exceeds, in seconds."""
        return self._estimator.estimate_longest(pending.team, pending.template,
                                                pending.declared_s)

    def compute_cost(self, pending: snapshot.Pending) -> float:
        """Computes the charge of a waiting request, in accelerator seconds."""
        return self.compute_rate(pending.shape) * self.estimate_s(pending)

    def estimate_end_s(self, gang: snapshot.Running) -> float:
        """Estimates when a running gang ends, in seconds, never in the past."""
        charge = self._charges[gang.request_id]
        return charge.started_s + charge.charged_s


def _compute_prices(fleet: fleet_module.Fleet) -> list[float]:
    """Returns the price of one unit of each resource, in accelerators."""
    amounts = [(worker.accelerators, worker.cores, worker.memory_gb,
                worker.slots, worker.connections)
               for worker in fleet.workers.values()]
    totals = [sum(column) for column in zip(*amounts, strict=True)]
    totals = totals or [0] * len(placement.RESOURCES)
    accelerators = totals[placement.ACCELERATORS] or 1
    return [accelerators / total if total else 0.0 for total in totals]
