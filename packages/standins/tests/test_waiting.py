"""Tests of the judge of the numbers of waiting jobs that nodes give."""

import pytest

from trefoilroad_standins.jobs import idleness
from trefoilroad_standins.jobs import waiting
from trefoilroad_standins.jobs import workers as worker_module


def _make_jobs(count, accepted_s=10.0, queue="queue", **fields):
    return [
        waiting.Job(f"{queue}{number}", queue, accepted_s, accepted_s, **fields)
        for number in range(count)
    ]


def _make_answer(count, at_s=20.0, node="n0", queue="queue", asked_s=None):
    return waiting.Answer(at_s if asked_s is None else asked_s, at_s, node,
                          queue, count)


def _make_record(jobs, *answers, disruptions=(), **fields):
    return waiting.Record(answers=answers,
                          jobs=jobs,
                          disruptions={"n0": disruptions},
                          **fields)


def _is_wrong(jobs, *answers, **fields):
    return bool(
        waiting.find_wrong_answers(_make_record(jobs, *answers, **fields)))


@pytest.mark.parametrize(("count", "waiting_jobs", "wrong"), [(2, 7, True),
                                                              (3, 7, True),
                                                              (4, 7, False),
                                                              (3, 6, False),
                                                              (0, 1, True),
                                                              (0, 0, False),
                                                              (9, 1, False)])
def test_half_of_the_waiting_jobs_is_enough(count, waiting_jobs, wrong):
    """Guards against a judge of other bounds than half of the jobs."""
    assert _is_wrong(_make_jobs(waiting_jobs), _make_answer(count)) == wrong


def test_finding_tells_what_was_wrong():
    """Guards against a finding that cannot be looked up in the logs."""
    jobs = _make_jobs(7) + _make_jobs(9, queue="urgent")
    finding, = waiting.find_wrong_answers(_make_record(jobs, _make_answer(2)))
    assert finding.waiting == 7
    assert finding.text == "n0 gave 2 for queue at 20.00 s and 7 jobs waited"


@pytest.mark.parametrize(("accepted_s", "wrong"), [(14.9, True), (15.1, False),
                                                   (None, False)])
def test_acceptance_long_before_the_question(accepted_s, wrong):
    """Guards against judging jobs that nodes may not know yet."""
    jobs = [waiting.Job("a", "queue", 10.0, accepted_s)]
    assert _is_wrong(jobs, _make_answer(0)) == wrong
    late = _make_answer(0, at_s=21.0, asked_s=20.0)
    assert _is_wrong(jobs, late) == wrong


@pytest.mark.parametrize("field", ["begun_s", "cancelled_s", "ended_s"])
@pytest.mark.parametrize(("at_s", "wrong"), [(19.0, False), (20.5, False),
                                             (21.5, True)])
def test_jobs_that_no_longer_wait(field, at_s, wrong):
    """Guards against judging jobs that ceased to wait before the answer."""
    jobs = _make_jobs(3, **{field: at_s})
    assert _is_wrong(jobs, _make_answer(0, at_s=21.0, asked_s=20.0)) == wrong


@pytest.mark.parametrize(("from_s", "to_s", "wrong"), [(10.0, 16.9, True),
                                                       (10.0, 17.1, False),
                                                       (18.0, 18.0, False),
                                                       (20.5, 30.0, False),
                                                       (21.1, 30.0, True)])
def test_answers_near_disruptions(from_s, to_s, wrong):
    """Guards against judging a node out of touch, or excusing one in touch."""
    disruptions = [idleness.Interval(from_s, to_s)]
    answer = _make_answer(0, at_s=21.0, asked_s=20.0)
    assert _is_wrong(_make_jobs(3), answer, disruptions=disruptions) == wrong
    assert _is_wrong(_make_jobs(3),
                     answer._replace(node="n1"),
                     disruptions=disruptions)


@pytest.mark.parametrize(("from_s", "to_s", "wrong"), [(10.0, 13.9, True),
                                                       (10.0, 14.1, False),
                                                       (20.1, 30.0, True)])
def test_unknown_number_needs_a_reason(from_s, to_s, wrong):
    """Guards against nodes that never know the number."""
    gap = [idleness.Interval(from_s, to_s)]
    assert _is_wrong((), _make_answer(None), leaderless=gap) == wrong
    # A number that is given must be right without a leader, too.
    assert _is_wrong(_make_jobs(3), _make_answer(0), leaderless=gap)


def test_unknown_number_near_a_disruption():
    """Guards against findings of nodes that know that they are cut off."""
    assert _is_wrong((), _make_answer(None))
    assert not _is_wrong(
        (), _make_answer(None), disruptions=[idleness.Interval(15.0, 17.5)])


def test_judged_nodes():
    """Guards against a run that judges nothing and passes."""
    answers = [
        _make_answer(3),
        _make_answer(3, node="n1"),
        _make_answer(3, at_s=12.0, node="n2")
    ]
    disturbed = [idleness.Interval(18.0, 18.0)]
    record = _make_record(_make_jobs(3), *answers, disruptions=disturbed)
    assert waiting.list_judged_nodes(record) == {"n1"}


def _is_excess(jobs, *answers, **fields):
    return bool(
        waiting.find_excess_answers(_make_record(jobs, *answers, **fields)))


def test_excess_answers():
    """Guards against nodes that count jobs which began long ago."""
    assert _is_excess(_make_jobs(3), _make_answer(4))
    assert not _is_excess(_make_jobs(3), _make_answer(3))
    assert not _is_excess(_make_jobs(3), _make_answer(None))
    assert _is_excess(_make_jobs(3, begun_s=14.9), _make_answer(1))
    assert not _is_excess(_make_jobs(3, begun_s=15.1), _make_answer(3))
    assert _is_excess(_make_jobs(3, ended_s=14.9), _make_answer(1))
    assert not _is_excess(_make_jobs(3, ended_s=15.1), _make_answer(3))
    # A cancellation has no effect before it is confirmed.
    assert not _is_excess(_make_jobs(3, cancelled_s=11.0), _make_answer(3))
    assert _is_excess(_make_jobs(1, accepted_s=20.1), _make_answer(1))
    unconfirmed = [waiting.Job("a", "queue", 19.9, None)]
    assert not _is_excess(unconfirmed, _make_answer(1))


@pytest.mark.parametrize("field", ["disruptions", "leaderless", "faults"])
def test_excess_is_judged_without_faults_only(field):
    """Guards against findings of jobs on workers that no leader reaches."""
    recent = [idleness.Interval(18.0, 18.0)]
    past = [idleness.Interval(14.0, 14.9)]
    assert not _is_excess((), _make_answer(1), **{field: recent})
    assert _is_excess((), _make_answer(1), **{field: past})


def test_first_starts():
    """Guards against taking a later run for the first one."""
    history = [
        worker_module.Event(1.0, "w0", "lapse", "", 0),
        worker_module.Event(2.0, "w0", "start", "a.0.0.0", 1),
        worker_module.Event(3.0, "w1", "start", "a.0.0.1", 1),
        worker_module.Event(4.0, "w1", "failed", "b.0.0.0", 1),
        worker_module.Event(5.0, "w1", "start", "b.0.0.0", 2)
    ]
    assert waiting.find_first_starts(history) == {"a": 2.0, "b": 5.0}


def test_description_has_a_line_for_each_node():
    """Guards against hundreds of lines that hide other violations."""
    answers = [
        _make_answer(0, at_s, node)
        for node in ("n0", "n1")
        for at_s in (20.0, 21.0)
    ]
    lines = waiting.describe(
        waiting.find_wrong_answers(_make_record(_make_jobs(3), *answers)))
    assert lines == [
        f"{node} gave 0 for queue at 20.00 s and 3 jobs waited; 2 such answers "
        "until 21.00 s" for node in ("n0", "n1")
    ]
