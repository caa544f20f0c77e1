"""Tests of the reading of a status from the store."""

import pytest

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import status_reads
from trefoilroad_jobs import workload
from trefoilroad_node import timer

JOB = "0" * 16
REFUSAL = ports.StoreFailed("too many calls", maybe_written=False)


class _Timers(timer.Timers):
    """Timers that the test drives."""

    def __init__(self):
        self.now_s = 0.0
        self.callbacks = []

    def read_clock(self):
        return self.now_s

    def call_later(self, delay_s, callback):
        self.callbacks.append(callback)
        return timer.TimerHandle(callback=callback, interval_s=None)

    def call_every(self, interval_s, callback):
        raise NotImplementedError

    def run(self, now_s):
        self.now_s = now_s
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


class _Case:
    """A reading whose rows the test gives.

    Attributes:
        open: Reads without a result: table and callback.
        results: Results of the reading.
    """

    def __init__(self):
        self.timers = _Timers()
        self.open = []
        self.results = []
        status_reads.StatusRead(job_id=JOB,
                                store=self,
                                timers=self.timers,
                                on_step=lambda row, failure: None,
                                on_done=self.results.append)

    def read(self, *, table, key, on_done):
        """See ports.Store.read."""
        self.open.append((table, on_done))

    def answer(self, result):
        """Gives the result of the oldest read."""
        self.open.pop(0)[1](result)


def _make_rows(*values):
    return ports.Rows([ports.Row("key", value, 1) for value in values], 1, 0.0)


def _make_job():
    job = workload.Workload(job_id=JOB,
                            queue="queue",
                            service="service",
                            team="team",
                            priority=1,
                            max_failures=3,
                            slack=3.0,
                            objective_ms=1000.0,
                            payload="",
                            steps=())
    return workload.encode_workload(job)


def _make_progress(state):
    job = progress.Job(workload=workload.decode_workload(_make_job()),
                       now_s=0.0,
                       age_s=0.0)
    job.state = state
    return progress.encode_steps(job, [])


def test_both_rows_are_read_at_the_same_time():
    """Guards against waits for two rows that add up to those of a caller."""
    case = _Case()
    assert len(case.open) == 2
    case.answer(_make_rows(_make_job()))
    case.answer(_make_rows(_make_progress(progress.JobState.RUNNING)))
    assert case.results == [status_reads.JobStatus("running", "team")]


@pytest.mark.parametrize("first", ["job", "progress"])
def test_order_of_the_rows_does_not_matter(first):
    """Guards against a status that depends on which row comes first."""
    case = _Case()
    if first == "progress":
        case.open.reverse()
    results = [_make_rows(_make_job()), _make_rows()]
    for result in results if first == "job" else reversed(results):
        case.answer(result)
    assert case.results == [status_reads.JobStatus("queued", "team")]


def test_absent_job_needs_no_progress():
    """Guards against a wait for a row that says nothing of an absent job."""
    case = _Case()
    case.answer(_make_rows())
    assert case.results == [status_reads.JobStatus("", "")]
    case.answer(REFUSAL)
    assert len(case.results) == 1


def test_refused_read_is_repeated_once():
    """Guards against a status that is lost by one refusal of the store."""
    case = _Case()
    case.answer(REFUSAL)
    case.answer(_make_rows(_make_progress(progress.JobState.COMPLETED)))
    assert case.results == []
    case.timers.run(0.2)
    case.answer(_make_rows(_make_job()))
    assert case.results == [status_reads.JobStatus("completed", "team")]


def test_second_refusal_ends_the_reading():
    """Guards against repeats that add to the load of a store that refuses."""
    case = _Case()
    case.answer(REFUSAL)
    case.timers.run(0.2)
    case.open.reverse()
    case.answer(REFUSAL)
    assert case.results == [
        status_reads.Failure("job row", "too many calls", unreadable=False)
    ]
    assert not case.timers.callbacks


def test_silent_store_ends_the_reading():
    """Guards against a repeat that takes the time for another node."""
    case = _Case()
    case.timers.now_s = 1.2
    case.answer(ports.StoreFailed("timeout", maybe_written=True))
    assert case.results == [
        status_reads.Failure("job row", "timeout", unreadable=False)
    ]


@pytest.mark.parametrize("value", [b"\xff", b"", b"\xa0", b"\x80"])
def test_row_that_cannot_be_decoded_is_answered(value):
    """Guards against a caller that gets no answer for a malformed row."""
    case = _Case()
    case.answer(_make_rows(_make_job()))
    case.answer(_make_rows(value))
    result, = case.results
    assert result.unreadable
    assert result.row == status_reads.PROGRESS_ROW
