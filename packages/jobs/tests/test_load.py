"""Recorded shapes of load: each policy earns more on the load it is for."""

import statistics

import pytest
import structlog

from trefoilroad_jobs import headroom
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_standins.jobs import load

SEEDS = (1, 2)
# Differences of some stops or hundredths of the worth need more days.
MANY_SEEDS = (1, 2, 3, 4, 5, 6)


@pytest.fixture(autouse=True)
def quiet():
    """Keeps the log lines of whole days out of the captured output."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


def _play(pattern, seeds=SEEDS, **options):
    return [
        load.simulate(load.PATTERNS[pattern], seed, **options) for seed in seeds
    ]


@pytest.fixture(scope="module")
def flood():
    """Days of a bulk flood with all mechanisms."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    return _play("bulk-flood", MANY_SEEDS)


def _mean(results, name):
    return statistics.mean(getattr(result, name) for result in results)


def test_urgent_burst_is_served_by_preemption(monkeypatch):
    """Guards against urgent work that waits behind bulk work in a burst.

    Without stops for jobs outside a guarantee, those that need several
    workers at once lost most of their worth.
    """
    served = _play("urgent-burst")
    monkeypatch.setattr(planner, "MAX_UNGUARANTEED_PREEMPTIONS", 0)
    waiting = _play("urgent-burst")
    assert _mean(served, "worth") > _mean(waiting, "worth")
    assert _mean(served, "windows") > _mean(waiting, "windows")
    for one, other in zip(served, waiting, strict=True):
        assert one.kinds["render"] >= other.kinds["render"]


def test_freed_room_is_kept_for_its_unit(flood, monkeypatch):
    """Guards against stops whose room is taken by others, again and again."""
    monkeypatch.setattr(planner, "RESERVATION_S", 0.0)
    lost = _play("bulk-flood", MANY_SEEDS)
    assert _mean(flood, "stopped") < _mean(lost, "stopped")
    assert _mean(flood, "worth") > _mean(lost, "worth")


def test_order_by_worth_keeps_up_with_arrival():
    """Guards against an order that serves a mixed flood worse than arrival."""
    dense = _play("large-burst", order=ordering.WorthDensity())
    plain = _play("large-burst", order=ordering.Arrival())
    assert _mean(dense, "worth") >= _mean(plain, "worth") - 0.03


def test_room_kept_for_urgent_work_saves_stops(flood, monkeypatch):
    """Guards against bulk tasks that are started into room needed soon."""
    monkeypatch.setattr(headroom, "HEADROOM_DEVIATIONS", -99.0)
    lent = _play("bulk-flood", MANY_SEEDS)
    assert _mean(flood, "stopped") < _mean(lent, "stopped")
    assert _mean(flood, "wasted") < _mean(lent, "wasted")
    assert _mean(flood, "worth") > _mean(lent, "worth")
