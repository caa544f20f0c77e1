"""Runs platform, workers and nodes as processes on loopback."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import hashlib
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import TypeVar

import httpx
import tomlkit

from trefoilroad_client import api
from trefoilroad_client import results
from trefoilroad_core import errors
from trefoilroad_standins import deployments

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
CONTROL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
CLIENT_TIMEOUT_S = 20.0

_Value = TypeVar("_Value")


class Usage(NamedTuple):
    """Resources that a process has used.

    Attributes:
        cpu_s: Processor time so far in seconds.
        resident_bytes: Resident memory.
    """

    cpu_s: float
    resident_bytes: int


def wait_until(check: Callable[[], _Value], *, timeout_s: float,
               what: str) -> _Value:
    """Waits for a condition.

    Args:
        check: Returns a true value once the condition holds; a node that
            cannot be reached counts as "not yet".
        timeout_s: Longest time to wait, in seconds.
        what: The condition, for the error.

    Returns:
        The true value.

    Raises:
        TimeoutError: If the condition does not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(errors.Unavailable, httpx.TransportError):
            value = check()
            if value:
                return value
        if time.monotonic() >= deadline_s:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(POLL_INTERVAL_S)


class Child:
    """One process that prints a JSON line when it is ready.

    Attributes:
        name: Name of the process, also of its log file.
        ready: What the process printed.
    """

    def __init__(self, *, name: str, command: Sequence[str],
                 folder: pathlib.Path):
        """Prepares the process; `start` runs it.

        Args:
            name: Name of the process.
            command: Arguments of the Python interpreter.
            folder: Where the log goes.
        """
        self.name = name
        self.ready: dict[str, Any] = {}
        self.log = folder / f"{name}.log"
        self._command = [sys.executable, *command]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._running().pid

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process and waits until it is ready.

        Raises:
            TimeoutError: If it does not become ready.
        """
        self.launch()
        self.wait_ready()

    def launch(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            # In a session of its own, so that an interrupt from a terminal
            # reaches only the parent, which ends its children in order.
            self._process = subprocess.Popen(self._command,
                                             stdout=subprocess.PIPE,
                                             stderr=log,
                                             start_new_session=True)

    def wait_ready(self) -> None:
        """Waits until the process is ready.

        Raises:
            TimeoutError: If it does not become ready.
        """
        self.ready = json.loads(self._read_line(READY_TIMEOUT_S))

    def _read_line(self, timeout_s: float) -> bytes:
        stream = self._running().stdout
        assert stream is not None
        deadline_s = time.monotonic() + timeout_s
        line = b""
        while not line.endswith(b"\n"):
            left_s = max(0.0, deadline_s - time.monotonic())
            readable, _, _ = select.select([stream], [], [], left_s)
            data = os.read(stream.fileno(), 1 << 16) if readable else b""
            if not data:
                raise TimeoutError(f"{self.name} did not become ready; "
                                   f"its log ends with {self._read_tail()!r}")
            line += data
        return line

    def _read_tail(self) -> str:
        return self.log.read_text(errors="replace")[-2000:]

    def _running(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f"{self.name} has not been started")
        return self._process

    def kill(self) -> None:
        """Ends the process at once, without a chance to react."""
        self._running().kill()
        self._reap()

    def freeze(self) -> None:
        """Stops the process from running until `thaw`."""
        self._running().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process run again."""
        self._running().send_signal(signal.SIGCONT)

    def request_stop(self) -> None:
        """Asks the process to end, without waiting for that."""
        self._running().send_signal(signal.SIGTERM)

    def wait_stopped(self) -> int:
        """Waits for the end of the process.

        Returns:
            The exit code.

        Raises:
            TimeoutError: If it does not end; it is killed then.
        """
        try:
            self._running().wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise TimeoutError(f"{self.name} did not stop within "
                               f"{STOP_TIMEOUT_S} s") from error
        return self._reap()

    def terminate(self) -> int:
        """Asks the process to end and waits; see `wait_stopped`."""
        self.request_stop()
        return self.wait_stopped()

    def _reap(self) -> int:
        process = self._running()
        code = process.wait(STOP_TIMEOUT_S)
        if process.stdout is not None:
            process.stdout.close()
        return code

    def close(self) -> None:
        """Ends the process in any state, for the end of a test."""
        if self.is_running:
            self.thaw()
            self.kill()

    def restart(self) -> None:
        """Starts the process again after it has ended."""
        if self.is_running:
            raise RuntimeError(f"{self.name} is still running")
        self.start()

    def read_usage(self) -> Usage:
        """Returns the processor time and the resident memory so far."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        # Fields 14, 15 and 24 of proc(5), counted after the name.
        ticks = int(fields[11]) + int(fields[12])
        return Usage(cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
                     resident_bytes=int(fields[21]) *
                     os.sysconf("SC_PAGE_SIZE"))


def _post(port: int, path: str, body: Any) -> None:
    reply = httpx.post(f"http://{HOST}:{port}{path}",
                       json=body,
                       timeout=CONTROL_TIMEOUT_S,
                       trust_env=False)
    reply.raise_for_status()


class Platform(Child):
    """The platform's services."""

    def __init__(self, *, folder: pathlib.Path, vm_lag_s: float = 0.0):
        """Prepares the process.

        Args:
            folder: Where the log goes.
            vm_lag_s: Delay of the VM list in seconds.
        """
        command = [
            "-m", "trefoilroad_standins.platform", "--vm-lag-s",
            str(vm_lag_s)
        ]
        super().__init__(name="platform", command=command, folder=folder)

    @property
    def port(self) -> int:
        """Port of all services."""
        return int(self.ready["port"])

    def set_faults(self, *rules: Mapping[str, Any]) -> None:
        """Replaces the faults; see the stand-in's control interface."""
        _post(self.port, "/control/faults", {"faults": list(rules)})

    def change_vm(self, worker_id: str, state: str) -> None:
        """Sets the state of a VM in the list."""
        _post(self.port, "/v1/vms", {"id": worker_id, "state": state})

    def count_writes(self, node_id: str) -> int:
        """Returns the number of writes to the table by a node so far."""
        reply = httpx.get(f"http://{HOST}:{self.port}/control/counters",
                          timeout=CONTROL_TIMEOUT_S,
                          trust_env=False)
        reply.raise_for_status()
        counts = reply.json()["nodes"].get(node_id, {})
        return int(counts.get("table", {}).get("writes", 0))

    def read_rows(self, prefix: str) -> dict[str, Any]:
        """Returns the values of all rows under a prefix, by key."""
        reply = httpx.get(f"http://{HOST}:{self.port}/v1/rows",
                          params={"prefix": prefix},
                          timeout=CONTROL_TIMEOUT_S,
                          trust_env=False)
        reply.raise_for_status()
        return {row["key"]: row["value"] for row in reply.json()["rows"]}


class Workers(Child):
    """One process that hosts all workers of a deployment."""

    def __init__(self, *, folder: pathlib.Path,
                 deployment: deployments.Deployment, platform: Platform):
        """Prepares the process.

        Args:
            folder: Where log and history go.
            deployment: Number and shape of the workers.
            platform: Platform whose VM list gets the workers.
        """
        self.history = folder / "history.jsonl"
        options = {
            "count": deployment.workers,
            "per-rack": deployment.per_rack,
            "failure-domains": deployment.failure_domains,
            **deployment.capacity._asdict(), "history": self.history,
            "register": f"http://{HOST}:{platform.port}"
        }
        command = ["-m", "trefoilroad_standins.worker"]
        for name, value in options.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        super().__init__(name="workers", command=command, folder=folder)

    @property
    def port(self) -> int:
        """Port of the control interface."""
        return int(self.ready["port"])

    def set_faults(self, *rules: Mapping[str, Any]) -> None:
        """Replaces the faults; see the stand-in's control interface."""
        _post(self.port, "/control/faults", {"faults": list(rules)})

    def change_state(self, worker_ids: Sequence[str], **state: bool) -> None:
        """Sets `leaving` or `fail_everything`, or restarts workers."""
        _post(self.port, "/control/state", {
            "workers": list(worker_ids),
            **state
        })

    def read_history(self) -> list[dict[str, Any]]:
        """Returns what all workers did, in order."""
        text = self.history.read_text()
        whole = text[:text.rfind("\n") + 1]
        return [json.loads(line) for line in whole.splitlines()]

    def count_starts(self) -> dict[str, int]:
        """Returns the number of attempts that started, by request id."""
        attempts = {
            entry["attempt"]
            for entry in self.read_history()
            if entry["event"] == "start"
        }
        counts: dict[str, int] = {}
        for attempt in attempts:
            request_id = attempt.rpartition(".")[0]
            counts[request_id] = counts.get(request_id, 0) + 1
        return counts


class Node(Child):
    """One entry node."""

    def __init__(self, *, node_id: str, folder: pathlib.Path, region: str,
                 failure_domain: str, platform: Platform, link_secret: str,
                 operator_token: str):
        """Writes the settings file.

        Args:
            node_id: Name of the node.
            folder: Where settings and log go.
            region: Region of the node.
            failure_domain: Failure domain of the node.
            platform: Platform to use.
            link_secret: Secret between the nodes.
            operator_token: Token that may publish from the beginning.
        """
        digest = hashlib.sha256(operator_token.encode()).hexdigest()
        settings = {
            "node": {
                "id": node_id,
                "region": region,
                "failure_domain": failure_domain,
                "listen": f"{HOST}:0",
                "link": f"{HOST}:0",
                "link_secret": link_secret
            },
            "store": {
                "address": f"{HOST}:{platform.port}"
            },
            "bootstrap": {
                "operator_token_sha256": digest
            }
        }
        path = folder / f"{node_id}.toml"
        path.write_text(tomlkit.dumps(settings))
        command = ["-m", "trefoilroad_node.daemon", "--settings", str(path)]
        super().__init__(name=node_id, command=command, folder=folder)

    @property
    def address(self) -> str:
        """Address for callers and operators; a restart changes it."""
        return str(self.ready["listen"])


class Cluster:
    """Platform, workers and nodes of one deployment.

    Attributes:
        platform: The platform process.
        workers: The process of all workers.
        nodes: The nodes by name.
    """

    def __init__(self,
                 *,
                 folder: pathlib.Path,
                 deployment: deployments.Deployment,
                 operator_token: str,
                 vm_lag_s: float = 0.0):
        """Prepares the cluster; entering the context starts it.

        Args:
            folder: Where settings, logs and the history go.
            deployment: Fleet and number of nodes.
            operator_token: Token that may publish from the beginning.
            vm_lag_s: Delay of the VM list in seconds.
        """
        self._folder = folder
        self._deployment = deployment
        self._operator_token = operator_token
        self._stack = contextlib.ExitStack()
        self.platform = Platform(folder=folder, vm_lag_s=vm_lag_s)
        self.workers: Workers
        self.nodes: dict[str, Node] = {}

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def _start(self, stack: contextlib.ExitStack) -> None:
        stack.callback(self.platform.close)
        self.platform.start()
        self.workers = Workers(folder=self._folder,
                               deployment=self._deployment,
                               platform=self.platform)
        stack.callback(self.workers.close)
        self.workers.start()
        secret = os.urandom(16).hex()
        for number in range(self._deployment.nodes):
            domain = number % self._deployment.failure_domains
            node = Node(node_id=f"n{number + 1}",
                        folder=self._folder,
                        region=self._deployment.region,
                        failure_domain=f"fd{domain}",
                        platform=self.platform,
                        link_secret=secret,
                        operator_token=self._operator_token)
            self.nodes[node.name] = node
            stack.callback(node.close)
            node.launch()
        for node in self.nodes.values():
            node.wait_ready()

    def connect(self,
                *node_ids: str,
                token: str = "",
                timeout_s: float = CLIENT_TIMEOUT_S) -> api.Client:
        """Returns a client, which is closed with the cluster.

        Args:
            *node_ids: Nodes that it uses, all if none is given.
            token: Access token, by default the operator's.
            timeout_s: Time limit of one call in seconds.
        """
        names = node_ids or tuple(self.nodes)
        client = api.Client(nodes=[self.nodes[name].address for name in names],
                            token=token or self._operator_token,
                            timeout_s=timeout_s)
        return self._stack.enter_context(client)

    def read_status(self, node_id: str) -> results.NodeStatus:
        """Returns what a node knows of itself; see Client.node_status."""
        with api.Client(nodes=[self.nodes[node_id].address],
                        token=self._operator_token,
                        timeout_s=1.0) as client:
            return client.node_status()

    def find_owner(self, *node_ids: str, timeout_s: float = 15.0) -> str:
        """Waits until nodes agree on an owner among them.

        Args:
            *node_ids: Nodes to ask, all that run if none is given.
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Name of the owner.

        Raises:
            TimeoutError: If they do not agree in time.
        """
        names = node_ids or tuple(
            name for name, node in self.nodes.items() if node.is_running)

        def check() -> str:
            owners = {self.read_status(name).owner for name in names}
            owner = owners.pop()
            return owner if not owners and owner in names else ""

        return wait_until(check,
                          timeout_s=timeout_s,
                          what="nodes agree on an owner")

    def wait_configured(self,
                        version: int,
                        *node_ids: str,
                        timeout_s: float = 10.0) -> None:
        """Waits until a configuration version is in force on nodes.

        Args:
            version: Version that must be in force, or a later one.
            *node_ids: Nodes to ask, all that run if none is given.
            timeout_s: Longest time to wait, in seconds.

        Raises:
            TimeoutError: If it is not in force in time.
        """
        names = node_ids or tuple(
            name for name, node in self.nodes.items() if node.is_running)
        wait_until(lambda: all(
            self.read_status(name).config_version >= version for name in names),
                   timeout_s=timeout_s,
                   what=f"configuration {version} on {', '.join(names)}")
