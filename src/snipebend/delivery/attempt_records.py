"""The agent's memory of attempts, bounded in records and in kept bytes."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.state.claims import StoredAnswer


class AttemptId(NamedTuple):
    """One attempt of one request."""

    request_id: str
    attempt: int


class AttemptPhase(Enum):
    """Where an attempt is, as the agent knows it."""

    #: Refused or sealed before it started: it never will.
    BARRED = 'barred'
    RUNNING = 'running'
    FINISHED = 'finished'
    #: The upstream broke off: whether the call took effect is unknown.
    BROKEN = 'broken'


@dataclass(slots=True)
class AttemptRecord:
    """What is remembered of an attempt.

    A running one stays; any other is forgotten ``retention_s`` after its
    deadline or its end, whichever is later.
    """

    phase: AttemptPhase
    deadline_at: float
    retention_s: float = 0
    answer: StoredAnswer | None = None


class AttemptRecords:
    """Records by attempt, forgotten in the order of their times.

    ``forgotten_until`` is the latest deadline of a started attempt that was
    forgotten: an unseen one with a later deadline was never started.
    """

    def __init__(self, max_records: int, max_answer_bytes: int) -> None:
        """Remember nothing yet."""
        self.forgotten_until = float('-inf')
        self.running = 0
        self._max_records = max_records
        self._records: dict[AttemptId, AttemptRecord] = {}
        self._highest: dict[str, int] = {}
        self._queue: list[tuple[float, AttemptId]] = []
        self._answers = _KeptAnswers(max_answer_bytes)

    def find(self, attempt_id: AttemptId) -> AttemptRecord | None:
        """Return the record, None if there is none (any more)."""
        return self._records.get(attempt_id)

    def highest_attempt(self, request_id: str) -> int:
        """Return the highest attempt remembered of a request, 0 for none."""
        return self._highest.get(request_id, 0)

    def add(self, attempt_id: AttemptId, record: AttemptRecord) -> None:
        """Remember a new attempt, after ``make_room`` has been asked.

        A running one may be added without room; it is forgotten at its end.
        """
        self._records[attempt_id] = record
        self._highest[attempt_id.request_id] = max(
            attempt_id.attempt,
            self.highest_attempt(attempt_id.request_id),
        )
        if record.phase is AttemptPhase.RUNNING:
            self.running += 1
        else:
            self._forget_later(attempt_id, record, record.deadline_at)

    def end(
        self,
        attempt_id: AttemptId,
        phase: AttemptPhase,
        now: float,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Turn a running attempt into an ended one; ignore any other."""
        record = self._records.get(attempt_id)
        if record is None or record.phase is not AttemptPhase.RUNNING:
            return
        self.running -= 1
        record.phase = phase
        if len(self._records) > self._max_records:
            self._drop(attempt_id)
            return
        self._forget_later(attempt_id, record, max(now, record.deadline_at))
        if answer is not None:
            record.answer = answer
            self._answers.keep(attempt_id, record)

    def forget(self, now: float) -> None:
        """Drop the records whose time has come; running ones stay."""
        while self._queue and self._queue[0][0] <= now:
            _, attempt_id = heapq.heappop(self._queue)
            self._drop(attempt_id)

    def make_room(self, now: float) -> bool:
        """Tell whether a record can be added.

        The one to be forgotten next goes early if its deadline has passed: it
        guards no longer against a second start, but tells resends of the first.
        """
        if len(self._records) < self._max_records:
            return True
        if not self._queue:
            return False
        _, attempt_id = self._queue[0]
        if self._records[attempt_id].deadline_at > now:
            return False
        heapq.heappop(self._queue)
        self._drop(attempt_id)
        return True

    def _forget_later(
        self,
        attempt_id: AttemptId,
        record: AttemptRecord,
        start: float,
    ) -> None:
        forget_at = start + record.retention_s
        heapq.heappush(self._queue, (forget_at, attempt_id))

    def _drop(self, attempt_id: AttemptId) -> None:
        record = self._records.pop(attempt_id)
        self._answers.drop(attempt_id)
        if self._highest.get(attempt_id.request_id) == attempt_id.attempt:
            self._highest.pop(attempt_id.request_id)
        if record.phase is not AttemptPhase.BARRED:
            self.forgotten_until = max(
                self.forgotten_until,
                record.deadline_at,
            )


class _KeptAnswers:
    """Drops the answers that ended first once all are too long together."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._records: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()

    def keep(self, attempt_id: AttemptId, record: AttemptRecord) -> None:
        self._records[attempt_id] = record
        self._size += _size_of(record)
        while self._size > self._max_bytes:
            self.drop(next(iter(self._records)))

    def drop(self, attempt_id: AttemptId) -> None:
        record = self._records.pop(attempt_id, None)
        if record is not None:
            self._size -= _size_of(record)
            record.answer = None


def _size_of(record: AttemptRecord) -> int:
    return len(record.answer.body) if record.answer else 0
