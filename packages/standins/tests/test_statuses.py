"""Tests of the judge of the states of jobs, and of what asks for them."""

import asyncio
from typing import NamedTuple

import pytest

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import fleet_server
from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import status_calls
from trefoilroad_standins.jobs import statuses
from trefoilroad_standins.jobs import workers as worker_module

JOB = "0123456789abcdef"
MAX_FAILURES = 3
STEP = workload.Step(2, workload.Demand(1000, 1000, 1))
# An event is given by its time, kind, task and run.
DONE_TWICE = [(1.0, "start", 0, 1), (1.0, "start", 1, 1), (2.0, "done", 0, 1),
              (3.0, "done", 1, 1)]
NOTED_TWICE = [*DONE_TWICE, (3.1, "noted", 0, 1), (3.2, "noted", 1, 1)]
FAILED_TWICE = [(1.0, "failed", 0, 1), (2.0, "failed", 0, 2)]


def _make_job(events, step=STEP, **fields):
    history = []
    for at_s, kind, task, run in events:
        name = "" if kind == "lapse" else f"{JOB}.0.0.{task}"
        history.append(worker_module.Event(at_s, "w0", kind, name, run))
    job, = statuses.make_jobs([idleness.Job(JOB, (step,), 0.5, **fields)],
                              history, MAX_FAILURES)
    return job


def _make_answer(state="", status=200, at_s=20.0, took_s=0.1, node="n1"):
    return statuses.Answer(node, JOB, at_s, took_s, status, state)


def _find_lines(job, *answers):
    return statuses.find_wrong_answers([job], answers)


@pytest.mark.parametrize("status", [0, 410, 429, 500, 503, 504])
def test_accepted_job_without_a_state(status):
    """Guards against accepting silence, a refusal or the loss of a job."""
    line, = _find_lines(_make_job([]), _make_answer(status=status, took_s=3.0))
    assert line.startswith(f"n1: status of {JOB}, asked for at 17.00 s, got ")
    assert ("no answer" if status == 0 else str(status)) in line


@pytest.mark.parametrize(("took_s", "wrong"), [(3.0, False), (3.1, True)])
def test_late_answer(took_s, wrong):
    """Guards against accepting an answer after its caller has given up."""
    answer = _make_answer("queued", took_s=took_s)
    assert bool(_find_lines(_make_job([]), answer)) == wrong


@pytest.mark.parametrize(
    ("state", "events", "wrong"),
    [("queued", [], False), ("running", [], False), ("odd", [], True),
     ("", [], True), ("completed", NOTED_TWICE, False),
     ("completed", DONE_TWICE, False), ("completed", DONE_TWICE[:3], True),
     ("completed", [], True), ("failed", FAILED_TWICE, True),
     ("failed", [*FAILED_TWICE, (3.0, "failed", 1, 1)], True),
     ("failed", [*FAILED_TWICE, (3.0, "failed", 0, 3)], False),
     ("failed", [*FAILED_TWICE, (20.5, "failed", 0, 3)], True),
     ("cancelled", NOTED_TWICE, True)])
def test_states_and_what_workers_did(state, events, wrong):
    """Guards against accepting an end that did not happen, or too few runs."""
    assert bool(_find_lines(_make_job(events), _make_answer(state))) == wrong


@pytest.mark.parametrize("state", ["queued", "running"])
@pytest.mark.parametrize(
    ("events", "wrong"),
    [
        (NOTED_TWICE, True),
        (DONE_TWICE, False),
        # The worker lost its lease before a leader took note of the ends.
        ([*DONE_TWICE, (3.05, "lapse", "", 0), *NOTED_TWICE[4:]], False),
        ([*NOTED_TWICE, (5.0, "start", 1, 2)], False),
        ([
            *NOTED_TWICE, (5.0, "start", 1, 2), (6.0, "done", 1, 2),
            (6.1, "noted", 1, 2)
        ], True),
    ])
def test_ended_jobs_are_not_shown_as_open(state, events, wrong):
    """Guards against accepting a job that stays open, or judging too early."""
    job = _make_job(events)
    assert bool(_find_lines(job, _make_answer(state, at_s=30.0))) == wrong
    assert not _find_lines(job, _make_answer(state, at_s=7.0))


def test_gang_is_done_with_one_member():
    """Guards against findings where the members of a gang end together."""
    events = [(1.0, "start", 0, 1), (2.0, "done", 0, 1), (2.1, "noted", 0, 1)]
    job = _make_job(events, STEP._replace(gang=True))
    assert not _find_lines(job, _make_answer("completed"))
    assert _find_lines(job, _make_answer("running"))
    job = _make_job([(at_s, "failed", task, 1)
                     for at_s, task in ((1.0, 0), (1.1, 1), (1.2, 2))],
                    STEP._replace(gang=True))
    assert _find_lines(job, _make_answer("failed"))


@pytest.mark.parametrize(("state", "at_s", "wrong"),
                         [("cancelled", 9.0, True), ("cancelled", 11.0, False),
                          ("queued", 16.0, False), ("queued", 17.5, True)])
def test_cancelled_jobs(state, at_s, wrong):
    """Guards against a cancellation that nobody sent or that has no effect."""
    job = _make_job([], cancelled_s=10.0, ended_s=12.0)
    assert bool(_find_lines(job, _make_answer(state, at_s=at_s))) == wrong


def test_nodes_do_not_give_two_ends():
    """Guards against accepting nodes that disagree on the end of a job."""
    job = _make_job(NOTED_TWICE, cancelled_s=3.0)
    answers = [
        _make_answer("completed"),
        _make_answer("cancelled", node="n2"),
        _make_answer("completed", node="n3")
    ]
    assert _find_lines(
        job, *answers) == [f"{JOB} is given as cancelled and as completed"]
    assert not _find_lines(job, answers[0], answers[2])


def test_jobs_that_were_not_accepted_are_not_known():
    """Guards against judging jobs without a promise."""
    jobs = [idleness.Job(JOB, (STEP,), None)]
    assert statuses.make_jobs(jobs, [], MAX_FAILURES) == []


# The callers.


class _Node(NamedTuple):
    name: str
    port: int


async def _ask(handler, count):
    server = await fleet_server.serve(handler)
    async with server:
        return await status_calls.ask_all([
            _Node("n1", fleet_server.get_port(server))
        ], {
            f"{number:016x}": f"/jobs/{number:016x}" for number in range(count)
        }, "key",
                                          asyncio.get_running_loop().time)


@pytest.mark.parametrize(("outcomes", "expected"),
                         [([200], (200, "queued")), ([410], (410, "")),
                          ([504, 504, 504, 504, 504, 504], (504, "")),
                          ([504, 200], (200, "queued")),
                          ([429, 503, 200], (200, "queued")),
                          ([OSError, 200], (200, "queued")), ([None], (0, "")),
                          ([504, None], (504, ""))])
def test_refused_questions_are_repeated(outcomes, expected):
    """Guards against callers that give up early or wait too long."""
    left = iter(outcomes)

    async def answer(*_):
        status = next(left)
        if status is None:
            await asyncio.sleep(10.0)
        if status is OSError:
            raise OSError("closed")
        return status, {"state": "queued"} if status == 200 else {}

    found, = asyncio.run(_ask(answer, 1))
    assert (found.status, found.state) == expected
    assert found.took_s < statuses.ANSWER_TIMEOUT_S + 1.0
    assert bool(_find_lines(_make_job([])._replace(job_id=found.job_id),
                            found)) == (expected[0] != 200)


def test_all_jobs_are_asked_for_at_once():
    """Guards against callers that ask for one job after the other."""
    waiting = []
    all_wait = asyncio.Event()

    async def answer(_, target, *__):
        waiting.append(target)
        if len(waiting) == status_calls.CONNECTIONS_PER_NODE:
            all_wait.set()
        await all_wait.wait()
        return 200, {"state": "queued"}

    count = 3 * status_calls.CONNECTIONS_PER_NODE
    answers = asyncio.run(_ask(answer, count))
    assert {found.state for found in answers} == {"queued"}
    assert sorted(waiting) == [f"/jobs/{found:016x}" for found in range(count)]
