"""Settings of a node, read from a TOML file."""

import pathlib
import re
from typing import NamedTuple

from trefoilroad_core import errors
from trefoilroad_core import table

_ADDRESS_PATTERN = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|localhost):\d{1,5}")
_ADDRESS_HINT = 'an IP address and a port, such as "10.0.0.1:7400"'
_SECRET_PATTERN = re.compile(r"[!-~]{16,256}")
_SECRET_HINT = "16 to 256 printable characters without spaces"


class Settings(NamedTuple):
    """Settings of one node.

    Attributes:
        node_id: Name of the node, unique in its region.
        region: Region that the node serves.
        failure_domain: Failure domain of its VM.
        listen: Address for callers and operators, "host:port".
        link: Address for other nodes, "host:port".
        peers: Link addresses of other nodes, used until the table service has
            been read.
        link_secret: Secret that authenticates nodes to each other.
        store: Address of the platform's services, "host:port".
        operator_token_sha256: SHA-256 digest of the token that may publish
            while there is no configuration, empty for none.
        max_body_bytes: Largest request body in bytes.
        max_open_requests: Maximum number of HTTP requests in progress.
        statsd: Address of the statsd server, "host:port", empty for none.
        log_format: "json" or "console".
        log_level: "debug", "info", "warning" or "error".
    """

    node_id: str
    region: str
    failure_domain: str
    listen: str
    link: str
    peers: tuple[str, ...]
    link_secret: str
    store: str
    operator_token_sha256: str
    max_body_bytes: int
    max_open_requests: int
    statsd: str
    log_format: str
    log_level: str


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Args:
        path: Path of the TOML file.

    Returns:
        The settings.

    Raises:
        InvalidDocuments: If the file is unreadable or invalid; lists all
            findings.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = errors.Finding(str(path), "", f"cannot be read: {error}")
        raise errors.InvalidDocuments.from_findings([finding]) from error
    return parse_settings(str(path), text)


def parse_settings(name: str, text: str) -> Settings:
    """Checks the text of a settings file; see read_settings."""
    document = table.Document(name=name, text=text)
    top = document.parse()
    if top is None:
        raise errors.InvalidDocuments.from_findings(document.findings)
    node = top.read_table("node")
    store = top.read_table("store")
    bootstrap = top.read_table("bootstrap", required=False)
    limits = top.read_table("limits", required=False)
    statsd = top.read_table("statsd", required=False)
    log = top.read_table("log", required=False)
    settings = Settings(
        node_id=node.read_text("id"),
        region=node.read_text("region"),
        failure_domain=node.read_text("failure_domain"),
        listen=_read_address(node, "listen"),
        link=_read_address(node, "link"),
        peers=node.read_texts("peers",
                              pattern=_ADDRESS_PATTERN,
                              hint=_ADDRESS_HINT,
                              default=()),
        link_secret=node.read_text("link_secret",
                                   pattern=_SECRET_PATTERN,
                                   hint=_SECRET_HINT),
        store=_read_address(store, "address"),
        operator_token_sha256=bootstrap.read_text(
            "operator_token_sha256",
            pattern=re.compile(f"({table.DIGEST_PATTERN.pattern})?"),
            hint=table.DIGEST_HINT,
            default=""),
        max_body_bytes=limits.read_int("max_body_bytes", 1024, 1 << 26,
                                       2 << 20),
        max_open_requests=limits.read_int("max_open_requests", 1, 100_000,
                                          1000),
        statsd=statsd.read_text(
            "address",
            pattern=re.compile(f"({_ADDRESS_PATTERN.pattern})?"),
            hint=_ADDRESS_HINT,
            default=""),
        log_format=log.read_choice("format", ("json", "console"), "json"),
        log_level=log.read_choice("level",
                                  ("debug", "info", "warning", "error"),
                                  "info"))
    for section in (top, node, store, bootstrap, limits, statsd, log):
        section.close()
    if document.findings:
        raise errors.InvalidDocuments.from_findings(document.findings)
    return settings


def _read_address(section: table.Table, key: str) -> str:
    return section.read_text(key, pattern=_ADDRESS_PATTERN, hint=_ADDRESS_HINT)
