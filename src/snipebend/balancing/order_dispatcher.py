"""Sends orders to engines within a flow window and awaits the replies."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from snipebend.orders.flow import REPLY_TIMEOUT_S, OrderFlow

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

#: Tolerated delay in seconds when the wait for a reply ends. A longer delay
#: means that this process was busy and that replies may be unread: 192 orders
#: take it 0.1 s of processing.
MAX_WAKE_DELAY_S = 0.01


class _QueuedOrder(NamedTuple):
    """A large order that waits for space in the window."""

    size: int
    #: Resolves to the order's number.
    number: asyncio.Future[int]


class OrderDispatcher:
    """Dispatches the orders of one leader over one link."""

    def __init__(self) -> None:
        """Create a dispatcher without orders in flight."""
        self._flow = OrderFlow()
        self._waiting: deque[_QueuedOrder] = deque()

    async def dispatch(
        self, size: int, send: Callable[[], Coroutine[None, None, int | None]]
    ) -> int | None:
        """Send an order of ``size`` bytes; return the reply, None if lost."""
        number = await self._begin(size)
        sending = asyncio.ensure_future(send())
        try:
            return await self._await_reply(number, sending)
        finally:
            sending.cancel()
            self._end(number)

    async def _begin(self, size: int) -> int:
        """Wait for space in the window; return the order's number."""
        if self._flow.can_send(size):
            return self._flow.begin(size, _now())
        queued = _QueuedOrder(size, asyncio.get_running_loop().create_future())
        self._waiting.append(queued)
        try:
            return await queued.number
        except asyncio.CancelledError:
            if queued.number.done() and not queued.number.cancelled():
                self._end(queued.number.result())
            raise

    def _end(self, number: int) -> None:
        self._flow.end(number)
        while self._waiting and self._flow.can_send(self._waiting[0].size):
            queued = self._waiting.popleft()
            if not queued.number.done():
                queued.number.set_result(self._flow.begin(queued.size, _now()))

    async def _await_reply(
        self, number: int, sending: asyncio.Future[int | None]
    ) -> int | None:
        extended_until: float = 0
        while True:
            due_at = max(extended_until, self._flow.expires_at(number))
            await asyncio.wait((sending,), timeout=max(0, due_at - _now()))
            if sending.done():
                reply = sending.result()
                if reply is not None:
                    self._flow.record_reply(number, _now())
                return reply
            now = _now()
            if now > due_at + MAX_WAKE_DELAY_S:
                extended_until = now + REPLY_TIMEOUT_S
            elif now >= max(due_at, self._flow.expires_at(number)):
                return None


def _now() -> float:
    return asyncio.get_running_loop().time()
