"""The control daemon for entries that route by HTTP host name and path."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.daemons.running import build_admin, connect_admin
from snipebend.experts.group_pass_times import GroupPassTimes
from snipebend.kernel.process import Process
from snipebend.settings.seeds import split_address
from snipebend.transport.evacuation_service import EvacuationService
from snipebend.transport.group_api import GroupApi
from snipebend.balancing.group_balancer import GroupBalancer
from snipebend.transport.host_service import HostService
from snipebend.transport.http_server import HttpServer
from snipebend.balancing.pass_time_listener import PassTimeListener
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import RpcServer

if TYPE_CHECKING:
    from snipebend.edge.host_follower import TableParser
    from snipebend.hosts.model import HostTable
    from snipebend.balancing.group_observer import EngineLink
    from snipebend.settings.model import ControlSettings


class HostControl(NamedTuple):
    """The process, and the parts that its outer HTTP server's routes use."""

    process: Process
    host_service: HostService
    evacuations: EvacuationService
    outer: HttpServer


def build_host_control(
    cfg: ControlSettings, link: EngineLink, read_table: TableParser
) -> HostControl:
    """Build the process with its parts.

    The outer server gets its routes from the caller.
    """
    admin = build_admin(cfg.listen)
    grpc = RpcServer('grpc', cfg.listen.host, cfg.listen.grpc_port)
    outer = HttpServer('outer', *split_address(cfg.outer))
    host_service = HostService('hosts', grpc)
    evacuations = EvacuationService('evacuations', grpc, cfg.data_centers)
    pass_times = GroupPassTimes()
    table = TableReader(host_service, read_table).read
    services = [
        ReplicatedState('state', cfg),
        host_service,
        evacuations,
        GroupApi('group-api', grpc),
        GroupBalancer('balancer', link, table, pass_times),
        grpc,
        PassTimeListener('paces', grpc, pass_times),
        outer,
        admin,
    ]
    process = connect_admin(Process(cfg.process.name, services), admin)
    return HostControl(process, host_service, evacuations, outer)


class TableReader:
    """Decodes the active document once for each document number."""

    def __init__(
        self, host_service: HostService, read_table: TableParser
    ) -> None:
        """Create a reader that decodes documents with ``read_table``."""
        self._host_service = host_service
        self._read_table = read_table
        self._number = 0
        self._table: HostTable | None = None

    def read(self) -> HostTable | None:
        """Return the table of the active document; ``None`` before the first.

        If a document can't be decoded, the previous table stays in use.
        """
        book = self._host_service.documents
        if book.number > self._number:
            self._number = book.number
            self._table = self._read_table(book.body).unwrap_or(self._table)
        return self._table
