"""Runs on workers: starts, stops, leases, reports and doubtful cases.

A run that was claimed is alive until it is proved to have ended:
- its worker lists its end, or
- its worker confirmed a stop, which also refuses a start that comes late, and
  a report asked for after that does not list it, or
- its worker has begun a new life after the start was settled, or
- its worker is silent and its lease has ended on the worker's own clock.
"""

from collections.abc import Callable
from collections.abc import Sequence

import structlog

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import limits
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_node import timer

Phase = progress.Phase
Verdict = ports.Verdict

# Wait for a report while a stop is under way, in milliseconds.
SHORT_WAIT_MS = 200
# Answers of workers are written within this time before the next report is
# asked for; a report that lists them again would come at once.
RECORD_WAIT_S = 0.05
# A worker that drains loses what would end this much later than it leaves.
DRAIN_MARGIN = 1.2
# Share of the declared run time for which progress may stand still. Progress
# comes in whole percents, workers may be several times slow, and declarations
# are off by a factor of two.
STALL_SHARE = 0.15
DONE_PERCENT = 100
# Progress below this is too coarse to extrapolate from, in percent.
MIN_PERCENT = 5

# Verdicts after which this send of a start has certainly not taken effect.
REFUSED = frozenset({
    Verdict.SUPERSEDED, Verdict.LATE, Verdict.NO_ROOM, Verdict.UNHEALTHY,
    Verdict.OTHER_LIFE, Verdict.INVALID, Verdict.NOT_SENT
})

OnEnd = Callable[[progress.Claim, ports.EndState | None, str], None]

_log = structlog.get_logger()


class Runs:
    """All runs that may be alive."""

    def __init__(self, *, epoch: int, fleet: fleets.Fleet,
                 workers: ports.Workers, timers: timer.Timers,
                 ledger: ledgers.Ledger, bounds: limits.Limits,
                 fallback_s: float,
                 find_job: Callable[[str], progress.Job | None], on_end: OnEnd,
                 on_change: Callable[[], None], on_deposed: Callable[[str],
                                                                     None]):
        """Prepares.

        Args:
            epoch: Epoch of the leader.
            fleet: Beliefs about workers.
            workers: Sends orders.
            timers: Source of time.
            ledger: Writes decisions.
            bounds: Time limits.
            fallback_s: When all leases of earlier leaders have ended.
            find_job: Finds a job by id.
            on_end: Called with each run that is proved to have ended.
            on_change: Called when a round may have something new to decide.
            on_deposed: Called when a worker knows a newer leader.
        """
        self._epoch = epoch
        self._fleet = fleet
        self._workers = workers
        self._timers = timers
        self._ledger = ledger
        self._bounds = bounds
        self._fallback_s = fallback_s
        self._find_job = find_job
        self._on_end = on_end
        self._on_change = on_change
        self._on_deposed = on_deposed
        self._closed = False
        self._ready = False
        self._listed_s = timers.read_clock()
        self._names: dict[str, progress.TaskKey] = {}

    def begin(self) -> None:
        """Begins to call workers, once all earlier claims are adopted.

        An end that is listed before its claim is known would be taken for
        that of a stray run and be acknowledged.
        """
        self._ready = True
        for member in self._fleet.members.values():
            self._poll(member)

    def close(self) -> None:
        """Sends nothing more."""
        self._closed = True

    def get_list_age_s(self) -> float:
        """Returns the time since the list of workers last changed."""
        return self._timers.read_clock() - self._listed_s

    # Workers come, change and go.

    def see_workers(self, workers: dict[str, ports.Worker]) -> None:
        """Takes the complete list of registered workers."""
        self._listed_s = self._timers.read_clock()
        for member in self._fleet.update(workers):
            _log.info("worker seen",
                      worker=member.worker.worker_id,
                      service=member.worker.service,
                      life_ms=member.worker.boot_ms,
                      draining=member.worker.draining)
            member.poll_s = float("-inf")
            if member.boot_ms not in (0, member.worker.boot_ms):
                member.contacted = False
                member.doubtful = True
            self._poll(member)
        self._forget_gone()

    def adopt(self, claim: progress.Claim, *, stop: bool) -> None:
        """Takes over a run that an earlier leader claimed."""
        member = self._fleet.members.get(claim.worker_id)
        if member is None:
            member = fleets.Member(worker=_build_absent(claim))
            member.listed = False
            member.silent_s = self._timers.read_clock()
            self._fleet.members[claim.worker_id] = member
        member.claims[claim.key] = claim
        self._names[self._workers.format_name(claim.key)] = claim.key
        if stop:
            claim.why = "its job has ended"
            claim.set_phase(Phase.STOPPING, self._timers.read_clock())
        member.poll_s = float("-inf")

    def _forget_gone(self) -> None:
        """Forgets workers that are not listed and run nothing."""
        for member in self._fleet.drop_gone():
            _log.info("worker gone", worker=member.worker.worker_id)
            self._workers.forget(member.worker)

    def _take_answer(self, claim: progress.Claim, answer: ports.Answer,
                     now_s: float) -> fleets.Member | None:
        """Takes what every answer to an order says.

        Returns:
            The worker, or None if the answer changes nothing any more.
        """
        member = self._fleet.members.get(claim.worker_id)
        if self._closed or member is None:
            return None
        if member.claims.get(claim.key) is not claim:
            return None
        if answer.clock_ms is not None:
            member.note_clock(answer.clock_ms, now_s, self._bounds.max_lease_s)
        if answer.verdict is Verdict.FENCED:
            self._on_deposed(f"worker {claim.worker_id} follows another leader")
            return None
        return member

    # Starts.

    def start(self, claims: Sequence[progress.Claim],
              job: workload.Workload) -> None:
        """Sends the starts of claims that are durable now."""
        now_s = self._timers.read_clock()
        for claim in claims:
            if claim.phase is Phase.CLAIMING:
                self._names[self._workers.format_name(claim.key)] = claim.key
                claim.set_phase(Phase.STARTING, now_s)
                claim.started_s = now_s
                self._send_start(claim, job.payload)
            elif claim.phase is Phase.STOPPING:
                self._resolve(claim, None, claim.why)

    def _send_start(self, claim: progress.Claim, payload: str) -> None:
        member = self._fleet.members[claim.worker_id]
        now_s = self._timers.read_clock()
        claim.tries += 1
        claim.start_sent = True
        claim.retry_s = float("inf")
        command = ports.StartCommand(key=claim.key,
                                     run=claim.run,
                                     payload=payload,
                                     lease_until_ms=member.compute_lease_ms(
                                         self._bounds.lease_s, now_s),
                                     epoch=self._epoch,
                                     checkpoint=claim.checkpoint)
        self._workers.start(
            member.worker, command,
            lambda answer: self._take_start(claim, payload, answer))

    def _take_start(self, claim: progress.Claim, payload: str,
                    answer: ports.Answer) -> None:
        now_s = self._timers.read_clock()
        member = self._take_answer(claim, answer, now_s)
        if member is None:
            return
        verdict = answer.verdict
        if verdict is Verdict.DONE:
            claim.start_settled = True
            if claim.phase is Phase.STARTING:
                claim.set_phase(Phase.RUNNING, now_s)
                claim.percent_s = now_s
            self._schedule_poll(member, now_s)
        elif verdict in REFUSED:
            self._take_refusal(member, claim, answer, now_s)
        else:
            member.note_silence(now_s)
            if claim.phase is not Phase.STARTING:
                return
            if claim.tries < self._bounds.start_tries:
                self._send_start(claim, payload)
            else:
                self.stop(claim, "its start got no answer")

    def _take_refusal(self, member: fleets.Member, claim: progress.Claim,
                      answer: ports.Answer, now_s: float) -> None:
        verdict = answer.verdict
        _log.info("start refused",
                  request=claim.key.job_id,
                  worker=claim.worker_id,
                  run=claim.run,
                  tries=claim.tries,
                  verdict=verdict.name,
                  detail=answer.detail)
        if verdict is Verdict.NO_ROOM:
            member.full_until_s = now_s + self._bounds.full_pause_s
        elif verdict is not Verdict.SUPERSEDED:
            member.full_until_s = now_s + self._bounds.probe_interval_s
            if verdict is Verdict.NOT_SENT:
                member.note_silence(now_s)
        # An earlier send without an answer may still take effect, unless the
        # worker refuses this run for good.
        if claim.tries == 1 or verdict is Verdict.SUPERSEDED:
            self._resolve(claim, None, verdict.value)
        else:
            self.stop(claim, verdict.value)

    # Stops.

    def stop(self, claim: progress.Claim, why: str) -> None:
        """Has a run end; its end is reported once it is proved."""
        if claim.phase is Phase.STOPPING:
            return
        claim.why = why
        was_sent = claim.start_sent
        claim.set_phase(Phase.STOPPING, self._timers.read_clock())
        if was_sent:
            self._send_stop(claim)

    def _send_stop(self, claim: progress.Claim) -> None:
        member = self._fleet.members[claim.worker_id]
        now_s = self._timers.read_clock()
        claim.retry_s = now_s + self._bounds.stop_retry_s
        if not member.worker.address:
            return
        claim.tries += 1
        boot_ms = member.boot_ms
        self._workers.stop(
            member.worker,
            name=self._workers.format_name(claim.key),
            run=claim.run,
            epoch=self._epoch,
            on_done=lambda answer: self._take_stop(claim, boot_ms, answer))

    def _take_stop(self, claim: progress.Claim, boot_ms: int,
                   answer: ports.Answer) -> None:
        now_s = self._timers.read_clock()
        member = self._take_answer(claim, answer, now_s)
        if member is None:
            return
        if answer.verdict in (Verdict.DONE, Verdict.SUPERSEDED):
            if boot_ms == member.boot_ms:
                claim.stop_acked_s = min(claim.stop_acked_s, now_s)
                claim.retry_s = float("inf")
            self._schedule_poll(member, now_s)
        elif answer.verdict in (Verdict.LOST, Verdict.NOT_SENT):
            member.note_silence(now_s)

    # Ends.

    def _resolve(self, claim: progress.Claim, end_state: ports.EndState | None,
                 why: str) -> None:
        """Reports the proved end of a run."""
        member = self._fleet.members[claim.worker_id]
        if member.claims.get(claim.key) is claim:
            del member.claims[claim.key]
        self._on_end(claim, end_state, why)

    # Reports.

    def _schedule_poll(self, member: fleets.Member, now_s: float) -> None:
        member.poll_s = min(member.poll_s, now_s)
        self._poll(member)

    def _needs_poll(self, member: fleets.Member) -> bool:
        if not member.worker.address:
            return False
        return bool(member.claims or member.doubtful or
                    member.processed > member.recorded or
                    member.silent_s < float("inf"))

    def _poll(self, member: fleets.Member) -> None:
        """Asks for a report and renews the lease, if that is due."""
        now_s = self._timers.read_clock()
        if (self._closed or not self._ready or member.polling or
                now_s < member.poll_s or not self._needs_poll(member)):
            return
        if now_s - self._ledger.confirmed_s > self._bounds.authority_s:
            return
        member.polling = True
        lease_ms = None
        wait_ms = 0
        acknowledged = 0
        if member.contacted and not member.doubtful:
            acknowledged = member.recorded
            lease_ms = member.compute_lease_ms(self._bounds.lease_s, now_s)
            if member.processed == member.recorded and member.claims:
                wait_ms = self._find_report_wait_ms(member)
            if any(claim.phase is Phase.STOPPING
                   for claim in member.claims.values()):
                wait_ms = min(wait_ms, SHORT_WAIT_MS)
        self._workers.renew(
            member.worker,
            epoch=self._epoch,
            acknowledged=acknowledged,
            lease_until_ms=lease_ms,
            wait_ms=wait_ms,
            on_done=lambda report: self._take_report(member, now_s, report))

    def _find_report_wait_ms(self, member: fleets.Member) -> int:
        """Returns how long a worker may wait for an end before it reports."""
        for claim in member.claims.values():
            job = self._find_job(claim.key.job_id)
            if job is None:
                continue
            if job.workload.priority == workload.URGENT_PRIORITY:
                return self._bounds.urgent_report_wait_ms
        return self._bounds.report_wait_ms

    def _take_report(self, member: fleets.Member, sent_s: float,
                     report: ports.Report | ports.Answer) -> None:
        member.polling = False
        worker_id = member.worker.worker_id
        if self._closed or self._fleet.members.get(worker_id) is not member:
            return
        now_s = self._timers.read_clock()
        if isinstance(report, ports.Answer):
            self._take_no_report(member, report, now_s)
            return
        if member.silent_s < float("inf"):
            _log.info("worker answers again",
                      worker=worker_id,
                      silent_s=round(now_s - member.silent_s, 3))
        boot_ms = report.boot_ms or member.worker.boot_ms
        if not member.contacted or boot_ms != member.boot_ms:
            member.begin_life(boot_ms)
            self._on_change()
        member.doubtful = False
        member.note_clock(report.clock_ms, now_s, self._bounds.max_lease_s)
        listed = self._take_ends(member, report)
        present = self._take_running(member, report, now_s)
        for claim in list(member.claims.values()):
            if claim.key not in present and claim.key not in listed:
                self._take_absence(member, claim, report, sent_s)
        member.poll_s = now_s
        if member.processed > member.recorded:
            self._record_ends(member)
            member.poll_s = now_s + RECORD_WAIT_S
        else:
            self._poll(member)
        if listed:
            self._on_change()

    def _take_no_report(self, member: fleets.Member, answer: ports.Answer,
                        now_s: float) -> None:
        if answer.verdict is Verdict.FENCED:
            self._on_deposed(
                f"worker {member.worker.worker_id} follows another leader")
            return
        if member.silent_s == float("inf"):
            _log.warning("worker does not answer",
                         worker=member.worker.worker_id,
                         verdict=answer.verdict.name,
                         detail=answer.detail,
                         claims=len(member.claims))
        member.note_silence(now_s)
        member.poll_s = now_s + self._bounds.probe_interval_s

    def _take_ends(self, member: fleets.Member,
                   report: ports.Report) -> set[progress.TaskKey]:
        """Processes ends that are listed for the first time."""
        listed: set[progress.TaskKey] = set()
        for end in sorted(report.ended, key=lambda end: end.number):
            if end.number <= member.processed:
                continue
            member.processed = end.number
            key = self._names.get(end.name)
            claim = member.claims.get(key) if key is not None else None
            if claim is None or claim.run != end.run:
                continue
            assert key is not None
            listed.add(key)
            claim.start_settled = True
            if end.checkpoint:
                claim.checkpoint = end.checkpoint
            self._resolve(claim, end.end_state, claim.why or
                          end.end_state.value)
        return listed

    def _record_ends(self, member: fleets.Member) -> None:
        """Acknowledges ends once what follows from them is durable."""
        number = member.processed
        boot_ms = member.boot_ms

        def note() -> None:
            if member.boot_ms == boot_ms:
                member.recorded = max(member.recorded, number)
                member.poll_s = float("-inf")
                self._poll(member)

        self._ledger.call_after(note)

    def _take_running(self, member: fleets.Member, report: ports.Report,
                      now_s: float) -> set[progress.TaskKey]:
        """Takes over what is said of running tasks; returns those it knows."""
        present: set[progress.TaskKey] = set()
        for task in report.running:
            key = self._names.get(task.name)
            claim = member.claims.get(key) if key is not None else None
            if claim is None or key is None or claim.run != task.run:
                self._stop_stray(member, task)
                continue
            present.add(key)
            claim.boot_ms = member.boot_ms
            self._take_progress(member, claim, task, now_s)
        return present

    def _take_progress(self, member: fleets.Member, claim: progress.Claim,
                       task: ports.RunningTask, now_s: float) -> None:
        claim.start_settled = True
        if task.checkpoint:
            claim.checkpoint = task.checkpoint
        if claim.phase in (Phase.STARTING, Phase.RECOVERING):
            claim.set_phase(Phase.RUNNING, now_s)
            claim.percent_s = now_s
        if task.percent != claim.percent:
            claim.percent = task.percent
            claim.percent_s = now_s
        if claim.phase is Phase.RUNNING:
            self._check_progress(member, claim, now_s)

    def _check_progress(self, member: fleets.Member, claim: progress.Claim,
                        now_s: float) -> None:
        job = self._find_job(claim.key.job_id)
        if job is None:
            return
        step = job.workload.steps[claim.key.step]
        if step.long_running:
            return
        if self._stands_still(job, claim, now_s):
            member.suspect(now_s + self._bounds.stall_pause_s)
            _log.info("run stalls",
                      request=claim.key.job_id,
                      worker=claim.worker_id,
                      percent=claim.percent,
                      unchanged_s=round(now_s - claim.percent_s, 3))
            self.stop(claim, "no progress")
        elif member.worker.draining and claim.percent >= MIN_PERCENT:
            elapsed_s = now_s - claim.started_s
            left_s = elapsed_s * (100 - claim.percent) / claim.percent
            leaves_s = member.worker.remaining_ms / 1000.0
            if step.checkpoints and left_s > leaves_s * DRAIN_MARGIN:
                self.stop(claim, "its worker leaves before it can end")

    def _stands_still(self, job: progress.Job, claim: progress.Claim,
                      now_s: float) -> bool:
        """Tells whether a run makes no progress although it could."""
        if claim.percent >= DONE_PERCENT:
            # A member of a gang may wait for slower ones.
            return False
        step = job.workload.steps[claim.key.step]
        since_s = claim.percent_s
        if step.gang:
            # Members make no progress before all of them are present.
            state = job.get_step(claim.key.occurrence, claim.key.step)
            others = state.claims.values()
            if any(other.phase is not Phase.RUNNING for other in others):
                return False
            since_s = max(since_s, *(other.since_s for other in others))
        limit_s = max(self._bounds.stall_s,
                      STALL_SHARE * step.estimate_ms / 1000.0)
        return now_s - since_s > limit_s

    def _take_absence(self, member: fleets.Member, claim: progress.Claim,
                      report: ports.Report, sent_s: float) -> None:
        """Judges a run that a report lists neither as running nor ended."""
        if not report.complete:
            return
        if claim.phase is Phase.RECOVERING:
            # The report's call carried our epoch: a start of an earlier
            # leader that has not come yet is refused from now on.
            self._resolve(claim, None, "was never started")
        elif claim.phase is Phase.RUNNING and claim.since_s < sent_s:
            self._resolve(claim, ports.EndState.LAPSED, "its worker lost it")
        elif claim.phase is Phase.STOPPING:
            self._take_stopped(member, claim, sent_s)

    def _take_stopped(self, member: fleets.Member, claim: progress.Claim,
                      sent_s: float) -> None:
        """Judges a run that is being stopped and that no report lists."""
        if claim.boot_ms != member.boot_ms and claim.start_settled:
            self._resolve(claim, None, "its worker has started anew")
        elif claim.boot_ms != member.boot_ms:
            # The start may still come, and the new life would take it.
            claim.boot_ms = member.boot_ms
            claim.stop_acked_s = float("inf")
            self._send_stop(claim)
        elif claim.stop_acked_s < sent_s:
            self._resolve(claim, None, claim.why)

    def _stop_stray(self, member: fleets.Member,
                    task: ports.RunningTask) -> None:
        """Stops a run that nobody has claimed."""
        _log.warning("stray run",
                     worker=member.worker.worker_id,
                     task=task.name,
                     run=task.run)
        self._workers.stop(member.worker,
                           name=task.name,
                           run=task.run,
                           epoch=self._epoch,
                           on_done=lambda _: None)

    # Time.

    def tick(self) -> None:
        """Does what is due by the passing of time."""
        if not self._ready:
            return
        now_s = self._timers.read_clock()
        for member in list(self._fleet.members.values()):
            self._poll(member)
            if not member.claims:
                continue
            silent = member.silent_s < float("inf") or not member.worker.address
            if silent and member.is_lease_over(now_s, self._fallback_s):
                self._give_up(member)
                continue
            for claim in list(member.claims.values()):
                if (claim.phase is Phase.STOPPING and claim.start_sent and
                        claim.retry_s <= now_s):
                    self._send_stop(claim)
        self._forget_gone()

    def _give_up(self, member: fleets.Member) -> None:
        """Resolves the runs of a silent worker whose lease has ended."""
        _log.warning("worker lost with its runs",
                     worker=member.worker.worker_id,
                     listed=member.listed,
                     runs=len(member.claims))
        for claim in list(member.claims.values()):
            self._resolve(claim, ports.EndState.LAPSED, "its worker is lost")


def _build_absent(claim: progress.Claim) -> ports.Worker:
    """Stands for a worker that was not registered at the takeover."""
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
