"""Transfer of leadership to another voter (Ongaro, 2014, 3.10)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from snipebend.consensus.messages import TimeoutNow
from snipebend.consensus.roles import become_follower

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node


def on_hand_over(node: Node) -> None:
    """Start a hand-over; proposals are rejected until it ends."""
    leadership = node.leadership
    if leadership is None or leadership.successor is not None:
        return
    successor = _best_successor(node, leadership)
    if successor is not None:
        leadership.successor = successor
        leadership.successor_until = node.now + node.cfg.election_timeout_s


def expire_hand_over(node: Node, leadership: Leadership) -> None:
    """Cancel a hand-over at its deadline, to accept proposals again."""
    if node.now >= leadership.successor_until:
        leadership.successor = None
        leadership.successor_until = math.inf


def prompt_successor(node: Node, leadership: Leadership) -> None:
    """Ask the successor to start an election once its log is complete."""
    successor = leadership.successor
    progress = leadership.progress.get(successor or '')
    if successor is None or progress is None:
        return
    due = node.now >= leadership.next_prompt_at
    if due and progress.match_index == node.log.last_index:
        leadership.next_prompt_at = node.now + node.cfg.heartbeat_s
        # From here on the voters can elect it without waiting for the lease.
        leadership.lease_given_up = True
        node.send(successor, TimeoutNow(node.term))


def step_down_if_removed(node: Node, leadership: Leadership) -> None:
    """Step down once the removal of this member is committed."""
    removed = node.member_id not in node.voters
    if not removed or node.delivered_index < node.members.latest_index:
        return
    if leadership.successor is None:
        leadership.successor = _best_successor(node, leadership)
        prompt_successor(node, leadership)
    become_follower(node, node.term, None)


def _best_successor(node: Node, leadership: Leadership) -> str | None:
    others = [voter for voter in node.voters if voter in leadership.progress]
    return max(
        others,
        key=lambda voter: leadership.progress[voter].match_index,
        default=None,
    )
