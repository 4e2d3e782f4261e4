"""One connection to an upstream: one request at a time, its answer read.

The parser is the library's; the rest must be seen here: bytes that belong to
no request, an answer to another request, an end that isn't one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from snipebend.edge.exchange import Begun, Broken, Exchange, Piece, Whole
from snipebend.edge.http_headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    connection_options,
    find_all,
)
from snipebend.relay.facts import AnswerHead

if TYPE_CHECKING:
    from snipebend.relay.facts import Dialect

_INTERIM = range(100, 200)
_BODILESS = frozenset((204, 304))

#: Messages that may wait for the reader before the upstream is read no more.
MAX_WAITING = 64


class UpstreamConnection(asyncio.Protocol):
    """Owns the transport to one upstream."""

    def __init__(self, dialect: Dialect) -> None:
        """Keep how answers are read; the transport comes later."""
        self.usable = False
        self.idle_since: float = 0
        #: Seconds for which the upstream keeps an idle connection, if told.
        self.keep_alive_s: float | None = None
        self._dialect = dialect
        self._exchange: Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b''
        self._until_close = False
        self._skipping = False
        self._answered = False
        self._closes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready for a request."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.usable = True

    def send(self, data: bytes, request_id: str) -> Exchange:
        """Send a request; only on a usable connection."""
        exchange = Exchange(request_id)
        self._exchange = exchange
        self._answered = False
        self._transport.write(data)
        return exchange

    def abandon(self) -> None:
        """Close at once; nobody reads the answer any more."""
        self._exchange = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read the answer on."""
        if self._exchange is None:
            # Bytes that nobody asked for: the next answer can't be trusted.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._break(f'not an answer: {exc}')
        if self._exchange is None and not self.usable:
            self.close()
        self._throttle()

    def eof_received(self) -> bool:
        """An answer without a length ends with its connection."""
        if self._exchange is not None and self._until_close and self._answered:
            self._end()
        self.usable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the reader, if it still waits."""
        self._break(str(exc) if exc else 'closed by the upstream')

    def resume(self) -> None:
        """Read on, once the reader has caught up."""
        if self.usable and self._exchange is not None:
            self._transport.resume_reading()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._reason = b''
        self._until_close = False
        if self._exchange is None:
            # More bytes follow a complete answer: nobody asked for them.
            self.usable = False

    def on_status(self, reason: bytes) -> None:
        """Take in the reason."""
        self._reason += reason

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Pass the head on, if it answers this request."""
        status = self._parser.get_status_code()
        if status in _INTERIM:
            return
        if self._exchange is None:
            self._skipping = True
            return
        head = AnswerHead(status, self._reason, tuple(self._headers))
        facts = self._dialect.read_answer(head)
        self._skipping = facts.request_id not in {
            '',
            self._exchange.request_id,
        }
        self._note_framing(head, closing=facts.closing)
        if self._skipping:
            # A late copy of an earlier answer; the own one follows it.
            return
        self._answered = True
        self._exchange.tell(Begun(head))

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on."""
        if self._exchange is not None and not self._skipping:
            self._exchange.tell(Piece(body))

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._parser.get_status_code() in _INTERIM:
            return
        if self._skipping:
            self._skipping = False
            return
        if self._answered and not self._until_close:
            self._end()

    def _note_framing(self, head: AnswerHead, *, closing: bool) -> None:
        options = connection_options(head.headers)
        self._closes = closing or b'close' in options
        framed = find_all(head.headers, CONTENT_LENGTH) or find_all(
            head.headers, TRANSFER_ENCODING
        )
        self._until_close = not framed and head.status not in _BODILESS
        if self._until_close:
            self._closes = True
        self.keep_alive_s = _keep_alive(head)

    def _end(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.tell(Whole())
        if self._closes:
            self.close()

    def _break(self, reason: str) -> None:
        self.usable = False
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.tell(Broken(reason))
        self._transport.abort()

    def _throttle(self) -> None:
        if self._exchange is not None and self._exchange.waiting > MAX_WAITING:
            self._transport.pause_reading()


def _keep_alive(head: AnswerHead) -> float | None:
    for line in find_all(head.headers, b'keep-alive'):
        for part in line.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                return float(seconds)
    return None
