"""Performs the I/O of one delivery: attempts, claims, seals, timers."""

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
    from snipebend.transport.forward import HttpClient, OutgoingRequest
    from snipebend.transport.routed_request import RoutedRequest
    from snipebend.transport.routing_service import RoutingService

#: Most queued batches of events before the reader of an attempt pauses.
MAX_BATCHES = 4

#: Seconds between two choices of an upstream while all upstreams are full.
CHOOSE_RETRY_INTERVAL_S = 0.02

#: Seconds that an admitted request waits for capacity on an upstream.
CHOOSE_TIMEOUT_S = 2.0

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


class DeliveryResources(NamedTuple):
    """Services and limits shared by all deliveries of an entry."""

    clock: Clock
    rng: Random
    client: HttpClient
    control: ControlCalls
    routing_service: RoutingService
    limits: DeliveryLimits
    silent_after_s: float


class Inbox:
    """Queues batches of events of one delivery; writers wait if it is full."""

    def __init__(self) -> None:
        """Initialize as empty."""
        self._batches: asyncio.Queue[list[Event]] = asyncio.Queue()
        self._has_room = asyncio.Event()
        self._closed = False

    def close(self) -> None:
        """Release waiting writers; no further events are read."""
        self._closed = True
        self._has_room.set()

    def post(self, event: Event) -> None:
        """Add one event without waiting, even if the inbox is full."""
        self._batches.put_nowait([event])

    async def post_all(self, events: list[Event]) -> None:
        """Add a batch, then wait while the reader is behind."""
        self._batches.put_nowait(events)
        if self._batches.qsize() >= MAX_BATCHES and not self._closed:
            self._has_room.clear()
            await self._has_room.wait()

    async def receive(self) -> list[Event]:
        """Wait for the next batch."""
        batch = await self._batches.get()
        if self._batches.empty():
            self._has_room.set()
        return batch


class DeliveryIo:
    """Performs the actions of the state machine and posts the results."""

    def __init__(
        self,
        shared: DeliveryResources,
        outgoing: OutgoingRequest,
        routed: RoutedRequest,
        inbox: Inbox,
    ) -> None:
        """Initialize; ``outgoing`` is the request without its peer."""
        self.attempts = 0
        self.peer = ''
        self._shared = shared
        self._outgoing = outgoing
        self._inbox = inbox
        self._routed = routed
        self._streams: dict[int, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: list[asyncio.TimerHandle] = []

    def perform(self, action: IoAction) -> None:
        """Start one action; its result is posted as an event."""
        match action:
            case ChooseUpstream(exclude=exclude):
                timeout_s = CHOOSE_TIMEOUT_S
                self._choose(exclude, self._shared.clock.now() + timeout_s)
            case AskRetry():
                self._inbox.post(self._routed.request_retry())
            case SendAttempt():
                self._send(action)
            case CancelAttempt(attempt=attempt):
                self._cancel(attempt)
            case Claim():
                self._start_task(self._claim(action))
            case Settle():
                self._start_task(self._settle(action))
            case Seal():
                self._start_task(self._seal(action))
            case SetTimer(deadline_at=deadline_at):
                self._set_timer(deadline_at)

    def record_event(self, event: Event) -> None:
        """Record the progress of an attempt from an event for routing."""
        match event:
            case ChunkArrived(attempt=attempt):
                self._routed.record_first_chunk(attempt)
            case AttemptFinished(attempt=attempt):
                # The task ends without being cancelled: it only releases its
                # connection.
                self._streams.pop(attempt, None)
                self._routed.record_success(attempt)
            case AttemptRefused(attempt=attempt, reason=reason):
                self._routed.record_refusal(attempt, reason)
            case AttemptBroken(attempt=attempt, sent=sent):
                self._routed.record_failure(attempt, was_sent=sent)

    def close(self) -> None:
        """Cancel all tasks and timers and close the request in the router."""
        for timer in self._timers:
            timer.cancel()
        for task in (*self._streams.values(), *self._tasks):
            task.cancel()
        self._streams.clear()
        self._inbox.close()
        self._routed.close()

    def _choose(self, exclude: frozenset[str], give_up_at: float) -> None:
        """Choose an upstream; if routing asks to wait, try again later.

        A later try no longer excludes upstreams, as there may be no other.
        """
        selection = self._routed.choose(exclude)
        now = self._shared.clock.now()
        if not selection.wait or now >= give_up_at:
            self._post_choice(selection.event)
            return
        timer = asyncio.get_running_loop().call_later(
            CHOOSE_RETRY_INTERVAL_S,
            self._choose,
            frozenset(),
            give_up_at,
        )
        self._timers.append(timer)

    def _post_choice(self, event: UpstreamChosen | NoUpstream) -> None:
        if isinstance(event, UpstreamChosen) and event.target.alone:
            self._start_task(self._acquire_lease(event))
        else:
            self._inbox.post(event)

    async def _acquire_lease(self, event: UpstreamChosen) -> None:
        refusal = await self._routed.acquire_lease()
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
            self._routed.record_upstream_death,
        )
        task = asyncio.create_task(stream.run())
        self._streams[action.ticket.attempt] = task
        self._routed.record_start(action.ticket.attempt, self.peer)

    def _cancel(self, attempt: int) -> None:
        task = self._streams.pop(attempt, None)
        if task is not None:
            task.cancel()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _claim(self, action: Claim) -> None:
        reply = await self._shared.control.claim(action.request)
        attempt = action.request.holder.attempt
        if reply.is_ok():
            self._inbox.post(ClaimAnswered(attempt, reply.unwrap()))
        else:
            self._inbox.post(ClaimFailed(attempt))

    async def _settle(self, action: Settle) -> None:
        req = action.request
        reply = await self._shared.control.settle(req)
        if reply.is_ok():
            self._inbox.post(
                SettleAnswered(req.request_id, req.attempt, reply.unwrap()),
            )
        else:
            self._inbox.post(SettleFailed(req.request_id, req.attempt))

    async def _seal(self, action: Seal) -> None:
        req = action.request
        reply = await self._shared.control.seal(action.grpc_address, req)
        if reply.is_ok():
            self._inbox.post(
                SealAnswered(req.request_id, req.attempt, reply.unwrap()),
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
