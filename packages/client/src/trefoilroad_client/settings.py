"""Settings of the command line: nodes, token and time limit of calls."""

import pathlib
import re
from typing import NamedTuple

from trefoilroad_client import api
from trefoilroad_core import errors
from trefoilroad_core import table

MIN_CALL_TIMEOUT_S = 0.1
MAX_CALL_TIMEOUT_S = 3600.0

_VISIBLE_ASCII = re.compile(r"[!-~]+")
_VISIBLE_ASCII_HINT = "visible ASCII characters without spaces"
_NON_EMPTY = re.compile(r".+")


class Settings(NamedTuple):
    """Nodes to call, with credentials and time limit.

    Attributes:
        nodes: Addresses of the nodes, each as "host:port" or URL.
        token: Access token.
        timeout_s: Time limit of one call with its retries, in seconds.
    """

    nodes: tuple[str, ...] = ()
    token: str = ""
    timeout_s: float = api.DEFAULT_CALL_TIMEOUT_S


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
    return _read_text_file(path).strip()


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
        SettingsError: If the file cannot be read or is invalid; the text holds
            all findings.
    """
    document = table.Document(name=str(path), text=_read_text_file(path))
    root_table = document.parse()
    settings = Settings()
    if root_table is not None:
        settings = _read_client(root_table, path.parent)
        root_table.close()
    if document.findings:
        raise errors.SettingsError("\n".join(map(str, document.findings)))
    return settings


def _read_client(root_table: table.Table, folder: pathlib.Path) -> Settings:
    client_table = root_table.read_table("client")
    nodes = client_table.read_texts("nodes",
                                    pattern=_VISIBLE_ASCII,
                                    hint=_VISIBLE_ASCII_HINT,
                                    default=())
    token = client_table.read_text("token",
                                   pattern=_VISIBLE_ASCII,
                                   hint=_VISIBLE_ASCII_HINT,
                                   default=None)
    token_file = client_table.read_text("token_file",
                                        pattern=_NON_EMPTY,
                                        hint="a path",
                                        default=None)
    timeout_s = client_table.read_float("timeout_s", MIN_CALL_TIMEOUT_S,
                                        MAX_CALL_TIMEOUT_S,
                                        api.DEFAULT_CALL_TIMEOUT_S)
    if token and token_file:
        client_table.report("token_file",
                            "token is set too; set only one of them")
    client_table.close()
    if token_file and not token:
        token = read_token(folder / token_file)
    return Settings(nodes, token, timeout_s)


def _read_text_file(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise errors.SettingsError(f"cannot read {path}: {error}") from error
