"""The node's process: builds the parts and joins them."""

from collections.abc import Callable
import itertools
import json
import pathlib
import random
import sys
from typing import Any

import circuits
from circuits.core import pollers
import click
import structlog

from trefoilroad_core import errors
from trefoilroad_core import fleet
from trefoilroad_core import request
from trefoilroad_core import submission
from trefoilroad_node import api as apis
from trefoilroad_node import edge as edges
from trefoilroad_node import guards
from trefoilroad_node import httpclient
from trefoilroad_node import links as node_links
from trefoilroad_node import logs
from trefoilroad_node import membership as members
from trefoilroad_node import metrics as sinks
from trefoilroad_node import operations
from trefoilroad_node import ownership as owners
from trefoilroad_node import publication
from trefoilroad_node import region as regions
from trefoilroad_node import settings as node_settings
from trefoilroad_node import store as stores
from trefoilroad_node import timer
from trefoilroad_node import workers

VM_POLL_INTERVAL_S = 1.0
BEAT_INTERVAL_S = 0.5
EXPLAIN_TIMEOUT_S = 2.0
# Longest wait for open exchanges at a planned stop.
STOP_TIMEOUT_S = 10.0
STOP_POLL_S = 0.05

_log = structlog.get_logger()


class Daemon(circuits.BaseComponent):
    """One node."""

    channel = "daemon"

    def __init__(self, *, settings: node_settings.Settings):
        super().__init__()
        self._settings = settings
        rng = random.Random()
        self._timers = timer.TimerService(rng=rng).register(self)
        self._metrics = sinks.build_metrics(settings.statsd, settings.region)
        self._client = httpclient.HttpClient(
            timers=self._timers, headers={"X-Node": settings.node_id})
        self._client.register(self)
        self._store = stores.Store(address=settings.store,
                                   client=self._client,
                                   timers=self._timers,
                                   rng=rng)
        self._links = node_links.Links(secret=settings.link_secret,
                                       timers=self._timers).register(self)
        self._acceptor = node_links.Acceptor(listen=settings.link,
                                             secret=settings.link_secret,
                                             on_message=self._take_message,
                                             timers=self._timers).register(self)
        self._link_address = _with_port(settings.link, self._acceptor.port)
        self._counts = submission.QueueCounts()
        self._edge = edges.Edge(store=self._store,
                                timers=self._timers,
                                rng=rng,
                                metrics=self._metrics,
                                counts=self._counts,
                                on_accepted=self._notify_owner)
        self._region = regions.Region(
            name=settings.region,
            store=self._store,
            workers=workers.Workers(client=self._client),
            timers=self._timers,
            rng=rng,
            metrics=self._metrics,
            on_deposed=lambda reason: self._ownership.lose(reason))
        self._publication = publication.Publication(
            store=self._store,
            timers=self._timers,
            rng=rng,
            on_change=self._take_configuration)
        self._edge.refresh_configuration = self._publication.refresh
        self._ownership = owners.Ownership(region=settings.region,
                                           node_id=settings.node_id,
                                           link=self._link_address,
                                           store=self._store,
                                           timers=self._timers,
                                           rng=rng,
                                           on_gain=self._region.begin,
                                           on_loss=lambda _: self._region.end())
        self._membership = members.Membership(
            node_id=settings.node_id,
            link=self._link_address,
            seeds=settings.peers,
            store=self._store,
            timers=self._timers,
            on_change=self._links.set_addresses)
        self._operations = operations.Operations(
            settings=settings,
            published=self._publication,
            region=self._region,
            owner=lambda: self._ownership.owner,
            store=self._store,
            edge=self._edge,
            ask_owner=self._ask_owner)
        self._api = apis.Api(listen=settings.listen,
                             edge=self._edge,
                             actions=self._operations,
                             bootstrap_sha256=settings.operator_token_sha256,
                             max_open=settings.max_open_requests)
        self._api.register(self)
        guards.Guard(channel=self._api.channel,
                     timers=self._timers,
                     max_body_bytes=settings.max_body_bytes).register(self)
        self._question_ids = itertools.count(1)
        self._questions: dict[int, Callable[[str], None]] = {}
        self._timers.call_every(VM_POLL_INTERVAL_S, self._read_vms)
        self._timers.call_every(BEAT_INTERVAL_S, self._send_beat)
        self._publication.refresh()
        self._read_vms()

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses that were bound, for a supervisor."""
        return {
            "listen": _with_port(self._settings.listen, self._api.port),
            "link": self._link_address
        }

    # What this node reads and hears.

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
        self._region.see_workers(fleet.Fleet(workers=listed))

    def _take_configuration(self, published: publication.Published) -> None:
        self._edge.published = published
        self._region.see_configuration(published)
        self._links.broadcast({
            "type": "config",
            "version": published.row_version
        })

    def _notify_owner(self, record: request.Record, version: int) -> None:
        if self._region.core is not None:
            self._region.see_request(record, version)
        else:
            self._links.send(self._ownership.owner.link, {
                "type": "submitted",
                "record": record,
                "version": version
            })

    def _send_beat(self) -> None:
        """Keeps the links alive and, on the owner, announces the counts."""
        message: dict[str, Any] = {
            "type": "beat",
            "node": self._settings.node_id,
            "epoch": self._ownership.owner.epoch,
            "config": self._publication.current.row_version
        }
        core = self._region.core
        if core is not None:
            counts = core.count_waiting()
            self._counts.announce(counts)
            message["waiting"] = [[team, caller, count]
                                  for (team, caller), count in counts.items()]
        self._links.broadcast(message)

    def _take_message(self, message: node_links.Message) -> None:
        kind = message["type"]
        if kind == "submitted":
            record = request.parse_record("link message", message["record"])
            self._region.see_request(record, int(message["version"]))
        elif kind == "beat":
            self._take_beat(message)
        elif kind == "config":
            self._check_configuration(int(message["version"]))
        elif kind == "explain":
            self._answer_question(message)
        elif kind == "explanation":
            take = self._questions.pop(int(message["id"]), None)
            if take is not None:
                take(str(message["text"]))

    def _take_beat(self, message: node_links.Message) -> None:
        if int(message["epoch"]) > self._ownership.owner.epoch:
            self._ownership.lose("another node knows a newer epoch")
        self._check_configuration(int(message["config"]))
        if "waiting" in message and self._region.core is None:
            self._counts.announce({
                (str(team), str(caller)): int(count)
                for team, caller, count in message["waiting"]
            })

    def _check_configuration(self, row_version: int) -> None:
        if row_version > self._publication.current.row_version:
            self._publication.refresh()

    # Explanations, which only the owner can give.

    def _ask_owner(self, request_id: str, take: Callable[[str], None]) -> None:
        if self._region.core is not None:
            take(self._explain(request_id))
            return
        question = next(self._question_ids)
        self._questions[question] = take
        sent = self._links.send(
            self._ownership.owner.link, {
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
        core = self._region.core
        if core is None or request_id not in core.jobs:
            return "is not known to the owner yet"
        return core.explain(request_id)

    # Planned stop.

    @circuits.handler("signal", channel="*", priority=100)
    def _on_signal(self, event: Any, *_: Any) -> None:
        event.stop()
        if self._api.stopping:
            return
        _log.info("stopping")
        self._api.stopping = True
        self._operations.stopping = True
        self._membership.withdraw()
        deadline_s = self._timers.read_clock() + STOP_TIMEOUT_S
        self._ownership.release(lambda: self._stop_when_idle(deadline_s))

    def _stop_when_idle(self, deadline_s: float) -> None:
        self._region.end()
        expired = self._timers.read_clock() >= deadline_s
        if self._api.open_requests == 0 or expired:
            # One more turn of the loop writes the last responses.
            self._timers.call_later(STOP_POLL_S, self.root.stop)
        else:
            self._timers.call_later(STOP_POLL_S,
                                    lambda: self._stop_when_idle(deadline_s))


def _with_port(address: str, port: int) -> str:
    host, _, _ = address.rpartition(":")
    return f"{host}:{port}"


@click.command()
@click.option("--settings",
              "path",
              required=True,
              type=click.Path(path_type=pathlib.Path),
              help="TOML file with the settings of this node.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: pathlib.Path, check: bool) -> None:
    """Runs an entry node of trefoilroad."""
    try:
        settings = node_settings.read_settings(path)
    except errors.InvalidDocuments as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        sys.exit(1)
    if check:
        click.echo("settings are valid")
        return
    logs.configure_logs(log_format=settings.log_format,
                        level=settings.log_level,
                        node_id=settings.node_id)
    daemon = Daemon(settings=settings)
    pollers.EPoll().register(daemon)
    _log.info("ready", **daemon.addresses)
    # For a supervisor that had the kernel choose the ports.
    click.echo(json.dumps(daemon.addresses))
    sys.stdout.flush()
    daemon.run()


if __name__ == "__main__":
    main()
