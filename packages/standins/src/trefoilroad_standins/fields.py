"""Reads fields of decoded JSON objects and checks their types."""

from collections.abc import Mapping
import json
import math
from typing import Any

from trefoilroad_core import errors

# About 30 years as a time in seconds. Sums of times up to this are exact to
# less than a microsecond.
MAX_NUMBER = 1e9


def parse_object(body: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Args:
        body: The body of a request.

    Returns:
        The object.

    Raises:
        ProtocolError: If the body is not a JSON object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise errors.ProtocolError("body is not a JSON object")
    return document


def read_field(document: Mapping[str, Any], name: str,
               kind: type | tuple[type, ...], **default: Any) -> Any:
    """Reads one field and checks its type.

    Args:
        document: A decoded object.
        name: Name of the field.
        kind: Accepted type or types; an int does not accept a bool.
        **default: `default=` makes the field optional.

    Returns:
        The value.

    Raises:
        ProtocolError: If the field is absent, has another type or is not
            finite.
    """
    if name not in document and "default" in default:
        return default["default"]
    if name not in document:
        raise errors.ProtocolError(f"{name} is missing")
    value = document[name]
    is_flag = isinstance(value, bool)
    if not isinstance(value, kind) or (is_flag and kind not in (bool, object)):
        raise errors.ProtocolError(f"{name} has the wrong type")
    if isinstance(value, float) and not math.isfinite(value):
        raise errors.ProtocolError(f"{name} is not finite")
    return value


def read_nonnegative(document: Mapping[str, Any], name: str,
                     **default: Any) -> float:
    """Reads a number of at least 0, such as a duration.

    Args:
        document: A decoded object.
        name: Name of the field.
        **default: `default=` makes the field optional.

    Returns:
        The number.

    Raises:
        ProtocolError: If the field is absent, not a number, negative or above
            MAX_NUMBER.
    """
    value = read_field(document, name, (int, float), **default)
    if not 0 <= value <= MAX_NUMBER:
        raise errors.ProtocolError(f"{name} is negative or too large")
    return float(value)


def read_integers(document: Mapping[str, Any], name: str,
                  **default: Any) -> list[int]:
    """Reads a list of integers.

    Args:
        document: A decoded object.
        name: Name of the field.
        **default: `default=` makes the field optional.

    Returns:
        The list.

    Raises:
        ProtocolError: If the field is absent or of another type.
    """
    items: list[int] = read_field(document, name, list, **default)
    if not all(type(element) is int for element in items):
        raise errors.ProtocolError(f"{name} is not a list of integers")
    return items


def read_strings(document: Mapping[str, Any], name: str,
                 **default: Any) -> list[str]:
    """Reads a list of strings.

    Args:
        document: A decoded object.
        name: Name of the field.
        **default: `default=` makes the field optional.

    Returns:
        The list.

    Raises:
        ProtocolError: If the field is absent or of another type.
    """
    items: list[str] = read_field(document, name, list, **default)
    if not all(isinstance(element, str) for element in items):
        raise errors.ProtocolError(f"{name} is not a list of strings")
    return items


def read_objects(document: Mapping[str, Any], name: str,
                 **default: Any) -> list[dict[str, Any]]:
    """Reads a list of objects.

    Args:
        document: A decoded object.
        name: Name of the field.
        **default: `default=` makes the field optional.

    Returns:
        The list.

    Raises:
        ProtocolError: If the field is absent or of another type.
    """
    items: list[dict[str, Any]] = read_field(document, name, list, **default)
    if not all(isinstance(element, dict) for element in items):
        raise errors.ProtocolError(f"{name} is not a list of objects")
    return items
