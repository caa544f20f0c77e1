"""One node without its sockets: intake for callers, dispatcher if it leads."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import structlog

from trefoilroad_jobs import admission
from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import dispatcher as dispatchers
from trefoilroad_jobs import intake as intakes
from trefoilroad_jobs import leadership as leaderships
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import tables
from trefoilroad_jobs import watch
from trefoilroad_jobs import workload
from trefoilroad_jobs import writes
from trefoilroad_node import links as node_links
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

# Interval of the beats between the leader and the other nodes.
BEAT_INTERVAL_S = 0.5
# A node that has not said hello for this long gets no more beats.
HELLO_LIMIT_S = 3.0
# Wait for the leader's answer to a question; then the store is read.
ASK_TIMEOUT_S = 0.4
# Wait for the leader to write a row; the store may take a second for it.
RELAY_TIMEOUT_S = 1.0
# Waits of the watches. That of the configuration bounds how old it can be
# without a node knowing; the others only cost calls.
CONFIG_WAIT_S = 1.0
LEADER_WAIT_S = 5.0
INTAKE_WAIT_S = 2.0
WORKERS_WAIT_S = 2.0

OnReply = Callable[[node_links.Message | None], None]

_log = structlog.get_logger()


class PlatformTables:
    """Tables that the platform writes, and how to read them.

    Attributes:
        config_table: Table that holds the configuration.
        workers_table: Table of the registered workers.
        decode_configuration: Reads the configuration from the table rows;
            None if there is none yet.
        decode_worker: Reads a registration; None if it names no worker.
    """

    def __init__(self, *, config_table: str, workers_table: str,
                 decode_configuration: Callable[[dict[str, bytes]],
                                                configurations.Configuration |
                                                None],
                 decode_worker: Callable[[str, bytes], ports.Worker | None]):
        self.config_table = config_table
        self.workers_table = workers_table
        self.decode_configuration = decode_configuration
        self.decode_worker = decode_worker


class Node:
    """All parts of one node.

    Attributes:
        configuration: Configuration in force.
        stopping: Whether a planned stop is under way.
    """

    def __init__(self,
                 *,
                 node_id: str,
                 link: str,
                 takeover_delay_s: float,
                 platform_tables: PlatformTables,
                 store: ports.Store,
                 workers: ports.Workers,
                 links: node_links.Links,
                 timers: timer.Timers,
                 wall_clock: ports.WallClock,
                 bounds: limits.Limits,
                 round_planner: planner.Planner | None = None,
                 metrics: sinks.Metrics,
                 rng: random.Random):
        """Joins the parts and begins to read.

        Args:
            node_id: Name of the node.
            link: Its address for links, "host:port".
            takeover_delay_s: How much longer it waits before it leads, in
                seconds.
            platform_tables: Tables that the platform writes.
            store: The store.
            workers: Sends orders to workers.
            links: Sends messages to other nodes.
            timers: Source of time.
            wall_clock: Source of the time of day.
            bounds: Time limits of the leader.
            round_planner: Plans rounds; the default if absent.
            metrics: Sink of metrics.
            rng: Source of jitter.
        """
        self.configuration = configurations.EMPTY
        self.stopping = False
        self._node_id = node_id
        self._link = link
        self._sources = platform_tables
        self._store = store
        self._workers = workers
        self._links = links
        self._timers = timers
        self._wall = wall_clock
        self._bounds = bounds
        self._plan = round_planner or planner.Planner(
            order=ordering.WorthDensity())
        self._metrics = metrics
        self._rng = rng
        self._config_rows: dict[str, bytes] = {}
        self._store_ms = 0.0
        self._store_read_s = timers.read_clock()
        self._pending: dict[str, int] = {}
        self._request_ids = itertools.count(1)
        self._requests: dict[int, OnReply] = {}
        self._followers: dict[str, float] = {}
        self._dispatcher: dispatchers.Dispatcher | None = None
        self._ledger: ledgers.Ledger | None = None
        self._leader_watches: list[watch.Watch] = []
        self._admission = admission.Admission(timers=timers)
        self.intake = intakes.Intake(store=store,
                                     timers=timers,
                                     metrics=metrics,
                                     ask_leader=self._ask_leader,
                                     read_store_ms=self._read_store_ms,
                                     relay=self._relay,
                                     admit=self._admission,
                                     on_accepted=self._notify_leader)
        self._leadership = leaderships.Leadership(
            node_id=node_id,
            link=link,
            store=store,
            timers=timers,
            rng=rng,
            takeover_delay_s=takeover_delay_s,
            authority_s=bounds.authority_s,
            on_gain=self._begin_lead,
            on_loss=self._end_lead)
        self._config_watch = self._watch(platform_tables.config_table,
                                         CONFIG_WAIT_S,
                                         self._take_config_content,
                                         self._take_config_change)
        self._leader_watch = self._watch(tables.LEADER_ROW[0], LEADER_WAIT_S,
                                         self._take_leader_content,
                                         self._take_leader_change)
        timers.call_every(BEAT_INTERVAL_S, self._send_beat)

    @property
    def config_fresh_s(self) -> float:
        """Time up to which all changes of the configuration are known."""
        return self._config_watch.fresh_s

    @property
    def leading(self) -> bool:
        """Whether this node leads."""
        return self._leadership.leading

    @property
    def epoch(self) -> int:
        """Epoch of the leader that this node knows."""
        return self._leadership.leader.epoch

    def count_pending(self, queue: str) -> int:
        """Returns the number of jobs of a queue that have not begun."""
        if self._dispatcher is not None and self._dispatcher.ready:
            return self._dispatcher.count_pending().get(queue, 0)
        return self._pending.get(queue, 0)

    def begin_stop(self, on_done: Callable[[], None]) -> None:
        """Hands the lead over before a planned stop.

        Args:
            on_done: Called when that is done or has failed.
        """
        self.stopping = True
        self._leadership.release(on_done)

    def _watch(self, table: str, wait_s: float, on_content: watch.OnRows,
               on_change: watch.OnRows) -> watch.Watch:
        follower = watch.Watch(table=table,
                               store=self._store,
                               timers=self._timers,
                               rng=self._rng,
                               wait_s=wait_s,
                               on_content=on_content,
                               on_change=on_change)
        follower.begin()
        return follower

    # Configuration and leader.

    def _read_store_ms(self) -> float:
        elapsed_s = self._timers.read_clock() - self._store_read_s
        return self._store_ms + elapsed_s * 1000.0

    def _update_store_clock(self, rows: ports.Rows) -> None:
        self._store_ms = rows.store_ms
        self._store_read_s = self._timers.read_clock()

    def _take_config_content(self, rows: ports.Rows) -> None:
        self._config_rows = {}
        self._take_config_change(rows)

    def _take_config_change(self, rows: ports.Rows) -> None:
        self._update_store_clock(rows)
        watch.merge_rows(self._config_rows, rows.rows)
        found = self._sources.decode_configuration(self._config_rows)
        if found is None or found.version <= self.configuration.version:
            return
        _log.info("configuration in force",
                  version=found.version,
                  before=self.configuration.version,
                  queues=len(found.queues),
                  teams=len(found.teams),
                  store_version=rows.version)
        self.configuration = found
        if self._dispatcher is not None:
            self._dispatcher.update_configuration(found)

    def _take_leader_content(self, rows: ports.Rows) -> None:
        if not rows.rows:
            self._leadership.see_row(None, 0)
        self._take_leader_change(rows)

    def _take_leader_change(self, rows: ports.Rows) -> None:
        for row in rows.rows:
            if row.key == tables.LEADER_ROW[1]:
                self._leadership.see_row(row.value, row.version)
        if not self._leadership.leading:
            link = self._leadership.leader.link
            self._links.set_addresses({link} if link else set())

    # Leading.

    def _begin_lead(self, epoch: int, head_version: int,
                    prior_authority_end_s: float) -> None:
        self._links.set_addresses(set())
        self._followers = {}
        ledger = ledgers.Ledger(store=self._store,
                                timers=self._timers,
                                epoch=epoch,
                                head_version=head_version,
                                on_newer_leader=self._leadership.lose)
        dispatcher = dispatchers.Dispatcher(
            epoch=epoch,
            store=self._store,
            workers=self._workers,
            timers=self._timers,
            wall_clock=self._wall,
            ledger=ledger,
            bounds=self._bounds,
            round_planner=self._plan,
            metrics=self._metrics,
            prior_authority_end_s=prior_authority_end_s,
            on_newer_leader=self._leadership.lose)
        self._ledger = ledger
        self._dispatcher = dispatcher
        dispatcher.update_configuration(self.configuration)
        self._read_jobs(dispatcher)

    def _read_jobs(self, dispatcher: dispatchers.Dispatcher) -> None:
        """Reads what earlier leaders left, then follows what changes.

        The rows of progress are read after those of the jobs: no other leader
        writes them now, while jobs may still be added.
        """
        intake: list[ports.Rows] = []

        def read() -> None:
            if dispatcher is self._dispatcher:
                self._store.read_all(table=tables.INTAKE, on_done=take_intake)

        def take_intake(result: Any) -> None:
            if not isinstance(result, ports.Rows):
                _log.warning("jobs cannot be read", reason=str(result))
                self._timers.call_later(watch.RETRY_BASE_S, read)
                return
            intake[:] = [result]
            self._store.read_all(table=tables.PROGRESS, on_done=take_progress)

        def take_progress(result: Any) -> None:
            if dispatcher is not self._dispatcher:
                return
            if not isinstance(result, ports.Rows):
                _log.warning("progress cannot be read", reason=str(result))
                self._timers.call_later(watch.RETRY_BASE_S, read)
                return
            dispatcher.load(intake[0], result)
            self._follow(dispatcher)

        self._follow_workers(dispatcher)
        read()

    def _follow(self, dispatcher: dispatchers.Dispatcher) -> None:
        """Follows the table of jobs; rows that are known change nothing."""

        def take(rows: ports.Rows) -> None:
            dispatcher.apply_intake_rows(rows.rows)

        self._leader_watches.append(
            self._watch(tables.INTAKE, INTAKE_WAIT_S, take, take))

    def _follow_workers(self, dispatcher: dispatchers.Dispatcher) -> None:
        content: dict[str, bytes] = {}

        def take_content(rows: ports.Rows) -> None:
            content.clear()
            take_change(rows)

        def take_change(rows: ports.Rows) -> None:
            watch.merge_rows(content, rows.rows)
            workers = {}
            for key, value in content.items():
                worker = self._sources.decode_worker(key, value)
                if worker is not None:
                    workers[key] = worker
            dispatcher.update_workers(workers)

        self._leader_watches.append(
            self._watch(self._sources.workers_table, WORKERS_WAIT_S,
                        take_content, take_change))

    def _end_lead(self, reason: str) -> None:
        _log.warning("no longer leading", reason=reason)
        for follower in self._leader_watches:
            follower.close()
        self._leader_watches = []
        if self._dispatcher is not None:
            self._dispatcher.close()
        self._dispatcher = None
        self._ledger = None
        link = self._leadership.leader.link
        self._links.set_addresses({link} if link not in ("",
                                                         self._link) else set())

    # Messages between the leader and the other nodes.

    def _send_beat(self) -> None:
        if self._dispatcher is None or self._ledger is None:
            link = self._leadership.leader.link
            if link:
                self._links.send(link, {"type": "hello", "link": self._link})
            return
        now_s = self._timers.read_clock()
        silent = [
            link for link, heard_s in self._followers.items()
            if now_s - heard_s > HELLO_LIMIT_S
        ]
        for link in silent:
            del self._followers[link]
        if silent:
            self._links.set_addresses(set(self._followers))
        beat: node_links.Message = {
            "type": "beat",
            "epoch": self._dispatcher.epoch,
            "head": self._ledger.head_version,
            "age_s": now_s - self._ledger.confirmed_s,
            "refused": self._ledger.is_refused(),
        }
        if self._dispatcher.ready:
            beat["pending"] = self._dispatcher.count_pending()
            shapes = self._dispatcher.list_worker_shapes()
            beat["shapes"] = {
                service: [list(shape) for shape in found]
                for service, found in shapes.items()
            }
            self._admission.see_shapes(shapes)
        self._links.broadcast(beat)

    def handle_message(self, message: node_links.Message) -> None:
        """Takes a message of another node.

        Args:
            message: The message.

        Raises:
            KeyError: If a field is missing.
            ValueError: If a field has the wrong type.
        """
        kind = message["type"]
        if kind == "hello":
            self._take_hello(str(message["link"]))
        elif kind == "beat":
            self._leadership.hear(int(message["epoch"]), int(message["head"]),
                                  float(message["age_s"]),
                                  bool(message["refused"]))
            if "pending" in message:
                self._pending = dict(message["pending"])
                self._admission.see_shapes({
                    service: [workload.Demand(*shape) for shape in found]
                    for service, found in message["shapes"].items()
                })
        elif kind == "row":
            if self._dispatcher is not None and self._dispatcher.ready:
                self._dispatcher.apply_intake_rows([
                    ports.Row(str(message["key"]), bytes(message["value"]), 0)
                ])
        elif kind == "ask":
            self._answer(message)
        elif kind == "write":
            self._write_for(message)
        elif kind in ("told", "written"):
            take = self._requests.pop(int(message["id"]), None)
            if take is not None:
                take(message)

    def _take_hello(self, link: str) -> None:
        if self._dispatcher is None:
            return
        known = link in self._followers
        self._followers[link] = self._timers.read_clock()
        if not known:
            self._links.set_addresses(set(self._followers))

    def _notify_leader(self, key: str, value: bytes) -> None:
        """Hastens what the leader would read from the store a little later."""
        if self._dispatcher is not None and self._dispatcher.ready:
            self._dispatcher.apply_intake_rows([ports.Row(key, value, 0)])
            return
        self._links.send(self._leadership.leader.link, {
            "type": "row",
            "key": key,
            "value": value
        })

    def _request(self, message: node_links.Message, timeout_s: float,
                 take: OnReply) -> bool:
        """Sends a request to the leader.

        Args:
            message: The request, without its number and the sender's link.
            timeout_s: Longest wait for the reply, in seconds.
            take: Gets the reply, or None if there is none in time.

        Returns:
            False if the link is down; nothing is called then.
        """
        number = next(self._request_ids)
        link = self._leadership.leader.link
        if not self._links.send(link, message | {
                "id": number,
                "link": self._link
        }):
            return False
        self._requests[number] = take

        def give_up() -> None:
            late = self._requests.pop(number, None)
            if late is not None:
                late(None)

        self._timers.call_later(timeout_s, give_up)
        return True

    def _ask_leader(self, job_id: str, take: intakes.OnTold) -> None:
        if self._dispatcher is not None:
            take(self._tell(job_id))
            return

        def take_reply(reply: node_links.Message | None) -> None:
            if reply is None:
                take(None)
            else:
                take(intakes.Ask(str(reply["state"]), str(reply["team"])))

        if not self._request({
                "type": "ask",
                "job": job_id
        }, ASK_TIMEOUT_S, take_reply):
            take(None)

    def _relay(self, row: writes.Row, on_done: ports.OnCommit) -> None:
        """Has the leader write a row that this node could not write."""
        if not self._leadership.is_leader_in_touch():
            on_done(ports.StoreFailed("no leader in touch",
                                      maybe_written=False))
            return

        def take_reply(reply: node_links.Message | None) -> None:
            if reply is None:
                on_done(
                    ports.StoreFailed("no answer of the leader",
                                      maybe_written=True))
            else:
                on_done(_decode_written(reply))

        message: node_links.Message = {
            "type": "write",
            "table": row.name[0],
            "key": row.name[1],
            "value": row.value,
            "only_new": row.only_new
        }
        if not self._request(message, RELAY_TIMEOUT_S, take_reply):
            on_done(
                ports.StoreFailed("no link to the leader", maybe_written=False))

    def _write_for(self, message: node_links.Message) -> None:
        """Writes a row for a node that cannot reach the store."""
        number = int(message["id"])
        link = str(message["link"])
        row = writes.Row((str(message["table"]), str(message["key"])),
                         bytes(message["value"]), bool(message["only_new"]))

        def take(result: ports.CommitResult) -> None:
            self._links.send(link, _encode_written(number, result))

        if self._dispatcher is None:
            take(ports.StoreFailed("not the leader", maybe_written=False))
        elif row.name[0] != tables.INTAKE:
            take(ports.StoreFailed("not a row of callers", maybe_written=False))
        else:
            writes.commit_row(self._store, row, take)

    def _answer(self, message: node_links.Message) -> None:
        told = self._tell(str(message["job"]))
        if told is None:
            told = intakes.Ask("", "")
        self._links.send(
            str(message["link"]), {
                "type": "told",
                "id": message["id"],
                "state": told.state,
                "team": told.team
            })

    def _tell(self, job_id: str) -> intakes.Ask | None:
        """Tells what this leader vouches for, or None."""
        if self._dispatcher is None or self._ledger is None:
            return None
        age_s = self._timers.read_clock() - self._ledger.confirmed_s
        if not self._dispatcher.ready or age_s > leaderships.VOUCH_S:
            return None
        state = self._dispatcher.get_state(job_id)
        if state is None:
            return None
        team = self._dispatcher.jobs[job_id].workload.team
        return intakes.Ask(str(state), team)


def _encode_written(number: int,
                    result: ports.CommitResult) -> node_links.Message:
    """Encodes the result of a write for another node."""
    message: node_links.Message = {"type": "written", "id": number}
    if isinstance(result, ports.Committed):
        message |= {"version": result.version, "store_ms": result.store_ms}
    elif isinstance(result, ports.StoreFailed):
        message |= {"reason": result.reason, "maybe": result.maybe_written}
    return message


def _decode_written(message: node_links.Message) -> ports.CommitResult:
    """Decodes the result of a write; the rows of a conflict are left out."""
    if "version" in message:
        return ports.Committed(int(message["version"]),
                               float(message["store_ms"]))
    if "reason" in message:
        return ports.StoreFailed(str(message["reason"]), bool(message["maybe"]))
    return ports.Conflict({})
