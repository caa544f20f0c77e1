"""The policies that a report compares."""

from collections.abc import Callable

from trefoilroad_core import estimate
from trefoilroad_core import placement
from trefoilroad_core import preemption
from trefoilroad_core import queue
from trefoilroad_core import scheduler

DEFAULT = "default"
BASELINE = "baseline"


def _build_without(**changes: object) -> scheduler.Scheduler:
    parts: dict[str, object] = {
        "placer": placement.RackPack(),
        "order": queue.FairShare(),
        "preemption": preemption.LeastUrgent(),
        "estimator": estimate.Observed()
    }
    return scheduler.Scheduler(**(parts | changes))  # type: ignore[arg-type]


POLICIES: dict[str, Callable[[], scheduler.Scheduler]] = {
    DEFAULT:
        scheduler.build_default,
    BASELINE:
        scheduler.build_baseline,
    "no-fair-share":
        lambda: _build_without(order=queue.Arrival()),
    "no-rack-packing":
        lambda: _build_without(placer=placement.FirstFit()),
    "no-preemption":
        lambda: _build_without(preemption=preemption.NoPreemption()),
    "no-estimates":
        lambda: _build_without(estimator=estimate.Declared()),
    "no-backfill":
        lambda: _build_without(backfill=False),
    "no-firm-first":
        lambda: _build_without(firm_first=False),
    "no-reserve":
        lambda: _build_without(reserve_guarantees=False),
}
"""Builds a new scheduler by name of the policy: this version, the baseline, and
this version with one mechanism off."""
