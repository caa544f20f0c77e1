"""Tracks runs on workers: starts, stops, leases and reports.

A claimed run counts as alive until there is proof that it has ended:
- its worker reports its end, or
- no start of it was sent, or its worker refused the only one, or
- its worker confirmed a stop (after which it also refuses a delayed start) and
  a complete report requested after that does not list the run, or
- it was known to run, and a complete report requested after that omits it, or
- an earlier leader claimed it, and a complete report to this leader omits it,
  or
- a report requested after the start was settled shows that its worker process
  has restarted, and no other attempt to start it can still arrive, or
- its worker does not answer and its lease has expired on the worker's clock;
  if no start of the run was answered, the longest lease that a worker accepts
  counts, as the worker may have restarted before the start.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import structlog

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import lapses
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_node import timer

Phase = progress.Phase
Verdict = ports.Verdict

# Longest wait for a report while a run on the worker is being stopped.
STOPPING_REPORT_WAIT_MS = 200
# Delay of the next report request while reported ends are being written. An
# earlier request would return at once and list these ends again.
RECORDING_WAIT_S = 0.05
# A run with checkpoints on a draining worker is stopped early if it needs more
# than this multiple of the time until the worker leaves.
DRAIN_TIME_FACTOR = 1.2
# For how long after a lost reply reports are requested more often, so that the
# loss of one of them delays the news of an end only a little.
LOSS_MEMORY_S = 3.0
# Share of the declared run time for which progress may stay unchanged. Progress
# is reported in whole percents, workers may be several times slower than usual,
# and declarations are wrong by a factor of two.
STALL_RUN_TIME_SHARE = 0.15
DONE_PERCENT = 100
# Longest time from a claim to the last start command sent for it: the commit of
# the claim, then the repeats of a start that gets no reply.
START_SETTLE_S = 3.0
# Longest time after which a worker, or its next process, carries out a call
# that got no answer.
LATE_CALL_S = 6.0
# A worker that has been silent for this long gets a row that tells the next
# leaders when its leases have ended. Most silences are shorter.
LAPSE_RECORD_DELAY_S = 1.0
# Number of stops without a reply after which their interval doubles no further.
MAX_STOP_RETRY_DOUBLINGS = 8
# Progress below this percentage is too coarse to extrapolate from.
MIN_ETA_PERCENT = 5

# Verdicts after which this attempt to start a run has certainly had no effect.
REFUSAL_VERDICTS = frozenset({
    Verdict.SUPERSEDED, Verdict.LATE, Verdict.NO_ROOM, Verdict.UNHEALTHY,
    Verdict.OTHER_LIFE, Verdict.INVALID, Verdict.NOT_SENT
})

OnEnd = Callable[[progress.Claim, ports.EndState | None, str], None]
OnBegin = Callable[[progress.Claim, str], None]
OnProgress = Callable[[progress.Claim], None]
OnReport = Callable[[fleets.TrackedWorker, float], None]
CheckStart = Callable[[fleets.TrackedWorker, progress.Claim], str]

_log = structlog.get_logger()


class _LateStart(NamedTuple):
    """An attempt to start an ended run that may still be carried out.

    Attributes:
        name: Name of the task.
        run: Number of the run.
        sent_s: When it was sent at the latest, in seconds.
    """

    name: str
    run: int
    sent_s: float


class RunTracker:
    """Manages all runs that may be alive."""

    def __init__(self, *, epoch: int, fleet: fleets.Fleet,
                 workers: ports.Workers, timers: timer.Timers,
                 ledger: ledgers.Ledger, bounds: limits.Limits,
                 prior_leases_end_s: float, prior_released: bool,
                 find_job: Callable[[str], progress.Job | None],
                 check_start: CheckStart, on_begin: OnBegin, on_end: OnEnd,
                 on_progress: OnProgress, on_change: Callable[[], None],
                 on_report: OnReport, on_newer_leader: Callable[[str], None]):
        """Creates a tracker without runs; `begin_polling` starts the calls.

        Args:
            epoch: Epoch of the leader.
            fleet: Known workers and their claims.
            workers: Sends commands to workers.
            timers: Source of time.
            ledger: Writes the progress of jobs to the store.
            bounds: Time limits of the leader.
            prior_leases_end_s: Time at which all leases that earlier leaders
                gave have expired.
            prior_released: Whether the leader before released the leadership,
                which it does only if no start of its runs is in doubt.
            find_job: Finds a job by id.
            check_start: Returns why the start of a claim must not be
                sent now, or an empty text.
            on_begin: Called with a run and the evidence, once it is known to
                have begun and before the claim says so.
            on_end: Called with each run that has provably ended.
            on_progress: Called with each run whose progress has changed.
            on_change: Called when a new round may be needed.
            on_report: Called with a worker and the time when a report has
                been processed.
            on_newer_leader: Called with a reason when a worker has been called
                by a newer leader.
        """
        self._epoch = epoch
        self._fleet = fleet
        self._workers = workers
        self._timers = timers
        self._ledger = ledger
        self._bounds = bounds
        self._prior_leases_end_s = prior_leases_end_s
        self._prior_released = prior_released
        self._longest_lease_s = fleets.compute_lease_duration_s(
            bounds.max_lease_s)
        self._find_job = find_job
        self._check_start = check_start
        self._on_begin = on_begin
        self._on_end = on_end
        self._on_progress = on_progress
        self._on_change = on_change
        self._on_report = on_report
        self._on_newer_leader = on_newer_leader
        self._closed = False
        self._ready = False
        self._list_updated_s = timers.read_clock()
        self._keys_by_name: dict[str, progress.TaskKey] = {}
        # Ends of leases that earlier leaders wrote, of workers not seen yet.
        self._recovered_lapses: dict[str, float] = {}
        # By worker. A process that has started since would accept them.
        self._late_starts: dict[str, list[_LateStart]] = {}

    @property
    def prior_leases_end_s(self) -> float:
        """Time at which the leases of earlier leaders have expired."""
        return self._prior_leases_end_s

    def recover_leases(self, rows: ports.Rows) -> None:
        """Takes over what earlier leaders wrote about leases.

        A worker that was silent then has got no lease since, so its leases end
        at the same time, however many leaders follow.

        Args:
            rows: All rows of the table of leases.
        """
        recovered = lapses.decode_rows(rows.rows)
        now_s = self._timers.read_clock()

        def convert(end_ms: float) -> float:
            return now_s + (end_ms - rows.store_ms) / 1000.0

        # A leader of an older release writes no row of its epoch, renews leases
        # beside the rows of workers, and gives longer ones without the store.
        trusted = all(epoch in recovered.epochs for epoch in range(
            min(recovered.epochs, default=self._epoch), self._epoch))
        if self._epoch - 1 not in recovered.epochs:
            self._prior_leases_end_s += max(
                0.0, self._bounds.authority_s + self._bounds.lease_s -
                self._bounds.bridge_s) / (1 - fleets.MAX_CLOCK_DRIFT)
        for worker_id, end_ms in recovered.workers.items():
            if not trusted:
                self._ledger.write_row(
                    tables.get_worker_lease_row_name(worker_id), None)
                continue
            self._recovered_lapses[worker_id] = convert(end_ms)
            tracked = self._fleet.tracked_workers.get(worker_id)
            if tracked is not None:
                self._restore_lapse(tracked)
        # After the rows of workers, which are trusted only beside these.
        self._recover_epochs(
            {
                epoch: convert(end_ms)
                for epoch, end_ms in recovered.epochs.items()
            }, rows.store_ms - now_s * 1000.0)

    def _recover_epochs(self, ends_s: Mapping[int, float],
                        store_offset_ms: float) -> None:
        """Keeps the latest end of leases that earlier leaders gave.

        Args:
            ends_s: End of the leases given before an epoch, by epoch.
            store_offset_ms: Difference of the store's clock to this leader's.
        """
        self._prior_leases_end_s = max(
            [self._prior_leases_end_s, *ends_s.values()])
        for epoch in ends_s:
            if epoch < self._epoch:
                self._ledger.write_row(tables.get_epoch_lease_row_name(epoch),
                                       None)
        self._ledger.write_row(
            tables.get_epoch_lease_row_name(self._epoch),
            lapses.encode_end(store_offset_ms +
                              self._prior_leases_end_s * 1000.0))

    def _restore_lapse(self, tracked: fleets.TrackedWorker) -> None:
        lapse_s = self._recovered_lapses.pop(tracked.worker.worker_id, None)
        if lapse_s is not None:
            tracked.lapse_s = lapse_s

    def _remove_recovered_lapses(self, now_s: float) -> None:
        """Removes the rows of workers that never appeared again."""
        for worker_id, lapse_s in list(self._recovered_lapses.items()):
            if lapse_s <= now_s:
                del self._recovered_lapses[worker_id]
                self._ledger.write_row(
                    tables.get_worker_lease_row_name(worker_id), None)

    def begin_polling(self) -> None:
        """Starts to call workers; all earlier claims must be adopted before.

        The end of a run whose claim is not known yet would be taken for that
        of an unclaimed run and be acknowledged.
        """
        self._ready = True
        for tracked in self._fleet.tracked_workers.values():
            self._poll(tracked)

    def close(self) -> None:
        """Stops sending calls to workers."""
        self._closed = True

    def has_doubtful_runs(self) -> bool:
        """Returns whether a run may outlast what a successor allows for.

        That is a lease of the usual length from the release of the leadership
        on.
        """
        assumed_end_s = (self._timers.read_clock() +
                         fleets.compute_lease_duration_s(self._bounds.lease_s))
        for tracked in self._fleet.tracked_workers.values():
            for claim in tracked.claims.values():
                lease_end_s = max(claim.longest_lease_end_s,
                                  tracked.longest_lease_end_s)
                if not tracked.contacted:
                    lease_end_s = max(lease_end_s, self._prior_leases_end_s)
                if lease_end_s > assumed_end_s:
                    return True
        return False

    def read_list_age_s(self) -> float:
        """Returns the seconds since the list of workers was last current."""
        return self._timers.read_clock() - self._list_updated_s

    def confirm_list(self) -> None:
        """Records that the list of workers is current."""
        self._list_updated_s = self._timers.read_clock()

    # Worker registrations.

    def update_workers(self, workers: dict[str, ports.Worker]) -> None:
        """Replaces the list of registered workers.

        Args:
            workers: All registered workers by id.
        """
        self._list_updated_s = self._timers.read_clock()
        for tracked in self._fleet.update(workers):
            _log.info("worker seen",
                      worker=tracked.worker.worker_id,
                      service=tracked.worker.service,
                      life_ms=tracked.worker.boot_ms,
                      draining=tracked.worker.draining)
            tracked.next_poll_s = float("-inf")
            self._restore_lapse(tracked)
            if tracked.boot_ms not in (0, tracked.worker.boot_ms):
                tracked.contacted = False
                tracked.record_doubt()
            self._poll(tracked)
        self._remove_gone_workers()

    def adopt(self, claim: progress.Claim, *, stop: bool) -> None:
        """Takes over a run that an earlier leader claimed.

        Args:
            claim: Claim of the run.
            stop: Whether the run is to be stopped.
        """
        tracked = self._fleet.tracked_workers.get(claim.worker_id)
        if tracked is None:
            tracked = fleets.TrackedWorker(worker=_build_unregistered(claim))
            tracked.registered = False
            tracked.silent_since_s = self._timers.read_clock()
            self._fleet.tracked_workers[claim.worker_id] = tracked
            self._restore_lapse(tracked)
        tracked.add_claim(claim)
        if not self._prior_released:
            last_start_s = min(self._timers.read_clock(),
                               claim.started_s + START_SETTLE_S)
            claim.unanswered_start_s = last_start_s
            claim.longest_lease_end_s = last_start_s + self._longest_lease_s
        self._keys_by_name[self._workers.format_name(claim.key)] = claim.key
        if stop:
            claim.why = "its job has ended"
            claim.set_phase(Phase.STOPPING, self._timers.read_clock())
        tracked.next_poll_s = float("-inf")

    def _remove_gone_workers(self) -> None:
        """Removes workers that are no longer registered and have no claims."""
        for tracked in self._fleet.remove_gone():
            _log.info("worker gone", worker=tracked.worker.worker_id)
            self._workers.forget(tracked.worker)
            if not tracked.may_get_lease:
                self._ledger.write_row(
                    tables.get_worker_lease_row_name(tracked.worker.worker_id),
                    None)

    def _process_reply(self, claim: progress.Claim, sent_s: float,
                       reply: ports.CommandReply,
                       now_s: float) -> fleets.TrackedWorker | None:
        """Processes what all replies have: clock, reply time and fencing.

        Returns:
            The worker, or None if the reply is no longer relevant.
        """
        tracked = self._fleet.tracked_workers.get(claim.worker_id)
        if self._closed or tracked is None:
            return None
        if tracked.claims.get(claim.key) is not claim:
            return None
        if reply.clock_ms is not None:
            tracked.update_clock(reply.clock_ms, now_s,
                                 self._bounds.max_lease_s)
            tracked.reply_time.record(now_s - sent_s)
        if reply.verdict is Verdict.FENCED:
            self._on_newer_leader(
                f"worker {claim.worker_id} follows another leader")
            return None
        return tracked

    # Starts.

    def start(self, claims: Sequence[progress.Claim],
              job: workload.Workload) -> None:
        """Sends the start commands of claims, which must be durable.

        A leader that was suspended since the commit may have been replaced, so
        it sends them only after another transaction has confirmed that it
        leads.
        """
        if self._closed:
            return
        if not self._has_authority():
            self._ledger.call_after(lambda: self.start(claims, job))
            return
        now_s = self._timers.read_clock()
        for claim in claims:
            # Before any start is sent: if one task of a gang is withheld, its
            # others are then stopped unsent.
            if claim.phase is Phase.CLAIMING and self._is_tracked(claim):
                self._withhold_start(claim)
        for claim in claims:
            if not self._is_tracked(claim):
                # Withheld, or its worker was lost before the claim was durable.
                continue
            tracked = self._fleet.tracked_workers[claim.worker_id]
            if claim.phase is Phase.CLAIMING:
                self._keys_by_name[self._workers.format_name(
                    claim.key)] = claim.key
                claim.set_phase(Phase.STARTING, now_s)
                claim.started_s = now_s
                if tracked.may_get_lease:
                    self._send_start(claim, job.payload)
                else:
                    self._end_run(claim, None, "its worker is silent")
            elif claim.phase is Phase.STOPPING:
                self._end_run(claim, None, claim.why)

    def _is_tracked(self, claim: progress.Claim) -> bool:
        tracked = self._fleet.tracked_workers.get(claim.worker_id)
        return tracked is not None and tracked.claims.get(claim.key) is claim

    def _withhold_start(self, claim: progress.Claim) -> bool:
        """Ends or stops a run whose start must not be sent now.

        Returns:
            Whether the start is withheld.
        """
        tracked = self._fleet.tracked_workers[claim.worker_id]
        obstacle = self._check_start(tracked, claim)
        if not obstacle:
            return False
        if claim.starts_sent:
            # An earlier start may have taken effect, or may still do so.
            for member in self._list_gang(claim):
                self.stop(member, obstacle)
        else:
            self._end_run(claim, None, obstacle)
        return True

    def _list_gang(self, claim: progress.Claim) -> list[progress.Claim]:
        """Returns the runs that make sense only together with a run."""
        job = self._find_job(claim.key.job_id)
        if job is None or not job.workload.steps[claim.key.step].gang:
            return [claim]
        step = job.get_step(claim.key.occurrence, claim.key.step)
        return list(step.claims.values())

    def _send_start(self, claim: progress.Claim, payload: str) -> None:
        if self._withhold_start(claim):
            return
        tracked = self._fleet.tracked_workers[claim.worker_id]
        now_s = self._timers.read_clock()
        claim.tries += 1
        claim.starts_sent += 1
        claim.longest_lease_end_s = now_s + self._longest_lease_s
        claim.retry_s = float("inf")
        command = ports.StartCommand(key=claim.key,
                                     run=claim.run,
                                     payload=payload,
                                     lease_until_ms=self._compute_lease_ms(
                                         tracked, now_s),
                                     epoch=self._epoch,
                                     checkpoint=claim.checkpoint)
        self._workers.start(tracked.worker,
                            command,
                            timeout_s=self._compute_timeout_s(tracked),
                            on_done=lambda reply: self._handle_start_reply(
                                claim, payload, now_s, reply))

    def _has_authority(self) -> bool:
        """Returns whether this leader has confirmed recently that it leads."""
        age_s = self._timers.read_clock() - self._ledger.confirmed_s
        return age_s <= self._bounds.authority_s

    def _compute_lease_ms(self, tracked: fleets.TrackedWorker,
                          now_s: float) -> int:
        # Leases end with the outage that a leader has to bridge, so that a
        # successor waits no longer than that for runs it cannot reach.
        bridge_end_s = self._ledger.confirmed_s + self._bounds.bridge_s
        return tracked.compute_lease_ms(
            min(self._bounds.lease_s, bridge_end_s - now_s), now_s,
            self._bounds.max_lease_s)

    def _compute_timeout_s(self, tracked: fleets.TrackedWorker) -> float:
        return tracked.reply_time.compute_timeout_s(
            self._bounds.min_command_timeout_s,
            self._bounds.max_command_timeout_s)

    def _handle_start_reply(self, claim: progress.Claim, payload: str,
                            sent_s: float, reply: ports.CommandReply) -> None:
        now_s = self._timers.read_clock()
        tracked = self._process_reply(claim, sent_s, reply, now_s)
        if tracked is None:
            return
        verdict = reply.verdict
        if verdict is Verdict.DONE:
            self._settle_start(claim, "its start was answered")
            claim.settled_s = now_s
            claim.longest_lease_end_s = (claim.unanswered_start_s +
                                         self._longest_lease_s)
            if claim.phase is Phase.STARTING:
                claim.set_phase(Phase.RUNNING, now_s)
                claim.percent_s = now_s
            self._poll_now(tracked, now_s)
        elif verdict in REFUSAL_VERDICTS:
            self._handle_refusal(tracked, claim, reply, now_s)
        else:
            tracked.record_loss(now_s)
            if claim.starts_sent > 1 or not claim.start_settled:
                claim.unanswered_start_s = sent_s
            if claim.phase is not Phase.STARTING:
                return
            if (now_s - claim.since_s < self._bounds.start_patience_s and
                    tracked.may_get_lease and self._has_authority()):
                self._send_start(claim, payload)
            else:
                self.stop(claim, "its start was not answered")

    def _settle_start(self, claim: progress.Claim, evidence: str) -> None:
        """Records that a run has begun, by an answer or a report."""
        if not claim.start_settled:
            self._on_begin(claim, evidence)
            claim.settle_start(self._timers.read_clock())

    def _handle_refusal(self, tracked: fleets.TrackedWorker,
                        claim: progress.Claim, reply: ports.CommandReply,
                        now_s: float) -> None:
        verdict = reply.verdict
        _log.info("start refused",
                  request=claim.key.job_id,
                  worker=claim.worker_id,
                  run=claim.run,
                  tries=claim.starts_sent,
                  verdict=verdict.name,
                  detail=reply.detail)
        if verdict is Verdict.NO_ROOM:
            tracked.paused_until_s = now_s + self._bounds.full_pause_s
        elif verdict is not Verdict.SUPERSEDED:
            tracked.paused_until_s = now_s + self._bounds.probe_interval_s
            if verdict is Verdict.NOT_SENT:
                tracked.record_silence(now_s)
        # An earlier start that got no reply may still take effect, or the run
        # has ended already: the worker refuses that too. A stop and a report
        # after it tell.
        if claim.starts_sent == 1:
            self._end_run(claim, None, verdict.value)
        else:
            self.stop(claim, verdict.value)

    # Stops.

    def stop(self, claim: progress.Claim, why: str) -> None:
        """Stops a run; `on_end` is called once it has provably ended."""
        if claim.phase is Phase.STOPPING:
            return
        claim.why = why
        was_sent = claim.starts_sent > 0
        claim.set_phase(Phase.STOPPING, self._timers.read_clock())
        if was_sent:
            self._send_stop(claim)

    def _send_stop(self, claim: progress.Claim) -> None:
        tracked = self._fleet.tracked_workers[claim.worker_id]
        now_s = self._timers.read_clock()
        claim.retry_s = now_s + self._bounds.max_stop_retry_s
        if not tracked.worker.address:
            return
        claim.tries += 1
        boot_ms = tracked.boot_ms
        timeout_s = self._compute_timeout_s(tracked)
        self._workers.stop(tracked.worker,
                           name=self._workers.format_name(claim.key),
                           run=claim.run,
                           epoch=self._epoch,
                           timeout_s=timeout_s,
                           on_done=lambda reply: self._handle_stop_reply(
                               claim, boot_ms, now_s, reply))

    def _handle_stop_reply(self, claim: progress.Claim, boot_ms: int,
                           sent_s: float, reply: ports.CommandReply) -> None:
        now_s = self._timers.read_clock()
        tracked = self._process_reply(claim, sent_s, reply, now_s)
        if tracked is None:
            return
        if reply.verdict in (Verdict.DONE, Verdict.SUPERSEDED):
            if boot_ms == tracked.boot_ms:
                claim.stop_acked_s = min(claim.stop_acked_s, now_s)
                claim.retry_s = float("inf")
            self._poll_now(tracked, now_s)
        elif reply.verdict in (Verdict.LOST, Verdict.NOT_SENT):
            if reply.verdict is Verdict.LOST:
                tracked.record_loss(now_s)
            else:
                tracked.record_silence(now_s)
            # After a lost reply the stop is repeated at once; a worker that
            # stays silent is called less and less often.
            doublings = min(claim.tries - 2, MAX_STOP_RETRY_DOUBLINGS)
            delay_s = self._bounds.min_command_timeout_s * 2**doublings
            claim.retry_s = now_s + min(delay_s, self._bounds.max_stop_retry_s)

    # Ends.

    def drop_unsent(self, claim: progress.Claim, why: str) -> None:
        """Ends the run of a claim if no start of it was sent."""
        if not claim.starts_sent:
            self._end_run(claim, None, why)

    def _end_run(self, claim: progress.Claim, end_state: ports.EndState | None,
                 why: str) -> None:
        """Removes the claim of a run that has provably ended and reports it."""
        tracked = self._fleet.tracked_workers[claim.worker_id]
        tracked.remove_claim(claim)
        # A report of it has no effect any more, and the names of all tasks that
        # ever ran would fill the memory of a leader that lives long.
        self._keys_by_name.pop(self._workers.format_name(claim.key), None)
        sent_s = max(claim.unanswered_start_s,
                     claim.longest_lease_end_s - self._longest_lease_s)
        if self._timers.read_clock() - sent_s < LATE_CALL_S:
            self._late_starts.setdefault(claim.worker_id, []).append(
                _LateStart(self._workers.format_name(claim.key), claim.run,
                           sent_s))
        self._on_end(claim, end_state, why)

    def _stop_late_starts(self, tracked: fleets.TrackedWorker) -> None:
        """Has a process refuse the starts that may still reach it."""
        for start in self._late_starts.get(tracked.worker.worker_id, ()):
            _log.info("stopping a start that may arrive late",
                      worker=tracked.worker.worker_id,
                      task=start.name,
                      run=start.run)
            self._workers.stop(tracked.worker,
                               name=start.name,
                               run=start.run,
                               epoch=self._epoch,
                               timeout_s=self._compute_timeout_s(tracked),
                               on_done=lambda _: None)

    def _remove_old_late_starts(self, now_s: float) -> None:
        """Removes the starts that no process carries out any more."""
        for worker_id, starts in list(self._late_starts.items()):
            starts[:] = [
                start for start in starts if now_s - start.sent_s < LATE_CALL_S
            ]
            if not starts:
                del self._late_starts[worker_id]

    # Reports.

    def _poll_now(self, tracked: fleets.TrackedWorker, now_s: float) -> None:
        tracked.next_poll_s = min(tracked.next_poll_s, now_s)
        self._poll(tracked)

    def _needs_poll(self, tracked: fleets.TrackedWorker, now_s: float) -> bool:
        if not tracked.worker.address:
            return False
        return bool(tracked.claims or tracked.maybe_restarted or
                    tracked.needs_clock_reading(now_s) or
                    tracked.processed_end > tracked.recorded_end or
                    tracked.silent_since_s < float("inf"))

    def _poll(self, tracked: fleets.TrackedWorker) -> None:
        """Requests a report and renews the lease, if that is due."""
        now_s = self._timers.read_clock()
        if (self._closed or not self._ready or tracked.polling or
                now_s < tracked.next_poll_s or
                not self._needs_poll(tracked, now_s)):
            return
        if not self._has_authority():
            return
        tracked.polling = True
        tracked.asked_in_doubt = tracked.maybe_restarted
        lease_ms = None
        wait_ms = 0
        acknowledged_end = 0
        if (tracked.contacted and tracked.may_get_lease and
                not tracked.reply_time.is_missing):
            # The lease of a worker that may be lost must be able to expire.
            lease_ms = self._compute_lease_ms(tracked, now_s)
        if tracked.contacted and not tracked.maybe_restarted:
            acknowledged_end = tracked.compute_acknowledged_end()
            if tracked.processed_end == tracked.recorded_end and tracked.claims:
                wait_ms = self._find_report_wait_ms(tracked)
            if any(claim.phase is Phase.STOPPING
                   for claim in tracked.claims.values()):
                wait_ms = min(wait_ms, STOPPING_REPORT_WAIT_MS)
            if now_s - tracked.last_loss_s < LOSS_MEMORY_S:
                wait_ms = min(wait_ms, STOPPING_REPORT_WAIT_MS)
        delay_s = tracked.reply_time.compute_timeout_s(
            self._bounds.min_report_delay_s, self._bounds.max_report_delay_s)
        self._workers.renew(
            tracked.worker,
            epoch=self._epoch,
            acknowledged_end=acknowledged_end,
            lease_until_ms=lease_ms,
            wait_ms=wait_ms,
            timeout_s=wait_ms / 1000.0 + delay_s,
            on_done=lambda report: self._handle_report(tracked, now_s, report))

    def _find_report_wait_ms(self, tracked: fleets.TrackedWorker) -> int:
        """Returns how long a worker may delay its report if no run ends."""
        for claim in tracked.claims.values():
            job = self._find_job(claim.key.job_id)
            if job is None:
                continue
            if job.workload.priority == workload.URGENT_PRIORITY:
                return self._bounds.urgent_report_wait_ms
        return self._bounds.report_wait_ms

    def _handle_report(self, tracked: fleets.TrackedWorker, sent_s: float,
                       report: ports.Report | ports.CommandReply) -> None:
        tracked.polling = False
        worker_id = tracked.worker.worker_id
        if self._closed or self._fleet.tracked_workers.get(
                worker_id) is not tracked:
            return
        now_s = self._timers.read_clock()
        if isinstance(report, ports.CommandReply):
            self._handle_missing_report(tracked, report, now_s)
            return
        boot_ms = report.boot_ms or tracked.worker.boot_ms
        is_late = tracked.maybe_restarted and not tracked.asked_in_doubt
        if is_late and boot_ms < tracked.worker.boot_ms:
            _log.info("report of an earlier process dropped",
                      worker=worker_id,
                      life_ms=boot_ms,
                      registered_ms=tracked.worker.boot_ms)
            self._poll_now(tracked, now_s)
            return
        if tracked.silent_since_s < float("inf"):
            _log.info("worker answers again",
                      worker=worker_id,
                      silent_s=round(now_s - tracked.silent_since_s, 3))
        if not tracked.contacted or boot_ms != tracked.boot_ms:
            tracked.record_boot(boot_ms)
            self._stop_late_starts(tracked)
            self._on_change()
        if not is_late:
            tracked.maybe_restarted = False
        tracked.update_clock(report.clock_ms, now_s, self._bounds.max_lease_s)
        tracked.reply_time.record_reply()
        self._remove_lapse(tracked)
        newly_ended = self._process_ends(tracked, report)
        present = self._process_running(tracked, report, now_s)
        for claim in list(tracked.claims.values()):
            if claim.key not in present and claim.key not in newly_ended:
                self._handle_unlisted_run(tracked, claim, report, sent_s)
        tracked.next_poll_s = now_s
        if tracked.lapse_removed:
            # A request that waits for an end would delay the renewal that
            # follows as soon as the row is removed.
            tracked.next_poll_s = now_s + self._bounds.probe_interval_s
        elif tracked.processed_end > tracked.recorded_end:
            self._acknowledge_ends(tracked)
            tracked.next_poll_s = now_s + RECORDING_WAIT_S
            if tracked.has_refused_ends(self._ledger.is_set_aside):
                # The report lists them at once, whatever its delay.
                tracked.next_poll_s = now_s + self._bounds.probe_interval_s
        else:
            self._poll(tracked)
        if newly_ended:
            self._on_change()

    def _handle_missing_report(self, tracked: fleets.TrackedWorker,
                               reply: ports.CommandReply, now_s: float) -> None:
        if reply.verdict is Verdict.FENCED:
            self._on_newer_leader(
                f"worker {tracked.worker.worker_id} follows another leader")
            return
        was_silent = tracked.silent_since_s < float("inf")
        if reply.verdict is Verdict.LOST:
            tracked.record_loss(now_s)
        else:
            tracked.record_silence(now_s)
        if tracked.silent_since_s == float("inf"):
            self._poll_now(tracked, now_s)
            return
        if not was_silent:
            _log.warning("worker does not answer",
                         worker=tracked.worker.worker_id,
                         verdict=reply.verdict.name,
                         detail=reply.detail,
                         claims=len(tracked.claims))
        tracked.next_poll_s = now_s + self._bounds.probe_interval_s

    def _record_lapse(self, tracked: fleets.TrackedWorker,
                      now_s: float) -> None:
        """Writes when the leases of a worker have ended, if it stays silent.

        It gets no lease until the row is removed, so the row also holds for the
        leaders that follow. Without the store the row could not be removed, and
        the leases of a worker that answers again would end.
        """
        if (not self._is_silent(tracked) or
            (tracked.contacted and
             now_s - tracked.silent_since_s < LAPSE_RECORD_DELAY_S) or
                not tracked.may_get_lease or not tracked.claims or
                self._ledger.store_failing):
            return
        row_name = tables.get_worker_lease_row_name(tracked.worker.worker_id)
        if len(row_name[1].encode()) > tables.MAX_KEY_BYTES:
            # The store would refuse the transaction, and all after it.
            return
        tracked.lapse_s = max(self._prior_leases_end_s,
                              tracked.sent_leases_end_s)
        end_ms = (self._ledger.read_store_ms() +
                  (tracked.lapse_s - now_s) * 1000.0)
        self._ledger.write_row(row_name, lapses.encode_end(end_ms))
        _log.info("leases of a silent worker recorded",
                  worker=tracked.worker.worker_id,
                  claims=len(tracked.claims),
                  end_in_s=round(tracked.lapse_s - now_s, 3))

    def _remove_lapse(self, tracked: fleets.TrackedWorker) -> None:
        """Removes the row of a worker that answers; it then gets leases."""
        if tracked.may_get_lease or tracked.lapse_removed:
            return
        tracked.lapse_removed = True
        self._ledger.write_row(
            tables.get_worker_lease_row_name(tracked.worker.worker_id), None)

        def allow_leases() -> None:
            tracked.lapse_s = float("inf")
            tracked.lapse_removed = False
            self._poll_now(tracked, self._timers.read_clock())
            self._on_change()

        self._ledger.call_after(
            allow_leases,
            tables.get_worker_lease_row_name(tracked.worker.worker_id))

    def _process_ends(self, tracked: fleets.TrackedWorker,
                      report: ports.Report) -> set[progress.TaskKey]:
        """Processes the ends that a report lists for the first time.

        Returns:
            Keys of the claimed tasks that have ended.
        """
        newly_ended: set[progress.TaskKey] = set()
        tracked.listed_end = min((end.number for end in report.ended),
                                 default=0)
        for end in sorted(report.ended, key=lambda end: end.number):
            if end.number <= tracked.processed_end:
                continue
            tracked.processed_end = end.number
            key = self._keys_by_name.get(end.name)
            claim = tracked.claims.get(key) if key is not None else None
            if claim is None or claim.run != end.run:
                continue
            assert key is not None
            newly_ended.add(key)
            tracked.unrecorded_ends[end.number] = key.job_id
            self._settle_start(claim, "its end was reported")
            if end.checkpoint:
                claim.checkpoint = end.checkpoint
            self._end_run(claim, end.end_state, claim.why or
                          end.end_state.value)
        return newly_ended

    def _acknowledge_ends(self, tracked: fleets.TrackedWorker) -> None:
        """Acknowledges the processed ends once their effects are durable."""
        number = tracked.processed_end
        boot_ms = tracked.boot_ms

        def acknowledge() -> None:
            if tracked.boot_ms == boot_ms and tracked.record_ends(
                    number, self._ledger.is_set_aside):
                tracked.next_poll_s = float("-inf")
                self._poll(tracked)

        self._ledger.call_after(acknowledge)

    def _process_running(self, tracked: fleets.TrackedWorker,
                         report: ports.Report,
                         now_s: float) -> set[progress.TaskKey]:
        """Processes the running tasks that a report lists.

        Returns:
            Keys of the claimed tasks that are running.
        """
        present: set[progress.TaskKey] = set()
        for task in report.running:
            key = self._keys_by_name.get(task.name)
            claim = tracked.claims.get(key) if key is not None else None
            if claim is None or key is None or claim.run != task.run:
                self._stop_unclaimed(tracked, task)
                continue
            present.add(key)
            claim.boot_ms = tracked.boot_ms
            self._update_progress(tracked, claim, task, now_s)
        self._on_report(tracked, now_s)
        return present

    def _update_progress(self, tracked: fleets.TrackedWorker,
                         claim: progress.Claim, task: ports.RunningTask,
                         now_s: float) -> None:
        self._settle_start(claim, "it was reported")
        if task.checkpoint:
            claim.checkpoint = task.checkpoint
        if claim.phase in (Phase.STARTING, Phase.RECOVERING):
            claim.set_phase(Phase.RUNNING, now_s)
            claim.percent_s = now_s
        if task.percent != claim.percent:
            claim.percent = task.percent
            claim.percent_s = now_s
            self._on_progress(claim)
        if claim.phase is Phase.RUNNING:
            self._check_progress(tracked, claim, now_s)

    def _check_progress(self, tracked: fleets.TrackedWorker,
                        claim: progress.Claim, now_s: float) -> None:
        job = self._find_job(claim.key.job_id)
        if job is None:
            return
        step = job.workload.steps[claim.key.step]
        if step.long_running:
            return
        if self._is_stalled(job, claim, now_s):
            tracked.suspect(now_s + self._bounds.stall_pause_s)
            _log.info("run stalled",
                      request=claim.key.job_id,
                      worker=claim.worker_id,
                      percent=claim.percent,
                      unchanged_s=round(now_s - claim.percent_s, 3))
            self.stop(claim, "no progress")
        elif tracked.worker.draining and claim.percent >= MIN_ETA_PERCENT:
            elapsed_s = now_s - claim.started_s
            left_s = elapsed_s * (100 - claim.percent) / claim.percent
            leaving_s = tracked.worker.remaining_ms / 1000.0
            if step.checkpoints and left_s > leaving_s * DRAIN_TIME_FACTOR:
                self.stop(claim, "its worker leaves before it can end")

    def _is_stalled(self, job: progress.Job, claim: progress.Claim,
                    now_s: float) -> bool:
        """Returns whether a run has made no progress for too long."""
        if claim.percent >= DONE_PERCENT:
            # A task of a gang may be waiting for slower tasks.
            return False
        step = job.workload.steps[claim.key.step]
        since_s = claim.percent_s
        if step.gang:
            # Its tasks make no progress before all of them are running.
            state = job.get_step(claim.key.occurrence, claim.key.step)
            others = state.claims.values()
            if any(other.phase is not Phase.RUNNING for other in others):
                return False
            since_s = max(since_s, *(other.since_s for other in others))
        limit_s = max(self._bounds.stall_s,
                      STALL_RUN_TIME_SHARE * step.estimate_ms / 1000.0)
        return now_s - since_s > limit_s

    def _handle_unlisted_run(self, tracked: fleets.TrackedWorker,
                             claim: progress.Claim, report: ports.Report,
                             sent_s: float) -> None:
        """Handles a run that a report lists neither as running nor as ended.

        Args:
            tracked: The worker.
            claim: Claim of the run.
            report: The report.
            sent_s: Time at which the report was requested.
        """
        if not report.complete:
            return
        if claim.phase is Phase.RECOVERING:
            # The request carried this leader's epoch, so the worker refuses a
            # delayed start of an earlier leader from now on.
            self._end_run(claim, None, "was never started")
        elif claim.phase is Phase.RUNNING and claim.settled_s < sent_s:
            if self._may_start_in_new_process(tracked, claim, sent_s):
                claim.boot_ms = tracked.boot_ms
                self.stop(claim, "its worker has restarted")
            else:
                self._end_run(claim, ports.EndState.LAPSED,
                              "its worker lost it")
        elif claim.phase is Phase.STOPPING:
            self._handle_unlisted_stopping_run(tracked, claim, sent_s)

    def _handle_unlisted_stopping_run(self, tracked: fleets.TrackedWorker,
                                      claim: progress.Claim,
                                      sent_s: float) -> None:
        """Handles a run that is being stopped and that a report omits."""
        if self._may_start_in_new_process(tracked, claim, sent_s):
            claim.boot_ms = tracked.boot_ms
            claim.stop_acked_s = float("inf")
            self._send_stop(claim)
        elif claim.boot_ms != tracked.boot_ms:
            self._end_run(claim, None, "its worker has restarted")
        elif claim.stop_acked_s < sent_s:
            self._end_run(claim, None, claim.why)

    def _may_start_in_new_process(self, tracked: fleets.TrackedWorker,
                                  claim: progress.Claim, sent_s: float) -> bool:
        """Returns whether a run may begin in a process that is new to it.

        Args:
            tracked: The worker.
            claim: Claim of the run.
            sent_s: Time at which the last report was requested.
        """
        if claim.boot_ms == tracked.boot_ms:
            return False
        late_s = self._timers.read_clock() - claim.unanswered_start_s
        return claim.settled_s >= sent_s or late_s < LATE_CALL_S

    def _stop_unclaimed(self, tracked: fleets.TrackedWorker,
                        task: ports.RunningTask) -> None:
        """Stops a run for which there is no claim."""
        _log.warning("stopping unclaimed run",
                     worker=tracked.worker.worker_id,
                     task=task.name,
                     run=task.run)
        self._workers.stop(tracked.worker,
                           name=task.name,
                           run=task.run,
                           epoch=self._epoch,
                           timeout_s=self._compute_timeout_s(tracked),
                           on_done=lambda _: None)

    # Periodic work.

    def tick(self) -> None:
        """Sends due report requests and stops; resolves expired leases."""
        if not self._ready:
            return
        now_s = self._timers.read_clock()
        self._remove_recovered_lapses(now_s)
        self._remove_old_late_starts(now_s)
        for tracked in list(self._fleet.tracked_workers.values()):
            self._poll(tracked)
            if not tracked.claims:
                continue
            self._record_lapse(tracked, now_s)
            silent = self._is_silent(tracked) or not tracked.worker.address
            if silent and tracked.is_lease_expired(now_s,
                                                   self._prior_leases_end_s):
                self._resolve_lost_worker(tracked, now_s)
            for claim in list(tracked.claims.values()):
                if (claim.phase is Phase.STOPPING and claim.starts_sent and
                        claim.retry_s <= now_s):
                    self._send_stop(claim)
        self._remove_gone_workers()

    def _is_silent(self, tracked: fleets.TrackedWorker) -> bool:
        """Returns whether a worker counts as silent for its leases.

        One lost reply is enough for a worker that has not answered this leader,
        which may not lead for long.
        """
        return (tracked.silent_since_s < float("inf") or
                (not tracked.contacted and tracked.reply_time.is_missing))

    def _resolve_lost_worker(self, tracked: fleets.TrackedWorker,
                             now_s: float) -> None:
        """Ends the runs of a silent worker whose lease has expired.

        A run whose start is in doubt remains for the longest lease.
        """
        lost = [
            claim for claim in tracked.claims.values()
            if claim.longest_lease_end_s <= now_s
        ]
        if not lost:
            return
        _log.warning("worker lost with its runs",
                     worker=tracked.worker.worker_id,
                     listed=tracked.registered,
                     runs=len(lost),
                     doubtful_runs=len(tracked.claims) - len(lost))
        for claim in lost:
            self._end_run(claim, ports.EndState.LAPSED, "its worker is lost")


def _build_unregistered(claim: progress.Claim) -> ports.Worker:
    """Returns a placeholder for a worker that is no longer registered."""
    return ports.Worker(worker_id=claim.worker_id,
                        address="",
                        service="",
                        failure_domain="",
                        rack="",
                        labels=frozenset(),
                        capacity=workload.Demand(0, 0, 0),
                        draining=True,
                        remaining_ms=0,
                        boot_ms=claim.boot_ms)
