"""Compares a replay with the expected outcomes that its trace states."""

from collections.abc import Iterable
from collections.abc import Sequence
import math

from trefoilroad_replay import results
from trefoilroad_replay import statistics
from trefoilroad_replay import trace as trace_module


def find_unmet(replay: results.Replay) -> Iterable[str]:
    """Yields a line for each expectation that was not met."""
    for expectation in replay.trace.expectations:
        request_results = [
            result for result in replay.results
            if expectation.selects(result.trace_request)
        ]
        selection = ", ".join(
            filter(None, (expectation.team, expectation.template,
                          f"{len(expectation.requests)} requests"
                          if expectation.requests else ""))) or "all"
        share = sum(result.outcome == expectation.outcome
                    for result in request_results) / len(request_results)
        if share < expectation.min_share:
            yield (
                f"{expectation.place}: {selection}: {share:.1%} "
                f"{expectation.outcome}, expected {expectation.min_share:.1%}")
        yield from _find_late_requests(expectation, selection, request_results)


def _find_late_requests(
        expectation: trace_module.Expectation, selection: str,
        request_results: Sequence[results.Result]) -> Iterable[str]:
    if expectation.start_p99_s is not None:
        start_s = statistics.summarize(
            map(statistics.compute_wait, request_results)).p99
        if start_s > expectation.start_p99_s:
            yield (
                f"{expectation.place}: {selection}: p99 start {start_s:.2f} s, "
                f"expected {expectation.start_p99_s:.2f} s")
    if expectation.end_within_s is not None:
        end_s = max(math.inf if result.end_s is
                    None else statistics.compute_completion(result)
                    for result in request_results)
        if end_s > expectation.end_within_s:
            yield (f"{expectation.place}: {selection}: last outcome "
                   f"{end_s:.2f} s, "
                   f"expected {expectation.end_within_s:.2f} s")
