"""A node process that must keep within the limits of a small VM.

The settings of the process state what its VM has: 96 MB of memory and 500
descriptors, 200 of which are reserved for files. A process at rest takes about
40 MB.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
import signal
from typing import Any

from trefoilroad_standins.jobs import fleet_server
from trefoilroad_standins.jobs import node_process
from trefoilroad_standins.jobs import soak

MEMORY_MB = 96
MAX_DESCRIPTORS = 500
FILE_DESCRIPTORS = 200
SAMPLE_INTERVAL_S = 0.1
ANSWER_TRIES = 8
RETRY_S = 0.3
SETTINGS = f"memory_mb = {MEMORY_MB}\nmax_descriptors = {MAX_DESCRIPTORS}\n"
# Key of a team that has no part in an attack.
ORDINARY_KEY = "ordinary-key"
CONFIGURATION: dict[str, Any] = soak.CONFIGURATION | {
    "tenants": [
        *soak.CONFIGURATION["tenants"],  # type: ignore[misc]
        {
            "name": "ordinary",
            "apiKeys": [ORDINARY_KEY]
        }
    ]
}
JOB = {
    "spec":
        "text",
    "steps": [{
        "count": 1,
        "cpu": 4000,
        "memMb": 4000,
        "gpu": 1,
        "estimatedMs": 1000
    }]
}


def read_memory_kb(process_id: int, field: str) -> int:
    """Returns a field of a process's status in kB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    for line in status.splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise ValueError(f"no {field}")


def _read_unread_bytes(ports: set[int]) -> int:
    """Returns the bytes received for the ports that no process has read."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        listening = fields[3] == "0A"
        if int(fields[1].partition(":")[2], 16) in ports and not listening:
            total += int(fields[4].partition(":")[2], 16)
    return total


def _count_descriptors(process_id: int) -> int:
    return len(list(pathlib.Path(f"/proc/{process_id}/fd").iterdir()))


class ConfinedSite:
    """A node process beside a store and workers, and what it takes.

    Attributes:
        node: The process.
        fleet: The store and the workers.
        rest_kb: Most memory that the process had taken before the attack.
        max_unread_bytes: Most bytes that were received and not yet read.
        max_memory_kb: Most memory together with these bytes.
        max_descriptors: Most open descriptors.
    """

    def __init__(self, *, folder: pathlib.Path, worker_count: int = 2):
        """Creates a site that is not started.

        Args:
            folder: Folder for settings and log.
            worker_count: Number of workers.
        """
        self.rest_kb = 0
        self.max_unread_bytes = 0
        self.max_memory_kb = 0
        self.max_descriptors = 0
        self.fleet = fleet_server.FleetServer(worker_count=worker_count)
        self._folder = folder
        self._ordinary_jobs = 0

    async def __aenter__(self) -> "ConfinedSite":
        await self.fleet.start()
        self.fleet.publish(CONFIGURATION)
        self.node = node_process.NodeProcess(name="n0",
                                             folder=self._folder,
                                             store_port=self.fleet.store_port,
                                             extra_settings=SETTINGS)
        await self.node.prepare()
        await self.node.start()
        assert await self.get_answer("GET", soak.QUEUE_PREFIX) == 200
        self.rest_kb = read_memory_kb(self.node.process_id, "VmHWM")
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.node.stop(signal.SIGKILL)
        self.node.proxy.stop()
        await self.fleet.stop()

    async def get_answer(self,
                         method: str,
                         path: str,
                         body: object = None,
                         key: str = soak.API_KEY) -> int:
        """Repeats a call until it is answered; returns the status."""
        status = 0
        for _ in range(ANSWER_TRIES):
            status, _answer = await soak.call(self.node.port, method, path,
                                              body, key)
            if status == 200:
                break
            await asyncio.sleep(RETRY_S)
        return status

    async def submit_ordinary_job(self) -> int:
        """Submits a job of a team that has no part; returns the status."""
        self._ordinary_jobs += 1
        path = f"{soak.QUEUE_PREFIX}{self._ordinary_jobs:a>16}"
        return await self.get_answer("POST", path, JOB, ORDINARY_KEY)

    def sample(self) -> None:
        """Notes what the process takes now."""
        if self.node.has_ended:
            return
        unread = _read_unread_bytes(set(self.node.ports))
        resident_kb = read_memory_kb(self.node.process_id, "VmRSS")
        self.max_unread_bytes = max(self.max_unread_bytes, unread)
        self.max_memory_kb = max(self.max_memory_kb,
                                 resident_kb + unread // 1024,
                                 read_memory_kb(self.node.process_id, "VmHWM"))
        self.max_descriptors = max(self.max_descriptors,
                                   _count_descriptors(self.node.process_id))

    @contextlib.contextmanager
    def sampling(self) -> Iterator[None]:
        """Samples the process at an interval."""

        async def sample() -> None:
            while True:
                self.sample()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

        task = asyncio.create_task(sample())
        try:
            yield
        finally:
            task.cancel()
            self.sample()

    def describe(self) -> str:
        """Returns what the process took."""
        return (f"memory {self.max_memory_kb} kB (at rest {self.rest_kb} kB), "
                f"unread {self.max_unread_bytes}, "
                f"descriptors {self.max_descriptors}")

    def check_limits(self) -> None:
        """Checks that the process lives and has kept within its limits."""
        assert not self.node.has_ended
        assert self.max_memory_kb < MEMORY_MB * 1024
        assert self.max_descriptors < MAX_DESCRIPTORS - FILE_DESCRIPTORS
