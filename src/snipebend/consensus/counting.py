"""What counts as committed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.quorum import reached_by_majority

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node


def advance_commit(node: Node, leadership: Leadership) -> None:
    """Commit what a majority has synced, if it ends in the own term.

    An entry of an earlier term isn't committed by counting alone: another
    leader could still replace it (Ongaro, 2014, 3.6.2).
    """
    reached = majority_match(node, leadership)
    if reached > node.commit_index and may_commit(node, reached):
        node.commit_index = reached


def may_commit(node: Node, index: int) -> bool:
    """Tell whether counting copies decides this entry."""
    return node.log.term_at(index) == node.term


def majority_match(node: Node, leadership: Leadership) -> int:
    """Give the last index that a majority of the voters has synced."""
    matches = [
        leadership.progress[voter].match_index
        if voter != node.member_id
        else node.durability.persisted_index
        for voter in node.voters
    ]
    return reached_by_majority(matches)
