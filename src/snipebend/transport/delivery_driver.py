"""Drives the state machine of one request.

Executes the actions of the machine as I/O and feeds it the resulting events.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, TypeAlias

from snipebend.delivery.actions import (
    AbortResponse,
    Action,
    FinishResponse,
    Refuse,
    RelayChunk,
    RelayHead,
    SendStoredResponse,
)
from snipebend.delivery.events import Arrived, CallerDisconnected, Event
from snipebend.delivery.request_machine import RequestMachine
from snipebend.transport.delivery_io import DeliveryIo, DeliveryResources, Inbox

if TYPE_CHECKING:
    from snipebend.delivery.facts import RequestFacts
    from snipebend.transport.asgi import Connection
    from snipebend.transport.forward import OutgoingRequest
    from snipebend.transport.routed_request import RoutedRequest

ResponseStart: TypeAlias = RelayHead | Refuse | SendStoredResponse
_CallerOutput: TypeAlias = (
    ResponseStart | RelayChunk | FinishResponse | AbortResponse
)


class Delivery:
    """One request from its arrival until its last settlement.

    The caller's side pulls: ``begin`` returns the head of the response and
    ``body`` its chunks, so that a slow caller slows the upstream down.
    """

    def __init__(
        self,
        shared: DeliveryResources,
        outgoing: OutgoingRequest,
        routed: RoutedRequest,
    ) -> None:
        """Initialize; ``outgoing`` is the request without its peer."""
        self.chunks = 0
        self._shared = shared
        self._machine = RequestMachine(shared.limits)
        self._inbox = Inbox()
        self.io = DeliveryIo(shared, outgoing, routed, self._inbox)
        self._outputs: deque[_CallerOutput] = deque()

    @property
    def done(self) -> bool:
        """Return whether no work and no output for the caller is left."""
        return self._machine.done and not self._outputs

    async def begin(
        self,
        facts: RequestFacts,
        connection: Connection,
    ) -> ResponseStart | None:
        """Run until the response begins; None if the caller disconnected."""
        self._inbox.post(Arrived(facts))
        connection.on_disconnect(lambda: self._inbox.post(CallerDisconnected()))
        while not self.done:
            output = await self._next_output()
            if isinstance(output, (RelayHead, Refuse, SendStoredResponse)):
                return output
        return None

    async def body(self) -> AsyncIterator[bytes | AbortResponse]:
        """Yield the chunks of the body; an abort, if any, is the last item."""
        while not self.done:
            output = await self._next_output()
            if isinstance(output, RelayChunk):
                yield self._join_chunks(output)
            elif isinstance(output, AbortResponse):
                yield output
            if isinstance(output, (FinishResponse, AbortResponse)):
                return

    async def settle(self) -> None:
        """Finish the work left after the caller's response; end all tasks."""
        self._inbox.post(CallerDisconnected())
        try:
            while not self._machine.done:
                await self._pump()
        finally:
            self.io.close()

    async def _next_output(self) -> _CallerOutput | None:
        while not self._outputs:
            if self._machine.done:
                return None
            await self._pump()
        return self._outputs.popleft()

    def _join_chunks(self, first: RelayChunk) -> bytes:
        payloads = [first.payload]
        while self._outputs:
            following = self._outputs[0]
            if not isinstance(following, RelayChunk):
                break
            payloads.append(following.payload)
            self._outputs.popleft()
        self.chunks += len(payloads)
        return b''.join(payloads)

    async def _pump(self) -> None:
        for event in await self._inbox.receive():
            self._step(event)

    def _step(self, event: Event) -> None:
        self.io.record_event(event)
        now = self._shared.clock.wall()
        for action in self._machine.step(event, now, self._shared.rng):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case (
                RelayHead() | RelayChunk() | FinishResponse() | AbortResponse()
            ):
                self._outputs.append(action)
            case Refuse() | SendStoredResponse():
                self._outputs.append(action)
            case _:
                self.io.perform(action)
