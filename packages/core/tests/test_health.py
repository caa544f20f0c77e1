"""Tests of the health module."""

import pytest

from trefoilroad_core import health


class HealthRecorder:
    """Records task ends on a fleet of eight workers."""

    def __init__(self):
        self.subject = health.Health()
        self.now_s = 0.0

    def end(self, worker, request, *, failed=True, template="t"):
        self.now_s += 1.0
        self.subject.record(
            health.TaskEnd(worker, request, "a", template, failed, self.now_s))
        self.subject.update(self.now_s, 8)

    def wait(self, seconds):
        self.now_s += seconds
        self.subject.update(self.now_s, 8)

    def quarantined(self):
        return self.subject.find_workers(health.Status.QUARANTINED)

    def probation(self):
        return self.subject.find_workers(health.Status.PROBATION)


@pytest.fixture
def recorder():
    return HealthRecorder()


def test_worker_that_fails_everything_is_quarantined(recorder):
    """Guards against a worker that fails tasks at once and so gets them all."""
    for request in ("q1", "q1", "q2"):
        recorder.end("w1", request)
    assert not recorder.quarantined()
    recorder.end("w1", "q3")
    assert recorder.quarantined() == {"w1"}


def test_success_clears_the_worker(recorder):
    """Guards against rare failures accumulating to a quarantine."""
    for number in range(10):
        recorder.end("w1", f"bad{number}")
        recorder.end("w1", f"worse{number}")
        recorder.end("w1", f"good{number}", failed=False)
    assert not recorder.quarantined()


def test_requests_that_fail_elsewhere_are_no_evidence(recorder):
    """Guards against requests that always fail quarantining workers."""
    for number in range(6):
        recorder.end(f"w{number % 3}", f"q{number}")
        recorder.end(f"w{(number + 1) % 3}", f"q{number}")
        recorder.end(f"w{number % 3}", f"g{number}", failed=False)
        recorder.end(f"w{(number + 1) % 3}", f"h{number}", failed=False)
    assert not recorder.quarantined()


def test_broken_template_ends_a_quarantine(recorder):
    """Guards against one broken template quarantining workers."""
    for number in range(3):
        recorder.end("w1", f"q{number}")
    assert recorder.quarantined() == {"w1"}
    for number in range(3, 9):
        recorder.end(f"w{number}", f"q{number}")
    assert not recorder.quarantined()


def test_two_bad_workers_do_not_clear_each_other(recorder):
    """Guards against two bad workers sharing retries and staying in use."""
    for number in range(5):
        recorder.end("w1", f"q{number}")
        recorder.end("w2", f"q{number}")
    assert recorder.quarantined() == {"w1", "w2"}


def test_quarantine_is_bounded(recorder):
    """Guards against quarantining the whole fleet for a common cause."""
    for worker in range(8):
        for number in range(4):
            recorder.end(f"w{worker}",
                         f"q{worker}.{number}",
                         template=f"t{number}")
    assert len(recorder.quarantined()) == 2


def test_probation_doubles_after_each_failure(recorder):
    """Guards against a bad worker that fails a request every minute."""
    for number in range(3):
        recorder.end("w1", f"q{number}")
    recorder.wait(59.0)
    assert recorder.quarantined() == {"w1"}
    recorder.wait(1.0)
    assert recorder.probation() == {"w1"}
    recorder.end("w1", "q4")
    recorder.wait(119.0)
    assert recorder.quarantined() == {"w1"}
    recorder.wait(1.0)
    assert recorder.probation() == {"w1"}
    recorder.end("w1", "q5", failed=False)
    assert not recorder.quarantined() | recorder.probation()


def test_request_is_given_up_after_two_healthy_workers(recorder):
    """Guards against endless retries of a request that fails everywhere."""
    recorder.end("w1", "q")
    assert recorder.subject.find_give_up_reason("q") is None
    recorder.end("w2", "q")
    assert "2 different" in recorder.subject.find_give_up_reason("q")


def test_failures_on_bad_workers_do_not_count_against_the_request(recorder):
    """Guards against giving up a good request because of bad workers."""
    for worker in ("w1", "w2"):
        for number in range(3):
            recorder.end(worker, f"{worker}.{number}")
        recorder.end(worker, "q")
    assert recorder.subject.find_give_up_reason("q") is None
    recorder.end("w3", "q")
    assert "3 times" in recorder.subject.find_give_up_reason("q")
