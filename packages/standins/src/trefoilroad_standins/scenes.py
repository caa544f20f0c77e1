"""Scenes in the virtual world that are told in sentences.

A scene is a fleet, nodes, teams and callers. `Scene.act` carries out one
sentence, now or at the next step of the gang protocol; the questions read the
histories of workers and what callers and operators were told.
"""

from collections.abc import Callable
import functools
import json
import random
import re
from typing import Any
from typing import NamedTuple

from trefoilroad_core import request
from trefoilroad_standins import judgement
from trefoilroad_standins import virtual
from trefoilroad_standins import virtual_callers

DIGEST = "0" * 64
# Of each worker; gangs of several tasks therefore span workers.
ACCELERATORS = 4
BEGIN_S = 6.0
END_S = 400.0
WAIT_S = 120.0
REPLACE_S = 15.0


class Template(NamedTuple):
    """A template of the scenes; `checkpoint` follows `idempotent`."""

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
    """A team of a scene.

    Attributes:
        gangs: Gangs of its guarantee, 0 for none.
        shape: Shape of the guarantee.
    """

    gangs: int = 0
    shape: request.Shape = request.Shape(1, 1)


def build_documents(teams: dict[str, Team], templates: set[str],
                    weight: float) -> dict[str, str]:
    """Builds the documents of a scene.

    Args:
        teams: Teams by name.
        templates: Names of the templates that teams may use.
        weight: Weight of all teams, to publish something that differs.

    Returns:
        Text by file name.
    """
    documents = {
        "operators.toml":
            f'[[operator]]\nname = "op"\ntoken_sha256 = "{DIGEST}"\n'
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
            f"checkpoint = {flag}\npriority = 5\nwait_s = {WAIT_S}\n"
            "declared_s = 3\n[template.shape]\n"
            f"{_build_shape(template.shape)}")
    return documents


def _build_shape(shape: request.Shape) -> str:
    return (f"tasks = {shape.tasks}\naccelerators = {shape.accelerators}\n"
            f"cores = {shape.cores}\nmemory_gb = {shape.memory_gb}\n"
            f'adjacent = "{shape.adjacent}"\n')


class Scene:
    """One scene with a fixed seed."""

    def __init__(self, *, seed: int = 1):
        """Prepares an empty scene; `begin` builds it.

        Args:
            seed: Seed of every choice.
        """
        self.seed = seed
        self.workers = 8
        self.per_rack = 4
        self.node_count = 3
        self.vm_lag_s = 1.0
        self.teams: dict[str, Team] = {}
        self.callers: dict[str, virtual_callers.Caller] = {}
        self.submitted_s: dict[str, float] = {}
        self.published: list[Any] = []
        self.drained_s: dict[int, float] = {}
        self.world: virtual.World
        self._rng = random.Random(seed)
        self._templates = set(TEMPLATES)
        self._weight = 1.0
        self._waiting: list[tuple[str, str]] = []
        self._subject = ""

    def begin(self) -> None:
        """Builds the world and publishes the first configuration."""
        names = tuple(f"n{number + 1}" for number in range(self.node_count))
        entries = virtual.build_entries(count=self.workers,
                                        per_rack=self.per_rack,
                                        failure_domains=2,
                                        accelerators=ACCELERATORS)
        self.world = virtual.World(seed=self.seed,
                                   entries=entries,
                                   node_names=names,
                                   vm_lag_s=self.vm_lag_s)
        self.world.observe = self._observe
        self.world.platform.observe = self._observe
        self.world.run(BEGIN_S / 2)
        self._publish("node n1")
        self.world.run(BEGIN_S / 2)

    def act(self, sentence: str) -> None:
        """Carries out a sentence.

        Args:
            sentence: `<action>`, or `at the next "<step>" <action>` with a
                step that virtual.Observe names.

        Raises:
            ValueError: If there is no such action.
        """
        match = re.fullmatch(r'at the next "([\w ]+)" (.+)', sentence)
        if match:
            self._find(match[2])
            self._waiting.append((match[1], match[2]))
        else:
            self._find(sentence)()

    def _find(self, sentence: str) -> Callable[[], None]:
        for pattern, action in ACTIONS.items():
            match = re.fullmatch(pattern, sentence)
            if match:
                arguments = match.groups()
                return lambda: action(self, *arguments)
        raise ValueError(f"no action: {sentence}")

    def _observe(self, step: str, subject: str) -> None:
        due = [item for item in self._waiting if item[0] == step]
        for item in due:
            self._waiting.remove(item)
            self._subject = subject
            self._find(item[1])()

    def _later(self, delay: str | None, callback: Callable[[], None]) -> None:
        if delay is not None:
            self.world.clock.schedule(float(delay), callback)

    # Callers.

    def submit(self,
               team: str,
               template: str,
               name: str,
               run_s: float,
               *,
               nodes: tuple[str, ...] = (),
               patient: bool = True,
               wait_s: float = WAIT_S,
               fails: bool = False) -> None:
        """Has a caller submit a request; see virtual_callers.Caller."""
        payload = {"run_s": run_s, "answer": f"answer of {name}", "fail": fails}
        rng = random.Random(self._rng.getrandbits(64))
        caller = virtual_callers.Caller(
            world=self.world,
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
            patient=patient)
        self.callers[name] = caller
        self.submitted_s[name] = self.world.clock.now_s
        caller.begin()

    def _submit_named(self, team: str, template: str, name: str, run_s: str,
                      node: str | None, once: str | None,
                      wait_s: str | None) -> None:
        self.submit(team,
                    template,
                    name,
                    float(run_s),
                    nodes=(self._name_node(node),) if node else (),
                    patient=once is None,
                    wait_s=float(wait_s or WAIT_S))

    def _submit_many(self, team: str, count: str, template: str,
                     run_s: str) -> None:
        first = len(self.callers)
        for number in range(first, first + int(count)):
            self.submit(team, template, f"{template}-{number}", float(run_s))

    def _submit_stream(self, team: str, rate: str, template: str, run_s: str,
                       duration_s: str) -> None:
        for number in range(int(float(rate) * float(duration_s))):
            self.world.clock.schedule(
                number / float(rate),
                lambda: self._submit_many(team, "1", template, run_s))

    def _submit_failing(self, team: str, template: str, name: str) -> None:
        self.submit(team, template, name, 1.0, fails=True)

    def _turn_to(self, name: str, node: str) -> None:
        self.callers[name].nodes = (node,)

    def _cancel(self, name: str) -> None:
        self.callers[name].cancel()

    def _cancel_all(self) -> None:
        for caller in self.callers.values():
            caller.cancel()

    # Nodes.

    def _name_node(self, who: str) -> str:
        if who == "the owner":
            return self.world.find_owner() or "n1"
        if who == "another node":
            owner = self.world.find_owner()
            return next(name for name in sorted(self.world.nodes)
                        if name != owner and self.world.nodes[name].host.alive)
        return who.removeprefix("node ")

    def _kill(self, who: str, duration_s: str | None) -> None:
        name = self._name_node(who)
        self.world.kill_node(name)
        self._later(duration_s, lambda: self.world.start_node(name))

    def _freeze(self, who: str, duration_s: str) -> None:
        host = self.world.nodes[self._name_node(who)].host
        host.frozen = True
        self._later(duration_s, host.thaw)

    def _start(self, name: str) -> None:
        self.world.start_node(name)

    def _stop(self, who: str) -> None:
        self.world.stop_node(self._name_node(who))

    def _replace_in_turn(self) -> None:
        for number, name in enumerate(sorted(self.world.nodes)):
            self.world.clock.schedule(
                number * REPLACE_S, functools.partial(self._replace, name, 3.0))

    def _replace_at_once(self, duration_s: str) -> None:
        for name in sorted(self.world.nodes):
            self._replace(name, float(duration_s))

    def _replace(self, name: str, duration_s: float) -> None:
        self.world.stop_node(name)
        self.world.clock.schedule(duration_s,
                                  lambda: self.world.start_node(f"{name}-new"))

    def _cut_store(self, who: str, duration_s: str) -> None:
        self._cut(self._name_node(who), virtual.Platform.NAME, duration_s)

    def _cut_nodes(self, who: str, duration_s: str) -> None:
        name = self._name_node(who)
        for other in list(self.world.nodes):
            if other != name:
                self._cut(name, other, duration_s)

    def _mute_store(self, who: str, duration_s: str) -> None:
        name = self._name_node(who)
        network = self.world.network
        network.cut(virtual.Platform.NAME, name)
        self._later(duration_s,
                    lambda: network.join(virtual.Platform.NAME, name))

    def _cut(self, first: str, second: str, duration_s: str | None) -> None:
        network = self.world.network
        for pair in ((first, second), (second, first)):
            network.cut(*pair)
            self._later(duration_s, functools.partial(network.join, *pair))

    # The store.

    def _set_store(self, mode: str, duration_s: str) -> None:
        platform = self.world.platform
        platform.mode = virtual.StoreMode(mode)

        def repair() -> None:
            platform.mode = virtual.StoreMode.UP

        self._later(duration_s, repair)

    def _lose_answers(self, count: str) -> None:
        self.world.platform.lost_answers = int(count)

    def _damage_answer(self, name: str) -> None:
        prefix = f"answer/{self.callers[name].request_id}."
        objects = self.world.platform.objects
        for key in objects:
            if key.startswith(prefix):
                objects[key] = b"x" + objects[key][1:]

    # Workers.

    def name_worker(self, who: str) -> str:
        """Returns the id of the worker that a phrase means."""
        if who == "that worker":
            return self._subject
        match = re.fullmatch(r'the (last )?worker of "([^"]+)"', who)
        if match is None:
            return who.removeprefix("worker ")
        reserved = [
            entry for entry in self.find_events(match[2], "reserve")
            if entry["ranks"]
        ]
        pick = max if match[1] else min
        return str(pick(reserved, key=lambda entry: entry["ranks"])["worker"])

    def _restart(self, who: str) -> None:
        self.world.restart_worker(self.name_worker(who))

    def _cut_worker(self, who: str, duration_s: str | None) -> None:
        worker = self.name_worker(who)
        for node in list(self.world.nodes):
            self._cut(node, worker, duration_s)

    def _mute_worker(self, who: str, duration_s: str) -> None:
        worker = self.name_worker(who)
        network = self.world.network
        for node in list(self.world.nodes):
            network.cut(worker, node)
            self._later(duration_s, functools.partial(network.join, worker,
                                                      node))

    def _lose_worker(self, who: str) -> None:
        worker = self.name_worker(who)
        self.world.restart_worker(worker)
        self.world.down.add(worker)
        self.world.mark_worker(worker, "gone")

    def _remove_worker(self, who: str) -> None:
        self.world.mark_worker(self.name_worker(who), "gone")

    def _break_worker(self, who: str, duration_s: str | None) -> None:
        machine = self.world.machines[self.name_worker(who)]
        clock = self.world.clock
        machine.fail_everything(True, clock.now_s)
        self._later(duration_s,
                    lambda: machine.fail_everything(False, clock.now_s))

    def _mark_listed(self, who: str) -> None:
        worker = self.name_worker(who)
        self.world.mark_worker(worker, "leaving")
        self._note_mark(worker)

    def _mark_self(self, who: str) -> None:
        worker = self.name_worker(who)
        self.world.machines[worker].leaving = True
        self._note_mark(worker)

    def _drain(self, who: str, node: str) -> None:
        worker = self.name_worker(who)
        operations = self.world.nodes[self._name_node(node)].node.operations
        operations.drain("op", worker, True, self._note_drain)
        self._note_mark(worker)

    def _note_drain(self, response: Any) -> None:
        self.drained_s[response.status] = self.world.clock.now_s

    def _note_mark(self, worker: str) -> None:
        self.world.history.append(
            judgement.describe_mark(self.world, worker, "leaving"))

    def _set_fate(self, verb: str, fate: virtual.Fate) -> None:
        self.world.fates[verb] = fate

    def _delay(self, delay_s: str, duration_s: str) -> None:
        self.world.network.extra_delay_s = float(delay_s)

        def repair() -> None:
            self.world.network.extra_delay_s = 0.0

        self._later(duration_s, repair)

    def _delay_message(self, kind: str, delay_s: str) -> None:
        self.world.message_delays[kind] = float(delay_s)

    def _delay_command(self, verb: str, delay_s: str) -> None:
        self.world.command_delays[verb] = float(delay_s)

    # Operators.

    def _publish(self, node: str) -> None:
        self._weight += 1.0
        documents = build_documents(self.teams, self._templates, self._weight)
        self.world.publish(self._name_node(node), documents,
                           self.published.append)

    def _withdraw(self, template: str, node: str) -> None:
        self._templates.discard(template)
        self._publish(node)

    def _restore(self, template: str, node: str) -> None:
        self._templates.add(template)
        self._publish(node)

    def _guarantee(self, gangs: str, tasks: str, accelerators: str, team: str,
                   node: str) -> None:
        shape = request.Shape(int(tasks), int(accelerators))
        before = self.teams[team]
        self.teams[team] = Team(int(gangs), shape)
        self._publish(node)
        self.teams[team] = before

    def _pass(self, duration_s: str) -> None:
        self.world.run(float(duration_s))

    # Questions.

    def find_events(self, name: str, *kinds: str) -> list[dict[str, Any]]:
        """Returns the lines of the workers' histories about a request.

        Args:
            name: Name of the request.
            *kinds: Events to return.
        """
        request_id = self.callers[name].request_id
        return [
            entry for entry in self.world.history if entry["event"] in kinds and
            entry["attempt"].rpartition(".")[0] == request_id
        ]

    def count_attempts(self, name: str) -> int:
        """Returns the number of attempts of which something started."""
        return len(
            {entry["attempt"] for entry in self.find_events(name, "start")})

    def measure_start(self, name: str) -> float:
        """Returns the seconds from submission until all ranks had started."""
        ranks: set[int] = set()
        shape = self.callers[name].told[0]["shape"]
        for entry in self.find_events(name, "start"):
            ranks.update(entry["ranks"])
            if len(ranks) == shape[0]:
                return float(entry["at_s"] - self.submitted_s[name])
        return float("inf")

    def find_cut_short(self) -> list[dict[str, Any]]:
        """Returns the lines of the histories that end a task by force."""
        started = {(line["worker"], line["attempt"])
                   for line in self.world.history
                   if line["event"] == "start"}
        return [
            line for line in self.world.history
            if line["event"] in ("stop", "lapse", "fail") and
            (line["worker"], line["attempt"]) in started
        ]

    def settle(self, limit_s: float = END_S) -> None:
        """Lets time pass until each caller knows its outcome."""
        end_s = self.world.clock.now_s + limit_s
        while self.world.clock.now_s < end_s:
            self.world.run(1.0)
            if all(caller.is_done for caller in self.callers.values()):
                return

    def settle_one(self, name: str, limit_s: float = END_S) -> str:
        """Lets time pass until one caller knows its outcome; returns it."""
        end_s = self.world.clock.now_s + limit_s
        while not self.callers[name].is_done:
            if self.world.clock.now_s >= end_s:
                return "none"
            self.world.run(0.5)
        return str(self.callers[name].outcome)

    def judge(self) -> list[str]:
        """Settles, then returns what the independent checker finds."""
        self.settle()
        return judgement.find_violations(self.world, self.callers.values())

    @property
    def pending_steps(self) -> list[tuple[str, str]]:
        """Steps that were waited for and never came."""
        return self._waiting


_WHO = r"(the owner|another node|node [\w-]+)"
_WORKER = r'(that worker|worker \w+|the (?:last )?worker of "[^"]+")'
_FOR = r" for ([\d.]+) s"
_NODE = rf" through {_WHO}"

# Each group of a pattern is an argument of the action.
ACTIONS: dict[str, Callable[..., None]] = {
    r'"(\w+)" submits an? "(\w+)" request "([\w-]+)" that runs ([\d.]+) s'
    rf"(?:{_NODE})?(?: (once))?(?: and waits ([\d.]+) s)?":
        Scene._submit_named,
    r'"(\w+)" submits (\d+) "(\w+)" requests that run ([\d.]+) s':
        Scene._submit_many,
    r'"(\w+)" submits ([\d.]+) "(\w+)" requests a second that run ([\d.]+) s'
    rf"{_FOR}":
        Scene._submit_stream,
    r'"(\w+)" submits an? "(\w+)" request "([\w-]+)" that fails':
        Scene._submit_failing,
    r'the caller cancels "([\w-]+)"':
        Scene._cancel,
    r'the caller of "([\w-]+)" asks node ([\w-]+) from now on':
        Scene._turn_to,
    r"all callers cancel":
        Scene._cancel_all,
    rf"{_WHO} is killed(?:{_FOR})?":
        Scene._kill,
    rf"{_WHO} is frozen{_FOR}":
        Scene._freeze,
    r"node ([\w-]+) starts":
        Scene._start,
    rf"{_WHO} stops as planned":
        Scene._stop,
    r"all nodes are replaced one after the other":
        Scene._replace_in_turn,
    r"all nodes are replaced at once after ([\d.]+) s":
        Scene._replace_at_once,
    rf"{_WHO} is cut off from the store{_FOR}":
        Scene._cut_store,
    rf"{_WHO} is cut off from the other nodes{_FOR}":
        Scene._cut_nodes,
    rf"{_WHO} hears nothing of the store{_FOR}":
        Scene._mute_store,
    rf"the store is (down|slow|lose answers){_FOR}":
        Scene._set_store,
    r"the store loses its next (\d+) answers":
        Scene._lose_answers,
    r'the stored answer of "([\w-]+)" is damaged':
        Scene._damage_answer,
    rf"{_WORKER} restarts":
        Scene._restart,
    rf"{_WORKER} is cut off(?:{_FOR})?":
        Scene._cut_worker,
    rf"{_WORKER} is not heard{_FOR}":
        Scene._mute_worker,
    rf"{_WORKER} is lost":
        Scene._lose_worker,
    rf"{_WORKER} is gone from the VM list":
        Scene._remove_worker,
    rf"{_WORKER} fails everything(?:{_FOR})?":
        Scene._break_worker,
    rf"{_WORKER} is marked as leaving in the VM list":
        Scene._mark_listed,
    rf"{_WORKER} says that it is leaving":
        Scene._mark_self,
    rf"an operator drains {_WORKER}{_NODE}":
        Scene._drain,
    r"the next (\w+) command is refused":
        lambda scene, verb: scene._set_fate(verb, virtual.Fate.REFUSE),
    r"the next (\w+) command is delayed by ([\d.]+) s":
        Scene._delay_command,
    r"the next (\w+) command is lost":
        lambda scene, verb: scene._set_fate(verb, virtual.Fate.LOSE_COMMAND),
    r"the answer to the next (\w+) command is lost":
        lambda scene, verb: scene._set_fate(verb, virtual.Fate.LOSE_ANSWER),
    r"the next (\w+) message is delayed by ([\d.]+) s":
        Scene._delay_message,
    r"the next answer is cut short on its way":
        lambda scene: scene._set_fate("answer", virtual.Fate.CUT_SHORT),
    rf"messages take up to ([\d.]+) s{_FOR}":
        Scene._delay,
    rf"an operator publishes a change{_NODE}":
        Scene._publish,
    rf'an operator withdraws "(\w+)"{_NODE}':
        Scene._withdraw,
    rf'an operator restores "(\w+)"{_NODE}':
        Scene._restore,
    r"an operator publishes a guarantee of (\d+) gangs of (\d+) x (\d+) "
    rf'accelerators for "(\w+)"{_NODE}':
        Scene._guarantee,
    r"([\d.]+) s pass":
        Scene._pass
}
