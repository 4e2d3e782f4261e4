"""What must hold in every schedule; sees all members from outside."""

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
    """A promise of log replication was broken."""


@dataclass
class Checker:
    """Remembers what was promised and compares all that follows with it."""

    leaders: dict[int, str] = field(default_factory=dict)
    committed: dict[int, LogEntry] = field(default_factory=dict)
    commit_terms: dict[int, int] = field(default_factory=dict)
    refused: set[bytes] = field(default_factory=set)
    acknowledged: int = 0
    reads_checked: int = 0

    def on_leader(self, term: int, member_id: str, core: Core) -> None:
        """One leader a term, with all that earlier terms committed.

        Late votes may still elect one while a later term commits already.
        """
        known = self.leaders.setdefault(term, member_id)
        _require(known == member_id, f'two leaders in term {term}')
        base = core.status().base_index
        for index, entry in self.committed.items():
            if index > base and self.commit_terms[index] < term:
                same = core.term_at(index) == entry.term
                _require(same, f'leader lacks committed {index}')

    def on_commit(self, applied: int, entry: LogEntry, term: int) -> None:
        """Entries come in order, once, and are the same everywhere."""
        _require(entry.index == applied + 1, 'applied out of order')
        known = self.committed.setdefault(entry.index, entry)
        self.commit_terms.setdefault(entry.index, term)
        _require(known == entry, f'two entries committed at {entry.index}')
        command = entry.kind is EntryKind.COMMAND
        lied = command and entry.payload in self.refused
        _require(not lied, 'an entry committed that was never appended')

    def on_acknowledged(self, index: int, proposal_id: str) -> None:
        """A proposal is answered as committed only once it is."""
        entry = self.committed.get(index)
        _require(entry is not None, 'acknowledged before it was committed')
        if entry.kind is EntryKind.COMMAND:
            _require(entry.payload == proposal_id.encode(), 'not this one')
        self.acknowledged = max(self.acknowledged, index)

    def on_rejected(self, action: ProposalRejected) -> None:
        """All reasons but one promise that it will never commit."""
        if action.reason is not RejectReason.UNKNOWN:
            self.refused.add(action.proposal_id.encode())

    def on_read(self, ready: ReadReady, floor: int) -> None:
        """A read sees all that was acknowledged before it began."""
        self.reads_checked += 1
        _require(ready.index >= floor, f'read {ready.index} misses {floor}')


def _require(holds: bool, broken: str) -> None:
    if not holds:
        raise Violation(broken)
