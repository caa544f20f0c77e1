"""Stand-in of worker VMs; one process can host a whole deployment."""

import json
import pathlib
import time
import tomllib
from typing import Any
from typing import NamedTuple
from typing import TextIO
import uuid

import circuits
import click
import httpx

from trefoilroad_standins import alarms as alarms_module
from trefoilroad_standins import endpoint
from trefoilroad_standins import fields
from trefoilroad_standins import tasks

COMMANDS_PATH = "/v1/"
REGISTER_TIMEOUT_S = 10.0
CAPACITY_FIELDS = ("accelerators", "cores", "memory_gb", "slots", "connections")


class Description(NamedTuple):
    """One worker to host.

    Attributes:
        worker_id: Id of the VM.
        failure_domain: Failure domain of the VM.
        rack: Rack of the VM.
        port: Port to listen on, 0 to let the kernel choose.
        capacity: Resources of the VM.
    """

    worker_id: str
    failure_domain: str
    rack: str
    port: int
    capacity: tasks.Capacity


class History:
    """Appends what happens on workers to a file, one JSON object a line."""

    def __init__(self, file: TextIO | None):
        """Uses an open file.

        Args:
            file: Where to append, None to keep nothing.
        """
        self._file = file

    def append(self, entries: list[tasks.Entry]) -> None:
        """Writes and flushes entries.

        Args:
            entries: What happened, in order.
        """
        if self._file is None or not entries:
            return
        offset_s = time.time() - time.monotonic()
        for entry in entries:
            line = {**entry, "wall_s": entry["at_s"] + offset_s}
            self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Worker(endpoint.Service):
    """Serves the worker protocol for one machine."""

    def __init__(self, *, machine: tasks.Machine, history: History,
                 alarms: alarms_module.Alarms):
        """Serves a machine.

        Args:
            machine: State of the worker.
            history: Where its events go.
            alarms: Ends tasks when their time comes.
        """
        self.machine = machine
        self._history = history
        self._alarms = alarms
        self._alarm_s: float | None = None

    def handle(self, call: endpoint.Call) -> endpoint.Action:
        """Answers one request, see endpoint.Service."""
        if not call.path.startswith(COMMANDS_PATH):
            return endpoint.build_error(404, "not_found", call.path)
        if call.method != "POST":
            return endpoint.build_error(405, "method_not_allowed")
        verb = call.path.removeprefix(COMMANDS_PATH)
        if verb not in tasks.VERBS:
            return endpoint.build_error(404, "not_found", call.path)
        body = fields.parse_object(call.body)
        return self._carry_out(verb, body)

    def _carry_out(self, verb: str, body: dict[str, Any]) -> endpoint.Reply:
        reply = self.machine.handle(verb, body, time.monotonic())
        self.settle()
        headers = {"X-Boot": self.machine.boot}
        if isinstance(reply.document, bytes):
            return endpoint.Reply(reply.status, reply.document,
                                  endpoint.BYTES_TYPE, headers)
        return endpoint.build_reply(reply.status,
                                    reply.document)._replace(headers=headers)

    def settle(self) -> None:
        """Writes the history and plans the next change of the machine."""
        self._history.append(self.machine.take_history())
        due_s = self.machine.predict_change()
        if due_s == float("inf"):
            return
        if self._alarm_s is None or due_s < self._alarm_s:
            self._alarm_s = due_s
            self._alarms.schedule(due_s, lambda: self._wake(due_s))

    def _wake(self, due_s: float) -> None:
        if due_s == self._alarm_s:
            self._alarm_s = None
        self.machine.advance(time.monotonic())
        self.settle()


class Site(circuits.BaseComponent):
    """All workers of one process."""

    channel = "site"

    def __init__(self, *, host: str, descriptions: list[Description],
                 history: History, usage_lag_s: float):
        """Binds a port for each worker.

        Args:
            host: Address to listen on.
            descriptions: The workers.
            history: Where events go.
            usage_lag_s: Age of the usage that workers report.
        """
        super().__init__()
        alarms = alarms_module.Alarms().register(self)
        checkpoints = tasks.Checkpoints()
        self.workers: dict[str, Worker] = {}
        self.entries: list[dict[str, Any]] = []
        for description in descriptions:
            machine = tasks.Machine(worker_id=description.worker_id,
                                    capacity=description.capacity,
                                    boot=uuid.uuid4().hex,
                                    checkpoints=checkpoints,
                                    usage_lag_s=usage_lag_s)
            worker = Worker(machine=machine, history=history, alarms=alarms)
            listener = endpoint.Listener(name=f"w:{description.worker_id}",
                                         host=host,
                                         port=description.port,
                                         service=worker,
                                         alarms=alarms)
            listener.register(self)
            self.workers[description.worker_id] = worker
            self.entries.append(build_entry(description, listener.address))


def build_entry(description: Description, address: str) -> dict[str, Any]:
    """Builds the VM list's entry of a worker.

    Args:
        description: The worker.
        address: Where it listens.

    Returns:
        The entry.
    """
    return {
        "id": description.worker_id,
        "address": address,
        "failure_domain": description.failure_domain,
        "rack": description.rack,
        **description.capacity._asdict(),
        "state": "live",
    }


def load_descriptions(path: pathlib.Path) -> list[Description]:
    """Reads workers from a TOML or JSON file with a list `workers`.

    Args:
        path: The file; its entries have the fields of the VM list, and `port`
            instead of the address.

    Returns:
        The workers.

    Raises:
        ProtocolError: If a field is absent or has the wrong type.
    """
    text = path.read_text()
    is_toml = path.suffix == ".toml"
    document = tomllib.loads(text) if is_toml else json.loads(text)
    return [
        Description(
            worker_id=fields.read_field(item, "id", str),
            failure_domain=fields.read_field(item, "failure_domain", str),
            rack=fields.read_field(item, "rack", str),
            port=fields.read_field(item, "port", int, default=0),
            capacity=tasks.Capacity(*(fields.read_field(item, name, int)
                                      for name in CAPACITY_FIELDS)))
        for item in fields.read_objects(document, "workers")
    ]


def build_descriptions(*, count: int, per_rack: int, failure_domains: int,
                       prefix: str,
                       capacity: tasks.Capacity) -> list[Description]:
    """Lays out equal workers in racks.

    Args:
        count: Number of workers.
        per_rack: Workers of one rack.
        failure_domains: Number of failure domains; racks take turns.
        prefix: Beginning of the ids.
        capacity: Resources of each worker.

    Returns:
        The workers, on ports that the kernel chooses.
    """
    descriptions = []
    for number in range(count):
        rack = number // per_rack
        domain = rack % failure_domains
        descriptions.append(
            Description(worker_id=f"{prefix}{number:03d}",
                        failure_domain=f"fd{domain}",
                        rack=f"fd{domain}-r{rack}",
                        port=0,
                        capacity=capacity))
    return descriptions


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, help="Port of a single worker.")
@click.option("--workers-file",
              type=click.Path(exists=True, path_type=pathlib.Path),
              help="TOML or JSON file with a list `workers`.")
@click.option("--count", default=1, show_default=True)
@click.option("--per-rack", default=6, show_default=True)
@click.option("--failure-domains", default=1, show_default=True)
@click.option("--id-prefix", default="w", show_default=True)
@click.option("--accelerators", default=8, show_default=True)
@click.option("--cores", default=64, show_default=True)
@click.option("--memory-gb", default=256, show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--connections", default=64, show_default=True)
@click.option("--usage-lag-s", default=2.0, show_default=True)
@click.option("--history",
              type=click.File("a"),
              help="Append-only JSON lines of what the workers did.")
@click.option("--register",
              help="URL of a platform whose VM list gets the workers.")
def main(host: str, port: int, workers_file: pathlib.Path | None, count: int,
         per_rack: int, failure_domains: int, id_prefix: str, accelerators: int,
         cores: int, memory_gb: int, slots: int, connections: int,
         usage_lag_s: float, history: TextIO | None,
         register: str | None) -> None:
    """Serves the worker protocol for one or many workers."""
    capacity = tasks.Capacity(accelerators, cores, memory_gb, slots,
                              connections)
    descriptions = (load_descriptions(workers_file) if workers_file else
                    build_descriptions(count=count,
                                       per_rack=per_rack,
                                       failure_domains=failure_domains,
                                       prefix=id_prefix,
                                       capacity=capacity))
    if port and len(descriptions) == 1:
        descriptions = [descriptions[0]._replace(port=port)]
    site = Site(host=host,
                descriptions=descriptions,
                history=History(history),
                usage_lag_s=usage_lag_s)
    endpoint.StopOnSignal().register(site)
    if register:
        httpx.post(f"{register}/v1/vms",
                   json={
                       "vms": site.entries
                   },
                   timeout=REGISTER_TIMEOUT_S).raise_for_status()
    print(json.dumps({"workers": site.entries}), flush=True)
    site.run()


if __name__ == "__main__":
    main()
