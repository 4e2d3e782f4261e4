"""Tracks writes that are not yet synced, and messages that wait for them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus.actions import Persist

if TYPE_CHECKING:
    from snipebend.consensus.log import ReplicatedLog
    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.records import HardState, LogEntry


class _Pending(NamedTuple):
    """An unconfirmed ``Persist`` action and the last log index it writes."""

    sequence: int
    last_index: int


class _Withheld(NamedTuple):
    """A message that can be sent once write ``sequence`` is confirmed."""

    sequence: int
    envelope: Envelope


class Durability:
    """Numbers the writes and holds back the messages that depend on them."""

    def __init__(self, last_index: int) -> None:
        """Track a log that is already synced up to ``last_index``."""
        self.persisted_index = last_index
        self._issued = 0
        self._confirmed = 0
        self._issued_index = last_index
        self._changed_from: int | None = None
        self._hard_state_changed = False
        self._pending: deque[_Pending] = deque()
        self._withheld: deque[_Withheld] = deque()

    def mark_hard_state_changed(self) -> None:
        """Include term and vote in the next ``Persist`` action."""
        self._hard_state_changed = True

    def mark_entries_changed(self, first_index: int) -> None:
        """Include the log from ``first_index`` on in the next ``Persist``."""
        changed_from = self._changed_from
        if changed_from is None or first_index < changed_from:
            self._changed_from = first_index
        self._invalidate_from(first_index)

    def write(
        self, log: ReplicatedLog, hard_state: HardState
    ) -> Persist | None:
        """Return the action that writes all changes since the previous one."""
        if self._changed_from is None and not self._hard_state_changed:
            return None
        self._issued += 1
        action = Persist(
            self._issued,
            hard_state if self._hard_state_changed else None,
            self._truncation(),
            self._unwritten(log),
        )
        self._issued_index = log.last_index
        self._hard_state_changed = False
        self._changed_from = None
        self._pending.append(_Pending(self._issued, log.last_index))
        return action

    def confirm(self, sequence: int) -> None:
        """Record that the writes up to ``sequence`` are synced."""
        self._confirmed = max(self._confirmed, sequence)
        while self._pending and self._pending[0].sequence <= sequence:
            written = self._pending.popleft()
            synced = written.last_index
            self.persisted_index = max(self.persisted_index, synced)

    def withhold(self, envelope: Envelope) -> None:
        """Hold back a message until all writes issued so far are synced."""
        self._withheld.append(_Withheld(self._issued, envelope))

    def take_released(self) -> list[Envelope]:
        """Remove and return the messages whose writes are synced, in order."""
        ready: list[Envelope] = []
        while self._withheld and self._withheld[0].sequence <= self._confirmed:
            ready.append(self._withheld.popleft().envelope)
        return ready

    def restart_log(self, index: int) -> None:
        """Record that the log on disk was reset to start after ``index``."""
        self.persisted_index = index
        self._issued_index = index
        self._changed_from = None
        self._pending = deque(
            _Pending(one.sequence, index) for one in self._pending
        )

    def _truncation(self) -> int | None:
        first = self._changed_from
        if first is None or first > self._issued_index:
            return None
        return first

    def _unwritten(self, log: ReplicatedLog) -> tuple[LogEntry, ...]:
        if self._changed_from is None:
            return ()
        return log.between(self._changed_from, log.last_index)

    def _invalidate_from(self, index: int) -> None:
        # Pending writes contain entries there that the log has since replaced.
        last = index - 1
        self.persisted_index = min(self.persisted_index, last)
        self._pending = deque(
            _Pending(one.sequence, min(one.last_index, last))
            for one in self._pending
        )
