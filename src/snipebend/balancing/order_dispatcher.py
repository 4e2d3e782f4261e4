"""Sends orders to engines as their flow allows, and awaits the answers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from snipebend.orders.flow import REPLY_TIMEOUT_S, OrderFlow

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

#: Seconds by which a look for an answer may be late. A later one tells that
#: this process was busy, and that answers may lie unread: 192 orders are 0.1 s
#: of its work.
MOST_LATE_S = 0.01


class _Turn(NamedTuple):
    """A large order that waits for room."""

    size: int
    #: Gets the order's number.
    number: asyncio.Future[int]


class OrderDispatcher:
    """The orders of one leader, over one link."""

    def __init__(self) -> None:
        """Start with none under way."""
        self._flow = OrderFlow()
        self._waiting: deque[_Turn] = deque()

    async def dispatch(
        self, size: int, send: Callable[[], Coroutine[None, None, int | None]]
    ) -> int | None:
        """Send an order of so many bytes; return the answer, none: lost."""
        number = await self._begin(size)
        sending = asyncio.ensure_future(send())
        try:
            return await self._await_answer(number, sending)
        finally:
            sending.cancel()
            self._end(number)

    async def _begin(self, size: int) -> int:
        """Wait for room; return the order's number."""
        if self._flow.has_room(size):
            return self._flow.begin(size, _now())
        turn = _Turn(size, asyncio.get_running_loop().create_future())
        self._waiting.append(turn)
        try:
            return await turn.number
        except asyncio.CancelledError:
            if turn.number.done() and not turn.number.cancelled():
                self._end(turn.number.result())
            raise

    def _end(self, number: int) -> None:
        self._flow.end(number)
        while self._waiting and self._flow.has_room(self._waiting[0].size):
            turn = self._waiting.popleft()
            if not turn.number.done():
                turn.number.set_result(self._flow.begin(turn.size, _now()))

    async def _await_answer(
        self, number: int, sending: asyncio.Future[int | None]
    ) -> int | None:
        fair_at: float = 0
        while True:
            due_at = max(fair_at, self._flow.expires_at(number))
            await asyncio.wait((sending,), timeout=max(0, due_at - _now()))
            if sending.done():
                answer = sending.result()
                if answer is not None:
                    self._flow.record_reply(number, _now())
                return answer
            now = _now()
            if now > due_at + MOST_LATE_S:
                fair_at = now + REPLY_TIMEOUT_S
            elif now >= max(due_at, self._flow.expires_at(number)):
                return None


def _now() -> float:
    return asyncio.get_running_loop().time()
