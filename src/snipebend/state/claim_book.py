"""The rules by which idempotency keys are claimed and settled (pure)."""

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

#: Bytes of stored answers that one workspace may hold.
WORKSPACE_ANSWER_BYTES = 8_388_608

#: Seconds that a claim is kept at least, whatever its asker's clock says.
MIN_KEEP_S = 60.0

#: Width in seconds of the slots in which claims are forgotten.
_SLOT_S = 10.0


class ClaimRecord(Struct):
    """One key: what it stands for, who may run it and how that ended."""

    fingerprint: str
    holder: Holder
    expires_at: float
    settlement: Settlement | None = None
    answer: StoredAnswer | None = None


class Ledger(Struct):
    """The claims of one workspace; ``answered`` lists the oldest first."""

    claims: dict[str, ClaimRecord] = {}
    answered: dict[str, int] = {}
    answer_bytes: int = 0


class KeyName(Struct, frozen=True):
    """A key within its workspace."""

    workspace: str
    key: str


class ClaimBook(Struct):
    """All claims, and the slots of time in which they are forgotten."""

    ledgers: dict[str, Ledger] = {}
    slots: dict[int, list[KeyName]] = {}

    def claim(self, req: ClaimRequest, now: float) -> ClaimReply:
        """Grant a key to at most one attempt at a time."""
        ledger = self.ledgers.setdefault(req.workspace, Ledger())
        expires_at = max(req.expires_at, now + MIN_KEEP_S)
        record = ledger.claims.get(req.key)
        if record is None:
            record = ClaimRecord(req.fingerprint, req.holder, 0)
            ledger.claims[req.key] = record
            self._keep_until(KeyName(req.workspace, req.key), expires_at)
            return ClaimReply(ClaimVerdict.GRANTED, record.holder)
        if record.fingerprint != req.fingerprint:
            return ClaimReply(ClaimVerdict.MISMATCH)
        reply = _judge(record, req.holder)
        if reply.verdict is ClaimVerdict.GRANTED:
            record.holder = req.holder
            record.settlement = None
            self._keep_until(KeyName(req.workspace, req.key), expires_at)
        return reply

    def settle(self, req: SettleRequest, max_bytes: int) -> SettleReply:
        """Note how the attempt that holds a key ended.

        An attempt that no longer holds the key was settled as not run, or its
        successor wouldn't have been granted. Nothing is known of a key that
        nobody holds.
        """
        ledger = self.ledgers.get(req.workspace)
        record = ledger.claims.get(req.key) if ledger else None
        if ledger is None or record is None:
            return SettleReply(Settlement.UNKNOWN)
        if _attempt(record.holder) != (req.request_id, req.attempt):
            return SettleReply(Settlement.NOT_RUN)
        if record.settlement in {None, Settlement.UNKNOWN}:
            record.settlement = _settle_on(record.settlement, req.settlement)
        if record.settlement is Settlement.RAN and record.answer is None:
            _store(ledger, req, max_bytes)
        return SettleReply(record.settlement or Settlement.UNKNOWN)

    def expire(self, now: float) -> None:
        """Forget the keys whose time has come, slot by slot."""
        due = [slot for slot in self.slots if (slot + 1) * _SLOT_S <= now]
        for slot in due:
            for name in self.slots.pop(slot):
                self._forget(name, now)

    def _keep_until(self, name: KeyName, expires_at: float) -> None:
        record = self.ledgers[name.workspace].claims[name.key]
        if expires_at <= record.expires_at:
            return
        record.expires_at = expires_at
        slot = int(expires_at // _SLOT_S)
        self.slots.setdefault(slot, []).append(name)

    def _forget(self, name: KeyName, now: float) -> None:
        ledger = self.ledgers.get(name.workspace)
        record = ledger.claims.get(name.key) if ledger else None
        if ledger is None or record is None or record.expires_at > now:
            return
        ledger.claims.pop(name.key)
        ledger.answer_bytes -= ledger.answered.pop(name.key, 0)
        if not ledger.claims:
            self.ledgers.pop(name.workspace)


def _attempt(holder: Holder) -> tuple[str, int]:
    return (holder.request_id, holder.attempt)


def _judge(record: ClaimRecord, asker: Holder) -> ClaimReply:
    match record.settlement:
        case None if _attempt(record.holder) == _attempt(asker):
            return ClaimReply(ClaimVerdict.GRANTED, record.holder)
        case Settlement.NOT_RUN if not _is_stale(record.holder, asker):
            return ClaimReply(ClaimVerdict.GRANTED, asker)
        case Settlement.RAN:
            return ClaimReply(ClaimVerdict.RAN, record.holder, record.answer)
        case Settlement.UNKNOWN:
            return ClaimReply(ClaimVerdict.UNKNOWN, record.holder)
        case _:
            return ClaimReply(ClaimVerdict.IN_PROGRESS, record.holder)


def _is_stale(holder: Holder, asker: Holder) -> bool:
    """Tell a late copy of a settled attempt from a new attempt."""
    same = holder.request_id == asker.request_id
    return same and asker.attempt <= holder.attempt


def _settle_on(
    standing: Settlement | None, settlement: Settlement
) -> Settlement:
    if standing is Settlement.UNKNOWN and settlement is not Settlement.RAN:
        return standing
    return settlement


def _store(ledger: Ledger, req: SettleRequest, max_bytes: int) -> None:
    """Keep an answer that fits; the workspace's oldest answers give way."""
    answer = req.answer
    if answer is None or len(answer.body) > max_bytes:
        return
    ledger.claims[req.key].answer = answer
    ledger.answered[req.key] = len(answer.body)
    ledger.answer_bytes += len(answer.body)
    while ledger.answer_bytes > WORKSPACE_ANSWER_BYTES:
        oldest = next(iter(ledger.answered))
        ledger.answer_bytes -= ledger.answered.pop(oldest)
        ledger.claims[oldest].answer = None
