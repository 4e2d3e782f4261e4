"""Start of a leader, and its handling of replies from followers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import Role
from snipebend.consensus.leadership import Leadership
from snipebend.consensus.log_sender import start_round
from snipebend.consensus.records import EntryKind, LogEntry
from snipebend.consensus.roles import become_follower
from snipebend.consensus.rounds import Rounds

if TYPE_CHECKING:
    from snipebend.consensus.messages import AppendReply, SnapshotReply
    from snipebend.consensus.node import Node
    from snipebend.consensus.progress import Progress

# A reply to a round older than this many election timeouts can no longer renew
# the lease.
ROUNDS_KEPT_TIMEOUTS = 2


def become_leader(node: Node) -> None:
    """Become leader of the current term and append an empty entry in it."""
    first_index = node.log.last_index + 1
    node.role = Role.LEADER
    node.restarted = False
    node.leader_id = node.member_id
    node.leadership = Leadership(
        rounds=Rounds(ROUNDS_KEPT_TIMEOUTS * node.cfg.election_timeout_s),
        elected_at=node.now,
        first_index=first_index,
    )
    node.append([LogEntry(first_index, node.term, EntryKind.NOOP)])
    start_round(node, node.leadership)


def on_append_reply(node: Node, source: str, reply: AppendReply) -> None:
    """Record up to which index the log of a follower matches."""
    if reply.term > node.term:
        become_follower(node, reply.term, None)
        return
    progress = _record_reply(node, source, reply)
    if progress is None:
        return
    if reply.success:
        progress.record_match(reply.match_index, node.log.base_index)
    else:
        progress.record_rejection(reply, node.log)


def on_snapshot_reply(node: Node, source: str, reply: SnapshotReply) -> None:
    """Record that a follower has installed a snapshot."""
    if reply.term > node.term:
        become_follower(node, reply.term, None)
        return
    progress = _record_reply(node, source, reply)
    if progress is not None:
        progress.record_match(reply.match_index, node.log.base_index)


def _record_reply(
    node: Node, source: str, reply: AppendReply | SnapshotReply
) -> Progress | None:
    leadership = node.leadership
    if leadership is None or reply.term != node.term:
        return None
    progress = leadership.progress.get(source)
    if progress is not None:
        sent_at = leadership.rounds.sent_at(reply.round_number)
        progress.record_contact(reply.round_number, sent_at)
    return progress
