"""One connection to an upstream, for one request at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from snipebend.edge.response_channel import ResponseAborted, ResponseChannel
from snipebend.edge.response_parser import ResponseParser

if TYPE_CHECKING:
    from snipebend.relay.facts import Dialect

#: Events that may queue for the reader before reading is paused.
MAX_PENDING_EVENTS = 64

#: The same in bytes of the body.
MAX_PENDING_BYTES = 65_536


class UpstreamConnection(asyncio.Protocol):
    """Protocol of one connection to an upstream."""

    def __init__(self, dialect: Dialect, address: str) -> None:
        """Keep the dialect; the transport is set on connection."""
        self.address = address
        self.idle_since: float = 0
        self._parser = ResponseParser(dialect)
        self._open = False

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return self._open and not self._parser.not_reusable

    @property
    def keep_alive_s(self) -> float | None:
        """Return the upstream's keep-alive timeout, if stated."""
        return self._parser.keep_alive_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; requests may be sent now."""
        self._transport = cast(asyncio.Transport, transport)
        self._open = True

    def send(self, data: bytes, request_id: str) -> ResponseChannel:
        """Send a request; the connection must be usable."""
        channel = ResponseChannel(request_id)
        self._parser.expect(channel)
        self._transport.write(data)
        return channel

    def abandon(self) -> None:
        """Close the connection, and drop the rest of the response."""
        self._parser.channel = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._open = False
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response."""
        if self._parser.channel is None:
            # Bytes that belong to no request: the next response can't be
            # trusted.
            self.close()
            return
        try:
            self._parser.feed(data)
        except ValueError as exc:
            self._fail(str(exc))
        channel = self._parser.channel
        if channel is None and self._parser.not_reusable:
            self.close()
        if channel is not None and _is_full(channel):
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Complete a response without a length."""
        self._parser.feed_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the reader if it is still waiting."""
        self._fail(str(exc) if exc else 'closed by the upstream')

    def resume(self) -> None:
        """Resume reading once the reader has caught up."""
        channel = self._parser.channel
        if self._open and channel is not None and not _is_full(channel):
            self._transport.resume_reading()

    def _fail(self, reason: str) -> None:
        channel = self._parser.channel
        self._parser.channel = None
        if channel is not None:
            channel.send(ResponseAborted(reason))
        self.close()


def _is_full(channel: ResponseChannel) -> bool:
    return (
        channel.pending > MAX_PENDING_EVENTS
        or channel.pending_bytes > MAX_PENDING_BYTES
    )
