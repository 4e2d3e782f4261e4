"""Wakes requests that wait in the router's queue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

from snipebend.routing.messages import Admitted, RefusalReason, Refused

if TYPE_CHECKING:
    from snipebend.routing.messages import Dispatched, Ticket
    from snipebend.transport.asgi import Connection

Verdict: TypeAlias = Admitted | Refused

#: The verdict on a request whose caller disconnected while it waited.
CALLER_DISCONNECTED = Refused(RefusalReason.DEADLINE)


class AdmissionWaiters:
    """Wakes each waiting request once, with the router's verdict."""

    def __init__(self) -> None:
        """Initialize without waiting requests."""
        self._verdicts: dict[int, asyncio.Future[Verdict]] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._verdicts)

    async def wait(
        self,
        ticket: Ticket,
        connection: Connection,
    ) -> Verdict | None:
        """Wait for the verdict on a ticket; None if its caller disconnected."""
        future: asyncio.Future[Verdict] = asyncio.Future()
        self._verdicts[ticket.number] = future
        connection.on_disconnect(future.cancel)
        await asyncio.wait((future,))
        self._verdicts.pop(ticket.number)
        return None if future.cancelled() else future.result()

    def wake(self, dispatched: Dispatched) -> None:
        """Deliver the router's verdicts to the waiting requests."""
        for ticket in dispatched.admitted:
            self._wake(ticket, Admitted(ticket))
        for refused in dispatched.refused:
            self._wake(refused.ticket, refused.refusal)

    def _wake(self, ticket: Ticket, verdict: Verdict) -> None:
        future = self._verdicts.get(ticket.number)
        if future is not None and not future.done():
            future.set_result(verdict)
