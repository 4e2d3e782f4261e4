"""What the request machine asks its driver to do.

The driver does the actions of one step in their order. ``FinishAnswer``,
``AbortAnswer``, ``Refuse`` and ``AnswerStored`` are final for the caller, and
just one of them is ever asked for. ``Settle`` and ``Seal`` may still follow:
the driver goes on until ``RequestMachine.done``.
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
    """Ask routing for an upstream other than those excluded, if it can.

    Answered by ``UpstreamChosen`` or ``NoUpstream``.
    """

    exclude: frozenset[str]


class AskRetry(NamedTuple):
    """Ask for a place in the retry budget.

    Answered by ``RetryGranted`` or ``RetryDenied``.
    """


class Claim(NamedTuple):
    """Claim the key; answered by ``ClaimAnswered`` or ``ClaimFailed``."""

    request: ClaimRequest


class Settle(NamedTuple):
    """Settle a claim; answered by ``SettleAnswered`` or ``SettleFailed``."""

    request: SettleRequest


class SendAttempt(NamedTuple):
    """Send the request once.

    The driver never resends an attempt on its own, not even over another
    connection: the proof that a refusal gives rests on that.
    """

    target: Target
    ticket: AttemptTicket


class CancelAttempt(NamedTuple):
    """Close the attempt's connection; its later events are ignored."""

    attempt: int


class Seal(NamedTuple):
    """Ask the agent over a new connection what became of an attempt.

    Answered by ``SealAnswered`` or ``SealFailed``.
    """

    grpc_address: str
    request: SealRequest


class RelayHead(NamedTuple):
    """Start the answer to the caller."""

    status: int
    headers: Mapping[str, str]


class RelayChunk(NamedTuple):
    """Pass a piece of the body to the caller."""

    payload: bytes


class FinishAnswer(NamedTuple):
    """End the answer cleanly."""


class AbortAnswer(NamedTuple):
    """Break the answer off visibly: never a clean end."""

    reason: str
    outcome: Outcome


class Refuse(NamedTuple):
    """Answer with a problem; ``retry_after`` is in seconds, 0 for none."""

    status: int
    outcome: Outcome
    title: str
    detail: str
    retry_after: float = 0


class AnswerStored(NamedTuple):
    """Answer with the one kept from the execution that there was."""

    answer: StoredAnswer


class SetTimer(NamedTuple):
    """Send ``DeadlineReached`` at this wall time."""

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
    | FinishAnswer
    | AbortAnswer
    | Refuse
    | AnswerStored
    | SetTimer
)
