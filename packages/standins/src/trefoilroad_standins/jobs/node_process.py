"""Processes of the platform program beside stand-ins."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys

from trefoilroad_standins.jobs import proxy as proxies

STOP_GRACE_S = 6.0
# Options of the interpreter that runs a node.
PROGRAM = ("-P", "-m", "trefoilroad_platform")
# Below the range from which the kernel chooses ports for other processes.
PORT_RANGE = (20_000, 32_000)

SETTINGS_TEMPLATE = """\
node_id = "{name}"
ip = "127.0.0.1"
frontend = "127.0.0.1:{frontend}"
readiness = "127.0.0.1:{readiness}"
link_port = {link}
metrics_port = {metrics}
store = "127.0.0.1:{store}"
cpu_share = 1.0
cpu_speed = 1
link_mbps = 1000.0
revoke_ms = 5000
grace_s = 6.0
max_lease_ms = 10000
checkpoint_interval_s = 1.0
status_s = 120
"""

# Ports allocated by this process, each with a UDP socket of the same number. It
# keeps other soaks on this machine from allocating the port. None is reused,
# since a stopped node keeps its ports for the next start.
_reservations: dict[int, socket.socket] = {}


def allocate_ports(count: int) -> list[int]:
    """Allocates free ports outside the range that the kernel chooses from."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(*PORT_RANGE)
        if port in _reservations:
            continue
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as probe:
            try:
                reservation.bind(("127.0.0.1", port))
                probe.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
        _reservations[port] = reservation
        ports.append(port)
    return ports


class NodeProcess:
    """A node process, with a proxy between it and the store.

    Attributes:
        name: Identifier of the node.
        proxy: Proxy for the connections to the store.
    """

    def __init__(self,
                 *,
                 name: str,
                 folder: pathlib.Path,
                 store_port: int,
                 extra_settings: str = ""):
        """Allocates the ports of the node.

        Args:
            name: Identifier of the node.
            folder: Folder for settings and log.
            store_port: Port of the store.
            extra_settings: Lines added to the settings file.
        """
        self.name = name
        self._extra_settings = extra_settings
        self.proxy = proxies.Proxy(target_port=store_port)
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._ports = allocate_ports(4)
        self._paused = False
        self._stopping = False

    @property
    def port(self) -> int:
        """Port for calls of clients."""
        return self._ports[0]

    @property
    def ports(self) -> list[int]:
        """Ports for clients, readiness checks, links and metrics."""
        return list(self._ports)

    @property
    def process_id(self) -> int:
        """Id of the process, 0 if it never started."""
        return self._process.pid if self._process else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, or None if it runs or never started."""
        return self._process.returncode if self._process else None

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.exit_code is not None

    @property
    def running(self) -> bool:
        """Whether the process runs, is not paused and was not told to stop."""
        return (self._process is not None and not self.has_ended and
                not self._paused and not self._stopping)

    async def prepare(self) -> None:
        """Starts the proxy and writes the settings file."""
        await self.proxy.start()
        frontend, readiness, link, metrics = self._ports
        self._settings = self._folder / f"{self.name}.toml"
        self._settings.write_text(
            SETTINGS_TEMPLATE.format(name=self.name,
                                     frontend=frontend,
                                     readiness=readiness,
                                     link=link,
                                     metrics=metrics,
                                     store=self.proxy.port) +
            self._extra_settings)

    async def start(self) -> None:
        """Starts the process, unless it runs; its log goes to a file.

        Faults overlap, so another one may have restarted the process already.
        A second process would never be stopped.
        """
        if self._process is not None and not self.has_ended:
            return
        self._paused = self._stopping = False
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *PROGRAM,
                env=os.environ | {"TREFOILROAD_BOOT": str(self._settings)},
                stdout=log,
                stderr=log)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self._paused = number == signal.SIGSTOP

    async def stop(self, number: signal.Signals) -> None:
        """Sends a signal and waits; kills the process after a grace time."""
        if self._process is None:
            return
        self._stopping = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            await asyncio.wait_for(self._process.wait(), STOP_GRACE_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
