"""Checks at the moment of sending whether a start may still be sent.

Between the claim of a run and its start lies a commit, which takes seconds
while the store loses replies. Meanwhile workers crash and register again under
their ids, with other labels or less capacity, or begin to drain.
"""

from collections.abc import Container

from trefoilroad_jobs import fleet as fleets
from trefoilroad_jobs import placement
from trefoilroad_jobs import progress
from trefoilroad_jobs import workload

EVACUATED = "its failure domain is evacuated"


def find_obstacle(tracked: fleets.TrackedWorker, claim: progress.Claim,
                  step: workload.Step, service: str,
                  evacuated: Container[str]) -> str:
    """Returns why a start must not be sent, or an empty text.

    Everything that is checked here also rules a worker out in rounds, so that a
    task is not placed there again and again.

    Args:
        tracked: Worker of the claim as it is registered now.
        claim: Claim of the run; one of the claims of the worker.
        step: Step of the task.
        service: Service whose workers the queue of the job uses now.
        evacuated: Evacuated failure domains.
    """
    worker = tracked.worker
    if worker.failure_domain in evacuated:
        return EVACUATED
    if not tracked.registered:
        return "its worker is not registered any more"
    if worker.draining:
        return "its worker is draining"
    if worker.service != service:
        return "its worker belongs to another service"
    if step.label and step.label not in worker.labels:
        return "its worker lacks the label"
    room = worker.capacity.minus(tracked.occupied).plus(claim.demand)
    if not placement.count_fitting(step.occupied, room):
        return "its worker has less capacity"
    return ""
