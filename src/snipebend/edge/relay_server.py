"""The entry's listener for callers, and its graceful shutdown."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.caller_connection import CallerConnection
from snipebend.edge.relay_service import RelayService
from snipebend.hosts.model import CallerLimits
from snipebend.kernel.service import Service
from snipebend.settings.seeds import split_address
from snipebend.transport.listeners import open_listener

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

    from snipebend.edge.caller_parser import CompleteRequest
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.kernel.registry import Registry
    from snipebend.relay.buffer_budget import BufferBudget, BufferHold
    from snipebend.relay.facts import RequestHead
    from snipebend.settings.relay import RelaySettings

#: Seconds of a graceful shutdown in which new connections are still accepted:
#: the load balancer needs two failed health checks, one per second, to route
#: them elsewhere.
DRAIN_ACCEPT_S = 2.6

#: Largest share of the shutdown time in which connections are accepted.
DRAIN_ACCEPT_SHARE = 0.35

#: Seconds before the end of a graceful shutdown when remaining connections are
#: cut.
CUT_MARGIN_S = 0.4

#: Seconds between two checks for connections that have become idle.
IDLE_CHECK_INTERVAL_S = 0.05


class RelayServer(Service):
    """Accepts and serves callers' connections."""

    def __init__(
        self,
        name: str,
        cfg: RelaySettings,
        listener: socket.socket | None = None,
    ) -> None:
        """Keep the settings, and a listener if one is already open."""
        super().__init__(name)
        self._listener = listener
        self.draining = False
        self.address = ''
        self._cfg = cfg
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, registry: Registry) -> None:
        """Listen."""
        self._clock = registry.clock
        self._relay = registry.find('relay', RelayService)
        sock = self._listener
        if sock is None:
            sock = open_listener(*split_address(self._cfg.callers))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock
        )
        host, port = sock.getsockname()[:2]
        self.address = f'{host}:{port}'
        logger.info('event=listening proto=relay address={}', self.address)

    async def drain(self) -> None:
        """Accept connections for a while, then close those that are idle."""
        timeout_s = self._cfg.stop_within_s
        abort_at = self._clock.now() + timeout_s - CUT_MARGIN_S
        self.draining = True
        await asyncio.sleep(min(DRAIN_ACCEPT_S, DRAIN_ACCEPT_SHARE * timeout_s))
        if self._server is not None:
            self._server.close()
        self._relay.outage_wait.close()
        while self._connections and self._clock.now() < abort_at:
            for conn in tuple(self._connections):
                conn.close_if_idle()
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Cut the remaining connections."""
        if self._connections:
            logger.warning(
                'event=connections_cut number={}', len(self._connections)
            )
        for conn in tuple(self._connections):
            conn.abort()

    def dump(self) -> Mapping[str, object]:
        """Return the address and the number of open connections."""
        return {
            'address': self.address,
            'connections': len(self._connections),
            'draining': self.draining,
        }

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on what callers send."""
        index = self._relay.index
        return index.table.limits if index else CallerLimits()

    @property
    def buffers(self) -> BufferBudget | None:
        """Return the budget of what is held for callers, if there is one."""
        return self._relay.buffers

    def hold_body(self, head: RequestHead, size: int) -> BufferHold | None:
        """Hold memory for a body, or return None if there is none."""
        return self._relay.hold_body(head, size)

    def refuse_body(self, head: RequestHead, response: ResponseWriter) -> None:
        """Refuse a request for whose body there is no memory."""
        self._relay.refuse_body(head, response)

    def let_go(self, stalled_s: float, size: int, workspace: str) -> None:
        """Record that a caller is cut off because it reads nothing."""
        self._relay.meters.count_let_go()
        logger.info(
            'event=caller_let_go workspace={} stalled_ms={:.0f} unread={}',
            workspace,
            1000 * stalled_s,
            size,
        )

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    def connection_opened(self, conn: CallerConnection) -> None:
        """Register a new connection."""
        self._connections.add(conn)

    def connection_closed(self, conn: CallerConnection) -> None:
        """Unregister a connection."""
        self._connections.discard(conn)

    async def serve(
        self, req: CompleteRequest, response: ResponseWriter
    ) -> None:
        """Serve one request."""
        await self._relay.serve(req, response)
