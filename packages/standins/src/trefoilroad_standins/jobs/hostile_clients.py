"""Clients that make a node hold as much as they can.

Each behaviour is a coroutine for one client on one connection. Errors of its
socket end it: a node may close the connection at any time.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import socket

from trefoilroad_standins.jobs import soak

# Legal under the limit of the examples, 262,144 bytes.
LEGAL_BYTES = 262_000
# Over that limit, and under the listener's own bound of 1 MiB.
OVERSIZE_BYTES = 1_040_000
# Time between two bytes of a client that stops short of the end of its body.
DRIP_INTERVAL_S = 0.4
# A client that is cut off connects again so many times.
RECONNECTS = 2
RECONNECT_DELAY_S = 0.5
# Time for the node to read a body that is then abandoned.
ABANDON_DELAY_S = 0.5
SEND_BYTES = 1 << 14
UNREAD_REQUESTS = 200
# Longer than a request takes, as only one is served at a time.
UNREAD_INTERVAL_S = 0.05
# Receive buffer of a client that never reads.
UNREAD_BUFFER_BYTES = 4096

Behaviour = Callable[[socket.socket], Awaitable[None]]

_FILLER = b"x" * OVERSIZE_BYTES
_JOB_START = json.dumps({"spec": "text", "steps": [{"gpu": 1}]})[:-1]


def _build_job(length: int) -> bytes:
    """Returns a legal job of a length, with a field that is not read."""
    start = f'{_JOB_START}, "filler": "'.encode()
    return start + b"x" * (length - len(start) - 2) + b'"}'


# A list that an error text could repeat; in a JSON text each of its characters
# takes six bytes.
_ERROR_JOB = json.dumps(
    {
        "steps": [{
            "after": ["\u00e9" * (LEGAL_BYTES // 2 - 100)]
        }]
    },
    ensure_ascii=False).encode()


def _build_head(*headers: str,
                method: str = "POST",
                path: str = f"{soak.QUEUE_PREFIX}{'0' * 16}") -> bytes:
    lines = "".join(f"{header}\r\n" for header in headers)
    return (f"{method} {path} HTTP/1.1\r\nHost: soak\r\n"
            f"Authorization: Bearer {soak.API_KEY}\r\n{lines}\r\n").encode()


async def _send(sock: socket.socket, data: bytes) -> None:
    loop = asyncio.get_running_loop()
    for start in range(0, len(data), SEND_BYTES):
        await loop.sock_sendall(sock, data[start:start + SEND_BYTES])


async def _drip(sock: socket.socket, data: bytes) -> None:
    """Sends a byte at a time, slowly, until it is cancelled or cut off."""
    while True:
        await asyncio.sleep(DRIP_INTERVAL_S)
        await _send(sock, data)


async def send_whole(sock: socket.socket) -> None:
    """Sends a job of legal size and waits for the end of the connection."""
    await _send(
        sock,
        _build_head(f"Content-Length: {LEGAL_BYTES}") + _build_job(LEGAL_BYTES))
    while await asyncio.get_running_loop().sock_recv(sock, SEND_BYTES):
        pass


async def stop_short(sock: socket.socket) -> None:
    """Sends all but the end of a body of legal size, the rest byte by byte."""
    await _send(
        sock,
        _build_head(f"Content-Length: {LEGAL_BYTES}") +
        _FILLER[:LEGAL_BYTES - 1000])
    await _drip(sock, b"x")


async def abandon(sock: socket.socket) -> None:
    """Sends most of a body of legal size and closes the connection."""
    await _send(
        sock,
        _build_head(f"Content-Length: {LEGAL_BYTES}") +
        _FILLER[:LEGAL_BYTES - 1000])
    await asyncio.sleep(ABANDON_DELAY_S)


async def send_bytes(sock: socket.socket) -> None:
    """Sends a body of legal size byte by byte, each in a segment."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await _send(sock, _build_head(f"Content-Length: {LEGAL_BYTES}"))
    for _ in range(LEGAL_BYTES):
        await _send(sock, b"x")
        await asyncio.sleep(0)


async def announce_oversize(sock: socket.socket) -> None:
    """Announces a body over the limit and sends all but its end."""
    await _send(
        sock,
        _build_head(f"Content-Length: {OVERSIZE_BYTES}") + _FILLER[:-1000])
    await _drip(sock, b"x")


async def send_chunked(sock: socket.socket) -> None:
    """Sends a chunk over the limit."""
    await _send(
        sock,
        _build_head("Transfer-Encoding: chunked") +
        f"{OVERSIZE_BYTES:x}\r\n".encode() + _FILLER)
    await _drip(sock, b"x")


async def send_unannounced(sock: socket.socket) -> None:
    """Sends a body over the limit without its length."""
    await _send(sock, _build_head() + _FILLER)
    await _drip(sock, b"x")


async def send_endless_head(sock: socket.socket) -> None:
    """Sends header lines without end, up to the listener's own bound."""
    await _send(sock, _build_head()[:-2])
    line = b"X-Filler: " + b"x" * 1000 + b"\r\n"
    for _ in range(OVERSIZE_BYTES // len(line)):
        await _send(sock, line)
    await _drip(sock, b"x")


async def never_read(sock: socket.socket) -> None:
    """Sends requests one after the other and reads no response."""
    for _ in range(UNREAD_REQUESTS):
        await _send(sock, _build_head(method="GET"))
        await asyncio.sleep(UNREAD_INTERVAL_S)
    await asyncio.Event().wait()


async def take_no_error(sock: socket.socket) -> None:
    """Sends a malformed job whose error could be long, and reads nothing."""
    await _send(sock,
                _build_head(f"Content-Length: {len(_ERROR_JOB)}") + _ERROR_JOB)
    await asyncio.Event().wait()


async def never_read_metrics(sock: socket.socket) -> None:
    """Asks for the metrics again and again and reads no response."""
    for _ in range(UNREAD_REQUESTS):
        await _send(sock, _build_head(method="GET", path="/metrics"))
        await asyncio.sleep(UNREAD_INTERVAL_S)
    await asyncio.Event().wait()


async def stay_silent(_: socket.socket) -> None:
    """Sends nothing."""
    await asyncio.Event().wait()


async def run_client(port: int, behaviour: Behaviour) -> None:
    """Runs a client, which connects again when it is cut off.

    Args:
        port: Port of the node.
        behaviour: What it does on each connection.
    """
    loop = asyncio.get_running_loop()
    for _ in range(1 + RECONNECTS):
        with socket.socket() as sock:
            sock.setblocking(False)
            if behaviour in (never_read, never_read_metrics, take_no_error):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                UNREAD_BUFFER_BYTES)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await behaviour(sock)
            except OSError:
                pass
        await asyncio.sleep(RECONNECT_DELAY_S)
