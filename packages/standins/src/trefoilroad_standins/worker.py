"""Stand-in of worker VMs; one process can host a whole deployment."""

import json
import math
import pathlib
import time
import tomllib
from typing import Any
from typing import NamedTuple
from typing import TextIO
import uuid

import click
import httpx

from trefoilroad_core import errors
from trefoilroad_standins import alarms as alarms_module
from trefoilroad_standins import checkpoints as checkpoints_module
from trefoilroad_standins import endpoint
from trefoilroad_standins import exchange
from trefoilroad_standins import faults
from trefoilroad_standins import fields
from trefoilroad_standins import history
from trefoilroad_standins import machine as machine_module
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


class Worker(exchange.Service):
    """Serves the worker protocol for one machine."""

    def __init__(self, *, machine: machine_module.Machine, rules: faults.Faults,
                 record: history.History, alarms: alarms_module.Alarms):
        """Serves a machine.

        Args:
            machine: State of the worker.
            rules: Faults to show.
            record: Where the machine's events go.
            alarms: Ends tasks when their time comes.
        """
        self.machine = machine
        self._faults = rules
        self._record = record
        self._alarms = alarms
        self._alarm_s = math.inf

    def handle(self, call: exchange.Call) -> exchange.Action:
        """Answers one request, see exchange.Service."""
        verb = call.path.removeprefix(COMMANDS_PATH)
        if verb not in machine_module.VERBS or verb == call.path:
            return exchange.build_error(404, "not_found", call.path)
        if call.method != "POST":
            return exchange.build_error(405, "method_not_allowed")
        rule = self._faults.pick(verb, call.node, self.machine.worker_id)
        refuses = rule is not None and rule.mode == faults.Mode.REFUSE
        if refuses and verb in machine_module.REFUSABLE:
            return faults.inject(rule, lambda: self._refuse(verb))
        return faults.inject(rule, lambda: self._carry_out(verb, call.body))

    def _refuse(self, verb: str) -> exchange.Reply:
        document = {
            "error": machine_module.REFUSABLE[verb],
            "boot": self.machine.boot
        }
        return exchange.build_reply(409, document)

    def _carry_out(self, verb: str, body: bytes) -> exchange.Reply:
        document = fields.parse_object(body)
        reply = self.machine.handle(verb, document, time.monotonic())
        self.settle()
        headers = {"X-Boot": self.machine.boot}
        if isinstance(reply.document, bytes):
            return exchange.Reply(reply.status, reply.document,
                                  exchange.BYTES_TYPE, headers)
        encoded = exchange.build_reply(reply.status, reply.document)
        return encoded._replace(headers=headers)

    def settle(self) -> None:
        """Writes the history and plans the next change of the machine."""
        for entry in self.machine.take_history():
            self._record.append(entry)
        due_s = self.machine.predict_change()
        if due_s < self._alarm_s:
            self._alarm_s = due_s
            self._alarms.schedule(due_s, lambda: self._wake(due_s))

    def _wake(self, due_s: float) -> None:
        if due_s != self._alarm_s:
            return
        self._alarm_s = math.inf
        self.machine.advance(time.monotonic())
        self.settle()


class Control(exchange.Service):
    """Sets faults and states of all workers of the process."""

    def __init__(self, *, workers: dict[str, Worker], rules: faults.Faults):
        """Controls workers.

        Args:
            workers: The workers by id.
            rules: Faults that they share.
        """
        self._workers = workers
        self._faults = rules

    def handle(self, call: exchange.Call) -> exchange.Action:
        """Answers one request, see exchange.Service."""
        route = (call.method, call.path)
        if route == ("POST", "/control/faults"):
            kinds = frozenset(machine_module.VERBS)
            self._faults.replace(faults.parse_rules(call.body, kinds))
        elif route == ("POST", "/control/state"):
            self._change_states(fields.parse_object(call.body))
        else:
            return exchange.build_error(404, "not_found", call.path)
        return exchange.build_reply(200, {"ok": True})

    def _change_states(self, body: dict[str, Any]) -> None:
        ids = fields.read_strings(body, "workers", default=[*self._workers])
        leaving = fields.read_field(body, "leaving", bool, default=None)
        fails = fields.read_field(body, "fail_everything", bool, default=None)
        restart = fields.read_field(body, "restart", bool, default=False)
        unknown = set(ids) - self._workers.keys()
        if unknown:
            raise errors.ProtocolError(f"unknown workers {sorted(unknown)}")
        for worker_id in ids:
            worker = self._workers[worker_id]
            change_state(worker.machine, leaving, fails, restart)
            worker.settle()


def change_state(machine: machine_module.Machine, leaving: bool | None,
                 fails: bool | None, restart: bool) -> None:
    """Changes the state of a worker from outside.

    Args:
        machine: The worker.
        leaving: Whether it is leaving, None to keep that.
        fails: Whether every task fails, None to keep that.
        restart: Whether its process restarts.
    """
    now_s = time.monotonic()
    if leaving is not None:
        machine.leaving = leaving
    if fails is not None:
        machine.fail_everything(fails, now_s)
    if restart:
        machine.restart(uuid.uuid4().hex, now_s)


class Site:
    """All workers of one process.

    Attributes:
        entries: The workers' entries for the VM list.
        control_port: Port of the control interface.
    """

    def __init__(self, *, loop: endpoint.Loop, host: str,
                 descriptions: list[Description], record: history.History,
                 checkpoints: checkpoints_module.Checkpoints,
                 usage_lag_s: float, seed: int):
        """Binds a port for each worker and one for control.

        Args:
            loop: Where everything runs.
            host: Address to listen on.
            descriptions: The workers.
            record: Where events go.
            checkpoints: Where progress of stopped tasks is kept.
            usage_lag_s: Age of the usage that workers report.
            seed: Seed of the faults.
        """
        self._loop = loop
        self._host = host
        self._record = record
        self._faults = faults.Faults(seed=seed)
        self._checkpoints = checkpoints
        self._usage_lag_s = usage_lag_s
        self._workers: dict[str, Worker] = {}
        self.entries = [self._add(description) for description in descriptions]
        control = Control(workers=self._workers, rules=self._faults)
        self.control_port = self._listen("control", 0, control).port

    def _listen(self, name: str, port: int,
                service: exchange.Service) -> endpoint.Listener:
        return endpoint.Listener(name=name,
                                 host=self._host,
                                 port=port,
                                 service=service,
                                 loop=self._loop)

    def _add(self, description: Description) -> dict[str, Any]:
        machine = machine_module.Machine(worker_id=description.worker_id,
                                         capacity=description.capacity,
                                         boot=uuid.uuid4().hex,
                                         checkpoints=self._checkpoints,
                                         usage_lag_s=self._usage_lag_s)
        worker = Worker(machine=machine,
                        rules=self._faults,
                        record=self._record,
                        alarms=self._loop.alarms)
        self._workers[description.worker_id] = worker
        name = f"worker:{description.worker_id}"
        listener = self._listen(name, description.port, worker)
        return build_entry(description, listener.address)


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


def register_workers(url: str, entries: list[dict[str, Any]]) -> None:
    """Adds workers to the VM list of a platform.

    Args:
        url: URL of the platform.
        entries: Entries of the list.

    Raises:
        httpx.HTTPError: If the platform does not accept them.
    """
    reply = httpx.post(f"{url}/v1/vms",
                       json={"vms": entries},
                       timeout=REGISTER_TIMEOUT_S)
    reply.raise_for_status()


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
@click.option("--seed", default=1, show_default=True, help="For faults.")
@click.option("--history",
              "history_file",
              type=click.File("a"),
              help="Append-only JSON lines of what the workers did.")
@click.option("--checkpoints",
              "checkpoint_directory",
              type=click.Path(exists=True,
                              file_okay=False,
                              path_type=pathlib.Path),
              help="Directory that several worker processes share.")
@click.option("--register",
              help="URL of a platform whose VM list gets the workers.")
def main(host: str, port: int, workers_file: pathlib.Path | None, count: int,
         per_rack: int, failure_domains: int, id_prefix: str, accelerators: int,
         cores: int, memory_gb: int, slots: int, connections: int,
         usage_lag_s: float, seed: int, history_file: TextIO | None,
         checkpoint_directory: pathlib.Path | None,
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
    checkpoints: checkpoints_module.Checkpoints = (
        checkpoints_module.DirectoryCheckpoints(checkpoint_directory)
        if checkpoint_directory else checkpoints_module.MemoryCheckpoints())
    loop = endpoint.Loop()
    site = Site(loop=loop,
                host=host,
                descriptions=descriptions,
                record=history.History(history_file),
                checkpoints=checkpoints,
                usage_lag_s=usage_lag_s,
                seed=seed)
    if register:
        register_workers(register, site.entries)
    ready = {"port": site.control_port, "workers": site.entries}
    print(json.dumps(ready), flush=True)
    loop.run()


if __name__ == "__main__":
    main()
