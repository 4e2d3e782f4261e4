"""Events of one attempt between the entry and the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.delivery.messages import RefusalReason


class AttemptRefused(NamedTuple):
    """The agent refused to start the attempt."""

    attempt: int
    reason: RefusalReason
    retry_after: float = 0


class AttemptStarted(NamedTuple):
    """The head of the upstream's response arrived."""

    attempt: int
    status: int
    headers: Mapping[str, str]


class ChunkArrived(NamedTuple):
    """A chunk of the response body arrived; ``seq`` starts at 0."""

    attempt: int
    seq: int
    payload: bytes


class AttemptFinished(NamedTuple):
    """The response ended normally.

    ``chunks`` is its length in chunks, None if not reported.
    """

    attempt: int
    chunks: int | None = None


class AttemptBroken(NamedTuple):
    """The attempt ended neither normally nor with a refusal.

    ``sent`` is false only if no byte of it was written to a connection.
    """

    attempt: int
    sent: bool


AttemptEvent: TypeAlias = (
    AttemptRefused
    | AttemptStarted
    | ChunkArrived
    | AttemptFinished
    | AttemptBroken
)
