"""All errors that trefoilroad raises on purpose."""

from collections.abc import Iterable
from typing import NamedTuple


class TrefoilroadError(Exception):
    """Base class of all errors of this project."""


class Finding(NamedTuple):
    """One thing that is wrong with a document.

    Attributes:
        place: The document, usually a file name, with a line where known.
        key: Dotted key path inside the document, empty for the whole of it.
        message: What is wrong and what would be right.
    """

    place: str
    key: str
    message: str

    def __str__(self) -> str:
        where = f"{self.place}: {self.key}" if self.key else self.place
        return f"{where}: {self.message}"


class DocumentError(TrefoilroadError):
    """A document has one fault.

    Attributes:
        finding: The fault and its place.
    """

    def __init__(self, finding: Finding):
        super().__init__(str(finding))
        self.finding = finding


class InvalidDocuments(ExceptionGroup):
    """All faults of a set of documents, reported together."""

    @classmethod
    def from_findings(cls, findings: Iterable[Finding]) -> "InvalidDocuments":
        """Builds the group from findings.

        Args:
            findings: At least one finding.

        Returns:
            A group with one DocumentError for each finding.
        """
        errors = [DocumentError(finding) for finding in findings]
        return cls(f"{len(errors)} findings", errors)

    def derive(self, excs):  # type: ignore[no-untyped-def]
        """Keeps the type when a group is split, as ExceptionGroup asks."""
        return InvalidDocuments(self.message, excs)

    @property
    def findings(self) -> list[Finding]:
        """The findings of all members, in order."""
        return [
            error.finding
            for error in self.exceptions
            if isinstance(error, DocumentError)
        ]


class RequestError(TrefoilroadError):
    """A request from a caller is invalid.

    Attributes:
        key: The field that is wrong.
    """

    def __init__(self, key: str, message: str):
        super().__init__(f"{key}: {message}")
        self.key = key


class RecordError(TrefoilroadError):
    """A row of the table service does not have the expected form."""


class PolicyError(TrefoilroadError):
    """A scheduler decided something that cannot be carried out."""


class StoreError(TrefoilroadError):
    """The platform's store did not do what was asked."""


class StoreUnavailable(StoreError):
    """The store gave no answer; a write may or may not have taken effect."""


class CommitConflict(StoreError):
    """A condition of a commit did not hold; nothing was written.

    Attributes:
        conflicts: Keys whose condition failed, with their current version.
    """

    def __init__(self, conflicts: dict[str, int]):
        super().__init__(f"conflicting keys: {', '.join(sorted(conflicts))}")
        self.conflicts = conflicts


class ProtocolError(TrefoilroadError):
    """A peer sent a message that does not have the expected form."""


class AnswerCorrupt(TrefoilroadError):
    """An answer's length or digest differs from the one on record."""
