"""The entry that calls upstreams directly instead of through agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.daemons.running import build_admin, connect_admin
from snipebend.edge.gossip import Gossip
from snipebend.edge.host_follower import HostFollower, TableParser
from snipebend.edge.pass_time_reporter import PassTimeReporter
from snipebend.edge.relay_server import RelayServer
from snipebend.edge.relay_service import RelayService
from snipebend.kernel.process import Process
from snipebend.settings.seeds import split_address
from snipebend.transport.http_server import HttpServer
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    import socket

    from snipebend.relay.facts import Dialect
    from snipebend.settings.relay import RelaySettings

#: Interval of pings to control daemons and timeout for the responses.
PING_S = 0.5


def build_relay_entry(
    cfg: RelaySettings,
    dialect: Dialect,
    read_table: TableParser,
    listener: socket.socket | None = None,
) -> tuple[Process, HttpServer]:
    """Build the process and the server for its readiness check.

    ``listener`` is an already open socket for callers.
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
        # Starts first: the watch that the follower opens sends this entry's
        # gossip address to control. Without it, the other entries know
        # neither this entry nor its calls, and each one budgets retries as
        # if it were the only entry.
        gossip,
        HostFollower('hosts', cfg, clients, read_table),
        relay_service,
        PassTimeReporter(
            'paces', cfg.process.name, relay_service.pass_times.drain
        ),
        RelayServer('callers', cfg, listener),
        ready,
        admin,
    ]
    process = connect_admin(Process(cfg.process.name, services), admin)
    return process, ready
