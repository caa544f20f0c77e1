"""Tests of the estimate of images that slow each other down."""

import itertools
import math
import random

import pytest

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import intake
from trefoilroad_jobs import interference
from trefoilroad_jobs import interference_monitor
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_node import metrics
from trefoilroad_standins.jobs import site as sites

NONE = frozenset()
B = frozenset({"b"})
# Completed runs of each image after which a pair with an effect of 2 is known.
MAX_RUNS_UNTIL_KNOWN = 30


class _Player:
    """Feeds runs to an estimator as the reports of workers show them."""

    def __init__(self, *, seed=1):
        self.estimator = interference.InterferenceEstimator()
        self.now_s = 0.0
        self._numbers = itertools.count()
        self._rng = random.Random(seed)

    def play(self,
             worker_id,
             phases,
             *,
             image="a",
             run_s=10.0,
             declared=1.0,
             slowness=1.0,
             slowdown=1.0,
             tasks=1):
        """Plays one run to its end.

        Args:
            worker_id: Worker of the run.
            phases: Images beside it and for how many seconds each; the last
                phase lasts to the end.
            image: Image of the run.
            run_s: Undisturbed time of the run.
            declared: Declared by actual undisturbed run time.
            slowness: Factor of all run times on the worker; a function of
                the images beside it for a worker that is slow at times.
            slowdown: Factor while the image "b" is beside it.
            tasks: Number of tasks of the step.
        """
        run = next(self._numbers)
        percent, reported, elapsed_s = 0.0, 0, 0.0
        phases = list(phases)
        beside, left_s = phases.pop(0)
        while percent < 100.0:
            seconds = self._rng.uniform(0.7, 2.0)
            if phases and left_s <= seconds:
                seconds = left_s
            factor = slowness(beside) if callable(slowness) else slowness
            if "b" in beside:
                factor *= slowdown
            seconds = min(seconds, (100.0 - percent) / 100 * run_s * factor)
            percent += 100.0 * seconds / run_s / factor
            elapsed_s += seconds
            left_s -= seconds
            self.now_s += seconds / 10
            if reported and percent < 100.0 - 1e-9:
                self.estimator.add_sample(
                    interference.Sample(run, worker_id, image, beside, NONE,
                                        int(percent) - reported, seconds),
                    self.now_s)
            elif percent >= 100.0 - 1e-9:
                percent = 100.0
            reported = max(1, int(percent))
            if phases and left_s <= 0.0:
                beside, left_s = phases.pop(0)
        self.estimator.add_completed_run(
            interference.CompletedRun(run, worker_id, image, run_s * declared,
                                      elapsed_s, tasks), self.now_s)

    def draw_declared(self):
        """Draws the error of a declaration: up to a factor of two."""
        return math.exp(self._rng.uniform(-1, 1) * math.log(2))

    def draw_phases(self):
        """Draws phases with and without "b" beside the run, in any order."""
        phases = [(B, self._rng.uniform(3, 6)), (NONE, 4.0)]
        self._rng.shuffle(phases)
        return phases

    def choose(self, options):
        """Returns one of the options."""
        return self._rng.choice(options)


# The estimate.


@pytest.mark.parametrize("seed", range(10))
def test_pair_is_known_after_few_runs_despite_noise(seed):
    """Guards against pairs that are learnt too late to be of use.

    Worker speeds differ by 1.3, declared run times by two.
    """
    player = _Player(seed=seed)
    runs = 0
    while not player.estimator.has_pairs and runs < MAX_RUNS_UNTIL_KNOWN:
        runs += 1
        worker = player.choose(["w0", "w1", "w2"])
        player.play(worker,
                    player.draw_phases(),
                    declared=player.draw_declared(),
                    slowness={
                        "w0": 1.0,
                        "w1": 1.15,
                        "w2": 1.3
                    }[worker],
                    slowdown=2.0)
    assert player.estimator.find_partners("a") == {"b"}
    assert player.estimator.find_partners("b") == {"a"}
    change, = player.estimator.pop_changes()
    assert (change.image, change.other, change.known) == ("a", "b", True)
    assert 1.5 < change.slowdown < 2.7
    assert change.workers >= 2


@pytest.mark.parametrize("seed", range(10))
def test_pair_of_runs_that_never_part_is_known(seed):
    """Guards against blindness for tasks that begin and end side by side."""
    player = _Player(seed=seed)
    for number in range(200):
        player.play(f"w{number % 4}", [(player.choose([B, NONE]), 0.0)],
                    declared=player.draw_declared(),
                    slowdown=2.5)
    assert player.estimator.find_partners("a") == {"b"}


@pytest.mark.parametrize("seed", range(10))
def test_weak_effect_is_no_pair(seed):
    """Guards against pairs whose effect no objective notices."""
    player = _Player(seed=seed)
    for number in range(100):
        player.play(f"w{number % 4}",
                    player.draw_phases(),
                    declared=player.draw_declared(),
                    slowdown=1.05)
    assert not player.estimator.pop_changes()


@pytest.mark.parametrize("seed", range(10))
def test_wrong_declarations_are_no_pair(seed):
    """Guards against pairs out of declarations that are wrong by two.

    All tasks of a step share the declaration, and may all run beside "b".
    """
    player = _Player(seed=seed)
    for _ in range(40):
        declared = player.draw_declared()
        beside = player.choose([B, NONE])
        for number in range(12):
            player.play(f"w{number % 4}", [(beside, 0.0)],
                        declared=declared,
                        tasks=12)
    assert not player.estimator.pop_changes()


@pytest.mark.parametrize("seed", range(10))
def test_slow_workers_are_no_pair(seed):
    """Guards against slow workers that are taken for a pair.

    "b" runs on the slow workers only, so that all evidence from elsewhere is
    without it.
    """
    player = _Player(seed=seed)
    for number in range(300):
        worker = f"w{number % 4}"
        is_slow = worker in ("w0", "w1")
        image = player.choose(["a", "a", "c"])
        beside = B if is_slow and image == "a" else NONE
        player.play(worker, [(beside, 0.0)],
                    image=image,
                    slowness=2.0 if is_slow else 1.0)
    assert not player.estimator.pop_changes()


@pytest.mark.parametrize("seed", range(10))
def test_grey_spells_of_a_worker_are_no_pair(seed):
    """Guards against a worker that is slow for a while.

    By chance it always is while "b" is there.
    """
    player = _Player(seed=seed)
    for number in range(60):
        worker = f"w{number % 3}"
        player.play(worker,
                    player.draw_phases(),
                    slowness=lambda beside, worker=worker: 3.0
                    if worker == "w0" and beside else 1.0)
    assert not player.estimator.pop_changes()


def test_changing_load_brings_no_flapping():
    """Guards against pairs that come and go with a load of seconds."""
    player = _Player()
    for number in range(400):
        # Every eight runs, that is every 8 to 16 s, the effect is gone or back.
        player.play(f"w{number % 3}",
                    player.draw_phases(),
                    slowdown=1.0 if number // 8 % 2 else 2.2)
    assert player.now_s > 300.0
    assert len(player.estimator.pop_changes()) <= 2


def test_effect_that_ends_releases_the_pair():
    """Guards against pairs that stay apart though runs show no effect."""
    player = _Player()
    for number in range(30):
        player.play(f"w{number % 3}", player.draw_phases(), slowdown=2.0)
    for number in range(60):
        player.play(f"w{number % 3}", player.draw_phases())
    assert [change.known for change in player.estimator.pop_changes()
           ] == [True, False]
    assert not player.estimator.has_pairs
    assert not player.estimator.find_partners("b")


def test_pair_without_new_evidence_is_forgotten_in_minutes():
    """Guards against pairs that are kept apart for ever, or for seconds.

    Tasks that are apart give no evidence.
    """
    player = _Player()
    while not player.estimator.has_pairs:
        player.play(player.choose(["w0", "w1"]),
                    player.draw_phases(),
                    slowdown=2.0)
    player.estimator.update(player.now_s + 60.0)
    assert player.estimator.has_pairs
    player.estimator.update(player.now_s + 241.0)
    assert [change.known for change in player.estimator.pop_changes()
           ] == [True, False]


def test_state_is_bounded():
    """Guards against callers whose image names never end."""
    estimator = interference.InterferenceEstimator()
    for number in range(3000):
        image = f"i{number}"
        beside = frozenset(f"i{number - other}" for other in range(1, 41))
        for gained, others in ((20, NONE), (5, beside)):
            estimator.add_sample(
                interference.Sample(number, f"w{number}", image, others, NONE,
                                    gained, 2.0),
                float(number) / 1000)
        if number % 2:
            estimator.add_completed_run(
                interference.CompletedRun(number, f"w{number}", image, 5.0, 5.0,
                                          1),
                float(number) / 1000)
    for run in range(5000, 10_000):
        estimator.add_sample(
            interference.Sample(run, "w", "a", NONE, NONE, 1, 1.0), 3.0)
    assert len(estimator._images) <= interference.MAX_IMAGES
    assert len(estimator._pairs) <= interference.MAX_PAIRS
    assert len(estimator._runs) <= interference.MAX_RUNS
    assert len(estimator._workers) <= interference.MAX_WORKERS
    assert all(
        len(run.paces) <= interference.MAX_IMAGES_OF_RUN
        for run in estimator._runs.values())


def test_dropped_pair_is_released(monkeypatch):
    """Guards against workers that are avoided for a pair that is gone."""
    monkeypatch.setattr(interference, "MAX_PAIRS", 8)
    player = _Player()
    while not player.estimator.has_pairs:
        player.play(player.choose(["w0", "w1"]),
                    player.draw_phases(),
                    slowdown=2.0)
    for number in range(8):
        player.play("w0", [(frozenset({f"i{number}"}), 0.0)])
    assert not player.estimator.has_pairs
    assert not player.estimator.find_partners("a")


# From reports to samples.


class _Bench:
    """A monitor with one worker and runs that the test sets."""

    def __init__(self, monkeypatch):
        self.samples = []
        estimator = interference.InterferenceEstimator()
        monkeypatch.setattr(estimator, "add_sample",
                            lambda sample, now_s: self.samples.append(sample))
        self.jobs = {}
        self.fleet = fleets.Fleet()
        self.monitor = interference_monitor.InterferenceMonitor(
            estimator=estimator,
            fleet=self.fleet,
            metrics=metrics.NullMetrics(),
            find_job=self.jobs.get,
            enabled=True)
        self.tracked = fleets.TrackedWorker(
            worker=ports.Worker("w", "w:1", "service", "zone", "r", NONE,
                                sites.WORKER_CAPACITY, False, 0, 1))
        self.fleet.tracked_workers["w"] = self.tracked

    def add(self, job_id, image, percent=10, **fields):
        """Adds a running task and returns its claim."""
        step = workload.Step(tasks=1,
                             demand=sites.SMALL_DEMAND,
                             estimate_ms=10_000,
                             image=image,
                             **fields)
        job = intake.build_workload(sites.QUEUE, "team", job_id, "", (step,))
        self.jobs[job_id] = progress.Job(workload=job, now_s=0.0, age_s=0.0)
        self.monitor.record_job(job)
        claim = progress.Claim(key=progress.TaskKey(job_id, 0, 0, 0),
                               run=1,
                               worker_id="w",
                               boot_ms=1,
                               phase=progress.Phase.RUNNING,
                               now_s=0.0,
                               demand=step.occupied,
                               image=image)
        claim.percent = percent
        self.tracked.add_claim(claim)
        return claim

    def remove(self, claim, now_s):
        """Ends a run."""
        self.tracked.remove_claim(claim)
        self.monitor.record_end(claim, ports.EndState.DONE, now_s)


def test_samples_name_what_was_beside_all_the_time(monkeypatch):
    """Guards against time that counts for an image that was not there."""
    bench = _Bench(monkeypatch)
    one = bench.add("one", "a")
    two = bench.add("two", "b", percent=0)
    bench.monitor.observe(bench.tracked, 1.0)
    one.percent = 20
    three = bench.add("three", "c", percent=0)
    bench.monitor.observe(bench.tracked, 2.0)
    one.percent = 30
    bench.remove(two, 2.5)
    bench.remove(three, 3.0)
    bench.monitor.observe(bench.tracked, 3.0)
    one.percent = 45
    bench.monitor.observe(bench.tracked, 4.0)
    shown = [(sample.image, sample.beside, sample.passing, sample.gained)
             for sample in bench.samples]
    c = frozenset({"c"})
    assert shown == [("a", B, c, 10), ("a", c, B, 10), ("a", NONE, NONE, 15)]


@pytest.mark.parametrize("fields", [{"gang": True}, {"long_running": True}])
def test_tasks_whose_pace_says_nothing_are_not_judged(monkeypatch, fields):
    """Guards against gang members, which wait for each other, as evidence."""
    bench = _Bench(monkeypatch)
    one = bench.add("one", "a", **fields)
    bench.add("two", "b", percent=0)
    for now_s in range(1, 4):
        one.percent += 10
        bench.monitor.observe(bench.tracked, float(now_s))
    assert not bench.samples


@pytest.mark.parametrize(("before", "after"), [(0, 10), (90, 100), (0, 0),
                                               (100, 100), (40, 20)])
def test_bounds_of_progress_are_no_evidence(monkeypatch, before, after):
    """Guards against tasks that begin or that wait for others as evidence."""
    bench = _Bench(monkeypatch)
    one = bench.add("one", "a", percent=before)
    bench.monitor.observe(bench.tracked, 1.0)
    one.percent = after
    bench.monitor.observe(bench.tracked, 2.0)
    assert not bench.samples
