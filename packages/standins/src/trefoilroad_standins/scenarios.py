"""Scenarios on a virtual cluster, driven by actions in plain sentences.

A scenario consists of a fleet, nodes, teams and callers. `Scenario.perform`
carries out one action, now or at the next step of the gang protocol. The other
methods read the histories of the workers and the responses that callers and
operators received.
"""

from collections.abc import Callable
import functools
import json
import random
import re
from typing import Any
from typing import NamedTuple

from trefoilroad_core import request
from trefoilroad_standins import invariants
from trefoilroad_standins import virtual_callers
from trefoilroad_standins import virtual_cluster

TOKEN_SHA256 = "0" * 64
# Small enough that gangs of several tasks span workers.
ACCELERATORS_PER_WORKER = 4
STARTUP_S = 6.0
OUTCOME_LIMIT_S = 400.0
DEFAULT_WAIT_S = 120.0
REPLACE_INTERVAL_S = 15.0


class Template(NamedTuple):
    """A template; `checkpoint` has the same value as `idempotent`."""

    shape: request.Shape
    idempotent: bool


TEMPLATES = {
    "match": Template(request.Shape(2, 4), False),
    "draft": Template(request.Shape(2, 4), True),
    "photo": Template(request.Shape(4, 2, adjacent="rack"), True),
    "index": Template(request.Shape(1, 4), True),
    "once": Template(request.Shape(1, 4), False)
}


class Team(NamedTuple):
    """A team of a scenario.

    Attributes:
        gangs: Number of gangs that are guaranteed, 0 for no guarantee.
        shape: Shape of the guarantee.
    """

    gangs: int = 0
    shape: request.Shape = request.Shape(1, 1)


def build_documents(teams: dict[str, Team], templates: set[str],
                    weight: float) -> dict[str, str]:
    """Builds the configuration documents of a scenario.

    Args:
        teams: Teams by name.
        templates: Names of the templates that teams may use.
        weight: Weight of all teams; a new value makes a new version differ.

    Returns:
        Text by file name.
    """
    documents = {
        "operators.toml":
            f'[[operator]]\nname = "op"\ntoken_sha256 = "{TOKEN_SHA256}"\n'
    }
    for number, (name, team) in enumerate(sorted(teams.items()), start=1):
        text = (f'[team]\nname = "{name}"\nweight = {weight}\n'
                f"templates = {json.dumps(sorted(templates))}\n"
                f'token_sha256 = "{number:064x}"\n')
        if team.gangs:
            text += (f"[[guarantee]]\ngangs = {team.gangs}\n"
                     f"[guarantee.shape]\n{_build_shape(team.shape)}")
        documents[f"teams/{name}.toml"] = text
    for name, template in TEMPLATES.items():
        flag = json.dumps(template.idempotent)
        documents[f"templates/{name}.toml"] = (
            f'[template]\nname = "{name}"\nidempotent = {flag}\n'
            f"checkpoint = {flag}\npriority = 5\nwait_s = {DEFAULT_WAIT_S}\n"
            "declared_s = 3\n[template.shape]\n"
            f"{_build_shape(template.shape)}")
    return documents


def _build_shape(shape: request.Shape) -> str:
    return (f"tasks = {shape.tasks}\naccelerators = {shape.accelerators}\n"
            f"cores = {shape.cores}\nmemory_gb = {shape.memory_gb}\n"
            f'adjacent = "{shape.adjacent}"\n')


class Scenario:
    """A virtual cluster with teams and callers, and a fixed seed.

    Attributes:
        workers: Number of workers.
        per_rack: Number of workers in a rack.
        node_count: Number of nodes.
        vm_lag_s: Delay of the VM list in seconds.
        teams: Teams by name.
        callers: Callers by the name of their request.
        submitted_s: Time of the first submission, by the name of the request.
        publish_results: Results of all publishes, in order.
        drain_answered_s: Time of the last response to a drain, by status.
        cluster: The cluster, once `start` has been called.
    """

    def __init__(self, *, seed: int = 1):
        """Creates a scenario without teams; `start` builds its cluster.

        Args:
            seed: Seed of all random choices.
        """
        self.seed = seed
        self.workers = 8
        self.per_rack = 4
        self.node_count = 3
        self.vm_lag_s = 1.0
        self.teams: dict[str, Team] = {}
        self.callers: dict[str, virtual_callers.Caller] = {}
        self.submitted_s: dict[str, float] = {}
        self.publish_results: list[Any] = []
        self.drain_answered_s: dict[int, float] = {}
        self.cluster: virtual_cluster.VirtualCluster
        self._rng = random.Random(seed)
        self._templates = set(TEMPLATES)
        self._weight = 1.0
        self._pending_actions: list[tuple[str, str]] = []
        self._step_worker_id = ""

    def start(self) -> None:
        """Builds the cluster and publishes the first configuration."""
        names = tuple(f"n{number + 1}" for number in range(self.node_count))
        entries = virtual_cluster.build_vm_entries(
            count=self.workers,
            per_rack=self.per_rack,
            failure_domains=2,
            accelerators=ACCELERATORS_PER_WORKER)
        self.cluster = virtual_cluster.VirtualCluster(seed=self.seed,
                                                      entries=entries,
                                                      node_names=names,
                                                      vm_lag_s=self.vm_lag_s)
        self.cluster.on_step = self._on_step
        self.cluster.platform.on_step = self._on_step
        self.cluster.run(STARTUP_S / 2)
        self._publish("node n1")
        self.cluster.run(STARTUP_S / 2)

    def perform(self, text: str) -> None:
        """Carries out an action, at once or after a step of the protocol.

        Args:
            text: `<action>`, or `at the next "<step>" <action>`, with a step
                that virtual_cluster.OnStep is called with. See ACTIONS.

        Raises:
            ValueError: If there is no such action.
        """
        match = re.fullmatch(r'at the next "([\w ]+)" (.+)', text)
        if match:
            self._parse_action(match[2])
            self._pending_actions.append((match[1], match[2]))
        else:
            self._parse_action(text)()

    def _parse_action(self, text: str) -> Callable[[], None]:
        for pattern, action in ACTIONS.items():
            match = re.fullmatch(pattern, text)
            if match:
                arguments = match.groups()
                return lambda: action(self, *arguments)
        raise ValueError(f"unknown action: {text}")

    def _on_step(self, step: str, subject: str) -> None:
        due = [pair for pair in self._pending_actions if pair[0] == step]
        for pair in due:
            self._pending_actions.remove(pair)
            self._step_worker_id = subject
            self._parse_action(pair[1])()

    def _call_later(self, delay: str | None, callback: Callable[[],
                                                                None]) -> None:
        if delay is not None:
            self.cluster.clock.schedule(float(delay), callback)

    # Callers.

    def submit(self,
               team: str,
               template: str,
               name: str,
               run_s: float,
               *,
               nodes: tuple[str, ...] = (),
               retries: bool = True,
               wait_s: float = DEFAULT_WAIT_S,
               fails: bool = False) -> None:
        """Adds a caller that submits a request; see virtual_callers.Caller."""
        payload = {"run_s": run_s, "answer": f"answer of {name}", "fail": fails}
        rng = random.Random(self._rng.getrandbits(64))
        caller = virtual_callers.Caller(
            cluster=self.cluster,
            team=team,
            key=name,
            body={
                "template": template,
                "caller": "c",
                "payload": payload,
                "wait_s": wait_s
            },
            shape=TEMPLATES[template].shape,
            idempotent=TEMPLATES[template].idempotent,
            rng=rng,
            nodes=nodes,
            retries=retries)
        self.callers[name] = caller
        self.submitted_s[name] = self.cluster.clock.now_s
        caller.start()

    def _submit_named(self, team: str, template: str, name: str, run_s: str,
                      node: str | None, no_retries: str | None,
                      wait_s: str | None) -> None:
        self.submit(team,
                    template,
                    name,
                    float(run_s),
                    nodes=(self._resolve_node(node),) if node else (),
                    retries=no_retries is None,
                    wait_s=float(wait_s or DEFAULT_WAIT_S))

    def _submit_many(self, team: str, count: str, template: str,
                     run_s: str) -> None:
        first = len(self.callers)
        for number in range(first, first + int(count)):
            self.submit(team, template, f"{template}-{number}", float(run_s))

    def _submit_stream(self, team: str, rate: str, template: str, run_s: str,
                       duration_s: str) -> None:
        for number in range(int(float(rate) * float(duration_s))):
            self.cluster.clock.schedule(
                number / float(rate),
                lambda: self._submit_many(team, "1", template, run_s))

    def _submit_failing(self, team: str, template: str, name: str) -> None:
        self.submit(team, template, name, 1.0, fails=True)

    def _set_node(self, name: str, node: str) -> None:
        self.callers[name].nodes = (node,)

    def _cancel(self, name: str) -> None:
        self.callers[name].cancel()

    def _cancel_all(self) -> None:
        for caller in self.callers.values():
            caller.cancel()

    # Nodes.

    def _resolve_node(self, phrase: str) -> str:
        if phrase == "the owner":
            return self.cluster.find_owner() or "n1"
        if phrase == "another node":
            owner = self.cluster.find_owner()
            return next(
                name for name in sorted(self.cluster.nodes)
                if name != owner and self.cluster.nodes[name].host.alive)
        return phrase.removeprefix("node ")

    def _kill(self, phrase: str, duration_s: str | None) -> None:
        name = self._resolve_node(phrase)
        self.cluster.kill_node(name)
        self._call_later(duration_s, lambda: self.cluster.start_node(name))

    def _freeze(self, phrase: str, duration_s: str) -> None:
        host = self.cluster.nodes[self._resolve_node(phrase)].host
        host.frozen = True
        self._call_later(duration_s, host.thaw)

    def _start_node(self, name: str) -> None:
        self.cluster.start_node(name)

    def _stop(self, phrase: str) -> None:
        self.cluster.stop_node(self._resolve_node(phrase))

    def _replace_in_turn(self) -> None:
        for number, name in enumerate(sorted(self.cluster.nodes)):
            self.cluster.clock.schedule(
                number * REPLACE_INTERVAL_S,
                functools.partial(self._replace, name, 3.0))

    def _replace_at_once(self, duration_s: str) -> None:
        for name in sorted(self.cluster.nodes):
            self._replace(name, float(duration_s))

    def _replace(self, name: str, duration_s: float) -> None:
        self.cluster.stop_node(name)
        self.cluster.clock.schedule(
            duration_s, lambda: self.cluster.start_node(f"{name}-new"))

    def _cut_store(self, phrase: str, duration_s: str) -> None:
        self._cut(self._resolve_node(phrase),
                  virtual_cluster.VirtualPlatform.HOST_NAME, duration_s)

    def _cut_nodes(self, phrase: str, duration_s: str) -> None:
        name = self._resolve_node(phrase)
        for other in list(self.cluster.nodes):
            if other != name:
                self._cut(name, other, duration_s)

    def _drop_store_replies(self, phrase: str, duration_s: str) -> None:
        name = self._resolve_node(phrase)
        network = self.cluster.network
        network.cut(virtual_cluster.VirtualPlatform.HOST_NAME, name)
        self._call_later(
            duration_s, lambda: network.restore(
                virtual_cluster.VirtualPlatform.HOST_NAME, name))

    def _cut(self, first: str, second: str, duration_s: str | None) -> None:
        network = self.cluster.network
        for pair in ((first, second), (second, first)):
            network.cut(*pair)
            self._call_later(duration_s,
                             functools.partial(network.restore, *pair))

    # The store.

    def _set_store_mode(self, mode: str, duration_s: str) -> None:
        platform = self.cluster.platform
        platform.mode = virtual_cluster.StoreMode(mode)

        def repair() -> None:
            platform.mode = virtual_cluster.StoreMode.UP

        self._call_later(duration_s, repair)

    def _lose_answers(self, count: str) -> None:
        self.cluster.platform.answers_to_lose = int(count)

    def _damage_answer(self, name: str) -> None:
        prefix = f"answer/{self.callers[name].request_id}."
        objects = self.cluster.platform.objects
        for key in objects:
            if key.startswith(prefix):
                objects[key] = b"x" + objects[key][1:]

    # Workers.

    def resolve_worker(self, phrase: str) -> str:
        """Returns the id of the worker that a phrase refers to.

        Args:
            phrase: `that worker` for the worker of the last step, `worker
                <id>`, or `the [last ]worker of "<request>"`, which has
                reserved the lowest or the highest ranks.
        """
        if phrase == "that worker":
            return self._step_worker_id
        match = re.fullmatch(r'the (last )?worker of "([^"]+)"', phrase)
        if match is None:
            return phrase.removeprefix("worker ")
        reserved = [
            entry for entry in self.find_history(match[2], "reserve")
            if entry["ranks"]
        ]
        pick = max if match[1] else min
        return str(pick(reserved, key=lambda entry: entry["ranks"])["worker"])

    def _restart(self, phrase: str) -> None:
        self.cluster.restart_worker(self.resolve_worker(phrase))

    def _cut_worker(self, phrase: str, duration_s: str | None) -> None:
        worker = self.resolve_worker(phrase)
        for node in list(self.cluster.nodes):
            self._cut(node, worker, duration_s)

    def _drop_worker_replies(self, phrase: str, duration_s: str) -> None:
        worker = self.resolve_worker(phrase)
        network = self.cluster.network
        for node in list(self.cluster.nodes):
            network.cut(worker, node)
            self._call_later(duration_s,
                             functools.partial(network.restore, worker, node))

    def _lose_worker(self, phrase: str) -> None:
        worker = self.resolve_worker(phrase)
        self.cluster.restart_worker(worker)
        self.cluster.unreachable_workers.add(worker)
        self.cluster.set_vm_state(worker, "gone")

    def _remove_worker(self, phrase: str) -> None:
        self.cluster.set_vm_state(self.resolve_worker(phrase), "gone")

    def _fail_worker_tasks(self, phrase: str, duration_s: str | None) -> None:
        worker_state = self.cluster.worker_states[self.resolve_worker(phrase)]
        clock = self.cluster.clock
        worker_state.fail_everything(True, clock.now_s)
        self._call_later(
            duration_s,
            lambda: worker_state.fail_everything(False, clock.now_s))

    def _mark_leaving_in_list(self, phrase: str) -> None:
        worker = self.resolve_worker(phrase)
        self.cluster.set_vm_state(worker, "leaving")
        self._record_mark(worker)

    def _mark_leaving_by_worker(self, phrase: str) -> None:
        worker = self.resolve_worker(phrase)
        self.cluster.worker_states[worker].leaving = True
        self._record_mark(worker)

    def _drain(self, phrase: str, node: str) -> None:
        worker = self.resolve_worker(phrase)
        operations = self.cluster.nodes[self._resolve_node(
            node)].node.operations
        operations.drain("op", worker, True, self._record_drain)
        self._record_mark(worker)

    def _record_drain(self, response: Any) -> None:
        self.drain_answered_s[response.status] = self.cluster.clock.now_s

    def _record_mark(self, worker: str) -> None:
        self.cluster.history.append(
            invariants.build_mark_entry(self.cluster, worker, "leaving"))

    def _set_command_fault(self, verb: str,
                           fault: virtual_cluster.CommandFault) -> None:
        self.cluster.command_faults[verb] = fault

    def _delay_network(self, delay_s: str, duration_s: str) -> None:
        self.cluster.network.extra_delay_s = float(delay_s)

        def repair() -> None:
            self.cluster.network.extra_delay_s = 0.0

        self._call_later(duration_s, repair)

    def _delay_message(self, kind: str, delay_s: str) -> None:
        self.cluster.message_delays[kind] = float(delay_s)

    def _delay_command(self, verb: str, delay_s: str) -> None:
        self.cluster.command_delays[verb] = float(delay_s)

    # Operators.

    def _publish(self, node: str) -> None:
        self._weight += 1.0
        documents = build_documents(self.teams, self._templates, self._weight)
        self.cluster.publish(self._resolve_node(node), documents,
                             self.publish_results.append)

    def _remove_template(self, template: str, node: str) -> None:
        self._templates.discard(template)
        self._publish(node)

    def _add_template(self, template: str, node: str) -> None:
        self._templates.add(template)
        self._publish(node)

    def _publish_guarantee(self, gangs: str, tasks: str, accelerators: str,
                           team: str, node: str) -> None:
        shape = request.Shape(int(tasks), int(accelerators))
        before = self.teams[team]
        self.teams[team] = Team(int(gangs), shape)
        self._publish(node)
        self.teams[team] = before

    def _run_for(self, duration_s: str) -> None:
        self.cluster.run(float(duration_s))

    # Observations.

    def find_history(self, name: str, *kinds: str) -> list[dict[str, Any]]:
        """Returns the entries of the workers' histories for a request.

        Args:
            name: Name of the request.
            *kinds: Names of the events to return.
        """
        request_id = self.callers[name].request_id
        return [
            entry for entry in self.cluster.history
            if entry["event"] in kinds and
            entry["attempt"].rpartition(".")[0] == request_id
        ]

    def count_attempts(self, name: str) -> int:
        """Returns the number of attempts of which a task started."""
        return len(
            {entry["attempt"] for entry in self.find_history(name, "start")})

    def measure_start_delay(self, name: str) -> float:
        """Returns the seconds from submission until all ranks had started.

        Infinite if they have not.
        """
        ranks: set[int] = set()
        shape = self.callers[name].observations[0]["shape"]
        for entry in self.find_history(name, "start"):
            ranks.update(entry["ranks"])
            if len(ranks) == shape[0]:
                return float(entry["at_s"] - self.submitted_s[name])
        return float("inf")

    def find_interrupted(self) -> list[dict[str, Any]]:
        """Returns the history entries that ended a started task early."""
        started = {(line["worker"], line["attempt"])
                   for line in self.cluster.history
                   if line["event"] == "start"}
        return [
            line for line in self.cluster.history
            if line["event"] in ("stop", "lapse", "fail") and
            (line["worker"], line["attempt"]) in started
        ]

    def wait_for_outcomes(self, limit_s: float = OUTCOME_LIMIT_S) -> None:
        """Runs until all requests have an outcome, or the limit is reached."""
        end_s = self.cluster.clock.now_s + limit_s
        while self.cluster.clock.now_s < end_s:
            self.cluster.run(1.0)
            if all(caller.is_done for caller in self.callers.values()):
                return

    def wait_for_outcome(self,
                         name: str,
                         limit_s: float = OUTCOME_LIMIT_S) -> str:
        """Runs until a request has an outcome.

        Args:
            name: Name of the request.
            limit_s: Longest virtual time to run, in seconds.

        Returns:
            The outcome, "none" if there is none within the limit.
        """
        end_s = self.cluster.clock.now_s + limit_s
        while not self.callers[name].is_done:
            if self.cluster.clock.now_s >= end_s:
                return "none"
            self.cluster.run(0.5)
        return str(self.callers[name].outcome)

    def find_violations(self) -> list[str]:
        """Waits for all outcomes, then returns the violations found."""
        self.wait_for_outcomes()
        return invariants.find_violations(self.cluster, self.callers.values())

    @property
    def pending_actions(self) -> list[tuple[str, str]]:
        """Pairs of step and action whose step has not occurred yet."""
        return self._pending_actions


_NODE_PHRASE = r"(the owner|another node|node [\w-]+)"
_WORKER_PHRASE = r'(that worker|worker \w+|the (?:last )?worker of "[^"]+")'
_DURATION = r" for ([\d.]+) s"
_THROUGH_NODE = rf" through {_NODE_PHRASE}"

# Actions by pattern. The groups of the pattern are the arguments of the action.
ACTIONS: dict[str, Callable[..., None]] = {
    r'"(\w+)" submits an? "(\w+)" request "([\w-]+)" that runs ([\d.]+) s'
    rf"(?:{_THROUGH_NODE})?(?: (without retries))?"
    r"(?: and waits at most ([\d.]+) s)?":
        Scenario._submit_named,
    r'"(\w+)" submits (\d+) "(\w+)" requests that run ([\d.]+) s':
        Scenario._submit_many,
    r'"(\w+)" submits ([\d.]+) "(\w+)" requests a second that run ([\d.]+) s'
    rf"{_DURATION}":
        Scenario._submit_stream,
    r'"(\w+)" submits an? "(\w+)" request "([\w-]+)" that fails':
        Scenario._submit_failing,
    r'the caller cancels "([\w-]+)"':
        Scenario._cancel,
    r'the caller of "([\w-]+)" switches to node ([\w-]+)':
        Scenario._set_node,
    r"all callers cancel":
        Scenario._cancel_all,
    rf"{_NODE_PHRASE} is killed(?: and restarted after ([\d.]+) s)?":
        Scenario._kill,
    rf"{_NODE_PHRASE} is frozen{_DURATION}":
        Scenario._freeze,
    r"node ([\w-]+) starts":
        Scenario._start_node,
    rf"{_NODE_PHRASE} stops as planned":
        Scenario._stop,
    r"all nodes are replaced one after the other":
        Scenario._replace_in_turn,
    r"all nodes are replaced at once after ([\d.]+) s":
        Scenario._replace_at_once,
    rf"{_NODE_PHRASE} is cut off from the store{_DURATION}":
        Scenario._cut_store,
    rf"{_NODE_PHRASE} is cut off from the other nodes{_DURATION}":
        Scenario._cut_nodes,
    rf"{_NODE_PHRASE} receives no replies from the store{_DURATION}":
        Scenario._drop_store_replies,
    rf"the store is (down|slow|lose answers){_DURATION}":
        Scenario._set_store_mode,
    r"the store loses its next (\d+) answers":
        Scenario._lose_answers,
    r'the stored answer of "([\w-]+)" is damaged':
        Scenario._damage_answer,
    rf"{_WORKER_PHRASE} restarts":
        Scenario._restart,
    rf"{_WORKER_PHRASE} is cut off(?:{_DURATION})?":
        Scenario._cut_worker,
    rf"{_WORKER_PHRASE} has its replies dropped{_DURATION}":
        Scenario._drop_worker_replies,
    rf"{_WORKER_PHRASE} is lost":
        Scenario._lose_worker,
    rf"{_WORKER_PHRASE} is removed from the VM list":
        Scenario._remove_worker,
    rf"{_WORKER_PHRASE} fails every task(?:{_DURATION})?":
        Scenario._fail_worker_tasks,
    rf"{_WORKER_PHRASE} is marked as leaving in the VM list":
        Scenario._mark_leaving_in_list,
    rf"{_WORKER_PHRASE} reports that it is leaving":
        Scenario._mark_leaving_by_worker,
    rf"an operator drains {_WORKER_PHRASE}{_THROUGH_NODE}":
        Scenario._drain,
    r"the next (\w+) command is refused":
        lambda scenario, verb: scenario._set_command_fault(
            verb, virtual_cluster.CommandFault.REFUSE),
    r"the next (\w+) command is delayed by ([\d.]+) s":
        Scenario._delay_command,
    r"the next (\w+) command is lost":
        lambda scenario, verb: scenario._set_command_fault(
            verb, virtual_cluster.CommandFault.LOSE_COMMAND),
    r"the answer to the next (\w+) command is lost":
        lambda scenario, verb: scenario._set_command_fault(
            verb, virtual_cluster.CommandFault.LOSE_ANSWER),
    r"the next (\w+) message is delayed by ([\d.]+) s":
        Scenario._delay_message,
    r"the next answer is truncated in transit":
        lambda scenario: scenario._set_command_fault(
            "answer", virtual_cluster.CommandFault.CUT_SHORT),
    rf"messages are delayed by up to ([\d.]+) s{_DURATION}":
        Scenario._delay_network,
    rf"an operator publishes a change{_THROUGH_NODE}":
        Scenario._publish,
    rf'an operator removes template "(\w+)"{_THROUGH_NODE}':
        Scenario._remove_template,
    rf'an operator restores template "(\w+)"{_THROUGH_NODE}':
        Scenario._add_template,
    r"an operator publishes a guarantee of (\d+) gangs of (\d+) x (\d+) "
    rf'accelerators for "(\w+)"{_THROUGH_NODE}':
        Scenario._publish_guarantee,
    r"([\d.]+) s pass":
        Scenario._run_for
}
