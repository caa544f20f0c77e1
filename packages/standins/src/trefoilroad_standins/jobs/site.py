"""A site on a virtual clock: real nodes with simulated surroundings."""

from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import Any

import cbor2

from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import evacuation
from trefoilroad_jobs import intake
from trefoilroad_jobs import limits
from trefoilroad_jobs import node as nodes
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import workload
from trefoilroad_node import links as node_links
from trefoilroad_node import metrics
from trefoilroad_standins import clock
from trefoilroad_standins.jobs import tables as row_tables
from trefoilroad_standins.jobs import workers as worker_module

LINK_DELAY_S = 0.001
QUEUE = configurations.Queue(name="queue",
                             host="host",
                             prefix="/queue/",
                             service="service",
                             priority=1,
                             max_failures=3,
                             slack=3.0,
                             objective_ms=1000.0,
                             anonymous=False)
URGENT_QUEUE = QUEUE._replace(name="urgent",
                              prefix="/urgent/",
                              priority=0,
                              slack=1.5)
WORKER_CAPACITY = workload.Demand(64_000, 256_000, 8)
SMALL_DEMAND = workload.Demand(1000, 1000, 1)


class _Links(node_links.Links):
    """Links that deliver messages to the other nodes of the site.

    A link leads to one process. It is down once that process is gone, until the
    address is dialled again, and each message to an address without a link is
    lost. The times of the dials do not depend on the random choices.
    """

    def __init__(self, *, site: "Site", origin: str, host: clock.Host):
        self._site = site
        self._origin = origin
        self._host = host
        self._peers: dict[str, SiteNode | None] = {}
        site.clock.schedule(node_links.REDIAL_INTERVAL_S, self._redial)

    def set_addresses(self, addresses: set[str]) -> None:
        """See Links.set_addresses."""
        for address in self._peers.keys() - addresses:
            del self._peers[address]
        for address in addresses - self._peers.keys():
            self._peers[address] = self._site.find_peer(self._origin, address)

    def _redial(self) -> None:
        if not self._host.alive:
            return
        self._site.clock.schedule(node_links.REDIAL_INTERVAL_S, self._redial)
        if self._host.frozen:
            return
        for address, peer in self._peers.items():
            if peer is None or not peer.host.alive:
                self._peers[address] = self._site.find_peer(
                    self._origin, address)

    def send(self, address: str, message: node_links.Message) -> bool:
        """See Links.send."""
        peer = self._peers.get(address)
        if peer is None or peer is not self._site.find_peer(
                self._origin, address):
            return False
        return self._site.deliver(self._origin, address, message)

    def broadcast(self, message: node_links.Message) -> None:
        """See Links.broadcast."""
        for address in sorted(self._peers):
            self.send(address, message)


class _VirtualWallClock(ports.WallClock):
    """Time of day that follows the virtual clock."""

    def __init__(self, *, virtual_clock: clock.Clock):
        self._clock = virtual_clock

    def read_wall_ms(self) -> float:
        """See ports.WallClock.read_wall_ms."""
        return worker_module.CLOCK_START_MS + self._clock.now_s * 1000.0


class SiteNode:
    """One node process of the site.

    Attributes:
        name: Identifier and link address of the node.
        host: The simulated process, which can be frozen and killed.
        store: The node's access to the store.
        workers: The node's access to the workers.
        node: The node itself.
    """

    def __init__(self, *, site: "Site", name: str, rng: random.Random,
                 round_planner: planner.Planner | None, bounds: limits.Limits):
        self.name = name
        self.host = clock.Host(clock=site.clock)
        self.store = row_tables.NodeStore(tables=site.tables,
                                          host=self.host,
                                          rng=rng)
        self.workers = worker_module.NodeWorkers(
            worker_states=site.worker_states, host=self.host, rng=rng)
        timers = clock.HostTimers(host=self.host,
                                  rng=rng,
                                  offset_s=rng.uniform(0, 1000))
        self.node = nodes.Node(
            node_id=name,
            link=name,
            takeover_delay_s=0.0,
            platform_tables=nodes.PlatformTables(
                config_table="config",
                workers_table="workers",
                decode_configuration=site.decode_configuration,
                decode_evacuations=site.decode_evacuations,
                decode_worker=site.decode_worker),
            store=self.store,
            workers=self.workers,
            links=_Links(site=site, origin=name, host=self.host),
            timers=timers,
            wall_clock=_VirtualWallClock(virtual_clock=site.clock),
            bounds=bounds,
            round_planner=round_planner,
            metrics=metrics.NullMetrics(),
            rng=rng)


class Site:
    """Nodes, simulated workers and a simulated store.

    Attributes:
        clock: The virtual clock.
        tables: Contents of the store.
        history: Events of all workers in order.
        worker_states: Workers by identifier.
        behaviours: Behaviour of tasks by "job_id.step".
        slowdowns: Factor of the run time of tasks of an image beside another
            one, by image and other image; for jobs submitted later.
        nodes: Nodes by name, also those that were killed.
        replies: Reply to the last call about a job, by job.
        cut_links: Pairs of nodes that cannot reach each other.
        configuration: The published configuration.
        workloads: Submitted jobs by identifier.
        submitted_s: When each job was first submitted, in seconds.
        accepted_s: When each job was first known to be accepted, in seconds.
        cancelled_s: When each job was first cancelled, in seconds.
        cancel_confirmed_s: When each cancellation was first confirmed, in
            seconds.
    """

    def __init__(self,
                 *,
                 seed: int = 1,
                 node_count: int = 3,
                 worker_count: int = 4,
                 per_rack: int = 4,
                 labels: Mapping[str, frozenset[str]] | None = None,
                 guarantees: dict[str, int] | None = None,
                 queues: tuple[configurations.Queue,
                               ...] = (QUEUE, URGENT_QUEUE),
                 round_planner: planner.Planner | None = None,
                 bounds: limits.Limits | None = None):
        """Starts the nodes and the workers.

        Args:
            seed: Seed of all random choices.
            node_count: Number of nodes.
            worker_count: Number of workers.
            per_rack: Workers in a rack.
            labels: Labels of the workers of each rack, by rack.
            guarantees: Guaranteed accelerators by team.
            queues: Queues of the configuration.
            round_planner: Planner of the leader, or None for the default.
            bounds: Time limits of the nodes, or None for the defaults.
        """
        self.clock = clock.Clock()
        self.tables = row_tables.Tables(virtual_clock=self.clock)
        self.history: list[worker_module.Event] = []
        self.worker_states: dict[str, worker_module.WorkerState] = {}
        self.behaviours: dict[str, worker_module.Behaviour] = {}
        self.slowdowns: dict[str, dict[str, float]] = {}
        self.nodes: dict[str, SiteNode] = {}
        self.replies: dict[str, intake.Reply] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.workloads: dict[str, workload.Workload] = {}
        self.submitted_s: dict[str, float] = {}
        self.accepted_s: dict[str, float] = {}
        self.cancelled_s: dict[str, float] = {}
        self.cancel_confirmed_s: dict[str, float] = {}
        self.configuration = configurations.Configuration(
            version=1,
            queues=queues,
            teams={
                name: configurations.Team(name, (), count)
                for name, count in (guarantees or {}).items()
            },
            max_body_bytes=100_000)
        self._rng = random.Random(seed)
        self._round_planner = round_planner
        self._bounds = bounds or limits.Limits()
        for number in range(worker_count):
            rack = f"r{number // per_rack}"
            self.add_worker(f"w{number:02}", rack, (labels or
                                                    {}).get(rack, frozenset()))
        self.tables.put("config", "config", b"1")
        for number in range(node_count):
            self.add_node(f"n{number}")
        self._update_registrations()

    # Setup.

    def add_worker(self,
                   worker_id: str,
                   rack: str,
                   labels: frozenset[str] = frozenset()) -> None:
        """Adds a worker to the site and registers it."""
        worker_state = worker_module.WorkerState(
            worker_id=worker_id,
            rack=rack,
            labels=labels,
            virtual_clock=self.clock,
            capacity=WORKER_CAPACITY,
            history=self.history,
            get_behaviour=self._get_behaviour)
        self.worker_states[worker_id] = worker_state
        self.register(worker_state)

    def register(self, worker_state: worker_module.WorkerState) -> None:
        """Writes the registration of a worker to the store."""
        self.tables.put(
            "workers", worker_state.worker_id,
            cbor2.dumps([worker_state.draining, worker_state.boot_ms]))

    def add_node(self, name: str) -> SiteNode:
        """Starts a node, which replaces a killed node of the same name."""
        rng = random.Random(self._rng.random())
        self.nodes[name] = SiteNode(site=self,
                                    name=name,
                                    rng=rng,
                                    round_planner=self._round_planner,
                                    bounds=self._bounds)
        return self.nodes[name]

    def decode_configuration(
            self, content: dict[str,
                                bytes]) -> configurations.Configuration | None:
        """Decodes the configuration row; None if it is absent."""
        if "config" not in content:
            return None
        return self.configuration._replace(version=int(content["config"]))

    def decode_evacuations(self, content: Mapping[str,
                                                  bytes]) -> frozenset[str]:
        """Decodes the requests to evacuate failure domains."""
        return frozenset(
            key.removeprefix(evacuation.KEY_PREFIX)
            for key in content
            if key.startswith(evacuation.KEY_PREFIX))

    def evacuate(self, domain: str) -> None:
        """Asks the nodes to evacuate a failure domain."""
        self.tables.put("config", evacuation.KEY_PREFIX + domain, b"")

    def withdraw_evacuation(self, domain: str) -> None:
        """Takes back a request to evacuate a failure domain."""
        self.tables.put("config", evacuation.KEY_PREFIX + domain, None)

    def decode_worker(self, key: str, value: bytes) -> ports.Worker | None:
        """Decodes the registration of a worker."""
        draining, boot_ms = cbor2.loads(value)
        return self.worker_states[key].describe()._replace(draining=draining,
                                                           boot_ms=boot_ms)

    def _get_behaviour(self, name: str) -> worker_module.Behaviour:
        job_id, _, step, _ = name.split(".")
        return self.behaviours[f"{job_id}.{step}"]

    def _update_registrations(self) -> None:
        """Removes crashed workers from the store and adds restarted ones."""
        for worker_state in self.worker_states.values():
            registered = worker_state.worker_id in self.tables.rows.get(
                "workers", {})
            if registered and not worker_state.alive:
                self.tables.put("workers", worker_state.worker_id, None)
            elif not registered and worker_state.alive:
                self.register(worker_state)
        self.clock.schedule(1.5, self._update_registrations)

    def find_peer(self, origin: str, address: str) -> SiteNode | None:
        """Returns the process that a node reaches at an address, or None."""
        target = self.nodes.get(address)
        if (target is None or not target.host.alive or
                frozenset({origin, address}) in self.cut_links):
            return None
        return target

    def deliver(self, origin: str, address: str,
                message: node_links.Message) -> bool:
        """Delivers a message from one node to another.

        Returns:
            False if the target is not alive or the link is cut.
        """
        target = self.find_peer(origin, address)
        if target is None:
            return False
        self.clock.schedule(
            LINK_DELAY_S, lambda: target.host.deliver(lambda: target.node.
                                                      handle_message(message)))
        return True

    # Actions.

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        self.clock.run(seconds)

    def find_leader(self) -> SiteNode | None:
        """Returns the live node that leads, with the highest epoch."""
        leading = [
            site_node for site_node in self.nodes.values()
            if site_node.host.alive and site_node.node.leading
        ]
        return max(leading,
                   key=lambda site_node: site_node.node.epoch,
                   default=None)

    def submit(self,
               job_id: str,
               *,
               tasks: int = 1,
               run_s: float = 2.0,
               through: str = "n0",
               demand: workload.Demand = SMALL_DEMAND,
               queue: configurations.Queue = QUEUE,
               team: str = "team",
               fails: bool = False,
               **fields: Any) -> None:
        """Submits a job of one step through a node.

        Args:
            job_id: Identifier.
            tasks: Number of tasks.
            run_s: Declared and actual run time of a task in seconds.
            through: Name of the node.
            demand: Resources of a task.
            queue: The queue.
            team: Team of the caller.
            fails: Whether each run fails.
            **fields: Other fields of the step.
        """
        step = workload.Step(tasks=tasks,
                             demand=demand,
                             estimate_ms=int(run_s * 1000),
                             **fields)
        self.submit_steps(job_id, [step], [run_s],
                          through=through,
                          queue=queue,
                          team=team,
                          fails=fails)

    def submit_steps(self,
                     job_id: str,
                     steps: list[workload.Step],
                     run_s: list[float],
                     *,
                     through: str = "n0",
                     queue: configurations.Queue = QUEUE,
                     team: str = "team",
                     fails: bool = False) -> None:
        """Submits a job of several steps through a node.

        Args:
            job_id: Identifier.
            steps: The steps.
            run_s: Actual run time of the tasks of each step in seconds.
            through: Name of the node.
            queue: The queue.
            team: Team of the caller.
            fails: Whether each run fails.
        """
        for number, step in enumerate(steps):
            self.behaviours[f"{job_id}.{number}"] = worker_module.Behaviour(
                step.occupied,
                run_s[number],
                fails,
                image=step.image,
                slowdowns=self.slowdowns.get(step.image, {}))
        job = intake.build_workload(queue, team, job_id, "payload",
                                    tuple(steps))
        self.workloads[job_id] = job
        self.submitted_s.setdefault(job_id, self.clock.now_s)
        self._call(through, job_id,
                   lambda node, reply: node.intake.submit(job, reply))

    def cancel(self, job_id: str, through: str = "n0") -> None:
        """Cancels a job through a node, as its team."""
        self.cancelled_s.setdefault(job_id, self.clock.now_s)
        team = self._find_team(job_id)
        self._call(through, job_id,
                   lambda node, reply: node.intake.cancel(job_id, team, reply))

    def show(self, job_id: str, through: str = "n0") -> None:
        """Asks for the state of a job through a node, as its team."""
        team = self._find_team(job_id)
        self._call(through, job_id,
                   lambda node, reply: node.intake.show(job_id, team, reply))

    def _find_team(self, job_id: str) -> str:
        job = self.workloads.get(job_id)
        return job.team if job is not None else "team"

    def _call(self, through: str, job_id: str,
              call: Callable[[nodes.Node, intake.OnReply], None]) -> None:
        site_node = self.nodes[through]
        self.replies.pop(job_id, None)

        def record(reply: intake.Reply) -> None:
            self.replies[job_id] = reply
            if reply.outcome is intake.Outcome.ACCEPTED:
                self.accepted_s.setdefault(job_id, self.clock.now_s)
            elif reply.outcome is intake.Outcome.CANCELLED:
                self.cancel_confirmed_s.setdefault(job_id, self.clock.now_s)

        site_node.host.deliver(lambda: call(site_node.node, record))

    def ask_pending(self, through: str, queue: str,
                    on_count: Callable[[int | None], None]) -> None:
        """Asks a node how many jobs of a queue wait.

        Args:
            through: Name of the node.
            queue: Name of the queue.
            on_count: Gets the number, or None if the node does not know it.
        """
        site_node = self.nodes[through]
        site_node.host.deliver(
            lambda: site_node.node.count_pending(queue, on_count))

    def ask_state(self, job_id: str, through: str = "n0") -> str:
        """Asks for the state of a job and waits 1 s for the answer.

        Returns:
            The state, or the name of the outcome if the reply has none.
        """
        self.show(job_id, through)
        self.run(1.0)
        reply = self.replies.get(job_id)
        return reply.state or reply.outcome.name if reply else "no answer"

    def kill(self, name: str) -> None:
        """Kills a node process."""
        self.nodes[name].host.alive = False

    # Checks.

    def count_events(self, kind: str, prefix: str = "") -> int:
        """Counts events of a kind, of tasks whose names have a prefix."""
        return sum(event.kind == kind and event.name.startswith(prefix)
                   for event in self.history)

    def find_violations(self) -> list[str]:
        """Finds tasks that ran twice at once or again after their end."""
        return worker_module.find_violations(self.history)
