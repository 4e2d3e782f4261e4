"""Linearizable reads by leader lease or by heartbeat round.

See Ongaro, 2014, 6.4. A follower that replies to a message ignores candidates
for an election timeout on its own clock, which begins after the message was
sent. With clock rates between ``1 - d`` and ``1 + d`` of true time, no majority
elects another leader until ``timeout * (1 - d) / (1 + d)`` have passed on the
leader's clock since it sent the messages that a majority acknowledged.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from snipebend.consensus.actions import ReadReady, ReadRejected
from snipebend.consensus.leadership import PendingRead
from snipebend.consensus.log_sender import start_round
from snipebend.consensus.quorum import highest_reached_by_majority

if TYPE_CHECKING:
    from snipebend.consensus.config import CoreConfig
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.node import Node


def on_read_requested(node: Node, read_id: str) -> None:
    """Queue a read on the leader; reject it on other members."""
    leadership = node.leadership
    if leadership is None:
        node.emit(ReadRejected(read_id, node.leader))
    else:
        leadership.queued_reads.append(read_id)


def serve_reads(node: Node, leadership: Leadership) -> None:
    """Report the reads whose index is known to be current."""
    if node.commit_index < leadership.first_index:
        # Until then entries committed by earlier leaders may be unknown here.
        return
    if leadership.queued_reads:
        _serve_queued(node, leadership)
    _serve_confirmed(node, leadership)


def lease_until(node: Node, leadership: Leadership) -> float:
    """Return the end of the lease on this member's clock."""
    if leadership.lease_given_up:
        return -math.inf
    return majority_contact_at(node, leadership) + lease_duration_s(node.cfg)


def lease_duration_s(cfg: CoreConfig) -> float:
    """Return how long replies of a majority are valid, less clock drift."""
    slowest = (1 - cfg.clock_drift) / (1 + cfg.clock_drift)
    return cfg.election_timeout_s * slowest


def majority_contact_at(node: Node, leadership: Leadership) -> float:
    """Return the send time of the latest message a majority acknowledged."""
    contacts = [
        leadership.progress[voter].contact_at
        if voter != node.member_id
        else node.now
        for voter in node.voters
    ]
    return highest_reached_by_majority(contacts)


def _serve_queued(node: Node, leadership: Leadership) -> None:
    waiting = leadership.queued_reads
    leadership.queued_reads = []
    if node.now < lease_until(node, leadership):
        _confirm_reads(node, waiting)
        return
    start_round(node, leadership)
    number = leadership.rounds.number
    leadership.reads += [
        PendingRead(one, node.commit_index, number) for one in waiting
    ]


def _confirm_reads(node: Node, read_ids: list[str]) -> None:
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
    acked_rounds = [
        leadership.progress[voter].acked_round
        if voter != node.member_id
        else leadership.rounds.number
        for voter in node.voters
    ]
    return highest_reached_by_majority(acked_rounds)
