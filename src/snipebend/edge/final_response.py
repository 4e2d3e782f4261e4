"""Ends a request with a buffered response, a refusal or an error."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.outcomes import Outcome
from snipebend.edge.http_headers import end_to_end
from snipebend.relay import problems
from snipebend.relay.call_outcomes import NextAction

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.call import CompleteResponse
    from snipebend.edge.refusal_writer import RefusalWriter
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.crash_table import Quarantine
    from snipebend.relay.facts import CallerFacts
    from snipebend.relay.problems import Refusal
    from snipebend.relay.upstream_selection import NoCapacity


class FinalResponse:
    """Writes the end of one response, at most once."""

    def __init__(
        self,
        response: ResponseWriter,
        refusal_writer: RefusalWriter,
        facts: CallerFacts,
        time_left_s: Callable[[], float],
    ) -> None:
        """Keep the response and the facts of its request."""
        self._response = response
        self._refusal_writer = refusal_writer
        self._facts = facts
        self._time_left_s = time_left_s
        #: What was written in place of an upstream's response.
        self.refusal: Refusal | None = None

    def forward(self, upstream_response: CompleteResponse) -> None:
        """Write an upstream's complete response."""
        head = upstream_response.started.head
        self._response.begin(
            head.status,
            head.reason,
            list(end_to_end(head.headers)),
            len(upstream_response.body),
        )
        self._response.write(upstream_response.body)
        self._response.end()

    def finish(
        self,
        action: NextAction,
        reason: str,
        failure: CompleteResponse | None,
        *,
        no_capacity: NoCapacity | None,
    ) -> None:
        """Respond after the last call; ``failure`` is the upstream's one."""
        match action:
            case NextAction.FORWARD if (
                failure is not None and not self._started
            ):
                self.forward(failure)
            case NextAction.REFUSE if no_capacity is not None:
                self._refuse_until(no_capacity)
            case NextAction.REFUSE:
                self._refuse_for_outage(reason)
            case _:
                self._refuse(problems.upstream_lost(reason))

    def refuse_no_capacity(
        self, *, may_have_run: bool, tried: bool, no_capacity: NoCapacity | None
    ) -> None:
        """Respond that no upstream has capacity."""
        if may_have_run:
            self._refuse(
                problems.upstream_lost('the call broke, and none is free')
            )
        elif no_capacity is not None:
            self._refuse_until(no_capacity)
        elif tried:
            self._refuse_for_outage('no other upstream is free')
        else:
            retry_after_s = self._refusal_writer.busy_retry_s()
            self._refuse(problems.busy(retry_after_s, 'no upstream is free'))

    def refuse_quarantined(
        self, quarantine: Quarantine, *, may_have_run: bool
    ) -> None:
        """Respond that the request, or a part of its prompt, ends upstreams."""
        if may_have_run:
            self._refuse(
                problems.upstream_lost('the call broke, as others did before')
            )
            return
        self._refuse(problems.quarantined(quarantine))

    def time_out(self, *, may_have_run: bool) -> None:
        """Respond that the deadline has expired."""
        if may_have_run:
            self._refuse(problems.deadline_exceeded(Outcome.UNKNOWN))
            return
        self._refuse_for_outage('no upstream in time')

    @property
    def _started(self) -> bool:
        return self._response.started

    def _refuse_until(self, no_capacity: NoCapacity) -> None:
        retry_after_s = self._refusal_writer.capacity_retry_s(
            no_capacity.retry_after_s
        )
        self._refuse(problems.busy(retry_after_s, no_capacity.detail))

    def _refuse_for_outage(self, reason: str) -> None:
        retry_after_s = self._refusal_writer.outage_retry_s(self._time_left_s())
        self._refuse(problems.busy(retry_after_s, reason))

    def _refuse(self, refusal: Refusal) -> None:
        if self._response.ended:
            return
        if self._started:
            # A response that was cut off must not look complete.
            self._response.abort()
            return
        self.refusal = refusal
        self._refusal_writer.refuse(self._response, refusal, self._facts)
