"""A guaranteed job that does not fit at once any more never starts."""

import asyncio
import pathlib

import standin

# Class report-render of kps-trefoil: priority 0, 7.5 cores, up to 18 work items
# of 1 to 8 GPUs.
ROUTE = {
    "name": "r-render", "host": "render.example", "prefix": "/render/",
    "service": "matching", "priority": 0, "maxAttempts": 4,
    "slackFactor": 1.5, "targetDurationMs": 1000
}
KEYS = {"team-one": "key-of-team-one", "team-two": "key-of-team-two"}
WORKERS = 20
LOST_WORKERS = 3  # A share of 0.15.
STEP = {"cpu": 7500, "memMb": 11000, "gpu": 1, "estimatedMs": 2500,
        "antiAffinity": 1}
SMALL_JOB = {"spec": "review", "steps": [STEP | {"count": 6}]}
WIDE_JOB = {"spec": "review", "steps": [STEP | {"count": 18}]}
GUARANTEED = 24
WORK_S = 2.5
FINISH_S = 14.0
LOST_S = 3.0


async def run(folder, record_path, trouble):
    fleet = standin.Deployment(
        folder=folder, record_path=record_path, routes=[ROUTE],
        tenants=[{"name": name, "apiKeys": [key],
                  "guaranteed": {"gpu": GUARANTEED}}
                 for name, key in KEYS.items()],
        services=[{"name": "matching", "enforcesCapacity": True}])
    try:
        await fleet.start()
        for number in range(WORKERS):
            await fleet.add_worker(f"i-{number:010x}", service="matching",
                                   rack=f"r1-{number // 8}",
                                   capacity=(64000, 131072, 8))
        if not await fleet.wait_ready():
            print("the nodes did not become ready")
            return None
        if trouble:
            await asyncio.gather(*[
                fleet.lose_worker(f"i-{number:010x}")
                for number in range(2, 2 + LOST_WORKERS)
            ])
        # The deployment is calm again when the jobs come.
        await asyncio.sleep(5.0)
        accepted = {}
        for number, (team, job) in enumerate([("team-two", SMALL_JOB),
                                              ("team-one", WIDE_JOB),
                                              ("team-two", SMALL_JOB)]):
            job_id, status = await fleet.submit(fleet.nodes[number % 3], ROUTE,
                                                KEYS[team], job, WORK_S)
            if status == 200:
                accepted[job_id] = team, job
            await asyncio.sleep(0.3)
        fleet.record.add("end of the traffic")
        await asyncio.sleep(FINISH_S)
        at_work, gpus = await fleet.watch_runs(LOST_S)
        broken = []
        for number, (job_id, (team, job)) in enumerate(accepted.items()):
            state = await fleet.show(fleet.nodes[number % 3], ROUTE,
                                     KEYS[team], job_id)
            starts = [line for line in fleet.record.lines
                      if f"starts {job_id}." in line]
            if (state != "completed" and not starts and
                    job_id not in at_work and gpus < len(fleet.workers) * 4):
                broken.append(
                    f"LOST: job {job_id} of {job['steps'][0]['count']} work "
                    f"items was accepted and is {state!r} "
                    f"{FINISH_S + LOST_S:g} s after the end of the traffic; "
                    f"none has started, {gpus} GPUs are in use and "
                    f"{len(fleet.workers)} workers are idle")
        for line in broken:
            fleet.record.add(line)
        return broken
    finally:
        await fleet.stop()
        fleet.record.write()


standin.run_case(run, pathlib.Path(__file__).parent)
