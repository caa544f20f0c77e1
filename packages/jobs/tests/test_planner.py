"""Tests of planning: placement, guarantees, preemption, reservations."""

import pytest

from trefoilroad_jobs import ordering
from trefoilroad_jobs import patience
from trefoilroad_jobs import placement
from trefoilroad_jobs import planner
from trefoilroad_jobs import reclaim
from trefoilroad_jobs import units
from trefoilroad_jobs import workload

CAPACITY = workload.Demand(64_000, 256_000, 8)
WHOLE = workload.Demand(8000, 1000, 8)
ONE = workload.Demand(1000, 1000, 1)
# A job may not stand beside free room for longer, in seconds.
MAX_IDLE_S = 3.0


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
        order=ordering.WorthDensityOrder())
    return round_planner.plan(
        units, candidates,
        lambda: reclaim.RunningTasks(ending=ending, victims=victims), now_s)


def test_gang_is_placed_whole_or_not_at_all():
    """Guards against gang members that wait for the others until a timeout."""
    plan = _plan([_gang("a", 5)], _candidates())
    assert plan.starts == []
    plan = _plan([_gang("a", 4)], _candidates())
    assert sorted(plan.starts[0].workers) == ["w0", "w1", "w2", "w3"]


def test_gang_that_prefers_one_rack_gets_one():
    """Guards against gangs that are spread and run three times as long."""
    plan = _plan([_gang("a", 2, one_rack=True)], _candidates())
    racks = {name in ("w0", "w1") for name in plan.starts[0].workers}
    assert len(racks) == 1


def test_gang_that_no_rack_can_hold_is_spread():
    """Guards against a job that waits for ever for a large enough rack."""
    plan = _plan([_gang("a", 3, one_rack=True)], _candidates())
    assert len(plan.starts) == 1


@pytest.mark.parametrize("one_rack", [False, True])
def test_gang_is_placed_beside_a_worker_that_is_blocked_for_another(one_rack):
    """Guards against a gang that waits beside free room that it fits in.

    The room of a worker that is reserved while tasks still run there is below
    zero, which was subtracted from the room of the other workers.
    """
    candidates = _candidates(count=3, per_rack=3)
    candidates[0].room = CAPACITY._replace(accelerators=-7)
    gang = _gang("gang", 2, one_rack=one_rack)
    placed = placement.place(units.build_placement_request(gang),
                             candidates,
                             spread=False)
    assert sorted(placed) == ["w1", "w2"]


def test_label_and_task_limit_per_worker():
    """Guards against a start on a worker that the job excludes."""
    step = workload.Step(tasks=4, demand=ONE, label="r1", max_per_worker=1)
    unit = _unit("a", step=step, indexes=(0, 1, 2, 3), used_by_worker={"w2": 1})
    plan = _plan([unit], _candidates())
    assert plan.starts[0].workers == ("w3",)


def test_guaranteed_unit_preempts_cheapest_victim():
    """Guards against preemption that loses more work than needed."""
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


def test_no_second_preemption_while_victims_end():
    """Guards against further preemption in each round until the first ends."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
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


def test_urgent_unit_preempts_only_if_worthwhile():
    """Guards against preemption that loses more than the start earns."""
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=0,
                 objective_s=6.0)
    cheap = [units.Victim((("w0", WHOLE),), 20.0, 2, "cheap")]
    expensive = [units.Victim((("w0", WHOLE),), 2000.0, 2, "dear")]
    assert len(_plan([unit], _candidates(used=8), victims=cheap).stops) == 1
    assert _plan([unit], _candidates(used=8), victims=expensive).stops == []


def test_no_preemption_for_unit_that_is_late_anyway():
    """Guards against lost work that does not make the unit end in time."""
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=0,
                 objective_s=4.0)
    cheap = [units.Victim((("w0", WHOLE),), 20.0, 2, "cheap")]
    assert _plan([unit], _candidates(used=8), victims=cheap).stops == []


def test_workers_are_reserved_for_large_gang():
    """Guards against a gang that never starts because of single tasks."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    gang = _gang("a", 2, objective_s=10.0, remaining_s=5.0)
    small = _unit("b", priority=2)
    plan = _plan([gang, small],
                 _candidates(count=12, used=7),
                 round_planner=round_planner)
    assert [start.unit.job_id for start in plan.starts] == ["b"]
    used_worker = plan.starts[0].workers[0]
    candidates = _candidates(count=12, used=8)
    for candidate in candidates:
        if candidate.worker_id != used_worker:
            candidate.room = candidate.room._replace(accelerators=1)
    reservable = [
        candidate.worker_id
        for candidate in candidates
        if candidate.room.accelerators
    ]
    small_units = [_unit(f"c{number}", priority=2) for number in range(20)]
    plan = _plan([gang, *small_units],
                 candidates,
                 now_s=1.0,
                 round_planner=round_planner)
    assert len(plan.starts) == len(reservable) - 2


def test_reservation_on_an_evacuated_worker_is_dropped():
    """Guards against a reservation that outlasts the evacuation of a worker.

    It counted against the number of reservations and gave its unit precedence
    although the unit could not start there.
    """
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    gang = _gang("a", 2, objective_s=10.0, remaining_s=5.0)
    _plan([gang], _candidates(count=24, used=7), round_planner=round_planner)
    (reserved,) = round_planner.list_held_room().reservations.values()
    # Its turn does not come in this round, so it reserves no other workers.
    later = gang._replace(reclaim_s=5.0)
    candidates = [
        candidate for candidate in _candidates(count=24, used=7)
        if candidate.worker_id != reserved[0]
    ]
    round_planner.plan([later],
                       candidates,
                       lambda: reclaim.RunningTasks(ending=(), victims=()),
                       1.0,
                       evacuated=frozenset({reserved[0]}))
    assert not round_planner.list_held_room().reservations


def test_worth_density_order_prefers_dense_work():
    """Guards against large or late units that delay small punctual ones."""
    order = ordering.WorthDensityOrder()
    dense = _unit("a", remaining_core_s=10.0)
    sparse = _unit("b", remaining_core_s=1000.0)
    late = _unit("c", remaining_core_s=10.0, objective_s=1.0)
    assert order.rank(dense, 0.0) < order.rank(sparse, 0.0)
    assert order.rank(dense, 0.0) < order.rank(late, 0.0)


def test_reclaim_uses_rack_with_smallest_total_loss():
    """Guards against victims that are cheap one by one but not in total."""
    costs = {"w0": 1.0, "w1": 100.0, "w2": 20.0, "w3": 20.0}
    victims = [
        units.Victim(((name, WHOLE),), cost, 2, name)
        for name, cost in costs.items()
    ]
    unit = _gang("a", 2, one_rack=True, priority=0, guaranteed=True)
    plan = _plan([unit], _candidates(used=8), victims=victims)
    assert sorted(victim.handle for victim in plan.stops) == ["w2", "w3"]


def test_reclaim_counts_a_stopped_gang_once():
    """Guards against counting the loss of a gang once for each worker."""
    gang = units.Victim((("w0", WHOLE), ("w1", WHOLE)), 30.0, 2, "gang")
    single = [
        units.Victim(((name, WHOLE),), 20.0, 2, name) for name in ("w2", "w3")
    ]
    unit = _gang("a", 2, one_rack=True, priority=0, guaranteed=True)
    plan = _plan([unit], _candidates(used=8), victims=[gang, *single])
    assert [victim.handle for victim in plan.stops] == ["gang"]


def test_reclaim_spares_victim_made_unnecessary_by_later_one():
    """Guards against an unnecessary stop of a small task with a large one."""
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


def test_bulk_unit_does_not_preempt_bulk_work_of_equal_worth():
    """Guards against lost work for a replacement that earns nothing.

    On recorded load, half of all preemptions were made for bulk gangs.
    """
    unit = _unit("a",
                 step=workload.Step(tasks=1, demand=WHOLE),
                 priority=1,
                 remaining_core_s=1000.0)
    equal_density = units.Victim((("w0", WHOLE),),
                                 20.0,
                                 2,
                                 "alike",
                                 density=0.003)
    low_density = units.Victim((("w0", WHOLE),),
                               20.0,
                               2,
                               "poor",
                               density=0.0005)
    assert _plan([unit], _candidates(used=8),
                 victims=[equal_density]).stops == []
    assert len(_plan([unit], _candidates(used=8),
                     victims=[low_density]).stops) == 1


def test_bulk_unit_avoids_headroom_workers():
    """Guards against bulk tasks that are preempted soon after their start."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    bulk = _unit("b",
                 step=workload.Step(tasks=4, demand=WHOLE),
                 indexes=(0, 1, 2, 3),
                 priority=2)
    urgent = _gang("a", 2, one_rack=True, priority=0)
    plan = round_planner.plan(
        [bulk, urgent],
        _candidates(),
        lambda: reclaim.RunningTasks(ending=(), victims=()),
        0.0,
        headroom_accelerators=16.0)
    placed = {start.unit.job_id: set(start.workers) for start in plan.starts}
    assert placed == {"a": {"w0", "w1"}, "b": {"w2", "w3"}}


def test_urgent_unit_uses_other_workers_if_headroom_is_full():
    """Guards against urgent units that wait although workers are free."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    urgent = _gang("a", 3, priority=0)
    plan = round_planner.plan(
        [urgent],
        _candidates(),
        lambda: reclaim.RunningTasks(ending=(), victims=()),
        0.0,
        headroom_accelerators=16.0)
    assert len(plan.starts) == 1


def _preempt_for_gang(round_planner):
    """Plans the preemption of tasks for an urgent gang of two workers."""
    gang = _gang("a", 2, priority=0)
    running = [
        units.Victim(tasks=((f"w{number}", WHOLE),),
                     lost_core_s=1.0 + number,
                     priority=2,
                     handle=f"w{number}") for number in range(4)
    ]
    plan = _plan([gang],
                 _candidates(used=8),
                 victims=running,
                 round_planner=round_planner)
    assert [victim.handle for victim in plan.stops] == ["w0", "w1"]
    return gang, running[2:]


def test_nothing_more_is_preempted_while_a_held_worker_is_silent_for_a_moment():
    """Guards against a second set of victims after each lost reply to a stop.

    With half of the replies lost, the first lost reply dropped the hold, and
    the next round stopped tasks on other workers for the same gang.
    """
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    gang, others = _preempt_for_gang(round_planner)

    def plan(resting, now_s):
        return round_planner.plan([gang],
                                  _candidates(used=8)[1:],
                                  lambda: reclaim.RunningTasks(
                                      ending=[("w1", WHOLE)], victims=others),
                                  now_s,
                                  resting=resting)

    assert not plan({"w0"}, 0.2).stops
    assert plan((), 0.4).stops


def test_unit_with_a_hold_uses_room_that_becomes_free_elsewhere():
    """Guards against a wait for slow stops while other workers are free."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    gang, others = _preempt_for_gang(round_planner)

    def plan(now_s):
        return _plan([gang],
                     _candidates(used=8)[:2] + _candidates()[2:],
                     ending=[("w0", WHOLE), ("w1", WHOLE)],
                     victims=others,
                     now_s=now_s,
                     round_planner=round_planner)

    assert not plan(planner.STOP_S / 2).starts
    late = plan(planner.STOP_S)
    assert [start.workers for start in late.starts] == [("w2", "w3")]
    assert not late.stops


def _fail_to_list():
    raise AssertionError("the running tasks are not needed")


def test_running_tasks_are_listed_only_if_a_unit_needs_room():
    """Guards against rounds that look at each run of a large fleet."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    plan = round_planner.plan([_gang("a", 2, priority=0)], _candidates(),
                              _fail_to_list, 0.0)
    assert len(plan.starts) == 1


def test_unit_is_not_tried_on_each_worker_of_a_full_fleet(monkeypatch):
    """Guards against a search of all workers for each of many waiting units."""
    tried = []
    monkeypatch.setattr(placement, "place",
                        lambda request, *_, **__: tried.append(request))
    waiting = [
        _gang(f"{number}", 2, priority=2, demand=ONE) for number in range(20)
    ]
    plan = _plan(waiting, _candidates(used=8))
    assert not plan.starts
    assert not tried


def test_unit_without_accelerators_is_placed_in_a_full_fleet():
    """Guards against work that waits for accelerators that it does not use."""
    demand = workload.Demand(1000, 1000, 0)
    plan = _plan([_gang("a", 2, demand=demand)], _candidates(used=8))
    assert len(plan.starts) == 1


def _count_searches(monkeypatch):
    searched = []
    choose_preemption = reclaim.choose_preemption

    def choose(unit, *args):
        searched.append(unit.job_id)
        return choose_preemption(unit, *args)

    monkeypatch.setattr(reclaim, "choose_preemption", choose)
    return searched


def test_units_behind_futile_searches_get_their_turn(monkeypatch):
    """Guards against work that waits behind gangs that nothing makes room for.

    A round searches for few units only, and the same units that no preemption
    helps came first in each round. On the load of a full large fleet nine of
    ten searches were in vain.
    """
    searched = _count_searches(monkeypatch)
    monkeypatch.setattr(planner, "WORKERS_SEARCHED_IN_EACH_ROUND", 0)
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    futile = [
        _gang(f"futile{number}", 5, size_ratio=4.0) for number in range(3)
    ]
    helped = _gang("helped", 1, priority=1, remaining_core_s=5000.0)
    victims = [
        units.Victim(tasks=(("w0", WHOLE),),
                     lost_core_s=1.0,
                     priority=2,
                     handle=None)
    ]
    plans = [
        _plan([*futile, helped],
              _candidates(used=8),
              victims=victims,
              now_s=now_s,
              round_planner=round_planner) for now_s in (0.0, 0.001)
    ]
    assert searched == ["futile0", "futile1", "futile2", "helped"]
    assert plans[0].stops == []
    assert plans[1].stops == victims


def test_futile_search_is_repeated_after_a_while(monkeypatch):
    """Guards against gangs that are never looked at again."""
    searched = _count_searches(monkeypatch)
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    delay_s = planner.FUTILE_SEARCH_DELAY_S * len(_candidates())
    monkeypatch.setattr(planner, "WORKERS_SEARCHED_IN_EACH_ROUND", 0)
    for now_s in (0.0, 0.5 * delay_s, delay_s):
        _plan([_gang("a", 5)],
              _candidates(used=8),
              now_s=now_s,
              round_planner=round_planner)
    assert searched == ["a", "a"]


def test_urgent_units_are_searched_for_in_each_round(monkeypatch):
    """Guards against urgent work that waits although a task can be stopped."""
    searched = _count_searches(monkeypatch)
    monkeypatch.setattr(planner, "WORKERS_SEARCHED_IN_EACH_ROUND", 0)
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    for now_s in (0.0, 0.001):
        _plan([_gang("a", 5, priority=0)],
              _candidates(used=8),
              now_s=now_s,
              round_planner=round_planner)
    assert searched == ["a", "a"]


def test_hold_without_preemption_does_not_come_first():
    """Guards against bulk work that keeps room from urgent work.

    A bulk unit got a hold on the room of tasks that were being stopped, without
    any preemption of its own, and units with a hold came before all others.
    """
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    bulk = _gang("bulk", 1, priority=2)
    urgent = _gang("urgent", 1, priority=0, guaranteed=True, accepted_s=0.1)
    _plan([bulk],
          _candidates(count=1, used=8),
          ending=[("w0", WHOLE)],
          round_planner=round_planner)
    later = _plan([bulk, urgent],
                  _candidates(count=1),
                  now_s=0.2,
                  round_planner=round_planner)
    assert [start.unit.job_id for start in later.starts] == ["urgent"]


def test_least_urgent_unit_is_not_searched_for_on_a_large_fleet(monkeypatch):
    """Guards against searches for units that can preempt nothing."""
    searched = _count_searches(monkeypatch)
    monkeypatch.setattr(planner, "WORKERS_SEARCHED_IN_EACH_ROUND", 0)
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    for number, priority in enumerate((2, 1)):
        round_planner.plan([_gang("a", 1, priority=priority)],
                           _candidates(count=1, used=8),
                           lambda: reclaim.RunningTasks(ending=(), victims=()),
                           float(number),
                           lowest_priority=2)
    assert searched == ["a"]


def _wide_unit(tasks, demand=ONE, **changes):
    """Returns an urgent unit that a guarantee covers and that is no gang."""
    step = workload.Step(tasks=tasks,
                         demand=demand,
                         max_per_worker=changes.pop("max_per_worker", 0))
    return _unit("wide",
                 step=step,
                 indexes=tuple(range(tasks)),
                 priority=0,
                 guaranteed=True,
                 **changes)


def test_guaranteed_unit_that_never_fits_at_once_starts_in_parts():
    """Guards against a job that waits for good on an idle fleet.

    Its tasks, one to a worker, were more than the workers that were left.
    """
    plan = _plan([_wide_unit(5, max_per_worker=1)], _candidates())
    assert sorted(plan.starts[0].workers) == ["w0", "w1", "w2", "w3"]
    # Memory for three tasks on each worker, which have room for eight.
    demand = workload.Demand(1000, 80_000, 1)
    plan = _plan([_wide_unit(14, demand)], _candidates())
    assert len(plan.starts[0].workers) == 12


def test_guaranteed_unit_starts_where_other_urgent_work_leaves_room():
    """Guards against a wait for workers that other urgent work keeps full."""
    candidates = _candidates()
    candidates[0].room = workload.Demand(0, 0, 0)
    plan = _plan([_wide_unit(4, max_per_worker=1)], candidates)
    assert sorted(plan.starts[0].workers) == ["w1", "w2", "w3"]


def test_guaranteed_unit_preempts_for_the_part_that_fits():
    """Guards against the same wait if less urgent work fills the fleet."""
    victims = [
        units.Victim(((f"w{number}", WHOLE),), 10.0, 2, number)
        for number in range(4)
    ]
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    unit = _wide_unit(5, max_per_worker=1)
    plan = _plan([unit],
                 _candidates(used=8),
                 victims=victims,
                 round_planner=round_planner)
    assert sorted(victim.handle for victim in plan.stops) == [0, 1, 2, 3]
    assert plan.starts == []
    # The room is held until all of the victims have ended.
    ending = [(f"w{number}", WHOLE) for number in range(1, 4)]
    candidates = _candidates(used=8)
    candidates[0].room = CAPACITY
    bulk = _unit("bulk")
    plan = _plan([unit, bulk],
                 candidates,
                 ending=ending,
                 now_s=0.1,
                 round_planner=round_planner)
    assert plan.stops == []
    plan = _plan([unit, bulk],
                 _candidates(),
                 now_s=0.2,
                 round_planner=round_planner)
    assert plan.starts[0].unit.job_id == "wide"
    assert sorted(plan.starts[0].workers) == ["w0", "w1", "w2", "w3"]


def test_guaranteed_gang_still_waits_for_all_its_members():
    """Guards against a gang that is started in parts."""
    plan = _plan([_gang("a", 5, priority=0, guaranteed=True)], _candidates())
    assert plan.starts == []
    assert plan.stops == []


def test_guaranteed_unit_that_fits_after_preemption_is_not_split():
    """Guards against parts that start early and preempt more in the end."""
    victims = [units.Victim((("w0", WHOLE),), 10.0, 2, 0)]
    candidates = _candidates()
    candidates[0].room = CAPACITY._replace(accelerators=0)
    plan = _plan([_wide_unit(4, max_per_worker=1)], candidates, victims=victims)
    assert [victim.handle for victim in plan.stops] == [0]
    assert plan.starts == []


def _fill_rack(candidates, rack):
    for candidate in candidates:
        if candidate.rack == rack:
            candidate.room = candidate.room._replace(accelerators=0)
    return candidates


def _plan_rounds(make_candidates, unit, end_s, interval_s=0.1, **options):
    """Plans rounds until the unit starts; returns the time, or None."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    for number in range(round(end_s / interval_s) + 1):
        now_s = number * interval_s
        plan = round_planner.plan(
            [unit], make_candidates(),
            lambda: reclaim.RunningTasks(ending=(), victims=()), now_s,
            **options)
        if plan.starts:
            return now_s
    return None


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("priority", [0, 1])
def test_unit_does_not_wait_long_for_the_rack_of_its_data(gang, priority):
    """Guards against work that waits for one full rack beside idle ones."""
    step = workload.Step(tasks=2, demand=WHOLE, gang=gang, data_rack="r0")
    unit = _unit("a",
                 step=step,
                 indexes=(0, 1),
                 priority=priority,
                 objective_s=-100.0,
                 idle=True)
    start_s = _plan_rounds(lambda: _fill_rack(_candidates(6), "r0"), unit, 3.0)
    assert start_s is not None
    assert 0.9 <= start_s <= 1.1


def test_gang_does_not_leave_its_rack_for_the_last_room():
    """Guards against runs that take three times as long on a busy service."""
    step = workload.Step(tasks=2, demand=WHOLE, gang=True, data_rack="r0")
    unit = _unit("a", step=step, indexes=(0, 1), objective_s=-100.0, idle=True)
    assert _plan_rounds(lambda: _fill_rack(_candidates(), "r0"), unit,
                        3.0) is None


def test_time_in_a_full_service_is_no_wait_for_a_rack():
    """Guards against work far from its data as soon as anything is free."""
    step = workload.Step(tasks=1, demand=WHOLE, data_rack="r0")
    unit = _unit("a", step=step, idle=True, objective_s=-100.0)
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    for now_s in (0.0, 1.0, 2.0, 3.0):
        _plan([unit],
              _candidates(used=8),
              now_s=now_s,
              round_planner=round_planner)
    plan = _plan([unit],
                 _fill_rack(_candidates(), "r0"),
                 now_s=4.0,
                 round_planner=round_planner)
    assert not plan.starts


def test_unit_of_a_job_that_runs_waits_for_the_rack_of_its_data():
    """Guards against tasks far from their data although the job goes on."""
    step = workload.Step(tasks=1, demand=WHOLE, data_rack="r0")
    unit = _unit("a", step=step, idle=False, objective_s=-100.0)
    assert _plan_rounds(lambda: _fill_rack(_candidates(), "r0"), unit,
                        3.0) is None


def test_guaranteed_gang_preempts_outside_the_rack_of_its_data():
    """Guards against a guarantee that ends at the rack of the data."""
    step = workload.Step(tasks=1, demand=WHOLE, gang=True, data_rack="r0")
    unit = _unit("a", step=step, priority=0, guaranteed=True, idle=True)
    victims = [
        units.Victim(((f"w{number}", WHOLE),), 10.0, 2, number)
        for number in (2, 3)
    ]
    plan = _plan([unit], _candidates(used=8), victims=victims, now_s=0.5)
    assert not plan.stops
    plan = _plan([unit], _candidates(used=8), victims=victims, now_s=1.1)
    assert len(plan.stops) == 1


def _leave_one_free_in_each_rack():
    candidates = _candidates(8)
    for candidate in candidates[::2]:
        candidate.room = candidate.room._replace(accelerators=0)
    return candidates


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("priority", [0, 1])
@pytest.mark.parametrize("guaranteed", [False, True])
def test_unit_does_not_wait_long_for_room_in_one_rack(gang, priority,
                                                      guaranteed):
    """Guards against work that waits for one rack beside room in several.

    Preemption spreads units, but it is not considered for late ones nor
    before it is due.
    """
    step = workload.Step(tasks=2, demand=WHOLE, gang=gang, one_rack=True)
    unit = _unit("a",
                 step=step,
                 indexes=(0, 1),
                 priority=priority,
                 guaranteed=guaranteed,
                 reclaim_s=5.0,
                 objective_s=-100.0,
                 idle=True)
    start_s = _plan_rounds(_leave_one_free_in_each_rack, unit, 3.0)
    assert start_s is not None
    assert 0.9 <= start_s <= 1.1


def _withhold(candidates, names, access=placement.Access.ONE):
    for candidate in candidates:
        if candidate.worker_id in names:
            candidate.withheld = access
    return candidates


def test_withheld_workers_are_used_by_work_that_has_waited():
    """Guards against jobs that stand beside a worker that is sound again."""
    step = workload.Step(tasks=1, demand=ONE, label="r0")
    unit = _unit("a", step=step, idle=True, objective_s=-100.0)
    start_s = _plan_rounds(lambda: _withhold(_candidates(), {"w0", "w1"}), unit,
                           3.0)
    assert start_s is not None
    assert 1.4 <= start_s <= 1.6


def test_closed_worker_is_not_tried():
    """Guards against a storm of starts on a worker that fails them all."""
    step = workload.Step(tasks=1, demand=ONE, label="r0")
    unit = _unit("a", step=step, idle=True, objective_s=-100.0)
    closed = placement.Access.CLOSED
    assert _plan_rounds(lambda: _withhold(_candidates(), {"w0", "w1"}, closed),
                        unit, 5.0) is None


@pytest.mark.parametrize(("access", "count"), [(placement.Access.ONE, 1),
                                               (placement.Access.OPEN, 3)])
def test_withheld_worker_is_tried_by_one_unit(access, count):
    """Guards against many runs that fail on the same worker at once."""
    step = workload.Step(tasks=1, demand=ONE, label="r1")
    waiting = [_unit(name, step=step, idle=True) for name in "abc"]
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    for now_s in (0.0, 2.0):
        plan = _plan(waiting,
                     _withhold(_candidates(count=3), {"w2"}, access),
                     now_s=now_s,
                     round_planner=round_planner)
    assert len(plan.starts) == count


def test_gang_uses_sound_and_withheld_workers_together():
    """Guards against a gang that stands as one worker of many is withheld."""
    unit = _gang("a", 4, idle=True, objective_s=-100.0)
    start_s = _plan_rounds(lambda: _withhold(_candidates(), {"w1"}), unit, 3.0)
    assert start_s is not None
    assert start_s <= 1.6


def test_work_that_fits_elsewhere_avoids_withheld_workers():
    """Guards against failed runs on workers that are known to fail."""
    unit = _unit("a", idle=True)
    plan = _plan([unit], _withhold(_candidates(), {"w0"}))
    assert plan.starts[0].workers != ("w0",)


def test_no_headroom_is_kept_while_half_of_the_service_is_withheld():
    """Guards against bulk work that waits beside half of a service."""

    def _plan_bulk(idle_names):
        candidates = _withhold(_candidates(), {"w2", "w3"},
                               placement.Access.CLOSED)
        for candidate in candidates:
            if candidate.worker_id not in idle_names:
                candidate.room = candidate.room._replace(accelerators=0)
        return planner.Planner(order=ordering.WorthDensityOrder()).plan(
            [_unit("a", priority=2)],
            candidates,
            lambda: reclaim.RunningTasks(ending=(), victims=()),
            0.0,
            headroom_accelerators=8.0)

    assert not _plan_bulk({"w0", "w2"}).starts
    assert _plan_bulk({"w0", "w2", "w3"}).starts


def test_headroom_is_used_by_work_that_has_waited():
    """Guards against bulk work that stands beside room nobody comes for."""

    def _leave_headroom_free():
        candidates = _candidates()
        for candidate in candidates[1:]:
            candidate.room = candidate.room._replace(accelerators=0)
        return candidates

    start_s = _plan_rounds(_leave_headroom_free,
                           _unit("a", priority=2, objective_s=-100.0,
                                 idle=True),
                           3.0,
                           headroom_accelerators=8.0)
    assert start_s is not None
    assert patience.HELD_ROOM_S <= start_s < MAX_IDLE_S


def test_room_kept_for_a_gang_is_used_by_work_that_has_waited():
    """Guards against work that stands beside room that a gang waits for."""
    round_planner = planner.Planner(order=ordering.WorthDensityOrder())
    gang = _gang("a", 2, objective_s=10.0, remaining_s=5.0, idle=True)
    small = _unit("b", priority=2, idle=True)
    started_s = None
    for number in range(40):
        candidates = _candidates(count=12, used=8)
        candidates[0].room = CAPACITY._replace(accelerators=4)
        plan = _plan([gang, small],
                     candidates,
                     now_s=number / 10,
                     round_planner=round_planner)
        if plan.starts:
            started_s = number / 10
            break
    assert started_s is not None
    assert patience.HELD_ROOM_S <= started_s < MAX_IDLE_S


def test_hold_of_a_job_that_is_left_out_is_kept():
    """Guards against holds and waits that end as a round is full."""
    subject = planner.Planner(order=ordering.WorthDensityOrder())
    unit = _unit("late")
    hold = planner.CapacityHold(workers=("w0",),
                                overdue_s=5.0,
                                until_s=5.0,
                                preempted=True)
    for deferred, kept in (({"late"}, True), (set(), False)):
        subject._holds[unit.key] = hold
        subject._held_patience.measure(unit.key, 0.0)
        subject.plan([],
                     _candidates(),
                     lambda: reclaim.RunningTasks(ending=(), victims=()),
                     1.0,
                     deferred=deferred)
        assert (unit.key in subject._holds) == kept
        assert (unit.key in subject._held_patience._since_s) == kept
