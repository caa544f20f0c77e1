"""Tests of the store module."""

import random

from trefoilroad_node import store


def test_breaker_opens_after_failures():
    """Guards against nodes that all add their calls to an overloaded store."""
    breaker = store.CircuitBreaker(rng=random.Random(1))
    for _ in range(store.BREAKER_FAILURE_THRESHOLD):
        assert breaker.allows(0.0)
        breaker.record_failure(0.0)
    assert not breaker.allows(0.0)
    assert not breaker.allows(store.BREAKER_BASE_DELAY_S / 2 - 0.01)


def test_breaker_lets_one_probe_through():
    """Guards against a burst of calls at the moment the breaker half-opens."""
    breaker = store.CircuitBreaker(rng=random.Random(1))
    for _ in range(store.BREAKER_FAILURE_THRESHOLD):
        breaker.record_failure(0.0)
    assert breaker.allows(store.BREAKER_BASE_DELAY_S)
    assert not breaker.allows(store.BREAKER_BASE_DELAY_S)


def test_breaker_closes_with_the_first_answer():
    """Guards against a recovered store that is not used."""
    breaker = store.CircuitBreaker(rng=random.Random(1))
    for _ in range(3 * store.BREAKER_FAILURE_THRESHOLD):
        breaker.record_failure(0.0)
    breaker.record_success()
    assert breaker.allows(0.0)


def test_open_time_never_exceeds_its_limit():
    """Guards against a node that avoids the store long after an outage."""
    breaker = store.CircuitBreaker(rng=random.Random(1))
    for _ in range(500):
        breaker.record_failure(0.0)
    assert breaker.allows(store.BREAKER_MAX_DELAY_S)
