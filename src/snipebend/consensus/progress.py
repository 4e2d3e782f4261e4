"""How far the leader has brought one other member."""

from __future__ import annotations

import enum
import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.consensus.log import ReplicatedLog
    from snipebend.consensus.messages import AppendReply


class Mode(enum.Enum):
    """How entries are sent to the member."""

    PROBING = 'probing'
    REPLICATING = 'replicating'
    SNAPSHOT = 'snapshot'


class Progress:
    """The leader's view of one member.

    ``contact_at`` is when the leader sent the last message that it knows the
    member to have taken in, on the leader's clock.
    """

    def __init__(self, next_index: int) -> None:
        """Start by finding out where the logs agree."""
        self.mode = Mode.PROBING
        self.match_index = 0
        self.next_index = next_index
        self.acked_round = 0
        self.contact_at = -math.inf
        self.retry_at = -math.inf
        self._probe_sent = False
        self._in_flight: deque[int] = deque()

    def may_send(self, max_in_flight: int) -> bool:
        """Tell whether another message with entries may go now."""
        match self.mode:
            case Mode.PROBING:
                return not self._probe_sent
            case Mode.REPLICATING:
                return len(self._in_flight) < max_in_flight
            case Mode.SNAPSHOT:
                return False

    def note_sent(self, last_index: int) -> None:
        """Take note of a message whose last entry is ``last_index``."""
        if self.mode is Mode.PROBING:
            self._probe_sent = True
            return
        self._in_flight.append(last_index)
        self.next_index = last_index + 1

    def allow_probe(self) -> None:
        """Let the next heartbeat repeat a probe that may be lost."""
        self._probe_sent = False

    def await_snapshot(self, retry_at: float) -> None:
        """Send no entries until a snapshot has arrived or is due again."""
        self._switch(Mode.SNAPSHOT)
        self.retry_at = retry_at

    def note_contact(self, round_number: int, sent_at: float) -> None:
        """Take note of an answer to ``round_number``, sent at ``sent_at``."""
        self.acked_round = max(self.acked_round, round_number)
        self.contact_at = max(self.contact_at, sent_at)

    def note_match(self, match_index: int, base_index: int) -> None:
        """Take note that the member's synced log agrees to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        while self._in_flight and self._in_flight[0] <= match_index:
            self._in_flight.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.match_index >= base_index and self.mode is not Mode.REPLICATING:
            self._switch(Mode.REPLICATING)
            self.next_index = self.match_index + 1

    def note_rejection(self, reply: AppendReply, log: ReplicatedLog) -> None:
        """Step back to where the logs may agree; ignore outdated answers."""
        if self.mode is Mode.SNAPSHOT or self._is_outdated(reply):
            return
        agreed = log.last_not_after(reply.hint_index, reply.hint_term)
        self.next_index = max(
            self.match_index, min(agreed, reply.rejected_index - 1)
        )
        self.next_index += 1
        self._switch(Mode.PROBING)

    def _is_outdated(self, reply: AppendReply) -> bool:
        if self.mode is Mode.REPLICATING:
            return reply.rejected_index <= self.match_index
        return reply.rejected_index != self.next_index - 1

    def _switch(self, mode: Mode) -> None:
        self.mode = mode
        self._probe_sent = False
        self._in_flight.clear()
