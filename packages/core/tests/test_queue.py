"""Tests of the queue module."""

import collections

import pytest

from trefoilroad_core import queue


@pytest.fixture
def order():
    return queue.FairShare()


def arrange(order, items, weights=None):
    return list(
        order.arrange(items, lambda item: item.declared_s, weights or {}))


def serve(order, items, count, weights=None):
    """Starts `count` requests one after the other and returns them."""
    items = list(items)
    served = []
    for _ in range(count):
        item = arrange(order, items, weights)[0]
        items.remove(item)
        order.charge(item.team, item.caller, item.declared_s)
        served.append(item)
    return served


def test_arrival_order_is_by_receipt(build):
    """Guards against a baseline that uses fair sharing."""
    items = [build.pending(received_s=5.0), build.pending(received_s=3.0)]
    assert arrange(queue.ArrivalOrder(), items) == items[::-1]


def test_flood_of_urgent_work_does_not_delay_others(build, order):
    """Guards against a team that gains by declaring all its work urgent."""
    flood = [build.pending(team="flood", priority=0) for _ in range(50)]
    others = [build.pending(team="b", priority=9) for _ in range(5)]
    served = serve(order, flood + others, 10)
    assert collections.Counter(item.team for item in served)["b"] == 5


def test_shares_follow_weights_and_cost(build, order):
    """Guards against shares by number of requests instead of their cost."""
    items = [
        build.pending(team=team, declared_s=size)
        for team, size in (("a", 10.0), ("b", 40.0))
        for _ in range(80)
    ]
    served = serve(order, items, 50, {"b": 2.0})
    used = collections.Counter()
    for item in served:
        used[item.team] += item.declared_s
    assert used["b"] / used["a"] == pytest.approx(2.0, rel=0.15)


def test_callers_of_a_team_share_fairly(build, order):
    """Guards against one caller of a team starving the others."""
    items = [build.pending(caller="loud", priority=0) for _ in range(20)]
    items += [build.pending(caller="quiet", priority=9) for _ in range(3)]
    served = serve(order, items, 6)
    assert [item.caller for item in served].count("quiet") == 3


def test_one_caller_is_served_by_priority_then_arrival(build, order):
    """Guards against a caller's urgent work waiting behind its other work."""
    items = [build.pending(priority=p) for p in (5, 0, 5, 0)]
    assert arrange(order, items) == [items[1], items[3], items[0], items[2]]


def test_idle_team_accumulates_no_share(build, order):
    """Guards against a team using the whole fleet after an idle time."""
    busy = [build.pending(team="a") for _ in range(60)]
    serve(order, busy[:40], 40)
    late = [build.pending(team="b") for _ in range(20)]
    served = serve(order, busy[40:] + late, 10)
    assert [item.team for item in served].count("b") in (5, 6)


def test_blocked_team_keeps_its_start_tag(build, order):
    """Guards against backfilled requests moving a large gang back."""
    large = build.pending("large", team="a")
    others = [build.pending(team="b") for _ in range(10)]
    for item in others:
        assert arrange(order, [large, item])[0] is large
        order.charge("b", item.caller, item.declared_s)
    assert arrange(order, [large, build.pending(team="new")])[0] is large


def test_late_refund_gives_no_advantage(build, order):
    """Guards against a team that gains by declaring long run times."""
    items = [build.pending(team="a", declared_s=1000.0) for _ in range(20)]
    serve(order, items, 10)
    order.charge("a", "c", -9000.0, in_fair_order=False)
    items = [build.pending(team=team) for team in "ab" for _ in range(10)]
    served = serve(order, items, 10)
    assert [item.team for item in served].count("b") in (5, 6)
