"""Command line of trefoilroad for callers and operators."""

import pathlib

import click

from trefoilroad_client import callers
from trefoilroad_client import operators
from trefoilroad_client import session
from trefoilroad_client import settings

COMMANDS = (
    operators.validate,
    operators.diff,
    operators.publish,
    operators.status,
    operators.drain,
    operators.undrain,
    operators.audit,
    callers.submit,
    callers.wait,
    callers.result,
    callers.cancel,
    callers.explain,
    callers.requests,
)


@click.group(cls=session.Group, context_settings={"show_default": True})
@click.version_option(package_name="trefoilroad-client")
@session.json_option
@click.option("--nodes",
              envvar="TREFOILROAD_NODES",
              help="Addresses of nodes, host:port, separated by commas.")
@click.option("--token",
              envvar="TREFOILROAD_TOKEN",
              help="Access token; other users of the host can see options.")
@click.option("--token-file",
              type=click.Path(path_type=pathlib.Path),
              help="File that holds the access token.")
@click.option("--settings",
              "settings_file",
              envvar="TREFOILROAD_SETTINGS",
              type=click.Path(path_type=pathlib.Path),
              help="TOML file with nodes and token.")
@click.option("--call-timeout",
              "timeout_s",
              type=click.FloatRange(min=settings.MIN_CALL_TIMEOUT_S),
              help="Time limit of one call with its retries, in seconds.")
@click.pass_obj
def main(cli_session: session.Session, nodes: str | None, token: str | None,
         token_file: pathlib.Path | None, settings_file: pathlib.Path | None,
         timeout_s: float | None) -> None:
    """Submits requests and manages contracts of a trefoilroad deployment.

    Exit codes: 0 done, 1 refused or invalid, 2 usage, 3 not run, 4 failed,
    5 unknown or unavailable, 6 conflict, 7 not finished, 8 corrupt answer,
    130 interrupted.
    """
    client_settings = settings.Settings()
    if settings_file:
        client_settings = settings.read_file(settings_file)
    if nodes:
        client_settings = client_settings._replace(
            nodes=settings.split_nodes(nodes))
    if token_file:
        token = settings.read_token(token_file)
    if token:
        client_settings = client_settings._replace(token=token)
    if timeout_s:
        client_settings = client_settings._replace(timeout_s=timeout_s)
    cli_session.settings = client_settings


for _command in COMMANDS:
    main.add_command(_command)
