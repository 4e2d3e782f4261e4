"""A response of ``aiohttp`` that notices how its connection ended.

``aiohttp`` takes any loss of the connection for the end of a body that has
neither a length nor chunks, a reset as well as a regular end.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError, ClientResponse

from snipebend.transport.body_framing import BodyFraming, find_framing

if TYPE_CHECKING:
    from aiohttp.connector import Connection


class WatchedResponse(ClientResponse):
    """Response whose end can be checked."""

    _lost: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> WatchedResponse:
        """Watch the connection, and read the head."""
        if connection.protocol is not None:
            # None if the connection was lost already.
            self._lost = connection.protocol.closed
        if self._lost is not None:
            self._lost.add_done_callback(_find_error)
        await super().start(connection)
        return self

    def check_end(self) -> None:
        """Check that the end of the body was not caused by an error.

        Raises:
            ClientPayloadError: if the body may be incomplete.
        """
        names = {name.lower() for name in self.headers}
        if find_framing(self.status, names) is not BodyFraming.CLOSE:
            return
        if self._lost is None:
            raise ClientPayloadError('connection lost before the response')
        if self._lost.done() and _find_error(self._lost) is not None:
            raise ClientPayloadError(
                f'body broken off: {_find_error(self._lost)}'
            )


def _find_error(lost: asyncio.Future[None]) -> BaseException | None:
    """Return the error by which a connection was lost, if any."""
    return None if lost.cancelled() else lost.exception()
