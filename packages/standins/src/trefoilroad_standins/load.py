"""Load tool: submits a schedule of requests and reports what callers see."""

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

MICROSECONDS = 1_000_000
LONGEST_US = 24 * 3600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99, 100)
# Latencies from the first submission to an event that the caller sees.
MEASURED = ("accepted", "running", "ended")


class Transport:
    """Sends requests to nodes and keeps connections open."""

    def __init__(self, *, timeout_s: float):
        """Opens no connection yet.

        Args:
            timeout_s: Seconds to wait for each step of an exchange.
        """
        limits = httpx.Limits(max_connections=None)
        self._client = httpx.Client(timeout=timeout_s, limits=limits)

    def send(self, exchange: session.Exchange) -> session.Answer:
        """Sends one request.

        Args:
            exchange: The request.

        Returns:
            The answer.
        """
        start_s = time.monotonic()
        try:
            reply = self._client.request(exchange.method,
                                         exchange.node + exchange.path,
                                         headers=exchange.headers,
                                         json=exchange.body)
        except httpx.TransportError:
            took_s = time.monotonic() - start_s
            return session.Answer(session.NO_ANSWER, took_s=took_s)
        took_s = time.monotonic() - start_s
        return session.Answer(reply.status_code, reply.content, took_s)


class Finished(NamedTuple):
    """A step that a thread has carried out.

    Attributes:
        position: Which session.
        next_s: When its next step is due, None at its end.
    """

    position: int
    next_s: float | None


def run_sessions(sessions: list[session.Session], *, threads: int) -> None:
    """Runs sessions to their ends.

    Args:
        sessions: The sessions; each starts at its entry's time from now.
        threads: Number of requests in flight at most.
    """
    start_s = time.monotonic()
    due = [(start_s + item.entry.at_s, index)
           for index, item in enumerate(sessions)]
    heapq.heapify(due)
    results: queue.SimpleQueue[Finished | BaseException] = queue.SimpleQueue()

    def step(index: int) -> None:
        try:
            next_s = sessions[index].step(time.monotonic())
            results.put(Finished(index, next_s))
        except BaseException as error:
            results.put(error)

    left = len(sessions)
    with futures.ThreadPoolExecutor(threads) as pool:
        while left:
            while due and due[0][0] <= time.monotonic():
                pool.submit(step, heapq.heappop(due)[1])
            result = wait_for_result(results, due)
            if isinstance(result, BaseException):
                raise result
            if result is not None and result.next_s is None:
                left -= 1
            elif result is not None and result.next_s is not None:
                heapq.heappush(due, (result.next_s, result.position))


def wait_for_result(
        results: "queue.SimpleQueue[Finished | BaseException]",
        due: list[tuple[float, int]]) -> Finished | BaseException | None:
    """Waits until a step has ended or the next one is due.

    Args:
        results: What threads have carried out.
        due: Heap of times and sessions.

    Returns:
        A result, or None if a step is due first.
    """
    wait_s = max(0.0, due[0][0] - time.monotonic()) if due else None
    try:
        return results.get(timeout=wait_s)
    except queue.Empty:
        return None


def build_table(sessions: Iterable[session.Session]) -> str:
    """Summarises sessions by team and template.

    Args:
        sessions: Ended sessions.

    Returns:
        Lines of text with outcomes, and latencies in seconds.
    """
    groups: dict[str, list[session.Session]] = {}
    for item in sessions:
        name = f"{item.entry.team}/{item.entry.body.get('template', '')}"
        groups.setdefault(name, []).append(item)
    heads = " ".join(f"{f'p{percent}':>9}" for percent in PERCENTILES)
    lines = [f"{'team/template':<32} {'latency to':<10} {'count':>7} {heads}"]
    for name, members in sorted(groups.items()):
        lines += build_latency_lines(name, members)
    lines.append(f"{'team/template':<32} {'outcome':<10} {'count':>7}")
    for name, members in sorted(groups.items()):
        outcomes = [str(item.outcome) for item in members]
        lines += [
            f"{name:<32} {outcome:<10} {outcomes.count(outcome):>7}"
            for outcome in sorted(set(outcomes))
        ]
    wrong = sum(
        item.wrong_answer for members in groups.values() for item in members)
    return "\n".join([*lines, f"wrong answers: {wrong}"])


def build_latency_lines(name: str, members: list[session.Session]) -> list[str]:
    """Formats the latencies of a group.

    Args:
        name: Name of the group.
        members: Its sessions.

    Returns:
        One line for each event that any of them has seen.
    """
    lines = []
    for event in MEASURED:
        times = histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        for item in members:
            if event in item.times_s:
                took_s = item.times_s[event] - item.times_s["sent"]
                times.record_value(max(1, round(took_s * MICROSECONDS)))
        if not times.get_total_count():
            continue
        figures = " ".join(
            f"{times.get_value_at_percentile(percent) / MICROSECONDS:9.3f}"
            for percent in PERCENTILES)
        count = times.get_total_count()
        lines.append(f"{name:<32} {event:<10} {count:>7} {figures}")
    return lines


def load_entries(schedule_file: TextIO | None, mix: pathlib.Path | None, *,
                 seed: int, count: int,
                 rate: float) -> list[schedule.ScheduledRequest]:
    """Reads a schedule or draws one.

    Args:
        schedule_file: Schedule of JSON lines, or None.
        mix: TOML file to draw from, used without a schedule.
        seed: Seed of the drawing.
        count: Number of requests to draw.
        rate: Mean arrivals a second.

    Returns:
        The entries by time.

    Raises:
        ProtocolError: If both files are absent or one is wrong.
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
        Token of each team.
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
              help="TOML file with `kinds` to draw a schedule from.")
@click.option("--seed", default=1, show_default=True)
@click.option("--count", default=100, show_default=True)
@click.option("--rate", default=5.0, show_default=True, help="A second.")
@click.option("--write-schedule",
              type=click.File("w"),
              help="Write the schedule here and submit nothing.")
@click.option("--history",
              "history_file",
              type=click.File("a"),
              help="Append-only JSON lines of what callers were told.")
@click.option("--threads", default=32, show_default=True)
@click.option("--timeout-s", default=5.0, show_default=True)
@click.option("--poll-s", default=0.25, show_default=True)
@click.option("--give-up-s", default=600.0, show_default=True)
def main(nodes: tuple[str, ...], tokens_file: pathlib.Path | None,
         schedule_file: TextIO | None, mix: pathlib.Path | None, seed: int,
         count: int, rate: float, write_schedule: TextIO | None,
         history_file: TextIO | None, threads: int, timeout_s: float,
         poll_s: float, give_up_s: float) -> None:
    """Submits requests to nodes, follows each to its end and reports.

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
        raise click.UsageError("--node and --tokens are needed")
    tokens = load_tokens(tokens_file)
    missing = {entry.team for entry in entries} - tokens.keys()
    if missing:
        raise click.UsageError(f"no token for {sorted(missing)}")
    sessions = build_sessions(entries,
                              nodes=list(nodes),
                              tokens=tokens,
                              send=Transport(timeout_s=timeout_s).send,
                              record=Recorder(history_file).append,
                              options=session.Options(poll_s, give_up_s),
                              seed=seed)
    run_sessions(sessions, threads=threads)
    click.echo(build_table(sessions))
    sys.exit(any(item.wrong_answer for item in sessions))


class Recorder:
    """A history that several threads append to."""

    def __init__(self, file: TextIO | None):
        """Uses an open file.

        Args:
            file: Where to append, None to keep nothing.
        """
        self._history = history.History(file)
        self._lock = threading.Lock()

    def append(self, record: dict[str, Any]) -> None:
        """Writes one record.

        Args:
            record: What a caller was told.
        """
        with self._lock:
            self._history.append(record)


def build_sessions(entries: list[schedule.ScheduledRequest], *,
                   nodes: list[str], tokens: dict[str, str], send: session.Send,
                   record: session.Record, options: session.Options,
                   seed: int) -> list[session.Session]:
    """Builds a session for each entry.

    Args:
        entries: The requests.
        nodes: URLs of the nodes.
        tokens: Token of each team.
        send: Sends a request to a node.
        record: Takes what callers are told.
        options: How callers behave.
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
