"""Guaranteed shapes: which are in use, and where each can be placed.

Each guaranteed gang of each team, in use or not, has a site: workers on which
its whole shape fits beside the sites of all others. A running gang of a team's
guarantee lies inside its site, so all guaranteed gangs can be placed at the
same time whatever ends next, and everything else on the fleet is lent and can
be evicted. Sites are virtual and move freely while they are not in use, like
the virtual cells of HiveD (Zhao et al., "HiveD: Sharing a GPU Cluster for Deep
Learning with Guarantees", OSDI 2020); unlike there, shapes need no hierarchy of
cells, so whether they fit is found by packing.
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

MAX_MOVED_SITES = 4
"""Most unused sites moved to let one gang start on free workers."""


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
    """Tells whether all guaranteed shapes can be placed at the same time.

    The search is a heuristic: it tries several orders, and may miss a packing
    of a fleet that is filled to the last accelerator.

    Args:
        fleet: All workers.
        configuration: The contracts to check.
        excluded: Workers that get no new work.

    Returns:
        One finding for each guarantee of which gangs have no place; none if
        all can be placed.
    """
    layout = placement.Layout(fleet=fleet)
    entitlements = list_entitlements(configuration)
    missing = entitlements
    for adjacent_first in (True, False):
        for placer in (placement.RackPack(), placement.FirstFit()):
            capacity = placement.Capacity(layout=layout, excluded=excluded)
            left = [
                entitlement for entitlement in sort_entitlements(
                    entitlements, adjacent_first)
                if not _place_site(placer, capacity, entitlement.shape)
            ]
            if len(left) < len(missing):
                missing = left
            if not missing:
                return []
    return _describe_missing(missing)


def _place_site(placer: placement.Placer, capacity: placement.Capacity,
                shape: request.Shape) -> tuple[str, ...] | None:
    site = placer.place(capacity, shape)
    if site is not None:
        capacity.take(site, shape)
    return site


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

    def rate(entitlement: Entitlement) -> tuple[object, ...]:
        shape = entitlement.shape
        adjacent = shape.adjacent == "rack" and adjacent_first
        return (not adjacent, -shape.total_accelerators, -shape.accelerators,
                -shape.tasks * shape.cores, entitlement)

    return sorted(entitlements, key=rate)


class Ledger:
    """Sites of all guaranteed gangs, and which attempts use them.

    Attributes:
        room: What is left on the fleet beside all sites and all running work
            that cannot be evicted.
        reserving: Whether room is kept for guaranteed gangs not in use.
        degraded: Guaranteed gangs that have no site, because the fleet has
            lost workers or other work that cannot be stopped is in the way.
    """

    def __init__(self, *, placer: placement.Placer, reserve: bool = True):
        """Starts without guarantees; `update` reads them.

        Args:
            placer: Chooses the sites.
            reserve: False to only count the guaranteed gangs in use.
        """
        self._placer = placer
        self.reserving = reserve
        self._entitlements: dict[str, list[Entitlement]] = {}
        self._sites: dict[Entitlement, tuple[str, ...]] = {}
        self._users: dict[Entitlement, str] = {}
        self._used: dict[str, Entitlement] = {}
        self._basis: tuple[object, ...] = ()
        self._pinned: dict[str, tuple[tuple[str, ...], request.Shape]] = {}
        self.room = placement.Capacity(layout=placement.Layout(
            fleet=fleet_module.Fleet(workers=())))
        self.degraded: list[Entitlement] = []

    def update(self, state: snapshot.Snapshot, layout: placement.Layout,
               held: Collection[str]) -> None:
        """Follows the running gangs, the fleet and the contracts.

        Args:
            state: What the decision round reads.
            layout: Positions of the fleet's workers.
            held: Requests that keep a guaranteed gang while they wait for an
                eviction.
        """
        firm = {
            item.request_id: item
            for item in state.running
            if item.guaranteed or not item.evictable
        }
        kept = {key for key in self._used if key in firm or key in held}
        pinned = {
            key: (item.placement, item.shape)
            for key, item in firm.items()
            if key not in self._used
        }
        basis = (layout, state.configuration.teams, state.excluded)
        same = (len(basis) == len(self._basis) and all(
            a is b or a == b for a, b in zip(basis, self._basis, strict=True)))
        if same and len(kept) == len(self._used) and pinned == self._pinned:
            return
        for key in self._used.keys() - kept:
            self._free(key)
        if same and pinned == self._pinned and not self.degraded:
            return
        self._basis = basis
        self._rebuild(state, layout, firm)

    def _free(self, request_id: str) -> None:
        entitlement = self._used.pop(request_id)
        del self._users[entitlement]

    def _rebuild(self, state: snapshot.Snapshot, layout: placement.Layout,
                 firm: Mapping[str, snapshot.Running]) -> None:
        entitlements = list_entitlements(state.configuration)
        self._entitlements = {}
        for entitlement in entitlements:
            self._entitlements.setdefault(entitlement.team,
                                          []).append(entitlement)
        known = set(entitlements)
        for request_id, entitlement in list(self._used.items()):
            if entitlement not in known:
                self._free(request_id)
        old = self._sites
        self._sites = {}
        self.room = placement.Capacity(layout=layout, excluded=state.excluded)
        self._pinned = {}
        # Gangs that have a site come first, before others extend over it.
        for request_id in sorted(firm, key=lambda key: key not in self._used):
            self._adopt(request_id, firm[request_id], old)
        for request_id, entitlement in self._used.items():
            if request_id not in firm and entitlement in old:
                self._keep(entitlement, old[entitlement])
        unused = [item for item in entitlements if item not in self._sites]
        for entitlement in unused:
            if entitlement in old:
                self._keep(entitlement, old[entitlement])
        if self.reserving:
            self._place_missing(unused)

    def _adopt(self, request_id: str, item: snapshot.Running,
               old: Mapping[Entitlement, tuple[str, ...]]) -> None:
        """Takes the room of a running gang, with its site if it has one."""
        entitlement = self._used.get(request_id)
        if entitlement is None and item.guaranteed:
            entitlement = self.find_free(item.team, item.shape)
            if entitlement is not None:
                self._users[entitlement] = request_id
                self._used[request_id] = entitlement
        if entitlement is None:
            self.room.take(item.placement, item.shape)
            self._pinned[request_id] = (item.placement, item.shape)
            return
        site = old.get(entitlement)
        if site is None or not _contains(site, item.placement):
            site = self._extend(item.placement, entitlement.shape)
        if site is not None and self.room.can_take(site, entitlement.shape):
            self._set_site(entitlement, site)
        else:
            self.room.take(item.placement, item.shape)

    def _keep(self, entitlement: Entitlement, site: tuple[str, ...]) -> None:
        if self.room.can_take(site, entitlement.shape):
            self._set_site(entitlement, site)

    def _set_site(self, entitlement: Entitlement, site: tuple[str,
                                                              ...]) -> None:
        self.room.take(site, entitlement.shape)
        self._sites[entitlement] = site

    def _drop_site(self, entitlement: Entitlement) -> tuple[str, ...]:
        site = self._sites.pop(entitlement)
        self.room.release(site, entitlement.shape)
        return site

    def _place_missing(self, unused: list[Entitlement]) -> None:
        missing = [item for item in unused if item not in self._sites]
        if self._place_all(missing):
            self.degraded = []
            return
        # Old sites may be in the way of a packing that fits all.
        before = {
            item: self._sites[item]
            for item in unused
            if item in self._sites and item not in self._users
        }
        for entitlement in before:
            self._drop_site(entitlement)
        placed = len(self._sites) + len(before)
        self._place_all(item for item in unused if item not in self._sites)
        if len(self._sites) < placed:
            for entitlement in unused:
                if entitlement in self._sites:
                    self._drop_site(entitlement)
            self._restore(before)
        self.degraded = [item for item in unused if item not in self._sites]

    def _place_all(self, entitlements: Iterable[Entitlement]) -> bool:
        complete = True
        for entitlement in sort_entitlements(entitlements):
            site = self._placer.place(self.room, entitlement.shape)
            if site is None:
                complete = False
            else:
                self._set_site(entitlement, site)
        return complete

    def _extend(self, part: tuple[str, ...],
                shape: request.Shape) -> tuple[str, ...] | None:
        """Finds a site for a shape that contains the workers of a gang."""
        if not self.room.can_take(part, shape):
            return None
        layout = self.room.layout
        racks = {layout.rack_of[layout.index[name]] for name in part}
        # A gang without adjacency may use an adjacent guarantee. Spread over
        # racks it has no site, or an adjacent gang would be placed there later.
        if shape.adjacent == "rack" and len(racks) > 1:
            return None
        if len(part) == shape.tasks:
            return part
        room = self.room.copy()
        room.take(part, shape)
        if shape.adjacent == "rack":
            room.close(
                i for i, rack in enumerate(layout.rack_of) if rack not in racks)
        rest = self._placer.place(room,
                                  shape._replace(tasks=shape.tasks - len(part)))
        return None if rest is None else part + rest

    def covers_any(self, team: str, shape: request.Shape) -> bool:
        """Tells whether any guarantee of a team covers a shape."""
        return any(
            covers(item.shape, shape)
            for item in self._entitlements.get(team, ()))

    def find_free(self, team: str, shape: request.Shape) -> Entitlement | None:
        """Finds the smallest guaranteed gang of a team that is free.

        Args:
            team: The team.
            shape: Shape that it must cover.

        Returns:
            One with a site if possible, or None if none is free.
        """
        best = None
        for item in self._entitlements.get(team, ()):
            if item in self._users or not covers(item.shape, shape):
                continue
            rank = (item not in self._sites, item.shape.total_accelerators,
                    item.shape)
            if best is None or rank < best[0]:
                best = rank, item
        return None if best is None else best[1]

    def get_site(self, entitlement: Entitlement) -> tuple[str, ...] | None:
        """Returns the site of a guaranteed gang, None if it has none."""
        return self._sites.get(entitlement)

    def is_bound(self, request_id: str, workers: tuple[str, ...]) -> bool:
        """Tells whether a request holds a guaranteed gang on given workers."""
        entitlement = self._used.get(request_id)
        if entitlement is None:
            return False
        site = self._sites.get(entitlement)
        return site is None or _contains(site, workers)

    def list_sites(self) -> Iterator[tuple[tuple[str, ...], request.Shape]]:
        """Yields the sites that no gang uses, with their shapes."""
        for entitlement, site in self._sites.items():
            if entitlement not in self._users:
                yield site, entitlement.shape

    def bind(self, request_id: str, entitlement: Entitlement,
             shape: request.Shape, workers: tuple[str, ...]) -> bool:
        """Lets a request use a guaranteed gang on given workers.

        Args:
            request_id: The request.
            entitlement: The guaranteed gang, which must be free.
            shape: Shape of the request, covered by the guaranteed one.
            workers: Its placement.

        Returns:
            True if all other guaranteed gangs still have a site beside it;
            otherwise nothing changes.
        """
        if self.reserving and not self._move(entitlement, shape, workers):
            return False
        self._users[entitlement] = request_id
        self._used[request_id] = entitlement
        return True

    def _move(self, entitlement: Entitlement, shape: request.Shape,
              workers: tuple[str, ...]) -> bool:
        own = self._sites.get(entitlement)
        if own is None:
            # The guarantee is degraded: the gang must not take the room of
            # those that still have a site.
            if not self.room.can_take(workers, shape):
                return False
            self.room.take(workers, shape)
            return True
        if _contains(own, workers):
            return True
        moved = {entitlement: self._drop_site(entitlement)}
        site = self._extend(workers, entitlement.shape)
        if site is None:
            moved.update(self._clear(workers, entitlement.shape))
            site = self._extend(workers, entitlement.shape)
        if site is not None:
            self._set_site(entitlement, site)
            others = [item for item in moved if item != entitlement]
            if self._place_all(others):
                return True
        self._restore(moved)
        return False

    def _clear(self, workers: tuple[str, ...],
               shape: request.Shape) -> dict[Entitlement, tuple[str, ...]]:
        """Drops unused sites until a shape fits on given workers."""
        wanted = set(workers)
        moved: dict[Entitlement, tuple[str, ...]] = {}
        for entitlement, site in list(self._sites.items()):
            if len(moved) == MAX_MOVED_SITES:
                break
            if entitlement in self._users or wanted.isdisjoint(site):
                continue
            moved[entitlement] = self._drop_site(entitlement)
            if self.room.can_take(workers, shape):
                break
        return moved

    def _restore(self, moved: Mapping[Entitlement, tuple[str, ...]]) -> None:
        for entitlement in moved:
            if entitlement in self._sites:
                self._drop_site(entitlement)
        for entitlement, site in moved.items():
            self._set_site(entitlement, site)

    def unbind(self, request_id: str) -> None:
        """Frees the guaranteed gang that a request holds, if any."""
        if request_id in self._used:
            self._free(request_id)


def _contains(site: tuple[str, ...], workers: tuple[str, ...]) -> bool:
    return all(workers.count(name) <= site.count(name) for name in set(workers))
