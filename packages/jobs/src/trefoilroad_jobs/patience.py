"""Bounds how long a unit waits for what it only prefers.

A unit prefers some workers to others: those near its data, those of one rack,
those on which runs do not fail. Like delay scheduling (Zaharia et al., EuroSys
2010) it waits for them for a limited time while there is room elsewhere. The
time is short, as a job may not stand for 3 s beside room that it can use.
"""

from collections.abc import Container

from trefoilroad_jobs import units

# How long a unit waits for workers that it prefers. Work far from its data or
# spread over racks takes about three times as long, and most tasks of a busy
# service end within this time.
PREFERENCE_S = 1.0
# How long a unit waits before it uses a worker on which runs fail. It is
# longer, as a failed run counts against the job.
WITHHELD_S = 1.5
# How long a unit leaves room free that is kept for work expected soon, or for a
# gang that is near its latest start. With a search for room it stays below 3 s,
# the longest time that a job may stand beside room.
HELD_ROOM_S = 2.5


class Patience:
    """Since when each unit has had room, though none that it prefers.

    The time counts from the first round with such room, and not from the
    arrival of the unit: otherwise, in a full service, all work would have lost
    its patience before its turn comes.
    """

    def __init__(self) -> None:
        self._since_s: dict[units.UnitKey, float] = {}

    def measure(self, key: units.UnitKey, now_s: float) -> float:
        """Returns for how many seconds there has been room for a unit."""
        return now_s - self._since_s.setdefault(key, now_s)

    def drop(self, key: units.UnitKey) -> None:
        """Begins anew, as a unit has started or there is no room for it."""
        self._since_s.pop(key, None)

    def retain(self, keys: Container[units.UnitKey]) -> None:
        """Drops all units except the given ones."""
        for key in [key for key in self._since_s if key not in keys]:
            del self._since_s[key]
