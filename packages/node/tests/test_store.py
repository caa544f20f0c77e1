"""Tests of the store module."""

import random

from trefoilroad_node import store


def test_breaker_rests_after_losses():
    """Guards against every node adding its calls to an overloaded store."""
    breaker = store.Breaker(rng=random.Random(1))
    for _ in range(store.BREAKER_LOSSES):
        assert breaker.allows(0.0)
        breaker.note_loss(0.0)
    assert not breaker.allows(0.0)
    assert not breaker.allows(store.BREAKER_BASE_S / 2 - 0.01)


def test_breaker_lets_one_probe_through():
    """Guards against a herd at the moment when the rest is over."""
    breaker = store.Breaker(rng=random.Random(1))
    for _ in range(store.BREAKER_LOSSES):
        breaker.note_loss(0.0)
    assert breaker.allows(store.BREAKER_BASE_S)
    assert not breaker.allows(store.BREAKER_BASE_S)


def test_breaker_closes_with_the_first_answer():
    """Guards against a store that is back and not used."""
    breaker = store.Breaker(rng=random.Random(1))
    for _ in range(3 * store.BREAKER_LOSSES):
        breaker.note_loss(0.0)
    breaker.note_success()
    assert breaker.allows(0.0)


def test_rest_never_exceeds_its_limit():
    """Guards against a node that stays away long after an outage."""
    breaker = store.Breaker(rng=random.Random(1))
    for _ in range(500):
        breaker.note_loss(0.0)
    assert breaker.allows(store.BREAKER_MAX_S)
