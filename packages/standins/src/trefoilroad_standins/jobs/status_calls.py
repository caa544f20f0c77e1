"""Callers that ask node processes for the states of jobs."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import json

from trefoilroad_standins.jobs import node_process
from trefoilroad_standins.jobs import open_connections
from trefoilroad_standins.jobs import statuses

# Requests to a node that are under way at the same time.
CONNECTIONS_PER_NODE = 16


class _Connection:
    """A connection to a node, which is opened again when it was closed."""

    def __init__(self, *, node: node_process.NodeProcess, key: str,
                 read_clock: Callable[[], float]):
        self._node = node
        self._key = key
        self._read_clock = read_clock
        self._streams: tuple[asyncio.StreamReader,
                             asyncio.StreamWriter] | None = None

    async def ask_each(
            self, jobs: Iterator[tuple[str, str]]) -> list[statuses.Answer]:
        """Asks for one job after the other, given their ids and paths."""
        try:
            return [await self._ask(*job) for job in jobs]
        finally:
            self._close()

    async def _ask(self, job_id: str, path: str) -> statuses.Answer:
        """Asks for a job; repeats a refused question as a caller does."""
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        answer = statuses.Answer(self._node.name, job_id, 0.0, 0.0)
        try:
            async with asyncio.timeout(statuses.ANSWER_TIMEOUT_S):
                for _ in range(statuses.MAX_ATTEMPTS):
                    answer, retry_after_s = await self._try(answer, path)
                    if answer.status and not statuses.is_refusal(answer.status):
                        break
                    await asyncio.sleep(retry_after_s)
        except TimeoutError:
            self._close()
        return answer._replace(at_s=self._read_clock(),
                               took_s=loop.time() - asked_s)

    async def _try(self, answer: statuses.Answer,
                   path: str) -> tuple[statuses.Answer, float]:
        """Returns the answer and when to repeat the question, in seconds."""
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(
                    "127.0.0.1", self._node.port)
            reader, writer = self._streams
            writer.write(open_connections.encode_request(
                "GET", path, self._key))
            response = await open_connections.read_response(reader)
            state = str(json.loads(response.body).get("state", ""))
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            self._close()
            return answer._replace(status=0, state=""), statuses.RETRY_S
        if not response.stays_open:
            self._close()
        return (answer._replace(status=response.status,
                                state=state), response.retry_after_s or
                statuses.RETRY_S)

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def ask_all(nodes: Iterable[node_process.NodeProcess],
                  paths: Mapping[str, str], key: str,
                  read_clock: Callable[[], float]) -> list[statuses.Answer]:
    """Asks nodes for jobs, all at once on connections that stay open.

    Args:
        nodes: The nodes.
        paths: Path of the status of each job, by id.
        key: Key of the caller's team.
        read_clock: Returns the time of the answers in seconds.
    """
    calls = []
    for node in nodes:
        # Shared by the connections to the node.
        jobs = iter(paths.items())
        calls += [
            _Connection(node=node, key=key,
                        read_clock=read_clock).ask_each(jobs)
            for _ in range(CONNECTIONS_PER_NODE)
        ]
    return [
        answer for answers in await asyncio.gather(*calls) for answer in answers
    ]
