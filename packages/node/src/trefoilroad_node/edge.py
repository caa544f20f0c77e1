"""What a node does for callers: submit, status, answer, cancel.

Each method takes `respond`, which gets one Response when the result is known.
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
SUBMIT_DEADLINE_S = 5.0
RETRY_BASE_S = 0.1
RETRY_MAX_S = 1.0
REQUEST_KEY_PREFIX = "request/"

_log = structlog.get_logger()

Response = httpserver.Response
Respond = httpserver.Respond
OnAccepted = Callable[[request.Record, int], None]


def describe_record(record: request.Record) -> dict[str, Any]:
    """Returns what a caller may see of a record."""
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


def describe_refusal(reason: str) -> dict[str, Any]:
    """Describes a submission that certainly left no record.

    It says nothing of an earlier submission with the same key that got no
    answer: only a cancellation gives certainty about that one.
    """
    return {
        "outcome": "not_run",
        "scope": "this submission",
        "ran": "no",
        "error": reason
    }


def describe_unknown(request_id: str) -> dict[str, Any]:
    """Describes a request that may have been recorded."""
    return {
        "request_id": request_id,
        "outcome": "unknown",
        "final": False,
        "ran": "maybe",
        "error": "the store did not answer; ask again with the same key"
    }


class Submission:
    """A submission whose commit has no result yet."""

    def __init__(self, *, record: request.Record, respond: Respond,
                 begun_s: float):
        self.record = record
        self.respond = respond
        self.begun_s = begun_s
        self.tries = 0
        self.maybe_written = False


class Edge:
    """Serves callers; keeps nothing but what is being answered."""

    def __init__(self, *, store: stores.Store, timers: timer.Timers,
                 rng: random.Random, metrics: sinks.Metrics,
                 counts: submission.QueueCounts, on_accepted: OnAccepted):
        """Prepares the edge.

        Args:
            store: Table service and object store.
            timers: Source of time.
            rng: Source of jitter and tokens.
            metrics: Sink of metrics.
            counts: Number of waiting requests by team and caller.
            on_accepted: Called with each new or changed row.
        """
        self.published = publication.NOT_PUBLISHED
        self.refresh_configuration: Callable[[Callable[[], None]],
                                             None] = lambda then: then()
        self.store = store
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._counts = counts
        self.on_accepted = on_accepted

    @property
    def configuration(self) -> contract.Configuration:
        """The configuration in force."""
        return self.published.configuration

    def submit(self, team: str, key: str, body: Any, respond: Respond) -> None:
        """Records a request.

        Args:
            team: Team of the caller.
            key: Idempotency key.
            body: Decoded JSON body.
            respond: Gets the response.
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
        reason = self._counts.check(self.configuration, record)
        if reason is not None:
            self._metrics.count("edge.refused")
            self._answer_repeat_or(record,
                                   Response(429, describe_refusal(reason)),
                                   respond)
            return
        self._send(
            Submission(record=record,
                       respond=respond,
                       begun_s=self._timers.read_clock()))

    def _draw_token(self) -> str:
        return f"edge:{self._rng.getrandbits(64):016x}"

    def _answer_repeat_or(self, record: request.Record, refusal: Response,
                          respond: Respond) -> None:
        """Refuses a request, unless it has been recorded before."""

        def take(result: Any) -> None:
            if isinstance(result, stores.Row) and result.value is None:
                respond(refusal)
            elif isinstance(result, stores.Row):
                respond(_compare_repeat(record, result.value))
            else:
                # An earlier try with this key may be on record.
                respond(Response(503, describe_unknown(record["request_id"])))

        self.store.read_row(REQUEST_KEY_PREFIX + record["request_id"], take)

    def _send(self, item: Submission) -> None:
        item.tries += 1
        key = REQUEST_KEY_PREFIX + item.record["request_id"]
        conditions = {key: 0, CONFIG_KEY: self.published.row_version}
        self.store.commit(
            conditions, {key: item.record},
            lambda result: self._handle_commit_result(item, result))

    def _handle_commit_result(self, item: Submission, result: Any) -> None:
        key = REQUEST_KEY_PREFIX + item.record["request_id"]
        if isinstance(result, int):
            self._accept(item, result)
        elif isinstance(result, errors.CommitConflict):
            if key in result.conflicts:
                self._read_repeat(item)
            else:
                self._retry_with_configuration(item)
        else:
            if isinstance(result, errors.StoreUnavailable):
                item.maybe_written = True
            self._retry_or_give_up(item)

    def _accept(self, item: Submission, version: int) -> None:
        record = item.record
        _log.info("request accepted",
                  request=record["request_id"],
                  team=record["team"])
        self._metrics.count("edge.accepted")
        self._metrics.time("edge.submit",
                           self._timers.read_clock() - item.begun_s)
        self._counts.add(record)
        self.on_accepted(record, version)
        item.respond(Response(202, describe_record(record)))

    def _read_repeat(self, item: Submission) -> None:

        def take(result: Any) -> None:
            if not isinstance(result, stores.Row) or result.value is None:
                item.maybe_written = True
                self._retry_or_give_up(item)
            elif result.value["token"] == item.record["token"]:
                self._accept(item, result.version)
            else:
                item.respond(_compare_repeat(item.record, result.value))

        self.store.read_row(REQUEST_KEY_PREFIX + item.record["request_id"],
                            take)

    def _retry_with_configuration(self, item: Submission) -> None:
        """Tries again under the configuration that is now in force."""

        def retry() -> None:
            try:
                template = self.configuration.resolve_template(
                    item.record["team"], item.record["template"])
            except KeyError:
                item.respond(
                    Response(
                        400,
                        describe_refusal("the template is not available any "
                                         "more")))
                return
            item.record = submission.apply_template(item.record, template)
            self._retry_or_give_up(item)

        self.refresh_configuration(retry)

    def _retry_or_give_up(self, item: Submission) -> None:
        waited_s = self._timers.read_clock() - item.begun_s
        if waited_s < SUBMIT_DEADLINE_S:
            self.call_after_backoff(item.tries, lambda: self._send(item))
        elif item.maybe_written:
            item.respond(
                Response(503, describe_unknown(item.record["request_id"])))
        else:
            item.respond(
                Response(503, describe_refusal("the store does not answer")))

    def call_after_backoff(self, tries: int, call: Callable[[], None]) -> None:
        """Calls after a jittered delay that grows with the tries so far."""
        delay_s = backoff.compute_delay(tries=tries,
                                        base_s=RETRY_BASE_S,
                                        max_s=RETRY_MAX_S,
                                        rng=self._rng)
        self._timers.call_later(delay_s, call)

    # Reading.

    def _with_record(self, team: str, request_id: str, respond: Respond,
                     use: Callable[[request.Record, int], None]) -> None:
        """Reads a record that must belong to the team."""

        def take(result: Any) -> None:
            if not isinstance(result, stores.Row):
                respond(Response(503, describe_unknown(request_id)))
                return
            if result.value is None or result.value["team"] != team:
                # The same answer for foreign requests: a team must not learn
                # which requests others have.
                respond(Response(404, {"error": f"no request {request_id}"}))
                return
            use(result.value, result.version)

        self.store.read_row(REQUEST_KEY_PREFIX + request_id, take)

    def show(self, team: str, request_id: str, respond: Respond) -> None:
        """Responds with the status of a request."""
        self._with_record(
            team, request_id, respond,
            lambda record, _: respond(Response(200, describe_record(record))))

    def list_requests(self, team: str, respond: Respond) -> None:
        """Responds with the requests of a team."""

        def take(result: Any) -> None:
            if not isinstance(result, stores.Rows):
                respond(Response(503, {"error": "the store does not answer"}))
                return
            rows = [
                describe_record(row.value)
                for row in result.rows
                if row.value is not None and row.value["team"] == team
            ]
            respond(Response(200, {"requests": rows}))

        self.store.read_rows(REQUEST_KEY_PREFIX, 0, take)

    def fetch_answer(self, team: str, request_id: str,
                     respond: Respond) -> None:
        """Responds with the whole answer of a completed request."""

        def use(record: request.Record, _: int) -> None:
            reference = record["answer"]
            if reference is None:
                respond(Response(409, describe_record(record)))
                return

            def take(result: Any) -> None:
                respond(_build_answer(reference, result))

            self.store.get_object(reference["object"], take)

        self._with_record(team, request_id, respond, use)

    def cancel(self, team: str, request_id: str, respond: Respond) -> None:
        """Asks to cancel; the owner decides what that leads to.

        A request that is not on record gets a final record, so that a
        submission whose result is unknown can never be recorded later: this
        is how a caller without an answer gets certainty.
        """
        Cancellation(edge=self,
                     team=team,
                     request_id=request_id,
                     respond=respond).read()


class Cancellation:
    """A cancellation under way; repeats until it is on record."""

    MAX_TRIES = 5

    def __init__(self, *, edge: Edge, team: str, request_id: str,
                 respond: Respond):
        self._edge = edge
        self._team = team
        self._request_id = request_id
        self._respond = respond
        self._tries = 0

    def read(self) -> None:
        """Reads the record and writes it back with the mark."""
        self._tries += 1
        self._edge.store.read_row(REQUEST_KEY_PREFIX + self._request_id,
                                  self._take_row)

    def _take_row(self, result: Any) -> None:
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
            # The token stays: it marks the owner's latest write, which the
            # owner must be able to recognise.
            changed: request.Record = dict(
                result.value)  # type: ignore[assignment]
            changed["cancel"] = True
            self._write(changed, result.version)

    def _write(self, record: request.Record, version: int) -> None:
        key = REQUEST_KEY_PREFIX + self._request_id
        self._edge.store.commit({key: version}, {key: record},
                                lambda result: self._take(record, result))

    def _take(self, record: request.Record, result: Any) -> None:
        if not isinstance(result, int):
            self._retry()
            return
        self._edge.on_accepted(record, result)
        self._respond(Response(202, describe_record(record)))

    def _retry(self) -> None:
        if self._tries >= self.MAX_TRIES:
            self._respond(Response(503, describe_unknown(self._request_id)))
            return
        self._edge.call_after_backoff(self._tries, self.read)


def _compare_repeat(record: request.Record, found: Any) -> Response:
    """Answers a request whose key has been used before."""
    withdrawn = found["body_sha256"] == ""
    if not withdrawn and found["body_sha256"] != record["body_sha256"]:
        return Response(
            409, {
                "error": "this idempotency key was used with another body; "
                         "use a new key for a new request",
                "request_id": record["request_id"]
            })
    return Response(200, describe_record(found))


def _build_answer(reference: request.AnswerReference, result: Any) -> Response:
    if isinstance(result, Exception):
        return Response(503, {"error": "the object store does not answer"})
    if result is None or not region.is_whole(result, reference):
        return Response(502, {"error": "the stored answer is damaged"})
    return Response(
        200, result, {
            "X-Answer-Length": str(reference["length"]),
            "X-Answer-Sha256": reference["sha256"]
        })
