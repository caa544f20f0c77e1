"""Schedules that hit leaders in series while workers are lost.

A sound deployment runs jobs of many kinds; then three leaders are lost one
after the other, and workers crash, restart, are cut off or lost for good
meanwhile. No accepted job may stand beside free room afterwards.
"""

from collections.abc import Callable
import functools
import random

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import closing
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import observer as observers
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import workers as worker_module

HIT_COUNT = 3
PER_RACK = 4
MAX_RACKS = 6
LABELS = ("red", "blue")
# Traffic goes on for this long after the last leader was hit, and the site is
# observed for this long after the traffic.
TRAFFIC_AFTER_HITS_S = 18.0
OBSERVED_AFTER_TRAFFIC_S = 14.0
# A worker that is lost for good counts as a disruption for as long as the
# lease that it held, since its tasks may run until then.
LOSS_S = 6.5
GUARANTEED_TEAM = "team"
BULK_TEAM = "bulk"


class LeaderSeries:
    """A schedule of jobs and of faults of leaders and workers, from a seed.

    Attributes:
        site: The site under test.
        observer: What is seen of the site from outside.
        log: What the schedule did, in order.
    """

    def __init__(self, *, seed: int, plain: bool = False):
        """Creates the site; nothing is scheduled before the run.

        Args:
            seed: Seed of the schedule and of the site.
            plain: Whether all jobs are bulk jobs that prefer no rack and do
                not fail, at a light load, so that only the loss of leaders and
                workers can keep them from running.
        """
        self._plain = plain
        self._seed = seed
        self._rng = random.Random(seed)
        self._racks = self._rng.randint(2, MAX_RACKS)
        labels = {
            f"r{rack}": frozenset({self._rng.choice(LABELS)})
            for rack in range(self._racks)
        }
        self._capacity = (self._racks * PER_RACK *
                          sites.WORKER_CAPACITY.accelerators)
        self.site = sites.Site(
            seed=seed,
            node_count=self._rng.randint(3, 5),
            worker_count=self._racks * PER_RACK,
            per_rack=PER_RACK,
            labels=labels,
            guarantees={GUARANTEED_TEAM: self._capacity // 4})
        self.observer = observers.Observer(site=self.site)
        self.log: list[str] = []
        self._first_fault_s = self._rng.choice((3.0, 10.0, 32.0))
        self._faults_end_s = self._first_fault_s

    def run(self) -> list[str]:
        """Runs the schedule and checks the outcome.

        Returns:
            One line for each violation.
        """
        self.site.run(1.0)
        gap_s = 10.0 if self._rng.random() < 0.5 else self._rng.uniform(
            3.0, 10.0)
        last_hit_s = self._first_fault_s + (HIT_COUNT - 1) * gap_s
        for number in range(HIT_COUNT):
            self._schedule_at(self._first_fault_s + number * gap_s,
                              self._hit_leader)
        for _ in range(self._rng.randint(1, 5)):
            self._schedule_at(
                self._rng.uniform(self._first_fault_s - 1.0, last_hit_s + 2.0),
                self._hit_workers)
        self._schedule_jobs(last_hit_s + TRAFFIC_AFTER_HITS_S)
        self.site.run(last_hit_s + TRAFFIC_AFTER_HITS_S - self.site.clock.now_s)
        traffic_end_s = max(self.site.clock.now_s,
                            self._faults_end_s + idleness.CALM_S)
        self.site.run(traffic_end_s + OBSERVED_AFTER_TRAFFIC_S -
                      self.site.clock.now_s)
        findings = self.observer.find_idle_jobs(traffic_end_s)
        return [
            *[finding.text for finding in findings],
            *self.observer.find_wrong_answers(),
            *self._close(),
        ]

    def _close(self) -> list[str]:
        """Plays the end of the schedule and checks the whole history."""
        violations = closing.run(self.site, self._seed, self._record)
        return violations + self.site.find_violations()

    def _schedule_at(self, at_s: float, callback: Callable[[], None]) -> None:
        self.site.clock.schedule(at_s - self.site.clock.now_s, callback)

    def _record(self, text: str) -> None:
        self.log.append(f"{self.site.clock.now_s:.3f} {text}")

    # Callers.

    def _schedule_jobs(self, until_s: float) -> None:
        """Schedules jobs that together use a random share of the capacity."""
        load = self._rng.uniform(0.05, 0.3 if self._plain else 1.0)
        work_s = load * self._capacity * until_s
        number = 0
        while work_s > 0:
            steps, run_s, urgent = self._draw_job()
            work_s -= sum(
                step.tasks * step.demand.accelerators * duration_s
                for step, duration_s in zip(steps, run_s, strict=True))
            at_s = self._rng.uniform(1.0, until_s)
            self._schedule_at(
                at_s,
                functools.partial(self._submit, f"{number:016x}", steps, run_s,
                                  urgent))
            number += 1

    def _draw_job(self) -> tuple[list[workload.Step], list[float], bool]:
        """Returns the steps of a job, their run times and if it is urgent."""
        rng = self._rng
        urgent = rng.random() < 0.3 and not self._plain
        steps: list[workload.Step] = []
        run_s: list[float] = []
        for number in range(rng.choice((1, 1, 1, 2, 3))):
            long = not urgent and rng.random() < 0.3
            duration_s = rng.uniform(4.0, 15.0) if long else rng.uniform(
                0.3, 3.0)
            gang = rng.random() < 0.4
            accelerators = rng.choice((1, 1, 2, 4, 8) if gang else (1, 1, 2, 4))
            label = rng.choice(LABELS) if rng.random() < 0.2 else ""
            data_rack = ""
            if rng.random() < 0.25 and not self._plain:
                data_rack = f"r{rng.randrange(self._racks)}"
            steps.append(
                workload.Step(
                    tasks=rng.randint(2, 6) if gang else rng.randint(1, 8),
                    demand=workload.Demand(2000 * accelerators,
                                           4000 * accelerators, accelerators),
                    estimate_ms=int(duration_s * rng.uniform(0.7, 1.3) * 1000),
                    after=(number - 1,) if number else (),
                    checkpoints=rng.random() < 0.3,
                    gang=gang,
                    one_rack=(gang and not self._plain and rng.random() < 0.4),
                    label=label,
                    data_rack=data_rack,
                    max_per_worker=rng.choice((0, 0, 0, 0, 2))))
            run_s.append(duration_s)
        return steps, run_s, urgent

    def _pick_node(self) -> str | None:
        """Returns the name of a node that is alive and not frozen, or None."""
        names = [
            name for name, node in self.site.nodes.items()
            if node.host.alive and not node.host.frozen
        ]
        return self._rng.choice(names) if names else None

    def _submit(self, job_id: str, steps: list[workload.Step],
                run_s: list[float], urgent: bool) -> None:
        name = self._pick_node()
        if name is None:
            return
        self.site.submit_steps(
            job_id,
            steps,
            run_s,
            through=name,
            queue=sites.URGENT_QUEUE if urgent else sites.QUEUE,
            team=GUARANTEED_TEAM if urgent else BULK_TEAM,
            fails=self._rng.random() < 0.03 and not self._plain)
        if self._rng.random() < 0.05:
            self.site.clock.schedule(self._rng.uniform(0.1, 5.0),
                                     lambda: self._cancel(job_id))

    def _cancel(self, job_id: str) -> None:
        name = self._pick_node()
        if name is not None:
            self.site.cancel(job_id, name)

    # Faults.

    def _begin_fault(self, text: str, duration_s: float,
                     end: Callable[[], None] | None) -> None:
        """Notes a fault that has begun and schedules its end, if it has one."""
        self._record(f"{text} for {duration_s:.2f} s")
        self.observer.note_disruption(duration_s)
        self._faults_end_s = max(self._faults_end_s,
                                 self.site.clock.now_s + duration_s)
        if end is not None:
            self.site.clock.schedule(duration_s, end)

    def _hit_leader(self) -> None:
        leader = self.site.find_leader()
        if leader is None or leader.host.frozen:
            self._record("no leader to hit")
            return
        duration_s = self._rng.uniform(2.0, 9.0)
        kind = self._rng.choice(("kill", "freeze", "cut", "refuse"))
        if kind == "kill":
            duration_s = self._rng.uniform(0.2, 2.0)
            self.site.kill(leader.name)
            self._begin_fault(f"kill {leader.name}", duration_s,
                              lambda: self._restart_node(leader.name))
        elif kind == "freeze":
            leader.host.frozen = True
            self._begin_fault(f"freeze {leader.name}", duration_s,
                              leader.host.thaw)
        elif kind == "cut":
            leader.store.cut = True
            self._begin_fault(f"cut {leader.name} from the store", duration_s,
                              lambda: setattr(leader.store, "cut", False))
        else:
            leader.store.refused = True
            self._begin_fault(f"the store refuses {leader.name}", duration_s,
                              lambda: setattr(leader.store, "refused", False))

    def _restart_node(self, name: str) -> None:
        self.site.add_node(name)

    def _hit_workers(self) -> None:
        """Disrupts one to three workers of the site, or all of them."""
        kind = self._rng.choice(
            ("lose", "lose", "crash", "restart", "cut", "cut", "silence"))
        sound = [
            worker_state for worker_state in self.site.worker_states.values()
            if worker_state.alive and worker_state.reachable
        ]
        if kind == "silence":
            self._cut_workers(sound, self._rng.uniform(1.0, 6.0))
            return
        chosen = self._rng.sample(sound, min(len(sound),
                                             self._rng.randint(1, 3)))
        if kind == "cut":
            self._cut_workers(chosen, self._rng.uniform(6.5, 14.0))
            return
        for worker_state in chosen:
            if kind == "lose":
                self._lose_worker(worker_state)
            elif kind == "crash":
                worker_state.crash()
                self._begin_fault(f"crash {worker_state.worker_id}",
                                  self._rng.uniform(1.0, 8.0),
                                  worker_state.restart)
            else:
                worker_state.restart()
                self.site.register(worker_state)
                self._begin_fault(f"restart {worker_state.worker_id}", 0.0,
                                  None)

    def _lose_worker(self, worker_state: worker_module.WorkerState) -> None:
        worker_state.crash()
        self._begin_fault(f"lose {worker_state.worker_id}", LOSS_S, None)

    def _cut_workers(self, worker_states: list[worker_module.WorkerState],
                     duration_s: float) -> None:
        for worker_state in worker_states:
            worker_state.reachable = False
            self._begin_fault(
                f"cut {worker_state.worker_id}", duration_s,
                functools.partial(setattr, worker_state, "reachable", True))
