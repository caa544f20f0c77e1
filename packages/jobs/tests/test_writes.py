"""Rows of callers are written although the store turns a node away."""

import pytest

from trefoilroad_jobs import ports
from trefoilroad_jobs import writes
from trefoilroad_standins.jobs import site as sites

ROW = writes.RowWrite(("intake", "job/1"), b"1", only_new=True)


@pytest.fixture
def site():
    made = sites.Site()
    made.run(1.5)
    return made


def _find_follower(site):
    leader = site.find_leader()
    return next(node for node in site.nodes.values() if node is not leader)


def test_job_is_accepted_at_a_node_without_the_store(site):
    """Guards against callers who get 504 while other nodes can write.

    They may not repeat such a call on their own, so the job was lost to them.
    """
    node = _find_follower(site)
    node.store.cut = True
    site.submit("0" * 16, through=node.name, run_s=0.5)
    site.run(0.8)
    assert site.replies["0" * 16].outcome.name == "ACCEPTED"
    site.run(3.0)
    assert site.ask_state("0" * 16, through=node.name) == "completed"
    assert site.count_events("start") == 1


def test_cancellation_at_a_node_without_the_store(site):
    """Guards against cancellations that are lost with a node's way."""
    node = _find_follower(site)
    site.submit("0" * 16, through=node.name, run_s=20.0)
    site.run(0.5)
    node.store.cut = True
    site.cancel("0" * 16, through=node.name)
    site.run(1.0)
    assert site.replies["0" * 16].outcome.name == "CANCELLED"
    site.run(1.0)
    assert site.count_events("stopped") == 1


def test_leader_that_cannot_write_is_not_asked_to(site):
    """Guards against a caller who waits for a leader that is turned away.

    Its answers were lost once it was replaced: 504 after 3.3 s, past the
    caller's time, where another node could have taken the job.
    """
    leader = site.find_leader()
    node = _find_follower(site)
    leader.store.refused = node.store.refused = True
    site.run(3.0)
    site.submit("0" * 16, through=node.name)
    site.run(0.2)
    assert site.replies["0" * 16].outcome.name == "NOT_ACCEPTED"


def test_call_is_answered_within_the_time_of_its_caller(site):
    """Guards against an answer that nobody waits for any more."""
    node = _find_follower(site)
    site.tables.down = True
    site.submit("0" * 16, through=node.name)
    site.run(2.75)
    assert site.replies["0" * 16].outcome.name == "UNKNOWN"


def test_store_down_for_all_is_not_called_refused(site):
    """Guards against "not accepted" for a write that may come late."""
    node = _find_follower(site)
    site.tables.down = True
    site.submit("0" * 16, through=node.name)
    site.run(4.0)
    assert site.replies["0" * 16].outcome.name == "UNKNOWN"


class _Store:
    """Answers commits when the test says so."""

    def __init__(self):
        self.calls = []

    def commit(self, **fields):
        self.calls.append(fields["on_done"])


class _Timers:
    """Runs what is due when the test says so."""

    def __init__(self):
        self.due = []

    def call_later(self, _, callback):
        self.due.append(callback)


def _write(relay):
    store, timers, results = _Store(), _Timers(), []
    writes.WriteWithRelay(store=store,
                          timers=timers,
                          relay=relay,
                          row=ROW,
                          on_done=results.append)
    return store, timers, results


def test_slow_store_is_not_waited_for():
    """Guards against urgent jobs that wait for the timeout of a dead path."""
    relayed = []
    store, timers, results = _write(lambda row, take: relayed.append(
        (row, take)))
    timers.due[0]()
    assert relayed[0][0] == ROW
    relayed[0][1](ports.Committed(7, 1.0))
    store.calls[0](ports.StoreFailed("timeout", maybe_written=True))
    assert results == [ports.Committed(7, 1.0)]


def test_failure_of_both_ways_may_be_written_if_either_says_so():
    """Guards against "not accepted" while one write is still under way."""
    store, _, results = _write(lambda row, take: take(
        ports.StoreFailed("no link", maybe_written=False)))
    store.calls[0](ports.StoreFailed("timeout", maybe_written=True))
    assert results == [ports.StoreFailed("no link", maybe_written=True)]


def test_failure_waits_for_the_way_that_is_under_way():
    """Guards against an answer before the last write has ended."""
    relayed = []
    store, timers, results = _write(lambda row, take: relayed.append(take))
    timers.due[0]()
    store.calls[0](ports.StoreFailed("busy", maybe_written=False))
    assert results == []
    relayed[0](ports.StoreFailed("busy", maybe_written=False))
    assert results == [ports.StoreFailed("busy", maybe_written=False)]
