"""The control group's part of ``snipebend status``."""

from __future__ import annotations

from typing import NamedTuple

from snipebend.consensus.actions import Role
from snipebend.consensus.records import Member, Members
from snipebend.transport.group_messages import GroupReply

#: A daemon is caught up when a quorum confirmed it within so many seconds.
FRESH_S = 5.0


class MemberStatus(NamedTuple):
    """One member at a glance.

    A repair is done once its new member is a voter that is caught up.
    """

    name: str
    address: str
    member_id: str
    role: str
    caught_up: bool
    storage_error: str


def list_members(
    views: dict[str, GroupReply | None],
) -> tuple[MemberStatus, ...]:
    """Return all members as the daemon with the newest view knows them."""
    answered = [view for view in views.values() if view is not None]
    members = _newest_members(answered)
    by_id = {view.member.member_id: view for view in answered}
    listed = [
        _describe(member, by_id.get(member.member_id), 'follower')
        for member in members.voters
    ]
    listed += [
        _describe(member, by_id.get(member.member_id), 'learner')
        for member in members.learners
    ]
    known = {status.member_id for status in listed}
    listed += [
        _describe(view.member, view, 'joining')
        for member_id, view in by_id.items()
        if member_id not in known
    ]
    return tuple(sorted(listed))


def _newest_members(answered: list[GroupReply]) -> Members:
    newest = max(
        answered, key=lambda view: (view.term, view.committed), default=None
    )
    return newest.members if newest else Members()


def _describe(
    member: Member, view: GroupReply | None, role: str
) -> MemberStatus:
    if view is None:
        return MemberStatus(
            member.name,
            member.address,
            member.member_id,
            f'{role}, no answer',
            caught_up=False,
            storage_error='',
        )
    leads = view.role is Role.LEADER
    return MemberStatus(
        member.name,
        member.address,
        member.member_id,
        'leader' if leads else role,
        caught_up=0 <= view.confirmed_ago_s <= FRESH_S,
        storage_error=view.storage_error,
    )
