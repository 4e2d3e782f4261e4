"""The leader's start, and what it learns from the members' answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import Role
from snipebend.consensus.leadership import Leadership
from snipebend.consensus.records import EntryKind, LogEntry
from snipebend.consensus.roles import follow
from snipebend.consensus.rounds import Rounds
from snipebend.consensus.sending import start_round

if TYPE_CHECKING:
    from snipebend.consensus.messages import AppendReply, SnapshotReply
    from snipebend.consensus.node import Node
    from snipebend.consensus.progress import Progress

# Rounds older than this many election timeouts renew nothing any more.
ROUNDS_KEPT_TIMEOUTS = 2


def lead(node: Node) -> None:
    """Become the leader of the current term, with an empty entry of it."""
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
    """Take in how far a member's log agrees."""
    if reply.term > node.term:
        follow(node, reply.term, None)
        return
    progress = _contact(node, source, reply)
    if progress is None:
        return
    if reply.success:
        progress.note_match(reply.match_index, node.log.base_index)
    else:
        progress.note_rejection(reply, node.log)


def on_snapshot_reply(node: Node, source: str, reply: SnapshotReply) -> None:
    """Take in that a member has installed a snapshot."""
    if reply.term > node.term:
        follow(node, reply.term, None)
        return
    progress = _contact(node, source, reply)
    if progress is not None:
        progress.note_match(reply.match_index, node.log.base_index)


def _contact(
    node: Node, source: str, reply: AppendReply | SnapshotReply
) -> Progress | None:
    leadership = node.leadership
    if leadership is None or reply.term != node.term:
        return None
    progress = leadership.progress.get(source)
    if progress is not None:
        sent_at = leadership.rounds.sent_at(reply.round_number)
        progress.note_contact(reply.round_number, sent_at)
    return progress
