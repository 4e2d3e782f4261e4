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
    restarted = node.may_all_have_restarted
    if restarted:
        node.restarted_voters = {node.member_id}
    request = PreVoteRequest(
        node.term + 1, node.log.last_index, node.log.last_term, restarted
    )
    for voter in _other_voters(node):
        node.send(voter, request)
    if _has_majority(node) and (not restarted or _all_restarted(node)):
        stand(node, restarted=restarted)


def on_timeout_now(node: Node, source: str, message: TimeoutNow) -> None:
    """Stand for election at once, as the leader asks."""
    from_leader = message.term == node.term and source == node.leader_id
    if from_leader and _may_stand(node):
        stand(node, hand_over=True)


def stand(
    node: Node, *, hand_over: bool = False, restarted: bool = False
) -> None:
    """Enter the next term as a candidate, voting for oneself."""
    node.enter_term(node.term + 1, node.member_id)
    node.defer_election()
    node.role = Role.CANDIDATE
    node.leader_id = None
    node.votes = set()
    request = VoteRequest(
        node.term,
        node.log.last_index,
        node.log.last_term,
        hand_over,
        restarted,
    )
    for voter in _other_voters(node):
        node.promise(voter, request)
    # The own vote counts like the others: when it is synced.
    node.promise(node.member_id, VoteReply(node.term, granted=True))


def on_pre_vote_request(
    node: Node, source: str, request: PreVoteRequest
) -> None:
    """Say whether a vote would be given; nothing changes here."""
    restarted = request.restarted and node.restarted
    granted = (
        request.term > node.term
        and (restarted or not hears_leader(node))
        and _is_up_to_date(node, request)
    )
    term = request.term if granted else node.term
    node.send(source, PreVoteReply(term, granted, restarted))


def on_pre_vote_reply(node: Node, source: str, reply: PreVoteReply) -> None:
    """Stand for election once a majority would vote for this member.

    One that still has to ignore candidates stands only if every voter has said
    that it restarted: a leader that holds a lease would be among them.
    """
    early = node.may_all_have_restarted
    if early:
        _note_restarted(node, source, reply)
    if not reply.granted:
        if reply.term > node.term:
            follow(node, reply.term, None)
        return
    if node.role is not Role.PRE_CANDIDATE or reply.term != node.term + 1:
        return
    if reply.restarted and not early:
        # An answer to an earlier question: it may have promised a leader.
        return
    node.votes.add(source)
    if _has_majority(node) and (not early or _all_restarted(node)):
        stand(node, restarted=early)


def on_vote_request(node: Node, source: str, request: VoteRequest) -> None:
    """Give the vote of a term once, to a candidate with a complete log.

    A member that hears from a leader ignores candidates, for the leader's
    lease counts on that; a hand-over ends the lease first.
    """
    no_lease = request.hand_over or (request.restarted and node.restarted)
    if hears_leader(node) and not no_lease:
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


def _note_restarted(node: Node, source: str, reply: PreVoteReply) -> None:
    """Note who restarted; one that didn't may know a leader: wait for it."""
    if node.restarted_voters is None:
        return
    if reply.restarted:
        node.restarted_voters.add(source)
    elif source in node.voters:
        node.restarted_voters = None
        node.defer_election()


def _all_restarted(node: Node) -> bool:
    known = node.restarted_voters
    return known is not None and known.issuperset(node.voters)


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
