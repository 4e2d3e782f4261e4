"""Logs the calls and the end of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.transport.body_framing import framing_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.call_result import BodyEnd, CallResult
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.admission import Admitted
    from snipebend.relay.causes import RequestCauses
    from snipebend.relay.upstreams import Upstream

_MS = 1000


class CallLog:
    """Log lines of one request, with what its decisions were based on."""

    def __init__(
        self,
        admitted: Admitted,
        now: Callable[[], float],
        describe_host_state: Callable[[], str],
    ) -> None:
        """Keep the request; ``now`` returns monotonic seconds."""
        self._admitted = admitted
        self._now = now
        self._describe_host_state = describe_host_state

    def begin_call(
        self, upstream: Upstream, number: int, resume_after: int | None
    ) -> None:
        """Log that the call with this number begins, counted from 1."""
        admitted = self._admitted
        logger.info(
            'event=call_begun request={} call={} route={} service={} '
            + 'workspace={} priority={} left_ms={:.0f} upstream={} '
            + 'own_calls={} all_calls={} slots={} rest_ms={:.0f} '
            + 'after_event={} {}',
            admitted.facts.request_id,
            number,
            admitted.route.name,
            admitted.service,
            admitted.workspace,
            admitted.priority,
            _MS * (admitted.deadline - self._now()),
            upstream.record.identity,
            upstream.own_calls,
            upstream.calls,
            upstream.record.slots,
            _MS * upstream.backoff_left_s(self._now()),
            resume_after,
            self._describe_host_state(),
        )

    def end_call(
        self,
        upstream: Upstream,
        result: CallResult,
        body_end: BodyEnd,
        causes: RequestCauses,
    ) -> None:
        """Log that a call completed no response."""
        logger.info(
            'event=call_ended request={} upstream={} ending={} reason={!r} '
            + 'framing={} events={} partial_bytes={} fingerprint={} parts={} '
            + 'failures={} refusals={} {}',
            self._admitted.facts.request_id,
            upstream.record.identity,
            result.ending,
            result.reason,
            framing_name(body_end.framing),
            body_end.events,
            body_end.partial_bytes,
            causes.fingerprint,
            ','.join(causes.parts),
            upstream.failures,
            upstream.refusals.consecutive,
            self._describe_host_state(),
        )

    def end_request(self, response: ResponseWriter, body_end: BodyEnd) -> None:
        """Log that the caller's response has ended."""
        began_at = self._admitted.began_at
        first_byte_at = response.first_byte_at
        logger.info(
            'event=request_ended request={} status={} took_ms={:.0f} '
            + 'first_ms={:.0f} framing={} partial_bytes={} caller_framing={}',
            self._admitted.facts.request_id,
            response.status,
            _MS * (self._now() - began_at),
            -1 if first_byte_at is None else _MS * (first_byte_at - began_at),
            framing_name(body_end.framing),
            body_end.partial_bytes,
            framing_name(response.framing),
        )
