"""Runs the owner's state machine: feeds it events and executes its effects."""

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
# A new owner does not use an older VM list, as it may have after a freeze.
FLEET_MAX_AGE_S = 2.0
REQUEST_KEY_PREFIX = "request/"

_log = structlog.get_logger()


class RegionOwner:
    """Runs the owner of a region while this node owns the region.

    Attributes:
        core: State machine of the owner, None while this node is not the owner.
        fleet: Workers of the last VM list read, also while this node is not
            the owner.
    """

    def __init__(self, *, name: str, store: stores.Store,
                 workers: workers_module.Workers, timers: timer.Timers,
                 rng: random.Random, metrics: sinks.Metrics,
                 on_superseded: Callable[[str], None]):
        """Starts the timers; nothing is decided before `start`.

        Args:
            name: Name of the region.
            store: Table service and object store.
            workers: Sends commands to workers.
            timers: Clock and timers.
            rng: Source of jitter and tokens.
            metrics: Sink of metrics.
            on_superseded: Called with the reason when there is a newer owner.
        """
        self.core: owners.Owner | None = None
        self.fleet = fleet.Fleet(workers=())
        self._name = name
        self._store = store
        self._workers = workers
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._on_superseded = on_superseded
        self._fleet_read_s = float("-inf")
        self._published = publication.NOT_PUBLISHED
        self._read_version = 0
        self._is_reading = False
        timers.call_every(TICK_INTERVAL_S, self._tick)
        timers.call_every(REQUEST_POLL_INTERVAL_S, self.read_requests)

    def start(self, owner_row: ownership.OwnerRow) -> None:
        """Starts the owner under a new epoch."""
        self.core = owners.Owner(region=self._name,
                                 epoch=owner_row.epoch,
                                 owner_version=owner_row.version,
                                 policy=scheduler.build_default(),
                                 rng=self._rng,
                                 now_s=self._timers.read_clock())
        self._read_version = 0
        if self._timers.read_clock() - self._fleet_read_s < FLEET_MAX_AGE_S:
            self.update_workers(self.fleet)
        self.update_configuration(self._published)
        self.read_requests()

    def stop(self) -> None:
        """Stops the owner; attempts on workers continue to run."""
        self.core = None

    def update_configuration(
            self, published: publication.PublishedConfiguration) -> None:
        """Applies a newer configuration."""
        self._published = published
        self._handle_event(
            events.ConfigurationSeen(configuration=published.configuration,
                                     row_version=published.row_version))

    def update_workers(self, workers: fleet.Fleet) -> None:
        """Applies a newly read VM list."""
        self.fleet = workers
        self._fleet_read_s = self._timers.read_clock()
        self._workers.set_addresses({
            worker.worker_id: worker.address
            for worker in workers.workers.values()
        })
        self._handle_event(events.WorkersSeen(tuple(workers.workers.values())))

    def handle_request_row(self, record: request.Record, version: int) -> None:
        """Handles a request row that was read or that an edge reports."""
        self._handle_event(events.RequestSeen(record=record, version=version))

    def read_requests(self) -> None:
        """Reads the request rows that changed since the last read."""
        if self.core is None or self._is_reading:
            return
        self._is_reading = True
        core = self.core

        def handle_read_result(result: Any) -> None:
            self._is_reading = False
            if core is not self.core:
                self.read_requests()
            elif isinstance(result, stores.Rows):
                self._handle_rows(result)

        self._store.read_rows(REQUEST_KEY_PREFIX, self._read_version,
                              handle_read_result)

    def _handle_rows(self, rows: stores.Rows) -> None:
        self._read_version = rows.version
        for row in rows.rows:
            if row.value is None:
                continue
            try:
                record = request.parse_record(row.key, row.value)
            except errors.RecordError as error:
                _log.error("request row cannot be read", error=str(error))
                continue
            self.handle_request_row(record, row.version)
        self._handle_event(events.RequestsRead())

    def _tick(self) -> None:
        if self.core is None:
            return
        started_s = self._timers.read_clock()
        self._handle_event(events.Tick())
        self._metrics.time("owner.tick", self._timers.read_clock() - started_s)

    def _handle_event(self, event: events.Event) -> None:
        core = self.core
        if core is None:
            return
        for effect in core.handle(event, self._timers.read_clock()):
            self._execute(core, effect)

    def _deliver_result(self, core: owners.Owner, event: events.Event) -> None:
        """Handles the result of an effect, unless its owner was replaced."""
        if core is self.core:
            self._handle_event(event)

    def _execute(self, core: owners.Owner, effect: events.Effect) -> None:
        if isinstance(effect, events.Command):
            self._workers.send(effect,
                               lambda event: self._deliver_result(core, event))
        elif isinstance(effect, events.Commit):
            self._commit(core, effect)
        elif isinstance(effect, events.ReadRow):
            self._read_row(core, effect)
        elif isinstance(effect, events.StoreAnswer):
            self._store_answer(core, effect)
        else:
            self._on_superseded(effect.reason)

    def _commit(self, core: owners.Owner, effect: events.Commit) -> None:
        for key, value in effect.writes.items():
            _log.info("commit",
                      key=key,
                      epoch=core.epoch,
                      state=value["state"],
                      attempt=value["attempt"],
                      reason=value["reason"])
        self._store.commit(
            effect.conditions, effect.writes,
            lambda result: self._deliver_result(
                core, _build_commit_event(effect.commit_id, result)))

    def _read_row(self, core: owners.Owner, effect: events.ReadRow) -> None:

        def handle_read_result(result: Any) -> None:
            if isinstance(result, stores.Row):
                event: events.Event = events.RowRead(effect.commit_id,
                                                     result.value,
                                                     result.version)
            else:
                event = events.CommitLost(effect.commit_id)
            self._deliver_result(core, event)

        self._store.read_row(effect.key, handle_read_result)

    def _store_answer(self, core: owners.Owner,
                      effect: events.StoreAnswer) -> None:
        not_copied = events.AnswerLost(effect.attempt_id)

        def handle_fetched(data: bytes | None) -> None:
            if data is None or not is_whole(data, effect.answer):
                self._deliver_result(core, not_copied)
                return
            self._store.put_object(effect.answer["object"], data, handle_put)

        def handle_put(result: Any) -> None:
            answer_stored = events.AnswerStored(effect.attempt_id,
                                                effect.answer)
            failed = isinstance(result, Exception)
            self._deliver_result(core, not_copied if failed else answer_stored)

        self._workers.fetch_answer(effect.worker_id, effect.attempt_id,
                                   core.epoch, handle_fetched)


def is_whole(data: bytes, answer: request.AnswerReference) -> bool:
    """Returns whether an answer has the length and digest on record."""
    if len(data) != answer["length"]:
        return False
    return hashlib.sha256(data).hexdigest() == answer["sha256"]


def _build_commit_event(commit_id: int, result: Any) -> events.Event:
    if isinstance(result, int):
        return events.Committed(commit_id, result)
    if isinstance(result, errors.CommitConflict):
        return events.CommitRefused(commit_id, result.conflicts)
    return events.CommitLost(commit_id)
