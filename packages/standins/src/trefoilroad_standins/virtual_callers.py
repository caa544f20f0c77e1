"""Callers on a virtual clock: they submit, retry, poll and cancel."""

import hashlib
import json
import random
from typing import Any

from trefoilroad_core import request
from trefoilroad_node import edge as edges
from trefoilroad_node import node as nodes_module
from trefoilroad_standins import virtual_cluster

RETRY_DELAY_S = 0.5
POLL_INTERVAL_S = 0.5
# After this time without a response, a caller sends its call again, with the
# same key and possibly to another node.
RESPONSE_TIMEOUT_S = 6.0


class Caller:
    """One request of one caller, from submission to its final outcome.

    Attributes:
        request_id: Id of the request.
        outcome: Final outcome, empty until the caller has received it.
        observations: Responses that the caller received, in the form of the
            checker's input lines.
        cancel_requested: Whether the caller cancels instead of polling.
        nodes: Names of the nodes to call; all nodes if empty.
        completed_s: When the whole answer arrived, NaN until then.
    """

    def __init__(self,
                 *,
                 cluster: virtual_cluster.VirtualCluster,
                 team: str,
                 key: str,
                 body: dict[str, Any],
                 shape: request.Shape,
                 idempotent: bool,
                 rng: random.Random,
                 nodes: tuple[str, ...] = (),
                 retries: bool = True):
        """Creates a caller; `start` submits the request.

        Args:
            cluster: Cluster with the nodes.
            team: Team of the caller.
            key: Idempotency key.
            body: Body of the submission; its payload contains the answer.
            shape: Shape of the gang, for the checker.
            idempotent: Whether the template is idempotent, for the checker.
            rng: Random numbers for the choice of nodes.
            nodes: Names of the nodes to call; all nodes if empty.
            retries: Whether it repeats the submission after a refusal or if
                there is no response. If not, it accepts a refusal as the
                outcome and cancels the request if there is no response.
        """
        self.request_id = request.derive_request_id(team, key)
        self.outcome = ""
        self.observations: list[dict[str, Any]] = []
        self.cancel_requested = False
        self._cluster = cluster
        self._team = team
        self._key = key
        self._body = body
        self._shape = shape
        self._idempotent = idempotent
        self._rng = rng
        self.nodes = nodes
        self._retries = retries
        self._call_number = 0
        self.completed_s = float("nan")

    @property
    def is_done(self) -> bool:
        """Whether the caller has received the final outcome."""
        return bool(self.outcome)

    def start(self) -> None:
        """Submits the request through a random node."""
        self._send(self._submit, self._handle_submission)

    def cancel(self) -> None:
        """Turns later polls and repeated submissions into cancellations."""
        self.cancel_requested = True

    def _pick_node(self) -> virtual_cluster.VirtualNode:
        names = self.nodes or sorted(self._cluster.nodes)
        return self._cluster.nodes[self._rng.choice(names)]

    def _send(self, operation: Any, on_response: Any) -> None:
        """Calls one node; passes None if there is no response in time."""
        self._call_number += 1
        number = self._call_number
        node = self._pick_node()

        def respond(response: edges.Response) -> None:
            self._cluster.clock.schedule(0.001, lambda: finish(response))

        def finish(response: edges.Response | None) -> None:
            if number == self._call_number:
                self._call_number += 1
                node.open_calls -= 1
                on_response(response)

        node.open_calls += 1
        if node.host.alive:
            node.host.deliver(lambda: operation(node.node, respond))
        self._cluster.clock.schedule(RESPONSE_TIMEOUT_S, lambda: finish(None))

    def _submit(self, node: nodes_module.Node, respond: edges.Respond) -> None:
        # The HTTP interface makes these checks before it calls the edge.
        if self._team not in node.edge.configuration.teams:
            respond(edges.Response(401, {}))
        elif node.operations.stopping:
            respond(edges.Response(503, edges.describe_refusal("stopping")))
        else:
            node.edge.submit(self._team, self._key, self._body, respond)

    def _handle_submission(self, response: edges.Response | None) -> None:
        if response is not None and response.status in (200, 202):
            self._record("accepted", response.body)
            self._handle_status(response)
        elif self._retries:
            self._retry_submission()
        elif response is not None and "outcome" in response.body:
            self._handle_refusal(response.body)
        else:
            self.cancel_requested = True
            self._retry_submission()

    def _handle_refusal(self, body: dict[str, Any]) -> None:
        self._record(body["outcome"], body)
        if body["outcome"] == request.State.NOT_RUN:
            self.outcome = body["outcome"]
        else:
            self.cancel_requested = True
            self._retry_submission()

    def _retry_submission(self) -> None:
        next_call = self.start
        if self.cancel_requested:
            next_call = self._send_cancel
        self._cluster.clock.schedule(RETRY_DELAY_S, next_call)

    def _poll(self) -> None:
        if self.cancel_requested:
            self._send_cancel()
            return
        self._send(
            lambda node, respond: node.edge.show(self._team, self.request_id,
                                                 respond), self._handle_status)

    def _send_cancel(self) -> None:
        self._send(
            lambda node, respond: node.edge.cancel(
                self._team, self.request_id, respond), self._handle_status)

    def _handle_status(self, response: edges.Response | None) -> None:
        is_status = response is not None and response.status in (200, 202)
        if is_status and response is not None and response.body["final"]:
            self._finish(response.body)
            return
        self._cluster.clock.schedule(POLL_INTERVAL_S, self._poll)

    def _finish(self, body: dict[str, Any]) -> None:
        if body["state"] == request.State.COMPLETED:
            self._fetch(body)
            return
        self._record(body["state"], body)
        self.outcome = body["state"]

    def _fetch(self, body: dict[str, Any]) -> None:

        def on_response(response: edges.Response | None) -> None:
            if response is None or response.status != 200:
                self._cluster.clock.schedule(POLL_INTERVAL_S,
                                             lambda: self._fetch(body))
                return
            self._record(body["state"], body, response.body)
            self.outcome = body["state"]
            self.completed_s = self._cluster.clock.now_s

        self._send(
            lambda node, respond: node.edge.fetch_answer(
                self._team, self.request_id, respond), on_response)

    def _record(self,
                outcome: str,
                body: dict[str, Any],
                answer: bytes | None = None) -> None:
        expected = self._body["payload"]["answer"].encode()
        line = {
            "request": self.request_id,
            "outcome": outcome,
            "wall_s": self._cluster.clock.now_s,
            "idempotent": self._idempotent,
            "shape": list(self._shape),
            "ran": body.get("ran"),
            "digest": _hash(answer) if answer is not None else None,
            "expected": _hash(expected)
        }
        self.observations.append(json.loads(json.dumps(line)))


def _hash(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()
