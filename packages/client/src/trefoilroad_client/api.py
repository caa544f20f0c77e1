"""Python API of trefoilroad for callers and operators."""

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

from trefoilroad_client import nodeclient
from trefoilroad_client import refusal
from trefoilroad_client import results
from trefoilroad_client import retry
from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import request

DEFAULT_CALL_TIMEOUT_S = 30.0

# The interval between status polls grows in proportion to the time waited, so
# that many long waits do not exhaust the read capacity of the store.
POLL_INTERVAL_RATIO = 0.1
MIN_POLL_INTERVAL_S = 0.2
MAX_POLL_INTERVAL_S = 10.0


class Client:
    """Client of the HTTP API of one deployment's nodes.

    Each call tries the nodes in turn, with jittered backoff, until one gives
    a result, the time limit is reached or the retry budget is used up.
    """

    def __init__(self,
                 *,
                 nodes: Iterable[str],
                 token: str,
                 timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
                 transport: httpx.BaseTransport | None = None,
                 rng: random.Random | None = None,
                 clock: Callable[[], float] = time.monotonic,
                 sleep: Callable[[float], None] = time.sleep):
        """Initializes the client without sending anything.

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
            SettingsError: If no nodes are given, or a node or the token is
                invalid.
        """
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()
        self._clock = clock
        self._sleep = sleep
        self._node_client = nodeclient.NodeClient(nodes=nodes,
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
        self._node_client.close()

    def submit(self,
               *,
               template: str,
               payload: Any,
               caller: str = "",
               key: str | None = None,
               shape: request.Shape | None = None,
               declared_s: float | None = None,
               wait_s: float | None = None) -> results.Submission:
        """Submits a request, or finds the one submitted with the same key.

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
            TypeError: If the payload has values that JSON cannot represent.
            ValueError: If the payload has numbers that are not finite.
        """
        key = uuid.uuid4().hex if key is None else key
        if not nodeclient.is_visible_ascii(key):
            raise errors.CallRefused(
                f"key {key!r} is empty or contains characters other than "
                "visible ASCII; choose another")
        body = {
            "template": template,
            "caller": caller,
            "payload": payload,
            "shape": shape._asdict() if shape else None,
            "declared_s": declared_s,
            "wait_s": wait_s
        }
        body = {
            name: value for name, value in body.items() if value is not None
        }
        call = nodeclient.Call("POST", "/v1/requests", body,
                               {"Idempotency-Key": key})
        reply = self._node_client.send(call, self._timeout_s)
        response = reply.response
        if response is None or response.status_code not in (200, 202):
            refusal.raise_submit_error(reply, key)
        try:
            status = results.parse_status(nodeclient.read_json(response))
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
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not valid.
        """
        return self._fetch_status(request_id, self._timeout_s)

    def list(self) -> Sequence[results.Status]:
        """Returns the team's own requests.

        Raises:
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not valid.
        """
        return results.parse_status_list(self._get_json("/v1/requests"))

    def explain(self, request_id: str) -> str:
        """Returns an explanation of the current state of a request.

        Raises:
            NotFound: If the team has no such request.
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not valid.
        """
        path = _build_request_path(request_id, "/explain")
        return results.parse_explanation(self._get_json(path))

    def wait(
        self,
        request_id: str,
        *,
        timeout_s: float | None = None,
        on_change: Callable[[results.Status], None] | None = None
    ) -> results.Status:
        """Polls until the outcome of a request is final.

        Polling continues while no node gives a result.

        Args:
            request_id: Identifier of the request.
            timeout_s: Longest time to wait in seconds, None for no limit.
            on_change: Called with the first status, and with each later one
                whose state or attempt differs from the one before.

        Returns:
            The final status.

        Raises:
            StillPending: If the outcome was not final within timeout_s.
            NotFound: If the team has no such request.
            AccessRefused: If the token is not valid.
        """
        limit_s = float("inf") if timeout_s is None else timeout_s
        deadline = retry.Deadline(clock=self._clock, limit_s=limit_s)
        started_s = self._clock()
        last: results.Status | None = None
        while True:
            current = self._poll_status(request_id, deadline.remaining_s)
            if current and (last is None or _has_changed(last, current)):
                last = current
                if on_change:
                    on_change(current)
            if current and current.final:
                return current
            delay_s = self._draw_poll_interval(self._clock() - started_s)
            if delay_s >= deadline.remaining_s:
                _raise_still_pending(request_id, last)
            self._sleep(delay_s)

    def answer(self, request_id: str) -> bytes:
        """Returns the whole answer of a completed request.

        Raises:
            NotCompleted: If the request has no answer yet, or never will.
            NotFound: If the team has no such request.
            AnswerCorrupt: If no node gave an answer that matches its length
                and digest.
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not valid.
        """
        call = nodeclient.Call("GET",
                               _build_request_path(request_id, "/answer"))
        reply = self._node_client.send(call,
                                       self._timeout_s,
                                       is_valid=is_answer_intact)
        if (reply.response is not None and
                reply.response.status_code == http.HTTPStatus.CONFLICT):
            state = nodeclient.get_field(reply.response, "state") or ""
            raise errors.NotCompleted(
                f"request {request_id} has no answer: "
                f"{nodeclient.get_error_message(reply.response)}; wait for its "
                "outcome",
                state=str(state))
        response = refusal.require_success(reply)
        if not is_answer_intact(response):
            raise errors.AnswerCorrupt(
                f"answer of request {request_id}: length or digest is wrong; "
                "try again, and report it if this repeats")
        return response.content

    def cancel(self, request_id: str) -> results.Status:
        """Requests the cancellation of a request.

        Returns:
            The status, which is not yet final if tasks have to be stopped.

        Raises:
            NotFound: If the team has no such request.
            OutcomeUnknown: If the cancellation may or may not have been
                recorded.
            Unavailable: If the cancellation was certainly not recorded.
            AccessRefused: If the token is not valid.
        """
        call = nodeclient.Call("POST",
                               _build_request_path(request_id, "/cancel"))
        return results.parse_status(self._send_change(call, "cancel again"))

    def publish(self, documents: Mapping[str, str], *,
                base_version: int) -> int:
        """Replaces all documents of the configuration.

        Args:
            documents: Text of each document by file name.
            base_version: Version that the documents were derived from.

        Returns:
            The version of the new configuration.

        Raises:
            InvalidDocuments: If documents are invalid; holds all findings.
            VersionConflict: If the configuration changed after the base
                version.
            OutcomeUnknown: If the documents may or may not have been
                published.
            Unavailable: If the documents were certainly not published.
            AccessRefused: If the token is not an operator's.
        """
        body = {"base_version": base_version, "documents": dict(documents)}
        call = nodeclient.Call("PUT", "/v1/config", body)
        reply = self._node_client.send(call, self._timeout_s)
        response = reply.response
        if response is not None and response.status_code in (409, 422):
            if reply.side_effect is nodeclient.SideEffect.POSSIBLY_DONE:
                version = self._find_earlier_publish(documents, base_version)
                if version:
                    return version
            refusal.raise_publish_error(response, base_version)
        refusal.require_known_outcome(
            reply, "see the audit trail and publish again if needed")
        return results.parse_config_version(
            nodeclient.read_json(refusal.require_success(reply)))

    def fetch_config(self) -> results.PublishedConfiguration:
        """Returns the documents in force and their version.

        Raises:
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not an operator's.
        """
        return results.parse_configuration(self._get_json("/v1/config"))

    def diff(self, documents: Mapping[str, str]) -> Sequence[document.Change]:
        """Compares the documents in force with a new set.

        Args:
            documents: Text of each document by file name.

        Returns:
            The changes that publishing the documents would make.

        Raises:
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not an operator's.
        """
        current = self.fetch_config()
        return document.compare_documents(current.documents, documents)

    def audit(self, since: int = 0) -> Sequence[results.AuditEntry]:
        """Returns the audit entries, oldest first.

        Args:
            since: Only entries with a greater number are returned.

        Raises:
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not an operator's.
        """
        query = parse.urlencode({"since": since})
        return results.parse_audit_trail(self._get_json(f"/v1/audit?{query}"))

    def drain(self, worker_id: str) -> int:
        """Drains a worker: no new tasks are placed on it.

        Returns:
            The first configuration version in which it is drained.

        Raises:
            NotFound: If there is no such worker.
            OutcomeUnknown: If the worker may or may not have been drained.
            Unavailable: If the worker was certainly not drained.
            AccessRefused: If the token is not an operator's.
        """
        return self._send_worker_action(worker_id, "drain")

    def undrain(self, worker_id: str) -> int:
        """Makes a drained worker available again.

        Returns:
            The first configuration version in which it is available.

        Raises:
            NotFound: If there is no such worker.
            OutcomeUnknown: If the change may or may not have taken effect.
            Unavailable: If the change certainly did not take effect.
            AccessRefused: If the token is not an operator's.
        """
        return self._send_worker_action(worker_id, "undrain")

    def node_status(self) -> results.NodeStatus:
        """Returns the status of the first node that answers.

        Raises:
            Unavailable: If no node gave a result.
            AccessRefused: If the token is not valid.
        """
        return results.parse_node_status(self._get_json("/v1/status"))

    def _get_json(self, path: str, limit_s: float | None = None) -> Any:
        call = nodeclient.Call("GET", path)
        reply = self._node_client.send(call, limit_s or self._timeout_s)
        return nodeclient.read_json(refusal.require_success(reply))

    def _fetch_status(self, request_id: str, limit_s: float) -> results.Status:
        body = self._get_json(_build_request_path(request_id), limit_s)
        return results.parse_status(body)

    def _send_change(self, call: nodeclient.Call, advice: str) -> Any:
        """Sends an idempotent change and decodes the response.

        Args:
            call: The call.
            advice: What to do if the outcome is unknown, for the error text.

        Returns:
            The decoded JSON body.

        Raises:
            OutcomeUnknown: If the change may or may not have taken effect.
        """
        reply = self._node_client.send(call, self._timeout_s)
        refusal.require_known_outcome(reply, advice)
        return nodeclient.read_json(refusal.require_success(reply))

    def _send_worker_action(self, worker_id: str, action: str) -> int:
        quoted = parse.quote(worker_id, safe="")
        call = nodeclient.Call("POST", f"/v1/workers/{quoted}/{action}")
        return results.parse_config_version(
            self._send_change(call, f"{action} it again"))

    def _poll_status(self, request_id: str,
                     remaining_s: float) -> results.Status | None:
        """Returns the status, or None if no node gave a result."""
        limit_s = max(min(self._timeout_s, remaining_s), MIN_POLL_INTERVAL_S)
        try:
            return self._fetch_status(request_id, limit_s)
        except errors.Unavailable:
            return None

    def _draw_poll_interval(self, waited_s: float) -> float:
        longest_s = min(
            max(waited_s * POLL_INTERVAL_RATIO, MIN_POLL_INTERVAL_S),
            MAX_POLL_INTERVAL_S)
        return self._rng.uniform(longest_s / 2.0, longest_s)

    def _find_earlier_publish(self, documents: Mapping[str, str],
                              base_version: int) -> int:
        """Finds out whether an earlier try of a refused publish succeeded.

        An earlier try can only take effect while the version equals the base
        version. Once it differs, the documents in force show what happened.

        Returns:
            The version that an earlier try published, or 0 if none did.

        Raises:
            OutcomeUnknown: If the documents may have been published and since
                replaced, or the configuration cannot be read.
        """
        current = self._fetch_config_after_refusal()
        if current.documents == documents:
            return current.version
        if current.version > base_version + 1:
            raise errors.OutcomeUnknown(
                "the documents may have been published and then replaced by "
                "another operator; see the audit trail")
        return 0

    def _fetch_config_after_refusal(self) -> results.PublishedConfiguration:
        try:
            return self.fetch_config()
        except errors.Unavailable as error:
            raise errors.OutcomeUnknown(
                "the documents may have been published; see the audit "
                f"trail ({error})") from error


def is_answer_intact(response: httpx.Response) -> bool:
    """Tells whether an answer matches the length and digest in its headers."""
    length = response.headers.get("X-Answer-Length")
    digest = response.headers.get("X-Answer-Sha256")
    return (length == str(len(response.content)) and
            digest == hashlib.sha256(response.content).hexdigest())


def _build_request_path(request_id: str, suffix: str = "") -> str:
    return f"/v1/requests/{parse.quote(request_id, safe='')}{suffix}"


def _has_changed(last: results.Status, current: results.Status) -> bool:
    return last.state != current.state or last.attempt != current.attempt


def _raise_still_pending(request_id: str,
                         last: results.Status | None) -> NoReturn:
    seen = f"it is {last.state}" if last else "no node gave a result"
    raise errors.StillPending(
        f"request {request_id} has no final outcome yet: {seen}; wait again")
