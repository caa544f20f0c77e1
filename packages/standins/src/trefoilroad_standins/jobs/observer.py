"""Observer of a virtual site, which judges idle jobs and counts of jobs."""

import functools

from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import statuses
from trefoilroad_standins.jobs import waiting

# Time between two looks at the state of the workers and nodes.
_LOOK_INTERVAL_S = 0.05
# Time between two questions to a node how many jobs wait.
_ASK_INTERVAL_S = 0.5
# A node that gives no answer for this long does not know the number.
_ANSWER_TIMEOUT_S = 3.0


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
        self._answers: list[waiting.Answer] = []
        self._open_questions: dict[int, waiting.Answer] = {}
        self._question_count = 0
        self._node_disruptions: dict[str, list[idleness.Interval]] = {}
        self._leaderless: list[idleness.Interval] = []
        self._seen_nodes: dict[str, sites.SiteNode] = {}
        self._seen_leader: tuple[str, int] | None = None
        self._look()
        self._ask()

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
        self._look_at_nodes()
        self._site.clock.schedule(_LOOK_INTERVAL_S, self._look)

    def _look_at_nodes(self) -> None:
        """Notes which nodes are disturbed and whether there is a leader."""
        for name, site_node in self._site.nodes.items():
            is_new = self._seen_nodes.get(name) is not site_node
            self._seen_nodes[name] = site_node
            if is_new or not self._is_sound(site_node):
                self._extend(self._node_disruptions.setdefault(name, []))
        leader = self._site.find_leader()
        seen_leader = None
        if leader is not None and self._is_sound(leader):
            seen_leader = leader.name, leader.node.epoch
        if seen_leader is None or seen_leader != self._seen_leader:
            self._extend(self._leaderless)
        self._seen_leader = seen_leader

    def _is_sound(self, site_node: sites.SiteNode) -> bool:
        """Returns whether the process, links and store of a node work."""
        store = site_node.store
        return (
            site_node.host.alive and not site_node.host.frozen and
            not store.cut and not store.refused and
            not store.loss_probability and store.delay_factor == 1.0 and
            not self._site.tables.down and
            not any(site_node.name in link for link in self._site.cut_links))

    def _extend(self, intervals: list[idleness.Interval]) -> None:
        """Adds the time since the last look to intervals."""
        now_s = self._site.clock.now_s
        from_s = max(0.0, now_s - _LOOK_INTERVAL_S)
        if intervals and intervals[-1].to_s >= from_s - _LOOK_INTERVAL_S / 2:
            from_s = intervals.pop().from_s
        intervals.append(idleness.Interval(from_s, now_s))

    def _ask(self) -> None:
        """Asks all nodes that can answer for both queues."""
        now_s = self._site.clock.now_s
        for name, site_node in self._site.nodes.items():
            if not site_node.host.alive or site_node.host.frozen:
                continue
            for queue in self._site.configuration.queues:
                number = self._question_count
                self._question_count += 1
                self._open_questions[number] = waiting.Answer(
                    now_s, now_s + _ANSWER_TIMEOUT_S, name, queue.name, None)
                self._site.ask_pending(
                    name, queue.name,
                    functools.partial(self._note_answer, number))
        self._site.clock.schedule(_ASK_INTERVAL_S, self._ask)

    def _note_answer(self, number: int, count: int | None) -> None:
        question = self._open_questions.pop(number)
        self._answers.append(
            question._replace(at_s=self._site.clock.now_s, pending=count))

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

    def find_wrong_answers(self) -> list[str]:
        """Returns a line for each node that gave a wrong number of jobs."""
        record = self.make_waiting_record()
        return waiting.describe([
            *waiting.find_wrong_answers(record),
            *waiting.find_excess_answers(record)
        ])

    def make_waiting_record(self) -> waiting.Record:
        """Returns what was seen until now of the jobs that wait."""
        site = self._site
        begun_s = waiting.find_first_starts(site.history)
        jobs = [
            waiting.Job(job_id,
                        job.queue,
                        site.submitted_s[job_id],
                        site.accepted_s.get(job_id),
                        begun_s=begun_s.get(job_id),
                        cancelled_s=site.cancelled_s.get(job_id),
                        ended_s=site.cancel_confirmed_s.get(job_id))
            for job_id, job in site.workloads.items()
        ]
        unanswered = [
            question for question in self._open_questions.values()
            if question.at_s <= site.clock.now_s
        ]
        return waiting.Record(answers=self._answers + unanswered,
                              jobs=jobs,
                              disruptions=self._node_disruptions,
                              leaderless=self._leaderless,
                              faults=self.disruptions)

    def make_record(self, traffic_end_s: float) -> idleness.Record:
        """Returns what was seen until now."""
        site = self._site
        workers = [
            idleness.Worker(worker_state.worker_id, worker_state.rack,
                            worker_state.labels | {worker_state.rack},
                            worker_state.capacity)
            for worker_state in site.worker_states.values()
        ]
        failed_s = statuses.find_failed_jobs(
            {
                job_id: job.steps for job_id, job in site.workloads.items()
            }, site.history, sites.QUEUE.max_failures)
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
