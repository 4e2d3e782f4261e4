"""Linearizable reads: by the lease, else by a round (Ongaro, 2014, 6.4).

A follower that answers a message ignores candidates for an election timeout
of its own clock, counted from after the message was sent. With clocks that
run at rates within ``1 - d`` and ``1 + d`` of true time, no majority elects
another leader until ``timeout * (1 - d) / (1 + d)`` of the leader's clock has
passed since it sent the messages that a majority answered.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from snipebend.consensus.actions import ReadReady, ReadRejected
from snipebend.consensus.leadership import PendingRead
from snipebend.consensus.quorum import reached_by_majority
from snipebend.consensus.sending import start_round

if TYPE_CHECKING:
    from snipebend.consensus.config import CoreConfig
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node


def on_read_requested(node: Node, read_id: str) -> None:
    """Answer a read, or queue it until the answer is safe."""
    leadership = node.leadership
    if leadership is None:
        node.emit(ReadRejected(read_id, node.leader))
    else:
        leadership.early_reads.append(read_id)


def serve_reads(node: Node, leadership: Leadership) -> None:
    """Answer the reads whose index is known to be the latest."""
    if node.commit_index < leadership.first_index:
        # What earlier leaders committed isn't all known before that.
        return
    if leadership.early_reads:
        _serve_new(node, leadership)
    _serve_confirmed(node, leadership)


def lease_until(node: Node, leadership: Leadership) -> float:
    """Give the deadline of the lease on this member's clock."""
    if leadership.lease_given_up:
        return -math.inf
    return majority_contact(node, leadership) + lease_span(node.cfg)


def lease_span(cfg: CoreConfig) -> float:
    """Give how many seconds a majority's answers hold, drift deducted."""
    slowest = (1 - cfg.clock_drift) / (1 + cfg.clock_drift)
    return cfg.election_timeout_s * slowest


def majority_contact(node: Node, leadership: Leadership) -> float:
    """Give when the latest message went out that a majority answered."""
    contacts = [
        leadership.progress[voter].contact_at
        if voter != node.member_id
        else node.now
        for voter in node.voters
    ]
    return reached_by_majority(contacts)


def _serve_new(node: Node, leadership: Leadership) -> None:
    waiting = leadership.early_reads
    leadership.early_reads = []
    if node.now < lease_until(node, leadership):
        _answer_now(node, waiting)
        return
    start_round(node, leadership)
    number = leadership.rounds.number
    leadership.reads += [
        PendingRead(one, node.commit_index, number) for one in waiting
    ]


def _answer_now(node: Node, read_ids: list[str]) -> None:
    for read_id in read_ids:
        node.emit(ReadReady(read_id, node.commit_index))


def _serve_confirmed(node: Node, leadership: Leadership) -> None:
    if not leadership.reads:
        return
    confirmed = _majority_round(node, leadership)
    ready = [one for one in leadership.reads if one.round_number <= confirmed]
    leadership.reads = leadership.reads[len(ready) :]
    for read in ready:
        node.emit(ReadReady(read.read_id, read.commit_index))


def _majority_round(node: Node, leadership: Leadership) -> int:
    answered = [
        leadership.progress[voter].acked_round
        if voter != node.member_id
        else leadership.rounds.number
        for voter in node.voters
    ]
    return reached_by_majority(answered)
