"""The agent daemon: announces one upstream and controls access to it."""

from __future__ import annotations

import sys

from snipebend.daemons.running import (
    PortsFile,
    build_admin,
    connect_admin,
    run_daemon,
)
from snipebend.kernel.process import Process
from snipebend.settings.model import AgentSettings
from snipebend.transport.announcer import Announcer
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.control_calls import ControlCalls
from snipebend.transport.crash_reporter import CrashReporter
from snipebend.transport.fence_reader import FenceReader
from snipebend.transport.forward import HttpClient
from snipebend.transport.http_server import HttpServer
from snipebend.transport.load_reader import LoadReader
from snipebend.transport.orders_api import OrdersApi
from snipebend.transport.rank_api import RankApi
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import RpcServer
from snipebend.transport.upstream_api import UpstreamRelay
from snipebend.transport.upstream_probe import UpstreamProbe


def build_agent(cfg: AgentSettings) -> Process:
    """Build the process from its settings."""
    admin = build_admin(cfg.listen)
    http = HttpServer('http', cfg.listen.host, cfg.listen.http_port)
    grpc = RpcServer('grpc', cfg.listen.host, cfg.listen.grpc_port)
    clients = RpcClients()
    reader = FenceReader(cfg.control.addresses, clients)
    services = [
        HttpClient('client'),
        ConfigurationFollower(
            'configuration',
            cfg.process.name,
            cfg.control.addresses,
            clients,
        ),
        ControlCalls('control-calls', cfg.control.addresses, clients),
        CrashReporter('witness', cfg.process.name),
        UpstreamProbe('probe', cfg.upstream),
        UpstreamRelay('relay', cfg, http, grpc),
        OrdersApi('orders', grpc, cfg.upstream.address, reader),
        RankApi('ranks', grpc, cfg.process.name, reader),
        grpc,
        http,
        admin,
        LoadReader('load', cfg.upstream),
        Announcer('announcer', cfg, clients),
        PortsFile(
            cfg.listen.ports_file,
            {'http': http, 'grpc': grpc, 'admin': admin},
        ),
    ]
    return connect_admin(Process(cfg.process.name, services), admin)


def main(arguments: list[str] | None = None) -> int:
    """Run ``snipebend-agent``."""
    return run_daemon(
        'snipebend-agent',
        'Announces one upstream and controls access to it.',
        AgentSettings,
        build_agent,
        arguments,
    )


if __name__ == '__main__':
    sys.exit(main())
