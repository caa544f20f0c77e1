"""Checks the invariants of a run on a virtual cluster.

Only the histories of the workers and the observations of the callers are read.
"""

from collections.abc import Iterable
import json
from typing import Any

from trefoilroad_replay import checker
from trefoilroad_replay import history
from trefoilroad_standins import virtual_callers
from trefoilroad_standins import virtual_cluster


def find_violations(cluster: virtual_cluster.VirtualCluster,
                    callers: Iterable[virtual_callers.Caller],
                    *,
                    require_outcomes: bool = True) -> list[str]:
    """Runs the checker of trefoilroad_replay on the recorded histories.

    Args:
        cluster: Cluster with the history of the workers.
        callers: Callers with their observations.
        require_outcomes: Whether every request must have a final outcome. If
            not, rules that concern outcomes are not applied to open requests.

    Returns:
        One line for each violation.
    """
    findings: list[Any] = []
    callers = list(callers)
    observation_lines = [
        json.dumps(line) for caller in callers for line in caller.observations
    ]
    events = history.parse_worker_history(
        "workers", [json.dumps(line) for line in cluster.history], findings)
    told = history.parse_caller_history("callers", observation_lines, findings)
    history_checker = checker.Checker(events=events,
                                      told=told,
                                      bounds=checker.Bounds())
    violations = history_checker.find_violations()
    if not require_outcomes:
        # An open request may have started before its caller was told that it
        # was accepted; that is no violation yet.
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
    if require_outcomes:
        lines += [
            f"no outcome: {caller.request_id}" for caller in callers
            if not caller.is_done
        ]
    return lines


def build_mark_entry(cluster: virtual_cluster.VirtualCluster, worker: str,
                     event: str) -> dict[str, Any]:
    """Builds the history entry for a change of a worker's leaving mark.

    Args:
        cluster: Cluster with the clock.
        worker: Id of the worker.
        event: "leaving" or "staying".

    Returns:
        The entry.
    """
    now_s = cluster.clock.now_s
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
