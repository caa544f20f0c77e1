"""Stand-in of worker VMs; one process can host all workers of a fleet."""

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
from trefoilroad_standins import faults
from trefoilroad_standins import fields
from trefoilroad_standins import history
from trefoilroad_standins import http_server
from trefoilroad_standins import http_service
from trefoilroad_standins import tasks
from trefoilroad_standins import worker_state as worker_state_module

COMMANDS_PATH = "/v1/"
REGISTER_TIMEOUT_S = 10.0
CAPACITY_FIELDS = ("accelerators", "cores", "memory_gb", "slots", "connections")


class WorkerDescription(NamedTuple):
    """Describes one worker to host.

    Attributes:
        worker_id: Id of the VM.
        failure_domain: Failure domain of the VM.
        rack: Rack of the VM.
        port: Port to listen on; with 0 the kernel chooses one.
        capacity: Resources of the VM.
    """

    worker_id: str
    failure_domain: str
    rack: str
    port: int
    capacity: tasks.Capacity


class WorkerService(http_service.Service):
    """Serves the worker protocol for one worker."""

    def __init__(self, *, worker_state: worker_state_module.WorkerState,
                 rules: faults.FaultRules, worker_history: history.History,
                 alarms: alarms_module.Alarms):
        """Creates the service of a worker.

        Args:
            worker_state: State machine of the worker.
            rules: Faults to inject.
            worker_history: Receives the worker's history.
            alarms: Schedules the ends of tasks and reservations.
        """
        self.worker_state = worker_state
        self._faults = rules
        self._worker_history = worker_history
        self._alarms = alarms
        self._next_change_s = math.inf

    def handle(self,
               http_request: http_service.HttpRequest) -> http_service.Action:
        """Handles one request; see http_service.Service."""
        verb = http_request.path.removeprefix(COMMANDS_PATH)
        if (verb not in worker_state_module.COMMANDS or
                verb == http_request.path):
            return http_service.build_error(404, "not_found", http_request.path)
        if http_request.method != "POST":
            return http_service.build_error(405, "method_not_allowed")
        rule = self._faults.select_rule(verb, http_request.node,
                                        self.worker_state.worker_id)
        refuses = rule is not None and rule.mode == faults.Mode.REFUSE
        if refuses and verb in worker_state_module.REFUSAL_ERRORS:
            return faults.inject(rule, lambda: self._refuse(verb))
        return faults.inject(rule,
                             lambda: self._execute(verb, http_request.body))

    def _refuse(self, verb: str) -> http_service.Reply:
        document = {
            "error": worker_state_module.REFUSAL_ERRORS[verb],
            "boot": self.worker_state.boot
        }
        return http_service.build_reply(409, document)

    def _execute(self, verb: str, body: bytes) -> http_service.Reply:
        document = fields.parse_object(body)
        reply = self.worker_state.handle(verb, document, time.monotonic())
        self.record_and_plan()
        headers = {"X-Boot": self.worker_state.boot}
        if isinstance(reply.document, bytes):
            return http_service.Reply(reply.status, reply.document,
                                      http_service.BYTES_TYPE, headers)
        encoded = http_service.build_reply(reply.status, reply.document)
        return encoded._replace(headers=headers)

    def record_and_plan(self) -> None:
        """Writes new history entries and schedules the next state change."""
        for entry in self.worker_state.take_history():
            self._worker_history.append(entry)
        due_s = self.worker_state.predict_change()
        if due_s < self._next_change_s:
            self._next_change_s = due_s
            self._alarms.schedule(due_s, lambda: self._advance(due_s))

    def _advance(self, due_s: float) -> None:
        if due_s != self._next_change_s:
            return
        self._next_change_s = math.inf
        self.worker_state.advance(time.monotonic())
        self.record_and_plan()


class ControlService(http_service.Service):
    """Serves the control interface: faults and states of all workers."""

    def __init__(self, *, workers: dict[str, WorkerService],
                 rules: faults.FaultRules):
        """Creates the service.

        Args:
            workers: The workers by id.
            rules: The fault rules, which all workers share.
        """
        self._workers = workers
        self._faults = rules

    def handle(self,
               http_request: http_service.HttpRequest) -> http_service.Action:
        """Handles one request; see http_service.Service."""
        route = (http_request.method, http_request.path)
        if route == ("POST", "/control/faults"):
            kinds = frozenset(worker_state_module.COMMANDS)
            self._faults.replace_rules(
                faults.parse_rules(http_request.body, kinds))
        elif route == ("POST", "/control/state"):
            self._change_states(fields.parse_object(http_request.body))
        else:
            return http_service.build_error(404, "not_found", http_request.path)
        return http_service.build_reply(200, {"ok": True})

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
            change_state(worker.worker_state, leaving, fails, restart)
            worker.record_and_plan()


def change_state(worker_state: worker_state_module.WorkerState,
                 leaving: bool | None, fails: bool | None,
                 restart: bool) -> None:
    """Changes the state of a worker on request of the control interface.

    Args:
        worker_state: The worker.
        leaving: Whether it is leaving; None leaves that unchanged.
        fails: Whether every task fails; None leaves that unchanged.
        restart: Whether to restart the worker.
    """
    now_s = time.monotonic()
    if leaving is not None:
        worker_state.leaving = leaving
    if fails is not None:
        worker_state.fail_everything(fails, now_s)
    if restart:
        worker_state.restart(uuid.uuid4().hex, now_s)


class HostedWorkers:
    """Listeners of all workers of the process and of the control interface.

    Attributes:
        entries: The VM list's entries of the workers.
        control_port: Port of the control interface.
    """

    def __init__(self, *, loop: http_server.EventLoop, host: str,
                 descriptions: list[WorkerDescription],
                 worker_history: history.History,
                 checkpoints: checkpoints_module.CheckpointStore,
                 usage_lag_s: float, seed: int):
        """Binds a port for each worker and one for control.

        Args:
            loop: Event loop of the process.
            host: Address to listen on.
            descriptions: The workers.
            worker_history: Receives the history of all workers.
            checkpoints: Store of the progress of stopped tasks.
            usage_lag_s: Age of the usage that workers report, in seconds.
            seed: Seed of the random choice of faults.
        """
        self._loop = loop
        self._host = host
        self._worker_history = worker_history
        self._faults = faults.FaultRules(seed=seed)
        self._checkpoints = checkpoints
        self._usage_lag_s = usage_lag_s
        self._workers: dict[str, WorkerService] = {}
        self.entries = [self._add(description) for description in descriptions]
        control = ControlService(workers=self._workers, rules=self._faults)
        self.control_port = self._listen("control", 0, control).port

    def _listen(self, name: str, port: int,
                service: http_service.Service) -> http_server.Listener:
        return http_server.Listener(name=name,
                                    host=self._host,
                                    port=port,
                                    service=service,
                                    loop=self._loop)

    def _add(self, description: WorkerDescription) -> dict[str, Any]:
        worker_state = worker_state_module.WorkerState(
            worker_id=description.worker_id,
            capacity=description.capacity,
            boot=uuid.uuid4().hex,
            checkpoints=self._checkpoints,
            usage_lag_s=self._usage_lag_s)
        worker = WorkerService(worker_state=worker_state,
                               rules=self._faults,
                               worker_history=self._worker_history,
                               alarms=self._loop.alarms)
        self._workers[description.worker_id] = worker
        name = f"worker:{description.worker_id}"
        listener = self._listen(name, description.port, worker)
        return build_vm_entry(description, listener.address)


def build_vm_entry(description: WorkerDescription,
                   address: str) -> dict[str, Any]:
    """Builds the VM list's entry of a worker.

    Args:
        description: The worker.
        address: Host and port that it listens on.

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


def load_descriptions(path: pathlib.Path) -> list[WorkerDescription]:
    """Reads workers from a TOML or JSON file with a list `workers`.

    Args:
        path: The file; its entries have the fields of the VM list, with an
            optional `port` instead of the address.

    Returns:
        The workers.

    Raises:
        ProtocolError: If a field is absent or has the wrong type.
    """
    text = path.read_text()
    is_toml = path.suffix == ".toml"
    document = tomllib.loads(text) if is_toml else json.loads(text)
    return [
        WorkerDescription(
            worker_id=fields.read_field(entry, "id", str),
            failure_domain=fields.read_field(entry, "failure_domain", str),
            rack=fields.read_field(entry, "rack", str),
            port=fields.read_field(entry, "port", int, default=0),
            capacity=tasks.Capacity(*(fields.read_field(entry, name, int)
                                      for name in CAPACITY_FIELDS)))
        for entry in fields.read_objects(document, "workers")
    ]


def build_descriptions(*, count: int, per_rack: int, failure_domains: int,
                       prefix: str,
                       capacity: tasks.Capacity) -> list[WorkerDescription]:
    """Builds descriptions of identical workers in racks.

    Args:
        count: Number of workers.
        per_rack: Number of workers in a rack.
        failure_domains: Number of failure domains; racks are assigned to them
            in turn.
        prefix: Prefix of the worker ids.
        capacity: Resources of each worker.

    Returns:
        The descriptions, with ports that the kernel chooses.
    """
    descriptions = []
    for number in range(count):
        rack = number // per_rack
        domain = rack % failure_domains
        descriptions.append(
            WorkerDescription(worker_id=f"{prefix}{number:03d}",
                              failure_domain=f"fd{domain}",
                              rack=f"fd{domain}-r{rack}",
                              port=0,
                              capacity=capacity))
    return descriptions


def register_workers(url: str, entries: list[dict[str, Any]]) -> None:
    """Adds workers to the VM list of a platform.

    Args:
        url: URL of the platform.
        entries: Entries of the VM list.

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
@click.option("--seed",
              default=1,
              show_default=True,
              help="Seed of the faults.")
@click.option("--history",
              "history_file",
              type=click.File("a"),
              help="File to append the workers' history to, as JSON lines.")
@click.option("--checkpoints",
              "checkpoint_directory",
              type=click.Path(exists=True,
                              file_okay=False,
                              path_type=pathlib.Path),
              help="Existing directory, may be shared by worker processes.")
@click.option("--register",
              help="URL of a platform to register the workers with.")
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
    checkpoints: checkpoints_module.CheckpointStore = (
        checkpoints_module.DirectoryCheckpointStore(checkpoint_directory)
        if checkpoint_directory else checkpoints_module.MemoryCheckpointStore())
    loop = http_server.EventLoop()
    hosted = HostedWorkers(loop=loop,
                           host=host,
                           descriptions=descriptions,
                           worker_history=history.History(history_file),
                           checkpoints=checkpoints,
                           usage_lag_s=usage_lag_s,
                           seed=seed)
    if register:
        register_workers(register, hosted.entries)
    ready = {"port": hosted.control_port, "workers": hosted.entries}
    print(json.dumps(ready), flush=True)
    loop.run()


if __name__ == "__main__":
    main()
