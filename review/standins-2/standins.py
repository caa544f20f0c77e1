"""Stand-ins of the platform for the scripts of the second review.

Serves the platform's store and its workers over HTTP on loopback, as
PROTOCOL.md describes them, starts node processes with the command of the deploy
file, and makes the calls of clients. Uses the standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "jobs.example"
HEARTBEAT_MS = 1500
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "graceS": 6, "revokeMs": 5000,
    "holdMaxMs": 10000, "stopTimeoutMs": 200, "cancel_ms": 3000,
    "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "checkpointIntervalS": 2, "restoreMs": 250, "reclaimMs": 2700,
}
ROW_BYTES = 65536
TRANSACTION_S = 0.004
MAX_ENTRIES = 100
MAX_BODY_BYTES = 1 << 20


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_s

    def write(self, who, what, **fields):
        text = " ".join(f"{name}={json.dumps(value)}"
                        for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {who}: {what} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


async def serve(address, handler):
    """Serves HTTP/1.1 with keep-alive; a handler returns (status, body).

    A handler that returns None breaks the connection without an answer.
    """
    writers = set()

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while line := await reader.readline():
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while (line := await reader.readline()).strip():
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                answer = await handler(method, target, headers, body)
                if answer is None:
                    break
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\n"
                             "Content-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() +
                             data)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.transport.abort()

    host, _, port = address.partition(":")
    server = await asyncio.start_server(connected, host, int(port or 0))
    server.review_writers = writers
    return server


def get_address(server):
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


class Store:
    """The platform's metadata store, in the form of tables."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}  # (table, part) -> key -> (value, version)
        self.changes = []  # (version, table, part, key, value or None)
        # Called with a decoded transaction; true if its answer is to be lost.
        self.loses_answer = lambda transaction: False
        # Seconds after which a decoded transaction is performed, without an
        # answer, if its conditions still hold; 0 for at once.
        self.delays_write = lambda transaction: 0.0
        self._clock_base_ms = 0.0
        self._locks = {}
        self._delayed = set()
        self._changed = asyncio.Event()

    async def start(self):
        self._server = await serve("127.0.0.1:0", self._handle)
        self.address = get_address(self._server)

    def close(self):
        self._server.close()
        for writer in list(self._server.review_writers):
            writer.transport.abort()

    @property
    def now_ms(self):
        return time.monotonic() * 1000.0 + self._clock_base_ms

    def restore(self, rows, now_ms):
        """Restores rows that the system left, and the store's clock."""
        self._clock_base_ms = now_ms - time.monotonic() * 1000.0
        for table, part, key, value in rows:
            self.put(table, part, key, base64.b64decode(value))

    def put(self, table, part, key, value):
        """Writes a row, or removes it if the value is None."""
        self.apply([(table, part, key, value)])

    def apply(self, entries):
        self.version += 1
        for table, part, key, value in entries:
            rows = self.rows.setdefault((table, part), {})
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = (value, self.version)
            self.changes.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def get(self, table, part, key):
        return self.rows.get((table, part), {}).get(key)

    async def _handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path == "/-/rows-tx":
            return await self._commit(body)
        if path == "/-/rows-get":
            return self._read(query)
        if path == "/-/rows-feed":
            return await self._feed(query)
        if path == "/-/rows-parts":
            return 200, self._stamp({
                "parts": sorted({part for table, part in self.rows
                                 if table == query["table"]}),
                "hasMore": False})
        return 404, {}

    def _stamp(self, document):
        return document | {"schemaVersion": self.version, "nowMs": self.now_ms}

    def _encode(self, table, part, key, value, version):
        row = {"table": table, "part": part, "key": key,
               "schemaVersion": version}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": base64.b64encode(value).decode()}

    async def _commit(self, body):
        if len(body) > MAX_BODY_BYTES:
            return 400, {"error": "the call is larger than 1 MB"}
        document = json.loads(body)
        conditions = document.get("precondition", [])
        puts = [(row["table"], row["part"], row["key"],
                 base64.b64decode(row["value"], validate=True))
                for row in document.get("puts", [])]
        removals = [(row["table"], row["part"], row["key"], None)
                    for row in document.get("remove", [])]
        entries = puts + removals
        if len(conditions) + len(entries) > MAX_ENTRIES:
            return 400, {"error": "more than 100 entries"}
        for table, part, key, value in entries:
            if table in ("op", "servers"):
                return 403, {"error": "not a table of the system"}
            if max(len(table.encode()), len(part.encode()),
                   len(key.encode())) > 200:
                return 400, {"error": "a name is longer than 200 bytes"}
            if value is not None and len(value) > ROW_BYTES:
                self.record.write("store", "refuses a row beyond rowBytes",
                                  table=table, key=key, bytes=len(value),
                                  rowBytes=ROW_BYTES)
                return 400, {"error": f"value of {table}/{key} has "
                                      f"{len(value)} bytes, more than "
                                      f"{ROW_BYTES}"}
        delay_s = self.delays_write(entries)
        if delay_s:
            self.record.write("store", "gets a write, performs it later",
                              rows=[f"{row[0]}/{row[2]}" for row in entries],
                              delay_s=delay_s)

            async def perform():
                await asyncio.sleep(delay_s)
                status, _ = await self._perform(conditions, entries)
                self.record.write("store", "performed a delayed write",
                                  rows=[f"{row[0]}/{row[2]}"
                                        for row in entries], status=status)

            self._delayed.add(asyncio.create_task(perform()))
            await asyncio.Event().wait()
        answer = await self._perform(conditions, entries)
        if answer[0] == 200 and self.loses_answer(entries):
            # The connection stays open and delivers nothing further.
            await asyncio.Event().wait()
        return answer

    async def _perform(self, conditions, entries):
        parts = {row[1] for row in entries} | {row["part"]
                                               for row in conditions}
        async with contextlib.AsyncExitStack() as stack:
            for part in sorted(parts):
                await stack.enter_async_context(
                    self._locks.setdefault(part, asyncio.Lock()))
            await asyncio.sleep(TRANSACTION_S * (2 if len(parts) > 1 else 1))
            current = []
            failed = False
            for row in conditions:
                name = row["table"], row["part"], row["key"]
                value, version = self.get(*name) or (None, 0)
                failed = failed or version != row["schemaVersion"]
                current.append(self._encode(*name, value, version))
            if failed:
                return 412, self._stamp({"rows": current})
            self.apply(entries)
        return 200, self._stamp({})

    def _read(self, query):
        table, part = query["table"], query.get("part", "")
        begin, end = query.get("from", ""), query.get("target")
        limit = min(500, int(query.get("limit", "500")))
        keys = [key for key in sorted(self.rows.get((table, part), {}),
                                      key=str.encode)
                if key >= begin and (end is None or key < end)]
        rows, size = [], 0
        for key in keys[:limit]:
            value, version = self.get(table, part, key)
            size += len(value)
            if rows and size > MAX_BODY_BYTES:
                break
            rows.append(self._encode(table, part, key, value, version))
        return 200, self._stamp({"rows": rows,
                                 "hasMore": len(rows) < len(keys)})

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + min(30000, int(query["waitMs"])) / 1000.0
        while True:
            rows = [self._encode(name, part, key, value, version)
                    for version, name, part, key, value in self.changes
                    if version > after and name == table]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._stamp({"rows": rows, "hasMore": False})
            event = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await event.wait()


class Run:
    """A run on a worker."""

    def __init__(self, number, spec, work_s, checkpoint):
        self.number = number
        self.spec = spec
        self.work_s = work_s
        self.checkpoint = checkpoint
        self.began_s = time.monotonic()
        self.stopping_s = None
        self.saves = 0

    def save(self):
        """Produces a checkpoint for each interval of work, if it saves."""
        count = int((time.monotonic() - self.began_s) /
                    BOUNDS["checkpointIntervalS"])
        if "saves" in self.spec and count > self.saves:
            self.saves = count
            self.checkpoint = secrets.token_hex(8)

    @property
    def percent(self):
        if "lasting" in self.spec:
            return 100
        done_s = time.monotonic() - self.began_s
        return min(99, int(100 * done_s / max(0.01, self.work_s)))


class Worker:
    """A worker that guards its capacity.

    The text of a job's spec tells the stand-in how its work items behave, as
    JSON: cpu, memMb and gpu of one item, workS, lasting, failAfterS.
    """

    def __init__(self, store, record, name, kind, rack, capacity, service):
        self.store, self.record, self.name = store, record, name
        self.kind, self.rack, self.capacity = kind, rack, capacity
        self.service = service
        self.alive = False
        # Whether work items fail as their spec says.
        self.lets_fail = True
        self.address = "127.0.0.1:0"
        self.on_start = lambda worker, task, number, spec: None

    async def start(self):
        """Starts a life of the worker, which knows nothing of before."""
        self.born = int(time.time() * 1000)
        self._booted_s = time.monotonic()
        self.fence = 0
        self.lease_ms = 0.0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.count = 0
        self.sequence = 0
        self._ended = asyncio.Event()
        self.alive = True
        self._server = await serve(self.address, self._handle)
        self.address = get_address(self._server)
        self._task = asyncio.create_task(self._live())
        self.record.write(self.name, "worker started", born=self.born,
                          kind=self.kind)

    def crash(self):
        """Ends the process at once; everything that runs there is lost."""
        self.alive = False
        self._task.cancel()
        self._server.close()
        for writer in list(self._server.review_writers):
            writer.transport.abort()
        self.record.write(self.name, "worker crashed",
                          running=sorted(self.runs))
        self.runs = {}
        self._ended.set()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._booted_s) * 1000.0)

    def register(self):
        self.sequence += 1
        self.store.put("servers", "", self.name, json.dumps({
            "service": self.service, "address": self.address, "zone": "zone-a",
            "version": "v1", "slots": 8, "state": "ready",
            "sequence": self.sequence, "capacity": self.capacity,
            "labels": [self.kind, self.rack], "born": self.born}).encode())

    async def _live(self):
        due_s = 0.0
        while True:
            if time.monotonic() >= due_s:
                due_s = time.monotonic() + HEARTBEAT_MS / 1000.0
                self.register()
            self._advance()
            await asyncio.sleep(0.02)

    def _advance(self):
        now_s = time.monotonic()
        lapsed = self.clock_ms > self.lease_ms
        for task, run in list(self.runs.items()):
            run.save()
            fail_s = run.spec.get("failAfterS") if self.lets_fail else None
            if lapsed:
                self._end(task, "lapsed")
            elif run.stopping_s is not None:
                if now_s >= run.stopping_s:
                    self._end(task, "stopped")
            elif fail_s is not None and now_s - run.began_s >= fail_s:
                self._end(task, "failed")
            elif ("lasting" not in run.spec and
                  now_s - run.began_s >= run.work_s):
                self._end(task, "done")

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.count += 1
        if how == "stopped" and "saves" in run.spec:
            run.checkpoint = secrets.token_hex(8)
        self.ends.append([self.count, task, run.number, how, run.checkpoint])
        self.record.write(self.name, "run ended", task=task, run=run.number,
                          how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _free(self):
        free = dict(self.capacity)
        for run in self.runs.values():
            for name in free:
                free[name] -= run.spec.get(name, 0)
        return free

    async def _handle(self, method, target, headers, body):
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.name:
            return 421, {"clockMs": self.clock_ms}
        call = json.loads(body) if body else {}
        fence = call.get("fencingToken", 0)
        if target == "/-/run-start":
            return self._start(call, fence)
        if target == "/-/run-stop":
            return self._stop(call, fence)
        if target == "/-/hold":
            return await self._hold(call, fence)
        return 404, {}

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock_ms, "reason": reason}

    def _accept_fence(self, fence):
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms + BOUNDS["holdMaxMs"])
        self.lease_ms = max(self.lease_ms, until_ms)

    def _start(self, call, fence):
        task, number = call["task"], call["run"]
        if not self._accept_fence(fence):
            return self._refuse("fence")
        if task in self.runs and self.runs[task].number == number:
            return 200, {"clockMs": self.clock_ms}
        if number <= self.highest.get(task, 0):
            self._extend(call["deadlineMs"])
            return self._refuse("old")
        if call["deadlineMs"] <= self.clock_ms:
            return self._refuse("late")
        spec = json.loads(call["spec"])
        self._extend(call["deadlineMs"])
        free = self._free()
        if any(spec.get(name, 0) > free[name] for name in free):
            return self._refuse("room")
        self.runs[task] = Run(number, spec, spec.get("workS", 1.0),
                              call.get("checkpoint", ""))
        self.highest[task] = number
        self.record.write(self.name, "run started", task=task, run=number,
                          kind=self.kind, fence=fence)
        self.on_start(self, task, number, spec)
        return 200, {"clockMs": self.clock_ms}

    def _stop(self, call, fence):
        if not self._accept_fence(fence):
            return self._refuse("fence")
        task, number = call["task"], call["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopping_s is None:
            run.stopping_s = (time.monotonic() +
                              0.5 * BOUNDS["stopTimeoutMs"] / 1000.0)
        return 200, {"clockMs": self.clock_ms}

    async def _hold(self, call, fence):
        if not self._accept_fence(fence):
            return self._refuse("fence")
        if "deadlineMs" in call:
            self._extend(call["deadlineMs"])
        seen = call.get("seenSeq", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.record.write(self.name, "end taken note of", task=end[1],
                                  run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > seen]
        until_s = time.monotonic() + min(2000, call.get("waitMs", 0)) / 1000.0
        while not self.ends and time.monotonic() < until_s:
            event = self._ended
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until_s - time.monotonic()):
                    await event.wait()
            if not self.alive:
                return None
        return 200, {
            "clockMs": self.clock_ms, "born": self.born,
            "running": [[task, run.number, run.checkpoint, run.percent, 0]
                        for task, run in self.runs.items()],
            "finished": self.ends[:500]}


class Node:
    """A node process, started with the command of the deploy file."""

    def __init__(self, name, folder, store_address, record):
        self.name, self.record = name, record
        self.process = None
        self._folder = folder
        # The deploy file fixes the port of the metrics, so each node has a
        # loopback address of its own.
        self.ip = find_free_ip()
        self.frontend = f"{self.ip}:8521"
        fields = {
            "nodeName": name, "ip": self.ip,
            "listenAddrs": {"frontend": self.frontend,
                            "readiness": f"{self.ip}:8523"},
            "internalPorts": [7000, 7015],
            "platform": {"address": store_address},
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "bounds": BOUNDS,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = role["run"].split()
        template = (ROOT / role["template"]).read_text()
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(fill_in(template, fields))

    async def start(self):
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment |= {"TREFOILROAD_BOOT": str(self._settings),
                        "PYTHONPATH": str(ROOT / "target/deps"),
                        "PYTHONDONTWRITEBYTECODE": "1"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log,
                stderr=log)
        self.record.write(self.name, "node started", ip=self.ip)

    async def end(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
            await self.process.wait()


def find_free_ip():
    """Returns a loopback address on which the ports of a node are free."""
    for _ in range(100):
        ip = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}." \
             f"{random.randint(1, 250)}"
        try:
            for port in (7000, 8521, 8523, 9464):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return ip
    raise OSError("no loopback address is free")


def fill_in(template, fields):
    """Fills in the placeholders of the settings template."""

    def replace(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part) if isinstance(value, list) else part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


async def call(address, method, path, key, body=None, timeout_s=3.0):
    """Makes one HTTP call; returns the status, 0 without an answer."""

    async def exchange():
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                         f"Authorization: Bearer {key}\r\n"
                         "Content-Type: application/json\r\n"
                         f"Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()).strip():
                name, _, value = line.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return status, json.loads(await reader.readexactly(length))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, ValueError, IndexError, TimeoutError,
            asyncio.IncompleteReadError):
        return 0, {}


class Deployment:
    """A store, workers and three nodes, and the calls of clients."""

    def __init__(self, record_path, *, workers, routes, tenants, nodes=3,
                 service="snaglist"):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = Store(self.record)
        self.workers = [Worker(self.store, self.record,
                               f"{service}-zone-a-{number:02}",
                               kind, rack, capacity, service)
                        for number, (kind, rack, capacity)
                        in enumerate(workers)]
        self.nodes = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._node_count = nodes
        self._config = {
            "version": 7, "routes": routes,
            "services": [{"name": service, "enforcesCapacity": True}],
            "tenants": tenants, "limits": {"maxBodyBytes": 262144}}

    async def start(self):
        """Starts all; returns once each node answers and knows the workers."""
        await self.store.start()
        self.store.put("op", "", "config", json.dumps(self._config).encode())
        for worker in self.workers:
            await worker.start()
        for number in range(self._node_count):
            node = Node(f"node-{number}", self.folder, self.store.address,
                        self.record)
            await node.start()
            self.nodes.append(node)
        await self.wait_until_ready()

    async def wait_until_ready(self):
        path = self._config["routes"][0]["prefix"]
        key = self._config["tenants"][0]["apiKeys"][0]
        for _ in range(200):
            answers = [(await call(node.frontend, "GET", path, key))[0]
                       for node in self.nodes]
            if answers == [200] * len(answers) and all(
                    worker.fence for worker in self.workers if worker.alive):
                self.record.write("script", "deployment is ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"not ready after 20 s: {answers}")

    async def submit(self, prefix, key, steps, spec, job=None, **fields):
        """Hands a job in as a client does; returns its id and the answer."""
        job = job or secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps} | fields
        status = 0
        for attempt in range(5):
            node = self.nodes[attempt % len(self.nodes)]
            status, _ = await call(node.frontend, "POST", prefix + job, key,
                                   body)
            self.record.write("client", "submitted", job=job, steps=steps,
                              node=node.name, status=status)
            if 200 <= status < 300 or status in (400, 401, 404, 413):
                break
            await asyncio.sleep(0.3)
        return job, status

    async def show(self, prefix, key, job):
        """Asks for the state of a job; returns it, or the status as text."""
        for node in self.nodes:
            status, document = await call(node.frontend, "GET", prefix + job,
                                          key)
            if status:
                break
        state = document.get("state", str(status))
        self.record.write("client", "asked", job=job, node=node.name,
                          status=status, state=state)
        return state

    def find_runs(self, job):
        """Returns (worker, task) of all that runs for a job now."""
        return [(worker, task) for worker in self.workers
                for task in worker.runs if task.startswith(job + ".")]

    async def close(self):
        for node in self.nodes:
            await node.end()
        for worker in self.workers:
            if worker.alive:
                worker.crash()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(build, play):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (did not run).

    Args:
        build: Builds the deployment.
        play: Plays the case; returns a line for each break of the rule.
    """

    async def main():
        deployment = build()
        try:
            await deployment.start()
            breaks = await play(deployment)
        finally:
            await deployment.close()
        for line in breaks:
            deployment.record.write("check", line)
            print(line)
        if not breaks:
            deployment.record.write("check", "the rule held")
            print("the rule held")
        return 1 if breaks else 0

    try:
        code = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
