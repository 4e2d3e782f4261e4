"""HTTP client of the control leader for all upstreams, with a shared session.

The client library is imported at the first call, so that daemons that never
lead need 7 MB less memory and start 0.1 s sooner.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.balancing.engine_backoffs import EngineBackoffs
from snipebend.balancing.order_dispatcher import OrderDispatcher
from snipebend.relay.backpressure_headers import parse_backoff

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import ClientResponse, ClientSession

    from snipebend.state.roster import UpstreamRecord

#: Timeout of one call in seconds: many times a round trip within a region plus
#: an engine's response time, which is a few milliseconds.
CALL_TIMEOUT_S = 0.4

_OK = 200


class EngineHttpClient:
    """Sends read requests and orders to upstreams."""

    def __init__(self) -> None:
        """Create the client; connections are opened on demand."""
        self._session: ClientSession | None = None
        self._closed = False
        self._dispatcher = OrderDispatcher()
        self._backoffs = EngineBackoffs()

    def load(self) -> None:
        """Import the client library, which takes 0.1 s."""
        import aiohttp  # noqa: F401

    async def read(
        self, upstream: UpstreamRecord, path: str, headers: Mapping[str, str]
    ) -> bytes | None:
        """Return the body of a 200 response, None for any other outcome."""
        from aiohttp import ClientError

        if self._is_backing_off(upstream, path):
            return None
        try:
            async with self._open().get(
                _url(upstream, path), headers=headers
            ) as resp:
                self._record_backoff(upstream, resp)
                body = await resp.read()
                return body if resp.status == _OK else None
        except (ClientError, asyncio.TimeoutError, OSError) as exc:
            logger.info(
                'event=engine_silent upstream={} path={} error={!r}',
                upstream.identity,
                path,
                exc,
            )
            return None

    async def send_order(
        self,
        upstream: UpstreamRecord,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> int | None:
        """Send an order; return the response status, None without response."""
        if self._is_backing_off(upstream, path):
            return None
        status = await self._dispatcher.dispatch(
            len(body), lambda: self._post(upstream, path, headers, body)
        )
        if status is None:
            logger.info('event=order_lost upstream={}', upstream.identity)
        return status

    async def close(self) -> None:
        """Close all connections; no further one is opened."""
        self._closed = True
        if self._session is not None:
            await self._session.close()

    async def _post(
        self,
        upstream: UpstreamRecord,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> int | None:
        from aiohttp import ClientError

        try:
            async with self._open().post(
                _url(upstream, path), data=body, headers=headers
            ) as resp:
                self._record_backoff(upstream, resp)
                await resp.read()
                return resp.status
        except (ClientError, asyncio.TimeoutError, OSError) as exc:
            logger.info(
                'event=order_broken upstream={} error={!r}',
                upstream.identity,
                exc,
            )
            return None

    def _is_backing_off(self, upstream: UpstreamRecord, path: str) -> bool:
        remaining_s = self._backoffs.remaining_s(upstream.identity, _now())
        if remaining_s:
            logger.info(
                'event=engine_left_alone upstream={} path={} rest_ms={:.0f}',
                upstream.identity,
                path,
                1000 * remaining_s,
            )
        return remaining_s > 0

    def _record_backoff(
        self, upstream: UpstreamRecord, resp: ClientResponse
    ) -> None:
        backoff = parse_backoff(
            resp.status, resp.headers.getall('Retry-After', ())
        )
        if backoff is None:
            return
        logger.info(
            'event=engine_rests upstream={} rest_s={}',
            upstream.identity,
            backoff.seconds,
        )
        if backoff.seconds is not None:
            self._backoffs.record(upstream.identity, backoff.seconds, _now())

    def _open(self) -> ClientSession:
        from aiohttp import (
            ClientConnectionError,
            ClientSession,
            ClientTimeout,
            TCPConnector,
        )

        if self._closed:
            raise ClientConnectionError('the client is closed')
        if self._session is None:
            self._session = ClientSession(
                # No connection limit. With the library's default of 100, 92 of
                # a group's 192 ranks waited for a connection while their call
                # timeout was running.
                connector=TCPConnector(limit=0),
                timeout=ClientTimeout(total=CALL_TIMEOUT_S),
            )
        return self._session


def _now() -> float:
    return asyncio.get_running_loop().time()


def _url(upstream: UpstreamRecord, path: str) -> str:
    return f'http://{upstream.address}{path}'
