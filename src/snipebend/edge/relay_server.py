"""The entry's listener for callers, and a graceful end of its connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.caller_connection import CallerConnection
from snipebend.edge.relay_desk import RelayDesk
from snipebend.hosts.model import CallerLimits
from snipebend.kernel.service import Service
from snipebend.settings.seeds import split_address
from snipebend.transport.listeners import open_listener

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.edge.caller_parser import WholeRequest
    from snipebend.kernel.registry import Registry
    from snipebend.settings.relay import RelaySettings

#: Seconds of a graceful stop in which new connections are still taken: the
#: balancer needs two failed looks, one a second, to send them elsewhere.
ACCEPT_S = 2.6

#: Share of the time for a graceful stop that accepting may take.
ACCEPT_SHARE = 0.35

#: Seconds before the end of a graceful stop in which what is left is cut.
LEAVE_EARLY_S = 0.4

#: Seconds between two looks for connections that have become idle.
LOOK_EVERY_S = 0.05


class RelayServer(Service):
    """Serves callers' connections."""

    def __init__(
        self,
        name: str,
        cfg: RelaySettings,
        listener: socket.socket | None = None,
    ) -> None:
        """Keep the settings, and a listener that is open already."""
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
        self._desk = registry.find('relay', RelayDesk)
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
        """Take what still comes, then end connections between requests."""
        span_s = self._cfg.stop_within_s
        stop_by = self._clock.now() + span_s - LEAVE_EARLY_S
        self.draining = True
        await asyncio.sleep(min(ACCEPT_S, ACCEPT_SHARE * span_s))
        if self._server is not None:
            self._server.close()
        self._desk.outage.close()
        while self._connections and self._clock.now() < stop_by:
            for conn in tuple(self._connections):
                conn.close_if_idle()
            await asyncio.sleep(LOOK_EVERY_S)

    async def stop(self) -> None:
        """Cut what is left."""
        if self._connections:
            logger.warning(
                'event=connections_cut number={}', len(self._connections)
            )
        for conn in tuple(self._connections):
            conn.cut()

    def dump(self) -> Mapping[str, object]:
        """Return the address and how many connections are open."""
        return {
            'address': self.address,
            'connections': len(self._connections),
            'draining': self.draining,
        }

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on what callers send."""
        index = self._desk.index
        return index.table.limits if index else CallerLimits()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    def opened(self, conn: CallerConnection) -> None:
        """Note a new connection."""
        self._connections.add(conn)

    def closed(self, conn: CallerConnection) -> None:
        """Forget a connection."""
        self._connections.discard(conn)

    async def serve(self, req: WholeRequest, answer: AnswerWriter) -> None:
        """Answer one request."""
        await self._desk.serve(req, answer)
