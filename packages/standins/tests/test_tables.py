"""Tests of the table service and VM list."""

import hypothesis
from hypothesis import strategies

from trefoilroad_standins import tables

KEYS = strategies.sampled_from("abc")
WRITES = strategies.lists(strategies.builds(
    tables.Write, KEYS, strategies.one_of(strategies.none(),
                                          strategies.just(1))),
                          min_size=1,
                          max_size=3,
                          unique_by=lambda write: write.key)
CONDITIONS = strategies.lists(
    strategies.builds(tables.Condition, KEYS, strategies.integers(0, 4)))


@hypothesis.given(
    strategies.lists(strategies.tuples(CONDITIONS, WRITES), max_size=8))
def test_commit_applies_all_writes_or_none(commits):
    """Guards against partial commits and changes that are never listed."""
    table = tables.Table()
    model: dict[str, int] = {}
    for conditions, writes in commits:
        before = table.list_rows("", 0)
        result = table.commit(conditions, writes)
        if result.conflicts:
            assert table.list_rows("", 0) == before
            assert all(
                model.get(key, 0) == version
                for key, version in result.conflicts)
            continue
        assert all(model.get(key, 0) == version for key, version in conditions)
        for write in writes:
            model[write.key] = 0 if write.value is None else result.version
        changed = table.list_rows("", result.version - 1)
        assert [(row["key"], row["value"]) for row in changed] == writes
    assert all(table.get_version(key) == model.get(key, 0) for key in "abc")


def test_list_rows_filters_and_keeps_tombstones():
    """Guards against missed deletions and rows with another prefix."""
    table = tables.Table()
    table.commit([], [tables.Write("a/1", 1), tables.Write("b/1", 1)])
    table.commit([], [tables.Write("a/2", 2)])
    table.commit([], [tables.Write("a/1", None)])
    assert table.list_rows("a/", 1) == [
        tables.Row(key="a/2", version=2, value=2),
        tables.Row(key="a/1", version=3, value=None)
    ]
    assert table.get_row("a/1") == {"key": "a/1", "version": 0, "value": None}


def test_vm_list_lags_and_omits_gone_vms():
    """Guards against changes that are visible before the lag has passed."""
    vms = tables.VmList(lag_s=2.0, entries=[{"id": "w1", "state": "live"}])
    assert vms.change({"id": "w1", "state": "gone"}, 10.0)
    assert vms.change({"id": "w2", "address": "h:1"}, 11.0)
    assert not vms.change({"id": "w3", "state": "live"}, 11.0)
    assert [entry["id"] for entry in vms.list_entries(11.9)] == ["w1"]
    assert vms.list_entries(12.0) == []
    entry = {"id": "w2", "state": "live", "address": "h:1"}
    assert vms.list_entries(13.0) == [entry]
