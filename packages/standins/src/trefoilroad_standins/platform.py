"""Stand-in process of the platform: table service, objects and VM list."""

import collections
from collections.abc import Iterable
import hashlib
import json
import pathlib
import time
import tomllib
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

import click

from trefoilroad_core import errors
from trefoilroad_standins import faults
from trefoilroad_standins import fields
from trefoilroad_standins import http_server
from trefoilroad_standins import http_service
from trefoilroad_standins import tables

OBJECTS_PATH = "/v1/objects/"
DIGEST_HEX_DIGITS = 16
COUNTED_KINDS = ("table", "objects", "vms")
VM_STATES = ("live", "leaving", "gone")


class Route(NamedTuple):
    """Method and path of an operation.

    Attributes:
        method: HTTP method.
        path: Path, without the key for objects.
    """

    method: str
    path: str


OPERATIONS: dict[Route, tuple[str, Literal["reads", "writes"]]] = {
    Route("POST", "/v1/commit"): ("table", "writes"),
    Route("GET", "/v1/rows"): ("table", "reads"),
    Route("GET", "/v1/row"): ("table", "reads"),
    Route("GET", OBJECTS_PATH): ("objects", "reads"),
    Route("PUT", OBJECTS_PATH): ("objects", "writes"),
    Route("GET", "/v1/vms"): ("vms", "reads"),
}
# Routes for tests, including the registration of VMs; no faults are injected.
CONTROL_ROUTES = frozenset({
    Route("POST", "/v1/vms"),
    Route("POST", "/control/faults"),
    Route("GET", "/control/counters"),
})
FAULT_KIND_BY_OPERATION = {
    ("table", "reads"): "table_reads",
    ("table", "writes"): "table_writes",
}
FAULT_KINDS = frozenset({"table_reads", "table_writes", "objects", "vms"})


class OperationCount(TypedDict):
    """Number of operations served.

    Attributes:
        reads: Number of reads.
        writes: Number of writes.
    """

    reads: int
    writes: int


class OperationCounters:
    """Counts operations by kind, in total and by node."""

    def __init__(self) -> None:
        self._total: dict[str, OperationCount] = {}
        self._nodes: dict[str, dict[str, OperationCount]] = {}
        self._commits: dict[str, collections.Counter[str]] = {}

    def add(self, kind: str, access: Literal["reads", "writes"],
            node: str) -> None:
        """Counts one operation.

        Args:
            kind: "table", "objects" or "vms".
            access: "reads" or "writes".
            node: Value of the X-Node header.
        """
        for counts in (self._total, self._nodes.setdefault(node, {})):
            count = counts.setdefault(kind, OperationCount(reads=0, writes=0))
            count[access] += 1

    def add_commit(self, node: str, keys: Iterable[str]) -> None:
        """Counts a commit that has been received, by each key that it writes.

        Args:
            node: Value of the X-Node header.
            keys: Keys of the rows.
        """
        self._commits.setdefault(node, collections.Counter()).update(keys)

    def describe(self) -> dict[str, Any]:
        """Returns all counts as the document of `/control/counters`."""
        zero = {
            kind: OperationCount(reads=0, writes=0) for kind in COUNTED_KINDS
        }
        return {
            "kinds": {
                **zero,
                **self._total
            },
            "nodes": self._nodes,
            "commits": self._commits
        }


class PlatformService(http_service.Service):
    """Serves the platform's HTTP protocol from memory."""

    def __init__(self, *, vms: tables.VmList, rules: faults.FaultRules):
        """Creates a platform with an empty table and no objects.

        Args:
            vms: The VM list.
            rules: Faults to inject.
        """
        self._table = tables.Table()
        self._objects: dict[str, bytes] = {}
        self._vms = vms
        self._faults = rules
        self._counters = OperationCounters()

    def handle(self,
               http_request: http_service.HttpRequest) -> http_service.Action:
        """Handles one request; see http_service.Service."""
        route = Route(http_request.method, http_request.path)
        if http_request.path.startswith(OBJECTS_PATH):
            route = Route(http_request.method, OBJECTS_PATH)
        if route in CONTROL_ROUTES:
            return self._handle_control(http_request)
        if route not in OPERATIONS:
            return http_service.build_error(404, "not_found", http_request.path)
        kind, access = OPERATIONS[route]
        self._counters.add(kind, access, http_request.node)
        if route.path == "/v1/commit":
            body = fields.parse_object(http_request.body)
            self._counters.add_commit(http_request.node, [
                fields.read_field(write, "key", str)
                for write in fields.read_objects(body, "writes")
            ])
        rule = self._faults.select_rule(
            FAULT_KIND_BY_OPERATION.get((kind, access), kind),
            http_request.node)
        return faults.inject(rule, lambda: self._serve(route, http_request))

    def _handle_control(
            self, http_request: http_service.HttpRequest) -> http_service.Reply:
        if http_request.path == "/control/counters":
            return http_service.build_reply(200, self._counters.describe())
        if http_request.path == "/v1/vms":
            return self._change_vms(http_request.body)
        rules = faults.parse_rules(http_request.body, FAULT_KINDS)
        if any(rule.mode == faults.Mode.REFUSE for rule in rules):
            raise errors.ProtocolError("mode refuse applies only to workers")
        self._faults.replace_rules(rules)
        return http_service.build_reply(200, {"ok": True})

    def _serve(self, route: Route,
               http_request: http_service.HttpRequest) -> http_service.Reply:
        if route.path == OBJECTS_PATH:
            return self._handle_object(http_request)
        if route.path == "/v1/commit":
            return self._commit(fields.parse_object(http_request.body))
        if route.path == "/v1/rows":
            return self._list_rows(http_request)
        if route.path == "/v1/row":
            key = fields.read_field(http_request.query, "key", str)
            return http_service.build_reply(200, self._table.get_row(key))
        entries = self._vms.list_entries(time.monotonic())
        text = json.dumps(entries, sort_keys=True)
        digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_HEX_DIGITS]
        unchanged = http_request.query.get("known") == digest
        return http_service.build_reply(200, {
            "digest": digest,
            "vms": None if unchanged else entries
        })

    def _commit(self, body: dict[str, Any]) -> http_service.Reply:
        conditions = [
            tables.Condition(fields.read_field(condition, "key", str),
                             fields.read_field(condition, "version", int))
            for condition in fields.read_objects(body, "conditions", default=[])
        ]
        writes = [
            tables.Write(fields.read_field(write, "key", str),
                         fields.read_field(write, "value", object))
            for write in fields.read_objects(body, "writes")
        ]
        if len({write.key for write in writes}) != len(writes):
            raise errors.ProtocolError("writes name a key twice")
        commit = self._table.commit(conditions, writes)
        if commit.conflicts:
            conflicts = [conflict._asdict() for conflict in commit.conflicts]
            return http_service.build_reply(409, {"conflicts": conflicts})
        return http_service.build_reply(200, {"version": commit.version})

    def _list_rows(
            self, http_request: http_service.HttpRequest) -> http_service.Reply:
        try:
            since = int(http_request.query.get("since", "0"))
        except ValueError as error:
            raise errors.ProtocolError("since is not a number") from error
        rows = self._table.list_rows(http_request.query.get("prefix", ""),
                                     since)
        return http_service.build_reply(200, {
            "version": self._table.version,
            "rows": rows
        })

    def _handle_object(
            self, http_request: http_service.HttpRequest) -> http_service.Reply:
        key = http_request.path.removeprefix(OBJECTS_PATH)
        if http_request.method == "PUT":
            self._objects[key] = http_request.body
            return http_service.build_reply(200, {
                "key": key,
                "length": len(http_request.body)
            })
        if key not in self._objects:
            return http_service.build_error(404, "not_found", key)
        return http_service.Reply(200, self._objects[key],
                                  http_service.BYTES_TYPE)

    def _change_vms(self, body: bytes) -> http_service.Reply:
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
            return http_service.build_error(404, "unknown_vm",
                                            ", ".join(unknown))
        return http_service.build_reply(200, {"ok": True})


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
        The entries; the state is "live" where none is given.

    Raises:
        ProtocolError: If an entry is invalid.
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
@click.option("--port", default=0, help="With 0 the kernel chooses one.")
@click.option("--vms",
              type=click.Path(exists=True, path_type=pathlib.Path),
              help="TOML or JSON file with a list `vms`.")
@click.option("--vm-lag-s", default=0.0, help="Delay of the VM list in s.")
@click.option("--seed",
              default=1,
              show_default=True,
              help="Seed of the faults.")
def main(host: str, port: int, vms: pathlib.Path | None, vm_lag_s: float,
         seed: int) -> None:
    """Serves the platform's protocols from memory."""
    entries = load_vms(vms) if vms else []
    vm_list = tables.VmList(lag_s=vm_lag_s, entries=entries)
    service = PlatformService(vms=vm_list, rules=faults.FaultRules(seed=seed))
    loop = http_server.EventLoop()
    listener = http_server.Listener(name="platform",
                                    host=host,
                                    port=port,
                                    service=service,
                                    loop=loop)
    print(json.dumps({"port": listener.port}), flush=True)
    loop.run()


if __name__ == "__main__":
    main()
