"""Pre-votes and votes (Ongaro, 2014, 3.4, 4.2.3 and 9.6)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import Role
from snipebend.consensus.messages import (
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from snipebend.consensus.quorum import majority
from snipebend.consensus.replication import lead
from snipebend.consensus.roles import follow

if TYPE_CHECKING:
    from snipebend.consensus.messages import TimeoutNow
    from snipebend.consensus.node import Node


def on_election_timeout(node: Node) -> None:
    """Ask for pre-votes when no leader has been heard of for too long."""
    node.defer_election()
    if not _may_stand(node):
        return
    node.role = Role.PRE_CANDIDATE
    node.leader_id = None
    node.votes = {node.member_id}
    request = PreVoteRequest(
        node.term + 1, node.log.last_index, node.log.last_term
    )
    for voter in _other_voters(node):
        node.send(voter, request)
    if _has_majority(node):
        stand(node, hand_over=False)


def on_timeout_now(node: Node, source: str, message: TimeoutNow) -> None:
    """Stand for election at once, as the leader asks."""
    from_leader = message.term == node.term and source == node.leader_id
    if from_leader and _may_stand(node):
        stand(node, hand_over=True)


def stand(node: Node, *, hand_over: bool) -> None:
    """Enter the next term as a candidate, voting for oneself."""
    node.enter_term(node.term + 1, node.member_id)
    node.defer_election()
    node.role = Role.CANDIDATE
    node.leader_id = None
    node.votes = set()
    request = VoteRequest(
        node.term, node.log.last_index, node.log.last_term, hand_over
    )
    for voter in _other_voters(node):
        node.promise(voter, request)
    # The own vote counts like the others: when it is synced.
    node.promise(node.member_id, VoteReply(node.term, granted=True))


def on_pre_vote_request(
    node: Node, source: str, request: PreVoteRequest
) -> None:
    """Say whether a vote would be given; nothing changes here."""
    granted = (
        request.term > node.term
        and not hears_leader(node)
        and _is_up_to_date(node, request)
    )
    term = request.term if granted else node.term
    node.send(source, PreVoteReply(term, granted))


def on_pre_vote_reply(node: Node, source: str, reply: PreVoteReply) -> None:
    """Stand for election once a majority would vote for this member."""
    if not reply.granted:
        if reply.term > node.term:
            follow(node, reply.term, None)
        return
    if node.role is Role.PRE_CANDIDATE and reply.term == node.term + 1:
        node.votes.add(source)
        if _has_majority(node):
            stand(node, hand_over=False)


def on_vote_request(node: Node, source: str, request: VoteRequest) -> None:
    """Give the vote of a term once, to a candidate with a complete log.

    A member that hears from a leader ignores candidates, for the leader's
    lease counts on that; a hand-over ends the lease first.
    """
    if hears_leader(node) and not request.hand_over:
        return
    if request.term > node.term:
        follow(node, request.term, None)
    granted = (
        request.term == node.term
        and node.voted_for in {None, source}
        and _is_up_to_date(node, request)
    )
    if granted:
        node.enter_term(node.term, source)
        node.defer_election()
    node.promise(source, VoteReply(node.term, granted))


def on_vote_reply(node: Node, source: str, reply: VoteReply) -> None:
    """Lead once a majority has voted for this member."""
    if reply.term > node.term:
        follow(node, reply.term, None)
        return
    counts = reply.granted and reply.term == node.term
    if counts and node.role is Role.CANDIDATE:
        node.votes.add(source)
        if _has_majority(node):
            lead(node)


def hears_leader(node: Node) -> bool:
    """Tell whether other candidates are to be ignored for now."""
    return node.role is Role.LEADER or node.now < node.quiet_until


def _may_stand(node: Node) -> bool:
    return node.member_id in node.voters and node.installing is None


def _other_voters(node: Node) -> list[str]:
    return [voter for voter in node.voters if voter != node.member_id]


def _has_majority(node: Node) -> bool:
    counted = node.votes.intersection(node.voters)
    return len(counted) >= majority(len(node.voters))


def _is_up_to_date(node: Node, request: PreVoteRequest | VoteRequest) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (node.log.last_term, node.log.last_index)
