"""Checks the safety properties of Raft over all members of a group."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.consensus.actions import RejectReason
from snipebend.consensus.records import EntryKind

if TYPE_CHECKING:
    from snipebend.consensus.actions import ProposalRejected, ReadReady
    from snipebend.consensus.core import Core
    from snipebend.consensus.records import LogEntry


class Violation(AssertionError):
    """A safety property of log replication was violated."""


@dataclass
class Checker:
    """Records what was committed and reported, and checks later events."""

    leaders: dict[int, str] = field(default_factory=dict)
    committed: dict[int, LogEntry] = field(default_factory=dict)
    commit_terms: dict[int, int] = field(default_factory=dict)
    rejected: set[bytes] = field(default_factory=set)
    acknowledged: int = 0
    reads_checked: int = 0

    def on_leader(self, term: int, member_id: str, core: Core) -> None:
        """Check that a term has one leader, with all entries committed before.

        Late votes can still elect a leader when a later term has already
        committed entries, so only entries of earlier terms are compared.
        """
        leader = self.leaders.setdefault(term, member_id)
        _require(leader == member_id, f'two leaders in term {term}')
        base = core.status().base_index
        for index, entry in self.committed.items():
            if index > base and self.commit_terms[index] < term:
                same = core.term_at(index) == entry.term
                _require(same, f'leader lacks committed entry {index}')

    def on_commit(self, applied: int, entry: LogEntry, term: int) -> None:
        """Check that entries are applied in order, once, and agree."""
        _require(entry.index == applied + 1, 'applied out of order')
        first = self.committed.setdefault(entry.index, entry)
        self.commit_terms.setdefault(entry.index, term)
        _require(first == entry, f'two entries committed at {entry.index}')
        command = entry.kind is EntryKind.COMMAND
        was_rejected = command and entry.payload in self.rejected
        _require(
            not was_rejected, 'committed a command whose proposal was rejected'
        )

    def on_acknowledged(self, index: int, proposal_id: str) -> None:
        """Check that a proposal is reported as committed only after it is."""
        entry = self.committed.get(index)
        _require(entry is not None, 'acknowledged before it was committed')
        if entry.kind is EntryKind.COMMAND:
            _require(
                entry.payload == proposal_id.encode(),
                'acknowledged another entry',
            )
        self.acknowledged = max(self.acknowledged, index)

    def on_rejected(self, action: ProposalRejected) -> None:
        """Record a proposal that must never commit: all reasons but unknown."""
        if action.reason is not RejectReason.UNKNOWN:
            self.rejected.add(action.proposal_id.encode())

    def on_read(self, ready: ReadReady, floor: int) -> None:
        """Check that a read observes all that was acknowledged before it."""
        self.reads_checked += 1
        _require(ready.index >= floor, f'read {ready.index} misses {floor}')


def _require(holds: bool, violation: str) -> None:
    if not holds:
        raise Violation(violation)
