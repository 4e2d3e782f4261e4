"""The agent's admission guard: at most one execution of each attempt.

Its memory can be bounded because an attempt carries a deadline after which the
guard refuses it. A tombstone (the record of a barred attempt) is therefore
needed only until that deadline. The guard reads the deadline on its own clock,
which it never lets run backwards; no two clocks are compared. The record of a
started attempt is kept longer, so that a resend learns how the attempt ended.
Once that record is evicted, the guard cannot distinguish the attempt from one
that it never received. It reports ``UNKNOWN`` for every attempt without a
record whose deadline is not later than the latest evicted one. Without room for
a tombstone it makes no promise and reports ``UNKNOWN`` or ``UNTRACKED``.
Repeatable work is recorded separately: a flood of it cannot use up the room for
other work, and it is admitted even without room.

A request suspected of crashing upstreams is marked ``alone``. It starts only
while nothing else runs, and nothing starts while it runs, whichever entries the
attempts come from.

The guard relies on two properties. An agent's incarnation increases with each
start, so that no record has to survive a restart. A sender sends each attempt
once, so that a refusal answers the only delivery; copies that arrive later find
the record.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from snipebend.delivery.attempt_records import (
    AttemptId,
    AttemptPhase,
    AttemptRecord,
    AttemptRecords,
)
from snipebend.delivery.messages import (
    RefusalReason,
    SealReply,
    SealRequest,
    SealVerdict,
)

if TYPE_CHECKING:
    from snipebend.delivery.messages import AttemptTicket
    from snipebend.state.claims import StoredAnswer

_VERDICTS = MappingProxyType(
    {
        AttemptPhase.BARRED: SealVerdict.NOT_RUN,
        AttemptPhase.RUNNING: SealVerdict.RUNNING,
        AttemptPhase.FINISHED: SealVerdict.RAN,
        AttemptPhase.BROKEN: SealVerdict.UNKNOWN,
    }
)


class Admitted(NamedTuple):
    """The attempt can start now.

    ``AttemptGuard.finish``, ``fail`` or ``withdraw`` must follow.
    """


class Refused(NamedTuple):
    """The attempt is not started."""

    reason: RefusalReason


Admission: TypeAlias = Admitted | Refused


class GuardLimits(NamedTuple):
    """Bounds of the guard.

    ``max_running`` bounds concurrent attempts and ``max_records`` the recorded
    ones, half of them for repeatable work. ``max_answer_bytes`` bounds the
    total size of stored responses. ``retention_s`` is how long past its
    deadline or its end the record of a started attempt is kept for resends, if
    there is room. ``max_records`` divided by the longest deadline is the rate
    of attempts that the guard can track.
    """

    max_running: int
    max_records: int = 65536
    max_answer_bytes: int = 16777216
    retention_s: float = 600


class AttemptGuard:
    """Admits attempts to the agent's upstream and replies to seal requests."""

    def __init__(self, incarnation: int, limits: GuardLimits) -> None:
        """Create a guard without records.

        ``incarnation`` increases with each start of the agent.
        """
        self.incarnation = incarnation
        self.leaving = False
        self._limits = limits
        self._now = float('-inf')
        self._exclusive_attempt: AttemptId | None = None
        # By ``keep_answer``: ``True`` for work that may not be repeated.
        self._records = {
            keep_answer: AttemptRecords(
                limits.max_records // 2,
                limits.max_answer_bytes if keep_answer else 0,
            )
            for keep_answer in (False, True)
        }

    @property
    def running(self) -> int:
        """Return the number of running attempts."""
        return sum(records.running for records in self._records.values())

    def leave(self) -> None:
        """Refuse new attempts from now on; seal requests are still answered."""
        self.leaving = True

    def admit(self, ticket: AttemptTicket, now: float) -> Admission:
        """Decide whether an attempt can start at wall time ``now``."""
        self._advance(now)
        records = self._records[ticket.keep_answer]
        reason = self._check_known(ticket, records)
        reason = reason or self._check_or_bar(ticket, records)
        if reason is not None:
            return Refused(reason)
        record = AttemptRecord(
            AttemptPhase.RUNNING,
            ticket.deadline_at,
            self._limits.retention_s,
        )
        records.add(_id_of(ticket), record)
        if ticket.alone:
            self._exclusive_attempt = _id_of(ticket)
        return Admitted()

    def finish(
        self,
        request_id: str,
        attempt: int,
        answer: StoredAnswer | None,
    ) -> None:
        """Record that an attempt ran to its end; None stores no response."""
        attempt_id = AttemptId(request_id, attempt)
        self._end(attempt_id, AttemptPhase.FINISHED, answer)

    def fail(self, request_id: str, attempt: int) -> None:
        """Record that the upstream failed after something was sent to it."""
        self._end(AttemptId(request_id, attempt), AttemptPhase.BROKEN)

    def withdraw(self, request_id: str, attempt: int) -> Refused:
        """Bar an admitted attempt if nothing was sent to the upstream."""
        attempt_id = AttemptId(request_id, attempt)
        self._end(attempt_id, AttemptPhase.BARRED)
        if any(records.find(attempt_id) for records in self._records.values()):
            return Refused(RefusalReason.UPSTREAM_DOWN)
        return Refused(RefusalReason.UNTRACKED)

    def seal(self, request: SealRequest, now: float) -> SealReply:
        """Return the outcome of an attempt; bar one without a record."""
        self._advance(now)
        if request.incarnation != self.incarnation:
            return SealReply(SealVerdict.UNKNOWN)
        attempt_id = AttemptId(request.request_id, request.attempt)
        for records in self._records.values():
            record = records.find(attempt_id)
            if record is not None:
                return SealReply(_VERDICTS[record.phase], record.answer)
        return SealReply(self._seal_unrecorded(request))

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)
        for records in self._records.values():
            records.evict_expired(self._now)

    def _end(
        self,
        attempt_id: AttemptId,
        phase: AttemptPhase,
        answer: StoredAnswer | None = None,
    ) -> None:
        if attempt_id == self._exclusive_attempt:
            self._exclusive_attempt = None
        for records in self._records.values():
            records.end(attempt_id, phase, self._now, answer)

    def _check_known(
        self,
        ticket: AttemptTicket,
        records: AttemptRecords,
    ) -> RefusalReason | None:
        """Refuse attempts that need no new record: known or expired ones."""
        if ticket.incarnation != self.incarnation:
            return RefusalReason.WRONG_INCARNATION
        record = records.find(_id_of(ticket))
        if record is not None:
            is_barred = record.phase is AttemptPhase.BARRED
            return (
                RefusalReason.SEALED if is_barred else RefusalReason.DUPLICATE
            )
        if ticket.deadline_at > self._now:
            return None
        if ticket.deadline_at <= records.latest_evicted_deadline:
            return RefusalReason.DUPLICATE
        return RefusalReason.DEADLINE_PASSED

    def _check_or_bar(
        self,
        ticket: AttemptTicket,
        records: AttemptRecords,
    ) -> RefusalReason | None:
        """Refuse because of the agent's state, and bar later copies too."""
        has_room = records.make_room(self._now)
        reason = self._check_state(ticket, records)
        if reason is None:
            is_safe = has_room or not ticket.keep_answer
            return None if is_safe else RefusalReason.UNTRACKED
        if not has_room:
            return RefusalReason.UNTRACKED
        records.add(_id_of(ticket), _tombstone(ticket.deadline_at))
        return reason

    def _check_state(
        self,
        ticket: AttemptTicket,
        records: AttemptRecords,
    ) -> RefusalReason | None:
        if ticket.attempt < records.highest_attempt(ticket.request_id):
            return RefusalReason.STALE_ATTEMPT
        if self.leaving:
            return RefusalReason.LEAVING
        if self.running >= self._limits.max_running:
            return RefusalReason.FULL
        if self._exclusive_attempt or (ticket.alone and self.running):
            return RefusalReason.NOT_ALONE
        return None

    def _seal_unrecorded(self, request: SealRequest) -> SealVerdict:
        records = self._records[True]
        if request.deadline_at <= records.latest_evicted_deadline:
            return SealVerdict.UNKNOWN
        if request.deadline_at <= self._now:
            return _verdict_past_deadline(request)
        if not records.make_room(self._now):
            return SealVerdict.UNKNOWN
        records.add(
            AttemptId(request.request_id, request.attempt),
            _tombstone(request.deadline_at),
        )
        return SealVerdict.NOT_RUN


def _id_of(ticket: AttemptTicket) -> AttemptId:
    return AttemptId(ticket.request_id, ticket.attempt)


def _tombstone(deadline_at: float) -> AttemptRecord:
    return AttemptRecord(AttemptPhase.BARRED, deadline_at)


def _verdict_past_deadline(request: SealRequest) -> SealVerdict:
    """Return the verdict on an unrecorded attempt past its deadline.

    Such an attempt would be refused. Without a known deadline, it could still
    arrive at any time.
    """
    if request.deadline_at:
        return SealVerdict.NOT_RUN
    return SealVerdict.UNKNOWN
