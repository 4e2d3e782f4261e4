"""Cuts a caller's bytes into whole requests.

``httptools`` parses; ``uvicorn`` stands on the same parser, but hides from its
application what the rules of this path need: whether a request was read whole,
whether its framing was ambiguous, and whether the caller has left.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import httptools

from snipebend.edge.framing import FramingFault, check_request, too_large
from snipebend.edge.http_headers import find_all
from snipebend.relay.facts import RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.hosts.model import CallerLimits


class WholeRequest(NamedTuple):
    """A request whose last byte has been read."""

    head: RequestHead
    body: bytes
    keep_alive: bool
    #: Whether its caller reads answers in chunks.
    chunks: bool


class CallerParser:
    """The requests of one connection, in their order."""

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_continue: Callable[[], None],
    ) -> None:
        """Start a connection; ``on_continue`` sends an interim answer."""
        self.requests: deque[WholeRequest] = deque()
        self.fault: FramingFault | None = None
        #: Whether a request has begun and isn't whole yet.
        self.partial = False
        #: Whether the head of that request has been read.
        self.head_read = False
        self._limits = limits
        self._on_continue = on_continue
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._head = RequestHead(b'', b'', ())
        self._target = b''
        self._version = ''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def feed(self, received: bytes) -> None:
        """Take in bytes; nothing more is read after a fault."""
        if self.fault is not None:
            return
        if not self.head_read:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._fail('protocol upgrades are not known here')
        except httptools.HttpParserError as exc:
            self._fail(f'not HTTP/1.1: {exc}')
        if self._head_is_too_long():
            self.fault = self.fault or FramingFault(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the head is too large',
            )

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.partial = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Take in a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.head_read = True
        self._head_bytes = 0
        headers = tuple(self._headers)
        self._head = RequestHead(
            self._parser.get_method(), self._target, headers
        )
        self._version = self._parser.get_http_version()
        limits = self._limits()
        self.fault = self.fault or check_request(
            headers, self._target, self._version, limits
        )
        if self.fault is None and find_all(headers, b'expect'):
            self._on_continue()

    def on_body(self, body: bytes) -> None:
        """Take in a piece of the body."""
        if self.fault is not None:
            return
        self._body += body
        if len(self._body) > self._limits().body_bytes:
            self.fault = too_large()

    def on_message_complete(self) -> None:
        """Queue the request."""
        self.partial = False
        self.head_read = False
        if self.fault is not None:
            return
        self.requests.append(
            WholeRequest(
                self._head,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self._version == '1.1',
            )
        )

    def _reset(self) -> None:
        self.head_read = False
        self._target = b''
        self._headers = []
        self._body = bytearray()

    def _head_is_too_long(self) -> bool:
        if self.head_read or not self.partial:
            self._head_bytes = 0
            return False
        return self._head_bytes > self._limits().header_bytes

    def _fail(self, detail: str) -> None:
        self.fault = self.fault or FramingFault(HTTPStatus.BAD_REQUEST, detail)
