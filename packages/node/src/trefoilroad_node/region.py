"""Runs the owner's decisions: turns its effects into calls and back."""

from collections.abc import Callable
import hashlib
import random
from typing import Any

import structlog

from trefoilroad_core import errors
from trefoilroad_core import events
from trefoilroad_core import fleet
from trefoilroad_core import owner as owners
from trefoilroad_core import request
from trefoilroad_core import scheduler
from trefoilroad_node import metrics as sinks
from trefoilroad_node import ownership
from trefoilroad_node import publication
from trefoilroad_node import store as stores
from trefoilroad_node import timer
from trefoilroad_node import workers as workers_module

TICK_INTERVAL_S = 0.05
REQUEST_POLL_INTERVAL_S = 1.0
# An older reading of the VM list, as after a freeze, is not used to begin with.
FLEET_MAX_AGE_S = 2.0
REQUEST_PREFIX = "request/"

_log = structlog.get_logger()


class Region:
    """The owner's work on this node, for as long as it owns the region."""

    def __init__(self, *, name: str, store: stores.Store,
                 workers: workers_module.Workers, timers: timer.Timers,
                 rng: random.Random, metrics: sinks.Metrics,
                 on_deposed: Callable[[str], None]):
        """Prepares the work; `begin` starts it.

        Args:
            name: Region.
            store: Table service and object store.
            workers: Sends commands to workers.
            timers: Source of time.
            rng: Source of jitter and tokens.
            metrics: Sink of metrics.
            on_deposed: Called when something shows a newer owner.
        """
        self.core: owners.Owner | None = None
        self.fleet = fleet.Fleet(workers=())
        self._name = name
        self._store = store
        self._workers = workers
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._on_deposed = on_deposed
        self._fleet_read_s = float("-inf")
        self._published = publication.NOTHING
        self._since = 0
        self._reading = False
        timers.call_every(TICK_INTERVAL_S, self._tick)
        timers.call_every(REQUEST_POLL_INTERVAL_S, self.read_requests)

    def begin(self, owner: ownership.Owner) -> None:
        """Starts to decide under a new epoch."""
        self.core = owners.Owner(region=self._name,
                                 epoch=owner.epoch,
                                 owner_version=owner.version,
                                 policy=scheduler.build_default(),
                                 rng=self._rng,
                                 now_s=self._timers.read_clock())
        self._since = 0
        if self._timers.read_clock() - self._fleet_read_s < FLEET_MAX_AGE_S:
            self.see_workers(self.fleet)
        self.see_configuration(self._published)
        self.read_requests()

    def end(self) -> None:
        """Stops to decide; what runs goes on without this node."""
        self.core = None

    def see_configuration(self, published: publication.Published) -> None:
        """Takes over a newer configuration."""
        self._published = published
        self._feed(
            events.ConfigurationSeen(configuration=published.configuration,
                                     row_version=published.row_version))

    def see_workers(self, workers: fleet.Fleet) -> None:
        """Takes over a new reading of the VM list."""
        self.fleet = workers
        self._fleet_read_s = self._timers.read_clock()
        self._workers.set_addresses({
            worker.worker_id: worker.address
            for worker in workers.workers.values()
        })
        self._feed(events.WorkersSeen(tuple(workers.workers.values())))

    def see_request(self, record: request.Record, version: int) -> None:
        """Takes over a row that an edge has written."""
        self._feed(events.RequestSeen(record=record, version=version))

    def read_requests(self) -> None:
        """Reads the rows that changed since the last time."""
        if self.core is None or self._reading:
            return
        self._reading = True
        core = self.core

        def take(result: Any) -> None:
            self._reading = False
            if core is not self.core:
                self.read_requests()
            elif isinstance(result, stores.Rows):
                self._take_rows(result)

        self._store.read_rows(REQUEST_PREFIX, self._since, take)

    def _take_rows(self, rows: stores.Rows) -> None:
        self._since = rows.version
        for row in rows.rows:
            if row.value is None:
                continue
            try:
                record = request.parse_record(row.key, row.value)
            except errors.RecordError as error:
                _log.error("request row cannot be read", error=str(error))
                continue
            self.see_request(record, row.version)
        self._feed(events.RequestsRead())

    def _tick(self) -> None:
        if self.core is None:
            return
        begin_s = self._timers.read_clock()
        self._feed(events.Tick())
        self._metrics.time("owner.tick", self._timers.read_clock() - begin_s)

    def _feed(self, event: events.Event) -> None:
        core = self.core
        if core is None:
            return
        for effect in core.handle(event, self._timers.read_clock()):
            self._run(core, effect)

    def _feed_to(self, core: owners.Owner, event: events.Event) -> None:
        """Feeds a result to the owner that asked, if it is still the one."""
        if core is self.core:
            self._feed(event)

    def _run(self, core: owners.Owner, effect: events.Effect) -> None:
        if isinstance(effect, events.Command):
            self._workers.send(effect, lambda event: self._feed_to(core, event))
        elif isinstance(effect, events.Commit):
            self._commit(core, effect)
        elif isinstance(effect, events.ReadRow):
            self._read_row(core, effect)
        elif isinstance(effect, events.StoreAnswer):
            self._store_answer(core, effect)
        else:
            self._on_deposed(effect.reason)

    def _commit(self, core: owners.Owner, effect: events.Commit) -> None:
        for key, value in effect.writes.items():
            _log.info("commit",
                      key=key,
                      epoch=core.epoch,
                      state=value["state"],
                      attempt=value["attempt"],
                      reason=value["reason"])
        self._store.commit(
            effect.conditions, effect.writes, lambda result: self._feed_to(
                core, _judge_commit(effect.commit_id, result)))

    def _read_row(self, core: owners.Owner, effect: events.ReadRow) -> None:

        def take(result: Any) -> None:
            if isinstance(result, stores.Row):
                event: events.Event = events.RowRead(effect.commit_id,
                                                     result.value,
                                                     result.version)
            else:
                event = events.CommitLost(effect.commit_id)
            self._feed_to(core, event)

        self._store.read_row(effect.key, take)

    def _store_answer(self, core: owners.Owner,
                      effect: events.StoreAnswer) -> None:
        lost = events.AnswerLost(effect.attempt_id)

        def put(data: bytes | None) -> None:
            if data is None or not is_whole(data, effect.answer):
                self._feed_to(core, lost)
                return
            self._store.put_object(effect.answer["object"], data, finish)

        def finish(result: Any) -> None:
            stored = events.AnswerStored(effect.attempt_id, effect.answer)
            failed = isinstance(result, Exception)
            self._feed_to(core, lost if failed else stored)

        self._workers.fetch_answer(effect.worker_id, effect.attempt_id,
                                   core.epoch, put)


def is_whole(data: bytes, answer: request.AnswerReference) -> bool:
    """Tells whether an answer has the length and digest on record."""
    if len(data) != answer["length"]:
        return False
    return hashlib.sha256(data).hexdigest() == answer["sha256"]


def _judge_commit(commit_id: int, result: Any) -> events.Event:
    if isinstance(result, int):
        return events.Committed(commit_id, result)
    if isinstance(result, errors.CommitConflict):
        return events.CommitRefused(commit_id, result.conflicts)
    return events.CommitLost(commit_id)
