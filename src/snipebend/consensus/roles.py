"""Going back to following, from any role."""

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


def follow(node: Node, term: int, leader_id: str | None) -> None:
    """Follow the leader of ``term``, or nobody yet.

    Proposals of an own leadership are answered as unknown: their entries are
    in the log and may still be committed by another leader.
    """
    ended = node.leadership
    node.leadership = None
    node.role = Role.FOLLOWER
    node.leader_id = leader_id
    node.votes.clear()
    if term > node.term:
        node.enter_term(term, None)
    if ended is not None:
        node.defer_election()
        _answer_all(node, ended)


def _answer_all(node: Node, ended: Leadership) -> None:
    for proposal_id in ended.proposals.values():
        node.emit(
            ProposalRejected(proposal_id, node.leader, RejectReason.UNKNOWN)
        )
    waiting = [read.read_id for read in ended.reads]
    for read_id in ended.early_reads + waiting:
        node.emit(ReadRejected(read_id, node.leader))
