"""Callers that submit requests to a cluster and record the responses."""

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


class CallerRequest(NamedTuple):
    """A request as its caller submitted it.

    Attributes:
        request_id: Id of the request.
        key: Idempotency key.
        team: Team of the caller.
        template: Template of the request.
        shape: Shape of its gang.
        idempotent: Whether it may run more than once.
        payload: Input of its tasks.
        expected_sha256: SHA-256 of the expected answer.
        nodes: Nodes to submit it to; all running ones if empty.
    """

    request_id: str
    key: str
    team: str
    template: str
    shape: request.Shape
    idempotent: bool
    payload: dict[str, Any]
    expected_sha256: str
    nodes: tuple[str, ...]


class RequestOutcome(NamedTuple):
    """Final outcome of a request.

    Attributes:
        caller_request: The request.
        status: Final status.
        is_answer_correct: Whether the answer is the expected one; None if the
            request has not completed and so has no answer.
    """

    caller_request: CallerRequest
    status: results.Status
    is_answer_correct: bool | None


class Callers:
    """Callers of all teams of one cluster.

    Attributes:
        history_path: File of the responses, in the format of the checker.
    """

    def __init__(self, *, cluster: processes.Cluster,
                 configuration: contract.Configuration,
                 history_path: pathlib.Path, token_prefix: str):
        """Creates callers for all teams.

        Args:
            cluster: Cluster to submit requests to.
            configuration: Templates and teams in force.
            history_path: File to append the responses to.
            token_prefix: Prefix of the teams' tokens; the name of the team
                follows.
        """
        self.history_path = history_path
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
               **payload: Any) -> CallerRequest:
        """Submits a request; repeats that while the outcome is unknown.

        Args:
            team: Team of the caller.
            template: Name of a template.
            *nodes: Nodes to try; all running ones if none is given.
            run_s: Run time of each task in seconds.
            caller: Name of the caller inside the team.
            shape: Shape in place of the template's.
            **payload: Further fields of the stand-ins' payload.

        Returns:
            The request.

        Raises:
            NotRun: If the request was refused; the refusal is recorded.
            OutcomeUnknown: If the outcome is still unknown after
                SUBMIT_TIMEOUT_S.
        """
        key = uuid.uuid4().hex
        answer = f"answer to {key}"
        resolved = self._configuration.resolve_template(team, template)
        caller_request = CallerRequest(
            request_id=request.derive_request_id(team, key),
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
            expected_sha256=hashlib.sha256(answer.encode()).hexdigest(),
            nodes=nodes)
        self._send(caller_request, caller, shape)
        return caller_request

    def _send(self, caller_request: CallerRequest, caller: str,
              shape: request.Shape | None) -> results.Submission:
        client = self.connect(caller_request.team, *caller_request.nodes)
        deadline_s = time.monotonic() + SUBMIT_TIMEOUT_S
        while True:
            try:
                submission = client.submit(template=caller_request.template,
                                           payload=caller_request.payload,
                                           caller=caller,
                                           key=caller_request.key,
                                           shape=shape)
            except errors.OutcomeUnknown:
                self._record(caller_request, "unknown")
                if time.monotonic() >= deadline_s:
                    raise
                continue
            except errors.NotRun:
                self._record(caller_request,
                             request.State.NOT_RUN,
                             ran=request.Ran.NO)
                raise
            self._record(caller_request, history.ACCEPTED)
            return submission

    def resubmit(self, caller_request: CallerRequest, *nodes:
                 str) -> results.Submission:
        """Submits a request again with the same key, to the given nodes."""
        return self.connect(caller_request.team,
                            *nodes).submit(template=caller_request.template,
                                           payload=caller_request.payload,
                                           caller="desk",
                                           key=caller_request.key)

    def cancel(self, caller_request: CallerRequest) -> None:
        """Requests the cancellation of a request."""
        self.connect(caller_request.team).cancel(caller_request.request_id)

    def wait_for_state(self,
                       caller_request: CallerRequest,
                       state: request.State,
                       timeout_s: float = OUTCOME_TIMEOUT_S) -> None:
        """Waits until a request is in a state, or has a final outcome."""
        client = self.connect(caller_request.team)

        def check() -> bool:
            status = client.status(caller_request.request_id)
            return status.state == state or status.final

        processes.wait_until(check,
                             timeout_s=timeout_s,
                             condition=f"{caller_request.template} is {state}")

    def fetch_outcome(self,
                      caller_request: CallerRequest,
                      timeout_s: float = OUTCOME_TIMEOUT_S) -> RequestOutcome:
        """Waits for the outcome, fetches the answer and records both.

        Raises:
            StillPending: If there is no final outcome in time.
        """
        client = self.connect(caller_request.team)
        status = client.wait(caller_request.request_id, timeout_s=timeout_s)
        digest = ""
        if status.state == request.State.COMPLETED:
            answer = client.answer(caller_request.request_id)
            digest = hashlib.sha256(answer).hexdigest()
        self._record(caller_request,
                     status.state,
                     ran=status.ran,
                     digest=digest)
        is_answer_correct = (digest == caller_request.expected_sha256
                             if digest else None)
        return RequestOutcome(caller_request, status, is_answer_correct)

    def connect(self, team: str, *nodes: str) -> api.Client:
        """Returns a client of a team; nodes default to those that run now."""
        names = nodes or tuple(name
                               for name, node in self._cluster.nodes.items()
                               if node.is_running)
        addresses = [self._cluster.nodes[name].address for name in names]
        client_key = (team, *addresses)
        if client_key not in self._clients:
            self._clients[client_key] = self._cluster.connect(
                *names, token=self._token_prefix + team)
        return self._clients[client_key]

    def _record(self, caller_request: CallerRequest, outcome: str,
                **fields: str) -> None:
        line = {
            "request": caller_request.request_id,
            "outcome": outcome,
            "wall_s": time.time(),
            "idempotent": caller_request.idempotent,
            "shape": list(caller_request.shape),
            "expected": caller_request.expected_sha256,
            **fields
        }
        with self.history_path.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def find_violations(self) -> list[str]:
        """Checks the workers' history against the responses to callers.

        Returns:
            One line for each violated rule, and one if the histories have no
            requests or no starts.
        """
        history_checker = checker.read_recording(
            [self._cluster.workers.history], [self.history_path],
            checker.Bounds())
        lines = [
            str(violation) for violation in history_checker.find_violations()
        ]
        if not history_checker.requests or not history_checker.starts:
            lines.append("nothing to check: no requests or no starts")
        return lines
