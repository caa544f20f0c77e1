"""Commands that manage the configuration and the workers."""

import pathlib

import click

from trefoilroad_client import folder
from trefoilroad_client import output
from trefoilroad_client import session
from trefoilroad_core import contract
from trefoilroad_core import document

_directory_argument = click.argument("directory",
                                     type=click.Path(exists=True,
                                                     file_okay=False,
                                                     path_type=pathlib.Path))


@session.make_command
@_directory_argument
def validate(cli_session: session.Session, directory: pathlib.Path) -> None:
    """Checks the documents of DIRECTORY without calling a node."""
    configuration = _validate(folder.read_documents(directory))
    counts = {
        "templates": len(configuration.templates),
        "teams": len(configuration.teams),
        "operators": len(configuration.operators),
        "drained": len(configuration.drained)
    }
    if cli_session.json:
        output.print_json(counts | {"findings": []})
    else:
        output.print_fields({"documents": "valid", **counts})


def _validate(documents: dict[str, str]) -> contract.Configuration:
    return document.parse_documents(documents, 0)


@session.make_command
@_directory_argument
def diff(cli_session: session.Session, directory: pathlib.Path) -> None:
    """Shows what publishing DIRECTORY would change."""
    documents = folder.read_documents(directory)
    with cli_session.connect() as client:
        current = client.fetch_config()
    documents = folder.keep_published_drains(documents, current.documents)
    changes = document.compare_documents(current.documents, documents)
    if cli_session.json:
        output.print_json({"base_version": current.version, "changes": changes})
        return
    output.print_changes(changes, err=False)
    click.echo(f"changes against version {current.version}: {len(changes)}",
               err=True)


@session.make_command
@_directory_argument
@click.option("--base-version",
              type=click.IntRange(min=0),
              help="Version that DIRECTORY was derived from; publishing fails "
              "if another one is in force. By default the version in force.")
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
def publish(cli_session: session.Session, directory: pathlib.Path,
            base_version: int | None, yes: bool) -> None:
    """Publishes all documents of DIRECTORY.

    Without fleet.toml in DIRECTORY the set of drained workers is kept.
    """
    documents = folder.read_documents(directory)
    _validate(documents)
    with cli_session.connect() as client:
        current = client.fetch_config()
        documents = folder.keep_published_drains(documents, current.documents)
        changes = document.compare_documents(current.documents, documents)
        output.print_changes(changes, err=True)
        base = current.version if base_version is None else base_version
        version = current.version
        if changes or base != current.version:
            if not yes:
                click.confirm(f"Publish these changes ({len(changes)})?",
                              abort=True,
                              err=True)
            version = client.publish(documents, base_version=base)
    _print_published(cli_session, version, changes)


def _print_published(cli_session: session.Session, version: int,
                     changes: list[document.Change]) -> None:
    if cli_session.json:
        output.print_json({"version": version, "changes": changes})
    elif changes:
        click.echo(f"version {version} is in force")
    else:
        click.echo(f"nothing to publish; version {version} is in force")


@session.make_command
def status(cli_session: session.Session) -> None:
    """Shows a node, its region's owner and the configuration version."""
    with cli_session.connect() as client:
        node_status = client.node_status()
    if cli_session.json:
        output.print_json(node_status)
    else:
        output.print_fields(node_status._asdict())


@session.make_command
@click.argument("worker")
def drain(cli_session: session.Session, worker: str) -> None:
    """Excludes WORKER from new tasks, for a planned stop."""
    with cli_session.connect() as client:
        version = client.drain(worker)
    _print_worker_state(cli_session, worker, "drained", version)


@session.make_command
@click.argument("worker")
def undrain(cli_session: session.Session, worker: str) -> None:
    """Makes a drained WORKER available again."""
    with cli_session.connect() as client:
        version = client.undrain(worker)
    _print_worker_state(cli_session, worker, "available", version)


def _print_worker_state(cli_session: session.Session, worker: str, state: str,
                        version: int) -> None:
    if cli_session.json:
        output.print_json({
            "worker": worker,
            "state": state,
            "version": version
        })
    else:
        click.echo(
            f"{output.replace_unprintable(worker)} is {state} from version "
            f"{version} on")


@session.make_command
@click.option("--since",
              type=click.IntRange(min=0),
              default=0,
              help="Show only entries with a greater number.")
def audit(cli_session: session.Session, since: int) -> None:
    """Lists changes of the configuration, oldest first."""
    with cli_session.connect() as client:
        entries = client.audit(since)
    if cli_session.json:
        output.print_json(entries)
        return
    for entry in entries:
        click.echo(
            output.replace_unprintable(
                f"{entry.number}  {output.format_time(entry.at)}  {entry.who}  "
                f"{entry.action}  version {entry.version}"))
        output.print_changes(entry.changes, err=False)
