"""The control daemon: serves the replicated state and the directory."""

from __future__ import annotations

import sys

from snipebend.daemons.running import (
    PortsFile,
    build_admin,
    connect_admin,
    run_daemon,
)
from snipebend.kernel.process import Process
from snipebend.settings.model import ControlSettings
from snipebend.transport.control_api import ConfigurationApi
from snipebend.transport.directory_api import DirectoryApi
from snipebend.transport.expert_service import ExpertService
from snipebend.transport.group_api import GroupApi
from snipebend.transport.policy_planner import build_policy_planner
from snipebend.transport.replica_view import ReplicaView
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import RpcServer
from snipebend.transport.state_api import StateApi


def build_control(cfg: ControlSettings) -> Process:
    """Build the process from its settings."""
    admin = build_admin(cfg.listen)
    grpc = RpcServer('grpc', cfg.listen.host, cfg.listen.grpc_port)
    state = ReplicatedState('state', cfg)
    state_api = StateApi('state-api', grpc)
    directory = DirectoryApi('directory', grpc)
    view = ReplicaView(state, directory)
    services = [
        state,
        ConfigurationApi('configuration', grpc),
        directory,
        state_api,
        GroupApi('group-api', grpc),
        ExpertService(
            'experts', grpc, state_api, view, view, build_policy_planner
        ),
        grpc,
        admin,
        PortsFile(cfg.listen.ports_file, {'grpc': grpc, 'admin': admin}),
    ]
    return connect_admin(Process(cfg.process.name, services), admin)


def main(arguments: list[str] | None = None) -> int:
    """Run ``snipebend-control``."""
    return run_daemon(
        'snipebend-control',
        'Stores the replicated state of the fleet.',
        ControlSettings,
        build_control,
        arguments,
    )


if __name__ == '__main__':
    sys.exit(main())
