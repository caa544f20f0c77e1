"""Demo of both example deployments, with checks and a killed owner.

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

OPERATOR_BY_DEPLOYMENT = {"nkabom": "ama", "kalahari": "naledi"}
TASK_RUN_S = 1.0
LONG_RUN_S = 60.0
REQUESTS_PER_TEMPLATE = 2
# Larger than any worker, so it can never be placed.
IMPOSSIBLE_SHAPE = request.Shape(tasks=1, accelerators=64)
CONFIG_CHANGE_LIMIT_S = 4.0
TAKEOVER_LIMIT_S = 5.0


def read_documents(folder: pathlib.Path) -> dict[str, str]:
    """Reads configuration documents.

    Args:
        folder: Root folder of the documents.

    Returns:
        Text by file name, relative to the root.
    """
    return {
        path.relative_to(folder).as_posix(): path.read_text(encoding="utf-8")
        for path in sorted(folder.rglob("*.toml"))
    }


def increase_weight(documents: dict[str, str], team: str) -> dict[str, str]:
    """Returns the documents with the weight of a team increased by 0.5."""
    name = f"teams/{team}.toml"
    changed = tomlkit.parse(documents[name])
    table: Any = changed["team"]
    table["weight"] = float(table["weight"]) + 0.5
    return {**documents, name: tomlkit.dumps(changed)}


class Demo:
    """The demo of one deployment."""

    def __init__(self, *, deployment: deployments.Deployment,
                 documents: dict[str, str], folder: pathlib.Path):
        """Describes the processes; `run` starts them.

        Args:
            deployment: The deployment to run.
            documents: Configuration documents to publish.
            folder: Folder for settings, logs and histories.
        """
        name = deployment.name
        operator = f"demo-{name}-operator-{OPERATOR_BY_DEPLOYMENT[name]}"
        self._deployment = deployment
        self._documents = documents
        self._started_s = time.monotonic()
        self._failures: list[str] = []
        self._configuration = document.parse_documents(documents, 1)
        self._cluster = processes.Cluster(folder=folder,
                                          deployment=deployment,
                                          operator_token=operator)
        self._callers = callers.Callers(cluster=self._cluster,
                                        configuration=self._configuration,
                                        history_path=folder / "callers.jsonl",
                                        token_prefix=f"demo-{name}-")

    def run(self) -> list[str]:
        """Runs the demo of this deployment.

        Returns:
            Descriptions of the checks that failed.
        """
        racks = self._deployment.workers // self._deployment.per_rack
        click.echo(f"\n== {self._deployment.name}: {self._deployment.workers} "
                   f"workers in {racks} racks, {self._deployment.nodes} nodes")
        with self._cluster:
            self._publish_documents()
            submitted_requests = list(self._submit_all_templates())
            impossible = self._submit_impossible()
            cancelled = self._submit_cancelled()
            self._check_resubmission(submitted_requests[0])
            killed = self._kill_owner()
            submitted_requests += self._submit_all_templates()
            self._publish_change()
            self._callers.wait_for_state(cancelled, request.State.RUNNING)
            self._callers.cancel(cancelled)
            submitted_requests += [impossible, cancelled]
            outcomes = [
                self._callers.fetch_outcome(submitted)
                for submitted in submitted_requests
            ]
            self._print_outcomes(outcomes)
            for outcome in outcomes:
                self._check_outcome(outcome, impossible, cancelled)
            self._check_takeover(killed)
            self._check_history()
            self._print_audit()
        self._print_progress(f"done, {len(self._failures)} checks failed")
        return self._failures

    def _print_progress(self, text: str) -> None:
        click.echo(f"{time.monotonic() - self._started_s:5.1f} s  {text}")

    def _check(self, holds: bool, text: str) -> None:
        self._print_progress(f"{'ok    ' if holds else 'FAILED'} {text}")
        if not holds:
            self._failures.append(f"{self._deployment.name}: {text}")

    def _connect_operator(self) -> api.Client:
        running = [
            name for name, node in self._cluster.nodes.items()
            if node.is_running
        ]
        return self._cluster.connect(*running)

    def _publish_documents(self) -> None:
        owner = self._cluster.find_owner()
        self._print_progress(f"processes run, {owner} owns the region")
        version = self._connect_operator().publish(self._documents,
                                                   base_version=0)
        self._cluster.wait_for_config(version)
        self._print_progress(
            f"operator published {len(self._documents)} documents, "
            f"version {version} is in force on all nodes")

    def _submit_all_templates(self) -> Iterator[callers.CallerRequest]:
        """Submits every template of every team, through each node in turn."""
        running = [
            name for name, node in self._cluster.nodes.items()
            if node.is_running
        ]
        count = 0
        for team in self._configuration.teams.values():
            for template in team.templates:
                for _ in range(REQUESTS_PER_TEMPLATE):
                    node = running[count % len(running)]
                    count += 1
                    yield self._callers.submit(team.name,
                                               template,
                                               node,
                                               *running,
                                               run_s=TASK_RUN_S)
        self._print_progress(f"callers submitted {count} requests through "
                             f"{', '.join(running)}")

    def _find_template(self, idempotent: bool) -> tuple[contract.Team, str]:
        for team in self._configuration.teams.values():
            for name in team.templates:
                template = self._configuration.templates[name]
                if template.idempotent == idempotent:
                    return team, name
        raise LookupError("no team uses a template of this kind")

    def _submit_impossible(self) -> callers.CallerRequest:
        team, template = self._find_template(idempotent=True)
        return self._callers.submit(team.name, template, shape=IMPOSSIBLE_SHAPE)

    def _submit_cancelled(self) -> callers.CallerRequest:
        team, template = self._find_template(idempotent=False)
        return self._callers.submit(team.name, template, run_s=LONG_RUN_S)

    def _check_resubmission(self, submitted: callers.CallerRequest) -> None:
        other = next(name for name in self._cluster.nodes
                     if name not in submitted.nodes[:1])
        submission = self._callers.resubmit(submitted, other)
        same = submission.status.request_id == submitted.request_id
        self._check(submission.repeated and same,
                    f"a repeat through {other} finds the first request")

    def _kill_owner(self) -> results.NodeStatus:
        status = self._cluster.read_status(self._cluster.find_owner())
        self._cluster.nodes[status.owner].kill()
        self._killed_s = time.time()
        self._print_progress(f"owner {status.owner} killed with SIGKILL")
        return status

    def _publish_change(self) -> None:
        operator = self._connect_operator()
        current = operator.fetch_config()
        team = next(iter(self._configuration.teams))
        documents = increase_weight(current.documents, team)
        started_s = time.monotonic()
        version = operator.publish(documents, base_version=current.version)
        self._cluster.wait_for_config(version)
        took_s = time.monotonic() - started_s
        self._check(
            took_s < CONFIG_CHANGE_LIMIT_S,
            f"version {version} is in force on all nodes after {took_s:.2f} s, "
            f"limit {CONFIG_CHANGE_LIMIT_S:.0f} s")

    def _print_outcomes(self, outcomes: list[callers.RequestOutcome]) -> None:
        starts = self._cluster.workers.count_starts()
        click.echo(f"\n  {'team':12}{'template':15}{'gang':>9} {'adj.':6}"
                   f"{'via':5}{'outcome':11}{'ran':6}{'starts':>6}"
                   f"{'waited':>9}  answer")
        for submitted, status, is_answer_correct in outcomes:
            gang = f"{submitted.shape.tasks} x {submitted.shape.accelerators}"
            via = submitted.nodes[0] if submitted.nodes else "any"
            answer = {
                True: "right",
                False: "WRONG",
                None: "-"
            }[is_answer_correct]
            click.echo(f"  {submitted.team:12}{submitted.template:15}{gang:>9} "
                       f"{submitted.shape.adjacent:6}{via:5}{status.state:11}"
                       f"{status.ran:6}{starts.get(submitted.request_id, 0):6}"
                       f"{status.waited_s:7.2f} s  {answer}")
        click.echo()

    def _check_outcome(self, outcome: callers.RequestOutcome,
                       impossible: callers.CallerRequest,
                       cancelled: callers.CallerRequest) -> None:
        submitted, status, is_answer_correct = outcome
        expected = request.State.COMPLETED
        if submitted is impossible:
            expected = request.State.NOT_RUN
        elif submitted is cancelled:
            expected = request.State.CANCELLED
        right = is_answer_correct is not False
        if status.state != expected or not right:
            self._check(
                False,
                f"{submitted.team}/{submitted.template} is {status.state} "
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

    def _check_history(self) -> None:
        violations = self._callers.find_violations()
        for violation in violations:
            self._check(False, violation)
        if not violations:
            count = len(self._callers.history_path.read_text().splitlines())
            self._check(
                True, f"the workers' history agrees with all {count} "
                "responses to callers: nothing lost, duplicated or partial")

    def _print_audit(self) -> None:
        click.echo("\n  audit trail")
        for entry in self._connect_operator().audit():
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
    """Runs both deployments and exits with 1 if a check fails."""
    started_s = time.monotonic()
    failures = []
    for deployment in (deployments.NKABOM, deployments.KALAHARI):
        documents = read_documents(examples / deployment.name / "contracts")
        with tempfile.TemporaryDirectory() as folder:
            demo = Demo(deployment=deployment,
                        documents=documents,
                        folder=pathlib.Path(folder))
            failures += demo.run()
    click.echo(f"\nboth deployments: {time.monotonic() - started_s:.1f} s, "
               f"{len(failures)} checks failed")
    for failure in failures:
        click.echo(f"  FAILED {failure}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
