"""Schedules of racks that restart and are cut off while jobs wait.

Long tasks fill the site. The workers of a rack restart under their old ids at
the same time and are cut off for longer than a lease soon afterwards; jobs that
only this rack can run arrive then. The leader is killed before the cut or after
it and starts again under the same name. Links between nodes are cut meanwhile.
Every node must go on to give the number of waiting jobs.
"""

import functools

from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import leader_series
from trefoilroad_standins.jobs import site as sites
from trefoilroad_standins.jobs import workers as worker_module

# Times are those of the recorded day of issue 44.
CUT_AFTER_RESTART_S = 2.0
CUT_S = 9.0
LEADER_RESTART_S = 0.5
ROUND_COUNT = 2
ROUND_INTERVAL_S = 13.0
FIRST_ROUND_S = (4.0, 9.0)
# The leader may have claimed runs on the cut workers when it is killed.
KILL_AFTER_CUT_S = (0.2, 1.5)
BURST_S = 1.0
BURST_JOB_COUNT = 8
LINK_CUT_S = (1.0, 8.0)
END_S = 45.0
# Share of the accelerators that the long tasks ask for.
LONG_LOAD = (0.5, 1.3)
SHORT_JOB_COUNT = 24


class RestartSeries(leader_series.LeaderSeries):
    """A schedule of restarts and cuts on a full site, drawn from a seed."""

    def run(self) -> list[str]:
        """Runs the schedule and checks the outcome.

        Returns:
            One line for each violation.
        """
        self.site.run(1.0)
        self._schedule_long_jobs()
        for number in range(SHORT_JOB_COUNT):
            steps, run_s, urgent = self._draw_job()
            self._schedule_at(
                self._rng.uniform(1.5, END_S - 10.0),
                functools.partial(self._submit, f"{number:016x}", steps, run_s,
                                  urgent))
        first_round_s = self._rng.uniform(*FIRST_ROUND_S)
        for number in range(ROUND_COUNT):
            self._schedule_round(number,
                                 first_round_s + number * ROUND_INTERVAL_S)
        self.site.run(END_S - self.site.clock.now_s)
        return self.observer.find_wrong_answers() + self._close()

    def _schedule_round(self, number: int, from_s: float) -> None:
        rack = f"r{self._rng.randrange(self._racks)}"
        cut_s = from_s + CUT_AFTER_RESTART_S
        self._schedule_at(from_s, functools.partial(self._restart_rack, rack))
        self._schedule_at(cut_s, functools.partial(self._cut_rack, rack))
        kill_s = self._rng.uniform(from_s + LEADER_RESTART_S, cut_s)
        if self._rng.random() < 0.5:
            kill_s = cut_s + self._rng.uniform(*KILL_AFTER_CUT_S)
        self._schedule_at(kill_s, self._kill_leader)
        self._schedule_at(from_s + self._rng.uniform(0.0, ROUND_INTERVAL_S),
                          self._cut_link)
        urgent = self._rng.random() < 0.5
        for burst_number in range(BURST_JOB_COUNT):
            run_s = self._rng.uniform(2.0, 8.0)
            step = workload.Step(tasks=1,
                                 demand=sites.SMALL_DEMAND,
                                 estimate_ms=int(run_s * 1000),
                                 label=rack)
            self._schedule_at(
                cut_s + self._rng.uniform(0.0, BURST_S),
                functools.partial(self._submit,
                                  f"b{number:07x}{burst_number:08x}", [step],
                                  [run_s], urgent))

    def _schedule_long_jobs(self) -> None:
        accelerators = int(self._rng.uniform(*LONG_LOAD) * self._capacity)
        number = 0
        while accelerators > 0:
            tasks = self._rng.randint(1, 4)
            demand = workload.Demand(4000, 4000, self._rng.choice((2, 4, 8)))
            accelerators -= tasks * demand.accelerators
            run_s = self._rng.uniform(15.0, 40.0)
            step = workload.Step(tasks=tasks,
                                 demand=demand,
                                 estimate_ms=int(run_s * 1000),
                                 gang=self._rng.random() < 0.3)
            self._schedule_at(
                self._rng.uniform(1.0, 3.0),
                functools.partial(self._submit, f"f{number:015x}", [step],
                                  [run_s], False))
            number += 1

    # Faults.

    def _list_rack(self, rack: str) -> list[worker_module.WorkerState]:
        return [
            worker_state for worker_state in self.site.worker_states.values()
            if worker_state.rack == rack
        ]

    def _restart_rack(self, rack: str) -> None:
        for worker_state in self._list_rack(rack):
            worker_state.restart()
            self.site.register(worker_state)
        self._begin_fault(f"restart {rack}", 0.0, None)

    def _cut_rack(self, rack: str) -> None:
        self._cut_workers(self._list_rack(rack), CUT_S)

    def _kill_leader(self) -> None:
        leader = self.site.find_leader()
        if leader is None:
            self._record("no leader to kill")
            return
        self.site.kill(leader.name)
        self._begin_fault(f"kill {leader.name}", LEADER_RESTART_S,
                          functools.partial(self._restart_node, leader.name))

    def _cut_link(self) -> None:
        """Cuts the link between two nodes, mostly one of the leader."""
        names = sorted(self.site.nodes)
        leader = self.site.find_leader()
        first = self._rng.choice(names)
        if leader is not None and self._rng.random() < 0.7:
            first = leader.name
        second = self._rng.choice([name for name in names if name != first])
        link = frozenset({first, second})
        self.site.cut_links.add(link)
        self._begin_fault(f"cut {first} from {second}",
                          self._rng.uniform(*LINK_CUT_S),
                          functools.partial(self.site.cut_links.discard, link))
