"""Settings of the command line: nodes and token."""

import pathlib
import re
from typing import NamedTuple

from trefoilroad_client import api
from trefoilroad_core import errors
from trefoilroad_core import table

MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 3600.0

_ANY = re.compile(r"[!-~]+")
_ANY_HINT = "visible ASCII characters without spaces"
_PATH = re.compile(r".+")


class Settings(NamedTuple):
    """How to reach the nodes.

    Attributes:
        nodes: Addresses of the nodes.
        token: Access token.
        timeout_s: Time limit of one call in seconds.
    """

    nodes: tuple[str, ...] = ()
    token: str = ""
    timeout_s: float = api.TIMEOUT_S


def split_nodes(text: str) -> tuple[str, ...]:
    """Splits a list of nodes at commas and spaces."""
    return tuple(node for node in re.split(r"[,\s]+", text) if node)


def read_token(path: pathlib.Path) -> str:
    """Reads a token from a file.

    Args:
        path: File whose only content is the token.

    Returns:
        The token without surrounding white space.

    Raises:
        SettingsError: If the file cannot be read.
    """
    return _read(path).strip()


def read_file(path: pathlib.Path) -> Settings:
    """Reads settings from a TOML file.

    The file has one table, [client], with "nodes" (list of addresses),
    "token" or "token_file" (path, relative to the settings file) and
    "timeout_s". Each of them is optional.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read, or with all findings.
    """
    document = table.Document(name=str(path), text=_read(path))
    top = document.parse()
    settings = Settings()
    if top is not None:
        settings = _read_client(top, path.parent)
        top.close()
    if document.findings:
        raise errors.SettingsError("\n".join(map(str, document.findings)))
    return settings


def _read_client(top: table.Table, folder: pathlib.Path) -> Settings:
    values = top.read_table("client")
    nodes = values.read_texts("nodes", pattern=_ANY, hint=_ANY_HINT, default=())
    token = values.read_text("token",
                             pattern=_ANY,
                             hint=_ANY_HINT,
                             default=None)
    token_file = values.read_text("token_file",
                                  pattern=_PATH,
                                  hint="a path",
                                  default=None)
    timeout_s = values.read_float("timeout_s", MIN_TIMEOUT_S, MAX_TIMEOUT_S,
                                  api.TIMEOUT_S)
    if token and token_file:
        values.report("token_file", "token is given too; give one of both")
    values.close()
    if token_file and not token:
        token = read_token(folder / token_file)
    return Settings(nodes, token, timeout_s)


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise errors.SettingsError(f"cannot read {path}: {error}") from error
