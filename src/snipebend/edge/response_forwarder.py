"""Forwards the response of one call to the caller of a request."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.edge.call import CompleteResponse
from snipebend.edge.call_result import CallResult, unknown_outcome
from snipebend.edge.response_buffer import (
    PartialResponse,
    ResponseBuffer,
    forward_rest,
)
from snipebend.edge.response_channel import (
    BodyChunk,
    ResponseAborted,
    ResponseCompleted,
    ResponseStarted,
)
from snipebend.hosts.model import RequestKind
from snipebend.relay.call_outcomes import (
    CallOutcome,
    NextAction,
    decide_next_action,
)
from snipebend.relay.facts import header_values
from snipebend.transport.events import MEDIA_EVENTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.call import Call
    from snipebend.edge.final_response import FinalResponse
    from snipebend.edge.relay_service import RelayService
    from snipebend.edge.request_crashes import RequestCrashes
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.edge.stream_mover import StreamMover
    from snipebend.edge.stream_relay import StreamRelay
    from snipebend.relay.admission import Admitted
    from snipebend.relay.call_outcomes import RetryConditions
    from snipebend.relay.facts import ResponseFacts, ResponseHead
    from snipebend.transport.body_framing import BodyFraming

_STATUS_FAILED = 500


class ResponseForwarder:
    """Forwards the responses of a request's calls, the last one to its end."""

    def __init__(
        self,
        relay: RelayService,
        admitted: Admitted,
        response: ResponseWriter,
        stream: StreamRelay,
        final: FinalResponse,
        crashes: RequestCrashes,
        retry_conditions: Callable[[], RetryConditions],
        mover: StreamMover,
    ) -> None:
        """Keep the parts of the request that a response concerns."""
        self._relay = relay
        self._admitted = admitted
        self._route = admitted.route
        self._response = response
        self._stream = stream
        self._final = final
        self._crashes = crashes
        self._retry_conditions = retry_conditions
        self._mover = mover
        self._buffer = ResponseBuffer(relay.buffers, admitted.workspace)
        #: Called before the rest of a response that isn't buffered is read.
        self._on_rest: Callable[[], None] = _ignore_rest
        #: Whether a part of a response that isn't buffered was forwarded.
        self.is_partial = False

    def limit(self, on_rest: Callable[[], None]) -> None:
        """Set what lifts the deadline once a response is forwarded as read."""
        self._on_rest = on_rest

    def release(self) -> None:
        """Return the memory of a response that was buffered."""
        self._buffer.release()

    async def forward(
        self, call: Call, started: ResponseStarted
    ) -> CallResult | None:
        """Forward a response; return why its call failed, if it did."""
        head, facts, _ = started
        if facts.not_run or facts.identity_mismatch:
            self._record_refusal(call, facts)
            reason = f'refused with {head.status} for {facts.faulty_address}'
            return CallResult(CallOutcome.NOT_RUN, reason)
        if head.status >= _STATUS_FAILED or not facts.authenticated:
            return await self._read_failure(call, started)
        if (
            self._route.kind is RequestKind.STREAM
            and head.status == HTTPStatus.OK
            and _has_events(head)
        ):
            return await self._forward_stream(call, started)
        if self._response.started:
            return unknown_outcome(
                f'{head.status} in place of the rest of a stream'
            )
        return await self._forward_complete(call, started)

    def _record_refusal(self, call: Call, facts: ResponseFacts) -> None:
        """Avoid an upstream that refuses, or a group that waits for a rank.

        An upstream that is full names itself as the cause, which says nothing
        of the rest of its group.
        """
        now = self._relay.now()
        upstream = call.upstream
        if facts.faulty_address in {'', upstream.record.address}:
            upstream.refusals.record_refusal(call.started_at, now)
            return
        self._relay.crashes.record_successor(
            facts.faulty_address, 'another rank named it as lost'
        )
        if upstream.group is not None:
            upstream.group.record_lost_rank(now)

    async def _read_failure(
        self, call: Call, started: ResponseStarted
    ) -> CallResult:
        response = await self._receive_complete(call, started)
        reason = f'failed with {started.head.status}'
        if isinstance(response, PartialResponse) and (
            started.facts.authenticated
        ):
            return await self._forward_failure(call, response, reason)
        if (
            not isinstance(response, CompleteResponse)
            or not started.facts.authenticated
        ):
            return unknown_outcome(reason)
        return CallResult(CallOutcome.FAILED, reason, response, faulty=True)

    async def _forward_failure(
        self, call: Call, partial: PartialResponse, reason: str
    ) -> CallResult:
        """Forward a failure for which there is no memory, if it is the last."""
        conditions = self._retry_conditions()
        action = decide_next_action(CallOutcome.FAILED, conditions)
        if action is not NextAction.RETRY and not self._response.started:
            await self._forward_rest(call, partial)
        return CallResult(CallOutcome.FAILED, reason, faulty=True)

    async def _forward_rest(self, call: Call, partial: PartialResponse) -> str:
        """Forward a response as it is read; return why it broke, if it did.

        The deadline is one of its beginning. How long the rest may take is up
        to the caller, as long as it reads.
        """
        self.is_partial = True
        self._on_rest()
        return await forward_rest(call, partial, self._response)

    async def _forward_complete(
        self, call: Call, started: ResponseStarted
    ) -> CallResult | None:
        response = await self._receive_complete(call, started)
        match response:
            case CompleteResponse():
                self._final.forward(response)
            case PartialResponse():
                reason = await self._forward_rest(call, response)
                if reason:
                    return unknown_outcome(reason)
            case ResponseAborted(reason):
                return unknown_outcome(reason)
        if started.head.status < HTTPStatus.MULTIPLE_CHOICES:
            self._crashes.record_complete_response()
        return None

    async def _receive_complete(
        self, call: Call, started: ResponseStarted
    ) -> CompleteResponse | PartialResponse | ResponseAborted:
        """Read a response; what its caller has yet to read is counted then."""
        self._buffer.release()
        self._buffer = ResponseBuffer(
            self._relay.buffers, self._admitted.workspace
        )
        response = await call.receive_complete(started, self._buffer)
        self._buffer.release()
        return response

    async def _forward_stream(
        self, call: Call, started: ResponseStarted
    ) -> CallResult | None:
        self._stream.begin(started.head)
        event = await call.receive()
        is_first = True
        while isinstance(event, BodyChunk):
            if self._stream.feed(event.data):
                if is_first:
                    self._record_first_event(call)
                is_first = False
                self._crashes.record_activity()
                await self._response.drain()
                moved = self._mover.move_from(call, self._stream.resume_after)
                if moved is not None:
                    return moved
            event = await call.receive()
        if isinstance(event, ResponseCompleted):
            return self._end_stream(started.framing)
        if isinstance(event, ResponseAborted):
            return unknown_outcome(event.reason)
        return unknown_outcome('a second head')

    def _record_first_event(self, call: Call) -> None:
        seconds = self._relay.now() - call.started_at
        self._relay.desk.record_first_event(self._admitted, seconds)

    def _end_stream(self, framing: BodyFraming) -> CallResult | None:
        reason = self._stream.find_break(framing)
        if reason:
            return unknown_outcome(reason)
        self._stream.end()
        self._crashes.record_complete_response()
        return None


def _ignore_rest() -> None:
    """Do nothing; used until a callback is set."""


def _has_events(head: ResponseHead) -> bool:
    media_types = header_values(head.headers, b'Content-Type')
    return not media_types or media_types[0].lower().startswith(MEDIA_EVENTS)
