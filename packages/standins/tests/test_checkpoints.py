"""Tests of the checkpoint stores."""

import pytest

from trefoilroad_standins import checkpoints


@pytest.mark.parametrize("kind", ["memory", "directory"])
def test_checkpoint_is_complete_or_not_found(kind, tmp_path):
    """Guards against resuming from an incomplete or a wrong checkpoint.

    Wrong are the parts of another attempt.
    """
    store = (checkpoints.MemoryCheckpointStore() if kind == "memory" else
             checkpoints.DirectoryCheckpointStore(tmp_path))
    store.save("a/../1", checkpoints.CheckpointPart(3, [0, 2], 5.0))
    store.save("b.1", checkpoints.CheckpointPart(3, [1], 1.0))
    assert store.load("checkpoint/1") is None
    store.save("a.1", checkpoints.CheckpointPart(3, [0, 2], 5.0))
    assert store.load("checkpoint/a.1") is None
    store.save("a.1", checkpoints.CheckpointPart(3, [1], 4.0))
    assert store.load("checkpoint/a.1") == store.load("a.1") == 4.0
