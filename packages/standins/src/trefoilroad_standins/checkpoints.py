"""Progress of stopped tasks; stands for the workers' part of the object store.

Members of a gang save their own parts. A checkpoint is complete once every
rank of the gang is in it.
"""

import abc
import hashlib
import json
import pathlib
from typing import NamedTuple


class CheckpointPart(NamedTuple):
    """What one worker saves of an attempt.

    Attributes:
        tasks: Number of ranks of the whole gang.
        ranks: Ranks on this worker.
        done_s: Work done, in seconds at full share.
    """

    tasks: int
    ranks: list[int]
    done_s: float


class CheckpointStore(abc.ABC):
    """Where parts are kept."""

    @abc.abstractmethod
    def save(self, attempt: str, part: CheckpointPart) -> None:
        """Stores a part.

        Args:
            attempt: Id of the attempt.
            part: What a worker saves.
        """

    @abc.abstractmethod
    def list_parts(self, attempt: str) -> list[CheckpointPart]:
        """Returns the parts of an attempt that are stored."""

    def load(self, key: str) -> float | None:
        """Returns the progress that all ranks have reached.

        Args:
            key: Object key; the part after the last slash is the attempt.

        Returns:
            Seconds at full share, or None if unknown or incomplete.
        """
        parts = self.list_parts(key.rpartition("/")[2])
        ranks = {rank for part in parts for rank in part.ranks}
        if not parts or len(ranks) < parts[0].tasks:
            return None
        return min(part.done_s for part in parts)


class MemoryCheckpointStore(CheckpointStore):
    """Keeps parts for the workers of one process."""

    def __init__(self) -> None:
        self._parts: dict[str, list[CheckpointPart]] = {}

    def save(self, attempt: str, part: CheckpointPart) -> None:
        """See Checkpoints."""
        self._parts.setdefault(attempt, []).append(part)

    def list_parts(self, attempt: str) -> list[CheckpointPart]:
        """See Checkpoints."""
        return self._parts.get(attempt, [])


class DirectoryCheckpointStore(CheckpointStore):
    """Keeps parts for several processes, across their restarts."""

    def __init__(self, directory: pathlib.Path):
        """Uses a directory.

        Args:
            directory: Existing directory that the processes share.
        """
        self._directory = directory

    def save(self, attempt: str, part: CheckpointPart) -> None:
        """See Checkpoints."""
        name = f"{hash_attempt(attempt)}.{part.ranks[0]}"
        partial = self._directory / f"{name}.partial"
        partial.write_text(json.dumps(part._asdict()))
        partial.rename(self._directory / f"{name}.json")

    def list_parts(self, attempt: str) -> list[CheckpointPart]:
        """See Checkpoints."""
        paths = self._directory.glob(f"{hash_attempt(attempt)}.*.json")
        return [
            CheckpointPart(**json.loads(path.read_text())) for path in paths
        ]


def hash_attempt(attempt: str) -> str:
    """Returns a file name for an attempt, whatever its id contains."""
    return hashlib.sha256(attempt.encode()).hexdigest()
