"""The life of one request that is passed on to upstreams without agents."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from snipebend.edge.call import Call, WholeAnswer
from snipebend.edge.exchange import Begun, Broken, Piece, Whole
from snipebend.edge.final_answer import FinalAnswer
from snipebend.edge.stream_relay import StreamRelay
from snipebend.errors.hierarchy import UnavailableError
from snipebend.hosts.model import Kind
from snipebend.relay.call_outcomes import (
    CallOutcome,
    NextAction,
    RetryConditions,
    decide_next_action,
    final_action,
)
from snipebend.relay.facts import UpstreamCall

if TYPE_CHECKING:
    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.edge.caller_parser import WholeRequest
    from snipebend.edge.relay_desk import RelayDesk
    from snipebend.relay.admission import Admitted
    from snipebend.relay.facts import ResponseFacts, ResponseHead
    from snipebend.relay.upstream_selection import NoCapacity
    from snipebend.relay.upstreams import Upstream

#: Upstreams that one request is offered to at most, while each proves that it
#: didn't run it: a bound on the time that goes by, not a limit of the route.
MAX_CALLS = 4

_STATUS_FAILED = 500


class Ended(NamedTuple):
    """How a call ended, and the upstream's failure if it gave a whole one."""

    ending: CallOutcome
    reason: str
    answer: WholeAnswer | None = None
    #: Whether the upstream itself failed, rather than being full.
    faulty: bool = False
    #: Whether it was given up unsent, since the upstream wants no work.
    declined: bool = False


class RelayedRequest:
    """Calls upstreams until the caller has its answer."""

    def __init__(
        self,
        desk: RelayDesk,
        req: WholeRequest,
        answer: AnswerWriter,
        admitted: Admitted,
    ) -> None:
        """Keep what was decided; nothing is sent yet."""
        self._desk = desk
        self._req = req
        self._answer = answer
        self._admitted = admitted
        self._route = admitted.route
        self._tried: list[str] = []
        self._runs = 0
        #: The one called last.
        self._upstream: Upstream | None = None
        self._stream = StreamRelay(answer, desk.now, self._note_pause)
        self._end = FinalAnswer(
            answer, desk.refuser, admitted.facts, self._time_left_s
        )

    async def run(self) -> None:
        """Work until the answer has ended, or the time is over."""
        try:
            async with asyncio.timeout(self._time_left_s()):
                await self._call_until_answered()
        except TimeoutError:
            self._end.time_out(may_have_run=self._may_have_run)

    def _time_left_s(self) -> float:
        return self._admitted.deadline - self._desk.now()

    @property
    def _may_have_run(self) -> bool:
        """Tell whether an upstream got it and didn't prove 'not run'."""
        return self._runs > 0

    async def _call_until_answered(self) -> None:
        while True:
            upstream = self._desk.select_upstream(self._admitted, self._tried)
            if upstream is None:
                self._end.refuse_full(
                    may_have_run=self._may_have_run,
                    tried=bool(self._tried),
                    no_capacity=self._no_room(),
                )
                return
            ended = await self._call(upstream)
            if ended is None:
                return
            if not self._goes_on(ended):
                return

    def _no_room(self) -> NoCapacity | None:
        return self._desk.no_capacity(self._admitted, self._tried)

    async def _call(self, upstream: Upstream) -> Ended | None:
        """Call one upstream; nothing when the caller has its answer."""
        self._tried.append(upstream.record.identity)
        self._upstream = upstream
        call_started_at = self._desk.now()
        self._note_begin(upstream)
        upstream.own_calls += 1
        self._desk.limits.record_call(upstream)
        if upstream.group is not None:
            upstream.group.record_probe(self._desk.now())
        call: Call | None = None
        try:
            call = await self._open(upstream)
            ended = self._decline(call) or await self._exchange(call)
        except UnavailableError as exc:
            ended = Ended(CallOutcome.UNSENT, str(exc), faulty=True)
        finally:
            upstream.own_calls -= 1
            if call is not None:
                self._give_up(call)
        self._note(upstream, ended, call_started_at)
        return ended

    async def _open(self, upstream: Upstream) -> Call:
        record = upstream.record
        conn = await self._desk.pool.acquire(
            record.identity, record.address, fresh=not self._route.idempotent
        )
        return Call(
            self._desk.pool,
            upstream,
            conn,
            self._desk.now(),
            self._desk.statements.take,
        )

    def _decline(self, call: Call) -> Ended | None:
        """Give up a call whose upstream has said meanwhile that it wants none.

        Opening the connection may have taken a while.
        """
        if not call.upstream.declines_work(self._desk.now()):
            return None
        call.give_back()
        reason = 'the upstream asked for no more work'
        return Ended(CallOutcome.UNSENT, reason, declined=True)

    async def _exchange(self, call: Call) -> Ended | None:
        self._send(call)
        message = await call.receive()
        match message:
            case Begun():
                return await self._read_answer(call, message)
            case Broken(reason):
                return self._unknown(reason)
            case _:
                return self._unknown('an answer without a head')

    def _send(self, call: Call) -> None:
        admitted = self._admitted
        if len(self._tried) == 1:
            waited_s = self._desk.now() - admitted.began_at
            self._desk.meters.handed_on(waited_s)
        facts = UpstreamCall(
            call.upstream.record.identity,
            admitted.workspace,
            max(0, self._time_left_s()),
            admitted.priority,
            self._stream.resume_after,
        )
        call.send(
            self._req, admitted.facts.request_id, facts, self._desk.dialect
        )
        self._runs += 1

    async def _read_answer(self, call: Call, begun: Begun) -> Ended | None:
        head, facts = begun
        if facts.not_run or facts.identity_mismatch:
            self._runs -= 1
            self._note_refusal(call, facts)
            reason = f'refused with {head.status} for {facts.faulty_address}'
            return Ended(CallOutcome.NOT_RUN, reason)
        if head.status >= _STATUS_FAILED or not facts.authenticated:
            return await self._read_failure(call, begun)
        if self._route.kind is Kind.STREAM and head.status == HTTPStatus.OK:
            return await self._relay_stream(call, head)
        return await self._relay_whole(call, begun)

    def _note_refusal(self, call: Call, facts: ResponseFacts) -> None:
        """Avoid an upstream that refuses, or the group that waits for a rank.

        One that is full names itself, and says nothing of the others.
        """
        now = self._desk.now()
        upstream = call.upstream
        if facts.faulty_address in {'', upstream.record.address}:
            upstream.refusals.record_refusal(call.started_at, now)
        elif upstream.group is not None:
            upstream.group.record_lost_rank(now)

    async def _read_failure(self, call: Call, begun: Begun) -> Ended:
        answer = await call.receive_whole(begun)
        reason = f'failed with {begun.head.status}'
        if isinstance(answer, Broken) or not begun.facts.authenticated:
            return self._unknown(reason)
        return Ended(CallOutcome.FAILED, reason, answer, faulty=True)

    async def _relay_whole(self, call: Call, begun: Begun) -> Ended | None:
        answer = await call.receive_whole(begun)
        if isinstance(answer, Broken):
            return self._unknown(answer.reason)
        self._end.pass_on(answer)
        return None

    async def _relay_stream(
        self, call: Call, head: ResponseHead
    ) -> Ended | None:
        self._stream.begin(head)
        message = await call.receive()
        while isinstance(message, Piece):
            if self._stream.take(message.data):
                await self._answer.drain()
            message = await call.receive()
        if isinstance(message, Whole):
            self._stream.end()
            return None
        if isinstance(message, Broken):
            return self._unknown(message.reason)
        return self._unknown('a second head')

    def _note_pause(self, events: int, seconds: float) -> None:
        if self._upstream is not None:
            self._desk.note_pause(self._upstream, events, seconds)

    def _unknown(self, reason: str) -> Ended:
        return Ended(CallOutcome.UNKNOWN, reason, faulty=True)

    def _note_begin(self, upstream: Upstream) -> None:
        admitted = self._admitted
        logger.info(
            'event=call_begun request={} call={} route={} service={} '
            + 'workspace={} priority={} left_ms={:.0f} upstream={} '
            + 'own_calls={} all_calls={} slots={} rest_ms={:.0f} '
            + 'after_event={} {}',
            admitted.facts.request_id,
            len(self._tried),
            admitted.route.name,
            admitted.service,
            admitted.workspace,
            admitted.priority,
            1000 * self._time_left_s(),
            upstream.record.identity,
            upstream.own_calls,
            upstream.calls,
            upstream.record.slots,
            1000 * upstream.backoff_left_s(self._desk.now()),
            self._stream.resume_after,
            self._desk.refuser.knowledge(),
        )

    def _note(
        self, upstream: Upstream, ended: Ended | None, call_started_at: float
    ) -> None:
        service = self._admitted.service
        if ended is None:
            upstream.record_response(call_started_at)
            self._desk.meters.call_ended(service, 'answered')
            return
        self._desk.meters.call_ended(service, ended.ending.value)
        if ended.faulty:
            upstream.record_failure(self._desk.now())
        logger.info(
            'event=call_ended request={} upstream={} ending={} reason={!r} '
            + 'failures={} refusals={} {}',
            self._admitted.facts.request_id,
            upstream.record.identity,
            ended.ending.value,
            ended.reason,
            upstream.failures,
            upstream.refusals.consecutive,
            self._desk.refuser.knowledge(),
        )

    def _goes_on(self, ended: Ended) -> bool:
        """Tell whether another upstream shall be called; else answer."""
        if ended.declined:
            # Nothing reached an upstream, so there is nothing to pay for.
            return True
        step = decide_next_action(ended.ending, self._retry_conditions())
        if step is NextAction.RETRY and self._desk.take_retry(
            self._admitted.service
        ):
            return True
        final = final_action(ended.ending, may_have_run=self._may_have_run)
        self._end.finish(
            final, ended.reason, ended.answer, no_capacity=self._no_room()
        )
        return False

    def _retry_conditions(self) -> RetryConditions:
        admitted = self._admitted
        return RetryConditions(
            idempotent=self._route.idempotent,
            runs_left=self._route.max_attempts - self._runs,
            attempts_left=MAX_CALLS - len(self._tried),
            time_left_s=self._time_left_s(),
            other_available=self._desk.has_other(admitted, self._tried),
            may_have_run=self._may_have_run,
        )

    def _give_up(self, call: Call) -> None:
        """Break a call off that nobody waits for, unless it must run once."""
        if self._route.idempotent or self._route.kind is Kind.STREAM:
            call.break_off()
        else:
            self._desk.finish_behind(call, self._admitted.deadline)
