"""Outcomes of upstream calls, and the decision whether to retry."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class CallOutcome(Enum):
    """The outcome of a call that produced no response for the caller."""

    #: No byte of the request was written to the upstream.
    UNSENT = 'unsent'
    #: The upstream proved that it did not run the request.
    NOT_RUN = 'not-run'
    #: The request may have run; no complete response was received.
    UNKNOWN = 'unknown'
    #: The request ran, and the complete response reports a failure.
    FAILED = 'failed'


class NextAction(Enum):
    """What to do with a request after a failed call."""

    RETRY = 'retry'
    #: Respond that the request did not run and may be sent again.
    REFUSE = 'refuse'
    #: Respond that it is unknown whether the request ran.
    REPORT_UNKNOWN = 'give-up'
    #: Forward the failure response of the upstream.
    FORWARD = 'pass-on'


class RetryConditions(NamedTuple):
    """Conditions on which a retry after a failed call depends."""

    idempotent: bool
    #: Further runs that the route allows, besides those that may have begun.
    runs_left: int
    #: Calls left, whether or not the earlier ones ran.
    attempts_left: int
    #: Seconds until the deadline of the request.
    time_left_s: float
    #: Whether another upstream can accept the request now.
    other_available: bool
    #: Whether any earlier call of this request may have run.
    may_have_run: bool


#: With less time than this left, another upstream can't respond: a round trip
#: and the shortest run of a plain service take tens of milliseconds.
MIN_RETRY_TIME_S = 0.03


def decide_next_action(
    outcome: CallOutcome, conditions: RetryConditions
) -> NextAction:
    """Return the next action; the caller also checks the retry budget."""
    if _may_retry(outcome, conditions):
        return NextAction.RETRY
    return final_action(outcome, may_have_run=conditions.may_have_run)


def final_action(outcome: CallOutcome, *, may_have_run: bool) -> NextAction:
    """Return the final action for a request that is not retried."""
    match outcome:
        case CallOutcome.FAILED:
            return NextAction.FORWARD
        case CallOutcome.UNSENT | CallOutcome.NOT_RUN if not may_have_run:
            return NextAction.REFUSE
        case _:
            return NextAction.REPORT_UNKNOWN


def _may_retry(outcome: CallOutcome, conditions: RetryConditions) -> bool:
    if (
        conditions.time_left_s < MIN_RETRY_TIME_S
        or conditions.attempts_left < 1
    ):
        return False
    if not conditions.other_available or conditions.runs_left < 1:
        return False
    match outcome:
        case CallOutcome.UNSENT | CallOutcome.NOT_RUN:
            return conditions.idempotent or not conditions.may_have_run
        case CallOutcome.UNKNOWN | CallOutcome.FAILED:
            return conditions.idempotent
