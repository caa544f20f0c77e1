"""Scriptable interface to trefoilroad for callers and operators."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
import http
import random
import time
from typing import Any
from typing import NoReturn
from typing import Self
from urllib import parse
import uuid

import httpx

from trefoilroad_client import exchange
from trefoilroad_client import refusal
from trefoilroad_client import results
from trefoilroad_client import retry
from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import request

TIMEOUT_S = 30.0

# The interval between polls grows with the time waited, so that many long
# waits do not use up the store's reads.
POLL_SHARE = 0.1
MIN_POLL_S = 0.2
MAX_POLL_S = 10.0


class Client:
    """Calls the nodes of one deployment.

    Each call tries the nodes in turn, with jittered backoff, until one gives
    a result, the time limit is over or the retry budget is used up.
    """

    def __init__(self,
                 *,
                 nodes: Iterable[str],
                 token: str,
                 timeout_s: float = TIMEOUT_S,
                 transport: httpx.BaseTransport | None = None,
                 rng: random.Random | None = None,
                 clock: Callable[[], float] = time.monotonic,
                 sleep: Callable[[float], None] = time.sleep):
        """Prepares a client; nothing is sent yet.

        Args:
            nodes: Addresses of entry nodes or of the load balancer, each as
                "host:port" or URL.
            token: Access token of a team or an operator.
            timeout_s: Time limit of one call with all its retries, in
                seconds.
            transport: HTTP transport, for tests.
            rng: Source of random numbers for jitter and node order.
            clock: Monotonic clock in seconds.
            sleep: Waits for a number of seconds.

        Raises:
            SettingsError: If the nodes are absent or invalid.
        """
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._clock = clock
        self._sleep = sleep
        self._exchange = exchange.Exchange(nodes=nodes,
                                           token=token,
                                           transport=transport,
                                           rng=self._rng,
                                           clock=clock,
                                           sleep=sleep)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Closes all connections."""
        self._exchange.close()

    def submit(self,
               *,
               template: str,
               payload: Any,
               caller: str = "",
               key: str | None = None,
               shape: request.Shape | None = None,
               declared_s: float | None = None,
               wait_s: float | None = None) -> results.Submission:
        """Submits a request; a repeat with the same key finds the first one.

        Args:
            template: Name of a template that the team may use.
            payload: Input of the tasks, as JSON values.
            caller: Caller inside the team, for fair shares.
            key: Idempotency key; by default a new one.
            shape: Shape of the gang in place of the template's.
            declared_s: Expected run time in seconds.
            wait_s: Longest time from receipt to start, in seconds.

        Returns:
            The key and the status of the request.

        Raises:
            NotRun: If it is certain that the request was not recorded.
            OutcomeUnknown: If it may have been recorded; submit again with
                the key that the error holds.
            KeyReused: If the key belongs to a request with another body.
            CallRefused: If the request is invalid.
            AccessRefused: If the token is not valid.
            NotFound: If the template does not exist.
            TypeError: If the payload has values that JSON does not know.
            ValueError: If the payload has numbers that are not finite.
        """
        key = uuid.uuid4().hex if key is None else key
        if not exchange.is_visible(key):
            raise errors.CallRefused(
                f"key {key!r} is empty or holds spaces or characters beyond "
                "ASCII; choose another")
        body = {
            "template": template,
            "caller": caller,
            "payload": payload,
            "shape": shape._asdict() if shape else None,
            "declared_s": declared_s,
            "wait_s": wait_s
        }
        body = {name: item for name, item in body.items() if item is not None}
        call = exchange.Call("POST", "/v1/requests", body,
                             {"Idempotency-Key": key})
        reply = self._exchange.send(call, self._timeout_s)
        response = reply.response
        if response is None or response.status_code not in (200, 202):
            refusal.raise_not_submitted(reply, key)
        try:
            status = results.parse_status(exchange.read_json(response))
        except errors.ProtocolError as error:
            raise errors.OutcomeUnknown(
                "the request may have been recorded; submit again with the "
                f"same key {key} ({error})",
                key=key) from error
        return results.Submission(key, response.status_code == 200, status)

    def status(self, request_id: str) -> results.Status:
        """Returns the status of a request.

        Raises:
            NotFound: If the team has no such request.
            Unavailable: If no node answered.
            AccessRefused: If the token is not valid.
        """
        return self._read_status(request_id, self._timeout_s)

    def list(self) -> Sequence[results.Status]:
        """Returns the team's own requests.

        Raises:
            Unavailable: If no node answered.
            AccessRefused: If the token is not valid.
        """
        return results.parse_list(self._read("/v1/requests"))

    def explain(self, request_id: str) -> str:
        """Returns the text that says why a request waits.

        Raises:
            NotFound: If the team has no such request.
            Unavailable: If no node answered.
            AccessRefused: If the token is not valid.
        """
        path = _build_request_path(request_id, "/explain")
        return results.parse_text(self._read(path))

    def wait(
        self,
        request_id: str,
        *,
        timeout_s: float | None = None,
        on_change: Callable[[results.Status], None] | None = None
    ) -> results.Status:
        """Waits for the final outcome of a request, also during outages.

        Args:
            request_id: Identifier of the request.
            timeout_s: Longest time to wait in seconds, None for no limit.
            on_change: Called with each new status whose state or attempt
                differs from the one before.

        Returns:
            The final status.

        Raises:
            StillPending: If the outcome was not final in time.
            NotFound: If the team has no such request.
            AccessRefused: If the token is not valid.
        """
        limit_s = float("inf") if timeout_s is None else timeout_s
        deadline = retry.Deadline(clock=self._clock, limit_s=limit_s)
        started_s = self._clock()
        last: results.Status | None = None
        while True:
            current = self._poll(request_id, deadline.left_s)
            if current and (last is None or _has_changed(last, current)):
                last = current
                if on_change:
                    on_change(current)
            if current and current.final:
                return current
            delay_s = self._draw_poll_delay(self._clock() - started_s)
            if delay_s >= deadline.left_s:
                _raise_pending(request_id, last)
            self._sleep(delay_s)

    def answer(self, request_id: str) -> bytes:
        """Returns the whole answer of a completed request.

        Raises:
            NotCompleted: If the request has no answer, or not yet.
            NotFound: If the team has no such request.
            AnswerCorrupt: If no node gave an answer whose length and digest
                are right.
            Unavailable: If no node answered.
            AccessRefused: If the token is not valid.
        """
        call = exchange.Call("GET", _build_request_path(request_id, "/answer"))
        reply = self._exchange.send(call, self._timeout_s, accept=is_whole)
        if (reply.response is not None and
                reply.response.status_code == http.HTTPStatus.CONFLICT):
            state = exchange.get_field(reply.response, "state") or ""
            raise errors.NotCompleted(
                f"request {request_id} has no answer: "
                f"{exchange.describe(reply.response)}; wait for its outcome",
                state=str(state))
        response = refusal.require_ok(reply)
        if not is_whole(response):
            raise errors.AnswerCorrupt(
                f"answer of request {request_id}: length or digest is wrong; "
                "try again, and report it if it stays so")
        return response.content

    def cancel(self, request_id: str) -> results.Status:
        """Asks to cancel a request.

        Returns:
            The status, which is not yet final if tasks have to be stopped.

        Raises:
            NotFound: If the team has no such request.
            OutcomeUnknown: If the wish may not have been recorded.
            Unavailable: If it is certain that it was not recorded.
            AccessRefused: If the token is not valid.
        """
        call = exchange.Call("POST", _build_request_path(request_id, "/cancel"))
        return results.parse_status(self._change(call, "cancel again"))

    def publish(self, documents: Mapping[str, str], *,
                base_version: int) -> int:
        """Publishes a whole set of documents.

        Args:
            documents: Text of each document by file name.
            base_version: Version that the documents were derived from.

        Returns:
            The version of the new configuration.

        Raises:
            InvalidDocuments: With all findings.
            VersionConflict: If the configuration changed after the base
                version.
            OutcomeUnknown: If the documents may have been published.
            Unavailable: If it is certain that they were not published.
            AccessRefused: If the token is not an operator's.
        """
        body = {"base_version": base_version, "documents": dict(documents)}
        call = exchange.Call("PUT", "/v1/config", body)
        reply = self._exchange.send(call, self._timeout_s)
        response = reply.response
        if response is not None and response.status_code in (409, 422):
            if reply.certainty is exchange.Certainty.POSSIBLY_DONE:
                version = self._find_published(documents, base_version)
                if version:
                    return version
            refusal.raise_unpublished(response, base_version)
        refusal.check_change(reply,
                             "see the audit trail and publish again if needed")
        return results.parse_version(
            exchange.read_json(refusal.require_ok(reply)))

    def fetch_config(self) -> results.Published:
        """Returns the documents in force and their version.

        Raises:
            Unavailable: If no node answered.
            AccessRefused: If the token is not an operator's.
        """
        return results.parse_published(self._read("/v1/config"))

    def diff(self, documents: Mapping[str, str]) -> Sequence[document.Change]:
        """Compares the documents in force with others.

        Args:
            documents: Text of each document by file name.

        Returns:
            What would change if the documents were published.

        Raises:
            Unavailable: If no node answered.
            AccessRefused: If the token is not an operator's.
        """
        current = self.fetch_config()
        return document.compare_documents(current.documents, documents)

    def audit(self, since: int = 0) -> Sequence[results.AuditEntry]:
        """Returns the audit entries after a number, oldest first.

        Raises:
            Unavailable: If no node answered.
            AccessRefused: If the token is not an operator's.
        """
        query = parse.urlencode({"since": since})
        return results.parse_audit(self._read(f"/v1/audit?{query}"))

    def drain(self, worker_id: str) -> int:
        """Excludes a worker from new work.

        Returns:
            The configuration version from which on it is drained.

        Raises:
            NotFound: If there is no such worker.
            OutcomeUnknown: If it may have been drained.
            Unavailable: If it is certain that it was not drained.
            AccessRefused: If the token is not an operator's.
        """
        return self._change_worker(worker_id, "drain")

    def undrain(self, worker_id: str) -> int:
        """Makes a drained worker available again; errors are like drain's.

        Returns:
            The configuration version from which on it is available.
        """
        return self._change_worker(worker_id, "undrain")

    def node_status(self) -> results.NodeStatus:
        """Returns the status of one node, the first that answers.

        Raises:
            Unavailable: If no node answered.
            AccessRefused: If the token is not valid.
        """
        return results.parse_node_status(self._read("/v1/status"))

    def _read(self, path: str, limit_s: float | None = None) -> Any:
        call = exchange.Call("GET", path)
        reply = self._exchange.send(call, limit_s or self._timeout_s)
        return exchange.read_json(refusal.require_ok(reply))

    def _read_status(self, request_id: str, limit_s: float) -> results.Status:
        body = self._read(_build_request_path(request_id), limit_s)
        return results.parse_status(body)

    def _change(self, call: exchange.Call, advice: str) -> Any:
        """Sends a change that is safe to repeat, and decodes the result."""
        reply = self._exchange.send(call, self._timeout_s)
        refusal.check_change(reply, advice)
        return exchange.read_json(refusal.require_ok(reply))

    def _change_worker(self, worker_id: str, verb: str) -> int:
        quoted = parse.quote(worker_id, safe="")
        call = exchange.Call("POST", f"/v1/workers/{quoted}/{verb}")
        return results.parse_version(self._change(call, f"{verb} it again"))

    def _poll(self, request_id: str, left_s: float) -> results.Status | None:
        """Returns the status, None while no node answers."""
        limit_s = max(min(self._timeout_s, left_s), MIN_POLL_S)
        try:
            return self._read_status(request_id, limit_s)
        except errors.Unavailable:
            return None

    def _draw_poll_delay(self, waited_s: float) -> float:
        longest_s = min(max(waited_s * POLL_SHARE, MIN_POLL_S), MAX_POLL_S)
        return self._rng.uniform(longest_s / 2.0, longest_s)

    def _find_published(self, documents: Mapping[str, str],
                        base_version: int) -> int:
        """Tells a refusal from the effect of an earlier try of the same call.

        Once the version differs from the base, no earlier try can take effect
        any more, so that the documents in force settle what happened.

        Returns:
            The version that an earlier try resulted in, 0 if none did.
        """
        current = self._fetch_after_refusal()
        if current.documents == documents:
            return current.version
        if current.version > base_version + 1:
            raise errors.OutcomeUnknown(
                "the documents may have been published and replaced by "
                "another operator's; see the audit trail")
        return 0

    def _fetch_after_refusal(self) -> results.Published:
        try:
            return self.fetch_config()
        except errors.Unavailable as error:
            raise errors.OutcomeUnknown(
                "the documents may have been published; see the audit "
                f"trail ({error})") from error


def is_whole(response: httpx.Response) -> bool:
    """Tells whether an answer has the length and digest of its headers."""
    length = response.headers.get("X-Answer-Length")
    digest = response.headers.get("X-Answer-Sha256")
    return (length == str(len(response.content)) and
            digest == hashlib.sha256(response.content).hexdigest())


def _build_request_path(request_id: str, suffix: str = "") -> str:
    return f"/v1/requests/{parse.quote(request_id, safe='')}{suffix}"


def _has_changed(last: results.Status, current: results.Status) -> bool:
    return last.state != current.state or last.attempt != current.attempt


def _raise_pending(request_id: str, last: results.Status | None) -> NoReturn:
    seen = f"it is {last.state}" if last else "no node answered"
    raise errors.StillPending(
        f"request {request_id} has no final outcome yet: {seen}; wait again")
