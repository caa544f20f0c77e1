"""Callers that use their connections until the other side closes them."""

import asyncio
import contextlib
import json
import random
from typing import NamedTuple

# Longest wait for a response, longer than any time budget of a caller.
RESPONSE_TIMEOUT_S = 8.0
RECONNECT_INTERVAL_S = 0.02
MAX_PAUSE_S = 0.3
# Longest pause between the two parts of a request that is sent in parts.
MAX_PART_PAUSE_S = 0.8
STEP = {"count": 1, "cpu": 4000, "memMb": 4000, "gpu": 1, "estimatedMs": 1000}
POST_SHARE = 0.2


class Exchange(NamedTuple):
    """A request that was sent whole, and how it ended.

    Attributes:
        job_id: Id of the job that the request names.
        method: HTTP method.
        status: Status of the response, 0 if there was none.
        waited_s: Time from the last byte of the request to the end of the
            response or of the connection, in seconds.
        ended_s: That end, on the clock of the event loop, in seconds.
    """

    job_id: str
    method: str
    status: int
    waited_s: float
    ended_s: float


class Response(NamedTuple):
    """A response of a node.

    Attributes:
        status: HTTP status.
        stays_open: Whether the connection can be used again.
        retry_after_s: Content of Retry-After in seconds, 0 if absent.
        body: Its body.
    """

    status: int
    stays_open: bool
    retry_after_s: float
    body: bytes


class Caller:
    """Calls one node on one connection at a time, again and again.

    Attributes:
        exchanges: All requests that were sent whole.
        stopping: Whether the call under way is the last one. A cancellation
            would not do: asyncio.wait_for may swallow it.
    """

    def __init__(self, *, port: int, prefix: str, key: str, rng: random.Random):
        """Creates a caller; `run` makes the calls.

        Args:
            port: Port of the node.
            prefix: Path prefix of the queue.
            key: Access key.
            rng: Source of the random choices.
        """
        self.exchanges: list[Exchange] = []
        self.stopping = False
        self._port = port
        self._prefix = prefix
        self._key = key
        self._rng = rng

    async def run(self) -> None:
        """Makes calls until it is to stop."""
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._port)
            except OSError:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            try:
                while (await self._call(reader, writer) and not self.stopping):
                    await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
            except OSError:
                pass  # Closed before a whole request was sent.
            finally:
                writer.close()

    async def _call(self, reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter) -> bool:
        """Makes one call; returns whether the connection stays open."""
        job_id = f"{self._rng.getrandbits(64):016x}"
        method = "POST" if self._rng.random() < POST_SHARE else "GET"
        body = b""
        if method == "POST":
            body = json.dumps({"spec": "text", "steps": [STEP]}).encode()
        data = encode_request(method, self._prefix + job_id, self._key, body)
        if self._rng.random() < 0.2:
            middle = len(data) // 2
            writer.write(data[:middle])
            await writer.drain()
            await asyncio.sleep(self._rng.uniform(0, MAX_PART_PAUSE_S))
            data = data[middle:]
        writer.write(data)
        await writer.drain()
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, stays_open = 0, False
        # If there is none, the request is recorded as one without a response.
        with contextlib.suppress(OSError, ValueError, IndexError, TimeoutError,
                                 asyncio.IncompleteReadError):
            response = await asyncio.wait_for(read_response(reader),
                                              RESPONSE_TIMEOUT_S)
            status, stays_open = response.status, response.stays_open
        ended_s = loop.time()
        self.exchanges.append(
            Exchange(job_id, method, status, ended_s - sent_s, ended_s))
        return stays_open


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads a response with a length.

    Raises:
        ValueError: It is no valid response.
        IndexError: The same.
        asyncio.IncompleteReadError: The connection ended before it did.
    """
    status = int((await reader.readline()).split()[1])
    length, stays_open, retry_after_s = 0, True, 0.0
    while (line := await reader.readline()).strip():
        name, _, value = line.decode().lower().partition(":")
        if name == "content-length":
            length = int(value)
        elif name == "connection":
            stays_open = "close" not in value
        elif name == "retry-after":
            retry_after_s = float(value)
    return Response(status, stays_open, retry_after_s, await
                    reader.readexactly(length))


def encode_request(method: str,
                   path: str,
                   key: str,
                   body: bytes = b"") -> bytes:
    """Returns a request as it is sent.

    Args:
        method: HTTP method.
        path: Path of the call.
        key: Key of the caller's team.
        body: Body of the request.
    """
    return (f"{method} {path} HTTP/1.1\r\nHost: soak\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body
