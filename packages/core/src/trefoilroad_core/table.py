"""Reads TOML tables by type and collects all findings."""

from collections.abc import Mapping
import difflib
import functools
import re
import reprlib
from typing import Any
from typing import cast

import tomlkit
from tomlkit import exceptions

from trefoilroad_core import errors

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
NAME_HINT = ("1 to 63 lower-case letters, digits, '_' and '-', starting with a "
             "letter or digit")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
DIGEST_HINT = "a SHA-256 digest of 64 lower-case hexadecimal digits"

# A set has at most 200 documents, and a publish compares two sets.
MAX_CACHED_TEXTS = 400

_HEADER_PATTERN = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]")
_ASSIGNMENT_PATTERN = re.compile(r"""\s*([A-Za-z0-9_."'-]+)\s*=""")
_INDEX = re.compile(r"\[\d+\]")
_REQUIRED = object()


@functools.lru_cache(maxsize=MAX_CACHED_TEXTS)
def parse_text(text: str) -> Mapping[str, Any]:
    """Parses a TOML text into plain values, which callers must not modify.

    Results are cached, because tomlkit takes about 10 microseconds a byte and
    a new version of the documents seldom changes more than one of them.

    Args:
        text: Text of the document.

    Returns:
        The top-level table.

    Raises:
        tomlkit.exceptions.ParseError: If the text is not TOML.
        RecursionError: If values are nested too deeply.
    """
    return tomlkit.parse(text).unwrap()


class Document:
    """One TOML document and the findings about it.

    Attributes:
        name: File name, used as the place of findings.
        findings: Faults found so far.
    """

    def __init__(self, *, name: str, text: str):
        self.name = name
        self.findings: list[errors.Finding] = []
        self._text = text

    def parse(self) -> "Table | None":
        """Returns the top-level table, or None after adding a finding."""
        try:
            return Table(document=self, path="", values=parse_text(self._text))
        except exceptions.ParseError as error:
            self._report_syntax(error)
        except RecursionError:
            self.report("", "values are nested too deeply")
        except (exceptions.TOMLKitError, ValueError) as error:
            self.report("", f"not valid TOML: {error}")
        return None

    def report(self, key: str, message: str) -> None:
        """Records a finding.

        Args:
            key: Dotted key path, empty for the whole document.
            message: What is wrong and how to correct it.
        """
        line = self._find_line(key)
        place = f"{self.name}:{line}" if line else self.name
        self.findings.append(errors.Finding(place, key, message))

    def _report_syntax(self, error: exceptions.ParseError) -> None:
        place = f"{self.name}:{error.line}"
        message = f"not valid TOML: {error}"
        self.findings.append(errors.Finding(place, "", message))

    def _find_line(self, key: str) -> int:
        """Returns the line of the key or its nearest parent, 0 if unknown."""
        while key:
            if key in self._lines:
                return self._lines[key]
            key = key.rpartition(".")[0]
        return 0

    @functools.cached_property
    def _lines(self) -> dict[str, int]:
        """Line of each key path; tomlkit does not provide positions."""
        lines: dict[str, int] = {}
        counts: dict[str, int] = {}
        path = ""
        for number, line in enumerate(self._text.splitlines(), start=1):
            if match := _HEADER_PATTERN.match(line):
                path = _locate_header(match, counts)
                lines.setdefault(path, number)
            elif match := _ASSIGNMENT_PATTERN.match(line):
                lines.setdefault(join_path(path, _unquote(match[1])), number)
        return lines


def _locate_header(match: re.Match[str], counts: dict[str, int]) -> str:
    """Returns the key path of a table header, counting array members."""
    name = _unquote(match[2])
    if match[1] == "[[":
        counts[name] = counts.get(name, -1) + 1
        return f"{name}[{counts[name]}]"
    parent, dot, child = name.rpartition(".")
    if parent in counts:
        return f"{parent}[{counts[parent]}]{dot}{child}"
    return name


def _unquote(key: str) -> str:
    return re.sub(r"[\s\"']", "", key)


def join_path(path: str, key: str) -> str:
    """Appends a key to a dotted key path."""
    return f"{path}.{key}" if path else key


class Table:
    """A table whose values are read by type and range.

    A wrong value is reported to the document and replaced by a valid one, so
    that all faults are found in one pass. `close` reports each key that was
    not read.
    """

    def __init__(self, *, document: Document, path: str, values: Mapping[str,
                                                                         Any]):
        self._document = document
        self._path = path
        self._values = values
        self._known_keys: set[str] = set()
        self._faulty_keys: set[str] = set()

    def report(self, key: str, message: str) -> None:
        """Records a finding about a key of this table."""
        self._faulty_keys.add(key)
        path = join_path(self._path, key) if key else self._path
        self._document.report(path, message)

    def has(self, key: str) -> bool:
        """Tells whether the key is present, and marks it as known."""
        self._known_keys.add(key)
        return key in self._values

    def has_finding(self, key: str) -> bool:
        """Tells whether a finding about the key was recorded."""
        return key in self._faulty_keys

    def close(self) -> None:
        """Reports each key that is not known."""
        for key in self._values:
            if key not in self._known_keys:
                self.report(key, f"unknown key{self._suggest(key)}")

    def _suggest(self, key: str) -> str:
        similar = difflib.get_close_matches(key, self._known_keys, n=1)
        if similar:
            return f"; did you mean {similar[0]!r}?"
        listed = ", ".join(sorted(self._known_keys))
        return f"; known here: {listed}"

    def _get_value(self, key: str, default: object, expected: str) -> Any:
        """Returns the value or the default.

        An absent value without a default is reported, and None returned.
        """
        if self.has(key):
            return self._values[key]
        if default is _REQUIRED:
            self.report(key, f"missing; give {expected}")
            return None
        return default

    def read_text(self,
                  key: str,
                  *,
                  pattern: re.Pattern[str] = NAME_PATTERN,
                  hint: str = NAME_HINT,
                  default: object = _REQUIRED) -> str:
        """Reads a string that fully matches a pattern.

        Args:
            key: Key in this table.
            pattern: Expression that the whole string must match.
            hint: Description of the pattern.
            default: Value if the key is absent; without it, it is required.

        Returns:
            The string, or "" after adding a finding.
        """
        value = self._get_value(key, default, hint)
        if value is None:
            return ""
        if not isinstance(value, str) or not pattern.fullmatch(value):
            self.report(key, f"{reprlib.repr(value)} is not valid; give {hint}")
            return ""
        return value

    def read_choice(self, key: str, choices: tuple[str, ...],
                    default: str) -> str:
        """Reads one of several strings; returns the default if it is wrong."""
        value = self._get_value(key, default, "")
        if value not in choices:
            listed = ", ".join(repr(choice) for choice in choices)
            self.report(
                key,
                f"{reprlib.repr(value)} is not valid; give one of {listed}")
            return default
        return value

    def read_bool(self, key: str, default: object = _REQUIRED) -> bool:
        """Reads a Boolean; returns False if it is wrong."""
        value = self._get_value(key, default, "true or false")
        if value is None:
            return False
        if not isinstance(value, bool):
            self.report(
                key, f"{reprlib.repr(value)} is not valid; give true or false")
            return False
        return value

    def read_int(self,
                 key: str,
                 low: int,
                 high: int,
                 default: object = _REQUIRED) -> int:
        """Reads an integer.

        Args:
            key: Key in this table.
            low: Smallest valid value.
            high: Largest valid value.
            default: Value if the key is absent; without it, it is required.

        Returns:
            The number, or `low` after adding a finding.
        """
        expected = f"a whole number from {low} to {high}"
        value = self._get_value(key, default, expected)
        if value is None:
            return low
        if type(value) is not int or not low <= value <= high:
            self.report(key,
                        f"{reprlib.repr(value)} is not valid; give {expected}")
            return low
        return value

    def read_float(self,
                   key: str,
                   low: float,
                   high: float,
                   default: object = _REQUIRED) -> float:
        """Reads a float; arguments and result are like those of read_int."""
        expected = f"a number from {low:g} to {high:g}"
        value = self._get_value(key, default, expected)
        if value is None:
            return low
        if type(value) not in (int, float) or not low <= value <= high:
            self.report(key,
                        f"{reprlib.repr(value)} is not valid; give {expected}")
            return low
        return float(value)

    def read_texts(self,
                   key: str,
                   *,
                   pattern: re.Pattern[str] = NAME_PATTERN,
                   hint: str = NAME_HINT,
                   default: object = _REQUIRED) -> tuple[str, ...]:
        """Reads a list of distinct strings that match a pattern.

        Args:
            key: Key in this table.
            pattern: Expression that each whole string must match.
            hint: Description of the pattern.
            default: Value if the key is absent; without it, it is required.

        Returns:
            The valid strings in order; the others are reported.
        """
        value = self._get_value(key, default, "a list of strings")
        if value is None:
            return ()
        if not isinstance(value, (list, tuple)):
            self.report(
                key,
                f"{reprlib.repr(value)} is not valid; give a list of strings")
            return ()
        valid: list[str] = []
        for text in value:
            if not isinstance(text, str) or not pattern.fullmatch(text):
                self.report(key,
                            f"{reprlib.repr(text)} is not valid; give {hint}")
            elif text in valid:
                self.report(key, f"{text!r} is listed twice; list it once")
            else:
                valid.append(text)
        return tuple(valid)

    def read_table(self, key: str, *, required: bool = True) -> "Table":
        """Reads a table; returns an empty one if it is absent or wrong."""
        value = self._get_value(key, _REQUIRED if required else None, "a table")
        if value is not None and not isinstance(value, Mapping):
            self.report(key,
                        f"{reprlib.repr(value)} is not valid; give a table")
            value = None
        path = join_path(self._path, key)
        return Table(document=self._document, path=path, values=value or {})

    def read_tables(self, key: str) -> list["Table"]:
        """Reads an array of tables; returns [] if it is absent or wrong."""
        value = self._get_value(key, (), "an array of tables")
        if not isinstance(value, (list, tuple)) or not all(
                isinstance(entry, Mapping) for entry in value):
            self.report(key, f"not an array of tables; write [[{key}]]")
            return []
        path = join_path(self._path, key)
        return [
            Table(document=self._document,
                  path=f"{path}[{index}]",
                  values=cast(Mapping[str, Any], entry))
            for index, entry in enumerate(value)
        ]

    def read_named_tables(self, key: str) -> dict[str, "Table"]:
        """Reads a table of tables; returns {} if it is absent or wrong."""
        parent = self.read_table(key, required=False)
        return {name: parent.read_table(name) for name in parent._values}
