"""Measures the cost of the control plane: CPU, memory and traffic of nodes.

For each fleet size it starts the platform, the workers and the nodes as
processes and fills the fleet with long tasks. Over a period it reads processor
time, resident memory and transferred bytes of each node, and the platform's
operation counters.
"""

import hashlib
import pathlib
import tempfile
import time
from typing import Any
from typing import NamedTuple

import click
import httpx

from trefoilroad_standins import deployments
from trefoilroad_standins import processes
from trefoilroad_standins import tasks

TEAM_TOKEN = "control-cost-team-token"
OPERATOR_TOKEN = "control-cost-operator-token"
TASKS_PER_GANG = 8
TASK_RUN_S = 3600.0
FILL_TIMEOUT_S = 120.0
# Wait before the measurement. Tasks that have run for longer are synced less
# often, up to every third of the lease; most of the load is long jobs, so that
# this is the state to measure.
WARM_UP_S = 40.0


class NodeCost(NamedTuple):
    """Resource usage of one node over the period.

    Attributes:
        node: Name of the node.
        role: "owner" or "edge".
        cpu_share: Processor time as a share of one core.
        resident_mb: Resident memory in MB.
        tx_bytes_per_s: Bytes sent per second.
        rx_bytes_per_s: Bytes received per second.
    """

    node: str
    role: str
    cpu_share: float
    resident_mb: float
    tx_bytes_per_s: float
    rx_bytes_per_s: float


def build_documents(gangs: int) -> dict[str, str]:
    """Builds documents with one team and one long-running template.

    Args:
        gangs: Number of gangs that the team must be able to queue.
    """
    digest = hashlib.sha256(TEAM_TOKEN.encode()).hexdigest()
    operator = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "operators.toml":
            f'[[operator]]\nname = "op"\ntoken_sha256 = "{operator}"\n',
        "templates/long.toml":
            '[template]\nname = "long"\nidempotent = true\ncheckpoint = true\n'
            f"priority = 5\nwait_s = 3600\ndeclared_s = {TASK_RUN_S}\n"
            f"[template.shape]\ntasks = {TASKS_PER_GANG}\naccelerators = 0\n"
            'cores = 1\nmemory_gb = 1\nadjacent = "none"\n',
        "teams/load.toml":
            f'[team]\nname = "load"\nmax_queued = {gangs + 10}\n'
            f"max_queued_per_caller = {gangs + 10}\n"
            f'templates = ["long"]\ntoken_sha256 = "{digest}"\n'
    }


def build_deployment(workers: int, nodes: int) -> deployments.Deployment:
    """Builds a deployment of identical workers in racks of eight."""
    capacity = tasks.Capacity(accelerators=8,
                              cores=64,
                              memory_gb=256,
                              slots=TASKS_PER_GANG,
                              connections=64)
    return deployments.Deployment(name="cost",
                                  region="cost",
                                  failure_domains=3,
                                  workers=workers,
                                  per_rack=8,
                                  capacity=capacity,
                                  nodes=nodes)


class UsageMeter:
    """Reads the resource usage of a cluster so far."""

    def __init__(self, *, cluster: processes.Cluster):
        self._cluster = cluster

    def read(self) -> dict[str, dict[str, Any]]:
        """Returns the fields of status and usage of each node, by name."""
        return {
            name: self._read_status(node) | node.read_usage()._asdict()
            for name, node in self._cluster.nodes.items()
        }

    def _read_status(self, node: processes.NodeProcess) -> dict[str, Any]:
        reply = httpx.get(f"http://{node.address}/v1/status",
                          headers={"Authorization": f"Bearer {TEAM_TOKEN}"},
                          trust_env=False,
                          timeout=5.0)
        return dict(reply.raise_for_status().json())

    def count_calls(self) -> dict[str, int]:
        """Returns the number of reads and writes the platform has served."""
        reply = httpx.get(
            f"http://127.0.0.1:{self._cluster.platform.port}/control/counters",
            trust_env=False,
            timeout=5.0)
        kinds = reply.raise_for_status().json()["kinds"].values()
        return {
            counter: sum(kind[counter] for kind in kinds)
            for counter in ("reads", "writes")
        }


def measure(*, workers: int, nodes: int, period_s: float, fill: bool,
            folder: pathlib.Path) -> tuple[list[NodeCost], dict[str, float]]:
    """Starts a cluster of one size and measures it.

    Args:
        workers: Number of workers.
        nodes: Number of nodes.
        period_s: Duration of the measurement in seconds.
        fill: Whether each worker runs eight tasks.
        folder: Folder for settings and logs.

    Returns:
        The cost of each node, and reads and writes of the platform per second.
    """
    with processes.Cluster(folder=folder,
                           deployment=build_deployment(workers, nodes),
                           operator_token=OPERATOR_TOKEN) as cluster:
        cluster.find_owner(timeout_s=30.0)
        operator = cluster.connect()
        version = operator.publish(build_documents(workers), base_version=0)
        cluster.wait_for_config(int(version), timeout_s=30.0)
        if fill:
            fill_fleet(cluster, workers)
        time.sleep(WARM_UP_S)
        meter = UsageMeter(cluster=cluster)
        usage_before, calls_before = meter.read(), meter.count_calls()
        time.sleep(period_s)
        usage_after, calls_after = meter.read(), meter.count_calls()
    costs = [
        NodeCost(
            node=name,
            role="owner" if usage["is_owner"] else "edge",
            cpu_share=(usage["cpu_s"] - usage_before[name]["cpu_s"]) / period_s,
            resident_mb=usage["resident_bytes"] / 1e6,
            tx_bytes_per_s=(usage["bytes_sent"] -
                            usage_before[name]["bytes_sent"]) / period_s,
            rx_bytes_per_s=(usage["bytes_received"] -
                            usage_before[name]["bytes_received"]) / period_s)
        for name, usage in usage_after.items()
    ]
    rates = {
        counter: (calls_after[counter] - calls_before[counter]) / period_s
        for counter in calls_before
    }
    return costs, rates


def fill_fleet(cluster: processes.Cluster, gangs: int) -> None:
    """Submits long-running gangs and waits until all run."""
    client = cluster.connect(token=TEAM_TOKEN, timeout_s=30.0)
    for number in range(gangs):
        client.submit(template="long",
                      payload={"run_s": TASK_RUN_S},
                      caller="load",
                      key=f"gang-{number}")

    def check() -> bool:
        return all(status.state == "running" for status in client.list())

    processes.wait_until(check,
                         timeout_s=FILL_TIMEOUT_S,
                         condition="all gangs are running")


@click.command()
@click.option("--workers",
              "sizes",
              multiple=True,
              type=int,
              default=(24, 96),
              show_default=True)
@click.option("--nodes", default=3, show_default=True)
@click.option("--period-s", default=15.0, show_default=True)
@click.option("--idle", is_flag=True, help="Run no tasks.")
def main(sizes: tuple[int, ...], nodes: int, period_s: float,
         idle: bool) -> None:
    """Prints CPU share, memory and bytes per second of each node."""
    click.echo("workers  node  role   core%   MB     sent B/s  recv B/s  "
               "store reads/s  writes/s")
    for workers in sizes:
        with tempfile.TemporaryDirectory() as folder:
            costs, rates = measure(workers=workers,
                                   nodes=nodes,
                                   period_s=period_s,
                                   fill=not idle,
                                   folder=pathlib.Path(folder))
        for cost in costs:
            click.echo(
                f"{workers:7}  {cost.node:4}  {cost.role:5}  "
                f"{cost.cpu_share:5.1%}  {cost.resident_mb:5.1f}  "
                f"{cost.tx_bytes_per_s:8.0f}  {cost.rx_bytes_per_s:8.0f}  "
                f"{rates['reads']:13.1f}  {rates['writes']:8.1f}")


if __name__ == "__main__":
    main()
