"""Commands of callers."""

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
              help="Gang in place of the template's, such as "
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
def submit(shared: session.Session, template: str, payload: str | None,
           payload_file: Any, key: str | None, shape: str | None,
           wait_for_outcome: bool, timeout_s: float | None,
           **fields: Any) -> None:
    """Submits a request for TEMPLATE."""
    if payload_file is not None:
        payload = payload_file.read()
    if key is None:
        # Shown before the call, so that an interrupted one can be repeated.
        key = uuid.uuid4().hex
        click.echo(f"key {key}", err=True)
    with shared.connect() as client:
        result = client.submit(template=template,
                               payload=_parse_payload(payload),
                               shape=_parse_shape(shape),
                               key=key,
                               **fields)
        if not wait_for_outcome:
            _print_submission(shared, result)
            return
        click.echo(f"request {result.status.request_id}", err=True)
        last = _watch(shared, client, result.status.request_id, timeout_s)
    _finish(shared, last)


def _print_submission(shared: session.Session,
                      result: results.Submission) -> None:
    if shared.json:
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
        return json.loads(text, parse_constant=_refuse_constant)
    except ValueError as error:
        raise click.BadParameter(f"not JSON: {error}",
                                 param_hint="payload") from error


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _parse_shape(text: str | None) -> request.Shape | None:
    """Parses "tasks=4,accelerators=8"; nodes check the ranges."""
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
            f"{text!r}: give tasks=N,accelerators=N and if needed cores=N,"
            "memory_gb=N,adjacent=none|rack",
            param_hint="--shape") from error


@session.make_command
@click.argument("request_id")
@_timeout_option
def wait(shared: session.Session, request_id: str,
         timeout_s: float | None) -> None:
    """Waits for the outcome of a request; its exit code tells the outcome."""
    with shared.connect() as client:
        last = _watch(shared, client, request_id, timeout_s)
    _finish(shared, last)


def _watch(shared: session.Session, client: api.Client, request_id: str,
           timeout_s: float | None) -> results.Status:
    """Waits and writes each change of state to standard error."""
    started_s = shared.clock()

    def report(current: results.Status) -> None:
        elapsed_s = shared.clock() - started_s
        text = f"{elapsed_s:.1f} s: {current.state}"
        if current.attempt:
            text += f", attempt {current.attempt}"
        if current.reason:
            text += f", {current.reason}"
        click.echo(output.clean(text), err=True)

    return client.wait(request_id, timeout_s=timeout_s, on_change=report)


def _finish(shared: session.Session, last: results.Status) -> NoReturn:
    """Prints a status and exits with the code of its state."""
    _print_status(shared, last)
    click.get_current_context().exit(exits.choose_for_status(last))


def _print_status(shared: session.Session, current: results.Status) -> None:
    if shared.json:
        output.print_json(current)
        return
    fields = current._asdict() | {
        "placement": " ".join(current.placement),
        "submitted_at": output.format_time(current.submitted_at)
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
def result(shared: session.Session, request_id: str,
           path: pathlib.Path | None) -> None:
    """Writes the whole answer of a completed request."""
    with shared.connect() as client:
        try:
            answer = client.answer(request_id)
        except errors.NotCompleted as error:
            click.echo(f"Error: {error}", err=True)
            _finish(shared, client.status(request_id))
    if path is None:
        click.echo(answer, nl=False)
        return
    # A full disk must not leave a part of an answer under the final name.
    part = path.with_name(f".{path.name}.part")
    part.write_bytes(answer)
    os.replace(part, path)
    if shared.json:
        output.print_json({"path": str(path), "length": len(answer)})


@session.make_command
@click.argument("request_id")
def cancel(shared: session.Session, request_id: str) -> None:
    """Asks to cancel a request; wait for its outcome to be sure."""
    with shared.connect() as client:
        _print_status(shared, client.cancel(request_id))


@session.make_command
@click.argument("request_id")
def explain(shared: session.Session, request_id: str) -> None:
    """Says why a request waits."""
    with shared.connect() as client:
        text = client.explain(request_id)
    if shared.json:
        output.print_json({"request_id": request_id, "text": text})
        return
    for line in text.splitlines():
        click.echo(output.clean(line))


@session.make_command
@click.argument("request_id", required=False)
def requests(shared: session.Session, request_id: str | None) -> None:
    """Lists the team's requests, or shows one."""
    with shared.connect() as client:
        if request_id is not None:
            _print_status(shared, client.status(request_id))
            return
        rows = client.list()
    if shared.json:
        output.print_json(rows)
        return
    output.print_table(
        ("REQUEST", "STATE", "RAN", "TEMPLATE", "CALLER", "WAITED", "REASON"),
        ((row.request_id, row.state, row.ran, row.template, row.caller,
          f"{row.waited_s:.0f} s", row.reason) for row in rows))
