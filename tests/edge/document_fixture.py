"""Control daemons and one entry's follower, connected over loopback."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from result import Ok

from snipebend.edge.host_follower import HostFollower
from snipebend.hosts.model import HostTable
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.settings.model import ProcessSection
from snipebend.settings.relay import RelaySection, RelaySettings
from snipebend.settings.seeds import SeedsSection
from snipebend.state.documents import PutRequest
from snipebend.state.roster import RecordRequest, UpstreamRecord
from snipebend.transport.host_service import HostService
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import RpcServer
from tests.byte_counting_link import ByteCountingLink
from tests.transport.standalone_state import StandaloneState


class Daemon:
    """A control daemon: its host keeper, state and server."""

    async def start(self, stack):
        self._registry = Registry(SystemClock(), TaskSupervisor())
        self.state = StandaloneState()
        self.server = RpcServer('grpc', '127.0.0.1', 0)
        self.host_service = HostService('hosts', self.server)
        self.state._registry = self._registry
        self._registry.register(self.state)
        await self.host_service.start(self._registry)
        await self.server.start(self._registry)
        stack.push_async_callback(self._registry.tasks.stop)
        stack.push_async_callback(self.server.stop)
        stack.push_async_callback(self.host_service.stop)

    def put(self, number, body):
        """Store an accepted document."""
        self.state.local_machine.state.documents.put(PutRequest(number, body))
        self.state.notify_changed()

    def record(self, identity):
        """Store an upstream record."""
        record = UpstreamRecord(identity, 's', f'{identity}:1', 'dc', 1)
        self.state.local_machine.state.roster.record(RecordRequest(record))
        self.state.notify_changed()


class Deployment:
    """Daemons, each behind its own link, and a follower of them all."""

    def __init__(self, daemons, cut_after=None, section=None):
        self.daemons = [Daemon() for _ in range(daemons)]
        self.links = []
        self.updated = asyncio.Event()
        self.upstreams = set()
        self._cut_after = cut_after
        self._section = section or RelaySection()
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        """Start all parts."""
        for daemon in self.daemons:
            await daemon.start(self._stack)
            link = ByteCountingLink(
                daemon.server.address, self._cut_after, self.updated.set
            )
            self.links.append(await self._stack.enter_async_context(link))
        self.follower = self._follow()
        registry = Registry(SystemClock(), TaskSupervisor())
        registry.register(self.follower)
        await self.follower.start(registry)
        self._stack.push_async_callback(registry.tasks.stop)
        self._stack.push_async_callback(self.follower.stop)
        return self

    async def __aexit__(self, *exc_info):
        """Stop all parts."""
        await self._stack.aclose()

    @property
    def carried_bytes(self):
        """Return the bytes that all links carried to the follower."""
        return sum(link.returned_bytes for link in self.links)

    def put(self, number, body):
        """Store an accepted document at every daemon."""
        for daemon in self.daemons:
            daemon.put(number, body)

    async def wait_until(self, condition):
        """Check the condition after each piece that arrives, until it holds."""
        while not condition():
            self.updated.clear()
            await self.updated.wait()

    async def wait_for_updates(self, prefix):
        """Wait until each daemon has sent all pending updates.

        Later updates arrive after these, in order.
        """
        expected = set()
        for position, daemon in enumerate(self.daemons):
            daemon.record(f'{prefix}-{position}')
            expected.add(f'{prefix}-{position}')
        await self.wait_until(lambda: expected <= self.upstreams)

    def _follow(self):
        cfg = RelaySettings(
            process=ProcessSection(name='e', data_center='dc'),
            control=SeedsSection(addresses=['127.0.0.1:1'], grpc_port=1),
            relay=self._section,
        )
        # Tests control when a link is silent; timers must not interfere.
        clients = RpcClients(60, 60)
        follower = HostFollower('hosts', cfg, clients, read_table)
        # Settings have one port for all daemons, which would need several
        # hosts.
        follower._seeds = frozenset(link.address for link in self.links)
        follower.on_update = self.updated.set
        follower.on_upstreams = self._apply_upstreams
        return follower

    def _apply_upstreams(self, records):
        self.upstreams |= {record.identity for record in records}


def read_table(body):
    """Parse any bytes as the table whose number they begin with."""
    return Ok(HostTable(int(body.partition(b' ')[0])))
