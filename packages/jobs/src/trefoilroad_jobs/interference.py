"""Estimates which images slow each other down on one worker.

Load pattern: tasks of a few images share workers, and some of them contend
for memory bandwidth or the like. Worker speeds, declared run times and the
distance to the data vary by more than the effect that is looked for, so a run
is compared with itself. See docs/design/interference.md.

Uses no clock: the result depends only on the samples and the times given.
"""

from collections.abc import Hashable
from collections.abc import Iterable
import math
from typing import Any
from typing import NamedTuple

# An objective is 1.5 to 3 times a job's chain of work. A slow-down above the
# first factor takes half of what the tightest one leaves; below the second one
# it takes less than a fifth, and the pair is released.
DISTURBING_SLOWDOWN = 1.25
HARMLESS_SLOWDOWN = 1.1
# Percent that the run would have gained undisturbed in each of the compared
# times. Percents are whole numbers: five of them are known to about a tenth.
MIN_EXPECTED_PERCENT = 5.0
# One contrast counts for no more than this: a task may hang for some seconds.
MAX_CONTRAST = math.log(4.0)
# Half-life of the evidence.
HALF_LIFE_S = 60.0
# Evidence needed for a pair, below which it is forgotten, and kept at most, as
# a number of comparisons within a run. From the most to the least it lasts four
# half-lives.
MIN_WEIGHT = 4.0
FORGOTTEN_WEIGHT = 1.0
MAX_WEIGHT = 16.0
# Evidence that must remain without the worker that shows the largest effect.
MIN_WEIGHT_ELSEWHERE = 1.0
# Weight of a comparison between runs. The declared run times are wrong by up to
# a factor of two (standard deviation of the logarithm 0.4), a comparison within
# a run by a fifth.
BETWEEN_RUNS_WEIGHT = 0.25
# Smallest standard deviation of a contrast, so that a few equal ones do not
# look certain.
MIN_DEVIATION = 0.15
# Jobs of an image without the other one that a comparison between runs needs.
MIN_REFERENCE_WEIGHT = 2.0
# Number of jobs at which the mean ratio of a worker counts half.
WORKER_PRIOR_WEIGHT = 2.0
# Share of a run's time that must have been observed, and beside the other
# image, for a comparison between runs.
MIN_OBSERVED_SHARE = 0.5
MIN_BESIDE_SHARE = 0.5
# Bounds of the state; the longest unused entries are dropped.
MAX_IMAGES = 64
MAX_PAIRS = 512
MAX_WORKERS_OF_PAIR = 16
MAX_IMAGES_OF_RUN = 16
MAX_WORKERS = 1_024
MAX_RUNS = 4_096

PairKey = tuple[str, str]
"""Image, and the other image that is beside it."""


class Sample(NamedTuple):
    """Progress of a run between two reports.

    Attributes:
        run: Identifies the run.
        worker_id: Worker of the run.
        image: Image of the run.
        beside: Other images that were on the worker all the time.
        passing: Other images that may have been there for a part of the time.
        gained: Percent gained.
        seconds: Time between the reports.
    """

    run: Hashable
    worker_id: str
    image: str
    beside: frozenset[str]
    passing: frozenset[str]
    gained: int
    seconds: float


class CompletedRun(NamedTuple):
    """A run that has been done from its start to its end.

    Attributes:
        run: Identifies the run.
        worker_id: Worker of the run.
        image: Image of the run.
        declared_s: Declared run time.
        seconds: Actual run time.
        tasks: Number of tasks of the step, which share the declaration.
    """

    run: Hashable
    worker_id: str
    image: str
    declared_s: float
    seconds: float
    tasks: int


class Change(NamedTuple):
    """A pair that has become known or has been released.

    Attributes:
        image: Image that is slowed down.
        other: Image that slows it down.
        known: Whether the pair is known now.
        slowdown: Estimated factor of the run time.
        samples: Number of comparisons since the pair was first seen.
        workers: Number of workers that the evidence is from.
    """

    image: str
    other: str
    known: bool
    slowdown: float
    samples: int
    workers: int


class _Evidence:
    """Decaying weighted sums of a value."""

    __slots__ = ("at_s", "squares", "total", "weight")

    def __init__(self, *, now_s: float):
        self.weight = 0.0
        self.total = 0.0
        self.squares = 0.0
        self.at_s = now_s

    def decay(self, now_s: float) -> None:
        """Reduces the weight by the time since the last call."""
        if now_s > self.at_s:
            self.scale(0.5**((now_s - self.at_s) / HALF_LIFE_S))
            self.at_s = now_s

    def scale(self, factor: float) -> None:
        """Multiplies the weight; the mean stays the same."""
        self.weight *= factor
        self.total *= factor
        self.squares *= factor

    def add(self, value: float, weight: float, now_s: float) -> None:
        """Adds a value."""
        self.decay(now_s)
        self.weight += weight
        self.total += weight * value
        self.squares += weight * value * value


class _Pace:
    """Percent gained and the time that it took."""

    __slots__ = ("gained", "seconds")

    def __init__(self, *, gained: int = 0, seconds: float = 0.0):
        self.gained = gained
        self.seconds = seconds

    def add(self, sample: Sample) -> None:
        """Adds a sample."""
        self.gained += sample.gained
        self.seconds += sample.seconds


class _Run:
    """What has been observed of a run.

    Attributes:
        whole: Its pace over all samples.
        paces: Its pace with and without another image, by that image.
        beside_s: For how long another image was beside it, by that image.
    """

    __slots__ = ("beside_s", "paces", "whole")

    def __init__(self) -> None:
        self.whole = _Pace()
        self.paces: dict[str, tuple[_Pace, _Pace]] = {}
        self.beside_s: dict[str, float] = {}

    def add(self, sample: Sample) -> None:
        """Adds a sample to the paces with and without each image seen."""
        for other in sample.beside | sample.passing:
            if other not in self.paces and len(self.paces) < MAX_IMAGES_OF_RUN:
                # All earlier samples are without it.
                self.paces[other] = (_Pace(),
                                     _Pace(gained=self.whole.gained,
                                           seconds=self.whole.seconds))
        for other, (pace_with, pace_without) in self.paces.items():
            if other in sample.beside:
                pace_with.add(sample)
                self.beside_s[other] = (self.beside_s.get(other, 0.0) +
                                        sample.seconds)
            elif other not in sample.passing:
                pace_without.add(sample)
        self.whole.add(sample)

    def find_contrast(self, other: str) -> float | None:
        """Returns the logarithm of the slow-down beside an image, if known.

        Whether there is one depends on times and on the pace without the other
        image only, not on the pace beside it.
        """
        pace_with, pace_without = self.paces[other]
        if pace_without.gained < MIN_EXPECTED_PERCENT:
            return None
        rate = pace_without.gained / pace_without.seconds
        expected = rate * pace_with.seconds
        if expected < MIN_EXPECTED_PERCENT:
            return None
        # Half a percent stands for what a whole number does not show.
        contrast = math.log(expected / max(0.5, pace_with.gained))
        return max(-MAX_CONTRAST, min(MAX_CONTRAST, contrast))

    def restart(self, other: str) -> None:
        """Begins a new comparison, so that no sample counts twice."""
        self.paces[other] = (_Pace(), _Pace())


class _Pair:
    """Evidence on a pair.

    Attributes:
        by_worker: Logarithms of slow-downs by worker.
        beside: Ratios of ended runs of the image beside the other one.
        samples: Number of comparisons.
        known: Whether the pair counts as disturbing.
    """

    __slots__ = ("beside", "by_worker", "known", "samples")

    def __init__(self, *, now_s: float):
        self.by_worker: dict[str, _Evidence] = {}
        self.beside = _Evidence(now_s=now_s)
        self.samples = 0
        self.known = False

    def add(self, worker_id: str, contrast: float, weight: float,
            now_s: float) -> None:
        """Adds a comparison."""
        self.samples += 1
        self._decay(now_s)
        evidence = self.by_worker.pop(worker_id, None)
        if evidence is None:
            evidence = _Evidence(now_s=now_s)
        self.by_worker[worker_id] = evidence
        _drop_oldest(self.by_worker, MAX_WORKERS_OF_PAIR)
        evidence.add(contrast, weight, now_s)
        total = self._sum_weights()
        if total > MAX_WEIGHT:
            for evidence in self.by_worker.values():
                evidence.scale(MAX_WEIGHT / total)

    def judge(self, now_s: float) -> bool:
        """Decides anew whether the pair counts as disturbing."""
        self._decay(now_s)
        weight = self._sum_weights()
        if self.known:
            is_refuted = (weight >= MIN_WEIGHT and
                          self.compute_mean() <= math.log(HARMLESS_SLOWDOWN))
            self.known = weight >= FORGOTTEN_WEIGHT and not is_refuted
        elif weight >= MIN_WEIGHT:
            self.known = self._is_disturbing(weight)
        return self.known

    def compute_mean(self) -> float:
        """Returns the mean logarithm of the slow-down."""
        weight = self._sum_weights()
        if not weight:
            return 0.0
        return sum(entry.total for entry in self.by_worker.values()) / weight

    def _is_disturbing(self, weight: float) -> bool:
        threshold = math.log(DISTURBING_SLOWDOWN)
        mean = self.compute_mean()
        squares = sum(entry.squares for entry in self.by_worker.values())
        deviation = max(MIN_DEVIATION,
                        math.sqrt(max(0.0, squares / weight - mean * mean)))
        if mean - deviation / math.sqrt(weight) < threshold:
            return False
        # A single worker, which may be slow for a while, must not decide.
        total = mean * weight
        for entry in self.by_worker.values():
            elsewhere = weight - entry.weight
            if (elsewhere < MIN_WEIGHT_ELSEWHERE or
                    total - entry.total < threshold * elsewhere):
                return False
        return True

    def _sum_weights(self) -> float:
        return sum(entry.weight for entry in self.by_worker.values())

    def _decay(self, now_s: float) -> None:
        for entry in self.by_worker.values():
            entry.decay(now_s)


class InterferenceEstimator:
    """Estimates for each pair of images by how much one slows the other."""

    def __init__(self) -> None:
        self._runs: dict[Hashable, _Run] = {}
        self._pairs: dict[PairKey, _Pair] = {}
        self._images: dict[str, _Evidence] = {}
        self._workers: dict[str, _Evidence] = {}
        self._partners: dict[str, frozenset[str]] = {}
        self._known: set[PairKey] = set()
        self._changes: list[Change] = []

    @property
    def has_pairs(self) -> bool:
        """Whether any pair is known."""
        return bool(self._known)

    def count_pairs(self) -> int:
        """Returns the number of known pairs."""
        return len(self._known)

    def find_partners(self, image: str) -> frozenset[str]:
        """Returns the images that disturb an image or are disturbed by it."""
        return self._partners.get(image, frozenset())

    def pop_changes(self) -> list[Change]:
        """Returns the changes of known pairs since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def add_sample(self, sample: Sample, now_s: float) -> None:
        """Adds the progress of a run between two reports."""
        run = self._runs.pop(sample.run, None)
        if run is None:
            run = _Run()
        self._runs[sample.run] = run
        _drop_oldest(self._runs, MAX_RUNS)
        run.add(sample)
        for other in run.paces:
            contrast = run.find_contrast(other)
            if contrast is not None:
                run.restart(other)
                self._add_contrast((sample.image, other), sample.worker_id,
                                   contrast, 1.0, now_s)

    def add_completed_run(self, completed: CompletedRun, now_s: float) -> None:
        """Compares a completed run with others of its image, and drops it."""
        run = self._runs.get(completed.run)
        self.drop_run(completed.run)
        if (run is None or completed.declared_s <= 0.0 or
                run.whole.seconds < MIN_OBSERVED_SHARE * completed.seconds):
            return
        ratio = math.log(completed.declared_s / completed.seconds)
        weight = 1.0 / completed.tasks
        adjusted = ratio - self._compute_worker_ratio(completed.worker_id,
                                                      now_s)
        for other, beside_s in run.beside_s.items():
            if beside_s >= MIN_BESIDE_SHARE * run.whole.seconds:
                self._compare_runs(completed, other, adjusted, weight, now_s)
        image = self._find_image(completed.image, now_s)
        if image.weight:
            _add_evidence(self._workers, completed.worker_id,
                          ratio - image.total / image.weight, weight, now_s,
                          MAX_WORKERS)
        image.add(adjusted, weight, now_s)

    def drop_run(self, run: Hashable) -> None:
        """Drops what is known of a run that has ended."""
        self._runs.pop(run, None)

    def update(self, now_s: float) -> None:
        """Releases the pairs whose evidence has become too old."""
        for key in list(self._known):
            self._judge(key, now_s)

    def _compare_runs(self, completed: CompletedRun, other: str,
                      adjusted: float, weight: float, now_s: float) -> None:
        """Compares a run beside an image with the runs that were not."""
        key = completed.image, other
        beside = self._find_pair(key, now_s).beside
        beside.decay(now_s)
        image = self._find_image(completed.image, now_s)
        without = image.weight - beside.weight
        if without >= MIN_REFERENCE_WEIGHT:
            contrast = (image.total - beside.total) / without - adjusted
            self._add_contrast(key, completed.worker_id,
                               max(-MAX_CONTRAST, min(MAX_CONTRAST, contrast)),
                               BETWEEN_RUNS_WEIGHT * weight, now_s)
        beside.add(adjusted, weight, now_s)

    def _compute_worker_ratio(self, worker_id: str, now_s: float) -> float:
        """Returns the mean ratio of a worker to the images' means."""
        evidence = self._workers.get(worker_id)
        if evidence is None:
            return 0.0
        evidence.decay(now_s)
        return evidence.total / (evidence.weight + WORKER_PRIOR_WEIGHT)

    def _find_image(self, image: str, now_s: float) -> _Evidence:
        evidence = self._images.pop(image, None)
        if evidence is None:
            evidence = _Evidence(now_s=now_s)
        self._images[image] = evidence
        _drop_oldest(self._images, MAX_IMAGES)
        evidence.decay(now_s)
        return evidence

    def _find_pair(self, key: PairKey, now_s: float) -> _Pair:
        pair = self._pairs.pop(key, None)
        if pair is None:
            pair = _Pair(now_s=now_s)
        self._pairs[key] = pair
        for dropped in _drop_oldest(self._pairs, MAX_PAIRS):
            if dropped in self._known:
                self._release(dropped, 1.0, 0, 0)
        return pair

    def _add_contrast(self, key: PairKey, worker_id: str, contrast: float,
                      weight: float, now_s: float) -> None:
        self._find_pair(key, now_s).add(worker_id, contrast, weight, now_s)
        self._judge(key, now_s)

    def _judge(self, key: PairKey, now_s: float) -> None:
        pair = self._pairs[key]
        slowdown = math.exp(pair.compute_mean())
        workers = len(pair.by_worker)
        if pair.judge(now_s) == (key in self._known):
            return
        if pair.known:
            self._known.add(key)
            self._changes.append(
                Change(*key, True, slowdown, pair.samples, workers))
            self._index_partners(key)
        else:
            self._release(key, slowdown, pair.samples, workers)

    def _release(self, key: PairKey, slowdown: float, samples: int,
                 workers: int) -> None:
        self._known.discard(key)
        self._changes.append(Change(*key, False, slowdown, samples, workers))
        self._index_partners(key)

    def _index_partners(self, images: Iterable[str]) -> None:
        """Collects the partners of images whose pairs have changed."""
        for image in images:
            partners = frozenset(other for pair in self._known if image in pair
                                 for other in pair if other != image)
            if partners:
                self._partners[image] = partners
            else:
                self._partners.pop(image, None)


def _add_evidence(entries: dict[str, _Evidence], key: str, value: float,
                  weight: float, now_s: float, limit: int) -> None:
    """Adds a value to the entry of a key, which becomes the newest one."""
    evidence = entries.pop(key, None)
    if evidence is None:
        evidence = _Evidence(now_s=now_s)
    entries[key] = evidence
    _drop_oldest(entries, limit)
    evidence.add(value, weight, now_s)


def _drop_oldest(entries: dict[Any, Any], limit: int) -> list[Any]:
    """Drops the first entries beyond a limit and returns their keys."""
    dropped = []
    while len(entries) > limit:
        key = next(iter(entries))
        del entries[key]
        dropped.append(key)
    return dropped
