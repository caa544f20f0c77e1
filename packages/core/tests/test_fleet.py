"""Tests of the fleet module."""

import pytest

from trefoilroad_core import errors
from trefoilroad_core import fleet

ROW = {
    "id": "w1",
    "address": "127.0.0.1:1",
    "failure_domain": "a",
    "rack": "r1",
    "accelerators": 8,
    "cores": 64,
    "memory_gb": 256,
    "slots": 8,
    "connections": 64,
    "state": "live"
}


def test_leaving_state_is_read():
    """Guards against new tasks on a VM that the platform is removing."""
    assert fleet.parse_worker(ROW | {"state": "leaving"}).leaving


@pytest.mark.parametrize("change", [{"rack": 3}, {"slots": "8"}])
def test_wrong_type_is_reported(change):
    """Guards against decisions based on a malformed VM list."""
    with pytest.raises(errors.RecordError, match="w1"):
        fleet.parse_worker(ROW | change)


def test_missing_field_is_reported():
    """Guards against a KeyError instead of an error that names the field."""
    row = dict(ROW)
    del row["rack"]
    with pytest.raises(errors.RecordError, match="rack"):
        fleet.parse_worker(row)


def test_racks_and_failure_domains_are_indexed():
    """Guards against adjacency decided from an incomplete index."""
    rows = [ROW, ROW | {"id": "w2"}, ROW | {"id": "w3", "rack": "r2"}]
    workers = fleet.Fleet(workers=[fleet.parse_worker(row) for row in rows])
    assert workers.racks == {"r1": ["w1", "w2"], "r2": ["w3"]}
    assert workers.failure_domains == {"a": ["w1", "w2", "w3"]}
    assert workers.accelerators == 24
