"""Output of the command line as tables or JSON."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import json
from typing import Any

import click

from trefoilroad_core import document

COLUMN_SEPARATOR = "  "


def print_json(value: Any) -> None:
    """Writes a value as one JSON document to standard output."""
    click.echo(json.dumps(convert_to_json(value), indent=2))


def convert_to_json(value: Any) -> Any:
    """Converts named tuples to dicts, so that JSON keeps the field names."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {
            key: convert_to_json(item) for key, item in value._asdict().items()
        }
    if isinstance(value, (list, tuple)):
        return [convert_to_json(item) for item in value]
    if isinstance(value, dict):
        return {key: convert_to_json(item) for key, item in value.items()}
    return value


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Writes aligned columns with a header to standard output."""
    table = [
        list(header),
        *([replace_unprintable(cell) for cell in row] for row in rows)
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(COLUMN_SEPARATOR.join(padded).rstrip())


def print_fields(fields: dict[str, Any]) -> None:
    """Writes one line with name and value for each field."""
    width = max(map(len, fields))
    for name, value in fields.items():
        click.echo(
            f"{name.ljust(width)}{COLUMN_SEPARATOR}{replace_unprintable(value)}"
            .rstrip())


def print_changes(changes: Iterable[document.Change], *, err: bool) -> None:
    """Writes one line for each changed key, to standard error if err is set."""
    for change in changes:
        before = "absent" if change.before is None else json.dumps(
            change.before)
        after = "absent" if change.after is None else json.dumps(change.after)
        click.echo(replace_unprintable(f"{change.key}: {before} -> {after}"),
                   err=err)


def replace_unprintable(value: Any) -> str:
    """Replaces unprintable characters, which could control the terminal."""
    return "".join(character if character.isprintable() else "?"
                   for character in str(value))


def format_time(timestamp_s: float) -> str:
    """Formats a time in seconds since 1970 as UTC, or returns "" for 0."""
    if not timestamp_s:
        return ""
    utc_time = datetime.datetime.fromtimestamp(timestamp_s, tz=datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S")
