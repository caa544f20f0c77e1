"""Shows both deployments at work, with an owner that is killed, and checks.

Each deployment runs as real processes on loopback: the platform, 24 workers
and three nodes.
"""

from collections.abc import Iterator
import pathlib
import sys
import tempfile
import time
from typing import Any

import click
import tomlkit

from trefoilroad_client import api
from trefoilroad_client import results
from trefoilroad_core import contract
from trefoilroad_core import document
from trefoilroad_core import request
from trefoilroad_standins import callers
from trefoilroad_standins import deployments
from trefoilroad_standins import processes

OPERATORS = {"nkabom": "ama", "kalahari": "naledi"}
RUN_S = 1.0
LONG_RUN_S = 60.0
REPEATS = 2
# Larger than any worker: can never fit.
IMPOSSIBLE = request.Shape(tasks=1, accelerators=64)
CHANGE_LIMIT_S = 4.0
TAKEOVER_LIMIT_S = 5.0


def read_documents(folder: pathlib.Path) -> dict[str, str]:
    """Reads a set of documents.

    Args:
        folder: Root of the set.

    Returns:
        Text by file name, relative to the root.
    """
    return {
        path.relative_to(folder).as_posix(): path.read_text(encoding="utf-8")
        for path in sorted(folder.rglob("*.toml"))
    }


def change_weight(documents: dict[str, str], team: str) -> dict[str, str]:
    """Returns documents in which a team has half a weight more."""
    name = f"teams/{team}.toml"
    changed = tomlkit.parse(documents[name])
    table: Any = changed["team"]
    table["weight"] = float(table["weight"]) + 0.5
    return {**documents, name: tomlkit.dumps(changed)}


class Show:
    """The demo of one deployment."""

    def __init__(self, *, deployment: deployments.Deployment,
                 documents: dict[str, str], folder: pathlib.Path):
        """Prepares the processes.

        Args:
            deployment: What to show.
            documents: The operators' documents.
            folder: Where settings, logs and histories go.
        """
        name = deployment.name
        operator = f"demo-{name}-operator-{OPERATORS[name]}"
        self._deployment = deployment
        self._documents = documents
        self._begun_s = time.monotonic()
        self._failures: list[str] = []
        self._configuration = document.parse_documents(documents, 1)
        self._cluster = processes.Cluster(folder=folder,
                                          deployment=deployment,
                                          operator_token=operator)
        self._callers = callers.Callers(cluster=self._cluster,
                                        configuration=self._configuration,
                                        log=folder / "callers.jsonl",
                                        token_prefix=f"demo-{name}-")

    def run(self) -> list[str]:
        """Runs the demo of this deployment.

        Returns:
            The checks that failed.
        """
        racks = self._deployment.workers // self._deployment.per_rack
        click.echo(f"\n== {self._deployment.name}: {self._deployment.workers} "
                   f"workers in {racks} racks, {self._deployment.nodes} nodes")
        with self._cluster:
            self._publish_first()
            asks = list(self._submit_wave())
            impossible = self._submit_impossible()
            cancelled = self._submit_cancelled()
            self._repeat(asks[0])
            killed = self._kill_owner()
            asks += self._submit_wave()
            self._publish_change()
            self._callers.wait_state(cancelled, request.State.RUNNING)
            self._callers.cancel(cancelled)
            asks += [impossible, cancelled]
            outcomes = [self._callers.finish(ask) for ask in asks]
            self._print_outcomes(outcomes)
            for outcome in outcomes:
                self._check_outcome(outcome, impossible, cancelled)
            self._check_takeover(killed)
            self._check_records()
            self._print_audit()
        self._say(f"done, {len(self._failures)} checks failed")
        return self._failures

    def _say(self, text: str) -> None:
        click.echo(f"{time.monotonic() - self._begun_s:5.1f} s  {text}")

    def _check(self, holds: bool, text: str) -> None:
        self._say(f"{'ok    ' if holds else 'FAILED'} {text}")
        if not holds:
            self._failures.append(f"{self._deployment.name}: {text}")

    def _operator(self) -> api.Client:
        running = [
            name for name, node in self._cluster.nodes.items()
            if node.is_running
        ]
        return self._cluster.connect(*running)

    def _publish_first(self) -> None:
        owner = self._cluster.find_owner()
        self._say(f"processes run, {owner} owns the region")
        version = self._operator().publish(self._documents, base_version=0)
        self._cluster.wait_configured(version)
        self._say(f"operator published {len(self._documents)} documents, "
                  f"version {version} is in force on all nodes")

    def _submit_wave(self) -> Iterator[callers.Ask]:
        """Submits every template of every team, through nodes in turn."""
        running = [
            name for name, node in self._cluster.nodes.items()
            if node.is_running
        ]
        count = 0
        for team in self._configuration.teams.values():
            for template in team.templates:
                for _ in range(REPEATS):
                    node = running[count % len(running)]
                    count += 1
                    yield self._callers.submit(team.name,
                                               template,
                                               node,
                                               *running,
                                               run_s=RUN_S)
        self._say(f"callers submitted {count} requests through "
                  f"{', '.join(running)}")

    def _choose(self, idempotent: bool) -> tuple[contract.Team, str]:
        for team in self._configuration.teams.values():
            for name in team.templates:
                template = self._configuration.templates[name]
                if template.idempotent == idempotent:
                    return team, name
        raise LookupError("no such template")

    def _submit_impossible(self) -> callers.Ask:
        team, template = self._choose(idempotent=True)
        return self._callers.submit(team.name, template, shape=IMPOSSIBLE)

    def _submit_cancelled(self) -> callers.Ask:
        team, template = self._choose(idempotent=False)
        return self._callers.submit(team.name, template, run_s=LONG_RUN_S)

    def _repeat(self, ask: callers.Ask) -> None:
        other = next(
            name for name in self._cluster.nodes if name not in ask.nodes[:1])
        submission = self._callers.repeat(ask, other)
        same = submission.status.request_id == ask.request_id
        self._check(submission.repeated and same,
                    f"a repeat through {other} finds the first request")

    def _kill_owner(self) -> results.NodeStatus:
        status = self._cluster.read_status(self._cluster.find_owner())
        self._cluster.nodes[status.owner].kill()
        self._killed_s = time.time()
        self._say(f"owner {status.owner} killed with SIGKILL")
        return status

    def _publish_change(self) -> None:
        operator = self._operator()
        current = operator.fetch_config()
        team = next(iter(self._configuration.teams))
        documents = change_weight(current.documents, team)
        begun_s = time.monotonic()
        version = operator.publish(documents, base_version=current.version)
        self._cluster.wait_configured(version)
        took_s = time.monotonic() - begun_s
        self._check(
            took_s < CHANGE_LIMIT_S,
            f"version {version} is in force on all nodes after {took_s:.2f} s, "
            f"limit {CHANGE_LIMIT_S:.0f} s")

    def _print_outcomes(self, outcomes: list[callers.Outcome]) -> None:
        starts = self._cluster.workers.count_starts()
        click.echo(f"\n  {'team':12}{'template':15}{'gang':>9} {'adj.':6}"
                   f"{'via':5}{'outcome':11}{'ran':6}{'starts':>6}"
                   f"{'waited':>9}  answer")
        for ask, status, is_right in outcomes:
            gang = f"{ask.shape.tasks} x {ask.shape.accelerators}"
            via = ask.nodes[0] if ask.nodes else "any"
            answer = {True: "right", False: "WRONG", None: "-"}[is_right]
            click.echo(f"  {ask.team:12}{ask.template:15}{gang:>9} "
                       f"{ask.shape.adjacent:6}{via:5}{status.state:11}"
                       f"{status.ran:6}{starts.get(ask.request_id, 0):6}"
                       f"{status.waited_s:7.2f} s  {answer}")
        click.echo()

    def _check_outcome(self, outcome: callers.Outcome, impossible: callers.Ask,
                       cancelled: callers.Ask) -> None:
        ask, status, is_right = outcome
        expected = request.State.COMPLETED
        if ask is impossible:
            expected = request.State.NOT_RUN
        elif ask is cancelled:
            expected = request.State.CANCELLED
        right = is_right is not False
        if status.state != expected or not right:
            self._check(
                False, f"{ask.team}/{ask.template} is {status.state} "
                f"({status.reason}), expected {expected}")

    def _check_takeover(self, killed: results.NodeStatus) -> None:
        started_s = min(
            (entry["wall_s"]
             for entry in self._cluster.workers.read_history()
             if entry["event"] == "start" and entry["epoch"] > killed.epoch),
            default=float("inf"))
        took_s = started_s - self._killed_s
        self._check(
            took_s < TAKEOVER_LIMIT_S,
            f"{self._cluster.find_owner()} took over from {killed.owner} and "
            f"started work after {took_s:.2f} s, limit "
            f"{TAKEOVER_LIMIT_S:.0f} s")

    def _check_records(self) -> None:
        violations = self._callers.find_violations()
        for violation in violations:
            self._check(False, violation)
        if not violations:
            count = len(self._callers.log.read_text().splitlines())
            self._check(
                True, f"the workers' history agrees with all {count} "
                "things that callers were told: nothing lost, doubled or "
                "partial")

    def _print_audit(self) -> None:
        click.echo("\n  audit trail")
        for entry in self._operator().audit():
            keys = [change.key for change in entry.changes]
            shown = ", ".join(keys[:2]) + (", ..." if len(keys) > 2 else "")
            click.echo(f"  version {entry.version} by {entry.who}: "
                       f"{entry.action} of {len(keys)} keys ({shown})")


@click.command()
@click.option("--examples",
              type=click.Path(exists=True, path_type=pathlib.Path),
              default="examples",
              show_default=True,
              help="Folder with the documents of both deployments.")
def main(examples: pathlib.Path) -> None:
    """Shows both deployments and exits with 1 if a check fails."""
    begun_s = time.monotonic()
    failures = []
    for deployment in (deployments.NKABOM, deployments.KALAHARI):
        documents = read_documents(examples / deployment.name / "contracts")
        with tempfile.TemporaryDirectory() as folder:
            show = Show(deployment=deployment,
                        documents=documents,
                        folder=pathlib.Path(folder))
            failures += show.run()
    click.echo(f"\nboth deployments: {time.monotonic() - begun_s:.1f} s, "
               f"{len(failures)} checks failed")
    for failure in failures:
        click.echo(f"  FAILED {failure}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
