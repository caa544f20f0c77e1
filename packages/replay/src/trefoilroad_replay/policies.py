"""The policies that a report compares."""

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
    """A way to schedule.

    Attributes:
        build_scheduler: Builds a new scheduler.
        build_health: Builds what puts workers into quarantine, if anything.
    """

    build_scheduler: Callable[[], scheduler.Scheduler]
    build_health: Callable[[], health.Health | None] = health.Health


def _build_nothing() -> None:
    return None


def _change(**changes: Any) -> Policy:
    """Returns the default policy with other parts."""

    def build_scheduler() -> scheduler.Scheduler:
        parts: dict[str, Any] = {
            "placer": placement.RackPack(),
            "order": queue.FairShare(),
            "preemption": preemption.LeastUrgent(),
            "estimator": estimate.ObservedEstimator()
        }
        built = {
            name: change() if callable(change) else change
            for name, change in changes.items()
        }
        return scheduler.Scheduler(**(parts | built))

    return Policy(build_scheduler)


# This version, the baseline, and this version with one mechanism off each.
POLICIES = {
    DEFAULT: Policy(scheduler.build_default),
    BASELINE: Policy(scheduler.build_baseline, _build_nothing),
    "no-fair-share": _change(order=queue.ArrivalOrder),
    "no-rack-packing": _change(placer=placement.FirstFit),
    "no-preemption": _change(preemption=preemption.NoPreemption),
    "no-estimates": _change(estimator=estimate.DeclaredEstimator),
    "no-backfill": _change(backfill=False),
    "no-firm-first": _change(guaranteed_first=False),
    "no-reserve": _change(reserve_guarantees=False),
    "no-quarantine": Policy(scheduler.build_default, _build_nothing),
}
