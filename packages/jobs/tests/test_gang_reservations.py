"""Tests of the workers that are reserved for bulk gangs."""

import pytest

from trefoilroad_jobs import gang_reservations
from trefoilroad_jobs import placement
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

CAPACITY = workload.Demand(64_000, 256_000, 8)


def _build_gang():
    """Returns a gang with its latest start at 15 s, and at 55 s if late."""
    step = workload.Step(tasks=4,
                         demand=workload.Demand(26_000, 38_000, 8),
                         gang=True)
    return units.Unit(job_id="a",
                      occurrence=0,
                      step_number=0,
                      step=step,
                      indexes=(0, 1, 2, 3),
                      used_by_worker={},
                      service="service",
                      team="team",
                      priority=1,
                      accepted_s=0.0,
                      objective_s=20.0,
                      remaining_s=5.0,
                      remaining_core_s=100.0,
                      size_ratio=1.0,
                      guaranteed=False)


@pytest.mark.parametrize(("now_s", "reserved"), [(5.0, False), (10.0, True),
                                                 (25.0, True), (50.0, True),
                                                 (70.0, False)])
def test_late_gang_keeps_its_reservation(now_s, reserved):
    """Guards against a large gang that starves once it is late.

    Small tasks took all room from shortly after its latest start until shortly
    before its job had no more worth, and on a busy day it never started.
    """
    candidates = {
        f"w{number}":
            placement.Candidate(worker_id=f"w{number}",
                                rack="r",
                                labels=frozenset(),
                                room=CAPACITY._replace(accelerators=0),
                                capacity=CAPACITY) for number in range(24)
    }
    reservations = gang_reservations.GangReservations()
    chosen = reservations.choose_workers(_build_gang(), candidates, now_s)
    assert bool(chosen) is reserved
