"""The platform's store and workers over HTTP on loopback, in one process.

It speaks the users' published protocol, over the same tables and worker
machines as the virtual site.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from urllib import parse

from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload
from trefoilroad_standins import clock
from trefoilroad_standins.jobs import tables as row_tables
from trefoilroad_standins.jobs import workers as machines

STEP_S = 0.01
HEARTBEAT_S = 0.5
WORKER_CAPACITY = workload.Demand(64_000, 256_000, 8)

Answer = tuple[int, dict[str, Any]]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]


async def serve(handler: Handler) -> asyncio.Server:
    """Serves HTTP on a port that the kernel chooses."""

    async def talk(reader: asyncio.StreamReader,
                   writer: asyncio.StreamWriter) -> None:
        try:
            while await _serve_one(reader, writer, handler):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass  # The peer is gone, which is what the soak does to it.
        finally:
            writer.close()

    return await asyncio.start_server(talk, "127.0.0.1", 0)


async def _serve_one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                     handler: Handler) -> bool:
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
    """Store and workers.

    Attributes:
        tables: The rows; the table name includes the part.
        machines: Workers by id.
        history: What happened on the workers.
        run_s: Run time of the tasks of a job, by job.
        ports: Port of each worker.
        proxied: Port under which each worker registers itself.
        slow_s: Added to each answer of the store.
        busy: Whether the store refuses all calls.
    """

    def __init__(self, *, worker_count: int):
        self.clock = clock.Clock()
        self.tables = row_tables.Tables(ticking=self.clock)
        self.machines: dict[str, machines.WorkerMachine] = {}
        self.history: list[machines.Event] = []
        self.run_s: dict[str, float] = {}
        self.ports: dict[str, int] = {}
        self.proxied: dict[str, int] = {}
        self.slow_s = 0.0
        self.busy = False
        self.store_port = 0
        self._servers: list[asyncio.Server] = []
        self._names = [f"w{number:02}" for number in range(worker_count)]

    async def begin(self) -> None:
        """Binds all ports and lets time pass."""
        self.begun_s = asyncio.get_running_loop().time()
        server = await serve(self._serve_store)
        self._servers.append(server)
        self.store_port = get_port(server)
        for number, name in enumerate(self._names):
            machine = machines.WorkerMachine(worker_id=name,
                                             rack=f"r{number // 3}",
                                             ticking=self.clock,
                                             capacity=WORKER_CAPACITY,
                                             history=self.history,
                                             behave=self._behave)
            self.machines[name] = machine
            server = await serve(self._build_worker(machine))
            self._servers.append(server)
            self.ports[name] = get_port(server)
            self.proxied[name] = self.ports[name]
        self._task = asyncio.create_task(self._tick())

    async def end(self) -> None:
        """Closes all ports."""
        self._task.cancel()
        for server in self._servers:
            server.close()

    async def _tick(self) -> None:
        beat_s = 0.0
        while True:
            now_s = asyncio.get_running_loop().time() - self.begun_s
            self.clock.run(now_s - self.clock.now_s)
            if now_s >= beat_s:
                beat_s = now_s + HEARTBEAT_S
                self._beat()
            await asyncio.sleep(STEP_S)

    def _behave(self, name: str) -> machines.Behaviour:
        job_id = name.partition(".")[0]
        return machines.Behaviour(workload.Demand(4000, 4000, 1),
                                  self.run_s.get(job_id, 1.0))

    # Store.

    def publish(self, config: dict[str, Any]) -> None:
        """Writes a configuration as the operator does."""
        self.tables.put("op|", "config", json.dumps(config).encode())

    def _beat(self) -> None:
        for name, machine in self.machines.items():
            listed = self.tables.rows.get("servers|", {}).get(name)
            if not machine.alive or not machine.reachable:
                if listed:
                    self.tables.put("servers|", name, None)
                continue
            entry = json.dumps({
                "service": "service",
                "address": f"127.0.0.1:{self.proxied[name]}",
                "zone": "zone",
                "version": "v1",
                "slots": 8,
                "state": "draining" if machine.draining else "ready",
                "remainingMs": 2000,
                "coldRemainingMs": 0,
                "capacity": {
                    "cpu": 64000,
                    "memMb": 256000,
                    "gpu": 8
                },
                "labels": ["a", machine.rack],
                "born": machine.boot_ms
            }).encode()
            if listed is None or listed.value != entry:
                self.tables.put("servers|", name, entry)

    async def _serve_store(self, method: str, target: str,
                           headers: dict[str, str], body: bytes) -> Answer:
        path, _sep, text = target.partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.busy:
            return 503, {}
        if path == "/-/rows-tx":
            return self._commit(json.loads(body))
        if path == "/-/rows-get":
            return self._read(query)
        if path == "/-/rows-feed":
            return await self._watch(query)
        return 404, {"method": method, "headers": len(headers)}

    def _commit(self, body: dict[str, Any]) -> Answer:

        def name(row: dict[str, Any]) -> ports.RowName:
            return f"{row['table']}|{row['part']}", row["key"]

        result = self.tables.commit(
            {name(row): row["schemaVersion"] for row in body["precondition"]},
            {name(row): base64.b64decode(row["value"]) for row in body["puts"]},
            [name(row) for row in body["remove"]])
        if isinstance(result, ports.Conflict):
            return 412, {
                "rows": [
                    self._encode(table, row)
                    for (table, _), row in result.rows.items()
                ]
            }
        return 200, {
            "schemaVersion": result.version,
            "nowMs": self.tables.now_ms
        }

    def _encode(self, table: str, row: ports.Row) -> dict[str, Any]:
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

    def _answer_rows(self, rows: list[dict[str, Any]]) -> Answer:
        return 200, {
            "rows": rows,
            "hasMore": False,
            "schemaVersion": self.tables.version,
            "nowMs": self.tables.now_ms
        }

    def _read(self, query: dict[str, str]) -> Answer:
        table = f"{query['table']}|{query.get('part', '')}"
        begin, end = query.get("from", ""), query.get("target", "\U0010ffff")
        return self._answer_rows([
            self._encode(table, row)
            for key, row in sorted(self.tables.rows.get(table, {}).items())
            if begin <= key < end
        ])

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        end_s = (asyncio.get_running_loop().time() +
                 int(query["waitMs"]) / 1000.0)
        while True:
            if after < self.tables.oldest:
                return 410, {}
            rows = [
                self._encode(table, row)
                for table, row in self.tables.changes
                if table.partition("|")[0] == query["table"] and
                row.version > after
            ]
            if rows or asyncio.get_running_loop().time() >= end_s:
                return self._answer_rows(rows)
            await asyncio.sleep(STEP_S)

    # Workers.

    def _build_worker(self, machine: machines.WorkerMachine) -> Handler:

        async def handle(_: str, target: str, __: dict[str, str],
                         body: bytes) -> Answer:
            if not machine.alive:
                raise OSError("down")
            call = json.loads(body)
            epoch = int(call["fencingToken"])
            if target == "/-/run-start":
                return _encode_answer(_start(machine, call))
            if target == "/-/run-stop":
                return _encode_answer(
                    machine.stop(call["task"], call["run"], epoch))
            return await self._hold(machine, call, epoch)

        return handle

    async def _hold(self, machine: machines.WorkerMachine, call: dict[str, Any],
                    epoch: int) -> Answer:
        boot_ms = machine.boot_ms
        loop = asyncio.get_running_loop()
        end_s = loop.time() + call.get("waitMs", 0) / 1000.0
        first = machine.report(epoch, call["seenSeq"], call.get("deadlineMs"))
        while (isinstance(first, ports.Report) and not machine.ended and
               loop.time() < end_s):
            await asyncio.sleep(STEP_S)
            if not machine.alive or machine.boot_ms != boot_ms:
                raise OSError("down")
        report = machine.report(epoch, 0, None)
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


def _start(machine: machines.WorkerMachine,
           call: dict[str, Any]) -> ports.CommandReply:
    job_id, occurrence, step, task = call["task"].split(".")
    command = ports.StartCommand(key=progress.TaskKey(job_id, int(occurrence),
                                                      int(step), int(task)),
                                 run=call["run"],
                                 payload=call["spec"],
                                 lease_until_ms=call["deadlineMs"],
                                 epoch=call["fencingToken"],
                                 checkpoint=call.get("checkpoint", ""))
    return machine.start(command, call["task"])


_REASONS = {
    ports.Verdict.FENCED: "fence",
    ports.Verdict.SUPERSEDED: "old",
    ports.Verdict.LATE: "late",
    ports.Verdict.NO_ROOM: "room"
}


def _encode_answer(answer: ports.CommandReply) -> Answer:
    body: dict[str, Any] = {"clockMs": answer.clock_ms}
    if answer.verdict is ports.Verdict.DONE:
        return 200, body
    return 409, body | {"reason": _REASONS[answer.verdict]}
