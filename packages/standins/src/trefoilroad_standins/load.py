"""Load tool: submits a schedule of requests and reports latencies."""

from collections.abc import Iterable
from concurrent import futures
import heapq
import pathlib
import queue
import sys
import threading
import time
import tomllib
from typing import Any
from typing import NamedTuple
from typing import TextIO

import click
from hdrh import histogram
import httpx

from trefoilroad_core import errors
from trefoilroad_standins import history
from trefoilroad_standins import schedule
from trefoilroad_standins import session

US_PER_S = 1_000_000
MAX_LATENCY_US = 24 * 3600 * US_PER_S
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99, 100)
# Events whose latency from the first submission is reported, as callers see it.
LATENCY_EVENTS = ("accepted", "running", "ended")


class Transport:
    """HTTP client of the nodes with persistent connections."""

    def __init__(self, *, timeout_s: float):
        """Creates a client without open connections.

        Args:
            timeout_s: Time limit of connecting, of each read and of each write,
                in seconds.
        """
        limits = httpx.Limits(max_connections=None)
        self._client = httpx.Client(timeout=timeout_s, limits=limits)

    def send(self, http_request: session.HttpRequest) -> session.HttpResponse:
        """Sends one request.

        Args:
            http_request: The request.

        Returns:
            The response; its status is NO_RESPONSE after a transport error.
        """
        start_s = time.monotonic()
        try:
            response = self._client.request(http_request.method,
                                            http_request.node +
                                            http_request.path,
                                            headers=http_request.headers,
                                            json=http_request.body)
        except httpx.TransportError:
            took_s = time.monotonic() - start_s
            return session.HttpResponse(session.NO_RESPONSE, took_s=took_s)
        took_s = time.monotonic() - start_s
        return session.HttpResponse(response.status_code, response.content,
                                    took_s)


class StepResult(NamedTuple):
    """Result of a step of a session.

    Attributes:
        position: Index of the session.
        next_s: When its next step is due, on the monotonic clock; None if the
            session has ended.
    """

    position: int
    next_s: float | None


def run_sessions(sessions: list[session.Session], *, threads: int) -> None:
    """Runs sessions until all have ended.

    Args:
        sessions: The sessions; each starts at the time of its entry, from now.
        threads: Largest number of requests in flight.
    """
    start_s = time.monotonic()
    due = [(start_s + caller.entry.at_s, index)
           for index, caller in enumerate(sessions)]
    heapq.heapify(due)
    results: queue.SimpleQueue[StepResult | BaseException] = queue.SimpleQueue()

    def step(index: int) -> None:
        try:
            next_s = sessions[index].step(time.monotonic())
            results.put(StepResult(index, next_s))
        except BaseException as error:
            results.put(error)

    open_count = len(sessions)
    with futures.ThreadPoolExecutor(threads) as pool:
        while open_count:
            while due and due[0][0] <= time.monotonic():
                pool.submit(step, heapq.heappop(due)[1])
            result = wait_for_result(results, due)
            if isinstance(result, BaseException):
                raise result
            if result is not None and result.next_s is None:
                open_count -= 1
            elif result is not None and result.next_s is not None:
                heapq.heappush(due, (result.next_s, result.position))


def wait_for_result(
        results: "queue.SimpleQueue[StepResult | BaseException]",
        due: list[tuple[float, int]]) -> StepResult | BaseException | None:
    """Waits until a step has ended or the next one is due.

    Args:
        results: Results of the threads.
        due: Heap of pairs of due time and index of the session.

    Returns:
        A result, or None if the next step is due first.
    """
    wait_s = max(0.0, due[0][0] - time.monotonic()) if due else None
    try:
        return results.get(timeout=wait_s)
    except queue.Empty:
        return None


def build_report(sessions: Iterable[session.Session]) -> str:
    """Builds the report of all sessions, grouped by team and template.

    Args:
        sessions: Ended sessions.

    Returns:
        Text with percentiles of latencies in seconds, and outcomes.
    """
    groups: dict[str, list[session.Session]] = {}
    for caller in sessions:
        name = f"{caller.entry.team}/{caller.entry.body.get('template', '')}"
        groups.setdefault(name, []).append(caller)
    headers = " ".join(f"{f'p{percent}':>9}" for percent in PERCENTILES)
    lines = [f"{'team/template':<32} {'latency to':<10} {'count':>7} {headers}"]
    for name, group in sorted(groups.items()):
        lines += build_latency_lines(name, group)
    lines.append(f"{'team/template':<32} {'outcome':<10} {'count':>7}")
    for name, group in sorted(groups.items()):
        outcomes = [str(caller.outcome) for caller in group]
        lines += [
            f"{name:<32} {outcome:<10} {outcomes.count(outcome):>7}"
            for outcome in sorted(set(outcomes))
        ]
    wrong = sum(
        caller.wrong_answer for group in groups.values() for caller in group)
    return "\n".join([*lines, f"wrong answers: {wrong}"])


def build_latency_lines(name: str, group: list[session.Session]) -> list[str]:
    """Formats the latencies of a group.

    Args:
        name: Name of the group.
        group: Its sessions.

    Returns:
        One line for each event that occurred in any of the sessions.
    """
    lines = []
    for event in LATENCY_EVENTS:
        latencies_us = histogram.HdrHistogram(1, MAX_LATENCY_US,
                                              SIGNIFICANT_DIGITS)
        for caller in group:
            if event in caller.times_s:
                took_s = caller.times_s[event] - caller.times_s["sent"]
                latencies_us.record_value(max(1, round(took_s * US_PER_S)))
        if not latencies_us.get_total_count():
            continue
        columns = " ".join(
            f"{latencies_us.get_value_at_percentile(percent) / US_PER_S:9.3f}"
            for percent in PERCENTILES)
        count = latencies_us.get_total_count()
        lines.append(f"{name:<32} {event:<10} {count:>7} {columns}")
    return lines


def load_entries(schedule_file: TextIO | None, mix: pathlib.Path | None, *,
                 seed: int, count: int,
                 rate: float) -> list[schedule.ScheduledRequest]:
    """Reads a schedule or generates one.

    Args:
        schedule_file: Schedule of JSON lines, or None.
        mix: TOML file to generate a schedule from, if there is none.
        seed: Seed of the generated schedule.
        count: Number of requests to generate.
        rate: Mean arrival rate in requests per second.

    Returns:
        The requests in the order of their times.

    Raises:
        ProtocolError: If both files are absent or one is invalid.
    """
    if schedule_file is not None:
        return schedule.parse_entries(schedule_file)
    if mix is None:
        raise errors.ProtocolError("neither a schedule nor a mix is given")
    kinds = schedule.parse_kinds(tomllib.loads(mix.read_text()))
    return schedule.generate_entries(kinds,
                                     seed=seed,
                                     count=count,
                                     rate_per_s=rate)


def load_tokens(path: pathlib.Path) -> dict[str, str]:
    """Reads the bearer tokens from a TOML table `tokens`.

    Args:
        path: The file.

    Returns:
        Tokens by team.
    """
    tokens: dict[str, str] = tomllib.loads(path.read_text())["tokens"]
    return tokens


@click.command()
@click.option("--node",
              "nodes",
              multiple=True,
              help="URL of a node; repeat for each.")
@click.option("--tokens",
              "tokens_file",
              type=click.Path(exists=True, path_type=pathlib.Path),
              help="TOML file with a table `tokens`: team = token.")
@click.option("--schedule",
              "schedule_file",
              type=click.File(),
              help="JSON lines to submit.")
@click.option("--mix",
              type=click.Path(exists=True, path_type=pathlib.Path),
              help="TOML file with `kinds` to generate a schedule from.")
@click.option("--seed", default=1, show_default=True)
@click.option("--count", default=100, show_default=True)
@click.option("--rate",
              default=5.0,
              show_default=True,
              help="Requests per second.")
@click.option("--write-schedule",
              type=click.File("w"),
              help="Write the schedule here and submit nothing.")
@click.option("--history",
              "history_file",
              type=click.File("a"),
              help="File to append the callers' history to, as JSON lines.")
@click.option("--threads", default=32, show_default=True)
@click.option("--timeout-s", default=5.0, show_default=True)
@click.option("--poll-s", default=0.25, show_default=True)
@click.option("--give-up-s", default=600.0, show_default=True)
def main(nodes: tuple[str, ...], tokens_file: pathlib.Path | None,
         schedule_file: TextIO | None, mix: pathlib.Path | None, seed: int,
         count: int, rate: float, write_schedule: TextIO | None,
         history_file: TextIO | None, threads: int, timeout_s: float,
         poll_s: float, give_up_s: float) -> None:
    """Submits requests to nodes, polls each to its end and reports.

    The exit status is 1 if a caller received a wrong answer.
    """
    try:
        entries = load_entries(schedule_file,
                               mix,
                               seed=seed,
                               count=count,
                               rate=rate)
    except errors.ProtocolError as error:
        raise click.UsageError(str(error)) from error
    if write_schedule is not None:
        for entry in entries:
            write_schedule.write(schedule.format_entry(entry) + "\n")
        return
    if not nodes or tokens_file is None:
        raise click.UsageError("--node and --tokens are required")
    tokens = load_tokens(tokens_file)
    missing = {entry.team for entry in entries} - tokens.keys()
    if missing:
        raise click.UsageError(f"no token for {sorted(missing)}")
    sessions = build_sessions(entries,
                              nodes=list(nodes),
                              tokens=tokens,
                              send=Transport(timeout_s=timeout_s).send,
                              record=SharedHistory(history_file).append,
                              options=session.CallerOptions(poll_s, give_up_s),
                              seed=seed)
    run_sessions(sessions, threads=threads)
    click.echo(build_report(sessions))
    sys.exit(any(caller.wrong_answer for caller in sessions))


class SharedHistory:
    """A history that several threads can append to."""

    def __init__(self, file: TextIO | None):
        """Creates a history.

        Args:
            file: Open file to append to; with None, entries are discarded.
        """
        self._history = history.History(file)
        self._lock = threading.Lock()

    def append(self, record: dict[str, Any]) -> None:
        """Writes one entry.

        Args:
            record: The entry.
        """
        with self._lock:
            self._history.append(record)


def build_sessions(entries: list[schedule.ScheduledRequest], *,
                   nodes: list[str], tokens: dict[str, str], send: session.Send,
                   record: session.RecordEvent, options: session.CallerOptions,
                   seed: int) -> list[session.Session]:
    """Builds a session for each entry.

    Args:
        entries: The requests.
        nodes: URLs of the nodes.
        tokens: Tokens by team.
        send: Sends a request to a node.
        record: Receives the history entries.
        options: Options of the callers.
        seed: Seed of the sessions.

    Returns:
        The sessions, in the order of the entries.
    """
    return [
        session.Session(entry=entry,
                        nodes=nodes,
                        token=tokens[entry.team],
                        send=send,
                        record=record,
                        options=options,
                        seed=seed) for entry in entries
    ]


if __name__ == "__main__":
    main()
