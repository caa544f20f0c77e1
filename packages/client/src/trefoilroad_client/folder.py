"""Reads the operators' configuration documents from a folder."""

import pathlib

from trefoilroad_core import document
from trefoilroad_core import errors


def read_documents(root: pathlib.Path) -> dict[str, str]:
    """Reads all TOML files of a folder.

    Hidden files and folders are skipped.

    Args:
        root: The folder.

    Returns:
        Text of each document by file name, relative to the folder.

    Raises:
        InvalidDocuments: With one finding for each file that cannot be read.
    """
    documents: dict[str, str] = {}
    findings: list[errors.Finding] = []
    for path in sorted(root.rglob("*.toml")):
        relative = path.relative_to(root)
        if any(part.startswith(".") for part in relative.parts):
            continue
        name = relative.as_posix()
        try:
            documents[name] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeError) as error:
            findings.append(errors.Finding(name, "", f"cannot read: {error}"))
    if findings:
        raise errors.InvalidDocuments.from_findings(findings)
    return documents


def keep_published_drains(documents: dict[str, str],
                          published: dict[str, str]) -> dict[str, str]:
    """Adds the published fleet document if the folder has none.

    That document lists the drained workers. Publishing a folder without it
    would otherwise undrain all workers.
    """
    if document.FLEET_FILE in documents or document.FLEET_FILE not in published:
        return documents
    return {**documents, document.FLEET_FILE: published[document.FLEET_FILE]}
