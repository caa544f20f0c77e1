"""Random fault schedules with fixed seeds keep the invariants."""

import pytest

from trefoilroad_standins import soak

# Seed 620 found a fault: a request ran again after its outcome, because its
# notification arrived late (scenario "A notification that arrives after the
# outcome"). The other seeds are the first ones.
SEEDS = [*range(1, 39), 620]
MIN_COMPLETED = 4


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule_shows_no_violation(seed):
    result = soak.FaultSchedule(seed=seed).run()
    assert result.violations == [], result.faults
    assert result.faults
    assert result.outcomes["completed"] >= MIN_COMPLETED
