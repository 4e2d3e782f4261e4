"""Faults planted in the Raft core, to verify that the search detects them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

from snipebend.consensus.durability import Durability
from snipebend.consensus.node import Node
from snipebend.consensus.reads import lease_duration_s, majority_contact_at
from tests.consensus.world import World

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from snipebend.consensus.actions import Persist
    from snipebend.consensus.config import CoreConfig
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.log import ReplicatedLog
    from snipebend.consensus.messages import AppendRequest
    from snipebend.consensus.records import HardState, LogEntry

CORE = 'snipebend.consensus'
_write = Durability.write


def no_fsync_wait() -> AbstractContextManager[object]:
    """Treat each write as synced as soon as it is issued."""

    def write(
        self: Durability, log: ReplicatedLog, hard_state: HardState
    ) -> Persist | None:
        action = _write(self, log, hard_state)
        if action is not None:
            self.confirm(action.sequence)
        return action

    return mock.patch.object(Durability, 'write', write)


def vote_not_persisted() -> AbstractContextManager[object]:
    """Never persist term and vote, so that a restart allows a second vote."""

    def write(
        self: Durability, log: ReplicatedLog, hard_state: HardState
    ) -> Persist | None:
        action = _write(self, log, hard_state)
        return action and replace(action, hard_state=None)

    return mock.patch.object(Durability, 'write', write)


def earlier_term_committed_by_count() -> AbstractContextManager[object]:
    """Commit an entry of an earlier term by counting its copies."""
    return mock.patch(
        f'{CORE}.commit_index.can_commit_by_count', lambda node, index: True
    )


def lease_without_drift() -> AbstractContextManager[object]:
    """Assume that all clocks run at the same rate."""

    def duration(cfg: CoreConfig) -> float:
        return cfg.election_timeout_s

    return mock.patch(f'{CORE}.reads.lease_duration_s', duration)


def lease_kept_at_hand_over() -> AbstractContextManager[object]:
    """Serve reads by the lease although the successor can be elected."""

    def until(node: Node, leadership: Leadership) -> float:
        return majority_contact_at(node, leadership) + lease_duration_s(
            node.cfg
        )

    return mock.patch(f'{CORE}.reads.lease_until', until)


def previous_entry_unchecked() -> AbstractContextManager[object]:
    """Append after an entry with the right index but any term."""

    def has_previous(node: Node, request: AppendRequest) -> bool:
        return node.log.term_at(request.prev_index) is not None

    return mock.patch(f'{CORE}.follower.has_previous_entry', has_previous)


def matching_entries_truncated() -> AbstractContextManager[object]:
    """Let a delayed message truncate entries acknowledged since."""

    def merge(node: Node, entries: tuple[LogEntry, ...]) -> None:
        if entries:
            if entries[0].index <= node.log.last_index:
                node.truncate_from(entries[0].index)
            node.append(entries)

    return mock.patch(f'{CORE}.follower._merge_entries', merge)


def overlapping_member_changes() -> AbstractContextManager[object]:
    """Start a change of the members before the previous one is committed."""
    return mock.patch(
        f'{CORE}.proposals.change_rejection_reason', lambda node, event: None
    )


def majority_of_restarts_suffices() -> AbstractContextManager[object]:
    """Treat the restart of a majority as a restart of all voters."""

    def all_restarted(node: Node) -> bool:
        restarted = node.restarted_voters or set()
        return len(restarted.intersection(node.voters)) * 2 > len(node.voters)

    return mock.patch(f'{CORE}.elections._all_restarted', all_restarted)


def process_start_too_early() -> AbstractContextManager[object]:
    """Assume a start before the previous process acknowledged a leader."""
    return mock.patch.object(World, 'start_error_timeouts', 1)


def reads_without_lease() -> AbstractContextManager[object]:
    """Serve reads without a lease or a heartbeat round."""
    return mock.patch(f'{CORE}.reads.lease_until', lambda *_: float('inf'))
