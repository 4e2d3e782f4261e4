"""Buffers whole responses of upstreams, as far as there is memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from snipebend.edge.http_headers import CONTENT_LENGTH, end_to_end, find_all
from snipebend.edge.response_channel import BodyChunk, ResponseCompleted
from snipebend.relay.buffer_budget import UNCOUNTED_BYTES
from snipebend.transport.body_framing import BodyFraming

if TYPE_CHECKING:
    from snipebend.edge.call import Call
    from snipebend.edge.response_channel import ResponseEvent, ResponseStarted
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.buffer_budget import BufferBudget, BufferHold


#: Seconds for which an upstream may send nothing in the middle of a response
#: that has begun to be forwarded.
PIECE_TIMEOUT_S = 5.0


class PartialResponse(NamedTuple):
    """The beginning of a response for whose rest there is no memory."""

    started: ResponseStarted
    body: bytes


class ResponseBuffer:
    """The body of one response, counted by the budget if there is one."""

    def __init__(self, budget: BufferBudget | None, workspace: str) -> None:
        """Create an empty buffer."""
        self.body = bytearray()
        self._budget = budget
        self._workspace = workspace
        self._hold: BufferHold | None = None

    def add(self, piece: bytes) -> bool:
        """Append a piece; return whether there was room for it.

        It is kept in any case.
        """
        self.body += piece
        size = len(self.body)
        if self._budget is None or size <= UNCOUNTED_BYTES:
            return True
        if self._hold is None:
            self._hold = self._budget.hold(self._workspace, 0)
        has_room = self._hold.try_grow(size)
        if not has_room:
            self._hold.resize(size)
        return has_room

    def release(self) -> None:
        """Count the body no more: it is dropped, or written to its caller."""
        if self._hold is not None:
            self._hold.release()
            self._hold = None


async def forward_rest(
    call: Call, partial: PartialResponse, response: ResponseWriter
) -> str:
    """Forward a response as fast as its caller reads it.

    Return why it broke, or an empty text if it is complete. It can't be
    replaced by another one any more.
    """
    head, _, framing = partial.started
    length = None
    if framing is BodyFraming.LENGTH:
        length = int(find_all(head.headers, CONTENT_LENGTH)[0])
    response.begin(
        head.status,
        head.reason,
        list(end_to_end(head.headers)),
        length,
    )
    response.write(partial.body)
    await response.drain()
    event = await _receive_piece(call)
    while isinstance(event, BodyChunk):
        response.write(event.data)
        await response.drain()
        event = await _receive_piece(call)
    if isinstance(event, ResponseCompleted):
        response.end()
        return ''
    return 'the response broke off while it was forwarded'


async def _receive_piece(call: Call) -> ResponseEvent | None:
    """Return the next event, or None if there is none in time."""
    try:
        async with asyncio.timeout(PIECE_TIMEOUT_S):
            return await call.receive()
    except TimeoutError:
        return None
