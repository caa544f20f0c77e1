"""Typed reading of JSON Lines files, with findings by file and line."""

import json
from typing import Any

from trefoilroad_core import errors
from trefoilroad_core import request

ADJACENT_VALUES = ("none", "rack")


class RowReader:
    """Reads the fields of one JSON object and reports what is wrong.

    Every method that reads returns a default after reporting a finding, so
    that all findings of a file are collected.
    """

    def __init__(self, *, place: str, row: dict[str, Any],
                 findings: list[errors.Finding]):
        self.place = place
        self._row = row
        self._findings = findings
        self._keys_read = {"kind"}

    def report(self, key: str, message: str) -> None:
        """Adds a finding about a field."""
        self._findings.append(errors.Finding(self.place, key, message))

    def has(self, key: str) -> bool:
        """Tells whether a field is present."""
        return key in self._row

    def read(self, key: str, expected_type: type | tuple[type, ...],
             default: Any, **options: Any) -> Any:
        """Returns a field, or the default after reporting a finding.

        Args:
            key: Name of the field.
            expected_type: Accepted type or types.
            default: Value used if the field is invalid or absent.
            **options: `optional` (whether the field may be absent) and
                `minimum` (smallest valid value).

        Returns:
            The value.
        """
        self._keys_read.add(key)
        if key not in self._row:
            if not options.get("optional"):
                self.report(key, "missing")
            return default
        value = self._row[key]
        expected_types = expected_type if isinstance(
            expected_type, tuple) else (expected_type,)
        is_unexpected_bool = isinstance(value,
                                        bool) and bool not in expected_types
        if is_unexpected_bool or not isinstance(value, expected_types):
            names = " or ".join(type_.__name__ for type_ in expected_types)
            self.report(key, f"expected {names}, found {value!r}")
            return default
        minimum = options.get("minimum")
        if minimum is not None and not value >= minimum:
            self.report(key, f"must be at least {minimum}, found {value!r}")
            return default
        return value

    def read_text(self, key: str, default: str = "", **options: Any) -> str:
        """Reads a string."""
        return self.read(key, str, default, **options)

    def read_number(self,
                    key: str,
                    default: float = 0.0,
                    **options: Any) -> float:
        """Reads a number that is at least 0."""
        return self.read(key, (int, float), default, minimum=0, **options)

    def read_count(self, key: str, default: int = 0, **options: Any) -> int:
        """Reads an integer that is at least 0."""
        return self.read(key, int, default, minimum=0, **options)

    def read_flag(self,
                  key: str,
                  default: bool = False,
                  **options: Any) -> bool:
        """Reads a boolean."""
        return self.read(key, bool, default, **options)

    def read_names(self, key: str, **options: Any) -> tuple[str, ...]:
        """Reads a list of strings."""
        values = self.read(key, list, [], **options)
        if not all(isinstance(value, str) for value in values):
            self.report(key, "expected a list of strings")
            return ()
        return tuple(values)

    def read_shape(self,
                   key: str,
                   default: request.Shape | None = None,
                   **options: Any) -> request.Shape:
        """Reads a shape."""
        fallback = default or request.Shape(tasks=1, accelerators=0)
        values = self.read(key, list, None, **options)
        if values is None:
            return fallback
        numbers = values[:4]
        if len(values) != 5 or values[4] not in ADJACENT_VALUES or not all(
                type(number) is int and number >= 0 for number in numbers):
            self.report(
                key, "expected [tasks, accelerators, cores, memory_gb, "
                f"adjacent], found {values!r}")
            return fallback
        if values[0] < 1:
            self.report(key, "a gang has at least one task")
            return fallback
        return request.Shape(*values)

    def read_rows(self, key: str) -> list["RowReader"]:
        """Reads a list of objects."""
        nested_rows = []
        for index, row in enumerate(self.read(key, list, [])):
            place = f"{self.place}: {key}[{index}]"
            if isinstance(row, dict):
                nested_rows.append(
                    RowReader(place=place, row=row, findings=self._findings))
            else:
                self.report(f"{key}[{index}]", "expected an object")
        return nested_rows

    def ignore_rest(self) -> None:
        """Makes `close` accept every field."""
        self._keys_read.update(self._row)

    def close(self) -> None:
        """Reports the fields that were not read as unknown."""
        for key in sorted(self._row.keys() - self._keys_read):
            self.report(key, "unknown field")


def parse_line(place: str, line: str,
               findings: list[errors.Finding]) -> RowReader | None:
    """Decodes one line.

    Args:
        place: File and line, for findings.
        line: The line.
        findings: List that findings are added to.

    Returns:
        A reader of the row, or None if the line is not a JSON object.
    """
    try:
        row = json.loads(line)
    except ValueError as error:
        findings.append(errors.Finding(place, "", f"not JSON: {error}"))
        return None
    if not isinstance(row, dict):
        findings.append(errors.Finding(place, "", "not an object"))
        return None
    return RowReader(place=place, row=row, findings=findings)
