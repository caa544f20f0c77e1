"""Tests of the intake module on a virtual site."""

import pytest

from trefoilroad_jobs import intake
from trefoilroad_jobs import writes
from trefoilroad_standins.jobs import site as sites


@pytest.fixture
def site():
    new_site = sites.Site()
    new_site.run(2.0)
    return new_site


def test_answered_submission_leaves_no_timer(site):
    """Guards against requests that are kept after their answer."""
    intake_of_node = site.nodes["n0"].node.intake
    handles = []
    call_later = intake_of_node._timers.call_later

    def record(delay_s, callback):
        handles.append((delay_s, call_later(delay_s, callback)))
        return handles[-1][1]

    intake_of_node._timers.call_later = record
    site.submit("0" * 16, demand=sites.SMALL_DEMAND, run_s=0.5)
    site.run(0.2)
    delays = {intake.ANSWER_TIMEOUT_S, writes.RELAY_AFTER_S}
    timeouts = [handle for delay_s, handle in handles if delay_s in delays]
    assert len(timeouts) == 2
    assert all(handle.cancelled for handle in timeouts)
