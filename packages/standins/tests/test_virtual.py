"""Tests of the virtual module, and of publishing through its nodes."""

import pytest

from trefoilroad_standins import soak
from trefoilroad_standins import virtual

# Two gangs of two tasks with eight accelerators fill four workers.
GANGS = "gangs = 2"


@pytest.fixture
def world():
    entries = virtual.build_entries(count=4, per_rack=4, failure_domains=1)
    world = virtual.World(seed=1, entries=entries, node_names=("n1",))
    world.run(3.0)
    world.publish("n1", soak.build_documents())
    world.run(1.0)
    return world


def call(world, act):
    responses = []
    act(world.nodes["n1"].node.operations, responses.append)
    world.run(1.0)
    return responses[0]


def test_worker_can_be_drained_although_guarantees_need_it(world):
    """Guards against a planned stop that the guarantees make impossible."""
    for drained in (True, False):
        response = call(world,
                        lambda operations, respond, drained=drained: operations.
                        drain("op", "w000", drained, respond))
        assert response.status == 200


def test_larger_guarantee_is_still_checked(world):
    """Guards against guarantees that cannot be kept at the same time."""
    documents = {
        name: text.replace(GANGS, "gangs = 3")
        for name, text in soak.build_documents().items()
    }
    body = {"base_version": 1, "documents": documents}
    response = call(
        world,
        lambda operations, respond: operations.publish("op", body, respond))
    assert response.status == 422
