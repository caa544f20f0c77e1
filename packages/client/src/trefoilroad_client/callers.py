"""Commands that submit, follow and cancel requests."""

import json
import os
import pathlib
from typing import Any
from typing import NoReturn
import uuid

import click

from trefoilroad_client import api
from trefoilroad_client import exits
from trefoilroad_client import output
from trefoilroad_client import results
from trefoilroad_client import session
from trefoilroad_core import errors
from trefoilroad_core import request

DEFAULT_CALLER = "cli"

_timeout_option = click.option("--timeout",
                               "timeout_s",
                               type=click.FloatRange(min=0),
                               help="Longest time to wait, in seconds.")


@session.make_command
@click.argument("template")
@click.option("--payload", help="Input of the tasks, as JSON.")
@click.option("--payload-file",
              type=click.File(encoding="utf-8"),
              help="File with the input as JSON, - for standard input.")
@click.option("--caller",
              envvar="TREFOILROAD_CALLER",
              default=DEFAULT_CALLER,
              help="Caller inside the team, for fair shares.")
@click.option("--key",
              help="Idempotency key; a new one by default. Repeat a submit "
              "whose outcome is unknown with the same key.")
@click.option("--shape",
              help="Shape that replaces the template's, such as "
              "tasks=4,accelerators=8,adjacent=rack.")
@click.option("--declared-s",
              type=click.FloatRange(min=0, min_open=True),
              help="Expected run time in seconds.")
@click.option("--wait-s",
              type=click.FloatRange(min=0, min_open=True),
              help="Longest time from receipt to start, in seconds.")
@click.option("--wait/--no-wait",
              "wait_for_outcome",
              help="Wait for the outcome.")
@_timeout_option
def submit(cli_session: session.Session, template: str, payload: str | None,
           payload_file: Any, key: str | None, shape: str | None,
           wait_for_outcome: bool, timeout_s: float | None,
           **fields: Any) -> None:
    """Submits a request for TEMPLATE."""
    if payload_file is not None:
        payload = payload_file.read()
    if key is None:
        # Printed before the call, so that the user can repeat an interrupted
        # submit with the same key.
        key = uuid.uuid4().hex
        click.echo(f"key {key}", err=True)
    with cli_session.connect() as client:
        result = client.submit(template=template,
                               payload=_parse_payload(payload),
                               shape=_parse_shape(shape),
                               key=key,
                               **fields)
        if not wait_for_outcome:
            _print_submission(cli_session, result)
            return
        click.echo(f"request {result.status.request_id}", err=True)
        final_status = _wait_and_report(cli_session, client,
                                        result.status.request_id, timeout_s)
    _exit_with_status(cli_session, final_status)


def _print_submission(cli_session: session.Session,
                      result: results.Submission) -> None:
    if cli_session.json:
        output.print_json(result)
        return
    output.print_fields({
        "request": result.status.request_id,
        "state": result.status.state,
        "key": result.key,
        "repeated": "yes" if result.repeated else "no"
    })


def _parse_payload(text: str | None) -> Any:
    if text is None:
        return None
    try:
        return json.loads(text, parse_constant=_reject_constant)
    except ValueError as error:
        raise click.BadParameter(f"not JSON: {error}",
                                 param_hint="payload") from error


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _parse_shape(text: str | None) -> request.Shape | None:
    """Parses "tasks=4,accelerators=8"; the nodes check the value ranges."""
    if text is None:
        return None
    fields: dict[str, Any] = {}
    try:
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            fields[name] = value if name == "adjacent" else int(value)
        return request.Shape(**fields)
    except (TypeError, ValueError) as error:
        raise click.BadParameter(
            f"{text!r}: expected tasks=N,accelerators=N and optionally cores=N,"
            "memory_gb=N,adjacent=none|rack",
            param_hint="--shape") from error


@session.make_command
@click.argument("request_id")
@_timeout_option
def wait(cli_session: session.Session, request_id: str,
         timeout_s: float | None) -> None:
    """Waits for the outcome of a request and exits with its code."""
    with cli_session.connect() as client:
        final_status = _wait_and_report(cli_session, client, request_id,
                                        timeout_s)
    _exit_with_status(cli_session, final_status)


def _wait_and_report(cli_session: session.Session, client: api.Client,
                     request_id: str,
                     timeout_s: float | None) -> results.Status:
    """Waits for the outcome and writes state changes to standard error."""
    started_s = cli_session.clock()

    def report(request_status: results.Status) -> None:
        elapsed_s = cli_session.clock() - started_s
        text = f"{elapsed_s:.1f} s: {request_status.state}"
        if request_status.attempt:
            text += f", attempt {request_status.attempt}"
        if request_status.reason:
            text += f", {request_status.reason}"
        click.echo(output.replace_unprintable(text), err=True)

    return client.wait(request_id, timeout_s=timeout_s, on_change=report)


def _exit_with_status(cli_session: session.Session,
                      final_status: results.Status) -> NoReturn:
    """Prints a status and exits with the exit code of its state."""
    _print_status(cli_session, final_status)
    click.get_current_context().exit(exits.get_exit_for_status(final_status))


def _print_status(cli_session: session.Session,
                  request_status: results.Status) -> None:
    if cli_session.json:
        output.print_json(request_status)
        return
    fields = request_status._asdict() | {
        "placement": " ".join(request_status.placement),
        "submitted_at": output.format_time(request_status.submitted_at)
    }
    output.print_fields({
        name: value for name, value in fields.items() if value not in ("", None)
    })


@session.make_command
@click.argument("request_id")
@click.option("-o",
              "--output",
              "path",
              type=click.Path(dir_okay=False, path_type=pathlib.Path),
              help="File for the answer; standard output by default.")
def result(cli_session: session.Session, request_id: str,
           path: pathlib.Path | None) -> None:
    """Writes the whole answer of a completed request."""
    with cli_session.connect() as client:
        try:
            answer = client.answer(request_id)
        except errors.NotCompleted as error:
            click.echo(f"Error: {error}", err=True)
            _exit_with_status(cli_session, client.status(request_id))
    if path is None:
        click.echo(answer, nl=False)
        return
    # Written to a temporary file and renamed, so that a full disk does not
    # leave a truncated answer under the final name.
    partial_path = path.with_name(f".{path.name}.part")
    partial_path.write_bytes(answer)
    os.replace(partial_path, path)
    if cli_session.json:
        output.print_json({"path": str(path), "length": len(answer)})


@session.make_command
@click.argument("request_id")
def cancel(cli_session: session.Session, request_id: str) -> None:
    """Requests the cancellation of a request; 'wait' shows its outcome."""
    with cli_session.connect() as client:
        _print_status(cli_session, client.cancel(request_id))


@session.make_command
@click.argument("request_id")
def explain(cli_session: session.Session, request_id: str) -> None:
    """Explains why a request waits."""
    with cli_session.connect() as client:
        text = client.explain(request_id)
    if cli_session.json:
        output.print_json({"request_id": request_id, "text": text})
        return
    for line in text.splitlines():
        click.echo(output.replace_unprintable(line))


@session.make_command
@click.argument("request_id", required=False)
def requests(cli_session: session.Session, request_id: str | None) -> None:
    """Lists the team's requests, or shows one."""
    with cli_session.connect() as client:
        if request_id is not None:
            _print_status(cli_session, client.status(request_id))
            return
        statuses = client.list()
    if cli_session.json:
        output.print_json(statuses)
        return
    output.print_table(
        ("REQUEST", "STATE", "RAN", "TEMPLATE", "CALLER", "WAITED", "REASON"),
        ((status.request_id, status.state, status.ran, status.template,
          status.caller, f"{status.waited_s:.0f} s", status.reason)
         for status in statuses))
