"""Chooses which running tasks are stopped for a more urgent unit."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
from typing import NamedTuple

from trefoilroad_jobs import placement
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

# Worth of a core-second that a stop throws away: its price in the users' lists,
# and what the fleet earns with a core-second on a busy day.
STOP_PRICE = 0.0017 + 0.0035
NOTHING = workload.Demand(0, 0, 0)


class Choice(NamedTuple):
    """Victims, and the workers that the unit gets once they have ended."""

    victims: list[units.Victim]
    workers: list[str]


class Running:
    """What ends, and what may be stopped, by worker."""

    def __init__(self, *, ending: Iterable[units.TaskRoom],
                 victims: Iterable[units.Victim]):
        """Indexes a round's tasks.

        Args:
            ending: Tasks that are being stopped already.
            victims: Tasks that may be stopped.
        """
        self._ending: dict[str, workload.Demand] = {}
        self._victims: dict[str, list[units.Victim]] = (
            collections.defaultdict(list))
        for worker_id, demand in ending:
            self._add_ending(worker_id, demand)
        for victim in sorted(victims, key=_weigh_loss):
            for worker_id in _list_workers(victim):
                self._victims[worker_id].append(victim)

    def _add_ending(self, worker_id: str, demand: workload.Demand) -> None:
        before = self._ending.get(worker_id, NOTHING)
        self._ending[worker_id] = before.plus(demand)

    def get_ending(self, worker_id: str) -> workload.Demand:
        """Returns what becomes free on a worker without further stops."""
        return self._ending.get(worker_id, NOTHING)

    def list_victims(self, worker_id: str) -> Sequence[units.Victim]:
        """Returns what may be stopped on a worker, the cheapest first."""
        return self._victims.get(worker_id, ())

    def stop(self, victims: Iterable[units.Victim]) -> None:
        """Notes that victims are being stopped."""
        for victim in victims:
            for worker_id, demand in victim.tasks:
                self._add_ending(worker_id, demand)
            for worker_id in _list_workers(victim):
                self._victims[worker_id].remove(victim)


class _Offer(NamedTuple):
    """A place for one more task on a worker.

    Attributes:
        cost: Loss of the stops that it takes.
        free: Accelerators that are left over there; fewer are better.
        worker_id: The worker.
        version: Version of the worker's state that the offer is for.
        victims: What has to be stopped.
    """

    cost: float
    free: int
    worker_id: str
    version: int
    victims: list[units.Victim]


class _Group:
    """Workers on which a unit is placed task by task, the cheapest first."""

    def __init__(self, *, wish: placement.Wish, slots: Sequence[placement.Slot],
                 running: Running, priority: int):
        self.cost = 0.0
        self.workers: list[str] = []
        self.victims: list[units.Victim] = []
        self._wish = wish
        self._running = running
        self._priority = priority
        self._slots = {slot.worker_id: slot for slot in slots}
        self._rooms = {
            slot.worker_id: slot.room.plus(running.get_ending(slot.worker_id))
            for slot in slots
        }
        self._counts: dict[str, int] = collections.Counter(wish.used)
        self._versions: dict[str, int] = collections.Counter()
        self._offers: list[_Offer] = []

    def fill(self, max_cost: float) -> bool:
        """Places all tasks.

        Args:
            max_cost: It gives up when the stops lose more than this.

        Returns:
            Whether that succeeded.
        """
        for worker_id in self._slots:
            self._make_offer(worker_id)
        while len(self.workers) < self._wish.tasks and self._offers:
            offer = heapq.heappop(self._offers)
            if offer.version == self._versions[offer.worker_id]:
                self._take(offer)
                if self.cost > max_cost:
                    return False
        return len(self.workers) == self._wish.tasks

    def _take(self, offer: _Offer) -> None:
        self.cost += offer.cost
        self.workers.append(offer.worker_id)
        self._counts[offer.worker_id] += 1
        changed = {offer.worker_id}
        for victim in offer.victims:
            self.victims.append(victim)
            for worker_id, demand in victim.tasks:
                if worker_id in self._rooms:
                    self._rooms[worker_id] = self._rooms[worker_id].plus(demand)
                    changed.add(worker_id)
        self._rooms[offer.worker_id] = self._rooms[offer.worker_id].minus(
            self._wish.step.occupied)
        for worker_id in changed:
            self._make_offer(worker_id)

    def _make_offer(self, worker_id: str) -> None:
        """Offers a place for the next task, if the worker has one."""
        self._versions[worker_id] += 1
        step = self._wish.step
        if not self._wish.allows(self._slots[worker_id]):
            return
        if (step.max_per_worker and
                self._counts[worker_id] >= step.max_per_worker):
            return
        victims = self._choose_victims(worker_id)
        if victims is None:
            return
        room = self._rooms[worker_id]
        free = room.accelerators - step.occupied.accelerators
        heapq.heappush(
            self._offers,
            _Offer(cost=sum(_price(victim) for victim in victims),
                   free=free,
                   worker_id=worker_id,
                   version=self._versions[worker_id],
                   victims=victims))

    def _choose_victims(self, worker_id: str) -> list[units.Victim] | None:
        """Returns what must be stopped for one more task, None if in vain."""
        demand = self._wish.step.occupied
        room = self._rooms[worker_id]
        chosen: list[tuple[units.Victim, workload.Demand]] = []
        if demand.fits(room):
            return []
        for victim in self._running.list_victims(worker_id):
            if victim.priority <= self._priority or victim in self.victims:
                continue
            share = _get_share(victim, worker_id)
            room = room.plus(share)
            chosen.append((victim, share))
            if demand.fits(room):
                break
        else:
            return None
        # The last one may have made some of those before it needless.
        for item in sorted(chosen, key=lambda item: -_price(item[0])):
            without = room.minus(item[1])
            if demand.fits(without):
                room = without
                chosen.remove(item)
        return [victim for victim, _ in chosen]


def choose(unit: units.Unit, slots: Sequence[placement.Slot],
           running: Running) -> Choice | None:
    """Chooses what to stop so that a unit can start.

    Each task in turn gets the place whose stops lose least. A unit that wants
    one rack gets the rack where that costs least in all.

    Args:
        unit: The unit.
        slots: Workers that it may use, with their room.
        running: What ends and what may be stopped.

    Returns:
        The choice, or None if no stops would make room.
    """
    wish = units.build_wish(unit)
    best: _Group | None = None
    for slots_of_group in _list_groups(wish, slots):
        group = _Group(wish=wish,
                       slots=slots_of_group,
                       running=running,
                       priority=unit.priority)
        if group.fill(best.cost if best else float("inf")):
            best = group
    if best is None and wish.step.one_rack:
        group = _Group(wish=wish,
                       slots=slots,
                       running=running,
                       priority=unit.priority)
        best = group if group.fill(float("inf")) else None
    if best is None:
        return None
    return Choice(best.victims, best.workers)


def _list_groups(
        wish: placement.Wish,
        slots: Sequence[placement.Slot]) -> list[Sequence[placement.Slot]]:
    """Returns groups of workers, each of which could hold the whole wish."""
    step = wish.step
    groups: list[Sequence[placement.Slot]] = [slots]
    if step.data_rack:
        groups = [[slot for slot in slots if slot.rack == step.data_rack],
                  slots]
    elif step.one_rack and wish.tasks > 1:
        groups = list(placement.group_by_rack(slots).values())
    fitting = [group for group in groups if placement.could_fit(wish, group)]
    return fitting[:1] if step.data_rack else fitting


def is_worth_it(unit: units.Unit, victims: Sequence[units.Victim],
                now_s: float) -> bool:
    """Tells whether a start in time earns more than the stops lose.

    Bulk work that is stopped for other bulk work also loses the room, which
    would have earned what its own job is worth.
    """
    gain = units.estimate_worth(unit, now_s) * (1.0 - units.LATE_SHARE)
    loss = STOP_PRICE * sum(victim.cost for victim in victims)
    if unit.priority > 0:
        room = sum(victim.accelerators for victim in victims)
        share = min(1.0, room / max(1, unit.accelerators))
        density = max((victim.density for victim in victims), default=0.0)
        loss += share * unit.work * density
    return gain > loss


def _price(victim: units.Victim) -> float:
    """Returns what a stop loses, weighed by the worth of the job."""
    level = units.get_level(victim.priority)
    return victim.cost * units.WORTH_BY_PRIORITY[level]


def _weigh_loss(victim: units.Victim) -> float:
    """Returns what a stop loses for each accelerator that it frees."""
    return _price(victim) / max(1, victim.accelerators)


def _list_workers(victim: units.Victim) -> list[str]:
    """Returns the workers of a victim, each once."""
    return list(dict.fromkeys(worker_id for worker_id, _ in victim.tasks))


def _get_share(victim: units.Victim, worker_id: str) -> workload.Demand:
    """Returns what a victim's end frees on one worker."""
    share = NOTHING
    for name, demand in victim.tasks:
        if name == worker_id:
            share = share.plus(demand)
    return share
