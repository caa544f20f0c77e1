"""Reading of JSON lines; faults are collected with file and line."""

import json
from typing import Any

from trefoilroad_core import errors
from trefoilroad_core import request

ADJACENT = ("none", "rack")


class Row:
    """Reads the fields of one line and notes what is wrong with them."""

    def __init__(self, *, place: str, row: dict[str, Any],
                 findings: list[errors.Finding]):
        self.place = place
        self._row = row
        self._findings = findings
        self._known = {"kind"}

    def note(self, key: str, message: str) -> None:
        """Adds a finding."""
        self._findings.append(errors.Finding(self.place, key, message))

    def has(self, key: str) -> bool:
        """Tells whether a field is present."""
        return key in self._row

    def read(self, key: str, kind: type | tuple[type, ...], default: Any,
             **options: Any) -> Any:
        """Returns a field, or a default after noting a finding.

        Args:
            key: Name of the field.
            kind: Accepted type or types.
            default: Value used if the field is wrong or may be absent.
            **options: `optional` (may be absent) and `minimum`.

        Returns:
            The value.
        """
        self._known.add(key)
        if key not in self._row:
            if not options.get("optional"):
                self.note(key, "missing")
            return default
        value = self._row[key]
        kinds = kind if isinstance(kind, tuple) else (kind,)
        is_wrong_flag = isinstance(value, bool) and bool not in kinds
        if is_wrong_flag or not isinstance(value, kinds):
            names = " or ".join(each.__name__ for each in kinds)
            self.note(key, f"expected {names}, found {value!r}")
            return default
        minimum = options.get("minimum")
        if minimum is not None and not value >= minimum:
            self.note(key, f"must be at least {minimum}, found {value!r}")
            return default
        return value

    def text(self, key: str, default: str = "", **options: Any) -> str:
        """Reads a string."""
        return self.read(key, str, default, **options)

    def number(self, key: str, default: float = 0.0, **options: Any) -> float:
        """Reads a number that is at least 0."""
        return self.read(key, (int, float), default, minimum=0, **options)

    def count(self, key: str, default: int = 0, **options: Any) -> int:
        """Reads a whole number that is at least 0."""
        return self.read(key, int, default, minimum=0, **options)

    def flag(self, key: str, default: bool = False, **options: Any) -> bool:
        """Reads a truth value."""
        return self.read(key, bool, default, **options)

    def names(self, key: str, **options: Any) -> tuple[str, ...]:
        """Reads a list of strings."""
        values = self.read(key, list, [], **options)
        if not all(isinstance(value, str) for value in values):
            self.note(key, "expected a list of strings")
            return ()
        return tuple(values)

    def shape(self,
              key: str,
              default: request.Shape | None = None,
              **options: Any) -> request.Shape:
        """Reads a shape."""
        fallback = default or request.Shape(tasks=1, accelerators=0)
        values = self.read(key, list, None, **options)
        if values is None:
            return fallback
        figures = values[:4]
        if len(values) != 5 or values[4] not in ADJACENT or not all(
                type(figure) is int and figure >= 0 for figure in figures):
            self.note(
                key, "expected [tasks, accelerators, cores, memory_gb, "
                f"adjacent], found {values!r}")
            return fallback
        if values[0] < 1:
            self.note(key, "a gang has at least one task")
            return fallback
        return request.Shape(*values)

    def rows(self, key: str) -> list["Row"]:
        """Reads a list of objects."""
        found = []
        for index, row in enumerate(self.read(key, list, [])):
            place = f"{self.place}: {key}[{index}]"
            if isinstance(row, dict):
                found.append(Row(place=place, row=row, findings=self._findings))
            else:
                self.note(f"{key}[{index}]", "expected an object")
        return found

    def ignore_rest(self) -> None:
        """Makes `finish` accept every field."""
        self._known.update(self._row)

    def finish(self) -> None:
        """Notes the fields that nothing reads."""
        for key in sorted(self._row.keys() - self._known):
            self.note(key, "unknown field")


def parse_line(place: str, line: str,
               findings: list[errors.Finding]) -> Row | None:
    """Decodes one line.

    Args:
        place: File and line, for findings.
        line: The line.
        findings: Where faults are noted.

    Returns:
        The row, or None if the line is not a JSON object.
    """
    try:
        row = json.loads(line)
    except ValueError as error:
        findings.append(errors.Finding(place, "", f"not JSON: {error}"))
        return None
    if not isinstance(row, dict):
        findings.append(errors.Finding(place, "", "not an object"))
        return None
    return Row(place=place, row=row, findings=findings)
