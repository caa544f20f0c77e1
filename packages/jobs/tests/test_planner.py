"""Rounds: placement, guarantees, stops and drains."""

from trefoilroad_jobs import ordering
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

CAPACITY = workload.Demand(64_000, 256_000, 8)
WHOLE = workload.Demand(8000, 1000, 8)
ONE = workload.Demand(1000, 1000, 1)


def _candidates(count=4, per_rack=2, used=0):
    return [
        placement.Candidate(worker_id=f"w{number}",
                            rack=f"r{number // per_rack}",
                            labels=frozenset({f"r{number // per_rack}"}),
                            room=CAPACITY._replace(accelerators=8 - used),
                            capacity=CAPACITY) for number in range(count)
    ]


def _unit(name, **changes):
    fields = {
        "job_id": name,
        "occurrence": 0,
        "step_number": 0,
        "step": workload.Step(tasks=1, demand=ONE),
        "indexes": (0,),
        "used_by_worker": {},
        "service": "service",
        "team": "team",
        "priority": 1,
        "accepted_s": 0.0,
        "objective_s": 30.0,
        "remaining_s": 5.0,
        "remaining_core_s": 10.0,
        "size_ratio": 1.0,
        "guaranteed": False
    }
    return units.Unit(**fields | changes)


def _gang(name, tasks, demand=WHOLE, **changes):
    step = workload.Step(tasks=tasks,
                         demand=demand,
                         gang=True,
                         one_rack=changes.pop("one_rack", False))
    return _unit(name, step=step, indexes=tuple(range(tasks)), **changes)


def _plan(units,
          candidates,
          ending=(),
          victims=(),
          now_s=0.0,
          round_planner=None):
    round_planner = round_planner or planner.Planner(
        order=ordering.WorthDensity())
    return round_planner.plan(units, candidates, ending, victims, now_s)


def test_gang_is_placed_whole_or_not_at_all():
    """Guards against members that wait for others until their timeout."""
    plan = _plan([_gang("a", 5)], _candidates())
    assert plan.starts == []
    plan = _plan([_gang("a", 4)], _candidates())
    assert sorted(plan.starts[0].workers) == ["w0", "w1", "w2", "w3"]


def test_gang_that_wants_one_rack_gets_one():
    """Guards against work that takes three times as long."""
    plan = _plan([_gang("a", 2, one_rack=True)], _candidates())
    racks = {name in ("w0", "w1") for name in plan.starts[0].workers}
    assert len(racks) == 1


def test_gang_that_no_rack_can_hold_is_spread():
    """Guards against a job that waits for ever for a rack that large."""
    plan = _plan([_gang("a", 3, one_rack=True)], _candidates())
    assert len(plan.starts) == 1


def test_label_and_limit_for_a_worker():
    """Guards against a start on a worker that the job excludes."""
    step = workload.Step(tasks=4, demand=ONE, label="r1", max_per_worker=1)
    unit = _unit("a", step=step, indexes=(0, 1, 2, 3), used_by_worker={"w2": 1})
    plan = _plan([unit], _candidates())
    assert plan.starts[0].workers == ("w3",)


def test_guaranteed_unit_reclaims_the_cheapest_victims():
    """Guards against stops that cost more than needed."""
    victims = [
        units.Victim(((f"w{number}", WHOLE),), 10.0 + number, 2, number)
        for number in range(4)
    ]
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=0,
                 guaranteed=True)
    plan = _plan([unit], _candidates(used=8), victims=victims)
    assert [victim.handle for victim in plan.stops] == [0]
    assert plan.starts == []


def test_no_second_reclaim_while_the_first_stops_end():
    """Guards against a new choice, and new stops, in every round."""
    round_planner = planner.Planner(order=ordering.WorthDensity())
    victims = [
        units.Victim(((f"w{number}", WHOLE),), 10.0, 2, number)
        for number in range(4)
    ]
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=0,
                 guaranteed=True)
    first = _plan([unit],
                  _candidates(used=8),
                  victims=victims,
                  round_planner=round_planner)
    assert len(first.stops) == 1
    second = _plan([unit],
                   _candidates(used=8),
                   ending=[("w0", WHOLE)],
                   victims=victims[1:],
                   now_s=0.1,
                   round_planner=round_planner)
    assert second.stops == []


def test_urgent_unit_stops_cheap_work_only():
    """Guards against stops that lose more than the start earns."""
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=0,
                 objective_s=6.0)
    cheap = [units.Victim((("w0", WHOLE),), 20.0, 2, "cheap")]
    dear = [units.Victim((("w0", WHOLE),), 2000.0, 2, "dear")]
    assert len(_plan([unit], _candidates(used=8), victims=cheap).stops) == 1
    assert _plan([unit], _candidates(used=8), victims=dear).stops == []


def test_no_stops_for_a_unit_that_is_late_anyway():
    """Guards against work thrown away for nothing."""
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=0,
                 objective_s=4.0)
    cheap = [units.Victim((("w0", WHOLE),), 20.0, 2, "cheap")]
    assert _plan([unit], _candidates(used=8), victims=cheap).stops == []


def test_large_gang_gets_workers_emptied():
    """Guards against a gang that starves behind single tasks."""
    round_planner = planner.Planner(order=ordering.WorthDensity())
    gang = _gang("a", 2, objective_s=10.0, remaining_s=5.0)
    small = _unit("b", priority=2)
    plan = _plan([gang, small],
                 _candidates(count=12, used=7),
                 round_planner=round_planner)
    assert [start.unit.job_id for start in plan.starts] == ["b"]
    taken = plan.starts[0].workers[0]
    candidates = _candidates(count=12, used=8)
    for candidate in candidates:
        if candidate.worker_id != taken:
            candidate.room = candidate.room._replace(accelerators=1)
    left = [
        candidate.worker_id
        for candidate in candidates
        if candidate.room.accelerators
    ]
    crowd = [_unit(f"c{number}", priority=2) for number in range(20)]
    plan = _plan([gang, *crowd],
                 candidates,
                 now_s=1.0,
                 round_planner=round_planner)
    assert len(plan.starts) == len(left) - 2


def test_order_by_worth_prefers_dense_work():
    """Guards against large late work that holds up small work in time."""
    order = ordering.WorthDensity()
    dense = _unit("a", remaining_core_s=10.0)
    sparse = _unit("b", remaining_core_s=1000.0)
    late = _unit("c", remaining_core_s=10.0, objective_s=1.0)
    assert order.rank(dense, 0.0) < order.rank(sparse, 0.0)
    assert order.rank(dense, 0.0) < order.rank(late, 0.0)


def test_reclaim_takes_the_rack_where_stops_cost_least():
    """Guards against stops chosen one by one that cost more in all."""
    costs = {"w0": 1.0, "w1": 100.0, "w2": 20.0, "w3": 20.0}
    victims = [
        units.Victim(((name, WHOLE),), cost, 2, name)
        for name, cost in costs.items()
    ]
    unit = _gang("a", 2, one_rack=True, priority=0, guaranteed=True)
    plan = _plan([unit], _candidates(used=8), victims=victims)
    assert sorted(victim.handle for victim in plan.stops) == ["w2", "w3"]


def test_reclaim_counts_a_stopped_gang_once():
    """Guards against a gang that seems as dear on each of its workers."""
    gang = units.Victim((("w0", WHOLE), ("w1", WHOLE)), 30.0, 2, "gang")
    single = [
        units.Victim(((name, WHOLE),), 20.0, 2, name) for name in ("w2", "w3")
    ]
    unit = _gang("a", 2, one_rack=True, priority=0, guaranteed=True)
    plan = _plan([unit], _candidates(used=8), victims=[gang, *single])
    assert [victim.handle for victim in plan.stops] == ["gang"]


def test_reclaim_spares_what_a_later_stop_makes_needless():
    """Guards against the stop of a small task beside a large one."""
    small = units.Victim((("w0", ONE),), 1.0, 2, "small")
    large = units.Victim((("w0", WHOLE._replace(accelerators=7)),), 50.0, 2,
                         "large")
    unit = _unit("a",
                 step=workload.Step(tasks=1,
                                    demand=ONE._replace(accelerators=7)),
                 priority=0,
                 guaranteed=True)
    plan = _plan([unit], _candidates(count=1, used=8), victims=[small, large])
    assert [victim.handle for victim in plan.stops] == ["large"]


def test_bulk_work_does_not_stop_bulk_work_that_is_worth_as_much():
    """Guards against work thrown away for an exchange that earns nothing.

    On recorded load half of all stops were made by bulk gangs.
    """
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=1,
                 remaining_core_s=1000.0)
    alike = units.Victim((("w0", WHOLE),), 20.0, 2, "alike", density=0.003)
    poor = units.Victim((("w0", WHOLE),), 20.0, 2, "poor", density=0.0005)
    assert _plan([unit], _candidates(used=8), victims=[alike]).stops == []
    assert len(_plan([unit], _candidates(used=8), victims=[poor]).stops) == 1


def test_bulk_work_leaves_kept_workers_to_urgent_work():
    """Guards against bulk tasks that start only to be stopped again."""
    round_planner = planner.Planner(order=ordering.WorthDensity())
    bulk = _unit("b",
                 step=workload.Step(tasks=4, demand=WHOLE),
                 indexes=(0, 1, 2, 3),
                 priority=2)
    urgent = _gang("a", 2, one_rack=True, priority=0)
    plan = round_planner.plan([bulk, urgent],
                              _candidates(), (), (),
                              0.0,
                              headroom_accelerators=16.0)
    placed = {start.unit.job_id: set(start.workers) for start in plan.starts}
    assert placed == {"a": {"w0", "w1"}, "b": {"w2", "w3"}}


def test_urgent_work_uses_other_workers_once_the_kept_ones_are_full():
    """Guards against urgent work that waits although there is room."""
    round_planner = planner.Planner(order=ordering.WorthDensity())
    urgent = _gang("a", 3, priority=0)
    plan = round_planner.plan([urgent],
                              _candidates(), (), (),
                              0.0,
                              headroom_accelerators=16.0)
    assert len(plan.starts) == 1
