"""The control daemon of entries that route by host and path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.daemons.running import build_admin, connect_admin
from snipebend.kernel.process import Process
from snipebend.settings.model import split_address
from snipebend.transport.group_api import GroupApi
from snipebend.transport.host_keeper import HostKeeper
from snipebend.transport.http_server import HttpServer
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import RpcServer

if TYPE_CHECKING:
    from snipebend.settings.model import ControlSettings


def build_host_control(
    cfg: ControlSettings,
) -> tuple[Process, HostKeeper, HttpServer]:
    """Build the process, its keeper and the server of its outer calls."""
    admin = build_admin(cfg.listen)
    grpc = RpcServer('grpc', cfg.listen.host, cfg.listen.grpc_port)
    outer = HttpServer('outer', *split_address(cfg.outer))
    keeper = HostKeeper('hosts', grpc)
    services = [
        ReplicatedState('state', cfg),
        keeper,
        GroupApi('group-api', grpc),
        grpc,
        outer,
        admin,
    ]
    process = connect_admin(Process(cfg.process.name, services), admin)
    return process, keeper, outer
