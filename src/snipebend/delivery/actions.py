"""Actions that the request machine requests from its driver.

The driver performs the actions of one step in order. ``FinishResponse``,
``AbortResponse``, ``Refuse`` and ``SendStoredResponse`` are final for the
caller, and exactly one of them is requested. ``Settle`` and ``Seal`` may still
follow: the driver continues until ``RequestMachine.done``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.delivery.facts import Target
    from snipebend.delivery.messages import AttemptTicket, SealRequest
    from snipebend.delivery.outcomes import Outcome
    from snipebend.state.claims import (
        ClaimRequest,
        SettleRequest,
        StoredAnswer,
    )


class ChooseUpstream(NamedTuple):
    """Request an upstream from routing, avoiding those excluded.

    Answered by ``UpstreamChosen`` or ``NoUpstream``.
    """

    exclude: frozenset[str]


class AskRetry(NamedTuple):
    """Request one retry from the retry budget.

    Answered by ``RetryGranted`` or ``RetryDenied``.
    """


class Claim(NamedTuple):
    """Claim the idempotency key.

    Answered by ``ClaimAnswered`` or ``ClaimFailed``.
    """

    request: ClaimRequest


class Settle(NamedTuple):
    """Settle a claim; answered by ``SettleAnswered`` or ``SettleFailed``."""

    request: SettleRequest


class SendAttempt(NamedTuple):
    """Send the request once.

    The driver never resends an attempt by itself, not even over another
    connection: a refusal proves that the attempt did not run only because it
    was sent once.
    """

    target: Target
    ticket: AttemptTicket


class CancelAttempt(NamedTuple):
    """Close the attempt's connection and ignore its later events."""

    attempt: int


class Seal(NamedTuple):
    """Query the agent, over a new connection, for the outcome of an attempt.

    This also bars the attempt if the agent has not received it.
    Answered by ``SealAnswered`` or ``SealFailed``.
    """

    grpc_address: str
    request: SealRequest


class RelayHead(NamedTuple):
    """Start the response to the caller."""

    status: int
    headers: Mapping[str, str]


class RelayChunk(NamedTuple):
    """Forward a chunk of the body to the caller."""

    payload: bytes


class FinishResponse(NamedTuple):
    """End the response normally."""


class AbortResponse(NamedTuple):
    """Abort the response so that the caller can detect it as incomplete."""

    reason: str
    outcome: Outcome


class Refuse(NamedTuple):
    """Respond with a problem; ``retry_after`` is in seconds, 0 for none."""

    status: int
    outcome: Outcome
    title: str
    detail: str
    retry_after: float = 0


class SendStoredResponse(NamedTuple):
    """Respond with the stored response of the earlier execution."""

    answer: StoredAnswer


class SetTimer(NamedTuple):
    """Emit ``DeadlineReached`` at this wall time."""

    deadline_at: float


Action: TypeAlias = (
    ChooseUpstream
    | AskRetry
    | Claim
    | Settle
    | SendAttempt
    | CancelAttempt
    | Seal
    | RelayHead
    | RelayChunk
    | FinishResponse
    | AbortResponse
    | Refuse
    | SendStoredResponse
    | SetTimer
)
