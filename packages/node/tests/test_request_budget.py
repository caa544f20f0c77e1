"""Tests of the request_budget module, without sockets."""

import random

import pytest

from trefoilroad_node import request_budget

BOUNDS = request_budget.Bounds(budget_bytes=4 << 20,
                               max_connections=64,
                               receive_buffer_bytes=16 << 10)
LARGE_BYTES = 262_000
SMALL_BYTES = 4_000
PIECE_BYTES = 4096


def _open(budget, count, now_s=0.0, prefix="c"):
    keys = [f"{prefix}{number}" for number in range(count)]
    for key in keys:
        assert budget.open(key, now_s, extra_connections=0)
    return keys


def _send(budget, key, count, now_s):
    """Sends a request in pieces while it is read; returns what is refused."""
    refused = []
    while count > 0 and key not in refused and budget.may_read(key, now_s):
        piece = min(count, PIECE_BYTES)
        refused += budget.charge(key, piece, now_s)
        count -= piece
    return refused


def test_nothing_is_held_after_all_connections_are_gone():
    """Guards against charges that are not released."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    first, second, third = _open(budget, 3)
    budget.charge(first, 5000, 0.0)
    budget.begin_work(first, 5000, 0.0)
    budget.charge(second, 100, 0.0)
    budget.begin_work(third, 0, 0.0)
    budget.finish_work(first, 1.0)
    budget.finish_work(third, 1.0)
    for key in (first, second, third, third):
        budget.forget(key)
    assert budget.used_bytes == 0
    assert budget.open_connections == 0
    assert budget._excess_bytes == 0


def test_single_request_of_the_largest_size_is_served():
    """Guards against a budget that refuses what the limits allow."""
    budget = request_budget.RequestBudget(
        bounds=request_budget.compute_bounds(memory_mb=1, max_descriptors=0))
    key, = _open(budget, 1)
    assert _send(budget, key, 1 << 20, 0.0) == []
    assert budget.paused_connections == 0
    assert budget.begin_work(key, 1 << 20, 0.0) == []


def test_crowd_that_stops_short_is_paused_and_then_refused():
    """Guards against clients that stop short of the end and stay."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    keys = _open(budget, 60)
    for key in keys:
        assert _send(budget, key, LARGE_BYTES, 0.0) == []
    assert budget.paused_connections
    assert budget.used_bytes <= BOUNDS.budget_bytes
    assert budget.relieve(0.5) == []
    refused = budget.relieve(1.5)
    assert refused
    assert set(budget.take_resumable()) <= set(keys) - set(refused)
    # The shares, and half of what is beyond them.
    assert budget.used_bytes <= BOUNDS.budget_bytes * 3 // 4
    assert budget.paused_connections == 0


def test_ordinary_request_is_read_and_kept_in_a_crowd():
    """Guards against ordinary callers that pay for large requests."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    crowd = _open(budget, 50)
    ordinary = _open(budget, 14, prefix="o")
    for key in crowd:
        _send(budget, key, LARGE_BYTES, 0.0)
    for key in ordinary:
        assert budget.may_read(key, 0.0)
        assert key not in budget.charge(key, SMALL_BYTES, 0.0)
    for time_s in range(1, 20):
        refused = budget.relieve(float(time_s))
        assert not set(refused) & set(ordinary)
        for key in budget.take_resumable():
            _send(budget, key, LARGE_BYTES, float(time_s))
    for key in ordinary:
        assert key not in budget.begin_work(key, SMALL_BYTES, 20.0)


def test_the_one_that_stands_longest_is_refused_first():
    """Guards against a large upload that pays for those that stand."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    standing, moving = _open(budget, 2)
    budget.charge(standing, 300_000, 0.0)
    budget.charge(moving, 300_000, 0.0)
    for time_s in range(1, 5):
        # Single bytes are no progress.
        budget.charge(standing, 1, float(time_s))
        budget.charge(moving, PIECE_BYTES, float(time_s))
    other, = _open(budget, 1, prefix="o")
    assert budget.charge(other, 3_200_000, 5.0)[0] == standing


def test_of_those_that_stand_equally_long_the_largest_is_refused_first():
    """Guards against many small refusals where one would do."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    small, large, last = _open(budget, 3)
    budget.charge(small, 500_000, 0.0)
    budget.charge(large, 1_500_000, 0.0)
    assert budget.charge(last, 2_000_000, 0.1) == [last]
    assert budget.charge(small, 2_200_000, 0.2) == [small]


def test_work_without_memory_is_refused_before_it_begins():
    """Guards against complete requests that together exceed the budget."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    served, refused = 0, 0
    for key in _open(budget, 40):
        assert _send(budget, key, LARGE_BYTES, 0.0) == []
        if budget.paused_connections:
            break
        if key in budget.begin_work(key, LARGE_BYTES, 0.0):
            refused += 1
        else:
            served += 1
        assert budget.used_bytes <= BOUNDS.budget_bytes
    assert served


def test_small_work_is_never_refused():
    """Guards against ordinary callers that are refused beside large work."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    large = _open(budget, 10)
    small = _open(budget, 50, prefix="o")
    for key in large:
        budget.charge(key, LARGE_BYTES, 0.0)
        budget.begin_work(key, LARGE_BYTES, 0.0)
    for key in small:
        budget.charge(key, SMALL_BYTES, 0.0)
        assert key not in budget.begin_work(key, SMALL_BYTES, 0.0)


def test_byte_by_byte_costs_what_the_body_costs():
    """Guards against a charge of whole objects for single bytes."""
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    key, = _open(budget, 1)
    for _ in range(10_000):
        assert budget.charge(key, 1, 0.0) == []
    assert budget.used_bytes < 10_000 * 9 // 8 + (16 << 10)


def test_new_connection_replaces_one_that_stands():
    """Guards against a crowd that keeps all descriptors.

    Requests that stand go first, then connections that never had a request,
    then idle ones; those at work stay.
    """
    budget = request_budget.RequestBudget(
        bounds=BOUNDS._replace(max_connections=4, budget_bytes=4 << 20))
    standing, silent, idle, working = _open(budget, 4)
    budget.charge(standing, LARGE_BYTES, 0.0)
    budget.charge(idle, 10, 0.0)
    budget.begin_work(idle, 0, 0.0)
    budget.finish_work(idle, 0.0)
    budget.charge(working, 10, 0.0)
    budget.begin_work(working, 0, 0.0)
    closed = []
    for _ in range(3):
        assert not budget.open("new", 10.0, extra_connections=0)
        victim, = budget.find_evictions(10.0, extra_connections=0)
        closed.append(victim)
        budget.forget(victim)
        assert budget.open(f"new {victim}", 10.0, extra_connections=0)
    assert closed == [standing, silent, idle]
    assert budget.find_evictions(10.0, extra_connections=0) == []


def test_paused_upload_is_the_last_to_be_replaced():
    """Guards against uploads that pay for the node's own pause."""
    budget = request_budget.RequestBudget(bounds=BOUNDS._replace(
        max_connections=3))
    paused, idle, large = _open(budget, 3)
    budget.charge(idle, 10, 0.0)
    budget.begin_work(idle, 0, 0.0)
    budget.finish_work(idle, 0.0)
    budget.charge(paused, 1_400_000, 0.0)
    budget.charge(large, 1_400_000, 0.0)
    assert not budget.may_read(paused, 0.0)
    assert budget.is_paused(paused)
    closed = []
    for _ in range(3):
        victim, = budget.find_evictions(10.0, extra_connections=0)
        closed.append(victim)
        budget.forget(victim)
        assert budget.open(f"new {victim}", 10.0, extra_connections=0)
    assert closed == [large, idle, paused]


def test_caller_that_pauses_between_two_parts_is_not_replaced():
    """Guards against ordinary callers that are closed for new connections."""
    budget = request_budget.RequestBudget(bounds=BOUNDS._replace(
        max_connections=1))
    key, = _open(budget, 1)
    budget.charge(key, SMALL_BYTES, 0.0)
    assert budget.find_evictions(0.9, extra_connections=0) == []
    assert budget.find_evictions(5.0, extra_connections=0) == [key]


@pytest.mark.parametrize("seed", range(20))
def test_sum_stays_within_the_budget(seed):
    """Guards against sequences of calls that lose count of what is held."""
    rng = random.Random(seed)
    budget = request_budget.RequestBudget(bounds=BOUNDS)
    state = {}
    now_s = 0.0
    for step in range(3000):
        now_s += rng.random() * 0.02
        key = f"c{rng.randrange(80)}"
        if key not in state:
            for victim in budget.find_evictions(now_s, extra_connections=0):
                budget.forget(victim)
                del state[victim]
            if budget.open(key, now_s, extra_connections=0):
                state[key] = "receiving"
            continue
        refused = []
        if state[key] == "working":
            budget.finish_work(key, now_s)
            state[key] = "receiving"
        elif rng.random() < 0.1:
            state[key] = "working"
            refused = budget.begin_work(key, rng.choice((100, LARGE_BYTES)),
                                        now_s)
        elif rng.random() < 0.05:
            budget.forget(key)
            del state[key]
        elif budget.may_read(key, now_s):
            refused = budget.charge(key, rng.choice((1, 500, 16_384)), now_s)
        if step % 10 == 0:
            refused += budget.relieve(now_s)
            budget.take_resumable()
        for victim in refused:
            del state[victim]
        assert budget.open_connections == len(state)
        assert budget.used_bytes <= BOUNDS.budget_bytes
        assert budget.open_connections <= BOUNDS.max_connections
    for key in state:
        budget.forget(key)
    assert budget.used_bytes == 0


@pytest.mark.parametrize(("memory_mb", "max_descriptors"), [(160, 1638),
                                                            (552, 10_250),
                                                            (96, 500)])
def test_bounds_fit_into_the_machine(memory_mb, max_descriptors):
    """Guards against bounds whose sum exceeds the VM."""
    bounds = request_budget.compute_bounds(memory_mb=memory_mb,
                                           max_descriptors=max_descriptors)
    buffers = bounds.receive_buffer_bytes * (bounds.max_connections +
                                             request_budget.BACKLOG)
    spare = (memory_mb - request_budget.REST_MB) << 20
    assert bounds.budget_bytes + buffers <= spare // 2
    assert bounds.max_connections <= (max_descriptors - 200) // 2
    # An ordinary request fits into the share of a connection.
    assert bounds.budget_bytes // 2 // bounds.max_connections > 16 << 10
