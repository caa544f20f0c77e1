"""Tests of the api module."""

import hashlib

import pytest

from trefoilroad_core import contract
from trefoilroad_node import api


def hash_token(token):
    return hashlib.sha256(token.encode()).hexdigest()


TEAM = contract.Team(name="a",
                     weight=1.0,
                     guarantees=(),
                     max_queued=1,
                     max_queued_per_caller=1,
                     max_accelerators=0,
                     templates=(),
                     overrides={},
                     token_sha256=hash_token("team"))
CONFIGURATION = contract.EMPTY_CONFIGURATION._replace(
    version=1, teams={"a": TEAM}, operators={"op": hash_token("operator")})


@pytest.mark.parametrize(("token", "identity"),
                         [("team", api.Identity(team="a")),
                          ("operator", api.Identity(operator="op")),
                          ("bootstrap", api.Identity(operator="bootstrap")),
                          ("other", None), ("", None)])
def test_token_names_one_identity(token, identity):
    """Guards against a token that gives more access than it should."""
    bootstrap = hash_token("bootstrap")
    assert api.identify(token, CONFIGURATION, bootstrap) == identity


def test_no_bootstrap_token_by_default():
    """Guards against an empty setting that matches some token."""
    assert api.identify("bootstrap", CONFIGURATION, "") is None
