"""Observer of a virtual site, which judges whether jobs stood idle."""

from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import site as sites

# Time between two looks at the state of the workers.
_LOOK_INTERVAL_S = 0.05


class Observer:
    """Notes what is seen of a virtual site from outside.

    Attributes:
        disruptions: When disruptions were active; the injector adds to it.
    """

    def __init__(self, *, site: sites.Site):
        """Begins to observe the site.

        Args:
            site: The site, which has not run yet.
        """
        self.disruptions: list[idleness.Interval] = []
        self._site = site
        self._changes: list[idleness.WorkerChange] = []
        self._latest: dict[str, tuple[bool, bool, bool]] = {}
        self._look()

    def _look(self) -> None:
        now_s = self._site.clock.now_s
        for worker_state in self._site.worker_states.values():
            state = (worker_state.alive, worker_state.reachable,
                     worker_state.draining)
            if self._latest.get(worker_state.worker_id) != state:
                self._latest[worker_state.worker_id] = state
                self._changes.append(
                    idleness.WorkerChange(now_s, worker_state.worker_id,
                                          *state))
        self._site.clock.schedule(_LOOK_INTERVAL_S, self._look)

    def note_disruption(self, duration_s: float) -> None:
        """Notes a disruption that begins now and lasts for seconds."""
        now_s = self._site.clock.now_s
        self.disruptions.append(idleness.Interval(now_s, now_s + duration_s))

    def find_idle_jobs(self, traffic_end_s: float) -> list[idleness.Finding]:
        """Finds jobs that stood beside free room until now.

        Args:
            traffic_end_s: When the last job was submitted and the last
                disruption repaired, in seconds.
        """
        return idleness.find_idle_jobs(self.make_record(traffic_end_s))

    def make_record(self, traffic_end_s: float) -> idleness.Record:
        """Returns what was seen until now."""
        site = self._site
        workers = [
            idleness.Worker(worker_state.worker_id, worker_state.rack,
                            worker_state.labels | {worker_state.rack},
                            worker_state.capacity)
            for worker_state in site.worker_states.values()
        ]
        failed_s = self._find_failed_jobs()
        jobs = [
            idleness.Job(job_id,
                         job.steps,
                         site.accepted_s.get(job_id),
                         cancelled_s=site.cancelled_s.get(job_id),
                         ended_s=failed_s.get(job_id))
            for job_id, job in site.workloads.items()
        ]
        return idleness.Record(workers=workers,
                               changes=self._changes,
                               events=site.history,
                               jobs=jobs,
                               disruptions=self.disruptions,
                               traffic_end_s=traffic_end_s,
                               end_s=site.clock.now_s)

    def _find_failed_jobs(self) -> dict[str, float]:
        """Returns when jobs failed, as a task had failed too often."""
        failed_s: dict[str, float] = {}
        failed_runs: dict[tuple[str, int, str], set[int]] = {}
        for event in self._site.history:
            if event.kind != "failed":
                continue
            job_id, step, task = idleness.parse_name(event.name)
            if self._site.workloads[job_id].steps[step].gang:
                # The members of a gang share its runs.
                task = ""
            runs = failed_runs.setdefault((job_id, step, task), set())
            runs.add(event.run)
            if len(runs) >= sites.QUEUE.max_failures:
                failed_s.setdefault(job_id, event.at_s)
        return failed_s
