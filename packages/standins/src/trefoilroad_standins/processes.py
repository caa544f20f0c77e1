"""Runs the platform, workers and nodes as processes on loopback."""

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

LOOPBACK_HOST = "127.0.0.1"
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
               condition: str) -> _Value:
    """Waits for a condition.

    Args:
        check: Returns a true value once the condition holds. Connection errors
            count as a false value.
        timeout_s: Longest time to wait, in seconds.
        condition: Description of the condition, for the error message.

    Returns:
        The value that `check` returned.

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
            raise TimeoutError(f"not within {timeout_s} s: {condition}")
        time.sleep(POLL_INTERVAL_S)


class ChildProcess:
    """A child process that prints a JSON object when it is ready.

    Attributes:
        name: Name of the process, also of its log file.
        ready: The decoded object, empty until the process is ready.
        log: Path of the file that receives the standard error output.
    """

    def __init__(self, *, name: str, command: Sequence[str],
                 folder: pathlib.Path):
        """Describes the process; `start` or `launch` runs it.

        Args:
            name: Name of the process.
            command: Arguments of the Python interpreter.
            folder: Folder for the log file.
        """
        self.name = name
        self.ready: dict[str, Any] = {}
        self.log = folder / f"{name}.log"
        self._command = [sys.executable, *command]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._require_process().pid

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
        """Starts the process without waiting for it."""
        with self.log.open("ab") as log:
            # In a new session, so that Ctrl-C on a terminal reaches only the
            # parent, which then ends its children in order.
            self._process = subprocess.Popen(self._command,
                                             stdout=subprocess.PIPE,
                                             stderr=log,
                                             start_new_session=True)

    def wait_ready(self) -> None:
        """Waits until the process has printed its ready line.

        Raises:
            TimeoutError: If it does not become ready.
        """
        self.ready = json.loads(self._read_line(READY_TIMEOUT_S))

    def _read_line(self, timeout_s: float) -> bytes:
        stream = self._require_process().stdout
        assert stream is not None
        deadline_s = time.monotonic() + timeout_s
        line = b""
        while not line.endswith(b"\n"):
            left_s = max(0.0, deadline_s - time.monotonic())
            readable, _, _ = select.select([stream], [], [], left_s)
            data = os.read(stream.fileno(), 1 << 16) if readable else b""
            if not data:
                raise TimeoutError(
                    f"{self.name} did not become ready; "
                    f"its log ends with {self._read_log_tail()!r}")
            line += data
        return line

    def _read_log_tail(self) -> str:
        return self.log.read_text(errors="replace")[-2000:]

    def _require_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f"{self.name} has not been started")
        return self._process

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self._require_process().kill()
        self._reap()

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP until `thaw` is called."""
        self._require_process().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a frozen process."""
        self._require_process().send_signal(signal.SIGCONT)

    def request_stop(self) -> None:
        """Sends SIGTERM without waiting for the end of the process."""
        self._require_process().send_signal(signal.SIGTERM)

    def wait_stopped(self) -> int:
        """Waits for the end of the process.

        Returns:
            The exit code.

        Raises:
            TimeoutError: If it does not end in time; it has then been killed.
        """
        try:
            self._require_process().wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            self.kill()
            raise TimeoutError(f"{self.name} did not stop within "
                               f"{STOP_TIMEOUT_S} s") from error
        return self._reap()

    def terminate(self) -> int:
        """Sends SIGTERM and waits for the end; see `wait_stopped`."""
        self.request_stop()
        return self.wait_stopped()

    def _reap(self) -> int:
        process = self._require_process()
        code = process.wait(STOP_TIMEOUT_S)
        if process.stdout is not None:
            process.stdout.close()
        return code

    def close(self) -> None:
        """Kills the process if it is running, also if it is frozen."""
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
        # Fields 14, 15 and 24 of /proc/PID/stat, see proc(5); the split starts
        # after field 2, the name, which can contain spaces.
        ticks = int(fields[11]) + int(fields[12])
        return Usage(cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
                     resident_bytes=int(fields[21]) *
                     os.sysconf("SC_PAGE_SIZE"))


def _post(port: int, path: str, body: Any) -> None:
    reply = httpx.post(f"http://{LOOPBACK_HOST}:{port}{path}",
                       json=body,
                       timeout=CONTROL_TIMEOUT_S,
                       trust_env=False)
    reply.raise_for_status()


class PlatformProcess(ChildProcess):
    """The process of the platform stand-in."""

    def __init__(self, *, folder: pathlib.Path, vm_lag_s: float = 0.0):
        """Describes the process.

        Args:
            folder: Folder for the log file.
            vm_lag_s: Delay of the VM list in seconds.
        """
        command = [
            "-m", "trefoilroad_standins.platform", "--vm-lag-s",
            str(vm_lag_s)
        ]
        super().__init__(name="platform", command=command, folder=folder)

    @property
    def port(self) -> int:
        """Port of the platform's services and of its control interface."""
        return int(self.ready["port"])

    def set_faults(self, *rules: Mapping[str, Any]) -> None:
        """Replaces the fault rules; each has the fields of faults.Rule."""
        _post(self.port, "/control/faults", {"faults": list(rules)})

    def change_vm(self, worker_id: str, state: str) -> None:
        """Sets the state of a VM in the VM list."""
        _post(self.port, "/v1/vms", {"id": worker_id, "state": state})

    def count_received(self, node_id: str, key: str) -> int:
        """Returns how many commits of a node to a row have been received.

        A commit that is delayed by a fault counts from its arrival.
        """
        return int(self._read_counters()["commits"].get(node_id,
                                                        {}).get(key, 0))

    def _read_counters(self) -> dict[str, Any]:
        reply = httpx.get(
            f"http://{LOOPBACK_HOST}:{self.port}/control/counters",
            timeout=CONTROL_TIMEOUT_S,
            trust_env=False)
        reply.raise_for_status()
        return dict(reply.json())

    def read_rows(self, prefix: str) -> dict[str, Any]:
        """Returns the values of all rows whose keys have a prefix, by key."""
        reply = httpx.get(f"http://{LOOPBACK_HOST}:{self.port}/v1/rows",
                          params={"prefix": prefix},
                          timeout=CONTROL_TIMEOUT_S,
                          trust_env=False)
        reply.raise_for_status()
        return {row["key"]: row["value"] for row in reply.json()["rows"]}


class WorkersProcess(ChildProcess):
    """The process that hosts all workers of a deployment."""

    def __init__(self, *, folder: pathlib.Path,
                 deployment: deployments.Deployment, platform: PlatformProcess):
        """Describes the process.

        Args:
            folder: Folder for the log file and the history.
            deployment: Number and capacity of the workers.
            platform: Platform with which the workers are registered.
        """
        self.history = folder / "history.jsonl"
        options = {
            "count": deployment.workers,
            "per-rack": deployment.per_rack,
            "failure-domains": deployment.failure_domains,
            **deployment.capacity._asdict(), "history": self.history,
            "register": f"http://{LOOPBACK_HOST}:{platform.port}"
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
        """Replaces the fault rules; each has the fields of faults.Rule."""
        _post(self.port, "/control/faults", {"faults": list(rules)})

    def change_state(self, worker_ids: Sequence[str], **state: bool) -> None:
        """Changes the state of workers.

        Args:
            worker_ids: Ids of the workers.
            **state: `leaving`, `fail_everything` or `restart`; see
                worker.change_state.
        """
        _post(self.port, "/control/state", {
            "workers": list(worker_ids),
            **state
        })

    def read_history(self) -> list[dict[str, Any]]:
        """Returns all complete entries of the workers' history, in order."""
        text = self.history.read_text()
        whole = text[:text.rfind("\n") + 1]
        return [json.loads(line) for line in whole.splitlines()]

    def count_starts(self) -> dict[str, int]:
        """Returns the number of started attempts by request id."""
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


class NodeProcess(ChildProcess):
    """The process of one node."""

    def __init__(self, *, node_id: str, folder: pathlib.Path, region: str,
                 failure_domain: str, platform: PlatformProcess,
                 link_secret: str, operator_token: str):
        """Describes the process and writes its settings file.

        Args:
            node_id: Name of the node.
            folder: Folder for the settings and log files.
            region: Region of the node.
            failure_domain: Failure domain of the node.
            platform: Platform to use.
            link_secret: Secret that the nodes share.
            operator_token: Token of the operator who may publish the first
                configuration.
        """
        digest = hashlib.sha256(operator_token.encode()).hexdigest()
        settings = {
            "node": {
                "id": node_id,
                "region": region,
                "failure_domain": failure_domain,
                "listen": f"{LOOPBACK_HOST}:0",
                "link": f"{LOOPBACK_HOST}:0",
                "link_secret": link_secret
            },
            "store": {
                "address": f"{LOOPBACK_HOST}:{platform.port}"
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
        """Host and port for callers and operators; a restart changes them."""
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
        """Describes the cluster; entering the context starts it.

        Args:
            folder: Folder for settings, logs and the workers' history.
            deployment: Fleet and number of nodes.
            operator_token: Token of the operator who may publish the first
                configuration.
            vm_lag_s: Delay of the VM list in seconds.
        """
        self._folder = folder
        self._deployment = deployment
        self._operator_token = operator_token
        self._stack = contextlib.ExitStack()
        self.platform = PlatformProcess(folder=folder, vm_lag_s=vm_lag_s)
        self.workers: WorkersProcess
        self.nodes: dict[str, NodeProcess] = {}

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
        self.workers = WorkersProcess(folder=self._folder,
                                      deployment=self._deployment,
                                      platform=self.platform)
        stack.callback(self.workers.close)
        self.workers.start()
        secret = os.urandom(16).hex()
        for number in range(self._deployment.nodes):
            domain = number % self._deployment.failure_domains
            node = NodeProcess(node_id=f"n{number + 1}",
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
        """Returns a client, which is closed when the cluster ends.

        Args:
            *node_ids: Nodes that it uses; all if none is given.
            token: Access token, by default the operator's.
            timeout_s: Time limit of one call in seconds.
        """
        names = node_ids or tuple(self.nodes)
        client = api.Client(nodes=[self.nodes[name].address for name in names],
                            token=token or self._operator_token,
                            timeout_s=timeout_s)
        return self._stack.enter_context(client)

    def read_status(self, node_id: str) -> results.NodeStatus:
        """Returns the status of a node; see Client.node_status."""
        with api.Client(nodes=[self.nodes[node_id].address],
                        token=self._operator_token,
                        timeout_s=1.0) as client:
            return client.node_status()

    def find_owner(self, *node_ids: str, timeout_s: float = 15.0) -> str:
        """Waits until nodes report the same owner, which is one of them.

        Args:
            *node_ids: Nodes to ask; all running ones if none is given.
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
                          condition="nodes agree on an owner")

    def wait_for_config(self,
                        version: int,
                        *node_ids: str,
                        timeout_s: float = 10.0) -> None:
        """Waits until a configuration version is in force on nodes.

        Args:
            version: Version that must be in force, or a later one.
            *node_ids: Nodes to ask; all running ones if none is given.
            timeout_s: Longest time to wait, in seconds.

        Raises:
            TimeoutError: If it is not in force in time.
        """
        names = node_ids or tuple(
            name for name, node in self.nodes.items() if node.is_running)
        wait_until(lambda: all(
            self.read_status(name).config_version >= version for name in names),
                   timeout_s=timeout_s,
                   condition=f"configuration {version} on {', '.join(names)}")
