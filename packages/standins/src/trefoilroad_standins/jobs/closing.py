"""The end of a schedule: every node is asked for every accepted job.

Then all nodes are killed right after a job was accepted, and are asked again as
long after that as callers ask after the end of their traffic.
"""

from collections.abc import Callable
import functools
import random

from trefoilroad_jobs import intake
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import statuses

# Jobs that are submitted together before the nodes are killed, their tasks and
# the run times: some jobs end before the last question.
JOB_COUNT = 6
MAX_TASKS = 4
RUN_S = (0.3, 25.0)
# The nodes are killed at the first acceptance or this much later.
KILL_DELAY_S = (0.0, 0.3)
RESTART_S = (0.2, 1.5)
SUBMISSION_TIMEOUT_S = 3.0
_LOOK_INTERVAL_S = 0.001

_STATUSES = {
    intake.Outcome.SHOWN: 200,
    intake.Outcome.ABSENT: 410,
    intake.Outcome.UNKNOWN: 504
}


class _Question:
    """A question to a node for the state of a job, with all attempts."""

    def __init__(self, *, site: sites.Site, site_node: sites.SiteNode,
                 job_id: str):
        self._site = site
        self._site_node = site_node
        self._job = site.workloads[job_id]
        self._asked_s = site.clock.now_s
        self._answer = statuses.Answer(
            site_node.name, job_id, self._asked_s + statuses.ANSWER_TIMEOUT_S,
            statuses.ANSWER_TIMEOUT_S)
        self._attempts = 0
        self._ask()

    @property
    def answer(self) -> statuses.Answer:
        """The last answer until now."""
        return self._answer

    def _ask(self) -> None:
        self._attempts += 1
        self._site_node.host.deliver(lambda: self._site_node.node.intake.show(
            self._job.job_id, self._job.team, self._handle_reply))

    def _handle_reply(self, reply: intake.Reply) -> None:
        at_s = self._site.clock.now_s
        status = _STATUSES[reply.outcome]
        self._answer = self._answer._replace(at_s=at_s,
                                             took_s=at_s - self._asked_s,
                                             status=status,
                                             state=reply.state)
        if (statuses.is_refusal(status) and
                self._attempts < statuses.MAX_ATTEMPTS):
            self._site.clock.schedule(reply.retry_after_s or statuses.RETRY_S,
                                      self._ask)


def ask_all(site: sites.Site) -> list[statuses.Answer]:
    """Asks every live node for every accepted job, all at once."""
    questions = [
        _Question(site=site, site_node=site_node, job_id=job_id)
        for site_node in site.nodes.values() if site_node.host.alive
        for job_id in site.accepted_s
    ]
    site.run(statuses.ANSWER_TIMEOUT_S)
    return [question.answer for question in questions]


def find_wrong_answers(site: sites.Site,
                       answers: list[statuses.Answer]) -> list[str]:
    """Returns a line for each answer that no node may give."""
    jobs = [
        idleness.Job(job_id,
                     site.workloads[job_id].steps,
                     accepted_s,
                     cancelled_s=site.cancelled_s.get(job_id),
                     ended_s=site.cancel_confirmed_s.get(job_id))
        for job_id, accepted_s in site.accepted_s.items()
    ]
    return statuses.find_wrong_answers(
        statuses.make_jobs(jobs, site.history, sites.QUEUE.max_failures),
        answers)


def _start(site: sites.Site, name: str) -> None:
    site.add_node(name)


def _kill_all_after_acceptance(site: sites.Site, rng: random.Random,
                               record: Callable[[str], None]) -> list[str]:
    """Kills all nodes once a job is accepted; they start again later.

    Returns:
        A line if no job was accepted.
    """
    names = [name for name, node in site.nodes.items() if node.host.alive]
    job_ids = [f"c{number:015x}" for number in range(JOB_COUNT)]
    for job_id in job_ids:
        site.submit(job_id,
                    tasks=rng.randint(1, MAX_TASKS),
                    run_s=rng.uniform(*RUN_S),
                    through=rng.choice(names),
                    demand=sites.SMALL_DEMAND)
    deadline_s = site.clock.now_s + SUBMISSION_TIMEOUT_S
    while not site.accepted_s.keys() & set(job_ids):
        if site.clock.now_s > deadline_s:
            return ["no job was accepted after the end of all faults"]
        site.run(_LOOK_INTERVAL_S)
    site.run(rng.choice((0.0, rng.uniform(*KILL_DELAY_S))))
    record("kill all after an acceptance")
    for name in names:
        site.kill(name)
        site.clock.schedule(rng.uniform(*RESTART_S),
                            functools.partial(_start, site, name))
    return []


def run(site: sites.Site, seed: int, record: Callable[[str],
                                                      None]) -> list[str]:
    """Ends a schedule whose faults have all been repaired.

    Args:
        site: The site.
        seed: Seed of the random choices, which are drawn separately so that the
            other choices of a seed stay the same.
        record: Called with a description of the fault.

    Returns:
        One line for each violation.
    """
    answers = ask_all(site)
    violations = _kill_all_after_acceptance(site,
                                            random.Random(f"closing {seed}"),
                                            record)
    site.run(statuses.ASKED_AFTER_S)
    answers += ask_all(site)
    return violations + find_wrong_answers(site, answers)
