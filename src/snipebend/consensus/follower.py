"""Handles requests of the leader on a follower (Ongaro, 2014, 3.5 and 7)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import InstallSnapshot, Role
from snipebend.consensus.log import ReplicatedLog
from snipebend.consensus.members import MembersHistory
from snipebend.consensus.messages import AppendReply, SnapshotReply
from snipebend.consensus.roles import become_follower
from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    from snipebend.consensus.events import SnapshotInstalled, SnapshotTaken
    from snipebend.consensus.messages import AppendRequest, SnapshotRequest
    from snipebend.consensus.node import Node
    from snipebend.consensus.records import LogEntry


def on_append_request(node: Node, source: str, request: AppendRequest) -> None:
    """Make the log match the leader's and reply up to which index it does."""
    if not _accept_leader(node, source, request):
        return
    if node.installing_snapshot is not None:
        _reject(node, source, request)
        return
    prev_index, entries = _without_committed(node, request)
    if prev_index == request.prev_index and not has_previous_entry(
        node, request
    ):
        _reject(node, source, request)
        return
    _merge_entries(node, entries)
    agreed = prev_index + len(entries)
    node.commit_index = max(
        node.commit_index, min(request.commit_index, agreed)
    )
    node.send_after_sync(
        source,
        AppendReply(
            node.term,
            success=True,
            round_number=request.round_number,
            match_index=agreed,
        ),
    )


def has_previous_entry(node: Node, request: AppendRequest) -> bool:
    """Return whether the entry that precedes the request's is in the log."""
    return node.log.term_at(request.prev_index) == request.prev_term


def on_snapshot_request(
    node: Node, source: str, request: SnapshotRequest
) -> None:
    """Install a snapshot that goes beyond the local commit index."""
    if not _accept_leader(node, source, request):
        return
    meta = request.snapshot
    if node.installing_snapshot is not None:
        return
    if node.log.term_at(meta.index) == meta.term:
        node.commit_index = max(node.commit_index, meta.index)
    if meta.index <= node.commit_index:
        node.send_after_sync(
            source,
            SnapshotReply(node.term, node.commit_index, request.round_number),
        )
        return
    node.installing_snapshot = meta
    node.install_action = InstallSnapshot(
        request.payload, meta.index, meta.term, meta.members
    )


def on_snapshot_installed(node: Node, event: SnapshotInstalled) -> None:
    """Reset the log to start after the snapshot and notify the leader."""
    meta = node.installing_snapshot
    if meta is None or meta.index != event.index:
        return
    node.installing_snapshot = None
    node.log = ReplicatedLog(meta.index, meta.term)
    node.members = MembersHistory(meta.index, meta.members)
    node.commit_index = meta.index
    node.delivered_index = meta.index
    node.durability.restart_log(meta.index)
    if node.leader_id is not None:
        node.send_after_sync(
            node.leader_id, SnapshotReply(node.term, meta.index, 0)
        )


def on_snapshot_taken(node: Node, event: SnapshotTaken) -> None:
    """Drop the log prefix that a synced snapshot covers."""
    if node.log.base_index < event.index <= node.delivered_index:
        node.log.drop_until(event.index, event.term)
        node.members.drop_until(event.index, event.members)


def _accept_leader(
    node: Node, source: str, request: AppendRequest | SnapshotRequest
) -> bool:
    if request.term < node.term:
        stale = AppendReply(node.term, success=False, round_number=0)
        node.send_after_sync(source, stale)
        return False
    if request.term == node.term and node.role is Role.LEADER:
        raise CorruptionError(
            f'two leaders in term {node.term}', step='append', peer=source
        )
    become_follower(node, request.term, source)
    node.restarted = False
    node.reset_election_timer()
    node.ignore_candidates_until = node.now + node.cfg.election_timeout_s
    return True


def _without_committed(
    node: Node, request: AppendRequest
) -> tuple[int, tuple[LogEntry, ...]]:
    """Skip entries that are committed: every later leader has them."""
    skipped = node.commit_index - request.prev_index
    if skipped <= 0:
        return request.prev_index, request.entries
    return node.commit_index, request.entries[skipped:]


def _merge_entries(node: Node, entries: tuple[LogEntry, ...]) -> None:
    for position, entry in enumerate(entries):
        local_term = node.log.term_at(entry.index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            node.truncate_from(entry.index)
        node.append(entries[position:])
        return


def _reject(node: Node, source: str, request: AppendRequest) -> None:
    hint = node.log.last_index_within_term(
        request.prev_index, request.prev_term
    )
    node.send_after_sync(
        source,
        AppendReply(
            node.term,
            success=False,
            round_number=request.round_number,
            rejected_index=request.prev_index,
            hint_index=hint,
            hint_term=node.log.term_at(hint) or 0,
        ),
    )
