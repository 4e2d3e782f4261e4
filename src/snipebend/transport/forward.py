"""Forwards requests over HTTP with one connection pool per peer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import (
    ClientConnectionError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from loguru import logger
from multidict import CIMultiDict

from snipebend.kernel.service import Service
from snipebend.transport.problems import INTERNAL_HEADERS
from snipebend.transport.watched_response import WatchedResponse

if TYPE_CHECKING:
    from aiohttp import ClientResponse

#: Time-out for opening a connection to a peer.
CONNECT_TIMEOUT_S = 1.0

#: Seconds for which an idle connection is kept: less than the five seconds
#: after which ``uvicorn`` closes it, so that a request rarely meets a
#: connection that the server is closing.
IDLE_TIMEOUT_S = 3.0

#: Headers that apply to one hop only (RFC 9110, section 7.6.1).
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_DROPPED_HEADERS = _HOP_HEADERS | INTERNAL_HEADERS

Headers = Mapping[str, str]


class OutgoingRequest(NamedTuple):
    """A request to send to the ``host:port`` in ``peer``."""

    method: str
    peer: str
    uri: str
    headers: Headers
    body: bytes


class _Pool:
    """The connections to one peer; if retired, closed after the last use."""

    def __init__(self) -> None:
        self.in_use = 0
        self._retired = False
        self.session = ClientSession(
            connector=TCPConnector(
                limit=0,
                use_dns_cache=False,
                keepalive_timeout=IDLE_TIMEOUT_S,
            ),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
            response_class=WatchedResponse,
        )
        # ``aiohttp`` must not resend: the delivery decides which requests may
        # be sent twice.
        self.session._retry_connection = False

    async def __aenter__(self) -> ClientSession:
        self.in_use += 1
        return self.session

    async def __aexit__(self, *exc_info: object) -> None:
        self.in_use -= 1
        if self._retired:
            await self.retire()

    async def retire(self) -> None:
        """Close now, or after the last request in flight."""
        self._retired = True
        if not self.in_use:
            await self.session.close()


class HttpClient(Service):
    """Pools of outgoing HTTP connections of one process, one per peer."""

    def __init__(self, name: str) -> None:
        """Initialize without pools."""
        super().__init__(name)
        self._pools: dict[str, _Pool] = {}
        self._stopping = False

    async def stop(self) -> None:
        """Close all pools; no further connection is opened."""
        self._stopping = True
        logger.info(
            'event=http_client_stopping in_use={}',
            sum(pool.in_use for pool in self._pools.values()),
        )
        # Calls that break now retire their pools.
        pools = tuple(self._pools.values())
        self._pools.clear()
        for pool in pools:
            await pool.session.close()

    async def retire(self, peer: str) -> None:
        """Stop reusing the connections to a peer.

        Requests in flight finish on their connections; later requests open
        new ones.
        """
        pool = self._pools.pop(peer, None)
        if pool is not None:
            await pool.retire()

    def dump(self) -> Mapping[str, object]:
        """Return the requests in flight by peer."""
        return {peer: pool.in_use for peer, pool in self._pools.items()}

    def session(self, peer: str) -> ClientSession:
        """Return the current session with a peer, for short calls.

        Raises:
            aiohttp.ClientError: if the client is stopping.
        """
        return self._pool(peer).session

    @asynccontextmanager
    async def send(
        self, outgoing: OutgoingRequest
    ) -> AsyncIterator[ClientResponse]:
        """Send a request once and close the response on exit.

        Raises:
            aiohttp.ClientError: if the peer is unreachable or aborts, or if the
                client is stopping.
        """
        async with self._pool(outgoing.peer) as session:
            response = await session.request(
                outgoing.method,
                f'http://{outgoing.peer}{outgoing.uri}',
                headers=outgoing.headers,
                data=outgoing.body,
                allow_redirects=False,
            )
            try:
                yield response
            finally:
                response.close()

    def _pool(self, peer: str) -> _Pool:
        pool = self._pools.get(peer)
        if pool is None:
            if self._stopping:
                logger.info('event=call_during_stop peer={}', peer)
                raise ClientConnectionError(
                    f'the client is stopping: no connection to {peer}'
                )
            pool = _Pool()
            self._pools[peer] = pool
        return pool


def end_to_end(headers: Headers) -> CIMultiDict[str]:
    """Return the headers without hop-by-hop and internal ones."""
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in _DROPPED_HEADERS:
            kept.add(name, value)
    return kept


async def read_chunk(response: ClientResponse, timeout_s: float) -> bytes:
    """Return the next bytes of a body; empty at its end.

    Raises:
        TimeoutError: after ``timeout_s`` seconds; the read can be repeated.
        aiohttp.ClientError: if the body is incomplete.
    """
    async with asyncio.timeout(timeout_s):
        received = await response.content.readany()
    if not received and isinstance(response, WatchedResponse):
        response.check_end()
    return received
