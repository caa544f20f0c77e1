"""Tests of the guarantees to callers under random faults, simulated."""

import pytest

from trefoilroad_standins.jobs import disorder


@pytest.mark.parametrize("seed", range(1, 41))
def test_guarantees_hold(seed):
    """Guards against tasks that run twice, are lost, or run after a refusal."""
    simulation = disorder.Disorder(seed=seed)
    assert simulation.run() == [], "\n".join(simulation.log)
