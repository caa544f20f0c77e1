"""HTTP client that fails over between nodes and retries calls."""

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
# Read timeout of one try. A commit on a slow store can take a few seconds; a
# frozen node never answers, and the next node is tried.
TRY_TIMEOUT_S = 5.0
MAX_RETRY_AFTER_S = 60.0

TEMPORARY_STATUSES = frozenset({429, 500, 502, 503, 504})

# Errors that are raised before the first byte of a request is sent.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class SideEffect(enum.Enum):
    """Whether tries that gave no result may have taken effect."""

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
    """Result of a call with all its tries.

    Attributes:
        response: Response to the last try, None if it got none.
        side_effect: Whether tries that gave no result may have taken effect.
        last_error: Node and error message of the last try, for the text of an
            error; not used if the call succeeded.
    """

    response: httpx.Response | None
    side_effect: SideEffect
    last_error: str


class NodeClient:
    """Sends calls to a list of nodes, with failover and retries."""

    def __init__(self, *, nodes: Iterable[str], token: str,
                 transport: httpx.BaseTransport | None, rng: random.Random,
                 clock: Callable[[], float], sleep: Callable[[float], None]):
        """Initializes the client without sending anything.

        Args:
            nodes: Addresses of the nodes, each as "host:port" or URL.
            token: Access token.
            transport: HTTP transport, for tests.
            rng: Source of random numbers for jitter and node order.
            clock: Monotonic clock in seconds.
            sleep: Waits for a number of seconds.

        Raises:
            SettingsError: If no nodes are given, or a node or the token is
                invalid.
        """
        self._nodes = [_normalize_node(node) for node in nodes]
        if not self._nodes:
            raise errors.SettingsError(
                "no nodes; give at least one as host:port")
        if not is_visible_ascii(token):
            raise errors.SettingsError(
                "the token is empty or contains characters other than visible "
                "ASCII; give it as it was issued")
        rng.shuffle(self._nodes)
        self._rng = rng
        self._clock = clock
        self._sleep = sleep
        self._budget = retry.Budget()
        # Proxy settings of the environment are ignored: nodes are reached by
        # address, and the token must not be sent to a proxy.
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
             is_valid: Callable[[httpx.Response], bool] | None = None) -> Reply:
        """Sends a call, with retries, until a node gives a final response.

        Args:
            call: The call, which must be safe to repeat.
            limit_s: Time limit over all tries, in seconds.
            is_valid: Checks a response with status 200; an invalid one is
                retried like a temporary failure.

        Returns:
            The reply, whose response can be a temporary failure if the time
            limit or the retry budget ended the retries.
        """
        deadline = retry.Deadline(clock=self._clock, limit_s=limit_s)
        backoff = retry.Backoff(rng=self._rng)
        self._budget.deposit()
        side_effect = SideEffect.NOT_DONE
        while True:
            response, try_side_effect, last_error = self._try_once(
                call, deadline.remaining_s)
            if response is not None and _is_final_response(
                    response, side_effect, is_valid):
                return Reply(response, side_effect, last_error)
            side_effect = _combine_side_effects(side_effect, try_side_effect)
            self._rotate_nodes()
            delay_s = backoff.next_delay(_read_retry_after(response))
            if delay_s >= deadline.remaining_s or not self._budget.withdraw():
                return Reply(response, side_effect, last_error)
            self._sleep(delay_s)

    def _try_once(
            self, call: Call, remaining_s: float
    ) -> tuple[httpx.Response | None, SideEffect, str]:
        node = self._nodes[0]
        timeout = httpx.Timeout(min(TRY_TIMEOUT_S, remaining_s),
                                connect=min(CONNECT_TIMEOUT_S, remaining_s))
        try:
            response = self._http.request(call.method,
                                          node + call.path,
                                          json=call.body,
                                          headers=dict(call.headers),
                                          timeout=timeout)
        except _NOT_SENT_ERRORS as error:
            return None, SideEffect.NOT_DONE, f"{node}: {error}"
        except httpx.HTTPError as error:
            text = str(error) or type(error).__name__
            return None, SideEffect.POSSIBLY_DONE, f"{node}: {text}"
        last_error = f"{node}: {get_error_message(response)}"
        return response, classify_side_effect(response), last_error

    def _rotate_nodes(self) -> None:
        """Moves the current node to the end, so that the next one is tried."""
        self._nodes.append(self._nodes.pop(0))


def is_visible_ascii(text: str) -> bool:
    """Tells whether a text is valid in a header: visible ASCII only."""
    return bool(text) and all("!" <= character <= "~" for character in text)


def classify_side_effect(response: httpx.Response) -> SideEffect:
    """Tells whether a call with this response may have taken effect."""
    if response.status_code in TEMPORARY_STATUSES and get_field(
            response, "outcome") != "not_run":
        return SideEffect.POSSIBLY_DONE
    return SideEffect.NOT_DONE


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


def get_error_message(response: httpx.Response) -> str:
    """Returns the error message in a response, or else its HTTP status."""
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


def _is_final_response(
        response: httpx.Response, side_effect: SideEffect,
        is_valid: Callable[[httpx.Response], bool] | None) -> bool:
    if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
        # A retry would add to the overload because of which the node rejects
        # calls. It is needed only after a try that may have taken effect, to
        # learn the outcome of that try.
        return side_effect is SideEffect.NOT_DONE
    if response.status_code in TEMPORARY_STATUSES:
        return False
    return is_valid is None or response.status_code != 200 or is_valid(response)


def _read_retry_after(response: httpx.Response | None) -> float:
    """Returns the delay in Retry-After in seconds, 0 without one."""
    if response is None:
        return 0.0
    text = response.headers.get("Retry-After", "")
    return min(float(text), MAX_RETRY_AFTER_S) if text.isdecimal() else 0.0


def _combine_side_effects(first: SideEffect, second: SideEffect) -> SideEffect:
    done = SideEffect.POSSIBLY_DONE
    return done if done in (first, second) else SideEffect.NOT_DONE
