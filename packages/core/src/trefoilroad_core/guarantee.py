"""Tracks which guaranteed gangs are in use and where each can be placed.

Each guaranteed gang of each team, in use or not, has a planned placement:
workers on which its whole shape fits together with the planned placements of
all others. A running gang that uses a guarantee stays within its planned
placement, so all guaranteed gangs can be placed at the same time whatever ends
next. All other gangs on the fleet are opportunistic and can be evicted. A
planned placement that is not in use is virtual and may move, like the virtual
cells of HiveD (Zhao et al., "HiveD: Sharing a GPU Cluster for Deep Learning
with Guarantees", OSDI 2020). Unlike in HiveD, shapes need no hierarchy of
cells, so packing decides whether they fit.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from trefoilroad_core import contract
from trefoilroad_core import errors
from trefoilroad_core import fleet as fleet_module
from trefoilroad_core import placement
from trefoilroad_core import request
from trefoilroad_core import snapshot

MAX_MOVED_PLACEMENTS = 4
"""Most unused placements moved to let one gang start on free workers."""


class Entitlement(NamedTuple):
    """One guaranteed gang.

    Attributes:
        team: Team that has the guarantee.
        position: Position of the guarantee in the team's contract.
        number: Number of the gang inside the guarantee, from 0.
        shape: The guaranteed shape.
    """

    team: str
    position: int
    number: int
    shape: request.Shape


def covers(guaranteed: request.Shape, shape: request.Shape) -> bool:
    """Tells whether a gang fits inside a guaranteed shape.

    Args:
        guaranteed: The guaranteed shape.
        shape: Shape of the gang.

    Returns:
        True if the gang has no more tasks, none of them larger, and needs no
        adjacency that the guarantee does not give.
    """
    return (shape.tasks <= guaranteed.tasks and
            shape.accelerators <= guaranteed.accelerators and
            shape.cores <= guaranteed.cores and
            shape.memory_gb <= guaranteed.memory_gb and
            (shape.adjacent == "none" or guaranteed.adjacent == "rack"))


def list_entitlements(
        configuration: contract.Configuration) -> list[Entitlement]:
    """Lists all guaranteed gangs of all teams."""
    return [
        Entitlement(team.name, position, number, guarantee.shape)
        for team in configuration.teams.values()
        for position, guarantee in enumerate(team.guarantees)
        for number in range(guarantee.gangs)
    ]


def find_shortfalls(
    fleet: fleet_module.Fleet,
    configuration: contract.Configuration,
    excluded: Iterable[str] = ()
) -> list[errors.Finding]:
    """Finds guaranteed gangs that cannot all be placed at the same time.

    The search is a heuristic: it tries several orders, and may miss a packing
    of a fleet that is filled to the last accelerator.

    Args:
        fleet: All workers.
        configuration: The contracts to check.
        excluded: Workers that get no new tasks.

    Returns:
        One finding for each guarantee that has gangs without a placement;
        none if all can be placed.
    """
    layout = placement.Layout(fleet=fleet)
    entitlements = list_entitlements(configuration)
    missing = entitlements
    for adjacent_first in (True, False):
        for placer in (placement.RackPack(), placement.FirstFit()):
            capacity = placement.FreeCapacity(layout=layout, excluded=excluded)
            unplaced = [
                entitlement for entitlement in sort_entitlements(
                    entitlements, adjacent_first)
                if not _place_and_take(placer, capacity, entitlement.shape)
            ]
            if len(unplaced) < len(missing):
                missing = unplaced
            if not missing:
                return []
    return _describe_missing(missing)


def _place_and_take(placer: placement.Placer, capacity: placement.FreeCapacity,
                    shape: request.Shape) -> tuple[str, ...] | None:
    planned = placer.place(capacity, shape)
    if planned is not None:
        capacity.take(planned, shape)
    return planned


def _describe_missing(missing: list[Entitlement]) -> list[errors.Finding]:
    counts: dict[tuple[str, int, request.Shape], int] = {}
    for entitlement in missing:
        key = entitlement.team, entitlement.position, entitlement.shape
        counts[key] = counts.get(key, 0) + 1
    return [
        errors.Finding(
            f"teams/{team}.toml", f"guarantees.{position}",
            f"{count} gangs of {shape.tasks} tasks with {shape.accelerators} "
            f"accelerators have no place beside all other guarantees; lower "
            f"the number of gangs or add workers")
        for (team, position, shape), count in sorted(counts.items())
    ]


def sort_entitlements(entitlements: Iterable[Entitlement],
                      adjacent_first: bool = True) -> list[Entitlement]:
    """Sorts guaranteed gangs by how hard they are to place, hardest first."""

    def get_difficulty(entitlement: Entitlement) -> tuple[object, ...]:
        shape = entitlement.shape
        adjacent = shape.adjacent == "rack" and adjacent_first
        return (not adjacent, -shape.total_accelerators, -shape.accelerators,
                -shape.tasks * shape.cores, entitlement)

    return sorted(entitlements, key=get_difficulty)


class GuaranteeTracker:
    """Planned placements of all guaranteed gangs, and which requests use them.

    Attributes:
        spare: Capacity of the fleet that remains next to all planned
            placements and all running gangs that cannot be evicted.
        reserves_capacity: Whether capacity is kept for guaranteed gangs not
            in use.
        degraded: Guaranteed gangs without a planned placement, because the
            fleet has lost workers or other gangs that cannot be evicted use
            the capacity.
    """

    def __init__(self, *, placer: placement.Placer, reserve: bool = True):
        """Creates a tracker without guarantees; `update` reads them.

        Args:
            placer: Chooses the planned placements.
            reserve: False to only count the guaranteed gangs in use.
        """
        self._placer = placer
        self.reserves_capacity = reserve
        self._entitlements: dict[str, list[Entitlement]] = {}
        self._planned: dict[Entitlement, tuple[str, ...]] = {}
        # Request id that uses each guaranteed gang, and the reverse mapping.
        self._users: dict[Entitlement, str] = {}
        self._bound: dict[str, Entitlement] = {}
        self._inputs: tuple[object, ...] = ()
        # Running gangs that cannot be evicted and use no guarantee.
        self._pinned: dict[str, tuple[tuple[str, ...], request.Shape]] = {}
        self.spare = placement.FreeCapacity(layout=placement.Layout(
            fleet=fleet_module.Fleet(workers=())))
        self.degraded: list[Entitlement] = []

    def update(self, state: snapshot.Snapshot, layout: placement.Layout,
               held: Collection[str]) -> None:
        """Brings the plan up to date with the gangs, fleet and contracts.

        Args:
            state: Snapshot that the decision round reads.
            layout: Positions of the fleet's workers.
            held: Requests that keep their guaranteed gang while they wait for
                an eviction.
        """
        not_evictable = {
            gang.request_id: gang
            for gang in state.running
            if gang.guaranteed or not gang.evictable
        }
        kept = {
            key for key in self._bound if key in not_evictable or key in held
        }
        pinned = {
            key: (gang.placement, gang.shape)
            for key, gang in not_evictable.items()
            if key not in self._bound
        }
        inputs = (layout, state.configuration.teams, state.excluded)
        same = (len(inputs) == len(self._inputs) and
                all(a is b or a == b
                    for a, b in zip(inputs, self._inputs, strict=True)))
        if same and len(kept) == len(self._bound) and pinned == self._pinned:
            return
        for key in self._bound.keys() - kept:
            self._release(key)
        if same and pinned == self._pinned and not self.degraded:
            return
        self._inputs = inputs
        self._rebuild(state, layout, not_evictable)

    def _release(self, request_id: str) -> None:
        entitlement = self._bound.pop(request_id)
        del self._users[entitlement]

    def _rebuild(self, state: snapshot.Snapshot, layout: placement.Layout,
                 not_evictable: Mapping[str, snapshot.Running]) -> None:
        entitlements = list_entitlements(state.configuration)
        self._entitlements = {}
        for entitlement in entitlements:
            self._entitlements.setdefault(entitlement.team,
                                          []).append(entitlement)
        current = set(entitlements)
        for request_id, entitlement in list(self._bound.items()):
            if entitlement not in current:
                self._release(request_id)
        old = self._planned
        self._planned = {}
        self.spare = placement.FreeCapacity(layout=layout,
                                            excluded=state.excluded)
        self._pinned = {}
        # Gangs with a planned placement come first, before the placements of
        # others are extended onto the same workers.
        for request_id in sorted(not_evictable,
                                 key=lambda key: key not in self._bound):
            self._place_running(request_id, not_evictable[request_id], old)
        for request_id, entitlement in self._bound.items():
            if request_id not in not_evictable and entitlement in old:
                self._keep_planned(entitlement, old[entitlement])
        unused = [
            entitlement for entitlement in entitlements
            if entitlement not in self._planned
        ]
        for entitlement in unused:
            if entitlement in old:
                self._keep_planned(entitlement, old[entitlement])
        if self.reserves_capacity:
            self._place_missing(unused)

    def _place_running(self, request_id: str, gang: snapshot.Running,
                       old: Mapping[Entitlement, tuple[str, ...]]) -> None:
        """Allocates a running gang, within its planned placement if any."""
        entitlement = self._bound.get(request_id)
        if entitlement is None and gang.guaranteed:
            entitlement = self.find_unused(gang.team, gang.shape)
            if entitlement is not None:
                self._users[entitlement] = request_id
                self._bound[request_id] = entitlement
        if entitlement is None:
            self.spare.take(gang.placement, gang.shape)
            self._pinned[request_id] = (gang.placement, gang.shape)
            return
        planned = old.get(entitlement)
        if planned is None or not _contains(planned, gang.placement):
            planned = self._extend_placement(gang.placement, entitlement.shape)
        if planned is not None and self.spare.can_take(planned,
                                                       entitlement.shape):
            self._set_planned(entitlement, planned)
        else:
            self.spare.take(gang.placement, gang.shape)

    def _keep_planned(self, entitlement: Entitlement,
                      planned: tuple[str, ...]) -> None:
        if self.spare.can_take(planned, entitlement.shape):
            self._set_planned(entitlement, planned)

    def _set_planned(self, entitlement: Entitlement,
                     planned: tuple[str, ...]) -> None:
        self.spare.take(planned, entitlement.shape)
        self._planned[entitlement] = planned

    def _drop_planned(self, entitlement: Entitlement) -> tuple[str, ...]:
        planned = self._planned.pop(entitlement)
        self.spare.release(planned, entitlement.shape)
        return planned

    def _place_missing(self, unused: list[Entitlement]) -> None:
        missing = [
            entitlement for entitlement in unused
            if entitlement not in self._planned
        ]
        if self._place_all(missing):
            self.degraded = []
            return
        # The old placements may prevent a packing that fits all.
        before = {
            entitlement: self._planned[entitlement]
            for entitlement in unused
            if entitlement in self._planned and entitlement not in self._users
        }
        for entitlement in before:
            self._drop_planned(entitlement)
        placed = len(self._planned) + len(before)
        self._place_all(entitlement for entitlement in unused
                        if entitlement not in self._planned)
        if len(self._planned) < placed:
            for entitlement in unused:
                if entitlement in self._planned:
                    self._drop_planned(entitlement)
            self._restore(before)
        self.degraded = [
            entitlement for entitlement in unused
            if entitlement not in self._planned
        ]

    def _place_all(self, entitlements: Iterable[Entitlement]) -> bool:
        complete = True
        for entitlement in sort_entitlements(entitlements):
            planned = self._placer.place(self.spare, entitlement.shape)
            if planned is None:
                complete = False
            else:
                self._set_planned(entitlement, planned)
        return complete

    def _extend_placement(self, part: tuple[str, ...],
                          shape: request.Shape) -> tuple[str, ...] | None:
        """Finds a placement for a shape that contains the workers of a gang."""
        if not self.spare.can_take(part, shape):
            return None
        layout = self.spare.layout
        racks = {layout.rack_of[layout.index[name]] for name in part}
        # A gang that needs no adjacency may use an adjacent guarantee. If it
        # spans racks, its workers must not become the planned placement, or an
        # adjacent gang would be placed on them later.
        if shape.adjacent == "rack" and len(racks) > 1:
            return None
        if len(part) == shape.tasks:
            return part
        spare = self.spare.copy()
        spare.take(part, shape)
        if shape.adjacent == "rack":
            spare.exclude(
                i for i, rack in enumerate(layout.rack_of) if rack not in racks)
        rest = self._placer.place(spare,
                                  shape._replace(tasks=shape.tasks - len(part)))
        return None if rest is None else part + rest

    def covers_any(self, team: str, shape: request.Shape) -> bool:
        """Tells whether any guarantee of a team covers a shape."""
        return any(
            covers(entitlement.shape, shape)
            for entitlement in self._entitlements.get(team, ()))

    def find_unused(self, team: str,
                    shape: request.Shape) -> Entitlement | None:
        """Finds the smallest guaranteed gang of a team that is not in use.

        Args:
            team: The team.
            shape: Shape that it must cover.

        Returns:
            One with a planned placement if possible, or None if all are in
            use.
        """
        best = None
        for entitlement in self._entitlements.get(team, ()):
            if entitlement in self._users or not covers(entitlement.shape,
                                                        shape):
                continue
            rank = (entitlement not in self._planned,
                    entitlement.shape.total_accelerators, entitlement.shape)
            if best is None or rank < best[0]:
                best = rank, entitlement
        return None if best is None else best[1]

    def get_planned_placement(
            self, entitlement: Entitlement) -> tuple[str, ...] | None:
        """Returns the planned placement of a guaranteed gang, or None."""
        return self._planned.get(entitlement)

    def is_bound(self, request_id: str, workers: tuple[str, ...]) -> bool:
        """Tells whether a request has a guaranteed gang on given workers."""
        entitlement = self._bound.get(request_id)
        if entitlement is None:
            return False
        planned = self._planned.get(entitlement)
        return planned is None or _contains(planned, workers)

    def list_unused(self) -> Iterator[tuple[tuple[str, ...], request.Shape]]:
        """Yields the planned placements not in use, with their shapes."""
        for entitlement, planned in self._planned.items():
            if entitlement not in self._users:
                yield planned, entitlement.shape

    def bind(self, request_id: str, entitlement: Entitlement,
             shape: request.Shape, workers: tuple[str, ...]) -> bool:
        """Assigns a guaranteed gang to a request on given workers.

        Args:
            request_id: The request.
            entitlement: The guaranteed gang, which must not be in use.
            shape: Shape of the request, covered by the guaranteed one.
            workers: Its placement.

        Returns:
            True if all other guaranteed gangs still have a planned placement;
            otherwise nothing changes.
        """
        if self.reserves_capacity and not self._fit_placement(
                entitlement, shape, workers):
            return False
        self._users[entitlement] = request_id
        self._bound[request_id] = entitlement
        return True

    def _fit_placement(self, entitlement: Entitlement, shape: request.Shape,
                       workers: tuple[str, ...]) -> bool:
        current = self._planned.get(entitlement)
        if current is None:
            # The guarantee is degraded: the gang must not use the capacity of
            # those that still have a planned placement.
            if not self.spare.can_take(workers, shape):
                return False
            self.spare.take(workers, shape)
            return True
        if _contains(current, workers):
            return True
        moved = {entitlement: self._drop_planned(entitlement)}
        planned = self._extend_placement(workers, entitlement.shape)
        if planned is None:
            moved.update(self._drop_unused(workers, entitlement.shape))
            planned = self._extend_placement(workers, entitlement.shape)
        if planned is not None:
            self._set_planned(entitlement, planned)
            others = [other for other in moved if other != entitlement]
            if self._place_all(others):
                return True
        self._restore(moved)
        return False

    def _drop_unused(
            self, workers: tuple[str, ...],
            shape: request.Shape) -> dict[Entitlement, tuple[str, ...]]:
        """Drops unused placements until a shape fits on given workers."""
        wanted = set(workers)
        moved: dict[Entitlement, tuple[str, ...]] = {}
        for entitlement, planned in list(self._planned.items()):
            if len(moved) == MAX_MOVED_PLACEMENTS:
                break
            if entitlement in self._users or wanted.isdisjoint(planned):
                continue
            moved[entitlement] = self._drop_planned(entitlement)
            if self.spare.can_take(workers, shape):
                break
        return moved

    def _restore(self, moved: Mapping[Entitlement, tuple[str, ...]]) -> None:
        for entitlement in moved:
            if entitlement in self._planned:
                self._drop_planned(entitlement)
        for entitlement, planned in moved.items():
            self._set_planned(entitlement, planned)

    def unbind(self, request_id: str) -> None:
        """Releases the guaranteed gang of a request, if it has one."""
        if request_id in self._bound:
            self._release(request_id)


def _contains(planned: tuple[str, ...], workers: tuple[str, ...]) -> bool:
    return all(
        workers.count(name) <= planned.count(name) for name in set(workers))
