"""Handles one request that is forwarded to upstreams without agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from snipebend.edge.admission_desk import Inquiry
from snipebend.edge.call import Call
from snipebend.edge.call_log import CallLog
from snipebend.edge.call_result import BodyEnd, CallResult, unknown_outcome
from snipebend.edge.final_response import FinalResponse
from snipebend.edge.request_crashes import RequestCrashes
from snipebend.edge.response_channel import ResponseAborted, ResponseStarted
from snipebend.edge.response_forwarder import ResponseForwarder
from snipebend.edge.stream_mover import StreamMover
from snipebend.edge.stream_relay import StreamRelay
from snipebend.edge.upstream_pool import RefusedConnectionError
from snipebend.errors.hierarchy import UnavailableError
from snipebend.hosts.model import RequestKind
from snipebend.relay.call_outcomes import (
    CallOutcome,
    NextAction,
    RetryConditions,
    decide_next_action,
    final_action,
)
from snipebend.relay.facts import CallContext
from snipebend.relay.upstream_selection import NoCapacity
from snipebend.relay.upstreams import Upstream

if TYPE_CHECKING:
    from snipebend.edge.caller_parser import CompleteRequest
    from snipebend.edge.relay_service import RelayService
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.admission import Admitted
    from snipebend.transport.body_framing import BodyFraming

#: Upstreams that one request is sent to at most while each proves that it did
#: not run it: bounds the time spent, unlike the limit of the route.
MAX_CALLS = 4


class RelayedRequest:
    """Calls upstreams until the caller has a response."""

    def __init__(
        self,
        relay: RelayService,
        req: CompleteRequest,
        response: ResponseWriter,
        admitted: Admitted,
    ) -> None:
        """Keep the admitted request; nothing is sent yet."""
        self._relay = relay
        self._req = req
        self._response = response
        self._admitted = admitted
        self._route = admitted.route
        response.reader.workspace = admitted.workspace
        self._tried: list[str] = []
        self._runs = 0
        #: The upstream called last.
        self._upstream: Upstream | None = None
        #: Of the last call; None if there was none, or it has not failed.
        self._last_outcome: CallOutcome | None = None
        #: Of the response to the last call; None if there was none.
        self._framing: BodyFraming | None = None
        self._crashes = RequestCrashes(relay.crashes, req, admitted)
        self._log = CallLog(
            admitted, relay.now, relay.refusal_writer.describe_host_state
        )
        self._stream = StreamRelay(response, relay.now, self._record_pause)
        self._final = FinalResponse(
            response, relay.refusal_writer, admitted.facts, self._time_left_s
        )
        self._forwarder = ResponseForwarder(
            relay,
            admitted,
            response,
            self._stream,
            self._final,
            self._crashes,
            self._retry_conditions,
            StreamMover(
                self._retry_conditions, lambda: relay.acquire_move(admitted)
            ),
        )

    async def run(self) -> None:
        """Work until the response has ended or the deadline has expired."""
        try:
            async with asyncio.timeout(self._time_left_s()) as timeout:
                self._forwarder.limit(lambda: timeout.reschedule(None))
                await self._call_until_done()
        except TimeoutError:
            self._final.time_out(may_have_run=self._may_have_run)
        finally:
            self._end()

    @property
    def body_end(self) -> BodyEnd:
        """Return how the responses of the calls have ended."""
        return BodyEnd(
            self._framing, self._stream.events, self._stream.partial_bytes
        )

    def _end(self) -> None:
        self._forwarder.release()
        if self._final.refusal is not None:
            self._relay.record_refusal(
                self._admitted,
                self._final.refusal,
                len(self._tried),
                self._last_outcome,
            )
        self._log.end_request(self._response, self.body_end)

    def _time_left_s(self) -> float:
        return self._admitted.deadline - self._relay.now()

    @property
    def _may_have_run(self) -> bool:
        """Return whether an upstream got it and did not prove "not run"."""
        return self._runs > 0

    async def _call_until_done(self) -> None:
        while not self._refuse_if_quarantined():
            upstream = await self._acquire()
            if not isinstance(upstream, Upstream):
                self._final.refuse_no_capacity(
                    may_have_run=self._may_have_run,
                    tried=bool(self._tried),
                    no_capacity=upstream or self._find_capacity_wait(),
                )
                return
            result = await self._call(upstream)
            if result is None:
                return
            if not self._should_continue(result):
                return

    async def _acquire(self) -> Upstream | NoCapacity | None:
        """Return an upstream once there is room; its call begins at once."""
        return await self._relay.desk.acquire(
            Inquiry(
                self._admitted,
                self._tried,
                len(self._req.body),
                has_events=self._response.started,
            )
        )

    def _refuse_if_quarantined(self) -> bool:
        quarantine = self._crashes.find_quarantine()
        if quarantine is None:
            return False
        self._final.refuse_quarantined(
            quarantine, may_have_run=self._may_have_run
        )
        return True

    def _find_capacity_wait(self) -> NoCapacity | None:
        return self._relay.chooser.find_capacity_wait(
            self._admitted, self._tried
        )

    async def _call(self, upstream: Upstream) -> CallResult | None:
        """Call one upstream; return None when the caller has a response."""
        self._tried.append(upstream.record.identity)
        self._upstream = upstream
        self._framing = None
        self._last_outcome = None
        call_started_at = self._relay.now()
        self._log.begin_call(
            upstream, len(self._tried), self._stream.resume_after
        )
        upstream.own_calls += 1
        self._relay.desk.begin_call(self._admitted)
        if upstream.group is not None:
            upstream.group.record_probe(self._relay.now())
        call: Call | None = None
        is_answered = False
        try:
            call = await self._open(upstream)
            result = self._release_if_declined(
                call, call_started_at
            ) or await self._send_and_receive(call)
            is_answered = result is None
        except UnavailableError as exc:
            if isinstance(exc, RefusedConnectionError):
                self._relay.crashes.record_end(
                    upstream.record.address, 'it refuses connections'
                )
            result = CallResult(CallOutcome.UNSENT, str(exc), faulty=True)
        finally:
            self._end_call(
                upstream, call, call_started_at, is_answered=is_answered
            )
        self._record_result(upstream, result, call_started_at)
        if (
            result is not None
            and result.outcome is CallOutcome.UNKNOWN
            and not result.moved
        ):
            await self._crashes.record_broken_call(
                upstream, call_started_at, self._stream.events
            )
        return result

    def _end_call(
        self,
        upstream: Upstream,
        call: Call | None,
        call_started_at: float,
        *,
        is_answered: bool,
    ) -> None:
        """Leave the upstream, and let the next request take the place."""
        upstream.own_calls -= 1
        if call is not None:
            self._abandon(call)
        held_s = self._relay.now() - call_started_at
        self._relay.desk.end_call(
            self._admitted, upstream, held_s, is_answered=is_answered
        )

    async def _open(self, upstream: Upstream) -> Call:
        record = upstream.record
        conn = await self._relay.pool.acquire(
            record.identity, record.address, fresh=not self._route.idempotent
        )
        return Call(
            self._relay.pool,
            upstream,
            conn,
            self._relay.now(),
            self._relay.notices.apply,
        )

    def _release_if_declined(
        self, call: Call, chosen_at: float
    ) -> CallResult | None:
        """Release the connection if the upstream must not get work any more.

        Its notice, or the evacuation of its data centre, may have been received
        while the connection was opened, or it may be cold and that took longer
        than calls to it may be late.
        """
        upstream = call.upstream
        now = self._relay.now()
        if self._relay.chooser.is_evacuated(upstream):
            reason = 'its data centre is evacuated'
        elif upstream.declines_work(now):
            reason = 'the upstream asked for no more work'
        elif self._relay.cold.table.is_overdue(upstream, chosen_at, now):
            reason = 'the call comes too late for an upstream that may be cold'
        else:
            return None
        call.release()
        return CallResult(CallOutcome.UNSENT, reason, declined=True)

    async def _send_and_receive(self, call: Call) -> CallResult | None:
        self._send(call)
        event = await call.receive()
        match event:
            case ResponseStarted(framing=framing):
                self._framing = framing
                result = await self._forwarder.forward(call, event)
                if result and result.outcome is CallOutcome.NOT_RUN:
                    self._runs -= 1
                return result
            case ResponseAborted(reason):
                return unknown_outcome(reason)
            case _:
                return unknown_outcome('an answer without a head')

    def _send(self, call: Call) -> None:
        admitted = self._admitted
        if self._relay.chooser.is_evacuated(call.upstream):
            self._relay.meters.count_evacuated_call(admitted.service)
        if len(self._tried) == 1:
            waited_s = self._relay.now() - admitted.began_at
            self._relay.meters.record_forwarding_delay(waited_s)
        context = CallContext(
            call.upstream.record.identity,
            admitted.workspace,
            max(0, self._time_left_s()),
            admitted.priority,
            self._stream.resume_after,
        )
        call.send(
            self._req, admitted.facts.request_id, context, self._relay.dialect
        )
        self._runs += 1

    def _record_pause(self, events: int, seconds: float) -> None:
        if self._upstream is not None:
            self._relay.record_pause(self._upstream, events, seconds)

    def _record_result(
        self,
        upstream: Upstream,
        result: CallResult | None,
        call_started_at: float,
    ) -> None:
        service = self._admitted.service
        self._last_outcome = None if result is None else result.outcome
        if result is None:
            upstream.record_response(call_started_at)
            self._relay.meters.count_call(service, 'answered', self._framing)
            return
        self._relay.meters.count_call(service, result.ending, self._framing)
        self._relay.cold.record_result(upstream, result)
        now = self._relay.now()
        if result.faulty:
            upstream.record_failure(now)
        if result.outcome is CallOutcome.UNKNOWN and not result.moved:
            # An upstream that breaks calls seems as idle as one that refuses.
            upstream.refusals.record_refusal(call_started_at, now)
        self._log.end_call(
            upstream, result, self.body_end, self._crashes.causes
        )

    def _should_continue(self, result: CallResult) -> bool:
        """Return whether to call another upstream; if not, respond."""
        if result.declined or result.moved:
            # Nothing was sent to an upstream, so no retry is deducted, or the
            # retry was deducted before the call was ended.
            return True
        action = decide_next_action(result.outcome, self._retry_conditions())
        if (
            action is NextAction.RETRY
            and not self._forwarder.is_partial
            and self._relay.acquire_retry(self._admitted)
        ):
            return True
        final = final_action(result.outcome, may_have_run=self._may_have_run)
        self._final.finish(
            final,
            result.reason,
            result.response,
            no_capacity=self._find_capacity_wait(),
        )
        return False

    def _retry_conditions(self) -> RetryConditions:
        admitted = self._admitted
        return RetryConditions(
            idempotent=self._route.idempotent,
            runs_left=self._route.max_attempts - self._runs,
            attempts_left=MAX_CALLS - len(self._tried),
            time_left_s=self._time_left_s(),
            other_available=self._relay.chooser.has_alternative(
                admitted, self._tried
            ),
            may_have_run=self._may_have_run,
        )

    def _abandon(self, call: Call) -> None:
        """Abort an unneeded call, unless its request may run only once."""
        if self._route.idempotent or self._route.kind is RequestKind.STREAM:
            call.abort()
        else:
            self._relay.finish_in_background(call, self._admitted.deadline)
