"""What one caller does to get one request done, without sockets or clock."""

from collections.abc import Callable
import enum
import hashlib
import json
import random
from typing import Any
from typing import NamedTuple

from trefoilroad_core import request
from trefoilroad_standins import schedule

RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# Looks become rarer with age, so that times are seen with an error of 5%.
POLL_SHARE = 0.05
POLL_MAX_S = 5.0
NO_ANSWER = 0


class Answer(NamedTuple):
    """A node's answer.

    Attributes:
        status: HTTP status, NO_ANSWER if none came.
        content: The body.
        took_s: Seconds from sending the request to the end of the answer.
    """

    status: int
    content: bytes = b""
    took_s: float = 0.0

    def decode(self) -> dict[str, Any]:
        """Returns the body as an object, empty if it is not one."""
        try:
            document = json.loads(self.content)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}


class Exchange(NamedTuple):
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


Send = Callable[[Exchange], Answer]
Record = Callable[[dict[str, Any]], None]


class Outcome(enum.StrEnum):
    """Ends of a session besides the final states of requests."""

    REJECTED = "rejected"
    GAVE_UP = "gave_up"


class Phase(enum.Enum):
    """What a session does next."""

    SUBMIT = enum.auto()
    FOLLOW = enum.auto()
    FETCH = enum.auto()
    DONE = enum.auto()


class Options(NamedTuple):
    """How callers behave.

    Attributes:
        poll_s: Seconds between two looks at a young request.
        give_up_s: Seconds after the first submission at which the caller
            stops asking.
    """

    poll_s: float = 0.25
    give_up_s: float = 600.0


class Session:
    """Submits a request, follows it and fetches its answer.

    Every repeat of a submission has the same key and goes to another node.

    Attributes:
        entry: The request.
        outcome: How it ended, empty while it goes on.
        wrong_answer: Whether an answer differed from the expected one.
        times_s: When the caller first sent, was accepted, saw it running and
            saw its end, by event name.
    """

    def __init__(self, *, entry: schedule.ScheduledRequest, nodes: list[str],
                 token: str, send: Send, record: Record, options: Options,
                 seed: int):
        """Starts before the first submission.

        Args:
            entry: The request.
            nodes: URLs of the nodes.
            token: Bearer token of the team.
            send: Sends a request to a node.
            record: Takes what the caller is told.
            options: How the caller behaves.
            seed: Seed of the order of nodes and of the waits.
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
        self._unanswered = False
        self._cancelled = False

    def step(self, now_s: float) -> float | None:
        """Does what is due.

        Args:
            now_s: The time on a monotonic clock, in seconds.

        Returns:
            When to call again, None at the end.
        """
        self._now_s = now_s
        self.times_s.setdefault("sent", now_s)
        if self._age_s >= self._options.give_up_s:
            self._end(Outcome.GAVE_UP)
        elif self._phase == Phase.SUBMIT:
            self._submit()
        elif self._phase == Phase.FETCH:
            self._fetch()
        elif self._is_cancel_due():
            self._cancel()
        elif self._phase == Phase.FOLLOW:
            self._follow()
        return None if self._phase == Phase.DONE else self._plan()

    @property
    def _age_s(self) -> float:
        return self._now_s - self.times_s["sent"]

    def _is_cancel_due(self) -> bool:
        after_s = self.entry.cancel_after_s
        return (self._phase == Phase.FOLLOW and not self._cancelled and
                after_s is not None and self._age_s >= after_s)

    def _plan(self) -> float:
        if self._failures:
            longest_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**self._failures)
            wait_s = self._random.uniform(RETRY_MIN_S, longest_s)
        elif self._phase == Phase.FETCH:
            wait_s = 0.0
        else:
            slower_s = min(POLL_MAX_S, POLL_SHARE * self._age_s)
            wait_s = max(self._options.poll_s, slower_s)
        give_up_s = self.times_s["sent"] + self._options.give_up_s
        return min(self._now_s + wait_s, give_up_s)

    def _ask(self,
             method: str,
             path: str,
             body: dict[str, Any] | None = None,
             **headers: str) -> Answer:
        node = self._nodes[0]
        all_headers = {**self._headers, **headers}
        answer = self._send(Exchange(node, method, path, all_headers, body))
        self._now_s += answer.took_s
        if answer.status == NO_ANSWER:
            self._tell("no_answer", method=method, path=path)
        return answer

    def _turn(self) -> None:
        self._failures += 1
        self._nodes.append(self._nodes.pop(0))

    def _tell(self, event: str, **facts: Any) -> None:
        self._record({
            "event": event,
            "at_s": self._now_s,
            "team": self.entry.team,
            "key": self.entry.key,
            "request_id": self._request_id,
            "node": self._nodes[0],
            **facts
        })

    def _tell_answer(self, event: str, answer: Answer) -> None:
        self._tell(event, status=answer.status, document=answer.decode())

    def _end(self, outcome: str) -> None:
        self._phase = Phase.DONE
        self.outcome = outcome
        self.times_s["ended"] = self._now_s
        self._tell("end", outcome=outcome)

    def _submit(self) -> None:
        self._tell("submit", body=self.entry.body)
        answer = self._ask("POST", "/v1/requests", self.entry.body,
                           **{"Idempotency-Key": self.entry.key})
        if answer.status == NO_ANSWER:
            self._unanswered = True
            self._turn()
            return
        self._tell_answer("told", answer)
        document = answer.decode()
        if answer.status in (200, 202) and "request_id" in document:
            self._accept(document)
        elif (document.get("outcome") == request.State.NOT_RUN and
              not self._unanswered):
            # A refusal says nothing of an earlier submission without answer.
            self._end(request.State.NOT_RUN)
        elif 400 <= answer.status < 500 and answer.status != 429:
            self._end(Outcome.REJECTED)
        else:
            self._turn()

    def _accept(self, document: dict[str, Any]) -> None:
        self._failures = 0
        self._phase = Phase.FOLLOW
        self._request_id = document["request_id"]
        self.times_s["accepted"] = self._now_s
        self._learn(document)

    def _follow(self) -> None:
        answer = self._ask("GET", f"/v1/requests/{self._request_id}")
        if answer.status != 200:
            if answer.status != NO_ANSWER:
                self._tell_answer("told", answer)
            self._turn()
            return
        self._failures = 0
        self._learn(answer.decode())

    def _cancel(self) -> None:
        self._tell("cancel")
        path = f"/v1/requests/{self._request_id}/cancel"
        answer = self._ask("POST", path, {})
        if answer.status == NO_ANSWER or answer.status >= 500:
            self._turn()
            return
        self._failures = 0
        self._cancelled = True
        self._tell_answer("cancel_told", answer)

    def _learn(self, document: dict[str, Any]) -> None:
        state = document.get("state", "")
        if state == self._state:
            return
        self._state = state
        self._tell("status", document=document)
        if state == request.State.RUNNING:
            self.times_s.setdefault("running", self._now_s)
        if state == request.State.COMPLETED:
            self._phase = Phase.FETCH
        elif state in request.FINAL:
            self._end(state)

    def _fetch(self) -> None:
        answer = self._ask("GET", f"/v1/requests/{self._request_id}/answer")
        if answer.status != 200:
            if answer.status != NO_ANSWER:
                self._tell_answer("told", answer)
            self._turn()
            return
        self.wrong_answer = not is_expected(answer.content, self.entry,
                                            self._request_id)
        self._tell("answer",
                   length=len(answer.content),
                   sha256=hashlib.sha256(answer.content).hexdigest(),
                   wrong=self.wrong_answer)
        self._end(request.State.COMPLETED)


def is_expected(content: bytes, entry: schedule.ScheduledRequest,
                request_id: str) -> bool:
    """Compares an answer with what the stand-ins' tasks answer.

    Args:
        content: The answer.
        entry: The request.
        request_id: Its id, which is part of the default answer's attempt.

    Returns:
        Whether it is the whole answer to this request.
    """
    payload = entry.body.get("payload")
    if isinstance(payload, dict) and "answer" in payload:
        return content == payload["answer"].encode()
    digest = hashlib.sha256(json.dumps(payload,
                                       sort_keys=True).encode()).hexdigest()
    document = Answer(200, content).decode()
    attempt = str(document.get("attempt", ""))
    return (document.get("payload_sha256") == digest and
            attempt.rpartition(".")[0] == request_id)
