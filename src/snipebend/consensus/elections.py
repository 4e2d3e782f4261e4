"""Leader election with pre-votes (Ongaro, 2014, 3.4, 4.2.3 and 9.6)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.consensus.actions import Role
from snipebend.consensus.messages import (
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from snipebend.consensus.quorum import majority_size
from snipebend.consensus.replication import become_leader
from snipebend.consensus.roles import become_follower

if TYPE_CHECKING:
    from snipebend.consensus.messages import TimeoutNow
    from snipebend.consensus.node import Node


def on_election_timeout(node: Node) -> None:
    """Request pre-votes after the election timeout without a leader."""
    node.reset_election_timer()
    if not _is_eligible_candidate(node):
        return
    node.role = Role.PRE_CANDIDATE
    node.leader_id = None
    node.votes = {node.member_id}
    restarted = node.is_checking_restarts
    if restarted:
        node.restarted_voters = {node.member_id}
    request = PreVoteRequest(
        node.term + 1, node.log.last_index, node.log.last_term, restarted
    )
    for voter in _other_voters(node):
        node.send(voter, request)
    if _has_majority(node) and (not restarted or _all_restarted(node)):
        start_election(node, restarted=restarted)


def on_timeout_now(node: Node, source: str, message: TimeoutNow) -> None:
    """Start an election immediately at the request of the leader."""
    from_leader = message.term == node.term and source == node.leader_id
    if from_leader and _is_eligible_candidate(node):
        start_election(node, hand_over=True)


def start_election(
    node: Node, *, hand_over: bool = False, restarted: bool = False
) -> None:
    """Enter the next term as a candidate and vote for this member."""
    node.enter_term(node.term + 1, node.member_id)
    node.reset_election_timer()
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
        node.send_after_sync(voter, request)
    # This member's own vote counts once it is synced, like any other.
    node.send_after_sync(node.member_id, VoteReply(node.term, granted=True))


def on_pre_vote_request(
    node: Node, source: str, request: PreVoteRequest
) -> None:
    """Reply whether this member would grant a vote; changes no state."""
    restarted = request.restarted and node.restarted
    granted = (
        request.term > node.term
        and (restarted or not is_ignoring_candidates(node))
        and _is_up_to_date(node, request)
    )
    term = request.term if granted else node.term
    node.send(source, PreVoteReply(term, granted, restarted))


def on_pre_vote_reply(node: Node, source: str, reply: PreVoteReply) -> None:
    """Start an election once a majority would vote for this member.

    While this member still has to ignore candidates, it starts one only if
    every voter has reported that it restarted: a leader that holds a lease
    would be among the voters.
    """
    early = node.is_checking_restarts
    if early:
        _record_restart(node, source, reply)
    if not reply.granted:
        if reply.term > node.term:
            become_follower(node, reply.term, None)
        return
    if node.role is not Role.PRE_CANDIDATE or reply.term != node.term + 1:
        return
    if reply.restarted and not early:
        # A reply to an earlier restart probe: its sender may have acknowledged
        # a leader that still holds a lease.
        return
    node.votes.add(source)
    if _has_majority(node) and (not early or _all_restarted(node)):
        start_election(node, restarted=early)


def on_vote_request(node: Node, source: str, request: VoteRequest) -> None:
    """Grant one vote per term, to a candidate whose log is up to date.

    A member in contact with a leader ignores candidates, because the leader's
    lease relies on that. A hand-over ends the lease first.
    """
    no_lease = request.hand_over or (request.restarted and node.restarted)
    if is_ignoring_candidates(node) and not no_lease:
        return
    if request.term > node.term:
        become_follower(node, request.term, None)
    granted = (
        request.term == node.term
        and node.voted_for in {None, source}
        and _is_up_to_date(node, request)
    )
    if granted:
        node.enter_term(node.term, source)
        node.reset_election_timer()
    node.send_after_sync(source, VoteReply(node.term, granted))


def on_vote_reply(node: Node, source: str, reply: VoteReply) -> None:
    """Become leader once a majority has voted for this member."""
    if reply.term > node.term:
        become_follower(node, reply.term, None)
        return
    is_valid_vote = reply.granted and reply.term == node.term
    if is_valid_vote and node.role is Role.CANDIDATE:
        node.votes.add(source)
        if _has_majority(node):
            become_leader(node)


def is_ignoring_candidates(node: Node) -> bool:
    """Return whether vote requests of other members must be ignored now."""
    return node.role is Role.LEADER or node.now < node.ignore_candidates_until


def _record_restart(node: Node, source: str, reply: PreVoteReply) -> None:
    """Record which voters restarted.

    A voter that did not restart may know a leader: wait for that leader.
    """
    if node.restarted_voters is None:
        return
    if reply.restarted:
        node.restarted_voters.add(source)
    elif source in node.voters:
        node.restarted_voters = None
        node.reset_election_timer()


def _all_restarted(node: Node) -> bool:
    restarted = node.restarted_voters
    return restarted is not None and restarted.issuperset(node.voters)


def _is_eligible_candidate(node: Node) -> bool:
    return node.member_id in node.voters and node.installing_snapshot is None


def _other_voters(node: Node) -> list[str]:
    return [voter for voter in node.voters if voter != node.member_id]


def _has_majority(node: Node) -> bool:
    valid_votes = node.votes.intersection(node.voters)
    return len(valid_votes) >= majority_size(len(node.voters))


def _is_up_to_date(node: Node, request: PreVoteRequest | VoteRequest) -> bool:
    candidate_log = (request.last_term, request.last_index)
    return candidate_log >= (node.log.last_term, node.log.last_index)
