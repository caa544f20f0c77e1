"""One node without its sockets: joins the parts and routes messages."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import structlog

from trefoilroad_core import errors
from trefoilroad_core import fleet
from trefoilroad_core import owner as owner_module
from trefoilroad_core import request
from trefoilroad_core import submission
from trefoilroad_node import edge as edges
from trefoilroad_node import links as node_links
from trefoilroad_node import membership as members
from trefoilroad_node import metrics as sinks
from trefoilroad_node import operations
from trefoilroad_node import ownership as owners
from trefoilroad_node import publication
from trefoilroad_node import region as regions
from trefoilroad_node import settings as node_settings
from trefoilroad_node import store as stores
from trefoilroad_node import timer
from trefoilroad_node import workers as node_workers

VM_POLL_INTERVAL_S = 1.0
BEAT_INTERVAL_S = 0.5
EXPLAIN_TIMEOUT_S = 2.0

_log = structlog.get_logger()


class Node:
    """An edge for callers, and the owner of the region when it is its turn."""

    def __init__(self, *, settings: node_settings.Settings, link_address: str,
                 timers: timer.Timers, store: stores.Store,
                 workers: node_workers.Workers, links: node_links.Links,
                 metrics: sinks.Metrics, rng: random.Random):
        """Joins the parts and begins to read.

        Args:
            settings: Settings of the node.
            link_address: Address for other nodes, with the port bound.
            timers: Source of time.
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
        self._counts = submission.QueueCounts()
        self._question_ids = itertools.count(1)
        self._questions: dict[int, Callable[[str], None]] = {}
        self.edge = edges.Edge(store=store,
                               timers=timers,
                               rng=rng,
                               metrics=metrics,
                               counts=self._counts,
                               on_accepted=self._notify_owner)
        self.region = regions.Region(
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
            on_change=self._take_configuration)
        self.edge.refresh_configuration = self.publication.refresh
        self.ownership = owners.Ownership(region=settings.region,
                                          node_id=settings.node_id,
                                          link=link_address,
                                          store=store,
                                          timers=timers,
                                          rng=rng,
                                          on_gain=self.region.start,
                                          on_loss=lambda _: self.region.stop())
        self.membership = members.Membership(node_id=settings.node_id,
                                             link=link_address,
                                             seeds=settings.peers,
                                             store=store,
                                             timers=timers,
                                             on_change=links.set_addresses)
        self.operations = operations.Operations(
            settings=settings,
            published=self.publication,
            region=self.region,
            owner=lambda: self.ownership.owner,
            store=store,
            edge=self.edge,
            ask_owner=self._ask_owner)
        timers.call_every(VM_POLL_INTERVAL_S, self._read_vms)
        timers.call_every(BEAT_INTERVAL_S, self._send_beat)
        self.publication.refresh()
        self._read_vms()

    def begin_stop(self, on_done: Callable[[], None]) -> None:
        """Prepares a planned stop: no new work, ownership given back.

        Args:
            on_done: Called when the ownership is given back or that failed.
        """
        self.operations.stopping = True
        self.membership.withdraw()
        self.region.stop()
        self.ownership.release(on_done)

    def handle_message(self, message: node_links.Message) -> None:
        """Takes a message of another node.

        Args:
            message: The message.

        Raises:
            RecordError: If it holds a malformed record.
            KeyError: If a field is missing.
            ValueError: If a field has the wrong type.
        """
        kind = message["type"]
        if kind == "submitted":
            record = request.parse_record("link message", message["record"])
            self.region.handle_request_row(record, int(message["version"]))
        elif kind == "beat":
            self._take_beat(message)
        elif kind == "config" and "documents" in message:
            self.publication.adopt(
                {
                    "documents": message["documents"],
                    "version": int(message["number"])
                }, int(message["version"]))
        elif kind == "config":
            self._check_configuration(int(message["version"]))
        elif kind == "explain":
            self._answer_question(message)
        elif kind == "explanation":
            take = self._questions.pop(int(message["id"]), None)
            if take is not None:
                take(str(message["text"]))

    # What this node reads and tells the others.

    def _read_vms(self) -> None:
        self._store.list_vms(self._take_vms)

    def _take_vms(self, result: Any) -> None:
        if isinstance(result, Exception):
            return
        listed = []
        for entry in result:
            try:
                listed.append(fleet.parse_worker(entry))
            except errors.RecordError as error:
                _log.error("VM list entry cannot be read", error=str(error))
        self.region.update_workers(fleet.Fleet(workers=listed))

    def _take_configuration(self, published: publication.Published) -> None:
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

    def _send_beat(self) -> None:
        """Keeps the links alive and, on the owner, announces the counts."""
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
            self._counts.announce(counts)
            self._report(core, sum(counts.values()))
            message["waiting"] = [[team, caller, count]
                                  for (team, caller), count in counts.items()]
        self._links.broadcast(message)

    def _report(self, core: owner_module.Owner, waiting: int) -> None:
        self._metrics.set_gauge("owner.epoch", core.epoch)
        self._metrics.set_gauge("owner.jobs", len(core.jobs))
        self._metrics.set_gauge("owner.waiting", waiting)
        self._metrics.set_gauge("owner.store_suspect", int(core.store_suspect))
        self._metrics.set_gauge("owner.workers_excluded",
                                len(core.find_excluded()))

    def _take_beat(self, message: node_links.Message) -> None:
        if int(message["epoch"]) > self.ownership.owner.epoch:
            self.ownership.step_down("another node knows a newer epoch")
        if int(message["config"]) == 0:
            self._teach_configuration(message["link"])
        self._check_configuration(int(message["config"]))
        if "waiting" in message and self.region.core is None:
            self._counts.announce({
                (str(team), str(caller)): int(count)
                for team, caller, count in message["waiting"]
            })

    def _teach_configuration(self, link: str) -> None:
        """Sends the documents to a node that started in an outage."""
        current = self.publication.current
        if current.row_version > 0:
            self._links.send(
                link, {
                    "type": "config",
                    "version": current.row_version,
                    "number": current.configuration.version,
                    "documents": dict(current.documents)
                })

    def _check_configuration(self, row_version: int) -> None:
        if row_version > self.publication.current.row_version:
            self.publication.refresh()

    # Explanations, which only the owner can give.

    def _ask_owner(self, request_id: str, take: Callable[[str], None]) -> None:
        if self.region.core is not None:
            take(self._explain(request_id))
            return
        question = next(self._question_ids)
        self._questions[question] = take
        sent = self._links.send(
            self.ownership.owner.link, {
                "type": "explain",
                "id": question,
                "request_id": request_id,
                "reply_to": self._link_address
            })
        delay_s = EXPLAIN_TIMEOUT_S if sent else 0.0
        self._timers.call_later(delay_s, lambda: self._give_up(question))

    def _give_up(self, question: int) -> None:
        take = self._questions.pop(question, None)
        if take is not None:
            take("the owner of the region cannot be reached at the moment")

    def _answer_question(self, message: node_links.Message) -> None:
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
