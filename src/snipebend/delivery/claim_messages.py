"""Claims and settlements of one request's attempts, as messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.actions import Claim
from snipebend.state.claims import ClaimRequest, Holder, SettleRequest

if TYPE_CHECKING:
    from snipebend.delivery.facts import Target
    from snipebend.delivery.life import Life
    from snipebend.state.claims import Settlement, StoredAnswer


def claim_action(life: Life, attempt: int, target: Target | None) -> Claim:
    """Return the claim of an attempt, or the look-up without a target."""
    request = ClaimRequest(
        workspace=life.facts.workspace,
        key=life.facts.key,
        fingerprint=life.facts.fingerprint,
        holder=_holder(life, attempt, target),
        expires_at=life.facts.deadline_at + life.limits.key_retention_s,
    )
    return Claim(request)


def own_settlement(
    life: Life,
    attempt: int,
    settlement: Settlement,
    answer: StoredAnswer | None = None,
) -> SettleRequest:
    """Return the settlement of one of our own attempts."""
    return SettleRequest(
        life.facts.workspace,
        life.facts.key,
        life.facts.request_id,
        attempt,
        settlement,
        answer,
    )


def holder_settlement(
    life: Life,
    holder: Holder,
    settlement: Settlement,
    answer: StoredAnswer | None = None,
) -> SettleRequest:
    """Return the settlement of the attempt that holds the key."""
    return SettleRequest(
        life.facts.workspace,
        life.facts.key,
        holder.request_id,
        holder.attempt,
        settlement,
        answer,
    )


def _holder(life: Life, attempt: int, target: Target | None) -> Holder:
    return Holder(
        request_id=life.facts.request_id,
        attempt=attempt,
        entry=life.limits.entry,
        upstream=target.upstream if target else '',
        grpc_address=target.grpc_address if target else '',
        incarnation=target.incarnation if target else 0,
        deadline_at=life.facts.deadline_at,
    )
