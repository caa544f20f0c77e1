"""Tests of decisions on evacuations, without a site."""

import structlog

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import evacuation
from trefoilroad_jobs import evacuation_monitor
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import rounds
from trefoilroad_jobs import workload
from trefoilroad_node import registry
from trefoilroad_standins import clock
from trefoilroad_standins.jobs import site as sites

WHOLE = sites.WORKER_CAPACITY
JOB = "0" * 16


def _make_tracked(worker_id, domain, **fields):
    tracked = fleets.TrackedWorker(worker=ports.Worker(worker_id=worker_id,
                                                       address="address",
                                                       service="service",
                                                       failure_domain=domain,
                                                       rack="r",
                                                       labels=frozenset(),
                                                       capacity=WHOLE,
                                                       draining=False,
                                                       remaining_ms=0,
                                                       boot_ms=1)._replace(
                                                           **fields))
    tracked.contacted = True
    return tracked


def _make_fleet(*tracked_workers):
    fleet = fleets.Fleet()
    for tracked in tracked_workers:
        fleet.tracked_workers[tracked.worker.worker_id] = tracked
    return fleet


def _make_inputs(fleet, **fields):
    return rounds.RoundInput(now_s=10.0,
                             wall_ms=0.0,
                             jobs={},
                             fleet=fleet,
                             configuration=configurations.EMPTY,
                             queues={},
                             quarantined=frozenset(),
                             **fields)


def test_age_of_the_set():
    """Guards against a limit that is off, or in force where it is not set."""
    evacuations = evacuation.Evacuations(max_age_s=5.0)
    assert evacuations.find_obstacle(100.0) == "evacuations not read"
    assert evacuations.update(frozenset({"a"}), 100.0, 7, 100.0)
    assert not evacuations.find_obstacle(105.0)
    assert evacuations.find_obstacle(105.1)
    assert not evacuations.update(frozenset({"a"}), 101.0, 9, 101.0)
    assert not evacuations.find_obstacle(106.0)
    # A round has to follow when the set is fresh again.
    assert evacuations.update(frozenset({"a"}), 107.0, 9, 107.0)
    assert evacuations.version == 7
    assert not evacuation.Evacuations(max_age_s=0.0).find_obstacle(1e9)


def test_evacuated_worker_is_no_candidate_and_not_resting():
    """Guards against holds on evacuated workers that are silent for a moment.

    A hold outlives the short silence of its workers.
    """
    resting = _make_tracked("w0", "a")
    resting.silent_since_s = 9.9
    fleet = _make_fleet(resting, _make_tracked("w1", "a"),
                        _make_tracked("w2", "b"))
    inputs = _make_inputs(fleet, evacuated=frozenset({"a"}))
    scheduler = rounds.RoundScheduler(
        estimator=estimate.Estimator(),
        round_planner=planner.Planner(order=ordering.WorthDensityOrder()),
        bounds=limits.Limits())
    candidates = scheduler._build_candidates(inputs, "service")
    assert [candidate.worker_id for candidate in candidates] == ["w2"]
    assert not rounds._find_resting(inputs, "service")
    assert rounds._find_resting(inputs._replace(evacuated=frozenset()),
                                "service")


def test_suspects_are_counted_among_the_remaining_workers():
    """Guards against suspicion that bars most of what is left.

    One suspect in four workers is barred; beside two evacuated ones it is half
    of the service.
    """
    suspect = _make_tracked("w0", "b")
    suspect.suspect_until_s = 20.0
    fleet = _make_fleet(
        suspect, _make_tracked("w1", "b"),
        *[_make_tracked(f"w{number}", "a") for number in (2, 3)])
    assert fleet.find_suspects("service", 10.0) == {"w0"}
    assert not fleet.find_suspects("service", 10.0, frozenset({"a"}))


def _check(metrics, fleet, domains, guaranteed=0):
    """Returns the lines of a monitor's first check."""
    monitor = evacuation_monitor.EvacuationMonitor(
        metrics=metrics,
        timers=clock.HostTimers(host=clock.Host(clock=clock.Clock()),
                                rng=None,
                                offset_s=0.0),
        max_age_s=0.0)
    monitor.evacuations.update(frozenset(domains), 0.0, 5, 0.0)
    configuration = configurations.EMPTY._replace(
        teams={"team": configurations.Team("team", (), guaranteed)})
    with structlog.testing.capture_logs() as logs:
        monitor.check(fleet, configuration)
        monitor.check(fleet, configuration)
    return monitor, logs


def test_capacity_below_the_guarantees():
    """Guards against guarantees that silently cannot be kept."""
    fleet = _make_fleet(_make_tracked("w0", "a"), _make_tracked("w1", "b"))
    metrics = registry.Registry()
    _, logs = _check(metrics, fleet, {"a"}, guaranteed=9)
    (line,) = [line for line in logs if line["log_level"] == "warning"]
    assert (line["accelerators"], line["guaranteed"]) == (8, 9)
    _, logs = _check(metrics, fleet, {"a"}, guaranteed=8)
    assert not [line for line in logs if line["log_level"] == "warning"]
    _, logs = _check(metrics, fleet, set(), guaranteed=99)
    assert not logs


def test_gauges():
    """Guards against gauges that count other domains, or outlive the lead."""
    busy = _make_tracked("w0", "a")
    busy.add_claim(
        progress.Claim(key=progress.TaskKey(JOB, 0, 0, 0),
                       run=1,
                       worker_id="w0",
                       boot_ms=1,
                       phase=progress.Phase.RUNNING,
                       now_s=0.0,
                       demand=workload.Demand(0, 0, 1)))
    metrics = registry.Registry()
    fleet = _make_fleet(busy, _make_tracked("w1", "a"),
                        _make_tracked("w2", "b"))
    monitor, _ = _check(metrics, fleet, {"a"})
    assert "trefoilroad_evacuation_workers 2" in metrics.render()
    assert "trefoilroad_evacuation_runs 1" in metrics.render()
    monitor.close()
    assert "trefoilroad_evacuation_workers 0" in metrics.render()
