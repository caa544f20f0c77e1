"""Callers that submit requests and keep a record of what they are told."""

import hashlib
import json
import pathlib
import time
from typing import Any
from typing import NamedTuple
import uuid

from trefoilroad_client import api
from trefoilroad_client import results
from trefoilroad_core import contract
from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_replay import checker
from trefoilroad_replay import history
from trefoilroad_standins import processes

SUBMIT_TIMEOUT_S = 30.0
OUTCOME_TIMEOUT_S = 60.0


class Ask(NamedTuple):
    """A request that a caller submitted.

    Attributes:
        request_id: Identifier of the request.
        key: Idempotency key.
        team: Team of the caller.
        template: Template of the request.
        shape: Shape of its gang.
        idempotent: Whether it may run more than once.
        payload: Input of its tasks.
        expected: SHA-256 of the answer that the caller expects.
        nodes: Nodes that it was sent to.
    """

    request_id: str
    key: str
    team: str
    template: str
    shape: request.Shape
    idempotent: bool
    payload: dict[str, Any]
    expected: str
    nodes: tuple[str, ...]


class Outcome(NamedTuple):
    """What a caller was told in the end.

    Attributes:
        ask: The request.
        status: Final status.
        is_right: Whether the answer is the expected one; None if the request
            has not completed and so has no answer.
    """

    ask: Ask
    status: results.Status
    is_right: bool | None


class Callers:
    """Callers of all teams of one cluster.

    Attributes:
        log: File of what the callers were told, in the form of the checker.
    """

    def __init__(self, *, cluster: processes.Cluster,
                 configuration: contract.Configuration, log: pathlib.Path,
                 token_prefix: str):
        """Prepares the callers.

        Args:
            cluster: Where requests go.
            configuration: Templates and teams in force.
            log: File to append to.
            token_prefix: Beginning of the teams' tokens; the name of the team
                follows.
        """
        self.log = log
        self._cluster = cluster
        self._configuration = configuration
        self._token_prefix = token_prefix
        self._clients: dict[tuple[str, ...], api.Client] = {}

    def submit(self,
               team: str,
               template: str,
               *nodes: str,
               run_s: float = 1.0,
               caller: str = "desk",
               shape: request.Shape | None = None,
               **payload: Any) -> Ask:
        """Submits a request until its fate is known.

        Args:
            team: Team of the caller.
            template: Name of a template.
            *nodes: Nodes to try, all that run if none is given.
            run_s: Run time of each task in seconds.
            caller: Caller inside the team.
            shape: Shape in place of the template's.
            **payload: Further fields of the stand-ins' payload.

        Returns:
            The request.

        Raises:
            NotRun: If it was certainly not recorded; that is noted.
        """
        key = uuid.uuid4().hex
        answer = f"answer to {key}"
        resolved = self._configuration.resolve_template(team, template)
        ask = Ask(request_id=request.derive_request_id(team, key),
                  key=key,
                  team=team,
                  template=template,
                  shape=shape or resolved.shape,
                  idempotent=resolved.idempotent,
                  payload={
                      "run_s": run_s,
                      "answer": answer,
                      **payload
                  },
                  expected=hashlib.sha256(answer.encode()).hexdigest(),
                  nodes=nodes)
        self._send(ask, caller, shape)
        return ask

    def _send(self, ask: Ask, caller: str,
              shape: request.Shape | None) -> results.Submission:
        client = self.connect(ask.team, *ask.nodes)
        deadline_s = time.monotonic() + SUBMIT_TIMEOUT_S
        while True:
            try:
                submission = client.submit(template=ask.template,
                                           payload=ask.payload,
                                           caller=caller,
                                           key=ask.key,
                                           shape=shape)
            except errors.OutcomeUnknown:
                self._note(ask, "unknown")
                if time.monotonic() >= deadline_s:
                    raise
                continue
            except errors.NotRun:
                self._note(ask, request.State.NOT_RUN, ran=request.Ran.NO)
                raise
            self._note(ask, history.ACCEPTED)
            return submission

    def repeat(self, ask: Ask, *nodes: str) -> results.Submission:
        """Submits a request again with its key, to other nodes."""
        return self.connect(ask.team, *nodes).submit(template=ask.template,
                                                     payload=ask.payload,
                                                     caller="desk",
                                                     key=ask.key)

    def cancel(self, ask: Ask) -> None:
        """Asks to cancel a request."""
        self.connect(ask.team).cancel(ask.request_id)

    def wait_state(self,
                   ask: Ask,
                   state: request.State,
                   timeout_s: float = OUTCOME_TIMEOUT_S) -> None:
        """Waits until a request is in a state, or beyond it."""
        client = self.connect(ask.team)

        def check() -> bool:
            status = client.status(ask.request_id)
            return status.state == state or status.final

        processes.wait_until(check,
                             timeout_s=timeout_s,
                             what=f"{ask.template} is {state}")

    def finish(self, ask: Ask, timeout_s: float = OUTCOME_TIMEOUT_S) -> Outcome:
        """Waits for the outcome and fetches the answer.

        Raises:
            StillPending: If there is no final outcome in time.
        """
        client = self.connect(ask.team)
        status = client.wait(ask.request_id, timeout_s=timeout_s)
        digest = ""
        if status.state == request.State.COMPLETED:
            answer = client.answer(ask.request_id)
            digest = hashlib.sha256(answer).hexdigest()
        self._note(ask, status.state, ran=status.ran, digest=digest)
        is_right = digest == ask.expected if digest else None
        return Outcome(ask, status, is_right)

    def connect(self, team: str, *nodes: str) -> api.Client:
        """Returns a client of a team, of nodes that run now."""
        names = nodes or tuple(name
                               for name, node in self._cluster.nodes.items()
                               if node.is_running)
        addresses = [self._cluster.nodes[name].address for name in names]
        index = (team, *addresses)
        if index not in self._clients:
            self._clients[index] = self._cluster.connect(
                *names, token=self._token_prefix + team)
        return self._clients[index]

    def _note(self, ask: Ask, outcome: str, **fields: str) -> None:
        line = {
            "request": ask.request_id,
            "outcome": outcome,
            "wall_s": time.time(),
            "idempotent": ask.idempotent,
            "shape": list(ask.shape),
            "expected": ask.expected,
            **fields
        }
        with self.log.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def find_violations(self) -> list[str]:
        """Compares the workers' history with what the callers were told.

        Returns:
            One line for each rule that does not hold, and one if there was
            nothing to judge.
        """
        history_checker = checker.check_files([self._cluster.workers.history],
                                              [self.log], checker.Bounds())
        found = [
            str(violation) for violation in history_checker.find_violations()
        ]
        if not history_checker.requests or not history_checker.starts:
            found.append("nothing to judge: no requests or no starts")
        return found
