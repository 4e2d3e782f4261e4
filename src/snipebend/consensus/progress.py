"""The replication progress of one follower, as tracked by the leader."""

from __future__ import annotations

import enum
import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.consensus.log import ReplicatedLog
    from snipebend.consensus.messages import AppendReply


class ReplicationMode(enum.Enum):
    """How entries are sent to the follower."""

    PROBING = 'probing'
    REPLICATING = 'replicating'
    SNAPSHOT = 'snapshot'


class Progress:
    """The replication progress of one follower.

    ``contact_at`` is the time, on the leader's clock, at which the leader sent
    the last message that the follower has acknowledged.
    """

    def __init__(self, next_index: int) -> None:
        """Start by probing up to which index the logs match."""
        self.mode = ReplicationMode.PROBING
        self.match_index = 0
        self.next_index = next_index
        self.acked_round = 0
        self.contact_at = -math.inf
        self.retry_at = -math.inf
        self._probe_sent = False
        self._in_flight: deque[int] = deque()

    def can_send(self, max_in_flight: int) -> bool:
        """Return whether another message with entries can be sent now."""
        match self.mode:
            case ReplicationMode.PROBING:
                return not self._probe_sent
            case ReplicationMode.REPLICATING:
                return len(self._in_flight) < max_in_flight
            case ReplicationMode.SNAPSHOT:
                return False

    def record_sent(self, last_index: int) -> None:
        """Record that entries up to ``last_index`` were sent."""
        if self.mode is ReplicationMode.PROBING:
            self._probe_sent = True
            return
        self._in_flight.append(last_index)
        self.next_index = last_index + 1

    def allow_probe(self) -> None:
        """Allow the next heartbeat to repeat a probe that may be lost."""
        self._probe_sent = False

    def await_snapshot(self, retry_at: float) -> None:
        """Send no entries until the snapshot is acknowledged or sent again."""
        self._switch(ReplicationMode.SNAPSHOT)
        self.retry_at = retry_at

    def record_contact(self, round_number: int, sent_at: float) -> None:
        """Record a reply to the round that was sent at ``sent_at``."""
        self.acked_round = max(self.acked_round, round_number)
        self.contact_at = max(self.contact_at, sent_at)

    def record_match(self, match_index: int, base_index: int) -> None:
        """Record that the synced log matches up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        while self._in_flight and self._in_flight[0] <= match_index:
            self._in_flight.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)
        if (
            self.match_index >= base_index
            and self.mode is not ReplicationMode.REPLICATING
        ):
            self._switch(ReplicationMode.REPLICATING)
            self.next_index = self.match_index + 1

    def record_rejection(self, reply: AppendReply, log: ReplicatedLog) -> None:
        """Go back to where the logs can match; ignore stale replies."""
        if self.mode is ReplicationMode.SNAPSHOT or self._is_outdated(reply):
            return
        agreed = log.last_index_within_term(reply.hint_index, reply.hint_term)
        self.next_index = max(
            self.match_index, min(agreed, reply.rejected_index - 1)
        )
        self.next_index += 1
        self._switch(ReplicationMode.PROBING)

    def _is_outdated(self, reply: AppendReply) -> bool:
        if self.mode is ReplicationMode.REPLICATING:
            return reply.rejected_index <= self.match_index
        return reply.rejected_index != self.next_index - 1

    def _switch(self, mode: ReplicationMode) -> None:
        self.mode = mode
        self._probe_sent = False
        self._in_flight.clear()
