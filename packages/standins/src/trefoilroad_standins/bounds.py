"""Measures time bounds and store load on virtual clusters with fixed seeds."""

from collections.abc import Callable
import json
from typing import Any

import click
import structlog

from trefoilroad_standins import scenarios

WARM_UP_S = 6.0
SHORT_LOAD = '"a" submits 5 "index" requests a second that run 0.8 s for 60 s'
STEADY_LOAD = '"a" submits 5 "index" requests a second that run 1 s for 150 s'
POLL_STEP_S = 0.01


def build_scenario(seed: int,
                   *,
                   nodes: int = 3,
                   workers: int = 8,
                   gangs: int = 2) -> scenarios.Scenario:
    """Builds a scenario with teams "a", guaranteed, and "b", not guaranteed.

    Args:
        seed: Seed of the scenario.
        nodes: Number of nodes.
        workers: Number of workers.
        gangs: Number of gangs that are guaranteed to team "a".
    """
    scenario = scenarios.Scenario(seed=seed)
    scenario.node_count, scenario.workers = nodes, workers
    scenario.teams["a"] = scenarios.Team(gangs,
                                         scenarios.TEMPLATES["match"].shape)
    scenario.teams["b"] = scenarios.Team()
    scenario.start()
    return scenario


def measure_takeover(seed: int, fault: str) -> float:
    """Returns how long a takeover takes.

    Args:
        seed: Seed of the scenario, which also shifts the time of the fault.
        fault: The fault, as the rest of an action that begins "the owner".

    Returns:
        Seconds from the fault to the first start by the successor.
    """
    scenario = build_scenario(seed)
    scenario.perform(SHORT_LOAD)
    scenario.cluster.run(WARM_UP_S + seed * 0.037)
    epoch = max(line["epoch"] for line in scenario.cluster.history)
    begin_s = scenario.cluster.clock.now_s
    scenario.perform(f"the owner {fault}")
    scenario.cluster.run(20.0)
    return min(line["at_s"]
               for line in scenario.cluster.history
               if line["event"] == "start" and line["epoch"] > epoch) - begin_s


def measure_reclaim(seed: int) -> float:
    """Returns the seconds until two guaranteed gangs run on a full fleet."""
    scenario = build_scenario(seed)
    scenario.perform('"b" submits 8 "index" requests that run 60 s')
    scenario.cluster.run(3.0 + seed * 0.037)
    for name in ("first", "second"):
        scenario.perform(
            f'"a" submits a "match" request "{name}" that runs 5 s')
    scenario.cluster.run(20.0)
    return max(scenario.measure_start_delay("first"),
               scenario.measure_start_delay("second"))


def measure_leaving(seed: int, mark: str) -> float:
    """Returns how long a leaving worker still gets work.

    Args:
        seed: Seed of the scenario, which also shifts the time of the mark.
        mark: Action that marks worker w001 as leaving.

    Returns:
        Seconds from the mark to the last start on the worker, 0 if none.
    """
    scenario = build_scenario(seed, workers=4, gangs=1)
    scenario.perform(SHORT_LOAD)
    scenario.cluster.run(WARM_UP_S + seed * 0.037)
    begin_s = scenario.cluster.clock.now_s
    scenario.perform(mark)
    scenario.cluster.run(30.0)
    starts = [
        line["at_s"] - begin_s
        for line in scenario.cluster.history
        if line["event"] == "start" and line["worker"] == "w001"
    ]
    return max(0.0, *starts)


def measure_config_change(seed: int) -> float:
    """Returns the seconds until a change is in force on all but a frozen node.

    The state of the nodes is read directly: callers cannot observe the delay,
    because a submission under the old version is refused from the commit on.
    """
    scenario = build_scenario(seed)
    scenario.perform("node n3 is frozen for 60 s")
    scenario.cluster.run(seed * 0.037)
    begin_s = scenario.cluster.clock.now_s
    scenario.perform("an operator publishes a change through node n1")
    edges = [scenario.cluster.nodes[name].node.edge for name in ("n1", "n2")]
    while min(edge.configuration.version for edge in edges) < 2:
        scenario.cluster.run(POLL_STEP_S)
    return scenario.cluster.clock.now_s - begin_s


def measure_store_load(nodes: int, actions: list[str],
                       duration_s: int) -> dict[str, float]:
    """Returns mean and maximum of the store operations per second.

    Args:
        nodes: Number of nodes.
        actions: Actions to perform before the measurement.
        duration_s: Duration of the measurement in whole seconds.
    """
    scenario = build_scenario(1, nodes=nodes)
    for action in actions:
        scenario.perform(action)
    platform = scenario.cluster.platform
    counts = []
    for _ in range(duration_s):
        before = platform.reads, platform.writes
        scenario.cluster.run(1.0)
        counts.append((platform.reads - before[0], platform.writes - before[1]))
    reads, writes = zip(*counts, strict=True)
    return {
        "reads": round(sum(reads) / duration_s, 1),
        "writes": round(sum(writes) / duration_s, 1),
        "most_reads": max(reads),
        "most_writes": max(writes)
    }


def summarize(measure: Callable[..., float], seeds: int, *arguments:
              Any) -> dict[str, float]:
    """Returns median and maximum of a measurement over seeds, in seconds.

    Args:
        measure: Returns seconds for a seed and the further arguments.
        seeds: Number of seeds, from 1.
        *arguments: Further arguments of `measure`.
    """
    values = sorted(measure(seed, *arguments) for seed in range(1, seeds + 1))
    return {
        "median_s": round(values[len(values) // 2], 3),
        "max_s": round(values[-1], 3)
    }


def measure_all(seeds: int) -> dict[str, Any]:
    """Takes all measurements.

    Args:
        seeds: Number of seeds for each time bound.

    Returns:
        Results by name.
    """
    outage = [
        STEADY_LOAD, "10 s pass", "the store is down for 60 s", "60 s pass"
    ]
    return {
        "takeover after kill":
            summarize(measure_takeover, seeds, "is killed"),
        "takeover after freeze":
            summarize(measure_takeover, seeds, "is frozen for 15 s"),
        "takeover after planned stop":
            summarize(measure_takeover, seeds, "stops as planned"),
        "reclaim":
            summarize(measure_reclaim, seeds),
        "leaving by list with 1 s lag":
            summarize(measure_leaving, seeds,
                      "worker w001 is marked as leaving in the VM list"),
        "leaving by own mark":
            summarize(measure_leaving, seeds,
                      "worker w001 reports that it is leaving"),
        "leaving by drain":
            summarize(measure_leaving, seeds,
                      "an operator drains worker w001 through node n2"),
        "change with one node frozen":
            summarize(measure_config_change, seeds),
        "store at rest, 3 nodes":
            measure_store_load(3, [], 60),
        "store at rest, 8 nodes":
            measure_store_load(8, [], 60),
        "store at 5 submissions a second, 3 nodes":
            measure_store_load(3, [STEADY_LOAD, "10 s pass"], 60),
        "store at 5 submissions a second, 8 nodes":
            measure_store_load(8, [STEADY_LOAD, "10 s pass"], 60),
        "store after an outage of 60 s, 3 nodes":
            measure_store_load(3, outage, 10),
        "store after an outage of 60 s, 8 nodes":
            measure_store_load(8, outage, 10)
    }


@click.command()
@click.option("--seeds", default=20, show_default=True)
def main(seeds: int) -> None:
    """Prints the measured bounds as JSON."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    click.echo(json.dumps(measure_all(seeds), indent=2))


if __name__ == "__main__":
    main()
