"""Tests of the admission module."""

import pytest

from trefoilroad_core import admission


@pytest.mark.parametrize(("counts", "reason"), [((9, 4), None),
                                                ((10, 0), "team a has 10"),
                                                ((9, 5), "caller c")])
def test_queues_are_bounded(build, counts, reason):
    """Guards against a flood that fills the queue of its whole team."""
    actual = admission.check_queue_limits(build.team("a"), "c",
                                          admission.WaitingCounts(*counts))
    assert actual == reason or reason in actual


def test_limit_counts_running_gangs(build):
    """Guards against opportunistic gangs exceeding a team's limit."""
    team = build.team("a", max_accelerators=16)
    usage = admission.AcceleratorUsage(
        [build.running(build.pending(), ["r0w0"])])
    assert usage.is_within_limit(team, build.shape())
    usage.add("a", build.shape())
    assert not usage.is_within_limit(team, build.shape())
    assert usage.is_within_limit(build.team("b", max_accelerators=8),
                                 build.shape())
