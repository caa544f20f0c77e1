"""Builders of small fleets, contracts and requests for the tests of core."""

import itertools

import pytest

from trefoilroad_core import contract
from trefoilroad_core import fleet
from trefoilroad_core import request
from trefoilroad_core import scheduler


class Builders:
    """Builds test data with defaults for all that a test does not name."""

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

    def running(self, item, placement, *, guaranteed=False, started_s=0.0):
        """Builds the gang that runs a pending request."""
        return scheduler.Running(request_id=item.request_id,
                                 attempt_id=f"{item.request_id}.1",
                                 team=item.team,
                                 caller=item.caller,
                                 template=item.template,
                                 shape=item.shape,
                                 placement=tuple(placement),
                                 started_s=started_s,
                                 guaranteed=guaranteed,
                                 evictable=not guaranteed and
                                 (item.idempotent or item.checkpoint),
                                 priority=item.priority,
                                 declared_s=item.declared_s)


class World:
    """Carries out the decisions of a scheduler, for tests of many rounds."""

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

    def submit(self, *items):
        self.pending.update({item.request_id: item for item in items})

    def run(self, item, placement, **fields):
        """Adds a gang that runs already."""
        gang = self.builders.running(item, placement, **fields)
        self.running[item.request_id] = gang

    def end(self, *request_ids, completed=True):
        for request_id in request_ids:
            gang = self.running.pop(request_id)
            self.subject.record_end(request_id,
                                    ran_s=self.now_s - gang.started_s,
                                    completed=completed)

    def decide(self, passed_s=1.0):
        """Makes a round; evicted gangs go on until the test ends them."""
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

    def started(self, passed_s=1.0):
        """Makes a round and returns the requests that it starts."""
        return [start.request_id for start in self.decide(passed_s).starts]


@pytest.fixture
def build():
    return Builders()


@pytest.fixture
def make_world(build):

    def make(subject, workers, *teams):
        return World(build, subject, workers, build.configuration(*teams))

    return make
