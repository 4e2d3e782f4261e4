"""Replies to claims, settlements and seals, and their absence.

Each event identifies what it answers, so that late replies can be ignored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from snipebend.delivery.messages import SealReply
    from snipebend.state.claims import ClaimReply, SettleReply


class ClaimAnswered(NamedTuple):
    """The reply to ``Claim``."""

    attempt: int
    reply: ClaimReply


class ClaimFailed(NamedTuple):
    """No reply to ``Claim``: it may have been granted or not."""

    attempt: int
    retry_after: float = 1


class SettleAnswered(NamedTuple):
    """The reply to ``Settle``; identifies the settled attempt."""

    request_id: str
    attempt: int
    reply: SettleReply


class SettleFailed(NamedTuple):
    """No reply to ``Settle``: it may have been applied or not."""

    request_id: str
    attempt: int


class SealAnswered(NamedTuple):
    """The reply to ``Seal``; identifies the sealed attempt."""

    request_id: str
    attempt: int
    reply: SealReply


class SealFailed(NamedTuple):
    """No reply to ``Seal``: the outcome of the attempt is unknown."""

    request_id: str
    attempt: int


ClaimEvent: TypeAlias = (
    ClaimAnswered
    | ClaimFailed
    | SettleAnswered
    | SettleFailed
    | SealAnswered
    | SealFailed
)
