"""Crowds of clients that submit jobs that cost a node more than they look.

Each crowd submits a fixed number of bodies within the limits of one request.
Most are legal jobs, which a node accepts and keeps.
"""

import asyncio
from collections.abc import Callable
import itertools
import json
from typing import Any
from typing import NamedTuple

from trefoilroad_standins.jobs import soak

# Under the limit of the examples, 262,144 bytes.
LARGE_BODY_BYTES = 250_000
# Under the longest row of the store, 65,536 bytes, once it is encoded.
LARGE_ROW_BYTES = 60_000
# Longest payload that is legal.
PAYLOAD_BYTES = 4_000
# A character outside the basic plane: Python keeps each character of a text
# that has one in four bytes.
WIDE_CHARACTER = "\U0001f9f6"
# Larger than any number of runs that a fleet carries out.
ENDLESS_REPETITIONS = 10**12
# Answers by which a submission promises that the job does not run.
REFUSALS = frozenset({400, 404, 413, 429, 503})
# A client gives up after so many submissions in a row without an answer.
MAX_UNANSWERED = 5
# Pause after an answer that is not a success, or after no answer.
RETRY_S = 0.05

JOB_STEP = {
    "count": 1,
    "cpu": 4000,
    "memMb": 4000,
    "gpu": 1,
    "estimatedMs": 1000
}


class Crowd(NamedTuple):
    """Clients that submit jobs one after the other.

    Attributes:
        name: Name of the crowd.
        clients: Number of clients that submit at the same time.
        submissions: Number of bodies that each client sends.
        body: The body, which is the same for all.
        needs_nothing: Whether the tasks need no resources of their worker.
    """

    name: str
    clients: int
    submissions: int
    body: bytes
    needs_nothing: bool = False


class Answers:
    """Statuses that a crowd got, 0 for none, by id of the job."""

    def __init__(self) -> None:
        self.statuses: dict[str, int] = {}

    def count(self, status: int) -> int:
        """Returns how many submissions were answered with a status."""
        return sum(value == status for value in self.statuses.values())

    def list_refused(self) -> set[str]:
        """Returns the ids of the jobs that were refused."""
        return {
            job_id for job_id, status in self.statuses.items()
            if status in REFUSALS
        }


def _encode(steps: list[Any], **fields: Any) -> bytes:
    return json.dumps({"spec": "text", "steps": steps} | fields).encode()


CROWDS = (
    Crowd("many_steps", 8, 40, _encode([JOB_STEP | {
        "count": 100
    }] * 100)),
    Crowd("many_steps_of_one_client", 1, 60,
          _encode([JOB_STEP | {
              "count": 100
          }] * 100)),
    Crowd("many_tasks", 40, 60, _encode([JOB_STEP | {
        "count": 1000
    }])),
    Crowd(
        "wide_payloads", 40, 60,
        _encode([JOB_STEP],
                spec="x" * (PAYLOAD_BYTES - len(WIDE_CHARACTER.encode())) +
                WIDE_CHARACTER)),
    Crowd(
        "wide_labels", 40, 20,
        _encode([
            JOB_STEP | {
                "requirements": "x" * (LARGE_ROW_BYTES - 4) + WIDE_CHARACTER
            }
        ])),
    Crowd("repeated_dependencies", 40, 20,
          _encode([JOB_STEP, JOB_STEP | {
              "after": [0] * LARGE_ROW_BYTES
          }])),
    Crowd("endless_repetitions", 1, 1,
          _encode([JOB_STEP], repetitions=ENDLESS_REPETITIONS, startAtMs=1)),
    Crowd("tasks_without_demand",
          8,
          20,
          _encode([{
              "count": 1000
          }] * 10),
          needs_nothing=True),
    Crowd("empty_steps", 4, 10,
          b'{"steps":[' + b"{}," * (LARGE_BODY_BYTES // 3) + b"{}]}"),
)


async def run_crowd(port: int, crowd: Crowd,
                    on_submit: Callable[[str], None]) -> Answers:
    """Runs all clients of a crowd until each has sent its bodies.

    A body is sent once: no submission is repeated under the same id. A client
    that gets no answers gives up.

    Args:
        port: Port of the node.
        crowd: The crowd.
        on_submit: Called with the id of each job before it is sent.
    """
    answers = Answers()
    numbers = itertools.count(1)

    async def run_client() -> None:
        unanswered = 0
        for _ in range(crowd.submissions):
            if unanswered == MAX_UNANSWERED:
                return
            job_id = f"{next(numbers):016x}"
            on_submit(job_id)
            # An attempt that is cut off may have been carried out.
            answers.statuses[job_id] = 0
            status, _document = await soak.call(port, "POST",
                                                soak.QUEUE_PREFIX + job_id,
                                                crowd.body)
            answers.statuses[job_id] = status
            unanswered = 0 if status else unanswered + 1
            if status != 200:
                await asyncio.sleep(RETRY_S)

    await asyncio.gather(*(run_client() for _ in range(crowd.clients)))
    return answers
