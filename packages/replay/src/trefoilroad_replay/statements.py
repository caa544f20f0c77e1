"""Outcomes that a trace states beforehand."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

from trefoilroad_replay import figures
from trefoilroad_replay import results
from trefoilroad_replay import trace as trace_module


def find_unmet(replay: results.Replay) -> Iterable[str]:
    """Yields the stated outcomes that were not met."""
    for expectation in replay.trace.expectations:
        found = [
            result for result in replay.results
            if expectation.selects(result.release)
        ]
        what = ", ".join(
            filter(None, (expectation.team, expectation.template,
                          f"{len(expectation.requests)} requests"
                          if expectation.requests else ""))) or "all"
        share = sum(result.outcome == expectation.outcome
                    for result in found) / len(found)
        if share < expectation.min_share:
            yield (
                f"{expectation.place}: {what}: {share:.1%} "
                f"{expectation.outcome}, expected {expectation.min_share:.1%}")
        yield from _find_late(expectation, what, found)


def _find_late(expectation: trace_module.Expectation, what: str,
               found: Sequence[results.Result]) -> Iterable[str]:
    if expectation.start_p99_s is not None:
        start_s = figures.spread(map(figures.compute_wait, found)).p99
        if start_s > expectation.start_p99_s:
            yield (f"{expectation.place}: {what}: p99 start {start_s:.2f} s, "
                   f"expected {expectation.start_p99_s:.2f} s")
    if expectation.end_within_s is not None:
        end_s = max(math.inf if result.end_s is
                    None else figures.compute_completion(result)
                    for result in found)
        if end_s > expectation.end_within_s:
            yield (f"{expectation.place}: {what}: last outcome {end_s:.2f} s, "
                   f"expected {expectation.end_within_s:.2f} s")
