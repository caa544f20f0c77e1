"""The platform's table service and VM list, without sockets or clock."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from typing import TypedDict


class Row(TypedDict):
    """One row of the table.

    Attributes:
        key: Key of the row.
        version: Version of the commit that wrote or deleted it.
        value: Any JSON value, null if the row is deleted.
    """

    key: str
    version: int
    value: Any


class Condition(NamedTuple):
    """Precondition of a commit.

    Attributes:
        key: Key of the row.
        version: Version that the row must have, 0 if it must be absent.
    """

    key: str
    version: int


class Write(NamedTuple):
    """One write of a commit.

    Attributes:
        key: Key of the row.
        value: New value, None to delete the row.
    """

    key: str
    value: Any


class Commit(NamedTuple):
    """Result of a commit.

    Attributes:
        version: Version of the commit, 0 if it was refused.
        conflicts: Conditions that did not hold, with the versions that the
            rows have.
    """

    version: int
    conflicts: tuple[Condition, ...] = ()


class Table:
    """Rows with atomic conditional commits."""

    def __init__(self) -> None:
        self.version = 0
        # In order of version: `list_rows` reads from the end and stops early.
        self._rows: dict[str, Row] = {}

    def commit(self, conditions: list[Condition],
               writes: list[Write]) -> Commit:
        """Applies all writes, or none if a condition does not hold.

        Args:
            conditions: Preconditions.
            writes: The writes, at most one for each key.

        Returns:
            The version of the commit or the conflicts.
        """
        conflicts = tuple(
            Condition(condition.key, self.get_version(condition.key))
            for condition in conditions
            if self.get_version(condition.key) != condition.version)
        if conflicts:
            return Commit(0, conflicts)
        self.version += 1
        for write in writes:
            self._rows.pop(write.key, None)
            self._rows[write.key] = Row(key=write.key,
                                        version=self.version,
                                        value=write.value)
        return Commit(self.version)

    def get_version(self, key: str) -> int:
        """Returns the version of a row, 0 if it is absent or deleted."""
        return self.get_row(key)["version"]

    def get_row(self, key: str) -> Row:
        """Returns a row; version 0 and value None if it is absent."""
        row = self._rows.get(key)
        if row is None or row["value"] is None:
            return Row(key=key, version=0, value=None)
        return row

    def list_rows(self, prefix: str, since: int) -> list[Row]:
        """Lists changed rows.

        Args:
            prefix: Prefix of the keys.
            since: Last version that the reader has.

        Returns:
            Rows with a higher version, in the order of their versions; deleted
            rows have the value None.
        """
        rows = []
        for row in reversed(self._rows.values()):
            if row["version"] <= since:
                break
            if row["key"].startswith(prefix):
                rows.append(row)
        rows.reverse()
        return rows


class VmList:
    """The list of VMs; changes become visible to readers after a lag."""

    def __init__(self, *, lag_s: float, entries: list[dict[str, Any]]):
        """Creates a list whose initial entries are visible at once.

        Args:
            lag_s: Seconds until a change becomes visible.
            entries: One object for each VM, with `id` and `state`.
        """
        self._lag_s = lag_s
        self._current = {entry["id"]: entry for entry in entries}
        self._visible = dict(self._current)
        self._changes: list[tuple[float, dict[str, Any]]] = []

    def change(self, entry: Mapping[str, Any], now_s: float) -> bool:
        """Adds a VM or changes fields of one.

        Args:
            entry: Fields to change, with the VM's `id`.
            now_s: The time on the monotonic clock, in seconds.

        Returns:
            False if the VM is unknown and the entry has no address.
        """
        previous = self._current.get(entry["id"])
        if previous is None and "address" not in entry:
            return False
        changed = {"state": "live", **(previous or {}), **entry}
        self._current[entry["id"]] = changed
        self._changes.append((now_s, changed))
        return True

    def list_entries(self, now_s: float) -> list[dict[str, Any]]:
        """Returns the entries that readers see, without VMs that are gone.

        Args:
            now_s: The time on the monotonic clock, in seconds.
        """
        while self._changes and self._changes[0][0] + self._lag_s <= now_s:
            _, entry = self._changes.pop(0)
            self._visible[entry["id"]] = entry
        return [
            entry for _, entry in sorted(self._visible.items())
            if entry["state"] != "gone"
        ]
