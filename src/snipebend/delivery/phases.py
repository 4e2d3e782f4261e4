"""The phases of a request's life at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from snipebend.delivery.actions import Refuse
    from snipebend.delivery.facts import Target
    from snipebend.state.claims import Holder, SettleRequest


class Idle(NamedTuple):
    """The request hasn't arrived."""


class Choosing(NamedTuple):
    """Routing was asked for an upstream."""


class AskingRetry(NamedTuple):
    """The retry budget was asked; ``refusal`` is for the case of a no."""

    refusal: Refuse


class Claiming(NamedTuple):
    """The key was asked for.

    Without a ``target`` it is only looked up, for a true ``refusal``. A claim
    that got no answer is sent again ``tries_left`` times.
    """

    attempt: int
    target: Target | None
    refusal: Refuse
    tries_left: int


class Attempting(NamedTuple):
    """An attempt is under way."""

    attempt: int
    target: Target


class SealingOwn(NamedTuple):
    """The agent was asked what became of our attempt."""

    attempt: int
    target: Target
    refusal: Refuse


class SealingHolder(NamedTuple):
    """The agent of the attempt that holds the key was asked about it."""

    holder: Holder
    claiming: Claiming


class TryAgain(NamedTuple):
    """After settling: ask for another attempt, else refuse."""

    refusal: Refuse


class ClaimAgain(NamedTuple):
    """After settling the holder's attempt: claim what was claimed before."""

    claiming: Claiming


class Leave(NamedTuple):
    """After settling: nothing."""


AfterSettling: TypeAlias = TryAgain | ClaimAgain | Leave


class Settling(NamedTuple):
    """A settlement was sent; ``tries_left`` bounds its resends."""

    request: SettleRequest
    tries_left: int
    after: AfterSettling


class Ended(NamedTuple):
    """Nothing is awaited any more."""


Phase: TypeAlias = (
    Idle
    | Choosing
    | AskingRetry
    | Claiming
    | Attempting
    | SealingOwn
    | SealingHolder
    | Settling
    | Ended
)
