"""Tests of the placement module."""

import random

import pytest

from trefoilroad_core import placement

PLACERS = [placement.FirstFit(), placement.BestFit(), placement.RackPack()]


@pytest.mark.parametrize("placer", PLACERS)
@pytest.mark.parametrize(("fields", "shape"), [({
    "accelerators": 1
}, (3, 1, 1, 1)), ({
    "cores": 4
}, (3, 0, 4, 1)), ({
    "memory_gb": 2
}, (3, 0, 1, 2)), ({
    "slots": 1
}, (3, 0, 1, 1)), ({
    "connections": 1
}, (3, 0, 1, 1))])
def test_each_resource_limits(build, placer, fields, shape):
    """Guards against overloading a worker in any one resource."""
    capacity = placement.FreeCapacity(fleet=build.fleet(1, 2, **fields))
    assert placer.place(
        capacity, build.shape(*shape[:2], cores=shape[2],
                              memory_gb=shape[3])) is None
    smaller = build.shape(2, shape[1], cores=shape[2], memory_gb=shape[3])
    assert placer.place(capacity, smaller) == ("r0w0", "r0w1")


@pytest.mark.parametrize("placer", PLACERS)
def test_adjacent_gang_stays_in_one_rack(build, placer):
    """Guards against spreading a gang whose tasks must be adjacent."""
    capacity = placement.FreeCapacity(fleet=build.fleet(2, 2))
    capacity.take(["r0w0"], build.shape())
    gang = build.shape(2, adjacent="rack")
    assert placer.place(capacity, gang) == ("r1w0", "r1w1")
    capacity.take(["r1w0"], build.shape())
    assert placer.place(capacity, gang) is None
    assert placer.place(capacity, build.shape(2)) == ("r0w1", "r1w1")


@pytest.mark.parametrize("placer", PLACERS)
def test_excluded_workers_get_nothing(build, placer):
    """Guards against new tasks on a worker that is leaving."""
    capacity = placement.FreeCapacity(fleet=build.fleet(1, 2),
                                      excluded=["r0w0"])
    assert placer.place(capacity, build.shape()) == ("r0w1",)
    assert placer.place(capacity, build.shape(2)) is None


def test_small_gangs_leave_empty_racks_free(build):
    """Guards against fragmentation by gangs that fit into a used rack."""
    capacity = placement.FreeCapacity(fleet=build.fleet(3, 2))
    capacity.take(["r1w0"], build.shape(accelerators=5))
    placer = placement.RackPack()
    small = build.shape(accelerators=2)
    for worker in ("r1w0", "r1w1"):
        workers = placer.place(capacity, small)
        assert workers == (worker,)
        capacity.take(workers, small)


@pytest.mark.parametrize("seed", range(5))
def test_fit_counts_follow_changes(build, seed):
    """Guards against placement by outdated counts."""
    rng = random.Random(seed)
    fleet = build.fleet(3, 3)
    shapes = [build.shape(1, rng.randrange(4), cores=2) for _ in range(4)]
    capacity = placement.FreeCapacity(fleet=fleet)
    taken = []
    saved = None
    for step in range(300):
        shape = rng.choice(shapes)
        if taken and rng.random() < 0.5:
            capacity.release(*taken.pop(rng.randrange(len(taken))))
        else:
            taken.append((rng.choices(list(fleet.workers), k=2), shape))
            capacity.take(*taken[-1])
        if step % 50 == 20:
            saved = capacity.save(), list(taken)
        if step % 50 == 40:
            capacity.restore(saved[0])
            taken = saved[1]
        fresh = placement.FreeCapacity(fleet=fleet)
        for workers, other in taken:
            fresh.take(workers, other)
        for subject in (capacity, capacity.copy()):
            fit_counts = subject.get_fit_counts(shape)
            assert fit_counts.counts == fresh.get_fit_counts(shape).counts
            assert fit_counts.racks == fresh.get_fit_counts(shape).racks


@pytest.mark.parametrize(("shape", "resource"), [((1, 9), "accelerators"),
                                                 ((33, 0), "slots")])
def test_fit_failure_names_the_limiting_resource(build, shape, resource):
    """Guards against a refusal that does not say what to change."""
    shape = build.shape(*shape)
    failure = placement.find_fit_failure(build.fleet(), shape)
    assert failure.resource == resource
    assert resource in placement.describe_fit_failure(failure, shape)
