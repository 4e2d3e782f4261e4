"""Requests that wait for their turn in the router's queue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

from snipebend.routing.messages import Admitted, RefusalReason, Refused

if TYPE_CHECKING:
    from snipebend.routing.messages import Dispatched, Ticket
    from snipebend.transport.asgi import Connection

Verdict: TypeAlias = Admitted | Refused

#: The verdict on a request whose caller didn't wait for it.
GONE = Refused(RefusalReason.DEADLINE)


class WaitingRoom:
    """Wakes each waiting request once, with the router's verdict."""

    def __init__(self) -> None:
        """Begin empty."""
        self._turns: dict[int, asyncio.Future[Verdict]] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._turns)

    async def wait(
        self,
        ticket: Ticket,
        connection: Connection,
    ) -> Verdict | None:
        """Wait for a ticket's turn; None: its caller is gone."""
        turn: asyncio.Future[Verdict] = asyncio.Future()
        self._turns[ticket.number] = turn
        connection.when_gone(turn.cancel)
        await asyncio.wait((turn,))
        self._turns.pop(ticket.number)
        return None if turn.cancelled() else turn.result()

    def wake(self, dispatched: Dispatched) -> None:
        """Pass the verdicts on that the router came to."""
        for ticket in dispatched.admitted:
            self._wake(ticket, Admitted(ticket))
        for refused in dispatched.refused:
            self._wake(refused.ticket, refused.refusal)

    def _wake(self, ticket: Ticket, verdict: Verdict) -> None:
        turn = self._turns.get(ticket.number)
        if turn is not None and not turn.done():
            turn.set_result(verdict)
