"""Connections to upstreams: opened when needed, kept while they are sound."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from snipebend.edge.upstream_connection import UpstreamConnection
from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.relay.facts import Dialect
    from snipebend.settings.relay import RelaySection

#: An idle connection is dropped after this long, in seconds, if the upstream
#: doesn't tell its own time.
IDLE_S = 4.0

#: Share of the upstream's own time up to which an idle connection is used: its
#: clock started earlier, and the request needs its way.
IDLE_SHARE = 0.6

#: A request that must run once at most goes over a connection that was used
#: within so many seconds, else over a new one: an upstream that closes an idle
#: connection while the request is on its way leaves the request's fate open.
FRESH_S = 0.2

#: Seconds between two keep-alive probes of the kernel, and how many may go
#: unanswered: a connection whose other end is gone is found in three seconds.
PROBE_EVERY_S = 1
PROBES = 2


class UpstreamPool:
    """Idle connections by the upstream's identity."""

    def __init__(
        self, cfg: RelaySection, dialect: Dialect, clock: Clock
    ) -> None:
        """Start without connections."""
        self._cfg = cfg
        self._dialect = dialect
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}

    async def acquire(
        self, identity: str, address: str, *, fresh: bool
    ) -> UpstreamConnection:
        """Return a connection for one request.

        Raises:
            UnavailableError: when none can be opened in time.
        """
        conn = self._take_idle(identity, fresh=fresh)
        if conn is None:
            conn = await self._open(address)
        return conn

    def release(self, identity: str, conn: UpstreamConnection) -> None:
        """Keep a connection whose answer was read whole, if it is sound."""
        if conn.usable:
            conn.idle_since = self._clock.now()
            self._idle.setdefault(identity, []).append(conn)

    def drop(self, identity: str) -> None:
        """Close an upstream's idle connections."""
        for conn in self._idle.pop(identity, ()):
            conn.close()

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = self._clock.now()
        for identity, conns in tuple(self._idle.items()):
            kept = [conn for conn in conns if self._is_alive(conn, now)]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            self._idle[identity] = kept
            if not kept:
                self._idle.pop(identity)

    def close(self) -> None:
        """Close all idle connections."""
        for identity in tuple(self._idle):
            self.drop(identity)

    def sizes(self) -> dict[str, int]:
        """Return the idle connections by identity."""
        return {identity: len(conns) for identity, conns in self._idle.items()}

    def _take_idle(
        self, identity: str, *, fresh: bool
    ) -> UpstreamConnection | None:
        conns = self._idle.get(identity, [])
        now = self._clock.now()
        while conns:
            conn = conns.pop()
            if not self._is_alive(conn, now):
                conn.close()
                continue
            if fresh and now - conn.idle_since > FRESH_S:
                conns.append(conn)
                return None
            return conn
        return None

    def _is_alive(self, conn: UpstreamConnection, now: float) -> bool:
        span_s = IDLE_S
        if conn.keep_alive_s is not None:
            span_s = min(IDLE_S, conn.keep_alive_s * IDLE_SHARE)
        return conn.usable and now - conn.idle_since < span_s

    async def _open(self, address: str) -> UpstreamConnection:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._cfg.connect_timeout_s):
                transport, conn = await loop.create_connection(
                    lambda: UpstreamConnection(self._dialect), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as exc:
            reason = str(exc) or 'no connection in time'
            raise UnavailableError(
                reason, step='connect', peer=address
            ) from exc
        set_silence_limits(transport, self._cfg.silent_after_s)
        return conn


def set_silence_limits(
    transport: asyncio.BaseTransport, silent_after_s: float
) -> None:
    """Have the kernel find a connection whose other end is silent."""
    sock = transport.get_extra_info('socket')
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_EVERY_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(1000 * silent_after_s),
        ),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)
