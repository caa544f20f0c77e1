"""Settings, output format and error handling shared by all commands."""

from collections.abc import Callable
import time
from typing import Any

import click
import httpx

from trefoilroad_client import api
from trefoilroad_client import exits
from trefoilroad_client import output
from trefoilroad_client import settings
from trefoilroad_core import errors


class Session:
    """Options of one invocation of the command line.

    Attributes:
        json: Whether to write JSON instead of tables.
        settings: Nodes, token and time limit of calls.
        clock: Monotonic clock in seconds.
    """

    def __init__(self,
                 *,
                 transport: httpx.BaseTransport | None = None,
                 clock: Callable[[], float] = time.monotonic,
                 sleep: Callable[[float], None] = time.sleep):
        self.json = False
        self.settings = settings.Settings()
        self.clock = clock
        self._sleep = sleep
        self._transport = transport

    def connect(self) -> api.Client:
        """Returns a client; raises SettingsError without nodes or token."""
        if not self.settings.nodes:
            raise errors.SettingsError(
                "no nodes; give --nodes, TREFOILROAD_NODES or a settings file")
        if not self.settings.token:
            raise errors.SettingsError("no token; give --token-file, "
                                       "TREFOILROAD_TOKEN or a settings file")
        return api.Client(nodes=self.settings.nodes,
                          token=self.settings.token,
                          timeout_s=self.settings.timeout_s,
                          transport=self._transport,
                          clock=self.clock,
                          sleep=self._sleep)


class Group(click.Group):
    """Command group that reports errors and exits with their codes."""

    def invoke(self, ctx: click.Context) -> Any:
        """Runs a command; an error ends the process with its exit code."""
        session = ctx.ensure_object(Session)
        try:
            return super().invoke(ctx)
        except errors.InvalidDocuments as group:
            _report_findings(session, group.findings)
            ctx.exit(exits.Exit.REFUSED)
        except errors.TrefoilroadError as error:
            _report_error(session, error)
            ctx.exit(exits.get_exit_for_error(error))
        except KeyboardInterrupt:
            click.echo("interrupted; recorded requests go on", err=True)
            ctx.exit(exits.Exit.INTERRUPTED)


def _report_findings(session: Session, findings: list[errors.Finding]) -> None:
    if session.json:
        output.print_json({"error": "InvalidDocuments", "findings": findings})
    for finding in findings:
        click.echo(output.replace_unprintable(finding), err=True)
    click.echo(f"findings: {len(findings)}; nothing was changed", err=True)


def _report_error(session: Session, error: errors.TrefoilroadError) -> None:
    if session.json:
        output.print_json({
            "error": type(error).__name__,
            "message": str(error),
            **vars(error)
        })
    for line in f"Error: {error}".splitlines():
        click.echo(output.replace_unprintable(line), err=True)


def _enable_json(ctx: click.Context, _: click.Parameter, value: bool) -> None:
    if value:
        ctx.ensure_object(Session).json = True


json_option = click.option("--json",
                           is_flag=True,
                           expose_value=False,
                           callback=_enable_json,
                           help="Write JSON to standard output.")


def make_command(function: Callable[..., Any]) -> click.Command:
    """Makes a command with --json; its first argument is the Session."""
    return click.command()(json_option(click.pass_obj(function)))
