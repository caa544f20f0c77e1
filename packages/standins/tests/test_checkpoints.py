"""Tests of checkpoints."""

import pytest

from trefoilroad_standins import checkpoints


@pytest.mark.parametrize("kind", ["memory", "directory"])
def test_checkpoint_is_whole_or_unknown(kind, tmp_path):
    """Guards against a resume from parts of a gang or of another attempt."""
    saved = (checkpoints.MemoryCheckpointStore() if kind == "memory" else
             checkpoints.DirectoryCheckpointStore(tmp_path))
    saved.save("a/../1", checkpoints.CheckpointPart(3, [0, 2], 5.0))
    saved.save("b.1", checkpoints.CheckpointPart(3, [1], 1.0))
    assert saved.load("checkpoint/1") is None
    saved.save("a.1", checkpoints.CheckpointPart(3, [0, 2], 5.0))
    assert saved.load("checkpoint/a.1") is None
    saved.save("a.1", checkpoints.CheckpointPart(3, [1], 4.0))
    assert saved.load("checkpoint/a.1") == saved.load("a.1") == 4.0
