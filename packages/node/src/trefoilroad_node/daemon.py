"""Process of a node: provides its sockets, clock and signal handling."""

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
from trefoilroad_node import api as apis
from trefoilroad_node import guards
from trefoilroad_node import httpclient
from trefoilroad_node import httpserver
from trefoilroad_node import links as node_links
from trefoilroad_node import logs
from trefoilroad_node import metrics as sinks
from trefoilroad_node import node as nodes
from trefoilroad_node import settings as node_settings
from trefoilroad_node import shutdown
from trefoilroad_node import store as stores
from trefoilroad_node import streams
from trefoilroad_node import timer
from trefoilroad_node import traffic
from trefoilroad_node import workers

# Limit of the wait for open requests at a planned stop.
STOP_TIMEOUT_S = 10.0
STOPPING_RESPONSE = httpserver.Response(503, {
    "outcome": "unknown",
    "error": "the node is stopping"
})

_log = structlog.get_logger()


class Daemon(circuits.BaseComponent):
    """A node as a process with an event loop."""

    channel = "daemon"

    def __init__(self, *, settings: node_settings.Settings):
        super().__init__()
        self._settings = settings
        poller = pollers.EPoll().register(self)
        rng = random.Random()
        self._timers = timer.TimerService(rng=rng).register(self)
        byte_counter = traffic.ByteCounter()
        connector = streams.Connector(poller=poller).register(self)
        client = httpclient.HttpClient(connector=connector,
                                       timers=self._timers,
                                       headers={"X-Node": settings.node_id},
                                       byte_counter=byte_counter)
        acceptor = node_links.Acceptor(listen=settings.link,
                                       secret=settings.link_secret,
                                       on_message=self._handle_message,
                                       timers=self._timers,
                                       byte_counter=byte_counter)
        acceptor.register(self)
        self._link_address = _replace_port(settings.link, acceptor.port)
        links = node_links.WebsocketLinks(secret=settings.link_secret,
                                          connector=connector,
                                          timers=self._timers,
                                          byte_counter=byte_counter)
        store = stores.HttpStore(address=settings.store,
                                 client=client,
                                 timers=self._timers,
                                 rng=rng)
        self._node = nodes.Node(settings=settings,
                                link_address=self._link_address,
                                timers=self._timers,
                                store=store,
                                workers=workers.HttpWorkers(client=client),
                                links=links,
                                metrics=sinks.build_metrics(
                                    settings.statsd, settings.region),
                                rng=rng)
        self._node.operations.byte_counter = byte_counter
        self._api = apis.Api(listen=settings.listen,
                             edge=self._node.edge,
                             operator_actions=self._node.operations,
                             bootstrap_sha256=settings.operator_token_sha256,
                             max_open_requests=settings.max_open_requests)
        self._api.register(self)
        self._guard = guards.RequestGuard(
            channel=self._api.channel,
            server=self._api.http,
            timers=self._timers,
            max_body_bytes=settings.max_body_bytes).register(self)
        for channel in (self._api.channel, acceptor.channel):
            guards.ClosedSocketFilter(channel=channel).register(self)
        guards.ExceptionLogger().register(self)

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by the name of their setting."""
        return {
            "listen": _replace_port(self._settings.listen, self._api.port),
            "link": self._link_address
        }

    def _handle_message(self, message: node_links.Message) -> None:
        self._node.handle_message(message)

    @circuits.handler("signal", channel="*", priority=100)
    def _on_signal(self, event: Any, *_: Any) -> None:
        event.stop()
        if self._api.stopping:
            return
        _log.info("stopping")
        self._api.stopping = True
        now_s = self._timers.read_clock()
        stop = shutdown.Shutdown(server=self._api,
                                 guard=self._guard,
                                 timers=self._timers,
                                 abandonment=STOPPING_RESPONSE,
                                 on_done=self.root.stop)
        self._node.begin_stop(lambda: stop.begin(
            earliest_s=now_s, deadline_s=now_s + STOP_TIMEOUT_S))


def _replace_port(address: str, port: int) -> str:
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
    _log.info("ready", **daemon.addresses)
    # A supervisor needs the addresses if the kernel chose the ports.
    click.echo(json.dumps(daemon.addresses))
    sys.stdout.flush()
    daemon.run()


if __name__ == "__main__":
    main()
