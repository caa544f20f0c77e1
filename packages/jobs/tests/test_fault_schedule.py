"""Random faults on the virtual site break no promise."""

import pytest

from trefoilroad_standins.jobs import fault_schedule


@pytest.mark.parametrize("seed", range(1, 41))
def test_promises_hold(seed):
    """Guards against tasks that run twice, are lost, or run after a refusal."""
    play = fault_schedule.FaultSchedule(seed=seed)
    assert play.run() == [], "\n".join(play.log)
