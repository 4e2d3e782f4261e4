"""The I/O of one delivery: attempts, claims, seals and timers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

from snipebend.delivery.actions import (
    AskRetry,
    CancelAttempt,
    ChooseUpstream,
    Claim,
    Seal,
    SendAttempt,
    SetTimer,
    Settle,
)
from snipebend.delivery.attempt_events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    ChunkArrived,
)
from snipebend.delivery.claim_events import (
    ClaimAnswered,
    ClaimFailed,
    SealAnswered,
    SealFailed,
    SettleAnswered,
    SettleFailed,
)
from snipebend.delivery.events import (
    DeadlineReached,
    Event,
    NoUpstream,
    UpstreamChosen,
)
from snipebend.transport.attempt_stream import AttemptStream

if TYPE_CHECKING:
    from snipebend.delivery.limits import DeliveryLimits
    from snipebend.kernel.clock import Clock
    from snipebend.transport.control_calls import ControlCalls
    from snipebend.transport.forward import HttpClient, Outgoing
    from snipebend.transport.routed_request import RoutedRequest
    from snipebend.transport.routing_desk import RoutingDesk

#: Batches of events that may wait before the reader of an attempt pauses.
MAX_BATCHES = 4

#: Seconds before routing is asked again when all upstreams are full.
CHOOSE_AGAIN_S = 0.02

#: Seconds for which an admitted request waits for a place on an upstream.
CHOOSE_PATIENCE_S = 2.0

IoAction: TypeAlias = (
    ChooseUpstream
    | AskRetry
    | Claim
    | Settle
    | SendAttempt
    | CancelAttempt
    | Seal
    | SetTimer
)


class Resources(NamedTuple):
    """What all deliveries of an entry share."""

    clock: Clock
    rng: Random
    client: HttpClient
    control: ControlCalls
    desk: RoutingDesk
    limits: DeliveryLimits
    silent_after_s: float


class Inbox:
    """The events of one delivery, in batches; writers wait when it is full."""

    def __init__(self) -> None:
        """Begin empty."""
        self._batches: asyncio.Queue[list[Event]] = asyncio.Queue()
        self._room = asyncio.Event()
        self._closed = False

    def close(self) -> None:
        """Let the writers go: nobody reads any more."""
        self._closed = True
        self._room.set()

    def post(self, event: Event) -> None:
        """Add one event, however full it is."""
        self._batches.put_nowait([event])

    async def post_all(self, events: list[Event]) -> None:
        """Add a batch, then wait while the reader is behind."""
        self._batches.put_nowait(events)
        if self._batches.qsize() >= MAX_BATCHES and not self._closed:
            self._room.clear()
            await self._room.wait()

    async def receive(self) -> list[Event]:
        """Wait for the next batch."""
        batch = await self._batches.get()
        if self._batches.empty():
            self._room.set()
        return batch


class DeliveryIo:
    """Does what the machine asks for and posts what comes of it."""

    def __init__(
        self,
        shared: Resources,
        outgoing: Outgoing,
        routed: RoutedRequest,
        inbox: Inbox,
    ) -> None:
        """Prepare; ``outgoing`` is the request without its peer."""
        self.attempts = 0
        self.peer = ''
        self._shared = shared
        self._outgoing = outgoing
        self._inbox = inbox
        self._routed = routed
        self._streams: dict[int, asyncio.Task[None]] = {}
        self._asked: set[asyncio.Task[None]] = set()
        self._timers: list[asyncio.TimerHandle] = []

    def perform(self, action: IoAction) -> None:
        """Start one action; its answer is posted."""
        match action:
            case ChooseUpstream(exclude=exclude):
                patience_s = CHOOSE_PATIENCE_S
                self._choose(exclude, self._shared.clock.now() + patience_s)
            case AskRetry():
                self._inbox.post(self._routed.ask_retry())
            case SendAttempt():
                self._send(action)
            case CancelAttempt(attempt=attempt):
                self._cancel(attempt)
            case Claim():
                self._ask(self._claim(action))
            case Settle():
                self._ask(self._settle(action))
            case Seal():
                self._ask(self._seal(action))
            case SetTimer(deadline_at=deadline_at):
                self._set_timer(deadline_at)

    def observe(self, event: Event) -> None:
        """Learn from an event what became of an attempt."""
        match event:
            case ChunkArrived(attempt=attempt):
                self._routed.first_chunk(attempt)
            case AttemptFinished(attempt=attempt):
                # Its task ends alone: it only frees its connection.
                self._streams.pop(attempt, None)
                self._routed.finished(attempt)
            case AttemptRefused(attempt=attempt, reason=reason):
                self._routed.refused(attempt, reason)
            case AttemptBroken(attempt=attempt, sent=sent):
                self._routed.broke(attempt, was_sent=sent)

    def close(self) -> None:
        """End all tasks and timers, and the request in the router."""
        for timer in self._timers:
            timer.cancel()
        for task in (*self._streams.values(), *self._asked):
            task.cancel()
        self._streams.clear()
        self._inbox.close()
        self._routed.close()

    def _choose(self, exclude: frozenset[str], give_up_at: float) -> None:
        """Ask routing; when it says so, again a little later.

        Then those excluded will do as well: there may be no other.
        """
        chosen = self._routed.choose(exclude)
        now = self._shared.clock.now()
        if not chosen.wait or now >= give_up_at:
            self._post_choice(chosen.event)
            return
        again = asyncio.get_running_loop().call_later(
            CHOOSE_AGAIN_S,
            self._choose,
            frozenset(),
            give_up_at,
        )
        self._timers.append(again)

    def _post_choice(self, event: UpstreamChosen | NoUpstream) -> None:
        if isinstance(event, UpstreamChosen) and event.target.alone:
            self._ask(self._take_lease(event))
        else:
            self._inbox.post(event)

    async def _take_lease(self, event: UpstreamChosen) -> None:
        refusal = await self._routed.take_lease()
        self._inbox.post(refusal or event)

    def _send(self, action: SendAttempt) -> None:
        self.attempts += 1
        self.peer = action.target.upstream
        stream = AttemptStream(
            self._shared.client,
            self._outgoing._replace(peer=action.target.http_address),
            action,
            self._shared.silent_after_s,
            self._inbox.post_all,
            self._routed.died,
        )
        task = asyncio.create_task(stream.run())
        self._streams[action.ticket.attempt] = task
        self._routed.started(action.ticket.attempt, self.peer)

    def _cancel(self, attempt: int) -> None:
        task = self._streams.pop(attempt, None)
        if task is not None:
            task.cancel()

    def _ask(self, asking: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(asking)
        self._asked.add(task)
        task.add_done_callback(self._asked.discard)

    async def _claim(self, action: Claim) -> None:
        answer = await self._shared.control.claim(action.request)
        attempt = action.request.holder.attempt
        if answer.is_ok():
            self._inbox.post(ClaimAnswered(attempt, answer.unwrap()))
        else:
            self._inbox.post(ClaimFailed(attempt))

    async def _settle(self, action: Settle) -> None:
        req = action.request
        answer = await self._shared.control.settle(req)
        if answer.is_ok():
            self._inbox.post(
                SettleAnswered(req.request_id, req.attempt, answer.unwrap()),
            )
        else:
            self._inbox.post(SettleFailed(req.request_id, req.attempt))

    async def _seal(self, action: Seal) -> None:
        req = action.request
        answer = await self._shared.control.seal(action.grpc_address, req)
        if answer.is_ok():
            self._inbox.post(
                SealAnswered(req.request_id, req.attempt, answer.unwrap()),
            )
        else:
            self._inbox.post(SealFailed(req.request_id, req.attempt))

    def _set_timer(self, deadline_at: float) -> None:
        delay_s = max(0, deadline_at - self._shared.clock.wall())
        self._timers.append(
            asyncio.get_running_loop().call_later(
                delay_s,
                self._inbox.post,
                DeadlineReached(),
            ),
        )
