"""Dispatches events and messages to their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.elections import (
    on_election_timeout,
    on_pre_vote_reply,
    on_pre_vote_request,
    on_timeout_now,
    on_vote_reply,
    on_vote_request,
)
from snipebend.consensus.events import (
    Event,
    HandOver,
    MembersProposed,
    Persisted,
    Proposed,
    ReadRequested,
    Received,
    SnapshotInstalled,
    SnapshotLoaded,
    SnapshotTaken,
    Tick,
)
from snipebend.consensus.follower import (
    on_append_request,
    on_snapshot_installed,
    on_snapshot_request,
    on_snapshot_taken,
)
from snipebend.consensus.handover import expire_hand_over, on_hand_over
from snipebend.consensus.log_sender import on_snapshot_loaded, start_round
from snipebend.consensus.members import find_member
from snipebend.consensus.messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    PreVoteReply,
    PreVoteRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from snipebend.consensus.proposals import on_members_proposed, on_proposed
from snipebend.consensus.reads import majority_contact_at, on_read_requested
from snipebend.consensus.replication import (
    on_append_reply,
    on_snapshot_reply,
)
from snipebend.consensus.roles import become_follower

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node

_REPLIES = (PreVoteReply, VoteReply, AppendReply, SnapshotReply)


def handle_event(node: Node, event: Event) -> None:
    """Pass an event to its handler."""
    match event:
        case Tick():
            _on_tick(node)
        case Received(envelope):
            _on_received(node, envelope)
        case Persisted(sequence):
            node.durability.confirm(sequence)
        case SnapshotTaken():
            on_snapshot_taken(node, event)
        case SnapshotInstalled():
            on_snapshot_installed(node, event)
        case _:
            _handle_request(node, event)


def _handle_request(node: Node, event: Event) -> None:
    match event:
        case Proposed():
            on_proposed(node, event)
        case MembersProposed():
            on_members_proposed(node, event)
        case ReadRequested(read_id):
            on_read_requested(node, read_id)
        case SnapshotLoaded():
            on_snapshot_loaded(node, event)
        case HandOver():
            on_hand_over(node)


def _on_tick(node: Node) -> None:
    if node.leadership is not None:
        _on_leader_tick(node, node.leadership)
    elif node.now >= node.election_due_at:
        on_election_timeout(node)


def _on_leader_tick(node: Node, leadership: Leadership) -> None:
    contact_at = max(
        majority_contact_at(node, leadership), leadership.elected_at
    )
    if node.now - contact_at > node.cfg.election_timeout_s:
        # Check-quorum: without contact to a majority the leader steps down.
        become_follower(node, node.term, None)
        return
    expire_hand_over(node, leadership)
    if node.now >= leadership.heartbeat_due_at:
        start_round(node, leadership)


def _on_received(node: Node, envelope: Envelope) -> None:
    # The address may have had another identity before; drop its messages.
    source = envelope.source
    if envelope.target != node.member_id or source == node.member_id:
        return
    message = envelope.message
    if isinstance(message, _REPLIES):
        # Replies of removed or unknown members do not count.
        if find_member(node.members.latest, source) is not None:
            _on_reply(node, source, message)
        return
    _on_request(node, source, message)


def _on_request(
    node: Node,
    source: str,
    message: PreVoteRequest
    | VoteRequest
    | AppendRequest
    | SnapshotRequest
    | TimeoutNow,
) -> None:
    match message:
        case AppendRequest():
            on_append_request(node, source, message)
        case PreVoteRequest():
            on_pre_vote_request(node, source, message)
        case VoteRequest():
            on_vote_request(node, source, message)
        case SnapshotRequest():
            on_snapshot_request(node, source, message)
        case TimeoutNow():
            on_timeout_now(node, source, message)


def _on_reply(
    node: Node,
    source: str,
    message: PreVoteReply | VoteReply | AppendReply | SnapshotReply,
) -> None:
    match message:
        case AppendReply():
            on_append_reply(node, source, message)
        case PreVoteReply():
            on_pre_vote_reply(node, source, message)
        case VoteReply():
            on_vote_reply(node, source, message)
        case SnapshotReply():
            on_snapshot_reply(node, source, message)
