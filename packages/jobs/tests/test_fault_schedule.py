"""Tests of the guarantees to callers under random faults, simulated."""

import pytest

from trefoilroad_standins.jobs import fault_schedule


@pytest.mark.parametrize("seed", range(1, 41))
def test_guarantees_hold(seed):
    """Guards against tasks that run twice, are lost, or run after a refusal."""
    simulation = fault_schedule.FaultSchedule(seed=seed)
    assert simulation.run() == [], "\n".join(simulation.log)
