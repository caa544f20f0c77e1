"""Tests of fault rules."""

import json

import pytest

from trefoilroad_core import errors
from trefoilroad_standins import faults
from trefoilroad_standins import http_service

KINDS = frozenset({"reads", "writes"})


def parse(**rule):
    return faults.parse_rules(json.dumps({"faults": [rule]}).encode(), KINDS)


def test_filters_select_one_node():
    """Guards against a fault for one node that also affects others."""
    rules = faults.FaultRules(seed=1)
    rules.replace_rules(parse(mode="drop", kinds=["reads"], nodes=["n1"]))
    assert rules.select_rule("reads", "n1") is not None
    assert rules.select_rule("reads", "n2") is None
    assert rules.select_rule("writes", "n1") is None


def test_next_limits_faults_and_probability_is_seeded():
    """Guards against faults that cannot be repeated with the same seed."""

    def select_all(seed):
        rules = faults.FaultRules(seed=seed)
        rules.replace_rules(parse(mode="down", probability=0.5, next=10))
        return [rules.select_rule("reads") is not None for _ in range(60)]

    assert select_all(1) == select_all(1) != select_all(2)
    assert select_all(1).count(True) == 10


@pytest.mark.parametrize(("mode", "takes_effect", "answer"), [
    ("down", False, 503),
    ("drop", False, http_service.DropConnection()),
    ("hang", False, http_service.HoldConnection()),
    ("lose_answers", True, http_service.DropConnection()),
    ("slow", True, 200),
])
def test_inject_decides_effect_and_answer(mode, takes_effect, answer):
    """Guards against a lost answer without effect, or an effect while down."""
    effects = []

    def serve():
        effects.append(1)
        return http_service.build_reply(200, {})

    action = faults.inject(parse(mode=mode, delay_s=3)[0], serve)
    assert isinstance(action, http_service.DelayedAction)
    assert action.delay_s == 3
    assert not effects
    final = action.resolve()
    assert bool(effects) == takes_effect
    assert final == answer or getattr(final, "status", None) == answer


@pytest.mark.parametrize("rule", [
    '{"mode": "other"}',
    '{"mode": "slow"}',
    '{"mode": "down", "kinds": ["vms"]}',
    '{"mode": "down", "node": "n1"}',
    '{"mode": "down", "probability": 2}',
    '{"mode": "down", "next": true}',
])
def test_invalid_rules_are_refused(rule):
    """Guards against a misspelt rule that silently never applies."""
    with pytest.raises(errors.ProtocolError):
        parse(**json.loads(rule))
