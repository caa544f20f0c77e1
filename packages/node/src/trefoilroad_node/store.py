"""Client of the platform's table service, object store and VM list."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import json
import random
from typing import Any
from typing import NamedTuple
from urllib import parse

from trefoilroad_core import backoff
from trefoilroad_core import errors
from trefoilroad_node import httpclient
from trefoilroad_node import timer

CALL_TIMEOUT_S = 2.0
# Consecutive failures that open the circuit breaker.
BREAKER_FAILURE_THRESHOLD = 5
BREAKER_BASE_DELAY_S = 0.25
BREAKER_MAX_DELAY_S = 5.0


class Row(NamedTuple):
    """One row of the table service.

    Attributes:
        key: Key of the row.
        version: Version of the commit that wrote it, 0 if absent.
        value: Decoded value, None if absent.
    """

    key: str
    version: int
    value: Any


class Rows(NamedTuple):
    """Rows that changed after a version.

    Attributes:
        version: Version up to which the changes are complete.
        rows: The changed rows.
    """

    version: int
    rows: list[Row]


class CircuitBreaker:
    """Suspends calls to a store that does not answer, for a jittered time.

    Without it, the pending calls of all nodes would add to the load that keeps
    the store from recovering.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._failures = 0
        self._open_until_s = float("-inf")

    def allows(self, now_s: float) -> bool:
        """Returns whether a call may be made now."""
        if now_s < self._open_until_s:
            return False
        if self._failures >= BREAKER_FAILURE_THRESHOLD:
            # This call probes the store; others are refused until its result.
            self._open(now_s)
        return True

    def record_success(self) -> None:
        """Closes the breaker after a call that was answered."""
        self._failures = 0
        self._open_until_s = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Counts an unanswered call; opens the breaker at the threshold."""
        self._failures += 1
        if self._failures >= BREAKER_FAILURE_THRESHOLD:
            self._open(now_s)

    def _open(self, now_s: float) -> None:
        self._open_until_s = now_s + backoff.compute_delay(
            tries=self._failures - BREAKER_FAILURE_THRESHOLD + 1,
            base_s=BREAKER_BASE_DELAY_S,
            max_s=BREAKER_MAX_DELAY_S,
            rng=self._rng)


OnResult = Callable[[Any], None]


class Store(abc.ABC):
    """The platform's table service, object store and VM list.

    Each method calls `on_done` with its result or with an error: CommitConflict
    (nothing was written), StoreRefused (nothing was sent) or StoreUnavailable
    (a write may have taken effect).
    """

    @abc.abstractmethod
    def commit(self, conditions: Mapping[str, int], writes: Mapping[str, Any],
               on_done: OnResult) -> None:
        """Writes rows in one transaction if every condition holds.

        Args:
            conditions: Required version by key, 0 for absent.
            writes: New value by key, None to delete.
            on_done: Called with the version of the commit, or an error.
        """

    @abc.abstractmethod
    def read_row(self, key: str, on_done: OnResult) -> None:
        """Reads one row; calls `on_done` with a Row or an error."""

    @abc.abstractmethod
    def read_rows(self, prefix: str, since: int, on_done: OnResult) -> None:
        """Reads the rows with a key prefix that changed after a version.

        Args:
            prefix: Prefix of the keys.
            since: Version after which rows have changed, 0 for all rows.
            on_done: Called with Rows or an error.
        """

    @abc.abstractmethod
    def list_vms(self, on_done: OnResult) -> None:
        """Reads the VM list; calls `on_done` with its entries or an error."""

    @abc.abstractmethod
    def put_object(self, key: str, data: bytes, on_done: OnResult) -> None:
        """Stores an object; calls `on_done` with its key or an error."""

    @abc.abstractmethod
    def get_object(self, key: str, on_done: OnResult) -> None:
        """Reads an object; calls `on_done` with bytes, None or an error."""


class HttpStore(Store):
    """Client of the platform's services over HTTP.

    Attributes:
        reads: Number of reads requested.
        writes: Number of writes requested.
    """

    def __init__(self, *, address: str, client: httpclient.HttpClient,
                 timers: timer.Timers, rng: random.Random):
        self._address = address
        self._client = client
        self._timers = timers
        self._breaker = CircuitBreaker(rng=rng)
        self._vms: list[Any] = []
        self._vms_digest = ""
        self.reads = 0
        self.writes = 0

    def commit(self, conditions: Mapping[str, int], writes: Mapping[str, Any],
               on_done: OnResult) -> None:
        """See Store.commit."""
        self.writes += 1
        body = {
            "conditions": [{
                "key": key,
                "version": version
            } for key, version in conditions.items()],
            "writes": [{
                "key": key,
                "value": value
            } for key, value in writes.items()]
        }
        self._call("POST", "/v1/commit",
                   json.dumps(body).encode(),
                   lambda reply: on_done(_parse_commit_reply(reply)))

    def read_row(self, key: str, on_done: OnResult) -> None:
        """See Store.read_row."""
        path = f"/v1/row?key={parse.quote(key, safe='')}"
        self._read(path, lambda body: _parse_row(body, key), on_done)

    def read_rows(self, prefix: str, since: int, on_done: OnResult) -> None:
        """See Store.read_rows."""
        query = parse.urlencode({"prefix": prefix, "since": since})
        self._read(f"/v1/rows?{query}", _parse_rows, on_done)

    def list_vms(self, on_done: OnResult) -> None:
        """See Store.list_vms; the server omits a list that has not changed."""
        query = parse.urlencode({"known": self._vms_digest})
        self._read(f"/v1/vms?{query}", self._update_vms, on_done)

    def put_object(self, key: str, data: bytes, on_done: OnResult) -> None:
        """See Store.put_object."""
        self.writes += 1
        self._call("PUT", f"/v1/objects/{parse.quote(key)}", data,
                   lambda reply: on_done(_decode(reply, lambda _: key)))

    def get_object(self, key: str, on_done: OnResult) -> None:
        """See Store.get_object."""
        self.reads += 1
        self._call("GET", f"/v1/objects/{parse.quote(key)}", b"",
                   lambda reply: on_done(_parse_object_reply(reply)))

    def _update_vms(self, body: Any) -> list[Any]:
        if body["vms"] is not None:
            self._vms = list(body["vms"])
            self._vms_digest = str(body["digest"])
        return self._vms

    def _read(self, path: str, parse_body: Callable[[Any], Any],
              on_done: OnResult) -> None:
        self.reads += 1
        self._call("GET", path, b"",
                   lambda reply: on_done(_decode(reply, parse_body)))

    def _call(self, method: str, path: str, body: bytes,
              on_reply: Callable[[httpclient.Reply | Exception], None]) -> None:
        if not self._breaker.allows(self._timers.read_clock()):
            error = errors.StoreRefused("the store does not answer")
            self._timers.call_later(0, lambda: on_reply(error))
            return

        def handle_result(
                result: httpclient.Reply | httpclient.NoReply) -> None:
            on_reply(self._classify_result(result))

        self._client.send(address=self._address,
                          method=method,
                          path=path,
                          body=body,
                          timeout_s=CALL_TIMEOUT_S,
                          on_done=handle_result)

    def _classify_result(
        self, result: httpclient.Reply | httpclient.NoReply
    ) -> httpclient.Reply | Exception:
        if isinstance(result, httpclient.NoReply):
            self._breaker.record_failure(self._timers.read_clock())
            if result.sent:
                return errors.StoreUnavailable(result.reason)
            return errors.StoreRefused(result.reason)
        if result.status >= 500:
            self._breaker.record_failure(self._timers.read_clock())
            return errors.StoreUnavailable(f"status {result.status}")
        self._breaker.record_success()
        return result


def _decode(reply: httpclient.Reply | Exception,
            parse_body: Callable[[Any], Any]) -> Any:
    if isinstance(reply, Exception):
        return reply
    if reply.status != 200:
        return errors.StoreUnavailable(f"status {reply.status}")
    try:
        return parse_body(json.loads(reply.body))
    except (ValueError, KeyError, TypeError) as error:
        return errors.StoreUnavailable(f"malformed answer: {error!r}")


def _parse_commit_reply(reply: httpclient.Reply | Exception) -> Any:
    if isinstance(reply, httpclient.Reply) and reply.status == 409:
        versions = _decode(
            reply._replace(status=200), lambda body: {
                conflict["key"]: conflict["version"]
                for conflict in body["conflicts"]
            })
        if isinstance(versions, Exception):
            return versions
        return errors.CommitConflict(versions)
    return _decode(reply, lambda body: int(body["version"]))


def _parse_row(body: Any, key: str) -> Row:
    return Row(key=key, version=int(body["version"]), value=body["value"])


def _parse_rows(body: Any) -> Rows:
    rows = [
        Row(key=row["key"], version=int(row["version"]), value=row["value"])
        for row in body["rows"]
    ]
    return Rows(version=int(body["version"]), rows=rows)


def _parse_object_reply(reply: httpclient.Reply | Exception) -> Any:
    if isinstance(reply, Exception):
        return reply
    if reply.status == 404:
        return None
    if reply.status != 200:
        return errors.StoreUnavailable(f"status {reply.status}")
    return reply.body
