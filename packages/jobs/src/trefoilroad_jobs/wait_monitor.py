"""Logs and counts the jobs that have nothing running, and why."""

import collections
from collections.abc import Mapping

import structlog

from trefoilroad_jobs import progress
from trefoilroad_jobs import waits
from trefoilroad_node import metrics as sinks

CHECK_INTERVAL_S = 1.0
# Jobs that wait for a shorter time are neither logged nor counted.
MIN_WAIT_S = 2.0
# Shortest time between two lines about the same job.
REPEAT_INTERVAL_S = 5.0
# Most lines about jobs in each check, so that a full fleet, where hundreds of
# jobs wait, neither fills the logs nor delays the rounds.
MAX_LINES_IN_CHECK = 10
# Workers are withheld for many reasons; below this share of usable workers the
# withheld ones are logged.
MIN_USABLE_SHARE = 0.5
# A leader that has not read the jobs after this time logs it.
MAX_READING_S = 1.0

WAITING_GAUGE = "jobs.waiting"
REASON_GAUGES = {
    reason: f"jobs.waiting.{reason.replace(' ', '_')}"
    for reason in waits.Reason
}
WITHHELD_GAUGES = {
    withholding: f"workers.withheld.{withholding.replace(' ', '_')}"
    for withholding in waits.Withholding
}
CLAIM_GAUGES = {phase: f"claims.{phase.value}" for phase in progress.Phase}
GAUGES = (WAITING_GAUGE, *REASON_GAUGES.values(), *WITHHELD_GAUGES.values(),
          *CLAIM_GAUGES.values())

_log = structlog.get_logger()


class _Waiting:
    """A job that has nothing running.

    Attributes:
        job: The job.
        since_s: Since when, in seconds.
        logged_s: When its last line was logged, or minus infinity.
        gauge: Name of the gauge of the reason in that line, or empty.
    """

    __slots__ = ("gauge", "job", "logged_s", "since_s")

    def __init__(self, *, job: progress.Job, since_s: float):
        self.job = job
        self.since_s = since_s
        self.logged_s = float("-inf")
        self.gauge = ""


class WaitMonitor:
    """Watches for jobs that wait, during one epoch."""

    def __init__(self, *, metrics: sinks.Metrics, now_s: float):
        """Creates a monitor of a new leader.

        Args:
            metrics: Sink of metrics.
            now_s: Time of the takeover, in seconds.
        """
        self._metrics = metrics
        self._began_s = now_s
        self._last_check_s = float("-inf")
        self._waiting: dict[str, _Waiting] = {}
        self._scarce_services: set[str] = set()
        self._table = ""
        self._tries: dict[str, int] = collections.Counter()
        self._reading_logged_s = float("-inf")
        self._first_round_seen = False
        metrics.count("leader.takeovers")

    def record_read(self, table: str) -> None:
        """Records that the leader begins to read a table."""
        self._table = table
        self._tries[table] += 1

    def record_round(self, now_s: float) -> None:
        """Records that a round begins."""
        if not self._first_round_seen:
            self._first_round_seen = True
            self._metrics.time("leader.first_round", now_s - self._began_s)

    def close(self) -> None:
        """Sets the gauges to zero, as the node does not lead any more."""
        for name in GAUGES:
            self._metrics.set_gauge(name, 0)

    def check(self, jobs: Mapping[str, progress.Job],
              snapshot: waits.Snapshot) -> None:
        """Logs and counts the jobs that wait and the workers withheld.

        Args:
            jobs: Jobs that are not final, by id.
            snapshot: State of the leader.
        """
        if not snapshot.ready:
            self._check_reading(snapshot.now_s)
            return
        explainer = waits.Explainer(snapshot=snapshot)
        gauges = dict.fromkeys(GAUGES, 0)
        self._check_workers(explainer, snapshot, gauges)
        self._check_jobs(jobs, explainer, snapshot, gauges)
        for name, value in gauges.items():
            self._metrics.set_gauge(name, value)
        self._last_check_s = snapshot.now_s

    def _check_reading(self, now_s: float) -> None:
        if (now_s - self._began_s < MAX_READING_S or
                now_s - self._reading_logged_s < REPEAT_INTERVAL_S):
            return
        self._reading_logged_s = now_s
        _log.warning("still reading jobs",
                     table=self._table,
                     tries=self._tries[self._table],
                     waited_s=round(now_s - self._began_s, 3))

    def _check_workers(self, explainer: waits.Explainer,
                       snapshot: waits.Snapshot, gauges: dict[str,
                                                              int]) -> None:
        services = {
            tracked.worker.service
            for tracked in snapshot.fleet.tracked_workers.values()
            if tracked.registered
        }
        for tracked in snapshot.fleet.tracked_workers.values():
            for claim in tracked.claims.values():
                gauges[CLAIM_GAUGES[claim.phase]] += 1
        for service in services | self._scarce_services:
            workers = explainer.get_workers(service)
            for withholding in workers.withheld.values():
                gauges[WITHHELD_GAUGES[withholding]] += 1
            usable = len(workers.usable)
            scarce = usable < MIN_USABLE_SHARE * len(workers.candidates)
            if scarce == (service in self._scarce_services):
                continue
            self._scarce_services ^= {service}
            _log.info("workers withheld",
                      service=service,
                      scarce=scarce,
                      usable=usable,
                      workers=len(workers.candidates),
                      withheld=waits.count_withheld(workers.withheld))

    def _check_jobs(self, jobs: Mapping[str, progress.Job],
                    explainer: waits.Explainer, snapshot: waits.Snapshot,
                    gauges: dict[str, int]) -> None:
        now_s = snapshot.now_s
        waiting: dict[str, _Waiting] = {}
        due: list[_Waiting] = []
        for job_id, job in jobs.items():
            if not waits.is_waiting(job, snapshot.wall_ms):
                continue
            known = self._waiting.get(job_id)
            if known is None:
                is_new = job.seen_s > self._last_check_s
                known = _Waiting(job=job,
                                 since_s=job.seen_s if is_new and
                                 not job.workload.repeats else now_s)
            waiting[job_id] = known
            if now_s - known.since_s < MIN_WAIT_S:
                continue
            gauges[WAITING_GAUGE] += 1
            if now_s - known.logged_s >= REPEAT_INTERVAL_S:
                due.append(known)
        self._waiting = waiting
        # Those that were logged longest ago come first, so that each job has
        # its turn.
        due.sort(key=_get_turn)
        for known in due[:MAX_LINES_IN_CHECK]:
            self._log_wait(known, explainer, now_s)
        for known in waiting.values():
            if known.gauge:
                gauges[known.gauge] += 1
        if len(due) > MAX_LINES_IN_CHECK:
            _log.info("lines of waiting jobs left out",
                      count=len(due) - MAX_LINES_IN_CHECK)

    def _log_wait(self, waiting: "_Waiting", explainer: waits.Explainer,
                  now_s: float) -> None:
        job = waiting.job
        wait = explainer.explain(job)
        if wait is None:
            return
        waiting.logged_s = now_s
        waiting.gauge = REASON_GAUGES[wait.reason]
        _log.info("job waits",
                  request=job.job_id,
                  step=f"{wait.occurrence}.{wait.step_number}",
                  team=job.workload.team,
                  service=explainer.get_service(job),
                  waited_s=round(now_s - waiting.since_s, 3),
                  reason=str(wait.reason),
                  **wait.details)


def _get_turn(waiting: _Waiting) -> tuple[float, float]:
    return waiting.logged_s, waiting.since_s
