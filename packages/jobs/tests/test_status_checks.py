"""Tests that schedules and soaks find nodes with wrong states of jobs.

They guard against checks that cannot fail.
"""

import asyncio

import pytest

from trefoilroad_jobs import intake as intakes
from trefoilroad_jobs import node as nodes
from trefoilroad_standins.jobs import fault_schedule
from trefoilroad_standins.jobs import leader_series
from trefoilroad_standins.jobs import node_process
from trefoilroad_standins.jobs import restart_series
from trefoilroad_standins.jobs import series
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import soak

SCHEDULES = [
    fault_schedule.FaultSchedule, leader_series.LeaderSeries,
    restart_series.RestartSeries
]
SHOWN = intakes.Outcome.SHOWN
# Begins the ids of jobs that are submitted right before all nodes are killed.
CLOSING_PREFIX = "c0000000"


def _run(schedule):
    """Returns the lines about states of jobs that nodes gave."""
    return [line for line in schedule(seed=1).run() if ": status of " in line]


@pytest.mark.parametrize("schedule", SCHEDULES)
@pytest.mark.parametrize(
    ("reply", "text"),
    [(None, "got no answer in 3.00 s"),
     (intakes.Reply(intakes.Outcome.UNKNOWN, retry_after_s=1), "got 504"),
     (intakes.Reply(intakes.Outcome.ABSENT), "got 410"),
     (intakes.Reply(SHOWN, "cancelled"), "is cancelled, but nobody"),
     (intakes.Reply(SHOWN, "failed"), "is failed, but no task"),
     (intakes.Reply(SHOWN, "completed"), "is completed, but not all"),
     (intakes.Reply(SHOWN, "queued"), "is queued, but it ended")])
def test_schedules_find_one_node_with_wrong_answers(schedule, reply, text,
                                                    monkeypatch):
    """Guards against schedules that ask one node, or nodes for some jobs."""
    add_node = sites.Site.add_node

    def add_broken_node(self, name):
        site_node = add_node(self, name)
        if name.startswith("n1"):

            def show(job_id, team, on_done):
                if reply is not None:
                    on_done(reply)

            site_node.node.intake.show = show
        return site_node

    monkeypatch.setattr(sites.Site, "add_node", add_broken_node)
    lines = _run(schedule)
    assert lines
    assert all(line.startswith("n1") and text in line for line in lines)


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_schedules_need_the_store_beside_a_leader_without_answer(
        schedule, monkeypatch):
    """Guards against schedules that pass if a silent leader ends the search."""
    monkeypatch.setattr(nodes.Node, "_ask_leader", lambda *_: None)
    assert _run(schedule)


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_schedules_need_the_write_before_the_acceptance(schedule, monkeypatch):
    """Guards against schedules that do not end with a kill of all nodes."""
    submit = intakes.Intake.submit

    def accept_early(self, job, on_done):
        on_done(intakes.Reply(intakes.Outcome.ACCEPTED))
        self._timers.call_later(1.0, lambda: submit(self, job, lambda _: None))

    monkeypatch.setattr(intakes.Intake, "submit", accept_early)
    lines = _run(schedule)
    assert any(
        f" of {CLOSING_PREFIX}" in line and "got 410" in line for line in lines)


# A node that gives wrong answers for jobs with some first digits.
BROKEN_PROGRAM = """
import os
import pathlib
import runpy

from trefoilroad_jobs import intake
from trefoilroad_platform import frontend

show = intake.Intake.show
REPLIES = {
    "e": intake.Reply(intake.Outcome.UNKNOWN),
    "d": intake.Reply(intake.Outcome.ABSENT),
    "c": intake.Reply(intake.Outcome.SHOWN, "failed"),
}


def show_wrongly(self, job_id, team, on_done):
    if job_id[0] in REPLIES:
        on_done(REPLIES[job_id[0]])
    elif job_id[0] != "f":
        show(self, job_id, team, on_done)


if pathlib.Path(os.environ["TREFOILROAD_BOOT"]).stem in NAMES:
    intake.Intake.show = show_wrongly
    # Otherwise a request without a response gets 504 within 3 s.
    frontend.REQUEST_TIMEOUT_S = 60.0
runpy.run_module("trefoilroad_platform", run_name="__main__")
"""
REASONS = {
    "f": "got no answer",
    "e": "got 504",
    "d": "got 410",
    "c": "is failed"
}


@pytest.fixture
def break_nodes(tmp_path, monkeypatch):
    """Returns a function that breaks the nodes with these names."""

    def use_broken_program(names):
        program = tmp_path / "broken_node.py"
        program.write_text(f"NAMES = {names!r}\n{BROKEN_PROGRAM}")
        monkeypatch.setattr(node_process, "PROGRAM", ("-P", str(program)))

    return use_broken_program


def _check_lines(lines, names):
    """Checks that each kind of wrong answer, and nothing else, was found."""
    found = [line for line in lines if ": status of " in line]
    for digit, reason in REASONS.items():
        about = [line for line in found if f" of {digit}" in line]
        assert about, reason
        assert all(reason in line for line in about)
        found = [line for line in found if line not in about]
        assert all(line[:2] in names for line in about)
    assert found == []


@pytest.mark.parametrize("planned", [True, False])
def test_soaks_find_one_node_with_wrong_answers(planned, tmp_path, break_nodes):
    """Guards against soaks that ask one node, or nodes for some jobs."""
    break_nodes(["n1"])
    lines = soak.run_seed(1, tmp_path, planned=planned)
    _check_lines(lines, ["n1"])
    closing_lines = [line for line in lines if f" of {CLOSING_PREFIX}" in line]
    assert bool(closing_lines) == (not planned)


def test_series_find_nodes_with_wrong_answers(tmp_path, break_nodes,
                                              monkeypatch):
    """Guards against series that judge no answers for states of jobs."""
    break_nodes(["n0", "n1", "n2"])
    # Enough jobs in a short time for each kind of wrong answer.
    monkeypatch.setattr(series, "JOBS_PER_WORKER_S", 0.5)
    plan = series.SHORT_PLAN._replace(node_count=3,
                                      hit_times_s=(2.0,),
                                      traffic_s=5.0,
                                      settle_s=2.0)
    lines = asyncio.run(series.Series(seed=1, folder=tmp_path, plan=plan).run())
    _check_lines(lines, ["n0", "n1", "n2"])
