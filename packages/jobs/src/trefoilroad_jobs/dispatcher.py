"""State machine of the leader: takes accepted jobs to their final states."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import structlog

from trefoilroad_core import health
from trefoilroad_jobs import admission
from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import estimate
from trefoilroad_jobs import evacuation_monitor
from trefoilroad_jobs import fleet
from trefoilroad_jobs import interference
from trefoilroad_jobs import interference_monitor
from trefoilroad_jobs import job_budget
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import limits
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import progress_rows
from trefoilroad_jobs import rounds
from trefoilroad_jobs import runs
from trefoilroad_jobs import tables
from trefoilroad_jobs import units
from trefoilroad_jobs import wait_monitor
from trefoilroad_jobs import waits
from trefoilroad_jobs import worker_speeds
from trefoilroad_jobs import workload
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

TICK_INTERVAL_S = 0.1
# Delay of a round after an event, so that one round serves several events.
ROUND_DELAY_S = 0.004
# Largest share of the leader's time that rounds may take: it must also read
# reports and send commands, and a round that starts later sees more of them.
MAX_ROUND_SHARE = 0.4
# Longest time between two rounds: work can become ready without any event.
ROUND_INTERVAL_S = 0.5
CLEANUP_INTERVAL_S = 10.0
SPEEDS_LOG_INTERVAL_S = 10.0

_log = structlog.get_logger()


class Dispatcher:
    """Schedules and tracks all jobs for the duration of one epoch.

    Attributes:
        epoch: Epoch of this leader.
        jobs: Jobs by id, final ones included until they are removed.
        ready: Whether the jobs and their progress have been read from the
            store.
    """

    def __init__(self, *, epoch: int, store: ports.Store,
                 workers: ports.Workers, timers: timer.Timers,
                 wall_clock: ports.WallClock, ledger: ledgers.Ledger,
                 bounds: limits.Limits, round_planner: planner.Planner,
                 metrics: sinks.Metrics, prior_leases_end_s: float,
                 prior_released: bool, on_newer_leader: Callable[[str], None]):
        """Starts the timers; `load` supplies the jobs.

        Args:
            epoch: Epoch of this leader.
            store: The store, for rows that the ledger does not write.
            workers: Sends commands to workers.
            timers: Source of time.
            wall_clock: Source of the time of day.
            ledger: Writes the progress of jobs to the store.
            bounds: Time limits of the leader.
            round_planner: Plans rounds.
            metrics: Sink of metrics.
            prior_leases_end_s: Time at which the leases that the previous
                leader gave have ended, on this leader's clock.
            prior_released: Whether the previous leader released the leadership.
            on_newer_leader: Called with a reason when there is evidence of a
                newer leader.
        """
        self.epoch = epoch
        self.jobs: dict[str, progress.Job] = {}
        self.ready = False
        self._active_jobs: dict[str, progress.Job] = {}
        self._costs = job_budget.JobCosts()
        self._row_bytes: dict[str, int] = {}
        self._cancelled_jobs: set[str] = set()
        # Jobs whose progress cannot be read. The watch lists their rows again,
        # and without their progress all their tasks would run again.
        self._unreadable_jobs: set[str] = set()
        self._store = store
        self._timers = timers
        self._wall_clock = wall_clock
        self._ledger = ledger
        self._bounds = bounds
        self._metrics = metrics
        self._closed = False
        self._configuration = configurations.EMPTY
        self._queues: dict[str, configurations.Queue] = {}
        self._fleet = fleet.Fleet()
        self._health = health.Health()
        self._estimator = estimate.Estimator()
        self._speeds = worker_speeds.WorkerSpeeds()
        disturbances = interference.InterferenceEstimator()
        self._interference = interference_monitor.InterferenceMonitor(
            estimator=disturbances,
            fleet=self._fleet,
            metrics=metrics,
            find_job=self.jobs.get,
            enabled=bounds.keep_images_apart)
        self._rounds = rounds.RoundScheduler(estimator=self._estimator,
                                             round_planner=round_planner,
                                             bounds=bounds,
                                             disturbances=disturbances,
                                             speeds=self._speeds)
        self._runs = runs.RunTracker(epoch=epoch,
                                     fleet=self._fleet,
                                     workers=workers,
                                     timers=timers,
                                     ledger=ledger,
                                     bounds=bounds,
                                     prior_leases_end_s=prior_leases_end_s,
                                     prior_released=prior_released,
                                     find_job=self.jobs.get,
                                     check_start=self._check_start,
                                     on_begin=self._handle_begin,
                                     on_end=self._handle_run_end,
                                     on_progress=self._handle_progress,
                                     on_change=self._request_round,
                                     on_report=self._interference.observe,
                                     on_newer_leader=on_newer_leader)
        self._wait_monitor = wait_monitor.WaitMonitor(metrics=metrics,
                                                      now_s=timers.read_clock())
        self._evacuation_monitor = evacuation_monitor.EvacuationMonitor(
            metrics=metrics, timers=timers, max_age_s=bounds.evacuation_s)
        self._evacuations = self._evacuation_monitor.evacuations
        self._starting = True
        self._round_planned = False
        self._last_round_s = float("-inf")
        self._round_duration_s = 0.0
        self._timer_handles = [
            timers.call_every(TICK_INTERVAL_S, self._tick),
            timers.call_every(CLEANUP_INTERVAL_S, self._remove_expired_jobs),
            timers.call_every(wait_monitor.CHECK_INTERVAL_S, self._check_waits),
            timers.call_every(SPEEDS_LOG_INTERVAL_S, self._log_speeds),
        ]

    def close(self) -> None:
        """Stops scheduling; running tasks continue under their leases."""
        self._closed = True
        for timer_handle in self._timer_handles:
            timer_handle.cancel()
        self._runs.close()
        self._ledger.close()
        self._wait_monitor.close()
        self._evacuation_monitor.close()
        self._interference.close()

    def stop_starting(self) -> None:
        """Places no more tasks; running ones are still tracked."""
        self._starting = False

    def has_doubtful_runs(self) -> bool:
        """See RunTracker.has_doubtful_runs."""
        return self._runs.has_doubtful_runs()

    # Input from the store.

    def record_read(self, table: str) -> None:
        """Records that the node begins to read a table for `load`."""
        self._wait_monitor.record_read(table)

    def load(self, intake_rows: ports.Rows, lease_rows: ports.Rows,
             progress_table: ports.Rows) -> None:
        """Recovers the jobs that nodes and earlier leaders have written.

        Args:
            intake_rows: All rows of accepted jobs and cancellations.
            lease_rows: All rows of leases.
            progress_table: All rows of progress.
        """
        self._ledger.update_store_clock(progress_table.store_ms,
                                        self._timers.read_clock())
        states = progress_rows.group_rows(progress_table.rows)
        self._ledger.recover_row_counts({
            job_id: 1 + max(rows) for job_id, rows in states.items()
        })
        now_s = self._timers.read_clock()
        for row in intake_rows.rows:
            self._apply_intake_row(row, states)
        self._runs.recover_leases(lease_rows)
        recovered = 0
        for job in self.jobs.values():
            for claim in list(job.list_claims()):
                recovered += 1
                claim.since_s = now_s
                self._runs.adopt(claim, stop=job.is_final)
        self.ready = True
        self._runs.begin_polling()
        _log.info("jobs recovered",
                  epoch=self.epoch,
                  jobs=len(self.jobs),
                  active=len(self._active_jobs),
                  waiting=sum(self.count_pending().values()),
                  runs=recovered,
                  store_version=intake_rows.version)
        for job_id in self._cancelled_jobs:
            self._cancel(job_id)
        for job in self.jobs.values():
            self._release_if_ended(job)
        self._request_round()

    def apply_intake_rows(self, rows: Iterable[ports.Row]) -> None:
        """Applies new rows of accepted jobs and cancellations."""
        for row in rows:
            self._apply_intake_row(row, {})

    def _apply_intake_row(self, row: ports.Row,
                          states: Mapping[str, Mapping[int, bytes]]) -> None:
        """Applies one row; one that cannot be applied affects no other row."""
        try:
            self._apply_readable_row(row, states)
        except Exception as error:
            _log.exception("row cannot be applied",
                           row=row.key,
                           error=repr(error))

    def _apply_readable_row(self, row: ports.Row,
                            states: Mapping[str, Mapping[int, bytes]]) -> None:
        if row.value is None:
            return
        if row.key.startswith(tables.CANCEL_PREFIX):
            job_id = row.key.removeprefix(tables.CANCEL_PREFIX)
            self._cancelled_jobs.add(job_id)
            if self.ready:
                self._cancel(job_id)
        elif row.key.startswith(tables.JOB_PREFIX):
            self._add_job(row.key.removeprefix(tables.JOB_PREFIX), row.value,
                          states)

    def _add_job(self, job_id: str, value: bytes,
                 states: Mapping[str, Mapping[int, bytes]]) -> None:
        if job_id in self.jobs or job_id in self._unreadable_jobs:
            return
        try:
            accepted = workload.decode_workload(value)
        except ValueError as error:
            _log.error("job row cannot be read", job=job_id, error=str(error))
            return
        now_s = self._timers.read_clock()
        age_s = max(0.0, (self._ledger.read_store_ms() - accepted.accepted_ms) /
                    1000.0)
        job = progress.Job(workload=accepted, now_s=now_s, age_s=age_s)
        rows = states.get(job_id, {})
        if rows:
            try:
                progress_rows.decode_rows(job, rows, now_s,
                                          self._ledger.read_store_ms())
            except ValueError as error:
                _log.error("progress row cannot be read",
                           job=job_id,
                           error=str(error))
                self._unreadable_jobs.add(job_id)
                return
        self.jobs[job_id] = job
        self._row_bytes[job_id] = len(value)
        self._costs.set(job_id, accepted.team,
                        job_budget.compute_cost(accepted, len(value)))
        self._estimator.record_job(accepted)
        self._rounds.record_job(job)
        self._interference.record_job(accepted)
        if not job.is_final:
            self._active_jobs[job_id] = job
            if self.ready:
                _log.info("job seen",
                          request=job_id,
                          queue=accepted.queue,
                          team=accepted.team,
                          priority=accepted.priority,
                          age_s=round(age_s, 3))
            if job_id in self._cancelled_jobs and self.ready:
                self._cancel(job_id)
            self._request_round()

    def update_workers(self, workers: dict[str, ports.Worker]) -> None:
        """Replaces the list of registered workers.

        Args:
            workers: All registered workers by id.
        """
        self._runs.update_workers(workers)
        self._request_round()

    def confirm_workers(self) -> None:
        """Records that the list of registered workers is still current."""
        self._runs.confirm_list()

    def update_configuration(
            self, configuration: configurations.Configuration) -> None:
        """Replaces the configuration in force."""
        self._configuration = configuration
        self._queues = configuration.index_queues()
        self._request_round()

    def update_evacuations(self,
                           domains: frozenset[str],
                           fresh_s: float,
                           version: int = 0) -> None:
        """Replaces the evacuated failure domains.

        Args:
            domains: The evacuated failure domains.
            fresh_s: Time up to which all changes of them are known, in seconds.
            version: Version of the store that was read.
        """
        if self._evacuations.update(domains, fresh_s, version,
                                    self._timers.read_clock()):
            self._check_evacuations()
            self._request_round()

    # Queries.

    def get_state(self, job_id: str) -> progress.JobState | None:
        """Returns the state of a job to show to callers.

        A final state that is not written yet is returned as RUNNING.

        Returns:
            The state, or None if the job is not known.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.unrecorded and job.is_final:
            return progress.JobState.RUNNING
        return job.state

    def count_pending(self) -> dict[str, int]:
        """Returns the number of jobs of which nothing has begun, by queue."""
        counts: dict[str, int] = {}
        for job in self._active_jobs.values():
            if not job.has_begun():
                queue = job.workload.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def describe_held_jobs(self, max_bytes: int) -> job_budget.HeldJobs:
        """Returns what the jobs take.

        Args:
            max_bytes: The budget for them.
        """
        return self._costs.describe(max_bytes)

    def list_worker_capacities(self) -> admission.WorkerCapacities:
        """Returns the largest worker capacities of each service."""
        return admission.list_worker_capacities(
            tracked.worker
            for tracked in self._fleet.tracked_workers.values()
            if tracked.registered)

    # Job state changes.

    def _cancel(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return
        self._finish(job, progress.JobState.CANCELLED, "cancelled")

    def _finish(self, job: progress.Job, state: progress.JobState,
                why: str) -> None:
        job.state = state
        job.ended_ms = self._ledger.read_store_ms()
        self._active_jobs.pop(job.job_id, None)
        self._rounds.forget_job(job.job_id)
        _log.info("job ended",
                  request=job.job_id,
                  state=str(state),
                  why=why,
                  age_s=round(self._timers.read_clock() - job.accepted_s, 3))
        self._metrics.count(f"jobs.{state}")
        self._metrics.time("jobs.age",
                           self._timers.read_clock() - job.accepted_s)
        if state is not progress.JobState.COMPLETED:
            for claim in list(job.list_claims()):
                self._runs.stop(claim, why)
        self._record_change(job)
        self._request_round()

    def _record_change(self, job: progress.Job) -> None:
        job.unrecorded += 1
        self._ledger.mark_dirty(job)
        self._ledger.call_after(lambda: self._confirm_change(job),
                                tables.get_progress_row_name(job.job_id))

    def _confirm_change(self, job: progress.Job) -> None:
        job.unrecorded -= 1
        self._release_if_ended(job)

    def _release_if_ended(self, job: progress.Job) -> None:
        """Drops what is not needed of a job whose end is durable.

        Its state is still shown to callers, for as long as its rows are kept.
        The steps of an ordinary job take little.
        """
        if (not job.is_final or job.unrecorded or any(job.list_claims()) or
                job.job_id not in self.jobs):
            return
        job.release_payload()
        if job_budget.is_large(self._costs.get(job.job_id)):
            job.release_steps()
        self._costs.set(
            job.job_id, job.workload.team,
            job_budget.compute_cost(job.workload, self._row_bytes[job.job_id]))

    def _handle_begin(self, claim: progress.Claim, evidence: str) -> None:
        """Records that a run has begun, so that its job no longer waits.

        Args:
            claim: Claim of the run.
            evidence: What shows it.
        """
        job = self.jobs[claim.key.job_id]
        step = job.get_step(claim.key.occurrence, claim.key.step)
        had_begun = job.has_begun()
        step.begun = True
        if had_begun:
            # Its row says so already, or will with the next transaction.
            return
        _log.info("job began",
                  request=job.job_id,
                  queue=job.workload.queue,
                  worker=claim.worker_id,
                  run=claim.run,
                  evidence=evidence,
                  waited_s=round(self._timers.read_clock() - job.accepted_s, 3))
        self._ledger.mark_deferred(job)

    def _handle_run_end(self, claim: progress.Claim,
                        end_state: ports.EndState | None, why: str) -> None:
        """Updates a job after the end of a run.

        Args:
            claim: Claim of the run.
            end_state: How the run ended, or None if no end of it is known.
            why: Reason for the log.
        """
        job = self.jobs[claim.key.job_id]
        step = job.get_step(claim.key.occurrence, claim.key.step)
        if step.claims.get(claim.key.task) is claim:
            del step.claims[claim.key.task]
        step.record_checkpoint(claim)
        now_s = self._timers.read_clock()
        _log.info("run ended",
                  request=job.job_id,
                  task=f"{claim.key.occurrence}.{claim.key.step}."
                  f"{claim.key.task}",
                  run=claim.run,
                  worker=claim.worker_id,
                  how=str(end_state) if end_state else "not run",
                  why=why,
                  begun=claim.start_settled,
                  ran_s=round(now_s - claim.started_s, 3))
        self._interference.record_end(claim, end_state, now_s)
        if end_state is ports.EndState.DONE:
            self._handle_completed_run(job, step, claim, now_s)
        elif end_state is ports.EndState.FAILED:
            self._handle_failed_run(job, step, claim, now_s)
        else:
            self._handle_interrupted_run(job, step, claim, now_s)
        self._record_change(job)
        self._request_round()
        self._speeds.record_end((claim.key, claim.run),
                                self._find_speed_group(job, claim),
                                claim.worker_id,
                                done=end_state is ports.EndState.DONE,
                                now_s=now_s)

    def _handle_progress(self, claim: progress.Claim) -> None:
        """Learns the speed of a worker from the progress of a run."""
        job = self.jobs[claim.key.job_id]
        step = job.workload.steps[claim.key.step]
        if (step.long_running or step.tasks == 1 or
                self._rounds.is_disturbed(step.image)):
            return
        is_fresh = claim.starts_sent == 1 and not claim.resumed
        self._speeds.record_progress(
            (claim.key, claim.run),
            self._find_speed_group(job, claim),
            claim.worker_id,
            claim.percent,
            started_s=claim.started_s if is_fresh else None,
            now_s=claim.percent_s)

    def _log_speeds(self) -> None:
        slownesses = self._speeds.list_slownesses()
        self._metrics.set_gauge(
            "workers.slow", sum(value > 1.0 for value in slownesses.values()))
        self._metrics.set_gauge(
            "workers.fast", sum(value < 1.0 for value in slownesses.values()))
        if slownesses:
            _log.info("worker speeds",
                      slownesses={
                          worker_id: round(value, 2)
                          for worker_id, value in slownesses.items()
                      })

    def _find_speed_group(self, job: progress.Job,
                          claim: progress.Claim) -> worker_speeds.Group:
        step = job.workload.steps[claim.key.step]
        tracked = self._fleet.tracked_workers.get(claim.worker_id)
        rack = tracked.worker.rack if tracked is not None else ""
        return worker_speeds.Group(job_id=claim.key.job_id,
                                   occurrence=claim.key.occurrence,
                                   step=claim.key.step,
                                   in_data_rack=rack == step.data_rack,
                                   gang=step.gang)

    def _handle_completed_run(self, job: progress.Job,
                              step: progress.StepProgress,
                              claim: progress.Claim, now_s: float) -> None:
        spec = job.workload.steps[claim.key.step]
        self._estimator.record_run(job.workload.queue, now_s - claim.started_s)
        self._record_health(job, claim, failed=False, now_s=now_s)
        if spec.gang:
            # The end of one task completes the whole gang; the ends of the
            # other tasks are reported too.
            step.record_done(range(spec.tasks))
        else:
            step.record_done([claim.key.task])
        if not job.is_final and job.is_done():
            self._finish(job, progress.JobState.COMPLETED, "all tasks done")

    def _handle_failed_run(self, job: progress.Job, step: progress.StepProgress,
                           claim: progress.Claim, now_s: float) -> None:
        spec = job.workload.steps[claim.key.step]
        self._record_health(job, claim, failed=True, now_s=now_s)
        self._check_suspicion(job, claim, now_s)
        index = 0 if spec.gang else claim.key.task
        failures = step.count_failure(claim, gang=spec.gang)
        delay_s = self._bounds.compute_retry_delay_s(failures)
        step.retry_at_s[index] = now_s + delay_s
        if spec.gang:
            self._stop_gang(job, step, "a task of the gang failed")
        if job.is_final or spec.long_running:
            return
        if failures >= self._find_max_failures(job):
            self._finish(job, progress.JobState.FAILED,
                         f"a task failed {failures} times")

    def _check_suspicion(self, job: progress.Job, claim: progress.Claim,
                         now_s: float) -> None:
        """Suspects a worker on which runs fail, unless the job is the cause."""
        tracked = self._fleet.tracked_workers.get(claim.worker_id)
        if tracked is None:
            return
        failed_workers = self._health.find_failed_workers(job.job_id)
        if tracked.record_failure(job.job_id,
                                  ran_s=now_s - claim.started_s,
                                  failed_elsewhere=bool(failed_workers -
                                                        {claim.worker_id}),
                                  now_s=now_s):
            _log.info("worker suspected",
                      worker=claim.worker_id,
                      request=job.job_id,
                      failures=len(tracked.failures),
                      ran_s=round(now_s - claim.started_s, 3))

    def _handle_interrupted_run(self, job: progress.Job,
                                step: progress.StepProgress,
                                claim: progress.Claim, now_s: float) -> None:
        if job.workload.steps[claim.key.step].gang and not job.is_final:
            self._stop_gang(job, step, "a task of the gang ended")

    def _stop_gang(self, job: progress.Job, step: progress.StepProgress,
                   why: str) -> None:
        for claim in list(step.claims.values()):
            self._runs.stop(claim, why)

    def _find_max_failures(self, job: progress.Job) -> int:
        queue = self._queues.get(job.workload.queue)
        if queue is None:
            return job.workload.max_failures
        return queue.max_failures

    def _record_health(self, job: progress.Job, claim: progress.Claim, *,
                       failed: bool, now_s: float) -> None:
        self._health.record(
            health.TaskEnd(worker_id=claim.worker_id,
                           request_id=job.job_id,
                           team=job.workload.team,
                           template=job.workload.queue,
                           failed=failed,
                           at_s=now_s))

    # Scheduling rounds.

    def _request_round(self) -> None:
        if not self._round_planned and not self._closed:
            self._round_planned = True
            next_round_s = (self._last_round_s +
                            self._round_duration_s / MAX_ROUND_SHARE)
            self._timers.call_later(
                max(ROUND_DELAY_S, next_round_s - self._timers.read_clock()),
                self._run_round)

    def _tick(self) -> None:
        now_s = self._timers.read_clock()
        self._runs.tick()
        self._drop_refused_claims()
        interval_s = max(ROUND_INTERVAL_S,
                         self._round_duration_s / MAX_ROUND_SHARE)
        if now_s - self._last_round_s >= interval_s:
            self._run_round()

    def _run_round(self) -> None:
        self._round_planned = False
        if self._closed or not self.ready or not self._starting:
            return
        started_s = self._timers.read_clock()
        self._last_round_s = started_s
        if (self._ledger.store_failing or
                self._evacuations.find_obstacle(started_s)):
            return
        self._wait_monitor.record_round(started_s)
        self._health.update(started_s, len(self._fleet.tracked_workers))
        self._speeds.update(started_s)
        plan = self._rounds.run(
            rounds.RoundInput(now_s=started_s,
                              wall_ms=self._wall_clock.read_wall_ms(),
                              jobs=self._list_schedulable_jobs(),
                              fleet=self._fleet,
                              configuration=self._configuration,
                              queues=self._queues,
                              quarantined=self._health.find_workers(
                                  health.Status.QUARANTINED),
                              evacuated=self._evacuations.domains))
        for start in plan.starts:
            self._start_unit(start, started_s)
        for victim in plan.stops:
            self._preempt(victim)
        self._round_duration_s = self._timers.read_clock() - started_s
        self._metrics.time("round", self._round_duration_s)

    def _check_start(self, tracked: fleet.TrackedWorker,
                     claim: progress.Claim) -> str:
        """Returns why the start of a claim must not be sent now, or nothing."""
        job = self.jobs[claim.key.job_id]
        return self._evacuation_monitor.check_start(tracked, claim,
                                                    job.workload, self._queues)

    def _check_evacuations(self) -> None:
        if self.ready:
            self._evacuation_monitor.check(self._fleet, self._configuration)

    def _drop_refused_claims(self) -> None:
        """Ends claims that the store refuses to record.

        They would occupy their workers, and are never started.
        """
        for job in self._ledger.list_set_aside():
            for claim in list(job.list_claims()):
                self._runs.drop_unsent(claim, "the store refuses its claim")

    def _list_schedulable_jobs(self) -> Mapping[str, progress.Job]:
        """Returns the jobs of which tasks may start.

        These are the active ones whose progress can be written.
        """
        refused = self._find_refused_jobs()
        if not refused:
            return self._active_jobs
        return {
            job_id: job
            for job_id, job in self._active_jobs.items()
            if job_id not in refused
        }

    def _find_refused_jobs(self) -> frozenset[str]:
        """Returns the ids of the jobs whose progress the store refuses."""
        return frozenset(job.job_id for job in self._ledger.list_set_aside())

    def _check_waits(self) -> None:
        """Logs and counts waiting jobs, evacuations and images kept apart."""
        self._check_evacuations()
        self._interference.check(self._timers.read_clock())
        self._wait_monitor.check(
            self._active_jobs,
            waits.Snapshot(now_s=self._timers.read_clock(),
                           wall_ms=self._wall_clock.read_wall_ms(),
                           ready=self.ready,
                           store_failing=self._ledger.store_failing,
                           starting=self._starting,
                           round_due=self._round_planned,
                           fleet=self._fleet,
                           queues=self._queues,
                           quarantined=self._health.find_workers(
                               health.Status.QUARANTINED),
                           prior_leases_end_s=self._runs.prior_leases_end_s,
                           held=self._rounds.list_held_room(),
                           evacuated=self._evacuations.domains,
                           start_obstacle=self._evacuations.find_obstacle(
                               self._timers.read_clock()),
                           refused=self._find_refused_jobs()))

    def _start_unit(self, start: units.Start, now_s: float) -> None:
        unit = start.unit
        job = self._active_jobs[unit.job_id]
        step = job.get_step(unit.occurrence, unit.step_number)
        indexes = unit.indexes[:len(start.workers)]
        self._interference.record_start(start)
        run = max(step.last_runs) + 1 if unit.step.gang else 0
        claims = []
        started_ms = round(self._ledger.read_store_ms())
        checkpoint = ""
        if unit.step.gang and unit.step.checkpoints:
            checkpoint = _pick_checkpoint(step)
        for index, worker_id in zip(indexes, start.workers, strict=True):
            number = run or step.last_runs[index] + 1
            step.last_runs[index] = number
            tracked = self._fleet.tracked_workers[worker_id]
            claim = progress.Claim(
                key=progress.TaskKey(unit.job_id, unit.occurrence,
                                     unit.step_number, index),
                run=number,
                worker_id=worker_id,
                boot_ms=tracked.boot_ms,
                phase=progress.Phase.CLAIMING,
                now_s=now_s,
                demand=unit.step.occupied,
                started_ms=started_ms,
                checkpoint=checkpoint or
                (step.checkpoints.get(index, "") if not unit.step.gang else ""),
                image=unit.step.image)
            step.claims[index] = claim
            tracked.add_claim(claim)
            claims.append(claim)
        if job.state is progress.JobState.QUEUED:
            job.state = progress.JobState.RUNNING
        _log.info("tasks placed",
                  request=unit.job_id,
                  step=f"{unit.occurrence}.{unit.step_number}",
                  tasks=len(claims),
                  run=claims[0].run,
                  workers=sorted(set(start.workers)),
                  waited_s=round(now_s - unit.accepted_s, 3),
                  guaranteed=unit.guaranteed,
                  fleet_age_s=round(self._runs.read_list_age_s(), 3))
        self._metrics.time("jobs.wait", now_s - unit.accepted_s)
        self._ledger.mark_dirty(job)
        self._ledger.call_after(lambda: self._runs.start(claims, job.workload),
                                tables.get_progress_row_name(job.job_id))

    def _preempt(self, victim: units.Victim) -> None:
        claims = victim.handle
        assert isinstance(claims, list)
        _log.info("run reclaimed",
                  request=claims[0].key.job_id,
                  tasks=len(claims),
                  cost=round(victim.lost_core_s, 1))
        self._metrics.count("runs.reclaimed", len(claims))
        for claim in claims:
            self._runs.stop(claim, "reclaimed for guaranteed work")

    # Removal of old jobs.

    def _remove_expired_jobs(self) -> None:
        """Removes the rows of final jobs after the retention time."""
        if not self.ready:
            return
        limit_ms = self._ledger.read_store_ms(
        ) - self._bounds.retention_s * 1000.0
        for job in list(self.jobs.values()):
            if (job.is_final and job.ended_ms < limit_ms and
                    not job.unrecorded and not any(job.list_claims())):
                self._remove(job.job_id)

    def _remove(self, job_id: str) -> None:
        """Removes the rows of a job.

        The progress row is removed last: a job row without progress would run
        the job again.
        """

        def on_removed(result: ports.CommitResult) -> None:
            if not isinstance(result, ports.Committed) or self._closed:
                return
            if not rows:
                job = self.jobs.pop(job_id, None)
                if job is not None:
                    self._costs.set(job_id, job.workload.team, 0)
                self._row_bytes.pop(job_id, None)
                self._cancelled_jobs.discard(job_id)
                self._ledger.remove_progress(job_id)
                return
            remove_next()

        def remove_next() -> None:
            self._store.commit(conditions={},
                               puts={},
                               removals=[rows.pop()],
                               on_done=on_removed)

        rows = [
            tables.get_job_row_name(job_id),
            tables.get_cancellation_row_name(job_id)
        ]
        remove_next()


def _pick_checkpoint(step: progress.StepProgress) -> str:
    """Returns one checkpoint for a whole gang, or an empty text.

    The checkpoint of any task is valid for all.
    """
    for index in sorted(step.checkpoints):
        if step.checkpoints[index]:
            return step.checkpoints[index]
    return ""
