"""Tests of draining and publishing on a virtual cluster."""

import pytest

from trefoilroad_node import publication
from trefoilroad_standins import soak
from trefoilroad_standins import virtual_cluster

# Two gangs of two tasks with eight accelerators each fill the four workers.
GANGS = "gangs = 2"


@pytest.fixture
def cluster():
    entries = virtual_cluster.build_vm_entries(count=4,
                                               per_rack=4,
                                               failure_domains=1)
    cluster = virtual_cluster.VirtualCluster(seed=1,
                                             entries=entries,
                                             node_names=("n1",))
    cluster.run(3.0)
    cluster.publish("n1", soak.build_documents())
    cluster.run(1.0)
    return cluster


def run_operation(cluster, call_operations):
    responses = []
    call_operations(cluster.nodes["n1"].node.operations, responses.append)
    cluster.run(1.0)
    return responses[0]


def test_worker_can_be_drained_although_guarantees_need_it(cluster):
    """Guards against guarantees that make a planned stop impossible."""
    for drained in (True, False):
        response = run_operation(
            cluster,
            lambda operations, respond, drained=drained: operations.drain(
                "op", "w000", drained, respond))
        assert response.status == 200


def test_larger_guarantee_is_still_checked(cluster):
    """Guards against guarantees that cannot all be met at the same time."""
    documents = {
        name: text.replace(GANGS, "gangs = 3")
        for name, text in soak.build_documents().items()
    }
    body = {"base_version": 1, "documents": documents}
    response = run_operation(
        cluster,
        lambda operations, respond: operations.publish("op", body, respond))
    assert response.status == 422


def test_drain_that_loses_every_conflict_can_be_repeated(cluster, monkeypatch):
    """Guards against a drain that tells its caller to correct the call.

    Other publishes came before each of its tries; the caller can only repeat
    it, and it has not been recorded.
    """
    conflict = publication.PublishConflict(version=7, keys=[])
    monkeypatch.setattr(publication.Publication, "publish",
                        lambda self, *, on_done, **_: on_done(conflict))
    response = run_operation(
        cluster, lambda operations, respond: operations.drain(
            "op", "w000", True, respond))
    assert response.status == 503
    assert response.body["outcome"] == "not_run"
    assert response.body["scope"] == "this drain"
