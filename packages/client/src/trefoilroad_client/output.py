"""Output of the command line: tables for people, JSON for scripts."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import json
from typing import Any

import click

from trefoilroad_core import document

GAP = "  "


def print_json(value: Any) -> None:
    """Writes a value as one JSON document to standard output."""
    click.echo(json.dumps(encode(value), indent=2))


def encode(value: Any) -> Any:
    """Turns named tuples into objects, so that JSON keeps field names."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: encode(item) for key, item in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [encode(item) for item in value]
    if isinstance(value, dict):
        return {key: encode(item) for key, item in value.items()}
    return value


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Writes aligned columns with a header to standard output."""
    cells = [list(header), *([clean(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(GAP.join(padded).rstrip())


def print_fields(fields: dict[str, Any]) -> None:
    """Writes names and values, one pair a line, to standard output."""
    width = max(map(len, fields))
    for name, value in fields.items():
        click.echo(f"{name.ljust(width)}{GAP}{clean(value)}".rstrip())


def print_changes(changes: Iterable[document.Change], *, err: bool) -> None:
    """Writes one line for each changed key."""
    for change in changes:
        before = "absent" if change.before is None else json.dumps(
            change.before)
        after = "absent" if change.after is None else json.dumps(change.after)
        click.echo(clean(f"{change.key}: {before} -> {after}"), err=err)


def clean(value: Any) -> str:
    """Replaces characters that could control the terminal."""
    return "".join(character if character.isprintable() else "?"
                   for character in str(value))


def format_time(at: float) -> str:
    """Formats a wall clock in seconds since 1970 as UTC, "" for 0."""
    if not at:
        return ""
    moment = datetime.datetime.fromtimestamp(at, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
