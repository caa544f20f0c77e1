"""Tests of the status_lookups module, and of what the intake records there."""

import pytest
import structlog.testing

from trefoilroad_jobs import intake
from trefoilroad_jobs import ports
from trefoilroad_jobs import status_lookups
from trefoilroad_jobs import tables
from trefoilroad_node import registry
from trefoilroad_standins.jobs import site as sites

JOB = "0" * 16
LINES = ("status unknown", "status late")


class _Case:
    """A site with a job that runs, and the metrics of one node."""

    def __init__(self):
        self.site = sites.Site()
        self.site.run(2.0)
        self.leader = self.site.find_leader()
        self.follower = next(
            site_node for site_node in self.site.nodes.values()
            if site_node is not self.leader)
        self.site.submit(JOB, demand=sites.SMALL_DEMAND, run_s=60.0)
        self.site.run(1.0)

    def show(self, site_node, job_id=JOB, count=1):
        """Asks a node; returns the outcome, the counters and the lines."""
        metrics = registry.Registry()
        site_node.node.intake._lookups._metrics = metrics
        with structlog.testing.capture_logs() as lines:
            for _ in range(count):
                self.site.show(job_id, site_node.name)
            self.site.run(3.0)
        reply = self.site.replies.get(job_id)
        counters = {
            name.removeprefix("trefoilroad_status_").removesuffix("_total"):
                int(value)
            for name, value in (
                line.split(" ") for line in metrics.render().splitlines())
            if name.endswith(("_total", "_count"))
        }
        return (reply and reply.outcome, counters,
                [line for line in lines if line["event"] in LINES])


@pytest.fixture
def case():
    return _Case()


def test_sources_are_counted_without_lines(case):
    """Guards against counters that name a wrong source, and useless lines."""
    shown = intake.Outcome.SHOWN
    assert case.show(case.leader) == (shown, {
        "answer_seconds_count": 1,
        "from_own": 1
    }, [])
    assert case.show(case.follower) == (shown, {
        "answer_seconds_count": 1,
        "from_leader": 1
    }, [])
    case.site.cancel(JOB)
    case.site.run(3.0)
    case.show(case.follower)
    assert case.show(case.follower)[1:] == ({
        "answer_seconds_count": 1,
        "from_remembered": 1
    }, [])


def test_absent_job_is_an_answer_of_the_store(case):
    """Guards against absent jobs that count as unanswered."""
    outcome, counters, lines = case.show(case.follower, "f" * 16)
    assert outcome is intake.Outcome.ABSENT
    assert counters == {
        "answer_seconds_count": 1,
        "from_store": 1,
        "no_leader_status_job_unknown": 1
    }
    assert not lines


def test_silent_leader_and_refusing_store_are_told(case):
    """Guards against a caller without an answer of whom no log tells."""
    case.leader.host.frozen = True
    case.follower.store.refused = True
    outcome, counters, (line,) = case.show(case.follower)
    assert outcome is intake.Outcome.UNKNOWN
    assert counters == {
        "answer_seconds_count": 1,
        "no_leader_status_silent": 1,
        "unanswered_store_failed_silent": 1
    }
    assert line["event"] == "status unknown"
    assert line["request"] == JOB
    assert line["cause"] == "store_failed_silent"
    assert not line["leading"]
    assert line["epoch"] == case.leader.node.epoch
    leader_step, *row_steps = line["tried"]
    assert leader_step["step"] == "leader"
    assert leader_step["took_s"] == pytest.approx(0.4, abs=0.01)
    assert {step["step"] for step in row_steps} == {"job row", "progress row"}
    assert {step["failure"] for step in row_steps} == {"too many calls"}
    assert line["took_s"] == pytest.approx(sum(
        step["took_s"] for step in line["tried"]),
                                           abs=0.001)


def test_link_that_is_down_differs_from_a_silent_leader(case):
    """Guards against lost links that look like a busy leader."""
    case.site.cut_links.add(frozenset({case.leader.name, case.follower.name}))
    case.follower.store.refused = True
    _, counters, (line,) = case.show(case.follower)
    assert counters["unanswered_store_failed_link_down"] == 1
    assert line["tried"][0]["failure"] == "no link to the leader"


@pytest.mark.parametrize(("table", "key", "step"), [
    (tables.INTAKE, tables.JOB_PREFIX + JOB, "job row"),
    (tables.PROGRESS, JOB, "progress row"),
])
def test_row_that_cannot_be_decoded_is_told(case, table, key, step):
    """Guards against a job that no node can tell the state of, unnoticed."""
    case.site.cut_links.add(frozenset({case.leader.name, case.follower.name}))
    read = case.follower.store.read

    def read_altered(*, table, key, on_done):
        if (table, key) == altered:
            on_done(ports.Rows([ports.Row(key, b"\xff", 1)], 1, 0.0))
        else:
            read(table=table, key=key, on_done=on_done)

    altered = (table, key)
    case.follower.store.read = read_altered
    outcome, counters, (line,) = case.show(case.follower)
    assert outcome is intake.Outcome.UNKNOWN
    assert counters["unanswered_row_unreadable"] == 1
    assert line["cause"] == "row_unreadable"
    assert line["log_level"] == "error"
    assert line["tried"][-1]["step"] == step
    assert line["tried"][-1]["failure"]


def test_late_status_is_told(case):
    """Guards against slow answers that only callers notice."""
    case.site.cut_links.add(frozenset({case.leader.name, case.follower.name}))
    case.follower.store.delay_factor = 600.0
    outcome, counters, (line,) = case.show(case.follower)
    assert outcome is intake.Outcome.SHOWN
    assert counters["from_store"] == 1
    assert (line["event"], line["source"]) == ("status late", "store")
    assert line["took_s"] > status_lookups.LATE_S
    assert sorted(step["step"] for step in line["tried"]) == [
        "job row", "leader", "progress row"
    ]


def test_lines_are_bounded(case):
    """Guards against a log that is full of one line while the store is out."""
    case.leader.host.frozen = True
    case.follower.store.refused = True
    _, counters, lines = case.show(case.follower, count=100)
    assert counters["unanswered_store_failed_silent"] == 100
    assert len(lines) == status_lookups.MAX_LINES_PER_S
    _, _, (line,) = case.show(case.follower)
    assert line["left_out"] == 100 - status_lookups.MAX_LINES_PER_S


def test_unreadable_row_is_told_beside_a_store_that_is_out(case):
    """Guards against a permanent fault whose line is left out for others."""
    case.leader.host.frozen = True
    read = case.follower.store.read

    def read_altered(*, table, key, on_done):
        if key.endswith(JOB):
            on_done(ports.Rows([ports.Row(key, b"\xff", 1)], 1, 0.0))
        else:
            read(table=table, key=key, on_done=on_done)

    case.follower.store.read = read_altered
    case.follower.store.refused = True
    for number in range(1, 100):
        case.site.show(f"{number:016x}", case.follower.name)
    _, counters, lines = case.show(case.follower)
    assert counters["unanswered_store_failed_silent"] == 99
    causes = [line["cause"] for line in lines]
    assert causes.count("row_unreadable") == 1
    assert len(causes) == 1 + status_lookups.MAX_LINES_PER_S
