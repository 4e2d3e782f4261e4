"""One connection to an upstream: one request at a time, its answer read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from snipebend.edge.answer_parser import AnswerParser
from snipebend.edge.exchange import Broken, Exchange

if TYPE_CHECKING:
    from snipebend.relay.facts import Dialect

#: Messages that may wait for the reader before the upstream is read no more.
MAX_WAITING = 64


class UpstreamConnection(asyncio.Protocol):
    """Owns the transport to one upstream."""

    def __init__(self, dialect: Dialect) -> None:
        """Keep how answers are read; the transport comes later."""
        self.idle_since: float = 0
        self._parser = AnswerParser(dialect)
        self._open = False

    @property
    def usable(self) -> bool:
        """Tell whether another request may be sent."""
        return self._open and not self._parser.spoilt

    @property
    def keep_alive_s(self) -> float | None:
        """Return for how long the upstream keeps it idle, if it told."""
        return self._parser.keep_alive_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready for a request."""
        self._transport = cast(asyncio.Transport, transport)
        self._open = True

    def send(self, data: bytes, request_id: str) -> Exchange:
        """Send a request; only on a usable connection."""
        exchange = Exchange(request_id)
        self._parser.expect(exchange)
        self._transport.write(data)
        return exchange

    def abandon(self) -> None:
        """Close at once; nobody reads the answer any more."""
        self._parser.exchange = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._open = False
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read the answer on."""
        if self._parser.exchange is None:
            # Bytes that nobody asked for: the next answer can't be trusted.
            self.close()
            return
        try:
            self._parser.feed(data)
        except ValueError as exc:
            self._break(str(exc))
        exchange = self._parser.exchange
        if exchange is None and self._parser.spoilt:
            self.close()
        if exchange is not None and exchange.waiting > MAX_WAITING:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """An answer without a length ends with its connection."""
        self._parser.end_of_input()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the reader, if it still waits."""
        self._break(str(exc) if exc else 'closed by the upstream')

    def resume(self) -> None:
        """Read on, once the reader has caught up."""
        if self._open and self._parser.exchange is not None:
            self._transport.resume_reading()

    def _break(self, reason: str) -> None:
        exchange = self._parser.exchange
        self._parser.exchange = None
        if exchange is not None:
            exchange.tell(Broken(reason))
        self.close()
