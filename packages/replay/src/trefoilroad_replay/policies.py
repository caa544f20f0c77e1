"""Scheduling policies that a report compares."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from trefoilroad_core import estimate
from trefoilroad_core import health
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import queue
from trefoilroad_core import scheduler

DEFAULT = "default"
BASELINE = "baseline"


class Policy(NamedTuple):
    """Factories of a scheduler and its worker health.

    Attributes:
        build_scheduler: Builds a new scheduler.
        build_health: Builds the health that puts workers into quarantine, or
            returns None for no quarantine.
    """

    build_scheduler: Callable[[], scheduler.Scheduler]
    build_health: Callable[[], health.Health | None] = health.Health


def _build_no_health() -> None:
    return None


def _vary_default(**changes: Any) -> Policy:
    """Returns the default policy with some arguments of Scheduler replaced.

    Args:
        **changes: Values by argument; a callable is called for each scheduler.
    """

    def build_scheduler() -> scheduler.Scheduler:
        parts: dict[str, Any] = {
            "placer": placement.RackPack(),
            "order": queue.FairShare(),
            "preemption": preemption.LeastUrgent(),
            "estimator": estimate.ObservedEstimator()
        }
        replacements = {
            name: change() if callable(change) else change
            for name, change in changes.items()
        }
        return scheduler.Scheduler(**(parts | replacements))

    return Policy(build_scheduler)


# The default policy, the baseline, and variants of the default that each switch
# off one mechanism.
POLICIES = {
    DEFAULT: Policy(scheduler.build_default),
    BASELINE: Policy(scheduler.build_baseline, _build_no_health),
    "no-fair-share": _vary_default(order=queue.ArrivalOrder),
    "no-rack-packing": _vary_default(placer=placement.FirstFit),
    "no-preemption": _vary_default(preemption=preemption.NoEviction),
    "no-estimates": _vary_default(estimator=estimate.DeclaredEstimator),
    "no-backfill": _vary_default(backfill=False),
    "no-firm-first": _vary_default(guaranteed_first=False),
    "no-reserve": _vary_default(reserve_guarantees=False),
    "no-quarantine": Policy(scheduler.build_default, _build_no_health),
}
