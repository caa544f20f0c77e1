"""Tests of the leader's view of the workers."""

import pytest

from trefoilroad_jobs import fleet


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
    for _ in range(4):
        timeouts_s.append(reply_time.compute_timeout_s(0.1, 0.4))
        reply_time.record_loss()
    assert timeouts_s == pytest.approx([0.1, 0.2, 0.4, 0.4])
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
