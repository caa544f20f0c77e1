"""Random sequences of requests, cancellations and faults keep the invariants.

Unlike with the schedules of test_soak, Hypothesis shrinks a failing sequence.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from trefoilroad_standins import invariants
from trefoilroad_standins import soak

WARM_UP_S = 5.0
DURATIONS_S = strategies.sampled_from([0.3, 1.5, 4.0, 9.0, 16.0])


class Invariants(stateful.RuleBasedStateMachine):
    """A virtual cluster with random requests and faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        self.schedule = soak.FaultSchedule(seed=seed)
        self.schedule.start()
        self.schedule.cluster.run(WARM_UP_S)

    @stateful.rule(template=strategies.sampled_from(sorted(soak.TEMPLATES)),
                   run_s=strategies.sampled_from([0.0, 0.5, 3.0, 12.0]),
                   fails=strategies.sampled_from([False, False, False, True]))
    def submit(self, template, run_s, fails):
        self.schedule.add_caller(template, run_s, fails=fails).start()

    @stateful.precondition(lambda self: self.schedule.callers)
    @stateful.rule(index=strategies.integers(0, 100))
    def cancel(self, index):
        callers = self.schedule.callers
        callers[index % len(callers)].cancel()

    @stateful.rule(name=strategies.sampled_from(list(soak.FAULTS)),
                   duration_s=DURATIONS_S)
    def inject_fault(self, name, duration_s):
        self.schedule.inject_fault(name, duration_s)

    @stateful.rule(duration_s=strategies.sampled_from([0.01, 0.1, 1.0, 5.0]))
    def pass_time(self, duration_s):
        self.schedule.cluster.run(duration_s)

    @stateful.invariant()
    def check_no_violations(self):
        assert invariants.find_violations(self.schedule.cluster,
                                          self.schedule.callers,
                                          require_outcomes=False) == []

    def teardown(self):
        if hasattr(self, "schedule"):
            self.schedule.finish()
            assert self.schedule.find_violations() == []


TestInvariants = Invariants.TestCase
TestInvariants.settings = hypothesis.settings(derandomize=True,
                                              max_examples=40,
                                              stateful_step_count=25,
                                              deadline=None,
                                              database=None,
                                              suppress_health_check=list(
                                                  hypothesis.HealthCheck))
