"""How one call of an upstream ended, and what follows for the request."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Ending(Enum):
    """What is known of a call that brought no answer for the caller."""

    #: No byte of it was written to the upstream.
    UNSENT = 'unsent'
    #: The upstream proved that it didn't run it.
    NOT_RUN = 'not-run'
    #: It may have run; no whole answer came.
    UNKNOWN = 'unknown'
    #: It ran, and the upstream's whole answer is a failure.
    FAILED = 'failed'


class Next(Enum):
    """What a request does after a call that ended."""

    RETRY = 'retry'
    #: Answer 'not run, come back'.
    REFUSE = 'refuse'
    #: Answer that nobody knows whether it ran.
    GIVE_UP = 'give-up'
    #: Pass the upstream's own failure on.
    PASS_ON = 'pass-on'


class Chances(NamedTuple):
    """What a request may still do after a call that ended."""

    idempotent: bool
    #: Runs that the route still allows, beside those that may have begun.
    runs_left: int
    #: Sendings left, whether they ran or not.
    sends_left: int
    #: Seconds until its deadline.
    time_left_s: float
    #: Whether another upstream could take it now.
    other_upstream: bool
    #: Whether any earlier call of it may have run.
    may_have_run: bool


#: Below this there is no time for another upstream to answer: a round trip
#: and the shortest work of a plain service (tens of milliseconds).
LEAST_RETRY_TIME_S = 0.03


def decide(ending: Ending, chances: Chances) -> Next:
    """Return what a request does next; the retry budget comes on top."""
    if _may_retry(ending, chances):
        return Next.RETRY
    return when_over(ending, may_have_run=chances.may_have_run)


def when_over(ending: Ending, *, may_have_run: bool) -> Next:
    """Return the final answer of a request that isn't sent again."""
    match ending:
        case Ending.FAILED:
            return Next.PASS_ON
        case Ending.UNSENT | Ending.NOT_RUN if not may_have_run:
            return Next.REFUSE
        case _:
            return Next.GIVE_UP


def _may_retry(ending: Ending, chances: Chances) -> bool:
    if chances.time_left_s < LEAST_RETRY_TIME_S or chances.sends_left < 1:
        return False
    if not chances.other_upstream or chances.runs_left < 1:
        return False
    match ending:
        case Ending.UNSENT | Ending.NOT_RUN:
            return chances.idempotent or not chances.may_have_run
        case Ending.UNKNOWN | Ending.FAILED:
            return chances.idempotent
