"""Tests of the api module."""

import hashlib
import io
import types
from unittest import mock

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


def test_stopping_node_records_no_request():
    """Guards against a request that a node still records while it stops."""
    edge = mock.Mock(configuration=CONFIGURATION)
    server = api.Api(listen="127.0.0.1:0",
                     edge=edge,
                     operator_actions=mock.Mock(),
                     bootstrap_sha256="",
                     max_open_requests=1)
    request = types.SimpleNamespace(method="POST",
                                    path="/v1/requests",
                                    qs="",
                                    headers={"Authorization": "Bearer team"},
                                    body=io.BytesIO(b"{}"))
    responses = []
    server.dispatch(request, responses.append)
    assert edge.submit.call_count == 1
    server.stopping = True
    server.dispatch(request, responses.append)
    assert edge.submit.call_count == 1
    assert [(response.status, response.body["outcome"], response.headers)
            for response in responses] == [(503, "not_run", {
                "Retry-After": "0"
            })]
