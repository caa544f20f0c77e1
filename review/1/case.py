"""A row of another writer in the table of workers stops all scheduling."""

import asyncio
import pathlib

import standin

ROUTE = {
    "name": "r-quick", "host": "quick.example", "prefix": "/quick/",
    "service": "matching", "priority": 1, "maxAttempts": 2,
    "slackFactor": 3.0, "targetDurationMs": 3000
}
KEY = "key-of-team-one"
JOB = {
    "spec": "review",
    "steps": [{"count": 3, "cpu": 2000, "memMb": 1024, "gpu": 1,
               "estimatedMs": 500}]
}
JOBS = 6
# finish_s of the sheets, and the 3 s that the rule adds to it.
FINISH_S = 14.0
LOST_S = 3.0


async def run(folder, record_path, trouble):
    fleet = standin.Deployment(
        folder=folder, record_path=record_path, routes=[ROUTE],
        tenants=[{"name": "team-one", "apiKeys": [KEY],
                  "guaranteed": {"gpu": 8}}],
        services=[{"name": "matching", "enforcesCapacity": True}])
    try:
        if trouble:
            # The table of workers already has the row when the nodes start.
            entry = {
                "service": "matching", "address": "127.0.0.1:9", "zone": "zone-a",
                "state": "ready",
                "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 8},
                "labels": {"kind": "a", "rack": "r1-0"}
            }
            fleet.store.put_document("servers", "i-of-another-writer", entry)
            fleet.record.add(f"another writer's row in servers: {entry}")
        await fleet.start()
        for number in range(8):
            await fleet.add_worker(f"i-{number:010x}", service="matching",
                                   rack=f"r1-{number // 4}",
                                   capacity=(64000, 262144, 8))
        if not await fleet.wait_ready():
            print("the nodes did not become ready")
            return None
        accepted = []
        for number in range(JOBS):
            job_id, status = await fleet.submit(fleet.nodes[number % 3], ROUTE,
                                                KEY, JOB, 0.5)
            if status == 200:
                accepted.append(job_id)
            await asyncio.sleep(0.5)
        fleet.record.add("end of the traffic")
        await asyncio.sleep(FINISH_S)
        at_work, gpus = await fleet.watch_runs(LOST_S)
        states = {}
        for number, job_id in enumerate(accepted):
            states[job_id] = await fleet.show(fleet.nodes[number % 3], ROUTE,
                                              KEY, job_id)
        broken = []
        for job_id, state in states.items():
            starts = [line for line in fleet.record.lines
                      if f"starts {job_id}." in line]
            if (state != "completed" and not starts and
                    job_id not in at_work and gpus < 32):
                broken.append(
                    f"LOST: job {job_id} was accepted and is {state!r} "
                    f"{FINISH_S + LOST_S:g} s after the end of the traffic; no "
                    "work item has started and all 8 workers are idle")
        errors = [line for node in fleet.nodes
                  for line in node.read_log().splitlines()
                  if "unexpected error" in line]
        for line in errors[:3]:
            fleet.record.add(f"log of a node: {line[:60]} ... {line[-400:]}")
        for line in broken:
            fleet.record.add(line)
        return broken
    finally:
        await fleet.stop()
        fleet.record.write()


standin.run_case(run, pathlib.Path(__file__).parent)
