"""Tests of the leader's view of the workers."""

import pytest

from trefoilroad_jobs import fleet
from trefoilroad_jobs import ports
from trefoilroad_jobs import workload

WORKER = ports.Worker(worker_id="w",
                      address="address",
                      service="service",
                      failure_domain="zone",
                      rack="rack",
                      labels=frozenset(),
                      capacity=workload.Demand(64_000, 256_000, 8),
                      draining=False,
                      remaining_ms=0,
                      boot_ms=1)


def test_timeout_without_replies_is_the_longest():
    """Guards against commands that are repeated before any reply is known."""
    assert fleet.ReplyTime().compute_timeout_s(0.1, 0.4) == 0.4


def test_timeout_follows_the_reply_times():
    """Guards against a fixed wait for workers that reply in milliseconds."""
    reply_time = fleet.ReplyTime()
    for _ in range(20):
        reply_time.record(0.002)
    assert reply_time.compute_timeout_s(0.1, 0.4) == 0.1
    for _ in range(40):
        reply_time.record(0.2)
    assert reply_time.compute_timeout_s(0.1, 0.4) >= 0.2
    for _ in range(40):
        reply_time.record(3.0)
    assert reply_time.compute_timeout_s(0.1, 0.4) == 0.4


def test_timeout_grows_with_lost_replies():
    """Guards against a busy leader that never waits long enough for a reply."""
    reply_time = fleet.ReplyTime()
    reply_time.record(0.002)
    timeouts_s = []
    for _ in range(6):
        timeouts_s.append(reply_time.compute_timeout_s(0.1, 0.4))
        reply_time.record_loss()
    assert timeouts_s == pytest.approx([0.1, 0.1, 0.2, 0.2, 0.4, 0.4])
    reply_time.record(0.002)
    assert reply_time.compute_timeout_s(0.1, 0.4) == 0.1


def test_timeout_stays_the_longest_during_a_long_silence():
    """Guards against a timeout too large to compute.

    Eight runs on a worker that is cut off lose a thousand replies in less than
    a minute, and the leader failed with an overflow.
    """
    reply_time = fleet.ReplyTime()
    reply_time.record(0.002)
    for _ in range(2000):
        reply_time.record_loss()
    assert reply_time.compute_timeout_s(0.1, 0.4) == 0.4


def test_worker_counts_as_silent_after_two_lost_replies_in_a_row():
    """Guards against a fleet without workers when half of the replies are lost.

    Each worker with a single lost reply got no new runs until its next answer.
    """
    tracked = fleet.TrackedWorker(worker=WORKER)
    tracked.record_loss(1.0)
    assert tracked.silent_since_s == float("inf")
    assert tracked.maybe_restarted
    tracked.reply_time.record(0.002)
    tracked.record_loss(2.0)
    assert tracked.silent_since_s == float("inf")
    tracked.record_loss(3.0)
    assert tracked.silent_since_s == 3.0


def test_lease_sent_to_a_restarted_worker_is_waited_for():
    """Guards against a run that starts twice around a restart of its worker.

    A start reached the new process before its registration did. The worker then
    counted as one that has never been contacted, without a lease of this
    leader, and its next lost report ended the run in the leader's books.
    """
    tracked = fleet.TrackedWorker(worker=WORKER)
    tracked.record_boot(1)
    tracked.update_clock(100_000.0, 50.0, max_lease_s=10.0)
    tracked.compute_lease_ms(6.0, 50.0, max_lease_s=10.0)
    tracked.contacted = False
    assert not tracked.is_lease_expired(51.0, prior_leases_end_s=20.0)
    assert not tracked.is_lease_expired(60.0, prior_leases_end_s=20.0)
    assert tracked.is_lease_expired(60.5, prior_leases_end_s=20.0)


@pytest.mark.parametrize("contacted", [False, True])
def test_computed_expiry_is_when_the_lease_counts_as_expired(contacted):
    """Guards against lines that name another end than the one waited for."""
    tracked = fleet.TrackedWorker(worker=WORKER)
    tracked.contacted = contacted
    tracked.clock_ms = 50_000.0
    tracked.clock_s = 10.0
    tracked.compute_lease_ms(4.0, 12.0, 6.0)
    expiry_s = tracked.compute_lease_expiry_s(20.0)
    assert expiry_s > 12.0
    assert not tracked.is_lease_expired(expiry_s - 0.01, 20.0)
    assert tracked.is_lease_expired(expiry_s + 0.01, 20.0)
