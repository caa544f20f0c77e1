"""A node without its sockets: intake for callers, dispatcher if it leads."""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
import random

import structlog

from trefoilroad_jobs import admission
from trefoilroad_jobs import configuration as configurations
from trefoilroad_jobs import dispatcher as dispatchers
from trefoilroad_jobs import intake as intakes
from trefoilroad_jobs import job_budget
from trefoilroad_jobs import leadership as leaderships
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import limits
from trefoilroad_jobs import ordering
from trefoilroad_jobs import planner
from trefoilroad_jobs import ports
from trefoilroad_jobs import status_lookups
from trefoilroad_jobs import status_reads
from trefoilroad_jobs import tables
from trefoilroad_jobs import waiting_counts
from trefoilroad_jobs import watch
from trefoilroad_jobs import workload
from trefoilroad_jobs import writes
from trefoilroad_node import links as node_links
from trefoilroad_node import metrics as sinks
from trefoilroad_node import timer

# Interval of the heartbeats between the leader and the other nodes.
HEARTBEAT_INTERVAL_S = 0.5
# A node whose last hello message is older than this gets no more heartbeats.
FOLLOWER_TIMEOUT_S = 3.0
# Wait for the leader's answer to a status request; then the store is read.
STATUS_TIMEOUT_S = 0.4
# Wait for the leader to write a row; the store may take a second for it.
RELAY_TIMEOUT_S = 1.0
# Longest wait for the replies to start commands before a planned stop, longer
# than the timeout of a command, and the interval of the checks.
START_SETTLE_TIMEOUT_S = 0.5
START_SETTLE_INTERVAL_S = 0.01
# Longest wait of each watch call. For the configuration it limits how long a
# node can use an old one unnoticed; the other waits only affect the number of
# calls.
CONFIG_WATCH_WAIT_S = 1.0
LEADER_WATCH_WAIT_S = 5.0
INTAKE_WATCH_WAIT_S = 2.0
WORKERS_WATCH_WAIT_S = 2.0

OnLeaderReply = Callable[[node_links.Message | None], None]

_log = structlog.get_logger()


class PlatformTables:
    """Tables that the platform writes, and the functions that decode them.

    Attributes:
        config_table: Table that holds the configuration.
        workers_table: Table of the registered workers.
        decode_configuration: Decodes the rows of the configuration table;
            returns None if there is no configuration yet.
        decode_evacuations: Returns the failure domains that the rows of the
            configuration table ask to evacuate.
        decode_worker: Decodes a registration; returns None if it is not that of
            a worker.
    """

    def __init__(self, *, config_table: str, workers_table: str,
                 decode_configuration: Callable[[dict[str, bytes]],
                                                configurations.Configuration |
                                                None],
                 decode_evacuations: Callable[[Mapping[str, bytes]],
                                              frozenset[str]],
                 decode_worker: Callable[[str, bytes], ports.Worker | None]):
        self.config_table = config_table
        self.workers_table = workers_table
        self.decode_configuration = decode_configuration
        self.decode_evacuations = decode_evacuations
        self.decode_worker = decode_worker


class Node:
    """One node: intake, leader election and, if it leads, the dispatcher.

    Attributes:
        configuration: Configuration in force.
        intake: Accepts, cancels and shows jobs.
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
        """Creates the parts of the node and starts the watches.

        Args:
            node_id: Name of the node.
            link: Its address for links, "host:port".
            takeover_delay_s: Additional wait before a takeover, in seconds.
            platform_tables: Tables that the platform writes.
            store: The store.
            workers: Sends commands to workers.
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
        self._platform_tables = platform_tables
        self._store = store
        self._workers = workers
        self._links = links
        self._timers = timers
        self._wall_clock = wall_clock
        self._bounds = bounds
        self._round_planner = round_planner or planner.Planner(
            order=ordering.WorthDensityOrder())
        self._metrics = metrics
        self._rng = rng
        self._config_rows: dict[str, bytes] = {}
        self._evacuations: frozenset[str] = frozenset()
        self._store_ms = 0.0
        self._store_read_s = timers.read_clock()
        self._waiting_counts = waiting_counts.WaitingCounts(store=store,
                                                            timers=timers)
        self._request_ids = itertools.count(1)
        self._requests: dict[int, OnLeaderReply] = {}
        self._followers: dict[str, float] = {}
        self._dispatcher: dispatchers.Dispatcher | None = None
        self._ledger: ledgers.Ledger | None = None
        self._leader_watches: list[watch.Watch] = []
        self._admission_control = admission.AdmissionControl(timers=timers)
        self._job_budget = job_budget.JobBudget(max_bytes=bounds.max_job_bytes)
        # Budgets of the other nodes, each of which may become the leader.
        self._follower_budgets: dict[str, int] = {}
        self.intake = intakes.Intake(
            store=store,
            timers=timers,
            metrics=metrics,
            ask_leader=self._ask_leader,
            read_leader=lambda: status_lookups.Leader(
                self.epoch, self._dispatcher is not None),
            read_store_ms=self._read_store_ms,
            relay=self._relay,
            admission_control=self._admission_control,
            budget=self._job_budget,
            list_teams=lambda: self.configuration.teams,
            on_row_written=self._notify_leader)
        self._leadership = leaderships.Leadership(
            node_id=node_id,
            link=link,
            store=store,
            timers=timers,
            rng=rng,
            takeover_delay_s=takeover_delay_s,
            bounds=bounds,
            on_gain=self._start_leading,
            on_loss=self._stop_leading)
        self._config_watch = self._start_watch(platform_tables.config_table,
                                               CONFIG_WATCH_WAIT_S,
                                               self._handle_config_snapshot,
                                               self._handle_config_change,
                                               self._forward_evacuations)
        self._leader_watch = self._start_watch(tables.LEADER_ROW[0],
                                               LEADER_WATCH_WAIT_S,
                                               self._handle_leader_snapshot,
                                               self._handle_leader_change)
        timers.call_every(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

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
        """Epoch of the leader as last seen by this node."""
        return self._leadership.leader.epoch

    def count_pending(self, queue: str, on_count: Callable[[int | None],
                                                           None]) -> None:
        """Gives the number of jobs of a queue that have not started.

        Args:
            queue: Name of the queue.
            on_count: Gets the number, or None if none is known that is recent
                enough.
        """

        def handle_answer(answer: waiting_counts.Answer) -> None:
            _log.info("waiting jobs counted",
                      queue=queue,
                      pending=answer.pending,
                      epoch=answer.epoch,
                      leading=self.leading,
                      age_s=round(min(answer.age_s, 1e6), 3),
                      source=answer.source)
            on_count(answer.pending)

        self._waiting_counts.count(queue, handle_answer)

    def begin_stop(self, on_done: Callable[[], None]) -> None:
        """Releases the leadership before a planned stop.

        Args:
            on_done: Called when the release has succeeded or failed.
        """
        self.stopping = True
        if self._dispatcher is not None:
            self._dispatcher.stop_starting()
        give_up_s = self._timers.read_clock() + START_SETTLE_TIMEOUT_S
        self._release_when_settled(give_up_s, on_done)

    def _release_when_settled(self, give_up_s: float,
                              on_done: Callable[[], None]) -> None:
        """Releases the leadership once no start command is unanswered.

        If one remains so, a successor is not told that it may take over at
        once: it could not know how long the run of that start may last.
        """
        doubtful = (self._dispatcher is not None and
                    self._dispatcher.has_doubtful_runs())
        if doubtful and self._timers.read_clock() < give_up_s:
            self._timers.call_later(
                START_SETTLE_INTERVAL_S,
                lambda: self._release_when_settled(give_up_s, on_done))
            return
        if doubtful:
            _log.warning("leadership not handed over, starts are unanswered")
        self._leadership.release(on_done, announce=not doubtful)

    def _start_watch(self,
                     table: str,
                     wait_s: float,
                     on_snapshot: watch.OnRows,
                     on_change: watch.OnRows,
                     on_fresh: watch.OnFresh | None = None,
                     after: int | None = None) -> watch.Watch:
        table_watch = watch.Watch(table=table,
                                  store=self._store,
                                  timers=self._timers,
                                  rng=self._rng,
                                  wait_s=wait_s,
                                  on_snapshot=on_snapshot,
                                  on_change=on_change,
                                  on_fresh=on_fresh,
                                  after=after)
        table_watch.begin()
        return table_watch

    # Configuration and leader.

    def _read_store_ms(self) -> float:
        elapsed_s = self._timers.read_clock() - self._store_read_s
        return self._store_ms + elapsed_s * 1000.0

    def _update_store_clock(self, rows: ports.Rows) -> None:
        self._store_ms = rows.store_ms
        self._store_read_s = self._timers.read_clock()

    def _handle_config_snapshot(self, rows: ports.Rows) -> None:
        self._config_rows = {}
        self._handle_config_change(rows)

    def _handle_config_change(self, rows: ports.Rows) -> None:
        self._update_store_clock(rows)
        watch.merge_rows(self._config_rows, rows.rows)
        self._evacuations = self._platform_tables.decode_evacuations(
            self._config_rows)
        configuration = self._platform_tables.decode_configuration(
            self._config_rows)
        if (configuration is None or
                configuration.version <= self.configuration.version):
            return
        _log.info("configuration in force",
                  version=configuration.version,
                  before=self.configuration.version,
                  queues=len(configuration.queues),
                  teams=len(configuration.teams),
                  store_version=rows.version)
        self.configuration = configuration
        if self._dispatcher is not None:
            self._dispatcher.update_configuration(configuration)

    def _forward_evacuations(self, fresh_s: float, version: int) -> None:
        """Passes on the evacuations, also if a reading shows no change."""
        if self._dispatcher is not None:
            self._dispatcher.update_evacuations(self._evacuations, fresh_s,
                                                version)

    def _handle_leader_snapshot(self, rows: ports.Rows) -> None:
        if not rows.rows:
            self._leadership.update_leader_row(None, 0)
        self._handle_leader_change(rows)

    def _handle_leader_change(self, rows: ports.Rows) -> None:
        for row in rows.rows:
            if row.key == tables.LEADER_ROW[1]:
                self._leadership.update_leader_row(row.value, row.version)
        if not self._leadership.leading:
            link = self._leadership.leader.link
            self._links.set_addresses({link} if link else set())

    # Leading.

    def _start_leading(self, takeover: leaderships.Takeover) -> None:
        self._links.set_addresses(set())
        self._followers = {}
        self._follower_budgets = {}
        ledger = ledgers.Ledger(store=self._store,
                                timers=self._timers,
                                epoch=takeover.epoch,
                                head_version=takeover.head_version,
                                claimed_s=takeover.claimed_s,
                                row_bytes=self._bounds.row_bytes,
                                on_newer_leader=self._leadership.step_down)
        dispatcher = dispatchers.Dispatcher(
            epoch=takeover.epoch,
            store=self._store,
            workers=self._workers,
            timers=self._timers,
            wall_clock=self._wall_clock,
            ledger=ledger,
            bounds=self._bounds,
            round_planner=self._round_planner,
            metrics=self._metrics,
            prior_leases_end_s=takeover.prior_leases_end_s,
            prior_released=takeover.prior_released,
            on_newer_leader=self._leadership.step_down)
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._waiting_counts.begin_leading(dispatcher, ledger)
        dispatcher.update_configuration(self.configuration)
        self._forward_evacuations(self._config_watch.fresh_s,
                                  self._config_watch.version)
        self._read_jobs(dispatcher)

    def _read_jobs(self, dispatcher: dispatchers.Dispatcher) -> None:
        """Reads the rows of all jobs, then watches for changes.

        The progress rows are read after the job rows: only this leader writes
        them and the rows of leases now, while nodes may still add jobs.
        """
        intake_rows: list[ports.Rows] = []
        lease_rows: list[ports.Rows] = []

        def read(table: str, on_rows: Callable[[ports.Rows], None],
                 failure: str) -> None:
            """Reads a table, again after each failure."""
            if dispatcher is not self._dispatcher:
                return

            def handle_result(result: ports.RowsResult) -> None:
                if dispatcher is not self._dispatcher:
                    return
                if isinstance(result, ports.Rows):
                    on_rows(result)
                    return
                _log.warning(failure, reason=str(result))
                self._timers.call_later(watch.WATCH_RETRY_BASE_S,
                                        lambda: read(table, on_rows, failure))

            dispatcher.record_read(table)
            self._store.read_all(table=table, on_done=handle_result)

        def on_intake_rows(rows: ports.Rows) -> None:
            intake_rows.append(rows)
            read(tables.LEASES, on_lease_rows, "leases cannot be read")

        def on_lease_rows(rows: ports.Rows) -> None:
            lease_rows.append(rows)
            read(tables.PROGRESS, on_progress_rows, "progress cannot be read")

        def on_progress_rows(result: ports.Rows) -> None:
            try:
                dispatcher.load(intake_rows[0], lease_rows[0], result)
            except Exception as error:
                # A leader that schedules nothing must not keep the lead.
                _log.exception("jobs cannot be loaded", error=repr(error))
                self._leadership.step_down("jobs cannot be loaded")
                return
            self._follow_jobs(dispatcher, intake_rows[0].version)

        self._follow_workers(dispatcher)
        read(tables.INTAKE, on_intake_rows, "jobs cannot be read")

    def _follow_jobs(self, dispatcher: dispatchers.Dispatcher,
                     after: int) -> None:
        """Watches the table of jobs; rows seen before have no effect.

        Args:
            dispatcher: Gets the rows.
            after: Version up to which the rows have been read. A second reading
                of a large table would hold up the first transactions.
        """

        def on_rows(rows: ports.Rows) -> None:
            dispatcher.apply_intake_rows(rows.rows)

        self._leader_watches.append(
            self._start_watch(tables.INTAKE,
                              INTAKE_WATCH_WAIT_S,
                              on_rows,
                              on_rows,
                              after=after))

    def _follow_workers(self, dispatcher: dispatchers.Dispatcher) -> None:
        workers: dict[str, ports.Worker] = {}

        def decode(row: ports.Row) -> ports.Worker | None:
            if row.value is None:
                return None
            try:
                return self._platform_tables.decode_worker(row.key, row.value)
            except Exception as error:
                # A row that others wrote must not hide the rows beside it.
                _log.exception("worker row cannot be decoded",
                               worker=row.key,
                               error=repr(error))
                return None

        def on_snapshot(rows: ports.Rows) -> None:
            workers.clear()
            for row in rows.rows:
                worker = decode(row)
                if worker is not None:
                    workers[row.key] = worker
            dispatcher.update_workers(workers)

        def on_change(rows: ports.Rows) -> None:
            # Each worker rewrites its row every second or two, mostly without
            # a change of interest. Only the rewritten rows are decoded, and
            # only a change leads to a round.
            changed = False
            for row in rows.rows:
                worker = decode(row)
                if worker == workers.get(row.key):
                    continue
                changed = True
                if worker is None:
                    del workers[row.key]
                else:
                    workers[row.key] = worker
            if changed:
                dispatcher.update_workers(workers)
            else:
                dispatcher.confirm_workers()

        self._leader_watches.append(
            self._start_watch(self._platform_tables.workers_table,
                              WORKERS_WATCH_WAIT_S, on_snapshot, on_change))

    def _stop_leading(self, reason: str) -> None:
        _log.warning("no longer leading", reason=reason)
        for table_watch in self._leader_watches:
            table_watch.close()
        self._leader_watches = []
        self._waiting_counts.end_leading()
        if self._dispatcher is not None:
            self._dispatcher.close()
        self._dispatcher = None
        self._ledger = None
        link = self._leadership.leader.link
        self._links.set_addresses({link} if link not in ("",
                                                         self._link) else set())

    # Messages between the leader and the other nodes.

    def _send_heartbeat(self) -> None:
        if self._dispatcher is None or self._ledger is None:
            link = self._leadership.leader.link
            if link:
                self._links.send(
                    link, {
                        "type": "hello",
                        "link": self._link,
                        "job_bytes": self._bounds.max_job_bytes
                    })
            return
        now_s = self._timers.read_clock()
        silent = [
            link for link, heard_s in self._followers.items()
            if now_s - heard_s > FOLLOWER_TIMEOUT_S
        ]
        for link in silent:
            del self._followers[link]
            self._follower_budgets.pop(link, None)
        if silent:
            self._links.set_addresses(set(self._followers))
        heartbeat: node_links.Message = {
            "type": "beat",
            "epoch": self._dispatcher.epoch,
            "head": self._ledger.head_version,
            "age_s": now_s - self._ledger.confirmed_s,
            "refused": self._ledger.is_store_refusing(),
        }
        if self._dispatcher.ready:
            heartbeat["pending"] = self._dispatcher.count_pending()
            capacities = self._dispatcher.list_worker_capacities()
            # The key "shapes" stands for the worker capacities.
            heartbeat["shapes"] = {
                service: [list(capacity) for capacity in service_capacities]
                for service, service_capacities in capacities.items()
            }
            self._admission_control.update_worker_capacities(capacities)
            held = self._dispatcher.describe_held_jobs(
                min([
                    self._bounds.max_job_bytes,
                    *self._follower_budgets.values()
                ]))
            heartbeat["held"] = list(held)
            self._job_budget.update(held)
            self._metrics.set_gauge("jobs.held_bytes", held.total_bytes)
        self._links.broadcast(heartbeat)

    def handle_message(self, message: node_links.Message) -> None:
        """Processes a message of another node.

        Args:
            message: The message.

        Raises:
            KeyError: If a field is missing.
            ValueError: If a field has the wrong type.
        """
        kind = message["type"]
        if kind == "hello":
            self._handle_hello(str(message["link"]), message.get("job_bytes"))
        elif kind == "beat":
            self._leadership.handle_heartbeat(int(message["epoch"]),
                                              int(message["head"]),
                                              float(message["age_s"]),
                                              bool(message["refused"]))
            if "pending" in message:
                self._handle_counts(message)
        elif kind == "row":
            if self._dispatcher is not None and self._dispatcher.ready:
                self._dispatcher.apply_intake_rows([
                    ports.Row(str(message["key"]), bytes(message["value"]), 0)
                ])
        elif kind == "ask":
            self._answer_status_request(message)
        elif kind == "write":
            self._write_for_node(message)
        elif kind in ("told", "written"):
            on_reply = self._requests.pop(int(message["id"]), None)
            if on_reply is not None:
                on_reply(message)

    def _handle_counts(self, message: node_links.Message) -> None:
        """Takes over what a heartbeat says, unless its leader is replaced."""
        epoch = int(message["epoch"])
        if epoch < self.epoch or not self._waiting_counts.handle_heartbeat(
                epoch, dict(message["pending"]), float(message["age_s"])):
            return
        if "held" in message:
            # A leader of an earlier release does not send it.
            max_bytes, total_bytes, large_bytes, *by_team = message["held"]
            team_bytes, small_bytes = by_team
            self._job_budget.update(
                job_budget.HeldJobs(int(max_bytes), int(total_bytes),
                                    int(large_bytes), dict(team_bytes),
                                    dict(small_bytes)))
        self._admission_control.update_worker_capacities({
            service: [
                workload.Demand(*capacity) for capacity in service_capacities
            ] for service, service_capacities in message["shapes"].items()
        })

    def _handle_hello(self, link: str, max_job_bytes: int | None) -> None:
        if self._dispatcher is None:
            return
        if max_job_bytes is not None:
            self._follower_budgets[link] = int(max_job_bytes)
        is_known = link in self._followers
        self._followers[link] = self._timers.read_clock()
        if not is_known:
            self._links.set_addresses(set(self._followers))

    def _notify_leader(self, key: str, value: bytes) -> None:
        """Sends a new row to the leader, before its watch returns the row."""
        if self._dispatcher is not None and self._dispatcher.ready:
            self._dispatcher.apply_intake_rows([ports.Row(key, value, 0)])
            return
        self._links.send(self._leadership.leader.link, {
            "type": "row",
            "key": key,
            "value": value
        })

    def _request(self, message: node_links.Message, timeout_s: float,
                 on_reply: OnLeaderReply) -> bool:
        """Sends a request to the leader.

        Args:
            message: The request, without its number and the sender's link.
            timeout_s: Longest wait for the reply, in seconds.
            on_reply: Gets the reply, or None if there is none in time.

        Returns:
            False if the link is down; `on_reply` is not called then.
        """
        number = next(self._request_ids)
        link = self._leadership.leader.link
        if not self._links.send(link, message | {
                "id": number,
                "link": self._link
        }):
            return False
        self._requests[number] = on_reply

        def give_up() -> None:
            pending = self._requests.pop(number, None)
            if pending is not None:
                pending(None)

        self._timers.call_later(timeout_s, give_up)
        return True

    def _ask_leader(self, job_id: str,
                    on_status: intakes.OnLeaderStatus) -> None:
        if self._dispatcher is not None:
            on_status(self._find_own_status(job_id))
            return

        def on_reply(reply: node_links.Message | None) -> None:
            if reply is None:
                on_status(status_lookups.NoLeaderStatus.SILENT)
                return
            status = status_reads.JobStatus(str(reply["state"]),
                                            str(reply["team"]))
            on_status(status if status.state else status_lookups.NoLeaderStatus.
                      JOB_UNKNOWN)

        if not self._request({
                "type": "ask",
                "job": job_id
        }, STATUS_TIMEOUT_S, on_reply):
            on_status(status_lookups.NoLeaderStatus.LINK_DOWN)

    def _relay(self, row: writes.RowWrite, on_done: ports.OnCommit) -> None:
        """Has the leader write a row that this node could not write."""
        if not self._leadership.is_leader_reachable():
            on_done(ports.StoreFailed("no leader in touch",
                                      maybe_written=False))
            return

        def on_reply(reply: node_links.Message | None) -> None:
            if reply is None:
                on_done(
                    ports.StoreFailed("the leader did not answer",
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
        if not self._request(message, RELAY_TIMEOUT_S, on_reply):
            on_done(
                ports.StoreFailed("no link to the leader", maybe_written=False))

    def _write_for_node(self, message: node_links.Message) -> None:
        """Writes a row for a node that cannot reach the store."""
        number = int(message["id"])
        link = str(message["link"])
        row = writes.RowWrite((str(message["table"]), str(message["key"])),
                              bytes(message["value"]),
                              bool(message["only_new"]))

        def send_result(result: ports.CommitResult) -> None:
            self._links.send(link, _encode_written(number, result))

        if self._dispatcher is None:
            send_result(ports.StoreFailed("not the leader",
                                          maybe_written=False))
        elif row.name[0] != tables.INTAKE:
            send_result(
                ports.StoreFailed("not a row of the intake table",
                                  maybe_written=False))
        else:
            writes.commit_row(self._store, row, send_result)

    def _answer_status_request(self, message: node_links.Message) -> None:
        status = self._find_own_status(str(message["job"]))
        if not isinstance(status, status_reads.JobStatus):
            status = status_reads.JobStatus("", "")
        self._links.send(
            str(message["link"]), {
                "type": "told",
                "id": message["id"],
                "state": status.state,
                "team": status.team
            })

    def _find_own_status(
            self, job_id: str
    ) -> status_reads.JobStatus | status_lookups.NoLeaderStatus:
        """Returns the status of a job if this node leads and knows it.

        Returns the reason otherwise, or if the leadership was not confirmed
        recently.
        """
        if self._dispatcher is None or self._ledger is None:
            return status_lookups.NoLeaderStatus.JOB_UNKNOWN
        age_s = self._timers.read_clock() - self._ledger.confirmed_s
        if not self._dispatcher.ready:
            return status_lookups.NoLeaderStatus.NOT_READY
        if age_s > leaderships.MAX_CONFIRM_AGE_S:
            return status_lookups.NoLeaderStatus.UNCONFIRMED
        state = self._dispatcher.get_state(job_id)
        if state is None:
            return status_lookups.NoLeaderStatus.JOB_UNKNOWN
        team = self._dispatcher.jobs[job_id].workload.team
        return status_reads.JobStatus(str(state), team)


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
