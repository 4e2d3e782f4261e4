"""Writes one answer to a caller, in the framing that its connection allows."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.edge.http_headers import encode_head
from snipebend.transport.problems import MEDIA_PROBLEM, Problem, encode_problem

if TYPE_CHECKING:
    from collections.abc import Callable

_STATUS_LINE = b'HTTP/1.1 %d %b'
_LAST_CHUNK = b'0\r\n\r\n'


class AnswerWriter:
    """One answer; ``on_end`` is told whether the connection lives on."""

    def __init__(
        self,
        transport: asyncio.Transport,
        writable: asyncio.Event,
        *,
        now: Callable[[], float],
        chunks: bool,
        keeps_open: Callable[[], bool],
        on_end: Callable[[bool], None],
    ) -> None:
        """Keep the connection; ``chunks`` tells whether it knows chunks."""
        self.begun = False
        self.ended = False
        #: The status that the caller got; 0: none, or not the whole answer.
        self.status = 0
        #: When the first piece of the body went out; the clock's seconds.
        self.first_at: float | None = None
        self._transport = transport
        self._writable = writable
        self._now = now
        self._chunks = chunks
        self._keeps_open = keeps_open
        self._on_end = on_end
        self._chunked = False
        self._open_after = False

    def begin(
        self,
        status: int,
        reason: bytes,
        headers: list[tuple[bytes, bytes]],
        length: int | None = None,
    ) -> None:
        """Write the head; without a length the body goes in chunks."""
        self.begun = True
        self.status = status
        self._chunked = length is None and self._chunks
        self._open_after = self._keeps_open() and (
            self._chunked or length is not None
        )
        lines = list(headers)
        if length is not None:
            lines.append((b'Content-Length', b'%d' % length))
        elif self._chunked:
            lines.append((b'Transfer-Encoding', b'chunked'))
        if not self._open_after:
            lines.append((b'Connection', b'close'))
        self._transport.write(
            encode_head(_STATUS_LINE % (status, reason), lines)
        )

    def write(self, data: bytes) -> None:
        """Write a piece of the body at once."""
        if not data:
            return
        if self.first_at is None:
            self.first_at = self._now()
        if self._chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the caller takes less than it is given."""
        await self._writable.wait()

    def end(self) -> None:
        """End a whole answer."""
        if self._chunked:
            self._transport.write(_LAST_CHUNK)
        self._finish(keep=self._open_after)

    def abort(self) -> None:
        """Break the answer off, so that nobody takes it for whole."""
        self.status = 0
        self._finish(keep=False)

    def refuse(
        self, problem: Problem, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Write a whole answer of our own."""
        body = encode_problem(problem)
        lines = [(b'Content-Type', MEDIA_PROBLEM.encode()), *headers]
        status = HTTPStatus(problem.status)
        self.begin(status, status.phrase.encode(), lines, len(body))
        self.write(body)
        self.end()

    def _finish(self, *, keep: bool) -> None:
        if self.ended:
            return
        self.ended = True
        self._on_end(keep)
