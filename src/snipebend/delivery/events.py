"""What can happen to one caller's request at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from snipebend.delivery.attempt_events import AttemptEvent
from snipebend.delivery.claim_events import ClaimEvent

if TYPE_CHECKING:
    from snipebend.delivery.facts import RequestFacts, Target


class Arrived(NamedTuple):
    """A caller's request was read."""

    request: RequestFacts


class UpstreamChosen(NamedTuple):
    """Answers ``ChooseUpstream``."""

    target: Target


class NoUpstream(NamedTuple):
    """Answers ``ChooseUpstream``: nobody can take it, or admission refused.

    ``retry_after`` is in seconds; 0 where coming back can't help.
    """

    retry_after: float
    status: int = 503
    detail: str = 'no upstream can take this right now'


class RetryGranted(NamedTuple):
    """Answers ``AskRetry``: the budget allows one more attempt."""


class RetryDenied(NamedTuple):
    """Answers ``AskRetry``: the budget is spent."""

    retry_after: float


class CallerGone(NamedTuple):
    """The caller's connection closed."""


class DeadlineReached(NamedTuple):
    """The time of ``SetTimer`` has come."""


Event: TypeAlias = (
    AttemptEvent
    | ClaimEvent
    | Arrived
    | UpstreamChosen
    | NoUpstream
    | RetryGranted
    | RetryDenied
    | CallerGone
    | DeadlineReached
)
