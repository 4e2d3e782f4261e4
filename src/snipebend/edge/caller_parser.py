"""Splits a caller's bytes into complete requests.

``httptools`` parses. ``uvicorn`` is based on the same parser, but hides from
its application what an entry needs to know: whether a request was read
completely, whether its framing was ambiguous, and whether the caller has
disconnected.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import httptools

from snipebend.edge.framing import FramingFault, body_too_large, check_request
from snipebend.edge.http_headers import CONTENT_LENGTH, find_all
from snipebend.relay.buffer_budget import UNCOUNTED_BYTES
from snipebend.relay.facts import RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.hosts.model import CallerLimits
    from snipebend.relay.buffer_budget import BufferHold


class CompleteRequest(NamedTuple):
    """A request that was read to its last byte."""

    head: RequestHead
    body: bytes
    keep_alive: bool
    #: Whether the caller accepts chunked responses.
    accepts_chunks: bool
    #: Counts the body while the request is in progress; None if it is small.
    body_hold: BufferHold | None = None


class CallerParser:
    """The requests of one connection, in order."""

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_continue: Callable[[], None],
        hold_body: Callable[[RequestHead, int], BufferHold | None] | None,
    ) -> None:
        """Start a connection; ``on_continue`` sends an interim response.

        ``hold_body`` counts the bytes of a body, or returns None if there is no
        memory for it. Without it nothing is counted.
        """
        self.requests: deque[CompleteRequest] = deque()
        self.fault: FramingFault | None = None
        #: Of a request for whose body there is no memory.
        self.refused_head: RequestHead | None = None
        #: Whether a request has begun and is not complete yet.
        self.incomplete = False
        #: Whether the head of that request has been read.
        self.head_complete = False
        self._limits = limits
        self._on_continue = on_continue
        self._hold_body = hold_body
        self._body_hold: BufferHold | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._head = RequestHead(b'', b'', ())
        self._target = b''
        self._version = ''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def feed(self, received: bytes) -> None:
        """Parse received bytes; ignored after a fault."""
        if self._has_failed:
            return
        if not self.head_complete:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._fail('protocol upgrades are not known here')
        except httptools.HttpParserError as exc:
            self._fail(f'not HTTP/1.1: {exc}')
        if self._is_head_too_large():
            self.fault = self.fault or FramingFault(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the head is too large',
            )

    def close(self) -> None:
        """Release what is held for requests that were not begun."""
        for req in self.requests:
            if req.body_hold is not None:
                req.body_hold.release()
        self.requests.clear()
        self._release_body()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.incomplete = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Validate the head."""
        self.head_complete = True
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
        if self.fault is None and self._hold_body is not None:
            lengths = find_all(headers, CONTENT_LENGTH)
            self._hold(int(lengths[0]) if lengths else 0)
        if not self._has_failed and find_all(headers, b'expect'):
            self._on_continue()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        if self._has_failed:
            return
        self._body += body
        if self._hold_body is not None:
            self._hold(len(self._body))
        if len(self._body) > self._limits().body_bytes:
            self.fault = body_too_large()

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.incomplete = False
        self.head_complete = False
        if self._has_failed:
            return
        body_hold = self._body_hold
        self._body_hold = None
        self.requests.append(
            CompleteRequest(
                self._head,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self._version == '1.1',
                body_hold,
            )
        )

    @property
    def _has_failed(self) -> bool:
        return self.fault is not None or self.refused_head is not None

    def _hold(self, size: int) -> None:
        """Count a body of at least ``size`` bytes, or refuse the request."""
        if size <= UNCOUNTED_BYTES or self._hold_body is None:
            return
        if self._body_hold is None:
            self._body_hold = self._hold_body(self._head, size)
            fits = self._body_hold is not None
        else:
            fits = size <= self._body_hold.size or self._body_hold.try_grow(
                size
            )
        if not fits:
            self.refused_head = self._head
            self._body = bytearray()
            self._release_body()

    def _release_body(self) -> None:
        if self._body_hold is not None:
            self._body_hold.release()
            self._body_hold = None

    def _reset(self) -> None:
        self.head_complete = False
        self._target = b''
        self._headers = []
        self._body = bytearray()

    def _is_head_too_large(self) -> bool:
        if self.head_complete or not self.incomplete:
            self._head_bytes = 0
            return False
        return self._head_bytes > self._limits().header_bytes

    def _fail(self, detail: str) -> None:
        self.fault = self.fault or FramingFault(HTTPStatus.BAD_REQUEST, detail)
