"""Faults planted in the core, to see that the search finds them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

from snipebend.consensus.durability import Durability
from snipebend.consensus.node import Node
from snipebend.consensus.reads import lease_span, majority_contact
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
    """Take each write as synced as soon as it is issued."""

    def write(
        self: Durability, log: ReplicatedLog, hard_state: HardState
    ) -> Persist | None:
        action = _write(self, log, hard_state)
        if action is not None:
            self.confirm(action.sequence)
        return action

    return mock.patch.object(Durability, 'write', write)


def vote_forgotten() -> AbstractContextManager[object]:
    """Never write term and vote, so that a restart allows another one."""

    def write(
        self: Durability, log: ReplicatedLog, hard_state: HardState
    ) -> Persist | None:
        action = _write(self, log, hard_state)
        return action and replace(action, hard_state=None)

    return mock.patch.object(Durability, 'write', write)


def earlier_term_counted() -> AbstractContextManager[object]:
    """Commit an entry of an earlier term by counting its copies."""
    return mock.patch(f'{CORE}.counting.may_commit', lambda node, index: True)


def lease_without_drift() -> AbstractContextManager[object]:
    """Trust that all clocks run alike."""

    def span(cfg: CoreConfig) -> float:
        return cfg.election_timeout_s

    return mock.patch(f'{CORE}.reads.lease_span', span)


def lease_kept_at_hand_over() -> AbstractContextManager[object]:
    """Serve reads by the lease although the successor may be elected."""

    def until(node: Node, leadership: Leadership) -> float:
        return majority_contact(node, leadership) + lease_span(node.cfg)

    return mock.patch(f'{CORE}.reads.lease_until', until)


def previous_entry_unchecked() -> AbstractContextManager[object]:
    """Append after any entry, whatever its term."""

    def follows(node: Node, request: AppendRequest) -> bool:
        return node.log.term_at(request.prev_index) is not None

    return mock.patch(f'{CORE}.following.follows_log', follows)


def agreeing_entries_dropped() -> AbstractContextManager[object]:
    """Let a late, short message cut off what was acknowledged since."""

    def take(node: Node, entries: tuple[LogEntry, ...]) -> None:
        if entries:
            if entries[0].index <= node.log.last_index:
                node.truncate_from(entries[0].index)
            node.append(entries)

    return mock.patch(f'{CORE}.following._take_entries', take)


def two_changes_at_once() -> AbstractContextManager[object]:
    """Start a change of the members before the last one is committed."""
    return mock.patch(
        f'{CORE}.proposals.change_refusal', lambda node, event: None
    )


def others_leases_forgotten() -> AbstractContextManager[object]:
    """Take a majority that restarted for all members."""

    def all_restarted(node: Node) -> bool:
        known = node.restarted_voters or set()
        return len(known.intersection(node.voters)) * 2 > len(node.voters)

    return mock.patch(f'{CORE}.elections._all_restarted', all_restarted)


def begun_too_early() -> AbstractContextManager[object]:
    """Take a process for older than its predecessor's last promise."""
    return mock.patch.object(World, 'begun_early', 1)


def stale_reads() -> AbstractContextManager[object]:
    """Serve reads without lease or round."""
    return mock.patch(f'{CORE}.reads.lease_until', lambda *_: float('inf'))
