"""Completes a step: commits, sends, writes and reports results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import Send
from snipebend.consensus.commit_index import advance_commit
from snipebend.consensus.elections import on_vote_reply
from snipebend.consensus.handover import prompt_successor, step_down_if_removed
from snipebend.consensus.log_sender import replicate
from snipebend.consensus.messages import VoteReply
from snipebend.consensus.proposals import confirm_committed
from snipebend.consensus.reads import serve_reads

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.node import Node


def complete_step(node: Node) -> None:
    """Commit, send, write and report all that the events have enabled."""
    _send_released(node)
    if node.leadership is not None:
        advance_commit(node, node.leadership)
    entries = node.deliver_committed()
    if node.leadership is not None:
        confirm_committed(node, node.leadership, entries)
        step_down_if_removed(node, node.leadership)
    if node.leadership is not None:
        _complete_leader_step(node, node.leadership)
    node.write()
    _send_released(node)
    node.announce_role()


def _complete_leader_step(node: Node, leadership: Leadership) -> None:
    replicate(node, leadership)
    prompt_successor(node, leadership)
    serve_reads(node, leadership)


def _send_released(node: Node) -> None:
    for envelope in node.durability.take_released():
        if envelope.target == node.member_id:
            _handle_own_message(node, envelope)
        else:
            node.emit(Send(envelope))


def _handle_own_message(node: Node, envelope: Envelope) -> None:
    if isinstance(envelope.message, VoteReply):
        on_vote_reply(node, node.member_id, envelope.message)
