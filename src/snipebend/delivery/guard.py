"""The agent's admission guard: at most one execution of each attempt.

Why its memory can be bounded: an attempt carries a deadline after which the
guard refuses it. A tombstone (a barred attempt) is thus needed only until that
deadline, read on the guard's own clock, which never runs backwards here; no
two clocks are compared. A started attempt is remembered longer, so that a
resend learns how it ended. Once such a record is forgotten, the guard can't
tell that attempt from one never seen; it says ``UNKNOWN`` for every unseen
attempt whose deadline isn't later than the latest one forgotten. Where there
is no room for a tombstone nothing is promised: ``UNKNOWN``, ``UNTRACKED``.
Work that may be repeated is remembered apart: a flood of it can't take the
room of the rest, and it is admitted even where there is no room.

A suspect of killing upstreams is marked ``alone``. It starts only where nothing
runs, and nothing starts beside it, whichever entries the attempts come from.

What it relies on: an agent's incarnation grows with each start, so that no
memory need survive a restart; and a sender sends each attempt once, so that
a refusal answers the only delivery. Copies that arrive later find the record.
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
    """The attempt may start now.

    ``Guard.finish``, ``Guard.fail`` or ``Guard.withdraw`` must follow.
    """


class Refused(NamedTuple):
    """The attempt isn't started."""

    reason: RefusalReason


Admission: TypeAlias = Admitted | Refused


class GuardLimits(NamedTuple):
    """Bounds of the guard.

    ``max_running`` counts attempts at once, ``max_records`` those remembered,
    half of them for work that may be repeated.
    ``max_answer_bytes`` bounds all kept answers together. ``retention_s`` is
    how long past its deadline or its end a started attempt is remembered for
    resends, where there is room; ``max_records`` over the longest deadline is
    the rate of attempts that the guard can follow.
    """

    max_running: int
    max_records: int = 65536
    max_answer_bytes: int = 16777216
    retention_s: float = 600


class Guard:
    """Admits attempts to the one upstream and answers seals."""

    def __init__(self, incarnation: int, limits: GuardLimits) -> None:
        """Know no attempts yet; ``incarnation`` grows with each start."""
        self.incarnation = incarnation
        self.leaving = False
        self._limits = limits
        self._now = float('-inf')
        self._alone: AttemptId | None = None
        # By ``keep_answer``: work that may not be repeated is under ``True``.
        self._books = {
            keep_answer: AttemptRecords(
                limits.max_records // 2,
                limits.max_answer_bytes if keep_answer else 0,
            )
            for keep_answer in (False, True)
        }

    @property
    def running(self) -> int:
        """Return how many attempts run."""
        return sum(book.running for book in self._books.values())

    def leave(self) -> None:
        """Refuse new attempts from now on; seals are still answered."""
        self.leaving = True

    def admit(self, ticket: AttemptTicket, now: float) -> Admission:
        """Decide whether an attempt may start, at wall time ``now``."""
        self._advance(now)
        book = self._books[ticket.keep_answer]
        reason = self._known_reason(ticket, book)
        reason = reason or self._barring_reason(ticket, book)
        if reason is not None:
            return Refused(reason)
        record = AttemptRecord(
            AttemptPhase.RUNNING,
            ticket.deadline_at,
            self._limits.retention_s,
        )
        book.add(_id_of(ticket), record)
        if ticket.alone:
            self._alone = _id_of(ticket)
        return Admitted()

    def finish(
        self,
        request_id: str,
        attempt: int,
        answer: StoredAnswer | None,
    ) -> None:
        """Note that an attempt ran to its end; None: its answer isn't kept."""
        attempt_id = AttemptId(request_id, attempt)
        self._end(attempt_id, AttemptPhase.FINISHED, answer)

    def fail(self, request_id: str, attempt: int) -> None:
        """Note that the upstream broke off after it was sent something."""
        self._end(AttemptId(request_id, attempt), AttemptPhase.BROKEN)

    def withdraw(self, request_id: str, attempt: int) -> Refused:
        """Bar an admitted attempt of which nothing was sent to the upstream."""
        attempt_id = AttemptId(request_id, attempt)
        self._end(attempt_id, AttemptPhase.BARRED)
        if any(book.find(attempt_id) for book in self._books.values()):
            return Refused(RefusalReason.UPSTREAM_DOWN)
        return Refused(RefusalReason.UNTRACKED)

    def seal(self, request: SealRequest, now: float) -> SealReply:
        """Tell what became of an attempt and bar it if it is unseen."""
        self._advance(now)
        if request.incarnation != self.incarnation:
            return SealReply(SealVerdict.UNKNOWN)
        attempt_id = AttemptId(request.request_id, request.attempt)
        for book in self._books.values():
            record = book.find(attempt_id)
            if record is not None:
                return SealReply(_VERDICTS[record.phase], record.answer)
        return SealReply(self._seal_unseen(request))

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)
        for book in self._books.values():
            book.forget(self._now)

    def _end(
        self,
        attempt_id: AttemptId,
        phase: AttemptPhase,
        answer: StoredAnswer | None = None,
    ) -> None:
        if attempt_id == self._alone:
            self._alone = None
        for book in self._books.values():
            book.end(attempt_id, phase, self._now, answer)

    def _known_reason(
        self,
        ticket: AttemptTicket,
        book: AttemptRecords,
    ) -> RefusalReason | None:
        """Refuse what needs no new record: it is known, or its time is over."""
        if ticket.incarnation != self.incarnation:
            return RefusalReason.WRONG_INCARNATION
        record = book.find(_id_of(ticket))
        if record is not None:
            is_barred = record.phase is AttemptPhase.BARRED
            return (
                RefusalReason.SEALED if is_barred else RefusalReason.DUPLICATE
            )
        if ticket.deadline_at > self._now:
            return None
        if ticket.deadline_at <= book.forgotten_until:
            return RefusalReason.DUPLICATE
        return RefusalReason.DEADLINE_PASSED

    def _barring_reason(
        self,
        ticket: AttemptTicket,
        book: AttemptRecords,
    ) -> RefusalReason | None:
        """Refuse for the state of the agent, and bar late copies as well."""
        has_room = book.make_room(self._now)
        reason = self._state_reason(ticket, book)
        if reason is None:
            is_safe = has_room or not ticket.keep_answer
            return None if is_safe else RefusalReason.UNTRACKED
        if not has_room:
            return RefusalReason.UNTRACKED
        book.add(_id_of(ticket), _tombstone(ticket.deadline_at))
        return reason

    def _state_reason(
        self,
        ticket: AttemptTicket,
        book: AttemptRecords,
    ) -> RefusalReason | None:
        if ticket.attempt < book.highest_attempt(ticket.request_id):
            return RefusalReason.STALE_ATTEMPT
        if self.leaving:
            return RefusalReason.LEAVING
        if self.running >= self._limits.max_running:
            return RefusalReason.FULL
        if self._alone or (ticket.alone and self.running):
            return RefusalReason.NOT_ALONE
        return None

    def _seal_unseen(self, request: SealRequest) -> SealVerdict:
        book = self._books[True]
        if request.deadline_at <= book.forgotten_until:
            return SealVerdict.UNKNOWN
        if request.deadline_at <= self._now:
            return _verdict_past_deadline(request)
        if not book.make_room(self._now):
            return SealVerdict.UNKNOWN
        book.add(
            AttemptId(request.request_id, request.attempt),
            _tombstone(request.deadline_at),
        )
        return SealVerdict.NOT_RUN


def _id_of(ticket: AttemptTicket) -> AttemptId:
    return AttemptId(ticket.request_id, ticket.attempt)


def _tombstone(deadline_at: float) -> AttemptRecord:
    return AttemptRecord(AttemptPhase.BARRED, deadline_at)


def _verdict_past_deadline(request: SealRequest) -> SealVerdict:
    """Judge an unseen attempt that would be refused anyway.

    Without a known deadline nothing bounds when it might still arrive.
    """
    if request.deadline_at:
        return SealVerdict.NOT_RUN
    return SealVerdict.UNKNOWN
