"""The entry daemon: accepts callers' requests and routes them to upstreams."""

from __future__ import annotations

import sys

from snipebend.daemons.running import (
    PortsFile,
    build_admin,
    connect_admin,
    run_daemon,
)
from snipebend.kernel.process import Process
from snipebend.settings.model import EntrySettings
from snipebend.transport.caller_api import CallerApi
from snipebend.transport.control_calls import ControlCalls
from snipebend.transport.dispatch import Dispatcher
from snipebend.transport.directory_follower import DirectoryFollower
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.forward import HttpClient
from snipebend.transport.http_server import HttpServer
from snipebend.transport.routing_service import RoutingService
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.suspect_follower import SuspectFollower
from snipebend.transport.suspect_leases import SuspectLeases


def build_entry(cfg: EntrySettings) -> Process:
    """Build the process from its settings."""
    admin = build_admin(cfg.listen)
    http = HttpServer('http', cfg.listen.host, cfg.listen.http_port)
    clients = RpcClients()
    name = cfg.process.name
    control = cfg.control.addresses
    services = [
        HttpClient('client'),
        ConfigurationFollower('configuration', name, control, clients),
        DirectoryFollower('directory', cfg, clients),
        ControlCalls('control-calls', control, clients),
        SuspectLeases('suspect-leases'),
        RoutingService('routing', cfg),
        SuspectFollower('suspects', name),
        Dispatcher('dispatch', cfg),
        CallerApi('callers', cfg, http),
        http,
        admin,
        PortsFile(cfg.listen.ports_file, {'http': http, 'admin': admin}),
    ]
    return connect_admin(Process(name, services), admin)


def main(arguments: list[str] | None = None) -> int:
    """Run ``snipebend-entry``."""
    return run_daemon(
        'snipebend-entry',
        "Accepts callers' requests and routes them to upstreams.",
        EntrySettings,
        build_entry,
        arguments,
    )


if __name__ == '__main__':
    sys.exit(main())
