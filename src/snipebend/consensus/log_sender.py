"""Sends the leader's log to the other members (Ongaro, 2014, 3.5, 10.2).

Entries are sent in batches, several of which can be in flight. The leader sends
them before it has synced them itself: a copy counts towards the majority only
on members that have synced it, the leader included.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import NeedSnapshot
from snipebend.consensus.messages import AppendRequest, SnapshotRequest
from snipebend.consensus.progress import Progress, ReplicationMode
from snipebend.consensus.records import SnapshotMeta

if TYPE_CHECKING:
    from snipebend.consensus.events import SnapshotLoaded
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node
    from snipebend.consensus.records import LogEntry


def start_round(node: Node, leadership: Leadership) -> None:
    """Start a round and send entries or a heartbeat to each member."""
    leadership.rounds.start(node.now)
    leadership.heartbeat_due_at = node.now + node.cfg.heartbeat_s
    track_members(node, leadership)
    for member_id, progress in leadership.progress.items():
        progress.allow_probe()
        if not _send_entries(node, leadership, member_id):
            _send_heartbeat(node, leadership, member_id)


def replicate(node: Node, leadership: Leadership) -> None:
    """Send each member the entries that can be sent to it now."""
    track_members(node, leadership)
    for member_id in leadership.progress:
        _send_entries(node, leadership, member_id)


def track_members(node: Node, leadership: Leadership) -> None:
    """Track progress for each other member, and for no others."""
    latest = node.members.latest
    expected = {one.member_id for one in latest.voters + latest.learners}
    expected.discard(node.member_id)
    tracked = leadership.progress
    for member_id in sorted(expected.difference(tracked)):
        tracked[member_id] = Progress(node.log.last_index + 1)
    for member_id in sorted(set(tracked).difference(expected)):
        tracked.pop(member_id)


def on_snapshot_loaded(node: Node, event: SnapshotLoaded) -> None:
    """Send a loaded snapshot to the member that needs it."""
    leadership = node.leadership
    if leadership is None or event.target not in leadership.progress:
        return
    progress = leadership.progress[event.target]
    if progress.mode is ReplicationMode.SNAPSHOT:
        meta = SnapshotMeta(event.index, event.term, event.members)
        number = leadership.rounds.number
        node.send(
            event.target,
            SnapshotRequest(node.term, meta, event.payload, number),
        )


def _send_entries(node: Node, leadership: Leadership, target: str) -> bool:
    """Send the entries that can be sent; return whether any were."""
    progress = leadership.progress[target]
    sent = False
    while _has_entries_due(node, progress):
        if progress.next_index <= node.log.base_index:
            _request_snapshot_load(node, progress, target)
            break
        _send_batch(node, leadership, target)
        sent = True
    return sent


def _has_entries_due(node: Node, progress: Progress) -> bool:
    if progress.mode is ReplicationMode.SNAPSHOT:
        return node.now >= progress.retry_at
    if progress.next_index <= node.log.base_index:
        # The next entry has been dropped; it needs a snapshot, no matter
        # which messages are in flight.
        return True
    behind = progress.next_index <= node.log.last_index
    return behind and progress.can_send(node.cfg.max_in_flight)


def _request_snapshot_load(node: Node, progress: Progress, target: str) -> None:
    progress.await_snapshot(node.now + node.cfg.snapshot_retry_s)
    node.emit(NeedSnapshot(target))


def _send_batch(node: Node, leadership: Leadership, target: str) -> None:
    progress = leadership.progress[target]
    entries = node.log.batch(
        progress.next_index, node.cfg.max_batch, node.cfg.max_batch_bytes
    )
    _send_append(node, leadership, target, progress.next_index - 1, entries)
    progress.record_sent(progress.next_index + len(entries) - 1)


def _send_heartbeat(node: Node, leadership: Leadership, target: str) -> None:
    progress = leadership.progress[target]
    prev_index = progress.next_index - 1
    if prev_index < node.log.base_index:
        # All logs match at index 0. This heartbeat only keeps up contact.
        prev_index = 0
    _send_append(node, leadership, target, prev_index, ())


def _send_append(
    node: Node,
    leadership: Leadership,
    target: str,
    prev_index: int,
    entries: tuple[LogEntry, ...],
) -> None:
    prev_term = node.log.term_at(prev_index) if prev_index else 0
    node.send(
        target,
        AppendRequest(
            term=node.term,
            prev_index=prev_index,
            prev_term=prev_term or 0,
            commit_index=node.commit_index,
            round_number=leadership.rounds.number,
            entries=entries,
        ),
    )
