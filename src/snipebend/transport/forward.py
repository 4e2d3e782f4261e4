"""Passing a request on over HTTP: headers, and pools of connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import ClientSession, ClientTimeout, TCPConnector
from multidict import CIMultiDict

from snipebend.kernel.service import Service
from snipebend.transport.problems import INTERNAL_HEADERS

if TYPE_CHECKING:
    from aiohttp import ClientResponse

#: Seconds to open a connection to a peer.
CONNECT_TIMEOUT_S = 1.0

#: Seconds for which an idle connection is kept: less than the five after
#: which ``uvicorn`` closes it from its side, so that the two rarely race.
IDLE_S = 3.0

#: Headers that belong to one hop only (RFC 9110, section 7.6.1).
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
_DROPPED = _HOP_HEADERS | INTERNAL_HEADERS

Headers = Mapping[str, str]


class Outgoing(NamedTuple):
    """A request on its way to a peer at ``host:port``."""

    method: str
    peer: str
    uri: str
    headers: Headers
    body: bytes


class _Pool:
    """The connections to one peer; closed after its last use if retired."""

    def __init__(self) -> None:
        self.in_use = 0
        self._retired = False
        self.session = ClientSession(
            connector=TCPConnector(
                limit=0,
                use_dns_cache=False,
                keepalive_timeout=IDLE_S,
            ),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
        )
        # Only the delivery's own rules say what may be sent twice.
        self.session._retry_connection = False

    async def __aenter__(self) -> ClientSession:
        self.in_use += 1
        return self.session

    async def __aexit__(self, *exc_info: object) -> None:
        self.in_use -= 1
        if self._retired:
            await self.retire()

    async def retire(self) -> None:
        """Close with the last use."""
        self._retired = True
        if not self.in_use:
            await self.session.close()


class HttpClient(Service):
    """The pools of outgoing HTTP connections of one process, one a peer."""

    def __init__(self, name: str) -> None:
        """Open nothing yet."""
        super().__init__(name)
        self._pools: dict[str, _Pool] = {}

    async def stop(self) -> None:
        """Close all pools."""
        for pool in self._pools.values():
            await pool.session.close()
        self._pools.clear()

    async def retire(self, peer: str) -> None:
        """Use none of the connections to a peer again.

        Requests in flight end on their connections; later ones get new ones.
        """
        pool = self._pools.pop(peer, None)
        if pool is not None:
            await pool.retire()

    def dump(self) -> Mapping[str, object]:
        """Return the requests in flight by peer."""
        return {peer: pool.in_use for peer, pool in self._pools.items()}

    def session(self, peer: str) -> ClientSession:
        """Return the present session to a peer, for short calls."""
        return self._pool(peer).session

    @asynccontextmanager
    async def send(self, outgoing: Outgoing) -> AsyncIterator[ClientResponse]:
        """Send a request once and close the answer in the end.

        Raises:
            aiohttp.ClientError: when the peer can't be reached or breaks off.
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
            pool = _Pool()
            self._pools[peer] = pool
        return pool


def end_to_end(headers: Headers) -> CIMultiDict[str]:
    """Return the headers without those of one hop and without our own."""
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in _DROPPED:
            kept.add(name, value)
    return kept


async def read_some(response: ClientResponse, timeout_s: float) -> bytes:
    """Return the next bytes of a body, none at its end.

    Raises:
        TimeoutError: after ``timeout_s`` seconds; reading may go on.
    """
    async with asyncio.timeout(timeout_s):
        return await response.content.readany()
