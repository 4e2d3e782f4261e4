"""The change to the follower role."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import (
    ProposalRejected,
    ReadRejected,
    RejectReason,
    Role,
)

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node


def become_follower(node: Node, term: int, leader_id: str | None) -> None:
    """Become a follower in ``term``; ``None`` if its leader is not known.

    A leader that steps down reports its pending proposals as unknown: their
    entries are in the log and may still be committed by another leader.
    """
    former_leadership = node.leadership
    node.leadership = None
    node.role = Role.FOLLOWER
    node.leader_id = leader_id
    node.votes.clear()
    if term > node.term:
        node.enter_term(term, None)
    if former_leadership is not None:
        node.reset_election_timer()
        _reject_pending(node, former_leadership)


def _reject_pending(node: Node, former_leadership: Leadership) -> None:
    for proposal_id in former_leadership.proposals.values():
        node.emit(
            ProposalRejected(proposal_id, node.leader, RejectReason.UNKNOWN)
        )
    waiting = [read.read_id for read in former_leadership.reads]
    for read_id in former_leadership.queued_reads + waiting:
        node.emit(ReadRejected(read_id, node.leader))
