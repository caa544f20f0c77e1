"""Logs and counts the evacuations in force and what they hold up."""

from collections.abc import Mapping

import structlog

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import evacuation
from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import progress
from trefoilroad_jobs import start_check
from trefoilroad_jobs import workload
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

WORKERS_GAUGE = "evacuation.workers"
RUNS_GAUGE = "evacuation.runs"
WITHHELD_COUNTER = "evacuation.starts_withheld"

_log = structlog.get_logger()


class EvacuationMonitor:
    """Watches the evacuations during one epoch.

    Attributes:
        evacuations: The evacuations that the leader knows of.
    """

    def __init__(self, *, metrics: sinks.Metrics, timers: timer.Timers,
                 max_age_s: float):
        """Creates a monitor of a leader that knows of no evacuation yet.

        Args:
            metrics: Sink of metrics.
            timers: Source of time.
            max_age_s: See evacuation.Evacuations.
        """
        self.evacuations = evacuation.Evacuations(max_age_s=max_age_s)
        self._metrics = metrics
        self._timers = timers
        self._reported: frozenset[str] = frozenset()
        self._without_workers: frozenset[str] = frozenset()
        self._all_evacuated = False
        self._short = False

    def close(self) -> None:
        """Sets the gauges to zero, as the node does not lead any more."""
        self._metrics.set_gauge(WORKERS_GAUGE, 0)
        self._metrics.set_gauge(RUNS_GAUGE, 0)

    def check_start(self, tracked: fleets.TrackedWorker, claim: progress.Claim,
                    job: workload.Workload,
                    queues: Mapping[str, configurations.Queue]) -> str:
        """Returns why the start of a claim must not be sent now.

        Args:
            tracked: Worker of the claim as it is registered now.
            claim: Claim of the run.
            job: Job of the run.
            queues: Queues of the configuration, by name.

        Returns:
            The reason, which is logged, or an empty text.
        """
        queue = queues.get(job.queue)
        unread = self.evacuations.find_obstacle(self._timers.read_clock())
        reason = unread or start_check.find_obstacle(
            tracked, claim, job.steps[claim.key.step], job.service
            if queue is None else queue.service, self.evacuations.domains)
        if reason:
            self._record_withheld(claim, reason)
        if unread or reason == start_check.EVACUATED:
            self._metrics.count(WITHHELD_COUNTER)
        return reason

    def _record_withheld(self, claim: progress.Claim, reason: str) -> None:
        _log.info("start withheld",
                  request=claim.key.job_id,
                  worker=claim.worker_id,
                  run=claim.run,
                  starts_sent=claim.starts_sent,
                  reason=reason)

    def check(self, fleet: fleets.Fleet,
              configuration: configurations.Configuration) -> None:
        """Logs what has changed since the last check and sets the gauges.

        A leader that knows no workers yet waits for them, as it could not say
        what is left in a domain.
        """
        if not fleet.tracked_workers:
            return
        domains = self.evacuations.domains
        left = evacuation.count_left(fleet, domains | self._reported)
        self._report_changes(domains, left, self.evacuations.version)
        self._report_absent(domains, left)
        self._report_remaining(fleet, domains, configuration)
        in_force = [left[domain] for domain in domains]
        self._metrics.set_gauge(
            WORKERS_GAUGE, sum([remainder.workers for remainder in in_force]))
        self._metrics.set_gauge(RUNS_GAUGE,
                                sum([remainder.runs for remainder in in_force]))

    def _report_changes(self, domains: frozenset[str],
                        left: dict[str,
                                   evacuation.Remainder], version: int) -> None:
        for event, changed in (("evacuation requested",
                                domains - self._reported),
                               ("evacuation withdrawn",
                                self._reported - domains)):
            for domain in sorted(changed):
                _log.info(event,
                          domain=domain,
                          workers=left[domain].workers,
                          runs=left[domain].runs,
                          version=version)
        self._reported = domains

    def _report_absent(self, domains: frozenset[str],
                       left: dict[str, evacuation.Remainder]) -> None:
        absent = frozenset(
            domain for domain in domains if not left[domain].workers)
        for domain in sorted(absent - self._without_workers):
            _log.warning("evacuated domain has no workers",
                         key=evacuation.KEY_PREFIX + domain)
        self._without_workers = absent

    def _report_remaining(self, fleet: fleets.Fleet, domains: frozenset[str],
                          configuration: configurations.Configuration) -> None:
        """Reports if too little is left outside the evacuated domains."""
        remaining = evacuation.list_remaining_workers(fleet, domains)
        all_evacuated = bool(domains) and not remaining
        if all_evacuated and not self._all_evacuated:
            _log.error("all workers are evacuated, nothing starts",
                       domains=sorted(domains))
        self._all_evacuated = all_evacuated
        capacity = sum([worker.capacity.accelerators for worker in remaining])
        guaranteed = sum(
            [team.guaranteed for team in configuration.teams.values()])
        short = bool(domains) and capacity < guaranteed
        if short and not self._short:
            _log.warning("capacity outside evacuations is below the guarantees",
                         accelerators=capacity,
                         guaranteed=guaranteed)
        self._short = short
