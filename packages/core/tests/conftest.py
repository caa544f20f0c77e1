"""Builders of fleets, contracts and requests, and a simulation of rounds."""

import itertools

import pytest

from trefoilroad_core import contract
from trefoilroad_core import fleet
from trefoilroad_core import request
from trefoilroad_core import scheduler


class Builders:
    """Builds test data with defaults for all fields that a test omits."""

    def __init__(self):
        self._numbers = itertools.count()

    def fleet(self, racks=2, workers=2, **fields):
        """Builds workers "r0w0", "r0w1", ... of 8 accelerators each."""
        return fleet.Fleet(workers=[
            self.worker(r, w, **fields)
            for r in range(racks)
            for w in range(workers)
        ])

    def worker(self, rack, number, **fields):
        values = {
            "accelerators": 8,
            "cores": 64,
            "memory_gb": 256,
            "slots": 8,
            "connections": 64
        }
        return fleet.Worker(worker_id=f"r{rack}w{number}",
                            address="",
                            failure_domain="a",
                            rack=f"r{rack}",
                            **(values | fields))

    def shape(self, tasks=1, accelerators=8, **fields):
        return request.Shape(tasks=tasks, accelerators=accelerators, **fields)

    def team(self, name, *guarantees, weight=1.0, max_accelerators=0):
        """Builds a team; each guarantee is a pair of shape and gangs."""
        return contract.Team(
            name=name,
            weight=weight,
            guarantees=tuple(
                contract.Guarantee(*entry) for entry in guarantees),
            max_queued=10,
            max_queued_per_caller=5,
            max_accelerators=max_accelerators,
            templates=("t",),
            overrides={},
            token_sha256="")

    def configuration(self, *teams):
        template = contract.Template(name="t",
                                     shape=self.shape(),
                                     idempotent=True,
                                     checkpoint=False,
                                     priority=5,
                                     wait_s=1e6,
                                     declared_s=100.0)
        return contract.Configuration(version=1,
                                      templates={"t": template},
                                      teams={team.name: team for team in teams})

    def pending(self, request_id="", team="a", **fields):
        number = next(self._numbers)
        values = {
            "caller": "c",
            "template": "t",
            "shape": self.shape(),
            "priority": 5,
            "received_s": float(number),
            "expires_s": 1e6,
            "idempotent": True,
            "checkpoint": False,
            "declared_s": 100.0
        }
        return scheduler.Pending(request_id=request_id or f"q{number}",
                                 team=team,
                                 **(values | fields))

    def running(self, pending, placement, *, guaranteed=False, started_s=0.0):
        """Builds the gang that runs a pending request."""
        return scheduler.Running(request_id=pending.request_id,
                                 attempt_id=f"{pending.request_id}.1",
                                 team=pending.team,
                                 caller=pending.caller,
                                 template=pending.template,
                                 shape=pending.shape,
                                 placement=tuple(placement),
                                 started_s=started_s,
                                 guaranteed=guaranteed,
                                 evictable=not guaranteed and
                                 (pending.idempotent or pending.checkpoint),
                                 priority=pending.priority,
                                 declared_s=pending.declared_s)


class Simulation:
    """Applies the decisions of a scheduler over many rounds."""

    def __init__(self, builders, subject, workers, configuration):
        self.builders = builders
        self.subject = subject
        self.fleet = workers
        self.configuration = configuration
        self.now_s = 0.0
        self.excluded = frozenset()
        self.probation = frozenset()
        self.pending = {}
        self.running = {}

    def submit(self, *requests):
        self.pending.update(
            {pending.request_id: pending for pending in requests})

    def run(self, pending, placement, **fields):
        """Adds a running gang."""
        gang = self.builders.running(pending, placement, **fields)
        self.running[pending.request_id] = gang

    def end(self, *request_ids, completed=True):
        for request_id in request_ids:
            gang = self.running.pop(request_id)
            self.subject.record_end(request_id,
                                    ran_s=self.now_s - gang.started_s,
                                    completed=completed)

    def decide(self, passed_s=1.0):
        """Runs a round; evicted gangs keep running until the test ends them."""
        self.now_s += passed_s
        decisions = self.subject.decide(
            scheduler.Snapshot(now_s=self.now_s,
                               fleet=self.fleet,
                               pending=tuple(self.pending.values()),
                               running=tuple(self.running.values()),
                               configuration=self.configuration,
                               excluded=self.excluded,
                               probation=self.probation))
        for start in decisions.starts:
            self.run(self.pending.pop(start.request_id),
                     start.placement,
                     guaranteed=start.guaranteed,
                     started_s=self.now_s)
        for other in (*decisions.refusals, *decisions.expirations):
            del self.pending[other.request_id]
        return decisions

    def decide_starts(self, passed_s=1.0):
        """Runs a round and returns the requests that it starts."""
        return [start.request_id for start in self.decide(passed_s).starts]


@pytest.fixture
def build():
    return Builders()


@pytest.fixture
def make_simulation(build):

    def make(subject, workers, *teams):
        return Simulation(build, subject, workers, build.configuration(*teams))

    return make
