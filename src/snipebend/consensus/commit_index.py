"""Advances the commit index of a leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.quorum import highest_reached_by_majority

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node


def advance_commit(node: Node, leadership: Leadership) -> None:
    """Commit entries synced by a majority if the last has the current term.

    Copies of an entry of an earlier term do not suffice: another leader could
    still overwrite it (Ongaro, 2014, 3.6.2).
    """
    reached = majority_match(node, leadership)
    if reached > node.commit_index and can_commit_by_count(node, reached):
        node.commit_index = reached


def can_commit_by_count(node: Node, index: int) -> bool:
    """Return whether the entry can be committed by counting its copies."""
    return node.log.term_at(index) == node.term


def majority_match(node: Node, leadership: Leadership) -> int:
    """Return the last index that a majority of the voters has synced."""
    matches = [
        leadership.progress[voter].match_index
        if voter != node.member_id
        else node.durability.persisted_index
        for voter in node.voters
    ]
    return highest_reached_by_majority(matches)
