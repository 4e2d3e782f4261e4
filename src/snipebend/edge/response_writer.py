"""Writes one response to a caller, framed as its connection allows."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.edge.http_headers import encode_head
from snipebend.transport.abortive_close import end_on_close, reset_on_close
from snipebend.transport.body_framing import BodyFraming
from snipebend.transport.problems import MEDIA_PROBLEM, Problem, encode_problem

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from snipebend.edge.reader_watch import ReaderWatch

_STATUS_LINE = b'HTTP/1.1 %d %b'
_LAST_CHUNK = b'0\r\n\r\n'


class ResponseWriter:
    """One response; ``on_end`` receives whether the connection stays open."""

    def __init__(
        self,
        transport: asyncio.Transport,
        reader: ReaderWatch,
        *,
        now: Callable[[], float],
        supports_chunks: bool,
        can_keep_alive: Callable[[], bool],
        on_end: Callable[[bool], None],
    ) -> None:
        """Keep the connection of the caller and its capabilities."""
        self.started = False
        self.ended = False
        #: The status sent to the caller; 0: none, or an incomplete response.
        self.status = 0
        #: The framing of the body; None before the head.
        self.framing: BodyFraming | None = None
        #: When the first piece of the body was written; seconds of ``now``.
        self.first_byte_at: float | None = None
        self._transport = transport
        #: Whether the caller reads what was written.
        self.reader = reader
        self._now = now
        self._supports_chunks = supports_chunks
        self._can_keep_alive = can_keep_alive
        self._on_end = on_end
        self._keep_alive = False

    def begin(
        self,
        status: int,
        reason: bytes,
        headers: list[tuple[bytes, bytes]],
        length: int | None = None,
    ) -> None:
        """Write the head; a body without a length is sent in chunks.

        A caller without chunks takes the end of its connection for the end of
        the body, so the connection is reset unless ``end`` is called.
        """
        self.started = True
        self.status = status
        self.framing = self._choose_framing(length)
        self._keep_alive = (
            self._can_keep_alive() and self.framing is not BodyFraming.CLOSE
        )
        lines = list(headers)
        if length is not None:
            lines.append((b'Content-Length', b'%d' % length))
        elif self.framing is BodyFraming.CHUNKED:
            lines.append((b'Transfer-Encoding', b'chunked'))
        if not self._keep_alive:
            lines.append((b'Connection', b'close'))
        if self.framing is BodyFraming.CLOSE:
            reset_on_close(self._transport)
        self._transport.write(
            encode_head(_STATUS_LINE % (status, reason), lines)
        )

    def write(self, data: bytes) -> None:
        """Write a piece of the body immediately."""
        if not data:
            return
        if self.first_byte_at is None:
            self.first_byte_at = self._now()
        if self.framing is BodyFraming.CHUNKED:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough of what was written."""
        await self.reader.drain()

    def end(self) -> None:
        """Finish a complete response."""
        if self.framing is BodyFraming.CHUNKED:
            self._transport.write(_LAST_CHUNK)
        elif self.framing is BodyFraming.CLOSE:
            end_on_close(self._transport)
        self._finish(keep=self._keep_alive)

    def abort(self) -> None:
        """Abort the response so that it does not look complete."""
        self.status = 0
        self._finish(keep=False)

    def write_problem(
        self, problem: Problem, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Write a complete error response."""
        body = encode_problem(problem)
        lines = [(b'Content-Type', MEDIA_PROBLEM.encode()), *headers]
        status = HTTPStatus(problem.status)
        self.begin(status, status.phrase.encode(), lines, len(body))
        self.write(body)
        self.end()

    def _choose_framing(self, length: int | None) -> BodyFraming:
        if length is not None:
            return BodyFraming.LENGTH
        if self._supports_chunks:
            return BodyFraming.CHUNKED
        return BodyFraming.CLOSE

    def _finish(self, *, keep: bool) -> None:
        if self.ended:
            return
        self.ended = True
        self._on_end(keep)
