"""Folders that hold a set of operators' documents."""

import pathlib

from trefoilroad_core import document
from trefoilroad_core import errors


def read_documents(root: pathlib.Path) -> dict[str, str]:
    """Reads all TOML files of a folder.

    Hidden files and folders, and files of other types, are left out.

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


def keep_drained(documents: dict[str, str],
                 published: dict[str, str]) -> dict[str, str]:
    """Adds the published list of drained workers unless the folder has one.

    Otherwise publishing a folder without that file would undrain all workers.
    """
    if document.FLEET_FILE in documents or document.FLEET_FILE not in published:
        return documents
    return {**documents, document.FLEET_FILE: published[document.FLEET_FILE]}
