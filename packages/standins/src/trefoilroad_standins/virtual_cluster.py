"""Nodes, platform and workers in one process on a virtual clock.

The nodes run the production code (trefoilroad_node.node), the workers are
instances of worker_state.WorkerState, and the simulated network between them
delays, reorders and loses messages as the test demands.
"""

from collections.abc import Callable
from collections.abc import Mapping
import copy
import enum
import random
from typing import Any

from trefoilroad_core import errors
from trefoilroad_core import events
from trefoilroad_node import links as node_links
from trefoilroad_node import metrics
from trefoilroad_node import node as nodes
from trefoilroad_node import settings as node_settings
from trefoilroad_node import store as stores
from trefoilroad_node import workers as node_workers
from trefoilroad_standins import checkpoints as checkpoints_module
from trefoilroad_standins import clock as clocks
from trefoilroad_standins import tables
from trefoilroad_standins import tasks
from trefoilroad_standins import worker_state as worker_state_module

STORE_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 10.0
EXIT_CHECK_INTERVAL_S = 0.05
MIN_NETWORK_DELAY_S = 0.0005
MAX_NETWORK_DELAY_S = 0.005
REGION = "region"
OPERATOR_NAME = "operator"


class StoreMode(enum.Enum):
    """How the store behaves; applies to all nodes."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose answers"


class CommandFault(enum.Enum):
    """Fault that is injected into the delivery of a command to a worker."""

    REFUSE = "refuse"
    LOSE_COMMAND = "lose command"
    LOSE_ANSWER = "lose answer"
    CUT_SHORT = "cut short"


# Called after each step of the gang protocol with the name of the step and the
# worker id or the store key that it concerns.
OnStep = Callable[[str, str], None]


def ignore_step(step: str, subject: str) -> None:
    """Default step callback that does nothing."""


class Network:
    """Simulated network: delays, and cuts that block one direction each."""

    def __init__(self, *, clock: clocks.Clock, rng: random.Random):
        self.clock = clock
        self.rng = rng
        self.extra_delay_s = 0.0
        self._cuts: set[tuple[str, str]] = set()

    def cut(self, source: str, target: str) -> None:
        """Drops messages from source to target that are sent from now on."""
        self._cuts.add((source, target))

    def restore(self, source: str, target: str) -> None:
        """Ends the cut from source to target."""
        self._cuts.discard((source, target))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def send(self, source: str, target: str, callback: Callable[[],
                                                                None]) -> None:
        """Runs a callback after a network delay, unless the direction is cut.

        The cut is checked when the message is sent, not when it arrives.

        Args:
            source: Name of the sending host.
            target: Name of the receiving host.
            callback: Delivers the message.
        """
        if (source, target) in self._cuts:
            return
        delay_s = self.rng.uniform(MIN_NETWORK_DELAY_S, MAX_NETWORK_DELAY_S)
        delay_s += self.extra_delay_s * self.rng.random()
        self.clock.schedule(delay_s, callback)


class PendingCall:
    """A remote call that reports exactly one result: an answer or a timeout."""

    def __init__(self, *, host: clocks.Host, timeout_s: float,
                 timeout_result: Any, on_done: Callable[[Any], None]):
        self._host = host
        self._on_done = on_done
        self._is_complete = False
        host.clock.schedule(timeout_s, lambda: self.complete(timeout_result))

    def complete(self, result: Any) -> None:
        """Delivers the result to the caller; later results are ignored."""
        self._host.deliver(lambda: self._complete(result))

    def _complete(self, result: Any) -> None:
        if not self._is_complete:
            self._is_complete = True
            self._on_done(result)


class VirtualPlatform:
    """The platform's table service, object store and VM list, in memory."""

    HOST_NAME = "store"

    def __init__(self, *, vms: tables.VmList, clock: clocks.Clock,
                 rng: random.Random):
        self.table = tables.Table()
        self.objects: dict[str, bytes] = {}
        self.vms = vms
        self.mode = StoreMode.UP
        self.reads = 0
        self.writes = 0
        self.answers_to_lose = 0
        self.on_step: OnStep = ignore_step
        self._clock = clock
        self._rng = rng

    def commit(self, conditions: Mapping[str, int],
               writes: Mapping[str, Any]) -> Any:
        """Applies a commit; see Store.commit for the result."""
        self.writes += 1
        commit = self.table.commit(
            [tables.Condition(*item) for item in conditions.items()],
            [tables.Write(*item) for item in copy.deepcopy(writes).items()])
        if commit.conflicts:
            return errors.CommitConflict({
                conflict.key: conflict.version for conflict in commit.conflicts
            })
        if "config/current" in writes:
            self.on_step("config commit", "config/current")
        for key, value in writes.items():
            if key.startswith("request/"):
                self.on_step(f"{value['state']} commit", key)
        return commit.version

    def read_row(self, key: str) -> stores.Row:
        """Reads a row."""
        self.reads += 1
        return stores.Row(**copy.deepcopy(self.table.get_row(key)))

    def read_rows(self, prefix: str, since: int) -> stores.Rows:
        """Reads rows that changed."""
        self.reads += 1
        rows = copy.deepcopy(self.table.list_rows(prefix, since))
        return stores.Rows(version=self.table.version,
                           rows=[stores.Row(**row) for row in rows])

    def list_vms(self) -> list[dict[str, Any]]:
        """Reads the VM list."""
        self.reads += 1
        return self.vms.list_entries(self._clock.now_s)

    def put_object(self, key: str, data: bytes) -> str:
        """Stores an object."""
        self.writes += 1
        self.objects[key] = data
        self.on_step("stored answer", key)
        return key

    def get_object(self, key: str) -> bytes | None:
        """Reads an object."""
        self.reads += 1
        return self.objects.get(key)

    def should_drop_request(self) -> bool:
        """Tells whether a request is lost before it takes effect."""
        return self.mode is StoreMode.DOWN

    def should_drop_answer(self) -> bool:
        """Tells whether an answer is lost after the request took effect.

        Counts down `answers_to_lose`.
        """
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return True
        return (self.mode is StoreMode.LOSE_ANSWERS and
                self._rng.random() < 0.5)

    def draw_delay(self) -> float:
        """Returns how long an operation takes, in seconds."""
        if self.mode is StoreMode.SLOW:
            return self._rng.uniform(0.2, STORE_TIMEOUT_S * 1.2)
        return 0.0


class VirtualStore(stores.Store):
    """A node's client of the platform."""

    def __init__(self, *, name: str, host: clocks.Host, network: Network,
                 platform: VirtualPlatform):
        self._name = name
        self._host = host
        self._network = network
        self._platform = platform

    def commit(self, conditions: Mapping[str, int], writes: Mapping[str, Any],
               on_done: stores.OnResult) -> None:
        """See Store.commit."""
        # A real client encodes the rows at the time of the call, so changes
        # that the caller makes later must not be written.
        rows = copy.deepcopy(dict(writes))
        self._call(lambda: self._platform.commit(conditions, rows), on_done)

    def read_row(self, key: str, on_done: stores.OnResult) -> None:
        """See Store.read_row."""
        self._call(lambda: self._platform.read_row(key), on_done)

    def read_rows(self, prefix: str, since: int,
                  on_done: stores.OnResult) -> None:
        """See Store.read_rows."""
        self._call(lambda: self._platform.read_rows(prefix, since), on_done)

    def list_vms(self, on_done: stores.OnResult) -> None:
        """See Store.list_vms."""
        self._call(self._platform.list_vms, on_done)

    def put_object(self, key: str, data: bytes,
                   on_done: stores.OnResult) -> None:
        """See Store.put_object."""
        self._call(lambda: self._platform.put_object(key, data), on_done)

    def get_object(self, key: str, on_done: stores.OnResult) -> None:
        """See Store.get_object."""
        self._call(lambda: self._platform.get_object(key), on_done)

    def _call(self, operation: Callable[[], Any],
              on_done: stores.OnResult) -> None:
        call = PendingCall(host=self._host,
                           timeout_s=STORE_TIMEOUT_S,
                           timeout_result=errors.StoreUnavailable("timeout"),
                           on_done=on_done)
        platform = self._platform

        def arrive() -> None:
            if platform.should_drop_request():
                call.complete(errors.StoreUnavailable("status 503"))
                return
            self._network.clock.schedule(platform.draw_delay(), apply)

        def apply() -> None:
            result = operation()
            if not platform.should_drop_answer():
                self._network.send(VirtualPlatform.HOST_NAME, self._name,
                                   lambda: call.complete(result))

        self._network.send(self._name, VirtualPlatform.HOST_NAME, arrive)


class VirtualWorkers(node_workers.Workers):
    """A node's client of the workers."""

    def __init__(self, *, name: str, host: clocks.Host, network: Network,
                 cluster: "VirtualCluster"):
        self._name = name
        self._host = host
        self._network = network
        self._cluster = cluster

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Does nothing: workers are addressed by id."""

    def send(self, command: events.Command,
             on_done: node_workers.OnReplied) -> None:
        """See Workers.send."""
        call = PendingCall(host=self._host,
                           timeout_s=command.timeout_s,
                           timeout_result=events.CommandLost(
                               command.command_id),
                           on_done=on_done)
        body = copy.deepcopy(command.body)
        verb = command.path.removeprefix("/v1/")

        def arrive() -> None:
            reply = self._cluster.deliver_command(command.worker_id, verb, body)
            if reply is None or isinstance(reply.document, bytes):
                return
            replied = events.CommandReplied(command_id=command.command_id,
                                            status=reply.status,
                                            body=copy.deepcopy(reply.document))
            self._network.send(command.worker_id, self._name,
                               lambda: call.complete(replied))

        delay_s = self._cluster.command_delays.pop(verb, 0.0)
        self._network.clock.schedule(
            delay_s,
            lambda: self._network.send(self._name, command.worker_id, arrive))

    def fetch_answer(self, worker_id: str, attempt_id: str, epoch: int,
                     on_done: node_workers.OnFetched) -> None:
        """See Workers.fetch_answer."""
        call = PendingCall(host=self._host,
                           timeout_s=ANSWER_TIMEOUT_S,
                           timeout_result=None,
                           on_done=on_done)
        body = {"attempt": attempt_id, "epoch": epoch}

        def arrive() -> None:
            reply = self._cluster.deliver_command(worker_id, "answer", body)
            if reply is None:
                return
            document = reply.document
            data = document if isinstance(document, bytes) else None
            self._network.send(worker_id, self._name,
                               lambda: call.complete(data))

        self._network.send(self._name, worker_id, arrive)


class VirtualLinks(node_links.Links):
    """A node's links to the other nodes."""

    def __init__(self, *, name: str, network: Network,
                 cluster: "VirtualCluster"):
        self._name = name
        self._network = network
        self._cluster = cluster
        self._addresses: set[str] = set()

    def set_addresses(self, addresses: set[str]) -> None:
        """See Links.set_addresses."""
        self._addresses = set(addresses)

    def send(self, address: str, message: node_links.Message) -> bool:
        """See Links.send."""
        if address not in self._addresses:
            return False
        sent = copy.deepcopy(message)
        delay_s = self._cluster.message_delays.pop(message["type"], 0.0)
        self._network.clock.schedule(
            delay_s, lambda: self._network.send(
                self._name, address, lambda: self._cluster.deliver_message(
                    address, sent)))
        return True

    def broadcast(self, message: node_links.Message) -> None:
        """See Links.broadcast."""
        for address in sorted(self._addresses):
            self.send(address, message)


class VirtualNode:
    """One node and the simulated process that it runs in."""

    def __init__(self, *, name: str, cluster: "VirtualCluster"):
        self.name = name
        self.open_calls = 0
        self.host = clocks.Host(clock=cluster.clock)
        rng = random.Random(cluster.rng.getrandbits(64))
        # Monotonic clocks of different VMs start at unrelated values.
        timers = clocks.HostTimers(host=self.host,
                                   rng=rng,
                                   offset_s=rng.uniform(0, 1e6))
        settings = node_settings.Settings(node_id=name,
                                          region=REGION,
                                          failure_domain="a",
                                          listen="",
                                          link=name,
                                          peers=cluster.node_names,
                                          link_secret="",
                                          store="",
                                          operator_token_sha256="",
                                          max_body_bytes=1 << 20,
                                          max_open_requests=1000,
                                          statsd="",
                                          log_format="json",
                                          log_level="error")
        self.node = nodes.Node(settings=settings,
                               link_address=name,
                               timers=timers,
                               store=VirtualStore(name=name,
                                                  host=self.host,
                                                  network=cluster.network,
                                                  platform=cluster.platform),
                               workers=VirtualWorkers(name=name,
                                                      host=self.host,
                                                      network=cluster.network,
                                                      cluster=cluster),
                               links=VirtualLinks(name=name,
                                                  network=cluster.network,
                                                  cluster=cluster),
                               metrics=metrics.NullMetrics(),
                               rng=rng)

    @property
    def is_owner(self) -> bool:
        """Whether the node runs and acts as the owner of the region.

        Several nodes can be owners at a time, for example if the earlier owner
        was frozen during the takeover.
        """
        return self.host.alive and self.node.region.core is not None


class VirtualCluster:
    """Nodes, workers, network and platform, and the faults to inject."""

    def __init__(self,
                 *,
                 seed: int,
                 entries: list[dict[str, Any]],
                 node_names: tuple[str, ...],
                 vm_lag_s: float = 1.0):
        """Starts the workers and nodes.

        Args:
            seed: Seed of every random choice.
            entries: The VM list.
            node_names: Names of the nodes.
            vm_lag_s: Delay of the VM list in seconds.
        """
        self.rng = random.Random(seed)
        self.node_names = node_names
        self.clock = clocks.Clock()
        self.network = Network(clock=self.clock, rng=self.rng)
        vms = tables.VmList(lag_s=vm_lag_s, entries=entries)
        self.platform = VirtualPlatform(vms=vms, clock=self.clock, rng=self.rng)
        self.history: list[dict[str, Any]] = []
        self.unreachable_workers: set[str] = set()
        # Fault to inject into the next command, by verb.
        self.command_faults: dict[str, CommandFault] = {}
        # Delay of the next message between nodes in seconds, by type.
        self.message_delays: dict[str, float] = {}
        # Delay of the next command to a worker in seconds, by verb.
        self.command_delays: dict[str, float] = {}
        self.on_step: OnStep = ignore_step
        checkpoints = checkpoints_module.MemoryCheckpointStore()
        self.worker_states = {
            entry["id"]: self._build_worker_state(entry, checkpoints)
            for entry in entries
        }
        # Time of the scheduled call of `_advance`, by worker.
        self._planned_changes: dict[str, float] = {}
        self._restarts = 0
        self.nodes: dict[str, VirtualNode] = {}
        for name in node_names:
            self.start_node(name)

    def _build_worker_state(
        self, entry: dict[str,
                          Any], checkpoints: checkpoints_module.CheckpointStore
    ) -> worker_state_module.WorkerState:
        capacity = tasks.Capacity(accelerators=entry["accelerators"],
                                  cores=entry["cores"],
                                  memory_gb=entry["memory_gb"],
                                  slots=entry["slots"],
                                  connections=entry["connections"])
        return worker_state_module.WorkerState(worker_id=entry["id"],
                                               capacity=capacity,
                                               boot=f"{entry['id']}-0",
                                               checkpoints=checkpoints)

    # Nodes.

    def start_node(self, name: str) -> None:
        """Starts a node, or a new process in place of a dead one."""
        self.nodes[name] = VirtualNode(name=name, cluster=self)

    def kill_node(self, name: str) -> None:
        """Kills a node's process."""
        self.nodes[name].host.alive = False

    def find_owner(self) -> str | None:
        """Returns the owner with the highest epoch, or None without owner."""
        owners = [node for node in self.nodes.values() if node.is_owner]
        if not owners:
            return None
        return max(owners,
                   key=lambda node: node.node.ownership.owner.epoch).name

    def deliver_message(self, name: str, message: dict[str, Any]) -> None:
        """Delivers a message between nodes."""
        target = self.nodes.get(name)
        if target is not None:
            target.host.deliver(lambda: target.node.handle_message(message))

    def stop_node(self, name: str) -> None:
        """Stops a node gracefully.

        The process ends once its open calls have ended, or at the latest
        after STOP_TIMEOUT_S.
        """
        node = self.nodes[name]
        deadline_s = self.clock.now_s + STOP_TIMEOUT_S
        node.host.deliver(lambda: node.node.begin_stop(
            lambda: self._schedule_exit_check(node, deadline_s)))

    def _schedule_exit_check(self, node: VirtualNode,
                             deadline_s: float) -> None:
        self.clock.schedule(EXIT_CHECK_INTERVAL_S,
                            lambda: self._exit_when_idle(node, deadline_s))

    def _exit_when_idle(self, node: VirtualNode, deadline_s: float) -> None:
        if not node.open_calls or self.clock.now_s >= deadline_s:
            node.host.alive = False
        else:
            self._schedule_exit_check(node, deadline_s)

    # Workers.

    def deliver_command(
            self, worker_id: str, verb: str,
            body: dict[str, Any]) -> worker_state_module.CommandReply | None:
        """Carries out a command on a worker, under the fault set for its verb.

        Args:
            worker_id: Id of the worker.
            verb: Name of the command.
            body: Decoded body of the command.

        Returns:
            The reply, or None if the worker does not answer.
        """
        worker_state = self.worker_states.get(worker_id)
        if worker_state is None or worker_id in self.unreachable_workers:
            return None
        fault = self.command_faults.pop(verb, None)
        if fault is CommandFault.LOSE_COMMAND:
            return None
        if fault is CommandFault.REFUSE:
            return worker_state.refuse(verb)
        reply = worker_state.handle(verb, body, self.clock.now_s)
        self._record_and_plan(worker_state)
        self.on_step(f"{verb} command", worker_id)
        if fault is CommandFault.CUT_SHORT and isinstance(
                reply.document, bytes):
            return reply._replace(document=reply.document[:-1])
        return None if fault is CommandFault.LOSE_ANSWER else reply

    def restart_worker(self, worker_id: str) -> None:
        """Restarts a worker's process, which loses its state."""
        self._restarts += 1
        worker_state = self.worker_states[worker_id]
        worker_state.restart(f"{worker_id}-{self._restarts}", self.clock.now_s)
        self._record_and_plan(worker_state)

    def set_vm_state(self, worker_id: str, state: str) -> None:
        """Changes a worker's state in the VM list."""
        self.platform.vms.change({
            "id": worker_id,
            "state": state
        }, self.clock.now_s)

    def _record_and_plan(self,
                         worker_state: worker_state_module.WorkerState) -> None:
        for entry in worker_state.take_history():
            self.history.append({**entry, "wall_s": entry["at_s"]})
        due_s = worker_state.predict_change()
        next_change_s = self._planned_changes.get(worker_state.worker_id,
                                                  float("inf"))
        if due_s < next_change_s:
            self._planned_changes[worker_state.worker_id] = due_s
            self.clock.schedule(due_s - self.clock.now_s,
                                lambda: self._advance(worker_state, due_s))

    def _advance(self, worker_state: worker_state_module.WorkerState,
                 due_s: float) -> None:
        if self._planned_changes.get(worker_state.worker_id) == due_s:
            del self._planned_changes[worker_state.worker_id]
        worker_state.advance(self.clock.now_s)
        self._record_and_plan(worker_state)

    # Operators.

    def publish(self,
                name: str,
                documents: Mapping[str, str],
                on_done: Callable[[Any], None] = lambda _: None) -> None:
        """Publishes documents through a node.

        The base version is the one that is in force on the node.

        Args:
            name: Name of the node.
            documents: Text by file name.
            on_done: Called with the result.
        """
        node = self.nodes[name]
        publication = node.node.publication
        node.host.deliver(lambda: publication.publish(
            documents=documents,
            base_version=publication.current.configuration.version,
            who=OPERATOR_NAME,
            workers=node.node.region.fleet,
            on_done=on_done))

    def run(self, duration_s: float) -> None:
        """Advances the virtual clock by a duration in seconds."""
        self.clock.run(duration_s)


def build_vm_entries(*,
                     count: int,
                     per_rack: int,
                     failure_domains: int,
                     accelerators: int = 8) -> list[dict[str, Any]]:
    """Builds a VM list of identical workers.

    Args:
        count: Number of workers.
        per_rack: Number of workers in a rack.
        failure_domains: Number of failure domains; racks are assigned to them
            in turn.
        accelerators: Accelerators of a worker.

    Returns:
        The entries.
    """
    return [{
        "id": f"w{index:03d}",
        "address": f"10.0.0.{index % 250 + 1}:9000",
        "failure_domain": f"fd{index // per_rack % failure_domains}",
        "rack": f"r{index // per_rack}",
        "accelerators": accelerators,
        "cores": 64,
        "memory_gb": 256,
        "slots": 8,
        "connections": 64,
        "state": "live"
    } for index in range(count)]
