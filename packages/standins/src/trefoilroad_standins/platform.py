"""Stand-in of the platform: table service, object store and VM list."""

import json
import pathlib
import time
import tomllib
from typing import Any

import click

from trefoilroad_core import errors
from trefoilroad_standins import alarms as alarms_module
from trefoilroad_standins import endpoint
from trefoilroad_standins import fields
from trefoilroad_standins import tables

OBJECTS_PATH = "/v1/objects/"
VM_STATES = ("live", "leaving", "gone")


class Platform(endpoint.Service):
    """Serves the published protocol from memory."""

    def __init__(self, *, vms: tables.VmList):
        self._table = tables.Table()
        self._objects: dict[str, bytes] = {}
        self._vms = vms

    def handle(self, call: endpoint.Call) -> endpoint.Action:
        """Answers one request, see endpoint.Service."""
        route = (call.method, call.path)
        if call.path.startswith(OBJECTS_PATH):
            return self._handle_object(call)
        if route == ("POST", "/v1/commit"):
            return self._commit(fields.parse_object(call.body))
        if route == ("GET", "/v1/rows"):
            return self._list_rows(call)
        if route == ("GET", "/v1/row"):
            key = fields.read_field(call.query, "key", str)
            return endpoint.build_reply(200, self._table.get_row(key))
        if route == ("GET", "/v1/vms"):
            entries = self._vms.list_entries(time.monotonic())
            return endpoint.build_reply(200, {"vms": entries})
        if route == ("POST", "/v1/vms"):
            return self._change_vms(call.body)
        return endpoint.build_error(404, "not_found", call.path)

    def _commit(self, body: dict[str, Any]) -> endpoint.Reply:
        conditions = [
            tables.Condition(fields.read_field(item, "key", str),
                             fields.read_field(item, "version", int))
            for item in fields.read_objects(body, "conditions", default=[])
        ]
        writes = [
            tables.Write(fields.read_field(item, "key", str),
                         fields.read_field(item, "value", object))
            for item in fields.read_objects(body, "writes")
        ]
        if len({write.key for write in writes}) != len(writes):
            raise errors.ProtocolError("writes name a key twice")
        commit = self._table.commit(conditions, writes)
        if commit.conflicts:
            conflicts = [conflict._asdict() for conflict in commit.conflicts]
            return endpoint.build_reply(409, {"conflicts": conflicts})
        return endpoint.build_reply(200, {"version": commit.version})

    def _list_rows(self, call: endpoint.Call) -> endpoint.Reply:
        try:
            since = int(call.query.get("since", "0"))
        except ValueError as error:
            raise errors.ProtocolError("since is not a number") from error
        rows = self._table.list_rows(call.query.get("prefix", ""), since)
        return endpoint.build_reply(200, {
            "version": self._table.version,
            "rows": rows
        })

    def _handle_object(self, call: endpoint.Call) -> endpoint.Reply:
        key = call.path.removeprefix(OBJECTS_PATH)
        if call.method == "PUT":
            self._objects[key] = call.body
            return endpoint.build_reply(200, {
                "key": key,
                "length": len(call.body)
            })
        if call.method != "GET":
            return endpoint.build_error(405, "method_not_allowed")
        if key not in self._objects:
            return endpoint.build_error(404, "not_found", key)
        return endpoint.Reply(200, self._objects[key], endpoint.BYTES_TYPE)

    def _change_vms(self, body: bytes) -> endpoint.Reply:
        document = fields.parse_object(body)
        entries = fields.read_objects(document, "vms", default=[]) or [document]
        for entry in entries:
            check_vm(entry)
        unknown = [
            entry["id"]
            for entry in entries
            if not self._vms.change(entry, time.monotonic())
        ]
        if unknown:
            return endpoint.build_error(404, "unknown_vm", ", ".join(unknown))
        return endpoint.build_reply(200, {"ok": True})


def check_vm(entry: dict[str, Any]) -> None:
    """Checks an entry of the VM list.

    Args:
        entry: Fields of one VM.

    Raises:
        ProtocolError: If the id is absent or the state is unknown.
    """
    fields.read_field(entry, "id", str)
    if entry.get("state", "live") not in VM_STATES:
        raise errors.ProtocolError(f"state is not one of {VM_STATES}")


def load_vms(path: pathlib.Path) -> list[dict[str, Any]]:
    """Reads the VM list from a TOML or JSON file with a list `vms`.

    Args:
        path: The file.

    Returns:
        The entries, live where no state is given.

    Raises:
        ProtocolError: If an entry is wrong.
    """
    text = path.read_text()
    is_toml = path.suffix == ".toml"
    document = tomllib.loads(text) if is_toml else json.loads(text)
    entries = fields.read_objects(document, "vms")
    for entry in entries:
        check_vm(entry)
    return [{"state": "live", **entry} for entry in entries]


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, help="0 lets the kernel choose.")
@click.option("--vms",
              type=click.Path(exists=True, path_type=pathlib.Path),
              help="TOML or JSON file with a list `vms`.")
@click.option("--vm-lag-s", default=0.0, help="Delay of the VM list.")
def main(host: str, port: int, vms: pathlib.Path | None,
         vm_lag_s: float) -> None:
    """Serves the platform's protocols from memory."""
    entries = load_vms(vms) if vms else []
    vm_list = tables.VmList(lag_s=vm_lag_s, entries=entries)
    service = Platform(vms=vm_list)
    alarms = alarms_module.Alarms()
    listener = endpoint.Listener(name="platform",
                                 host=host,
                                 port=port,
                                 service=service,
                                 alarms=alarms)
    alarms.register(listener)
    endpoint.StopOnSignal().register(listener)
    print(json.dumps({"port": listener.port}), flush=True)
    listener.run()


if __name__ == "__main__":
    main()
