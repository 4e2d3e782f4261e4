"""What follows from the state at the end of each step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import Send
from snipebend.consensus.counting import advance_commit
from snipebend.consensus.elections import on_vote_reply
from snipebend.consensus.handover import leave_if_removed, prompt_successor
from snipebend.consensus.messages import VoteReply
from snipebend.consensus.proposals import answer_committed
from snipebend.consensus.reads import serve_reads
from snipebend.consensus.sending import replicate

if TYPE_CHECKING:
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.node import Node


def settle(node: Node) -> None:
    """Commit, send, write and answer all that the events made possible."""
    _release(node)
    if node.leadership is not None:
        advance_commit(node, node.leadership)
    entries = node.hand_out()
    if node.leadership is not None:
        answer_committed(node, node.leadership, entries)
        leave_if_removed(node, node.leadership)
    if node.leadership is not None:
        _settle_leader(node, node.leadership)
    node.write()
    _release(node)
    node.announce_role()


def _settle_leader(node: Node, leadership: Leadership) -> None:
    replicate(node, leadership)
    prompt_successor(node, leadership)
    serve_reads(node, leadership)


def _release(node: Node) -> None:
    for envelope in node.durability.released():
        if envelope.target == node.member_id:
            _take_own(node, envelope)
        else:
            node.emit(Send(envelope))


def _take_own(node: Node, envelope: Envelope) -> None:
    if isinstance(envelope.message, VoteReply):
        on_vote_reply(node, node.member_id, envelope.message)
