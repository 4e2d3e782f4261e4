"""Status of the control group's members for ``snipebend status``."""

from __future__ import annotations

from typing import NamedTuple

from snipebend.consensus.actions import Role
from snipebend.consensus.records import Member, Members
from snipebend.transport.group_messages import GroupReply

#: A member counts as caught up if a quorum confirmed its state at most this
#: many seconds ago.
MAX_CONFIRMATION_AGE_S = 5.0


class MemberStatus(NamedTuple):
    """The status of one member of the control group.

    A repair is complete once the new member is a voter that is caught up.
    """

    name: str
    address: str
    member_id: str
    role: str
    caught_up: bool
    storage_error: str


def list_member_statuses(
    replies: dict[str, GroupReply | None],
) -> tuple[MemberStatus, ...]:
    """Return the members of the reply with the highest term and commit index.

    A daemon that responds and is not among them is listed as joining.
    """
    received = [reply for reply in replies.values() if reply is not None]
    members = _newest_members(received)
    by_id = {reply.member.member_id: reply for reply in received}
    statuses = [
        _make_status(member, by_id.get(member.member_id), 'follower')
        for member in members.voters
    ]
    statuses += [
        _make_status(member, by_id.get(member.member_id), 'learner')
        for member in members.learners
    ]
    known = {status.member_id for status in statuses}
    statuses += [
        _make_status(reply.member, reply, 'joining')
        for member_id, reply in by_id.items()
        if member_id not in known
    ]
    return tuple(sorted(statuses))


def _newest_members(replies: list[GroupReply]) -> Members:
    newest = max(
        replies, key=lambda reply: (reply.term, reply.committed), default=None
    )
    return newest.members if newest else Members()


def _make_status(
    member: Member, reply: GroupReply | None, role: str
) -> MemberStatus:
    if reply is None:
        return MemberStatus(
            member.name,
            member.address,
            member.member_id,
            f'{role}, no answer',
            caught_up=False,
            storage_error='',
        )
    is_leader = reply.role is Role.LEADER
    return MemberStatus(
        member.name,
        member.address,
        member.member_id,
        'leader' if is_leader else role,
        caught_up=0 <= reply.confirmed_ago_s <= MAX_CONFIRMATION_AGE_S,
        storage_error=reply.storage_error,
    )
