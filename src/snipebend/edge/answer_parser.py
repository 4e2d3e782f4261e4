"""Reads an upstream's bytes as the answer to the one request that was sent.

The parser is the library's; the rest must be seen here: bytes that belong to
no request, an answer to another request, an end that isn't one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from snipebend.edge.exchange import Begun, Piece, Whole
from snipebend.edge.http_headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    connection_options,
    find_all,
)
from snipebend.relay.facts import ResponseHead

if TYPE_CHECKING:
    from snipebend.edge.exchange import Exchange
    from snipebend.relay.facts import Dialect

_FIRST_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))


class AnswerParser:
    """The answers on one connection, one request at a time."""

    def __init__(self, dialect: Dialect) -> None:
        """Start before the first request."""
        #: What the answer is told to; none: nothing was asked, or it ended.
        self.exchange: Exchange | None = None
        #: Whether the connection can't be used for another request.
        self.spoilt = False
        #: Seconds for which the upstream keeps an idle connection, if told.
        self.keep_alive_s: float | None = None
        self._dialect = dialect
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b''
        self._until_close = False
        self._skipping = False
        self._answered = False

    def expect(self, exchange: Exchange) -> None:
        """Read the answer to a request that is sent now."""
        self.exchange = exchange
        self._answered = False

    def feed(self, received: bytes) -> None:
        """Read on.

        Raises:
            ValueError: when the bytes are no answer.
        """
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise ValueError(f'not an answer: {exc}') from exc

    def end_of_input(self) -> None:
        """End an answer that has no length: it lasts until the connection."""
        self.spoilt = True
        if self._until_close and self._answered:
            self._end()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._reason = b''
        self._until_close = False
        if self.exchange is None:
            # More bytes follow a complete answer: nobody asked for them.
            self.spoilt = True

    def on_status(self, reason: bytes) -> None:
        """Take in the reason."""
        self._reason += reason

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Pass the head on, if it answers this request."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self.exchange is None:
            self._skipping = self.exchange is None
            return
        head = ResponseHead(status, self._reason, tuple(self._headers))
        facts = self._dialect.read_response(head)
        self._note_framing(head)
        # A late copy of an earlier answer is passed over; the own one follows.
        own = {'', self.exchange.request_id}
        self._skipping = facts.request_id not in own
        if not self._skipping:
            self._answered = True
            self.exchange.tell(Begun(head, facts))

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on."""
        if self.exchange is not None and not self._skipping:
            self.exchange.tell(Piece(body))

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._skipping:
            self._skipping = False
        elif self._answered and not self._until_close:
            self._end()

    def _note_framing(self, head: ResponseHead) -> None:
        framed = find_all(head.headers, CONTENT_LENGTH) or find_all(
            head.headers, TRANSFER_ENCODING
        )
        self._until_close = not framed and head.status not in _BODILESS
        if self._until_close or b'close' in connection_options(head.headers):
            self.spoilt = True
        self.keep_alive_s = _keep_alive(head)

    def _end(self) -> None:
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            exchange.tell(Whole())


def _keep_alive(head: ResponseHead) -> float | None:
    for line in find_all(head.headers, b'keep-alive'):
        for part in line.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                return float(seconds)
    return None
