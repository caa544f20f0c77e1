"""A node without its sockets: connects its parts and routes messages."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import structlog

from trefoilroad_core import errors
from trefoilroad_core import fleet
from trefoilroad_core import owner as owners
from trefoilroad_core import request
from trefoilroad_core import submission
from trefoilroad_node import edge as edges
from trefoilroad_node import links as node_links
from trefoilroad_node import membership
from trefoilroad_node import metrics as sinks
from trefoilroad_node import operations
from trefoilroad_node import ownership
from trefoilroad_node import publication
from trefoilroad_node import region as regions
from trefoilroad_node import settings as node_settings
from trefoilroad_node import store as stores
from trefoilroad_node import timer
from trefoilroad_node import workers as node_workers

VM_POLL_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5
EXPLAIN_TIMEOUT_S = 2.0

_log = structlog.get_logger()


class Node:
    """An edge for callers that may also become the owner of the region."""

    def __init__(self, *, settings: node_settings.Settings, link_address: str,
                 timers: timer.Timers, store: stores.Store,
                 workers: node_workers.Workers, links: node_links.Links,
                 metrics: sinks.Metrics, rng: random.Random):
        """Connects the parts and starts to poll the store.

        Args:
            settings: Settings of the node.
            link_address: Link address of this node with its bound port.
            timers: Clock and timers.
            store: The platform's services.
            workers: Sends commands to workers.
            links: Sends messages to other nodes.
            metrics: Sink of metrics.
            rng: Source of jitter and tokens.
        """
        self._settings = settings
        self._link_address = link_address
        self._timers = timers
        self._store = store
        self._links = links
        self._metrics = metrics
        self._queue_counts = submission.QueueCounts()
        self._explain_ids = itertools.count(1)
        self._pending_explains: dict[int, Callable[[str], None]] = {}
        self.edge = edges.Edge(store=store,
                               timers=timers,
                               rng=rng,
                               metrics=metrics,
                               queue_counts=self._queue_counts,
                               on_written=self._notify_owner)
        self.region = regions.RegionOwner(
            name=settings.region,
            store=store,
            workers=workers,
            timers=timers,
            rng=rng,
            metrics=metrics,
            on_superseded=lambda reason: self.ownership.step_down(reason))
        self.publication = publication.Publication(
            store=store,
            timers=timers,
            rng=rng,
            on_change=self._apply_configuration)
        self.edge.refresh_configuration = self.publication.refresh
        self.ownership = ownership.Ownership(
            region=settings.region,
            node_id=settings.node_id,
            link=link_address,
            store=store,
            timers=timers,
            rng=rng,
            on_gain=self.region.start,
            on_loss=lambda _: self.region.stop())
        self.membership = membership.Membership(node_id=settings.node_id,
                                                link=link_address,
                                                seeds=settings.peers,
                                                store=store,
                                                timers=timers,
                                                on_change=links.set_addresses)
        self.operations = operations.Operations(
            settings=settings,
            publication=self.publication,
            region=self.region,
            owner=lambda: self.ownership.owner,
            store=store,
            edge=self.edge,
            ask_for_explanation=self._ask_for_explanation)
        timers.call_every(VM_POLL_INTERVAL_S, self._read_vms)
        timers.call_every(HEARTBEAT_INTERVAL_S, self._send_heartbeat)
        self.publication.refresh()
        self._read_vms()

    def begin_stop(self, on_done: Callable[[], None]) -> None:
        """Starts a planned stop: becomes unready and releases the ownership.

        Args:
            on_done: Called when the ownership is released or that failed.
        """
        self.operations.stopping = True
        self.membership.withdraw()
        self.region.stop()
        self.ownership.release(on_done)

    def handle_message(self, message: node_links.Message) -> None:
        """Handles a message from another node.

        Args:
            message: The message.

        Raises:
            RecordError: If it contains a malformed record.
            KeyError: If a field is missing.
            ValueError: If a field has the wrong type.
        """
        message_type = message["type"]
        if message_type == "submitted":
            record = request.parse_record("link message", message["record"])
            self.region.handle_request_row(record, int(message["version"]))
        elif message_type == "beat":
            self._handle_heartbeat(message)
        elif message_type == "config" and "documents" in message:
            self.publication.apply_if_newer(
                {
                    "documents": message["documents"],
                    "version": int(message["number"])
                }, int(message["version"]))
        elif message_type == "config":
            self._refresh_if_outdated(int(message["version"]))
        elif message_type == "explain":
            self._handle_explain(message)
        elif message_type == "explanation":
            on_explanation = self._pending_explains.pop(int(message["id"]),
                                                        None)
            if on_explanation is not None:
                on_explanation(str(message["text"]))

    # Reads of the store and notifications of other nodes.

    def _read_vms(self) -> None:
        self._store.list_vms(self._handle_vms)

    def _handle_vms(self, result: Any) -> None:
        if isinstance(result, Exception):
            return
        workers = []
        for entry in result:
            try:
                workers.append(fleet.parse_worker(entry))
            except errors.RecordError as error:
                _log.error("VM list entry cannot be read", error=str(error))
        self.region.update_workers(fleet.Fleet(workers=workers))

    def _apply_configuration(
            self, published: publication.PublishedConfiguration) -> None:
        self.edge.published = published
        self.region.update_configuration(published)
        self._links.broadcast({
            "type": "config",
            "version": published.row_version
        })

    def _notify_owner(self, record: request.Record, version: int) -> None:
        if self.region.core is not None:
            self.region.handle_request_row(record, version)
        else:
            self._links.send(self.ownership.owner.link, {
                "type": "submitted",
                "record": record,
                "version": version
            })

    def _send_heartbeat(self) -> None:
        """Keeps the links open and announces epoch and configuration version.

        The owner adds the number of waiting requests by team and caller. Its
        lease does not depend on this message but on the row `beat/<region>`.
        """
        message: dict[str, Any] = {
            "type": "beat",
            "node": self._settings.node_id,
            "link": self._link_address,
            "epoch": self.ownership.owner.epoch,
            "config": self.publication.current.row_version
        }
        core = self.region.core
        if core is not None:
            counts = core.count_waiting()
            self._queue_counts.update_announced(counts)
            self._report_metrics(core, sum(counts.values()))
            message["waiting"] = [[team, caller, count]
                                  for (team, caller), count in counts.items()]
        self._links.broadcast(message)

    def _report_metrics(self, core: owners.Owner, waiting: int) -> None:
        self._metrics.set_gauge("owner.epoch", core.epoch)
        # These are the open requests of the region.
        self._metrics.set_gauge("owner.jobs", len(core.jobs))
        self._metrics.set_gauge("owner.waiting", waiting)
        self._metrics.set_gauge("owner.store_suspect", int(core.store_suspect))
        self._metrics.set_gauge("owner.workers_excluded",
                                len(core.find_excluded()))

    def _handle_heartbeat(self, message: node_links.Message) -> None:
        if int(message["epoch"]) > self.ownership.owner.epoch:
            self.ownership.step_down("another node reported a newer epoch")
        if int(message["config"]) == 0:
            self._send_configuration(message["link"])
        self._refresh_if_outdated(int(message["config"]))
        if "waiting" in message and self.region.core is None:
            self._queue_counts.update_announced({
                (str(team), str(caller)): int(count)
                for team, caller, count in message["waiting"]
            })

    def _send_configuration(self, link: str) -> None:
        """Sends the documents to a node that has none.

        A node that started in a store outage cannot read them itself.
        """
        current = self.publication.current
        if current.row_version > 0:
            self._links.send(
                link, {
                    "type": "config",
                    "version": current.row_version,
                    "number": current.configuration.version,
                    "documents": dict(current.documents)
                })

    def _refresh_if_outdated(self, row_version: int) -> None:
        if row_version > self.publication.current.row_version:
            self.publication.refresh()

    # Explanations of requests, which only the owner can give.

    def _ask_for_explanation(self, request_id: str,
                             on_explanation: Callable[[str], None]) -> None:
        if self.region.core is not None:
            on_explanation(self._explain(request_id))
            return
        explain_id = next(self._explain_ids)
        self._pending_explains[explain_id] = on_explanation
        sent = self._links.send(
            self.ownership.owner.link, {
                "type": "explain",
                "id": explain_id,
                "request_id": request_id,
                "reply_to": self._link_address
            })
        delay_s = EXPLAIN_TIMEOUT_S if sent else 0.0
        self._timers.call_later(delay_s,
                                lambda: self._time_out_explain(explain_id))

    def _time_out_explain(self, explain_id: int) -> None:
        on_explanation = self._pending_explains.pop(explain_id, None)
        if on_explanation is not None:
            on_explanation(
                "the owner of the region cannot be reached at the moment")

    def _handle_explain(self, message: node_links.Message) -> None:
        self._links.send(
            message["reply_to"], {
                "type": "explanation",
                "id": message["id"],
                "text": self._explain(str(message["request_id"]))
            })

    def _explain(self, request_id: str) -> str:
        core = self.region.core
        if core is None or request_id not in core.jobs:
            return "is not known to the owner yet"
        return core.explain(request_id)
