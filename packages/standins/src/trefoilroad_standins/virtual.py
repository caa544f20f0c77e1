"""Nodes, platform and workers in one process on a virtual clock.

The nodes are the real ones (trefoilroad_node.node), the workers are the
stand-in's state machines, and the network between them delays, reorders, loses
and cuts as told. Nothing here decides anything.
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
from trefoilroad_standins import machine as machines
from trefoilroad_standins import tables
from trefoilroad_standins import tasks

STORE_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 10.0
STOP_POLL_S = 0.05
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.005
REGION = "region"
OPERATOR = "operator"


class StoreMode(enum.Enum):
    """How the store behaves towards one node or all."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose answers"


class Fate(enum.Enum):
    """What happens to a command on its way to a worker."""

    REFUSE = "refuse"
    LOSE_COMMAND = "lose command"
    LOSE_ANSWER = "lose answer"
    CUT_SHORT = "cut short"


# Called with a step of the gang protocol and the worker or key it concerns.
Observe = Callable[[str, str], None]


def ignore_step(step: str, subject: str) -> None:
    """Observes nothing."""


class Network:
    """Delays and cuts between hosts; a cut may be one way."""

    def __init__(self, *, clock: clocks.Clock, rng: random.Random):
        self.clock = clock
        self.rng = rng
        self.extra_delay_s = 0.0
        self._cuts: set[tuple[str, str]] = set()

    def cut(self, source: str, target: str) -> None:
        """Drops everything from source to target."""
        self._cuts.add((source, target))

    def join(self, source: str, target: str) -> None:
        """Ends the cut from source to target."""
        self._cuts.discard((source, target))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def send(self, source: str, target: str, callback: Callable[[],
                                                                None]) -> None:
        """Runs a callback at the target, unless the way is cut."""
        if (source, target) in self._cuts:
            return
        delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        delay_s += self.extra_delay_s * self.rng.random()
        self.clock.schedule(delay_s, callback)


class Call:
    """A call with exactly one result: an answer or a timeout."""

    def __init__(self, *, host: clocks.Host, timeout_s: float, lost: Any,
                 on_done: Callable[[Any], None]):
        self._host = host
        self._on_done = on_done
        self._ended = False
        host.clock.schedule(timeout_s, lambda: self.end(lost))

    def end(self, result: Any) -> None:
        """Delivers the result to the caller, if it is the first."""
        self._host.deliver(lambda: self._end(result))

    def _end(self, result: Any) -> None:
        if not self._ended:
            self._ended = True
            self._on_done(result)


class Platform:
    """Table service, object store and VM list in memory."""

    NAME = "store"

    def __init__(self, *, vms: tables.VmList, clock: clocks.Clock,
                 rng: random.Random):
        self.table = tables.Table()
        self.objects: dict[str, bytes] = {}
        self.vms = vms
        self.mode = StoreMode.UP
        self.reads = 0
        self.writes = 0
        self.lost_answers = 0
        self.observe: Observe = ignore_step
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
            self.observe("config commit", "config/current")
        for key, value in writes.items():
            if key.startswith("request/"):
                self.observe(f"{value['state']} commit", key)
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
        self.observe("stored answer", key)
        return key

    def get_object(self, key: str) -> bytes | None:
        """Reads an object."""
        self.reads += 1
        return self.objects.get(key)

    def loses_request(self) -> bool:
        """Tells whether a request has no effect."""
        return self.mode is StoreMode.DOWN

    def loses_answer(self) -> bool:
        """Tells whether an answer is lost after the effect."""
        if self.lost_answers:
            self.lost_answers -= 1
            return True
        return (self.mode is StoreMode.LOSE_ANSWERS and
                self._rng.random() < 0.5)

    def draw_delay(self) -> float:
        """Returns the time that an operation takes, in seconds."""
        if self.mode is StoreMode.SLOW:
            return self._rng.uniform(0.2, STORE_TIMEOUT_S * 1.2)
        return 0.0


class VirtualStore(stores.Store):
    """A node's client of the platform."""

    def __init__(self, *, name: str, host: clocks.Host, network: Network,
                 platform: Platform):
        self._name = name
        self._host = host
        self._network = network
        self._platform = platform

    def commit(self, conditions: Mapping[str, int], writes: Mapping[str, Any],
               on_done: stores.OnResult) -> None:
        """See Store.commit."""
        # The row is fixed at the time of the call, as if encoded.
        fixed = copy.deepcopy(dict(writes))
        self._call(lambda: self._platform.commit(conditions, fixed), on_done)

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

    def _call(self, operate: Callable[[], Any],
              on_done: stores.OnResult) -> None:
        call = Call(host=self._host,
                    timeout_s=STORE_TIMEOUT_S,
                    lost=errors.StoreUnavailable("timeout"),
                    on_done=on_done)
        platform = self._platform

        def arrive() -> None:
            if platform.loses_request():
                call.end(errors.StoreUnavailable("status 503"))
                return
            self._network.clock.schedule(platform.draw_delay(), apply)

        def apply() -> None:
            result = operate()
            if not platform.loses_answer():
                self._network.send(Platform.NAME, self._name,
                                   lambda: call.end(result))

        self._network.send(self._name, Platform.NAME, arrive)


class VirtualWorkers(node_workers.Workers):
    """A node's way to the workers."""

    def __init__(self, *, name: str, host: clocks.Host, network: Network,
                 world: "World"):
        self._name = name
        self._host = host
        self._network = network
        self._world = world

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Does nothing: workers are found by name."""

    def send(self, command: events.Command,
             on_done: node_workers.OnAnswered) -> None:
        """See Workers.send."""
        call = Call(host=self._host,
                    timeout_s=command.timeout_s,
                    lost=events.CommandLost(command.command_id),
                    on_done=on_done)
        body = copy.deepcopy(command.body)
        verb = command.path.removeprefix("/v1/")

        def arrive() -> None:
            reply = self._world.command(command.worker_id, verb, body)
            if reply is None or isinstance(reply.document, bytes):
                return
            answered = events.CommandAnswered(command_id=command.command_id,
                                              status=reply.status,
                                              body=copy.deepcopy(
                                                  reply.document))
            self._network.send(command.worker_id, self._name,
                               lambda: call.end(answered))

        delay_s = self._world.command_delays.pop(verb, 0.0)
        self._network.clock.schedule(
            delay_s,
            lambda: self._network.send(self._name, command.worker_id, arrive))

    def fetch_answer(self, worker_id: str, attempt_id: str, epoch: int,
                     on_done: node_workers.OnFetched) -> None:
        """See Workers.fetch_answer."""
        call = Call(host=self._host,
                    timeout_s=ANSWER_TIMEOUT_S,
                    lost=None,
                    on_done=on_done)
        body = {"attempt": attempt_id, "epoch": epoch}

        def arrive() -> None:
            reply = self._world.command(worker_id, "answer", body)
            if reply is None:
                return
            document = reply.document
            data = document if isinstance(document, bytes) else None
            self._network.send(worker_id, self._name, lambda: call.end(data))

        self._network.send(self._name, worker_id, arrive)


class VirtualLinks(node_links.Links):
    """A node's links to the others."""

    def __init__(self, *, name: str, network: Network, world: "World"):
        self._name = name
        self._network = network
        self._world = world
        self._addresses: set[str] = set()

    def set_addresses(self, addresses: set[str]) -> None:
        """See Links.set_addresses."""
        self._addresses = set(addresses)

    def send(self, address: str, message: node_links.Message) -> bool:
        """See Links.send."""
        if address not in self._addresses:
            return False
        fixed = copy.deepcopy(message)
        delay_s = self._world.message_delays.pop(message["type"], 0.0)
        self._network.clock.schedule(
            delay_s, lambda: self._network.send(
                self._name, address, lambda: self._world.handle_message(
                    address, fixed)))
        return True

    def broadcast(self, message: node_links.Message) -> None:
        """See Links.broadcast."""
        for address in sorted(self._addresses):
            self.send(address, message)


class VirtualNode:
    """One node with its host."""

    def __init__(self, *, name: str, world: "World"):
        self.name = name
        self.open_exchanges = 0
        self.host = clocks.Host(clock=world.clock)
        rng = random.Random(world.rng.getrandbits(64))
        # Monotonic clocks of different VMs have nothing in common.
        timers = clocks.HostTimers(host=self.host,
                                   rng=rng,
                                   offset_s=rng.uniform(0, 1e6))
        settings = node_settings.Settings(node_id=name,
                                          region=REGION,
                                          failure_domain="a",
                                          listen="",
                                          link=name,
                                          peers=world.node_names,
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
                                                  network=world.network,
                                                  platform=world.platform),
                               workers=VirtualWorkers(name=name,
                                                      host=self.host,
                                                      network=world.network,
                                                      world=world),
                               links=VirtualLinks(name=name,
                                                  network=world.network,
                                                  world=world),
                               metrics=metrics.NullMetrics(),
                               rng=rng)

    @property
    def owns(self) -> bool:
        """Whether the node believes that it owns the region."""
        return self.host.alive and self.node.region.core is not None


class World:
    """All parts and the faults that are shown to them."""

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
        self.platform = Platform(vms=vms, clock=self.clock, rng=self.rng)
        self.history: list[dict[str, Any]] = []
        self.down: set[str] = set()
        # What happens to the next command of a verb.
        self.fates: dict[str, Fate] = {}
        # Delay of the next message between nodes by type, in seconds.
        self.message_delays: dict[str, float] = {}
        # The same for the next command of a verb.
        self.command_delays: dict[str, float] = {}
        self.observe: Observe = ignore_step
        checkpoints = checkpoints_module.MemoryCheckpoints()
        self.machines = {
            entry["id"]: self._build_machine(entry, checkpoints)
            for entry in entries
        }
        self._alarms: dict[str, float] = {}
        self._boots = 0
        self.nodes: dict[str, VirtualNode] = {}
        for name in node_names:
            self.start_node(name)

    def _build_machine(
            self, entry: dict[str, Any],
            checkpoints: checkpoints_module.Checkpoints) -> machines.Machine:
        capacity = tasks.Capacity(accelerators=entry["accelerators"],
                                  cores=entry["cores"],
                                  memory_gb=entry["memory_gb"],
                                  slots=entry["slots"],
                                  connections=entry["connections"])
        return machines.Machine(worker_id=entry["id"],
                                capacity=capacity,
                                boot=f"{entry['id']}-0",
                                checkpoints=checkpoints)

    # Nodes.

    def start_node(self, name: str) -> None:
        """Starts a node, or a new process in place of a dead one."""
        self.nodes[name] = VirtualNode(name=name, world=self)

    def kill_node(self, name: str) -> None:
        """Ends a node's process at once."""
        self.nodes[name].host.alive = False

    def find_owner(self) -> str | None:
        """Returns the live node with the highest epoch, if any decides."""
        owners = [node for node in self.nodes.values() if node.owns]
        if not owners:
            return None
        return max(owners,
                   key=lambda node: node.node.ownership.owner.epoch).name

    def handle_message(self, name: str, message: dict[str, Any]) -> None:
        """Delivers a message between nodes."""
        target = self.nodes.get(name)
        if target is not None:
            target.host.deliver(lambda: target.node.handle_message(message))

    def stop_node(self, name: str) -> None:
        """Stops a node as planned: open exchanges end, then the process."""
        node = self.nodes[name]
        deadline_s = self.clock.now_s + STOP_TIMEOUT_S
        node.host.deliver(lambda: node.node.begin_stop(lambda: self._end_soon(
            node, deadline_s)))

    def _end_soon(self, node: VirtualNode, deadline_s: float) -> None:
        self.clock.schedule(STOP_POLL_S,
                            lambda: self._end_when_idle(node, deadline_s))

    def _end_when_idle(self, node: VirtualNode, deadline_s: float) -> None:
        if not node.open_exchanges or self.clock.now_s >= deadline_s:
            node.host.alive = False
        else:
            self._end_soon(node, deadline_s)

    # Workers.

    def command(self, worker_id: str, verb: str,
                body: dict[str, Any]) -> machines.Reply | None:
        """Gives a command to a worker; None if it does not answer."""
        machine = self.machines.get(worker_id)
        if machine is None or worker_id in self.down:
            return None
        fate = self.fates.pop(verb, None)
        if fate is Fate.LOSE_COMMAND:
            return None
        if fate is Fate.REFUSE:
            return machine.refuse(verb)
        reply = machine.handle(verb, body, self.clock.now_s)
        self._settle(machine)
        self.observe(f"{verb} command", worker_id)
        if fate is Fate.CUT_SHORT and isinstance(reply.document, bytes):
            return reply._replace(document=reply.document[:-1])
        return None if fate is Fate.LOSE_ANSWER else reply

    def restart_worker(self, worker_id: str) -> None:
        """Restarts a worker's process, which loses its memory."""
        self._boots += 1
        machine = self.machines[worker_id]
        machine.restart(f"{worker_id}-{self._boots}", self.clock.now_s)
        self._settle(machine)

    def mark_worker(self, worker_id: str, state: str) -> None:
        """Changes a worker's state in the VM list."""
        self.platform.vms.change({
            "id": worker_id,
            "state": state
        }, self.clock.now_s)

    def _settle(self, machine: machines.Machine) -> None:
        for entry in machine.take_history():
            self.history.append({**entry, "wall_s": entry["at_s"]})
        due_s = machine.predict_change()
        known_s = self._alarms.get(machine.worker_id, float("inf"))
        if due_s < known_s:
            self._alarms[machine.worker_id] = due_s
            self.clock.schedule(due_s - self.clock.now_s,
                                lambda: self._wake(machine, due_s))

    def _wake(self, machine: machines.Machine, due_s: float) -> None:
        if self._alarms.get(machine.worker_id) == due_s:
            del self._alarms[machine.worker_id]
        machine.advance(self.clock.now_s)
        self._settle(machine)

    # Operators.

    def publish(self,
                name: str,
                documents: Mapping[str, str],
                on_done: Callable[[Any], None] = lambda _: None) -> None:
        """Publishes documents through a node, based on what it knows."""
        node = self.nodes[name]
        published = node.node.publication
        node.host.deliver(lambda: published.publish(
            documents=documents,
            base_version=published.current.configuration.version,
            who=OPERATOR,
            workers=node.node.region.fleet,
            on_done=on_done))

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        self.clock.run(duration_s)


def build_entries(*,
                  count: int,
                  per_rack: int,
                  failure_domains: int,
                  accelerators: int = 8) -> list[dict[str, Any]]:
    """Builds a VM list of equal workers.

    Args:
        count: Number of workers.
        per_rack: Workers in a rack.
        failure_domains: Number of failure domains; racks take turns.
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
