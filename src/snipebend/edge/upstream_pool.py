"""Pools idle connections to upstreams."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.upstream_connection import UpstreamConnection
from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.relay.facts import Dialect
    from snipebend.settings.relay import RelaySection

#: Seconds after which an idle connection is closed if the upstream does not
#: state a keep-alive timeout.
MAX_IDLE_S = 4.0

#: Share of the upstream's keep-alive timeout up to which an idle connection is
#: used: the upstream started counting earlier, and the request needs time to
#: arrive.
KEEP_ALIVE_SHARE = 0.6

#: A request that must run at most once uses a connection that has been idle for
#: less than this many seconds, or a new one: if an upstream closes an idle
#: connection while the request is in transit, it is unknown whether it ran.
FRESH_IDLE_S = 0.2

#: Seconds between two TCP keep-alive probes, and how many may remain
#: unanswered: a connection whose peer is lost is detected in three seconds.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class RefusedConnectionError(UnavailableError):
    """No process listens at the address of an upstream."""


class ProbeOutcome(Enum):
    """What became of a new connection to an address."""

    REFUSED = 'refused'
    ACCEPTED = 'accepted'
    #: It could not be opened in time.
    UNKNOWN = 'unknown'


class UpstreamPool:
    """Idle connections by upstream identity."""

    def __init__(
        self, cfg: RelaySection, dialect: Dialect, clock: Clock
    ) -> None:
        """Create an empty pool."""
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
        conn = self._take_idle(identity, address, fresh=fresh)
        if conn is None:
            conn = await self._open(address)
        return conn

    async def probe(self, identity: str, address: str) -> ProbeOutcome:
        """Return what becomes of a new connection to an address.

        A connection that is accepted is kept for the next request.
        """
        try:
            conn = await self._open(address)
        except RefusedConnectionError:
            return ProbeOutcome.REFUSED
        except UnavailableError as exc:
            logger.info(
                'event=upstream_probe_failed upstream={} error={!r}',
                identity,
                str(exc),
            )
            return ProbeOutcome.UNKNOWN
        self.release(identity, conn)
        return ProbeOutcome.ACCEPTED

    def release(self, identity: str, conn: UpstreamConnection) -> None:
        """Keep a connection whose response was read completely, if usable."""
        if conn.usable:
            conn.idle_since = self._clock.now()
            self._idle.setdefault(identity, []).append(conn)

    def close_idle(self, identity: str) -> None:
        """Close an upstream's idle connections."""
        for conn in self._idle.pop(identity, ()):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.now()
        for identity, conns in tuple(self._idle.items()):
            kept = [conn for conn in conns if self._is_usable(conn, now)]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            self._idle[identity] = kept
            if not kept:
                self._idle.pop(identity)

    def close(self) -> None:
        """Close all idle connections."""
        for identity in tuple(self._idle):
            self.close_idle(identity)

    def count_idle(self) -> dict[str, int]:
        """Return the number of idle connections by identity."""
        return {identity: len(conns) for identity, conns in self._idle.items()}

    def _take_idle(
        self, identity: str, address: str, *, fresh: bool
    ) -> UpstreamConnection | None:
        """Return an idle connection to an upstream.

        A call to a former incarnation may have released its connection late.
        """
        conns = self._idle.get(identity, [])
        now = self._clock.now()
        while conns:
            conn = conns.pop()
            if conn.address != address or not self._is_usable(conn, now):
                conn.close()
                continue
            if fresh and now - conn.idle_since > FRESH_IDLE_S:
                conns.append(conn)
                return None
            return conn
        return None

    def _is_usable(self, conn: UpstreamConnection, now: float) -> bool:
        max_idle_s = MAX_IDLE_S
        if conn.keep_alive_s is not None:
            max_idle_s = min(MAX_IDLE_S, conn.keep_alive_s * KEEP_ALIVE_SHARE)
        return conn.usable and now - conn.idle_since < max_idle_s

    async def _open(self, address: str) -> UpstreamConnection:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._cfg.connect_timeout_s):
                transport, conn = await loop.create_connection(
                    lambda: UpstreamConnection(self._dialect, address),
                    host,
                    int(port),
                )
        except ConnectionRefusedError as exc:
            raise RefusedConnectionError(
                str(exc), step='connect', peer=address
            ) from exc
        except (OSError, ValueError, OverflowError) as exc:
            reason = str(exc) or 'no connection in time'
            raise UnavailableError(
                reason, step='connect', peer=address
            ) from exc
        set_keepalive_options(transport, self._cfg.silent_after_s)
        return conn


def set_keepalive_options(
    transport: asyncio.BaseTransport, silent_after_s: float
) -> None:
    """Have the kernel detect a connection whose peer does not respond."""
    sock = transport.get_extra_info('socket')
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(1000 * silent_after_s),
        ),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)
