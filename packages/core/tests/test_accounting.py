"""Tests of the accounting module."""

import pytest

from trefoilroad_core import accounting
from trefoilroad_core import estimate
from trefoilroad_core import queue
from trefoilroad_core import scheduler


class RecordingOrder(queue.ArrivalOrder):
    """Sums up all charges."""

    def __init__(self):
        self.total = 0.0

    def charge(self, team, caller, cost, *, in_fair_order=True):
        self.total += cost


@pytest.fixture
def order():
    return RecordingOrder()


@pytest.fixture
def update(build, order):
    """Updates the accounting of a fleet of 32 accelerators and 256 cores."""
    subject = accounting.Accounting(order=order,
                                    estimator=estimate.ObservedEstimator())

    def run(now_s=0.0, running=()):
        subject.update(
            scheduler.Snapshot(now_s, build.fleet(), (), tuple(running),
                               build.configuration()))
        return subject

    return run


def test_work_without_accelerators_is_charged(build, update):
    """Guards against tasks without accelerators being free of charge."""
    subject = update()
    assert subject.compute_rate(build.shape(2, 4)) == 8.0
    assert subject.compute_rate(build.shape(2, 0, cores=32)) == 8.0
    assert subject.compute_rate(build.shape(2, 0, cores=0)) == 2.0


def test_charge_is_corrected_by_real_use(build, update, order):
    """Guards against fair shares computed from declared run times."""
    subject = update()
    pending = build.pending("q")
    subject.record_start(pending, 0.0, in_fair_order=True)
    assert order.total == 800.0
    subject.record_end("q", ran_s=40.0, completed=True)
    assert order.total == 320.0


def test_gang_that_vanishes_is_charged_until_then(build, update, order):
    """Guards against charges that stay wrong when a report is lost."""
    subject = update()
    pending = build.pending("q")
    subject.record_start(pending, 0.0, in_fair_order=True)
    update(10.0, [build.running(pending, ["r0w0"])])
    update(20.0)
    assert order.total == 160.0


def test_overrun_is_charged_while_it_lasts(build, update, order):
    """Guards against teams that gain by declaring short run times."""
    gang = build.running(build.pending("q"), ["r0w0"])
    update(50.0, [gang])
    assert order.total == 800.0
    assert update(250.0, [gang]).estimate_end_s(gang) == 400.0
    assert order.total == 3200.0
