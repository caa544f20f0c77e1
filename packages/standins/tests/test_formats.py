"""Compares messages between nodes and stored rows with a recorded format.

Nodes of two releases run side by side during an upgrade and read each other's
rows. A change of a format changes `formats.json` too, and NEWS.md says how an
upgrade goes.
"""

import hashlib
import json
import pathlib
import zlib

import cbor2

from trefoilroad_jobs import intake
from trefoilroad_jobs import node as job_nodes
from trefoilroad_jobs import progress
from trefoilroad_jobs import progress_rows
from trefoilroad_jobs import workload
from trefoilroad_standins import soak
from trefoilroad_standins.jobs import site as sites

FORMATS = json.loads(
    (pathlib.Path(__file__).parent / "formats.json").read_text())


def describe(value):
    """Returns the keys and types of a decoded message or row.

    Maps whose keys are data, such as ids and numbers, have one entry "*".
    """
    if isinstance(value, dict):
        if value and all(
                isinstance(key, str) and key.isidentifier() for key in value):
            return {key: describe(value[key]) for key in sorted(value)}
        return {"*": merge(describe(entry) for entry in value.values())}
    if isinstance(value, list):
        shapes = [describe(entry) for entry in value]
        return shapes[:1] if isinstance(merge(shapes), dict) else shapes
    return "number" if isinstance(value, (int, float)) else type(value).__name__


def merge(shapes):
    """Returns the first of some shapes, None without any."""
    return next(iter(shapes), None)


def find_jobs_formats():
    """Returns the formats of the messages and rows of jobs of steps."""
    messages = {}
    rows = {}
    site = sites.Site()
    original = site.deliver

    def deliver(origin, address, message):
        messages.setdefault(message["type"], describe(message))
        return original(origin, address, message)

    site.deliver = deliver
    commit = site.tables.commit

    def record_commit(conditions, puts, removals):
        for (table, key), value in puts.items():
            if table in ("intake", "progress", "leader", "head", "leases",
                         "counts"):
                name = f"{table} {key.partition('/')[0]}" if "/" in key else (
                    table)
                if table == "counts":
                    # The first rows have no counts.
                    rows.pop(name, None)
                rows.setdefault(name, describe(cbor2.loads(value)))
        return commit(conditions, puts, removals)

    site.tables.commit = record_commit
    site.run(1.0)
    leader = site.find_leader().name
    follower = next(name for name in site.nodes if name != leader)
    site.nodes[follower].store.refused = True
    steps = [
        workload.Step(tasks=2, demand=sites.SMALL_DEMAND, checkpoints=True)
    ]
    site.submit_steps("0" * 16, steps, [0.5], through=follower)
    site.run(0.3)
    site.cancel("1" * 16, through=leader)
    site.show("0" * 16, through=follower)
    site.nodes[follower].store.refused = False
    site.run(1.0)
    site.submit_steps("2" * 16, steps, [0.5], through=follower)
    site.run(0.2)
    for worker_state in site.worker_states.values():
        worker_state.reachable = False
    site.run(4.0)
    site.cancel("2" * 16, through=follower)
    site.submit_steps("3" * 16, steps, [0.5], through=follower)
    site.run(1.5)
    assert isinstance(site.nodes[leader].node, job_nodes.Node)
    return {"messages": messages, "rows": rows}


def find_large_progress_formats():
    """Returns the formats of the rows of a job that needs several."""
    step = workload.Step(tasks=3, demand=sites.SMALL_DEMAND)
    job = progress.Job(workload=intake.build_workload(sites.QUEUE, "team",
                                                      "job", "", (step, step)),
                       now_s=0.0,
                       age_s=0.0)
    done = job.get_step(0, 0)
    done.record_done(range(3))
    unfinished = job.get_step(0, 1)
    unfinished.done.add(0)
    for index in range(1, 3):
        unfinished.last_runs[index] = index
        unfinished.failures[index] = index
        unfinished.checkpoints[index] = hashlib.sha256(bytes(index)).hexdigest()
        unfinished.claims[index] = progress.Claim(key=progress.TaskKey(
            "job", 0, 1, index),
                                                  run=index,
                                                  worker_id="w00",
                                                  boot_ms=17,
                                                  phase=progress.Phase.CLAIMING,
                                                  now_s=0.0,
                                                  demand=sites.SMALL_DEMAND)
    values = progress_rows.encode_rows(job, row_bytes=128, max_rows=9).values
    compact = progress_rows.compact_steps(progress.list_steps(job))
    finished, workers, steps = cbor2.loads(zlib.decompress(compact))
    return {
        "first row": describe(cbor2.loads(values[0])),
        "other row": describe(cbor2.loads(values[1])),
        "finished steps": describe(finished),
        "workers": describe(workers),
        "steps": [[describe(field) for field in step] for step in steps]
    }


def find_request_formats():
    """Returns the formats of the messages and rows of requests of one gang."""
    messages = {}
    schedule = soak.FaultSchedule(seed=1, faults=0, requests=0)
    cluster = schedule.cluster
    original = cluster.deliver_message

    def deliver(name, message):
        messages.setdefault(message["type"], describe(message))
        original(name, message)

    cluster.deliver_message = deliver
    schedule.start()
    cluster.run(3.0)
    for template in sorted(soak.TEMPLATES):
        schedule.add_caller(template, 0.5, fails=False).start()
    cluster.run(3.0)
    schedule.finish()
    rows = {
        row["key"].partition("/")[0]: describe(row["value"])
        for row in cluster.platform.table.list_rows("", 0)
    }
    return {"messages": messages, "rows": rows}


def test_formats_of_jobs():
    """Guards against rows and messages that the release before cannot read."""
    assert find_jobs_formats() == FORMATS["jobs"]


def test_formats_of_large_progress():
    """Guards against rows that the release before cannot read."""
    assert find_large_progress_formats() == FORMATS["large progress"]


def test_formats_of_requests():
    """Guards against rows and messages that the release before cannot read."""
    assert find_request_formats() == FORMATS["requests"]
