"""The agent's records of attempts, bounded in number and in stored bytes."""

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
    """How far an attempt has come; all phases but ``RUNNING`` are final."""

    #: Refused or sealed before it started; it will never start.
    BARRED = 'barred'
    #: Admitted; its upstream call has not ended.
    RUNNING = 'running'
    #: The upstream call completed.
    FINISHED = 'finished'
    #: The upstream failed in the middle: whether the call took effect is
    #: unknown.
    BROKEN = 'broken'


@dataclass(slots=True)
class AttemptRecord:
    """The record of one attempt.

    A running attempt is kept; any other is evicted ``retention_s`` after its
    deadline or its end, whichever is later.
    """

    phase: AttemptPhase
    deadline_at: float
    retention_s: float = 0
    answer: StoredAnswer | None = None


class AttemptRecords:
    """Records by attempt, evicted in the order of their expiry.

    ``latest_evicted_deadline`` is the latest deadline of a started attempt
    whose record was evicted: an attempt without a record and with a later
    deadline was never started.
    """

    def __init__(self, max_records: int, max_answer_bytes: int) -> None:
        """Create a store without records."""
        self.latest_evicted_deadline = float('-inf')
        self.running = 0
        self._max_records = max_records
        self._records: dict[AttemptId, AttemptRecord] = {}
        self._highest_attempts: dict[str, int] = {}
        self._queue: list[tuple[float, AttemptId]] = []
        self._answers = _StoredAnswers(max_answer_bytes)

    def find(self, attempt_id: AttemptId) -> AttemptRecord | None:
        """Return the record, None if it does not exist or was evicted."""
        return self._records.get(attempt_id)

    def highest_attempt(self, request_id: str) -> int:
        """Return the highest attempt on record of a request, 0 for none."""
        return self._highest_attempts.get(request_id, 0)

    def add(self, attempt_id: AttemptId, record: AttemptRecord) -> None:
        """Add the record of a new attempt, after a call of ``make_room``.

        A running attempt may be added without room; its record is dropped when
        it ends.
        """
        self._records[attempt_id] = record
        self._highest_attempts[attempt_id.request_id] = max(
            attempt_id.attempt,
            self.highest_attempt(attempt_id.request_id),
        )
        if record.phase is AttemptPhase.RUNNING:
            self.running += 1
        else:
            self._schedule_eviction(attempt_id, record, record.deadline_at)

    def end(
        self,
        attempt_id: AttemptId,
        phase: AttemptPhase,
        now: float,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Move a running attempt to its final phase; ignore any other."""
        record = self._records.get(attempt_id)
        if record is None or record.phase is not AttemptPhase.RUNNING:
            return
        self.running -= 1
        record.phase = phase
        if len(self._records) > self._max_records:
            self._drop(attempt_id)
            return
        self._schedule_eviction(
            attempt_id, record, max(now, record.deadline_at)
        )
        if answer is not None:
            record.answer = answer
            self._answers.store(attempt_id, record)

    def evict_expired(self, now: float) -> None:
        """Evict the expired records; running attempts are kept."""
        while self._queue and self._queue[0][0] <= now:
            _, attempt_id = heapq.heappop(self._queue)
            self._drop(attempt_id)

    def make_room(self, now: float) -> bool:
        """Return whether a record can be added, evicting one if needed.

        The record that expires next is evicted early if its deadline has
        passed: it is no longer needed against a second start, and only informs
        resends about the first.
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

    def _schedule_eviction(
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
        if (
            self._highest_attempts.get(attempt_id.request_id)
            == attempt_id.attempt
        ):
            self._highest_attempts.pop(attempt_id.request_id)
        if record.phase is not AttemptPhase.BARRED:
            self.latest_evicted_deadline = max(
                self.latest_evicted_deadline,
                record.deadline_at,
            )


class _StoredAnswers:
    """Drops the oldest responses when all together exceed the size limit."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._records: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()

    def store(self, attempt_id: AttemptId, record: AttemptRecord) -> None:
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
