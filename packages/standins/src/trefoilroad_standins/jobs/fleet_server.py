"""The platform's store and workers over HTTP on loopback, in one process.

Serves the platform's published protocol from the same simulated tables and
workers as the virtual site.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
from typing import Any
from urllib import parse

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins import clock
from trefoilroad_standins.jobs import tables as row_tables
from trefoilroad_standins.jobs import workers as worker_module

# Interval at which the virtual clock follows the real time.
POLL_INTERVAL_S = 0.01
# Interval at which a watch checks whether the history has been dropped.
HISTORY_CHECK_INTERVAL_S = 0.1
REGISTRATION_INTERVAL_S = 0.5
WORKER_CAPACITY = workload.Demand(64_000, 256_000, 8)

# Status and JSON document.
HttpAnswer = tuple[int, dict[str, Any]]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[HttpAnswer]]


async def serve(handler: Handler) -> asyncio.Server:
    """Serves HTTP on a port that the kernel chooses.

    Args:
        handler: Answers a request, given its method, target, headers and body.
    """

    async def serve_connection(reader: asyncio.StreamReader,
                               writer: asyncio.StreamWriter) -> None:
        try:
            while await _serve_one(reader, writer, handler):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass  # The soak kills peers and breaks their connections.
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, "127.0.0.1", 0)


async def _serve_one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                     handler: Handler) -> bool:
    """Serves one request; returns False at the end of the connection."""
    line = await reader.readline()
    if not line:
        return False
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    status, answer = await handler(method, target, headers, body)
    data = json.dumps(answer).encode()
    writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                 f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
    await writer.drain()
    return True


def get_port(server: asyncio.Server) -> int:
    """Returns the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


class FleetServer:
    """Store and workers of a fleet behind HTTP ports.

    Attributes:
        clock: Virtual clock that follows the real time.
        tables: Contents of the store; a table is named "table|part".
        worker_states: Workers by identifier.
        history: Events of all workers in order.
        run_s: Run time of the tasks of a job in seconds, by job; 1 s if
            absent.
        demands: Demand of a task of a job, by job; one accelerator if absent.
        ports: Port of each worker.
        registered_ports: Port under which each worker registers itself, which
            may be that of a proxy.
        store_delay_s: Added to each answer of the store, in seconds.
        refusing: Whether the store refuses all calls.
        store_port: Port of the store.
    """

    def __init__(self,
                 *,
                 worker_count: int,
                 workers_per_rack: int = 3,
                 kinds: Sequence[str] = ("a",),
                 silence_s: float = 0.0):
        """Creates an empty store; `start` creates the workers.

        Args:
            worker_count: Number of workers.
            workers_per_rack: Number of workers in a rack.
            kinds: Labels of the kinds of workers, which take turns.
            silence_s: Time after which the registration of an absent worker
                is removed, in seconds.
        """
        self.clock = clock.Clock()
        self.tables = row_tables.Tables(virtual_clock=self.clock)
        self.worker_states: dict[str, worker_module.WorkerState] = {}
        self.history: list[worker_module.Event] = []
        self.run_s: dict[str, float] = {}
        self.demands: dict[str, workload.Demand] = {}
        self.ports: dict[str, int] = {}
        self.registered_ports: dict[str, int] = {}
        self.store_delay_s = 0.0
        self.refusing = False
        self.store_port = 0
        self._servers: list[asyncio.Server] = []
        self._names = [f"w{number:02}" for number in range(worker_count)]
        self._workers_per_rack = workers_per_rack
        self._kinds = kinds
        self._silence_s = silence_s
        self._last_heard_s: dict[str, float] = {}
        # Set and dropped at the next change of the table with that name.
        self._changes_by_name: dict[str, asyncio.Event] = {}

    async def start(self) -> None:
        """Binds all ports and starts the clock and the registrations."""
        self.started_s = asyncio.get_running_loop().time()
        self.tables.add_watcher(self._wake_watches)
        server = await serve(self._serve_store)
        self._servers.append(server)
        self.store_port = get_port(server)
        for number, name in enumerate(self._names):
            worker_state = worker_module.WorkerState(
                worker_id=name,
                rack=f"r{number // self._workers_per_rack}",
                virtual_clock=self.clock,
                capacity=WORKER_CAPACITY,
                history=self.history,
                get_behaviour=self._get_behaviour)
            self.worker_states[name] = worker_state
            server = await serve(self._build_worker_handler(worker_state))
            self._servers.append(server)
            self.ports[name] = get_port(server)
            self.registered_ports[name] = self.ports[name]
        self._clock_task = asyncio.create_task(self._advance_clock())

    async def stop(self) -> None:
        """Closes all ports."""
        self._clock_task.cancel()
        for server in self._servers:
            server.close()

    async def _advance_clock(self) -> None:
        registration_due_s = 0.0
        while True:
            now_s = asyncio.get_running_loop().time() - self.started_s
            self.clock.run(now_s - self.clock.now_s)
            if now_s >= registration_due_s:
                registration_due_s = now_s + REGISTRATION_INTERVAL_S
                self._update_registrations()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _get_behaviour(self, name: str) -> worker_module.Behaviour:
        job_id = name.partition(".")[0]
        return worker_module.Behaviour(
            self.demands.get(job_id, workload.Demand(4000, 4000, 1)),
            self.run_s.get(job_id, 1.0))

    # Store.

    def publish(self, config: dict[str, Any]) -> None:
        """Writes the configuration to the store, as the operator does."""
        self.tables.put("op|", "config", json.dumps(config).encode())

    def _update_registrations(self) -> None:
        """Writes the changed registrations and removes absent workers."""
        now_s = self.clock.now_s
        for number, (name,
                     worker_state) in enumerate(self.worker_states.items()):
            registered = self.tables.rows.get("servers|", {}).get(name)
            if not worker_state.alive or not worker_state.reachable:
                if (registered and
                        now_s - self._last_heard_s[name] >= self._silence_s):
                    self.tables.put("servers|", name, None)
                continue
            self._last_heard_s[name] = now_s
            entry = json.dumps({
                "service": "service",
                "address": f"127.0.0.1:{self.registered_ports[name]}",
                "zone": "zone",
                "version": "v1",
                "slots": 8,
                "state": "draining" if worker_state.draining else "ready",
                "remainingMs": 2000,
                "coldRemainingMs": 0,
                "capacity": {
                    "cpu": 64000,
                    "memMb": 256000,
                    "gpu": 8
                },
                "labels": [
                    self._kinds[number % len(self._kinds)], worker_state.rack
                ],
                "born": worker_state.boot_ms
            }).encode()
            if registered is None or registered.value != entry:
                self.tables.put("servers|", name, entry)

    async def _serve_store(self, method: str, target: str,
                           headers: dict[str, str], body: bytes) -> HttpAnswer:
        path, _sep, text = target.partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if self.store_delay_s:
            await asyncio.sleep(self.store_delay_s)
        if self.refusing:
            return 503, {}
        if path == "/-/rows-tx":
            return self._commit(json.loads(body))
        if path == "/-/rows-get":
            return self._read(query)
        if path == "/-/rows-feed":
            return await self._watch(query)
        return 404, {"method": method, "headers": len(headers)}

    def _commit(self, body: dict[str, Any]) -> HttpAnswer:

        def decode_name(row: dict[str, Any]) -> ports.RowName:
            return f"{row['table']}|{row['part']}", row["key"]

        result = self.tables.commit(
            {
                decode_name(row): row["schemaVersion"]
                for row in body["precondition"]
            }, {
                decode_name(row): base64.b64decode(row["value"])
                for row in body["puts"]
            }, [decode_name(row) for row in body["remove"]])
        if isinstance(result, ports.Conflict):
            return 412, {
                "rows": [
                    self._encode_row(table, row)
                    for (table, _), row in result.rows.items()
                ]
            }
        if isinstance(result, ports.StoreFailed):
            return 400, {"error": result.reason}
        return 200, {
            "schemaVersion": result.version,
            "nowMs": self.tables.now_ms
        }

    def _encode_row(self, table: str, row: ports.Row) -> dict[str, Any]:
        name, _, part = table.partition("|")
        encoded: dict[str, Any] = {
            "table": name,
            "part": part,
            "key": row.key,
            "schemaVersion": row.version
        }
        if row.value is None:
            encoded["deleted"] = True
        else:
            encoded["value"] = base64.b64encode(row.value).decode()
        return encoded

    def _answer_rows(self, rows: list[dict[str, Any]]) -> HttpAnswer:
        return 200, {
            "rows": rows,
            "hasMore": False,
            "schemaVersion": self.tables.version,
            "nowMs": self.tables.now_ms
        }

    def _read(self, query: dict[str, str]) -> HttpAnswer:
        table = f"{query['table']}|{query.get('part', '')}"
        begin, end = query.get("from", ""), query.get("target", "\U0010ffff")
        return self._answer_rows([
            self._encode_row(table, row)
            for key, row in sorted(self.tables.rows.get(table, {}).items())
            if begin <= key < end
        ])

    async def _watch(self, query: dict[str, str]) -> HttpAnswer:
        """Waits for changes of all parts of a table."""
        name, after = query["table"], int(query["after"])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(query["waitMs"]) / 1000.0
        read_version = after
        while True:
            if after < self.tables.oldest_version:
                return 410, {}
            rows = [
                self._encode_row(table, row)
                for table, row in self.tables.list_all_changes(read_version)
                if table.partition("|")[0] == name
            ]
            if rows or loop.time() >= deadline_s:
                return self._answer_rows(rows)
            read_version = self.tables.version
            event = self._changes_by_name.setdefault(name, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                        min(HISTORY_CHECK_INTERVAL_S,
                            deadline_s - loop.time())):
                    await event.wait()

    def _wake_watches(self) -> bool:
        """Wakes the watches of all tables that the last transaction changed."""
        for table, row in reversed(self.tables.changes):
            if row.version < self.tables.version:
                break
            event = self._changes_by_name.pop(table.partition("|")[0], None)
            if event:
                event.set()
        return False

    # Workers.

    def _build_worker_handler(
            self, worker_state: worker_module.WorkerState) -> Handler:

        async def handle(_: str, target: str, __: dict[str, str],
                         body: bytes) -> HttpAnswer:
            if not worker_state.alive:
                raise OSError("down")
            call = json.loads(body)
            epoch = int(call["fencingToken"])
            if target == "/-/run-start":
                return _encode_answer(_start_run(worker_state, call))
            if target == "/-/run-stop":
                return _encode_answer(
                    worker_state.stop(call["task"], call["run"], epoch))
            return await self._renew(worker_state, call, epoch)

        return handle

    async def _renew(self, worker_state: worker_module.WorkerState,
                     call: dict[str, Any], epoch: int) -> HttpAnswer:
        """Renews a lease and reports when a run ends or the wait is over."""
        boot_ms = worker_state.boot_ms
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + call.get("waitMs", 0) / 1000.0
        initial = worker_state.renew(epoch, call["seenSeq"],
                                     call.get("deadlineMs"))
        while (isinstance(initial, ports.Report) and
               not worker_state.unacknowledged_ends and
               loop.time() < deadline_s):
            ended = asyncio.Event()
            worker_state.call_at_next_end(ended.set)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    await ended.wait()
            if not worker_state.alive or worker_state.boot_ms != boot_ms:
                raise OSError("down")
        report = worker_state.renew(epoch, 0, None)
        if isinstance(report, ports.CommandReply):
            return _encode_answer(report)
        return 200, {
            "clockMs":
                report.clock_ms,
            "born":
                report.boot_ms,
            "running": [[task.name, task.run, task.checkpoint, task.percent]
                        for task in report.running],
            "finished": [[
                end.number, end.name, end.run, end.end_state.value,
                end.checkpoint
            ] for end in report.ended]
        }


def _start_run(worker_state: worker_module.WorkerState,
               call: dict[str, Any]) -> ports.CommandReply:
    job_id, occurrence, step, task = call["task"].split(".")
    command = ports.StartCommand(key=progress.TaskKey(job_id, int(occurrence),
                                                      int(step), int(task)),
                                 run=call["run"],
                                 payload=call["spec"],
                                 lease_until_ms=call["deadlineMs"],
                                 epoch=call["fencingToken"],
                                 checkpoint=call.get("checkpoint", ""))
    return worker_state.start(command, call["task"])


# Reason in the protocol for each verdict that refuses a command.
_REFUSAL_REASONS = {
    ports.Verdict.FENCED: "fence",
    ports.Verdict.SUPERSEDED: "old",
    ports.Verdict.LATE: "late",
    ports.Verdict.NO_ROOM: "room"
}


def _encode_answer(answer: ports.CommandReply) -> HttpAnswer:
    body: dict[str, Any] = {"clockMs": answer.clock_ms}
    if answer.verdict is ports.Verdict.DONE:
        return 200, body
    return 409, body | {"reason": _REFUSAL_REASONS[answer.verdict]}
