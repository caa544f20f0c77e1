"""Tests of when workers are synced."""

import types

import pytest

from trefoilroad_core import attempt as attempts
from trefoilroad_core import syncs


@pytest.mark.parametrize("ages_s", [(0.0, 50.0), (50.0, 0.0)])
def test_task_of_age_zero_is_the_youngest(ages_s):
    """Guards against a late sync of a task that has just been started.

    An age of 0.0 was taken for no age, and the age of an older task counted.
    """
    intervals_s = []
    tracked = types.SimpleNamespace(worker=types.SimpleNamespace(worker_id="w"),
                                    digest="")
    running = [("r",
                types.SimpleNamespace(phase=attempts.Phase.RUNNING,
                                      attempt_id=str(age_s),
                                      started_s=100.0 - age_s,
                                      members={"w": types.SimpleNamespace()}))
               for age_s in ages_s]
    tracked_workers = types.SimpleNamespace(
        get_reference_s=lambda worker_id, now_s: now_s,
        get_sync_interval=lambda age_s: intervals_s.append(age_s) or 1.0)
    shared = types.SimpleNamespace(now_s=100.0,
                                   bounds=types.SimpleNamespace(lease_s=6.0),
                                   tracked_workers=tracked_workers,
                                   list_attempts=lambda worker_id: running,
                                   send=lambda *_: 1)
    syncs.WorkerSyncs(shared=shared, gangs=None).start(tracked)
    assert intervals_s == [0.0]
