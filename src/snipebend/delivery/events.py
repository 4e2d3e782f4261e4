"""Events of one caller's request at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from snipebend.delivery.attempt_events import AttemptEvent
from snipebend.delivery.claim_events import ClaimEvent

if TYPE_CHECKING:
    from snipebend.delivery.facts import RequestFacts, Target


class Arrived(NamedTuple):
    """A caller's request was received."""

    request: RequestFacts


class UpstreamChosen(NamedTuple):
    """The reply to ``ChooseUpstream``."""

    target: Target


class NoUpstream(NamedTuple):
    """The reply to ``ChooseUpstream`` if none can take the request.

    Also sent if admission refused it. ``retry_after`` is in seconds; 0 if a
    retry cannot succeed.
    """

    retry_after: float
    status: int = 503
    detail: str = 'no upstream can take this right now'


class RetryGranted(NamedTuple):
    """The reply to ``AskRetry``: the budget allows one more attempt."""


class RetryDenied(NamedTuple):
    """The reply to ``AskRetry``: the budget is exhausted."""

    retry_after: float


class CallerDisconnected(NamedTuple):
    """The caller's connection closed."""


class DeadlineReached(NamedTuple):
    """The time of ``SetTimer`` was reached."""


Event: TypeAlias = (
    AttemptEvent
    | ClaimEvent
    | Arrived
    | UpstreamChosen
    | NoUpstream
    | RetryGranted
    | RetryDenied
    | CallerDisconnected
    | DeadlineReached
)
