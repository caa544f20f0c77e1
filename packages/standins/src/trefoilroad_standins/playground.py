"""Runs an example deployment on loopback until it is interrupted."""

import contextlib
import pathlib
import signal
import tempfile

import click

from trefoilroad_standins import deployments
from trefoilroad_standins import processes

OPERATOR_TOKENS = {
    "nkabom": "demo-nkabom-operator-ama",
    "kalahari": "demo-kalahari-operator-johan"
}
DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (deployments.NKABOM, deployments.KALAHARI)
}


@click.command()
@click.option("--deployment",
              type=click.Choice(sorted(DEPLOYMENTS)),
              default="nkabom",
              show_default=True)
def main(deployment: str) -> None:
    """Starts the platform, workers and three nodes; Ctrl-C ends them."""
    token = OPERATOR_TOKENS[deployment]
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        cluster = stack.enter_context(
            processes.Cluster(folder=pathlib.Path(folder),
                              deployment=DEPLOYMENTS[deployment],
                              operator_token=token))
        cluster.find_owner()
        addresses = ",".join(node.address for node in cluster.nodes.values())
        click.echo(f"export TREFOILROAD_NODES={addresses}")
        click.echo(f"export TREFOILROAD_TOKEN={token}")
        # A shell starts background jobs with SIGINT ignored.
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        click.echo("ready; press Ctrl-C to stop")
        try:
            signal.pause()
        except KeyboardInterrupt:
            click.echo("stopping")


if __name__ == "__main__":
    main()
