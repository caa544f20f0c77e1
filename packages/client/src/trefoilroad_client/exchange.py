"""One call to the nodes: tries nodes in turn until one gives a result."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import random
from typing import Any
from typing import NamedTuple

import httpx

from trefoilroad_client import retry
from trefoilroad_core import errors

CONNECT_TIMEOUT_S = 2.0
# Longest silence of a node before the next one is tried. A slow store can
# take a few seconds for a commit; a frozen node never answers.
TRY_TIMEOUT_S = 5.0
MAX_RETRY_AFTER_S = 60.0

TEMPORARY = frozenset({429, 500, 502, 503, 504})

# Raised before the first byte of a request is sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Certainty(enum.Enum):
    """What is known about the tries that gave no result."""

    NOT_DONE = "not done"
    POSSIBLY_DONE = "possibly done"


class Call(NamedTuple):
    """An HTTP request to any node.

    Attributes:
        method: HTTP method.
        path: Path and query.
        body: JSON body, None for no body.
        headers: Additional headers.
    """

    method: str
    path: str
    body: Any = None
    headers: Mapping[str, str] = {}


class Reply(NamedTuple):
    """The last reply to a call.

    Attributes:
        response: The last response, None if no node gave one.
        certainty: What is known about the tries that gave no result.
        problem: Text on the last try that failed.
    """

    response: httpx.Response | None
    certainty: Certainty
    problem: str


class Exchange:
    """Sends calls to the nodes, one after the other."""

    def __init__(self, *, nodes: Iterable[str], token: str,
                 transport: httpx.BaseTransport | None, rng: random.Random,
                 clock: Callable[[], float], sleep: Callable[[float], None]):
        self._nodes = [_normalize_node(node) for node in nodes]
        if not self._nodes:
            raise errors.SettingsError(
                "no nodes; name at least one as host:port")
        if not is_visible(token):
            raise errors.SettingsError(
                "the token is empty or holds spaces or characters beyond "
                "ASCII; give it as it was issued")
        rng.shuffle(self._nodes)
        self._rng = rng
        self._clock = clock
        self._sleep = sleep
        self._budget = retry.Budget()
        # Proxy settings of the environment are ignored: nodes are reached by
        # address, and the token must not reach a proxy.
        self._http = httpx.Client(transport=transport,
                                  trust_env=False,
                                  headers={
                                      "Authorization": f"Bearer {token}",
                                      "Accept-Encoding": "identity"
                                  })

    def close(self) -> None:
        """Closes all connections."""
        self._http.close()

    def send(self,
             call: Call,
             limit_s: float,
             accept: Callable[[httpx.Response], bool] | None = None) -> Reply:
        """Sends a call until a node gives a response that is not temporary.

        Args:
            call: The call, which must be safe to repeat.
            limit_s: Time limit over all tries, in seconds.
            accept: Tells whether a response with status 200 is sound; others
                are treated as temporary failures.

        Returns:
            The last response, which can be a temporary refusal.
        """
        deadline = retry.Deadline(clock=self._clock, limit_s=limit_s)
        backoff = retry.Backoff(rng=self._rng)
        self._budget.deposit()
        certainty = Certainty.NOT_DONE
        while True:
            response, latest, problem = self._try_once(call, deadline.left_s)
            if response is not None and _is_result(response, certainty, accept):
                return Reply(response, certainty, problem)
            certainty = _combine(certainty, latest)
            self._rotate()
            delay_s = backoff.next_delay(_read_retry_after(response))
            if delay_s >= deadline.left_s or not self._budget.withdraw():
                return Reply(response, certainty, problem)
            self._sleep(delay_s)

    def _try_once(
            self, call: Call,
            left_s: float) -> tuple[httpx.Response | None, Certainty, str]:
        node = self._nodes[0]
        timeout = httpx.Timeout(min(TRY_TIMEOUT_S, left_s),
                                connect=min(CONNECT_TIMEOUT_S, left_s))
        try:
            response = self._http.request(call.method,
                                          node + call.path,
                                          json=call.body,
                                          headers=dict(call.headers),
                                          timeout=timeout)
        except _NOT_SENT as error:
            return None, Certainty.NOT_DONE, f"{node}: {error}"
        except httpx.HTTPError as error:
            text = str(error) or type(error).__name__
            return None, Certainty.POSSIBLY_DONE, f"{node}: {text}"
        problem = f"{node}: {describe(response)}"
        return response, judge(response), problem

    def _rotate(self) -> None:
        """Makes the next node the first to be tried."""
        self._nodes.append(self._nodes.pop(0))


def is_visible(text: str) -> bool:
    """Tells whether a text can be part of a header: visible ASCII only."""
    return bool(text) and all("!" <= character <= "~" for character in text)


def judge(response: httpx.Response) -> Certainty:
    """Tells whether a call with this response can have taken effect."""
    if response.status_code in TEMPORARY and get_field(response,
                                                       "outcome") != "not_run":
        return Certainty.POSSIBLY_DONE
    return Certainty.NOT_DONE


def read_json(response: httpx.Response) -> Any:
    """Decodes a response's body.

    Raises:
        ProtocolError: If it is not JSON.
    """
    try:
        return response.json()
    except ValueError as error:
        raise errors.ProtocolError(
            f"{response.url}: body is not JSON; check that the address is a "
            "trefoilroad node") from error


def get_field(response: httpx.Response, key: str) -> Any:
    """Returns a field of a JSON body, None if there is no such field."""
    try:
        body = response.json()
    except ValueError:
        return None
    return body.get(key) if isinstance(body, dict) else None


def describe(response: httpx.Response) -> str:
    """Returns a node's message on a refusal."""
    for key in ("message", "error"):
        text = get_field(response, key)
        if isinstance(text, str) and text:
            return text
    return f"HTTP status {response.status_code}"


def _normalize_node(node: str) -> str:
    address = node if "://" in node else f"http://{node}"
    try:
        url = httpx.URL(address)
    except httpx.InvalidURL as error:
        raise errors.SettingsError(f"node {node!r}: {error}") from error
    if url.scheme not in ("http", "https") or not url.host:
        raise errors.SettingsError(f"node {node!r}: give host:port or a URL")
    return address.rstrip("/")


def _is_result(response: httpx.Response, certainty: Certainty,
               accept: Callable[[httpx.Response], bool] | None) -> bool:
    if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
        # Repeating it would add to the flood that it refuses, but only a
        # repeat can tell what became of an earlier try.
        return certainty is Certainty.NOT_DONE
    if response.status_code in TEMPORARY:
        return False
    return accept is None or response.status_code != 200 or accept(response)


def _read_retry_after(response: httpx.Response | None) -> float:
    """Returns the delay that a node asked for in seconds, else 0."""
    if response is None:
        return 0.0
    text = response.headers.get("Retry-After", "")
    return min(float(text), MAX_RETRY_AFTER_S) if text.isdecimal() else 0.0


def _combine(first: Certainty, second: Certainty) -> Certainty:
    done = Certainty.POSSIBLY_DONE
    return done if done in (first, second) else Certainty.NOT_DONE
