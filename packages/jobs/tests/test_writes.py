"""Tests of writes through the leader when the store refuses a node."""

import pytest

from trefoilroad_jobs import ports
from trefoilroad_jobs import writes
from trefoilroad_node import timer
from trefoilroad_standins.jobs import site as sites

ROW = writes.RowWrite(("intake", "job/1"), b"1", only_new=True)


@pytest.fixture
def site():
    new_site = sites.Site()
    new_site.run(1.5)
    return new_site


def _find_follower(site):
    leader = site.find_leader()
    return next(node for node in site.nodes.values() if node is not leader)


def test_job_is_accepted_by_node_without_store(site):
    """Guards against status 504 for a caller while other nodes can write.

    Callers may not repeat such a call on their own, so they lost the job.
    """
    node = _find_follower(site)
    node.store.cut = True
    site.submit("0" * 16, through=node.name, run_s=0.5)
    site.run(0.8)
    assert site.replies["0" * 16].outcome.name == "ACCEPTED"
    site.run(3.0)
    assert site.ask_state("0" * 16, through=node.name) == "completed"
    assert site.count_events("start") == 1


def test_cancellation_through_node_without_store(site):
    """Guards against lost cancellations if a node cannot reach the store."""
    node = _find_follower(site)
    site.submit("0" * 16, through=node.name, run_s=20.0)
    site.run(0.5)
    node.store.cut = True
    site.cancel("0" * 16, through=node.name)
    site.run(1.0)
    assert site.replies["0" * 16].outcome.name == "CANCELLED"
    site.run(1.0)
    assert site.count_events("stopped") == 1


def test_no_relay_to_leader_that_cannot_write(site):
    """Guards against a wait for a leader that the store refuses.

    Its answers were lost when it was replaced. The caller got 504 after 3.3 s,
    after its own timeout, while another node could have accepted the job.
    """
    leader = site.find_leader()
    node = _find_follower(site)
    leader.store.refused = node.store.refused = True
    site.run(3.0)
    site.submit("0" * 16, through=node.name)
    site.run(0.2)
    assert site.replies["0" * 16].outcome.name == "NOT_ACCEPTED"


def test_call_is_answered_before_caller_gives_up(site):
    """Guards against an answer after the timeout of the caller."""
    node = _find_follower(site)
    site.tables.down = True
    site.submit("0" * 16, through=node.name)
    site.run(2.75)
    assert site.replies["0" * 16].outcome.name == "UNKNOWN"


def test_store_outage_is_not_reported_as_refusal(site):
    """Guards against NOT_ACCEPTED for a write that may still take effect."""
    node = _find_follower(site)
    site.tables.down = True
    site.submit("0" * 16, through=node.name)
    site.run(4.0)
    assert site.replies["0" * 16].outcome.name == "UNKNOWN"


class _Store:
    """Store whose commits are answered by the test."""

    def __init__(self):
        self.calls = []

    def commit(self, **fields):
        self.calls.append(fields["on_done"])


class _Timers:
    """Timers whose callbacks are run by the test."""

    def __init__(self):
        self.due = []

    def call_later(self, _, callback):
        self.due.append(callback)
        return timer.TimerHandle(callback=callback, interval_s=None)


def _write(relay):
    store, timers, results = _Store(), _Timers(), []
    writes.WriteWithRelay(store=store,
                          timers=timers,
                          relay=relay,
                          row=ROW,
                          on_done=results.append)
    return store, timers, results


def test_write_is_relayed_if_store_is_slow():
    """Guards against urgent jobs that wait for a timeout of the store."""
    relayed = []
    store, timers, results = _write(lambda row, take: relayed.append(
        (row, take)))
    timers.due[0]()
    assert relayed[0][0] == ROW
    relayed[0][1](ports.Committed(7, 1.0))
    store.calls[0](ports.StoreFailed("timeout", maybe_written=True))
    assert results == [ports.Committed(7, 1.0)]


def test_failure_is_maybe_written_if_either_path_is():
    """Guards against NOT_ACCEPTED while one write may still take effect."""
    store, _, results = _write(lambda row, take: take(
        ports.StoreFailed("no link", maybe_written=False)))
    store.calls[0](ports.StoreFailed("timeout", maybe_written=True))
    assert results == [ports.StoreFailed("no link", maybe_written=True)]


def test_failure_waits_for_outstanding_path():
    """Guards against an answer before both writes have ended."""
    relayed = []
    store, timers, results = _write(lambda row, take: relayed.append(take))
    timers.due[0]()
    store.calls[0](ports.StoreFailed("busy", maybe_written=False))
    assert results == []
    relayed[0](ports.StoreFailed("busy", maybe_written=False))
    assert results == [ports.StoreFailed("busy", maybe_written=False)]
