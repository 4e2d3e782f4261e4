"""The phases of a request's lifecycle at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from snipebend.delivery.actions import Refuse
    from snipebend.delivery.facts import Target
    from snipebend.state.claims import Holder, SettleRequest


class Idle(NamedTuple):
    """The request has not arrived."""


class Choosing(NamedTuple):
    """Waits for routing to choose an upstream."""


class AskingRetry(NamedTuple):
    """Waits for the retry budget; ``refusal`` applies if it denies."""

    refusal: Refuse


class Claiming(NamedTuple):
    """Waits for the reply to a claim of the key.

    Without a ``target`` the key is only looked up, so that ``refusal`` carries
    a proved outcome. A claim without a reply is resent ``tries_left`` times.
    """

    attempt: int
    target: Target | None
    refusal: Refuse
    tries_left: int


class Attempting(NamedTuple):
    """An attempt is in flight."""

    attempt: int
    target: Target


class SealingAttempt(NamedTuple):
    """Waits for the agent's reply about this request's attempt."""

    attempt: int
    target: Target
    refusal: Refuse


class SealingHolder(NamedTuple):
    """Waits for the reply about the attempt that holds the key."""

    holder: Holder
    claiming: Claiming


class RetryAttempt(NamedTuple):
    """After settling: request another attempt, or refuse if denied."""

    refusal: Refuse


class ClaimAgain(NamedTuple):
    """After settling the holder's attempt: claim the key again."""

    claiming: Claiming


class EndRequest(NamedTuple):
    """After settling: end the request."""


AfterSettling: TypeAlias = RetryAttempt | ClaimAgain | EndRequest


class Settling(NamedTuple):
    """Waits for the reply to a settlement; ``tries_left`` bounds resends."""

    request: SettleRequest
    tries_left: int
    after: AfterSettling


class Ended(NamedTuple):
    """The request has ended and nothing is awaited."""


Phase: TypeAlias = (
    Idle
    | Choosing
    | AskingRetry
    | Claiming
    | Attempting
    | SealingAttempt
    | SealingHolder
    | Settling
    | Ended
)
