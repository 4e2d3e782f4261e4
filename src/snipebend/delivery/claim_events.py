"""Answers to claims, settlements and seals, and the lack of them.

They name what they answer, so that late ones are told from awaited ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from snipebend.delivery.messages import SealReply
    from snipebend.state.claims import ClaimReply, SettleReply


class ClaimAnswered(NamedTuple):
    """Answers ``Claim``."""

    attempt: int
    reply: ClaimReply


class ClaimFailed(NamedTuple):
    """No answer to ``Claim``: it may stand or not."""

    attempt: int
    retry_after: float = 1


class SettleAnswered(NamedTuple):
    """Answers ``Settle``; names the settled attempt."""

    request_id: str
    attempt: int
    reply: SettleReply


class SettleFailed(NamedTuple):
    """No answer to ``Settle``: it may stand or not."""

    request_id: str
    attempt: int


class SealAnswered(NamedTuple):
    """Answers ``Seal``; names the sealed attempt."""

    request_id: str
    attempt: int
    reply: SealReply


class SealFailed(NamedTuple):
    """No answer to ``Seal``: nothing is known."""

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
