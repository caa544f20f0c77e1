"""Tests of the placement of images that slow each other down."""

import random
import statistics
import time

import pytest
import structlog

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import intake
from trefoilroad_jobs import interference
from trefoilroad_jobs import interference_monitor
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import rounds
from trefoilroad_jobs import workload
from trefoilroad_node import metrics
from trefoilroad_standins.jobs import load
from trefoilroad_standins.jobs import site as sites

NONE = frozenset()
B = frozenset({"b"})
# Completed runs of each image after which a pair with an effect of 2 is known.
MAX_RUNS_UNTIL_KNOWN = 30
# Time that a round may take on the leader, in seconds.
ROUND_BUDGET_S = 0.05


@pytest.fixture(autouse=True)
def log_lines():
    """Keeps the log lines "tasks kept apart" and drops all others."""
    lines = []

    def keep(logger, method, event):
        if event["event"] == "tasks kept apart":
            lines.append(event)
        raise structlog.DropEvent

    structlog.configure(processors=[keep])
    yield lines
    structlog.reset_defaults()


# Placement.


def _candidate(number, *, used, images=NONE, accelerators=8):
    capacity = sites.WORKER_CAPACITY._replace(accelerators=accelerators)
    return placement.Candidate(
        worker_id=f"w{number}",
        rack="r",
        labels=frozenset({"r"}),
        room=capacity._replace(accelerators=accelerators - used),
        capacity=capacity,
        images=images)


def _request(tasks=1, accelerators=1, avoided=B):
    step = workload.Step(tasks=tasks,
                         demand=workload.Demand(1000, 1000, accelerators),
                         image="a")
    return placement.PlacementRequest(step=step,
                                      tasks=tasks,
                                      all_or_nothing=False,
                                      used_by_worker={},
                                      avoided_images=avoided)


def test_workers_with_a_disturbing_image_come_last():
    """Guards against tasks beside a known disturber where there is room."""
    candidates = [
        _candidate(0, used=7, images=B),
        _candidate(1, used=2, images=frozenset({"c"}))
    ]
    assert placement.pack(_request(), candidates) == ["w1"]
    assert placement.pack(_request(avoided=NONE), candidates) == ["w0"]


def test_no_worker_is_excluded():
    """Guards against work that waits beside room because of a score."""
    candidates = [_candidate(number, used=6, images=B) for number in range(3)]
    placed = placement.pack(_request(tasks=6), candidates)
    assert placed == ["w0", "w0", "w1", "w1", "w2", "w2"]


def test_last_whole_worker_is_not_broken_for_a_score():
    """Guards against large tasks that wait for a slow-down of others."""
    disturbing = _candidate(0, used=5, images=B)
    one_whole = [disturbing, _candidate(1, used=0)]
    assert placement.pack(_request(), one_whole) == ["w0"]
    assert placement.pack(_request(tasks=4), one_whole) == ["w0"] * 3 + ["w1"]
    two_whole = [*one_whole, _candidate(2, used=0)]
    assert placement.pack(_request(), two_whole) == ["w1"]


def test_task_that_needs_a_whole_worker_may_use_the_last_one():
    """Guards against large tasks beside a disturber with small demands."""
    candidates = [_candidate(0, used=0, images=B), _candidate(1, used=0)]
    assert placement.pack(_request(accelerators=8), candidates) == ["w1"]


# Whole rounds.


def _make_round(*, workers, running, waiting, known, guaranteed=False):
    """Returns a scheduler and its input: images in turn on each worker.

    Args:
        workers: Number of workers.
        running: Number of running tasks.
        waiting: Number of waiting jobs of one task.
        known: Whether the images disturb each other.
        guaranteed: Whether the waiting jobs are urgent and guaranteed.
    """
    disturbances = interference.InterferenceEstimator()
    if known:
        disturbances._known.add(("a", "b"))
        disturbances._index_partners(("a", "b"))
    scheduler = rounds.RoundScheduler(
        estimator=estimate.Estimator(),
        round_planner=planner.Planner(order=ordering.WorthDensityOrder()),
        bounds=limits.Limits(),
        disturbances=disturbances)
    fleet = fleets.Fleet()
    tracked_workers = []
    for number in range(workers):
        tracked = fleets.TrackedWorker(worker=ports.Worker(
            f"w{number:03}", "w:1", "service", "zone", f"r{number // 12}", NONE,
            sites.WORKER_CAPACITY, False, 0, 1))
        tracked.contacted = True
        fleet.tracked_workers[tracked.worker.worker_id] = tracked
        tracked_workers.append(tracked)
    jobs = {}

    def add_job(job_id, image, queue):
        step = workload.Step(tasks=1,
                             demand=sites.SMALL_DEMAND,
                             estimate_ms=5000,
                             image=image)
        jobs[job_id] = progress.Job(workload=intake.build_workload(
            queue, "team", job_id, "", (step,)),
                                    now_s=0.0,
                                    age_s=0.0)
        return jobs[job_id], step

    for number in range(running):
        image = "ab"[number % workers % 2]
        job, step = add_job(f"running{number}", image, sites.QUEUE)
        tracked = tracked_workers[number % workers]
        claim = progress.Claim(key=progress.TaskKey(job.job_id, 0, 0, 0),
                               run=1,
                               worker_id=tracked.worker.worker_id,
                               boot_ms=1,
                               phase=progress.Phase.RUNNING,
                               now_s=0.0,
                               demand=step.occupied,
                               image=image)
        job.get_step(0, 0).claims[0] = claim
        tracked.add_claim(claim)
    for number in range(waiting):
        add_job(f"waiting{number}", "ab"[number % 2],
                sites.URGENT_QUEUE if guaranteed else sites.QUEUE)
    return scheduler, rounds.RoundInput(
        now_s=1.0,
        wall_ms=0.0,
        jobs=jobs,
        fleet=fleet,
        configuration=configurations.Configuration(
            version=1,
            queues=(sites.QUEUE, sites.URGENT_QUEUE),
            teams={"team": configurations.Team("team", (), 10_000)},
            max_body_bytes=1),
        queues={
            queue.name: queue for queue in (sites.QUEUE, sites.URGENT_QUEUE)
        },
        quarantined=NONE)


def _find_shared(plan, inputs):
    """Returns the starts on workers that run the other image."""
    return [
        start for start in plan.starts for worker in start.workers
        if inputs.fleet.tracked_workers[worker].list_images() -
        {start.unit.step.image}
    ]


@pytest.mark.parametrize("guaranteed", [False, True])
def test_round_keeps_images_apart_and_starts_as_much(guaranteed):
    """Guards against a score that lets work wait, or has no effect."""
    starts = {}
    shared = {}
    for known in (False, True):
        scheduler, inputs = _make_round(workers=8,
                                        running=32,
                                        waiting=20,
                                        known=known,
                                        guaranteed=guaranteed)
        plan = scheduler.run(inputs)
        starts[known] = len(plan.starts)
        shared[known] = len(_find_shared(plan, inputs))
    assert starts == {False: 20, True: 20}
    assert shared[False] > 0
    assert shared[True] == 0


def test_what_a_round_starts_counts_for_the_units_after_it():
    """Guards against images that come together as they start at once."""
    scheduler, inputs = _make_round(workers=4, running=0, waiting=8, known=True)
    plan = scheduler.run(inputs)
    workers_by_image = {"a": set(), "b": set()}
    for start in plan.starts:
        workers_by_image[start.unit.step.image].update(start.workers)
    assert len(plan.starts) == 8
    assert not workers_by_image["a"] & workers_by_image["b"]


def test_round_of_a_large_fleet_stays_in_its_budget(monkeypatch):
    """Guards against a score whose cost grows with the running tasks.

    A round must not look at more workers than before, and must fit in the
    budget: 176 workers, 1,000 running tasks and 30 waiting ones.
    """
    calls = {}
    count_fitting = placement.count_fitting
    durations = []
    for known in (False, True):
        scheduler, inputs = _make_round(workers=176,
                                        running=1000,
                                        waiting=30,
                                        known=known)
        calls[known] = 0

        def count(demand, room, known=known):
            calls[known] += 1
            return count_fitting(demand, room)

        monkeypatch.setattr(placement, "count_fitting", count)
        assert len(scheduler.run(inputs).starts) == 30
        monkeypatch.setattr(placement, "count_fitting", count_fitting)
        if known:
            # Processor time, and the least of some, as other processes
            # use the machine too.
            for _ in range(5):
                began_s = time.process_time()
                scheduler.run(inputs)
                durations.append(time.process_time() - began_s)
    assert calls[True] == calls[False]
    assert min(durations) < ROUND_BUDGET_S


# The real dispatcher on the virtual site.


def _submit_pairs(site, seconds, *, prefix="", seed=1, **fields):
    """Submits jobs of three images at random times for some seconds.

    Four tasks fit on a worker; about a dozen run at a time.
    """
    rng = random.Random(seed)
    begin_s = site.clock.now_s
    number = 0
    while site.clock.now_s < begin_s + seconds:
        image = rng.choice("abc")
        site.submit(f"{prefix}{image}{number}",
                    run_s=rng.uniform(5.0, 9.0),
                    image=image,
                    demand=sites.SMALL_DEMAND._replace(accelerators=2),
                    **fields)
        number += 1
        site.run(rng.uniform(0.2, 0.8))


def _build_site(**options):
    site = sites.Site(worker_count=options.pop("worker_count", 6), **options)
    site.slowdowns = {"a": {"b": 2.0}, "b": {"a": 2.0}}
    site.run(2.0)
    return site


def _find_shared_starts(site, since_s):
    """Returns the starts beside a run of the other image."""
    images = {}
    shared = []
    for event in site.history:
        on_worker = images.setdefault(event.worker_id, {})
        if event.kind == "start":
            image = event.name.lstrip("xy")[0]
            if event.at_s >= since_s and {image, *on_worker.values()
                                         } >= {"a", "b"}:
                shared.append(event)
            on_worker[event.name] = image
        elif event.kind not in ("lapse", "noted"):
            on_worker.pop(event.name, None)
    return shared


def test_images_are_apart_within_some_runs_where_there_is_room(log_lines):
    """Guards against images that go on to share workers."""
    site = _build_site(worker_count=8)
    while not log_lines and site.count_events("done") < 200:
        _submit_pairs(site, 2.0, prefix="x" * int(site.clock.now_s))
    assert log_lines[0]["known"]
    # Three images run.
    assert site.count_events("done") <= 3 * MAX_RUNS_UNTIL_KNOWN
    known_s = site.clock.now_s
    _submit_pairs(site, 30.0, prefix="y")
    site.run(20.0)
    starts = [
        event for event in site.history
        if event.kind == "start" and event.at_s >= known_s
    ]
    # The runs that were side by side before end beside new ones.
    shared = _find_shared_starts(site, known_s + 10.0)
    assert len(starts) > 40
    assert len(shared) <= 0.05 * len(starts)
    assert not site.find_violations()


def test_images_are_together_where_there_is_no_room(log_lines):
    """Guards against work that waits for a worker without its disturber."""
    site = _build_site()
    while not log_lines:
        _submit_pairs(site, 2.0, prefix="x" * int(site.clock.now_s))
    # One "b" of long work on each worker, in the room that is left.
    site.submit("b-long",
                tasks=6,
                run_s=60.0,
                max_per_worker=1,
                image="b",
                demand=sites.SMALL_DEMAND)
    site.run(25.0)
    site.submit("a-last", tasks=30, run_s=4.0, image="a")
    site.run(2.0)
    assert site.count_events("start", "a-last.") == 30
    assert len(_find_shared_starts(site, site.clock.now_s - 2.0)) == 30


def test_new_leader_rebuilds_the_estimate(log_lines):
    """Guards against a takeover after which pairs stay unknown."""
    site = _build_site()
    while not log_lines:
        _submit_pairs(site, 2.0, prefix="x" * int(site.clock.now_s))
    leader = site.find_leader()
    through = next(name for name in site.nodes if name != leader.name)
    site.kill(leader.name)
    site.run(15.0)
    assert site.find_leader().name != leader.name
    lines = len(log_lines)
    _submit_pairs(site, 40.0, prefix="y", through=through)
    site.run(20.0)
    assert any(line["known"] for line in log_lines[lines:])
    assert not site.find_violations()


def test_slow_worker_on_the_site_is_no_pair(log_lines):
    """Guards against a slow worker, then a grey one, taken for a pair."""
    site = _build_site()
    site.slowdowns = {}
    site.worker_states["w00"].slowness = 1.3
    _submit_pairs(site, 30.0, prefix="x")
    for worker in ("w01", "w02", "w03"):
        site.worker_states[worker].slowness = 3.0
        _submit_pairs(site, 8.0, prefix=f"{worker}".replace("w", "x"))
        site.worker_states[worker].slowness = 1.0
    site.run(30.0)
    assert site.count_events("done") > 50
    assert not log_lines


def test_nothing_changes_without_images(monkeypatch):
    """Guards against decisions and costs where no step names an image."""

    def fail(*_, **__):
        raise AssertionError("called without images")

    pattern = load.PATTERNS["urgent-burst"]
    histories = []
    build_site = sites.Site

    def keep_site(**options):
        site = build_site(**options)
        histories.append(site.history)
        return site

    monkeypatch.setattr(sites, "Site", keep_site)
    load.simulate(pattern, 1, bounds=limits.Limits(keep_images_apart=False))
    for owner, name in ((placement, "_put_disturbing_last"),
                        (fleets.TrackedWorker, "list_images"),
                        (interference_monitor.InterferenceMonitor,
                         "_build_view"),
                        (interference_monitor.InterferenceMonitor,
                         "_find_step"), (interference.InterferenceEstimator,
                                         "add_sample"),
                        (interference.InterferenceEstimator,
                         "update"), (metrics.NullMetrics, "set_gauge")):
        if name != "set_gauge":
            monkeypatch.setattr(owner, name, fail)
    load.simulate(pattern, 1)
    assert histories[0] == histories[1]


def test_replayed_load_runs_faster_with_images_apart():
    """Guards against a score that costs more than it saves.

    Load pattern "disturbing-images": free room, and two images that double the
    run time of each other.
    """
    pattern = load.PATTERNS["disturbing-images"]
    results = {
        enabled: [
            load.simulate(pattern,
                          seed,
                          bounds=limits.Limits(keep_images_apart=enabled))
            for seed in range(1, 7)
        ] for enabled in (False, True)
    }

    def mean(enabled, queue):
        return statistics.mean(
            result.run_s[queue] for result in results[enabled])

    for queue in ("detect", "index"):
        assert mean(True, queue) < 0.95 * mean(False, queue)
    # Urgent gangs, some of which need whole workers, lose nothing.
    assert statistics.mean(
        result.kinds["render"] for result in results[True]) > statistics.mean(
            result.kinds["render"] for result in results[False]) - 0.01
    assert statistics.mean(
        result.worth for result in results[True]) > statistics.mean(
            result.worth for result in results[False])
