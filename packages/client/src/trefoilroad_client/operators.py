"""Commands of operators."""

import pathlib

import click

from trefoilroad_client import folder
from trefoilroad_client import output
from trefoilroad_client import session
from trefoilroad_core import contract
from trefoilroad_core import document

_folder_argument = click.argument("directory",
                                  type=click.Path(exists=True,
                                                  file_okay=False,
                                                  path_type=pathlib.Path))


@session.make_command
@_folder_argument
def validate(shared: session.Session, directory: pathlib.Path) -> None:
    """Checks the documents of DIRECTORY without calling a node."""
    configuration = _validate(folder.read_documents(directory))
    counts = {
        "templates": len(configuration.templates),
        "teams": len(configuration.teams),
        "operators": len(configuration.operators),
        "drained": len(configuration.drained)
    }
    if shared.json:
        output.print_json(counts | {"findings": []})
    else:
        output.print_fields({"documents": "valid", **counts})


def _validate(documents: dict[str, str]) -> contract.Configuration:
    return document.parse_documents(documents, 0)


@session.make_command
@_folder_argument
def diff(shared: session.Session, directory: pathlib.Path) -> None:
    """Shows what publishing DIRECTORY would change."""
    documents = folder.read_documents(directory)
    with shared.connect() as client:
        current = client.fetch_config()
    documents = folder.keep_drained(documents, current.documents)
    changes = document.compare_documents(current.documents, documents)
    if shared.json:
        output.print_json({"base_version": current.version, "changes": changes})
        return
    output.print_changes(changes, err=False)
    click.echo(f"changes to version {current.version}: {len(changes)}",
               err=True)


@session.make_command
@_folder_argument
@click.option("--base-version",
              type=click.IntRange(min=0),
              help="Version that DIRECTORY was derived from; publishing fails "
              "if another one is in force. By default the one shown.")
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
def publish(shared: session.Session, directory: pathlib.Path,
            base_version: int | None, yes: bool) -> None:
    """Publishes all documents of DIRECTORY.

    Without fleet.toml in DIRECTORY the drained workers stay as they are.
    """
    documents = folder.read_documents(directory)
    _validate(documents)
    with shared.connect() as client:
        current = client.fetch_config()
        documents = folder.keep_drained(documents, current.documents)
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
    _print_published(shared, version, changes)


def _print_published(shared: session.Session, version: int,
                     changes: list[document.Change]) -> None:
    if shared.json:
        output.print_json({"version": version, "changes": changes})
    elif changes:
        click.echo(f"version {version} is in force")
    else:
        click.echo(f"nothing to publish; version {version} is in force")


@session.make_command
def status(shared: session.Session) -> None:
    """Shows a node, its region's owner and the configuration version."""
    with shared.connect() as client:
        state = client.node_status()
    if shared.json:
        output.print_json(state)
    else:
        output.print_fields(state._asdict())


@session.make_command
@click.argument("worker")
def drain(shared: session.Session, worker: str) -> None:
    """Excludes WORKER from new work, for a planned stop."""
    with shared.connect() as client:
        version = client.drain(worker)
    _print_worker(shared, worker, "drained", version)


@session.make_command
@click.argument("worker")
def undrain(shared: session.Session, worker: str) -> None:
    """Makes a drained WORKER available again."""
    with shared.connect() as client:
        version = client.undrain(worker)
    _print_worker(shared, worker, "available", version)


def _print_worker(shared: session.Session, worker: str, state: str,
                  version: int) -> None:
    if shared.json:
        output.print_json({
            "worker": worker,
            "state": state,
            "version": version
        })
    else:
        click.echo(f"{output.clean(worker)} is {state} from version {version} "
                   "on")


@session.make_command
@click.option("--since",
              type=click.IntRange(min=0),
              default=0,
              help="Number of the last entry that is known.")
def audit(shared: session.Session, since: int) -> None:
    """Lists changes of the configuration, oldest first."""
    with shared.connect() as client:
        entries = client.audit(since)
    if shared.json:
        output.print_json(entries)
        return
    for entry in entries:
        click.echo(
            output.clean(
                f"{entry.number}  {output.format_time(entry.at)}  {entry.who}  "
                f"{entry.action}  version {entry.version}"))
        output.print_changes(entry.changes, err=False)
