"""The entry that calls upstreams directly, without an agent beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.daemons.running import build_admin, connect_admin
from snipebend.edge.gossip import Gossip
from snipebend.edge.host_follower import HostFollower, TableParser
from snipebend.edge.relay_server import RelayServer
from snipebend.edge.relay_service import RelayService
from snipebend.edge.step_time_reporter import StepTimeReporter
from snipebend.kernel.process import Process
from snipebend.settings.seeds import split_address
from snipebend.transport.http_server import HttpServer
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    import socket

    from snipebend.relay.facts import Dialect
    from snipebend.settings.relay import RelaySettings

#: Seconds between pings to control daemons, and for their answers.
PING_S = 0.5


def build_relay_entry(
    cfg: RelaySettings,
    dialect: Dialect,
    read_table: TableParser,
    listener: socket.socket | None = None,
) -> tuple[Process, HttpServer]:
    """Build the process, and the server that tells whether it is ready.

    ``listener`` is open for callers already.
    """
    admin = build_admin(cfg.listen)
    ready = HttpServer('readiness', *split_address(cfg.readiness))
    clients = RpcClients(PING_S, PING_S)
    relay_service = RelayService('relay', cfg, dialect)
    gossip = Gossip(
        'gossip',
        cfg.process.name,
        (cfg.listen.host, cfg.gossip_port),
        relay_service,
    )
    services = [
        # First: a watch that the follower opens tells control where the others
        # reach this entry. Without that, they know neither it nor its calls,
        # and each saves retries as if it were alone.
        gossip,
        HostFollower('hosts', cfg, clients, read_table),
        relay_service,
        StepTimeReporter(
            'paces', cfg.process.name, relay_service.step_times.drain
        ),
        RelayServer('callers', cfg, listener),
        ready,
        admin,
    ]
    process = connect_admin(Process(cfg.process.name, services), admin)
    return process, ready
