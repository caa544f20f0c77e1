"""Tests of the refusal of jobs that no worker can ever run."""

import pytest

from trefoilroad_jobs import admission
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

Demand = workload.Demand


@pytest.fixture
def site():
    new_site = sites.Site()
    new_site.run(2.0)
    return new_site


@pytest.mark.parametrize("through", ["n0", "n1", "n2"])
def test_job_that_fits_no_worker_is_refused(site, through):
    """Guards against a job that waits until its caller gives up."""
    site.submit("0" * 16, through=through, demand=Demand(1000, 1000, 9))
    site.run(0.2)
    assert site.replies["0" * 16].outcome.name == "IMPOSSIBLE"
    assert site.replies["0" * 16].retry_after_s > 0
    site.run(2.0)
    assert site.ask_state("0" * 16, through) == "ABSENT"
    assert site.count_events("start") == 0


def test_job_that_fits_a_whole_worker_is_accepted(site):
    """Guards against the refusal of a job that fits an idle worker."""
    site.submit("0" * 16, demand=sites.WORKER_CAPACITY)
    site.run(0.2)
    assert site.replies["0" * 16].outcome.name == "ACCEPTED"


def test_nothing_is_refused_without_current_capacities(site):
    """Guards against refusals based on data from before a disconnection."""
    site.kill(site.find_leader().name)
    site.run(1.0)
    node = next(name for name, node_entry in site.nodes.items()
                if node_entry.host.alive)
    site.tables.down = True
    site.run(admission.WORKER_CAPACITIES_MAX_AGE_S + 0.5)
    site.tables.down = False
    site.submit("0" * 16, through=node, demand=Demand(1000, 1000, 9))
    site.run(0.1)
    assert site.replies["0" * 16].outcome.name == "ACCEPTED"


def test_accepted_job_is_not_refused_when_the_large_workers_leave(site):
    """Guards against a refusal for a job that was accepted and may run."""
    worker_state = site.worker_states["w00"]
    worker_state.capacity = sites.WORKER_CAPACITY._replace(accelerators=16)
    site.register(worker_state)
    site.run(1.0)
    large = Demand(1000, 1000, 16)
    site.submit("0" * 16, demand=large, run_s=5.0)
    site.run(0.5)
    worker_state.capacity = sites.WORKER_CAPACITY
    site.register(worker_state)
    site.run(1.0)
    site.submit("0" * 16, demand=large, through="n1")
    site.submit("1" * 16, demand=large, through="n1")
    site.run(0.5)
    assert site.replies["0" * 16].outcome.name == "ACCEPTED"
    assert site.replies["1" * 16].outcome.name == "IMPOSSIBLE"


def test_smaller_capacities_are_left_out():
    """Guards against heartbeats that grow with the number of workers."""
    worker = sites.Site().worker_states["w00"].describe()
    small = worker._replace(capacity=Demand(1000, 1000, 1))
    wide = worker._replace(capacity=Demand(128_000, 1000, 0))
    capacities = admission.list_worker_capacities([small, worker, wide, worker])
    assert capacities == {"service": [worker.capacity, wide.capacity]}
