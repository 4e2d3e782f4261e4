"""State and rules of claims of idempotency keys; performs no I/O."""

from __future__ import annotations

from msgspec import Struct

from snipebend.state.claims import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    Holder,
    Settlement,
    SettleReply,
    SettleRequest,
    StoredAnswer,
)

#: Limit on the bytes of stored answers per workspace.
MAX_WORKSPACE_ANSWER_BYTES = 8_388_608

#: Shortest time in seconds to keep a claim, independent of the requester's
#: clock.
MIN_CLAIM_S = 60.0

#: Length in seconds of the time slots by which claims expire.
_SLOT_S = 10.0


class ClaimRecord(Struct):
    """A claimed key: its request, the attempt that may run, and the outcome."""

    fingerprint: str
    holder: Holder
    expires_at: float
    settlement: Settlement | None = None
    answer: StoredAnswer | None = None


class WorkspaceClaims(Struct):
    """The claims of one workspace.

    ``answered`` maps keys with a stored answer to its size, oldest first.
    """

    claims: dict[str, ClaimRecord] = {}
    answered: dict[str, int] = {}
    answer_bytes: int = 0


class WorkspaceKey(Struct, frozen=True):
    """A key within its workspace."""

    workspace: str
    key: str


class ClaimState(Struct):
    """All claims by workspace, and their keys by expiry time slot."""

    ledgers: dict[str, WorkspaceClaims] = {}
    slots: dict[int, list[WorkspaceKey]] = {}

    def claim(self, req: ClaimRequest, now: float) -> ClaimReply:
        """Grant a key to at most one attempt at a time."""
        ledger = self.ledgers.setdefault(req.workspace, WorkspaceClaims())
        expires_at = max(req.expires_at, now + MIN_CLAIM_S)
        record = ledger.claims.get(req.key)
        if record is None:
            record = ClaimRecord(req.fingerprint, req.holder, 0)
            ledger.claims[req.key] = record
            self._extend_expiry(
                WorkspaceKey(req.workspace, req.key), expires_at
            )
            return ClaimReply(ClaimVerdict.GRANTED, record.holder)
        if record.fingerprint != req.fingerprint:
            return ClaimReply(ClaimVerdict.MISMATCH)
        reply = _decide_claim(record, req.holder)
        if reply.verdict is ClaimVerdict.GRANTED:
            record.holder = req.holder
            record.settlement = None
            self._extend_expiry(
                WorkspaceKey(req.workspace, req.key), expires_at
            )
        return reply

    def settle(self, req: SettleRequest, max_bytes: int) -> SettleReply:
        """Record the outcome of the attempt that holds a key.

        An attempt that no longer holds the key was settled as not run, because
        otherwise the next attempt would not have been granted. For a key
        without a claim the outcome is unknown.
        """
        ledger = self.ledgers.get(req.workspace)
        record = ledger.claims.get(req.key) if ledger else None
        if ledger is None or record is None:
            return SettleReply(Settlement.UNKNOWN)
        if _attempt_key(record.holder) != (req.request_id, req.attempt):
            return SettleReply(Settlement.NOT_RUN)
        if record.settlement in {None, Settlement.UNKNOWN}:
            record.settlement = _merge_settlement(
                record.settlement, req.settlement
            )
        if record.settlement is Settlement.RAN and record.answer is None:
            _store_answer(ledger, req, max_bytes)
        return SettleReply(record.settlement or Settlement.UNKNOWN)

    def expire(self, now: float) -> None:
        """Remove the expired claims of all time slots that have passed."""
        expired_slots = [
            slot for slot in self.slots if (slot + 1) * _SLOT_S <= now
        ]
        for slot in expired_slots:
            for name in self.slots.pop(slot):
                self._remove_expired(name, now)

    def _extend_expiry(self, name: WorkspaceKey, expires_at: float) -> None:
        record = self.ledgers[name.workspace].claims[name.key]
        if expires_at <= record.expires_at:
            return
        record.expires_at = expires_at
        slot = int(expires_at // _SLOT_S)
        self.slots.setdefault(slot, []).append(name)

    def _remove_expired(self, name: WorkspaceKey, now: float) -> None:
        ledger = self.ledgers.get(name.workspace)
        record = ledger.claims.get(name.key) if ledger else None
        if ledger is None or record is None or record.expires_at > now:
            return
        ledger.claims.pop(name.key)
        ledger.answer_bytes -= ledger.answered.pop(name.key, 0)
        if not ledger.claims:
            self.ledgers.pop(name.workspace)


def _attempt_key(holder: Holder) -> tuple[str, int]:
    return (holder.request_id, holder.attempt)


def _decide_claim(record: ClaimRecord, requester: Holder) -> ClaimReply:
    match record.settlement:
        case None if _attempt_key(record.holder) == _attempt_key(requester):
            return ClaimReply(ClaimVerdict.GRANTED, record.holder)
        case Settlement.NOT_RUN if not _is_stale(record.holder, requester):
            return ClaimReply(ClaimVerdict.GRANTED, requester)
        case Settlement.RAN:
            return ClaimReply(ClaimVerdict.RAN, record.holder, record.answer)
        case Settlement.UNKNOWN:
            return ClaimReply(ClaimVerdict.UNKNOWN, record.holder)
        case _:
            return ClaimReply(ClaimVerdict.IN_PROGRESS, record.holder)


def _is_stale(holder: Holder, requester: Holder) -> bool:
    """Return whether this is a late duplicate of a settled attempt."""
    same = holder.request_id == requester.request_id
    return same and requester.attempt <= holder.attempt


def _merge_settlement(
    current: Settlement | None, settlement: Settlement
) -> Settlement:
    if current is Settlement.UNKNOWN and settlement is not Settlement.RAN:
        return current
    return settlement


def _store_answer(
    ledger: WorkspaceClaims, req: SettleRequest, max_bytes: int
) -> None:
    """Store an answer within the limits; evict the workspace's oldest ones."""
    answer = req.answer
    if answer is None or len(answer.body) > max_bytes:
        return
    ledger.claims[req.key].answer = answer
    ledger.answered[req.key] = len(answer.body)
    ledger.answer_bytes += len(answer.body)
    while ledger.answer_bytes > MAX_WORKSPACE_ANSWER_BYTES:
        oldest = next(iter(ledger.answered))
        ledger.answer_bytes -= ledger.answered.pop(oldest)
        ledger.claims[oldest].answer = None
