"""Callers on the virtual clock: they retry, ask again, cancel and note."""

import hashlib
import json
import random
from typing import Any

from trefoilroad_core import request
from trefoilroad_node import edge as edges
from trefoilroad_node import node as nodes_module
from trefoilroad_standins import virtual

RETRY_S = 0.5
POLL_S = 0.5
# A caller gives up waiting for one response after this time and asks another
# node, with the same key.
RESPONSE_TIMEOUT_S = 6.0


class Caller:
    """One request of one caller, from submission to its final outcome."""

    def __init__(self,
                 *,
                 world: virtual.World,
                 team: str,
                 key: str,
                 body: dict[str, Any],
                 shape: request.Shape,
                 idempotent: bool,
                 rng: random.Random,
                 nodes: tuple[str, ...] = (),
                 patient: bool = True):
        """Prepares the request; `begin` submits it.

        Args:
            world: Where the nodes are.
            team: Team of the caller.
            key: Idempotency key.
            body: The submitted body; its payload names the answer.
            shape: Shape of the gang, for the checker.
            idempotent: Whether the template is idempotent, for the checker.
            rng: Chooses nodes.
            nodes: Nodes to ask; all if empty.
            patient: Whether it submits again after a refusal and asks again
                after silence. If not, it takes a refusal as the outcome and
                cancels after silence.
        """
        self.request_id = request.derive_request_id(team, key)
        self.outcome = ""
        self.told: list[dict[str, Any]] = []
        self.wants_cancel = False
        self._world = world
        self._team = team
        self._key = key
        self._body = body
        self._shape = shape
        self._idempotent = idempotent
        self._rng = rng
        self.nodes = nodes
        self._patient = patient
        self._serial = 0
        self.completed_s = float("nan")

    @property
    def is_done(self) -> bool:
        """Whether the caller knows the final outcome."""
        return bool(self.outcome)

    def begin(self) -> None:
        """Submits through some node."""
        self._ask(self._submit, self._take_submitted)

    def cancel(self) -> None:
        """Asks to cancel from now on."""
        self.wants_cancel = True

    def _pick_node(self) -> virtual.VirtualNode:
        names = self.nodes or sorted(self._world.nodes)
        return self._world.nodes[self._rng.choice(names)]

    def _ask(self, act: Any, take: Any) -> None:
        """Asks one node; a missing or late response counts as unknown."""
        self._serial += 1
        serial = self._serial
        node = self._pick_node()

        def respond(response: edges.Response) -> None:
            self._world.clock.schedule(0.001, lambda: finish(response))

        def finish(response: edges.Response | None) -> None:
            if serial == self._serial:
                self._serial += 1
                node.open_exchanges -= 1
                take(response)

        node.open_exchanges += 1
        if node.host.alive:
            node.host.deliver(lambda: act(node.node, respond))
        self._world.clock.schedule(RESPONSE_TIMEOUT_S, lambda: finish(None))

    def _submit(self, node: nodes_module.Node, respond: edges.Respond) -> None:
        # What the HTTP interface checks before it calls the edge.
        if self._team not in node.edge.configuration.teams:
            respond(edges.Response(401, {}))
        elif node.operations.stopping:
            respond(edges.Response(503, edges.describe_refusal("stopping")))
        else:
            node.edge.submit(self._team, self._key, self._body, respond)

    def _take_submitted(self, response: edges.Response | None) -> None:
        if response is not None and response.status in (200, 202):
            self._note("accepted", response.body)
            self._take_status(response)
        elif self._patient:
            self._retry_submission()
        elif response is not None and "outcome" in response.body:
            self._take_refusal(response.body)
        else:
            self.wants_cancel = True
            self._retry_submission()

    def _take_refusal(self, body: dict[str, Any]) -> None:
        self._note(body["outcome"], body)
        if body["outcome"] == request.State.NOT_RUN:
            self.outcome = body["outcome"]
        else:
            self.wants_cancel = True
            self._retry_submission()

    def _retry_submission(self) -> None:
        later = self.begin
        if self.wants_cancel:
            later = self._send_cancel
        self._world.clock.schedule(RETRY_S, later)

    def _poll(self) -> None:
        if self.wants_cancel:
            self._send_cancel()
            return
        self._ask(
            lambda node, respond: node.edge.show(self._team, self.request_id,
                                                 respond), self._take_status)

    def _send_cancel(self) -> None:
        self._ask(
            lambda node, respond: node.edge.cancel(self._team, self.request_id,
                                                   respond), self._take_status)

    def _take_status(self, response: edges.Response | None) -> None:
        known = response is not None and response.status in (200, 202)
        if known and response is not None and response.body["final"]:
            self._finish(response.body)
            return
        self._world.clock.schedule(POLL_S, self._poll)

    def _finish(self, body: dict[str, Any]) -> None:
        if body["state"] == request.State.COMPLETED:
            self._fetch(body)
            return
        self._note(body["state"], body)
        self.outcome = body["state"]

    def _fetch(self, body: dict[str, Any]) -> None:

        def take(response: edges.Response | None) -> None:
            if response is None or response.status != 200:
                self._world.clock.schedule(POLL_S, lambda: self._fetch(body))
                return
            self._note(body["state"], body, response.body)
            self.outcome = body["state"]
            self.completed_s = self._world.clock.now_s

        self._ask(
            lambda node, respond: node.edge.fetch_answer(
                self._team, self.request_id, respond), take)

    def _note(self,
              outcome: str,
              body: dict[str, Any],
              answer: bytes | None = None) -> None:
        expected = self._body["payload"]["answer"].encode()
        line = {
            "request": self.request_id,
            "outcome": outcome,
            "wall_s": self._world.clock.now_s,
            "idempotent": self._idempotent,
            "shape": list(self._shape),
            "ran": body.get("ran"),
            "digest": _hash(answer) if answer is not None else None,
            "expected": _hash(expected)
        }
        self.told.append(json.loads(json.dumps(line)))


def _hash(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
