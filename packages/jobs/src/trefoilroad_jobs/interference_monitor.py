"""Observes the runs of images side by side, and reports what disturbs what.

Turns the reports of workers into samples for the estimate. A leader whose jobs
name no image does nothing here.
"""

from collections.abc import Callable
from typing import NamedTuple

import structlog

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import interference
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import units
from trefoilroad_jobs import workload
from trefoilroad_node import metrics as sinks

# A run whose end a report lists was there until the report: workers report an
# end at once, or after the leader has recorded the end before.
END_REPORT_DELAY_S = 0.2
DONE_PERCENT = 100

PAIRS_GAUGE = "interference.pairs"
PLACEMENTS_COUNTER = "interference.placements"
SHARED_COUNTER = "interference.shared_placements"

RunId = tuple[progress.TaskKey, int]

_log = structlog.get_logger()


class _View(NamedTuple):
    """What a report showed of a worker.

    Attributes:
        at_s: Time of the report.
        running: Images of the runs that were running.
        uncertain: Images of the runs that may have been running.
        percents: Progress of the runs that are judged.
        ended: Images of the runs that have ended since, and when.
    """

    at_s: float
    running: frozenset[str]
    uncertain: frozenset[str]
    percents: dict[RunId, int]
    ended: dict[str, float]


class InterferenceMonitor:
    """Feeds the estimate of a leader, and logs and counts its effect."""

    def __init__(self, *, estimator: interference.InterferenceEstimator,
                 fleet: fleets.Fleet, metrics: sinks.Metrics,
                 find_job: Callable[[str], progress.Job | None], enabled: bool):
        """Creates a monitor that has seen no image.

        Args:
            estimator: Estimate to feed.
            fleet: Known workers and their claims.
            metrics: Sink of metrics.
            find_job: Finds a job by id.
            enabled: Whether images are kept apart at all.
        """
        self._estimator = estimator
        self._fleet = fleet
        self._metrics = metrics
        self._find_job = find_job
        self._enabled = enabled
        self._active = False
        self._views: dict[str, _View] = {}

    def record_job(self, job_workload: workload.Workload) -> None:
        """Begins to observe once a job names an image."""
        if self._enabled and not self._active:
            self._active = any(step.image for step in job_workload.steps)

    def observe(self, tracked: fleets.TrackedWorker, now_s: float) -> None:
        """Processes the progress that a report of a worker has shown."""
        if not self._active:
            return
        worker_id = tracked.worker.worker_id
        previous = self._views.get(worker_id)
        view = self._build_view(tracked, now_s)
        self._views[worker_id] = view
        if previous is not None and now_s > previous.at_s:
            self._add_samples(tracked, previous, view)

    def record_end(self, claim: progress.Claim,
                   end_state: ports.EndState | None, now_s: float) -> None:
        """Processes the end of a run."""
        if not self._active or not claim.image:
            return
        view = self._views.get(claim.worker_id)
        if view is not None:
            view.ended[claim.image] = now_s
        run = claim.key, claim.run
        step = self._find_step(claim)
        if (end_state is not ports.EndState.DONE or step is None or
                not self._is_comparable(claim, step)):
            self._estimator.drop_run(run)
            return
        self._estimator.add_completed_run(
            interference.CompletedRun(run=run,
                                      worker_id=claim.worker_id,
                                      image=claim.image,
                                      declared_s=step.estimate_ms / 1000.0,
                                      seconds=max(0.001,
                                                  now_s - claim.started_s),
                                      tasks=step.tasks), now_s)

    def record_start(self, start: units.Start) -> None:
        """Counts placed tasks whose image is in a known pair."""
        avoided = start.unit.avoided_images
        if not avoided:
            return
        shared = 0
        for worker_id in start.workers:
            claims = self._fleet.tracked_workers[worker_id].claims.values()
            shared += any(claim.image in avoided for claim in claims)
        if shared:
            self._metrics.count(SHARED_COUNTER, shared)
        if shared < len(start.workers):
            self._metrics.count(PLACEMENTS_COUNTER, len(start.workers) - shared)

    def check(self, now_s: float) -> None:
        """Releases old pairs, logs changes and sets the gauge."""
        if not self._active:
            return
        self._estimator.update(now_s)
        for change in self._estimator.pop_changes():
            _log.info("tasks kept apart",
                      image=change.image,
                      other=change.other,
                      known=change.known,
                      slowdown=round(change.slowdown, 2),
                      samples=change.samples,
                      workers=change.workers)
        self._metrics.set_gauge(PAIRS_GAUGE, self._estimator.count_pairs())
        gone = [
            worker_id for worker_id in self._views
            if worker_id not in self._fleet.tracked_workers
        ]
        for worker_id in gone:
            del self._views[worker_id]

    def close(self) -> None:
        """Sets the gauge to zero, as the node does not lead any more."""
        if self._active:
            self._metrics.set_gauge(PAIRS_GAUGE, 0)

    def _build_view(self, tracked: fleets.TrackedWorker, now_s: float) -> _View:
        running = set()
        uncertain = set()
        percents: dict[RunId, int] = {}
        for claim in tracked.claims.values():
            if not claim.image:
                continue
            if claim.phase is not progress.Phase.RUNNING:
                uncertain.add(claim.image)
                continue
            running.add(claim.image)
            # A task that begins or that waits for others shows no pace.
            if 0 < claim.percent < DONE_PERCENT:
                percents[claim.key, claim.run] = claim.percent
        return _View(now_s, frozenset(running), frozenset(uncertain), percents,
                     {})

    def _add_samples(self, tracked: fleets.TrackedWorker, previous: _View,
                     view: _View) -> None:
        ended_now = frozenset(image for image, at_s in previous.ended.items()
                              if view.at_s - at_s <= END_REPORT_DELAY_S)
        beside = previous.running & (view.running | ended_now)
        passing = (previous.running | previous.uncertain | view.running |
                   view.uncertain | previous.ended.keys()) - beside
        for run, percent in view.percents.items():
            before = previous.percents.get(run)
            claim = tracked.claims[run[0]]
            if before is None or percent < before:
                continue
            step = self._find_step(claim)
            if step is None or step.gang or step.long_running:
                continue
            own = {claim.image}
            self._estimator.add_sample(
                interference.Sample(run=run,
                                    worker_id=tracked.worker.worker_id,
                                    image=claim.image,
                                    beside=beside - own,
                                    passing=passing - own,
                                    gained=percent - before,
                                    seconds=view.at_s - previous.at_s),
                view.at_s)

    def _find_step(self, claim: progress.Claim) -> workload.Step | None:
        job = self._find_job(claim.key.job_id)
        return None if job is None else job.workload.steps[claim.key.step]

    def _is_comparable(self, claim: progress.Claim,
                       step: workload.Step) -> bool:
        """Returns whether the time of a run can be compared with others.

        That of a member of a gang depends on other workers. A run may have
        begun at a checkpoint if it is not the first one, and one outside the
        rack of its data is slower.
        """
        if step.gang or step.long_running or (step.checkpoints and
                                              claim.run > 1):
            return False
        tracked = self._fleet.tracked_workers.get(claim.worker_id)
        return not step.data_rack or (tracked is not None and
                                      tracked.worker.rack == step.data_rack)
