"""Stand-ins for the cases: the platform's store, workers, clients and nodes.

Written after PROTOCOL.md and DEPLOY.md, with the standard library only. The
nodes are the project's own program, started with the command of the deploy
file and the settings that its template gives. All addresses are on loopback.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TICK_S = 0.01
HEARTBEAT_S = 1.5
MAX_FEED_ROWS = 500
MAX_TX_BYTES = 1 << 20
MAX_TX_ENTRIES = 100
MAX_ENDS = 500


class Record:
    """What was sent, answered and run, by time since the start."""

    def __init__(self, path):
        self.lines = []
        self.path = path
        self.started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.started_s

    def add(self, text):
        text = text.replace(str(ROOT), "ROOT")
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def write(self):
        pathlib.Path(self.path).write_text("\n".join(self.lines) + "\n")


# HTTP.


async def read_message(reader):
    """Reads the first line, the headers and the body of a message."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (header := await reader.readline()).strip():
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").split(), headers, body


async def serve(host, handler):
    """Serves HTTP; `handler` gives (status, document) or None for silence."""

    async def handle(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, _), headers, body = message
                answer = await handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
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
            writer.close()

    server = await asyncio.start_server(handle, host, 0)
    return server, server.sockets[0].getsockname()[1]


# Store.


class Store:
    """Rows with versions, transactions and a feed, on one loopback address."""

    def __init__(self, record, row_bytes=65536):
        self.record = record
        self.row_bytes = row_bytes
        self.rows = {}  # (table, part, key): (value, version)
        self.version = 0
        self.changes = []  # (version, table, part, key, value)
        self.changed = asyncio.Event()
        self.refused_rows = 0
        # Writes of one row that get no answer and are done late.
        self._lost_row = None
        self._lost_until_s = 0.0
        self._late_s = 0.0
        self.writes = 0
        self.lost_writes = 0

    async def start(self, host):
        self.server, port = await serve(host, self._handle)
        self.address = f"{host}:{port}"

    def lose_writes_of(self, row, for_s, late_s):
        """Loses the answers to writes of a row; the writes are done late."""
        self._lost_row = row
        self._lost_until_s = time.monotonic() + for_s
        self._late_s = late_s

    def now_ms(self):
        return round(self.record.now_s() * 1000) + 100_000

    def write(self, puts, removals=()):
        """Applies a transaction."""
        self.version += 1
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.changes.append((self.version, *name, value))
        for name in removals:
            if self.rows.pop(name, None) is not None:
                self.changes.append((self.version, *name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_document(self, table, key, document):
        """Writes a row of the operator or of a worker."""
        self.write([((table, "", key), json.dumps(document).encode())])

    async def _handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path == "/-/rows-tx":
            await asyncio.sleep(0.004)
            call = json.loads(body)
            if time.monotonic() < self._lost_until_s:
                self.writes += 1
                if any((row["table"], row["key"]) == self._lost_row
                       for row in call.get("puts", [])):
                    self.lost_writes += 1
                    asyncio.get_running_loop().call_later(
                        self._late_s, self._commit_late, call, len(body))
                    return None
            return self._commit(call, len(body))
        if path == "/-/rows-get":
            await asyncio.sleep(0.004)
            return self._get(query)
        if path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _commit_late(self, call, size):
        status, _ = self._commit(call, size)
        self.record.add(f"store: late write of {self._lost_row} -> {status}")

    def _commit(self, call, size):

        def name(row):
            return row["table"], row["part"], row["key"]

        entries = [
            row for field in ("precondition", "puts", "remove")
            for row in call.get(field, [])
        ]
        if len(entries) > MAX_TX_ENTRIES or size > MAX_TX_BYTES:
            return 400, {"error": "the call is too large"}
        conditions = {
            name(row): row["schemaVersion"]
            for row in call.get("precondition", [])
        }
        if any(
                self.rows.get(row, (b"", 0))[1] != version
                for row, version in conditions.items()):
            return 412, {
                "rows": [self._encode(row, *self.rows[row])
                         for row in conditions if row in self.rows],
                "schemaVersion": self.version,
                "nowMs": self.now_ms()
            }
        puts = [(name(row), base64.b64decode(row["value"]))
                for row in call.get("puts", [])]
        removals = [name(row) for row in call.get("remove", [])]
        for row in [row for row, _ in puts] + removals:
            if row[0] in ("op", "servers"):
                return 403, {}
        for row, value in puts:
            if len(value) > self.row_bytes:
                self.refused_rows += 1
                if self.refused_rows in (1, 10, 100, 1000):
                    self.record.add(
                        f"store refuses a transaction: value of {row} has "
                        f"{len(value)} bytes, rowBytes is {self.row_bytes} "
                        f"(refusal {self.refused_rows})")
                return 400, {"error": "the value is too long"}
        self.write(puts, removals)
        return 200, {"schemaVersion": self.version, "nowMs": self.now_ms()}

    def _encode(self, name, value, version):
        row = dict(zip(("table", "part", "key"), name))
        row["schemaVersion"] = version
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _get(self, query):
        limit = min(500, int(query.get("limit", "500")))
        first = query.get("from", "").encode()
        end = query["target"].encode() if "target" in query else None
        names = sorted(
            (name for name in self.rows
             if name[0] == query["table"] and name[1] == query.get("part", "")
             and name[2].encode() >= first and
             (end is None or name[2].encode() < end)),
            key=lambda name: name[2].encode())
        return 200, {
            "rows": [self._encode(name, *self.rows[name])
                     for name in names[:limit]],
            "hasMore": len(names) > limit,
            "schemaVersion": self.version,
            "nowMs": self.now_ms()
        }

    async def _feed(self, query):
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            changes = []
            for change in reversed(self.changes):
                if change[0] <= after:
                    break
                if change[1] == query["table"]:
                    changes.append(change)
            changes = changes[::-1][:MAX_FEED_ROWS]
            left_s = deadline_s - time.monotonic()
            if changes or left_s <= 0:
                version = self.version
                if len(changes) == MAX_FEED_ROWS:
                    version = changes[-1][0]
                return 200, {
                    "rows": [self._encode(change[1:4], change[4], change[0])
                             for change in changes],
                    "schemaVersion": version,
                    "nowMs": self.now_ms()
                }
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


# Workers.


class Run:

    def __init__(self, *, run, demand, started_s, work_s, size, checkpoint):
        self.run = run
        self.demand = demand
        self.started_s = started_s
        self.begun_s = started_s if size == 1 else None
        self.work_s = work_s
        self.size = size
        self.saved = checkpoint
        self.stop_s = None


class Jobs:
    """What the clients sent, by the id of the job."""

    def __init__(self):
        self.steps = {}
        self.work_s = {}
        self.gangs = {}  # (job, k, step, run): {index: worker}
        # Largest share by which the work of an item differs from its job's.
        self.uneven = 0.0

    def add(self, job_id, document, work_s):
        self.steps[job_id] = document["steps"]
        self.work_s[job_id] = work_s

    def draw_work_s(self, job_id):
        """Returns the work of one item in seconds."""
        return self.work_s[job_id] * (
            1.0 + random.uniform(-self.uneven, self.uneven))


class Worker:
    """A worker: runs, a lease on its own clock, fence number and ends."""

    def __init__(self, *, name, service, rack, capacity, record, jobs,
                 gang_timeout_s=3.0, stop_s=0.1, hold_max_s=10.0,
                 checkpoint_interval_s=0.5):
        self.name = name
        self.service = service
        self.rack = rack
        self.capacity = capacity
        self.record = record
        self.jobs = jobs
        self.gang_timeout_s = gang_timeout_s
        self.stop_duration_s = stop_s
        self.hold_max_s = hold_max_s
        self.checkpoint_interval_s = checkpoint_interval_s
        self.born = round(time.time() * 1000)
        self.born_s = time.monotonic()
        self.fence = 0
        self.lease_ms = 0.0
        self.runs = {}
        self.refused_up_to = {}
        self.ends = []
        self.end_count = 0
        self.ended = asyncio.Event()
        self.state = "ready"
        self.sheds = False  # Answers starts with 503, does nothing.
        self.fails_after_s = None  # Fails all that it starts, after this time.
        self.cut = False  # Calls and answers are lost; it works on.
        self.clock_rate = 1.0  # Speed of its steady clock.
        self.sequence = 0
        self.starts = 0

    async def start(self, host):
        self.server, port = await serve(host, self._handle)
        self.address = f"{host}:{port}"

    def clock_ms(self):
        return (time.monotonic() - self.born_s) * 1000 * self.clock_rate

    def describe(self):
        self.sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": "zone-a",
            "version": "v1", "slots": 8, "state": self.state,
            "sequence": self.sequence,
            "capacity": dict(zip(("cpu", "memMb", "gpu"), self.capacity)),
            "labels": ["a", self.rack], "born": self.born
        }

    def _answer(self, status=200, **fields):
        return status, {"clockMs": round(self.clock_ms())} | fields

    async def _handle(self, method, target, headers, body):
        if self.cut:
            return None
        answer = await self._answer_call(target, headers, body)
        return None if self.cut else answer

    async def _answer_call(self, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return self._answer(421)
        call = json.loads(body)
        if target == "/-/run-start" and self.sheds:
            self.record.add(f"{self.name} answers 503 to the start of "
                            f"{call['task']} run {call['run']}")
            return self._answer(503)
        if call["fencingToken"] < self.fence:
            return self._answer(409, reason="fence")
        self.fence = call["fencingToken"]
        if target == "/-/run-start":
            return self._start(call)
        if target == "/-/run-stop":
            return self._stop(call)
        if target == "/-/hold":
            return await self._hold(call)
        return self._answer(400)

    def _extend_lease(self, until_ms):
        self.lease_ms = max(
            self.lease_ms,
            min(until_ms, self.clock_ms() + self.hold_max_s * 1000))

    def _start(self, call):
        name, run = call["task"], call["run"]
        current = self.runs.get(name)
        if current is not None and current.run == run:
            return self._answer()
        if run <= self.refused_up_to.get(name, 0) or (current is not None and
                                                      run < current.run):
            self._extend_lease(call["deadlineMs"])
            return self._answer(409, reason="old")
        if call["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        job_id, k, step_number, index = name.split(".")
        step = self.jobs.steps[job_id][int(step_number)]
        demand = (step.get("cpu", 0), step.get("memMb", 0), step.get("gpu", 0))
        used = [sum(values) for values in zip(
            (0, 0, 0), *(entry.demand for entry in self.runs.values()))]
        if any(use + need > limit
               for use, need, limit in zip(used, demand, self.capacity)):
            self._extend_lease(call["deadlineMs"])
            return self._answer(409, reason="room")
        self._extend_lease(call["deadlineMs"])
        now_s = time.monotonic()
        size = step.get("count", 1) if step.get("gang") else 1
        self.runs[name] = Run(run=run, demand=demand, started_s=now_s,
                              work_s=self.jobs.draw_work_s(job_id), size=size,
                              checkpoint=call.get("checkpoint", ""))
        self.starts += 1
        self.record.add(f"{self.name} starts {name} run {run}")
        if size > 1:
            members = self.jobs.gangs.setdefault(
                (job_id, k, step_number, run), {})
            members[index] = self
            if len(members) == size:
                for other, worker in members.items():
                    member = f"{job_id}.{k}.{step_number}.{other}"
                    if member in worker.runs:
                        worker.runs[member].begun_s = now_s
        return self._answer()

    def _stop(self, call):
        name, run = call["task"], call["run"]
        self.refused_up_to[name] = max(run, self.refused_up_to.get(name, 0))
        current = self.runs.get(name)
        if current is not None and current.run <= run and not current.stop_s:
            current.stop_s = time.monotonic() + self.stop_duration_s
        return self._answer()

    async def _hold(self, call):
        if "deadlineMs" in call:
            self._extend_lease(call["deadlineMs"])
        self.ends = [end for end in self.ends if end[0] > call["seenSeq"]]
        deadline_s = time.monotonic() + min(2000, call.get("waitMs", 0)) / 1000
        while not self.ends and (left_s := deadline_s - time.monotonic()) > 0:
            ended = self.ended
            try:
                await asyncio.wait_for(ended.wait(), left_s)
            except TimeoutError:
                pass
        now_s = time.monotonic()
        return self._answer(
            born=self.born,
            running=[[name, run.run, run.saved, self._percent(run, now_s)]
                     for name, run in self.runs.items()],
            finished=[list(end) for end in self.ends[:MAX_ENDS]])

    def _percent(self, run, now_s):
        if run.begun_s is None:
            return 0
        return min(99, int(100 * (now_s - run.begun_s) / run.work_s))

    def end(self, name, how):
        run = self.runs.pop(name)
        self.refused_up_to[name] = max(run.run, self.refused_up_to.get(name, 0))
        self.end_count += 1
        self.ends.append((self.end_count, name, run.run, how, run.saved))
        self.record.add(f"{self.name} ends {name} run {run.run} {how}")
        self.ended.set()
        self.ended = asyncio.Event()
        if run.size > 1 and how not in ("done", "broken"):
            self._break_others(name, run)

    def _break_others(self, name, run):
        """Ends the other members as broken, once they have heard of it."""
        job_id, k, step, index = name.split(".")
        members = self.jobs.gangs.get((job_id, k, step, run.run), {})

        def break_members():
            for other, worker in members.items():
                member = f"{job_id}.{k}.{step}.{other}"
                entry = worker.runs.get(member)
                if entry is not None and entry.run == run.run:
                    worker.end(member, "broken")

        asyncio.get_running_loop().call_later(0.001, break_members)

    def advance(self):
        now_s = time.monotonic()
        if self.runs and self.clock_ms() > self.lease_ms:
            for name in list(self.runs):
                self.end(name, "lapsed")
        for name, run in list(self.runs.items()):
            if name not in self.runs:
                continue
            if run.stop_s is not None and now_s >= run.stop_s:
                self.end(name, "stopped")
            elif run.begun_s is None:
                if now_s - run.started_s > self.gang_timeout_s:
                    self.end(name, "alone")
            else:
                self._work(name, run, now_s)

    def _work(self, name, run, now_s):
        job_id, _, step, _ = name.split(".")
        worked_s = now_s - run.begun_s
        if self.jobs.steps[job_id][int(step)].get("checkpointing"):
            intervals = int(worked_s / self.checkpoint_interval_s)
            if intervals:
                run.saved = f"{hash((name, run.run, intervals)) & (1<<64)-1:016x}"
        if self.fails_after_s is not None and worked_s >= self.fails_after_s:
            self.end(name, "failed")
        elif worked_s >= run.work_s:
            self.end(name, "done")


# Nodes.


def render_settings(fields):
    """Fills in the template of the deploy file."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = find(path)
        return json.dumps(value) if form == "json" else str(value)

    text = (ROOT / "deploy/settings.toml.template").read_text()
    return re.sub(r"\{\{([^}]*)\}\}", replace, text)


class Node:
    """One process of the product."""

    def __init__(self, *, name, host, store_address, folder, bounds=None):
        self.name = name
        self.host = host
        self.frontend = f"{host}:{_find_port(host)}"
        self.readiness = f"{host}:{_find_port(host)}"
        self.process = None
        self.folder = folder
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            render_settings({
                "nodeName": name,
                "ip": host,
                "listenAddrs": {
                    "frontend": self.frontend,
                    "readiness": self.readiness
                },
                "internalPorts": [_find_port(host), _find_port(host)],
                "platform": {"address": store_address},
                "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
                "bounds": {
                    "revokeMs": 5000, "graceS": 6, "holdMaxMs": 10000,
                    "checkpointIntervalS": 0.5, "status_s": 120
                } | (bounds or {})
            }))

    async def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = next(iter(role.values()))["run"].split()
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        variables["TREFOILROAD_BOOT"] = str(self.settings)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=variables, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def read_log(self):
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


_taken_ports = set()


def _find_port(host):
    while True:
        port = random.randint(20000, 32000)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


# The deployment.


class Deployment:
    """Store, workers, nodes and clients of a small deployment."""

    def __init__(self, *, folder, record_path, nodes=3, routes, tenants,
                 services, row_bytes=65536, store_host=None):
        self.folder = folder
        self.record = Record(record_path)
        self.store = Store(self.record, row_bytes)
        self.jobs = Jobs()
        self.workers = {}
        self.nodes = []
        self.node_count = nodes
        self.configuration = {
            "version": 7, "routes": routes, "services": services,
            "tenants": tenants, "limits": {"maxBodyBytes": 262144}
        }
        # Each node has an address of its own, as its metrics port is fixed.
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.tasks = []

    async def start(self):
        await self.store.start(f"{self.net}.1")
        self.store.put_document("op", "config", self.configuration)
        self.tasks.append(asyncio.create_task(self._advance()))
        self.tasks.append(asyncio.create_task(self._beat()))
        for number in range(self.node_count):
            node = Node(name=f"node-{number}", host=f"{self.net}.{number + 11}",
                        store_address=self.store.address, folder=self.folder)
            self.nodes.append(node)
            await node.start()

    async def add_worker(self, name, **options):
        worker = Worker(name=name, record=self.record, jobs=self.jobs, **options)
        await worker.start(f"{self.net}.2")
        self.workers[name] = worker
        self.store.put_document("servers", name, worker.describe())
        return worker

    async def lose_worker(self, name):
        """Crashes a worker for good; the store removes its entry later."""
        worker = self.workers.pop(name)
        worker.cut = True
        worker.runs = {}
        worker.server.close()
        self.record.add(f"{name} has crashed and does not come back")
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.write([], [("servers", "", name)])
        self.record.add(f"the store has removed the entry of {name}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.stop()

    async def _advance(self):
        while True:
            for worker in list(self.workers.values()):
                worker.advance()
            await asyncio.sleep(TICK_S)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, worker in list(self.workers.items()):
                self.store.put_document("servers", name, worker.describe())

    async def wait_ready(self, seconds=20):
        """Waits until all nodes say that they are ready; False if not."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            answers = [
                (await call(node.readiness, "GET", "/-/readyz", quiet=True))[0]
                for node in self.nodes
            ]
            if all(status == 200 for status in answers):
                # The leader has to find the workers before the traffic.
                await asyncio.sleep(2.0)
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(self, node, method, path, host, key, document=None,
                   timeout_s=3.0):
        status, answer = await call(node.frontend, method, path, host=host,
                                    key=key, document=document,
                                    timeout_s=timeout_s)
        self.record.add(f"{method} {path} at {node.name} -> {status} "
                        f"{json.dumps(answer)}")
        return status, answer

    async def watch_runs(self, seconds):
        """Watches the workers for a while.

        Returns:
            The ids of the jobs of which something ran, and the most GPUs that
            were in use.
        """
        jobs = set()
        most_gpus = 0
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            runs = [(name, run) for worker in self.workers.values()
                    for name, run in worker.runs.items()]
            jobs |= {name.partition(".")[0] for name, _ in runs}
            most_gpus = max(most_gpus, sum(run.demand[2] for _, run in runs))
            await asyncio.sleep(0.05)
        self.record.add(f"in the last {seconds:g} s at most {most_gpus} GPUs "
                        f"were in use, by {len(jobs)} jobs")
        return jobs, most_gpus

    async def find_idle_jobs(self, job_ids, seconds, idle_s, gpus):
        """Finds jobs of which nothing runs for a while on a fleet with room.

        Args:
            job_ids: Jobs to look at.
            seconds: How long to watch the workers.
            idle_s: How long nothing of a job has to run.
            gpus: Number of GPUs in use from which the fleet has no room.

        Returns:
            The ids of these jobs.
        """
        started_s = time.monotonic()
        last_s = dict.fromkeys(job_ids, started_s)
        idle = set()
        while (now_s := time.monotonic()) < started_s + seconds:
            runs = [(name, run) for worker in self.workers.values()
                    for name, run in worker.runs.items()]
            at_work = {name.partition(".")[0] for name, _ in runs}
            has_room = sum(run.demand[2] for _, run in runs) < gpus
            for job_id in job_ids:
                if job_id in at_work or not has_room:
                    last_s[job_id] = now_s
                elif now_s - last_s[job_id] >= idle_s:
                    idle.add(job_id)
            await asyncio.sleep(0.05)
        return idle

    async def submit(self, node, route, key, document, work_s, job_id=None):
        job_id = job_id or f"{random.getrandbits(64):016x}"
        self.jobs.add(job_id, document, work_s)
        status, _ = await self.call(node, "POST", route["prefix"] + job_id,
                                    route["host"], key, document)
        return job_id, status

    async def show(self, node, route, key, job_id):
        status, answer = await self.call(node, "GET", route["prefix"] + job_id,
                                         route["host"], key)
        return answer.get("state", "") if status == 200 else str(status)


async def call(address, method, path, host="", key="", document=None,
               timeout_s=3.0, quiet=False):
    """Makes one call; status 0 if there is no whole answer in time."""
    name, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(name, int(port))
        try:
            data = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}",
                     f"Content-Length: {len(data)}",
                     "Content-Type: application/json"]
            if key:
                lines.append(f"Authorization: Bearer {key}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return 0, {}
            return int(message[0][1]), json.loads(message[2] or b"{}")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, ValueError, IndexError, TimeoutError,
            asyncio.IncompleteReadError):
        return 0, {}


def run_case(scenario, folder, limit_s=110):
    """Runs a case and exits: 1 rule broken, 0 kept, 2 could not run.

    Args:
        scenario: Coroutine function of (work folder, record path, trouble); it
            returns the list of broken rules, or None if it could not run.
        folder: Folder of the case.
        limit_s: Longest run time.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = pathlib.Path(folder) / "record.txt"
    code = 2
    with tempfile.TemporaryDirectory() as work:

        async def limited():
            task = asyncio.create_task(
                scenario(pathlib.Path(work), record, trouble))
            for number in (signal.SIGTERM, signal.SIGINT):
                # The scenario ends the processes that it started.
                asyncio.get_running_loop().add_signal_handler(
                    number, task.cancel)
            return await asyncio.wait_for(task, limit_s)

        try:
            broken = asyncio.run(limited())
            if broken is not None:
                code = 1 if broken else 0
                for line in broken or ["all rules were kept"]:
                    print(line)
        except (Exception, asyncio.CancelledError) as error:
            print(f"the case could not run: {error!r}")
        if os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(work).glob("*.log"):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
    sys.exit(code)
