"""Builds the claim and settlement messages of one request's attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.actions import Claim
from snipebend.state.claims import ClaimRequest, Holder, SettleRequest

if TYPE_CHECKING:
    from snipebend.delivery.facts import Target
    from snipebend.delivery.request_context import RequestContext
    from snipebend.state.claims import Settlement, StoredAnswer


def claim_action(
    context: RequestContext, attempt: int, target: Target | None
) -> Claim:
    """Return the claim of an attempt; without a target, only a lookup."""
    request = ClaimRequest(
        workspace=context.facts.workspace,
        key=context.facts.key,
        fingerprint=context.facts.fingerprint,
        holder=_holder(context, attempt, target),
        expires_at=context.facts.deadline_at + context.limits.key_retention_s,
    )
    return Claim(request)


def attempt_settlement(
    context: RequestContext,
    attempt: int,
    settlement: Settlement,
    answer: StoredAnswer | None = None,
) -> SettleRequest:
    """Return the settlement of an attempt of this request."""
    return SettleRequest(
        context.facts.workspace,
        context.facts.key,
        context.facts.request_id,
        attempt,
        settlement,
        answer,
    )


def holder_settlement(
    context: RequestContext,
    holder: Holder,
    settlement: Settlement,
    answer: StoredAnswer | None = None,
) -> SettleRequest:
    """Return the settlement of the attempt that holds the key."""
    return SettleRequest(
        context.facts.workspace,
        context.facts.key,
        holder.request_id,
        holder.attempt,
        settlement,
        answer,
    )


def _holder(
    context: RequestContext, attempt: int, target: Target | None
) -> Holder:
    return Holder(
        request_id=context.facts.request_id,
        attempt=attempt,
        entry=context.limits.entry,
        upstream=target.upstream if target else '',
        grpc_address=target.grpc_address if target else '',
        incarnation=target.incarnation if target else 0,
        deadline_at=context.facts.deadline_at,
    )
