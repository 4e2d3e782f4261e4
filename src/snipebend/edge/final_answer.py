"""The end of a request whose answer didn't come by itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.outcomes import Outcome
from snipebend.edge.http_headers import end_to_end
from snipebend.relay import problems
from snipebend.relay.call_outcomes import NextAction

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.edge.call import WholeAnswer
    from snipebend.edge.refuser import Refuser
    from snipebend.relay.facts import CallerFacts
    from snipebend.relay.problems import Refusal
    from snipebend.relay.upstream_selection import NoCapacity


class FinalAnswer:
    """Ends one answer, once."""

    def __init__(
        self,
        answer: AnswerWriter,
        refuser: Refuser,
        facts: CallerFacts,
        time_left_s: Callable[[], float],
    ) -> None:
        """Keep the answer, the request's facts and the way to its time."""
        self._answer = answer
        self._refuser = refuser
        self._facts = facts
        self._time_left_s = time_left_s

    def pass_on(self, whole: WholeAnswer) -> None:
        """Give the caller an upstream's whole answer."""
        head = whole.begun.head
        self._answer.begin(
            head.status,
            head.reason,
            list(end_to_end(head.headers)),
            len(whole.body),
        )
        self._answer.write(whole.body)
        self._answer.end()

    def finish(
        self,
        step: NextAction,
        reason: str,
        failure: WholeAnswer | None,
        *,
        no_capacity: NoCapacity | None,
    ) -> None:
        """Answer after the last call; ``failure`` is the upstream's own."""
        match step:
            case NextAction.FORWARD if failure is not None and not self._begun:
                self.pass_on(failure)
            case NextAction.REFUSE if no_capacity is not None:
                self._refuse_until(no_capacity)
            case NextAction.REFUSE:
                self._refuse_for_outage(reason)
            case _:
                self._refuse(problems.upstream_lost(reason))

    def refuse_full(
        self, *, may_have_run: bool, tried: bool, no_capacity: NoCapacity | None
    ) -> None:
        """Answer that no upstream can take it now."""
        if may_have_run:
            self._refuse(
                problems.upstream_lost('the call broke, and none is free')
            )
        elif no_capacity is not None:
            self._refuse_until(no_capacity)
        elif tried:
            self._refuse_for_outage('no other upstream is free')
        else:
            retry_after_s = self._refuser.wait_for_place_s()
            self._refuse(problems.busy(retry_after_s, 'no upstream is free'))

    def time_out(self, *, may_have_run: bool) -> None:
        """Answer that the time is over."""
        if may_have_run:
            self._refuse(problems.deadline_exceeded(Outcome.UNKNOWN))
            return
        self._refuse_for_outage('no upstream in time')

    @property
    def _begun(self) -> bool:
        return self._answer.begun

    def _refuse_until(self, no_capacity: NoCapacity) -> None:
        retry_after_s = self._refuser.wait_for_room_s(no_capacity.retry_after_s)
        self._refuse(problems.busy(retry_after_s, no_capacity.detail))

    def _refuse_for_outage(self, reason: str) -> None:
        retry_after_s = self._refuser.wait_for_outage_s(self._time_left_s())
        self._refuse(problems.busy(retry_after_s, reason))

    def _refuse(self, refusal: Refusal) -> None:
        if self._answer.ended:
            return
        if self._begun:
            # A broken answer must not look like a whole one.
            self._answer.abort()
            return
        self._refuser.refuse(self._answer, refusal, self._facts)
