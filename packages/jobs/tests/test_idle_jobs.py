"""Tests that no job stands beside free room without any fault, simulated."""

import pytest

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import observer as observers
from trefoilroad_standins.jobs import site as sites

_WHOLE_WORKER = workload.Demand(8000, 8000, 8)


def _make_site(worker_count, **fields):
    site = sites.Site(worker_count=worker_count, per_rack=4, **fields)
    observer = observers.Observer(site=site)
    site.run(5.0)
    return site, observer


def _fill(site, rack, workers, run_s=20.0):
    """Fills workers of a rack with one long task each."""
    site.submit(f"f{rack}".ljust(16, "0"),
                tasks=workers,
                run_s=run_s,
                demand=_WHOLE_WORKER,
                label=rack)
    site.run(1.0)
    assert site.count_events("start", f"f{rack}") == workers


def _find_idle(site, observer):
    return [
        finding.text
        for finding in observer.find_idle_jobs(traffic_end_s=site.clock.now_s)
    ]


@pytest.mark.parametrize("gang", [False, True])
def test_full_rack_of_the_data(gang):
    """Guards against waiting for a full rack beside free ones."""
    site, observer = _make_site(8)
    _fill(site, "r1", 4)
    site.submit("1" * 16, tasks=2, gang=gang, data_rack="r1")
    site.run(8.0)
    assert _find_idle(site, observer) == []


def test_no_rack_holds_all_tasks():
    """Guards against waiting for one rack while several have room."""
    site, observer = _make_site(12)
    for rack in ("r0", "r1", "r2"):
        _fill(site, rack, 2)
    site.submit("1" * 16,
                tasks=3,
                demand=_WHOLE_WORKER,
                gang=True,
                one_rack=True)
    site.run(8.0)
    assert _find_idle(site, observer) == []


def test_room_reserved_for_a_gang():
    """Guards against room that stays empty until a reserved gang fits."""
    site, observer = _make_site(12)
    _fill(site, "r0", 4)
    _fill(site, "r1", 4)
    _fill(site, "r2", 2)
    site.submit("1" * 16, tasks=3, demand=_WHOLE_WORKER, gang=True)
    site.run(0.5)
    site.submit("2" * 16)
    site.run(8.0)
    assert _find_idle(site, observer) == []


def test_room_kept_for_urgent_work():
    """Guards against headroom that stays empty while bulk work waits."""
    site, observer = _make_site(8)
    # The first step runs for so much longer than declared that the second one
    # is late when its turn comes.
    step = workload.Step(tasks=1,
                         demand=_WHOLE_WORKER,
                         estimate_ms=100,
                         label="r0")
    site.submit_steps(
        "d" * 16,
        [step,
         step._replace(after=(0,), demand=sites.SMALL_DEMAND, label="")],
        [10.0, 2.0])
    site.run(0.5)
    site.submit("e" * 16, run_s=1.5, demand=_WHOLE_WORKER, label="r0")
    site.run(0.5)
    _fill(site, "r0", 2, run_s=30.0)
    _fill(site, "r1", 4, run_s=30.0)
    for number in range(8):
        site.submit(f"{number:016x}",
                    run_s=0.9,
                    demand=_WHOLE_WORKER,
                    queue=sites.URGENT_QUEUE)
        site.run(1.0)
    site.run(8.0)
    findings = [text for text in _find_idle(site, observer) if "dddd" in text]
    assert findings == []


def test_free_workers_are_suspected():
    """Guards against room on suspected workers that no job may use."""
    site, observer = _make_site(8)
    _fill(site, "r1", 4)
    _fill(site, "r0", 2)
    # Both free workers fail everything until just before they are needed.
    observer.note_disruption(1.0)
    for worker_id in ("w02", "w03"):
        site.worker_states[worker_id].fails = True
    for number in range(6):
        site.submit(f"{number:016x}")
        site.run(0.1)
    site.run(0.4)
    for worker_id in ("w02", "w03"):
        site.worker_states[worker_id].fails = False
    for number in range(6):
        site.cancel(f"{number:016x}")
    site.run(0.2)
    site.submit("d" * 16)
    site.run(8.0)
    findings = [text for text in _find_idle(site, observer) if "dddd" in text]
    assert findings == []
