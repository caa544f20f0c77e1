"""Checkpoints of the stand-ins' tasks: the progress of stopped tasks.

They replace the checkpoints that real workers keep in the object store. Each
worker of a gang saves a part for its ranks; a checkpoint is complete once its
parts cover all ranks of the gang.
"""

import abc
import hashlib
import json
import pathlib
from typing import NamedTuple


class CheckpointPart(NamedTuple):
    """The part of a checkpoint that one worker saves.

    Attributes:
        tasks: Number of ranks of the whole gang.
        ranks: Ranks on this worker.
        done_s: Progress, in seconds of run time at full speed.
    """

    tasks: int
    ranks: list[int]
    done_s: float


class CheckpointStore(abc.ABC):
    """Store of the parts of checkpoints."""

    @abc.abstractmethod
    def save(self, attempt: str, part: CheckpointPart) -> None:
        """Stores a part.

        Args:
            attempt: Id of the attempt.
            part: The part of one worker.
        """

    @abc.abstractmethod
    def list_parts(self, attempt: str) -> list[CheckpointPart]:
        """Returns the stored parts of an attempt."""

    def load(self, key: str) -> float | None:
        """Returns the progress that all ranks have reached.

        Args:
            key: Key of the checkpoint; the attempt id follows the last slash.

        Returns:
            Seconds of run time at full speed, or None if the checkpoint is
            unknown or incomplete.
        """
        parts = self.list_parts(key.rpartition("/")[2])
        ranks = {rank for part in parts for rank in part.ranks}
        if not parts or len(ranks) < parts[0].tasks:
            return None
        return min(part.done_s for part in parts)


class MemoryCheckpointStore(CheckpointStore):
    """Stores parts in memory, for the workers of one process."""

    def __init__(self) -> None:
        self._parts: dict[str, list[CheckpointPart]] = {}

    def save(self, attempt: str, part: CheckpointPart) -> None:
        """See CheckpointStore."""
        self._parts.setdefault(attempt, []).append(part)

    def list_parts(self, attempt: str) -> list[CheckpointPart]:
        """See CheckpointStore."""
        return self._parts.get(attempt, [])


class DirectoryCheckpointStore(CheckpointStore):
    """Stores parts in files, for several processes and across restarts."""

    def __init__(self, directory: pathlib.Path):
        """Opens a store.

        Args:
            directory: Existing directory that the processes share.
        """
        self._directory = directory

    def save(self, attempt: str, part: CheckpointPart) -> None:
        """See CheckpointStore."""
        name = f"{hash_attempt(attempt)}.{part.ranks[0]}"
        partial = self._directory / f"{name}.partial"
        partial.write_text(json.dumps(part._asdict()))
        partial.rename(self._directory / f"{name}.json")

    def list_parts(self, attempt: str) -> list[CheckpointPart]:
        """See CheckpointStore."""
        paths = self._directory.glob(f"{hash_attempt(attempt)}.*.json")
        return [
            CheckpointPart(**json.loads(path.read_text())) for path in paths
        ]


def hash_attempt(attempt: str) -> str:
    """Returns a safe file name for an attempt id with any characters."""
    return hashlib.sha256(attempt.encode()).hexdigest()
