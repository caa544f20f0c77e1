"""State machine of one caller with one request, without sockets or clock."""

from collections.abc import Callable
import enum
import hashlib
import json
import random
from typing import Any
from typing import NamedTuple

from trefoilroad_core import request
from trefoilroad_standins import schedule

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
# The poll interval grows with the age of the request, so that latencies are
# measured with an error of at most 5%.
POLL_AGE_SHARE = 0.05
MAX_POLL_INTERVAL_S = 5.0
NO_RESPONSE = 0


class HttpResponse(NamedTuple):
    """A node's response.

    Attributes:
        status: HTTP status, NO_RESPONSE if there was no response.
        content: The body.
        took_s: Seconds from sending the request to the end of the response.
    """

    status: int
    content: bytes = b""
    took_s: float = 0.0

    def decode(self) -> dict[str, Any]:
        """Returns the decoded body, empty if it is not a JSON object."""
        try:
            document = json.loads(self.content)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}


class HttpRequest(NamedTuple):
    """One HTTP request to a node.

    Attributes:
        node: URL of the node.
        method: HTTP method.
        path: Path on the node.
        headers: Further headers.
        body: JSON body, None for none.
    """

    node: str
    method: str
    path: str
    headers: dict[str, str]
    body: dict[str, Any] | None


Send = Callable[[HttpRequest], HttpResponse]
RecordEvent = Callable[[dict[str, Any]], None]


class Outcome(enum.StrEnum):
    """Outcomes of a session besides the final states of requests."""

    REJECTED = "rejected"
    GAVE_UP = "gave_up"


class Phase(enum.Enum):
    """Next step of a session."""

    SUBMIT = enum.auto()
    FOLLOW = enum.auto()
    FETCH = enum.auto()
    DONE = enum.auto()


class CallerOptions(NamedTuple):
    """Options of the callers.

    Attributes:
        poll_s: Shortest interval of polls in seconds.
        give_up_s: Seconds from the first submission until the caller gives up.
    """

    poll_s: float = 0.25
    give_up_s: float = 600.0


class Session:
    """Submits a request, polls its status and fetches its answer.

    Every repeat of a submission has the same key and goes to another node.

    Attributes:
        entry: The request.
        outcome: How it ended, empty until then.
        wrong_answer: Whether the answer differed from the expected one.
        times_s: Times of the events "sent", "accepted", "running" and "ended",
            as the caller observed them, on the monotonic clock.
    """

    def __init__(self, *, entry: schedule.ScheduledRequest, nodes: list[str],
                 token: str, send: Send, record: RecordEvent,
                 options: CallerOptions, seed: int):
        """Creates a session; the first step submits the request.

        Args:
            entry: The request.
            nodes: URLs of the nodes.
            token: Bearer token of the team.
            send: Sends a request to a node.
            record: Receives the history entries.
            options: Options of the caller.
            seed: Seed of the order of nodes and of the retry delays.
        """
        self.entry = entry
        self.outcome = ""
        self.wrong_answer = False
        self.times_s: dict[str, float] = {}
        self._random = random.Random(f"{seed} {entry.team} {entry.key}")
        self._nodes = self._random.sample(nodes, len(nodes))
        self._headers = {"Authorization": f"Bearer {token}"}
        self._send = send
        self._record = record
        self._options = options
        self._phase = Phase.SUBMIT
        self._now_s = 0.0
        self._request_id = ""
        self._state = ""
        self._failures = 0
        self._submission_unanswered = False
        self._cancelled = False

    def step(self, now_s: float) -> float | None:
        """Carries out the next step.

        Args:
            now_s: The time on a monotonic clock, in seconds.

        Returns:
            When to call it again, None if the session has ended.
        """
        self._now_s = now_s
        self.times_s.setdefault("sent", now_s)
        if self._age_s >= self._options.give_up_s:
            self._end(Outcome.GAVE_UP)
        elif self._phase == Phase.SUBMIT:
            self._submit()
        elif self._phase == Phase.FETCH:
            self._fetch_answer()
        elif self._is_cancel_due():
            self._cancel()
        elif self._phase == Phase.FOLLOW:
            self._poll_status()
        return None if self._phase == Phase.DONE else self._compute_next_time()

    @property
    def _age_s(self) -> float:
        return self._now_s - self.times_s["sent"]

    def _is_cancel_due(self) -> bool:
        after_s = self.entry.cancel_after_s
        return (self._phase == Phase.FOLLOW and not self._cancelled and
                after_s is not None and self._age_s >= after_s)

    def _compute_next_time(self) -> float:
        if self._failures:
            backoff_s = min(MAX_RETRY_DELAY_S,
                            MIN_RETRY_DELAY_S * 2**self._failures)
            wait_s = self._random.uniform(MIN_RETRY_DELAY_S, backoff_s)
        elif self._phase == Phase.FETCH:
            wait_s = 0.0
        else:
            age_poll_s = min(MAX_POLL_INTERVAL_S, POLL_AGE_SHARE * self._age_s)
            wait_s = max(self._options.poll_s, age_poll_s)
        give_up_s = self.times_s["sent"] + self._options.give_up_s
        return min(self._now_s + wait_s, give_up_s)

    def _call_node(self,
                   method: str,
                   path: str,
                   body: dict[str, Any] | None = None,
                   **headers: str) -> HttpResponse:
        node = self._nodes[0]
        all_headers = {**self._headers, **headers}
        response = self._send(HttpRequest(node, method, path, all_headers,
                                          body))
        self._now_s += response.took_s
        if response.status == NO_RESPONSE:
            self._record_event("no_answer", method=method, path=path)
        return response

    def _switch_node(self) -> None:
        self._failures += 1
        self._nodes.append(self._nodes.pop(0))

    def _record_event(self, event: str, **event_fields: Any) -> None:
        self._record({
            "event": event,
            "at_s": self._now_s,
            "team": self.entry.team,
            "key": self.entry.key,
            "request_id": self._request_id,
            "node": self._nodes[0],
            **event_fields
        })

    def _record_response(self, event: str, response: HttpResponse) -> None:
        self._record_event(event,
                           status=response.status,
                           document=response.decode())

    def _end(self, outcome: str) -> None:
        self._phase = Phase.DONE
        self.outcome = outcome
        self.times_s["ended"] = self._now_s
        self._record_event("end", outcome=outcome)

    def _submit(self) -> None:
        self._record_event("submit", body=self.entry.body)
        response = self._call_node("POST", "/v1/requests", self.entry.body,
                                   **{"Idempotency-Key": self.entry.key})
        if response.status == NO_RESPONSE:
            self._submission_unanswered = True
            self._switch_node()
            return
        self._record_response("told", response)
        document = response.decode()
        if response.status in (200, 202) and "request_id" in document:
            self._accept(document)
        elif (document.get("outcome") == request.State.NOT_RUN and
              not self._submission_unanswered):
            # Final only if every earlier submission got a response: one
            # without a response may have been accepted.
            self._end(request.State.NOT_RUN)
        elif 400 <= response.status < 500 and response.status != 429:
            self._end(Outcome.REJECTED)
        else:
            self._switch_node()

    def _accept(self, document: dict[str, Any]) -> None:
        self._failures = 0
        self._phase = Phase.FOLLOW
        self._request_id = document["request_id"]
        self.times_s["accepted"] = self._now_s
        self._handle_status(document)

    def _poll_status(self) -> None:
        response = self._call_node("GET", f"/v1/requests/{self._request_id}")
        if response.status != 200:
            if response.status != NO_RESPONSE:
                self._record_response("told", response)
            self._switch_node()
            return
        self._failures = 0
        self._handle_status(response.decode())

    def _cancel(self) -> None:
        self._record_event("cancel")
        path = f"/v1/requests/{self._request_id}/cancel"
        response = self._call_node("POST", path, {})
        if response.status == NO_RESPONSE or response.status >= 500:
            self._switch_node()
            return
        self._failures = 0
        self._cancelled = True
        self._record_response("cancel_told", response)

    def _handle_status(self, document: dict[str, Any]) -> None:
        state = document.get("state", "")
        if state == self._state:
            return
        self._state = state
        self._record_event("status", document=document)
        if state == request.State.RUNNING:
            self.times_s.setdefault("running", self._now_s)
        if state == request.State.COMPLETED:
            self._phase = Phase.FETCH
        elif state in request.FINAL_STATES:
            self._end(state)

    def _fetch_answer(self) -> None:
        response = self._call_node("GET",
                                   f"/v1/requests/{self._request_id}/answer")
        if response.status != 200:
            if response.status != NO_RESPONSE:
                self._record_response("told", response)
            self._switch_node()
            return
        self.wrong_answer = not is_expected_answer(response.content, self.entry,
                                                   self._request_id)
        self._record_event("answer",
                           length=len(response.content),
                           sha256=hashlib.sha256(response.content).hexdigest(),
                           wrong=self.wrong_answer)
        self._end(request.State.COMPLETED)


def is_expected_answer(content: bytes, entry: schedule.ScheduledRequest,
                       request_id: str) -> bool:
    """Tells whether an answer is what the stand-ins' tasks return.

    Args:
        content: The answer.
        entry: The request.
        request_id: Id of the request, part of the attempt id in the default
            answer.

    Returns:
        Whether it is the whole answer to this request.
    """
    payload = entry.body.get("payload")
    if isinstance(payload, dict) and "answer" in payload:
        return content == payload["answer"].encode()
    digest = hashlib.sha256(json.dumps(payload,
                                       sort_keys=True).encode()).hexdigest()
    document = HttpResponse(200, content).decode()
    attempt = str(document.get("attempt", ""))
    return (document.get("payload_sha256") == digest and
            attempt.rpartition(".")[0] == request_id)
