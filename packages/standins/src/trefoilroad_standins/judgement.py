"""Judges a run in the virtual world by its recorded histories alone."""

from collections.abc import Iterable
import json
from typing import Any

from trefoilroad_replay import checker
from trefoilroad_replay import history
from trefoilroad_standins import virtual
from trefoilroad_standins import virtual_callers


def find_violations(world: virtual.World,
                    callers: Iterable[virtual_callers.Caller],
                    *,
                    ended: bool = True) -> list[str]:
    """Runs the independent checker.

    Args:
        world: Holds the histories of the workers.
        callers: Hold what they were told.
        ended: Whether each caller must know its outcome by now.

    Returns:
        One line for each violation.
    """
    findings: list[Any] = []
    callers = list(callers)
    # A request that no caller has heard of yet must not count as unknown.
    told_lines = [
        json.dumps(line) for caller in callers for line in caller.told
    ]
    events = history.parse_worker_history(
        "workers", [json.dumps(line) for line in world.history], findings)
    told = history.parse_caller_history("callers", told_lines, findings)
    judge = checker.Checker(events=events, told=told, bounds=checker.Bounds())
    violations = judge.find_violations()
    if not ended:
        open_ids = {
            caller.request_id for caller in callers if not caller.is_done
        }
        violations = [
            violation for violation in violations
            if not (violation.subject in open_ids and violation.rule in
                    (checker.ONE_OUTCOME, checker.KNOWN_REQUEST))
        ]
    lines = [str(violation) for violation in violations]
    lines += [str(finding) for finding in findings]
    if ended:
        lines += [
            f"no outcome: {caller.request_id}" for caller in callers
            if not caller.is_done
        ]
    return lines


def describe_mark(world: virtual.World, worker: str,
                  event: str) -> dict[str, Any]:
    """Builds the line of a worker's history that a mark makes.

    Args:
        world: Has the clock.
        worker: Worker that is marked.
        event: "leaving" or "staying".

    Returns:
        The line.
    """
    now_s = world.clock.now_s
    return {
        "event": event,
        "worker": worker,
        "boot": "",
        "attempt": "",
        "ranks": [],
        "epoch": 0,
        "at_s": now_s,
        "wall_s": now_s,
        "detail": {}
    }
