"""Tests of publishes whose commits fail."""

import random

import pytest

from trefoilroad_core import errors
from trefoilroad_core import fleet
from trefoilroad_node import operations
from trefoilroad_node import publication
from trefoilroad_node import store

REFUSED = errors.StoreRefused("circuit open")
OPERATORS = f'[[operator]]\nname = "op"\ntoken_sha256 = "{"0" * 64}"\n'
LOST = errors.StoreUnavailable("timeout")


class _Timers:

    def call_every(self, interval_s, call):
        pass


class _Store:
    """Answers commits with the given results, the last one repeatedly."""

    def __init__(self, results):
        self.results = list(results)

    def read_row(self, key, on_done):
        on_done(store.Row(key=key, version=0, value=None))

    def commit(self, conditions, puts, on_done):
        result = self.results[0]
        if len(self.results) > 1:
            del self.results[0]
        on_done(result)


def _publish(results):
    results_of_publish = []
    subject = publication.Publication(store=_Store(results),
                                      timers=_Timers(),
                                      rng=random.Random(1),
                                      on_change=lambda _: None)
    subject.publish(documents={"operators.toml": OPERATORS},
                    base_version=0,
                    who="op",
                    workers=fleet.Fleet(workers=[]),
                    on_done=results_of_publish.append)
    return operations._build_publish_response(results_of_publish[0])


def test_publish_that_was_never_sent_has_not_happened():
    """Guards against "may have taken effect" where nothing was sent."""
    response = _publish([REFUSED])
    assert response.status == 503
    assert response.body["outcome"] == "not_run"
    assert response.body["scope"] == "this publish"


@pytest.mark.parametrize("results", [[LOST], [LOST, REFUSED], [REFUSED, LOST]])
def test_publish_with_a_lost_answer_may_have_happened(results):
    """Guards against "not published" after a commit that may still land."""
    response = _publish(results)
    assert response.status == 503
    assert "outcome" not in response.body
    assert "may have taken effect" in response.body["error"]
