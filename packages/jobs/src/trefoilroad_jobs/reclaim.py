"""Chooses which running tasks are preempted for a more urgent unit."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
from typing import NamedTuple

from trefoilroad_jobs import placement
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

# Worth of one core-second of lost work: its price in the users' lists (0.0017)
# plus what the fleet earns with a core-second on a busy day (0.0035).
LOST_CORE_SECOND_WORTH = 0.0017 + 0.0035
NO_DEMAND = workload.Demand(0, 0, 0)


class Preemption(NamedTuple):
    """Tasks to preempt for a unit, and the placement that becomes possible.

    Attributes:
        victims: Tasks to stop.
        workers: Worker of each task of the unit once the victims have ended.
    """

    victims: list[units.Victim]
    workers: list[str]


class Offer(NamedTuple):
    """What the stop of a victim would free on one worker.

    Attributes:
        victim: The victim.
        demand: Resources that it frees on this worker.
        weighted_loss: Core-seconds that the stop loses, weighted by priority.
        unit_loss: Weighted loss for each accelerator that the stop frees on all
            workers together.
    """

    victim: units.Victim
    demand: workload.Demand
    weighted_loss: float
    unit_loss: float


class RunningTasks:
    """Tasks that are ending and tasks that may be preempted, by worker."""

    def __init__(self,
                 *,
                 ending: Iterable[units.TaskDemand],
                 victims: Iterable[units.Victim],
                 list_last_resort: Callable[[],
                                            Iterable[units.Victim]] = tuple):
        """Indexes the running tasks of a round by worker.

        Args:
            ending: Tasks that are being stopped already.
            victims: Tasks that may be preempted.
            list_last_resort: Returns the victims of last resort. Called only if
                a unit that a guarantee covers finds no room without them.
        """
        self._list_last_resort = list_last_resort
        self._extended: RunningTasks | None = None
        self._is_extended = False
        self._stopped: dict[units.UnitKey, int] = collections.Counter()
        self._ending: dict[str, workload.Demand] = {}
        self._offers: dict[str, list[Offer]] = (collections.defaultdict(list))
        self._sorted_workers: set[str] = set()
        for worker_id, demand in ending:
            self._add_ending(worker_id, demand)
        self._add_victims(victims)

    def _add_victims(self, victims: Iterable[units.Victim]) -> None:
        for victim in victims:
            weighted_loss = _compute_weighted_loss(victim)
            if len(victim.tasks) == 1:
                # Most victims of a full fleet are single tasks.
                worker_id, demand = victim.tasks[0]
                unit_loss = weighted_loss / max(1, demand.accelerators)
                self._offers[worker_id].append(
                    Offer(victim, demand, weighted_loss, unit_loss))
                continue
            unit_loss = weighted_loss / max(1, victim.accelerators)
            for worker_id, demand in _sum_by_worker(victim).items():
                self._offers[worker_id].append(
                    Offer(victim, demand, weighted_loss, unit_loss))

    def _add_ending(self, worker_id: str, demand: workload.Demand) -> None:
        previous = self._ending.get(worker_id, NO_DEMAND)
        self._ending[worker_id] = previous.plus(demand)

    def get_ending_demand(self, worker_id: str) -> workload.Demand:
        """Returns the resources that the ending tasks of a worker release."""
        return self._ending.get(worker_id, NO_DEMAND)

    def list_offers(self, worker_id: str) -> Sequence[Offer]:
        """Returns the possible victims on a worker, in order of their loss.

        The smallest loss for each freed accelerator comes first.
        """
        offers = self._offers.get(worker_id)
        if offers is None:
            return ()
        if worker_id not in self._sorted_workers:
            # Sorted on demand: a round asks for the victims of few workers.
            offers.sort(key=lambda offer: offer.unit_loss)
            self._sorted_workers.add(worker_id)
        return offers

    def extend(self) -> "RunningTasks | None":
        """Returns these tasks together with the victims of last resort.

        Returns:
            The tasks; None if there are no victims of last resort.
        """
        if not self._is_extended:
            self._is_extended = True
            last_resort = list(self._list_last_resort())
            if last_resort:
                self._extended = RunningTasks(ending=self._ending.items(),
                                              victims=())
                for worker_id, offers in self._offers.items():
                    self._extended._offers[worker_id] = list(offers)
                self._extended._add_victims(last_resort)
        return self._extended

    def is_within_quotas(self, victims: Sequence[units.Victim]) -> bool:
        """Returns whether victims may be stopped together in this round."""
        tasks: dict[units.UnitKey, int] = {}
        for victim in victims:
            if victim.quota is None:
                continue
            key, limit = victim.quota
            tasks[key] = tasks.get(key, self._stopped[key]) + len(victim.tasks)
            if tasks[key] > limit:
                return False
        return True

    def mark_stopping(self, victims: Sequence[units.Victim]) -> None:
        """Moves victims to the tasks that are ending."""
        if self._extended is not None:
            self._extended.mark_stopping(victims)
        for victim in victims:
            if victim.quota is not None:
                self._stopped[victim.quota.key] += len(victim.tasks)
            for worker_id, demand in _sum_by_worker(victim).items():
                self._add_ending(worker_id, demand)
                self._offers[worker_id] = [
                    offer for offer in self._offers[worker_id]
                    if offer.victim is not victim
                ]


class _Supply(NamedTuple):
    """Accelerators that a group of workers could give to a unit.

    Attributes:
        released: Accelerators that are free or that ending tasks release.
        preemptible: Accelerators that the possible victims release.
        least_loss: Smallest weighted loss for each accelerator of a victim.
    """

    released: int
    preemptible: int
    least_loss: float

    def estimate_cost(self, accelerators: int) -> float:
        """Returns a lower bound of the loss that frees enough accelerators.

        Returns:
            The bound; infinite if the group can never free them.
        """
        missing = accelerators - self.released
        if missing <= 0:
            return 0.0
        if missing > self.preemptible:
            return float("inf")
        return missing * self.least_loss


def _sum_supply(candidates: Sequence[placement.Candidate],
                running: RunningTasks, priority: int) -> _Supply:
    """Sums what workers could give to a unit of a priority."""
    released, preemptible, least_loss = 0, 0, float("inf")
    for candidate in candidates:
        worker_id = candidate.worker_id
        # A worker that holds more than it reports gives nothing, and its
        # deficit must not count against the other workers.
        released += max(
            0, candidate.room.accelerators +
            running.get_ending_demand(worker_id).accelerators)
        for offer in running.list_offers(worker_id):
            if offer.victim.priority > priority or offer.victim.last_resort:
                preemptible += offer.demand.accelerators
                least_loss = min(least_loss, offer.unit_loss)
    return _Supply(released, preemptible, least_loss)


class _TaskOption(NamedTuple):
    """A way to place one more task on a worker.

    The heap orders options by their fields, so the order of the fields
    matters.

    Attributes:
        cost: Weighted loss of the preemptions that it needs.
        free: Accelerators that stay free on the worker; fewer are better.
        worker_id: The worker.
        version: Version of the worker's state that the option was built for;
            an option of an older version is discarded.
        offers: Victims that have to be stopped.
    """

    cost: float
    free: int
    worker_id: str
    version: int
    offers: list[Offer]


class _GroupPlacement:
    """Greedy placement of a unit on a group of workers.

    Each task goes to the worker where it costs the least preemption.

    Attributes:
        cost: Weighted loss of all preemptions so far.
        workers: Worker of each task placed so far.
        victims: Tasks that have to be stopped.
    """

    def __init__(self, *, request: placement.PlacementRequest,
                 candidates: Sequence[placement.Candidate],
                 running: RunningTasks, priority: int):
        self.cost = 0.0
        self.workers: list[str] = []
        self.victims: list[units.Victim] = []
        self._victim_ids: set[int] = set()
        self._request = request
        self._running = running
        self._priority = priority
        self._candidates = {
            candidate.worker_id: candidate for candidate in candidates
        }
        self._rooms = {
            candidate.worker_id:
                candidate.room.plus(
                    running.get_ending_demand(candidate.worker_id))
            for candidate in candidates
        }
        self._counts: dict[str,
                           int] = collections.Counter(request.used_by_worker)
        self._versions: dict[str, int] = collections.Counter()
        self._options: list[_TaskOption] = []

    def place_all(self, max_cost: float) -> bool:
        """Places all tasks.

        Args:
            max_cost: Weighted loss above which the search is given up.

        Returns:
            Whether all tasks were placed.
        """
        for worker_id in self._candidates:
            self._push_option(worker_id)
        while len(self.workers) < self._request.tasks and self._options:
            option = heapq.heappop(self._options)
            if option.version != self._versions[option.worker_id]:
                continue
            if not self._is_within_quotas(option.offers):
                # Stops on other workers have used up a quota meanwhile.
                self._push_option(option.worker_id)
                continue
            self._apply(option)
            if self.cost > max_cost:
                return False
        return len(self.workers) == self._request.tasks

    def _is_within_quotas(self, offers: Sequence[Offer]) -> bool:
        """Returns whether the victims of offers may be stopped as well."""
        if all(offer.victim.quota is None for offer in offers):
            return True
        return self._running.is_within_quotas(
            [*self.victims, *(offer.victim for offer in offers)])

    def _apply(self, option: _TaskOption) -> None:
        self.cost += option.cost
        self.workers.append(option.worker_id)
        self._counts[option.worker_id] += 1
        changed = {option.worker_id}
        for offer in option.offers:
            self.victims.append(offer.victim)
            self._victim_ids.add(id(offer.victim))
            for worker_id, demand in offer.victim.tasks:
                if worker_id in self._rooms:
                    self._rooms[worker_id] = self._rooms[worker_id].plus(demand)
                    changed.add(worker_id)
        self._rooms[option.worker_id] = self._rooms[option.worker_id].minus(
            self._request.step.occupied)
        for worker_id in changed:
            self._push_option(worker_id)

    def _push_option(self, worker_id: str) -> None:
        """Adds the option for the next task on a worker, if there is one.

        Earlier options of the worker become outdated.
        """
        self._versions[worker_id] += 1
        step = self._request.step
        if not self._request.allows(self._candidates[worker_id]):
            return
        if (step.max_per_worker and
                self._counts[worker_id] >= step.max_per_worker):
            return
        offers = self._choose_offers(worker_id)
        if offers is None:
            return
        room = self._rooms[worker_id]
        free = room.accelerators - step.occupied.accelerators
        heapq.heappush(
            self._options,
            _TaskOption(cost=sum(offer.weighted_loss for offer in offers),
                        free=free,
                        worker_id=worker_id,
                        version=self._versions[worker_id],
                        offers=offers))

    def _choose_offers(self, worker_id: str) -> list[Offer] | None:
        """Returns the victims for one more task on a worker.

        Returns:
            The victims; empty if the task fits already, None if it does not
            fit even after all permitted preemptions.
        """
        demand = self._request.step.occupied
        room = self._rooms[worker_id]
        chosen: list[Offer] = []
        if demand.fits(room):
            return []
        for offer in self._running.list_offers(worker_id):
            victim = offer.victim
            if ((victim.priority <= self._priority and not victim.last_resort)
                    or id(victim) in self._victim_ids):
                continue
            if (victim.quota is not None and
                    not self._is_within_quotas([*chosen, offer])):
                continue
            room = room.plus(offer.demand)
            chosen.append(offer)
            if demand.fits(room):
                break
        else:
            return None
        # The last victim may free enough to spare some of those before it.
        for offer in sorted(chosen, key=lambda offer: -offer.weighted_loss):
            reduced_room = room.minus(offer.demand)
            if demand.fits(reduced_room):
                room = reduced_room
                chosen = [other for other in chosen if other is not offer]
        return chosen


def choose_preemption(unit: units.Unit,
                      candidates: Sequence[placement.Candidate],
                      running: RunningTasks,
                      spread: bool = False) -> Preemption | None:
    """Chooses what to preempt so that a unit can start.

    Each task in turn goes to the worker with the smallest loss. A unit that
    prefers one rack gets the rack with the smallest total loss.

    Args:
        unit: The unit.
        candidates: Workers that it may use, with their free resources.
        running: Tasks that are ending or may be preempted.
        spread: Whether a step with data in a rack may use others if no
            preemption makes enough room in that rack.

    Returns:
        The preemption, or None if no preemption makes enough room.
    """
    request = units.build_placement_request(unit)
    accelerators = request.step.occupied.accelerators * request.tasks
    groups = [(_sum_supply(group_candidates, running,
                           unit.priority).estimate_cost(accelerators),
               group_candidates) for group_candidates in _list_candidate_groups(
                   unit, request, candidates)]
    best: _GroupPlacement | None = None
    for cost, group_candidates in sorted(groups, key=lambda group: group[0]):
        if cost >= (best.cost if best else float("inf")):
            # Neither this group nor any further one can lose less.
            break
        group = _GroupPlacement(request=request,
                                candidates=group_candidates,
                                running=running,
                                priority=unit.priority)
        if group.place_all(best.cost if best else float("inf")):
            best = group
    if best is None and (request.step.one_rack or
                         (request.step.data_rack and spread)):
        group = _GroupPlacement(request=request,
                                candidates=candidates,
                                running=running,
                                priority=unit.priority)
        best = group if group.place_all(float("inf")) else None
    if best is None:
        return None
    return Preemption(best.victims, best.workers)


def choose_last_resort(unit: units.Unit,
                       candidates: Sequence[placement.Candidate],
                       running: RunningTasks,
                       spread: bool = False) -> Preemption | None:
    """Chooses victims of last resort so that a unit can start.

    A unit that could start outside the rack of its data without them waits
    until it may.

    Args:
        unit: A unit covered by a guarantee, for which `choose_preemption` has
            found nothing.
        candidates: Workers that it may use, with their free resources.
        running: Tasks that are ending or may be preempted.
        spread: See `choose_preemption`.

    Returns:
        The preemption, or None if no preemption makes enough room.
    """
    extended = running.extend()
    if extended is None:
        return None
    if (unit.step.data_rack and not spread and choose_preemption(
            unit, candidates, running, spread=True) is not None):
        return None
    return choose_preemption(unit, candidates, extended, spread)


def choose_partial_preemption(unit: units.Unit,
                              candidates: Sequence[placement.Candidate],
                              running: RunningTasks) -> Preemption | None:
    """Chooses what to preempt so that most tasks of a unit can start.

    Args:
        unit: A unit covered by a guarantee, for which `choose_preemption` and
            `choose_last_resort` have found nothing.
        candidates: Workers that it may use, with their free resources.
        running: Tasks that are ending or may be preempted.

    Returns:
        The preemption, with a worker for each task that can start, or None if
        no task can.
    """
    for tasks in (running, running.extend()):
        if tasks is None:
            continue
        group = _GroupPlacement(request=units.build_placement_request(unit),
                                candidates=candidates,
                                running=tasks,
                                priority=unit.priority)
        group.place_all(float("inf"))
        if group.workers:
            return Preemption(group.victims, group.workers)
    return None


def _select_by_speed(
        unit: units.Unit, request: placement.PlacementRequest,
        candidates: Sequence[placement.Candidate]
) -> Sequence[placement.Candidate]:
    """Returns the workers of a group on which an urgent unit ends in time.

    The slowest worker sets the pace of a gang. Other units have time to spare
    and are late rather by waiting. Returns the whole group if too few of its
    workers are fast enough.
    """
    if unit.priority != workload.URGENT_PRIORITY:
        return candidates
    suitable = [
        candidate for candidate in candidates
        if candidate.speed_class <= unit.max_speed_class
    ]
    if len(suitable) < len(candidates) and placement.fits_when_idle(
            request, suitable):
        return suitable
    return candidates


def _list_candidate_groups(
    unit: units.Unit, request: placement.PlacementRequest,
    candidates: Sequence[placement.Candidate]
) -> list[Sequence[placement.Candidate]]:
    """Returns groups of workers that could hold all tasks when idle."""
    step = request.step
    groups: list[Sequence[placement.Candidate]] = [candidates]
    if step.data_rack:
        groups = [[
            candidate for candidate in candidates
            if candidate.rack == step.data_rack
        ], candidates]
    elif step.one_rack and request.tasks > 1:
        groups = list(placement.group_by_rack(candidates).values())
    fitting = [
        group for group in groups if placement.fits_when_idle(request, group)
    ]
    if step.data_rack:
        fitting = fitting[:1]
    return [_select_by_speed(unit, request, group) for group in fitting]


def is_worthwhile(unit: units.Unit, victims: Sequence[units.Victim],
                  now_s: float) -> bool:
    """Returns whether a start in time earns more than the preemption loses.

    If the unit is bulk work itself, the loss includes what the jobs of the
    victims would have earned with the resources that the unit takes.
    """
    gain = units.estimate_worth(unit, now_s) * (1.0 - units.LATE_WORTH_SHARE)
    loss = LOST_CORE_SECOND_WORTH * sum(
        victim.lost_core_s for victim in victims)
    if unit.priority > 0:
        room = sum(victim.accelerators for victim in victims)
        freed = min(1.0, room / max(1, unit.accelerators))
        density = max((victim.density for victim in victims), default=0.0)
        loss += freed * unit.remaining_core_s * density
    return gain > loss


def _compute_weighted_loss(victim: units.Victim) -> float:
    """Returns the core-seconds that a stop costs, weighted by priority."""
    return (victim.lost_core_s + victim.restart_core_s
           ) * units.WORTH_BY_PRIORITY[units.find_worth_index(victim.priority)]


def _sum_by_worker(victim: units.Victim) -> dict[str, workload.Demand]:
    """Returns the resources that a victim's end frees, by worker."""
    freed: dict[str, workload.Demand] = {}
    for worker_id, demand in victim.tasks:
        earlier = freed.get(worker_id)
        freed[worker_id] = demand if earlier is None else earlier.plus(demand)
    return freed
