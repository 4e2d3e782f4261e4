"""Parses the response to the one request sent on an upstream connection.

``httptools`` parses the syntax; this module detects bytes that belong to no
request, a response to another request, and an end of input that does not
complete the response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from snipebend.edge.http_headers import connection_options, find_all
from snipebend.edge.response_channel import (
    BodyChunk,
    ResponseCompleted,
    ResponseStarted,
)
from snipebend.relay.facts import ResponseHead
from snipebend.transport.body_framing import BodyFraming, find_framing

if TYPE_CHECKING:
    from snipebend.edge.response_channel import ResponseChannel
    from snipebend.relay.facts import Dialect

_FIRST_FINAL_STATUS = 200


class ResponseParser:
    """Parses the responses on one connection, one request at a time."""

    def __init__(self, dialect: Dialect) -> None:
        """Create a parser for a new connection."""
        #: Receives the response; None while no response is expected.
        self.channel: ResponseChannel | None = None
        #: Whether the connection can't be used for another request.
        self.not_reusable = False
        #: Keep-alive timeout of the upstream in seconds, if stated.
        self.keep_alive_s: float | None = None
        self._dialect = dialect
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b''
        self._framing = BodyFraming.LENGTH
        self._ignoring = False
        self._started = False

    def expect(self, channel: ResponseChannel) -> None:
        """Expect the response to a request that is being sent."""
        self.channel = channel
        self._started = False

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raises:
            ValueError: when the bytes are no answer.
        """
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise ValueError(f'not an answer: {exc}') from exc

    def feed_eof(self) -> None:
        """Complete a response that ends with its connection."""
        self.not_reusable = True
        if self._framing is BodyFraming.CLOSE and self._started:
            self._end()

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers = []
        self._reason = b''
        self._framing = BodyFraming.LENGTH
        if self.channel is None:
            # Bytes after a complete response belong to no request.
            self.not_reusable = True

    def on_status(self, reason: bytes) -> None:
        """Append a piece of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Send the head to the channel if it responds to this request."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self.channel is None:
            self._ignoring = self.channel is None
            return
        head = ResponseHead(status, self._reason, tuple(self._headers))
        facts = self._dialect.read_response(head)
        self._record_framing(head)
        # A late copy of an earlier response is ignored; the expected one
        # follows.
        expected_ids = {'', self.channel.request_id}
        self._ignoring = facts.request_id not in expected_ids
        if not self._ignoring:
            self._started = True
            self.channel.send(ResponseStarted(head, facts, self._framing))

    def on_body(self, body: bytes) -> None:
        """Send a piece of the body to the channel."""
        if self.channel is not None and not self._ignoring:
            self.channel.send(BodyChunk(body))

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._ignoring:
            self._ignoring = False
        elif self._started and self._framing is not BodyFraming.CLOSE:
            self._end()

    def _record_framing(self, head: ResponseHead) -> None:
        names = {name.lower().decode('latin-1') for name, _ in head.headers}
        self._framing = find_framing(head.status, names)
        ends_with_connection = self._framing is BodyFraming.CLOSE
        if ends_with_connection or b'close' in connection_options(head.headers):
            self.not_reusable = True
        self.keep_alive_s = _keep_alive_s(head)

    def _end(self) -> None:
        channel = self.channel
        self.channel = None
        if channel is not None:
            channel.send(ResponseCompleted())


def _keep_alive_s(head: ResponseHead) -> float | None:
    for line in find_all(head.headers, b'keep-alive'):
        for part in line.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                return float(seconds)
    return None
