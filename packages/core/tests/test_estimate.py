"""Tests of the estimate module."""

import random

import pytest

from trefoilroad_core import estimate


@pytest.fixture
def subject():
    return estimate.ObservedEstimator()


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_wrong_declarations_are_corrected(subject, factor):
    """Guards against plans based on declarations that are off tenfold."""
    rng = random.Random(1)
    for _ in range(20):
        declared_s = rng.uniform(10.0, 1000.0)
        subject.observe("a", "t", declared_s,
                        declared_s * factor * rng.uniform(0.9, 1.1))
    assert subject.estimate("a", "t", 50.0) == pytest.approx(50.0 * factor,
                                                             rel=0.1)


def test_uncorrelated_declarations_are_ignored(subject):
    """Guards against scaling declarations unrelated to the run time."""
    rng = random.Random(1)
    for _ in range(20):
        subject.observe("a", "t", 60.0 * 10.0**rng.uniform(-1, 1), 60.0)
    assert subject.estimate("a", "t", 600.0) == pytest.approx(60.0)


def test_outliers_do_not_move_the_estimate(subject):
    """Guards against one hung gang distorting all estimates."""
    for real_s in [100.0] * 9 + [1e6]:
        subject.observe("a", "t", 100.0, real_s)
    assert subject.estimate("a", "t", 100.0) == pytest.approx(100.0)


def test_observations_of_other_teams_are_used_at_first(subject):
    """Guards against estimating a new team from declarations alone."""
    for _ in range(3):
        subject.observe("a", "t", 100.0, 50.0)
    assert subject.estimate("b", "t", 100.0) == pytest.approx(50.0)
    assert subject.estimate("b", "other", 100.0) == 100.0


def test_window_is_bounded():
    """Guards against old run times outweighing a changed load."""
    subject = estimate.ObservedEstimator(window=5)
    for real_s in [10.0] * 100 + [100.0] * 3:
        subject.observe("a", "t", 10.0, real_s)
    assert subject.estimate("a", "t", 10.0) == pytest.approx(100.0)
