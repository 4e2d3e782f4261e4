"""Handles proposals of commands and of membership changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import (
    ProposalCommitted,
    ProposalRejected,
    RejectReason,
)
from snipebend.consensus.events import PromoteLearner
from snipebend.consensus.members import apply_change
from snipebend.consensus.progress import ReplicationMode
from snipebend.consensus.records import EntryKind, LogEntry, encode_members

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.consensus.events import MembersProposed, Proposed
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node
    from snipebend.consensus.records import Members


def on_proposed(node: Node, event: Proposed) -> None:
    """Append a command or reject the proposal."""
    reason = _rejection_reason(node)
    if reason is not None:
        _reject(node, event.proposal_id, reason)
        return
    _append(node, event.proposal_id, EntryKind.COMMAND, event.payload)


def on_members_proposed(node: Node, event: MembersProposed) -> None:
    """Append a change of the members, or reject it."""
    reason = _rejection_reason(node) or change_rejection_reason(node, event)
    if reason is not None:
        _reject(node, event.proposal_id, reason)
        return
    changed = apply_change(node.members.latest, event.change)
    if changed is None:
        _reject(node, event.proposal_id, RejectReason.INVALID_CHANGE)
        return
    payload = encode_members(changed)
    _append(node, event.proposal_id, EntryKind.MEMBERS, payload)


def change_rejection_reason(
    node: Node, event: MembersProposed
) -> RejectReason | None:
    """Return why a change of the members cannot start now, if it cannot.

    The previous change and an entry of the leader's term must be committed.
    Otherwise two disjoint majorities are possible, because an older change may
    be incomplete (Ongaro, 2014, 4.1, and the correction to it of July 2015).
    """
    leadership = node.leadership
    if leadership is None:
        return RejectReason.NOT_LEADER
    required_index = max(node.members.latest_index, leadership.first_index)
    if node.commit_index < required_index:
        return RejectReason.CHANGE_IN_PROGRESS
    if isinstance(event.change, PromoteLearner):
        return _promotion_rejection_reason(
            node, leadership, event.change.member_id
        )
    return None


def confirm_committed(
    node: Node, leadership: Leadership, entries: Iterable[LogEntry]
) -> None:
    """Report the proposals whose entries were committed."""
    for entry in entries:
        proposal_id = leadership.proposals.pop(entry.index, None)
        if proposal_id is not None:
            node.emit(ProposalCommitted(proposal_id, entry.index))


def _rejection_reason(node: Node) -> RejectReason | None:
    if node.leadership is None:
        return RejectReason.NOT_LEADER
    if node.leadership.successor is not None:
        return RejectReason.HANDING_OVER
    uncommitted = node.log.last_index - node.commit_index
    if uncommitted >= node.cfg.max_uncommitted:
        return RejectReason.BUSY
    return None


def _promotion_rejection_reason(
    node: Node, leadership: Leadership, member_id: str
) -> RejectReason | None:
    progress = leadership.progress.get(member_id)
    if progress is None or _is_voter(node.members.latest, member_id):
        return RejectReason.INVALID_CHANGE
    oldest_contact = node.now - node.cfg.election_timeout_s
    caught_up = (
        progress.mode is ReplicationMode.REPLICATING
        and progress.match_index >= node.commit_index
        and progress.contact_at >= oldest_contact
    )
    return None if caught_up else RejectReason.NOT_CAUGHT_UP


def _is_voter(members: Members, member_id: str) -> bool:
    return any(voter.member_id == member_id for voter in members.voters)


def _append(
    node: Node, proposal_id: str, kind: EntryKind, payload: bytes
) -> None:
    index = node.log.last_index + 1
    node.append([LogEntry(index, node.term, kind, payload)])
    if node.leadership is not None:
        node.leadership.proposals[index] = proposal_id


def _reject(node: Node, proposal_id: str, reason: RejectReason) -> None:
    node.emit(ProposalRejected(proposal_id, node.leader, reason))
