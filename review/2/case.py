"""A new leader starts work items again that still run under the old lease."""

import asyncio
import json
import pathlib
import signal
import time

import standin

ROUTE = {
    "name": "r-draft", "host": "draft.example", "prefix": "/draft/",
    "service": "matching", "priority": 2, "maxAttempts": 2,
    "slackFactor": 3.0, "targetDurationMs": 3000
}
KEY = "key-of-team-one"
JOB = {
    "spec": "review",
    "steps": [{"count": 4, "cpu": 5600, "memMb": 29000, "gpu": 1,
               "estimatedMs": 11000}]
}
WORKERS = 8
IDLE_S = 84.0
CUT_S = 7.0


def find_leader(fleet):
    """Returns the node that took the lead last, by the logs."""
    best = None
    for node in fleet.nodes:
        for line in node.read_log().splitlines():
            if '"event": "leading"' in line:
                epoch = json.loads(line)["epoch"]
                if best is None or epoch > best[0]:
                    best = epoch, node
    return best[1]


async def run(folder, record_path, trouble):
    fleet = standin.Deployment(
        folder=folder, record_path=record_path, routes=[ROUTE],
        tenants=[{"name": "team-one", "apiKeys": [KEY],
                  "guaranteed": {"gpu": 8}}],
        services=[{"name": "matching", "enforcesCapacity": True}])
    try:
        await fleet.start()
        for number in range(WORKERS):
            worker = await fleet.add_worker(
                f"i-{number:010x}", service="matching",
                rack=f"r1-{number // 4}", capacity=(64000, 262144, 8))
            worker.clock_rate = 0.98
        if not await fleet.wait_ready():
            print("the nodes did not become ready")
            return None
        await asyncio.sleep(IDLE_S)
        leader = find_leader(fleet)
        other = next(node for node in fleet.nodes if node is not leader)
        job_id, status = await fleet.submit(other, ROUTE, KEY, JOB, 11.0)
        if status != 200:
            print(f"the job was not accepted: {status}")
            return None
        await asyncio.sleep(0.2)
        busy = [worker for worker in fleet.workers.values() if worker.runs]
        fleet.record.add(f"work items on {[worker.name for worker in busy]}")
        if len(busy) != 1:
            print("the case is made for one busy worker")
            return None
        if trouble:
            busy[0].cut = True
            fleet.record.add(f"{busy[0].name} is cut off for {CUT_S} s, "
                             f"{leader.name} gets SIGTERM")
            leader.signal(signal.SIGTERM)
        await asyncio.sleep(CUT_S)
        if trouble:
            busy[0].cut = False
            fleet.record.add(f"{busy[0].name} is reachable again")
        await asyncio.sleep(1.0)
        broken = []
        running = {}
        for line in list(fleet.record.lines):
            words = line.split()
            if len(words) > 3 and words[2] == "starts":
                if words[3] in running:
                    broken.append(
                        f"TWICE: {words[3]} starts on {words[1]} at {words[0]} "
                        f"s while it runs on {running[words[3]]}")
                running[words[3]] = words[1]
            elif len(words) > 3 and words[2] == "ends":
                if running.get(words[3]) == words[1]:
                    del running[words[3]]
        for line in broken:
            fleet.record.add(line)
        return broken
    finally:
        await fleet.stop()
        fleet.record.write()


standin.run_case(run, pathlib.Path(__file__).parent, limit_s=115)
