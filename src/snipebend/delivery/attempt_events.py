"""What can happen to one attempt on its way to an agent and back."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.delivery.messages import RefusalReason


class AttemptRefused(NamedTuple):
    """The agent answered that it didn't start the attempt."""

    attempt: int
    reason: RefusalReason
    retry_after: float = 0


class AttemptStarted(NamedTuple):
    """The head of the upstream's answer arrived."""

    attempt: int
    status: int
    headers: Mapping[str, str]


class ChunkArrived(NamedTuple):
    """A numbered piece of the answer's body; numbers start at 0."""

    attempt: int
    seq: int
    payload: bytes


class AttemptFinished(NamedTuple):
    """The answer ended cleanly; ``chunks`` is its length in chunks, if told."""

    attempt: int
    chunks: int | None = None


class AttemptBroke(NamedTuple):
    """The attempt ended without a clean end or a refusal.

    ``sent`` is false only if no byte of it was handed to a connection.
    """

    attempt: int
    sent: bool


AttemptEvent: TypeAlias = (
    AttemptRefused
    | AttemptStarted
    | ChunkArrived
    | AttemptFinished
    | AttemptBroke
)
