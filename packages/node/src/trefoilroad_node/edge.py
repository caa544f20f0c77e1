"""Operations of callers: submit, status, answer and cancel.

Each operation calls `respond` once, with a Response, when the result is known.
"""

from collections.abc import Callable
import random
import time
from typing import Any

import structlog

from trefoilroad_core import backoff
from trefoilroad_core import contract
from trefoilroad_core import errors
from trefoilroad_core import request
from trefoilroad_core import submission
from trefoilroad_node import httpserver
from trefoilroad_node import metrics as sinks
from trefoilroad_node import publication
from trefoilroad_node import region
from trefoilroad_node import store as stores
from trefoilroad_node import timer

CONFIG_KEY = publication.CONFIG_KEY
SUBMIT_TIMEOUT_S = 5.0
RETRY_BASE_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 1.0
REQUEST_KEY_PREFIX = "request/"

_log = structlog.get_logger()

Response = httpserver.Response
Respond = httpserver.Respond
OnWritten = Callable[[request.Record, int], None]


def describe_record(record: request.Record) -> dict[str, Any]:
    """Returns the fields of a record that callers may see."""
    return {
        "request_id": record["request_id"],
        "team": record["team"],
        "caller": record["caller"],
        "template": record["template"],
        "state": record["state"],
        "final": request.is_final(record),
        "ran": record["ran"],
        "reason": record["reason"],
        "cancel_requested": record["cancel"],
        "attempt": record["attempt"],
        "placement": record["placement"],
        "waited_s": record["waited_s"],
        "submitted_at": record["submitted_at"],
        "answer": record["answer"]
    }


def describe_refusal(reason: str,
                     scope: str = "this submission") -> dict[str, Any]:
    """Describes a call, mostly a submission, that certainly had no effect.

    This does not hold for an earlier submission with the same key that got no
    response: only a cancellation settles whether that one was recorded.
    """
    return {"outcome": "not_run", "scope": scope, "ran": "no", "error": reason}


def describe_unknown(request_id: str) -> dict[str, Any]:
    """Describes a request that may or may not be on record."""
    return {
        "request_id": request_id,
        "outcome": "unknown",
        "final": False,
        "ran": "maybe",
        "error": "the store did not answer; ask again with the same key"
    }


class PendingSubmission:
    """A submission that is being committed.

    Attributes:
        record: Record to write.
        respond: Called with the response.
        started_s: Time at which the submission was received, in seconds.
        tries: Number of commits sent.
        maybe_written: Whether a commit without a result may have taken effect.
    """

    def __init__(self, *, record: request.Record, respond: Respond,
                 started_s: float):
        self.record = record
        self.respond = respond
        self.started_s = started_s
        self.tries = 0
        self.maybe_written = False


class Edge:
    """Serves callers; holds no state beyond the requests in progress.

    Attributes:
        published: The published configuration in force.
        refresh_configuration: Reads the configuration, then calls its argument.
        store: Table service and object store.
        on_written: Called with each new or changed record and its version.
    """

    def __init__(self, *, store: stores.Store, timers: timer.Timers,
                 rng: random.Random, metrics: sinks.Metrics,
                 queue_counts: submission.QueueCounts, on_written: OnWritten):
        """Creates an edge without a configuration.

        Args:
            store: Table service and object store.
            timers: Clock and timers.
            rng: Source of jitter and tokens.
            metrics: Sink of metrics.
            queue_counts: Number of waiting requests by team and caller.
            on_written: Called with each new or changed record and its version.
        """
        self.published = publication.NOT_PUBLISHED
        self.refresh_configuration: Callable[[Callable[[], None]],
                                             None] = lambda then: then()
        self.store = store
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._queue_counts = queue_counts
        self.on_written = on_written

    @property
    def configuration(self) -> contract.Configuration:
        """The configuration in force."""
        return self.published.configuration

    def submit(self, team: str, key: str, body: Any, respond: Respond) -> None:
        """Validates and records a request.

        Args:
            team: Team of the caller.
            key: Idempotency key.
            body: Decoded JSON body.
            respond: Called with the response.
        """
        try:
            record = submission.build_record(configuration=self.configuration,
                                             team=team,
                                             key=key,
                                             body=body,
                                             now=time.time(),
                                             token=self._draw_token())
        except errors.RequestError as error:
            respond(Response(400, describe_refusal(str(error))))
            return
        reason = self._queue_counts.check(self.configuration, record)
        if reason is not None:
            self._metrics.count("edge.refused")
            self._respond_to_repeat_or_refuse(
                record, Response(429, describe_refusal(reason)), respond)
            return
        self._send(
            PendingSubmission(record=record,
                              respond=respond,
                              started_s=self._timers.read_clock()))

    def _draw_token(self) -> str:
        return f"edge:{self._rng.getrandbits(64):016x}"

    def _respond_to_repeat_or_refuse(self, record: request.Record,
                                     refusal: Response,
                                     respond: Respond) -> None:
        """Refuses a request, unless it is already on record."""

        def handle_result(result: Any) -> None:
            if isinstance(result, stores.Row) and result.value is None:
                respond(refusal)
            elif isinstance(result, stores.Row):
                respond(_build_repeat_response(record, result.value))
            else:
                # An earlier submission with this key may be on record.
                respond(Response(503, describe_unknown(record["request_id"])))

        self.store.read_row(REQUEST_KEY_PREFIX + record["request_id"],
                            handle_result)

    def _send(self, pending: PendingSubmission) -> None:
        pending.tries += 1
        key = REQUEST_KEY_PREFIX + pending.record["request_id"]
        conditions = {key: 0, CONFIG_KEY: self.published.row_version}
        self.store.commit(
            conditions, {key: pending.record},
            lambda result: self._handle_commit_result(pending, result))

    def _handle_commit_result(self, pending: PendingSubmission,
                              result: Any) -> None:
        key = REQUEST_KEY_PREFIX + pending.record["request_id"]
        if isinstance(result, int):
            self._accept(pending, result)
        elif isinstance(result, errors.CommitConflict):
            if key in result.conflicts:
                self._read_repeat(pending)
            else:
                self._retry_with_configuration(pending)
        else:
            if isinstance(result, errors.StoreUnavailable):
                pending.maybe_written = True
            self._retry_or_give_up(pending)

    def _accept(self, pending: PendingSubmission, version: int) -> None:
        record = pending.record
        _log.info("request accepted",
                  request=record["request_id"],
                  team=record["team"])
        self._metrics.count("edge.accepted")
        self._metrics.time("edge.submit",
                           self._timers.read_clock() - pending.started_s)
        self._queue_counts.add(record)
        self.on_written(record, version)
        pending.respond(Response(202, describe_record(record)))

    def _read_repeat(self, pending: PendingSubmission) -> None:

        def handle_result(result: Any) -> None:
            if not isinstance(result, stores.Row) or result.value is None:
                pending.maybe_written = True
                self._retry_or_give_up(pending)
            elif result.value["token"] == pending.record["token"]:
                self._accept(pending, result.version)
            else:
                pending.respond(
                    _build_repeat_response(pending.record, result.value))

        self.store.read_row(REQUEST_KEY_PREFIX + pending.record["request_id"],
                            handle_result)

    def _retry_with_configuration(self, pending: PendingSubmission) -> None:
        """Retries the commit with the configuration now in force."""

        def retry() -> None:
            try:
                template = self.configuration.resolve_template(
                    pending.record["team"], pending.record["template"])
            except KeyError:
                pending.respond(
                    Response(
                        400,
                        describe_refusal("the template is not available any "
                                         "more")))
                return
            pending.record = submission.apply_template(pending.record, template)
            self._retry_or_give_up(pending)

        self.refresh_configuration(retry)

    def _retry_or_give_up(self, pending: PendingSubmission) -> None:
        waited_s = self._timers.read_clock() - pending.started_s
        if waited_s < SUBMIT_TIMEOUT_S:
            self.call_after_backoff(pending.tries, lambda: self._send(pending))
        elif pending.maybe_written:
            pending.respond(
                Response(503, describe_unknown(pending.record["request_id"])))
        else:
            pending.respond(
                Response(
                    503,
                    describe_refusal(
                        "not recorded in time: the store does not answer or "
                        "this node's configuration is outdated")))

    def call_after_backoff(self, tries: int, call: Callable[[], None]) -> None:
        """Schedules a call after a jittered backoff.

        Args:
            tries: Number of tries so far.
            call: Function to call.
        """
        delay_s = backoff.compute_delay(tries=tries,
                                        base_s=RETRY_BASE_DELAY_S,
                                        max_s=RETRY_MAX_DELAY_S,
                                        rng=self._rng)
        self._timers.call_later(delay_s, call)

    # Reads of records.

    def _with_record(self, team: str, request_id: str, respond: Respond,
                     on_record: Callable[[request.Record, int], None]) -> None:
        """Reads a record of the team, or responds with an error."""

        def handle_result(result: Any) -> None:
            if not isinstance(result, stores.Row):
                respond(Response(503, describe_unknown(request_id)))
                return
            if result.value is None or result.value["team"] != team:
                # Requests of other teams get the same response: a team must
                # not learn which requests others have.
                respond(Response(404, {"error": f"no request {request_id}"}))
                return
            on_record(result.value, result.version)

        self.store.read_row(REQUEST_KEY_PREFIX + request_id, handle_result)

    def show(self, team: str, request_id: str, respond: Respond) -> None:
        """Responds with the status of a request."""
        self._with_record(
            team, request_id, respond,
            lambda record, _: respond(Response(200, describe_record(record))))

    def list_requests(self, team: str, respond: Respond) -> None:
        """Responds with the requests of a team."""

        def handle_result(result: Any) -> None:
            if not isinstance(result, stores.Rows):
                respond(Response(503, {"error": "the store does not answer"}))
                return
            rows = [
                describe_record(row.value)
                for row in result.rows
                if row.value is not None and row.value["team"] == team
            ]
            respond(Response(200, {"requests": rows}))

        self.store.read_rows(REQUEST_KEY_PREFIX, 0, handle_result)

    def fetch_answer(self, team: str, request_id: str,
                     respond: Respond) -> None:
        """Responds with the answer of a completed request."""

        def on_record(record: request.Record, _: int) -> None:
            answer_reference = record["answer"]
            if answer_reference is None:
                respond(Response(409, describe_record(record)))
                return

            def handle_result(result: Any) -> None:
                respond(_build_answer_response(answer_reference, result))

            self.store.get_object(answer_reference["object"], handle_result)

        self._with_record(team, request_id, respond, on_record)

    def cancel(self, team: str, request_id: str, respond: Respond) -> None:
        """Requests a cancellation; the owner decides on its effect.

        If the request is not on record, a final record is written for it, so
        that a submission whose result is unknown cannot be recorded later. This
        gives certainty to a caller whose submission got no response.
        """
        Cancellation(edge=self,
                     team=team,
                     request_id=request_id,
                     respond=respond).read()


class Cancellation:
    """A cancellation in progress, tried at most MAX_TRIES times."""

    MAX_TRIES = 5

    def __init__(self, *, edge: Edge, team: str, request_id: str,
                 respond: Respond):
        self._edge = edge
        self._team = team
        self._request_id = request_id
        self._respond = respond
        self._tries = 0

    def read(self) -> None:
        """Reads the record, then writes it with the `cancel` flag set."""
        self._tries += 1
        self._edge.store.read_row(REQUEST_KEY_PREFIX + self._request_id,
                                  self._handle_row)

    def _handle_row(self, result: Any) -> None:
        if not isinstance(result, stores.Row):
            self._retry()
        elif result.value is None:
            self._write(
                submission.build_cancelled(self._team, self._request_id,
                                           time.time()), result.version)
        elif result.value["team"] != self._team:
            self._respond(
                Response(404, {"error": f"no request {self._request_id}"}))
        elif request.is_final(result.value) or result.value["cancel"]:
            self._respond(Response(200, describe_record(result.value)))
        else:
            # The token is kept: the owner identifies its latest write by it.
            cancelled: request.Record = dict(
                result.value)  # type: ignore[assignment]
            cancelled["cancel"] = True
            self._write(cancelled, result.version)

    def _write(self, record: request.Record, version: int) -> None:
        key = REQUEST_KEY_PREFIX + self._request_id
        self._edge.store.commit(
            {key: version}, {key: record},
            lambda result: self._handle_commit_result(record, result))

    def _handle_commit_result(self, record: request.Record,
                              result: Any) -> None:
        if not isinstance(result, int):
            self._retry()
            return
        self._edge.on_written(record, result)
        self._respond(Response(202, describe_record(record)))

    def _retry(self) -> None:
        if self._tries >= self.MAX_TRIES:
            self._respond(Response(503, describe_unknown(self._request_id)))
            return
        self._edge.call_after_backoff(self._tries, self.read)


def _build_repeat_response(record: request.Record, existing: Any) -> Response:
    """Builds the response to a request whose key has been used before."""
    is_cancellation = existing["body_sha256"] == ""
    if not is_cancellation and existing["body_sha256"] != record["body_sha256"]:
        return Response(
            409, {
                "error": "this idempotency key was used with another body; "
                         "use a new key for a new request",
                "request_id": record["request_id"]
            })
    return Response(200, describe_record(existing))


def _build_answer_response(answer_reference: request.AnswerReference,
                           result: Any) -> Response:
    if isinstance(result, Exception):
        return Response(503, {"error": "the object store does not answer"})
    if result is None or not region.is_whole(result, answer_reference):
        return Response(502, {"error": "the stored answer is damaged"})
    return Response(
        200, result, {
            "X-Answer-Length": str(answer_reference["length"]),
            "X-Answer-Sha256": answer_reference["sha256"]
        })
