"""Moves streams away from ranks that delay all streams of their group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.edge.call_result import CallResult
from snipebend.relay.call_outcomes import (
    CallOutcome,
    NextAction,
    decide_next_action,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.call import Call
    from snipebend.relay.call_outcomes import RetryConditions


class StreamMover:
    """Decides when one request's stream is resumed at another upstream.

    All ranks wait in each pass for a slow one that writes. Without its streams
    the passes of its group are as short as usual.
    """

    def __init__(
        self,
        retry_conditions: Callable[[], RetryConditions],
        acquire_retry: Callable[[], bool],
    ) -> None:
        """Keep the conditions of a retry, and how to spend one."""
        self._retry_conditions = retry_conditions
        self._acquire_retry = acquire_retry
        self._is_refused = False

    def move_from(
        self, call: Call, resume_after: int | None
    ) -> CallResult | None:
        """Return the result of a call to end now; None to go on with it.

        A call of which more has arrived goes on: that may be its end.

        ``resume_after`` is the ID of the last event that the caller has;
        without one the stream stays, as its events would come again. A retry is
        spent before the call is ended. If the budget refuses it, the stream
        stays where it is, too.
        """
        if not call.upstream.is_spared or call.has_pending_events:
            return None
        if self._is_refused or resume_after is None:
            return None
        action = decide_next_action(
            CallOutcome.UNKNOWN, self._retry_conditions()
        )
        if action is not NextAction.RETRY:
            return None
        if not self._acquire_retry():
            self._is_refused = True
            return None
        reason = 'its rank delays all streams of its group'
        return CallResult(CallOutcome.UNKNOWN, reason, moved=True)
